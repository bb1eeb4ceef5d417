//! Selects the machine for a task, with the filter and the cost function of HIOBS (section
//! 3.2, Algorithm 1) and a tie-breaking order that the paper leaves open.

use crate::wire::{Catalog, JobSpec, Resources};
use std::collections::HashMap;
use std::sync::Arc;

/// A machine that a task may be placed on.
#[derive(Debug, Clone)]
pub struct Candidate<'a> {
    /// The name of the machine.
    pub id: &'a str,
    /// Its machine type.
    pub machine_type: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// Whether it is a spot machine, which the cloud may reclaim at short notice.
    pub spot: bool,
    /// The resources that no task uses.
    pub free: Resources,
    /// Whether the task's image is likely cached there.
    pub image_cached: bool,
    /// The number of tasks of the same job in the machine's zone.
    pub job_tasks_in_zone: u32,
    /// The number of tasks of the same job on the machine.
    pub job_tasks_on_machine: u32,
}

/// Whether fetching its image would delay the start of a job too much: its class has a
/// start objective, and the slowest machine type takes more than half of that time to fetch
/// the image.
pub fn is_latency_sensitive(
    spec: &JobSpec,
    start_objectives_s: &HashMap<Arc<str>, f64>,
    catalog: Option<&Catalog>,
) -> bool {
    let slowest_fetch = |catalog: &Catalog| {
        catalog
            .types
            .iter()
            .map(|machine_type| machine_type.fetch_gb_per_s)
            .fold(f64::INFINITY, f64::min)
    };
    match (
        start_objectives_s.get(&spec.class),
        catalog.map(slowest_fetch),
    ) {
        (Some(within_s), Some(gb_per_s)) => spec.image_gb / gb_per_s > within_s / 2.0,
        _ => false,
    }
}

/// The fragmentation cost of a placement: what remains free of the GPUs if the task needs
/// any, and of the CPUs otherwise (HIOBS section 3.2.3, Equation 1, with GPUs or CPUs in
/// place of IOPS).
pub fn fragmentation_cost(free: &Resources, requested: &Resources) -> f64 {
    if requested.gpus > 0.0 {
        free.gpus - requested.gpus
    } else {
        free.cpus - requested.cpus
    }
}

/// A cost rounded to hundredths of a CPU or GPU; costs that round to the same value count
/// as equal.
pub fn quantized_cost(cost: f64) -> i64 {
    (cost * 100.0).round() as i64
}

/// Filters out the machines that lack resources or that the job does not allow, and selects
/// the one with the lowest cost (HIOBS section 3.2, Algorithm 1). Ties are broken by fewer
/// tasks of the job in the zone, then on the machine, then by a cached image, then by name.
///
/// Two criteria come before the cost of the paper. Jobs that allow spot machines fill those
/// first: the tightest fit would place them into the last free capacity of on-demand
/// machines, where services soon preempt them. And a latency-sensitive task goes to a
/// machine with a cached image if there is one, since fetching the image alone can take
/// longer than its start objective allows.
pub fn pick<'a>(
    spec: &JobSpec,
    latency_sensitive: bool,
    machines: impl Iterator<Item = Candidate<'a>>,
) -> Option<Candidate<'a>> {
    let requested = spec.task_resources();
    machines
        .filter(|machine| {
            spec.allowed_on(machine.machine_type, machine.zone, machine.spot)
                && machine.free.fits(&requested)
        })
        .min_by_key(|machine| {
            (
                latency_sensitive && !machine.image_cached,
                spec.spot && !machine.spot,
                quantized_cost(fragmentation_cost(&machine.free, &requested)),
                machine.job_tasks_in_zone,
                machine.job_tasks_on_machine,
                !machine.image_cached,
                machine.id,
            )
        })
}
