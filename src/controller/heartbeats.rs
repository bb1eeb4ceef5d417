//! Workers' heartbeats: answered here by the machine's owner, relayed to the owner, or
//! redirected to another controller.

use super::worker_redirects::OwnerAttempt;
use super::{Controller, RETRY_AFTER_S};
use crate::api::relay_pool::RelayedHeartbeat;
use crate::api::responder::Responder;
use crate::api::status;
use crate::clock::Seconds;
use crate::cluster::membership;
use crate::shard::HeartbeatReply;
use crate::wire::{Heartbeat, HeartbeatResponse, Redirect};

/// How a heartbeat gets to the machine's owner.
enum Route {
    /// The worker is to report to this controller.
    Redirect(String),
    /// It is relayed to the owner from here.
    Relay,
}

impl Controller {
    /// Answers a heartbeat, of which `body` is the body as it came.
    pub(super) fn handle_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        body: Vec<u8>,
        relayed: bool,
        responder: Responder,
        now: Seconds,
    ) {
        self.shard.record_heartbeat_received(&heartbeat.machine);
        let Some(epoch) = self.entered_epoch() else {
            return responder.retry_later(
                status::SERVICE_UNAVAILABLE,
                RETRY_AFTER_S,
                "not a member now",
            );
        };
        // Fenced: neither an answer nor a redirect could be trusted.
        let Some(until) = self.may_act_until().filter(|until| now < *until) else {
            return responder.retry_later(status::SERVICE_UNAVAILABLE, RETRY_AFTER_S, "fenced");
        };
        let owner =
            membership::owner_by_shard_map(epoch, &self.cache.shard_map, &heartbeat.machine)
                .map(String::from);
        match owner {
            Some(owner) if owner == self.settings.node_name => {
                self.answer_heartbeat(&heartbeat, relayed, responder, until, now);
            }
            _ if relayed => {
                responder.retry_later(status::SERVICE_UNAVAILABLE, RETRY_AFTER_S, "not the owner")
            }
            Some(owner) => self.forward_heartbeat(heartbeat, body, owner, responder, now),
            None => responder.retry_later(status::SERVICE_UNAVAILABLE, RETRY_AFTER_S, "no owner"),
        }
    }

    fn answer_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        relayed: bool,
        responder: Responder,
        until: Seconds,
        now: Seconds,
    ) {
        match self
            .shard
            .apply_heartbeat(heartbeat, relayed, &self.cache, now)
        {
            HeartbeatReply::Accepted { token, commands } => {
                let body = HeartbeatResponse { token, commands };
                responder.send_until(
                    status::OK,
                    serde_json::to_vec(&body).unwrap_or_default(),
                    until,
                );
            }
            HeartbeatReply::Refused => {
                responder.retry_later(status::SERVICE_UNAVAILABLE, RETRY_AFTER_S, "an old report")
            }
        }
    }

    /// Relays or redirects the heartbeat of another shard's worker.
    fn forward_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        body: Vec<u8>,
        owner: String,
        responder: Responder,
        now: Seconds,
    ) {
        let attempt = self.redirects.owner_attempt(&heartbeat.machine, now);
        let route = self.route_to_owner(&heartbeat, &owner, attempt, now);
        self.redirects.record(heartbeat, attempt, now);
        let relay = self.redirects.relay_to(&owner);
        match (route, relay) {
            (Route::Relay, Some(relay)) => {
                let deadline = now + self.redirects.relay_timeout();
                // A full queue drops the responder, which then says 503.
                let _ = relay.try_send(RelayedHeartbeat {
                    body,
                    responder,
                    deadline,
                });
            }
            (Route::Relay, None) => redirect(owner, responder),
            (Route::Redirect(target), _) => redirect(target, responder),
        }
    }

    /// How a heartbeat gets to the owner, considering who can't reach whom.
    fn route_to_owner(
        &self,
        heartbeat: &Heartbeat,
        owner: &str,
        attempt: OwnerAttempt,
        now: Seconds,
    ) -> Route {
        let reachability = self.peers.reachability();
        if reachability.is_partitioned(&heartbeat.zone, owner, now) {
            // The worker need not try its owner: it goes to a controller that reaches
            // both, if there is one.
            return match reachability.alternate_controller(owner, now) {
                Some(target) => Route::Redirect(target.into()),
                None => Route::Relay,
            };
        }
        // A worker that has this epoch's token already has been answered by its owner,
        // and would be there if it could.
        let has_token_of_epoch = self
            .entered_epoch()
            .is_some_and(|epoch| membership::token_epoch(heartbeat.token) == epoch.number);
        if attempt.is_recent() || has_token_of_epoch && attempt.never_tried {
            Route::Relay
        } else {
            Route::Redirect(owner.into())
        }
    }
}

fn redirect(target: String, responder: Responder) {
    let body = Redirect {
        report_to: Some(target),
    };
    responder.send(
        status::MISDIRECTED_REQUEST,
        serde_json::to_vec(&body).unwrap_or_default(),
    );
}
