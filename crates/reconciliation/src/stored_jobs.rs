//! What the key-value store says of a task.

use finchwood_types::wire::Task;

/// What is stored of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoredTask {
    /// No record of its job is known.
    UnknownJob,
    /// Its job has fewer tasks.
    NoSuchTask,
    /// Its job lives, and the task is not committed as finished.
    Unfinished,
    /// Committed as finished; its job lives.
    Finished,
    /// Its job is done.
    JobDone,
    /// Its job is cancelled.
    JobCancelled,
}

impl StoredTask {
    /// Whether the task needs no more runs.
    pub fn needs_no_run(self) -> bool {
        matches!(
            self,
            StoredTask::Finished | StoredTask::JobDone | StoredTask::JobCancelled
        )
    }
}

/// Whoever can tell what is stored.
pub trait StoredJobs {
    /// What is stored of a task.
    fn stored_task(&self, task: &Task) -> StoredTask;
}
