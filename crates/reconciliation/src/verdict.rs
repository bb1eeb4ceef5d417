//! What becomes of a task that a worker reports, and why.

use crate::stored_jobs::StoredTask;
use finchwood_types::token::attempt_epoch;
use finchwood_types::wire::{cause, TaskState};
use serde::{Deserialize, Serialize};

/// A line of a worker's report, as far as it matters here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedTask {
    /// The attempt that it runs or ran under.
    pub attempt: u64,
    /// Whether and how it has ended; none while it is on its machine.
    pub ended: Option<TaskEnd>,
}

/// How a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskEnd {
    /// Completed: the worker keeps the result.
    Completed,
    /// Stopped, failed, refused, or something that this version doesn't know.
    Other,
}

impl ReportedTask {
    /// Reads a line's state and cause.
    pub fn new(attempt: u64, state: TaskState, why: Option<&str>) -> ReportedTask {
        let ended = match (state, why) {
            (TaskState::Ended, Some(cause::DONE)) => Some(TaskEnd::Completed),
            (TaskState::Ended, _) => Some(TaskEnd::Other),
            _ => None,
        };
        ReportedTask { attempt, ended }
    }
}

/// What the machine's owner holds of the same task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KnownAssignment {
    /// Nothing.
    Unassigned,
    /// This attempt, on this machine.
    Same,
    /// It was assigned and has no machine yet.
    Unplaced,
    /// It is on another machine, or under another attempt on this one.
    Elsewhere,
}

/// What becomes of a reported task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "verdict", content = "reason")]
pub enum Verdict {
    /// It is where its owner knows it to be.
    Known,
    /// It is held as running from now on; no order is given.
    Adopt(AdoptReason),
    /// Its end is held and reported until it is committed.
    RecordFinished,
    /// It is held until it has stopped, and told to stop.
    Stop(StopReason),
    /// Its worker may forget it.
    #[serde(rename = "reap")]
    Forget(ForgetReason),
    /// It is left alone: nothing says what should become of it.
    #[serde(rename = "leave-in-doubt")]
    LeaveUnreconciled(UnreconciledReason),
    /// It contradicts what its owner holds.
    Conflict(ConflictReason),
}

/// Why a task is adopted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdoptReason {
    /// It runs, its job wants it, and nobody else holds it.
    Runs,
    /// It was planned for some machine, and is found to be here already.
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
    /// Its owner holds another start of it.
    #[serde(rename = "held-elsewhere")]
    AssignedElsewhere,
}

/// Why a worker may forget a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ForgetReason {
    /// Its end is committed, or nobody needs it.
    EndCommitted,
    /// It ended without a result.
    NothingToKeep,
}

/// Why a task is left alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnreconciledReason {
    /// No record of its job is known.
    UnknownJob,
    /// Its job has fewer tasks.
    NoSuchTask,
}

/// How a task contradicts what its owner holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConflictReason {
    /// It runs here, and another start of it is held.
    RunsTwice,
    /// It has completed here while another start of it is held: the result is kept.
    CompletedElsewhere,
}

/// Judges a reported task by what its owner holds and what is stored of it;
/// `epoch` is the owner's.
pub fn decide(
    reported: ReportedTask,
    holding: KnownAssignment,
    stored: StoredTask,
    epoch: u64,
) -> Verdict {
    match (holding, reported.ended) {
        (KnownAssignment::Same, _) => Verdict::Known,
        (KnownAssignment::Unplaced, None | Some(TaskEnd::Completed)) => {
            Verdict::Adopt(AdoptReason::FoundWhileUnplaced)
        }
        (KnownAssignment::Elsewhere, None) => Verdict::Conflict(ConflictReason::RunsTwice),
        (KnownAssignment::Elsewhere, Some(TaskEnd::Completed)) if !stored.needs_no_run() => {
            Verdict::Conflict(ConflictReason::CompletedElsewhere)
        }
        (KnownAssignment::Unassigned, None) => decide_running(reported.attempt, stored, epoch),
        (KnownAssignment::Unassigned, Some(TaskEnd::Completed)) if !stored.needs_no_run() => {
            decide_completed(stored)
        }
        (_, Some(ending)) => Verdict::Forget(forget_reason(ending)),
    }
}

/// A task that runs and that nobody holds.
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

/// A task that has completed, that nobody holds and whose end is not committed.
fn decide_completed(stored: StoredTask) -> Verdict {
    match stored {
        StoredTask::UnknownJob => Verdict::LeaveUnreconciled(UnreconciledReason::UnknownJob),
        StoredTask::NoSuchTask => Verdict::LeaveUnreconciled(UnreconciledReason::NoSuchTask),
        _ => Verdict::RecordFinished,
    }
}

fn forget_reason(ending: TaskEnd) -> ForgetReason {
    match ending {
        TaskEnd::Completed => ForgetReason::EndCommitted,
        TaskEnd::Other => ForgetReason::NothingToKeep,
    }
}

/// Whether a worker may forget a task now. A result is kept until it is committed,
/// whoever holds what; the rest until its owner has let go of it.
pub fn may_forget(
    reported: ReportedTask,
    holding: KnownAssignment,
    stored: StoredTask,
) -> Option<ForgetReason> {
    match reported.ended? {
        TaskEnd::Completed if stored.needs_no_run() => Some(ForgetReason::EndCommitted),
        TaskEnd::Other if holding != KnownAssignment::Same => Some(ForgetReason::NothingToKeep),
        TaskEnd::Completed | TaskEnd::Other => None,
    }
}

/// Whether a task has to be stopped because its owner does not hold it here.
pub fn must_stop(reported: ReportedTask, holding: KnownAssignment) -> Option<StopReason> {
    let here = reported.ended.is_none();
    (here && holding != KnownAssignment::Same).then_some(StopReason::AssignedElsewhere)
}

/// Whether an attempt counts as the highest seen of its task, so that a late copy of an
/// assignment with a lower one does nothing. Guard: one of an epoch that has not begun
/// would block every later start.
pub fn attempt_epoch_has_begun(attempt: u64, epoch: u64) -> bool {
    attempt_epoch(attempt) <= epoch
}
