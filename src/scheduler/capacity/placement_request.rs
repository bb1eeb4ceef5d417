//! The requirements that the tasks of a job place on a machine.

use super::{MachineSlot, NameInterner};
use crate::wire::{JobSpec, MachineId, Resources};
use std::sync::Arc;

/// Which tasks may be preempted to free capacity for a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PreemptionScope {
    /// None: the job waits for free capacity.
    Nothing,
    /// Low-priority arrays of teams that use more than they are guaranteed.
    LowPriorityOfBorrowingTeams,
    /// Arrays of every lower priority.
    AllLowerPriorities,
}

/// The requirements that a task of a job places on its machine. Names are interned.
#[derive(Debug, Clone)]
pub struct PlacementRequest {
    /// The resources that the task needs.
    pub task_resources: Resources,
    /// The machine types that the job allows; `None` for all.
    machine_types: Option<Vec<u32>>,
    /// The only zone that the job allows, if any.
    zone: Option<u32>,
    /// Whether the job allows spot machines.
    pub(super) spot: bool,
    /// The image of the task; `None` if no machine has it cached.
    pub(super) image: Option<u32>,
    /// Machines on which the task must not be placed, since the job failed there.
    pub(super) avoid: Vec<MachineId>,
    /// Whether fetching the image would delay the start too much, so that cached images
    /// come first; see [`crate::scheduler::bin_packing::is_latency_sensitive`].
    pub latency_sensitive: bool,
    /// Which tasks may be preempted for it.
    pub preemption_scope: PreemptionScope,
    /// Whether it may use the capacity that is reserved for services.
    pub may_use_reserve: bool,
}

impl PlacementRequest {
    /// Creates the request of a job's tasks, which are not to be placed on the machines in
    /// `avoid`.
    pub fn new(
        spec: &JobSpec,
        names: &NameInterner,
        avoid: Vec<MachineId>,
        latency_sensitive: bool,
        preemption_scope: PreemptionScope,
    ) -> PlacementRequest {
        // A name that was never interned belongs to no machine; `u32::MAX` matches none.
        let number = |name: &Arc<str>| names.lookup(name).unwrap_or(u32::MAX);
        PlacementRequest {
            task_resources: spec.task_resources(),
            machine_types: spec
                .types
                .as_ref()
                .map(|types| types.iter().map(number).collect()),
            zone: spec.zone.as_ref().map(number),
            spot: spec.spot,
            image: names.lookup(&spec.image),
            avoid,
            latency_sensitive,
            preemption_scope,
            may_use_reserve: preemption_scope == PreemptionScope::AllLowerPriorities,
        }
    }

    /// The same request with access to the capacity that is reserved for services.
    pub fn with_reserve_access(self) -> PlacementRequest {
        PlacementRequest {
            may_use_reserve: true,
            ..self
        }
    }

    /// Whether the job allows a machine, and has not failed there.
    pub(super) fn allows(&self, slot: &MachineSlot) -> bool {
        (self.spot || !slot.spot)
            && self.zone.is_none_or(|zone| zone == slot.zone)
            && self
                .machine_types
                .as_ref()
                .is_none_or(|machine_types| machine_types.contains(&slot.machine_type))
            && !self.avoid.contains(&slot.id)
    }

    /// Whether a machine that does not fit `other` cannot fit this request either.
    pub(super) fn is_at_least_as_demanding_as(&self, other: &PlacementRequest) -> bool {
        self.machine_types == other.machine_types
            && self.zone == other.zone
            && (!self.spot || other.spot)
            && self.preemption_scope <= other.preemption_scope
            && (!self.may_use_reserve || other.may_use_reserve)
            && other.avoid.is_empty()
            && other.task_resources.cpus <= self.task_resources.cpus
            && other.task_resources.gpus <= self.task_resources.gpus
            && other.task_resources.mem_gb <= self.task_resources.mem_gb
            && other.task_resources.report_bytes <= self.task_resources.report_bytes
    }
}
