//! Workers' heartbeats: which of them are newer than the recorded state, what they prove, and
//! how they change the state of their machines.

use super::events::{describe, RefusalReason, RemovalProof};
use super::machine::{Machine, MachineIdentity, ObservedTask};
use super::{HeartbeatReply, Shard};
use crate::clock::Seconds;
use crate::cluster::failure_detection::ZoneContactSpan;
use crate::cluster::membership::token_epoch;
use crate::store::cache::StoreCache;
use crate::wire::{Heartbeat, MachineId, Task};
use finchwood_reconciliation::machine_state::MachineEvent;
use std::sync::Arc;

impl Shard {
    /// Records that a heartbeat of a machine has arrived, even if this controller may not
    /// reply to it: the machine has not stopped reporting.
    pub fn record_heartbeat_received(&mut self, id: &MachineId) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.commands.responses_without_heartbeat = None;
        }
    }

    /// Applies a worker's heartbeat and returns the reply. `relayed` is true if it arrived
    /// through another controller.
    pub fn apply_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        relayed: bool,
        cache: &StoreCache,
        now: Seconds,
    ) -> HeartbeatReply {
        let id = &heartbeat.machine;
        // Either a controller in a later epoch commands the worker, which would reject this
        // reply's token, or the source's state of the machine has not arrived yet.
        if token_epoch(heartbeat.token) > self.epoch {
            return self.refuse(heartbeat, RefusalReason::LaterEpoch);
        }
        if self.transfers.is_awaiting_state(id) {
            return self.refuse(heartbeat, RefusalReason::AwaitsTransfer);
        }
        if self.transfers.is_fenced(id) {
            return self.reply_to_fenced(heartbeat, cache, now);
        }
        let (epoch, timing) = (self.epoch, self.timing);
        let machine = self.machine_or_insert(heartbeat, cache, now);
        if machine.session.is_outdated(heartbeat) {
            return self.refuse(heartbeat, RefusalReason::Outdated);
        }
        machine.session.last_reply_at = Some(now);
        machine.commands.responses_without_heartbeat = None;
        machine.catch_up_with_token(epoch, heartbeat.token);
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
            machine.record_reply(heartbeat.token, token, now);
        }
        HeartbeatReply::Accepted { token, commands }
    }

    fn refuse(&mut self, heartbeat: &Heartbeat, reason: RefusalReason) -> HeartbeatReply {
        let refusals = self.events.refusals.entry(reason).or_default();
        refusals.record(|| describe(heartbeat));
        HeartbeatReply::Refused
    }

    /// Returns the machine that sent a heartbeat, and adds it if it was unknown.
    fn machine_or_insert(
        &mut self,
        heartbeat: &Heartbeat,
        cache: &StoreCache,
        now: Seconds,
    ) -> &mut Machine {
        let source_renews_until = self.source_renews_until();
        let id = heartbeat.machine.clone();
        let first_counter = self.issued_tokens.first_counter(&id);
        let machine = self.machines.entry(id).or_insert_with(|| {
            let identity = MachineIdentity {
                machine_type: heartbeat.machine_type.clone(),
                zone: heartbeat.zone.clone(),
                spot: heartbeat.spot,
                address: None,
            };
            Machine {
                source_renews_until,
                ..Machine::new(identity, first_counter, now)
            }
        });
        if let Some(registered) = cache.registry.get(&heartbeat.machine) {
            machine.registered = true;
            machine.record_mark(registered.record.in_use);
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
        // The zone is reachable again. All its machines are probed at once: the tasks that
        // may be on them can't be reconciled without their responses.
        for machine in self.machines.values_mut() {
            if machine.identity.zone == *zone {
                let retry_after = &mut machine.commands.retry_after;
                *retry_after = retry_after.map(|at| at.min(now));
            }
        }
    }

    /// Applies a machine's state, from a heartbeat or from a response to a direct command, if
    /// it is newer than the known one.
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
        let is_new_session = machine.record_session(heartbeat, now);
        let was_reconciled = machine.is_reconciled();
        let event = MachineEvent::Heartbeat {
            first_contact: machine.session.last_heartbeat_at.is_none(),
            owner_token_seen: machine.is_present_token_seen(heartbeat, self.epoch),
        };
        let of_this_epoch = token_epoch(heartbeat.token) == self.epoch;
        if of_this_epoch && !machine.has_issued(heartbeat.token, self.epoch) {
            self.events.late_heartbeats.record(|| describe(heartbeat));
        }
        if machine.proves_alive(heartbeat, self.epoch) {
            self.report_due |= machine.record_alive(now);
        }
        self.report_due |= machine.record_reclaim_notice(heartbeat.reclaimed_in_s, now);
        machine.record_reported_tasks(heartbeat);
        let transition = machine.state.after(event);
        machine.state = transition.state;
        if transition.probe {
            // A response that carries this owner's token proves what is on the machine.
            machine.commands.probe_due = true;
        } else if !was_reconciled {
            machine.commands.probe_due = false;
            self.report_due = true;
        }
        let is_reconciled = machine.is_reconciled();
        if is_new_session {
            self.remove_tasks_of_ended_sessions(id, heartbeat.session, RemovalProof::NewSession);
        }
        if is_reconciled {
            self.reconcile(id, heartbeat.token, cache, now);
        }
        self.record_use(id, now);
    }

    /// Resets the idle time of a machine that has tasks, reported or assigned.
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
    /// Records that the machine's worker is alive. Returns whether that is proven for the
    /// first time.
    fn record_alive(&mut self, now: Seconds) -> bool {
        self.commands.outstanding_since = None;
        self.commands.unanswered_since = None;
        let first_heartbeat = self.session.last_heartbeat_at.is_none();
        if first_heartbeat {
            self.contents.idle_since = now;
        }
        self.session.last_heartbeat_at = Some(now);
        first_heartbeat
    }

    /// Records the notice that the cloud reclaims the machine in `notice_s` seconds, and
    /// returns whether it is the first one. A negative time is invalid, and is ignored.
    fn record_reclaim_notice(&mut self, notice_s: Option<f64>, now: Seconds) -> bool {
        let Some(notice_s) = notice_s.filter(|notice_s| *notice_s >= 0.0) else {
            return false;
        };
        let first_notice = self.reclaim_at.is_none();
        self.reclaim_at = Some(now + notice_s);
        first_notice
    }

    /// Replaces the reported tasks with those of the newest heartbeat.
    fn record_reported_tasks(&mut self, heartbeat: &Heartbeat) {
        let reports = heartbeat.tasks.iter();
        self.contents.tasks = reports
            .filter_map(|report| Some((Task::parse(&report.task)?, ObservedTask::from(report))))
            .collect();
    }
}
