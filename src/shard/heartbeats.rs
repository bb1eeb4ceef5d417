//! Workers' heartbeats: which are newer than the known state, what they prove, and how
//! they change the state of their machines.

use super::machine::{Machine, MachineIdentity, ObservedTask};
use super::{HeartbeatReply, Shard};
use crate::clock::Seconds;
use crate::cluster::failure_detection::ZoneContactSpan;
use crate::cluster::membership::{token, token_epoch};
use crate::store::cache::StoreCache;
use crate::wire::{Heartbeat, MachineId, Task};
use finchwood_reconciliation::machine_state::MachineEvent;
use std::sync::Arc;

impl Shard {
    /// A heartbeat came, even if this controller has no right to answer it: its machine
    /// has not stopped reporting.
    pub fn record_heartbeat_received(&mut self, id: &MachineId) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.commands.without_heartbeat = None;
        }
    }

    /// Applies a worker's heartbeat and returns the answer; `relayed` if it came through
    /// another controller.
    pub fn apply_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        relayed: bool,
        cache: &StoreCache,
        now: Seconds,
    ) -> HeartbeatReply {
        let id = &heartbeat.machine;
        // A controller with a later epoch commands it: an answer of ours would only be
        // dropped. Or what its source knows of it is still to come.
        if token_epoch(heartbeat.token) > self.epoch || self.transfers.is_awaited(id) {
            return HeartbeatReply::Refused;
        }
        if self.transfers.is_fenced(id) {
            return self.answer_fenced(heartbeat, cache, now);
        }
        let (epoch, timing) = (self.epoch, self.timing);
        let machine = self.machine_of(heartbeat, cache, now);
        if machine.session.is_outdated(heartbeat) {
            return HeartbeatReply::Refused;
        }
        machine.session.last_answered_at = Some(now);
        machine.commands.without_heartbeat = None;
        machine.follow_token(epoch, heartbeat.token);
        machine.record_seen_token(heartbeat, epoch, relayed, timing, now);
        self.apply_machine_state(heartbeat, cache, now);
        let machine = self.machines.get(id);
        if let Some(machine) =
            machine.filter(|machine| !relayed && machine.session.last_heartbeat_at == Some(now))
        {
            let zone = machine.identity.zone.clone();
            self.record_zone_contact(&zone, now);
        }
        let (token, commands) = self.commands_for(id, cache, false);
        if let Some(machine) = self.machines.get_mut(id) {
            machine.record_answer(heartbeat.token, token, now);
        }
        HeartbeatReply::Accepted { token, commands }
    }

    /// The machine that sent a heartbeat; it is added if it was unknown.
    fn machine_of(
        &mut self,
        heartbeat: &Heartbeat,
        cache: &StoreCache,
        now: Seconds,
    ) -> &mut Machine {
        let source_renews_until = self.source_renews_until();
        let id = heartbeat.machine.clone();
        let machine = self.machines.entry(id).or_insert_with(|| {
            let identity = MachineIdentity {
                machine_type: heartbeat.machine_type.clone(),
                zone: heartbeat.zone.clone(),
                spot: heartbeat.spot,
                address: None,
            };
            Machine {
                source_renews_until,
                ..Machine::new(identity, now)
            }
        });
        if let Some(registered) = cache.registry.get(&heartbeat.machine) {
            machine.registered = true;
            machine.used |= registered.record.in_use;
        }
        machine
    }

    /// Records that a machine of a zone was reached directly, without a relay.
    pub(super) fn record_zone_contact(&mut self, zone: &Arc<str>, now: Seconds) {
        let before = self.zone_contacts.get(zone).copied();
        let contact = ZoneContactSpan::extend(before, now, self.timing.report_s);
        self.zone_contacts.insert(zone.clone(), contact);
        if before.is_none_or(|before| before.began_at == contact.began_at) {
            return;
        }
        // The zone is back: all its machines are probed at once, as what may
        // be on them waits for their answers.
        for machine in self.machines.values_mut() {
            if machine.identity.zone == *zone {
                let retry_after = &mut machine.commands.retry_after;
                *retry_after = retry_after.map(|at| at.min(now));
            }
        }
    }

    /// Applies the newest known state of a machine, from a heartbeat or from its answer to
    /// a direct command.
    pub(super) fn apply_machine_state(
        &mut self,
        heartbeat: &Heartbeat,
        cache: &StoreCache,
        now: Seconds,
    ) {
        let id = &heartbeat.machine;
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        if machine.session.is_outdated(heartbeat) {
            return;
        }
        let is_new_session = machine.follow_session(heartbeat, now);
        let was_reconciled = machine.is_reconciled();
        let event = MachineEvent::Heartbeat {
            first_contact: machine.session.last_heartbeat_at.is_none(),
            used: machine.used,
            shows_token: heartbeat.token >= token(self.epoch, machine.token.counter),
        };
        if machine.shows_life(heartbeat, self.epoch) {
            self.report_due |= machine.record_life(now);
        }
        self.report_due |= machine.record_reclaim_notice(heartbeat.notice_s, now);
        machine.record_reported_tasks(heartbeat);
        let transition = machine.state.after(event);
        machine.state = transition.state;
        if transition.ask {
            // Its answer under our token is proof.
            machine.commands.probe_due = true;
        } else if !was_reconciled {
            machine.commands.probe_due = false;
            self.report_due = true;
        }
        let is_reconciled = machine.is_reconciled();
        if is_new_session {
            self.expire_session(id, heartbeat.session);
        }
        if is_reconciled {
            self.reconcile(id, heartbeat.token, cache, now);
        }
        self.record_use(id, now);
    }

    /// Records that a machine is in use, if it has tasks or any are assigned to it.
    fn record_use(&mut self, id: &MachineId, now: Seconds) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        if !machine.contents.tasks.is_empty() || self.assigned.count_on(id) > 0 {
            machine.contents.idle_since = now;
        }
    }
}

impl Machine {
    /// Records that the machine's worker is alive. Returns whether it is the first sign of it.
    fn record_life(&mut self, now: Seconds) -> bool {
        self.commands.outstanding_since = None;
        self.commands.unanswered_since = None;
        let first_heartbeat = self.session.last_heartbeat_at.is_none();
        if first_heartbeat {
            self.contents.idle_since = now;
        }
        self.session.last_heartbeat_at = Some(now);
        first_heartbeat
    }

    /// Records that the cloud reclaims the machine in `notice_s` seconds. Returns whether
    /// that was not known. A notice that lies in the past makes no sense, and is ignored.
    fn record_reclaim_notice(&mut self, notice_s: Option<f64>, now: Seconds) -> bool {
        let Some(notice_s) = notice_s.filter(|notice_s| *notice_s >= 0.0) else {
            return false;
        };
        let first_notice = self.reclaimed_at.is_none();
        self.reclaimed_at = Some(now + notice_s);
        first_notice
    }

    /// Replaces the reported tasks by those of the newest heartbeat.
    fn record_reported_tasks(&mut self, heartbeat: &Heartbeat) {
        let reports = heartbeat.tasks.iter();
        self.contents.tasks = reports
            .filter_map(|report| Some((Task::parse(&report.task)?, ObservedTask::from(report))))
            .collect();
    }
}
