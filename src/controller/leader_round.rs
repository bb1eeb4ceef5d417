//! One round of the leader: assigning tasks, committing what is finished, and, less
//! often, keeping the machine registry and looking over the fleet.

use super::Controller;
use crate::clock::{self, Seconds};
use crate::wire::Priority;
use std::collections::BTreeMap;

/// When the leader last did what it does less often than every round.
#[derive(Debug, Default)]
pub(crate) struct LeaderPace {
    reviewed_fleet: Seconds,
    registry_updated_at: Seconds,
    logged_state: Seconds,
}

impl Controller {
    /// One round, whose decisions take no longer than until `end`.
    pub(super) fn lead(&mut self, now: Seconds, end: Seconds) {
        let deletions = &self.autoscaler.deletions;
        self.leader
            .reconcile(&self.cache, &|id| deletions.is_gone(id));
        self.leader.allow_gangs(self.cache.all_run_gangs());
        let touched = self
            .leader
            .assign_tasks(&self.cache, now, || clock::now() < end);
        for shard in touched {
            self.send_orders(&shard);
        }
        self.commit_finished(now);
        let report_s = self.settings.params.workers.report_s;
        if now - self.pace.registry_updated_at > report_s / 40.0 {
            self.pace.registry_updated_at = now;
            self.update_registry(now);
        }
        // Looking over the whole fleet takes time in proportion to it.
        if now - self.pace.reviewed_fleet > report_s / 12.0 {
            self.pace.reviewed_fleet = now;
            self.autoscale(now);
            self.move_shares(now);
            self.log_state(now);
        }
    }

    /// For the log: what there is, and what waits, by priority.
    fn log_state(&mut self, now: Seconds) {
        if now - self.pace.logged_state < self.settings.params.workers.report_s {
            return;
        }
        self.pace.logged_state = now;
        let counts = self.leader.counts();
        let mut waiting: BTreeMap<Priority, u32> = BTreeMap::new();
        for demand in &self.leader.pending_demand {
            *waiting.entry(demand.spec.priority).or_default() += demand.count;
        }
        tracing::info!(
            jobs = counts.jobs,
            assigned = counts.assigned_tasks,
            unreconciled = counts.unreconciled_tasks,
            ?waiting,
            draining = self.leader.draining.len(),
            "state"
        );
    }
}
