//! Consolidation: moving the replicas of half-empty machines to others, so that these
//! machines can be returned.

use super::machines::MachineUsage;
use super::policy::MINIMUM_CHARGE_S;
use crate::wire::Catalog;
use std::collections::HashMap;

/// How many times over the capacity must be free that replicas move to, and so must be
/// the headroom afterwards: a move must not lead to a new machine.
const FREE_CAPACITY_FACTOR: f64 = 2.0;

/// A machine is not consolidated before this many minimum charges.
const MINIMUM_CHARGES: f64 = 2.0;

/// Selects the machine whose replicas to move next: the most expensive per CPU, then
/// the one with the least to move, of the on-demand machines whose replicas fit into
/// what other on-demand machines of their zone have free. Twice `headroom_cpus` CPUs
/// stay free besides.
pub fn select_for_consolidation<'a>(
    machines: &'a [MachineUsage],
    catalog: &Catalog,
    headroom_cpus: f64,
) -> Option<&'a MachineUsage> {
    let on_demand = || {
        machines
            .iter()
            .filter(|machine| machine.schedulable && !machine.offer.spot)
    };
    let free_cpus: f64 = on_demand().map(|machine| machine.free.cpus.max(0.0)).sum();
    let mut free_in_zone: HashMap<&str, f64> = HashMap::new();
    for machine in on_demand() {
        *free_in_zone.entry(&machine.offer.zone).or_default() += machine.free.cpus.max(0.0);
    }
    let has_replicas = |machine: &&MachineUsage| {
        machine.pinned_cpus > 0.0 && machine.age_s > MINIMUM_CHARGES * MINIMUM_CHARGE_S
    };
    let fits_elsewhere = |machine: &&MachineUsage| {
        let own_free_cpus = machine.free.cpus.max(0.0);
        let left = free_cpus - own_free_cpus - machine.pinned_cpus;
        let left_in_zone = free_in_zone[&*machine.offer.zone] - own_free_cpus;
        left >= headroom_cpus * FREE_CAPACITY_FACTOR
            && left_in_zone >= machine.pinned_cpus * FREE_CAPACITY_FACTOR
    };
    on_demand()
        .filter(has_replicas)
        .filter(fits_elsewhere)
        .min_by(|a, b| {
            let price_order = b
                .price_per_cpu(catalog)
                .total_cmp(&a.price_per_cpu(catalog));
            price_order
                .then(a.pinned_cpus.total_cmp(&b.pinned_cpus))
                .then(a.id.cmp(&b.id))
        })
}
