//! Plans which machines to rent for pending demand.

use super::demand::PendingDemand;
use super::machines::{BootingMachine, MachineOffer};
use super::policy::{BootProgress, ScalingPolicy};
use crate::clock::Seconds;
use crate::wire::{Catalog, Priority, Resources};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Further rentals wait while more are in flight than the cloud's rate limit admits within
/// this many seconds.
const MAX_BACKLOG_S: Seconds = 0.75;

/// In the price per task, a machine counts as used to at least this share.
const MINIMUM_USED_SHARE: f64 = 0.5;

/// Whether further rentals wait until the cloud has responded to more of the earlier ones.
/// `cloud_rps` is the cloud's rate limit, in requests per second.
///
/// Many small requests, each for a few machines of an offer, took the cloud seconds to
/// respond to. When rentals wait, the same machines are rented with fewer requests and
/// arrive sooner.
pub fn rental_backlog_is_full(rentals_in_flight: usize, cloud_rps: f64) -> bool {
    rentals_in_flight as f64 > cloud_rps * MAX_BACKLOG_S
}

/// Plans how many machines of each offer to rent now.
///
/// `on_demand_in_zone` is the number of on-demand machines in each zone. Offers for which
/// `is_blocked` returns true are not used. Demand of higher priority is served first.
pub fn plan_scale_out(
    pending_demand: &[PendingDemand],
    booting: &[BootingMachine],
    on_demand_in_zone: &BTreeMap<Arc<str>, u32>,
    catalog: &Catalog,
    policy: &ScalingPolicy,
    is_blocked: &dyn Fn(&MachineOffer) -> bool,
) -> BTreeMap<MachineOffer, u32> {
    let available: Vec<(MachineOffer, Resources)> = booting
        .iter()
        .filter_map(|machine| expected_capacity(machine, catalog, policy))
        .collect();
    let mut machines_in_zone = on_demand_in_zone.clone();
    for (offer, _) in &available {
        *machines_in_zone.entry(offer.zone.clone()).or_default() += 1;
    }
    let mut plan = ScaleOutPlan {
        catalog,
        policy,
        is_blocked,
        available,
        machines_in_zone,
        rentals: BTreeMap::new(),
    };
    let mut by_priority: Vec<&PendingDemand> = pending_demand.iter().collect();
    by_priority.sort_by_key(|demand| demand.spec.priority);
    for demand in by_priority {
        plan.place_or_rent(demand);
    }
    plan.rentals
}

/// The capacity of a booting machine; `None` if it is not expected to boot in time.
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
    /// The free capacity of machines that are booting or planned.
    available: Vec<(MachineOffer, Resources)>,
    /// On-demand machines in each zone, and machines that are booting or planned there.
    machines_in_zone: BTreeMap<Arc<str>, u32>,
    rentals: BTreeMap<MachineOffer, u32>,
}

/// The tasks of one demand for which no machine is planned yet.
struct UnplacedTasks<'a> {
    demand: &'a PendingDemand,
    count: u32,
    /// The number of tasks of the job in each zone, including those that run already.
    /// Machines in a zone that the job's zone constraints exclude would stay idle while the
    /// job waits indefinitely.
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

    /// How many further tasks a zone may take. For a job that must run in one zone, all
    /// machines are rented in the zone of the first.
    fn zone_allowance(&self, zone: &Arc<str>) -> u32 {
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
            && self.zone_allowance(&offer.zone) > 0
    }

    /// Places as many tasks as fit into the free capacity of a machine, and returns their
    /// number.
    fn place_on(&mut self, offer: &MachineOffer, free: &mut Resources) -> u32 {
        let count = free
            .max_tasks(&self.demand.task_resources)
            .min(self.count)
            .min(self.zone_allowance(&offer.zone));
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
    /// Places a demand's tasks on booting and planned machines, and plans rentals for the
    /// rest.
    fn place_or_rent(&mut self, demand: &PendingDemand) {
        let mut tasks = UnplacedTasks::new(demand);
        for (offer, free) in &mut self.available {
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

    /// Plans the rental of one machine and places tasks on it. Returns false if no offer is
    /// suitable.
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
        self.available.push((offer, free));
        true
    }

    /// The offer with the lowest price per task; of several, the one in the zone with the
    /// fewest machines.
    fn cheapest_offer(&self, tasks: &UnplacedTasks) -> Option<MachineOffer> {
        let demand = tasks.demand;
        let spot_only = demand.spot_only || waits_for_spot(demand, self.catalog, self.policy);
        let is_usable = |offer: &MachineOffer| {
            (offer.spot || !spot_only) && tasks.allows(offer) && !(self.is_blocked)(offer)
        };
        let priced_offers = MachineOffer::all_in(self.catalog)
            .filter(is_usable)
            .filter_map(|offer| {
                let price = self.price_per_task(demand, &offer)?;
                let machines = self.machines_in_zone.get(&offer.zone).copied().unwrap_or(0);
                Some((price, machines, offer))
            });
        let cheapest = priced_offers
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2)));
        cheapest.map(|(_, _, offer)| offer)
    }

    /// The price of a task per hour on a machine of an offer; `None` if the task does not
    /// fit.
    fn price_per_task(&self, demand: &PendingDemand, offer: &MachineOffer) -> Option<f64> {
        let machine_type = self.catalog.get(&offer.machine_type)?;
        let fit = machine_type.total().max_tasks(&demand.task_resources);
        let price = offer.price(machine_type);
        // A large machine that would stay mostly empty does not count as cheap.
        let used = f64::from(fit.min(demand.count.max(1)));
        (fit > 0).then(|| price / used.max(f64::from(fit) * MINIMUM_USED_SHARE))
    }
}

/// Whether the demand still waits for spot machines. Low-priority jobs are not urgent: spot
/// machines and capacity that becomes free cost less than renting an on-demand machine at
/// once.
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
