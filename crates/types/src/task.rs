//! Tasks: their ids and states, and the causes of their ends.

use crate::job::{valid_job_id, JobId};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The id of a task: its job and its index in the job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Task {
    /// The job's id.
    pub job: JobId,
    /// The task's index in the job, from zero.
    pub index: u32,
}

impl Task {
    /// Parses `job/index`; returns `None` if the text does not have this form.
    pub fn parse(text: &str) -> Option<Task> {
        let (job, index) = text.rsplit_once('/')?;
        valid_job_id(job).then_some(())?;
        Some(Task {
            job: job.into(),
            index: index.parse().ok()?,
        })
    }
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// The state of a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Fetching its image.
    Fetching,
    /// Waiting, with its image, for the other tasks of its gang.
    Gathering,
    /// Running.
    Running,
    /// Saving a checkpoint before it stops.
    Saving,
    /// Ended, with one of the causes in [`cause`].
    Ended,
    /// A state that this version does not know; the task counts as being on its machine.
    #[serde(other)]
    Other,
}

/// Why a worker ended or refused a task. Workers may send causes that are not listed here.
pub mod cause {
    /// Completed.
    pub const DONE: &str = "done";
    /// Stopped by command.
    pub const STOPPED: &str = "stopped";
    /// Failed.
    pub const ERROR: &str = "error";
    /// Refused: not enough free resources.
    pub const NO_ROOM: &str = "no_room";
    /// Refused: the machine has the task with another attempt.
    pub const BUSY: &str = "busy";
    /// Refused: no such job or task.
    pub const UNKNOWN: &str = "unknown";
    /// Stopped because another task of the gang ended.
    pub const PEERS: &str = "peers";
    /// Stopped because the gang was not complete in time.
    pub const ALONE: &str = "alone";
}

/// A task in a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task's id, as [`Task`] displays it.
    #[serde(rename = "chick")]
    pub task: String,
    /// The attempt that started it.
    #[serde(rename = "hatch")]
    pub attempt: u64,
    /// Its state.
    #[serde(rename = "mood")]
    pub state: TaskState,
    /// Why it ended: one of the causes in [`cause`], or one that this version does not know.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<String>,
    /// Whether its checkpoint was saved; only sent once the task has ended.
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}
