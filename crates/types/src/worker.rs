//! The messages between workers and controllers: heartbeats and commands.

use crate::cloud::MachineId;
use crate::task::TaskReport;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A heartbeat: the periodic report of a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The id of the machine.
    #[serde(rename = "perch")]
    pub machine: MachineId,
    /// The address at which the worker accepts commands.
    pub address: String,
    /// The name of the machine's type.
    #[serde(rename = "breed")]
    pub machine_type: Arc<str>,
    /// The machine's zone.
    #[serde(rename = "grove")]
    pub zone: Arc<str>,
    /// Whether the machine is a spot machine, which the cloud may reclaim at any time.
    #[serde(rename = "windfall")]
    pub spot: bool,
    /// The worker's session; it increases each time the worker's lease expires.
    #[serde(rename = "flight")]
    pub session: u64,
    /// The sequence number of the message in its session, which counts heartbeats and
    /// responses to commands together.
    #[serde(rename = "chirp")]
    pub seq: u64,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "crest")]
    pub token: u64,
    /// The time until the cloud reclaims the machine, in seconds; `None` without such a
    /// notice.
    #[serde(rename = "warning_s", default)]
    pub reclaimed_in_s: Option<f64>,
    /// All tasks on the machine, including ended ones that the worker may not forget yet.
    #[serde(rename = "chicks", default)]
    pub tasks: Vec<TaskReport>,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "call", rename_all = "lowercase")]
pub enum Command {
    /// Makes the worker start a task.
    Start {
        /// The task's id, as [`Task`](crate::task::Task) displays it.
        #[serde(rename = "chick")]
        task: String,
        /// The attempt under which the task starts.
        #[serde(rename = "hatch")]
        attempt: u64,
    },
    /// Makes the worker stop a task.
    #[serde(rename = "halt")]
    Stop {
        /// The task's id, as [`Task`](crate::task::Task) displays it.
        #[serde(rename = "chick")]
        task: String,
        /// The attempt to stop.
        #[serde(rename = "hatch")]
        attempt: u64,
        /// The time that the task has to save a checkpoint, in seconds.
        #[serde(rename = "settle_s")]
        grace_s: f64,
    },
    /// Allows the worker to remove an ended task from its heartbeats.
    #[serde(rename = "reap")]
    Forget {
        /// The task's id, as [`Task`](crate::task::Task) displays it.
        #[serde(rename = "chick")]
        task: String,
        /// The attempt to remove.
        #[serde(rename = "hatch")]
        attempt: u64,
    },
}

impl Command {
    /// Returns the id of the task that the command is for.
    pub fn task_id(&self) -> &str {
        match self {
            Command::Start { task, .. }
            | Command::Stop { task, .. }
            | Command::Forget { task, .. } => task,
        }
    }
}

/// The response of a machine's owner to a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The fencing token of the commands.
    #[serde(rename = "crest")]
    pub token: u64,
    /// The commands, in order.
    #[serde(rename = "calls")]
    pub commands: Vec<Command>,
}

/// Commands that a controller sends to a worker at once, without waiting for its next
/// heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CommandBatch {
    /// The fencing token of the commands.
    #[serde(rename = "crest")]
    pub token: u64,
    /// The session of the worker that they are meant for.
    #[serde(rename = "flight")]
    pub session: u64,
    /// The commands, in order.
    #[serde(rename = "calls")]
    pub commands: Vec<Command>,
}

/// The response to a heartbeat from a controller that does not own the machine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Redirect {
    /// The address of the controller that owns the machine, if it is known.
    #[serde(rename = "sings_to", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}
