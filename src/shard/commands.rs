//! Commands to workers, as answers to reports or sent directly, and the tokens
//! that tell late copies from new ones.

use super::machine::ObservedTask;
use super::{Shard, Stop, TaskPhase, LATE_REPORTS};
use crate::clock::Seconds;
use crate::cluster::membership::{token, token_counter, token_epoch};
use crate::store::cache::StoreCache;
use crate::wire::{Command, CommandBatch, Heartbeat, MachineId, Task};
use finchwood_reconciliation::restart_record::StopCause;
use finchwood_reconciliation::stored_jobs::StoredJobs;
use finchwood_reconciliation::verdict::{may_forget, must_stop};
use std::collections::BTreeSet;
use std::sync::Arc;

/// What to answer a worker.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatReply {
    /// 200 with token and commands.
    Accepted { token: u64, commands: Vec<Command> },
    /// 503: not entitled, or the report is older than one already seen.
    Refuse,
}

/// Commands to send directly.
#[derive(Debug, Clone)]
pub struct DirectCommand {
    pub machine: MachineId,
    pub address: Arc<str>,
    pub body: CommandBatch,
    /// It has not been heard lately: it may not answer, and must not hold up
    /// what is meant for those that do.
    pub unverified: bool,
}

/// How many direct commands may go out: to machines heard lately, and to those
/// in doubt.
#[derive(Debug, Clone, Copy)]
pub struct CommandCapacity {
    pub responsive: usize,
    pub unverified: usize,
}

/// How long a task that is stopped may take to save.
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
        let Some(m) = self.machines.get_mut(id) else {
            return (token(epoch, 0), Vec::new());
        };
        if !m.is_reconciled() || m.token_exhausted() {
            return (token(epoch, m.token.counter), m.cancelled_stops(cache));
        }
        let reaps = if m.commands.in_flight {
            Vec::new()
        } else {
            self.forget_commands(id, cache)
        };
        let stops = self.stops_for_unassigned(id);
        let Some(m) = self.machines.get_mut(id) else {
            return (token(epoch, 0), Vec::new());
        };
        if !reaps.is_empty() {
            m.token.counter += 1;
        }
        m.commands.in_flight |= direct;
        let token = token(epoch, m.token.counter);
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

    /// The command that a held task is due, if any: a stop until it has stopped, a
    /// start until it is seen.
    fn command_for_assigned(
        &mut self,
        id: &MachineId,
        task: &Task,
        token: u64,
        cache: &StoreCache,
    ) -> Option<Command> {
        let (session, up) = self.machines.get(id).map(|m| (m.session.id, m.used))?;
        let attempt = self.assigned.get(task)?.attempt;
        let place = self.assigned.place_mut(task)?;
        let counts = &mut self.restart_record.orders;
        let Some(stop) = place.stop else {
            if place.confirmed || !up {
                return None;
            }
            place.start_token = Some(token);
            place.session = session;
            place.start_sent = true;
            counts.starts += 1;
            return Some(Command::Start {
                task: task.to_string(),
                attempt,
            });
        };
        if place.phase == TaskPhase::Done {
            return None;
        }
        place.stop_sent = true;
        let grace_s = saving_time(stop, task, cache);
        // A second stop would end a saving task.
        if place.phase == TaskPhase::Saving && grace_s > 0.0 {
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
        let Some(m) = self.machines.get(id) else {
            return Vec::new();
        };
        let due = m.contents.tasks.iter().filter(|(task, observed)| {
            let holding = self.holding(id, task, observed.attempt);
            may_forget(observed.reported(), holding, cache.stored_task(task)).is_some()
        });
        due.map(|(task, line)| Command::Forget {
            task: task.to_string(),
            attempt: line.attempt,
        })
        .collect()
    }

    /// Stops for what a machine shows to run and this shard doesn't hold there.
    fn stops_for_unassigned(&self, id: &MachineId) -> Vec<Command> {
        let Some(m) = self.machines.get(id) else {
            return Vec::new();
        };
        let due = m.contents.tasks.iter().filter(|(task, observed)| {
            let holding = self.holding(id, task, observed.attempt);
            must_stop(observed.reported(), holding).is_some()
        });
        let stop = |(task, line): (&Task, &ObservedTask)| Command::Stop {
            task: task.to_string(),
            attempt: line.attempt,
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
        let mut due: BTreeSet<MachineId> = BTreeSet::new();
        for (_, h) in self.assigned.iter() {
            if let Some(p) = &h.placement {
                if (!p.start_sent && p.stop.is_none()) || (p.stop.is_some() && !p.stop_sent) {
                    due.insert(p.machine.clone());
                }
            }
        }
        // Ask machines that were taken over, and those that are late to report.
        let late = self.timing.report_s * LATE_REPORTS;
        let entered = self.epoch_started_at;
        due.extend(
            self.machines
                .iter()
                .filter(|(_, m)| {
                    m.commands.probe_due
                        || m.used && !m.is_reconciled() && m.session.id == 0
                        || m.used && m.silent_for(entered, now) > late
                })
                .map(|(id, _)| id.clone()),
        );
        let mut out = Vec::new();
        for id in due {
            if self.transfers.is_fenced(&id) {
                continue;
            }
            let Some(m) = self.machines.get_mut(&id) else {
                continue;
            };
            if m.commands.in_flight
                || m.commands.retry_after.is_some_and(|at| now < at)
                || m.session.id != 0 && m.session.has_ended()
            {
                continue;
            }
            let (Some(address), session) = (m.identity.address.clone(), m.session.id) else {
                continue;
            };
            let unverified = m.commands.unanswered_since.is_some()
                || m.session.last_heartbeat_at.is_none_or(|h| now - h > late);
            let left = if unverified {
                &mut room.unverified
            } else {
                &mut room.responsive
            };
            if *left == 0 {
                continue;
            }
            *left -= 1;
            m.commands.probe_due = false;
            m.commands.outstanding_since = m.commands.outstanding_since.or(Some(now));
            if !m.is_reconciled() {
                m.commands.in_flight = true;
                let commands = m.cancelled_stops(cache);
                self.restart_record.orders.questions += 1;
                let body = CommandBatch {
                    token: token(self.epoch, m.token.counter),
                    session,
                    commands,
                };
                out.push(DirectCommand {
                    machine: id,
                    address,
                    body,
                    unverified,
                });
                continue;
            }
            let (token, commands) = self.commands_for(&id, cache, true);
            out.push(DirectCommand {
                machine: id,
                address,
                body: CommandBatch {
                    token,
                    session,
                    commands,
                },
                unverified,
            });
        }
        out
    }

    /// A direct command was answered (with the worker's report), or not.
    pub fn command_completed(
        &mut self,
        id: &MachineId,
        sent: &CommandBatch,
        answer: Option<&Heartbeat>,
        cache: &StoreCache,
        now: Seconds,
    ) {
        let (epoch, report_s) = (self.epoch, self.timing.report_s);
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        m.commands.in_flight = false;
        // What is known of it has gone over to its target: no more may change.
        if self.transfers.is_fenced(id) {
            return;
        }
        match answer {
            Some(r) if r.machine == *id && token_epoch(r.token) <= epoch => {
                // It has just been reached: what it is told reaches it. That
                // renews no lease, though: only an answered report does.
                m.token.unacknowledged = None;
                m.record_command_response(report_s, now);
                if r.token > token(epoch, m.token.counter) {
                    m.token.counter = token_counter(r.token) + 1;
                }
                if r.token > sent.token || r.session != sent.session {
                    m.commands.probe_due = true;
                    for task in self.assigned.names_on(id) {
                        if let Some(p) = self.assigned.place_mut(&task).filter(|p| !p.confirmed) {
                            p.start_sent = false;
                        }
                    }
                }
                let zone = m.identity.zone.clone();
                self.apply_machine_state(r, cache, now);
                self.record_zone_contact(&zone, now);
            }
            _ => {
                // It may be executed yet: whatever it held is dead once the
                // worker has seen a higher token. A question alone, or a stop, is
                // harmless however late it comes; a higher token for each that
                // gets no answer would keep a machine uncertain, and what runs
                // there renewed, for as long as commands don't reach it.
                if sent
                    .commands
                    .iter()
                    .any(|c| !matches!(c, Command::Stop { .. }))
                {
                    m.token.counter += 1;
                }
                // One taken over that doesn't answer the first question is
                // suspected at once, but only if others of its zone are reached
                // meanwhile. It is asked once more, as it may only just be back
                // from a short cut.
                let late = m
                    .session
                    .last_heartbeat_at
                    .is_none_or(|h| now - h > report_s * LATE_REPORTS);
                let asked = m.commands.outstanding_since.unwrap_or(now);
                let others = self
                    .zone_contacts
                    .get(&m.identity.zone)
                    .is_some_and(|s| s.last_at > asked);
                let suspect = late && others && m.commands.unanswered_since.is_none();
                m.commands.retry_after = Some(if suspect { now } else { now + report_s });
                if suspect {
                    m.commands.unanswered_since = Some(now);
                }
            }
        }
    }
}
