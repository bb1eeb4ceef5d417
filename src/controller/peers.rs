//! The state that the other controllers report, and the transport of messages to them.

use super::events::ControllerEvent;
use super::interval_timer::IntervalTimer;
use crate::clock::Seconds;
use crate::cluster::peer::{CancellationNotice, Envelope, PeerMessage, PeerTransport};
use crate::cluster::reachability::{Peer, Reachability};
use crate::config::settings::Settings;
use crossbeam::channel::Sender;
use std::collections::HashMap;

/// The controllers with which a peer last reported contact: those that it receives messages
/// from and that reach the key-value store.
struct PeerContacts {
    reported_at: Seconds,
    names: Vec<String>,
}

impl PeerContacts {
    fn contains(&self, name: &str) -> bool {
        self.names.iter().any(|contact| contact == name)
    }
}

/// A cancellation that this node committed. It is included in all messages to peers for a
/// while.
struct RecentCancellation {
    notice: CancellationNotice,
    committed_at: Seconds,
}

/// The state of the other controllers and the transport to them.
pub(super) struct Peers {
    node_name: String,
    transport: PeerTransport,
    reachability: Reachability,
    /// When each peer last reported that it reaches the key-value store.
    store_reached_at: HashMap<String, Seconds>,
    peer_contacts: HashMap<String, PeerContacts>,
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
            peer_contacts: HashMap::new(),
            recent_cancellations: Vec::new(),
            keepalive_timer: IntervalTimer::since_process_start(),
        }
    }

    /// Returns the record of which controllers can reach each other directly.
    pub(super) fn reachability(&self) -> &Reachability {
        &self.reachability
    }

    /// Records whether this node can reach a peer directly.
    pub(super) fn record_reachability(&mut self, name: &str, reachable: bool) {
        self.reachability.record_direct_contact(name, reachable);
    }

    /// Records what an envelope reports about its sender.
    pub(super) fn record_envelope(&mut self, envelope: &Envelope, now: Seconds) {
        let contacts = PeerContacts {
            reported_at: now,
            names: envelope.peers_with_store_access.clone(),
        };
        self.peer_contacts.insert(envelope.from.clone(), contacts);
        self.reachability.record_unreachable_peers(
            &envelope.from,
            envelope.unreachable_peers.clone(),
            now,
        );
        if envelope.store_reachable {
            self.store_reached_at.insert(envelope.from.clone(), now);
        }
    }

    /// Records a cancellation that this node committed. The peers are notified in the next
    /// round rather than after the keepalive interval, as they may own machines that run tasks
    /// of the job.
    pub(super) fn record_cancellation(&mut self, notice: CancellationNotice, now: Seconds) {
        self.recent_cancellations.push(RecentCancellation {
            notice,
            committed_at: now,
        });
        self.keepalive_timer = IntervalTimer::due_now();
    }

    /// Returns whether a peer reported less than `max_age` ago that it reaches the
    /// key-value store.
    pub(super) fn reaches_store(&self, name: &str, max_age: Seconds, now: Seconds) -> bool {
        self.store_reached_at
            .get(name)
            .is_some_and(|&at| now - at < max_age)
    }

    /// Returns whether any peer reported less than `max_age` ago that it reaches the
    /// key-value store.
    pub(super) fn any_reaches_store(&self, max_age: Seconds, now: Seconds) -> bool {
        self.store_reached_at.values().any(|&at| now - at < max_age)
    }

    /// Returns whether a message from any peer arrived less than `max_age` ago.
    pub(super) fn any_contact(&self, max_age: Seconds, now: Seconds) -> bool {
        self.peer_contacts
            .values()
            .any(|contacts| now - contacts.reported_at < max_age)
    }

    /// Returns whether `observer` last reported contact with this node but not with
    /// `target`.
    pub(super) fn lost_contact(&self, observer: &str, target: &str) -> bool {
        self.peer_contacts
            .get(observer)
            .is_some_and(|peers| peers.contains(&self.node_name) && !peers.contains(target))
    }

    /// Sends a message to a peer, together with this node's view of the other controllers.
    /// `store_synced` is whether this node reaches the key-value store.
    pub(super) fn send(&self, to: &str, message: PeerMessage, store_synced: bool) {
        self.transport.send(Envelope {
            from: self.node_name.clone(),
            to: to.into(),
            store_reachable: store_synced,
            peers_with_store_access: self.store_reached_at.keys().cloned().collect(),
            unreachable_peers: self.reachability.unreachable_peers(),
            cancellation_notices: self
                .recent_cancellations
                .iter()
                .map(|recent| recent.notice.clone())
                .collect(),
            message,
        });
    }

    /// Forwards an envelope to a peer that its sender cannot reach directly.
    pub(super) fn forward(&self, envelope: Envelope) {
        self.transport.send(envelope);
    }

    /// Discards cancellations, and peers' reports that they reach the key-value store, once
    /// they are `max_age` old.
    pub(super) fn expire(&mut self, max_age: Seconds, now: Seconds) {
        self.store_reached_at.retain(|_, at| now - *at < max_age);
        self.recent_cancellations
            .retain(|recent| now - recent.committed_at < max_age);
    }

    /// Sends a keepalive to every peer, if `interval` has elapsed since the last one.
    pub(super) fn send_keepalives(&mut self, interval: Seconds, store_synced: bool, now: Seconds) {
        if !self.keepalive_timer.restart_if_due(interval, now) {
            return;
        }
        for name in self.transport.peer_names() {
            self.send(name, PeerMessage::KeepAlive, store_synced);
        }
    }
}
