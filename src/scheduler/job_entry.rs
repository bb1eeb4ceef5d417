//! One unfinished job in the leader's table.

use super::failures::JobFailures;
use super::gang::Attempt;
use crate::clock::Seconds;
use crate::finished::TaskSet;
use crate::shard::TaskPhase;
use crate::wire::{JobSpec, MachineId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The numbers that tell one assignment of a task from every other, in the order
/// in which assignments are made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AssignmentNumbers {
    /// The attempt that the task runs under; all tasks of a gang share one.
    pub(super) attempt: u64,
    /// Tells one assignment of an attempt from the next; 0 if its shard doesn't say.
    pub(super) assignment: u64,
}

/// A task that one shard answers for.
#[derive(Debug, Clone)]
pub(super) struct TaskAssignment {
    pub(super) shard: Arc<str>,
    pub(super) numbers: AssignmentNumbers,
    /// The shard has listed it in a report: it need not be sent again.
    pub(super) acknowledged: bool,
    pub(super) phase: TaskPhase,
    /// The machine that its shard placed it on, once that is reported.
    pub(super) machine: Option<MachineId>,
}

/// What the leader knows of one unfinished job.
#[derive(Debug)]
pub(super) struct JobEntry {
    pub(super) spec: Arc<JobSpec>,
    /// When the job was accepted, in milliseconds of the wall clock.
    pub(super) accepted_at_ms: u64,
    /// Tasks that nobody has proven to be anywhere, or nowhere.
    pub(super) unreconciled: TaskSet,
    /// Unreconciled tasks that a single shard only can hold. It has kept all that
    /// it knew, so that its report alone proves where they are.
    pub(super) sole_holders: BTreeMap<u32, Arc<str>>,
    pub(super) assigned: BTreeMap<u32, TaskAssignment>,
    /// Assigned tasks that their shard has not listed in a report yet.
    pub(super) unacknowledged: BTreeSet<u32>,
    /// Tasks that a shard reported as done, not yet committed.
    pub(super) completed: TaskSet,
    pub(super) commit_in_flight: bool,
    /// The job's progress is not committed before this time.
    pub(super) next_commit_at: Seconds,
    /// After a refused commit nothing of the job is committed before this time.
    pub(super) commit_retry_at: Seconds,
    pub(super) failures: JobFailures,
    /// The attempt that the tasks of a gang share.
    pub(super) attempt: Option<Attempt>,
    /// Since when a service that is bound to the zone of its tasks has had no
    /// room there.
    pub(super) no_room_since: Option<Seconds>,
    /// All its tasks are being stopped, to start together again.
    pub(super) withdrawing: bool,
    /// How many more tasks each zone may take, as each shard was told.
    pub(super) zone_allowances: BTreeMap<Arc<str>, Vec<(Arc<str>, u32)>>,
}

impl JobEntry {
    /// A job of which `unreconciled` tasks may be anywhere.
    pub(super) fn new(spec: Arc<JobSpec>, accepted_at_ms: u64, unreconciled: TaskSet) -> JobEntry {
        JobEntry {
            spec,
            accepted_at_ms,
            unreconciled,
            sole_holders: BTreeMap::new(),
            assigned: BTreeMap::new(),
            unacknowledged: BTreeSet::new(),
            completed: TaskSet::default(),
            commit_in_flight: false,
            next_commit_at: 0.0,
            commit_retry_at: 0.0,
            failures: JobFailures::default(),
            attempt: None,
            no_room_since: None,
            withdrawing: false,
            zone_allowances: BTreeMap::new(),
        }
    }

    /// How many tasks are assigned or may be anywhere.
    pub(super) fn occupied_tasks(&self) -> u32 {
        self.assigned.len() as u32 + self.unreconciled.len()
    }

    /// The unacknowledged tasks of a shard.
    pub(super) fn unacknowledged_in<'a>(
        &'a self,
        shard: &'a str,
    ) -> impl Iterator<Item = (u32, &'a TaskAssignment)> {
        self.unacknowledged
            .iter()
            .filter_map(|index| Some((*index, self.assigned.get(index)?)))
            .filter(move |(_, assigned)| &*assigned.shard == shard)
    }

    /// The assignments of a shard's unacknowledged tasks that differ from their
    /// attempts.
    pub(super) fn assignments_unlike_attempts(&self, shard: &str) -> Vec<(u32, u64)> {
        self.unacknowledged_in(shard)
            .map(|(index, assigned)| (index, assigned.numbers))
            .filter(|(_, numbers)| numbers.assignment != numbers.attempt)
            .map(|(index, numbers)| (index, numbers.assignment))
            .collect()
    }

    /// How many tasks are seen to run.
    pub(super) fn running_tasks(&self) -> usize {
        self.assigned
            .values()
            .filter(|assigned| assigned.phase == TaskPhase::Running)
            .count()
    }

    /// Records that a task is no longer assigned.
    pub(super) fn unassign(&mut self, index: u32) -> Option<TaskAssignment> {
        self.unacknowledged.remove(&index);
        self.assigned.remove(&index)
    }

    /// Records an assignment in place of any earlier one.
    pub(super) fn assign(&mut self, index: u32, assigned: TaskAssignment) {
        if assigned.acknowledged {
            self.unacknowledged.remove(&index);
        } else {
            self.unacknowledged.insert(index);
        }
        self.assigned.insert(index, assigned);
    }
}
