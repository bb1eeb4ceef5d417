//! Writes that were sent and whose outcome is not known yet.
//!
//! The outcome of a write must be applied to the value that was written, not to the latest
//! value of the key: a leader that enters an epoch starts its writes again while outcomes of
//! earlier ones are still pending. Applying such an outcome to a later value once reported
//! a job as done that was not.

use std::collections::HashMap;

/// The id of a write, unique within its [`PendingWrites`].
pub type WriteId = u64;

/// The pending writes of values of type `V` under keys of type `K`, by id.
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
    /// Returns the id for the next write.
    pub fn next_id(&mut self) -> WriteId {
        self.last_id += 1;
        self.last_id
    }

    /// Adds a write that was sent.
    pub fn insert(&mut self, id: WriteId, key: K, value: V) {
        self.writes.insert(id, (key, value));
    }

    /// Removes a write whose outcome is known. Returns its key and value; `None` if the write
    /// is not pending.
    pub fn remove(&mut self, id: WriteId) -> Option<(K, V)> {
        self.writes.remove(&id)
    }

    /// Returns the number of pending writes.
    pub fn count(&self) -> usize {
        self.writes.len()
    }

    /// Whether a write of `key` is pending.
    pub fn contains(&self, key: &K) -> bool {
        self.writes.values().any(|(pending, _)| pending == key)
    }
}
