//! Plans which machines to give up: idle machines are returned, expensive ones are drained
//! first.

use super::machines::MachineUsage;
use super::policy::{ScalingPolicy, MINIMUM_CHARGE_S};
use crate::wire::{Catalog, MachineId};

/// The share of the fleet that may start to drain in one report interval.
const DRAINED_SHARE: f64 = 0.04;

/// The share of the minimum charge after which a machine is returned: the rest passes until
/// the cloud has carried out the deletion.
const MINIMUM_CHARGE_SHARE: f64 = 0.9;

/// A machine with fewer pinned CPUs than this counts as having none.
const NO_PINNED_CPUS: f64 = 1e-6;

/// Plans which idle machines to return: those that have been idle for long enough and have
/// used up their minimum charge, except for the time that a deletion takes, as long as
/// `headroom_cpus` CPUs stay free on on-demand machines, which the start objectives of
/// services require.
pub fn plan_scale_in(
    machines: &[MachineUsage],
    catalog: &Catalog,
    headroom_cpus: f64,
    policy: &ScalingPolicy,
) -> Vec<MachineId> {
    let mut free_on_demand: f64 = machines
        .iter()
        .filter(|machine| !machine.offer.spot && machine.schedulable)
        .map(|machine| machine.free.cpus.max(0.0))
        .sum();
    let mut idle: Vec<&MachineUsage> = machines
        .iter()
        .filter(|machine| machine.tasks == 0)
        .collect();
    idle.sort_by(|a, b| b.idle_s.total_cmp(&a.idle_s));
    let mut returned = Vec::new();
    for machine in idle {
        if !is_idle_long_enough(machine, catalog, policy) {
            continue;
        }
        if !machine.offer.spot && machine.schedulable {
            if free_on_demand - machine.free.cpus < headroom_cpus {
                continue;
            }
            free_on_demand -= machine.free.cpus;
        }
        returned.push(machine.id.clone());
    }
    returned
}

/// Whether a machine has been idle for long enough and has nearly used up its minimum
/// charge.
fn is_idle_long_enough(machine: &MachineUsage, catalog: &Catalog, policy: &ScalingPolicy) -> bool {
    let boot_s = catalog
        .get(&machine.offer.machine_type)
        .map_or(MINIMUM_CHARGE_S, |machine_type| machine_type.boot_s);
    machine.idle_s >= boot_s * policy.idle_boot_times
        && machine.age_s >= MINIMUM_CHARGE_S * MINIMUM_CHARGE_SHARE
}

/// Plans which machines to drain next: those with the highest price per CPU that have no
/// pinned tasks, as long as the other machines have enough free capacity for the tasks that
/// these run, for `headroom_cpus` CPUs and for a share of all tasks.
///
/// A draining machine takes no new tasks and is returned once its last task has ended; no
/// task is stopped for it. In a large fleet several machines start to drain at a time.
pub fn plan_draining(
    machines: &[MachineUsage],
    catalog: &Catalog,
    headroom_cpus: f64,
    policy: &ScalingPolicy,
) -> Vec<MachineId> {
    let schedulable: Vec<&MachineUsage> = machines
        .iter()
        .filter(|machine| machine.schedulable)
        .collect();
    let mut free_cpus: f64 = schedulable
        .iter()
        .map(|machine| machine.free.cpus.max(0.0))
        .sum();
    let total_cpus: f64 = schedulable
        .iter()
        .map(|machine| machine.cpus(catalog))
        .sum();
    let used_cpus = total_cpus - free_cpus;
    let reserved_cpus = headroom_cpus + used_cpus * policy.work_headroom_share;
    let limit = ((schedulable.len() as f64 * DRAINED_SHARE) as usize).max(1);
    let mut drained = Vec::new();
    for machine in most_expensive_first(schedulable, catalog) {
        // As its tasks end, the next tasks of their jobs need capacity on other machines.
        if drained.len() >= limit || free_cpus - machine.cpus(catalog) < reserved_cpus {
            break;
        }
        free_cpus -= machine.cpus(catalog);
        drained.push(machine.id.clone());
    }
    drained
}

/// The machines that may drain, those with the highest price per CPU first, then those with
/// the most free CPUs.
fn most_expensive_first<'a>(
    mut machines: Vec<&'a MachineUsage>,
    catalog: &Catalog,
) -> Vec<&'a MachineUsage> {
    machines.retain(|machine| {
        machine.pinned_cpus <= NO_PINNED_CPUS && machine.age_s > MINIMUM_CHARGE_S
    });
    machines.sort_by(|a, b| {
        let price_order = b
            .price_per_cpu(catalog)
            .total_cmp(&a.price_per_cpu(catalog));
        price_order
            .then(b.free.cpus.total_cmp(&a.free.cpus))
            .then(a.id.cmp(&b.id))
    });
    machines
}
