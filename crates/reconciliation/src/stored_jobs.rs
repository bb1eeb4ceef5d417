//! The stored state of a task, as far as verdicts depend on it.

use finchwood_types::wire::Task;

/// The stored state of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoredTask {
    /// There is no record of its job.
    UnknownJob,
    /// Its job has fewer tasks.
    NoSuchTask,
    /// Its job is neither done nor cancelled, and the task is not committed as finished.
    Unfinished,
    /// It is committed as finished, and its job is neither done nor cancelled.
    Finished,
    /// Its job is done.
    JobDone,
    /// Its job is cancelled.
    JobCancelled,
}

impl StoredTask {
    /// Whether the task does not have to run any more.
    pub fn needs_no_run(self) -> bool {
        matches!(
            self,
            StoredTask::Finished | StoredTask::JobDone | StoredTask::JobCancelled
        )
    }
}

/// Access to the stored jobs.
pub trait StoredJobs {
    /// Returns the stored state of a task.
    fn stored_task(&self, task: &Task) -> StoredTask;
}
