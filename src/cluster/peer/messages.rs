//! The messages between controllers, in CBOR. Wire names that differ from the fields are
//! kept by serde renames.

use crate::shard::{Orders, ShardReport};
use crate::wire::JobId;
use serde::{Deserialize, Serialize};

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

/// The kinds of messages between controllers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum PeerMessageKind {
    ShardReport,
    Orders,
    KeepAlive,
}

impl PeerMessage {
    /// Its kind, by which a newer message replaces an older one.
    pub(super) fn kind(&self) -> PeerMessageKind {
        match self {
            PeerMessage::ShardReport(_) => PeerMessageKind::ShardReport,
            PeerMessage::Orders(_) => PeerMessageKind::Orders,
            PeerMessage::KeepAlive => PeerMessageKind::KeepAlive,
        }
    }
}

/// The notice that a job's cancellation was committed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CancellationNotice {
    /// The job.
    pub job: JobId,
    /// The revision that its record has with it.
    #[serde(rename = "version")]
    pub revision: u64,
    /// When it was cancelled, by its record: milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// A message with its sender and addressee, and what every message carries besides.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Envelope {
    /// The name of the sender.
    pub from: String,
    /// The name of the addressee; a third controller may pass the message on to it.
    pub to: String,
    /// Whether the sender reaches the key-value store.
    #[serde(rename = "fresh")]
    pub store_reachable: bool,
    /// The controllers that the sender hears from and that reach the key-value store.
    #[serde(default)]
    #[serde(rename = "hears")]
    pub heard_peers: Vec<String>,
    /// The controllers that the sender cannot reach directly.
    #[serde(default)]
    #[serde(rename = "apart")]
    pub unreachable_peers: Vec<String>,
    /// Jobs whose cancellation was committed a moment ago. They hold in every epoch, and
    /// are repeated for a while.
    #[serde(rename = "called_off", default)]
    pub cancellation_notices: Vec<CancellationNotice>,
    /// The message itself.
    pub message: PeerMessage,
}

impl Envelope {
    /// Reads an envelope from CBOR; `None` if the bytes are none.
    pub fn decode(bytes: &[u8]) -> Option<Envelope> {
        ciborium::from_reader(bytes).ok()
    }

    /// Writes it as CBOR.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        if let Err(error) = ciborium::into_writer(self, &mut bytes) {
            tracing::error!(%error, "peer message could not be encoded");
        }
        bytes
    }
}
