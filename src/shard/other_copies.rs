//! Copies of assigned tasks that machines report although the task is assigned to another machine,
//! or under another attempt.
//!
//! The shard reports one copy of each task to the leader. When that copy is gone, the task still
//! is on the other machine: only the removal of the last copy proves that it runs nowhere.

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
