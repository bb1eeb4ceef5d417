//! Caution after a restart, and its report, where the shard `cold-restart` is switched
//! on.

use super::Controller;
use crate::api::published_report::PublishedReport;
use crate::api::restart_report::{RecordLeftAlone, RestartReport};
use crate::clock::{self, Seconds};
use crate::config::features::ColdRestartConfig;
use crate::config::settings::Settings;
use crate::store::consistency::misfit_records;
use crate::wire::JobSpec;
use finchwood_reconciliation::hold_off::{Action, HoldOff, HoldOffLimits, Situation};
use finchwood_reconciliation::unreconciled::UnreconciledMachines;

/// The share of a report interval after which the report is published anew.
const PUBLISH_SHARE: f64 = 1.0 / 6.0;

/// The most records left alone that a report names.
const MAX_RECORDS_NAMED: usize = 100;

/// What the shard `cold-restart` keeps.
pub(super) struct Restart {
    hold_off: HoldOff,
    published: PublishedReport<RestartReport>,
    published_at: Seconds,
    /// The first job was accepted so long after the start of the process.
    first_accepted_s: Option<Seconds>,
}

impl Restart {
    pub(super) fn new(
        with: &ColdRestartConfig,
        settings: &Settings,
        published: PublishedReport<RestartReport>,
    ) -> Restart {
        let workers = &settings.params.workers;
        let limits = HoldOffLimits {
            answer_s: workers.report_s * with.answer_reports,
            lease_s: clock::with_drift_margin(workers.lease_s),
        };
        Restart {
            hold_off: HoldOff::new(limits),
            published,
            published_at: f64::MIN,
            first_accepted_s: None,
        }
    }
}

impl Controller {
    /// This node leads from now on, with what it knew before or with nothing.
    pub(super) fn began_to_lead(&mut self, kept: bool, now: Seconds) {
        if let Some(restart) = self.restart.as_mut().filter(|_| !kept) {
            restart.hold_off.begin(now);
        }
    }

    /// The machines in doubt, if caution may rest on them now.
    pub(super) fn doubt(&self, now: Seconds) -> Option<UnreconciledMachines> {
        let restart = self.restart.as_ref()?;
        let deletions = &self.autoscaler.deletions;
        let unreconciled = || {
            self.leader
                .unreconciled_machines(&self.cache, &|id| deletions.is_gone(id))
        };
        restart.hold_off.is_active(now).then(unreconciled)
    }

    /// Whether an action is held back while machines are in doubt; counted, if so.
    pub(super) fn holds(
        &mut self,
        action: Action,
        spec: Option<&JobSpec>,
        doubt: Option<&UnreconciledMachines>,
        now: Seconds,
    ) -> bool {
        let (Some(restart), Some(unreconciled)) = (&self.restart, doubt) else {
            return false;
        };
        let situation = Situation {
            now,
            all_shards_reported: self.leader.all_joined(),
            unreconciled,
        };
        match restart.hold_off.hold_reason(action, spec, situation) {
            Some(reason) => {
                self.shard.record_hold_off(action, reason);
                true
            }
            None => false,
        }
    }

    /// A job was accepted here.
    pub(super) fn note_accepted(&mut self, now: Seconds) {
        if let Some(restart) = &mut self.restart {
            restart.first_accepted_s.get_or_insert(now - self.began);
        }
    }

    /// Logs stored records that name what nobody knows.
    pub(super) fn report_misfits(&self) {
        for misfit in misfit_records(&self.cache, &self.settings) {
            tracing::warn!(key = misfit.key, why = %misfit.error, "a stored record doesn't fit");
        }
    }

    /// Publishes the report, now and then.
    pub(super) fn publish_restart(&mut self, now: Seconds) {
        let gap = self.settings.params.workers.report_s * PUBLISH_SHARE;
        let due = self
            .restart
            .as_ref()
            .is_some_and(|restart| now - restart.published_at >= gap);
        if !due {
            return;
        }
        let report = self.restart_report(now);
        if let Some(restart) = &mut self.restart {
            restart.published_at = now;
            restart.published.publish(report);
        }
    }

    fn restart_report(&mut self, now: Seconds) -> RestartReport {
        let left_alone = self.records_left_alone();
        let deletions = &self.autoscaler.deletions;
        let progress = || {
            self.leader
                .reconciliation_progress(&self.cache, &|id| deletions.is_gone(id))
        };
        RestartReport {
            node: self.settings.node_name.clone(),
            first_accepted_after_s: self
                .restart
                .as_ref()
                .and_then(|restart| restart.first_accepted_s),
            leader: self.leading().then(progress),
            machines: self.shard.restart_record(now),
            records_left_alone_count: left_alone.len(),
            records_left_alone: left_alone.into_iter().take(MAX_RECORDS_NAMED).collect(),
        }
    }

    fn records_left_alone(&self) -> Vec<RecordLeftAlone> {
        let unreadable = self.cache.unreadable.iter();
        let unreadable = unreadable.map(|(key, record)| RecordLeftAlone {
            key: key.clone(),
            why: record.error.to_string(),
        });
        let misfits = misfit_records(&self.cache, &self.settings).into_iter();
        let misfits = misfits.map(|misfit| RecordLeftAlone {
            key: misfit.key,
            why: misfit.error.to_string(),
        });
        unreadable.chain(misfits).collect()
    }
}
