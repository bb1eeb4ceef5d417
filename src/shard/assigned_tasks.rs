//! The tasks that are assigned to a shard, with an index by machine, so that an operation
//! on one machine need not go through all tasks of the shard.

use crate::clock::Seconds;
use crate::shard::{AssignedTaskStatus, TaskPhase};
use crate::wire::{JobId, MachineId, Task};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Why the shard stops a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TaskStopReason {
    /// Its job is cancelled.
    Cancelled,
    /// The leader has recalled it.
    Recalled,
    /// A task of a higher priority needs its capacity.
    Preempted,
    /// The cloud has given notice that it will reclaim the machine.
    Reclaim,
}

/// The machine of an assigned task, and the progress of its start and its stop.
#[derive(Debug, Clone)]
pub(crate) struct Placement {
    pub machine: MachineId,
    /// The worker's session in which it was started, or in which it was found running.
    pub session: u64,
    pub phase: TaskPhase,
    /// The token under which its last start was sent, or under which it was adopted; `None`
    /// while no start can be in flight.
    pub start_token: Option<u64>,
    /// Whether its start was sent and need not be sent again.
    pub start_sent: bool,
    /// Whether its machine has reported it.
    pub confirmed: bool,
    /// Why it is to be stopped; `None` if it is not.
    pub stop_reason: Option<TaskStopReason>,
    pub stop_sent: bool,
    /// When its phase last changed.
    pub phase_since: Seconds,
}

/// A task that is assigned to this shard.
#[derive(Debug, Clone)]
pub(crate) struct AssignedTask {
    pub attempt: u64,
    /// The number of the assignment, which distinguishes several assignments of one attempt.
    pub assignment: u64,
    /// `None` while it waits for a machine.
    pub placement: Option<Placement>,
    /// When it was assigned to this shard, adopted or taken over.
    pub assigned_at: Seconds,
    /// Machines on which it must not be placed.
    pub avoid: Vec<MachineId>,
    /// What was last reported to the leader; `None` before the first report.
    pub last_reported: Option<LastReported>,
}

/// The state of a task in a report to the leader, and the number of that report.
#[derive(Debug, Clone)]
pub(crate) struct LastReported {
    pub attempt: u64,
    pub phase: TaskPhase,
    pub machine: Option<MachineId>,
    pub seq: u64,
}

impl Placement {
    /// Returns the placement of a task that was found on a machine, in a heartbeat that carried
    /// `token`.
    pub(super) fn adopted(
        machine: &MachineId,
        session: u64,
        token: u64,
        now: Seconds,
    ) -> Placement {
        Placement {
            machine: machine.clone(),
            session,
            phase: TaskPhase::Running,
            start_token: Some(token),
            start_sent: true,
            confirmed: true,
            stop_reason: None,
            stop_sent: false,
            phase_since: now,
        }
    }
}

/// All assigned tasks. A task moves to a machine only through [`AssignedTasks::place`] and
/// [`AssignedTasks::insert`], which keep the indexes consistent.
#[derive(Debug, Default)]
pub(crate) struct AssignedTasks {
    tasks: BTreeMap<Task, AssignedTask>,
    by_machine: HashMap<MachineId, BTreeSet<Task>>,
    queued: BTreeSet<Task>,
}

impl AssignedTasks {
    /// Returns a task, if it is assigned.
    pub(super) fn get(&self, task: &Task) -> Option<&AssignedTask> {
        self.tasks.get(task)
    }

    /// Returns a task's placement. Callers must not change the machine in it.
    pub(super) fn placement_mut(&mut self, task: &Task) -> Option<&mut Placement> {
        self.tasks.get_mut(task)?.placement.as_mut()
    }

    /// Whether a task is assigned.
    pub(super) fn contains(&self, task: &Task) -> bool {
        self.tasks.contains_key(task)
    }

    /// Iterates over all tasks, in order.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&Task, &AssignedTask)> {
        self.tasks.iter()
    }

    /// Iterates over the tasks of a job, in order.
    pub(super) fn of_job(&self, job: &JobId) -> impl Iterator<Item = (&Task, &AssignedTask)> {
        let task = |index| Task {
            job: job.clone(),
            index,
        };
        self.tasks.range(task(0)..=task(u32::MAX))
    }

    /// Iterates over the tasks placed on a machine, in order.
    pub(super) fn on_machine<'a>(
        &'a self,
        machine: &MachineId,
    ) -> impl Iterator<Item = (&'a Task, &'a AssignedTask)> + 'a {
        let tasks = self.by_machine.get(machine).into_iter().flatten();
        tasks.filter_map(|task| self.tasks.get_key_value(task))
    }

    /// Returns the ids of the tasks placed on a machine, in order.
    pub(super) fn task_ids_on(&self, machine: &MachineId) -> Vec<Task> {
        self.by_machine
            .get(machine)
            .map(|tasks| tasks.iter().cloned().collect())
            .unwrap_or_default()
    }

    /// Returns the number of tasks placed on a machine.
    pub(super) fn count_on(&self, machine: &MachineId) -> usize {
        self.by_machine.get(machine).map_or(0, BTreeSet::len)
    }

    /// Iterates over the tasks without a machine, in order.
    pub(super) fn queued(&self) -> impl Iterator<Item = (&Task, &AssignedTask)> {
        self.queued
            .iter()
            .filter_map(|task| self.tasks.get_key_value(task))
    }

    /// Adds a task, replacing an earlier entry for it.
    pub(super) fn insert(&mut self, task: Task, assigned: AssignedTask) {
        self.remove(&task);
        match &assigned.placement {
            Some(placement) => {
                self.by_machine
                    .entry(placement.machine.clone())
                    .or_default()
                    .insert(task.clone());
            }
            None => {
                self.queued.insert(task.clone());
            }
        }
        self.tasks.insert(task, assigned);
    }

    /// Removes a task and returns its entry.
    pub(super) fn remove(&mut self, task: &Task) -> Option<AssignedTask> {
        let assigned = self.tasks.remove(task)?;
        match &assigned.placement {
            Some(placement) => {
                if let Some(tasks) = self.by_machine.get_mut(&placement.machine) {
                    tasks.remove(task);
                    if tasks.is_empty() {
                        self.by_machine.remove(&placement.machine);
                    }
                }
            }
            None => {
                self.queued.remove(task);
            }
        }
        Some(assigned)
    }

    /// Places a task, under an attempt, on the machine of `placement`. Does nothing if the
    /// task is not assigned.
    pub(super) fn place(&mut self, task: &Task, attempt: u64, placement: Placement) {
        if let Some(assigned) = self.remove(task) {
            self.insert(
                task.clone(),
                AssignedTask {
                    attempt,
                    placement: Some(placement),
                    ..assigned
                },
            );
        }
    }

    /// Returns the tasks whose status has changed since report `since`, for report `seq`.
    pub(super) fn changed_since(&mut self, seq: u64, since: u64) -> Vec<AssignedTaskStatus> {
        let mut changed = Vec::new();
        for (task, assigned) in &mut self.tasks {
            let phase = assigned
                .placement
                .as_ref()
                .map_or(TaskPhase::Queued, |placement| placement.phase);
            let machine = assigned
                .placement
                .as_ref()
                .map(|placement| &placement.machine);
            let unchanged = assigned.last_reported.as_ref().is_some_and(|reported| {
                reported.attempt == assigned.attempt
                    && reported.phase == phase
                    && reported.machine.as_ref() == machine
            });
            if !unchanged {
                assigned.last_reported = Some(LastReported {
                    attempt: assigned.attempt,
                    phase,
                    machine: machine.cloned(),
                    seq,
                });
            }
            if assigned
                .last_reported
                .as_ref()
                .is_some_and(|reported| reported.seq > since)
            {
                changed.push(AssignedTaskStatus {
                    task: task.clone(),
                    attempt: assigned.attempt,
                    phase,
                    machine: machine.cloned(),
                    assignment: assigned.assignment,
                });
            }
        }
        changed
    }

    /// Removes all tasks for which `keep` is false, and returns them with their attempts.
    pub(super) fn retain(
        &mut self,
        keep: impl Fn(&Task, &AssignedTask) -> bool,
    ) -> Vec<(Task, u64)> {
        let removed: Vec<(Task, u64)> = self
            .tasks
            .iter()
            .filter(|(task, assigned)| !keep(task, assigned))
            .map(|(task, assigned)| (task.clone(), assigned.attempt))
            .collect();
        for (task, _) in &removed {
            self.remove(task);
        }
        removed
    }
}
