//! Workers' reports: which are newer than what is known, what they prove, and
//! what has become of the tasks that this part holds.

use super::machine::Machine;
use super::{finished, Held, Leave, Part, Phase, Place, ReportReply, Stop};
use crate::clock::Secs;
use crate::failure_detection::ReachedSpan;
use crate::jobs::Mirror;
use crate::membership::{token, token_counter, token_epoch};
use crate::wire::{cause, MachineId, Report, Task, TaskLine, TaskState};
use std::sync::Arc;

impl Part {
    /// A report came, and be it that this node has no right to answer it: its
    /// machine is not mute.
    pub fn note_contact(&mut self, id: &MachineId) {
        if let Some(m) = self.machines.get_mut(id) {
            m.unreported = None;
        }
    }

    /// Takes in a worker's report and composes the answer.
    pub fn report(&mut self, r: &Report, relayed: bool, mirror: &Mirror, now: Secs) -> ReportReply {
        if token_epoch(r.token) > self.epoch {
            // Somebody with a later epoch commands it: an answer of ours
            // would only be dropped.
            return ReportReply::Refuse;
        }
        let epoch = self.epoch;
        let known = mirror.roster.get(&r.machine).map(|(record, _)| record.clone());
        let m = self.machines.entry(r.machine.clone()).or_insert_with(|| Machine {
            kind: r.kind.clone(),
            zone: r.zone.clone(),
            spot: r.spot,
            ..Machine::unknown(now)
        });
        if let Some(record) = known {
            m.listed = true;
            m.up |= record.up;
        }
        if (r.session, r.seq) <= (m.session, m.seq) || r.session <= m.over {
            return ReportReply::Refuse;
        }
        m.answered = Some(now);
        m.unreported = None;
        if r.token > token(epoch, m.counter) {
            m.counter = token_counter(r.token) + 1;
        }
        m.note_seen_token(r, epoch, relayed, self.timing, now);
        self.take_in(r, mirror, now);
        if let Some(m) = self.machines.get(&r.machine).filter(|m| !relayed && m.heard == Some(now)) {
            let zone = m.zone.clone();
            self.reach(&zone, now);
        }
        let (token, commands) = self.compose(&r.machine, mirror, now, false);
        if let Some(m) = self.machines.get_mut(&r.machine) {
            m.told(r.token, token, now);
        }
        ReportReply::Commands { token, commands }
    }

    /// A machine of a zone was reached with nobody in between.
    pub(super) fn reach(&mut self, zone: &Arc<str>, now: Secs) {
        let known = self.reached.get(zone).copied();
        let stretch = ReachedSpan::reached(known, now, self.timing.report_s);
        self.reached.insert(zone.clone(), stretch);
        if known.is_some_and(|k| k.first != stretch.first) {
            // The zone is back: all its machines are asked at once, as what may
            // be on them waits for their answers.
            for m in self.machines.values_mut().filter(|m| m.zone == *zone) {
                m.direct_bad_until = m.direct_bad_until.min(now);
            }
        }
    }

    /// Takes in the newest known state of a machine.
    pub(super) fn take_in(&mut self, r: &Report, mirror: &Mirror, now: Secs) {
        let id = r.machine.clone();
        let Some(m) = self.machines.get_mut(&id) else { return };
        if (r.session, r.seq) <= (m.session, m.seq) || r.session <= m.over {
            return;
        }
        let new_session = r.session > m.session;
        if new_session {
            m.session_seen = now;
        }
        m.session = r.session;
        m.seq = r.seq;
        m.addr = Some(r.addr.as_str().into());
        // A copy of an old report may come long after its machine is gone, to
        // a node that never saw the first: only a worker that has seen a token
        // of this epoch is alive in it. One that was never used has sent no
        // report before; whoever is neither is asked, and proves it.
        let fresh = m.listed && !m.up;
        let alive = fresh || token_epoch(r.token) == self.epoch;
        if alive {
            m.asked = None;
            m.deaf = None;
        }
        if m.heard.is_none() && alive {
            m.idle_since = now;
            self.dirty = true;
        }
        if let Some(s) = r.notice_s {
            if m.notice_until.is_none() {
                self.dirty = true;
            }
            m.notice_until = Some(now + s);
        }
        m.lines = r
            .tasks
            .iter()
            .filter_map(|l: &TaskLine| Some((Task::parse(&l.task)?, (l.attempt, l.state, l.why.clone()))))
            .collect();
        if m.heard.is_none() && r.token < token(self.epoch, m.counter) {
            // Thought to be past its lease, and here it is: whatever it says
            // may be old until it has seen our token.
            m.certain = m.certain && !m.up;
        }
        if alive {
            m.heard = Some(now);
        }
        if !m.certain {
            if r.token >= token(self.epoch, m.counter) {
                m.certain = true;
                m.probe = false;
                self.dirty = true;
            } else {
                // Ask at once under our token: its answer is proof.
                m.probe = true;
            }
        }
        let certain = m.certain;
        if new_session {
            self.lose(&id, r.session);
        }
        if certain {
            self.reconcile(&id, r.token, mirror, now);
        }
        if let Some(m) = self.machines.get_mut(&id) {
            if !m.lines.is_empty() || self.held.count_on(&id) > 0 {
                m.idle_since = now;
            }
        }
    }

    pub(super) fn reconcile(&mut self, id: &MachineId, seen_token: u64, mirror: &Mirror, now: Secs) {
        let Some(m) = self.machines.get_mut(id) else { return };
        let lines = std::mem::take(&mut m.lines);
        let session = m.session;
        for (task, (attempt, state, why)) in &lines {
            match self.seen.get_mut(task) {
                Some(seen) => *seen = (*seen).max(*attempt),
                None => {
                    self.seen.insert(task.clone(), *attempt);
                }
            }
            match self.held.get(task) {
                Some(h) if h.attempt == *attempt && h.at.as_ref().is_some_and(|p| p.machine == *id) => {
                    self.progress(task, *state, why.as_deref(), now);
                }
                Some(h) if *state != TaskState::Ended || why.as_deref() == Some("done") => {
                    // Held under another attempt or elsewhere, yet it is here.
                    // What is seen wins over what is merely planned.
                    if h.at.is_none() || (why.as_deref() == Some("done") && h.at.is_none()) {
                        let stale = h.attempt;
                        tracing::warn!(%task, stale, attempt, "assigned task found on a machine");
                        self.held.place(task, *attempt, Place::adopted(id, session, seen_token, now));
                        self.progress(task, *state, why.as_deref(), now);
                        self.dirty = true;
                    }
                }
                Some(_) => {}
                None => {
                    // One that runs is held even if its job is cancelled: until it
                    // has stopped it takes its team's room.
                    let runs = *state != TaskState::Ended;
                    let done = !runs && why.as_deref() == Some("done");
                    if runs || done && !finished(mirror, task) {
                        self.held.insert(
                            task.clone(),
                            Held {
                                attempt: *attempt,
                                assignment: *attempt,
                                at: Some(Place::adopted(id, session, seen_token, now)),
                                since: now,
                                avoid: Vec::new(),
                                told: None,
                            },
                        );
                        self.progress(task, *state, why.as_deref(), now);
                        self.dirty = true;
                        if finished(mirror, task) {
                            self.recall(task, *attempt, Stop::Cancelled);
                        }
                    }
                }
            }
        }
        let absent: Vec<(Task, bool, bool, bool)> = self
            .held
            .on(id)
            .filter(|(t, h)| lines.get(*t).is_none_or(|l| l.0 != h.attempt))
            .map(|(t, h)| {
                let p = h.at.as_ref();
                let proof = p.is_some_and(|p| seen_token > p.start_token);
                (t.clone(), proof, p.is_some_and(|p| p.confirmed), p.is_some_and(|p| p.stop.is_some()))
            })
            .collect();
        for (task, proof, confirmed, stopping) in absent {
            if proof && (confirmed || stopping) {
                self.leave(&task, if stopping { Leave::Stopped } else { Leave::Lost });
            } else if proof {
                // Not there and can't come any more: start it anew.
                if let Some(p) = self.held.place_mut(&task) {
                    p.sent = false;
                    p.start_token = u64::MAX;
                }
            } else if confirmed || stopping {
                if let Some(m) = self.machines.get_mut(id) {
                    m.raise(self.epoch, seen_token);
                    m.probe = true;
                }
            }
        }
        if let Some(m) = self.machines.get_mut(id) {
            m.lines = lines;
        }
    }

    pub(super) fn progress(&mut self, task: &Task, state: TaskState, why: Option<&str>, now: Secs) {
        let Some(since) = self.held.get(task).map(|h| h.since) else { return };
        let Some(p) = self.held.place_mut(task) else { return };
        p.confirmed = true;
        p.sent = true;
        let phase = match state {
            // A gang that gathers does not run yet.
            TaskState::Fetching | TaskState::Gathering => Phase::Fetching,
            TaskState::Running | TaskState::Other => Phase::Running,
            TaskState::Saving => Phase::Saving,
            TaskState::Ended => match why {
                Some(cause::DONE) => Phase::Done,
                Some(cause::STOPPED) => return self.leave(task, Leave::Stopped),
                Some(cause::ERROR) => {
                    let machine = p.machine.clone();
                    if let Some(m) = self.machines.get_mut(&machine) {
                        m.errors.insert(task.job.clone());
                    }
                    return self.leave(task, Leave::Error);
                }
                // Refused: it can't have had its image under this assignment.
                Some(cause::NO_ROOM | cause::BUSY | cause::UNKNOWN) | None => {
                    return self.leave(task, Leave::Passed)
                }
                // The attempt of its gang is over, or something this version
                // doesn't know: neither is the fault of the machine or the job.
                Some(_) => return self.leave(task, Leave::Lost),
            },
        };
        if p.phase != phase {
            tracing::debug!(%task, ?phase, after = now - since, "now");
            p.phase = phase;
            p.since = now;
            self.dirty = true;
        }
    }
}
