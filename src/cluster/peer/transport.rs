//! The transport of messages between controllers: one sender thread for each peer.

use super::messages::{Envelope, PeerMessageKind};
use crate::clock::{self, Seconds};
use crate::config::settings::{max_peer_message_bytes, Member, Settings};
use crate::threads::spawn_detached;
use crossbeam::channel::{bounded, Receiver, Sender};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The largest number of messages that can be queued for one sender thread.
const MAILBOX_CAPACITY: usize = 16;

/// The timeout of one delivery is the report interval divided by this number.
const DELIVERIES_PER_REPORT: f64 = 3.0;

/// The delay before a peer that could not be reached directly is tried again, as a multiple
/// of the timeout of one delivery.
const DIRECT_RETRY_TIMEOUTS: f64 = 3.0;

/// Sends messages to the other controllers, each through a sender thread of its own.
pub struct PeerTransport {
    mailboxes: HashMap<String, Sender<Envelope>>,
}

impl PeerTransport {
    /// Starts a detached sender thread for each other controller. A newer message replaces
    /// an older one of the same kind that has not been sent. A message that cannot be
    /// delivered directly is relayed through a third controller, since two zones may be
    /// partitioned from each other while both can still reach the others.
    ///
    /// `on_change` is called with the name of a controller and `true` when it has become
    /// unreachable directly, and with `false` when it is reachable again. Its return value is
    /// ignored.
    pub fn start<F>(settings: &Settings, on_change: F) -> PeerTransport
    where
        F: Fn(&str, bool) -> bool + Send + Clone + 'static,
    {
        let mut mailboxes = HashMap::new();
        for peer in &settings.members {
            let (mailbox, inbox) = bounded::<Envelope>(MAILBOX_CAPACITY);
            let mut sender = PeerSender::new(settings, peer, on_change.clone());
            spawn_detached(&format!("peer-{}", peer.node_name), move || {
                sender.run(&inbox);
            });
            mailboxes.insert(peer.node_name.clone(), mailbox);
        }
        PeerTransport { mailboxes }
    }

    /// Queues a message for its recipient. If the mailbox is full, the message is dropped:
    /// every message is sent repeatedly.
    pub fn send(&self, envelope: Envelope) {
        if let Some(mailbox) = self.mailboxes.get(&envelope.to) {
            let _ = mailbox.try_send(envelope);
        }
    }

    /// Returns the node names of the other controllers.
    pub fn peer_names(&self) -> impl Iterator<Item = &String> {
        self.mailboxes.keys()
    }
}

/// The sender of messages to one peer, which runs in its own thread.
struct PeerSender<F> {
    peer: String,
    endpoint: SocketAddr,
    /// The endpoints of the other controllers, which can forward a message to the peer.
    relays: Vec<SocketAddr>,
    agent: ureq::Agent,
    timeout_s: Seconds,
    /// The size of the largest message that a peer accepts, in bytes.
    max_bytes: usize,
    /// The time before which the peer is not tried directly; `None` if it may be tried now.
    direct_retry_at: Option<Seconds>,
    is_unreachable: bool,
    on_change: F,
}

impl<F: Fn(&str, bool) -> bool> PeerSender<F> {
    fn new(settings: &Settings, peer: &Member, on_change: F) -> PeerSender<F> {
        let timeout_s = settings.params.workers.report_s / DELIVERIES_PER_REPORT;
        let relays = settings
            .members
            .iter()
            .filter(|other| other.node_name != peer.node_name)
            .map(|other| other.endpoint)
            .collect();
        let agent = ureq::AgentBuilder::new()
            .timeout_connect(Duration::from_secs_f64(timeout_s / 2.0))
            .timeout(Duration::from_secs_f64(timeout_s))
            .redirects(0)
            .build();
        PeerSender {
            peer: peer.node_name.clone(),
            endpoint: peer.endpoint,
            relays,
            agent,
            timeout_s,
            max_bytes: max_peer_message_bytes(settings.params.machine_limits.ram_mb),
            direct_retry_at: None,
            is_unreachable: false,
            on_change,
        }
    }

    /// Delivers queued messages until the transport is dropped.
    fn run(&mut self, inbox: &Receiver<Envelope>) {
        while let Ok(first) = inbox.recv() {
            for envelope in newest_of_each_kind(first, inbox).into_values() {
                self.deliver(&envelope);
            }
        }
    }

    /// Delivers a message directly, or else through the first relay that accepts it. A
    /// message that exceeds the size limit of peers is logged and sent nevertheless.
    fn deliver(&mut self, envelope: &Envelope) {
        let bytes = envelope.encode();
        if bytes.len() > self.max_bytes {
            tracing::error!(
                peer = self.peer,
                bytes = bytes.len(),
                limit = self.max_bytes,
                "peer message exceeds the size limit"
            );
        }
        if !self.deliver_directly(&bytes) {
            let _ = self
                .relays
                .iter()
                .any(|relay| post(&self.agent, *relay, &bytes));
        }
    }

    /// Sends a message to the peer itself, unless a recent attempt failed. Returns whether
    /// the peer accepted the message.
    fn deliver_directly(&mut self, bytes: &[u8]) -> bool {
        if self
            .direct_retry_at
            .is_some_and(|retry_at| clock::now() < retry_at)
        {
            return false;
        }
        let is_accepted = post(&self.agent, self.endpoint, bytes);
        if self.is_unreachable == is_accepted {
            self.is_unreachable = !is_accepted;
            (self.on_change)(&self.peer, self.is_unreachable);
        }
        if !is_accepted {
            self.direct_retry_at = Some(clock::now() + self.timeout_s * DIRECT_RETRY_TIMEOUTS);
        }
        is_accepted
    }
}

/// Returns the newest message of each kind among `first` and all queued messages.
fn newest_of_each_kind(
    first: Envelope,
    inbox: &Receiver<Envelope>,
) -> HashMap<PeerMessageKind, Envelope> {
    let mut newest = HashMap::new();
    newest.insert(first.message.kind(), first);
    while let Ok(envelope) = inbox.try_recv() {
        newest.insert(envelope.message.kind(), envelope);
    }
    newest
}

/// Posts a message to an endpoint. Returns whether the endpoint accepted it.
fn post(agent: &ureq::Agent, endpoint: SocketAddr, bytes: &[u8]) -> bool {
    match agent
        .post(&format!("http://{endpoint}/peer"))
        .send_bytes(bytes)
    {
        Ok(response) => {
            // The body is read to its end so that the connection can be reused.
            let _ = response.into_string();
            true
        }
        Err(_) => false,
    }
}
