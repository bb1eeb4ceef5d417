//! Commands to workers, in replies to heartbeats or sent directly, and the fencing tokens
//! by which workers reject late copies of them.

use super::machine::{Machine, ObservedTask};
use super::message_space::MessageSpace;
use super::{Shard, TaskPhase, TaskStopReason, LATE_AFTER_INTERVALS};
use crate::clock::Seconds;
use crate::cluster::membership::{token, token_epoch};
use crate::store::cache::StoreCache;
use crate::wire::{Command, CommandBatch, Heartbeat, MachineId, Task};
use finchwood_reconciliation::restart_record::StopCause;
use finchwood_reconciliation::stored_jobs::StoredJobs;
use finchwood_reconciliation::verdict::{may_forget, must_stop};
use std::collections::BTreeSet;
use std::sync::Arc;

/// The reply to a worker's heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatReply {
    /// Status 200, with a token and commands.
    Accepted {
        /// The fencing token of the commands.
        token: u64,
        /// The commands that the worker carries out, in order.
        commands: Vec<Command>,
    },
    /// Status 503: this controller may not command the worker now, or the heartbeat is
    /// no newer than one already seen.
    Refused,
}

/// Commands that are sent to a worker directly, not in reply to its heartbeat.
#[derive(Debug, Clone)]
pub struct DirectCommand {
    /// The machine whose worker receives it.
    pub machine: MachineId,
    /// The address at which the worker takes commands.
    pub address: Arc<str>,
    /// The request body.
    pub body: CommandBatch,
    /// Whether the machine has sent no heartbeat lately. It may not respond, and must not
    /// delay the commands to machines that do.
    pub unverified: bool,
}

/// The number of direct commands that may be sent now.
#[derive(Debug, Clone, Copy)]
pub struct CommandCapacity {
    /// Commands to machines that have sent a heartbeat lately.
    pub responsive: usize,
    /// Commands to the other machines, which may not respond.
    pub unverified: usize,
}

impl CommandCapacity {
    /// Takes the capacity for one command. Returns false if there is none left.
    fn try_acquire(&mut self, unverified: bool) -> bool {
        let remaining = if unverified {
            &mut self.unverified
        } else {
            &mut self.responsive
        };
        if *remaining == 0 {
            return false;
        }
        *remaining -= 1;
        true
    }
}

/// Returns the time that a stopped task has to save a checkpoint, in seconds.
fn checkpoint_grace_s(reason: TaskStopReason, task: &Task, cache: &StoreCache) -> Seconds {
    let spec = cache
        .jobs
        .get(&task.job)
        .and_then(|job| job.record.spec.as_ref());
    match (reason, spec) {
        (TaskStopReason::Cancelled, _) | (_, None) => 0.0,
        (_, Some(spec)) if spec.checkpoint_s > 0.0 => spec.save_s,
        (_, Some(_)) => 0.0,
    }
}

impl From<TaskStopReason> for StopCause {
    fn from(reason: TaskStopReason) -> StopCause {
        match reason {
            TaskStopReason::Cancelled => StopCause::NoLongerNeeded,
            TaskStopReason::Recalled => StopCause::Recalled,
            TaskStopReason::Preempted => StopCause::Preempted,
            TaskStopReason::Reclaim => StopCause::MachineReclaimed,
        }
    }
}

impl Shard {
    /// Returns the commands to be sent to a machine now, and their token. They are at most as
    /// many as a message may hold: stops first, then forgets, then starts. The rest stays due. `direct` is true if
    /// they are sent directly, not in a reply. Forget commands wait while a direct command is
    /// in flight, and always carry a token above that of every earlier start: otherwise a late
    /// copy of a start would run the forgotten attempt again.
    pub(super) fn commands_for(
        &mut self,
        id: &MachineId,
        cache: &StoreCache,
        direct: bool,
    ) -> (u64, Vec<Command>) {
        let epoch = self.epoch;
        let mut space = MessageSpace::new();
        let Some(machine) = self.machines.get_mut(id) else {
            return (token(epoch, 0), Vec::new());
        };
        if !machine.is_reconciled() || machine.token_exhausted() {
            return (
                token(epoch, machine.token.counter),
                space.take_fitting(machine.stops_for_cancelled(cache)),
            );
        }
        let may_forget = !machine.commands.in_flight;
        let stops = space.take_fitting(self.stops_for_unassigned(id));
        let stops_of_assigned = self.stops_for_assigned(id, &mut space, cache);
        let forgets = if may_forget {
            space.take_fitting(self.forget_commands(id, cache))
        } else {
            Vec::new()
        };
        let Some(machine) = self.machines.get_mut(id) else {
            return (token(epoch, 0), Vec::new());
        };
        if !forgets.is_empty() {
            machine.token.counter += 1;
        }
        machine.commands.in_flight |= direct;
        let token = token(epoch, machine.token.counter);
        let command_counts = &mut self.restart_record.commands;
        command_counts.forgets += forgets.len() as u64;
        *command_counts
            .stops
            .entry(StopCause::NotAssigned)
            .or_default() += stops.len() as u64;
        let mut commands = forgets;
        commands.extend(stops);
        commands.extend(stops_of_assigned);
        commands.extend(self.starts(id, token, &mut space));
        (token, commands)
    }

    /// Returns stop commands for the assigned tasks of a machine that are to be stopped, until
    /// they have stopped. Those that were not sent yet come first.
    fn stops_for_assigned(
        &mut self,
        id: &MachineId,
        space: &mut MessageSpace,
        cache: &StoreCache,
    ) -> Vec<Command> {
        let placements = self.assigned.on_machine(id).filter_map(|(task, assigned)| {
            let placement = assigned.placement.as_ref()?;
            placement.stop_reason?;
            Some((placement.stop_sent, task.clone()))
        });
        let mut stopping: Vec<(bool, Task)> = placements.collect();
        stopping.sort();
        let mut commands = Vec::new();
        for (_, task) in stopping {
            if space.try_take(&task.to_string()) {
                commands.extend(self.stop_command(&task, cache));
            }
        }
        commands
    }

    /// Returns the stop command for an assigned task that is to be stopped; `None` if the
    /// worker needs none.
    fn stop_command(&mut self, task: &Task, cache: &StoreCache) -> Option<Command> {
        let attempt = self.assigned.get(task)?.attempt;
        let placement = self.assigned.placement_mut(task)?;
        let stop_reason = placement.stop_reason?;
        if placement.phase == TaskPhase::Done {
            return None;
        }
        placement.stop_sent = true;
        let grace_s = checkpoint_grace_s(stop_reason, task, cache);
        // A second stop would end the task before its checkpoint is saved.
        if placement.phase == TaskPhase::Saving && grace_s > 0.0 {
            return None;
        }
        let stops = &mut self.restart_record.commands.stops;
        *stops.entry(stop_reason.into()).or_default() += 1;
        Some(Command::Stop {
            task: task.to_string(),
            attempt,
            grace_s,
        })
    }

    /// Returns start commands for the assigned tasks of a machine that it has not reported yet.
    fn starts(&mut self, id: &MachineId, token: u64, space: &mut MessageSpace) -> Vec<Command> {
        let Some(machine) = self.machines.get(id).filter(|machine| machine.used) else {
            return Vec::new();
        };
        let (session, state) = (machine.session.id, machine.state);
        let mut commands = Vec::new();
        for task in self.assigned.task_ids_on(id) {
            let Some(attempt) = self.assigned.get(&task).map(|assigned| assigned.attempt) else {
                continue;
            };
            let Some(placement) = self.assigned.placement_mut(&task) else {
                continue;
            };
            if placement.stop_reason.is_some() || placement.confirmed {
                continue;
            }
            let task_id = task.to_string();
            if !space.try_take(&task_id) {
                return commands;
            }
            placement.start_token = Some(token);
            placement.session = session;
            placement.start_sent = true;
            self.restart_record.commands.starts += 1;
            self.events.starts.record(|| {
                format!("{task}@{attempt} {id} {state:?} session {session} token {token}")
            });
            commands.push(Command::Start {
                task: task_id,
                attempt,
            });
        }
        commands
    }

    /// Returns forget commands for the ended tasks that a machine's worker need not report
    /// any longer.
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

    /// Returns stop commands for the tasks that a machine reports as not ended and that are
    /// not assigned to it.
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

    /// Returns the direct commands that are due now.
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

    /// Returns the direct commands that are due now, within `capacity`. The rest stay due and
    /// are not built: building a command may raise the token of its machine, needlessly if the
    /// command is then not sent.
    pub fn due_commands_within(
        &mut self,
        cache: &StoreCache,
        now: Seconds,
        mut capacity: CommandCapacity,
    ) -> Vec<DirectCommand> {
        self.machines_due_commands(now)
            .into_iter()
            .filter_map(|id| self.direct_command(id, cache, now, &mut capacity))
            .collect()
    }

    /// Returns the machines to send a direct command to: a start or a stop is unsent, a
    /// probe is due, its worker has an address but has never reported here, or its heartbeat is
    /// late.
    fn machines_due_commands(&self, now: Seconds) -> BTreeSet<MachineId> {
        let placements = self
            .assigned
            .iter()
            .filter_map(|(_, assigned)| assigned.placement.as_ref());
        let mut due: BTreeSet<MachineId> = placements
            .filter(|placement| match placement.stop_reason {
                None => !placement.start_sent,
                Some(_) => !placement.stop_sent,
            })
            .map(|placement| placement.machine.clone())
            .collect();
        let late = self.timing.report_s * LATE_AFTER_INTERVALS;
        let is_due = |machine: &Machine| {
            let never_reported = !machine.is_reconciled() && machine.session.id == 0;
            let is_late = || machine.silent_for(self.epoch_started_at, now) > late;
            let has_address = machine.identity.address.is_some();
            machine.commands.probe_due || has_address && (never_reported || is_late())
        };
        let to_probe = self.machines.iter().filter(|(_, machine)| is_due(machine));
        due.extend(to_probe.map(|(id, _)| id.clone()));
        due
    }

    /// Returns the direct command for a machine; `None` if none can be sent to it now.
    fn direct_command(
        &mut self,
        id: MachineId,
        cache: &StoreCache,
        now: Seconds,
        capacity: &mut CommandCapacity,
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
        if !capacity.try_acquire(unverified) {
            return None;
        }
        machine.commands.probe_due = false;
        machine.commands.outstanding_since.get_or_insert(now);
        let (token, commands) = if machine.is_reconciled() {
            self.commands_for(&id, cache, true)
        } else {
            machine.commands.in_flight = true;
            self.restart_record.commands.probes += 1;
            let token = token(self.epoch, machine.token.counter);
            let stops = MessageSpace::new().take_fitting(machine.stops_for_cancelled(cache));
            (token, stops)
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

    /// Applies the outcome of a direct command: the worker's response, which has the form of
    /// a heartbeat, or `None` if there was none.
    pub fn command_completed(
        &mut self,
        id: &MachineId,
        sent: &CommandBatch,
        response: Option<&Heartbeat>,
        cache: &StoreCache,
        now: Seconds,
    ) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.commands.in_flight = false;
        // The machine's state was recorded for the target of its transfer, and must not
        // change any more.
        if self.transfers.is_fenced(id) {
            return;
        }
        match response {
            Some(heartbeat)
                if heartbeat.machine == *id && token_epoch(heartbeat.token) <= self.epoch =>
            {
                self.apply_command_response(sent, heartbeat, cache, now);
            }
            _ => self.record_command_failure(id, sent, now),
        }
    }

    /// Applies a worker's response to a direct command.
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
        // The worker has just responded, so that commands do reach it. Its lease is renewed
        // only by replies to heartbeats, though, and not by direct commands.
        machine.token.unacknowledged = None;
        machine.record_command_response(self.timing.report_s, now);
        machine.catch_up_with_token(self.epoch, heartbeat.token);
        let zone = machine.identity.zone.clone();
        if heartbeat.token > sent.token || heartbeat.session != sent.session {
            // The worker has rejected the commands: their token or their session is outdated.
            machine.commands.probe_due = true;
            for task in self.assigned.task_ids_on(id) {
                let placement = self.assigned.placement_mut(&task);
                if let Some(placement) = placement.filter(|placement| !placement.confirmed) {
                    placement.start_sent = false;
                }
            }
        }
        self.apply_machine_state(heartbeat, cache, now);
        self.record_zone_contact(&zone, now);
    }

    /// Records that a direct command got no response. It may still be executed.
    fn record_command_failure(&mut self, id: &MachineId, sent: &CommandBatch, now: Seconds) {
        let report_s = self.timing.report_s;
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        // A worker that has seen a higher token rejects the commands, should they still
        // arrive. Probes and stops are harmless however late they arrive. If each of them
        // raised the token when it got no response, the machine would stay unreconciled, and
        // the lease of the tasks on it would be renewed, for as long as commands don't reach
        // it.
        let is_harmless = |command: &Command| matches!(command, Command::Stop { .. });
        if !sent.commands.iter().all(is_harmless) {
            machine.token.counter += 1;
        }
        // A machine that doesn't respond to its first probe counts as unresponsive at once,
        // but only if others of its zone were reached meanwhile. It is probed once more
        // without delay, as a short network partition may only just have ended.
        let probed_at = machine.commands.outstanding_since.unwrap_or(now);
        let contact = self.zone_contacts.get(&machine.identity.zone);
        let newly_unresponsive = is_late(machine, report_s, now)
            && contact.is_some_and(|contact| contact.last_at > probed_at)
            && machine.commands.unanswered_since.is_none();
        if newly_unresponsive {
            machine.commands.unanswered_since = Some(now);
            machine.commands.retry_after = Some(now);
        } else {
            machine.commands.retry_after = Some(now + report_s);
        }
    }
}

/// Whether a machine's heartbeat is late, or there has been none.
fn is_late(machine: &Machine, report_s: Seconds, now: Seconds) -> bool {
    let last_heartbeat_at = machine.session.last_heartbeat_at;
    last_heartbeat_at.is_none_or(|at| now - at > report_s * LATE_AFTER_INTERVALS)
}
