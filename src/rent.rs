//! What to rent and what to return. Pure: demand and machines in, actions out.

use crate::clock::Secs;
use crate::place;
use crate::wire::{Catalog, JobSpec, MachineId, Rank, Res, Shape};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Tasks that no machine has room for.
#[derive(Debug, Clone)]
pub struct Want {
    pub ask: Res,
    pub count: u32,
    pub spec: Arc<JobSpec>,
    pub age_s: Secs,
}

/// A kind of offer: type, zone, spot.
pub type Offer = (Arc<str>, Arc<str>, bool);

/// A machine that was rented and hasn't reported yet.
#[derive(Debug, Clone)]
pub struct Booting {
    pub id: MachineId,
    pub offer: Offer,
    pub age_s: Secs,
}

/// A machine in use, as far as returning it is concerned.
#[derive(Debug, Clone)]
pub struct InUse {
    pub id: MachineId,
    pub offer: Offer,
    pub free: Res,
    pub idle_s: Secs,
    pub age_s: Secs,
    pub tasks: u32,
    pub open: bool,
    /// Holds replicas, which would have to be stopped.
    pub stays: bool,
}

/// Knobs, all of them ratios to figures of the settings or the catalogue.
#[derive(Debug, Clone)]
pub struct Knobs {
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

impl Default for Knobs {
    fn default() -> Self {
        Knobs {
            idle_boots: 0.6,
            spare_share: 0.08,
            never_boots: 3.0,
            low_waits_boots: 0.4,
            slack_share: 0.15,
        }
    }
}

/// The least that a machine is charged for.
pub const LEAST_CHARGE_S: f64 = 60.0;

/// What to rent now: offers and how many of each.
pub fn rent(
    wants: &[Want],
    booting: &[Booting],
    zones: &BTreeMap<Arc<str>, u32>,
    catalog: &Catalog,
    knobs: &Knobs,
    blocked: &dyn Fn(&Offer) -> bool,
) -> BTreeMap<Offer, u32> {
    let mut coming: Vec<(Offer, Res)> = booting
        .iter()
        .filter_map(|b| {
            let t = catalog.get(&b.offer.0)?;
            // One that is late is not counted on any more.
            (b.age_s < t.boot_s * knobs.never_boots / 2.0 + 5.0).then(|| (b.offer.clone(), t.total()))
        })
        .collect();
    let mut zones = zones.clone();
    for (o, _) in &coming {
        *zones.entry(o.1.clone()).or_default() += 1;
    }
    let mut new: BTreeMap<Offer, u32> = BTreeMap::new();
    let mut order: Vec<&Want> = wants.iter().collect();
    order.sort_by_key(|w| w.spec.rank);
    for w in order {
        let mut in_zone: HashMap<Arc<str>, u32> = HashMap::new();
        // Jobs for one zone get all their machines in the zone of the first.
        let zone_ok = |zone: &Arc<str>, taken: &HashMap<Arc<str>, u32>| {
            taken.get(zone).copied().unwrap_or(0) < w.spec.zone_cap()
                && (!w.spec.one_zone || taken.is_empty() || taken.contains_key(zone))
        };
        // How many more a zone takes, and how many an offer's machine holds.
        let zone_left = |zone: &Arc<str>, taken: &HashMap<Arc<str>, u32>| {
            let taken = taken.get(zone).copied().unwrap_or(0);
            w.spec.zone_cap().saturating_sub(taken)
        };
        let mut left = w.count;
        for (o, free) in coming.iter_mut() {
            if left == 0 {
                break;
            }
            if !place::allowed(&w.spec, &o.0, &o.1, o.2) || !zone_ok(&o.1, &in_zone) {
                continue;
            }
            let n = free.count(&w.ask).min(left).min(zone_left(&o.1, &in_zone));
            for _ in 0..n {
                free.take(&w.ask);
            }
            if n > 0 {
                *in_zone.entry(o.1.clone()).or_default() += n;
                left -= n;
            }
        }
        while left > 0 {
            let best = offers(catalog)
                .filter(|o| {
                    place::allowed(&w.spec, &o.0, &o.1, o.2)
                        && !blocked(o)
                        && (o.2 || !waits_for_spot(w, catalog, knobs))
                        && zone_ok(&o.1, &in_zone)
                })
                .filter_map(|o| {
                    let t = catalog.get(&o.0)?;
                    let n = t.total().count(&w.ask);
                    let price = if o.2 { t.spot_price } else { t.price };
                    (n > 0).then(|| {
                        // A big machine that stays mostly empty is not cheap.
                        let used = f64::from(n.min(w.count.max(1)));
                        let per_task = price / used.max(f64::from(n) * 0.5);
                        (per_task, zones.get(&o.1).copied().unwrap_or(0), o)
                    })
                })
                .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2)));
            let Some((_, _, o)) = best else { break };
            let Some(t) = catalog.get(&o.0) else { break };
            let mut free = t.total();
            let n = free.count(&w.ask).min(left).min(zone_left(&o.1, &in_zone)).max(1);
            for _ in 0..n {
                free.take(&w.ask);
            }
            left -= n;
            *in_zone.entry(o.1.clone()).or_default() += n;
            *zones.entry(o.1.clone()).or_default() += 1;
            *new.entry(o.clone()).or_default() += 1;
            coming.push((o, free));
        }
    }
    new
}

/// Low work is in no hurry: spot machines and room that comes free are cheaper
/// than an ordinary machine rented at once.
fn waits_for_spot(w: &Want, catalog: &Catalog, knobs: &Knobs) -> bool {
    let boot = catalog.types.iter().map(|t| t.boot_s).fold(0.0, f64::max);
    w.spec.spot && w.spec.rank == Rank::Low && w.age_s < boot * knobs.low_waits_boots
}

fn offers(catalog: &Catalog) -> impl Iterator<Item = Offer> + '_ {
    catalog.types.iter().flat_map(|t| {
        t.zones.iter().flat_map(move |z| [true, false].map(|spot| (t.name.clone(), z.clone(), spot)))
    })
}

/// Which idle machines to return: those idle for long enough and past their
/// least charge, but never the room that services' start aims need.
pub fn returns(machines: &[InUse], catalog: &Catalog, spare_cpus: f64, knobs: &Knobs) -> Vec<MachineId> {
    let mut spare: f64 = machines.iter().filter(|m| !m.offer.2 && m.open).map(|m| m.free.cpus.max(0.0)).sum();
    let mut idle: Vec<&InUse> = machines.iter().filter(|m| m.tasks == 0).collect();
    idle.sort_by(|a, b| b.idle_s.total_cmp(&a.idle_s));
    let mut out = Vec::new();
    for m in idle {
        let boot = catalog.get(&m.offer.0).map_or(LEAST_CHARGE_S, |t| t.boot_s);
        if m.idle_s < boot * knobs.idle_boots || m.age_s < LEAST_CHARGE_S * 0.9 {
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

/// Which machine to empty next: the dearest per CPU of those that hold nothing
/// that stays, if the rest have room for what it runs, for what is kept spare
/// and for a share of all work besides. It takes no new tasks, and is returned
/// once its last has ended; nothing is stopped for it.
pub fn to_empty(machines: &[InUse], catalog: &Catalog, spare_cpus: f64, knobs: &Knobs) -> Option<MachineId> {
    let open = || machines.iter().filter(|m| m.open);
    let free: f64 = open().map(|m| m.free.cpus.max(0.0)).sum();
    let total: f64 = open().filter_map(|m| Some(catalog.get(&m.offer.0)?.cpus)).sum();
    let price = |m: &InUse| {
        catalog
            .get(&m.offer.0)
            .map_or(0.0, |t| if m.offer.2 { t.spot_price } else { t.price } / t.cpus.max(1.0))
    };
    open()
        .filter(|m| !m.stays && m.age_s > LEAST_CHARGE_S)
        .filter(|m| {
            let cpus = catalog.get(&m.offer.0).map_or(0.0, |t| t.cpus);
            // What it runs moves on to the others as its tasks end.
            free - cpus >= spare_cpus + (total - free) * knobs.slack_share
        })
        .max_by(|a, b| {
            price(a).total_cmp(&price(b)).then(a.free.cpus.total_cmp(&b.free.cpus)).then(b.id.cmp(&a.id))
        })
        .map(|m| m.id.clone())
}

/// A want that stands for the spare room that services need to start at once.
pub fn spare_want(lacking_cpus: f64, like: &JobSpec) -> Option<Want> {
    if lacking_cpus <= 0.0 || like.cpus <= 0.0 {
        return None;
    }
    let mut spec = like.clone();
    spec.rank = Rank::Prod;
    spec.shape = Shape::Service;
    spec.spot = false;
    spec.scatter = false;
    spec.one_zone = false;
    Some(Want {
        ask: spec.ask(),
        count: (lacking_cpus / spec.cpus).ceil() as u32,
        spec: Arc::new(spec),
        age_s: 0.0,
    })
}
