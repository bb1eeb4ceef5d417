//! What a source knows of a machine, as it goes over to the target. Times go over as ages:
//! no two controllers have the same clock.

use finchwood_reconciliation::machine_state::MachineState;
use finchwood_types::wire::{MachineId, Task, TaskState};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A machine as its worker last showed it, and what may be under way to it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTransferState {
    /// Its name.
    pub id: MachineId,
    /// Its type.
    #[serde(rename = "kind")]
    pub machine_type: Arc<str>,
    /// Its zone.
    pub zone: Arc<str>,
    /// Whether the cloud may take it back at any time.
    pub spot: bool,
    /// Where its worker takes commands.
    #[serde(rename = "addr")]
    pub address: Option<Arc<str>>,
    /// On the machine registry.
    #[serde(rename = "listed")]
    pub registered: bool,
    /// Marked there as used.
    #[serde(rename = "up")]
    pub used: bool,
    /// What is known of its content.
    pub state: MachineState,
    /// Its worker's session, and the number of its newest report.
    pub session: u64,
    /// The number of the newest report taken in.
    pub seq: u64,
    /// The counter of the highest token that any command to it carries.
    #[serde(rename = "counter")]
    pub token_counter: u64,
    /// Sessions up to this one are over.
    #[serde(rename = "over")]
    pub ended_session: u64,
    /// How long ago it was last heard; none if never in this epoch.
    #[serde(rename = "heard_ago_s")]
    pub last_heartbeat_ago_s: Option<f64>,
    /// How long ago its present session was first seen.
    pub session_seen_ago_s: f64,
    /// In how many seconds it will be taken away, if that is known.
    #[serde(rename = "notice_in_s")]
    pub reclaimed_in_s: Option<f64>,
    /// The tasks that it last showed.
    #[serde(rename = "lines")]
    pub reported_tasks: Vec<ReportedTaskState>,
    /// The tasks that its owner holds there.
    #[serde(rename = "held")]
    pub assigned_tasks: Vec<AssignedTaskState>,
    /// Images that are likely there, and their sizes.
    pub images: Vec<(Arc<str>, f64)>,
}

/// A task that a machine showed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReportedTaskState {
    /// The task.
    pub task: Task,
    /// Its attempt.
    pub attempt: u64,
    /// What it did.
    pub state: TaskState,
    /// Why it ended.
    #[serde(rename = "why")]
    pub cause: Option<String>,
}

/// A task that the owner holds on a machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AssignedTaskState {
    /// The task.
    pub task: Task,
    /// Its attempt.
    pub attempt: u64,
    /// Its assignment.
    pub assignment: u64,
    /// The session in which it was started.
    pub session: u64,
    /// The token of its last start; the highest number while none can be under way.
    pub start_token: u64,
    /// A start of it has been sent.
    #[serde(rename = "sent")]
    pub start_sent: bool,
    /// It was seen there.
    pub confirmed: bool,
    /// It has completed.
    #[serde(rename = "done")]
    pub completed: bool,
    /// It is to be stopped.
    pub stopping: bool,
    /// How long it has been doing what it does.
    #[serde(rename = "for_s")]
    pub in_phase_s: f64,
}
