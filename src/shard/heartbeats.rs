//! Workers' reports: which are newer than what is known, what they prove, and
//! what has become of the tasks that this shard holds.

use super::machine::{Machine, MachineIdentity, ObservedTask};
use super::{HeartbeatReply, Shard};
use crate::clock::Seconds;
use crate::cluster::failure_detection::ZoneContactSpan;
use crate::cluster::membership::{token, token_counter, token_epoch};
use crate::store::cache::StoreCache;
use crate::wire::{Heartbeat, MachineId, Task, TaskReport};
use finchwood_reconciliation::machine_state::MachineEvent;
use std::sync::Arc;

impl Shard {
    /// A report came, and be it that this node has no right to answer it: its
    /// machine is not mute.
    pub fn record_contact(&mut self, id: &MachineId) {
        if let Some(m) = self.machines.get_mut(id) {
            m.commands.without_heartbeat = None;
        }
    }

    /// Takes in a worker's report and composes the answer.
    pub fn apply_heartbeat(
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
            .map(|machine| machine.record.clone());
        let m = self.machines.entry(r.machine.clone()).or_insert_with(|| {
            let identity = MachineIdentity {
                machine_type: r.machine_type.clone(),
                zone: r.zone.clone(),
                spot: r.spot,
                address: None,
            };
            Machine {
                source_renews_until,
                ..Machine::new(identity, now)
            }
        });
        if let Some(record) = known {
            m.registered = true;
            m.used |= record.in_use;
        }
        if m.session.is_outdated(r) {
            return HeartbeatReply::Refuse;
        }
        m.session.last_answered_at = Some(now);
        m.commands.without_heartbeat = None;
        if r.token > token(epoch, m.token.counter) {
            m.token.counter = token_counter(r.token) + 1;
        }
        m.record_seen_token(r, epoch, relayed, self.timing, now);
        self.apply_machine_state(r, cache, now);
        if let Some(m) = self
            .machines
            .get(&r.machine)
            .filter(|m| !relayed && m.session.last_heartbeat_at == Some(now))
        {
            let zone = m.identity.zone.clone();
            self.record_zone_contact(&zone, now);
        }
        let (token, commands) = self.commands_for(&r.machine, cache, false);
        if let Some(m) = self.machines.get_mut(&r.machine) {
            m.record_answer(r.token, token, now);
        }
        HeartbeatReply::Accepted { token, commands }
    }

    /// A machine of a zone was reached with nobody in between.
    pub(super) fn record_zone_contact(&mut self, zone: &Arc<str>, now: Seconds) {
        let known = self.zone_contacts.get(zone).copied();
        let stretch = ZoneContactSpan::extend(known, now, self.timing.report_s);
        self.zone_contacts.insert(zone.clone(), stretch);
        if known.is_some_and(|k| k.began_at != stretch.began_at) {
            // The zone is back: all its machines are asked at once, as what may
            // be on them waits for their answers.
            for m in self
                .machines
                .values_mut()
                .filter(|m| m.identity.zone == *zone)
            {
                m.commands.retry_after = m.commands.retry_after.map(|at| at.min(now));
            }
        }
    }

    /// Takes in the newest known state of a machine.
    pub(super) fn apply_machine_state(&mut self, r: &Heartbeat, cache: &StoreCache, now: Seconds) {
        let id = r.machine.clone();
        let Some(m) = self.machines.get_mut(&id) else {
            return;
        };
        if m.session.is_outdated(r) {
            return;
        }
        let new_session = r.session > m.session.id;
        if new_session {
            m.session.first_seen_at = Some(now);
        }
        m.session.id = r.session;
        m.session.sequence = r.seq;
        m.identity.address = Some(r.address.as_str().into());
        // A copy of an old report may come long after its machine is gone, to
        // a node that never saw the first: only a worker that has seen a token
        // of this epoch is alive in it. One that was never used has sent no
        // report before; whoever is neither is asked, and proves it.
        let fresh = m.registered && !m.used;
        let alive = fresh || token_epoch(r.token) == self.epoch;
        if alive {
            m.commands.outstanding_since = None;
            m.commands.unanswered_since = None;
        }
        if m.session.last_heartbeat_at.is_none() && alive {
            m.contents.idle_since = now;
            self.report_due = true;
        }
        // Left alone: a notice that lies in the past makes no sense.
        if let Some(s) = r.notice_s.filter(|s| *s >= 0.0) {
            if m.reclaimed_at.is_none() {
                self.report_due = true;
            }
            m.reclaimed_at = Some(now + s);
        }
        m.contents.tasks = r
            .tasks
            .iter()
            .filter_map(|l: &TaskReport| {
                let observed = ObservedTask {
                    attempt: l.attempt,
                    state: l.state,
                    cause: l.cause.clone(),
                };
                Some((Task::parse(&l.task)?, observed))
            })
            .collect();
        let was_certain = m.is_reconciled();
        let transition = m.state.after(MachineEvent::Heartbeat {
            first_contact: m.session.last_heartbeat_at.is_none(),
            used: m.used,
            shows_token: r.token >= token(self.epoch, m.token.counter),
        });
        m.state = transition.state;
        if alive {
            m.session.last_heartbeat_at = Some(now);
        }
        let certain = m.is_reconciled();
        if transition.ask {
            // Its answer under our token is proof.
            m.commands.probe_due = true;
        } else if !was_certain {
            m.commands.probe_due = false;
            self.report_due = true;
        }
        if new_session {
            self.expire_session(&id, r.session);
        }
        if certain {
            self.reconcile(&id, r.token, cache, now);
        }
        if let Some(m) = self.machines.get_mut(&id) {
            if !m.contents.tasks.is_empty() || self.assigned.count_on(&id) > 0 {
                m.contents.idle_since = now;
            }
        }
    }
}
