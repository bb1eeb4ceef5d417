//! Late copies of direct commands that were carried out and answered, delivered once the worker no
//! longer knows an attempt that they start.

use super::network::DirectCommandPacket;
use super::{SimulatedCluster, CONTROLLERS};
use finchwood::cluster::membership::token_epoch;
use finchwood::wire::{Command, JobKind, Task};
use rand::Rng;

/// Why a worker no longer knows an attempt, and what protects the task from the copy.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) enum CopyKind {
    /// The worker is in a later session than that of the copy.
    LaterSession,
    /// The worker has seen a token of a later epoch.
    LaterEpoch,
    /// The worker has seen a later token of the same epoch, and session.
    LaterToken,
    /// Neither: the copy is carried out.
    Matching,
}

/// How a controller or a worker was back within a second.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) enum QuickReturn {
    /// The key-value store responds to a controller again, in the same epoch.
    SameEpoch,
    /// A controller has restarted, in a new epoch.
    NewEpoch,
    /// A worker has restarted, in a new session.
    NewSession,
}

/// The last time that something was back within a second.
#[derive(Clone, Copy)]
pub(super) struct LastReturn {
    kind: QuickReturn,
    at: f64,
}

/// For how long after a return copies are likely to arrive, in seconds.
const AFTER_RETURN_S: f64 = 1.0;

/// A copy of a command that was carried out and answered.
pub(super) struct AnsweredCommand {
    packet: DirectCommandPacket,
    starts: Vec<Start>,
}

/// A start in a command.
struct Start {
    task: String,
    attempt: u64,
}

impl SimulatedCluster {
    /// Keeps a copy of a command that a worker has carried out and answered, if it starts tasks.
    pub(super) fn keep_answered_command(&mut self, packet: &DirectCommandPacket) {
        if !self.fault_plan.returns_commands() {
            return;
        }
        let worker = &self.workers[packet.worker];
        let start = |command: &Command| match command {
            Command::Start { task, attempt } => Some(Start {
                task: task.clone(),
                attempt: *attempt,
            }),
            _ => None,
        };
        let starts: Vec<Start> = packet.batch.commands.iter().filter_map(start).collect();
        let carried_out = |start: &Start| worker.knows(&start.task, start.attempt);
        if !starts.is_empty() && starts.iter().all(carried_out) {
            self.answered_commands.push(AnsweredCommand {
                packet: packet.clone(),
                starts,
            });
        }
    }

    /// Delivers copies of answered commands to workers that no longer know an attempt which these
    /// start: some of them at once, others a while later.
    pub(super) fn return_answered_commands(&mut self) {
        let since = self.last_return;
        let just_back =
            since.filter(|back| (back.at..back.at + AFTER_RETURN_S).contains(&self.now));
        let delivered_share = if just_back.is_some() { 0.3 } else { 0.05 };
        for copy in std::mem::take(&mut self.answered_commands) {
            let worker = &self.workers[copy.packet.worker];
            let forgotten: Vec<&Start> = copy
                .starts
                .iter()
                .filter(|start| !worker.knows(&start.task, start.attempt))
                .collect();
            if !worker.alive {
                continue;
            }
            let hangs = self.now < worker.paused_until || self.now < worker.drops_incoming_until;
            if forgotten.is_empty() || hangs || !self.rng.gen_bool(delivered_share) {
                self.answered_commands.push(copy);
                continue;
            }
            let kind = copy_kind(worker.session, worker.token, &copy.packet);
            let statistics = &mut self.statistics;
            *statistics.returned_commands.entry(kind).or_default() += 1;
            if let Some(back) = just_back {
                let after_return = &mut statistics.returned_after_quick_return;
                *after_return.entry(back.kind).or_default() += 1;
            }
            for start in forgotten {
                self.count_returned_start(start);
            }
            self.deliver_direct_command(copy.packet);
        }
    }

    /// Counts a start in a returned command by what has become of its task.
    fn count_returned_start(&mut self, start: &Start) {
        let task = Task::parse(&start.task).expect("a valid task id");
        let is_moved = self.workers.iter().any(|worker| {
            let on_worker = worker.tasks.get(&start.task);
            worker.alive && on_worker.is_some_and(|task| task.attempt != start.attempt)
        });
        self.statistics.returned_starts_of_moved += u32::from(is_moved);
        let is_cancelled = self.cancelled.contains_key(&task.job);
        self.statistics.returned_starts_of_cancelled += u32::from(is_cancelled);
    }

    /// Injects a fault after which a worker no longer knows an attempt, or from which a controller
    /// or a worker is back within a second.
    pub(super) fn make_workers_forget(&mut self) {
        if !self.rng.gen_bool(0.05) {
            return;
        }
        let controller = self.rng.gen_range(0..CONTROLLERS.len());
        match self.rng.gen_range(0..8) {
            0 => {
                self.start_controller(controller);
                self.record_return(QuickReturn::NewEpoch, self.now);
            }
            1 => {
                let at = self.now + self.rng.gen_range(0.1..1.0);
                self.controllers[controller].refused_until = at;
                self.record_return(QuickReturn::SameEpoch, at);
            }
            2..=3 => self.restart_worker(),
            4..=5 => self.fail_a_task(),
            6 => {
                let number = self.rng.gen_range(0..self.next_job);
                self.cancel(number);
            }
            _ => self.make_room(),
        }
    }

    /// Restarts a worker within a round: its session ends, and it remembers its token.
    fn restart_worker(&mut self) {
        let now = self.now;
        let index = self.latest_machine();
        self.workers[index].begin_session(now);
        self.record_return(QuickReturn::NewSession, now);
    }

    fn record_return(&mut self, kind: QuickReturn, at: f64) {
        self.last_return = Some(LastReturn { kind, at });
    }

    /// Ends a task of an array or a service with an error, so that it is moved.
    fn fail_a_task(&mut self) {
        let index = self.latest_machine();
        let specs = &self.specs;
        let task = self.workers[index].tasks.iter_mut().find(|(id, task)| {
            let job = Task::parse(id).expect("a valid task id").job;
            task.is_active() && specs[&job].job_kind != JobKind::Gang
        });
        if let Some((_, task)) = task {
            task.end("error");
        }
    }
}

fn copy_kind(session: u64, token: u64, packet: &DirectCommandPacket) -> CopyKind {
    let batch = &packet.batch;
    if session > batch.session {
        CopyKind::LaterSession
    } else if token_epoch(token) > token_epoch(batch.token) {
        CopyKind::LaterEpoch
    } else if token > batch.token {
        CopyKind::LaterToken
    } else {
        CopyKind::Matching
    }
}
