//! Reconciliation of the tasks that a machine reports with those that are assigned to it.
//! The verdicts are reached in `finchwood-reconciliation`; this module carries them out.

use super::machine::{ObservedTask, ObservedTasks};
use super::{AssignedTask, Placement, RemovalReason, Shard, Stop, TaskPhase};
use crate::clock::Seconds;
use crate::store::cache::StoreCache;
use crate::wire::{cause, MachineId, Task, TaskState};
use finchwood_reconciliation::hold_off::{Action, HoldReason};
use finchwood_reconciliation::restart_record::{DecisionEntry, RecordView};
use finchwood_reconciliation::stored_jobs::StoredJobs;
use finchwood_reconciliation::verdict::{
    attempt_counts, decide, AdoptReason, KnownAssignment, Verdict,
};
use std::collections::BTreeMap;

/// A task that is assigned to a machine and that its heartbeat does not list.
struct Absent {
    task: Task,
    /// The report shows a token above that of the last start.
    proven: bool,
    confirmed: bool,
    stopping: bool,
}

impl Shard {
    /// What this shard knows of a task that a machine reports under an attempt.
    pub(super) fn known_assignment(
        &self,
        id: &MachineId,
        task: &Task,
        attempt: u64,
    ) -> KnownAssignment {
        match self.assigned.get(task) {
            None => KnownAssignment::Unassigned,
            Some(assigned) => match &assigned.placement {
                None => KnownAssignment::Unplaced,
                Some(placement) if assigned.attempt == attempt && placement.machine == *id => {
                    KnownAssignment::Same
                }
                Some(_) => KnownAssignment::Elsewhere,
            },
        }
    }

    /// Compares what a machine shows with what is assigned to it, and acts on the verdicts.
    /// `seen_token` is the token that the machine's heartbeat showed.
    pub(super) fn reconcile(
        &mut self,
        id: &MachineId,
        seen_token: u64,
        cache: &StoreCache,
        now: Seconds,
    ) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let observed_tasks = std::mem::take(&mut machine.contents.tasks);
        let verdicts_before = std::mem::take(&mut machine.contents.verdicts);
        let (session, first_sight) = (machine.session.id, !machine.contents.compared);
        machine.contents.compared = true;
        let mut verdicts = BTreeMap::new();
        for (task, observed) in &observed_tasks {
            let attempt = observed.attempt;
            let verdict = self.decide_verdict(id, task, observed, cache);
            if verdict != Verdict::Known {
                verdicts.insert(task.clone(), (attempt, verdict));
                if verdicts_before.get(task) != Some(&(attempt, verdict)) {
                    let entry = DecisionEntry {
                        at_s: self.restart_record.age_s(now),
                        task: task.to_string(),
                        attempt,
                        machine: id.clone(),
                        session,
                        verdict,
                    };
                    self.record_verdict(entry, first_sight);
                }
            }
            if attempt_counts(attempt, self.epoch) {
                self.raise_highest_assignment(task, attempt);
            }
            let adopted = Placement::adopted(id, session, seen_token, now);
            self.apply_verdict(verdict, task, attempt, adopted, now);
            self.apply_observed_state(verdict, task, observed, now);
        }
        self.reconcile_absent(id, &observed_tasks, seen_token);
        if let Some(machine) = self.machines.get_mut(id) {
            machine.contents.tasks = observed_tasks;
            machine.contents.verdicts = verdicts;
        }
    }

    /// The verdict on a task that a machine reports.
    fn decide_verdict(
        &self,
        id: &MachineId,
        task: &Task,
        observed: &ObservedTask,
        cache: &StoreCache,
    ) -> Verdict {
        let known_assignment = self.known_assignment(id, task, observed.attempt);
        let stored = cache.stored_task(task);
        decide(observed.reported(), known_assignment, stored, self.epoch)
    }

    /// Records that a task has been assigned under `assignment`, unless a higher one is known.
    pub(super) fn raise_highest_assignment(&mut self, task: &Task, assignment: u64) {
        let highest = self.highest_assignments.entry(task.clone()).or_insert(0);
        *highest = (*highest).max(assignment);
    }

    /// Assigns a reported task, or leaves it as it is, according to the verdict.
    fn apply_verdict(
        &mut self,
        verdict: Verdict,
        task: &Task,
        attempt: u64,
        placement: Placement,
        now: Seconds,
    ) {
        match verdict {
            Verdict::Known | Verdict::Forget(_) | Verdict::Conflict(_) => {}
            Verdict::Adopt(AdoptReason::FoundWhilePlanned) => {
                let stale = self.assigned.get(task).map(|assigned| assigned.attempt);
                tracing::warn!(%task, stale, attempt, "queued task found on a machine");
                self.assigned.place(task, attempt, placement);
                self.report_due = true;
            }
            // One that is to stop stays assigned until it has: so long it takes its team's
            // room. One that nothing is known of is assigned as well, and left alone.
            Verdict::Adopt(_)
            | Verdict::RecordFinished
            | Verdict::Stop(_)
            | Verdict::LeaveUnreconciled(_) => {
                let assigned = AssignedTask {
                    attempt,
                    assignment: attempt,
                    placement: Some(placement),
                    assigned_at: now,
                    avoid: Vec::new(),
                    last_reported: None,
                };
                self.assigned.insert(task.clone(), assigned);
                self.report_due = true;
            }
        }
    }

    /// Applies what an assigned task does now.
    fn apply_observed_state(
        &mut self,
        verdict: Verdict,
        task: &Task,
        observed: &ObservedTask,
        now: Seconds,
    ) {
        match verdict {
            Verdict::Forget(_) | Verdict::Conflict(_) => {}
            Verdict::Stop(_) => {
                self.update_phase(task, observed, now);
                self.stop_task(task, observed.attempt, Stop::Cancelled);
            }
            Verdict::Known
            | Verdict::Adopt(_)
            | Verdict::RecordFinished
            | Verdict::LeaveUnreconciled(_) => {
                self.update_phase(task, observed, now);
            }
        }
    }

    /// Records a verdict for the operators: all on what a machine shows first, later only
    /// those that leave a task alone.
    fn record_verdict(&mut self, entry: DecisionEntry, first_sight: bool) {
        let verdict = entry.verdict;
        if matches!(
            verdict,
            Verdict::LeaveUnreconciled(_) | Verdict::Conflict(_)
        ) {
            tracing::warn!(
                task = %entry.task,
                attempt = entry.attempt,
                machine = %entry.machine,
                ?verdict,
                "a reported task is left alone"
            );
        } else if !first_sight {
            return;
        }
        self.restart_record.record_decision(entry);
    }

    /// The tasks that are assigned to a machine and that its report doesn't list.
    fn absent_tasks(
        &self,
        id: &MachineId,
        observed_tasks: &ObservedTasks,
        seen_token: u64,
    ) -> Vec<Absent> {
        self.assigned
            .on(id)
            .filter(|(task, assigned)| {
                observed_tasks
                    .get(*task)
                    .is_none_or(|observed| observed.attempt != assigned.attempt)
            })
            .filter_map(|(task, assigned)| {
                let placement = assigned.placement.as_ref()?;
                Some(Absent {
                    task: task.clone(),
                    proven: placement
                        .start_token
                        .is_some_and(|token| seen_token > token),
                    confirmed: placement.confirmed,
                    stopping: placement.stop.is_some(),
                })
            })
            .collect()
    }

    /// Reconciles the tasks that are assigned to a machine and that its report doesn't list.
    fn reconcile_absent(
        &mut self,
        id: &MachineId,
        observed_tasks: &ObservedTasks,
        seen_token: u64,
    ) {
        let absent = self.absent_tasks(id, observed_tasks, seen_token);
        for Absent {
            task,
            proven,
            confirmed,
            stopping,
        } in absent
        {
            if proven && (confirmed || stopping) {
                self.remove_task(
                    &task,
                    if stopping {
                        RemovalReason::Stopped
                    } else {
                        RemovalReason::Lost
                    },
                );
            } else if proven {
                // Not there and can't come any more: start it anew.
                if let Some(placement) = self.assigned.place_mut(&task) {
                    placement.start_sent = false;
                    placement.start_token = None;
                }
            } else if confirmed || stopping {
                if let Some(machine) = self.machines.get_mut(id) {
                    machine.raise_token_above(self.epoch, seen_token);
                    machine.commands.probe_due = true;
                }
            }
        }
    }

    /// The leader held an action off because of unreconciled machines.
    pub fn record_hold_off(&mut self, action: Action, reason: HoldReason) {
        self.restart_record.record_hold(action, reason);
    }

    /// What was found and decided since this shard last knew nothing.
    pub fn restart_record(&mut self, now: Seconds) -> RecordView {
        let unreconciled = self
            .machines
            .values()
            .filter(|machine| !machine.is_reconciled())
            .count();
        self.restart_record.record_unreconciled(unreconciled, now);
        self.restart_record
            .view(self.machines.values().map(|machine| machine.state), now)
    }

    /// Applies what a machine shows of a task that is assigned to it.
    pub(super) fn update_phase(&mut self, task: &Task, observed: &ObservedTask, now: Seconds) {
        let Some(since) = self.assigned.get(task).map(|assigned| assigned.assigned_at) else {
            return;
        };
        let Some(placement) = self.assigned.place_mut(task) else {
            return;
        };
        placement.confirmed = true;
        placement.start_sent = true;
        let phase = match observed.state {
            // A gang that gathers does not run yet.
            TaskState::Fetching | TaskState::Gathering => TaskPhase::Fetching,
            TaskState::Running | TaskState::Other => TaskPhase::Running,
            TaskState::Saving => TaskPhase::Saving,
            TaskState::Ended => match observed.cause.as_deref() {
                Some(cause::DONE) => TaskPhase::Done,
                Some(cause::STOPPED) => return self.remove_task(task, RemovalReason::Stopped),
                Some(cause::ERROR) => {
                    let id = placement.machine.clone();
                    if let Some(machine) = self.machines.get_mut(&id) {
                        machine.contents.failed_jobs.insert(task.job.clone());
                    }
                    return self.remove_task(task, RemovalReason::Error);
                }
                // Refused: it can't have had its image under this assignment.
                Some(cause::NO_ROOM | cause::BUSY | cause::UNKNOWN) | None => {
                    return self.remove_task(task, RemovalReason::Rejected)
                }
                // The attempt of its gang is over, or something this version
                // doesn't know: neither is the fault of the machine or the job.
                Some(_) => return self.remove_task(task, RemovalReason::Lost),
            },
        };
        if placement.phase != phase {
            tracing::debug!(%task, ?phase, assigned_s = now - since, "task phase changed");
            placement.phase = phase;
            placement.phase_since = now;
            self.report_due = true;
        }
    }
}
