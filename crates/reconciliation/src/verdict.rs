//! Decides what to do with a task that a worker reports, and why.

use crate::stored_jobs::StoredTask;
use finchwood_types::token::attempt_epoch;
use finchwood_types::wire::{cause, TaskState};
use serde::{Deserialize, Serialize};

/// The parts of a task in a worker's report that a verdict depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedTask {
    /// The attempt that it runs or ran under.
    pub attempt: u64,
    /// How it ended; `None` while it is still on the machine.
    pub ended: Option<TaskEnd>,
}

/// How a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskEnd {
    /// It completed, and the worker keeps its result.
    Completed,
    /// It was stopped, failed or refused, or ended in a way that this version does not know.
    Other,
}

impl ReportedTask {
    /// Interprets the state and the cause that a worker reports.
    pub fn new(attempt: u64, state: TaskState, why: Option<&str>) -> ReportedTask {
        let ended = match (state, why) {
            (TaskState::Ended, Some(cause::DONE)) => Some(TaskEnd::Completed),
            (TaskState::Ended, _) => Some(TaskEnd::Other),
            _ => None,
        };
        ReportedTask { attempt, ended }
    }
}

/// The assignment of the same task according to the machine's owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KnownAssignment {
    /// The owner has not assigned it.
    Unassigned,
    /// It is assigned to this machine, under the reported attempt.
    Same,
    /// It is assigned to this owner, which has not placed it on a machine yet.
    Unplaced,
    /// It is on another machine, or on this one, under an attempt that was assigned earlier than
    /// the reported one.
    EarlierAttempt,
    /// It is placed on another machine, or under another attempt on this one.
    Elsewhere,
}

/// The decision on a reported task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "verdict", content = "reason")]
pub enum Verdict {
    /// The task is already assigned to this machine: nothing changes.
    Known,
    /// From now on, the task is assigned to this machine as running. The worker gets no command.
    Adopt(AdoptReason),
    /// From now on, the task is assigned to this machine as finished, and the owner reports it
    /// until its end is committed.
    RecordFinished,
    /// The worker is commanded to stop the task, which stays assigned to this machine until it
    /// has stopped.
    Stop(StopReason),
    /// The worker may forget the task.
    #[serde(rename = "reap")]
    Forget(ForgetReason),
    /// The task is left alone, since there is no record by which to decide.
    #[serde(rename = "leave-in-doubt")]
    LeaveUnreconciled(UnreconciledReason),
    /// The report contradicts the owner's assignment of the task.
    Conflict(ConflictReason),
}

/// Why a task is adopted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdoptReason {
    /// It runs, its job needs it, and it is not assigned.
    Runs,
    /// It was assigned but not placed, and is on this machine already.
    #[serde(rename = "found-while-planned")]
    FoundWhileUnplaced,
    /// The same as `Runs`, but its attempt is of an epoch that has not begun.
    AttemptOfLaterEpoch,
}

/// Why a task is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopReason {
    /// Its job is cancelled.
    JobCancelled,
    /// Its job is done.
    JobDone,
    /// It is committed as finished.
    TaskFinished,
    /// Its owner has not assigned this attempt of it to this machine.
    #[serde(rename = "held-elsewhere")]
    AssignedElsewhere,
}

/// Why a worker may forget a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ForgetReason {
    /// Its end is committed, or its result is not needed.
    EndCommitted,
    /// It ended without a result.
    NothingToKeep,
}

/// Why a task is left alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnreconciledReason {
    /// There is no record of its job.
    UnknownJob,
    /// Its job has fewer tasks.
    NoSuchTask,
}

/// How a reported task contradicts the owner's assignment of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConflictReason {
    /// It runs here although another attempt or machine is assigned.
    RunsTwice,
    /// It has completed here although another attempt or machine is assigned: the result is
    /// kept.
    CompletedElsewhere,
}

/// Decides on a reported task by its assignment and its stored state. `epoch` is the epoch of
/// the machine's owner.
pub fn decide(
    reported: ReportedTask,
    known: KnownAssignment,
    stored: StoredTask,
    epoch: u64,
) -> Verdict {
    match (known, reported.ended) {
        (KnownAssignment::Same, _) => Verdict::Known,
        (KnownAssignment::Unplaced, None | Some(TaskEnd::Completed)) => {
            Verdict::Adopt(AdoptReason::FoundWhileUnplaced)
        }
        // A leader assigns an attempt only once all earlier ones are proven to have ended, so
        // that the later one stays.
        (KnownAssignment::EarlierAttempt, None) => decide_running(reported.attempt, stored, epoch),
        (KnownAssignment::Elsewhere, None) => Verdict::Conflict(ConflictReason::RunsTwice),
        (
            KnownAssignment::EarlierAttempt | KnownAssignment::Elsewhere,
            Some(TaskEnd::Completed),
        ) if !stored.needs_no_run() => Verdict::Conflict(ConflictReason::CompletedElsewhere),
        (KnownAssignment::Unassigned, None) => decide_running(reported.attempt, stored, epoch),
        (KnownAssignment::Unassigned, Some(TaskEnd::Completed)) if !stored.needs_no_run() => {
            decide_completed(stored)
        }
        (_, Some(end)) => Verdict::Forget(forget_reason(end)),
    }
}

/// Decides on a task that runs and is not assigned.
fn decide_running(attempt: u64, stored: StoredTask, epoch: u64) -> Verdict {
    match stored {
        StoredTask::JobCancelled => Verdict::Stop(StopReason::JobCancelled),
        StoredTask::JobDone => Verdict::Stop(StopReason::JobDone),
        StoredTask::Finished => Verdict::Stop(StopReason::TaskFinished),
        StoredTask::UnknownJob => Verdict::LeaveUnreconciled(UnreconciledReason::UnknownJob),
        StoredTask::NoSuchTask => Verdict::LeaveUnreconciled(UnreconciledReason::NoSuchTask),
        StoredTask::Unfinished if attempt_epoch(attempt) > epoch => {
            Verdict::Adopt(AdoptReason::AttemptOfLaterEpoch)
        }
        StoredTask::Unfinished => Verdict::Adopt(AdoptReason::Runs),
    }
}

/// Decides on a task that has completed, is not assigned, and whose end is not committed.
fn decide_completed(stored: StoredTask) -> Verdict {
    match stored {
        StoredTask::UnknownJob => Verdict::LeaveUnreconciled(UnreconciledReason::UnknownJob),
        StoredTask::NoSuchTask => Verdict::LeaveUnreconciled(UnreconciledReason::NoSuchTask),
        _ => Verdict::RecordFinished,
    }
}

fn forget_reason(end: TaskEnd) -> ForgetReason {
    match end {
        TaskEnd::Completed => ForgetReason::EndCommitted,
        TaskEnd::Other => ForgetReason::NothingToKeep,
    }
}

/// Returns why the worker may forget a task now, or `None` if it has to keep it. The worker
/// keeps the result of a completed task until it is committed, wherever the task is assigned,
/// and a task that ended otherwise as long as it is assigned to this machine.
pub fn may_forget(
    reported: ReportedTask,
    known: KnownAssignment,
    stored: StoredTask,
) -> Option<ForgetReason> {
    match reported.ended? {
        TaskEnd::Completed if stored.needs_no_run() => Some(ForgetReason::EndCommitted),
        TaskEnd::Other if known != KnownAssignment::Same => Some(ForgetReason::NothingToKeep),
        TaskEnd::Completed | TaskEnd::Other => None,
    }
}

/// Returns why a task has to be stopped, or `None` if it may stay: a task is stopped if it is
/// on a machine without being assigned to it under the same attempt.
pub fn must_stop(reported: ReportedTask, known: KnownAssignment) -> Option<StopReason> {
    let on_machine = reported.ended.is_none();
    (on_machine && known != KnownAssignment::Same).then_some(StopReason::AssignedElsewhere)
}

/// Whether the epoch in which an attempt was chosen has begun, that is, is not later than
/// `epoch`. Only such an attempt is recorded as the highest of its task; assignments with
/// lower attempts are late copies and ignored. Guard: an attempt of an epoch that has not
/// begun would block every later start.
pub fn attempt_epoch_has_begun(attempt: u64, epoch: u64) -> bool {
    attempt_epoch(attempt) <= epoch
}
