//! Reconciliation of the tasks that a machine reports with those that are assigned to it.
//! The crate `finchwood-reconciliation` decides on a verdict for each reported task; this
//! module carries the verdicts out.

use super::events::RemovalProof;
use super::machine::{ObservedTask, ObservedTasks};
use super::{AssignedTask, Placement, RemovalReason, Shard, TaskPhase, TaskStopReason};
use crate::clock::Seconds;
use crate::store::cache::StoreCache;
use crate::wire::{cause, MachineId, Task, TaskState};
use finchwood_reconciliation::hold_off::{Action, HoldReason};
use finchwood_reconciliation::restart_record::{DecisionEntry, RecordView};
use finchwood_reconciliation::stored_jobs::{StoredJobs, StoredTask};
use finchwood_reconciliation::verdict::{
    attempt_epoch_has_begun, decide, AdoptReason, ConflictReason, KnownAssignment, Verdict,
};
use std::collections::BTreeMap;

/// How many contradictions get a log line of their own between two summaries.
const MAX_LOGGED_CONTRADICTIONS: u64 = 12;

/// A task that is assigned to a machine and that the machine's heartbeat does not list.
struct AbsentTask {
    task: Task,
    /// Whether the heartbeat carries a token above that of the last start: the task is not on
    /// the machine, and that start can't take effect any more.
    proven_absent: bool,
    confirmed: bool,
    stopping: bool,
}

impl Shard {
    /// Returns how a task that a machine reports under an attempt is assigned in this shard.
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
                // Guard: while a start of the earlier attempt may be in flight, its assignment
                // stays, so that the start is followed up.
                Some(placement)
                    if placement.confirmed
                        && assigned.attempt < attempt
                        && attempt_epoch_has_begun(attempt, self.epoch) =>
                {
                    KnownAssignment::EarlierAttempt
                }
                Some(_) => KnownAssignment::Elsewhere,
            },
        }
    }

    /// Compares the tasks that a machine reports with those assigned to it, and carries out
    /// the verdicts. `seen_token` is the token that the machine's heartbeat carried.
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
        let previous_verdicts = std::mem::take(&mut machine.contents.verdicts);
        let (session, first_comparison) = (machine.session.id, !machine.contents.compared);
        machine.contents.compared = true;
        let mut verdicts = BTreeMap::new();
        let mut other_copies = Vec::new();
        let mut stop_is_due = false;
        for (task, observed) in &observed_tasks {
            let attempt = observed.attempt;
            let verdict = self.decide_verdict(id, task, observed, cache);
            if verdict != Verdict::Known {
                verdicts.insert(task.clone(), (attempt, verdict));
                if previous_verdicts.get(task) != Some(&(attempt, verdict)) {
                    let entry = DecisionEntry {
                        at_s: self.restart_record.age_s(now),
                        task: task.to_string(),
                        attempt,
                        machine: id.clone(),
                        session,
                        verdict,
                    };
                    self.record_verdict(entry, first_comparison);
                    stop_is_due |= verdict == Verdict::Conflict(ConflictReason::RunsTwice);
                }
            }
            if matches!(verdict, Verdict::Conflict(_)) {
                other_copies.push((task.clone(), attempt));
            }
            if attempt_epoch_has_begun(attempt, self.epoch) {
                self.raise_highest_assignment(task, attempt);
            }
            let adopted = Placement::adopted(id, session, seen_token, now);
            self.apply_verdict(verdict, task, attempt, adopted, now);
            self.apply_observed_state(verdict, task, observed, now);
            // Guard: the cancellation may have been read while the machine was fenced by a
            // transfer that was then aborted.
            if cache.stored_task(task) == StoredTask::JobCancelled {
                self.stop_task(task, attempt, TaskStopReason::Cancelled);
            }
        }
        self.other_copies.replace(id, other_copies);
        self.reconcile_absent(id, &observed_tasks, seen_token);
        if let Some(machine) = self.machines.get_mut(id) {
            machine.commands.probe_due |= stop_is_due;
            machine.contents.tasks = observed_tasks;
            machine.contents.verdicts = verdicts;
        }
    }

    /// Decides on the verdict for a task that a machine reports.
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

    /// Records that a task was assigned under `assignment`, unless a higher number is known.
    pub(super) fn raise_highest_assignment(&mut self, task: &Task, assignment: u64) {
        let highest = self.highest_assignments.entry(task.clone()).or_insert(0);
        *highest = (*highest).max(assignment);
    }

    /// Assigns a reported task to its machine if the verdict requires it.
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
            Verdict::Adopt(AdoptReason::FoundWhileUnplaced) => {
                let earlier_attempt = self.assigned.get(task).map(|assigned| assigned.attempt);
                tracing::warn!(
                    %task,
                    earlier_attempt,
                    attempt,
                    "queued task is already on a machine; adopting it there"
                );
                self.assigned.place(task, attempt, placement);
                self.report_due = true;
            }
            // A task that is to be stopped stays assigned until it has stopped, as it counts
            // towards its team's usage until then. A task without a known record is assigned
            // too, but no command is sent for it.
            Verdict::Adopt(_)
            | Verdict::RecordFinished
            | Verdict::Stop(_)
            | Verdict::LeaveUnreconciled(_) => {
                let machine = &placement.machine;
                self.release_earlier_attempt(task, attempt, machine);
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

    /// Applies the reported state of a task that is assigned here, and stops it if the verdict
    /// requires it.
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
                self.stop_task(task, observed.attempt, TaskStopReason::Cancelled);
            }
            Verdict::Known
            | Verdict::Adopt(_)
            | Verdict::RecordFinished
            | Verdict::LeaveUnreconciled(_) => {
                self.update_phase(task, observed, now);
            }
        }
    }

    /// Records a verdict for operators: all verdicts of a machine's first comparison, and
    /// later only conflicts and those that leave a task unreconciled.
    fn record_verdict(&mut self, entry: DecisionEntry, first_comparison: bool) {
        let verdict = entry.verdict;
        if matches!(
            verdict,
            Verdict::LeaveUnreconciled(_) | Verdict::Conflict(_)
        ) {
            let DecisionEntry {
                task,
                attempt,
                machine,
                ..
            } = &entry;
            let contradictions = &mut self.events.contradictions;
            contradictions.record(|| format!("{task}@{attempt} {machine} {verdict:?}"));
            if contradictions.count() <= MAX_LOGGED_CONTRADICTIONS {
                tracing::warn!(%task, attempt, %machine, ?verdict, "a reported task is left alone");
            }
        } else if !first_comparison {
            return;
        }
        self.restart_record.record_decision(entry);
    }

    /// Returns the tasks that are assigned to a machine and that its report doesn't list.
    fn absent_tasks(
        &self,
        id: &MachineId,
        observed_tasks: &ObservedTasks,
        seen_token: u64,
    ) -> Vec<AbsentTask> {
        self.assigned
            .on_machine(id)
            .filter(|(task, assigned)| {
                observed_tasks
                    .get(*task)
                    .is_none_or(|observed| observed.attempt != assigned.attempt)
            })
            .filter_map(|(task, assigned)| {
                let placement = assigned.placement.as_ref()?;
                Some(AbsentTask {
                    task: task.clone(),
                    proven_absent: placement
                        .start_token
                        .is_some_and(|token| seen_token > token),
                    confirmed: placement.confirmed,
                    stopping: placement.stop_reason.is_some(),
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
        for AbsentTask {
            task,
            proven_absent,
            confirmed,
            stopping,
        } in absent
        {
            if proven_absent && (confirmed || stopping) {
                self.remove_task(
                    &task,
                    if stopping {
                        RemovalReason::Stopped
                    } else {
                        RemovalReason::Lost
                    },
                    RemovalProof::NotListed,
                );
            } else if proven_absent {
                // It is not on the machine, and its start can't arrive any more: it is
                // started again.
                if let Some(placement) = self.assigned.placement_mut(&task) {
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

    /// Records that the leader held back an action because of unreconciled machines.
    pub fn record_hold_off(&mut self, action: Action, reason: HoldReason) {
        self.restart_record.record_hold(action, reason);
    }

    /// Returns a view of the restart record: what was found and decided since this shard last
    /// began without state.
    pub fn restart_record(&mut self, now: Seconds) -> RecordView {
        let unreconciled = self
            .machines
            .values()
            .filter(|machine| machine.state.may_hold_unknown_tasks())
            .count();
        self.restart_record.record_unreconciled(unreconciled, now);
        self.restart_record
            .view(self.machines.values().map(|machine| machine.state), now)
    }

    /// Updates the phase of a task from what its machine reports, and removes the task if it
    /// has ended without completing. Does nothing if the task has no placement.
    pub(super) fn update_phase(&mut self, task: &Task, observed: &ObservedTask, now: Seconds) {
        let Some(assigned_at) = self.assigned.get(task).map(|assigned| assigned.assigned_at) else {
            return;
        };
        let Some(placement) = self.assigned.placement_mut(task) else {
            return;
        };
        placement.confirmed = true;
        placement.start_sent = true;
        let ended = RemovalProof::ReportedEnd;
        let phase = match observed.state {
            // The tasks of a gang don't run until all of them are ready.
            TaskState::Fetching | TaskState::Gathering => TaskPhase::Fetching,
            TaskState::Running | TaskState::Other => TaskPhase::Running,
            TaskState::Saving => TaskPhase::Saving,
            TaskState::Ended => match observed.cause.as_deref() {
                Some(cause::DONE) => TaskPhase::Done,
                Some(cause::STOPPED) => {
                    return self.remove_task(task, RemovalReason::Stopped, ended)
                }
                Some(cause::ERROR) => {
                    let id = placement.machine.clone();
                    if let Some(machine) = self.machines.get_mut(&id) {
                        machine.contents.failed_jobs.insert(task.job.clone());
                    }
                    return self.remove_task(task, RemovalReason::Error, ended);
                }
                // The worker refused it, so that it has not run under this assignment.
                Some(cause::NO_ROOM | cause::BUSY | cause::UNKNOWN) | None => {
                    return self.remove_task(task, RemovalReason::Rejected, ended)
                }
                // The attempt of its gang has ended, or the cause is unknown to this version:
                // neither is a failure of the machine or the job.
                Some(_) => return self.remove_task(task, RemovalReason::Lost, ended),
            },
        };
        if placement.phase != phase {
            tracing::debug!(%task, ?phase, assigned_s = now - assigned_at, "task phase changed");
            placement.phase = phase;
            placement.phase_since = now;
            self.report_due = true;
        }
    }
}
