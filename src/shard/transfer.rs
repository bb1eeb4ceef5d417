//! Transfers of machines between shards: the source stops giving orders and reports its
//! state of the machines, and the target continues from that state.
//!
//! A fenced machine is frozen: its worker's lease is renewed, so that nothing there ends,
//! and cancelled tasks are stopped; but nothing is started, forgotten or adopted any more.
//! Tasks on the machine can only end, so that the state sent to the target never misses one,
//! however late it arrives.

use super::machine::{
    CommandChannel, Machine, MachineContents, MachineIdentity, ObservedTask, TokenAcknowledgement,
    WorkerSession,
};
use super::{AssignedTask, HeartbeatReply, Placement, RemovalReason, Shard, Stop, TaskPhase};
use crate::clock::{self, Seconds};
use crate::cluster::membership::{self, token, token_epoch};
use crate::store::cache::StoreCache;
use crate::wire::{Command, Heartbeat, MachineId, Task, TaskState};
use finchwood_sharding::hash_position::position;
use finchwood_sharding::shard_map::HashRange;
use finchwood_sharding::transfer::{TransferId, TransferOrder, TransferReport};
use finchwood_sharding::transfer_state::{
    AssignedTaskState, MachineTransferState, ReportedTaskState,
};
use std::collections::{BTreeMap, BTreeSet};

/// The token on the wire of a task whose start can't be under way.
const NO_START_TOKEN: u64 = u64::MAX;

/// A range to whose machines no orders are given.
#[derive(Debug, Clone)]
struct Fence {
    range: HashRange,
    knowledge: Vec<MachineTransferState>,
    /// The shard map names the target, and the machines are released.
    released: bool,
}

/// The transfers in which this shard takes part.
#[derive(Debug, Clone, Default)]
pub(super) struct TransferParticipant {
    fences: BTreeMap<TransferId, Fence>,
    accepted: BTreeSet<TransferId>,
    taken_over: BTreeSet<TransferId>,
    /// Machines that the shard map has given to this shard, and whose state is yet to come.
    awaited: BTreeSet<MachineId>,
    /// When the shard map last changed.
    table_changed_at: Option<Seconds>,
    /// The members of the epoch, among whom the hash chooses owners.
    members: BTreeMap<String, u64>,
}

impl TransferParticipant {
    /// No transfers yet, in an epoch of `members`.
    pub(super) fn new(members: BTreeMap<String, u64>) -> TransferParticipant {
        TransferParticipant {
            members,
            ..TransferParticipant::default()
        }
    }

    /// Whether a machine gets no orders. It goes by its position, so that one that appears
    /// while its range moves gets none either.
    pub(super) fn is_fenced(&self, id: &MachineId) -> bool {
        let fences = self.fences.values().filter(|fence| !fence.released);
        fences.into_iter().any(|fence| self.is_in(&fence.range, id))
    }

    /// Whether a machine is in a range, by its hash owner and its position.
    fn is_in(&self, range: &HashRange, id: &str) -> bool {
        let hash_owner = membership::owner(&self.members, id);
        hash_owner.is_some_and(|hash_owner| range.contains(hash_owner, position(id)))
    }

    /// Whether a machine is this shard's, and its source's state of it is still to come.
    pub(super) fn is_awaited(&self, id: &MachineId) -> bool {
        self.awaited.contains(id)
    }

    /// Stops waiting for a machine that is gone.
    pub(super) fn forget(&mut self, id: &MachineId) {
        self.awaited.remove(id);
    }

    /// The state of all transfers, for the leader.
    pub(super) fn report(&self) -> TransferReport {
        let fenced = self.fences.iter().filter(|(_, fence)| !fence.released);
        let released = self.fences.iter().filter(|(_, fence)| fence.released);
        TransferReport {
            accepted: self.accepted.iter().copied().collect(),
            fenced: fenced
                .map(|(id, fence)| (*id, fence.knowledge.clone()))
                .collect(),
            released: released.map(|(id, _)| *id).collect(),
            taken_over: self.taken_over.iter().copied().collect(),
        }
    }
}

impl Shard {
    /// Applies all transfers that the leader orders. A fence that is no longer ordered is
    /// over: the transfer was withdrawn, or this shard has released the range.
    pub(super) fn apply_transfer_orders(
        &mut self,
        orders: &[TransferOrder],
        cache: &StoreCache,
        now: Seconds,
    ) {
        let before = self.transfers.report();
        let told: BTreeSet<TransferId> = orders.iter().map(TransferOrder::id).collect();
        self.transfers.fences.retain(|id, _| told.contains(id));
        self.transfers.taken_over.retain(|id| told.contains(id));
        self.transfers.accepted.clear();
        for order in orders {
            match order {
                TransferOrder::Offer { id } => {
                    self.transfers.accepted.insert(*id);
                }
                TransferOrder::Fence { id, range } => self.fence(*id, range, now),
                TransferOrder::TakeOver {
                    id,
                    range,
                    generation,
                    machines,
                } => {
                    if cache.shard_map.generation >= *generation
                        && self.transfers.taken_over.insert(*id)
                    {
                        self.take_over_range(range, machines, cache, now);
                    }
                }
            }
        }
        self.report_due |= self.transfers.report() != before;
    }

    /// Stops giving orders to the machines of a range, and records their state.
    fn fence(&mut self, id: TransferId, range: &HashRange, now: Seconds) {
        if self.transfers.fences.contains_key(&id) {
            return;
        }
        let transfers = &self.transfers;
        let machines: Vec<MachineId> = self
            .machines
            .keys()
            .filter(|machine| transfers.is_in(range, machine))
            .cloned()
            .collect();
        for id in &machines {
            self.return_unstarted(id);
            if let Some(machine) = self
                .machines
                .get_mut(id)
                .filter(|machine| machine.commands.in_flight)
            {
                // It may be executed yet: dead once its worker has seen a higher token.
                machine.token.counter += 1;
            }
        }
        let knowledge = machines
            .iter()
            .filter_map(|id| self.transfer_state(id, now))
            .collect();
        tracing::debug!(transfer = id, %range, machines = machines.len(), "fenced");
        let fence = Fence {
            range: range.clone(),
            knowledge,
            released: false,
        };
        self.transfers.fences.insert(id, fence);
    }

    /// Tasks that were to be started on a machine, and certainly were not, are the leader's
    /// again. Given back later, they would be in the target's hands as well.
    fn return_unstarted(&mut self, id: &MachineId) {
        for task in self.assigned.names_on(id) {
            let placement = self
                .assigned
                .get(&task)
                .and_then(|assigned| assigned.placement.as_ref());
            if placement
                .is_some_and(|placement| !placement.confirmed && placement.start_token.is_none())
            {
                self.remove_task(&task, RemovalReason::Rejected);
            }
        }
    }

    /// Machines that get no orders, as they are being handed over.
    pub fn fenced_machines(&self) -> Vec<MachineId> {
        self.machines
            .keys()
            .filter(|id| self.transfers.is_fenced(id))
            .cloned()
            .collect()
    }

    /// Answers a worker of a range that is being transferred: its lease is renewed, and
    /// what is cancelled stops.
    pub(super) fn answer_fenced(
        &mut self,
        heartbeat: &Heartbeat,
        cache: &StoreCache,
        now: Seconds,
    ) -> HeartbeatReply {
        let epoch = self.epoch;
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else {
            return HeartbeatReply::Refused;
        };
        if machine.session.is_outdated(heartbeat) {
            return HeartbeatReply::Refused;
        }
        machine.session.last_answered_at = Some(now);
        // Otherwise it would look silent for as long as the shard map can't be written.
        if token_epoch(heartbeat.token) == epoch {
            machine.session.last_heartbeat_at = Some(now);
        }
        let cancelled = |task: &str| {
            let job = Task::parse(task).and_then(|task| cache.jobs.get(&task.job));
            job.is_some_and(|job| job.record.cancelled)
        };
        let stops = heartbeat
            .tasks
            .iter()
            .filter(|reported| reported.state != TaskState::Ended && cancelled(&reported.task));
        let commands = stops
            .map(|reported| Command::Stop {
                task: reported.task.clone(),
                attempt: reported.attempt,
                grace_s: 0.0,
            })
            .collect();
        HeartbeatReply::Accepted {
            token: token(epoch, machine.token.counter),
            commands,
        }
    }

    /// The shard map has changed: releases the machines that are no longer this shard's, and
    /// waits for the source's state of those that are new.
    pub fn apply_shard_map(
        &mut self,
        cache: &StoreCache,
        now: Seconds,
        owns: impl Fn(&str) -> bool,
    ) {
        self.transfers.table_changed_at = Some(now);
        let gone: Vec<MachineId> = self
            .machines
            .keys()
            .filter(|id| !owns(id))
            .cloned()
            .collect();
        for id in &gone {
            self.release_machine(id);
        }
        let (node, table) = (&self.node, &cache.shard_map);
        for fence in self.transfers.fences.values_mut() {
            fence.released |= table.sole_owner(&fence.range) != Some(node);
        }
        let machines = &self.machines;
        let gained = cache
            .registry
            .keys()
            .filter(|id| owns(id) && !machines.contains_key(*id));
        self.transfers.awaited = gained.cloned().collect();
        self.report_due = true;
    }

    /// Releases a machine to another shard, with all its tasks.
    fn release_machine(&mut self, id: &MachineId) {
        for task in self.assigned.names_on(id) {
            self.release_task(&task);
        }
        self.machines.remove(id);
        self.last_reported.remove(id);
        self.unregistered_machines
            .push((id.clone(), self.report_seq + 1));
    }

    /// Takes over a range with what its source knew. A machine of it that the source did
    /// not know is asked like any other.
    fn take_over_range(
        &mut self,
        range: &HashRange,
        known: &[MachineTransferState],
        cache: &StoreCache,
        now: Seconds,
    ) {
        let transfers = &self.transfers;
        let mine: BTreeSet<MachineId> = transfers
            .awaited
            .iter()
            .filter(|id| transfers.is_in(range, id))
            .cloned()
            .collect();
        self.transfers.awaited.retain(|id| !mine.contains(id));
        for machine in known.iter().filter(|machine| mine.contains(&machine.id)) {
            self.adopt_machine(machine, cache, now);
        }
        for id in &mine {
            if let Some(machine) = cache.registry.get(id) {
                self.register_machine(id, &machine.record.clone(), now);
            }
            let until = self.source_renews_until();
            if let Some(machine) = self.machines.get_mut(id) {
                machine.source_renews_until = until;
            }
        }
        tracing::debug!(%range, machines = mine.len(), "range taken over");
    }

    /// Until when the source of a machine that has just come may renew its worker's lease:
    /// one that has not read the changed table answers until its knowledge is too old.
    pub(super) fn source_renews_until(&self) -> Option<Seconds> {
        let margin = clock::with_drift_margin(self.timing.member_lease_s);
        self.transfers
            .table_changed_at
            .map(|changed| changed + margin)
    }

    /// The state of a machine, for the target of its transfer.
    fn transfer_state(&self, id: &MachineId, now: Seconds) -> Option<MachineTransferState> {
        let machine = self.machines.get(id)?;
        let assigned_tasks = self
            .assigned
            .on(id)
            .filter_map(|(task, assigned)| task_transfer_state(task, assigned, now));
        let reported_tasks =
            machine
                .contents
                .tasks
                .iter()
                .map(|(task, observed)| ReportedTaskState {
                    task: task.clone(),
                    attempt: observed.attempt,
                    state: observed.state,
                    why: observed.cause.clone(),
                });
        Some(MachineTransferState {
            id: id.clone(),
            machine_type: machine.identity.machine_type.clone(),
            zone: machine.identity.zone.clone(),
            spot: machine.identity.spot,
            address: machine.identity.address.clone(),
            registered: machine.registered,
            up: machine.used,
            state: machine.state,
            session: machine.session.id,
            seq: machine.session.sequence,
            token_counter: machine.token.counter,
            ended_session: machine.session.ended_up_to,
            last_heartbeat_ago_s: machine.session.last_heartbeat_at.map(|at| now - at),
            // On the wire, a session that was never seen began with the clock.
            session_seen_ago_s: now - machine.session.first_seen_at.unwrap_or(0.0),
            notice_in_s: machine.reclaimed_at.map(|until| until - now),
            reported_tasks: reported_tasks.collect(),
            assigned_tasks: assigned_tasks.collect(),
            images: machine.contents.images.iter().cloned().collect(),
        })
    }

    /// Takes over a machine with all that its source knew. Its token is above any that the
    /// source used.
    fn adopt_machine(&mut self, known: &MachineTransferState, cache: &StoreCache, now: Seconds) {
        let observed_tasks = known
            .reported_tasks
            .iter()
            .map(|reported| (reported.task.clone(), ObservedTask::from(reported)));
        let identity = MachineIdentity {
            machine_type: known.machine_type.clone(),
            zone: known.zone.clone(),
            spot: known.spot,
            address: known.address.clone(),
        };
        let machine = Machine {
            registered: known.registered,
            used: known.up,
            state: known.state,
            session: WorkerSession {
                id: known.session,
                sequence: known.seq,
                first_seen_at: Some(now - known.session_seen_ago_s),
                ended_up_to: known.ended_session,
                last_heartbeat_at: known.last_heartbeat_ago_s.map(|ago| now - ago),
                last_answered_at: None,
            },
            token: TokenAcknowledgement {
                counter: known.token_counter + 1,
                ..TokenAcknowledgement::default()
            },
            commands: CommandChannel {
                probe_due: true,
                ..CommandChannel::default()
            },
            contents: MachineContents {
                tasks: observed_tasks.collect(),
                compared: true,
                images: known.images.iter().cloned().collect(),
                ..MachineContents::empty(now)
            },
            reclaimed_at: known.notice_in_s.map(|in_s| now + in_s),
            ..Machine::new(identity, now)
        };
        self.machines.insert(known.id.clone(), machine);
        for task in &known.assigned_tasks {
            self.adopt_task(&known.id, task, cache, now);
        }
    }

    /// Takes over a task that the source had assigned to a machine.
    fn adopt_task(
        &mut self,
        machine: &MachineId,
        known: &AssignedTaskState,
        cache: &StoreCache,
        now: Seconds,
    ) {
        if self.assigned.contains(&known.task) {
            tracing::warn!(task = %known.task, %machine, "transferred task is assigned already");
            return;
        }
        let assigned = AssignedTask {
            attempt: known.attempt,
            assignment: known.assignment,
            placement: Some(transferred_placement(machine, known, now)),
            assigned_at: now,
            avoid: Vec::new(),
            last_reported: None,
        };
        // It was here before, and is again: its release need not be reported any more.
        self.released_tasks
            .retain(|released| released.task != known.task || released.attempt != known.attempt);
        self.raise_highest_assignment(&known.task, known.assignment);
        self.assigned.insert(known.task.clone(), assigned);
        if cache
            .jobs
            .get(&known.task.job)
            .is_some_and(|job| job.record.cancelled)
        {
            self.stop_task(&known.task, known.attempt, Stop::Cancelled);
        }
    }
}

impl From<&ReportedTaskState> for ObservedTask {
    fn from(known: &ReportedTaskState) -> ObservedTask {
        ObservedTask {
            attempt: known.attempt,
            state: known.state,
            cause: known.why.clone(),
        }
    }
}

/// The placement of a transferred task, from the source's state of it.
fn transferred_placement(
    machine: &MachineId,
    known: &AssignedTaskState,
    now: Seconds,
) -> Placement {
    let phase = match (known.completed, known.confirmed) {
        (true, _) => TaskPhase::Done,
        (false, true) => TaskPhase::Running,
        (false, false) => TaskPhase::Starting,
    };
    Placement {
        machine: machine.clone(),
        session: known.session,
        phase,
        start_token: (known.start_token != NO_START_TOKEN).then_some(known.start_token),
        start_sent: known.start_sent,
        confirmed: known.confirmed,
        stop: known.stopping.then_some(Stop::Recalled),
        stop_sent: false,
        phase_since: now - known.in_phase_s,
    }
}

/// The state of a task that is placed on a machine, for the target of its transfer.
fn task_transfer_state(
    task: &Task,
    assigned: &AssignedTask,
    now: Seconds,
) -> Option<AssignedTaskState> {
    let placement = assigned.placement.as_ref()?;
    Some(AssignedTaskState {
        task: task.clone(),
        attempt: assigned.attempt,
        assignment: assigned.assignment,
        session: placement.session,
        start_token: placement.start_token.unwrap_or(NO_START_TOKEN),
        start_sent: placement.start_sent,
        confirmed: placement.confirmed,
        completed: placement.phase == TaskPhase::Done,
        stopping: placement.stop.is_some(),
        in_phase_s: now - placement.phase_since,
    })
}
