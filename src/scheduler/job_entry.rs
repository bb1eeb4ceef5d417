//! The leader's state of one unfinished job.

use super::earlier_copies::EarlierCopies;
use super::failures::JobFailures;
use super::gang::Attempt;
use crate::clock::Seconds;
use crate::finished::TaskSet;
use crate::shard::TaskPhase;
use crate::wire::{JobSpec, MachineId};
use finchwood_types::token::attempt_epoch;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The numbers that distinguish an assignment of a task from all others, ordered by when
/// assignments are made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AssignmentNumbers {
    /// The attempt that the task runs under; all tasks of a gang share one.
    pub(super) attempt: u64,
    /// Distinguishes the assignments of one attempt; 0 if the version of the shard does not
    /// report it.
    pub(super) assignment: u64,
}

/// Whether a shard lists the only known copy of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Listing {
    /// No other shard lists an attempt of it.
    OnlyCopy,
    /// Two shards list it, under different attempts.
    EarlierCopy,
}

/// The assignment of a task to a shard.
#[derive(Debug, Clone)]
pub(super) struct TaskAssignment {
    pub(super) shard: Arc<str>,
    pub(super) numbers: AssignmentNumbers,
    /// Whether the shard has listed the task in a report, so that it need not be sent
    /// again.
    pub(super) acknowledged: bool,
    pub(super) phase: TaskPhase,
    /// The machine that the shard has placed the task on, once that is reported.
    pub(super) machine: Option<MachineId>,
}

/// The scheduling state of one unfinished job.
#[derive(Debug)]
pub(super) struct JobEntry {
    pub(super) spec: Arc<JobSpec>,
    /// When the job was accepted, in milliseconds of the wall clock.
    pub(super) accepted_at_ms: u64,
    /// Tasks whose location is unknown: they may be running somewhere or not at all.
    pub(super) unreconciled: TaskSet,
    /// Unreconciled tasks that can only run in one particular shard. That shard has kept
    /// all of its state, so that its report alone establishes where they are.
    pub(super) only_possible_shard: BTreeMap<u32, Arc<str>>,
    /// The assigned tasks, by index.
    pub(super) assigned: BTreeMap<u32, TaskAssignment>,
    /// Assignments of earlier attempts that shards list although the task is assigned elsewhere.
    pub(super) earlier_copies: EarlierCopies,
    /// The numbers of the latest assignment of unreconciled tasks that were assigned in an earlier
    /// epoch, if this leader led it too.
    pub(super) latest_numbers: BTreeMap<u32, AssignmentNumbers>,
    /// Assigned tasks that their shard has not listed in a report yet.
    pub(super) unacknowledged: BTreeSet<u32>,
    /// Tasks that a shard has reported as done and that are not committed yet.
    pub(super) completed: TaskSet,
    /// Whether a commit of completed tasks is in flight.
    pub(super) commit_in_flight: bool,
    /// The job's progress is not committed before this time.
    pub(super) next_commit_at: Seconds,
    /// After a refused commit, nothing of the job is committed before this time.
    pub(super) commit_retry_at: Seconds,
    pub(super) failures: JobFailures,
    /// The attempt that the tasks of a gang share; `None` for other jobs.
    pub(super) attempt: Option<Attempt>,
    /// Since when a service that must run in the zone of its assigned tasks has had no
    /// capacity there.
    pub(super) no_capacity_since: Option<Seconds>,
    /// Whether all its tasks are being stopped, to be assigned again together.
    pub(super) withdrawing: bool,
    /// The allowances that each shard was sent: how many further tasks each zone may take.
    pub(super) zone_allowances: BTreeMap<Arc<str>, Vec<(Arc<str>, u32)>>,
}

impl JobEntry {
    /// Creates the entry of a job with these unreconciled tasks.
    pub(super) fn new(spec: Arc<JobSpec>, accepted_at_ms: u64, unreconciled: TaskSet) -> JobEntry {
        JobEntry {
            spec,
            accepted_at_ms,
            unreconciled,
            only_possible_shard: BTreeMap::new(),
            assigned: BTreeMap::new(),
            earlier_copies: EarlierCopies::default(),
            latest_numbers: BTreeMap::new(),
            unacknowledged: BTreeSet::new(),
            completed: TaskSet::default(),
            commit_in_flight: false,
            next_commit_at: 0.0,
            commit_retry_at: 0.0,
            failures: JobFailures::default(),
            attempt: None,
            no_capacity_since: None,
            withdrawing: false,
            zone_allowances: BTreeMap::new(),
        }
    }

    /// The number of tasks that are assigned or unreconciled.
    pub(super) fn occupied_tasks(&self) -> u32 {
        self.assigned.len() as u32 + self.unreconciled.len()
    }

    /// The tasks that are assigned to a shard and not acknowledged by it.
    pub(super) fn unacknowledged_in<'a>(
        &'a self,
        shard: &'a str,
    ) -> impl Iterator<Item = (u32, &'a TaskAssignment)> {
        self.unacknowledged
            .iter()
            .filter_map(|index| Some((*index, self.assigned.get(index)?)))
            .filter(move |(_, assigned)| &*assigned.shard == shard)
    }

    /// The assignment numbers of a shard's unacknowledged tasks, where they differ from the
    /// attempt numbers.
    pub(super) fn assignments_differing_from_attempts(&self, shard: &str) -> Vec<(u32, u64)> {
        self.unacknowledged_in(shard)
            .map(|(index, assigned)| (index, assigned.numbers))
            .filter(|(_, numbers)| numbers.assignment != numbers.attempt)
            .map(|(index, numbers)| (index, numbers.assignment))
            .collect()
    }

    /// The number of tasks that are reported as running.
    pub(super) fn running_tasks(&self) -> usize {
        self.assigned
            .values()
            .filter(|assigned| assigned.phase == TaskPhase::Running)
            .count()
    }

    /// Removes the assignment of a task. If another shard lists an earlier attempt of it, that
    /// one is the assignment from now on.
    pub(super) fn unassign(&mut self, index: u32) {
        self.unacknowledged.remove(&index);
        self.assigned.remove(&index);
        if let Some(earlier) = self.earlier_copies.take_latest(index) {
            self.assign(index, earlier);
        }
    }

    /// Records that a shard lists a task. Of two assignments the later one counts; the earlier one
    /// is kept until its shard reports the task as removed.
    pub(super) fn record_listed(&mut self, index: u32, listed: TaskAssignment) -> Listing {
        self.earlier_copies.remove_of_shard(index, &listed.shard);
        match self.assigned.get(&index) {
            Some(current) if current.shard == listed.shard && current.acknowledged => {}
            // Guard: an assignment that its shard has not acknowledged is under way to it, also
            // if the shard has listed an earlier attempt meanwhile.
            Some(current) if current.numbers > listed.numbers => {
                self.earlier_copies.add(index, listed);
                return Listing::EarlierCopy;
            }
            // After a transfer of the machine two shards list the same assignment.
            Some(current) if current.acknowledged && current.numbers < listed.numbers => {
                self.earlier_copies.add(index, current.clone());
                self.assign(index, listed);
                return Listing::EarlierCopy;
            }
            Some(_) | None => {}
        }
        self.assign(index, listed);
        Listing::OnlyCopy
    }

    /// Whether these are the numbers of the latest assignment of a task: no other copy of it can
    /// run once this one is gone. Any assignment made in the epoch of the leader is the latest;
    /// of earlier ones that is known only if this leader made them too.
    pub(super) fn is_latest(&self, index: u32, numbers: AssignmentNumbers, epoch: u64) -> bool {
        let assigned_in = attempt_epoch(numbers.attempt.max(numbers.assignment));
        let latest = self.latest_numbers.get(&index);
        assigned_in == epoch || latest.is_some_and(|latest| numbers >= *latest)
    }

    /// Records the assignment of a task, replacing any earlier one.
    pub(super) fn assign(&mut self, index: u32, assigned: TaskAssignment) {
        if assigned.acknowledged {
            self.unacknowledged.remove(&index);
        } else {
            self.unacknowledged.insert(index);
        }
        self.assigned.insert(index, assigned);
    }
}
