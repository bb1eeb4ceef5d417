//! A shard: the machines that one controller owns, the tasks that are assigned to them, and
//! the commands to be sent to their workers. The module performs no I/O: the time is passed
//! in, and commands are returned as values.
//!
//! A task must never be started while an earlier start of it may still run, or take
//! effect, somewhere else. The shard therefore removes a task that may have been started
//! only on proof that it no longer runs: its machine reported that it ended, its machine is
//! no longer in the machine registry, its worker's session has ended, or a report under a
//! token above that of its last start doesn't list it.

mod assigned_tasks;
mod commands;
mod events;
mod heartbeats;
mod issued_tokens;
mod leases;
mod machine;
mod message_space;
mod messages;
mod orders;
mod other_copies;
mod placement;
mod preemption;
mod reconciliation;
mod registration;
mod removal;
mod report;
mod transfer;
mod transfer_conversions;

pub use commands::{CommandCapacity, DirectCommand, HeartbeatReply};
pub use messages::{
    AssignedTaskStatus, JobAssignment, MachineStatus, Orders, RemovalReason, RemovedTask,
    ShardReport, SilentMachine, TaskPhase,
};

use crate::clock::Seconds;
use crate::cluster::failure_detection::ZoneContactSpan;
use crate::store::cache::StoreCache;
use crate::wire::{JobId, MachineId, Task};
use assigned_tasks::{AssignedTask, AssignedTasks, Placement, TaskStopReason};
use events::ShardEvents;
use finchwood_reconciliation::restart_record::RestartRecord;
use issued_tokens::IssuedTokens;
use machine::Machine;
use other_copies::OtherCopies;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use transfer::TransferParticipant;

/// After this many report intervals without a heartbeat a worker is late, and is probed.
/// The intervals vary by a quarter.
const LATE_AFTER_INTERVALS: f64 = 1.3;

/// How many further tasks of a zone-constrained job (`one_zone`, `scatter`) each zone may
/// take.
#[derive(Debug, Clone, Default)]
struct ZoneAllowances {
    remaining: BTreeMap<Arc<str>, u32>,
}

impl ZoneAllowances {
    /// Whether a zone may take a further task.
    fn has_allowance(&self, zone: &str) -> bool {
        self.remaining
            .get(zone)
            .is_some_and(|remaining| *remaining > 0)
    }

    /// Counts a task that was placed in a zone. With `only_this_zone`, all further tasks
    /// must be placed in the same zone.
    fn use_one(&mut self, zone: &str, only_this_zone: bool) {
        if only_this_zone {
            self.remaining.retain(|name, _| **name == *zone);
        }
        if let Some(remaining) = self.remaining.get_mut(zone) {
            *remaining = remaining.saturating_sub(1);
        }
    }
}

/// A task that this shard released without proof that it no longer runs: it is committed as
/// finished, or its machine belongs to another shard now.
#[derive(Debug, Clone)]
struct ReleasedTask {
    task: Task,
    attempt: u64,
    /// The number of the first report that lists it.
    report_seq: u64,
}

/// The number of machines and tasks in a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardCounts {
    /// Machines, registered or not.
    pub machines: usize,
    /// Those of them that are not reconciled.
    pub unreconciled_machines: usize,
    /// Assigned tasks.
    pub assigned_tasks: usize,
}

/// The time settings of a shard.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// The interval at which a worker sends heartbeats.
    pub report_s: Seconds,
    /// How long a worker's lease lasts after a reply to its heartbeat.
    pub lease_s: Seconds,
    /// How long a member's lease lasts. A member that a new epoch excludes acts until it reads
    /// of that epoch, or until its lease expires.
    pub member_lease_s: Seconds,
}

/// The machines that one controller owns, and the tasks that are assigned to it. Its
/// methods neither block nor send anything: callers pass in the time and the cached records.
#[derive(Debug)]
pub struct Shard {
    node: String,
    timing: Timing,
    /// The objective for a task's start, in seconds, of each job class that has one.
    start_objectives: HashMap<Arc<str>, f64>,
    epoch: u64,
    epoch_started_at: Seconds,
    incarnation: u64,
    /// Whether the shard kept its state when it entered the epoch.
    state_retained: bool,
    machines: BTreeMap<MachineId, Machine>,
    /// The tokens of machines that were removed in this epoch.
    issued_tokens: IssuedTokens,
    assigned: AssignedTasks,
    /// Copies of assigned tasks on other machines of this shard.
    other_copies: OtherCopies,
    /// Removed tasks that the leader has not acknowledged as removed yet.
    removed_tasks: Vec<RemovedTask>,
    /// Released tasks that the leader has not acknowledged as released yet.
    released_tasks: Vec<ReleasedTask>,
    /// Machines that no longer belong to this shard, and the number of the first report that
    /// lists each.
    removed_machines: Vec<(MachineId, u64)>,
    /// Machines as last reported to the leader, and the number of that report.
    last_reported: HashMap<MachineId, (MachineStatus, u64)>,
    /// The number of the newest report that the leader has acknowledged.
    acknowledged_seq: u64,
    /// The highest assignment number seen of each task. Assignments with a number that is not
    /// higher are late copies, and are ignored.
    highest_assignments: HashMap<Task, u64>,
    zone_allowances: HashMap<JobId, ZoneAllowances>,
    /// Teams that use more than their guarantee, by the leader's last orders.
    borrowing_teams: HashSet<Arc<str>>,
    /// The span of direct contact with each zone, not counting relayed heartbeats.
    zone_contacts: BTreeMap<Arc<str>, ZoneContactSpan>,
    /// The number of the latest report.
    report_seq: u64,
    /// The number of the newest orders applied in this epoch.
    orders_seq: u64,
    /// Whether something has changed that must be reported to the leader. The next report
    /// clears it.
    pub report_due: bool,
    /// What was found and decided since this shard last began without state.
    restart_record: RestartRecord,
    /// The transfers of hash ranges in which this shard takes part.
    transfers: TransferParticipant,
    /// What has happened since the last log lines.
    events: ShardEvents,
}

impl Shard {
    /// Returns a shard without machines that has entered no epoch. `start_objectives` is the
    /// objective for a task's start, in seconds, by job class.
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
            issued_tokens: IssuedTokens::default(),
            assigned: AssignedTasks::default(),
            other_copies: OtherCopies::default(),
            removed_tasks: Vec::new(),
            released_tasks: Vec::new(),
            removed_machines: Vec::new(),
            last_reported: HashMap::new(),
            acknowledged_seq: 0,
            highest_assignments: HashMap::new(),
            zone_allowances: HashMap::new(),
            borrowing_teams: HashSet::new(),
            zone_contacts: BTreeMap::new(),
            report_seq: 0,
            orders_seq: 0,
            report_due: true,
            restart_record: RestartRecord::new(0),
            transfers: TransferParticipant::default(),
            events: ShardEvents::default(),
        }
    }

    /// Replaces the restart record by an empty one, limited to its latest `max_decisions`
    /// decisions.
    pub fn set_restart_record_limit(&mut self, max_decisions: usize) {
        self.restart_record = RestartRecord::new(max_decisions);
    }

    /// Returns the epoch in which this shard acts; 0 before the first.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Enters an epoch. The shard keeps its state only if this incarnation was a member of
    /// the epoch just before: otherwise another controller may have owned the machines in
    /// between. `owns` returns whether this controller owns a machine in the new epoch.
    pub fn start_epoch(
        &mut self,
        epoch: u64,
        incarnation: u64,
        cache: &StoreCache,
        now: Seconds,
        owns: impl Fn(&str) -> bool,
    ) {
        let retains_state = incarnation == self.incarnation && epoch == self.epoch + 1;
        if !retains_state {
            let fresh = Shard::new(
                &self.node,
                self.timing,
                std::mem::take(&mut self.start_objectives),
            );
            let record = std::mem::replace(&mut self.restart_record, RestartRecord::new(0));
            *self = Shard {
                restart_record: record,
                events: std::mem::take(&mut self.events),
                ..fresh
            };
        }
        self.restart_record.enter_epoch(epoch, retains_state, now);
        // Transfers end with their epoch, whatever their state: the owners in the new epoch
        // probe their machines.
        let members = cache.epoch.as_ref().map(|epoch| epoch.members.clone());
        self.transfers = TransferParticipant::new(members.unwrap_or_default());
        self.epoch = epoch;
        self.epoch_started_at = now;
        self.incarnation = incarnation;
        self.state_retained = retains_state;
        self.orders_seq = 0;
        // The next report is a full one.
        self.acknowledged_seq = 0;
        self.last_reported.clear();
        self.released_tasks.clear();
        self.removed_machines.clear();
        self.issued_tokens = IssuedTokens::default();
        self.machines.retain(|id, _| {
            let keeps = owns(id);
            if !keeps {
                self.other_copies.remove_machine(id);
            }
            keeps
        });
        let machines = &self.machines;
        self.assigned.retain(|_, assigned| {
            assigned
                .placement
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

    /// Returns how many machines and tasks are in this shard.
    pub fn counts(&self) -> ShardCounts {
        let unreconciled = |machine: &&Machine| !machine.is_reconciled();
        ShardCounts {
            machines: self.machines.len(),
            unreconciled_machines: self.machines.values().filter(unreconciled).count(),
            assigned_tasks: self.assigned.iter().count(),
        }
    }

    /// Returns the number of machines in this shard, registered or not, for tests.
    pub fn machine_count(&self) -> usize {
        self.machines.len()
    }
}
