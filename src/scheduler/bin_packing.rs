//! Which machine a task is placed on: the filter and cost of HIOBS (section 3.2,
//! Algorithm 1), with an order of ties that the paper leaves open.

use crate::wire::{Catalog, JobSpec, Resources};
use std::collections::HashMap;
use std::sync::Arc;

/// A machine that a task may be placed on.
#[derive(Debug, Clone)]
pub struct Candidate<'a> {
    /// The machine.
    pub id: &'a str,
    /// Its machine type.
    pub machine_type: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// Whether the cloud may take it back at short notice.
    pub spot: bool,
    /// What no task uses.
    pub free: Resources,
    /// Whether the task's image is likely cached there.
    pub image_cached: bool,
    /// Tasks of the same job in the machine's zone.
    pub job_tasks_in_zone: u32,
    /// Tasks of the same job on the machine.
    pub job_tasks_on_machine: u32,
}

/// Whether a job is latency-sensitive for a fetch: its class has an aim
/// for the start, and the image takes more than half of that to fetch.
pub fn is_latency_sensitive(
    spec: &JobSpec,
    objectives: &HashMap<Arc<str>, f64>,
    catalog: Option<&Catalog>,
) -> bool {
    let slowest = |c: &Catalog| {
        c.types
            .iter()
            .map(|t| t.fetch_gb_per_s)
            .fold(f64::INFINITY, f64::min)
    };
    match (objectives.get(&spec.class), catalog.map(slowest)) {
        (Some(within), Some(rate)) => spec.image_gb / rate > within / 2.0,
        _ => false,
    }
}

/// The fragmentation cost: what is left of the resource that counts (HIOBS section
/// 3.2.3, Equation 1, with GPUs or else CPUs in place of IOPS).
pub fn fragmentation_cost(free: &Resources, ask: &Resources) -> f64 {
    if ask.gpus > 0.0 {
        free.gpus - ask.gpus
    } else {
        free.cpus - ask.cpus
    }
}

/// A cost in steps of a hundredth of a CPU or GPU, within which costs count as equal.
pub fn quantized_cost(cost: f64) -> i64 {
    (cost * 100.0).round() as i64
}

/// Drops the machines that lack anything asked for or aren't allowed, and picks the
/// one with the lowest cost (HIOBS section 3.2, Algorithm 1). Ties go to the zone, then the machine
/// with fewer tasks of the job, then to a cached image, then by name.
///
/// Two exceptions come before the paper's order. Work that may run on spot
/// machines fills those first: the tightest fit would put it into the last
/// room of ordinary machines, from where services soon drive it out again.
/// And a `quick` task, whose class has an aim for its start, goes to a machine
/// that has its image, if any does, since fetching alone can take longer than
/// the aim allows.
pub fn pick<'a>(
    spec: &JobSpec,
    latency_sensitive: bool,
    machines: impl Iterator<Item = Candidate<'a>>,
) -> Option<Candidate<'a>> {
    let ask = spec.task_resources();
    machines
        .filter(|machine| {
            spec.allowed_on(machine.machine_type, machine.zone, machine.spot)
                && machine.free.fits(&ask)
        })
        .min_by_key(|machine| {
            (
                latency_sensitive && !machine.image_cached,
                spec.spot && !machine.spot,
                quantized_cost(fragmentation_cost(&machine.free, &ask)),
                machine.job_tasks_in_zone,
                machine.job_tasks_on_machine,
                !machine.image_cached,
                machine.id,
            )
        })
}
