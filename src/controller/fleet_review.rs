//! The leader's review of all machines: which are booting, healthy, idle, silent or faulty. The
//! autoscaler decides by it what to rent, drain and delete.

use super::Controller;
use crate::autoscaler::{
    BootProgress, BootingMachine, MachineOffer, MachineUsage, MINIMUM_CHARGE_S,
};
use crate::clock::{self, Seconds};
use crate::cluster::failure_detection::{FailureDetector, HealthVerdict, MachineHealth};
use crate::scheduler::{MachineFault, MachineSnapshot};
use crate::store::records::MachineRecord;
use crate::wire::{Catalog, MachineId};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

/// How long a machine counts as seen after it contacted a shard other than its own, in
/// report intervals.
const SEEN_ELSEWHERE_REPORTS: f64 = 4.0;

/// The result of the review of the machines that have been requested or rented and have not
/// sent a heartbeat yet.
#[derive(Default)]
pub(super) struct BootingReview {
    /// Machines that may still send their first heartbeat.
    pub(super) booting: Vec<BootingMachine>,
    /// Machines whose boot has timed out, which are to be deleted.
    pub(super) timed_out: Vec<MachineId>,
    /// The number of all on-demand machines in each zone, including those that have sent
    /// heartbeats.
    pub(super) on_demand_in_zone: BTreeMap<Arc<str>, u32>,
}

/// The result of the review of the machines that have sent heartbeats, in this epoch or an
/// earlier one.
#[derive(Default)]
pub(super) struct RunningReview {
    pub(super) in_use: Vec<MachineUsage>,
    /// Dead machines, which are to be deleted.
    pub(super) dead: Vec<MachineId>,
    /// Faulty or drained machines without tasks, which are to be deleted.
    pub(super) drained: Vec<MachineId>,
    /// CPUs on on-demand machines that are free for services, or soon will be.
    pub(super) free_on_demand_cpus: f64,
}

impl Controller {
    /// Reviews the machines that are rented, or requested, and have not sent a heartbeat.
    pub(super) fn review_booting(
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
    pub(super) fn review_running(
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

    /// Returns the health of every machine in use. A machine that was in use before this
    /// epoch and has not sent a heartbeat in it counts as silent: it may have died while
    /// there was no leader.
    pub(super) fn machine_health(&self, now: Seconds) -> HashMap<MachineId, MachineHealth> {
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
