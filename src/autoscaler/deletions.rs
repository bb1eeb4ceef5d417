//! The bookkeeping of machines that are deleted, and of those that are gone for certain.

use crate::clock::Seconds;
use crate::wire::MachineId;
use std::collections::HashMap;

/// The most machines that one deletion may name.
const MAX_MACHINES_PER_REQUEST: usize = 100;

/// Deletions under way and done.
#[derive(Debug, Default)]
pub struct Deletions {
    /// When a deletion without an answer is requested again.
    retry_at: HashMap<MachineId, Seconds>,
    /// Machines that are gone for certain, and since when that is known.
    gone_since: HashMap<MachineId, Seconds>,
}

impl Deletions {
    /// Those of `machines` whose deletion is to be requested now, as many as one
    /// request may name: neither gone nor being deleted.
    pub fn due(&self, machines: Vec<MachineId>, now: Seconds) -> Vec<MachineId> {
        let is_due = |id: &MachineId| {
            !self.is_gone(id)
                && self
                    .retry_at
                    .get(id)
                    .is_none_or(|&retry_at| now >= retry_at)
        };
        machines
            .into_iter()
            .filter(is_due)
            .take(MAX_MACHINES_PER_REQUEST)
            .collect()
    }

    /// A deletion was requested, or has failed: unless it is confirmed, it is requested
    /// again at `retry_at`.
    pub fn retry(&mut self, machines: Vec<MachineId>, retry_at: Seconds) {
        self.retry_at
            .extend(machines.into_iter().map(|id| (id, retry_at)));
    }

    /// The cloud has confirmed a deletion.
    pub fn confirm(&mut self, machines: Vec<MachineId>, now: Seconds) {
        for id in machines {
            self.retry_at.remove(&id);
            self.record_gone(id, now);
        }
    }

    /// A machine is gone, whoever ended it.
    pub fn record_gone(&mut self, id: MachineId, now: Seconds) {
        self.gone_since.insert(id, now);
    }

    /// Whether a machine is gone for certain.
    pub fn is_gone(&self, id: &MachineId) -> bool {
        self.gone_since.contains_key(id)
    }

    /// The machines that are gone for certain.
    pub fn gone(&self) -> impl Iterator<Item = &MachineId> {
        self.gone_since.keys()
    }

    /// A machine is off the machine registry.
    pub fn forget_request(&mut self, id: &MachineId) {
        self.retry_at.remove(id);
    }

    /// Forgets machines that have been gone for `after_s` seconds and are off the
    /// machine registry.
    pub fn forget_gone(
        &mut self,
        after_s: Seconds,
        is_registered: impl Fn(&MachineId) -> bool,
        now: Seconds,
    ) {
        self.gone_since
            .retain(|id, since| now - *since < after_s || is_registered(id));
    }
}
