//! What the tasks of a job require of a machine.

use super::{MachineSlot, NameInterner};
use crate::wire::{JobSpec, MachineId, Resources};
use std::sync::Arc;

/// What may be preempted to make room for a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PreemptionScope {
    /// Nothing: it waits until there is room.
    Nothing,
    /// Low arrays of teams that use more than they are guaranteed.
    LowPriorityOfBorrowingTeams,
    /// Every array of a lower priority.
    AllLowerPriorities,
}

/// What a task of a job requires of the machine that it is placed on. Names are
/// interned.
#[derive(Debug, Clone)]
pub struct PlacementRequest {
    /// What the task takes of a machine.
    pub task_resources: Resources,
    machine_types: Option<Vec<u32>>,
    zone: Option<u32>,
    pub(super) spot: bool,
    pub(super) image: Option<u32>,
    pub(super) avoid: Vec<MachineId>,
    /// It should start before its image could be fetched, so that cached images count
    /// first.
    pub latency_sensitive: bool,
    /// What may be preempted for it.
    pub preemption_scope: PreemptionScope,
    /// It may take the room that is reserved for services.
    pub uses_reserve: bool,
}

impl PlacementRequest {
    /// The request of a job's tasks, which avoid some machines.
    pub fn new(
        spec: &JobSpec,
        names: &NameInterner,
        avoid: Vec<MachineId>,
        latency_sensitive: bool,
        preemption_scope: PreemptionScope,
    ) -> PlacementRequest {
        // A name that no machine has gets a number that none has.
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
            uses_reserve: preemption_scope == PreemptionScope::AllLowerPriorities,
        }
    }

    /// The same request, also for the room that is reserved for services.
    pub fn with_reserve(self) -> PlacementRequest {
        PlacementRequest {
            uses_reserve: true,
            ..self
        }
    }

    /// Whether its job may run on a machine, and has not failed there.
    pub(super) fn allows(&self, slot: &MachineSlot) -> bool {
        (self.spot || !slot.spot)
            && self.zone.is_none_or(|zone| zone == slot.zone)
            && self
                .machine_types
                .as_ref()
                .is_none_or(|machine_types| machine_types.contains(&slot.machine_type))
            && !self.avoid.contains(&slot.id)
    }

    /// Whether what doesn't fit for `other` can't fit for this one either.
    pub(super) fn is_at_least_as_demanding_as(&self, other: &PlacementRequest) -> bool {
        self.machine_types == other.machine_types
            && self.zone == other.zone
            && (!self.spot || other.spot)
            && self.preemption_scope <= other.preemption_scope
            && (!self.uses_reserve || other.uses_reserve)
            && other.avoid.is_empty()
            && other.task_resources.cpus <= self.task_resources.cpus
            && other.task_resources.gpus <= self.task_resources.gpus
            && other.task_resources.mem_gb <= self.task_resources.mem_gb
    }
}
