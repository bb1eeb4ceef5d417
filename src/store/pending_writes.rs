//! Writes under way. An answer must meet the value that was written, not the
//! one that is being written by now: a leader that enters an epoch begins its
//! writes anew while answers to earlier ones are still to come. Taking the
//! later value for committed told a user that a job was done which was not.

use std::collections::HashMap;

/// A write's number.
pub type WriteId = u64;

/// Writes under way, by number.
#[derive(Debug)]
pub struct PendingWrites<K, V> {
    last: WriteId,
    all: HashMap<WriteId, (K, V)>,
}

impl<K, V> Default for PendingWrites<K, V> {
    fn default() -> Self {
        PendingWrites {
            last: 0,
            all: HashMap::new(),
        }
    }
}

impl<K: PartialEq, V> PendingWrites<K, V> {
    /// The number of the next write.
    pub fn next_id(&mut self) -> WriteId {
        self.last += 1;
        self.last
    }
    /// A write has gone out.
    pub fn sent(&mut self, write_id: WriteId, key: K, value: V) {
        self.all.insert(write_id, (key, value));
    }
    /// A write was answered: what it was.
    pub fn answered(&mut self, write_id: WriteId) -> Option<(K, V)> {
        self.all.remove(&write_id)
    }
    /// How many are under way.
    pub fn count(&self) -> usize {
        self.all.len()
    }
    /// Whether one of this key is.
    pub fn contains(&self, key: &K) -> bool {
        self.all.values().any(|v| v.0 == *key)
    }
}
