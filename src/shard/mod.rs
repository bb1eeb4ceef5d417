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
use crate::store::cache::{MachineRecord, StoreCache};
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
    /// the highest number while no start can be under way.
    pub start_token: u64,
    pub sent: bool,
    pub confirmed: bool,
    pub stop: Option<Stop>,
    pub stop_sent: bool,
    pub since: Seconds,
}

#[derive(Debug, Clone)]
pub(crate) struct AssignedTask {
    pub attempt: u64,
    /// Tells one assignment of an attempt from the next.
    pub assignment: u64,
    pub at: Option<Placement>,
    pub since: Seconds,
    pub avoid: Vec<MachineId>,
    /// As the leader was last told, and in which report.
    pub told: Option<LastReported>,
}

/// What a report said of a task, and which.
#[derive(Debug, Clone)]
pub(crate) struct LastReported {
    pub attempt: u64,
    pub phase: TaskPhase,
    pub machine: Option<MachineId>,
    pub seq: u64,
}

/// Zone bounds of a job whose tasks depend on each other.
#[derive(Debug, Clone, Default)]
struct Bounds {
    room: BTreeMap<Arc<str>, u32>,
}

/// Settings that a shard needs.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    pub report_s: Seconds,
    pub lease_s: Seconds,
    /// The longest that a member left out of an epoch may not know of it.
    pub member_life_s: Seconds,
}

/// A part of the fleet.
#[derive(Debug)]
pub struct Shard {
    node: String,
    timing: Timing,
    /// Classes with an aim for their start.
    start_aims: HashMap<Arc<str>, f64>,
    epoch: u64,
    entered: Seconds,
    incarnation: u64,
    kept: bool,
    machines: BTreeMap<MachineId, Machine>,
    held: AssignedTasks,
    gone: Vec<RemovedTask>,
    dropped: Vec<(Task, u64, u64)>,
    unlisted: Vec<(MachineId, u64)>,
    /// Machines as the leader was last told, and in which report.
    told: HashMap<MachineId, (MachineStatus, u64)>,
    /// The newest report that the leader has taken in.
    acked: u64,
    /// The highest assignment seen of each task: a late copy does nothing.
    seen: HashMap<Task, u64>,
    bounds: HashMap<JobId, Bounds>,
    /// Teams that use more than they are guaranteed, as the leader last told.
    borrowing: HashSet<Arc<str>>,
    /// How zones are reached with nobody in between.
    reached: BTreeMap<Arc<str>, ZoneContactSpan>,
    seq: u64,
    orders_seq: u64,
    /// Something changed that the leader should hear.
    pub dirty: bool,
    /// What was found and decided since this shard last knew nothing.
    record: RestartRecord,
    /// Shares that come or go.
    transfers: TransferParticipant,
}

/// A task with its attempt.
type Attempt = (Task, u64);

impl Shard {
    /// An empty shard, a member of no epoch.
    pub fn new(node: &str, timing: Timing, start_aims: HashMap<Arc<str>, f64>) -> Shard {
        Shard {
            node: node.into(),
            timing,
            start_aims,
            epoch: 0,
            entered: 0.0,
            incarnation: 0,
            kept: false,
            machines: BTreeMap::new(),
            held: AssignedTasks::default(),
            gone: Vec::new(),
            dropped: Vec::new(),
            unlisted: Vec::new(),
            told: HashMap::new(),
            acked: 0,
            seen: HashMap::new(),
            bounds: HashMap::new(),
            borrowing: HashSet::new(),
            reached: BTreeMap::new(),
            seq: 0,
            orders_seq: 0,
            dirty: true,
            record: RestartRecord::new(0),
            transfers: TransferParticipant::default(),
        }
    }

    /// Keeps the latest `most` decisions of a restart, for whoever asks.
    pub fn keep_record(&mut self, most: usize) {
        self.record = RestartRecord::new(most);
    }

    /// The epoch this shard acts in.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Enters an epoch. What was known is kept only if this incarnation was a
    /// member of the epoch just before: otherwise somebody else may have
    /// owned the machines in between.
    pub fn enter(
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
                std::mem::take(&mut self.start_aims),
            );
            let record = std::mem::replace(&mut self.record, RestartRecord::new(0));
            *self = Shard { record, ..fresh };
        }
        self.record.enter(epoch, stays, now);
        // Whatever a transfer has reached: owners of the new epoch ask their machines.
        let members = cache.epoch.as_ref().map(|e| e.members.clone());
        self.transfers = TransferParticipant::new(members.unwrap_or_default());
        self.epoch = epoch;
        self.entered = now;
        self.incarnation = incarnation;
        self.kept = stays;
        self.orders_seq = 0;
        // The whole is told anew.
        self.acked = 0;
        self.told.clear();
        self.dropped.clear();
        self.unlisted.clear();
        self.machines.retain(|id, _| owns(id));
        let machines = &self.machines;
        self.held.retain(|_, h| {
            h.at.as_ref()
                .is_none_or(|p| machines.contains_key(&p.machine))
        });
        for (id, (record, _)) in &cache.registry {
            if owns(id) {
                self.list(id, record, now);
            }
        }
        self.dirty = true;
    }

    /// A machine of this shard is on the machine registry, or was changed there.
    pub fn list(&mut self, id: &MachineId, record: &MachineRecord, now: Seconds) {
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
        self.dirty = true;
    }

    /// A machine is off the machine registry: it and all that was on it are gone.
    pub fn unlist(&mut self, id: &MachineId) {
        self.transfers.forget(id);
        if self.machines.remove(id).is_some() {
            self.told.remove(id);
            self.lose(id, u64::MAX);
            self.unlisted.push((id.clone(), self.seq + 1));
        }
        self.dirty = true;
    }

    /// The machines of this shard that are on the machine registry.
    pub fn listed_machines(&self) -> Vec<MachineId> {
        self.machines
            .iter()
            .filter(|(_, m)| m.registered)
            .map(|(id, _)| id.clone())
            .collect()
    }

    fn lose(&mut self, id: &MachineId, below_session: u64) {
        let lost: Vec<Task> = self
            .held
            .on(id)
            .filter(|(_, h)| {
                h.at.as_ref().is_some_and(|p| {
                    p.session < below_session && p.phase != TaskPhase::Done
                        || below_session == u64::MAX
                })
            })
            .map(|(t, _)| t.clone())
            .collect();
        for task in lost {
            self.leave(&task, RemovalReason::Lost);
        }
    }

    fn leave(&mut self, task: &Task, how: RemovalReason) {
        if let Some(h) = self.held.remove(task) {
            let how = match (&h.at, how) {
                (Some(p), RemovalReason::Lost) if p.stop.is_some() => RemovalReason::Stopped,
                _ => how,
            };
            tracing::debug!(%task, ?how, stop = ?h.at.as_ref().and_then(|p| p.stop), machine = ?h.at.as_ref().map(|p| &p.machine), "left");
            self.gone.push(RemovedTask {
                task: task.clone(),
                attempt: h.attempt,
                reason: how,
                assignment: h.assignment,
                machine: h.at.map(|p| p.machine),
                seq: self.seq + 1,
            });
            self.dirty = true;
        }
    }

    /// Takes in the leader's orders.
    pub fn orders(&mut self, orders: &Orders, cache: &StoreCache, now: Seconds) {
        if orders.epoch != self.epoch || orders.node != self.node {
            return;
        }
        for assignment in &orders.assignments {
            self.take_assignment(assignment, cache, now);
        }
        self.dirty |= !orders.assignments.is_empty();
        if orders.seq <= self.orders_seq {
            return;
        }
        self.orders_seq = orders.seq;
        self.borrowing = orders.borrowing.iter().cloned().collect();
        self.take_acknowledgement(orders.acknowledged_seq);
        self.apply_transfer_orders(&orders.transfers, cache, now);
        for (task, attempt) in &orders.recall {
            self.take_recall(task, *attempt, cache, now);
        }
        for (id, machine) in &mut self.machines {
            let drain = orders.drain.contains(id);
            self.dirty |= drain != machine.draining;
            machine.draining = drain;
        }
    }

    /// Queues the tasks of a job that this shard has not been given yet.
    fn take_assignment(&mut self, job: &JobAssignment, cache: &StoreCache, now: Seconds) {
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
            let seen = self.seen.entry(task.clone()).or_insert(0);
            if assignment <= *seen {
                continue;
            }
            *seen = assignment;
            fresh = true;
            if let Some(old) = self.held.get(&task) {
                tracing::warn!(%task, old = old.attempt, attempt, "assigned a task that is held already");
                continue;
            }
            let avoid = job.avoid.clone();
            let held = AssignedTask {
                attempt,
                assignment,
                at: None,
                since: now,
                avoid,
                told: None,
            };
            self.held.insert(task.clone(), held);
            if !known.live() {
                self.leave(&task, RemovalReason::Stopped);
            }
        }
        if let Some(room) = job.zone_room.as_ref().filter(|_| fresh) {
            self.bounds.insert(
                job.job.clone(),
                Bounds {
                    room: room.iter().cloned().collect(),
                },
            );
        }
    }

    /// The leader has taken in the reports up to `ack`.
    fn take_acknowledgement(&mut self, ack: u64) {
        self.acked = ack.min(self.seq);
        self.gone.retain(|gone| gone.seq > ack);
        self.dropped.retain(|dropped| dropped.2 > ack);
        self.unlisted.retain(|unlisted| unlisted.1 > ack);
    }

    /// A task is to be given back. One that has only just started is moved later:
    /// users count on a start for that long.
    fn take_recall(&mut self, task: &Task, attempt: u64, cache: &StoreCache, now: Seconds) {
        let place = self.held.get(task).and_then(|held| held.at.as_ref());
        let young = place.is_some_and(|place| {
            place.phase == TaskPhase::Running
                && place.stop.is_none()
                && now - place.since < START_COUNTS_S
        });
        // Guard: the tasks of a gang are stopped together or lose their progress.
        let spec = cache
            .jobs
            .get(&task.job)
            .and_then(|job| job.record.spec.as_ref());
        let gang = spec.is_some_and(|spec| spec.job_kind == JobKind::Gang);
        if !young || gang {
            self.recall(task, attempt, Stop::Recalled);
        }
    }

    fn recall(&mut self, task: &Task, attempt: u64, why: Stop) {
        let epoch = self.epoch;
        if self.held.get(task).is_none_or(|h| h.attempt != attempt) {
            return;
        }
        let machine = self
            .held
            .get(task)
            .and_then(|held| Some(held.at.as_ref()?.machine.clone()));
        let fenced = machine.is_some_and(|machine| self.transfers.is_fenced(&machine));
        match self.held.place_mut(task) {
            None => self.leave(task, RemovalReason::Stopped),
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
                    if p.start_token == u64::MAX {
                        // No start was ever sent, or it is proven dead.
                        return self.leave(task, RemovalReason::Stopped);
                    }
                    let (id, floor) = (p.machine.clone(), p.start_token);
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
            .held
            .range(from..=to)
            .map(|(t, h)| {
                (
                    t.clone(),
                    h.attempt,
                    h.at.as_ref().is_some_and(|p| p.phase == TaskPhase::Done),
                )
            })
            .collect();
        for (task, attempt, done) in tasks {
            if done && finished(cache, &task) {
                self.drop_held(&task);
            } else if job.record.cancelled {
                self.recall(&task, attempt, Stop::Cancelled);
            }
        }
        if job.record.done || job.record.cancelled {
            self.bounds.remove(id);
        }
    }

    /// Lets go of a task that needs no word to the leader beyond that.
    fn drop_held(&mut self, task: &Task) {
        if let Some(h) = self.held.remove(task) {
            self.dropped.push((task.clone(), h.attempt, self.seq + 1));
            self.dirty = true;
        }
    }

    /// Forgets what nobody needs any more.
    pub fn forget_what_is_over(&mut self, cache: &StoreCache, now: Seconds) {
        let over: Vec<Task> = self
            .held
            .iter()
            .filter(|(t, h)| {
                h.at.as_ref().is_some_and(|p| p.phase == TaskPhase::Done) && finished(cache, t)
            })
            .map(|(t, _)| t.clone())
            .collect();
        for task in over {
            self.drop_held(&task);
        }
        // Neither rented nor shown to be alive: a copy of a report, or a machine
        // whose lease is past by now.
        let (lease_s, entered) = (self.timing.lease_s, self.entered);
        self.machines.retain(|_, m| {
            m.registered
                || m.session.last_heartbeat_at.is_some()
                || now - m.known_since.max(entered) < lease_s
        });
        let held = &self.held;
        self.seen
            .retain(|t, _| held.contains(t) || cache.jobs.get(&t.job).is_none_or(|j| j.live()));
    }

    /// Machines heard of, for tests and logs.
    pub fn machine_count(&self) -> usize {
        self.machines.len()
    }
}

/// Whether a task needs no more runs, by what is committed.
fn finished(cache: &StoreCache, task: &Task) -> bool {
    cache.stored(task).needs_no_run()
}

impl Placement {
    fn adopted(machine: &MachineId, session: u64, token: u64, now: Seconds) -> Placement {
        Placement {
            machine: machine.clone(),
            session,
            phase: TaskPhase::Running,
            start_token: token,
            sent: true,
            confirmed: true,
            stop: None,
            stop_sent: false,
            since: now,
        }
    }
}
