//! Transactions on the key-value store: their conditions, operations and outcomes.

use serde::Serialize;
use serde_json::Value;

/// A condition of a transaction: a key must be at a given revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Condition {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The revision that the key must be at; zero if it must not exist.
    #[serde(rename = "mark")]
    pub revision: u64,
}

impl Condition {
    /// Creates the condition that `key` is at `revision`, or does not exist if that is zero.
    pub fn new(key: impl Into<String>, revision: u64) -> Condition {
        Condition {
            key: key.into(),
            revision,
        }
    }
}

/// An operation of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
pub enum WriteOp {
    /// Writes a value.
    Put {
        /// The key.
        #[serde(rename = "put")]
        key: String,
        /// The value.
        value: Value,
        /// The id of the lease that the key is attached to: the store deletes the key when
        /// the lease expires.
        #[serde(rename = "roost", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        #[serde(rename = "delete")]
        key: String,
    },
}

impl WriteOp {
    /// Returns the key that the operation changes.
    pub fn key(&self) -> &str {
        match self {
            WriteOp::Put { key, .. } | WriteOp::Delete { key } => key,
        }
    }
}

/// The outcome of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitOutcome {
    /// The transaction was applied; the keys written are at this revision.
    Committed(u64),
    /// The transaction was not applied: these keys are not at the revisions of their
    /// conditions.
    Conflict(Vec<String>),
    /// The transaction was not applied: the store is unavailable, or the deadline of the
    /// write has passed.
    Refused,
    /// The transaction was not applied: it exceeded the store's rate limit.
    RateLimited,
    /// The transaction was not applied: an operation is malformed or exceeds a limit.
    Invalid,
    /// No valid response arrived: the transaction may have been applied, or may still be.
    Unknown,
}
