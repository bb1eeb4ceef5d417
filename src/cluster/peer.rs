//! What controllers say to each other, in CBOR, and the actors that say it.

use crate::clock::{self, Seconds};
use crate::config::settings::{max_peer_message_bytes, Settings};
use crate::shard::{Orders, ShardReport};
use crate::threads::spawn_detached;
use crate::wire::JobId;
use crossbeam::channel::{bounded, Sender};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A message between controllers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A shard's state, to the leader.
    #[serde(rename = "Part")]
    ShardReport(ShardReport),
    /// The leader's orders, to a shard.
    Orders(Orders),
    /// Nothing but a sign of life.
    #[serde(rename = "Hello")]
    KeepAlive,
}

impl PeerMessage {
    fn kind(&self) -> u8 {
        match self {
            PeerMessage::ShardReport(_) => 0,
            PeerMessage::Orders(_) => 1,
            PeerMessage::KeepAlive => 2,
        }
    }
}

/// That a job's cancellation was committed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CancellationNotice {
    pub job: JobId,
    /// The revision that its record has with it.
    #[serde(rename = "version")]
    pub revision: u64,
    /// The time of day, in milliseconds, that its record tells.
    pub at_ms: u64,
}

/// A message with its address.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Envelope {
    pub from: String,
    pub to: String,
    /// Whether the sender reaches the key-value store.
    #[serde(rename = "fresh")]
    pub store_reachable: bool,
    /// Whom the sender hears (and knows to reach the key-value store).
    #[serde(default)]
    #[serde(rename = "hears")]
    pub heard_peers: Vec<String>,
    /// Whom the sender can't reach directly.
    #[serde(default)]
    #[serde(rename = "apart")]
    pub unreachable_peers: Vec<String>,
    /// Jobs whose cancellation was committed a moment ago. Facts that need no
    /// epoch, said again and again for a while.
    #[serde(rename = "called_off", default)]
    pub cancellation_notices: Vec<CancellationNotice>,
    pub message: PeerMessage,
}

impl Envelope {
    /// Reads CBOR; `None` if it is no message.
    pub fn decode(bytes: &[u8]) -> Option<Envelope> {
        ciborium::from_reader(bytes).ok()
    }
    /// Writes CBOR.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        if let Err(e) = ciborium::into_writer(self, &mut bytes) {
            tracing::error!(%e, "a message can't be written");
        }
        bytes
    }
}

/// The senders, one for each of the others.
pub struct PeerTransport {
    boxes: HashMap<String, Sender<Envelope>>,
}

impl PeerTransport {
    /// Starts an actor for each other controller. A newer message of a kind
    /// replaces an older one that hasn't gone out. What can't be delivered
    /// goes through a third controller, since two zones may be apart while
    /// both still reach the rest.
    ///
    /// `tell` hears who can't be reached directly, and who can again.
    pub fn start<F>(settings: &Settings, tell: F) -> PeerTransport
    where
        F: Fn(&str, bool) -> bool + Send + Clone + 'static,
    {
        let mut boxes = HashMap::new();
        let timeout = settings.params.workers.report_s / 3.0;
        let limit = max_peer_message_bytes(settings.params.machine_limits.ram_mb);
        for m in &settings.members {
            let (mailbox, inbox) = bounded::<Envelope>(16);
            let others: Vec<SocketAddr> = settings
                .members
                .iter()
                .filter(|o| o.node_name != m.node_name)
                .map(|o| o.endpoint)
                .collect();
            let (to, name, tell) = (m.endpoint, m.node_name.clone(), tell.clone());
            spawn_detached(&format!("peer-{}", m.node_name), move || {
                let agent = ureq::AgentBuilder::new()
                    .timeout_connect(Duration::from_secs_f64(timeout / 2.0))
                    .timeout(Duration::from_secs_f64(timeout))
                    .redirects(0)
                    .build();
                let mut apart_until: Seconds = 0.0;
                let mut apart = false;
                while let Ok(first) = inbox.recv() {
                    let mut latest: HashMap<u8, Envelope> = HashMap::new();
                    latest.insert(first.message.kind(), first);
                    while let Ok(e) = inbox.try_recv() {
                        latest.insert(e.message.kind(), e);
                    }
                    for e in latest.into_values() {
                        let bytes = e.encode();
                        if bytes.len() > limit {
                            tracing::error!(
                                to = name,
                                bytes = bytes.len(),
                                limit,
                                "a message is too long"
                            );
                        }
                        if clock::now() >= apart_until {
                            let reached = send(&agent, to, &bytes);
                            if apart == reached {
                                apart = !reached;
                                tell(&name, apart);
                            }
                            if reached {
                                continue;
                            }
                            apart_until = clock::now() + timeout * 3.0;
                        }
                        let _ = others.iter().any(|o| send(&agent, *o, &bytes));
                    }
                }
            });
            boxes.insert(m.node_name.clone(), mailbox);
        }
        PeerTransport { boxes }
    }

    /// Queues a message; a full mailbox drops it, as all are repeated.
    pub fn send(&self, envelope: Envelope) {
        if let Some(b) = self.boxes.get(&envelope.to) {
            let _ = b.try_send(envelope);
        }
    }

    /// The names of the others.
    pub fn names(&self) -> impl Iterator<Item = &String> {
        self.boxes.keys()
    }
}

fn send(agent: &ureq::Agent, to: SocketAddr, bytes: &[u8]) -> bool {
    match agent.post(&format!("http://{to}/peer")).send_bytes(bytes) {
        Ok(r) => {
            let _ = r.into_string();
            true
        }
        Err(_) => false,
    }
}
