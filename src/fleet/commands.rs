//! Commands to workers, as answers to reports or sent directly, and the tokens
//! that tell late copies from new ones.

use super::{finished, Part, Phase, Stop, LATE_REPORTS};
use crate::clock::Secs;
use crate::jobs::Mirror;
use crate::membership::{token, token_counter, token_epoch};
use crate::wire::{Call, Commands, MachineId, Report, TaskState};
use std::collections::BTreeSet;
use std::sync::Arc;

/// What to answer a worker.
#[derive(Debug, Clone, PartialEq)]
pub enum ReportReply {
    /// 200 with token and commands.
    Commands { token: u64, commands: Vec<Call> },
    /// 503: not entitled, or the report is older than one already seen.
    Refuse,
}

/// Commands to send directly.
#[derive(Debug, Clone)]
pub struct Direct {
    pub machine: MachineId,
    pub addr: Arc<str>,
    pub body: Commands,
    /// It has not been heard lately: it may not answer, and must not hold up
    /// what is meant for those that do.
    pub doubtful: bool,
}

/// How many direct commands may go out: to machines heard lately, and to those
/// in doubt.
#[derive(Debug, Clone, Copy)]
pub struct DirectRoom {
    pub sound: usize,
    pub doubtful: usize,
}

impl Part {
    /// The commands a machine is due. Reaps wait while a direct command is
    /// unanswered, and always carry a token above every earlier start's: a
    /// late copy of a start would run a reaped attempt again.
    pub(super) fn compose(
        &mut self,
        id: &MachineId,
        mirror: &Mirror,
        now: Secs,
        direct: bool,
    ) -> (u64, Vec<Call>) {
        let epoch = self.epoch;
        let Some(m) = self.machines.get_mut(id) else { return (token(epoch, 0), Vec::new()) };
        if !m.certain || m.spent() {
            return (token(epoch, m.counter), m.cancelled_stops(mirror));
        }
        let mut commands = Vec::new();
        if !m.in_flight {
            for (task, (attempt, state, why)) in &m.lines {
                let held = self.held.get(task).is_some_and(|h| {
                    h.attempt == *attempt && h.at.as_ref().is_some_and(|p| p.machine == *id)
                });
                let release = match why.as_deref() {
                    Some("done") => finished(mirror, task),
                    _ => !held,
                };
                if *state == TaskState::Ended && release {
                    commands.push(Call::Forget { task: task.to_string(), attempt: *attempt });
                }
            }
            if !commands.is_empty() {
                m.counter += 1;
            }
        }
        for (task, (attempt, state, _)) in &m.lines {
            let ours = self
                .held
                .get(task)
                .is_some_and(|h| h.attempt == *attempt && h.at.as_ref().is_some_and(|p| p.machine == *id));
            if *state != TaskState::Ended && !ours {
                commands.push(Call::Stop { task: task.to_string(), attempt: *attempt, grace_s: 0.0 });
            }
        }
        let now_token = token(epoch, m.counter);
        for task in &self.held.names_on(id) {
            let Some(attempt) = self.held.get(task).map(|h| h.attempt) else { continue };
            let Some(p) = self.held.place_mut(task) else { continue };
            if let Some(stop) = p.stop {
                if p.phase != Phase::Done {
                    let save = mirror.jobs.get(&task.job).and_then(|j| j.record.spec.as_ref());
                    let grace_s = match (stop, save) {
                        (Stop::Cancelled, _) | (_, None) => 0.0,
                        (_, Some(s)) => {
                            if s.checkpoint_s > 0.0 {
                                s.save_s
                            } else {
                                0.0
                            }
                        }
                    };
                    // A second stop would end a saving task.
                    if p.phase != Phase::Saving || grace_s == 0.0 {
                        commands.push(Call::Stop { task: task.to_string(), attempt, grace_s });
                    }
                    p.stop_sent = true;
                }
            } else if !p.confirmed && m.up {
                commands.push(Call::Start { task: task.to_string(), attempt });
                p.start_token = now_token;
                p.session = m.session;
                p.sent = true;
            }
        }
        if direct {
            m.in_flight = true;
        }
        let _ = now;
        (now_token, commands)
    }

    /// Direct commands that are due now.
    pub fn directs(&mut self, mirror: &Mirror, now: Secs) -> Vec<Direct> {
        self.directs_within(mirror, now, DirectRoom { sound: usize::MAX, doubtful: usize::MAX })
    }

    /// Direct commands that are due now, as many as there is room for. The rest
    /// stay due: to give one up that was never sent would raise its machine's
    /// token for nothing.
    pub fn directs_within(&mut self, mirror: &Mirror, now: Secs, mut room: DirectRoom) -> Vec<Direct> {
        let mut due: BTreeSet<MachineId> = BTreeSet::new();
        for (_, h) in self.held.iter() {
            if let Some(p) = &h.at {
                if (!p.sent && p.stop.is_none()) || (p.stop.is_some() && !p.stop_sent) {
                    due.insert(p.machine.clone());
                }
            }
        }
        // Ask machines that were taken over, and those that are late to report.
        let late = self.timing.report_s * LATE_REPORTS;
        let entered = self.entered;
        due.extend(
            self.machines
                .iter()
                .filter(|(_, m)| {
                    m.probe
                        || m.up && !m.certain && m.session == 0
                        || m.up && now - m.heard.unwrap_or(entered.max(m.since)) > late
                })
                .map(|(id, _)| id.clone()),
        );
        let mut out = Vec::new();
        for id in due {
            let Some(m) = self.machines.get_mut(&id) else { continue };
            if m.in_flight || now < m.direct_bad_until || m.session <= m.over && m.session != 0 {
                continue;
            }
            let (Some(addr), session) = (m.addr.clone(), m.session) else { continue };
            let doubtful = m.deaf.is_some() || m.heard.is_none_or(|h| now - h > late);
            let left = if doubtful { &mut room.doubtful } else { &mut room.sound };
            if *left == 0 {
                continue;
            }
            *left -= 1;
            m.probe = false;
            m.asked = m.asked.or(Some(now));
            if !m.certain {
                m.in_flight = true;
                let commands = m.cancelled_stops(mirror);
                let body = Commands { token: token(self.epoch, m.counter), session, commands };
                out.push(Direct { machine: id, addr, body, doubtful });
                continue;
            }
            let (token, commands) = self.compose(&id, mirror, now, true);
            out.push(Direct { machine: id, addr, body: Commands { token, session, commands }, doubtful });
        }
        out
    }

    /// A direct command was answered (with the worker's report), or not.
    pub fn direct_done(
        &mut self,
        id: &MachineId,
        sent: &Commands,
        answer: Option<&Report>,
        mirror: &Mirror,
        now: Secs,
    ) {
        let (epoch, report_s) = (self.epoch, self.timing.report_s);
        let Some(m) = self.machines.get_mut(id) else { return };
        m.in_flight = false;
        match answer {
            Some(r) if r.machine == *id && token_epoch(r.token) <= epoch => {
                // It has just been reached: what it is told reaches it. That
                // renews no lease, though: only an answered report does.
                m.unheeded = None;
                m.obeyed(report_s, now);
                if r.token > token(epoch, m.counter) {
                    m.counter = token_counter(r.token) + 1;
                }
                if r.token > sent.token || r.session != sent.session {
                    m.probe = true;
                    for task in self.held.names_on(id) {
                        if let Some(p) = self.held.place_mut(&task).filter(|p| !p.confirmed) {
                            p.sent = false;
                        }
                    }
                }
                let zone = m.zone.clone();
                self.take_in(r, mirror, now);
                self.reach(&zone, now);
            }
            _ => {
                // It may be executed yet: whatever it held is dead once the
                // worker has seen a higher token. A question alone, or a stop, is
                // harmless however late it comes; a higher token for each that
                // gets no answer would keep a machine uncertain, and what runs
                // there renewed, for as long as commands don't reach it.
                if sent.commands.iter().any(|c| !matches!(c, Call::Stop { .. })) {
                    m.counter += 1;
                }
                // One taken over that doesn't answer the first question is
                // suspected at once, but only if others of its zone are reached
                // meanwhile. It is asked once more, as it may only just be back
                // from a short cut.
                let late = m.heard.is_none_or(|h| now - h > report_s * LATE_REPORTS);
                let asked = m.asked.unwrap_or(now);
                let others = self.reached.get(&m.zone).is_some_and(|s| s.last > asked);
                let suspect = late && others && m.deaf.is_none();
                m.direct_bad_until = if suspect { now } else { now + report_s };
                if suspect {
                    m.deaf = Some(now);
                }
            }
        }
    }
}
