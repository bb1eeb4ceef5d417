//! Consolidation: moving the service replicas of partly used machines to other machines, so
//! that the emptied machines can be returned.

use super::machines::MachineUsage;
use super::policy::MINIMUM_CHARGE_S;
use crate::wire::Catalog;
use std::collections::HashMap;

/// How many times the required capacity must be free, both for the replicas to move and for
/// the headroom afterwards: moving replicas must not cause a machine to be rented.
const FREE_CAPACITY_FACTOR: f64 = 2.0;

/// The age from which a machine may be consolidated, in multiples of [`MINIMUM_CHARGE_S`].
const MIN_AGE_IN_MINIMUM_CHARGES: f64 = 2.0;

/// Selects the machine whose replicas are moved next, among the on-demand machines whose
/// replicas fit into the free capacity of other on-demand machines in their zone while
/// twice `headroom_cpus` CPUs stay free: the one with the highest price per CPU, and of
/// several the one with the fewest CPUs to move.
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
        machine.pinned_cpus > 0.0 && machine.age_s > MIN_AGE_IN_MINIMUM_CHARGES * MINIMUM_CHARGE_S
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
