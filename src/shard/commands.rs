//! Commands to workers, as answers to heartbeats or sent directly, and the tokens
//! that tell late copies from new ones.

use super::machine::{Machine, ObservedTask};
use super::{Shard, Stop, TaskPhase, LATE_REPORTS};
use crate::clock::Seconds;
use crate::cluster::membership::{token, token_epoch};
use crate::store::cache::StoreCache;
use crate::wire::{Command, CommandBatch, Heartbeat, MachineId, Task};
use finchwood_reconciliation::restart_record::StopCause;
use finchwood_reconciliation::stored_jobs::StoredJobs;
use finchwood_reconciliation::verdict::{may_forget, must_stop};
use std::collections::BTreeSet;
use std::sync::Arc;

/// What to answer a worker's heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatReply {
    /// 200 with token and commands.
    Accepted {
        /// The fencing token of the answer.
        token: u64,
        /// What the worker is to do.
        commands: Vec<Command>,
    },
    /// 503: this controller is not entitled to answer, or the heartbeat is older than one
    /// already seen.
    Refused,
}

/// Commands to send to a worker directly.
#[derive(Debug, Clone)]
pub struct DirectCommand {
    /// The machine whose worker it is for.
    pub machine: MachineId,
    /// Where its worker takes commands.
    pub address: Arc<str>,
    /// What is sent.
    pub body: CommandBatch,
    /// It has not been heard lately: it may not answer, and must not hold up
    /// what is meant for those that do.
    pub unverified: bool,
}

/// How many direct commands may go out.
#[derive(Debug, Clone, Copy)]
pub struct CommandCapacity {
    /// To machines heard lately.
    pub responsive: usize,
    /// To the others, which may not answer.
    pub unverified: usize,
}

impl CommandCapacity {
    /// Takes room for one command; false if there is none.
    fn take_one(&mut self, unverified: bool) -> bool {
        let left = if unverified {
            &mut self.unverified
        } else {
            &mut self.responsive
        };
        if *left == 0 {
            return false;
        }
        *left -= 1;
        true
    }
}

/// How long a task that is stopped may take to save its progress, in seconds.
fn saving_time(stop: Stop, task: &Task, cache: &StoreCache) -> Seconds {
    let spec = cache
        .jobs
        .get(&task.job)
        .and_then(|job| job.record.spec.as_ref());
    match (stop, spec) {
        (Stop::Cancelled, _) | (_, None) => 0.0,
        (_, Some(spec)) if spec.checkpoint_s > 0.0 => spec.save_s,
        (_, Some(_)) => 0.0,
    }
}

impl From<Stop> for StopCause {
    fn from(stop: Stop) -> StopCause {
        match stop {
            Stop::Cancelled => StopCause::Over,
            Stop::Recalled => StopCause::Recalled,
            Stop::Preempted => StopCause::Preempted,
            Stop::Notice => StopCause::Notice,
        }
    }
}

impl Shard {
    /// The commands a machine is due. Reaps wait while a direct command is
    /// unanswered, and always carry a token above every earlier start's: a
    /// late copy of a start would run a reaped attempt again.
    pub(super) fn commands_for(
        &mut self,
        id: &MachineId,
        cache: &StoreCache,
        direct: bool,
    ) -> (u64, Vec<Command>) {
        let epoch = self.epoch;
        let Some(machine) = self.machines.get_mut(id) else {
            return (token(epoch, 0), Vec::new());
        };
        if !machine.is_reconciled() || machine.token_exhausted() {
            return (
                token(epoch, machine.token.counter),
                machine.cancelled_stops(cache),
            );
        }
        let reaps = if machine.commands.in_flight {
            Vec::new()
        } else {
            self.forget_commands(id, cache)
        };
        let stops = self.stops_for_unassigned(id);
        let Some(machine) = self.machines.get_mut(id) else {
            return (token(epoch, 0), Vec::new());
        };
        if !reaps.is_empty() {
            machine.token.counter += 1;
        }
        machine.commands.in_flight |= direct;
        let token = token(epoch, machine.token.counter);
        let counts = &mut self.restart_record.orders;
        counts.reaps += reaps.len() as u64;
        *counts.stops.entry(StopCause::NotAssigned).or_default() += stops.len() as u64;
        let mut commands = reaps;
        commands.extend(stops);
        for task in self.assigned.names_on(id) {
            commands.extend(self.command_for_assigned(id, &task, token, cache));
        }
        (token, commands)
    }

    /// The command that an assigned task is due, if any: a stop until it has stopped, a
    /// start until it is seen.
    fn command_for_assigned(
        &mut self,
        id: &MachineId,
        task: &Task,
        token: u64,
        cache: &StoreCache,
    ) -> Option<Command> {
        let (session, up) = self
            .machines
            .get(id)
            .map(|machine| (machine.session.id, machine.used))?;
        let attempt = self.assigned.get(task)?.attempt;
        let placement = self.assigned.place_mut(task)?;
        let counts = &mut self.restart_record.orders;
        let Some(stop) = placement.stop else {
            if placement.confirmed || !up {
                return None;
            }
            placement.start_token = Some(token);
            placement.session = session;
            placement.start_sent = true;
            counts.starts += 1;
            return Some(Command::Start {
                task: task.to_string(),
                attempt,
            });
        };
        if placement.phase == TaskPhase::Done {
            return None;
        }
        placement.stop_sent = true;
        let grace_s = saving_time(stop, task, cache);
        // A second stop would end a saving task.
        if placement.phase == TaskPhase::Saving && grace_s > 0.0 {
            return None;
        }
        *counts.stops.entry(stop.into()).or_default() += 1;
        Some(Command::Stop {
            task: task.to_string(),
            attempt,
            grace_s,
        })
    }

    /// What a machine's worker may forget.
    fn forget_commands(&self, id: &MachineId, cache: &StoreCache) -> Vec<Command> {
        let Some(machine) = self.machines.get(id) else {
            return Vec::new();
        };
        let due = machine.contents.tasks.iter().filter(|(task, observed)| {
            let known_assignment = self.known_assignment(id, task, observed.attempt);
            may_forget(
                observed.reported(),
                known_assignment,
                cache.stored_task(task),
            )
            .is_some()
        });
        due.map(|(task, observed)| Command::Forget {
            task: task.to_string(),
            attempt: observed.attempt,
        })
        .collect()
    }

    /// Stops for what a machine shows to run and is not assigned to it.
    fn stops_for_unassigned(&self, id: &MachineId) -> Vec<Command> {
        let Some(machine) = self.machines.get(id) else {
            return Vec::new();
        };
        let due = machine.contents.tasks.iter().filter(|(task, observed)| {
            let known_assignment = self.known_assignment(id, task, observed.attempt);
            must_stop(observed.reported(), known_assignment).is_some()
        });
        let stop = |(task, observed): (&Task, &ObservedTask)| Command::Stop {
            task: task.to_string(),
            attempt: observed.attempt,
            grace_s: 0.0,
        };
        due.map(stop).collect()
    }

    /// Direct commands that are due now.
    pub fn due_commands(&mut self, cache: &StoreCache, now: Seconds) -> Vec<DirectCommand> {
        self.due_commands_within(
            cache,
            now,
            CommandCapacity {
                responsive: usize::MAX,
                unverified: usize::MAX,
            },
        )
    }

    /// Direct commands that are due now, as many as there is room for. The rest
    /// stay due: to give one up that was never sent would raise its machine's
    /// token for nothing.
    pub fn due_commands_within(
        &mut self,
        cache: &StoreCache,
        now: Seconds,
        mut room: CommandCapacity,
    ) -> Vec<DirectCommand> {
        self.machines_due_commands(now)
            .into_iter()
            .filter_map(|id| self.direct_command(id, cache, now, &mut room))
            .collect()
    }

    /// Machines that are to be sent a command: for a start or a stop that was not sent yet,
    /// because they were taken over, or because their heartbeat is late.
    fn machines_due_commands(&self, now: Seconds) -> BTreeSet<MachineId> {
        let placements = self
            .assigned
            .iter()
            .filter_map(|(_, a)| a.placement.as_ref());
        let mut due: BTreeSet<MachineId> = placements
            .filter(|placement| match placement.stop {
                None => !placement.start_sent,
                Some(_) => !placement.stop_sent,
            })
            .map(|placement| placement.machine.clone())
            .collect();
        let late = self.timing.report_s * LATE_REPORTS;
        let is_due = |machine: &Machine| {
            let never_heard = !machine.is_reconciled() && machine.session.id == 0;
            let is_late = || machine.silent_for(self.epoch_started_at, now) > late;
            machine.commands.probe_due || machine.used && (never_heard || is_late())
        };
        let to_probe = self.machines.iter().filter(|(_, machine)| is_due(machine));
        due.extend(to_probe.map(|(id, _)| id.clone()));
        due
    }

    /// The command to a machine that is due one, unless it can't be sent now.
    fn direct_command(
        &mut self,
        id: MachineId,
        cache: &StoreCache,
        now: Seconds,
        room: &mut CommandCapacity,
    ) -> Option<DirectCommand> {
        if self.transfers.is_fenced(&id) {
            return None;
        }
        let machine = self.machines.get_mut(&id)?;
        if !machine.accepts_commands(now) {
            return None;
        }
        let address = machine.identity.address.clone()?;
        let session = machine.session.id;
        let unverified = machine.commands.unanswered_since.is_some()
            || is_late(machine, self.timing.report_s, now);
        if !room.take_one(unverified) {
            return None;
        }
        machine.commands.probe_due = false;
        machine.commands.outstanding_since.get_or_insert(now);
        let (token, commands) = if machine.is_reconciled() {
            self.commands_for(&id, cache, true)
        } else {
            machine.commands.in_flight = true;
            self.restart_record.orders.questions += 1;
            let token = token(self.epoch, machine.token.counter);
            (token, machine.cancelled_stops(cache))
        };
        Some(DirectCommand {
            machine: id,
            address,
            body: CommandBatch {
                token,
                session,
                commands,
            },
            unverified,
        })
    }

    /// A direct command was answered with the worker's heartbeat, or not answered.
    pub fn command_completed(
        &mut self,
        id: &MachineId,
        sent: &CommandBatch,
        answer: Option<&Heartbeat>,
        cache: &StoreCache,
        now: Seconds,
    ) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.commands.in_flight = false;
        // What is known of it has gone over to its target: no more may change.
        if self.transfers.is_fenced(id) {
            return;
        }
        match answer {
            Some(heartbeat)
                if heartbeat.machine == *id && token_epoch(heartbeat.token) <= self.epoch =>
            {
                self.apply_command_response(sent, heartbeat, cache, now);
            }
            _ => self.record_command_failure(id, sent, now),
        }
    }

    /// Applies the heartbeat with which a worker answered a direct command.
    fn apply_command_response(
        &mut self,
        sent: &CommandBatch,
        heartbeat: &Heartbeat,
        cache: &StoreCache,
        now: Seconds,
    ) {
        let id = &heartbeat.machine;
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        // It has just been reached: what it is told reaches it. That renews no lease,
        // though: only an answered heartbeat does.
        machine.token.unacknowledged = None;
        machine.record_command_response(self.timing.report_s, now);
        machine.follow_token(self.epoch, heartbeat.token);
        let zone = machine.identity.zone.clone();
        if heartbeat.token > sent.token || heartbeat.session != sent.session {
            // The worker has dropped the command.
            machine.commands.probe_due = true;
            for task in self.assigned.names_on(id) {
                let placement = self.assigned.place_mut(&task);
                if let Some(placement) = placement.filter(|placement| !placement.confirmed) {
                    placement.start_sent = false;
                }
            }
        }
        self.apply_machine_state(heartbeat, cache, now);
        self.record_zone_contact(&zone, now);
    }

    /// Records that a direct command got no answer. It may be executed yet.
    fn record_command_failure(&mut self, id: &MachineId, sent: &CommandBatch, now: Seconds) {
        let report_s = self.timing.report_s;
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        // Whatever the command held is dead once the worker has seen a higher token. A
        // probe alone, or a stop, is harmless however late it comes; a higher token for
        // each that gets no answer would keep a machine unreconciled, and what runs
        // there renewed, for as long as commands don't reach it.
        let is_harmless = |command: &Command| matches!(command, Command::Stop { .. });
        if !sent.commands.iter().all(is_harmless) {
            machine.token.counter += 1;
        }
        // One taken over that doesn't answer the first probe is suspected at once, but
        // only if others of its zone are reached meanwhile. It is probed once more, as it
        // may only just be back from a short network partition.
        let asked_at = machine.commands.outstanding_since.unwrap_or(now);
        let contact = self.zone_contacts.get(&machine.identity.zone);
        let newly_suspect = is_late(machine, report_s, now)
            && contact.is_some_and(|contact| contact.last_at > asked_at)
            && machine.commands.unanswered_since.is_none();
        if newly_suspect {
            machine.commands.unanswered_since = Some(now);
            machine.commands.retry_after = Some(now);
        } else {
            machine.commands.retry_after = Some(now + report_s);
        }
    }
}

/// Whether a machine's heartbeat is late, or none was ever seen.
fn is_late(machine: &Machine, report_s: Seconds, now: Seconds) -> bool {
    let last_heartbeat_at = machine.session.last_heartbeat_at;
    last_heartbeat_at.is_none_or(|at| now - at > report_s * LATE_REPORTS)
}
