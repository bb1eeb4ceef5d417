//! Log lines that say, afterwards and without debug level, who led with which knowledge: what each
//! controller had read of the key-value store, and why tasks were started, stopped and freed.

use super::Controller;
use crate::clock::Seconds;
use crate::store::records::Epoch;

/// Returns a duration in whole milliseconds.
fn milliseconds(duration: Seconds) -> i64 {
    (duration * 1000.0) as i64
}

impl Controller {
    /// Logs what this node has read and owns, and what its shard and its leader have done, once
    /// per report interval.
    pub(super) fn log_member_state(&mut self, now: Seconds) {
        let epoch = self.entered_epoch();
        let (number, leader) = epoch.map_or((0, ""), |epoch| (epoch.number, &*epoch.leader));
        let counts = self.shard.counts();
        tracing::info!(
            epoch = number,
            leader,
            revision = self.store_sync.revision(),
            read_age_ms = self
                .store_sync
                .last_synced_at()
                .map(|at| milliseconds(now - at)),
            acts_for_ms = self.may_act_until().map(|until| milliseconds(until - now)),
            machines = counts.machines,
            unreconciled = counts.unreconciled_machines,
            assigned = counts.assigned_tasks,
            "member state"
        );
        self.shard.log_events();
        self.leader.log_events();
    }

    /// Logs that this node leads an epoch, and with which knowledge it begins.
    pub(super) fn log_leadership(&self, epoch: &Epoch, kept_state: bool) {
        let counts = self.leader.counts();
        tracing::info!(
            epoch = epoch.number,
            revision = self.cache.epoch_revision,
            kept_state,
            members = ?epoch.members,
            jobs = counts.jobs,
            unreconciled = counts.unreconciled_tasks,
            registered = self.cache.registry.len(),
            "began to lead"
        );
    }
}
