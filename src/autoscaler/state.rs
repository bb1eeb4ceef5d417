//! The state that the leader keeps about its requests to the cloud.

use super::capacity_backoff::CapacityBackoff;
use super::deletions::Deletions;
use super::machine_list::MachineListTracker;
use super::policy::MINIMUM_CHARGE_S;
use super::rentals::Rentals;
use crate::clock::Seconds;
use crate::wire::MachineId;

/// The share of the CPUs of all services whose replicas may be moved per second.
const MOVED_SHARE_PER_S: f64 = 1.0 / 750.0;

/// The most machines that are consolidated in a report interval.
const CONSOLIDATIONS_PER_REPORT: f64 = 100.0;

/// Consolidation that was due earlier is made up for at most a report interval divided by
/// this number.
const CONSOLIDATION_CATCH_UP_DIVISOR: f64 = 12.0;

/// The most rounds of rentals in a report interval.
const SCALE_OUTS_PER_REPORT: f64 = 3.0;

/// The number of report intervals after which every running machine has reported to a new
/// leader.
const INITIAL_REPORTS_WAIT: f64 = 2.5;

/// The state of the autoscaler: requests to the cloud, and when it last acted. Times are on
/// the monotonic clock; its zero, the start of the process, stands for "not yet".
#[derive(Debug, Default)]
pub struct Autoscaler {
    /// Rentals whose outcome is not known yet.
    pub rentals: Rentals,
    /// Back-off for offers of which the cloud has too few machines.
    pub capacity_backoff: CapacityBackoff,
    /// Deletions in flight, and terminated machines.
    pub deletions: Deletions,
    /// The evaluation of the cloud's machine lists.
    pub machine_list: MachineListTracker,
    /// When the catalog is requested again; `None` for as soon as possible.
    catalog_due_at: Option<Seconds>,
    /// Whether the catalog is being written to the key-value store.
    catalog_write_pending: bool,
    last_scale_out_at: Seconds,
    last_drain_at: Seconds,
    /// When the replicas of another machine may be moved.
    next_consolidation_at: Seconds,
    /// Since when this controller has led.
    leading_since: Seconds,
}

impl Autoscaler {
    /// Records that this controller has become the leader.
    pub fn start_leading(&mut self, now: Seconds) {
        self.leading_since = now;
        self.machine_list.start_leading();
    }

    /// Whether this controller has led for so long that every running machine has reported
    /// to it. The machine registry may not show yet that a machine is up if the leader
    /// changed before that was written.
    pub fn initial_reports_complete(&self, report_s: Seconds, now: Seconds) -> bool {
        now - self.leading_since > report_s * INITIAL_REPORTS_WAIT
    }

    /// Removes what was recorded of a machine that was removed from the machine registry.
    pub fn forget_machine(&mut self, id: &MachineId) {
        self.deletions.forget_request(id);
        self.machine_list.forget(id);
    }

    /// Whether the catalog should be requested now.
    pub fn is_catalog_due(&self, now: Seconds) -> bool {
        self.catalog_due_at.is_none_or(|due_at| now >= due_at)
    }

    /// Records that the catalog was requested.
    pub fn record_catalog_request(&mut self, now: Seconds) {
        self.catalog_due_at = Some(now + MINIMUM_CHARGE_S);
    }

    /// Makes the next request for the catalog due at `at` at the latest.
    pub fn request_catalog_by(&mut self, at: Seconds) {
        self.catalog_due_at = self.catalog_due_at.map(|due_at| due_at.min(at));
    }

    /// Whether the catalog is being written to the key-value store.
    pub fn is_catalog_write_pending(&self) -> bool {
        self.catalog_write_pending
    }

    /// Sets whether a write of the catalog is in flight.
    pub fn set_catalog_write_pending(&mut self, pending: bool) {
        self.catalog_write_pending = pending;
    }

    /// Whether enough time has passed since the last round of rentals.
    pub fn may_scale_out(&self, report_s: Seconds, now: Seconds) -> bool {
        now - self.last_scale_out_at >= report_s / SCALE_OUTS_PER_REPORT
    }

    /// Records a round of rentals.
    pub fn record_scale_out(&mut self, now: Seconds) {
        self.last_scale_out_at = now;
    }

    /// Whether machines may start to drain now; if so, the next may a report interval
    /// later.
    pub fn begin_draining(&mut self, report_s: Seconds, now: Seconds) -> bool {
        let is_due = now - self.last_drain_at > report_s;
        if is_due {
            self.last_drain_at = now;
        }
        is_due
    }

    /// Starts a pass of consolidation. Moves that were not made in earlier passes are not
    /// made up for, except for a short time.
    pub fn begin_consolidation(&mut self, report_s: Seconds, now: Seconds) {
        self.next_consolidation_at = self
            .next_consolidation_at
            .max(now - report_s / CONSOLIDATION_CATCH_UP_DIVISOR);
    }

    /// Whether the replicas of another machine may be moved now.
    pub fn may_consolidate(&self, now: Seconds) -> bool {
        now >= self.next_consolidation_at
    }

    /// Records that replicas with `moved_cpus` CPUs are moved, out of `service_cpus` CPUs
    /// of all services.
    pub fn record_consolidation(&mut self, moved_cpus: f64, service_cpus: f64, report_s: Seconds) {
        self.next_consolidation_at += (moved_cpus / service_cpus / MOVED_SHARE_PER_S)
            .max(report_s / CONSOLIDATIONS_PER_REPORT);
    }
}
