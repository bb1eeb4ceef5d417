//! Messages between workers and controllers, which are lost, late or repeated, and what
//! their receivers do with them.

use super::membership::controller_named;
use super::{take_due, Scheduled, SimulatedCluster, CONTROLLERS};
use finchwood::cluster::membership;
use finchwood::shard::{HeartbeatReply, Orders, ShardReport};
use finchwood::wire::{Command, CommandBatch, Heartbeat};
use rand::Rng;
use std::sync::Arc;

/// How long a controller waits for the answer to a direct command.
const COMMAND_TIMEOUT_S: f64 = 1.5;
/// How long a worker waits for the answer to a heartbeat.
const HEARTBEAT_TIMEOUT_S: f64 = 4.0;
/// How soon after a pause a worker takes the commands that came meanwhile.
const RESUME_DELAY_S: f64 = 0.05;

#[derive(Clone)]
pub(super) enum Packet {
    Heartbeat(HeartbeatPacket),
    HeartbeatAnswer(HeartbeatAnswer),
    DirectCommand(DirectCommandPacket),
    CommandResult(CommandResult),
    ShardReport { to: usize, report: Box<ShardReport> },
    Orders { to: usize, orders: Box<Orders> },
    CancellationNotice(CancellationNotice),
}

/// From a worker to a controller.
#[derive(Clone)]
pub(super) struct HeartbeatPacket {
    pub(super) to: usize,
    pub(super) heartbeat: Heartbeat,
    pub(super) sent_at: f64,
}

/// From a controller to a worker.
#[derive(Clone)]
pub(super) struct HeartbeatAnswer {
    worker: usize,
    session: u64,
    sequence: u64,
    /// When the heartbeat was sent.
    sent_at: f64,
    token: u64,
    commands: Vec<Command>,
}

/// From a controller to a worker, without a heartbeat.
#[derive(Clone)]
pub(super) struct DirectCommandPacket {
    pub(super) from: usize,
    pub(super) incarnation: u64,
    pub(super) worker: usize,
    pub(super) batch: CommandBatch,
}

/// The worker's answer to a direct command, or that none came in time.
#[derive(Clone)]
pub(super) struct CommandResult {
    to: usize,
    incarnation: u64,
    worker: usize,
    batch: CommandBatch,
    heartbeat: Option<Heartbeat>,
}

/// Between controllers: a job was cancelled.
#[derive(Clone)]
pub(super) struct CancellationNotice {
    pub(super) to: usize,
    pub(super) job: Arc<str>,
    pub(super) revision: u64,
}

impl Packet {
    /// Whether a late copy may arrive after it.
    fn may_be_repeated(&self) -> bool {
        !matches!(self, Packet::HeartbeatAnswer(_) | Packet::CommandResult(_))
    }
}

impl SimulatedCluster {
    /// Sends a packet, which may be lost, late or repeated.
    pub(super) fn send(&mut self, packet: Packet) {
        let fate: f64 = self.rng.gen();
        if fate < 0.08 {
            return self.lose(packet);
        }
        let delay_s = match fate {
            fate if fate < 0.75 => self.rng.gen_range(0.01..0.3),
            fate if fate < 0.93 => self.rng.gen_range(0.3..4.0),
            _ => self.rng.gen_range(4.0..60.0),
        };
        if packet.may_be_repeated() && self.rng.gen_bool(0.05) {
            let copy_delay_s = self.rng.gen_range(1.0..60.0);
            self.deliver_in(copy_delay_s, packet.clone());
        }
        self.deliver_in(delay_s, packet);
    }

    fn deliver_in(&mut self, delay_s: f64, packet: Packet) {
        self.packets.push(Scheduled {
            due_at: self.now + delay_s,
            what: packet,
        });
    }

    /// A packet is lost; whoever waits for the answer to a direct command gives up.
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

    pub(super) fn deliver_due_packets(&mut self) {
        for packet in take_due(&mut self.packets, self.now) {
            self.deliver(packet);
        }
    }

    fn deliver(&mut self, packet: Packet) {
        match packet {
            Packet::Heartbeat(packet) => self.deliver_heartbeat(packet),
            Packet::HeartbeatAnswer(answer) => self.deliver_heartbeat_answer(answer),
            Packet::DirectCommand(command) => self.deliver_direct_command(command),
            Packet::CommandResult(result) => self.deliver_command_result(&result),
            Packet::ShardReport { to, report } => self.deliver_shard_report(to, *report),
            Packet::Orders { to, orders } => self.deliver_orders(to, &orders),
            Packet::CancellationNotice(notice) => self.deliver_cancellation_notice(&notice),
        }
    }

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
        let controller = &mut self.controllers[to];
        let Some(epoch) = controller.entered_epoch() else {
            return;
        };
        let shard_map = &controller.cache.shard_map;
        let owner = membership::owner_by_shard_map(&epoch, shard_map, &heartbeat.machine);
        if owner.expect("an owner") != CONTROLLERS[to] {
            return;
        }
        let reply =
            controller
                .shard
                .apply_heartbeat(&heartbeat, false, &controller.cache, self.now);
        if let HeartbeatReply::Accepted { token, commands } = reply {
            self.send(Packet::HeartbeatAnswer(HeartbeatAnswer {
                worker,
                session: heartbeat.session,
                sequence: heartbeat.seq,
                sent_at,
                token,
                commands,
            }));
        }
    }

    fn deliver_heartbeat_answer(&mut self, answer: HeartbeatAnswer) {
        let now = self.now;
        let worker = &mut self.workers[answer.worker];
        let is_lost = !worker.alive
            || now < worker.paused_until
            || now < worker.drops_outgoing_until
            || now < worker.drops_incoming_until;
        let is_stale = worker.awaited_answer != Some(answer.sequence)
            || answer.session != worker.session
            || now - answer.sent_at > HEARTBEAT_TIMEOUT_S
            || answer.token < worker.token;
        if is_lost || is_stale {
            return;
        }
        worker.awaited_answer = None;
        worker.token = answer.token;
        worker.lease_renewed_at = answer.sent_at;
        let started = worker.apply_commands(&answer.commands, &self.gangs, now);
        self.record_starts(answer.worker, &started);
    }

    fn deliver_direct_command(&mut self, command: DirectCommandPacket) {
        let now = self.now;
        let worker = &mut self.workers[command.worker];
        if !worker.alive || now < worker.drops_incoming_until {
            return self.lose(Packet::DirectCommand(command));
        }
        if now < worker.paused_until {
            self.packets.push(Scheduled {
                due_at: worker.paused_until + RESUME_DELAY_S,
                what: Packet::DirectCommand(command),
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
        self.record_starts(command.worker, &started);
        self.send(Packet::CommandResult(CommandResult {
            to: command.from,
            incarnation: command.incarnation,
            worker: command.worker,
            batch: command.batch,
            heartbeat: Some(heartbeat),
        }));
    }

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

    /// A leader that takes a report answers with orders.
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
        if !controller
            .leader
            .apply_shard_report(report, &controller.cache, now)
        {
            return;
        }
        controller.transfers.apply_report(&from, transfers, now);
        if let Some(mut orders) = controller.leader.orders(&from) {
            orders.transfers = controller.transfers.orders_for(&from);
            self.send_orders(orders);
        }
    }

    pub(super) fn send_orders(&mut self, orders: Orders) {
        let to = controller_named(&orders.node).expect("a controller");
        let orders = Box::new(orders);
        self.send(Packet::Orders { to, orders });
    }

    fn deliver_orders(&mut self, to: usize, orders: &Orders) {
        let controller = &mut self.controllers[to];
        if self.now >= controller.partitioned_until && controller.alive {
            controller
                .shard
                .apply_orders(orders, &controller.cache, self.now);
        }
    }

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
            self.statistics.cancellation_notices += 1;
        }
    }
}
