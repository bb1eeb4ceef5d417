//! Writes that were sent and not answered yet.
//!
//! An outcome must be applied to the value that was written, not to the latest one: a
//! leader that enters an epoch starts its writes anew while outcomes of earlier ones are
//! still to come. Applying an outcome to a later value reported a job as done which was not.

use std::collections::HashMap;

/// The number of a write, unique within its process.
pub type WriteId = u64;

/// Pending writes, by number.
#[derive(Debug)]
pub struct PendingWrites<K, V> {
    last_id: WriteId,
    writes: HashMap<WriteId, (K, V)>,
}

impl<K, V> Default for PendingWrites<K, V> {
    fn default() -> Self {
        PendingWrites {
            last_id: 0,
            writes: HashMap::new(),
        }
    }
}

impl<K: PartialEq, V> PendingWrites<K, V> {
    /// The number of the next write.
    pub fn next_id(&mut self) -> WriteId {
        self.last_id += 1;
        self.last_id
    }

    /// Records that a write was sent.
    pub fn insert(&mut self, id: WriteId, key: K, value: V) {
        self.writes.insert(id, (key, value));
    }

    /// Records that a write was answered. Returns its key and value.
    pub fn remove(&mut self, id: WriteId) -> Option<(K, V)> {
        self.writes.remove(&id)
    }

    /// The number of pending writes.
    pub fn count(&self) -> usize {
        self.writes.len()
    }

    /// Whether a write of this key is pending.
    pub fn contains(&self, key: &K) -> bool {
        self.writes.values().any(|(pending, _)| pending == key)
    }
}
