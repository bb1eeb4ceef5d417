//! The free capacity of one machine, as placement sees it.

use super::{NameInterner, PlacementRequest, PreemptionScope};
use crate::shard::MachineStatus;
use crate::wire::{MachineId, Resources};
use finchwood_types::message_size::{task_report_bytes, LIST_BYTES};
use std::sync::Arc;

/// A machine that takes new tasks. Its names are interned.
#[derive(Debug, Clone)]
pub struct MachineSlot {
    /// The name of the machine.
    pub id: MachineId,
    /// The shard that owns it.
    pub shard: u32,
    /// Its machine type.
    pub machine_type: u32,
    /// Its zone.
    pub zone: u32,
    /// Whether it is a spot machine, which the cloud may reclaim at short notice.
    pub spot: bool,
    /// The resources that no task uses.
    pub free: Resources,
    /// What tasks below the highest priority use, which jobs of the highest priority may
    /// preempt.
    pub preemptible: Resources,
    /// What low-priority tasks of borrowing teams use, which urgent and standard jobs may
    /// preempt.
    pub preemptible_low: Resources,
    /// The images cached there, in ascending order.
    pub images: Arc<[u32]>,
}

/// A job id of the usual length, by which the leader estimates the size of reports.
const USUAL_JOB_ID: &str = "wk-000000";

/// Estimates the space that is left in the report of a machine with this many tasks, in bytes.
/// Its owner knows the exact space, and returns the tasks that do not fit.
fn free_report_bytes(tasks: u32) -> f64 {
    LIST_BYTES as f64 - f64::from(tasks) * task_report_bytes(USUAL_JOB_ID) as f64
}

/// Returns what can be gained by preempting tasks of a machine with this many, and with it the
/// space that they take in the report.
fn with_report_bytes(preemptible: Resources, tasks: u32) -> Resources {
    if preemptible.is_empty() {
        return preemptible;
    }
    Resources {
        report_bytes: f64::from(tasks) * task_report_bytes(USUAL_JOB_ID) as f64,
        ..preemptible
    }
}

impl MachineSlot {
    /// Converts the reported status of a machine of `shard`.
    pub fn new(status: &MachineStatus, shard: u32, names: &mut NameInterner) -> MachineSlot {
        let mut images: Vec<u32> = status
            .images
            .iter()
            .map(|image| names.intern(image))
            .collect();
        images.sort_unstable();
        MachineSlot {
            id: status.id.clone(),
            shard,
            machine_type: names.intern(&status.machine_type),
            zone: names.intern(&status.zone),
            spot: status.spot,
            free: Resources {
                report_bytes: free_report_bytes(status.tasks),
                ..status.free
            },
            preemptible: with_report_bytes(status.preemptible, status.tasks),
            preemptible_low: with_report_bytes(status.preemptible_low, status.tasks),
            images: images.into(),
        }
    }

    /// How many tasks of a request fit, including what the request may preempt.
    pub(super) fn max_tasks(&self, request: &PlacementRequest) -> u32 {
        let mut free = self.free;
        free.add(&self.preemptible_for(request.preemption_scope));
        free.max_tasks(&request.task_resources)
    }

    /// The resources that may be preempted within a scope.
    pub(super) fn preemptible_for(&self, preemption_scope: PreemptionScope) -> Resources {
        match preemption_scope {
            PreemptionScope::Nothing => Resources::default(),
            PreemptionScope::LowPriorityOfBorrowingTeams => self.preemptible_low,
            PreemptionScope::AllLowerPriorities => self.preemptible,
        }
    }

    /// Whether the request's image is likely cached.
    pub(super) fn has_image(&self, request: &PlacementRequest) -> bool {
        request
            .image
            .is_some_and(|image| self.images.binary_search(&image).is_ok())
    }
}
