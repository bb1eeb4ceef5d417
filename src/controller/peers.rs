//! What this node knows of the other controllers, and how it reaches them.

use super::events::ControllerEvent;
use super::interval_timer::IntervalTimer;
use crate::clock::Seconds;
use crate::cluster::peer::{CancellationNotice, Envelope, PeerMessage, PeerTransport};
use crate::cluster::reachability::{Peer, Reachability};
use crate::config::settings::Settings;
use crossbeam::channel::Sender;
use std::collections::HashMap;

/// The peers that another controller hears, and when it said so.
struct HeardPeers {
    reported_at: Seconds,
    names: Vec<String>,
}

impl HeardPeers {
    fn contains(&self, name: &str) -> bool {
        self.names.iter().any(|heard| heard == name)
    }
}

/// A cancellation that was committed here, repeated to all peers for a while.
struct RecentCancellation {
    notice: CancellationNotice,
    committed_at: Seconds,
}

/// The other controllers.
pub(super) struct Peers {
    node_name: String,
    transport: PeerTransport,
    reachability: Reachability,
    /// When each peer last said that it reaches the key-value store.
    store_reached_at: HashMap<String, Seconds>,
    heard_peers: HashMap<String, HeardPeers>,
    recent_cancellations: Vec<RecentCancellation>,
    keepalive_timer: IntervalTimer,
}

impl Peers {
    /// Starts the transport to each of the other controllers.
    pub(super) fn start(settings: &Settings, events: &Sender<ControllerEvent>) -> Peers {
        let peers = settings
            .members
            .iter()
            .map(|member| Peer {
                name: member.node_name.clone(),
                zone: member.zone.clone(),
            })
            .collect();
        let events = events.clone();
        let transport = PeerTransport::start(settings, move |name, unreachable| {
            let event = ControllerEvent::PeerReachability {
                name: name.to_string(),
                reachable: !unreachable,
            };
            events.send(event).is_ok()
        });
        Peers {
            node_name: settings.node_name.clone(),
            transport,
            reachability: Reachability::new(
                &settings.zone,
                peers,
                settings.params.workers.report_s * 2.0,
            ),
            store_reached_at: HashMap::new(),
            heard_peers: HashMap::new(),
            recent_cancellations: Vec::new(),
            keepalive_timer: IntervalTimer::since_process_start(),
        }
    }

    /// Which controllers can reach each other.
    pub(super) fn reachability(&self) -> &Reachability {
        &self.reachability
    }

    /// Records whether this node reaches a peer directly.
    pub(super) fn record_reachability(&mut self, name: &str, reachable: bool) {
        self.reachability.record_direct_contact(name, reachable);
    }

    /// Records what an envelope says of its sender.
    pub(super) fn record_envelope(&mut self, envelope: &Envelope, now: Seconds) {
        let heard = HeardPeers {
            reported_at: now,
            names: envelope.heard_peers.clone(),
        };
        self.heard_peers.insert(envelope.from.clone(), heard);
        self.reachability.record_unreachable_peers(
            &envelope.from,
            envelope.unreachable_peers.clone(),
            now,
        );
        if envelope.store_reachable {
            self.store_reached_at.insert(envelope.from.clone(), now);
        }
    }

    /// Records a cancellation that was committed here. The peers hear of it in this
    /// round, as the machines may be theirs.
    pub(super) fn record_cancellation(&mut self, notice: CancellationNotice, now: Seconds) {
        self.recent_cancellations.push(RecentCancellation {
            notice,
            committed_at: now,
        });
        self.keepalive_timer = IntervalTimer::due_now();
    }

    /// Whether a peer said less than `max_age` ago that it reaches the store.
    pub(super) fn reaches_store(&self, name: &str, max_age: Seconds, now: Seconds) -> bool {
        self.store_reached_at
            .get(name)
            .is_some_and(|&at| now - at < max_age)
    }

    /// Whether any peer said less than `max_age` ago that it reaches the store.
    pub(super) fn any_reaches_store(&self, max_age: Seconds, now: Seconds) -> bool {
        self.store_reached_at.values().any(|&at| now - at < max_age)
    }

    /// Whether any peer was heard less than `max_age` ago.
    pub(super) fn any_heard(&self, max_age: Seconds, now: Seconds) -> bool {
        self.heard_peers
            .values()
            .any(|heard| now - heard.reported_at < max_age)
    }

    /// Whether `observer` hears this node, but not `target`.
    pub(super) fn misses(&self, observer: &str, target: &str) -> bool {
        self.heard_peers
            .get(observer)
            .is_some_and(|heard| heard.contains(&self.node_name) && !heard.contains(target))
    }

    /// Sends a message, with what this node knows of the others.
    pub(super) fn send(&self, to: &str, message: PeerMessage, store_synced: bool) {
        self.transport.send(Envelope {
            from: self.node_name.clone(),
            to: to.into(),
            store_reachable: store_synced,
            heard_peers: self.store_reached_at.keys().cloned().collect(),
            unreachable_peers: self.reachability.unreachable_peers(),
            cancellation_notices: self
                .recent_cancellations
                .iter()
                .map(|recent| recent.notice.clone())
                .collect(),
            message,
        });
    }

    /// Passes on an envelope for a peer that its sender can't reach directly.
    pub(super) fn forward(&self, envelope: Envelope) {
        self.transport.send(envelope);
    }

    /// Forgets what is older than `max_age`.
    pub(super) fn expire(&mut self, max_age: Seconds, now: Seconds) {
        self.store_reached_at.retain(|_, at| now - *at < max_age);
        self.recent_cancellations
            .retain(|recent| now - recent.committed_at < max_age);
    }

    /// Sends a keepalive to every peer, if the last one is older than `interval`.
    pub(super) fn send_keepalives(&mut self, interval: Seconds, store_synced: bool, now: Seconds) {
        if !self.keepalive_timer.restart_if_due(interval, now) {
            return;
        }
        for name in self.transport.peer_names() {
            self.send(name, PeerMessage::KeepAlive, store_synced);
        }
    }
}
