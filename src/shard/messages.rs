//! The messages between a shard and the leader. Controllers of other versions read them, so
//! that the serialized names of fields and variants must not change.

use crate::cluster::failure_detection::ZoneContactAges;
use crate::wire::{JobId, MachineId, Resources, Task};
use finchwood_sharding::transfer::{TransferOrder, TransferReport};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Why a task was removed from a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RemovalReason {
    /// It was stopped by command, or was lost or never started while it was to be stopped.
    Stopped,
    /// It failed on its machine.
    Error,
    /// It ended with its machine, with its worker's session or with its gang's attempt, or
    /// its machine no longer reports it.
    Lost,
    /// It was not run: the shard could not place it, its machine was fenced before the task
    /// could be started, or the worker refused it.
    #[serde(rename = "Passed")]
    Rejected,
}

/// A task that is confirmed to run on no machine of the shard any more.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RemovedTask {
    /// The task.
    pub task: Task,
    /// The attempt that was removed.
    pub attempt: u64,
    /// Why the task was removed.
    #[serde(rename = "how")]
    pub reason: RemovalReason,
    /// The machine that it was placed on, if any.
    pub machine: Option<MachineId>,
    /// The number of its assignment; 0 from versions that don't report it.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub assignment: u64,
    /// The number of the first report that lists it.
    pub(super) seq: u64,
}

/// The phase of an assigned task, as the shard reports it to the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskPhase {
    /// It has no machine yet.
    Queued,
    /// It has a machine, whose worker has not reported it yet.
    Starting,
    /// Its image is being fetched, or it waits for the other tasks of its gang.
    Fetching,
    /// It is running.
    Running,
    /// It is saving a checkpoint before it stops.
    Saving,
    /// It has completed, but is not committed as finished yet.
    Done,
}

/// One assigned task in a shard's report.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AssignedTaskStatus {
    /// The task.
    pub task: Task,
    /// The attempt that is assigned.
    pub attempt: u64,
    /// Its phase.
    pub phase: TaskPhase,
    /// Its machine, if it has one.
    pub machine: Option<MachineId>,
    /// The number of its assignment; 0 from versions that don't report it.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub assignment: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// One machine in a shard's report. It contains no ages, so that a machine on which nothing
/// happens need not be reported again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineStatus {
    /// The machine.
    pub id: MachineId,
    /// The name of its type in the catalog.
    #[serde(rename = "kind")]
    pub machine_type: Arc<str>,
    /// Its zone.
    pub zone: Arc<str>,
    /// Whether the cloud may reclaim it at short notice.
    pub spot: bool,
    /// Whether it is reconciled: the tasks on it are confirmed. Versions that took a machine
    /// without the mark of use for empty report it as reconciled.
    #[serde(rename = "certain")]
    pub reconciled: bool,
    /// Whether its worker has proved to this owner that it is alive.
    #[serde(rename = "heard")]
    pub has_reported: bool,
    /// Whether it is in the machine registry.
    #[serde(rename = "listed")]
    pub registered: bool,
    /// The address at which its worker takes direct commands, if it is known.
    #[serde(rename = "addr")]
    pub address: Option<Arc<str>>,
    /// The capacity that is free for further tasks.
    pub free: Resources,
    /// The capacity that production tasks can gain by preempting others.
    #[serde(rename = "yielding")]
    pub preemptible: Resources,
    /// The capacity that tasks of standard or urgent priority can gain by preempting those of
    /// low-priority array jobs whose team uses more than its guarantee. Zero from versions
    /// that don't report it.
    #[serde(default, skip_serializing_if = "Resources::is_empty")]
    #[serde(rename = "yielding_low")]
    pub preemptible_low: Resources,
    /// Whether it takes new tasks.
    #[serde(rename = "open")]
    pub schedulable: bool,
    /// Whether the cloud has given notice that it will reclaim the machine.
    #[serde(rename = "noticed")]
    pub reclaim_notice: bool,
    /// Whether tasks of two jobs failed there. Only leaders of earlier versions read it; this
    /// version's leader compares the failures of all machines.
    pub faulty: bool,
    /// Whether it is reachable in one direction only, or its fencing token can't be raised
    /// any more. Its heartbeats arrive but replies don't reach its worker, or the worker
    /// responds to direct commands but sends no heartbeats. Either way its lease expires.
    #[serde(rename = "heedless")]
    pub ignores_commands: bool,
    /// Whether it takes no more tasks, as the leader has ordered to drain it.
    pub draining: bool,
    /// The number of tasks that are assigned to it or that it reports, whichever is higher.
    pub tasks: u32,
    /// The names of the images that are probably cached there.
    pub images: Vec<Arc<str>>,
}

/// A machine that has sent no heartbeat for a while.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SilentMachine {
    /// The machine.
    pub id: MachineId,
    /// The seconds since its last heartbeat.
    pub silent_s: f64,
    /// The seconds for which it has not responded to direct commands although other machines
    /// of its zone were reached; `None` if it has not been found unresponsive.
    #[serde(rename = "deaf_s")]
    pub unanswered_s: Option<f64>,
}

/// A shard's report to the leader: all that has changed since report `since`, which the
/// leader has acknowledged. The values in it are absolute, so that applying a change twice
/// does no harm. The leader drops a report whose `since` it has not applied, and the shard
/// sends the changes again.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ShardReport {
    /// The epoch in which it was made.
    pub epoch: u64,
    /// The name of the controller that owns the shard.
    pub node: String,
    /// That controller's incarnation.
    #[serde(rename = "inc")]
    pub incarnation: u64,
    /// Whether the shard has kept all its state from the epoch before.
    #[serde(default)]
    #[serde(rename = "kept")]
    pub state_retained: bool,
    /// The number of the report that this one builds on; 0 for a full report.
    pub since: u64,
    /// The number of this report.
    pub seq: u64,
    /// The machines that are new or have changed.
    pub machines: Vec<MachineStatus>,
    /// Machines that no longer belong to this shard, with the number of the first report that
    /// lists each.
    #[serde(rename = "unlisted")]
    pub removed_machines: Vec<(MachineId, u64)>,
    /// The assigned tasks that are new or have changed.
    #[serde(rename = "held")]
    pub assigned: Vec<AssignedTaskStatus>,
    /// Removed tasks whose removal the leader has not acknowledged yet.
    #[serde(rename = "gone")]
    pub removed: Vec<RemovedTask>,
    /// Tasks that this shard released without proof that they no longer run: they are
    /// committed as finished, or on a machine that belongs to another shard now. Each has its
    /// attempt and the number of the first report that lists it.
    #[serde(rename = "dropped")]
    pub released: Vec<(Task, u64, u64)>,
    /// All machines that are silent now, not only those that have become silent.
    #[serde(rename = "quiet")]
    pub silent_machines: Vec<SilentMachine>,
    /// The owner's direct contact with each zone.
    #[serde(rename = "zones_met")]
    pub zone_contacts: Vec<(Arc<str>, ZoneContactAges)>,
    /// Machines of other shards whose workers sent heartbeats to this controller, and how many
    /// seconds ago.
    #[serde(rename = "met")]
    pub foreign_workers: Vec<(MachineId, f64)>,
    /// The progress of the transfers in which this shard takes part.
    #[serde(default, skip_serializing_if = "TransferReport::is_empty")]
    #[serde(rename = "handovers")]
    pub transfers: TransferReport,
}

/// The tasks of one job that the leader assigns to a shard.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobAssignment {
    /// The job.
    pub job: JobId,
    /// The index and the attempt of each task.
    pub tasks: Vec<(u32, u64)>,
    /// For a job with `one_zone` or `scatter`, how many further tasks of it each zone may take;
    /// `None` for other jobs, which have no such limits.
    #[serde(rename = "zone_room")]
    pub zone_allowances: Option<Vec<(Arc<str>, u32)>>,
    /// Machines on which its tasks must not be started.
    pub avoid: Vec<MachineId>,
    /// The index and the assignment number of each task whose assignment is newer than its
    /// attempt: tasks of gangs, which share one attempt. Versions without gangs neither send
    /// nor read the field, and ignore a second assignment of a task under the same attempt.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub assignments: Vec<(u32, u64)>,
}

impl JobAssignment {
    /// Returns the assignment number of a task: its attempt, unless `assignments` lists it.
    pub(super) fn assignment(&self, index: u32, attempt: u64) -> u64 {
        self.assignments
            .iter()
            .find(|(listed, _)| *listed == index)
            .map_or(attempt, |(_, assignment)| *assignment)
    }
}

/// The leader's orders to a shard.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Orders {
    /// The epoch in which they were given.
    pub epoch: u64,
    /// The name of the controller that owns the shard.
    pub node: String,
    /// The number of these orders.
    pub seq: u64,
    /// The newest report of the shard that the leader has applied.
    #[serde(rename = "ack")]
    pub acknowledged_seq: u64,
    /// The assigned tasks that the shard has not reported yet.
    #[serde(rename = "deals")]
    pub assignments: Vec<JobAssignment>,
    /// Tasks that the shard is to stop and return to the leader, with their attempts.
    pub recall: Vec<(Task, u64)>,
    /// All machines that are to take no more tasks.
    pub drain: Vec<MachineId>,
    /// The number of running tasks of each job, for display; `None` in most orders.
    pub running: Option<Vec<(JobId, u32)>>,
    /// Teams that use more than their guarantee.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub borrowing: Vec<Arc<str>>,
    /// All transfers of hash ranges in which this shard takes part.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "handovers")]
    pub transfers: Vec<TransferOrder>,
}
