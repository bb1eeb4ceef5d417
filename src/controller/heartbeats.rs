//! Workers' reports: answered here by the machine's owner, passed on to the owner, or
//! sent on to another controller.

use super::{Controller, RELAY_REPORTS};
use crate::api::relay_pool::RelayedHeartbeat;
use crate::api::responder::Responder;
use crate::clock::Seconds;
use crate::cluster::membership;
use crate::shard::HeartbeatReply;
use crate::wire::{Heartbeat, HeartbeatResponse, Redirect};

/// What is known here of a worker that belongs to another shard.
pub(super) struct PassingWorker {
    /// When it was last here.
    pub(super) at: Seconds,
    /// When it last tried its owner, as far as is known.
    tried: Option<Seconds>,
    /// Session and sequence of its newest report.
    newest: (u64, u64),
    /// When a report newer than one before it came: a lone one may be a copy
    /// from long ago, and shows nothing.
    pub(super) met: Option<Seconds>,
}

impl PassingWorker {
    /// What is known after one more report, on `before`.
    fn after(
        before: Option<&PassingWorker>,
        report: &Heartbeat,
        tried: Option<Seconds>,
        now: Seconds,
    ) -> PassingWorker {
        let newest = (report.session, report.seq);
        let met = match before {
            Some(known) if newest > known.newest => Some(now),
            Some(known) => known.met,
            None => None,
        };
        let newest = before.map_or(newest, |known| known.newest.max(newest));
        PassingWorker {
            at: now,
            tried: tried.or(Some(now)),
            newest,
            met,
        }
    }
}

impl Controller {
    /// Answers a worker's report, of which `body` is the body as it came.
    pub(super) fn report(
        &mut self,
        report: Heartbeat,
        body: Vec<u8>,
        relayed: bool,
        responder: Responder,
        now: Seconds,
    ) {
        self.shard.record_contact(&report.machine);
        let Some(epoch) = self.my_epoch() else {
            return responder.retry_later(503, 1, "not a member now");
        };
        // Fenced: neither an answer nor a place to go would be to be trusted.
        if now >= self.entitled_until() {
            return responder.retry_later(503, 1, "fenced");
        }
        let owner = membership::owner_by_shard_map(epoch, &self.cache.shard_map, &report.machine)
            .map(String::from);
        match owner {
            Some(owner) if owner == self.settings.node_name => {
                self.answer_own_worker(&report, relayed, responder, now);
            }
            _ if relayed => responder.retry_later(503, 1, "not the owner"),
            Some(owner) => self.pass_on(report, body, owner, responder, now),
            None => responder.retry_later(503, 1, "no owner"),
        }
    }

    fn answer_own_worker(
        &mut self,
        report: &Heartbeat,
        relayed: bool,
        responder: Responder,
        now: Seconds,
    ) {
        match self
            .shard
            .apply_heartbeat(report, relayed, &self.cache, now)
        {
            HeartbeatReply::Accepted { token, commands } => {
                let body = HeartbeatResponse { token, commands };
                let until = self.entitled_until();
                responder.send_until(200, serde_json::to_vec(&body).unwrap_or_default(), until);
            }
            HeartbeatReply::Refuse => responder.retry_later(503, 1, "an old report"),
        }
    }

    /// A worker of another shard: sent to its owner, or, if it can't reach the owner,
    /// its report is relayed.
    fn pass_on(
        &mut self,
        report: Heartbeat,
        body: Vec<u8>,
        owner: String,
        responder: Responder,
        now: Seconds,
    ) {
        let lease_s = self.settings.params.workers.lease_s;
        let known = self.redirected.get(&report.machine);
        // One that was sent to its owner a moment ago and is here again can't
        // reach it.
        let tried = known
            .and_then(|worker| worker.tried)
            .filter(|at| now - at < lease_s * 2.0);
        let first = known.is_none_or(|worker| worker.tried.is_none());
        // One that obeyed this epoch's token already has been told by its owner,
        // and would be there if it could.
        let obeyed = self
            .my_epoch()
            .is_some_and(|e| membership::token_epoch(report.token) == e.number);
        let cut = self.reachability.is_partitioned(&report.zone, &owner, now);
        let relay = cut || tried.is_some() || obeyed && first;
        // While its zone is known to be apart from its owner's it need not try,
        // and goes on to one that reaches both.
        let around = if cut {
            self.reachability
                .alternate_controller(&owner, now)
                .map(String::from)
        } else {
            None
        };
        let passing = PassingWorker::after(known, &report, tried, now);
        self.redirected.insert(report.machine, passing);
        match self.relay_pools.get(&owner) {
            Some(way) if relay && around.is_none() => {
                let deadline = now + self.settings.params.workers.report_s * RELAY_REPORTS;
                // A full queue drops the reply, which then says 503.
                let _ = way.try_send(RelayedHeartbeat {
                    body,
                    responder,
                    deadline,
                });
            }
            _ => {
                let body = Redirect {
                    report_to: around.or(Some(owner)),
                };
                responder.send(421, serde_json::to_vec(&body).unwrap_or_default());
            }
        }
    }
}
