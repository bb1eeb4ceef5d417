//! Tracks machines whose deletion was requested, and machines that are terminated, that is,
//! confirmed to no longer exist.

use crate::clock::Seconds;
use crate::wire::MachineId;
use std::collections::HashMap;

/// The most machines per deletion request.
const MAX_MACHINES_PER_REQUEST: usize = 100;

/// Deletions in flight, and terminated machines.
#[derive(Debug, Default)]
pub struct Deletions {
    /// When the deletion of a machine is requested again, unless it is confirmed before.
    retry_at: HashMap<MachineId, Seconds>,
    /// Terminated machines, and when their termination was confirmed.
    terminated_at: HashMap<MachineId, Seconds>,
}

impl Deletions {
    /// Selects the machines whose deletion has to be requested now, up to the limit of one
    /// request: those that are neither terminated nor waiting for the result of a deletion.
    pub fn due(&self, machines: Vec<MachineId>, now: Seconds) -> Vec<MachineId> {
        let is_due = |id: &MachineId| {
            !self.is_terminated(id)
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

    /// Records that a deletion was requested or has failed. Unless it is confirmed before,
    /// it is requested again at `retry_at`.
    pub fn retry(&mut self, machines: Vec<MachineId>, retry_at: Seconds) {
        self.retry_at
            .extend(machines.into_iter().map(|id| (id, retry_at)));
    }

    /// Records that the cloud has confirmed a deletion.
    pub fn confirm(&mut self, machines: Vec<MachineId>, now: Seconds) {
        for id in machines {
            self.retry_at.remove(&id);
            self.record_terminated(id, now);
        }
    }

    /// Records that a machine is terminated: it was deleted, was reclaimed or has failed.
    pub fn record_terminated(&mut self, id: MachineId, now: Seconds) {
        self.terminated_at.insert(id, now);
    }

    /// Whether a machine is confirmed to no longer exist.
    pub fn is_terminated(&self, id: &MachineId) -> bool {
        self.terminated_at.contains_key(id)
    }

    /// The machines that are confirmed to no longer exist.
    pub fn terminated(&self) -> impl Iterator<Item = &MachineId> {
        self.terminated_at.keys()
    }

    /// Removes the retry for a machine that was removed from the machine registry.
    pub fn forget_request(&mut self, id: &MachineId) {
        self.retry_at.remove(id);
    }

    /// Removes machines whose termination was confirmed at least `after_s` seconds ago and
    /// that are not in the machine registry.
    pub fn forget_terminated(
        &mut self,
        after_s: Seconds,
        is_registered: impl Fn(&MachineId) -> bool,
        now: Seconds,
    ) {
        self.terminated_at
            .retain(|id, since| now - *since < after_s || is_registered(id));
    }
}
