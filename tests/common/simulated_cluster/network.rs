//! The simulated network between workers and controllers, which loses, delays and repeats
//! messages, and what the receivers do with them.

use super::membership::controller_index;
use super::{take_due, Scheduled, SimulatedCluster, CONTROLLERS};
use finchwood::cluster::membership::{self, token_epoch};
use finchwood::shard::{HeartbeatReply, Orders, ShardReport};
use finchwood::wire::{Command, CommandBatch, Heartbeat};
use rand::Rng;
use std::sync::Arc;

/// How long a controller waits for the response to a direct command.
const COMMAND_TIMEOUT_S: f64 = 1.5;
/// How long a worker waits for the response to a heartbeat.
pub(super) const HEARTBEAT_TIMEOUT_S: f64 = 4.0;
/// How long after the end of a pause a worker receives the commands that arrived during it.
const RESUME_DELAY_S: f64 = 0.05;

/// A message between controllers or between a controller and a worker.
#[derive(Clone)]
pub(super) enum Packet {
    Heartbeat(HeartbeatPacket),
    HeartbeatResponse(HeartbeatResponse),
    DirectCommand(DirectCommandPacket),
    CommandResult(CommandResult),
    ShardReport { to: usize, report: Box<ShardReport> },
    Orders { to: usize, orders: Box<Orders> },
    CancellationNotice(CancellationNotice),
}

/// A worker's heartbeat to the controller `to`.
#[derive(Clone)]
pub(super) struct HeartbeatPacket {
    pub(super) to: usize,
    pub(super) heartbeat: Heartbeat,
    pub(super) sent_at: f64,
}

/// A controller's response to a heartbeat.
#[derive(Clone)]
pub(super) struct HeartbeatResponse {
    from: usize,
    worker: usize,
    session: u64,
    sequence: u64,
    /// When the heartbeat was sent.
    sent_at: f64,
    token: u64,
    commands: Vec<Command>,
}

/// A batch of direct commands from a controller to a worker, sent independently of heartbeats.
#[derive(Clone)]
pub(super) struct DirectCommandPacket {
    pub(super) from: usize,
    pub(super) incarnation: u64,
    pub(super) worker: usize,
    pub(super) batch: CommandBatch,
}

/// The outcome of a direct command: the heartbeat with which the worker responded, or `None`
/// if the command timed out.
#[derive(Clone)]
pub(super) struct CommandResult {
    to: usize,
    incarnation: u64,
    worker: usize,
    batch: CommandBatch,
    heartbeat: Option<Heartbeat>,
}

/// A controller's message to another that a job was cancelled.
#[derive(Clone)]
pub(super) struct CancellationNotice {
    pub(super) to: usize,
    pub(super) job: Arc<str>,
    pub(super) revision: u64,
}

impl Packet {
    /// Whether the network may deliver a second copy later.
    fn may_be_repeated(&self) -> bool {
        !matches!(
            self,
            Packet::HeartbeatResponse(_) | Packet::CommandResult(_)
        )
    }
}

impl SimulatedCluster {
    /// Sends a packet, which may be lost, delayed or repeated.
    pub(super) fn send(&mut self, packet: Packet) {
        if let Some(due_at) = self.held_back_until(&packet) {
            self.packets.push(Scheduled {
                due_at,
                item: packet,
            });
            return;
        }
        let draw: f64 = self.rng.gen();
        if draw < 0.08 {
            return self.lose(packet);
        }
        let delay_s = match draw {
            draw if draw < 0.75 => self.rng.gen_range(0.01..0.3),
            draw if draw < 0.93 => self.rng.gen_range(0.3..4.0),
            _ => self.rng.gen_range(4.0..60.0),
        };
        if packet.may_be_repeated() && self.rng.gen_bool(0.05) {
            let copy_delay_s = self.rng.gen_range(1.0..60.0);
            self.deliver_in(copy_delay_s, packet.clone());
        }
        self.deliver_in(delay_s, packet);
    }

    /// Returns until when the network holds a packet back; `None` if it does not.
    fn held_back_until(&self, packet: &Packet) -> Option<f64> {
        let packet = match packet {
            Packet::Heartbeat(packet) => packet,
            Packet::DirectCommand(command) => return self.commands_held_until(command.from),
            _ => return None,
        };
        let worker = self.worker_on(&packet.heartbeat.machine)?;
        let until = self.workers[worker].heartbeats_held_until;
        (self.now < until).then_some(until)
    }

    /// Schedules a packet for delivery after `delay_s`.
    fn deliver_in(&mut self, delay_s: f64, packet: Packet) {
        self.packets.push(Scheduled {
            due_at: self.now + delay_s,
            item: packet,
        });
    }

    /// Drops a packet. If it is a direct command or the response to one, the command times out
    /// for its sender.
    fn lose(&mut self, packet: Packet) {
        let timed_out = match packet {
            Packet::DirectCommand(command) => CommandResult {
                to: command.from,
                incarnation: command.incarnation,
                worker: command.worker,
                batch: command.batch,
                heartbeat: None,
            },
            Packet::CommandResult(result) => CommandResult {
                heartbeat: None,
                ..result
            },
            _ => return,
        };
        self.deliver_in(COMMAND_TIMEOUT_S, Packet::CommandResult(timed_out));
    }

    /// Delivers the packets that are due.
    pub(super) fn deliver_due_packets(&mut self) {
        for packet in take_due(&mut self.packets, self.now) {
            self.deliver(packet);
        }
    }

    fn deliver(&mut self, packet: Packet) {
        match packet {
            Packet::Heartbeat(packet) => self.deliver_heartbeat(packet),
            Packet::HeartbeatResponse(response) => self.deliver_heartbeat_response(response),
            Packet::DirectCommand(command) => self.deliver_direct_command(command),
            Packet::CommandResult(result) => self.deliver_command_result(&result),
            Packet::ShardReport { to, report } => self.deliver_shard_report(to, *report),
            Packet::Orders { to, orders } => self.deliver_orders(to, &orders),
            Packet::CancellationNotice(notice) => self.deliver_cancellation_notice(&notice),
        }
    }

    /// Passes a heartbeat to its receiver, which ignores it unless it owns the machine.
    fn deliver_heartbeat(&mut self, packet: HeartbeatPacket) {
        let HeartbeatPacket {
            to,
            heartbeat,
            sent_at,
        } = packet;
        let Some(worker) = self.worker_on(&heartbeat.machine) else {
            return;
        };
        if self.now < self.workers[worker].drops_outgoing_until || !self.may_act(to) {
            return;
        }
        let is_deleted = !self.workers[worker].alive;
        let controller = &mut self.controllers[to];
        let Some(epoch) = controller.entered_epoch() else {
            return;
        };
        let shard_map = &controller.cache.shard_map;
        let owner = membership::owner_by_shard_map(&epoch, shard_map, &heartbeat.machine);
        if owner.expect("the machine has an owner") != CONTROLLERS[to] {
            return;
        }
        if is_deleted && token_epoch(heartbeat.token) == epoch.number {
            self.statistics.heartbeats_of_deleted_machines += 1;
        }
        let reply =
            controller
                .shard
                .apply_heartbeat(&heartbeat, false, &controller.cache, self.now);
        if let HeartbeatReply::Accepted { token, commands } = reply {
            self.send(Packet::HeartbeatResponse(HeartbeatResponse {
                from: to,
                worker,
                session: heartbeat.session,
                sequence: heartbeat.seq,
                sent_at,
                token,
                commands,
            }));
        }
    }

    /// Passes a response to the worker, unless it is stale or the worker can't receive it. The
    /// response renews the worker's lease as of the time when the heartbeat was sent.
    fn deliver_heartbeat_response(&mut self, response: HeartbeatResponse) {
        let now = self.now;
        let worker = &mut self.workers[response.worker];
        let is_lost = !worker.alive
            || now < worker.paused_until
            || now < worker.drops_outgoing_until
            || now < worker.drops_incoming_until;
        let is_stale = worker.awaited_sequence != Some(response.sequence)
            || response.session != worker.session
            || now - response.sent_at > HEARTBEAT_TIMEOUT_S
            || response.token < worker.token;
        if is_lost || is_stale {
            return;
        }
        worker.awaited_sequence = None;
        worker.answered_by = Some(response.from);
        worker.token = response.token;
        worker.lease_renewed_at = response.sent_at;
        let started = worker.apply_commands(&response.commands, &self.gangs, now);
        self.record_starts(response.worker, &started);
    }

    /// Passes a direct command to its worker, which ignores one with an older fencing token or
    /// for another session. A paused worker receives it after the pause.
    pub(super) fn deliver_direct_command(&mut self, command: DirectCommandPacket) {
        let now = self.now;
        let worker = &mut self.workers[command.worker];
        if !worker.alive || now < worker.drops_incoming_until {
            return self.lose(Packet::DirectCommand(command));
        }
        if now < worker.paused_until {
            self.packets.push(Scheduled {
                due_at: worker.paused_until + RESUME_DELAY_S,
                item: Packet::DirectCommand(command),
            });
            return;
        }
        worker.expire_lease(now);
        let mut started = Vec::new();
        if command.batch.token >= worker.token && command.batch.session == worker.session {
            worker.token = command.batch.token;
            started = worker.apply_commands(&command.batch.commands, &self.gangs, now);
        }
        let heartbeat = worker.heartbeat();
        self.keep_answered_command(&command);
        self.record_starts(command.worker, &started);
        self.send(Packet::CommandResult(CommandResult {
            to: command.from,
            incarnation: command.incarnation,
            worker: command.worker,
            batch: command.batch,
            heartbeat: Some(heartbeat),
        }));
    }

    /// Passes the outcome of a direct command to the incarnation that sent it.
    fn deliver_command_result(&mut self, result: &CommandResult) {
        let machine: Arc<str> = self.workers[result.worker].id.as_str().into();
        let controller = &mut self.controllers[result.to];
        if controller.alive && controller.incarnation == result.incarnation {
            controller.shard.command_completed(
                &machine,
                &result.batch,
                result.heartbeat.as_ref(),
                &controller.cache,
                self.now,
            );
        }
    }

    /// Passes a shard's report to the leader, which responds with orders if it accepts it.
    fn deliver_shard_report(&mut self, to: usize, mut report: ShardReport) {
        let now = self.now;
        let controller = &mut self.controllers[to];
        let leads = controller.cache.epoch.as_ref().is_some_and(|epoch| {
            epoch.leader == CONTROLLERS[to] && controller.shard.epoch() == epoch.number
        });
        if now < controller.partitioned_until || !controller.alive || !leads {
            return;
        }
        let from = report.node.clone();
        let transfers = std::mem::take(&mut report.transfers);
        let jobs = &controller.cache.jobs;
        let lists_unread = |report: &ShardReport| {
            let mut assigned = report.assigned.iter();
            assigned.any(|status| !jobs.contains_key(&status.task.job))
        };
        let lists_unread_job = lists_unread(&report);
        if !controller
            .leader
            .apply_shard_report(report, &controller.cache, now)
        {
            return;
        }
        self.statistics.listings_before_records += u32::from(lists_unread_job);
        controller.transfers.apply_report(&from, transfers, now);
        if let Some(mut orders) = controller.leader.orders(&from) {
            orders.transfers = controller.transfers.orders_for(&from);
            self.send_orders(orders);
        }
    }

    /// Sends a leader's orders to the controller that they name.
    pub(super) fn send_orders(&mut self, orders: Orders) {
        let to = controller_index(&orders.node).expect("the index of a controller");
        let orders = Box::new(orders);
        self.send(Packet::Orders { to, orders });
    }

    /// Passes orders to a shard, unless its controller is stopped or partitioned.
    fn deliver_orders(&mut self, to: usize, orders: &Orders) {
        let controller = &mut self.controllers[to];
        if self.now >= controller.partitioned_until && controller.alive {
            controller
                .shard
                .apply_orders(orders, &controller.cache, self.now);
        }
    }

    /// Passes a cancellation to a controller that may not have read it from the store yet.
    fn deliver_cancellation_notice(&mut self, notice: &CancellationNotice) {
        let controller = &mut self.controllers[notice.to];
        if self.now < controller.partitioned_until || !controller.alive {
            return;
        }
        let is_new = controller
            .cache
            .apply_cancellation(&notice.job, notice.revision, 0);
        if is_new {
            controller.job_changed(&notice.job);
            self.statistics.cancellations_from_peers += 1;
        }
    }
}
