//! The leader's review of the whole fleet: which machines are rented, emptied,
//! returned or replaced.

use super::Controller;
use crate::autoscaler::cloud;
use crate::autoscaler::{
    self, BootProgress, BootingMachine, MachineOffer, MachineUsage, PendingDemand, MINIMUM_CHARGE_S,
};
use crate::clock::{self, Seconds};
use crate::cluster::failure_detection::{FailureDetector, MachineHealth, Verdict};
use crate::config::settings::Workers;
use crate::scheduler::{MachineFault, MachineSnapshot};
use crate::wire::{Catalog, JobKind, MachineId, RentalRequest};
use finchwood_reconciliation::hold_off::Action;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

/// The most machines that one request may name.
const MAX_RENTED: u32 = 50;

/// The most machines that one deletion may name.
const MAX_DELETED: usize = 100;

/// The share of all replicas that may be moved in a second.
const MOVED_PER_S: f64 = 1.0 / 750.0;

/// A rental without a certain answer yet.
#[derive(Debug)]
struct OpenRental {
    request: RentalRequest,
    /// When to ask again.
    retry_at: Seconds,
    /// The cloud has been asked and has not answered.
    pending: bool,
}

/// An offer of which the cloud had too few machines.
#[derive(Debug, Clone, Copy, Default)]
struct NoCapacity {
    /// It is not asked for before.
    until: Seconds,
    /// How often in a row.
    refusals: u32,
}

/// The leader's dealings with the cloud.
#[derive(Debug, Default)]
pub(crate) struct Autoscaler {
    counter: u64,
    open: HashMap<String, OpenRental>,
    no_capacity: HashMap<MachineOffer, NoCapacity>,
    /// Deletions under way, and when to ask again.
    deleting: HashMap<MachineId, Seconds>,
    /// Machines that are certainly gone, and since when that is known.
    pub(super) deleted: HashMap<MachineId, Seconds>,
    pub(super) list: super::cloud_responses::ListState,
    catalog_due: Seconds,
    pub(super) catalog_pending: bool,
    rented_at: Seconds,
    emptied_at: Seconds,
    move_after: Seconds,
    /// When the present epoch began to be led.
    led_since: Seconds,
}

impl Autoscaler {
    /// This node leads from now on.
    pub(super) fn lead(&mut self, now: Seconds) {
        self.led_since = now;
        self.list.lead();
    }

    /// A machine is off the machine registry.
    pub(super) fn forget(&mut self, id: &MachineId) {
        self.deleting.remove(id);
        self.list.forget(id);
    }

    /// The catalog's write was answered.
    pub(super) fn catalog_written(&mut self) {
        self.catalog_pending = false;
    }

    /// The catalog is asked for again by `at`.
    pub(super) fn catalog_due_by(&mut self, at: Seconds) {
        self.catalog_due = self.catalog_due.min(at);
    }

    /// A rental has got its final answer.
    pub(super) fn rental_closed(&mut self, request: &RentalRequest) {
        self.open.remove(&request.request);
    }

    /// A rental has got no certain answer: the same is asked again.
    pub(super) fn rental_unknown(&mut self, request: RentalRequest, retry_at: Seconds) {
        if let Some(open) = self.open.get_mut(&request.request) {
            *open = OpenRental {
                request,
                retry_at,
                pending: false,
            };
        }
    }

    /// An offer was rented in full.
    pub(super) fn has_capacity(&mut self, offer: &MachineOffer) {
        self.no_capacity.remove(offer);
    }

    /// The cloud has too few machines of an offer. Capacity comes back as machines
    /// are returned: it is asked again after a while, and less often the longer
    /// there is none.
    pub(super) fn lacks_capacity(&mut self, offer: MachineOffer, report_s: Seconds, now: Seconds) {
        const MAX_REFUSALS: u32 = 4;
        let refused = self.no_capacity.entry(offer).or_default();
        refused.refusals = (refused.refusals + 1).min(MAX_REFUSALS);
        refused.until = now + report_s * f64::from(refused.refusals) * 2.0;
    }

    /// Machines are certainly gone.
    pub(super) fn note_deleted(&mut self, machines: Vec<MachineId>, now: Seconds) {
        for id in machines {
            self.deleting.remove(&id);
            self.deleted.insert(id, now);
        }
    }

    /// A deletion has failed, or nobody knows: the same is asked again.
    pub(super) fn deletion_failed(&mut self, machines: Vec<MachineId>, retry_at: Seconds) {
        self.deleting
            .extend(machines.into_iter().map(|id| (id, retry_at)));
    }

    /// Machines to come of rentals that have not been answered.
    fn unanswered(&self) -> impl Iterator<Item = BootingMachine> + '_ {
        self.open.values().flat_map(|OpenRental { request, .. }| {
            let offer = MachineOffer::from(request);
            let booting = BootingMachine {
                id: "".into(),
                offer,
                age_s: 0.0,
            };
            std::iter::repeat_n(booting, request.count as usize)
        })
    }
}

/// Machines on the machine registry that have not reported yet.
#[derive(Default)]
struct NotUp {
    booting: Vec<BootingMachine>,
    /// They should have long been up.
    never: Vec<MachineId>,
    /// Ordinary machines of each zone, up or not.
    ordinary_in_zone: BTreeMap<Arc<str>, u32>,
}

/// Machines that have reported.
#[derive(Default)]
struct Up {
    in_use: Vec<MachineUsage>,
    /// To be deleted: dead.
    delete: Vec<MachineId>,
    /// To be deleted: faulty or emptied.
    emptied: Vec<MachineId>,
    /// CPUs on ordinary machines that are free for services, or soon will be.
    free_ordinary: f64,
}

impl Controller {
    /// Looks over the fleet and has machines deleted, emptied and rented.
    pub(super) fn autoscale(&mut self, now: Seconds) {
        self.ask_cloud(now);
        let Some(catalog) = self.cache.catalog.clone() else {
            return;
        };
        let Workers {
            report_s, lease_s, ..
        } = self.settings.params.workers;
        let signs = self.signs(now);
        let detector = FailureDetector::new(report_s, lease_s, signs.values());
        let not_up = self.machines_not_up(&catalog, &detector, now);
        let doubt = self.doubt(now);
        self.leader.preemption_held = self.holds(Action::Preempt, None, doubt.as_ref(), now);
        let consolidates = !self.holds(Action::Consolidate, None, doubt.as_ref(), now);
        let evicts_unasked = !self.holds(Action::EvictUnasked, None, doubt.as_ref(), now);
        let mut up = self.machines_up(&catalog, &detector, &signs, evicts_unasked, now);
        if !consolidates {
            up.emptied.clear();
        }
        let mut delete = not_up.never;
        delete.extend(up.delete);
        delete.extend(up.emptied);
        delete.extend(self.machines_not_rid_of_cancelled_tasks());
        self.delete(delete, now);
        let spare = self.leader.service_cpus() * self.policy.scaling.service_headroom_share;
        self.leader.reserved_cpus = spare;
        if consolidates {
            self.empty_machines(&up.in_use, &catalog, spare, now);
        }
        let early = now - self.autoscaler.rented_at < report_s / 3.0;
        if early || self.cloud_is_behind() || !self.leader.all_joined() {
            return;
        }
        let mut pending_demand = self.wants(spare - up.free_ordinary);
        pending_demand
            .retain(|demand| !self.holds(Action::Rent, Some(&demand.spec), doubt.as_ref(), now));
        if pending_demand.is_empty() {
            return;
        }
        self.autoscaler.rented_at = now;
        let lacking = |offer: &MachineOffer| {
            self.autoscaler
                .no_capacity
                .get(offer)
                .is_some_and(|n| now < n.until)
        };
        let blocked =
            |offer: &MachineOffer| detector.zone_unreachable(&offer.zone) || lacking(offer);
        let zones = &not_up.ordinary_in_zone;
        let orders = autoscaler::plan_scale_out(
            &pending_demand,
            &not_up.booting,
            zones,
            &catalog,
            &self.policy.scaling,
            &blocked,
        );
        self.rent(orders, now);
    }

    fn cloud_is_behind(&self) -> bool {
        let pending = self
            .autoscaler
            .open
            .values()
            .filter(|rental| rental.pending)
            .count();
        autoscaler::rental_backlog_is_full(pending, self.settings.params.cloud.rps)
    }

    /// Asks the cloud what is due: the catalog, the machine list, rentals that
    /// have got no certain answer.
    fn ask_cloud(&mut self, now: Seconds) {
        if now >= self.autoscaler.catalog_due
            && self.cloud.try_send(cloud::CloudRequest::Catalog).is_ok()
        {
            self.autoscaler.catalog_due = now + MINIMUM_CHARGE_S;
        }
        if self.autoscaler.list.due(now) && self.cloud.try_send(cloud::CloudRequest::List).is_ok() {
            self.autoscaler
                .list
                .asked(now, self.settings.params.cloud.list_lag_s);
        }
        for open in self
            .autoscaler
            .open
            .values_mut()
            .filter(|o| !o.pending && now >= o.retry_at)
        {
            open.pending = self
                .cloud
                .try_send(cloud::CloudRequest::Rent(open.request.clone()))
                .is_ok();
        }
    }

    /// What is on the machine registry, or on its way there, and has not reported.
    fn machines_not_up(
        &self,
        catalog: &Catalog,
        detector: &FailureDetector,
        now: Seconds,
    ) -> NotUp {
        let wall_clock_ms = clock::wall_clock_ms();
        let report_s = self.settings.params.workers.report_s;
        let reported: HashSet<&MachineId> = self
            .leader
            .machines()
            .filter(|m| m.has_reported)
            .map(|m| &m.id)
            .collect();
        let registered = self
            .cache
            .registry
            .iter()
            .map(|(id, machine)| (id, &machine.record));
        let on_the_way = self
            .registry
            .fresh
            .iter()
            .map(|(id, (_, record))| (id, record));
        let on_the_way = on_the_way.filter(|(id, _)| !self.cache.registry.contains_key(*id));
        let mut out = NotUp::default();
        for (id, record) in registered.chain(on_the_way) {
            if !record.spot {
                *out.ordinary_in_zone.entry(record.zone.clone()).or_default() += 1;
            }
            if record.in_use || reported.contains(id) || self.autoscaler.deleted.contains_key(id) {
                continue;
            }
            // Whether it is up can't be seen, and nothing can be run there.
            if detector.zone_unreachable(&record.zone) {
                continue;
            }
            let age_s = wall_clock_ms.saturating_sub(record.rented_at_ms) as f64 / 1000.0;
            let boot_s = catalog
                .get(&record.machine_type)
                .map_or(MINIMUM_CHARGE_S, |t| t.boot_s);
            // That it is up may not have been written before the leader changed.
            let heard_by_now = now - self.autoscaler.led_since > report_s * 2.5;
            let progress = self.policy.scaling.boot_progress(age_s, boot_s);
            if progress == BootProgress::TimedOut && heard_by_now {
                out.never.push(id.clone());
            } else {
                let offer = MachineOffer::from(record);
                out.booting.push(BootingMachine {
                    id: id.clone(),
                    offer,
                    age_s,
                });
            }
        }
        out.booting.extend(self.autoscaler.unanswered());
        out
    }

    /// What has reported, by whether it is still of use.
    fn machines_up(
        &mut self,
        catalog: &Catalog,
        detector: &FailureDetector,
        signs: &HashMap<MachineId, MachineHealth>,
        evicts_unasked: bool,
        now: Seconds,
    ) -> Up {
        let faults = self.leader.cordon_faulty_machines(&self.cache);
        let wall_clock_ms = clock::wall_clock_ms();
        let mut out = Up::default();
        for m in self.leader.machines_at(now) {
            let Some(sign) = signs
                .get(&m.id)
                .filter(|_| !self.autoscaler.deleted.contains_key(&m.id))
            else {
                continue;
            };
            // Guard: deleted by its source's word, that it is empty, while its target had already
            // started something there.
            if self.is_changing_hands(&m.id) {
                continue;
            }
            match detector.verdict(sign) {
                Verdict::Replace if !evicts_unasked && sign.is_only_silent() => continue,
                Verdict::Replace => {
                    tracing::debug!(id = %m.id, ?sign, "replaced");
                    out.delete.push(m.id.clone());
                    continue;
                }
                // Not idle: returned, the whole zone's machines were rented and
                // booted anew once the cut was over.
                Verdict::Wait => continue,
                Verdict::Keep => {}
            }
            let draining = self.leader.draining.contains(&m.id);
            let proven_faulty = faults.get(&m.id) == Some(&MachineFault::Proven);
            // Guard: one that is closed for a while on suspicion is not returned.
            if m.tasks == 0 && (proven_faulty || m.draining && m.reconciled && draining) {
                out.emptied.push(m.id.clone());
            }
            if !m.spot && m.schedulable {
                // Of lower work there, half ends while a machine boots.
                out.free_ordinary += (m.free.cpus + m.preemptible.cpus / 2.0).max(0.0);
            }
            let rented_ms = self
                .cache
                .registry
                .get(&m.id)
                .map_or(wall_clock_ms, |machine| machine.record.rented_at_ms);
            let yields_cpus = m.free.cpus + m.preemptible.cpus;
            out.in_use.push(MachineUsage {
                id: m.id.clone(),
                offer: MachineOffer {
                    machine_type: m.machine_type.clone(),
                    zone: m.zone.clone(),
                    spot: m.spot,
                },
                free: m.free,
                idle_s: m.idle_s,
                age_s: wall_clock_ms.saturating_sub(rented_ms) as f64 / 1000.0,
                tasks: m.tasks,
                schedulable: m.schedulable && !draining && !faults.contains_key(&m.id),
                pinned_cpus: catalog
                    .get(&m.machine_type)
                    .map_or(0.0, |t| t.cpus - yields_cpus)
                    .max(0.0),
            });
        }
        out
    }

    /// Machines that may still run tasks cancelled a while ago. Guard: a worker that
    /// hangs or obeys nothing keeps what its lease would end. Deleted, it is gone
    /// for certain, in the time that is left.
    fn machines_not_rid_of_cancelled_tasks(&self) -> Vec<MachineId> {
        let after_s = self.settings.evict_after_s() - self.settings.params.time_bound_ms / 500.0;
        let machines = self.leader.machines_with_cancelled_tasks(
            &self.cache,
            clock::wall_clock_ms(),
            after_s.max(0.0),
        );
        if !machines.is_empty() {
            tracing::info!(machines_with_cancelled_tasks = ?machines, "cancelled tasks may still be there");
        }
        machines.into_iter().collect()
    }

    /// Has machines deleted that are not being deleted already.
    pub(super) fn delete(&mut self, ids: Vec<MachineId>, now: Seconds) {
        let autoscaler = &self.autoscaler;
        let due = |id: &MachineId| {
            !autoscaler.deleted.contains_key(id)
                && autoscaler
                    .deleting
                    .get(id)
                    .is_none_or(|&retry| now >= retry)
        };
        let ids: Vec<MachineId> = ids.into_iter().filter(due).take(MAX_DELETED).collect();
        if ids.is_empty() {
            return;
        }
        let retry_at = now + self.settings.params.workers.report_s * 2.0;
        self.autoscaler.deletion_failed(ids.clone(), retry_at);
        tracing::info!(?ids, "deleting machines");
        let _ = self.cloud.try_send(cloud::CloudRequest::Delete(ids));
    }

    /// Chooses machines that take no more tasks, so that they can be returned; opens
    /// some of them again if there is work for them after all.
    fn empty_machines(
        &mut self,
        in_use: &[MachineUsage],
        catalog: &Catalog,
        spare: f64,
        now: Seconds,
    ) {
        let report_s = self.settings.params.workers.report_s;
        self.leader.draining.extend(autoscaler::plan_scale_in(
            in_use,
            catalog,
            spare,
            &self.policy.scaling,
        ));
        if !self.leader.pending_demand.is_empty() {
            self.reopen_machines(in_use);
        } else {
            if now - self.autoscaler.emptied_at > report_s {
                self.autoscaler.emptied_at = now;
                for id in autoscaler::plan_draining(in_use, catalog, spare, &self.policy.scaling) {
                    tracing::debug!(%id, "emptying");
                    self.leader.draining.insert(id);
                }
            }
            self.move_replicas(in_use, catalog, spare, now);
        }
        let registry = &self.cache.registry;
        self.leader.draining.retain(|id| registry.contains_key(id));
        self.leader
            .consolidating
            .retain(|id| registry.contains_key(id));
    }

    /// Opens as many machines that were to be emptied as the waiting work needs.
    fn reopen_machines(&mut self, in_use: &[MachineUsage]) {
        let mut needed: f64 = self
            .leader
            .pending_demand
            .iter()
            .map(PendingDemand::cpus)
            .sum();
        for m in in_use.iter().filter(|m| m.tasks > 0) {
            if needed <= 0.0 || !self.leader.draining.contains(&m.id) {
                continue;
            }
            needed -= m.free.cpus.max(0.0);
            self.leader.draining.remove(&m.id);
            self.leader.consolidating.remove(&m.id);
        }
    }

    /// Moves the replicas of machines that are mostly empty, so that these can be
    /// returned. Each replica is away for about a second, so that only a small
    /// share of all is moved in any while.
    fn move_replicas(
        &mut self,
        in_use: &[MachineUsage],
        catalog: &Catalog,
        spare: f64,
        now: Seconds,
    ) {
        if !self.leader.is_reconciled() {
            return;
        }
        let report_s = self.settings.params.workers.report_s;
        let all = self.leader.service_cpus().max(1.0);
        let mut in_use = in_use.to_vec();
        let mut moved = 0.0;
        let after = &mut self.autoscaler.move_after;
        *after = after.max(now - report_s / 12.0);
        while now >= *after {
            let Some(m) = autoscaler::select_for_consolidation(&in_use, catalog, spare + moved)
            else {
                return;
            };
            let (id, cpus) = (m.id.clone(), m.pinned_cpus);
            tracing::debug!(%id, cpus, "moving its replicas");
            moved += cpus;
            *after += (cpus / all / MOVED_PER_S).max(report_s / 100.0);
            in_use.retain(|m| m.id != id);
            self.leader.draining.insert(id.clone());
            self.leader.consolidating.insert(id);
        }
    }

    /// What machines are wanted for: tasks without room, and room for services to
    /// come, of which `lacking_cpus` are not there.
    fn wants(&self, lacking_cpus: f64) -> Vec<PendingDemand> {
        let mut pending_demand = self.leader.pending_demand.clone();
        let live = self.cache.jobs.values().filter(|job| job.live());
        let service = live
            .filter_map(|job| job.record.spec.as_ref())
            .find(|s| s.job_kind == JobKind::Service);
        pending_demand
            .extend(service.and_then(|spec| PendingDemand::service_headroom(lacking_cpus, spec)));
        pending_demand
    }

    /// Asks the cloud for machines.
    fn rent(&mut self, orders: BTreeMap<MachineOffer, u32>, now: Seconds) {
        for (offer, mut count) in orders {
            while count > 0 {
                self.autoscaler.counter += 1;
                let request = RentalRequest {
                    request: format!("fw-{}-{}", self.incarnation, self.autoscaler.counter),
                    machine_type: offer.machine_type.clone(),
                    zone: offer.zone.clone(),
                    spot: offer.spot,
                    count: count.min(MAX_RENTED),
                };
                count -= request.count;
                if self
                    .cloud
                    .try_send(cloud::CloudRequest::Rent(request.clone()))
                    .is_err()
                {
                    break;
                }
                tracing::info!(?request, "renting");
                let open = OpenRental {
                    request: request.clone(),
                    retry_at: now,
                    pending: true,
                };
                self.autoscaler.open.insert(request.request, open);
            }
        }
    }

    /// What every machine that was in use shows of itself. One that was in use
    /// before this epoch and hasn't been heard in it is silent too: it may have
    /// died while nobody led.
    fn signs(&self, now: Seconds) -> HashMap<MachineId, MachineHealth> {
        let report_s = self.settings.params.workers.report_s;
        let met = self.leader.seen_by_other_shards(report_s * 4.0);
        let used = |m: &MachineSnapshot| {
            m.has_reported
                || self
                    .cache
                    .registry
                    .get(&m.id)
                    .is_some_and(|machine| machine.record.in_use)
        };
        let sign = |m: MachineSnapshot| {
            let sign = MachineHealth {
                zone: m.zone.clone(),
                state_known: m.reconciled,
                silent_s: m.silent_s,
                unanswered_s: m.unanswered_s,
                zone_contact: m.reached,
                seen_by_other_controller: met.contains(&m.id),
                ignores_commands: m.ignores_commands,
                owner_unreachable: m.ignores_commands && self.leader.owner_responds_late(&m.id),
            };
            (m.id.clone(), sign)
        };
        self.leader
            .machines_at(now)
            .filter(used)
            .map(sign)
            .collect()
    }
}
