//! Applies the shards' reports about their machines and tasks.

use super::completions::needs_commit;
use super::events::FreedBy;
use super::job_entry::Listing;
use super::{AssignmentNumbers, Leader, ShardView, TaskAssignment, TrackedMachine};
use crate::clock::Seconds;
use crate::scheduler::capacity::MachineSlot;
use crate::shard::{
    AssignedTaskStatus, MachineStatus, RemovalReason, RemovedTask, ShardReport, TaskPhase,
};
use crate::store::cache::StoreCache;
use crate::wire::{JobId, JobKind, MachineId, Task};
use std::collections::HashSet;
use std::sync::Arc;

/// The tasks that a report lists.
pub(super) type ListedTasks = HashSet<(JobId, u32)>;

fn listed_tasks(statuses: &[AssignedTaskStatus]) -> ListedTasks {
    statuses
        .iter()
        .map(|status| (status.task.job.clone(), status.task.index))
        .collect()
}

impl Leader {
    /// Applies a shard's report. Returns false if the report is of another epoch, or builds
    /// on one that was never applied: such a report is not acknowledged, so that the shard
    /// sends the missing changes again.
    pub fn apply_shard_report(
        &mut self,
        report: ShardReport,
        cache: &StoreCache,
        now: Seconds,
    ) -> bool {
        if !self.is_next_report(&report, now) {
            return false;
        }
        self.epoch.has_new_evidence = true;
        self.epoch.last_report_at = now;
        self.epoch.first_report_at.get_or_insert(now);
        self.epoch.reported_shards.insert(report.node.clone());
        let shard: Arc<str> = report.node.as_str().into();
        let full = report.since == 0;
        self.apply_machines(&shard, full, &report.removed_machines, report.machines, now);
        if let Some(view) = self.shards.get_mut(&report.node) {
            view.foreign_workers = report.foreign_workers.into_iter().collect();
            view.zone_contacts = report.zone_contacts.into_iter().collect();
            view.set_silent_machines(report.silent_machines);
        }
        let listed = listed_tasks(&report.assigned);
        if full {
            self.unread_jobs.remove_shard(&shard);
        }
        for status in report.assigned {
            self.apply_listed_task(&shard, status, cache, now);
        }
        for removed in report.removed {
            self.apply_removed_task(&shard, removed, now);
        }
        if full && report.state_retained {
            self.reconcile_retained_shard(&shard, &listed);
        }
        for (task, attempt, _) in &report.released {
            self.unread_jobs
                .remove(&shard, task, |status| status.attempt == *attempt);
        }
        let released = report.released.iter();
        let released_tasks = released.map(|(task, attempt, _)| (task, *attempt));
        self.forget_unlisted_copies(&shard, full.then_some(&listed), released_tasks);
        let mut missing = if full {
            self.missing_tasks(&shard, &listed)
        } else {
            Vec::new()
        };
        missing.extend(
            report
                .released
                .into_iter()
                .filter(|(task, attempt, _)| self.has_acknowledged(&shard, task, *attempt))
                .map(|(task, _, _)| task),
        );
        self.mark_missing(&missing, cache);
        true
    }

    /// Marks as unreconciled the tasks that a shard no longer lists, and removes jobs that
    /// have ended.
    fn mark_missing(&mut self, missing: &[Task], cache: &StoreCache) {
        for task in missing {
            self.mark_unreconciled(task, cache);
        }
        self.remove_ended_jobs(cache);
    }

    /// Whether a report is of this epoch and builds on those that were applied; if so,
    /// records its arrival.
    fn is_next_report(&mut self, report: &ShardReport, now: Seconds) -> bool {
        if report.epoch != self.epoch.number
            || self.epoch.members.get(&report.node) != Some(&report.incarnation)
        {
            return false;
        }
        let view = self
            .shards
            .entry(report.node.clone())
            .or_insert_with(|| ShardView::new(report.incarnation, now));
        if report.seq <= view.seq
            || report.incarnation != view.incarnation
            || report.since > view.seq
        {
            return false;
        }
        view.seq = report.seq;
        view.last_report_at = now;
        true
    }

    /// Applies the machines of a report; a full report lists all machines of the shard.
    fn apply_machines(
        &mut self,
        shard: &Arc<str>,
        full: bool,
        removed_machines: &[(MachineId, u64)],
        machines: Vec<MachineStatus>,
        now: Seconds,
    ) {
        let shard_number = self.names.intern(shard);
        let Some(view) = self.shards.get_mut(&**shard) else {
            return;
        };
        if full {
            let reported: HashSet<&MachineId> =
                machines.iter().map(|machine| &machine.id).collect();
            view.machines.retain(|id, _| reported.contains(id));
        }
        for (id, _) in removed_machines {
            view.machines.remove(id);
        }
        for machine in machines {
            // A machine that has become schedulable again counts as idle from now on, since
            // it was kept empty before.
            let previous = view.machines.get(&machine.id).filter(|previous| {
                previous.status.tasks == 0 && (previous.status.schedulable || !machine.schedulable)
            });
            let previous = previous.map(|previous| previous.idle_since);
            let slot = MachineSlot::new(&machine, shard_number, &mut self.names);
            let tracked = TrackedMachine {
                slot,
                idle_since: previous.unwrap_or(now),
                status: machine,
            };
            view.machines.insert(tracked.status.id.clone(), tracked);
        }
    }

    /// Applies the status of a task that a shard lists as assigned to it, or keeps it until the
    /// task's job is read.
    fn apply_listed_task(
        &mut self,
        shard: &Arc<str>,
        status: AssignedTaskStatus,
        cache: &StoreCache,
        now: Seconds,
    ) {
        if self.jobs.contains_key(&status.task.job) {
            self.apply_assigned_task(shard, status, cache);
        } else {
            // Guard: the report is acknowledged, and the shard does not list the task again.
            self.keep_until_read(shard, status, cache, now);
        }
    }

    /// Applies the status of a task that a shard lists as assigned to it.
    pub(super) fn apply_assigned_task(
        &mut self,
        shard: &Arc<str>,
        status: AssignedTaskStatus,
        cache: &StoreCache,
    ) {
        let index = status.task.index;
        let Some(entry) = self.jobs.get_mut(&status.task.job) else {
            return;
        };
        // A task that the job does not have would count towards its completion.
        if index >= entry.spec.task_count {
            return;
        }
        if status.phase == TaskPhase::Done && needs_commit(cache, &status.task) {
            // The tasks of a gang complete together: if one is done, all are, including
            // those that were lost since.
            let gang = entry.spec.job_kind == JobKind::Gang;
            let done = if gang {
                0..entry.spec.task_count
            } else {
                index..index + 1
            };
            for task in done {
                entry.completed.add(task);
            }
            entry.failures.record_success();
        }
        entry.unreconciled.remove(index);
        let assigned = TaskAssignment {
            shard: shard.clone(),
            numbers: AssignmentNumbers {
                attempt: status.attempt,
                assignment: status.assignment,
            },
            acknowledged: true,
            phase: status.phase,
            machine: status.machine.clone(),
        };
        if entry.record_listed(index, assigned) == Listing::EarlierCopy {
            self.events.listed_twice.record(|| {
                let (task, attempt) = (&status.task, status.attempt);
                let later = entry.assigned.get(&index);
                let later = later.map(|later| (later.numbers.attempt, later.shard.clone()));
                format!("{task}@{attempt} {shard}, assigned: {later:?}")
            });
        }
    }

    /// Applies the removal of a task, which is confirmed to no longer run in the shard.
    fn apply_removed_task(&mut self, shard: &Arc<str>, removed: RemovedTask, now: Seconds) {
        let report_s = self.policy.report_s;
        let Some(entry) = self.jobs.get_mut(&removed.task.job) else {
            self.unread_jobs.remove(shard, &removed.task, |status| {
                status.attempt == removed.attempt
                    && (removed.assignment == 0 || status.assignment == removed.assignment)
            });
            return;
        };
        // A shard repeats the removal of a task in its reports, also after the task was
        // assigned to it again under the same attempt.
        let is_same = |assigned: &TaskAssignment| {
            assigned.shard == *shard
                && assigned.numbers.attempt == removed.attempt
                && (removed.assignment == 0 || assigned.numbers.assignment == removed.assignment)
        };
        let index = removed.task.index;
        if !entry.assigned.get(&index).is_some_and(is_same) {
            entry.earlier_copies.retain(index, |copy| !is_same(copy));
            return;
        }
        let numbers = entry.assigned.get(&index).map(|assigned| assigned.numbers);
        let is_latest =
            numbers.is_some_and(|numbers| entry.is_latest(index, numbers, self.epoch.number));
        entry.unassign(index);
        let describe = || {
            let (task, attempt) = (&removed.task, removed.attempt);
            let machine = removed.machine.as_deref().unwrap_or("no machine");
            format!("{task}@{attempt} {shard} {machine}")
        };
        if !is_latest && !self.epoch.reconciled {
            // Guard: a later attempt may run on a machine that is not reconciled yet.
            entry.unreconciled.add(index);
            self.events.held_back.record(describe);
        } else {
            let proof = match is_latest {
                true => FreedBy::LatestRemoved,
                false => FreedBy::RemovedAfterReconciliation,
            };
            let freed = self.events.freed.entry((proof, Some(removed.reason)));
            freed.or_default().record(describe);
        }
        if removed.reason != RemovalReason::Rejected {
            if let Some(attempt) = entry.attempt.as_mut() {
                attempt.mark_broken();
            }
        }
        if removed.reason == RemovalReason::Error {
            entry
                .failures
                .record_failure(removed.machine.clone(), report_s, now);
            if let Some(machine) = removed.machine {
                self.failed_jobs_by_machine
                    .entry(machine)
                    .or_default()
                    .insert(removed.task.job);
            }
        }
    }

    /// Confirms that tasks which can only run in this shard, and which its full report does
    /// not list, run on no machine: the shard has kept all of its state, so that its report
    /// is sufficient evidence.
    fn reconcile_retained_shard(&mut self, shard: &Arc<str>, listed: &ListedTasks) {
        for (id, entry) in self
            .jobs
            .iter_mut()
            .filter(|(_, entry)| !entry.only_possible_shard.is_empty())
        {
            let shard_tasks = entry
                .only_possible_shard
                .iter()
                .filter(|(_, only_shard)| *only_shard == shard)
                .map(|(index, _)| *index);
            for index in shard_tasks.collect::<Vec<u32>>() {
                entry.only_possible_shard.remove(&index);
                if !listed.contains(&(id.clone(), index)) && entry.unreconciled.remove(index) {
                    let freed = self.events.freed.entry((FreedBy::RetainedShard, None));
                    freed
                        .or_default()
                        .record(|| format!("{id}/{index} {shard}"));
                }
            }
        }
    }

    /// The tasks that a shard has listed before and no longer lists, without a reported
    /// removal.
    fn missing_tasks(&self, shard: &Arc<str>, listed: &ListedTasks) -> Vec<Task> {
        let mut missing = Vec::new();
        for (id, entry) in &self.jobs {
            let shard_tasks = entry
                .assigned
                .iter()
                .filter(|(_, assigned)| assigned.shard == *shard && assigned.acknowledged);
            let unlisted =
                shard_tasks.filter(|(index, _)| !listed.contains(&(id.clone(), **index)));
            missing.extend(unlisted.map(|(index, _)| Task {
                job: id.clone(),
                index: *index,
            }));
        }
        missing
    }

    /// Whether a shard has listed a task under this attempt.
    fn has_acknowledged(&self, shard: &Arc<str>, task: &Task, attempt: u64) -> bool {
        let assigned = self
            .jobs
            .get(&task.job)
            .and_then(|entry| entry.assigned.get(&task.index));
        assigned.is_some_and(|assigned| {
            assigned.shard == *shard && assigned.acknowledged && assigned.numbers.attempt == attempt
        })
    }

    /// Records that the location of a task is unknown, unless the task does not have to run
    /// again.
    fn mark_unreconciled(&mut self, task: &Task, cache: &StoreCache) {
        let Some(entry) = self.jobs.get_mut(&task.job) else {
            return;
        };
        entry.unassign(task.index);
        let job = cache.jobs.get(&task.job);
        if job.is_some_and(|job| job.finished.contains(task.index) || job.record.done) {
            return;
        }
        entry.unreconciled.add(task.index);
        if let Some(attempt) = entry.attempt.as_mut() {
            attempt.mark_unreconciled();
        }
        self.epoch.reconciled = false;
    }

    /// Removes jobs that have ended and have no assigned and no unreconciled tasks.
    pub(super) fn remove_ended_jobs(&mut self, cache: &StoreCache) {
        self.jobs.retain(|id, entry| {
            !entry.assigned.is_empty()
                || !entry.unreconciled.is_empty()
                || cache.jobs.get(id).is_some_and(|job| job.is_live())
        });
    }
}
