//! Handling of workers' heartbeats. This node responds to the heartbeats of the machines
//! that it owns. Other heartbeats are relayed to the owner of the machine, or their workers
//! are redirected to another controller.

use super::worker_redirects::OwnerAttempt;
use super::{Controller, RETRY_AFTER_S};
use crate::api::relay_pool::RelayedHeartbeat;
use crate::api::responder::Responder;
use crate::api::status;
use crate::clock::Seconds;
use crate::cluster::membership;
use crate::shard::HeartbeatReply;
use crate::wire::{Heartbeat, HeartbeatResponse, Redirect};

/// The way in which a heartbeat reaches the owner of its machine.
enum Route {
    /// The worker is redirected to the controller with this name.
    Redirect(String),
    /// This node relays the heartbeat to the owner.
    Relay,
}

impl Controller {
    /// Handles a heartbeat. `body` is its encoded form as received; `relayed` is true if
    /// another controller relayed it.
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
        // This node is fenced: its state may be outdated, so neither a response nor a
        // redirect would be reliable.
        let Some(valid_until) = self.may_act_until().filter(|until| now < *until) else {
            return responder.retry_later(status::SERVICE_UNAVAILABLE, RETRY_AFTER_S, "fenced");
        };
        let owner =
            membership::owner_by_shard_map(epoch, &self.cache.shard_map, &heartbeat.machine)
                .map(String::from);
        match owner {
            Some(owner) if owner == self.settings.node_name => {
                self.respond_to_heartbeat(&heartbeat, relayed, responder, valid_until, now);
            }
            _ if relayed => {
                responder.retry_later(status::SERVICE_UNAVAILABLE, RETRY_AFTER_S, "not the owner")
            }
            Some(owner) => self.forward_heartbeat(heartbeat, body, owner, responder, now),
            None => responder.retry_later(status::SERVICE_UNAVAILABLE, RETRY_AFTER_S, "no owner"),
        }
    }

    fn respond_to_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        relayed: bool,
        responder: Responder,
        valid_until: Seconds,
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
                    valid_until,
                );
            }
            HeartbeatReply::Refused => {
                responder.retry_later(status::SERVICE_UNAVAILABLE, RETRY_AFTER_S, "an old report")
            }
        }
    }

    /// Relays the heartbeat of another shard's worker to its owner, or redirects the
    /// worker.
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
        self.redirects.record_heartbeat(heartbeat, attempt, now);
        let relay = self.redirects.relay_to(&owner);
        match (route, relay) {
            (Route::Relay, Some(relay)) => {
                let deadline = now + self.redirects.relay_timeout();
                // If the queue is full, the responder is dropped and responds with 503.
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

    /// Chooses how a heartbeat reaches the owner, depending on which controllers can reach
    /// each other and on the worker's attempts to reach the owner.
    fn route_to_owner(
        &self,
        heartbeat: &Heartbeat,
        owner: &str,
        attempt: OwnerAttempt,
        now: Seconds,
    ) -> Route {
        let reachability = self.peers.reachability();
        if reachability.is_partitioned(&heartbeat.zone, owner, now) {
            // The worker presumably cannot reach its owner either. If this node cannot reach
            // the owner but can reach another controller that can, the worker is redirected
            // to that controller.
            return match reachability.alternate_controller(owner, now) {
                Some(target) => Route::Redirect(target.into()),
                None => Route::Relay,
            };
        }
        // A worker with a token of this epoch has received a response from its owner, and
        // would still send its heartbeats to the owner if it could reach it.
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
