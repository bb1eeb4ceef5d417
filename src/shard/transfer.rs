//! Transfers of machines between shards: the source stops sending commands and reports its
//! state of the machines, and the target continues from that state.
//!
//! While a machine is fenced, its worker's lease is renewed so that its tasks continue, and
//! cancelled tasks are stopped, but no task is started, forgotten or adopted. The set of
//! tasks on the machine can only shrink, so that the state sent to the target lists every
//! one of them, however late it arrives.

use super::events::RemovalProof;
use super::machine::{
    CommandChannel, Machine, MachineContents, MachineIdentity, ObservedTask, WorkerSession,
};
use super::message_space::MessageSpace;
use super::transfer_conversions::{task_transfer_state, transferred_placement};
use super::{AssignedTask, HeartbeatReply, RemovalReason, Shard, TaskStopReason};
use crate::clock::{self, Seconds};
use crate::cluster::membership::{self, token};
use crate::store::cache::StoreCache;
use crate::wire::{Command, Heartbeat, MachineId, Task, TaskState};
use finchwood_sharding::hash_position::position;
use finchwood_sharding::shard_map::HashRange;
use finchwood_sharding::transfer::{TransferId, TransferOrder, TransferReport};
use finchwood_sharding::transfer_state::{
    AssignedTaskState, MachineTransferState, ReportedTaskState,
};
use std::collections::{BTreeMap, BTreeSet};

/// A hash range that this shard, as the source of a transfer, has fenced: its machines are
/// sent no commands except stops of cancelled tasks.
#[derive(Debug, Clone)]
struct Fence {
    range: HashRange,
    machine_states: Vec<MachineTransferState>,
    /// Whether the shard map names the target, and the machines are released.
    released: bool,
}

/// The transfers of which this shard is the source or the target.
#[derive(Debug, Clone, Default)]
pub(super) struct TransferParticipant {
    fences: BTreeMap<TransferId, Fence>,
    /// The offered transfers that this shard accepts as their target.
    accepted: BTreeSet<TransferId>,
    /// The transfers whose range this shard has taken over as their target.
    taken_over: BTreeSet<TransferId>,
    /// Machines that the shard map has assigned to this shard, and whose state has not been
    /// received from the source.
    awaiting_state: BTreeSet<MachineId>,
    /// When the shard map last changed.
    shard_map_changed_at: Option<Seconds>,
    /// The members of the epoch and their incarnations. The hash owner of a machine is one of
    /// them.
    members: BTreeMap<String, u64>,
}

impl TransferParticipant {
    /// Returns a participant without transfers, in an epoch of `members`.
    pub(super) fn new(members: BTreeMap<String, u64>) -> TransferParticipant {
        TransferParticipant {
            members,
            ..TransferParticipant::default()
        }
    }

    /// Whether a machine is fenced. What counts is its hash position, so that a machine that
    /// is registered while its range is being transferred is fenced too.
    pub(super) fn is_fenced(&self, id: &MachineId) -> bool {
        let fences = self.fences.values().filter(|fence| !fence.released);
        fences
            .into_iter()
            .any(|fence| self.is_in_range(&fence.range, id))
    }

    /// Whether a machine is in a range, by its hash owner and its hash position.
    fn is_in_range(&self, range: &HashRange, id: &str) -> bool {
        let hash_owner = membership::owner_by_hash(&self.members, id);
        hash_owner.is_some_and(|hash_owner| range.contains(hash_owner, position(id)))
    }

    /// Whether a machine belongs to this shard but its state has not been received from the
    /// source.
    pub(super) fn is_awaiting_state(&self, id: &MachineId) -> bool {
        self.awaiting_state.contains(id)
    }

    /// Stops waiting for the state of a machine that was deleted.
    pub(super) fn stop_awaiting(&mut self, id: &MachineId) {
        self.awaiting_state.remove(id);
    }

    /// Returns the progress of all transfers, to be reported to the leader.
    pub(super) fn report(&self) -> TransferReport {
        let fenced = self.fences.iter().filter(|(_, fence)| !fence.released);
        let released = self.fences.iter().filter(|(_, fence)| fence.released);
        TransferReport {
            accepted: self.accepted.iter().copied().collect(),
            fenced: fenced
                .map(|(id, fence)| (*id, fence.machine_states.clone()))
                .collect(),
            released: released.map(|(id, _)| *id).collect(),
            taken_over: self.taken_over.iter().copied().collect(),
        }
    }
}

impl Shard {
    /// Applies the leader's transfer orders, which always name all transfers. A fence that
    /// is no longer ordered is removed: the transfer was aborted, or it has completed.
    pub(super) fn apply_transfer_orders(
        &mut self,
        orders: &[TransferOrder],
        cache: &StoreCache,
        now: Seconds,
    ) {
        let before = self.transfers.report();
        let ordered: BTreeSet<TransferId> = orders.iter().map(TransferOrder::id).collect();
        self.transfers.fences.retain(|id, _| ordered.contains(id));
        self.transfers.taken_over.retain(|id| ordered.contains(id));
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

    /// Stops sending commands to the machines of a range, and records their state.
    fn fence(&mut self, id: TransferId, range: &HashRange, now: Seconds) {
        if self.transfers.fences.contains_key(&id) {
            return;
        }
        let transfers = &self.transfers;
        let machines: Vec<MachineId> = self
            .machines
            .keys()
            .filter(|machine| transfers.is_in_range(range, machine))
            .cloned()
            .collect();
        for id in &machines {
            self.return_unstarted(id);
            if let Some(machine) = self
                .machines
                .get_mut(id)
                .filter(|machine| machine.commands.in_flight)
            {
                // The command may still be executed. A worker that has seen a higher token
                // rejects it.
                machine.token.counter += 1;
            }
        }
        let machine_states = machines
            .iter()
            .filter_map(|id| self.transfer_state(id, now))
            .collect();
        tracing::debug!(transfer = id, %range, machines = machines.len(), "hash range fenced");
        let fence = Fence {
            range: range.clone(),
            machine_states,
            released: false,
        };
        self.transfers.fences.insert(id, fence);
    }

    /// Returns to the leader the tasks that were to be started on a machine and certainly
    /// were not. If they were returned later, the target would be assigned them as well.
    fn return_unstarted(&mut self, id: &MachineId) {
        for task in self.assigned.task_ids_on(id) {
            let placement = self
                .assigned
                .get(&task)
                .and_then(|assigned| assigned.placement.as_ref());
            if placement
                .is_some_and(|placement| !placement.confirmed && placement.start_token.is_none())
            {
                self.remove_task(&task, RemovalReason::Rejected, RemovalProof::NotStarted);
            }
        }
    }

    /// Returns the fenced machines, which are being transferred to another shard.
    pub fn fenced_machines(&self) -> Vec<MachineId> {
        self.machines
            .keys()
            .filter(|id| self.transfers.is_fenced(id))
            .cloned()
            .collect()
    }

    /// Replies to a worker of a range that is being transferred. The reply renews its lease
    /// and stops cancelled tasks.
    pub(super) fn reply_to_fenced(
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
        machine.session.last_reply_at = Some(now);
        // Otherwise the machine would count as silent for as long as the shard map can't be
        // written.
        if machine.has_issued(heartbeat.token, epoch) {
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
            commands: MessageSpace::new().take_fitting(commands),
        }
    }

    /// Applies a change of the shard map: releases the machines that no longer belong to this
    /// shard, and waits for the source's state of those that now do. `owns` returns whether
    /// this controller owns a machine by the new shard map.
    pub fn apply_shard_map(
        &mut self,
        cache: &StoreCache,
        now: Seconds,
        owns: impl Fn(&str) -> bool,
    ) {
        self.transfers.shard_map_changed_at = Some(now);
        let lost: Vec<MachineId> = self
            .machines
            .keys()
            .filter(|id| !owns(id))
            .cloned()
            .collect();
        for id in &lost {
            self.release_machine(id);
        }
        let (node, shard_map) = (&self.node, &cache.shard_map);
        for fence in self.transfers.fences.values_mut() {
            fence.released |= shard_map.sole_owner(&fence.range) != Some(node);
        }
        let machines = &self.machines;
        let gained = cache
            .registry
            .keys()
            .filter(|id| owns(id) && !machines.contains_key(*id));
        self.transfers.awaiting_state = gained.cloned().collect();
        self.report_due = true;
    }

    /// Releases a machine to another shard, with all its tasks.
    fn release_machine(&mut self, id: &MachineId) {
        for task in self.assigned.task_ids_on(id) {
            self.release_task(&task);
        }
        self.remove_machine(id);
    }

    /// Takes over a range with the source's state of its machines. A machine without such
    /// state is registered like a new one, and probed.
    fn take_over_range(
        &mut self,
        range: &HashRange,
        states: &[MachineTransferState],
        cache: &StoreCache,
        now: Seconds,
    ) {
        let transfers = &self.transfers;
        let gained: BTreeSet<MachineId> = transfers
            .awaiting_state
            .iter()
            .filter(|id| transfers.is_in_range(range, id))
            .cloned()
            .collect();
        self.transfers
            .awaiting_state
            .retain(|id| !gained.contains(id));
        for machine in states.iter().filter(|machine| gained.contains(&machine.id)) {
            self.adopt_machine(machine, cache, now);
        }
        for id in &gained {
            if let Some(machine) = cache.registry.get(id) {
                self.register_machine(id, &machine.record.clone(), now);
            }
            let until = self.source_renews_until();
            if let Some(machine) = self.machines.get_mut(id) {
                machine.source_renews_until = until;
            }
        }
        tracing::debug!(%range, machines = gained.len(), "hash range taken over");
    }

    /// Returns until when the source of a transferred machine may renew its worker's lease:
    /// a source that has not read the changed shard map replies until its member lease
    /// expires. `None` if the shard map has not changed in this epoch.
    pub(super) fn source_renews_until(&self) -> Option<Seconds> {
        let margin = clock::with_drift_margin(self.timing.member_lease_s);
        self.transfers
            .shard_map_changed_at
            .map(|changed| changed + margin)
    }

    /// Returns the state of a machine, for the target of its transfer.
    fn transfer_state(&self, id: &MachineId, now: Seconds) -> Option<MachineTransferState> {
        let machine = self.machines.get(id)?;
        let assigned_tasks = self
            .assigned
            .on_machine(id)
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
                    cause: observed.cause.clone(),
                });
        Some(MachineTransferState {
            id: id.clone(),
            machine_type: machine.identity.machine_type.clone(),
            zone: machine.identity.zone.clone(),
            spot: machine.identity.spot,
            address: machine.identity.address.clone(),
            registered: machine.registered,
            used: machine.used,
            state: machine.state,
            session: machine.session.id,
            seq: machine.session.sequence,
            token_counter: machine.token.counter,
            ended_session: machine.session.ended_up_to,
            last_heartbeat_ago_s: machine.session.last_heartbeat_at.map(|at| now - at),
            // A session that was never seen counts as seen since time zero of this
            // controller's clock: the field on the wire is not optional.
            session_seen_ago_s: now - machine.session.first_seen_at.unwrap_or(0.0),
            reclaimed_in_s: machine.reclaim_at.map(|at| at - now),
            reported_tasks: reported_tasks.collect(),
            assigned_tasks: assigned_tasks.collect(),
            images: machine.contents.images.iter().cloned().collect(),
        })
    }

    /// Adds a machine that was transferred to this shard, with the source's state of it. Its
    /// token is above any that the source used.
    fn adopt_machine(&mut self, state: &MachineTransferState, cache: &StoreCache, now: Seconds) {
        let observed_tasks = state
            .reported_tasks
            .iter()
            .map(|reported| (reported.task.clone(), ObservedTask::from(reported)));
        let unissued = self.issued_tokens.first_counter(&state.id);
        let first_counter = unissued.max(state.token_counter + 1);
        let identity = MachineIdentity {
            machine_type: state.machine_type.clone(),
            zone: state.zone.clone(),
            spot: state.spot,
            address: state.address.clone(),
        };
        let machine = Machine {
            registered: state.registered,
            used: state.used,
            state: state.state,
            session: WorkerSession {
                id: state.session,
                sequence: state.seq,
                first_seen_at: Some(now - state.session_seen_ago_s),
                ended_up_to: state.ended_session,
                last_heartbeat_at: state.last_heartbeat_ago_s.map(|ago| now - ago),
                last_reply_at: None,
            },
            commands: CommandChannel {
                probe_due: true,
                ..CommandChannel::default()
            },
            contents: MachineContents {
                tasks: observed_tasks.collect(),
                compared: true,
                images: state.images.iter().cloned().collect(),
                ..MachineContents::empty(now)
            },
            reclaim_at: state.reclaimed_in_s.map(|in_s| now + in_s),
            ..Machine::new(identity, first_counter, now)
        };
        self.machines.insert(state.id.clone(), machine);
        for task in &state.assigned_tasks {
            self.adopt_task(&state.id, task, cache, now);
        }
    }

    /// Adds a task that the source had assigned to a transferred machine.
    fn adopt_task(
        &mut self,
        machine: &MachineId,
        state: &AssignedTaskState,
        cache: &StoreCache,
        now: Seconds,
    ) {
        if self.assigned.contains(&state.task) {
            tracing::warn!(
                task = %state.task,
                %machine,
                "transferred task is already assigned here; keeping that assignment"
            );
            self.other_copies
                .add(state.task.clone(), machine, state.attempt);
            return;
        }
        let assigned = AssignedTask {
            attempt: state.attempt,
            assignment: state.assignment,
            placement: Some(transferred_placement(machine, state, now)),
            assigned_at: now,
            avoid: Vec::new(),
            last_reported: None,
        };
        // The task may have been assigned here before and released with its machine. That
        // release must not be reported any more.
        self.released_tasks
            .retain(|released| released.task != state.task || released.attempt != state.attempt);
        self.raise_highest_assignment(&state.task, state.assignment);
        self.assigned.insert(state.task.clone(), assigned);
        if cache
            .jobs
            .get(&state.task.job)
            .is_some_and(|job| job.record.cancelled)
        {
            self.stop_task(&state.task, state.attempt, TaskStopReason::Cancelled);
        }
    }
}
