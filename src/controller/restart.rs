//! Hold-offs after a restart and the restart report, for the feature `cold-restart`.

use super::interval_timer::IntervalTimer;
use super::Controller;
use crate::api::published_report::PublishedReport;
use crate::api::restart_report::{InvalidRecordReport, RestartReport};
use crate::clock::{self, Seconds};
use crate::config::features::ColdRestartConfig;
use crate::config::settings::Settings;
use crate::store::dangling_references::find_dangling_references;
use crate::wire::JobSpec;
use finchwood_reconciliation::hold_off::{Action, HoldOff, HoldOffContext, HoldOffLimits};
use finchwood_reconciliation::unreconciled::UnreconciledMachines;

/// The time between publications of the report, in report intervals.
const PUBLISH_INTERVAL_REPORTS: f64 = 1.0 / 6.0;

/// The most invalid records and dangling references that a report lists.
const MAX_RECORDS_LISTED: usize = 100;

/// The state of the feature `cold-restart`.
pub(super) struct ColdRestart {
    hold_off: HoldOff,
    published: PublishedReport<RestartReport>,
    publish_timer: IntervalTimer,
    /// How long after the start of the process the first job was accepted, in seconds;
    /// `None` until then.
    first_accepted_s: Option<Seconds>,
}

impl ColdRestart {
    /// Creates the state without an active hold-off. A hold-off begins when this node becomes
    /// the leader.
    pub(super) fn new(
        config: &ColdRestartConfig,
        settings: &Settings,
        published: PublishedReport<RestartReport>,
    ) -> ColdRestart {
        let workers = &settings.params.workers;
        let limits = HoldOffLimits {
            response_timeout_s: workers.report_s * config.answer_reports,
            lease_s: clock::with_drift_margin(workers.lease_s),
        };
        ColdRestart {
            hold_off: HoldOff::new(limits),
            published,
            publish_timer: IntervalTimer::due_now(),
            first_accepted_s: None,
        }
    }
}

impl Controller {
    /// Begins a hold-off when this node enters an epoch as its leader, unless the leader's
    /// state was kept from the previous epoch.
    pub(super) fn begin_hold_off(&mut self, kept_state: bool, now: Seconds) {
        if let Some(restart) = self.cold_restart.as_mut().filter(|_| !kept_state) {
            restart.hold_off.begin(now);
        }
    }

    /// Returns the unreconciled machines; `None` if no hold-off is active.
    pub(super) fn unreconciled_machines(&self, now: Seconds) -> Option<UnreconciledMachines> {
        let restart = self.cold_restart.as_ref()?;
        let deletions = &self.autoscaler.deletions;
        let unreconciled = || {
            self.leader
                .unreconciled_machines(&self.cache, &|id| deletions.is_terminated(id))
        };
        restart.hold_off.is_active(now).then(unreconciled)
    }

    /// Returns whether an action is held off until machines are reconciled. If so, records
    /// this for the restart report. `spec` is the job for which the action is needed; `None`
    /// if it is not for a single job.
    pub(super) fn is_held_off(
        &mut self,
        action: Action,
        spec: Option<&JobSpec>,
        unreconciled: Option<&UnreconciledMachines>,
        now: Seconds,
    ) -> bool {
        let (Some(restart), Some(unreconciled)) = (&self.cold_restart, unreconciled) else {
            return false;
        };
        let context = HoldOffContext {
            now,
            all_shards_reported: self.leader.all_shards_reported(),
            unreconciled,
        };
        match restart.hold_off.hold_reason(action, spec, context) {
            Some(reason) => {
                self.shard.record_hold_off(action, reason);
                true
            }
            None => false,
        }
    }

    /// Records that this node accepted a job at `now`. Only the first call has an effect.
    pub(super) fn record_first_accepted(&mut self, now: Seconds) {
        if let Some(restart) = &mut self.cold_restart {
            restart
                .first_accepted_s
                .get_or_insert(self.membership.uptime(now));
        }
    }

    /// Logs the dangling references: stored records that name a team, zone or machine type
    /// that neither the settings nor the catalog contains.
    pub(super) fn log_dangling_references(&self) {
        for record in find_dangling_references(&self.cache, &self.settings) {
            tracing::warn!(key = record.key, error = %record.error, "a stored record doesn't fit");
        }
    }

    /// Publishes the restart report, if the feature is enabled and the report is due.
    pub(super) fn publish_restart_report(&mut self, now: Seconds) {
        let interval = self.report_interval() * PUBLISH_INTERVAL_REPORTS;
        let due = self
            .cold_restart
            .as_mut()
            .is_some_and(|restart| restart.publish_timer.restart_if_due(interval, now));
        if !due {
            return;
        }
        let report = self.restart_report(now);
        if let Some(restart) = &self.cold_restart {
            restart.published.publish(report);
        }
    }

    fn restart_report(&mut self, now: Seconds) -> RestartReport {
        let invalid_records = self.invalid_records();
        let deletions = &self.autoscaler.deletions;
        let progress = || {
            self.leader
                .reconciliation_progress(&self.cache, &|id| deletions.is_terminated(id))
        };
        RestartReport {
            node: self.settings.node_name.clone(),
            first_accepted_after_s: self
                .cold_restart
                .as_ref()
                .and_then(|restart| restart.first_accepted_s),
            leader: self.is_leader().then(progress),
            machines: self.shard.restart_record(now),
            invalid_record_count: invalid_records.len(),
            invalid_records: invalid_records
                .into_iter()
                .take(MAX_RECORDS_LISTED)
                .collect(),
        }
    }

    fn invalid_records(&self) -> Vec<InvalidRecordReport> {
        let invalid = self
            .cache
            .invalid_records
            .iter()
            .map(|(key, record)| InvalidRecordReport {
                key: key.clone(),
                reason: record.error.to_string(),
            });
        let dangling = find_dangling_references(&self.cache, &self.settings)
            .into_iter()
            .map(|record| InvalidRecordReport {
                key: record.key,
                reason: record.error.to_string(),
            });
        invalid.chain(dangling).collect()
    }
}
