//! Amounts of processors, accelerators and memory.

use crate::job::MAX_TASKS;
use serde::{Deserialize, Serialize};

/// An amount of each resource: what a machine has, or what a task needs.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Resources {
    /// Processor cores.
    pub cpus: f64,
    /// Accelerators.
    pub gpus: f64,
    /// Memory, in gigabytes.
    #[serde(rename = "mem")]
    pub mem_gb: f64,
}

/// The tolerance of comparisons, for the rounding errors of many additions.
const SLACK: f64 = 1e-6;

impl Resources {
    /// Whether these resources suffice for `needed`.
    pub fn fits(&self, needed: &Resources) -> bool {
        needed.cpus <= self.cpus + SLACK
            && needed.gpus <= self.gpus + SLACK
            && needed.mem_gb <= self.mem_gb + SLACK
    }

    /// Whether all amounts are zero.
    pub fn is_empty(&self) -> bool {
        *self == Resources::default()
    }

    /// Subtracts `other`; an amount may become negative.
    pub fn subtract(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.mem_gb -= other.mem_gb;
    }

    /// Adds `other`.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.mem_gb += other.mem_gb;
    }

    /// The most tasks, each of which needs `per_task`, that these resources suffice for.
    pub fn max_tasks(&self, per_task: &Resources) -> u32 {
        let mut most = f64::from(MAX_TASKS);
        for (available, needed) in [
            (self.cpus, per_task.cpus),
            (self.gpus, per_task.gpus),
            (self.mem_gb, per_task.mem_gb),
        ] {
            if needed > 0.0 {
                most = most.min(((available + SLACK) / needed).floor());
            }
        }
        if most <= 0.0 {
            0
        } else {
            most as u32
        }
    }
}
