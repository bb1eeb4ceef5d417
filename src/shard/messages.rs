//! What a shard and the leader tell each other. The names of fields and variants
//! are read by other versions.

use crate::cluster::failure_detection::ZoneContact;
use crate::wire::{JobId, MachineId, Resources, Task};
use finchwood_sharding::transfer::{TransferOrder, TransferReport};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// How a task left this shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RemovalReason {
    /// Stopped by our command.
    Stopped,
    /// Failed on its machine.
    Error,
    /// Gone with its machine or session.
    Lost,
    /// Nothing here could take it, or the worker refused it.
    Passed,
}

/// A task that is certainly nowhere in this shard any more.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RemovedTask {
    pub task: Task,
    pub attempt: u64,
    #[serde(rename = "how")]
    pub reason: RemovalReason,
    pub machine: Option<MachineId>,
    /// The assignment that it had; 0 if the version doesn't say.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub assignment: u64,
    pub(super) seq: u64,
}

/// What an assigned task is doing, as the leader sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskPhase {
    Queued,
    Starting,
    Fetching,
    Running,
    Saving,
    Done,
}

/// One assigned task in a shard's report.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AssignedTaskStatus {
    pub task: Task,
    pub attempt: u64,
    pub phase: TaskPhase,
    pub machine: Option<MachineId>,
    /// Its assignment; 0 if the version doesn't say.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub assignment: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// One machine in a shard's report: everything but how long ago things were,
/// so that a machine on which nothing happens need not be told again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineStatus {
    pub id: MachineId,
    #[serde(rename = "kind")]
    pub machine_type: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
    /// What it holds is known under this owner's token.
    #[serde(rename = "certain")]
    pub reconciled: bool,
    /// Heard of at all.
    #[serde(rename = "heard")]
    pub has_reported: bool,
    /// On the machine registry.
    #[serde(rename = "listed")]
    pub registered: bool,
    #[serde(rename = "addr")]
    pub address: Option<Arc<str>>,
    pub free: Resources,
    /// What lower work than the highest priority's would give up for that.
    #[serde(rename = "yielding")]
    pub preemptible: Resources,
    /// What borrowing low arrays would give up for other work of a higher priority;
    /// nothing from versions that don't say.
    #[serde(default, skip_serializing_if = "Resources::is_empty")]
    #[serde(rename = "yielding_low")]
    pub preemptible_low: Resources,
    /// Takes new tasks.
    #[serde(rename = "open")]
    pub schedulable: bool,
    #[serde(rename = "noticed")]
    pub spot_notice: bool,
    /// Tasks of two jobs failed there. Read by earlier versions only: the leader of this
    /// one judges by the failures of all machines.
    pub faulty: bool,
    /// Only one way between it and its owner is open: its reports arrive, but it
    /// acts on nothing it is answered, or it obeys direct commands but doesn't
    /// report. Its worker's lease runs out all the same.
    #[serde(rename = "heedless")]
    pub ignores_commands: bool,
    pub draining: bool,
    pub tasks: u32,
    /// Images that are likely cached there, by name.
    pub images: Vec<Arc<str>>,
}

/// A machine that has not been heard for a while.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SilentMachine {
    pub id: MachineId,
    pub silent_s: f64,
    /// Since when it has not answered when asked, while others of its zone were
    /// reached.
    #[serde(rename = "deaf_s")]
    pub unanswered_s: Option<f64>,
}

/// What a shard tells the leader: all that changed since report `since`, which
/// the leader is known to have taken in (0: the whole). Everything in it is
/// absolute, so that hearing a change twice does no harm; a report whose
/// `since` the leader doesn't have is dropped by it and told again.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ShardReport {
    pub epoch: u64,
    pub node: String,
    #[serde(rename = "inc")]
    pub incarnation: u64,
    /// All that was known in the epoch before is known still.
    #[serde(default)]
    #[serde(rename = "kept")]
    pub state_retained: bool,
    pub since: u64,
    pub seq: u64,
    pub machines: Vec<MachineStatus>,
    /// Machines that are no longer this shard's.
    #[serde(rename = "unlisted")]
    pub unregistered: Vec<(MachineId, u64)>,
    #[serde(rename = "held")]
    pub assigned: Vec<AssignedTaskStatus>,
    #[serde(rename = "gone")]
    pub removed: Vec<RemovedTask>,
    /// Tasks that this shard let go of and that need no proof of removal (committed as
    /// finished, or on a machine that is another shard's): task, attempt, first report.
    #[serde(rename = "dropped")]
    pub released: Vec<(Task, u64, u64)>,
    /// All machines that are silent now, whether that is new or not.
    #[serde(rename = "quiet")]
    pub silent_machines: Vec<SilentMachine>,
    /// How zones are reached with nobody in between.
    #[serde(rename = "zones_met")]
    pub zone_contacts: Vec<(Arc<str>, ZoneContact)>,
    /// Machines of other shards that came here, and how long ago.
    #[serde(rename = "met")]
    pub seen_elsewhere: Vec<(MachineId, f64)>,
    /// Shares that come or go.
    #[serde(default, skip_serializing_if = "TransferReport::is_empty")]
    #[serde(rename = "handovers")]
    pub transfers: TransferReport,
}

/// Tasks of one job that are assigned to a shard.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobAssignment {
    pub job: JobId,
    /// Number and attempt.
    pub tasks: Vec<(u32, u64)>,
    /// For jobs whose tasks depend on each other: how many more each zone may take.
    pub zone_room: Option<Vec<(Arc<str>, u32)>>,
    pub avoid: Vec<MachineId>,
    /// Number and assignment of tasks whose attempt is older than their
    /// assignment: those of gangs, which share one attempt. Versions without
    /// gangs leave this out and take no such task twice.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub assignments: Vec<(u32, u64)>,
}

impl JobAssignment {
    /// The assignment of a task: its attempt, if nothing else is said.
    pub(super) fn assignment(&self, index: u32, attempt: u64) -> u64 {
        self.assignments
            .iter()
            .find(|(i, _)| *i == index)
            .map_or(attempt, |(_, assignment)| *assignment)
    }
}

/// All that the leader tells a shard.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Orders {
    pub epoch: u64,
    pub node: String,
    pub seq: u64,
    /// The newest report of the shard that the leader has taken in.
    #[serde(rename = "ack")]
    pub acknowledged_seq: u64,
    #[serde(rename = "deals")]
    pub assignments: Vec<JobAssignment>,
    /// Tasks to give back.
    pub recall: Vec<(Task, u64)>,
    /// Machines that take no more tasks.
    pub drain: Vec<MachineId>,
    /// Running tasks per job, for display; told now and then.
    pub running: Option<Vec<(JobId, u32)>>,
    /// Teams that use more than they are guaranteed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub borrowing: Vec<Arc<str>>,
    /// Shares that this shard gives or takes, all of them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "handovers")]
    pub transfers: Vec<TransferOrder>,
}
