//! Workers' reports: which are newer than what is known, what they prove, and
//! what has become of the tasks that this shard holds.

use super::machine::Machine;
use super::{HeartbeatReply, Shard};
use crate::clock::Seconds;
use crate::cluster::failure_detection::ReachedSpan;
use crate::cluster::membership::{token, token_counter, token_epoch};
use crate::store::cache::StoreCache;
use crate::wire::{Heartbeat, MachineId, Task, TaskReport};
use finchwood_reconciliation::machine_state::MachineEvent;
use std::sync::Arc;

impl Shard {
    /// A report came, and be it that this node has no right to answer it: its
    /// machine is not mute.
    pub fn note_contact(&mut self, id: &MachineId) {
        if let Some(m) = self.machines.get_mut(id) {
            m.unreported = None;
        }
    }

    /// Takes in a worker's report and composes the answer.
    pub fn report(
        &mut self,
        r: &Heartbeat,
        relayed: bool,
        cache: &StoreCache,
        now: Seconds,
    ) -> HeartbeatReply {
        if token_epoch(r.token) > self.epoch {
            // Somebody with a later epoch commands it: an answer of ours
            // would only be dropped.
            return HeartbeatReply::Refuse;
        }
        if self.transfers.is_awaited(&r.machine) {
            return HeartbeatReply::Refuse;
        }
        if self.transfers.is_fenced(&r.machine) {
            return self.answer_fenced(r, cache, now);
        }
        let epoch = self.epoch;
        let source_renews_until = self.source_renews_until();
        let known = cache
            .registry
            .get(&r.machine)
            .map(|(record, _)| record.clone());
        let m = self
            .machines
            .entry(r.machine.clone())
            .or_insert_with(|| Machine {
                machine_type: r.machine_type.clone(),
                zone: r.zone.clone(),
                spot: r.spot,
                source_renews_until,
                ..Machine::unknown(now)
            });
        if let Some(record) = known {
            m.listed = true;
            m.up |= record.in_use;
        }
        if (r.session, r.seq) <= (m.session, m.seq) || r.session <= m.over {
            return HeartbeatReply::Refuse;
        }
        m.answered = Some(now);
        m.unreported = None;
        if r.token > token(epoch, m.counter) {
            m.counter = token_counter(r.token) + 1;
        }
        m.note_seen_token(r, epoch, relayed, self.timing, now);
        self.take_in(r, cache, now);
        if let Some(m) = self
            .machines
            .get(&r.machine)
            .filter(|m| !relayed && m.heard == Some(now))
        {
            let zone = m.zone.clone();
            self.reach(&zone, now);
        }
        let (token, commands) = self.compose(&r.machine, cache, false);
        if let Some(m) = self.machines.get_mut(&r.machine) {
            m.told(r.token, token, now);
        }
        HeartbeatReply::Accepted { token, commands }
    }

    /// A machine of a zone was reached with nobody in between.
    pub(super) fn reach(&mut self, zone: &Arc<str>, now: Seconds) {
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
    pub(super) fn take_in(&mut self, r: &Heartbeat, cache: &StoreCache, now: Seconds) {
        let id = r.machine.clone();
        let Some(m) = self.machines.get_mut(&id) else {
            return;
        };
        if (r.session, r.seq) <= (m.session, m.seq) || r.session <= m.over {
            return;
        }
        let new_session = r.session > m.session;
        if new_session {
            m.session_seen = now;
        }
        m.session = r.session;
        m.seq = r.seq;
        m.address = Some(r.address.as_str().into());
        // A copy of an old report may come long after its machine is gone, to
        // a node that never saw the first: only a worker that has seen a token
        // of this epoch is alive in it. One that was never used has sent no
        // report before; whoever is neither is asked, and proves it.
        let fresh = m.listed && !m.up;
        let alive = fresh || token_epoch(r.token) == self.epoch;
        if alive {
            m.asked = None;
            m.unanswered_since = None;
        }
        if m.heard.is_none() && alive {
            m.idle_since = now;
            self.dirty = true;
        }
        // Left alone: a notice that lies in the past makes no sense.
        if let Some(s) = r.notice_s.filter(|s| *s >= 0.0) {
            if m.notice_until.is_none() {
                self.dirty = true;
            }
            m.notice_until = Some(now + s);
        }
        m.lines = r
            .tasks
            .iter()
            .filter_map(|l: &TaskReport| {
                Some((Task::parse(&l.task)?, (l.attempt, l.state, l.cause.clone())))
            })
            .collect();
        let was_certain = m.certain();
        let transition = m.state.after(MachineEvent::Heartbeat {
            first_contact: m.heard.is_none(),
            used: m.up,
            shows_token: r.token >= token(self.epoch, m.counter),
        });
        m.state = transition.state;
        if alive {
            m.heard = Some(now);
        }
        let certain = m.certain();
        if transition.ask {
            // Its answer under our token is proof.
            m.probe = true;
        } else if !was_certain {
            m.probe = false;
            self.dirty = true;
        }
        if new_session {
            self.lose(&id, r.session);
        }
        if certain {
            self.reconcile(&id, r.token, cache, now);
        }
        if let Some(m) = self.machines.get_mut(&id) {
            if !m.lines.is_empty() || self.held.count_on(&id) > 0 {
                m.idle_since = now;
            }
        }
    }
}
