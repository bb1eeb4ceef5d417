//! The transport between controllers: one sender thread for each of the others.

use super::messages::{Envelope, PeerMessageKind};
use crate::clock::{self, Seconds};
use crate::config::settings::{max_peer_message_bytes, Member, Settings};
use crate::threads::spawn_detached;
use crossbeam::channel::{bounded, Receiver, Sender};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The messages that wait for one sender thread at most.
const MAILBOX_CAPACITY: usize = 16;

/// How long one delivery may take, as a divisor of the report interval.
const DELIVERIES_PER_REPORT: f64 = 3.0;

/// For how many timeouts of a delivery a peer that was not reached directly is not tried
/// again.
const DIRECT_RETRY_TIMEOUTS: f64 = 3.0;

/// The senders, one for each of the other controllers.
pub struct PeerTransport {
    mailboxes: HashMap<String, Sender<Envelope>>,
}

impl PeerTransport {
    /// Starts a detached sender thread for each other controller. A newer message of a
    /// kind replaces an older one that has not gone out. What cannot be delivered goes
    /// through a third controller, since two zones may be partitioned from each other
    /// while both still reach the rest.
    ///
    /// `notify` is called with the name of a controller and `true` once it cannot be
    /// reached directly any more, and with `false` once it can again.
    pub fn start<F>(settings: &Settings, notify: F) -> PeerTransport
    where
        F: Fn(&str, bool) -> bool + Send + Clone + 'static,
    {
        let mut mailboxes = HashMap::new();
        for peer in &settings.members {
            let (mailbox, inbox) = bounded::<Envelope>(MAILBOX_CAPACITY);
            let mut sender = PeerSender::new(settings, peer, notify.clone());
            spawn_detached(&format!("peer-{}", peer.node_name), move || {
                sender.run(&inbox);
            });
            mailboxes.insert(peer.node_name.clone(), mailbox);
        }
        PeerTransport { mailboxes }
    }

    /// Queues a message; a full mailbox drops it, as all messages are repeated.
    pub fn send(&self, envelope: Envelope) {
        if let Some(mailbox) = self.mailboxes.get(&envelope.to) {
            let _ = mailbox.try_send(envelope);
        }
    }

    /// The names of the other controllers.
    pub fn peer_names(&self) -> impl Iterator<Item = &String> {
        self.mailboxes.keys()
    }
}

/// The sender of messages to one peer; it runs in a thread of its own.
struct PeerSender<F> {
    peer: String,
    endpoint: SocketAddr,
    /// The endpoints of the other controllers, which may pass a message on.
    relays: Vec<SocketAddr>,
    agent: ureq::Agent,
    timeout_s: Seconds,
    /// The most bytes that a peer takes as one message.
    max_bytes: usize,
    /// When the peer is next tried directly; `None`: at once.
    direct_retry_at: Option<Seconds>,
    is_unreachable: bool,
    notify: F,
}

impl<F: Fn(&str, bool) -> bool> PeerSender<F> {
    fn new(settings: &Settings, peer: &Member, notify: F) -> PeerSender<F> {
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
            notify,
        }
    }

    /// Delivers messages until the transport is dropped.
    fn run(&mut self, inbox: &Receiver<Envelope>) {
        while let Ok(first) = inbox.recv() {
            for envelope in newest_of_each_kind(first, inbox).into_values() {
                self.deliver(&envelope);
            }
        }
    }

    /// Delivers a message directly, or else through the first relay that takes it.
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

    /// Tries the peer itself, unless it was not reached a moment ago; says whether it
    /// took the message.
    fn deliver_directly(&mut self, bytes: &[u8]) -> bool {
        if self
            .direct_retry_at
            .is_some_and(|retry_at| clock::now() < retry_at)
        {
            return false;
        }
        let is_reached = post(&self.agent, self.endpoint, bytes);
        if self.is_unreachable == is_reached {
            self.is_unreachable = !is_reached;
            (self.notify)(&self.peer, self.is_unreachable);
        }
        if !is_reached {
            self.direct_retry_at = Some(clock::now() + self.timeout_s * DIRECT_RETRY_TIMEOUTS);
        }
        is_reached
    }
}

/// The newest message of each kind among `first` and all that wait.
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

/// Posts a message to an endpoint; says whether it was taken.
fn post(agent: &ureq::Agent, endpoint: SocketAddr, bytes: &[u8]) -> bool {
    match agent
        .post(&format!("http://{endpoint}/peer"))
        .send_bytes(bytes)
    {
        Ok(response) => {
            // Read to the end, so that the connection can be used again.
            let _ = response.into_string();
            true
        }
        Err(_) => false,
    }
}
