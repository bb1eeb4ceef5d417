//! Planning which machines to rent for pending demand.

use super::demand::PendingDemand;
use super::machines::{BootingMachine, MachineOffer};
use super::policy::{BootProgress, ScalingPolicy};
use crate::clock::Seconds;
use crate::wire::{Catalog, Priority, Resources};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// For how many seconds unanswered rentals may take up the cloud's request rate before
/// further ones are held back.
const MAX_BACKLOG_S: Seconds = 0.75;

/// The least share of a machine that its price is spread over.
const MINIMUM_USED_SHARE: f64 = 0.5;

/// Whether further rentals wait until the cloud has answered more of the earlier ones.
/// `cloud_rps` is the cloud's limit, in requests per second.
///
/// Many small requests, for a few machines of each offer at a time, took the cloud
/// seconds to answer; asked for later, the same machines come in fewer requests and
/// sooner.
pub fn rental_backlog_is_full(unanswered_rentals: usize, cloud_rps: f64) -> bool {
    unanswered_rentals as f64 > cloud_rps * MAX_BACKLOG_S
}

/// Plans what to rent now: how many machines of each offer.
///
/// `on_demand_in_zone` counts the on-demand machines of each zone; offers for which
/// `is_blocked` holds are left out. Demand of higher priority is served first.
pub fn plan_scale_out(
    pending_demand: &[PendingDemand],
    booting: &[BootingMachine],
    on_demand_in_zone: &BTreeMap<Arc<str>, u32>,
    catalog: &Catalog,
    policy: &ScalingPolicy,
    is_blocked: &dyn Fn(&MachineOffer) -> bool,
) -> BTreeMap<MachineOffer, u32> {
    let coming: Vec<(MachineOffer, Resources)> = booting
        .iter()
        .filter_map(|machine| expected_capacity(machine, catalog, policy))
        .collect();
    let mut machines_in_zone = on_demand_in_zone.clone();
    for (offer, _) in &coming {
        *machines_in_zone.entry(offer.zone.clone()).or_default() += 1;
    }
    let mut plan = ScaleOutPlan {
        catalog,
        policy,
        is_blocked,
        coming,
        machines_in_zone,
        rentals: BTreeMap::new(),
    };
    let mut by_priority: Vec<&PendingDemand> = pending_demand.iter().collect();
    by_priority.sort_by_key(|demand| demand.spec.priority);
    for demand in by_priority {
        plan.provide_for(demand);
    }
    plan.rentals
}

/// The capacity of a booting machine, if it is expected in time.
fn expected_capacity(
    machine: &BootingMachine,
    catalog: &Catalog,
    policy: &ScalingPolicy,
) -> Option<(MachineOffer, Resources)> {
    let machine_type = catalog.get(&machine.offer.machine_type)?;
    let progress = policy.boot_progress(machine.age_s, machine_type.boot_s);
    (progress == BootProgress::Expected).then(|| (machine.offer.clone(), machine_type.total()))
}

/// The rentals planned so far.
struct ScaleOutPlan<'a> {
    catalog: &'a Catalog,
    policy: &'a ScalingPolicy,
    is_blocked: &'a dyn Fn(&MachineOffer) -> bool,
    /// Free capacity of machines that boot or are in the plan.
    coming: Vec<(MachineOffer, Resources)>,
    machines_in_zone: BTreeMap<Arc<str>, u32>,
    rentals: BTreeMap<MachineOffer, u32>,
}

/// The tasks of one demand that have no machine in the plan yet.
struct UnplacedTasks<'a> {
    demand: &'a PendingDemand,
    count: u32,
    /// Tasks of the job in each zone, those that run already among them: rented in
    /// another zone than these allow, the machines would stand idle and the job would
    /// wait for ever.
    in_zone: HashMap<Arc<str>, u32>,
}

impl<'a> UnplacedTasks<'a> {
    fn new(demand: &'a PendingDemand) -> UnplacedTasks<'a> {
        UnplacedTasks {
            demand,
            count: demand.count,
            in_zone: demand.tasks_in_zone.clone().into_iter().collect(),
        }
    }

    /// How many more tasks a zone may take. A job for one zone gets all its machines in
    /// the zone of the first.
    fn zone_quota_left(&self, zone: &Arc<str>) -> u32 {
        let spec = &self.demand.spec;
        if spec.one_zone && !self.in_zone.is_empty() && !self.in_zone.contains_key(zone) {
            return 0;
        }
        spec.zone_cap()
            .saturating_sub(self.in_zone.get(zone).copied().unwrap_or(0))
    }

    /// Whether the tasks may run on machines of an offer.
    fn allows(&self, offer: &MachineOffer) -> bool {
        let spec = &self.demand.spec;
        spec.allowed_on(&offer.machine_type, &offer.zone, offer.spot)
            && self.zone_quota_left(&offer.zone) > 0
    }

    /// Places as many tasks as fit into the free capacity of a machine; returns their
    /// number.
    fn place_on(&mut self, offer: &MachineOffer, free: &mut Resources) -> u32 {
        let count = free
            .max_tasks(&self.demand.task_resources)
            .min(self.count)
            .min(self.zone_quota_left(&offer.zone));
        for _ in 0..count {
            free.subtract(&self.demand.task_resources);
        }
        if count > 0 {
            *self.in_zone.entry(offer.zone.clone()).or_default() += count;
            self.count -= count;
        }
        count
    }
}

impl ScaleOutPlan<'_> {
    /// Uses the capacity that is coming, and rents what is missing.
    fn provide_for(&mut self, demand: &PendingDemand) {
        let mut tasks = UnplacedTasks::new(demand);
        for (offer, free) in &mut self.coming {
            if tasks.count == 0 {
                return;
            }
            if tasks.allows(offer) {
                tasks.place_on(offer, free);
            }
        }
        while tasks.count > 0 {
            if !self.rent_for(&mut tasks) {
                return;
            }
        }
    }

    /// Adds one machine to the plan and places tasks on it; false if no offer is of use.
    fn rent_for(&mut self, tasks: &mut UnplacedTasks) -> bool {
        let Some(offer) = self.cheapest_offer(tasks) else {
            return false;
        };
        let Some(machine_type) = self.catalog.get(&offer.machine_type) else {
            return false;
        };
        let mut free = machine_type.total();
        if tasks.place_on(&offer, &mut free) == 0 {
            return false;
        }
        *self.machines_in_zone.entry(offer.zone.clone()).or_default() += 1;
        *self.rentals.entry(offer.clone()).or_default() += 1;
        self.coming.push((offer, free));
        true
    }

    /// The offer with the lowest price for each task; of several, that of the zone with
    /// the fewest machines.
    fn cheapest_offer(&self, tasks: &UnplacedTasks) -> Option<MachineOffer> {
        let demand = tasks.demand;
        let spot_only = demand.spot_only || waits_for_spot(demand, self.catalog, self.policy);
        let is_usable = |offer: &MachineOffer| {
            (offer.spot || !spot_only) && tasks.allows(offer) && !(self.is_blocked)(offer)
        };
        let priced = MachineOffer::all_in(self.catalog)
            .filter(is_usable)
            .filter_map(|offer| {
                let price = self.price_per_task(demand, &offer)?;
                let machines = self.machines_in_zone.get(&offer.zone).copied().unwrap_or(0);
                Some((price, machines, offer))
            });
        let cheapest =
            priced.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2)));
        cheapest.map(|(_, _, offer)| offer)
    }

    /// What a task costs per hour on a machine of an offer; `None` if it does not fit.
    fn price_per_task(&self, demand: &PendingDemand, offer: &MachineOffer) -> Option<f64> {
        let machine_type = self.catalog.get(&offer.machine_type)?;
        let fit = machine_type.total().max_tasks(&demand.task_resources);
        let price = offer.price(machine_type);
        // A big machine that stays mostly empty is not cheap.
        let used = f64::from(fit.min(demand.count.max(1)));
        (fit > 0).then(|| price / used.max(f64::from(fit) * MINIMUM_USED_SHARE))
    }
}

/// Whether the demand still waits for spot machines. Work of low priority is not urgent:
/// spot machines and capacity that becomes free cost less than an on-demand machine
/// rented at once.
fn waits_for_spot(demand: &PendingDemand, catalog: &Catalog, policy: &ScalingPolicy) -> bool {
    let longest_boot_s = catalog
        .types
        .iter()
        .map(|machine_type| machine_type.boot_s)
        .fold(0.0, f64::max);
    demand.spec.spot
        && demand.spec.priority == Priority::Low
        && demand.age_s < longest_boot_s * policy.spot_wait_boot_times
}
