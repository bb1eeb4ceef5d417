//! The leader's round: it assigns tasks, commits finished tasks and, less often, updates
//! the machine registry and reviews the whole fleet.

use super::interval_timer::IntervalTimer;
use super::Controller;
use crate::clock::{self, Seconds};
use crate::wire::Priority;
use std::collections::BTreeMap;

/// The time between updates of the machine registry, in report intervals.
const REGISTRY_UPDATE_INTERVAL_REPORTS: f64 = 1.0 / 40.0;

/// The time between reviews of the whole fleet, in report intervals. A review takes time in
/// proportion to the size of the fleet.
const FLEET_REVIEW_INTERVAL_REPORTS: f64 = 1.0 / 12.0;

/// The timers of the work that the leader does less often than every round.
#[derive(Debug)]
pub(super) struct LeaderTimers {
    fleet_review: IntervalTimer,
    registry_update: IntervalTimer,
    state_log: IntervalTimer,
}

impl Default for LeaderTimers {
    fn default() -> LeaderTimers {
        LeaderTimers {
            fleet_review: IntervalTimer::since_process_start(),
            registry_update: IntervalTimer::since_process_start(),
            state_log: IntervalTimer::since_process_start(),
        }
    }
}

impl Controller {
    /// Runs one round of the leader. No tasks are assigned after `deadline`.
    pub(super) fn run_leader_round(&mut self, now: Seconds, deadline: Seconds) {
        let deletions = &self.autoscaler.deletions;
        self.leader
            .reconcile(&self.cache, &|id| deletions.is_terminated(id));
        self.leader
            .set_gangs_allowed(self.cache.all_members_support_gangs());
        if self.leader.awaits_reading() {
            self.store_sync.request_poll();
        }
        let changed_shards = self
            .leader
            .assign_tasks(&self.cache, now, || clock::now() < deadline);
        for shard in changed_shards {
            self.send_orders(&shard);
        }
        self.commit_finished(now);
        let report_interval = self.report_interval();
        let timers = &mut self.leader_timers;
        if timers
            .registry_update
            .restart_if_due(report_interval * REGISTRY_UPDATE_INTERVAL_REPORTS, now)
        {
            self.update_registry(now);
        }
        let timers = &mut self.leader_timers;
        if timers
            .fleet_review
            .restart_if_due(report_interval * FLEET_REVIEW_INTERVAL_REPORTS, now)
        {
            self.autoscale(now);
            self.run_transfers(now);
            self.log_state(now);
        }
    }

    /// Logs the leader's counts and the number of pending tasks by priority, once per report
    /// interval.
    fn log_state(&mut self, now: Seconds) {
        let report_interval = self.report_interval();
        let timer = &mut self.leader_timers.state_log;
        if !timer.restart_if_due(report_interval, now) {
            return;
        }
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
