//! Drains, deletes and rents machines by the leader's review of all machines, and sends the
//! resulting requests to the cloud client.

use super::fleet_review::BootingReview;
use super::Controller;
use crate::autoscaler::cloud::CloudRequest;
use crate::autoscaler::{self, MachineOffer, MachineUsage, PendingDemand};
use crate::clock::{self, Seconds};
use crate::cluster::failure_detection::FailureDetector;
use crate::config::settings::Workers;
use crate::wire::{Catalog, JobKind, MachineId};
use finchwood_reconciliation::hold_off::Action;

/// The delay before a deletion without a response is requested again, in report intervals.
const DELETION_RETRY_REPORTS: f64 = 2.0;

impl Controller {
    /// Reviews the whole fleet, and deletes, drains and rents machines as needed.
    pub(super) fn autoscale(&mut self, now: Seconds) {
        self.send_due_requests(now);
        let Some(catalog) = self.cache.catalog.clone() else {
            return;
        };
        let Workers {
            report_s, lease_s, ..
        } = self.settings.params.workers;
        let health = self.machine_health(now);
        let detector = FailureDetector::new(report_s, lease_s, health.values());
        let mut booting_review = self.review_booting(&catalog, &detector, now);
        let unreconciled = self.unreconciled_machines(now);
        let unreconciled = unreconciled.as_ref();
        self.leader.preemption_suspended =
            self.is_held_off(Action::Preempt, None, unreconciled, now);
        let may_consolidate = !self.is_held_off(Action::Consolidate, None, unreconciled, now);
        let delete_unprobed = !self.is_held_off(Action::DeleteUnprobed, None, unreconciled, now);
        let mut running_review =
            self.review_running(&catalog, &detector, &health, delete_unprobed, now);
        if !may_consolidate {
            running_review.drained.clear();
        }
        let mut to_delete = std::mem::take(&mut booting_review.timed_out);
        to_delete.extend(running_review.dead);
        to_delete.extend(running_review.drained);
        to_delete.extend(self.machines_with_cancelled_tasks());
        self.delete_machines(to_delete, now);
        let headroom_cpus = self.leader.service_cpus() * self.policy.scaling.service_headroom_share;
        self.leader.reserved_cpus = headroom_cpus;
        if may_consolidate {
            self.scale_in(&running_review.in_use, &catalog, headroom_cpus, now);
        }
        if !self.may_scale_out(now) {
            return;
        }
        let missing_cpus = headroom_cpus - running_review.free_on_demand_cpus;
        let mut demand = self.total_demand(missing_cpus);
        demand.retain(|demand| {
            !self.is_held_off(Action::Rent, Some(&demand.spec), unreconciled, now)
        });
        if !demand.is_empty() {
            self.scale_out(&demand, &booting_review, &catalog, &detector, now);
        }
    }

    /// Returns whether machines may be rented now.
    fn may_scale_out(&self, now: Seconds) -> bool {
        let report_s = self.settings.params.workers.report_s;
        let in_flight = self.autoscaler.rentals.requests_in_flight();
        self.autoscaler.may_scale_out(report_s, now)
            && !autoscaler::rental_backlog_is_full(in_flight, self.settings.params.cloud.rps)
            && self.leader.all_shards_reported()
    }

    /// Sends the due requests to the cloud: those for the catalog and the machine list, and
    /// the retries of rentals whose outcome is unknown.
    fn send_due_requests(&mut self, now: Seconds) {
        let cloud = &self.cloud;
        let send = |request| cloud.try_send(request).is_ok();
        if self.autoscaler.is_catalog_due(now) && send(CloudRequest::Catalog) {
            self.autoscaler.record_catalog_request(now);
        }
        if self.autoscaler.machine_list.is_due(now) && send(CloudRequest::List) {
            let lag_s = self.settings.params.cloud.list_lag_s;
            self.autoscaler.machine_list.record_request(now, lag_s);
        }
        self.autoscaler
            .rentals
            .resend_due(now, |request| send(CloudRequest::Rent(request)));
    }

    /// Returns the machines that may still run tasks which were cancelled so long ago that
    /// the machines have to be deleted. Such tasks should have ended with the worker's lease,
    /// but a worker that hangs or ignores commands may keep them running. Deleting the
    /// machine is certain to end them within the remaining time.
    fn machines_with_cancelled_tasks(&self) -> Vec<MachineId> {
        let after_s = self.settings.evict_after_s() - self.settings.params.time_bound_ms / 500.0;
        let machines = self.leader.machines_with_cancelled_tasks(
            &self.cache,
            clock::wall_clock_ms(),
            after_s.max(0.0),
        );
        if !machines.is_empty() {
            tracing::info!(?machines, "machines may still run cancelled tasks");
        }
        machines.into_iter().collect()
    }

    /// Requests the deletion of machines, except those that no longer exist and those whose
    /// deletion was requested recently.
    pub(super) fn delete_machines(&mut self, machines: Vec<MachineId>, now: Seconds) {
        let machines = self.autoscaler.deletions.due(machines, now);
        if machines.is_empty() {
            return;
        }
        let retry_at = now + self.settings.params.workers.report_s * DELETION_RETRY_REPORTS;
        self.autoscaler.deletions.retry(machines.clone(), retry_at);
        tracing::info!(?machines, "deleting machines");
        // If the queue is full, the retry requests the deletion again.
        let _ = self.cloud.try_send(CloudRequest::Delete(machines));
    }

    /// Drains idle and expensive machines and consolidates half-empty ones, so that they
    /// can be returned. If tasks are pending, stops draining machines that could run them.
    fn scale_in(
        &mut self,
        in_use: &[MachineUsage],
        catalog: &Catalog,
        headroom_cpus: f64,
        now: Seconds,
    ) {
        let policy = &self.policy.scaling;
        let idle = autoscaler::plan_scale_in(in_use, catalog, headroom_cpus, policy);
        self.leader.draining.extend(idle);
        if !self.leader.pending_demand.is_empty() {
            self.stop_draining(in_use);
        } else {
            let report_s = self.settings.params.workers.report_s;
            if self.autoscaler.begin_draining(report_s, now) {
                for id in autoscaler::plan_draining(in_use, catalog, headroom_cpus, policy) {
                    tracing::debug!(machine = %id, "draining machine");
                    self.leader.draining.insert(id);
                }
            }
            self.consolidate(in_use, catalog, headroom_cpus, now);
        }
        let registry = &self.cache.registry;
        self.leader.draining.retain(|id| registry.contains_key(id));
        self.leader
            .consolidating
            .retain(|id| registry.contains_key(id));
    }

    /// Stops the draining of as many machines as the pending demand needs.
    fn stop_draining(&mut self, in_use: &[MachineUsage]) {
        let mut needed_cpus: f64 = self
            .leader
            .pending_demand
            .iter()
            .map(PendingDemand::cpus)
            .sum();
        for machine in in_use.iter().filter(|machine| machine.tasks > 0) {
            if needed_cpus <= 0.0 || !self.leader.draining.contains(&machine.id) {
                continue;
            }
            needed_cpus -= machine.free.cpus.max(0.0);
            self.leader.draining.remove(&machine.id);
            self.leader.consolidating.remove(&machine.id);
        }
    }

    /// Moves the replicas of half-empty machines to other machines, so that the half-empty
    /// ones can be returned. Each replica that is moved is unavailable for about a second;
    /// therefore only a small share of all replicas is moved in any period.
    fn consolidate(
        &mut self,
        in_use: &[MachineUsage],
        catalog: &Catalog,
        headroom_cpus: f64,
        now: Seconds,
    ) {
        if !self.leader.is_reconciled() {
            return;
        }
        let report_s = self.settings.params.workers.report_s;
        let service_cpus = self.leader.service_cpus().max(1.0);
        let mut in_use = in_use.to_vec();
        let mut moved_cpus = 0.0;
        self.autoscaler.begin_consolidation(report_s, now);
        while self.autoscaler.may_consolidate(now) {
            let reserved_cpus = headroom_cpus + moved_cpus;
            let Some(machine) =
                autoscaler::select_for_consolidation(&in_use, catalog, reserved_cpus)
            else {
                return;
            };
            let (id, cpus) = (machine.id.clone(), machine.pinned_cpus);
            tracing::debug!(machine = %id, cpus, "consolidating machine");
            moved_cpus += cpus;
            self.autoscaler
                .record_consolidation(cpus, service_cpus, report_s);
            in_use.retain(|machine| machine.id != id);
            self.leader.draining.insert(id.clone());
            self.leader.consolidating.insert(id);
        }
    }

    /// Returns all demand for more machines: the tasks for which no machine has free
    /// capacity, and the `missing_cpus` CPUs by which the headroom for services falls short.
    fn total_demand(&self, missing_cpus: f64) -> Vec<PendingDemand> {
        let mut demand = self.leader.pending_demand.clone();
        let service = self
            .cache
            .jobs
            .values()
            .filter(|job| job.is_live())
            .filter_map(|job| job.record.spec.as_ref())
            .find(|spec| spec.job_kind == JobKind::Service);
        demand.extend(service.and_then(|spec| PendingDemand::service_headroom(missing_cpus, spec)));
        demand
    }

    /// Plans rentals for the demand and requests them from the cloud.
    fn scale_out(
        &mut self,
        demand: &[PendingDemand],
        booting_review: &BootingReview,
        catalog: &Catalog,
        detector: &FailureDetector,
        now: Seconds,
    ) {
        self.autoscaler.record_scale_out(now);
        let capacity_backoff = &self.autoscaler.capacity_backoff;
        let is_blocked = |offer: &MachineOffer| {
            detector.zone_unreachable(&offer.zone) || capacity_backoff.is_blocked(offer, now)
        };
        let rentals = autoscaler::plan_scale_out(
            demand,
            &booting_review.booting,
            &booting_review.on_demand_in_zone,
            catalog,
            &self.policy.scaling,
            &is_blocked,
        );
        for (offer, count) in rentals {
            self.rent(&offer, count);
        }
    }

    /// Requests the rental of `count` machines of an offer from the cloud. If the queue of
    /// requests is full, the rest is not requested.
    fn rent(&mut self, offer: &MachineOffer, mut count: u32) {
        while count > 0 {
            let request = self.autoscaler.rentals.next_request(
                self.membership.incarnation().unwrap_or_default(),
                offer,
                count,
            );
            count -= request.count;
            let message = CloudRequest::Rent(request.clone());
            if self.cloud.try_send(message).is_err() {
                return;
            }
            tracing::info!(?request, "renting machines");
            self.autoscaler.rentals.record_sent(request);
        }
    }
}
