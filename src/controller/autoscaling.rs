//! The leader's review of the whole fleet. It collects the input of the autoscaler, and
//! sends the resulting requests to the cloud client.

use super::Controller;
use crate::autoscaler::cloud::CloudRequest;
use crate::autoscaler::{
    self, BootProgress, BootingMachine, MachineOffer, MachineUsage, PendingDemand, MINIMUM_CHARGE_S,
};
use crate::clock::{self, Seconds};
use crate::cluster::failure_detection::{FailureDetector, HealthVerdict, MachineHealth};
use crate::config::settings::Workers;
use crate::scheduler::{MachineFault, MachineSnapshot};
use crate::store::records::MachineRecord;
use crate::wire::{Catalog, JobKind, MachineId};
use finchwood_reconciliation::hold_off::Action;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

/// The delay before a deletion without a response is requested again, in report intervals.
const DELETION_RETRY_REPORTS: f64 = 2.0;

/// How long a machine counts as seen after it contacted a shard other than its own, in
/// report intervals.
const SEEN_ELSEWHERE_REPORTS: f64 = 4.0;

/// The result of the review of the machines that have been requested or rented and have not
/// sent a heartbeat yet.
#[derive(Default)]
struct BootingReview {
    /// Machines that may still send their first heartbeat.
    booting: Vec<BootingMachine>,
    /// Machines whose boot has timed out, which are to be deleted.
    timed_out: Vec<MachineId>,
    /// The number of all on-demand machines in each zone, including those that have sent
    /// heartbeats.
    on_demand_in_zone: BTreeMap<Arc<str>, u32>,
}

/// The result of the review of the machines that have sent heartbeats, in this epoch or an
/// earlier one.
#[derive(Default)]
struct RunningReview {
    in_use: Vec<MachineUsage>,
    /// Dead machines, which are to be deleted.
    dead: Vec<MachineId>,
    /// Faulty or drained machines without tasks, which are to be deleted.
    drained: Vec<MachineId>,
    /// CPUs on on-demand machines that are free for services, or soon will be.
    free_on_demand_cpus: f64,
}

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

    /// Reviews the machines that are rented, or requested, and have not sent a heartbeat.
    fn review_booting(
        &self,
        catalog: &Catalog,
        detector: &FailureDetector,
        now: Seconds,
    ) -> BootingReview {
        let wall_clock_ms = clock::wall_clock_ms();
        let report_s = self.settings.params.workers.report_s;
        let initial_reports_complete = self.autoscaler.initial_reports_complete(report_s, now);
        let reported: HashSet<&MachineId> = self
            .leader
            .machines()
            .filter(|machine| machine.has_reported)
            .map(|machine| &machine.id)
            .collect();
        let mut review = BootingReview::default();
        for (id, record) in self.registered_machines() {
            if !record.spot {
                *review
                    .on_demand_in_zone
                    .entry(record.zone.clone())
                    .or_default() += 1;
            }
            let is_booting = !record.in_use
                && !reported.contains(id)
                && !self.autoscaler.deletions.is_terminated(id);
            // In an unreachable zone, it cannot be determined whether a machine is up, and
            // no task can be started on it.
            if !is_booting || detector.zone_unreachable(&record.zone) {
                continue;
            }
            let age_s = wall_clock_ms.saturating_sub(record.rented_at_ms) as f64 / 1000.0;
            let boot_s = catalog
                .get(&record.machine_type)
                .map_or(MINIMUM_CHARGE_S, |machine_type| machine_type.boot_s);
            let progress = self.policy.scaling.boot_progress(age_s, boot_s);
            if progress == BootProgress::TimedOut && initial_reports_complete {
                review.timed_out.push(id.clone());
            } else {
                review.booting.push(BootingMachine {
                    id: id.clone(),
                    offer: MachineOffer::from(record),
                    age_s,
                });
            }
        }
        review
            .booting
            .extend(self.autoscaler.rentals.pending_machines());
        review
    }

    /// Returns the machines in the machine registry, followed by those that have not been
    /// written to it yet.
    fn registered_machines(&self) -> impl Iterator<Item = (&MachineId, &MachineRecord)> {
        let registry = &self.cache.registry;
        let registered = registry
            .iter()
            .map(|(id, registered)| (id, &registered.record));
        let unwritten = self
            .registry
            .unwritten_machines()
            .filter(|(id, _)| !registry.contains_key(*id));
        registered.chain(unwritten)
    }

    /// Reviews the machines that have sent heartbeats, by their health.
    fn review_running(
        &mut self,
        catalog: &Catalog,
        detector: &FailureDetector,
        health: &HashMap<MachineId, MachineHealth>,
        delete_unprobed: bool,
        now: Seconds,
    ) -> RunningReview {
        let faults = self.leader.cordon_faulty_machines(&self.cache);
        let wall_clock_ms = clock::wall_clock_ms();
        let mut review = RunningReview::default();
        for machine in self.leader.machines_at(now) {
            let id = &machine.id;
            // While a machine is transferred to another shard, the source may report it as
            // empty although the target has already started tasks on it.
            if self.autoscaler.deletions.is_terminated(id) || self.is_being_transferred(id) {
                continue;
            }
            let Some(health) = health.get(id) else {
                continue;
            };
            match detector.verdict(health) {
                HealthVerdict::Replace if !delete_unprobed && health.is_only_silent() => continue,
                HealthVerdict::Replace => {
                    tracing::debug!(machine = %id, ?health, "replacing machine");
                    review.dead.push(id.clone());
                    continue;
                }
                // These machines do not count as idle. Otherwise all machines of a
                // partitioned zone would be returned, and new ones would have to be rented
                // and booted after the partition.
                HealthVerdict::Wait => continue,
                HealthVerdict::Keep => {}
            }
            self.record_healthy_machine(
                &machine,
                faults.get(id),
                catalog,
                wall_clock_ms,
                &mut review,
            );
        }
        review
    }

    /// Adds a healthy machine to the review.
    fn record_healthy_machine(
        &self,
        machine: &MachineSnapshot,
        fault: Option<&MachineFault>,
        catalog: &Catalog,
        wall_clock_ms: u64,
        review: &mut RunningReview,
    ) {
        let is_draining = self.leader.draining.contains(&machine.id);
        let is_proven_faulty = fault == Some(&MachineFault::Proven);
        let is_drained = machine.draining && machine.reconciled && is_draining;
        // A machine that is only suspected to be faulty is cordoned temporarily, and is not
        // returned.
        if machine.tasks == 0 && (is_proven_faulty || is_drained) {
            review.drained.push(machine.id.clone());
        }
        if !machine.spot && machine.schedulable {
            // Half of the CPUs that preemptible tasks use count as free: about half of this
            // work ends in the time that a new machine takes to boot.
            review.free_on_demand_cpus +=
                (machine.free.cpus + machine.preemptible.cpus / 2.0).max(0.0);
        }
        let schedulable = machine.schedulable && !is_draining && fault.is_none();
        review
            .in_use
            .push(self.machine_usage(machine, schedulable, catalog, wall_clock_ms));
    }

    /// Returns the usage of a machine, which is an input of the planning of scale-in.
    fn machine_usage(
        &self,
        machine: &MachineSnapshot,
        schedulable: bool,
        catalog: &Catalog,
        wall_clock_ms: u64,
    ) -> MachineUsage {
        let rented_at_ms = self
            .cache
            .registry
            .get(&machine.id)
            .map_or(wall_clock_ms, |registered| registered.record.rented_at_ms);
        let available_cpus = machine.free.cpus + machine.preemptible.cpus;
        MachineUsage {
            id: machine.id.clone(),
            offer: MachineOffer {
                machine_type: machine.machine_type.clone(),
                zone: machine.zone.clone(),
                spot: machine.spot,
            },
            free: machine.free,
            idle_s: machine.idle_s,
            age_s: wall_clock_ms.saturating_sub(rented_at_ms) as f64 / 1000.0,
            tasks: machine.tasks,
            schedulable,
            pinned_cpus: catalog
                .get(&machine.machine_type)
                .map_or(0.0, |machine_type| machine_type.cpus - available_cpus)
                .max(0.0),
        }
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

    /// Returns the health of every machine in use. A machine that was in use before this
    /// epoch and has not sent a heartbeat in it counts as silent: it may have died while
    /// there was no leader.
    fn machine_health(&self, now: Seconds) -> HashMap<MachineId, MachineHealth> {
        let report_s = self.settings.params.workers.report_s;
        let seen = self
            .leader
            .machines_seen_by_other_shards(report_s * SEEN_ELSEWHERE_REPORTS);
        let registry = &self.cache.registry;
        let is_in_use = |machine: &MachineSnapshot| {
            machine.has_reported
                || registry
                    .get(&machine.id)
                    .is_some_and(|registered| registered.record.in_use)
        };
        let health = |machine: MachineSnapshot| {
            let health = MachineHealth {
                zone: machine.zone.clone(),
                reconciled: machine.reconciled,
                silent_s: machine.silent_s,
                unanswered_s: machine.unanswered_s,
                zone_contact: machine.zone_contact,
                seen_by_other_controller: seen.contains(&machine.id),
                ignores_commands: machine.ignores_commands,
                owner_responds_late: machine.ignores_commands
                    && self.leader.owner_responds_late(&machine.id),
            };
            (machine.id.clone(), health)
        };
        self.leader
            .machines_at(now)
            .filter(is_in_use)
            .map(health)
            .collect()
    }
}
