//! What the leader remembers of its dealings with the cloud.

use super::capacity_backoff::CapacityBackoff;
use super::deletions::Deletions;
use super::machine_list::MachineListTracker;
use super::policy::MINIMUM_CHARGE_S;
use super::rentals::Rentals;
use crate::clock::Seconds;
use crate::wire::MachineId;

/// The share of the CPUs of all services whose replicas may be moved in a second.
const MOVED_SHARE_PER_S: f64 = 1.0 / 750.0;

/// The most machines that are consolidated in a report interval.
const CONSOLIDATIONS_PER_REPORT: f64 = 100.0;

/// Consolidation catches up with at most a report interval divided by this.
const CONSOLIDATION_PASSES_PER_REPORT: f64 = 12.0;

/// The most rounds of rentals in a report interval.
const SCALE_OUTS_PER_REPORT: f64 = 3.0;

/// After how many report intervals every machine that is up has reached a new leader.
const FIRST_REPORTS: f64 = 2.5;

/// The autoscaler's state: requests to the cloud, and when it last acted. Times are on
/// the steady clock, whose zero, the start of the process, stands for "not yet".
#[derive(Debug, Default)]
pub struct Autoscaler {
    /// Rentals without a certain answer.
    pub rentals: Rentals,
    /// Offers of which the cloud has too few machines.
    pub capacity_backoff: CapacityBackoff,
    /// Deletions under way and done.
    pub deletions: Deletions,
    /// What the cloud's machine lists have shown.
    pub machine_list: MachineListTracker,
    /// When the catalog is requested again; `None`: at once.
    catalog_due_at: Option<Seconds>,
    /// The catalog is being written to the key-value store.
    catalog_write_pending: bool,
    last_scale_out_at: Seconds,
    last_drain_at: Seconds,
    next_consolidation_at: Seconds,
    /// When the present epoch began to be led.
    leading_since: Seconds,
}

impl Autoscaler {
    /// This controller leads from now on.
    pub fn start_leading(&mut self, now: Seconds) {
        self.leading_since = now;
        self.machine_list.start_leading();
    }

    /// Whether this controller has led for so long that every machine that is up has
    /// reported. That a machine is up may not have been written before the leader
    /// changed.
    pub fn initial_reports_complete(&self, report_s: Seconds, now: Seconds) -> bool {
        now - self.leading_since > report_s * FIRST_REPORTS
    }

    /// A machine is off the machine registry.
    pub fn forget_machine(&mut self, id: &MachineId) {
        self.deletions.forget_request(id);
        self.machine_list.forget(id);
    }

    /// Whether to request the catalog now.
    pub fn is_catalog_due(&self, now: Seconds) -> bool {
        self.catalog_due_at.is_none_or(|due_at| now >= due_at)
    }

    /// The catalog was requested.
    pub fn record_catalog_request(&mut self, now: Seconds) {
        self.catalog_due_at = Some(now + MINIMUM_CHARGE_S);
    }

    /// The catalog is requested again at `at` at the latest.
    pub fn request_catalog_by(&mut self, at: Seconds) {
        self.catalog_due_at = self.catalog_due_at.map(|due_at| due_at.min(at));
    }

    /// Whether the catalog is being written to the key-value store.
    pub fn is_catalog_write_pending(&self) -> bool {
        self.catalog_write_pending
    }

    /// A write of the catalog was begun (`true`) or answered (`false`).
    pub fn set_catalog_write_pending(&mut self, pending: bool) {
        self.catalog_write_pending = pending;
    }

    /// Whether enough time has passed since the last rentals.
    pub fn may_scale_out(&self, report_s: Seconds, now: Seconds) -> bool {
        now - self.last_scale_out_at >= report_s / SCALE_OUTS_PER_REPORT
    }

    /// Machines are rented now.
    pub fn record_scale_out(&mut self, now: Seconds) {
        self.last_scale_out_at = now;
    }

    /// Whether machines may begin to drain now; if so, the next may after a report
    /// interval.
    pub fn begin_draining(&mut self, report_s: Seconds, now: Seconds) -> bool {
        let is_due = now - self.last_drain_at > report_s;
        if is_due {
            self.last_drain_at = now;
        }
        is_due
    }

    /// Begins a pass of consolidation: what was not moved for long is not caught up with.
    pub fn begin_consolidation(&mut self, report_s: Seconds, now: Seconds) {
        self.next_consolidation_at = self
            .next_consolidation_at
            .max(now - report_s / CONSOLIDATION_PASSES_PER_REPORT);
    }

    /// Whether the replicas of another machine may be moved now.
    pub fn may_consolidate(&self, now: Seconds) -> bool {
        now >= self.next_consolidation_at
    }

    /// Replicas with `moved_cpus` CPUs are moved, of `service_cpus` of all services.
    pub fn record_consolidation(&mut self, moved_cpus: f64, service_cpus: f64, report_s: Seconds) {
        self.next_consolidation_at += (moved_cpus / service_cpus / MOVED_SHARE_PER_S)
            .max(report_s / CONSOLIDATIONS_PER_REPORT);
    }
}
