//! Writes under way. An answer must meet the value that was written, not the
//! one that is being written by now: a leader that enters an epoch begins its
//! writes anew while answers to earlier ones are still to come. Taking the
//! later value for committed told a user that a job was done which was not.

use std::collections::HashMap;

/// A write's number.
pub type Serial = u64;

/// Writes under way, by number.
#[derive(Debug)]
pub struct InFlight<K, V> {
    last: Serial,
    all: HashMap<Serial, (K, V)>,
}

impl<K, V> Default for InFlight<K, V> {
    fn default() -> Self {
        InFlight {
            last: 0,
            all: HashMap::new(),
        }
    }
}

impl<K: PartialEq, V> InFlight<K, V> {
    /// The number of the next write.
    pub fn next_serial(&mut self) -> Serial {
        self.last += 1;
        self.last
    }
    /// A write has gone out.
    pub fn sent(&mut self, serial: Serial, key: K, value: V) {
        self.all.insert(serial, (key, value));
    }
    /// A write was answered: what it was.
    pub fn answered(&mut self, serial: Serial) -> Option<(K, V)> {
        self.all.remove(&serial)
    }
    /// How many are under way.
    pub fn count(&self) -> usize {
        self.all.len()
    }
    /// Whether one of this key is.
    pub fn has(&self, key: &K) -> bool {
        self.all.values().any(|v| v.0 == *key)
    }
}
