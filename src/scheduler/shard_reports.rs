//! Shards' reports, and what they prove about where tasks are.

use super::completions::needs_commit;
use super::{AssignmentNumbers, Leader, ShardView, TaskAssignment, TrackedMachine};
use crate::clock::Seconds;
use crate::finished::TaskSet;
use crate::scheduler::capacity::MachineSlot;
use crate::shard::{
    AssignedTaskStatus, MachineStatus, RemovalReason, RemovedTask, ShardReport, TaskPhase,
};
use crate::store::cache::StoreCache;
use crate::wire::{JobId, JobKind, MachineId, Task};
use finchwood_reconciliation::unreconciled::{MachineClass, UnreconciledMachines};
use std::collections::HashSet;
use std::sync::Arc;

/// Tasks that a report lists.
type ListedTasks = HashSet<(JobId, u32)>;

impl Leader {
    /// Takes in a shard's report. False if it is none of this epoch's, or
    /// builds on one that was never taken in: the shard, not told that it was,
    /// sends all that is missing again.
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
        let whole = report.since == 0;
        self.apply_machines(&shard, whole, &report.unregistered, report.machines, now);
        if let Some(view) = self.shards.get_mut(&report.node) {
            view.seen_elsewhere = report.seen_elsewhere.into_iter().collect();
            view.zone_contacts = report.zone_contacts.into_iter().collect();
            view.silent_machines = report
                .silent_machines
                .into_iter()
                .map(|q| (q.id.clone(), q))
                .collect();
        }
        let listed: ListedTasks = report
            .assigned
            .iter()
            .map(|h| (h.task.job.clone(), h.task.index))
            .collect();
        for held in report.assigned {
            self.apply_assigned_task(&shard, held, cache);
        }
        for gone in report.removed {
            self.apply_removed_task(&shard, gone, now);
        }
        if whole && report.state_retained {
            self.reconcile_retained_shard(&shard, &listed);
        }
        let mut missing = if whole {
            self.missing_tasks(&shard, &listed)
        } else {
            Vec::new()
        };
        missing.extend(
            report
                .released
                .into_iter()
                .filter(|d| self.has_acknowledged(&shard, &d.0, d.1))
                .map(|d| d.0),
        );
        for task in missing {
            self.mark_unreconciled(&task, cache);
        }
        self.remove_ended_jobs(cache);
        true
    }

    /// Whether a report is of this epoch and builds on what was taken in; notes
    /// that it came, if so.
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

    fn apply_machines(
        &mut self,
        shard: &Arc<str>,
        whole: bool,
        unacknowledged: &[(MachineId, u64)],
        machines: Vec<MachineStatus>,
        now: Seconds,
    ) {
        let shard_number = self.names.intern(shard);
        let Some(view) = self.shards.get_mut(&**shard) else {
            return;
        };
        if whole {
            let told: HashSet<&MachineId> = machines.iter().map(|machine| &machine.id).collect();
            view.machines.retain(|id, _| told.contains(id));
        }
        for (id, _) in unacknowledged {
            view.machines.remove(id);
        }
        for machine in machines {
            // One that takes tasks again has been idle since then: it was not
            // by itself that it held nothing.
            let before = view
                .machines
                .get(&machine.id)
                .filter(|o| o.view.tasks == 0 && (o.view.schedulable || !machine.schedulable));
            let before = before.map(|o| o.idle_since);
            let slot = MachineSlot::new(&machine, shard_number, &mut self.names);
            let news = TrackedMachine {
                slot,
                idle_since: before.unwrap_or(now),
                view: machine,
            };
            view.machines.insert(news.view.id.clone(), news);
        }
    }

    /// A shard holds a task.
    fn apply_assigned_task(
        &mut self,
        shard: &Arc<str>,
        held: AssignedTaskStatus,
        cache: &StoreCache,
    ) {
        let index = held.task.index;
        let Some(entry) = self.jobs.get_mut(&held.task.job) else {
            return;
        };
        // Guard: a task that the job doesn't have would count towards its end.
        if index >= entry.spec.task_count {
            return;
        }
        if held.phase == TaskPhase::Done && needs_commit(cache, &held.task) {
            // The tasks of a gang complete together: if one is done, all are,
            // also those that are lost since.
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
                attempt: held.attempt,
                assignment: held.assignment,
            },
            acknowledged: true,
            phase: held.phase,
            machine: held.machine,
        };
        match entry.assigned.get(&index) {
            // Two shards list it (a machine changed hands): the newer word
            // of the later attempt stands, until one of them is gone.
            Some(old) if old.shard != assigned.shard && old.numbers > assigned.numbers => {}
            _ => entry.assign(index, assigned),
        }
    }

    /// A task is certainly nowhere in a shard any more.
    fn apply_removed_task(&mut self, shard: &Arc<str>, gone: RemovedTask, now: Seconds) {
        let report_s = self.policy.report_s;
        let Some(entry) = self.jobs.get_mut(&gone.task.job) else {
            return;
        };
        // Guard: a shard says again and again that a task is gone, also after
        // it was assigned there anew under the same attempt.
        let same =
            |d: &TaskAssignment| gone.assignment == 0 || d.numbers.assignment == gone.assignment;
        let assigned = entry.assigned.get(&gone.task.index);
        if !assigned
            .is_some_and(|d| d.shard == *shard && d.numbers.attempt == gone.attempt && same(d))
        {
            return;
        }
        entry.unassign(gone.task.index);
        if let Some(attempt) = entry
            .attempt
            .as_mut()
            .filter(|_| gone.reason != RemovalReason::Passed)
        {
            attempt.mark_broken();
        }
        if gone.reason == RemovalReason::Error {
            entry
                .failures
                .record_failure(gone.machine.clone(), report_s, now);
            if let Some(machine) = gone.machine {
                self.failed_jobs_by_machine
                    .entry(machine)
                    .or_default()
                    .insert(gone.task.job);
            }
        }
    }

    /// A shard that kept all it knew proves by its own word that what only it can
    /// hold, and it doesn't list, is nowhere.
    fn reconcile_retained_shard(&mut self, shard: &Arc<str>, listed: &ListedTasks) {
        for (id, entry) in self
            .jobs
            .iter_mut()
            .filter(|(_, entry)| !entry.sole_holders.is_empty())
        {
            let theirs = entry
                .sole_holders
                .iter()
                .filter(|(_, p)| *p == shard)
                .map(|(i, _)| *i);
            for index in theirs.collect::<Vec<u32>>() {
                entry.sole_holders.remove(&index);
                if !listed.contains(&(id.clone(), index)) {
                    entry.unreconciled.remove(index);
                }
            }
        }
    }

    /// What a shard had listed and lists no more, without a word.
    fn missing_tasks(&self, shard: &Arc<str>, listed: &ListedTasks) -> Vec<Task> {
        let mut missing = Vec::new();
        for (id, entry) in &self.jobs {
            let theirs = entry
                .assigned
                .iter()
                .filter(|(_, d)| d.shard == *shard && d.acknowledged);
            let lost = theirs.filter(|(index, _)| !listed.contains(&(id.clone(), **index)));
            missing.extend(lost.map(|(index, _)| Task {
                job: id.clone(),
                index: *index,
            }));
        }
        missing
    }

    /// Whether a shard is known to list a task under this attempt.
    fn has_acknowledged(&self, shard: &Arc<str>, task: &Task, attempt: u64) -> bool {
        let assigned = self
            .jobs
            .get(&task.job)
            .and_then(|entry| entry.assigned.get(&task.index));
        assigned
            .is_some_and(|d| d.shard == *shard && d.acknowledged && d.numbers.attempt == attempt)
    }

    /// A task is somewhere we don't know, unless it needs no more runs.
    fn mark_unreconciled(&mut self, task: &Task, cache: &StoreCache) {
        let Some(entry) = self.jobs.get_mut(&task.job) else {
            return;
        };
        entry.unassign(task.index);
        let job = cache.jobs.get(&task.job);
        if job.is_some_and(|j| j.finished.contains(task.index) || j.record.done) {
            return;
        }
        entry.unreconciled.add(task.index);
        if let Some(attempt) = entry.attempt.as_mut() {
            attempt.mark_unreconciled();
        }
        self.epoch.reconciled = false;
    }

    fn remove_ended_jobs(&mut self, cache: &StoreCache) {
        self.jobs.retain(|id, entry| {
            !entry.assigned.is_empty()
                || !entry.unreconciled.is_empty()
                || cache.jobs.get(id).is_some_and(|j| j.live())
        });
    }

    /// Machines whose content nobody knows yet under this epoch, apart from
    /// those that `gone` says are deleted.
    pub(super) fn unreconciled_registered<'a>(
        &'a self,
        cache: &'a StoreCache,
        gone: &'a dyn Fn(&MachineId) -> bool,
    ) -> impl Iterator<Item = &'a MachineId> + 'a {
        cache
            .registry
            .iter()
            .filter(|(_, machine)| machine.record.in_use)
            .map(|(id, _)| id)
            .filter(move |id| {
                // A shard tells only of machines that are its own in this epoch.
                !gone(id)
                    && !self.shards.values().any(|p| {
                        p.machines
                            .get(*id)
                            .is_some_and(|machine| machine.view.reconciled)
                    })
            })
    }

    /// The machines in doubt: those of the machine registry, and those that report although the
    /// machine registry lacks them.
    pub fn unreconciled_machines(
        &self,
        cache: &StoreCache,
        gone: &dyn Fn(&MachineId) -> bool,
    ) -> UnreconciledMachines {
        let registered = self
            .unreconciled_registered(cache, gone)
            .filter_map(|id| cache.registry.get(id));
        let registered = registered.map(|machine| MachineClass {
            machine_type: machine.record.machine_type.clone(),
            zone: machine.record.zone.clone(),
            spot: machine.record.spot,
        });
        let unacknowledged = self.machines().filter(|machine| {
            machine.has_reported
                && !machine.reconciled
                && !cache.registry.contains_key(&machine.id)
                && !gone(&machine.id)
        });
        let unacknowledged = unacknowledged.map(|machine| MachineClass {
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
        });
        registered.chain(unacknowledged).collect()
    }

    /// Whether machines that no readable page of the machine registry names may hold tasks. Such
    /// a machine reports to its owner within its worker's lease, or that is past.
    fn may_be_on_unlisted_machines(&self, cache: &StoreCache) -> bool {
        let Some(first_report_at) = self.epoch.first_report_at else {
            return true;
        };
        cache.unreadable.any_registry_page()
            && self.epoch.last_report_at - first_report_at < self.policy.takeover_s
    }

    /// Whether every member has sent its holdings in this epoch.
    pub fn all_joined(&self) -> bool {
        self.epoch
            .members
            .keys()
            .all(|machine| self.epoch.reported_shards.contains(machine))
    }

    /// Frees unknown tasks once they are proven to be nowhere: every shard has
    /// told its holdings, and the owner of every machine that may run them is
    /// certain of what is on it. Only the owner can say that a worker's lease
    /// must be past, since it knows whether it has answered it: by the age of
    /// the epoch alone, a worker answered a moment ago would count as empty.
    ///
    /// A machine that stays unheard holds up only the jobs that may be on it:
    /// those allowed on its type, in its zone and on its kind.
    ///
    /// `gone` knows whose deletion was answered: that is proof long before the
    /// machine registry shows it, which may be written late when there is much to write.
    pub fn reconcile(&mut self, cache: &StoreCache, gone: &dyn Fn(&MachineId) -> bool) {
        if self.epoch.reconciled || !self.epoch.has_new_evidence || !self.all_joined() {
            return;
        }
        self.epoch.has_new_evidence = false;
        if self.may_be_on_unlisted_machines(cache) {
            return;
        }
        let unreconciled = self.unreconciled_machines(cache, gone);
        self.epoch.reconciled = unreconciled.is_empty();
        for entry in self
            .jobs
            .values_mut()
            .filter(|entry| !entry.unreconciled.is_empty())
        {
            if !unreconciled.may_hold(&entry.spec) {
                entry.unreconciled = TaskSet::default();
            }
        }
        self.remove_ended_jobs(cache);
    }

    /// Whether nothing is in doubt any more.
    pub fn is_reconciled(&self) -> bool {
        self.epoch.reconciled
    }
}
