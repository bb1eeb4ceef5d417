//! What to rent and what to return. Pure: demand and machines in, actions out.

use crate::clock::Seconds;
use crate::wire::{Catalog, JobKind, JobSpec, MachineId, MachineType, Priority, Resources};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Tasks that no machine has room for.
#[derive(Debug, Clone)]
pub struct PendingDemand {
    pub ask: Resources,
    pub count: u32,
    pub spec: Arc<JobSpec>,
    pub age_s: Seconds,
    /// No ordinary machine is rented for it: it waits for spot machines or for room.
    pub spot_only: bool,
    /// Where other tasks of the job are, if they depend on each other's zones.
    pub zones: BTreeMap<Arc<str>, u32>,
}

/// A kind of offer: type, zone, spot.
pub type Offer = (Arc<str>, Arc<str>, bool);

/// A machine that was rented and hasn't reported yet.
#[derive(Debug, Clone)]
pub struct BootingMachine {
    pub id: MachineId,
    pub offer: Offer,
    pub age_s: Seconds,
}

/// A machine in use, as far as returning it is concerned.
#[derive(Debug, Clone)]
pub struct MachineUsage {
    pub id: MachineId,
    pub offer: Offer,
    pub free: Resources,
    pub idle_s: Seconds,
    pub age_s: Seconds,
    pub tasks: u32,
    pub open: bool,
    /// CPUs of what would have to be stopped, as it doesn't end by itself.
    pub pinned_cpus: f64,
}

/// Settings of renting, all of them ratios to figures of the settings or the catalog.
#[derive(Debug, Clone)]
pub struct ScalingPolicy {
    /// Idle machines are kept for this share of their boot time.
    pub idle_boots: f64,
    /// Spare room for services, as a share of what they use.
    pub spare_share: f64,
    /// A machine that isn't up after so many nominal boot times never will be.
    pub never_boots: f64,
    /// Low work that may run on spot machines waits for one this many of the
    /// longest boot times before an ordinary one is rented for it.
    pub low_waits_boots: f64,
    /// Free room that is kept for new work, as a share of the work there is.
    pub slack_share: f64,
}

impl Default for ScalingPolicy {
    fn default() -> Self {
        ScalingPolicy {
            idle_boots: 0.6,
            spare_share: 0.08,
            never_boots: 3.0,
            low_waits_boots: 0.4,
            slack_share: 0.15,
        }
    }
}

/// How far a machine is that has not reported yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BootProgress {
    /// It is counted on.
    Expected,
    /// It may come yet, but is not counted on: another is rented for its work.
    Late,
    /// It never will: it is deleted.
    Never,
}

/// What the age at which a machine is late has beside its boot time, in seconds: the
/// way of its first report. One that never comes has twice that.
const FIRST_REPORT_S: Seconds = 5.0;

impl ScalingPolicy {
    /// How far a machine is, `age_s` after it was rented, whose boot takes `boot_s`.
    pub fn boot_progress(&self, age_s: Seconds, boot_s: Seconds) -> BootProgress {
        let never_s = boot_s * self.never_boots + 2.0 * FIRST_REPORT_S;
        if age_s > never_s {
            BootProgress::Never
        } else if age_s >= never_s / 2.0 {
            BootProgress::Late
        } else {
            BootProgress::Expected
        }
    }
}

/// For how many seconds the rate of the cloud may be taken by rentals without an
/// answer before more are asked for.
const UNANSWERED_S: Seconds = 0.75;

/// Whether rentals wait for their turn at the cloud's rate. Guard: many small
/// requests, a few machines of each offer at a time, took the cloud seconds to
/// answer; asked for later, the same machines come in fewer requests and sooner.
pub fn cloud_is_behind(unanswered_rentals: usize, cloud_rps: f64) -> bool {
    unanswered_rentals as f64 > cloud_rps * UNANSWERED_S
}

/// The least that a machine is charged for.
pub const LEAST_CHARGE_S: f64 = 60.0;

/// What to rent now: offers and how many of each. `zones` counts the ordinary machines
/// that are there.
pub fn rent(
    pending_demand: &[PendingDemand],
    booting: &[BootingMachine],
    zones: &BTreeMap<Arc<str>, u32>,
    catalog: &Catalog,
    settings: &ScalingPolicy,
    blocked: &dyn Fn(&Offer) -> bool,
) -> BTreeMap<Offer, u32> {
    let coming: Vec<(Offer, Resources)> = booting
        .iter()
        .filter_map(|b| expected(b, catalog, settings))
        .collect();
    let mut machines_in_zone = zones.clone();
    for (offer, _) in &coming {
        *machines_in_zone.entry(offer.1.clone()).or_default() += 1;
    }
    let mut plan = Plan {
        catalog,
        settings,
        blocked,
        coming,
        machines_in_zone,
        orders: BTreeMap::new(),
    };
    let mut by_priority: Vec<&PendingDemand> = pending_demand.iter().collect();
    by_priority.sort_by_key(|demand| demand.spec.priority);
    for demand in by_priority {
        plan.provide_for(demand);
    }
    plan.orders
}

/// The room of a machine that boots, if it is counted on.
fn expected(
    booting: &BootingMachine,
    catalog: &Catalog,
    settings: &ScalingPolicy,
) -> Option<(Offer, Resources)> {
    let machine_type = catalog.get(&booting.offer.0)?;
    let progress = settings.boot_progress(booting.age_s, machine_type.boot_s);
    (progress == BootProgress::Expected).then(|| (booting.offer.clone(), machine_type.total()))
}

/// What is rented, want by want.
struct Plan<'a> {
    catalog: &'a Catalog,
    settings: &'a ScalingPolicy,
    blocked: &'a dyn Fn(&Offer) -> bool,
    /// Free room of machines that boot, or are ordered here.
    coming: Vec<(Offer, Resources)>,
    machines_in_zone: BTreeMap<Arc<str>, u32>,
    orders: BTreeMap<Offer, u32>,
}

/// Where the tasks of one want go, and how many are left.
struct Remaining<'a> {
    demand: &'a PendingDemand,
    count: u32,
    /// Guard: what is left of a job binds the rest. Rented in another zone, the
    /// machines for it stood idle, and the job waited for ever.
    in_zone: HashMap<Arc<str>, u32>,
}

impl Remaining<'_> {
    /// How many more tasks a zone may take. A job for one zone gets all its machines in
    /// the zone of the first.
    fn zone_left(&self, zone: &Arc<str>) -> u32 {
        let spec = &self.demand.spec;
        if spec.one_zone && !self.in_zone.is_empty() && !self.in_zone.contains_key(zone) {
            return 0;
        }
        spec.zone_cap()
            .saturating_sub(self.in_zone.get(zone).copied().unwrap_or(0))
    }

    /// Whether machines of an offer may be used.
    fn allows(&self, offer: &Offer) -> bool {
        self.demand.spec.allowed_on(&offer.0, &offer.1, offer.2) && self.zone_left(&offer.1) > 0
    }

    /// Puts as many tasks as fit on a machine; returns their number.
    fn put_on(&mut self, offer: &Offer, free: &mut Resources) -> u32 {
        let count = free
            .max_tasks(&self.demand.ask)
            .min(self.count)
            .min(self.zone_left(&offer.1));
        for _ in 0..count {
            free.subtract(&self.demand.ask);
        }
        if count > 0 {
            *self.in_zone.entry(offer.1.clone()).or_default() += count;
            self.count -= count;
        }
        count
    }
}

impl Plan<'_> {
    /// Uses what is coming, and orders the rest.
    fn provide_for(&mut self, demand: &PendingDemand) {
        let in_zone = demand.zones.clone().into_iter().collect();
        let mut remaining = Remaining {
            demand,
            count: demand.count,
            in_zone,
        };
        for (offer, free) in &mut self.coming {
            if remaining.count == 0 {
                return;
            }
            if remaining.allows(offer) {
                remaining.put_on(offer, free);
            }
        }
        while remaining.count > 0 {
            let Some(offer) = self.cheapest(&remaining) else {
                return;
            };
            let Some(machine_type) = self.catalog.get(&offer.0) else {
                return;
            };
            let mut free = machine_type.total();
            if remaining.put_on(&offer, &mut free) == 0 {
                return;
            }
            *self.machines_in_zone.entry(offer.1.clone()).or_default() += 1;
            *self.orders.entry(offer.clone()).or_default() += 1;
            self.coming.push((offer, free));
        }
    }

    /// The offer with the lowest price for each task; of several, that of the zone with
    /// the fewest machines.
    fn cheapest(&self, remaining: &Remaining) -> Option<Offer> {
        let demand = remaining.demand;
        let waits = waits_for_spot(demand, self.catalog, self.settings);
        let usable = |offer: &Offer| {
            let kind = offer.2 || !demand.spot_only && !waits;
            kind && remaining.allows(offer) && !(self.blocked)(offer)
        };
        let priced = offers(self.catalog).filter(usable).filter_map(|offer| {
            let price = self.price_per_task(demand, &offer)?;
            let machines = self.machines_in_zone.get(&offer.1).copied().unwrap_or(0);
            Some((price, machines, offer))
        });
        let cheapest =
            priced.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2)));
        cheapest.map(|(_, _, offer)| offer)
    }

    /// What a task costs on a machine of an offer; none if it doesn't fit.
    fn price_per_task(&self, demand: &PendingDemand, offer: &Offer) -> Option<f64> {
        let machine_type = self.catalog.get(&offer.0)?;
        let fit = machine_type.total().max_tasks(&demand.ask);
        let price = if offer.2 {
            machine_type.spot_price
        } else {
            machine_type.price
        };
        // A big machine that stays mostly empty is not cheap.
        let used = f64::from(fit.min(demand.count.max(1)));
        (fit > 0).then(|| price / used.max(f64::from(fit) * 0.5))
    }
}

/// Low work is in no hurry: spot machines and room that comes free are cheaper
/// than an ordinary machine rented at once.
fn waits_for_spot(w: &PendingDemand, catalog: &Catalog, settings: &ScalingPolicy) -> bool {
    let boot = catalog.types.iter().map(|t| t.boot_s).fold(0.0, f64::max);
    w.spec.spot && w.spec.priority == Priority::Low && w.age_s < boot * settings.low_waits_boots
}

fn offers(catalog: &Catalog) -> impl Iterator<Item = Offer> + '_ {
    catalog.types.iter().flat_map(|t| {
        t.zones
            .iter()
            .flat_map(move |z| [true, false].map(|spot| (t.name.clone(), z.clone(), spot)))
    })
}

/// Which idle machines to return: those idle for long enough and past their
/// least charge, but never the room that services' start aims need.
pub fn returns(
    machines: &[MachineUsage],
    catalog: &Catalog,
    spare_cpus: f64,
    settings: &ScalingPolicy,
) -> Vec<MachineId> {
    let mut spare: f64 = machines
        .iter()
        .filter(|m| !m.offer.2 && m.open)
        .map(|m| m.free.cpus.max(0.0))
        .sum();
    let mut idle: Vec<&MachineUsage> = machines.iter().filter(|m| m.tasks == 0).collect();
    idle.sort_by(|a, b| b.idle_s.total_cmp(&a.idle_s));
    let mut out = Vec::new();
    for m in idle {
        let boot = catalog.get(&m.offer.0).map_or(LEAST_CHARGE_S, |t| t.boot_s);
        if m.idle_s < boot * settings.idle_boots || m.age_s < LEAST_CHARGE_S * 0.9 {
            continue;
        }
        if !m.offer.2 && m.open {
            if spare - m.free.cpus < spare_cpus {
                continue;
            }
            spare -= m.free.cpus;
        }
        out.push(m.id.clone());
    }
    out
}

/// How much of the fleet may begin to be emptied in one report interval.
const EMPTIED_SHARE: f64 = 0.04;

fn price_per_cpu(m: &MachineUsage, catalog: &Catalog) -> f64 {
    let price = |t: &MachineType| if m.offer.2 { t.spot_price } else { t.price };
    catalog
        .get(&m.offer.0)
        .map_or(0.0, |t| price(t) / t.cpus.max(1.0))
}

fn cpus(m: &MachineUsage, catalog: &Catalog) -> f64 {
    catalog.get(&m.offer.0).map_or(0.0, |t| t.cpus)
}

/// Which machines to empty next: the dearest per CPU of those that hold
/// nothing that stays, as long as the rest have room for what they run, for
/// what is kept spare and for a share of all work besides. They take no new
/// tasks, and are returned once their last has ended; nothing is stopped for
/// it. A large fleet empties several at a time.
pub fn to_empty(
    machines: &[MachineUsage],
    catalog: &Catalog,
    spare_cpus: f64,
    settings: &ScalingPolicy,
) -> Vec<MachineId> {
    let open: Vec<&MachineUsage> = machines.iter().filter(|m| m.open).collect();
    let mut free: f64 = open.iter().map(|m| m.free.cpus.max(0.0)).sum();
    let total: f64 = open.iter().map(|m| cpus(m, catalog)).sum();
    let work = total - free;
    let mut order: Vec<&MachineUsage> = open
        .iter()
        .copied()
        .filter(|m| m.pinned_cpus <= 1e-6 && m.age_s > LEAST_CHARGE_S)
        .collect();
    order.sort_by(|a, b| {
        let (pa, pb) = (price_per_cpu(a, catalog), price_per_cpu(b, catalog));
        pb.total_cmp(&pa)
            .then(b.free.cpus.total_cmp(&a.free.cpus))
            .then(a.id.cmp(&b.id))
    });
    let most = ((open.len() as f64 * EMPTIED_SHARE) as usize).max(1);
    let mut out = Vec::new();
    for m in order {
        // What it runs moves on to the others as its tasks end.
        if out.len() >= most || free - cpus(m, catalog) < spare_cpus + work * settings.slack_share {
            break;
        }
        free -= cpus(m, catalog);
        out.push(m.id.clone());
    }
    out
}

/// Which machine's replicas to move next, so that it can be returned: the
/// dearest per CPU, then the emptiest, of the ordinary machines whose replicas
/// fit into what other ordinary machines of their zone have free. What is
/// kept spare stays free besides, and so does as much again: a move must not
/// lead to a new machine.
pub fn to_move<'a>(
    machines: &'a [MachineUsage],
    catalog: &Catalog,
    spare_cpus: f64,
) -> Option<&'a MachineUsage> {
    let ordinary = || machines.iter().filter(|m| m.open && !m.offer.2);
    let free: f64 = ordinary().map(|m| m.free.cpus.max(0.0)).sum();
    let mut in_zone: HashMap<&str, f64> = HashMap::new();
    for m in ordinary() {
        *in_zone.entry(&m.offer.1).or_default() += m.free.cpus.max(0.0);
    }
    ordinary()
        .filter(|m| m.pinned_cpus > 0.0 && m.age_s > 2.0 * LEAST_CHARGE_S)
        .filter(|m| {
            let left = free - m.free.cpus.max(0.0) - m.pinned_cpus;
            let there = in_zone[&*m.offer.1] - m.free.cpus.max(0.0);
            left >= spare_cpus * 2.0 && there >= m.pinned_cpus * 2.0
        })
        .min_by(|a, b| {
            let (pa, pb) = (price_per_cpu(a, catalog), price_per_cpu(b, catalog));
            pb.total_cmp(&pa)
                .then(a.pinned_cpus.total_cmp(&b.pinned_cpus))
                .then(a.id.cmp(&b.id))
        })
}

/// A want that stands for the spare room that services need to start at once.
pub fn spare_want(lacking_cpus: f64, like: &JobSpec) -> Option<PendingDemand> {
    if lacking_cpus <= 0.0 || like.cpus <= 0.0 {
        return None;
    }
    let mut spec = like.clone();
    spec.priority = Priority::Prod;
    spec.job_kind = JobKind::Service;
    spec.spot = false;
    spec.scatter = false;
    spec.one_zone = false;
    Some(PendingDemand {
        zones: BTreeMap::new(),
        ask: spec.task_resources(),
        count: (lacking_cpus / spec.cpus).ceil() as u32,
        spec: Arc::new(spec),
        age_s: 0.0,
        spot_only: false,
    })
}
