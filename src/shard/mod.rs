//! A part of the fleet: the machines that hash to this controller, what runs
//! on them, and the commands they are due. Pure: time comes in, commands go
//! out as values.
//!
//! The one thing that must never happen is a task starting while it is
//! somewhere else. A task held here leaves this shard only on proof: it was
//! seen ended, its machine is off the machine registry, its worker began a new session,
//! or a report under a token above that of the last start doesn't list it.

mod assigned_tasks;
mod commands;
mod heartbeats;
mod leases;
mod machine;
mod messages;
mod placement;
mod reconciliation;
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
use crate::store::records::MachineRecord;
use crate::wire::{JobId, JobKind, MachineId, Task, START_COUNTS_S};
use assigned_tasks::AssignedTasks;
use finchwood_reconciliation::machine_state::MachineState;
use finchwood_reconciliation::restart_record::RestartRecord;
use finchwood_reconciliation::stored_jobs::StoredJobs;
use machine::{Machine, MachineIdentity};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use transfer::TransferParticipant;

/// A worker that has not reported for so many intervals is late, and is asked:
/// they vary by a quarter.
const LATE_REPORTS: f64 = 1.3;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stop {
    Cancelled,
    Recalled,
    Preempted,
    Notice,
}

#[derive(Debug, Clone)]
pub(crate) struct Placement {
    pub machine: MachineId,
    pub session: u64,
    pub phase: TaskPhase,
    /// The token under which the last start was sent (or the task adopted);
    /// none while no start can be under way.
    pub start_token: Option<u64>,
    pub start_sent: bool,
    pub confirmed: bool,
    pub stop: Option<Stop>,
    pub stop_sent: bool,
    pub phase_since: Seconds,
}

#[derive(Debug, Clone)]
pub(crate) struct AssignedTask {
    pub attempt: u64,
    /// Tells one assignment of an attempt from the next.
    pub assignment: u64,
    pub placement: Option<Placement>,
    pub assigned_at: Seconds,
    pub avoid: Vec<MachineId>,
    /// As the leader was last told, and in which report.
    pub last_reported: Option<LastReported>,
}

/// What a report said of a task, and which.
#[derive(Debug, Clone)]
pub(crate) struct LastReported {
    pub attempt: u64,
    pub phase: TaskPhase,
    pub machine: Option<MachineId>,
    pub seq: u64,
}

/// How many more tasks of a job each zone may take, for a job whose tasks depend on
/// each other.
#[derive(Debug, Clone, Default)]
struct ZoneCapacity {
    remaining: BTreeMap<Arc<str>, u32>,
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
    pub report_s: Seconds,
    pub lease_s: Seconds,
    /// The longest that a member left out of an epoch may not know of it.
    pub member_lease_s: Seconds,
}

/// A part of the fleet.
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
    /// Machines as the leader was last told, and in which report.
    last_reported: HashMap<MachineId, (MachineStatus, u64)>,
    /// The newest report that the leader has taken in.
    acknowledged_seq: u64,
    /// The highest assignment seen of each task: a late copy does nothing.
    highest_assignments: HashMap<Task, u64>,
    zone_capacities: HashMap<JobId, ZoneCapacity>,
    /// Teams that use more than they are guaranteed, as the leader last told.
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

/// A task with its attempt.
type Attempt = (Task, u64);

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
    pub fn set_record_limit(&mut self, most: usize) {
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
        let members = cache.epoch.as_ref().map(|e| e.members.clone());
        self.transfers = TransferParticipant::new(members.unwrap_or_default());
        self.epoch = epoch;
        self.epoch_started_at = now;
        self.incarnation = incarnation;
        self.state_retained = stays;
        self.orders_seq = 0;
        // The whole is told anew.
        self.acknowledged_seq = 0;
        self.last_reported.clear();
        self.released_tasks.clear();
        self.unregistered_machines.clear();
        self.machines.retain(|id, _| owns(id));
        let machines = &self.machines;
        self.assigned.retain(|_, h| {
            h.placement
                .as_ref()
                .is_none_or(|p| machines.contains_key(&p.machine))
        });
        for (id, machine) in &cache.registry {
            if owns(id) {
                self.register_machine(id, &machine.record, now);
            }
        }
        self.report_due = true;
    }

    /// A machine of this shard is on the machine registry, or was changed there.
    pub fn register_machine(&mut self, id: &MachineId, record: &MachineRecord, now: Seconds) {
        // What its source knows of it is still to come.
        if self.transfers.is_awaited(id) {
            return;
        }
        let m = self.machines.entry(id.clone()).or_insert_with(|| {
            let identity = MachineIdentity {
                machine_type: record.machine_type.clone(),
                zone: record.zone.clone(),
                spot: record.spot,
                address: None,
            };
            Machine {
                // Never used by anybody: the machine registry would say so.
                state: MachineState::listed(record.in_use),
                ..Machine::new(identity, now)
            }
        });
        m.registered = true;
        m.used |= record.in_use;
        if m.identity.address.is_none() {
            m.identity.address.clone_from(&record.address);
        }
        self.report_due = true;
    }

    /// A machine is off the machine registry: it and all that was on it are gone.
    pub fn unregister_machine(&mut self, id: &MachineId) {
        self.transfers.forget(id);
        if self.machines.remove(id).is_some() {
            self.last_reported.remove(id);
            self.expire_session(id, u64::MAX);
            self.unregistered_machines
                .push((id.clone(), self.report_seq + 1));
        }
        self.report_due = true;
    }

    /// The machines of this shard that are on the machine registry.
    pub fn registered_machines(&self) -> Vec<MachineId> {
        self.machines
            .iter()
            .filter(|(_, m)| m.registered)
            .map(|(id, _)| id.clone())
            .collect()
    }

    fn expire_session(&mut self, id: &MachineId, below_session: u64) {
        let lost: Vec<Task> = self
            .assigned
            .on(id)
            .filter(|(_, h)| {
                h.placement.as_ref().is_some_and(|p| {
                    p.session < below_session && p.phase != TaskPhase::Done
                        || below_session == u64::MAX
                })
            })
            .map(|(t, _)| t.clone())
            .collect();
        for task in lost {
            self.remove_task(&task, RemovalReason::Lost);
        }
    }

    fn remove_task(&mut self, task: &Task, how: RemovalReason) {
        if let Some(h) = self.assigned.remove(task) {
            let how = match (&h.placement, how) {
                (Some(p), RemovalReason::Lost) if p.stop.is_some() => RemovalReason::Stopped,
                _ => how,
            };
            tracing::debug!(%task, ?how, stop = ?h.placement.as_ref().and_then(|p| p.stop), machine = ?h.placement.as_ref().map(|p| &p.machine), "left");
            self.removed_tasks.push(RemovedTask {
                task: task.clone(),
                attempt: h.attempt,
                reason: how,
                assignment: h.assignment,
                machine: h.placement.map(|p| p.machine),
                seq: self.report_seq + 1,
            });
            self.report_due = true;
        }
    }

    /// Takes in the leader's orders.
    pub fn apply_orders(&mut self, orders: &Orders, cache: &StoreCache, now: Seconds) {
        if orders.epoch != self.epoch || orders.node != self.node {
            return;
        }
        for assignment in &orders.assignments {
            self.apply_assignment(assignment, cache, now);
        }
        self.report_due |= !orders.assignments.is_empty();
        if orders.seq <= self.orders_seq {
            return;
        }
        self.orders_seq = orders.seq;
        self.borrowing_teams = orders.borrowing.iter().cloned().collect();
        self.apply_acknowledgement(orders.acknowledged_seq);
        self.apply_transfer_orders(&orders.transfers, cache, now);
        for (task, attempt) in &orders.recall {
            self.apply_recall(task, *attempt, cache, now);
        }
        for (id, machine) in &mut self.machines {
            let drain = orders.drain.contains(id);
            self.report_due |= drain != machine.draining;
            machine.draining = drain;
        }
    }

    /// Queues the tasks of a job that this shard has not been given yet.
    fn apply_assignment(&mut self, job: &JobAssignment, cache: &StoreCache, now: Seconds) {
        // The cache may be behind the leader's: the assignment comes again.
        let Some(known) = cache.jobs.get(&job.job) else {
            return;
        };
        let mut fresh = false;
        for &(index, attempt) in &job.tasks {
            let task = Task {
                job: job.job.clone(),
                index,
            };
            let assignment = job.assignment(index, attempt);
            let seen = self.highest_assignments.entry(task.clone()).or_insert(0);
            if assignment <= *seen {
                continue;
            }
            *seen = assignment;
            fresh = true;
            if let Some(old) = self.assigned.get(&task) {
                tracing::warn!(%task, old = old.attempt, attempt, "assigned a task that is held already");
                continue;
            }
            let avoid = job.avoid.clone();
            let held = AssignedTask {
                attempt,
                assignment,
                placement: None,
                assigned_at: now,
                avoid,
                last_reported: None,
            };
            self.assigned.insert(task.clone(), held);
            if !known.live() {
                self.remove_task(&task, RemovalReason::Stopped);
            }
        }
        if let Some(room) = job.zone_room.as_ref().filter(|_| fresh) {
            self.zone_capacities.insert(
                job.job.clone(),
                ZoneCapacity {
                    remaining: room.iter().cloned().collect(),
                },
            );
        }
    }

    /// The leader has taken in the reports up to `ack`.
    fn apply_acknowledgement(&mut self, ack: u64) {
        self.acknowledged_seq = ack.min(self.report_seq);
        self.removed_tasks.retain(|gone| gone.seq > ack);
        self.released_tasks
            .retain(|released| released.report_seq > ack);
        self.unregistered_machines
            .retain(|unlisted| unlisted.1 > ack);
    }

    /// A task is to be given back. One that has only just started is moved later:
    /// users count on a start for that long.
    fn apply_recall(&mut self, task: &Task, attempt: u64, cache: &StoreCache, now: Seconds) {
        let place = self
            .assigned
            .get(task)
            .and_then(|held| held.placement.as_ref());
        let young = place.is_some_and(|place| {
            place.phase == TaskPhase::Running
                && place.stop.is_none()
                && now - place.phase_since < START_COUNTS_S
        });
        // Guard: the tasks of a gang are stopped together or lose their progress.
        let spec = cache
            .jobs
            .get(&task.job)
            .and_then(|job| job.record.spec.as_ref());
        let gang = spec.is_some_and(|spec| spec.job_kind == JobKind::Gang);
        if !young || gang {
            self.stop_task(task, attempt, Stop::Recalled);
        }
    }

    fn stop_task(&mut self, task: &Task, attempt: u64, why: Stop) {
        let epoch = self.epoch;
        if self.assigned.get(task).is_none_or(|h| h.attempt != attempt) {
            return;
        }
        let machine = self
            .assigned
            .get(task)
            .and_then(|held| Some(held.placement.as_ref()?.machine.clone()));
        let fenced = machine.is_some_and(|machine| self.transfers.is_fenced(&machine));
        match self.assigned.place_mut(task) {
            None => self.remove_task(task, RemovalReason::Stopped),
            // What its target was told must not become untrue: the leader tells the target.
            Some(_) if fenced => {}
            // Saving for another start: nobody has any use for that any more, and
            // it may take longer than a cancelled task may.
            Some(p) if p.stop.is_some_and(|s| s != why) && why == Stop::Cancelled => {
                p.stop = Some(why);
                p.stop_sent = false;
            }
            Some(p) if p.stop.is_none() && p.phase != TaskPhase::Done => {
                p.stop = Some(why);
                p.stop_sent = false;
                if !p.confirmed {
                    let Some(floor) = p.start_token else {
                        // No start was ever sent, or it is proven dead.
                        return self.remove_task(task, RemovalReason::Stopped);
                    };
                    let id = p.machine.clone();
                    if let Some(m) = self.machines.get_mut(&id) {
                        m.raise_token_above(epoch, floor);
                        m.commands.probe_due = true;
                    }
                }
            }
            Some(_) => {}
        }
    }

    /// A job changed in the cache: cancelled tasks are stopped, finished
    /// ones are let go of.
    pub fn job_changed(&mut self, id: &JobId, cache: &StoreCache) {
        let Some(job) = cache.jobs.get(id) else {
            return;
        };
        let from = Task {
            job: id.clone(),
            index: 0,
        };
        let to = Task {
            job: id.clone(),
            index: u32::MAX,
        };
        let tasks: Vec<(Task, u64, bool)> = self
            .assigned
            .range(from..=to)
            .map(|(t, h)| {
                (
                    t.clone(),
                    h.attempt,
                    h.placement
                        .as_ref()
                        .is_some_and(|p| p.phase == TaskPhase::Done),
                )
            })
            .collect();
        for (task, attempt, done) in tasks {
            if done && finished(cache, &task) {
                self.release_task(&task);
            } else if job.record.cancelled {
                self.stop_task(&task, attempt, Stop::Cancelled);
            }
        }
        if job.record.done || job.record.cancelled {
            self.zone_capacities.remove(id);
        }
    }

    /// Lets go of a task that needs no word to the leader beyond that.
    fn release_task(&mut self, task: &Task) {
        if let Some(h) = self.assigned.remove(task) {
            self.released_tasks.push(ReleasedTask {
                task: task.clone(),
                attempt: h.attempt,
                report_seq: self.report_seq + 1,
            });
            self.report_due = true;
        }
    }

    /// Forgets what nobody needs any more.
    pub fn forget_finished(&mut self, cache: &StoreCache, now: Seconds) {
        let over: Vec<Task> = self
            .assigned
            .iter()
            .filter(|(t, h)| {
                h.placement
                    .as_ref()
                    .is_some_and(|p| p.phase == TaskPhase::Done)
                    && finished(cache, t)
            })
            .map(|(t, _)| t.clone())
            .collect();
        for task in over {
            self.release_task(&task);
        }
        // Neither rented nor shown to be alive: a copy of a report, or a machine
        // whose lease is past by now.
        let (lease_s, entered) = (self.timing.lease_s, self.epoch_started_at);
        self.machines.retain(|_, m| {
            m.registered
                || m.session.last_heartbeat_at.is_some()
                || now - m.known_since.max(entered) < lease_s
        });
        let held = &self.assigned;
        self.highest_assignments
            .retain(|t, _| held.contains(t) || cache.jobs.get(&t.job).is_none_or(|j| j.live()));
    }

    /// Machines heard of, for tests and logs.
    pub fn machine_count(&self) -> usize {
        self.machines.len()
    }
}

/// Whether a task needs no more runs, by what is committed.
fn finished(cache: &StoreCache, task: &Task) -> bool {
    cache.stored_task(task).needs_no_run()
}

impl Placement {
    fn adopted(machine: &MachineId, session: u64, token: u64, now: Seconds) -> Placement {
        Placement {
            machine: machine.clone(),
            session,
            phase: TaskPhase::Running,
            start_token: Some(token),
            start_sent: true,
            confirmed: true,
            stop: None,
            stop_sent: false,
            phase_since: now,
        }
    }
}
