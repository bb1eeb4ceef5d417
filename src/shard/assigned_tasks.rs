//! The tasks that a shard holds, with an index by machine: what concerns one
//! machine must not cost a look at every task of the shard.

use crate::shard::{AssignedTask, AssignedTaskStatus, LastReported, Placement, TaskPhase};
use crate::wire::{MachineId, Task};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::RangeInclusive;

/// Held tasks. A task's place changes only through [`AssignedTasks::place`],
/// which keeps the index true.
#[derive(Debug, Default)]
pub(crate) struct AssignedTasks {
    all: BTreeMap<Task, AssignedTask>,
    on: HashMap<MachineId, BTreeSet<Task>>,
    queued: BTreeSet<Task>,
}

impl AssignedTasks {
    /// One task.
    pub fn get(&self, task: &Task) -> Option<&AssignedTask> {
        self.all.get(task)
    }
    /// One task's place, for everything but moving it to another machine.
    pub fn place_mut(&mut self, task: &Task) -> Option<&mut Placement> {
        self.all.get_mut(task)?.placement.as_mut()
    }
    /// Whether it is held.
    pub fn contains(&self, task: &Task) -> bool {
        self.all.contains_key(task)
    }
    /// All of them, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&Task, &AssignedTask)> {
        self.all.iter()
    }
    /// A range of them, in order.
    pub fn range(&self, r: RangeInclusive<Task>) -> impl Iterator<Item = (&Task, &AssignedTask)> {
        self.all.range(r)
    }
    /// Those of a machine, in order.
    pub fn on<'a>(
        &'a self,
        machine: &MachineId,
    ) -> impl Iterator<Item = (&'a Task, &'a AssignedTask)> + 'a {
        let tasks = self.on.get(machine).into_iter().flatten();
        tasks.filter_map(|t| self.all.get_key_value(t))
    }
    /// The names of those of a machine.
    pub fn names_on(&self, machine: &MachineId) -> Vec<Task> {
        self.on
            .get(machine)
            .map(|s| s.iter().cloned().collect())
            .unwrap_or_default()
    }
    /// How many a machine has.
    pub fn count_on(&self, machine: &MachineId) -> usize {
        self.on.get(machine).map_or(0, BTreeSet::len)
    }
    /// Those that no machine has yet.
    pub fn queued(&self) -> impl Iterator<Item = (&Task, &AssignedTask)> {
        self.queued.iter().filter_map(|t| self.all.get_key_value(t))
    }
    /// Takes one in, in place of what was held of it.
    pub fn insert(&mut self, task: Task, held: AssignedTask) {
        self.remove(&task);
        match &held.placement {
            Some(p) => {
                self.on
                    .entry(p.machine.clone())
                    .or_default()
                    .insert(task.clone());
            }
            None => {
                self.queued.insert(task.clone());
            }
        }
        self.all.insert(task, held);
    }
    /// Lets go of one.
    pub fn remove(&mut self, task: &Task) -> Option<AssignedTask> {
        let held = self.all.remove(task)?;
        match &held.placement {
            Some(p) => {
                if let Some(on) = self.on.get_mut(&p.machine) {
                    on.remove(task);
                    if on.is_empty() {
                        self.on.remove(&p.machine);
                    }
                }
            }
            None => {
                self.queued.remove(task);
            }
        }
        Some(held)
    }
    /// Gives one its place.
    pub fn place(&mut self, task: &Task, attempt: u64, at: Placement) {
        if let Some(held) = self.remove(task) {
            self.insert(
                task.clone(),
                AssignedTask {
                    attempt,
                    placement: Some(at),
                    ..held
                },
            );
        }
    }
    /// The views that have changed since report `since`; `seq` is the report
    /// that will tell them.
    pub fn changed(&mut self, seq: u64, since: u64) -> Vec<AssignedTaskStatus> {
        let mut out = Vec::new();
        for (task, h) in &mut self.all {
            let phase = h.placement.as_ref().map_or(TaskPhase::Queued, |p| p.phase);
            let machine = h.placement.as_ref().map(|p| &p.machine);
            let same = h.last_reported.as_ref().is_some_and(|t| {
                t.attempt == h.attempt && t.phase == phase && t.machine.as_ref() == machine
            });
            if !same {
                h.last_reported = Some(LastReported {
                    attempt: h.attempt,
                    phase,
                    machine: machine.cloned(),
                    seq,
                });
            }
            if h.last_reported.as_ref().is_some_and(|t| t.seq > since) {
                out.push(AssignedTaskStatus {
                    task: task.clone(),
                    attempt: h.attempt,
                    phase,
                    machine: machine.cloned(),
                    assignment: h.assignment,
                });
            }
        }
        out
    }
    /// Lets go of all that `keep` says no to.
    pub fn retain(&mut self, keep: impl Fn(&Task, &AssignedTask) -> bool) -> Vec<(Task, u64)> {
        let out: Vec<(Task, u64)> = self
            .all
            .iter()
            .filter(|(t, h)| !keep(t, h))
            .map(|(t, h)| (t.clone(), h.attempt))
            .collect();
        for (t, _) in &out {
            self.remove(t);
        }
        out
    }
}
