//! The state of a machine that the source of a transfer sends to the target. Times are sent as
//! ages, since no two controllers have the same clock.

use finchwood_reconciliation::machine_state::MachineState;
use finchwood_types::wire::{MachineId, Task, TaskState};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The state of a machine: what its worker last reported, and which commands to it may still
/// be in flight.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTransferState {
    /// The id of the machine.
    pub id: MachineId,
    /// The name of its type.
    #[serde(rename = "kind")]
    pub machine_type: Arc<str>,
    /// Its zone.
    pub zone: Arc<str>,
    /// Whether it is a spot machine, which the cloud may reclaim at any time.
    pub spot: bool,
    /// The address at which its worker accepts commands; `None` if it is not known yet.
    #[serde(rename = "addr")]
    pub address: Option<Arc<str>>,
    /// Whether it is in the machine registry.
    #[serde(rename = "listed")]
    pub registered: bool,
    /// Whether tasks may have been started there, according to the machine registry.
    #[serde(rename = "up")]
    pub used: bool,
    /// What is known of the tasks on it.
    pub state: MachineState,
    /// The session of its worker; 0 before its first heartbeat.
    pub session: u64,
    /// The number of its newest report within the session.
    pub seq: u64,
    /// The counter of the highest token that any command to it carries.
    #[serde(rename = "counter")]
    pub token_counter: u64,
    /// The highest session that has ended; all earlier ones have ended as well.
    #[serde(rename = "over")]
    pub ended_session: u64,
    /// The time since its last heartbeat, in seconds; `None` if there was none in this epoch.
    #[serde(rename = "heard_ago_s")]
    pub last_heartbeat_ago_s: Option<f64>,
    /// The time since its current session was first seen, in seconds.
    pub session_seen_ago_s: f64,
    /// The time until the cloud reclaims it, in seconds; `None` if no notice was given.
    #[serde(rename = "notice_in_s")]
    pub reclaimed_in_s: Option<f64>,
    /// The tasks of its newest report.
    #[serde(rename = "lines")]
    pub reported_tasks: Vec<ReportedTaskState>,
    /// The tasks that its owner has assigned to it.
    #[serde(rename = "held")]
    pub assigned_tasks: Vec<AssignedTaskState>,
    /// The images that are probably in its cache, with their sizes in gigabytes.
    pub images: Vec<(Arc<str>, f64)>,
}

/// A task that a machine reported.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReportedTaskState {
    /// The task.
    pub task: Task,
    /// The attempt that started it.
    pub attempt: u64,
    /// Its state.
    pub state: TaskState,
    /// Why it ended, as the worker reports it; `None` unless it has ended.
    #[serde(rename = "why")]
    pub cause: Option<String>,
}

/// A task that the owner has assigned to a machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AssignedTaskState {
    /// The task.
    pub task: Task,
    /// The attempt under which it is assigned.
    pub attempt: u64,
    /// The number of the assignment.
    pub assignment: u64,
    /// The worker's session in which it was started.
    pub session: u64,
    /// The token of the last command to start it; `u64::MAX` if no such command can be in
    /// flight.
    pub start_token: u64,
    /// Whether a command to start it was sent.
    #[serde(rename = "sent")]
    pub start_sent: bool,
    /// Whether the machine has reported it.
    pub confirmed: bool,
    /// Whether it has completed.
    #[serde(rename = "done")]
    pub completed: bool,
    /// Whether it is to be stopped.
    pub stopping: bool,
    /// The time since it entered its current phase, in seconds.
    #[serde(rename = "for_s")]
    pub in_phase_s: f64,
}
