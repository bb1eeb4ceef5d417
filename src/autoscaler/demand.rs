//! Pending demand: tasks for which the fleet has no capacity.

use crate::clock::Seconds;
use crate::wire::{JobKind, JobSpec, Priority, Resources};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Tasks of one job that currently fit on no machine.
#[derive(Debug, Clone)]
pub struct PendingDemand {
    /// The resources that each of the tasks needs.
    pub task_resources: Resources,
    /// The number of tasks.
    pub count: u32,
    /// The specification of the job.
    pub spec: Arc<JobSpec>,
    /// For how many seconds the job has waited.
    pub age_s: Seconds,
    /// Whether no on-demand machine is rented for the tasks: they wait for spot machines or
    /// for capacity that becomes free.
    pub spot_only: bool,
    /// The number of other tasks of the job in each zone, if the job is zone-constrained;
    /// empty otherwise.
    pub tasks_in_zone: BTreeMap<Arc<str>, u32>,
}

impl PendingDemand {
    /// The CPUs that all of the tasks need together.
    pub fn cpus(&self) -> f64 {
        self.task_resources.cpus * f64::from(self.count)
    }

    /// Returns demand that represents headroom, so that future services start at once:
    /// `missing_cpus` CPUs on on-demand machines, in tasks like those of `service`. `None`
    /// if no headroom is missing or `service` needs no CPUs.
    pub fn service_headroom(missing_cpus: f64, service: &JobSpec) -> Option<PendingDemand> {
        if missing_cpus <= 0.0 || service.cpus <= 0.0 {
            return None;
        }
        let mut spec = service.clone();
        spec.priority = Priority::Prod;
        spec.job_kind = JobKind::Service;
        spec.spot = false;
        spec.scatter = false;
        spec.one_zone = false;
        Some(PendingDemand {
            tasks_in_zone: BTreeMap::new(),
            task_resources: spec.task_resources(),
            count: (missing_cpus / spec.cpus).ceil() as u32,
            spec: Arc::new(spec),
            age_s: 0.0,
            spot_only: false,
        })
    }
}
