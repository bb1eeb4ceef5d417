//! The messages between a shard and the leader. The names of fields and variants
//! are read by other versions.

use crate::cluster::failure_detection::ZoneContact;
use crate::wire::{JobId, MachineId, Resources, Task};
use finchwood_sharding::transfer::{TransferOrder, TransferReport};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Why a task was removed from a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RemovalReason {
    /// Stopped by command.
    Stopped,
    /// Failed on its machine.
    Error,
    /// Gone with its machine or session.
    Lost,
    /// Nothing here could take it, or the worker refused it.
    #[serde(rename = "Passed")]
    Rejected,
}

/// A task that is certainly nowhere in this shard any more.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RemovedTask {
    /// The task.
    pub task: Task,
    /// The attempt that was removed.
    pub attempt: u64,
    /// Why it was removed.
    #[serde(rename = "how")]
    pub reason: RemovalReason,
    /// The machine that it was on, if it had one.
    pub machine: Option<MachineId>,
    /// The assignment that it had; 0 if the version doesn't say.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub assignment: u64,
    /// The number of the report that tells of it first.
    pub(super) seq: u64,
}

/// What an assigned task is doing, as the leader sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskPhase {
    /// It has no machine yet.
    Queued,
    /// It has a machine, whose worker has not shown it yet.
    Starting,
    /// Its image is being fetched, or its gang is not complete yet.
    Fetching,
    /// It runs.
    Running,
    /// It saves a checkpoint before it stops.
    Saving,
    /// It has completed.
    Done,
}

/// One assigned task in a shard's report.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AssignedTaskStatus {
    /// The task.
    pub task: Task,
    /// The attempt that is assigned.
    pub attempt: u64,
    /// What it is doing.
    pub phase: TaskPhase,
    /// Its machine, if it has one.
    pub machine: Option<MachineId>,
    /// Its assignment; 0 if the version doesn't say.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub assignment: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// One machine in a shard's report: everything but how long ago things were,
/// so that a machine on which nothing happens need not be reported again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineStatus {
    /// The machine.
    pub id: MachineId,
    /// Its type, as the catalog names it.
    #[serde(rename = "kind")]
    pub machine_type: Arc<str>,
    /// Its zone.
    pub zone: Arc<str>,
    /// Whether the cloud may take it back at any time.
    pub spot: bool,
    /// Its tasks are known under this owner's fencing token.
    #[serde(rename = "certain")]
    pub reconciled: bool,
    /// Its worker has reported to this owner.
    #[serde(rename = "heard")]
    pub has_reported: bool,
    /// On the machine registry.
    #[serde(rename = "listed")]
    pub registered: bool,
    /// Where its worker takes direct commands, if that is known.
    #[serde(rename = "addr")]
    pub address: Option<Arc<str>>,
    /// What is free for further tasks.
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
    /// The cloud has given notice that it takes the machine back.
    #[serde(rename = "noticed")]
    pub reclaim_notice: bool,
    /// Tasks of two jobs failed there. Read by earlier versions only: the leader of this
    /// one judges by the failures of all machines.
    pub faulty: bool,
    /// It is reachable in one direction only: its heartbeats arrive but it acts on no
    /// answer, or it obeys direct commands but sends no heartbeats. Its worker's lease
    /// expires all the same.
    #[serde(rename = "heedless")]
    pub ignores_commands: bool,
    /// It takes no more tasks, as the leader wants it empty.
    pub draining: bool,
    /// The number of tasks on it.
    pub tasks: u32,
    /// Images that are likely cached there, by name.
    pub images: Vec<Arc<str>>,
}

/// A machine that has sent no heartbeat for a while.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SilentMachine {
    /// The machine.
    pub id: MachineId,
    /// How long ago it was last heard, in seconds.
    pub silent_s: f64,
    /// For how long it has not answered direct commands while others of its zone were
    /// reached, in seconds.
    #[serde(rename = "deaf_s")]
    pub unanswered_s: Option<f64>,
}

/// A shard's report to the leader: all that has changed since report `since`, which
/// the leader is known to have applied (0: everything). Everything in it is
/// absolute, so that applying a change twice does no harm; the leader drops a report
/// whose `since` it has not applied, and the shard sends the changes again.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ShardReport {
    /// The epoch in which it was made.
    pub epoch: u64,
    /// The controller that owns the shard.
    pub node: String,
    /// That controller's incarnation.
    #[serde(rename = "inc")]
    pub incarnation: u64,
    /// The shard has kept all its state from the epoch before.
    #[serde(default)]
    #[serde(rename = "kept")]
    pub state_retained: bool,
    /// The report that this one builds on; 0: it holds everything.
    pub since: u64,
    /// The number of this report.
    pub seq: u64,
    /// The machines that are new or have changed.
    pub machines: Vec<MachineStatus>,
    /// Machines that are no longer this shard's.
    #[serde(rename = "unlisted")]
    pub unregistered: Vec<(MachineId, u64)>,
    /// The assigned tasks that are new or have changed.
    #[serde(rename = "held")]
    pub assigned: Vec<AssignedTaskStatus>,
    /// Tasks that were removed and that the leader has not acknowledged yet.
    #[serde(rename = "gone")]
    pub removed: Vec<RemovedTask>,
    /// Tasks that this shard let go of and that need no proof of removal (committed as
    /// finished, or on a machine that is another shard's): task, attempt, first report.
    #[serde(rename = "dropped")]
    pub released: Vec<(Task, u64, u64)>,
    /// All machines that are silent now, whether that is new or not.
    #[serde(rename = "quiet")]
    pub silent_machines: Vec<SilentMachine>,
    /// How the shard's owner reaches each zone directly.
    #[serde(rename = "zones_met")]
    pub zone_contacts: Vec<(Arc<str>, ZoneContact)>,
    /// Machines of other shards whose workers reported here, and how many seconds ago.
    #[serde(rename = "met")]
    pub foreign_workers: Vec<(MachineId, f64)>,
    /// The hash ranges that are being transferred.
    #[serde(default, skip_serializing_if = "TransferReport::is_empty")]
    #[serde(rename = "handovers")]
    pub transfers: TransferReport,
}

/// Tasks of one job that are assigned to a shard.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobAssignment {
    /// The job.
    pub job: JobId,
    /// Number and attempt.
    pub tasks: Vec<(u32, u64)>,
    /// For jobs whose tasks depend on each other: how many more each zone may take.
    #[serde(rename = "zone_room")]
    pub zone_capacity: Option<Vec<(Arc<str>, u32)>>,
    /// Machines on which its tasks are not to be started.
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

/// What the leader orders a shard to do.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Orders {
    /// The epoch in which they were given.
    pub epoch: u64,
    /// The controller that owns the shard.
    pub node: String,
    /// The number of these orders.
    pub seq: u64,
    /// The newest report of the shard that the leader has applied.
    #[serde(rename = "ack")]
    pub acknowledged_seq: u64,
    /// The assigned tasks that the shard has not reported yet.
    #[serde(rename = "deals")]
    pub assignments: Vec<JobAssignment>,
    /// Tasks to stop, with their attempts.
    pub recall: Vec<(Task, u64)>,
    /// Machines that take no more tasks.
    pub drain: Vec<MachineId>,
    /// Running tasks of each job, for display; in some orders only.
    pub running: Option<Vec<(JobId, u32)>>,
    /// Teams that use more than they are guaranteed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub borrowing: Vec<Arc<str>>,
    /// All transfers of hash ranges in which this shard takes part.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "handovers")]
    pub transfers: Vec<TransferOrder>,
}
