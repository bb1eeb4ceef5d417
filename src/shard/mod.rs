//! A shard: the machines that hash to this controller, what runs
//! on them, and the commands they are due. Pure: time comes in, commands go
//! out as values.
//!
//! The one thing that must never happen is a task starting while it is
//! somewhere else. A task assigned here leaves this shard only on proof: it was
//! seen ended, its machine is off the machine registry, its worker began a new session,
//! or a report under a token above that of the last start doesn't list it.

mod assigned_tasks;
mod commands;
mod heartbeats;
mod leases;
mod machine;
mod messages;
mod orders;
mod placement;
mod preemption;
mod reconciliation;
mod registration;
mod removal;
mod report;
mod transfer;

pub use commands::{CommandCapacity, DirectCommand, HeartbeatReply};
pub use messages::{
    AssignedTaskStatus, JobAssignment, MachineStatus, Orders, RemovalReason, RemovedTask,
    ShardReport, SilentMachine, TaskPhase,
};

use crate::clock::Seconds;
use crate::cluster::failure_detection::ZoneContactSpan;
use crate::store::cache::StoreCache;
use crate::wire::{JobId, MachineId, Task};
use assigned_tasks::{AssignedTask, AssignedTasks, Placement, Stop};
use finchwood_reconciliation::restart_record::RestartRecord;
use machine::Machine;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use transfer::TransferParticipant;

/// A worker that has not reported for so many intervals is late, and is asked:
/// they vary by a quarter.
const LATE_REPORTS: f64 = 1.3;

/// How many more tasks of a job each zone may take, for a job whose tasks depend on
/// each other.
#[derive(Debug, Clone, Default)]
struct ZoneCapacity {
    remaining: BTreeMap<Arc<str>, u32>,
}

impl ZoneCapacity {
    /// Whether a zone may take one more.
    fn has_room(&self, zone: &str) -> bool {
        self.remaining.get(zone).is_some_and(|room| *room > 0)
    }

    /// Counts a task that a zone got; `only_zone` if all others have to follow it there.
    fn take_one(&mut self, zone: &str, only_zone: bool) {
        if only_zone {
            self.remaining.retain(|name, _| **name == *zone);
        }
        if let Some(room) = self.remaining.get_mut(zone) {
            *room = room.saturating_sub(1);
        }
    }
}

/// A task that this shard let go of without a proof of removal: it is committed as
/// finished, or its machine is another shard's.
#[derive(Debug, Clone)]
struct ReleasedTask {
    task: Task,
    attempt: u64,
    /// The first report that lists it.
    report_seq: u64,
}

/// Settings that a shard needs.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// How often a worker sends a heartbeat.
    pub report_s: Seconds,
    /// How long a worker's lease lasts after an answer.
    pub lease_s: Seconds,
    /// The longest that a member left out of an epoch may not know of it.
    pub member_lease_s: Seconds,
}

/// The machines that one controller owns, and the tasks that are assigned to it.
#[derive(Debug)]
pub struct Shard {
    node: String,
    timing: Timing,
    /// Classes with an aim for their start.
    start_objectives: HashMap<Arc<str>, f64>,
    epoch: u64,
    epoch_started_at: Seconds,
    incarnation: u64,
    state_retained: bool,
    machines: BTreeMap<MachineId, Machine>,
    assigned: AssignedTasks,
    removed_tasks: Vec<RemovedTask>,
    released_tasks: Vec<ReleasedTask>,
    unregistered_machines: Vec<(MachineId, u64)>,
    /// Machines as last reported to the leader, and in which report.
    last_reported: HashMap<MachineId, (MachineStatus, u64)>,
    /// The newest report that the leader has acknowledged.
    acknowledged_seq: u64,
    /// The highest assignment seen of each task: a late copy does nothing.
    highest_assignments: HashMap<Task, u64>,
    zone_capacities: HashMap<JobId, ZoneCapacity>,
    /// Teams that use more than they are guaranteed, by the leader's last orders.
    borrowing_teams: HashSet<Arc<str>>,
    /// How zones are reached with nobody in between.
    zone_contacts: BTreeMap<Arc<str>, ZoneContactSpan>,
    report_seq: u64,
    orders_seq: u64,
    /// Something changed that the leader should hear.
    pub report_due: bool,
    /// What was found and decided since this shard last knew nothing.
    restart_record: RestartRecord,
    /// Shares that come or go.
    transfers: TransferParticipant,
}

impl Shard {
    /// An empty shard, a member of no epoch.
    pub fn new(node: &str, timing: Timing, start_objectives: HashMap<Arc<str>, f64>) -> Shard {
        Shard {
            node: node.into(),
            timing,
            start_objectives,
            epoch: 0,
            epoch_started_at: 0.0,
            incarnation: 0,
            state_retained: false,
            machines: BTreeMap::new(),
            assigned: AssignedTasks::default(),
            removed_tasks: Vec::new(),
            released_tasks: Vec::new(),
            unregistered_machines: Vec::new(),
            last_reported: HashMap::new(),
            acknowledged_seq: 0,
            highest_assignments: HashMap::new(),
            zone_capacities: HashMap::new(),
            borrowing_teams: HashSet::new(),
            zone_contacts: BTreeMap::new(),
            report_seq: 0,
            orders_seq: 0,
            report_due: true,
            restart_record: RestartRecord::new(0),
            transfers: TransferParticipant::default(),
        }
    }

    /// Keeps the latest `most` decisions of a restart, for whoever asks.
    pub fn set_restart_record_limit(&mut self, most: usize) {
        self.restart_record = RestartRecord::new(most);
    }

    /// The epoch this shard acts in.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Enters an epoch. What was known is kept only if this incarnation was a
    /// member of the epoch just before: otherwise somebody else may have
    /// owned the machines in between.
    pub fn start_epoch(
        &mut self,
        epoch: u64,
        incarnation: u64,
        cache: &StoreCache,
        now: Seconds,
        owns: impl Fn(&str) -> bool,
    ) {
        let stays = incarnation == self.incarnation && epoch == self.epoch + 1;
        if !stays {
            let fresh = Shard::new(
                &self.node,
                self.timing,
                std::mem::take(&mut self.start_objectives),
            );
            let record = std::mem::replace(&mut self.restart_record, RestartRecord::new(0));
            *self = Shard {
                restart_record: record,
                ..fresh
            };
        }
        self.restart_record.enter(epoch, stays, now);
        // Whatever a transfer has reached: owners of the new epoch ask their machines.
        let members = cache.epoch.as_ref().map(|epoch| epoch.members.clone());
        self.transfers = TransferParticipant::new(members.unwrap_or_default());
        self.epoch = epoch;
        self.epoch_started_at = now;
        self.incarnation = incarnation;
        self.state_retained = stays;
        self.orders_seq = 0;
        // The next report is a full one.
        self.acknowledged_seq = 0;
        self.last_reported.clear();
        self.released_tasks.clear();
        self.unregistered_machines.clear();
        self.machines.retain(|id, _| owns(id));
        let machines = &self.machines;
        self.assigned.retain(|_, h| {
            h.placement
                .as_ref()
                .is_none_or(|placement| machines.contains_key(&placement.machine))
        });
        for (id, machine) in &cache.registry {
            if owns(id) {
                self.register_machine(id, &machine.record, now);
            }
        }
        self.report_due = true;
    }

    /// Machines heard of, for tests and logs.
    pub fn machine_count(&self) -> usize {
        self.machines.len()
    }
}
