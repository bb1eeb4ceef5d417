//! The tasks that are assigned to a shard, with an index by machine: what concerns one
//! machine must not cost a look at every task of the shard.

use crate::clock::Seconds;
use crate::shard::{AssignedTaskStatus, TaskPhase};
use crate::wire::{JobId, MachineId, Task};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Why a task is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stop {
    /// Its job is cancelled.
    Cancelled,
    /// The leader wants it back.
    Recalled,
    /// A task of a higher priority needs its room.
    Preempted,
    /// Its machine is about to be reclaimed by the cloud.
    Notice,
}

/// Where an assigned task is, and how far its start and its stop have come.
#[derive(Debug, Clone)]
pub(crate) struct Placement {
    pub machine: MachineId,
    /// The session of its worker in which it was started or found.
    pub session: u64,
    pub phase: TaskPhase,
    /// The token under which the last start was sent (or the task adopted);
    /// none while no start can be under way.
    pub start_token: Option<u64>,
    /// Its start was sent, and not taken back since.
    pub start_sent: bool,
    /// Its machine has shown it.
    pub confirmed: bool,
    /// Why it is to stop, if it is.
    pub stop: Option<Stop>,
    pub stop_sent: bool,
    /// When its phase last changed.
    pub phase_since: Seconds,
}

/// A task that is assigned to this shard.
#[derive(Debug, Clone)]
pub(crate) struct AssignedTask {
    pub attempt: u64,
    /// Distinguishes one assignment of an attempt from the next.
    pub assignment: u64,
    /// None while it waits for a machine.
    pub placement: Option<Placement>,
    /// When this shard came to have it.
    pub assigned_at: Seconds,
    /// Machines that must not get it.
    pub avoid: Vec<MachineId>,
    /// Its state as last reported to the leader, and in which report.
    pub last_reported: Option<LastReported>,
}

/// What a report said of a task, and which.
#[derive(Debug, Clone)]
pub(crate) struct LastReported {
    pub attempt: u64,
    pub phase: TaskPhase,
    pub machine: Option<MachineId>,
    pub seq: u64,
}

impl Placement {
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
            stop: None,
            stop_sent: false,
            phase_since: now,
        }
    }
}

/// All assigned tasks. A task's placement changes only through [`AssignedTasks::place`],
/// which keeps the index true.
#[derive(Debug, Default)]
pub(crate) struct AssignedTasks {
    all: BTreeMap<Task, AssignedTask>,
    on: HashMap<MachineId, BTreeSet<Task>>,
    queued: BTreeSet<Task>,
}

impl AssignedTasks {
    /// One task.
    pub(super) fn get(&self, task: &Task) -> Option<&AssignedTask> {
        self.all.get(task)
    }

    /// One task's placement, for everything but moving it to another machine.
    pub(super) fn place_mut(&mut self, task: &Task) -> Option<&mut Placement> {
        self.all.get_mut(task)?.placement.as_mut()
    }

    /// Whether a task is assigned.
    pub(super) fn contains(&self, task: &Task) -> bool {
        self.all.contains_key(task)
    }

    /// All of them, in order.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&Task, &AssignedTask)> {
        self.all.iter()
    }

    /// Those of a job, in order.
    pub(super) fn of_job(&self, job: &JobId) -> impl Iterator<Item = (&Task, &AssignedTask)> {
        let task = |index| Task {
            job: job.clone(),
            index,
        };
        self.all.range(task(0)..=task(u32::MAX))
    }

    /// Those of a machine, in order.
    pub(super) fn on<'a>(
        &'a self,
        machine: &MachineId,
    ) -> impl Iterator<Item = (&'a Task, &'a AssignedTask)> + 'a {
        let tasks = self.on.get(machine).into_iter().flatten();
        tasks.filter_map(|task| self.all.get_key_value(task))
    }

    /// The names of those of a machine, in order.
    pub(super) fn names_on(&self, machine: &MachineId) -> Vec<Task> {
        self.on
            .get(machine)
            .map(|tasks| tasks.iter().cloned().collect())
            .unwrap_or_default()
    }

    /// How many a machine has.
    pub(super) fn count_on(&self, machine: &MachineId) -> usize {
        self.on.get(machine).map_or(0, BTreeSet::len)
    }

    /// Those that no machine has yet.
    pub(super) fn queued(&self) -> impl Iterator<Item = (&Task, &AssignedTask)> {
        self.queued
            .iter()
            .filter_map(|task| self.all.get_key_value(task))
    }

    /// Adds a task, in place of what was known of it.
    pub(super) fn insert(&mut self, task: Task, assigned: AssignedTask) {
        self.remove(&task);
        match &assigned.placement {
            Some(placement) => {
                self.on
                    .entry(placement.machine.clone())
                    .or_default()
                    .insert(task.clone());
            }
            None => {
                self.queued.insert(task.clone());
            }
        }
        self.all.insert(task, assigned);
    }

    /// Removes a task.
    pub(super) fn remove(&mut self, task: &Task) -> Option<AssignedTask> {
        let assigned = self.all.remove(task)?;
        match &assigned.placement {
            Some(placement) => {
                if let Some(on) = self.on.get_mut(&placement.machine) {
                    on.remove(task);
                    if on.is_empty() {
                        self.on.remove(&placement.machine);
                    }
                }
            }
            None => {
                self.queued.remove(task);
            }
        }
        Some(assigned)
    }

    /// Gives a task its placement.
    pub(super) fn place(&mut self, task: &Task, attempt: u64, at: Placement) {
        if let Some(assigned) = self.remove(task) {
            self.insert(
                task.clone(),
                AssignedTask {
                    attempt,
                    placement: Some(at),
                    ..assigned
                },
            );
        }
    }

    /// The tasks whose status has changed since report `since`; `seq` is the report
    /// that will list them.
    pub(super) fn changed(&mut self, seq: u64, since: u64) -> Vec<AssignedTaskStatus> {
        let mut out = Vec::new();
        for (task, assigned) in &mut self.all {
            let phase = assigned
                .placement
                .as_ref()
                .map_or(TaskPhase::Queued, |placement| placement.phase);
            let machine = assigned
                .placement
                .as_ref()
                .map(|placement| &placement.machine);
            let same = assigned.last_reported.as_ref().is_some_and(|reported| {
                reported.attempt == assigned.attempt
                    && reported.phase == phase
                    && reported.machine.as_ref() == machine
            });
            if !same {
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
                out.push(AssignedTaskStatus {
                    task: task.clone(),
                    attempt: assigned.attempt,
                    phase,
                    machine: machine.cloned(),
                    assignment: assigned.assignment,
                });
            }
        }
        out
    }

    /// Removes all tasks for which `keep` is false, and returns them with their attempts.
    pub(super) fn retain(
        &mut self,
        keep: impl Fn(&Task, &AssignedTask) -> bool,
    ) -> Vec<(Task, u64)> {
        let out: Vec<(Task, u64)> = self
            .all
            .iter()
            .filter(|(task, assigned)| !keep(task, assigned))
            .map(|(task, assigned)| (task.clone(), assigned.attempt))
            .collect();
        for (t, _) in &out {
            self.remove(t);
        }
        out
    }
}
