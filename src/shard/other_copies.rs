//! Copies of assigned tasks that machines report although the task is assigned to another machine,
//! or under another attempt.
//!
//! The shard reports one copy of each task to the leader. When that copy is gone, the task still
//! is on the other machine: only the removal of the last copy proves that it runs nowhere.

use super::assigned_tasks::{AssignedTask, Placement};
use super::Shard;
use crate::cluster::membership::token;
use crate::wire::{MachineId, Task};
use std::collections::{BTreeMap, HashMap};

/// Copies of tasks other than the assigned ones, by task and by machine.
#[derive(Debug, Default)]
pub(super) struct OtherCopies {
    by_task: BTreeMap<Task, BTreeMap<MachineId, u64>>,
    by_machine: HashMap<MachineId, Vec<Task>>,
}

impl OtherCopies {
    /// Replaces the copies on a machine by these tasks, each with its attempt.
    pub(super) fn replace(&mut self, machine: &MachineId, copies: Vec<(Task, u64)>) {
        self.remove_machine(machine);
        for (task, attempt) in copies {
            self.add(task, machine, attempt);
        }
    }

    /// Adds a copy of a task on a machine.
    pub(super) fn add(&mut self, task: Task, machine: &MachineId, attempt: u64) {
        let tasks = self.by_machine.entry(machine.clone()).or_default();
        tasks.push(task.clone());
        let machines = self.by_task.entry(task).or_default();
        machines.insert(machine.clone(), attempt);
    }

    /// Removes the copies on a machine, which has none any more.
    pub(super) fn remove_machine(&mut self, machine: &MachineId) {
        for task in self.by_machine.remove(machine).unwrap_or_default() {
            self.remove(&task, machine);
        }
    }

    /// Removes and returns the copy of a task with the latest attempt: its machine and attempt.
    pub(super) fn take_latest(&mut self, task: &Task) -> Option<(MachineId, u64)> {
        let machines = self.by_task.get(task)?;
        let (machine, attempt) = machines.iter().max_by_key(|(_, attempt)| **attempt)?;
        let latest = (machine.clone(), *attempt);
        self.remove(task, &latest.0);
        Some(latest)
    }

    fn remove(&mut self, task: &Task, machine: &MachineId) {
        let Some(machines) = self.by_task.get_mut(task) else {
            return;
        };
        machines.remove(machine);
        if machines.is_empty() {
            self.by_task.remove(task);
        }
    }
}

impl Shard {
    /// Removes the assignment of an earlier attempt of a task that `machine` reports under a later
    /// one. The copy under the earlier attempt is to be stopped.
    pub(super) fn release_earlier_attempt(
        &mut self,
        task: &Task,
        attempt: u64,
        machine: &MachineId,
    ) {
        let Some(earlier) = self.assigned.remove(task) else {
            return;
        };
        let Some(placement) = earlier.placement else {
            return;
        };
        self.events.contradictions.record(|| {
            let (earlier, earlier_machine) = (earlier.attempt, &placement.machine);
            format!("{task}@{attempt} {machine} replaces {earlier} {earlier_machine}")
        });
        if placement.machine != *machine {
            self.other_copies
                .add(task.clone(), &placement.machine, earlier.attempt);
        }
        if let Some(earlier_machine) = self.machines.get_mut(&placement.machine) {
            earlier_machine.commands.probe_due = true;
        }
    }

    /// Assigns a task whose assigned copy is gone to the machine that reports another copy, if
    /// there is one. Returns whether there is.
    pub(super) fn assign_to_other_copy(&mut self, task: &Task, gone: &AssignedTask) -> bool {
        let Some((id, attempt)) = self.other_copies.take_latest(task) else {
            return false;
        };
        let Some(machine) = self.machines.get(&id) else {
            return false;
        };
        let token = token(self.epoch, machine.token.counter);
        let found_at = gone.assigned_at;
        let assigned = AssignedTask {
            attempt,
            assignment: attempt,
            placement: Some(Placement::adopted(&id, machine.session.id, token, found_at)),
            ..gone.clone()
        };
        self.events.contradictions.record(|| {
            let gone = gone.attempt;
            format!("{task}@{attempt} {id} is left when {gone} is gone")
        });
        self.assigned.insert(task.clone(), assigned);
        self.report_due = true;
        true
    }
}
