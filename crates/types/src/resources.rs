//! Amounts of processor cores, accelerators, memory and space in a worker's report.

use crate::job::MAX_TASKS;
use serde::{Deserialize, Serialize};

/// An amount of each resource that a machine has or a task needs.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Resources {
    /// The number of processor cores.
    pub cpus: f64,
    /// The number of accelerators.
    pub gpus: f64,
    /// The memory, in gigabytes.
    #[serde(rename = "mem")]
    pub mem_gb: f64,
    /// The space in the report of the machine's worker, in bytes: a machine holds no more tasks
    /// than one report can list. Controllers do not send each other this amount.
    #[serde(skip)]
    pub report_bytes: f64,
}

/// The tolerance of comparisons, which absorbs the rounding errors of repeated additions.
const TOLERANCE: f64 = 1e-6;

impl Resources {
    /// Whether `needed` fits into these resources.
    pub fn fits(&self, needed: &Resources) -> bool {
        needed.cpus <= self.cpus + TOLERANCE
            && needed.gpus <= self.gpus + TOLERANCE
            && needed.mem_gb <= self.mem_gb + TOLERANCE
            && needed.report_bytes <= self.report_bytes + TOLERANCE
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
        self.report_bytes -= other.report_bytes;
    }

    /// Adds `other`.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.mem_gb += other.mem_gb;
        self.report_bytes += other.report_bytes;
    }

    /// Returns how many tasks that need `per_task` each fit into these resources.
    pub fn max_tasks(&self, per_task: &Resources) -> u32 {
        let mut most = f64::from(MAX_TASKS);
        for (available, needed) in [
            (self.cpus, per_task.cpus),
            (self.gpus, per_task.gpus),
            (self.mem_gb, per_task.mem_gb),
            (self.report_bytes, per_task.report_bytes),
        ] {
            if needed > 0.0 {
                most = most.min(((available + TOLERANCE) / needed).floor());
            }
        }
        if most <= 0.0 {
            0
        } else {
            most as u32
        }
    }
}
