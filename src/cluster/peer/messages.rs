//! The messages between controllers, encoded as CBOR. Serde renames keep the names on the
//! wire where they differ from those of the fields.

use crate::shard::{Orders, ShardReport};
use crate::wire::JobId;
use serde::{Deserialize, Serialize};

/// A message between controllers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A report of a shard to the leader.
    #[serde(rename = "Part")]
    ShardReport(ShardReport),
    /// Orders of the leader to a shard.
    Orders(Orders),
    /// A message without content: the envelope alone shows that the sender is alive.
    #[serde(rename = "Hello")]
    KeepAlive,
}

/// The kind of a [`PeerMessage`]. Of the queued messages of a kind, only the newest is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum PeerMessageKind {
    ShardReport,
    Orders,
    KeepAlive,
}

impl PeerMessage {
    /// Returns the kind of this message.
    pub(super) fn kind(&self) -> PeerMessageKind {
        match self {
            PeerMessage::ShardReport(_) => PeerMessageKind::ShardReport,
            PeerMessage::Orders(_) => PeerMessageKind::Orders,
            PeerMessage::KeepAlive => PeerMessageKind::KeepAlive,
        }
    }
}

/// Notice that the cancellation of a job was committed to the key-value store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CancellationNotice {
    /// The cancelled job.
    pub job: JobId,
    /// The revision of the job's record that holds the cancellation.
    #[serde(rename = "version")]
    pub revision: u64,
    /// When the job was cancelled according to its record, in milliseconds since the Unix
    /// epoch.
    pub at_ms: u64,
}

/// A message with its sender and recipient, and the state of the sender that every message
/// carries.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Envelope {
    /// The node name of the sender.
    pub from: String,
    /// The node name of the recipient. Another controller that receives the message forwards
    /// it to the recipient.
    pub to: String,
    /// Whether the sender can reach the key-value store.
    #[serde(rename = "fresh")]
    pub store_reachable: bool,
    /// The controllers that the sender receives messages from and that can reach the
    /// key-value store.
    #[serde(default)]
    #[serde(rename = "hears")]
    pub peers_with_store_access: Vec<String>,
    /// The controllers that the sender cannot reach directly.
    #[serde(default)]
    #[serde(rename = "apart")]
    pub unreachable_peers: Vec<String>,
    /// The jobs whose cancellation was committed recently. Notices are valid in every epoch
    /// and are sent repeatedly for some time.
    #[serde(rename = "called_off", default)]
    pub cancellation_notices: Vec<CancellationNotice>,
    /// The message itself.
    pub message: PeerMessage,
}

impl Envelope {
    /// Decodes an envelope from CBOR; `None` if the bytes are no valid envelope.
    pub fn decode(bytes: &[u8]) -> Option<Envelope> {
        ciborium::from_reader(bytes).ok()
    }

    /// Encodes the envelope as CBOR. If that fails, the error is logged and the result is
    /// empty or incomplete.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        if let Err(error) = ciborium::into_writer(self, &mut bytes) {
            tracing::error!(%error, "peer message could not be encoded");
        }
        bytes
    }
}
