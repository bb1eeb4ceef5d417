//! Transactions: the conditions under which they apply, their operations and outcomes.

use serde::Serialize;
use serde_json::Value;

/// A condition of a transaction: a key must be at this revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Condition {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// Its revision; zero if the key must not exist.
    #[serde(rename = "mark")]
    pub revision: u64,
}

impl Condition {
    /// The condition that `key` is at `revision`, or does not exist if that is zero.
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
        /// The id of the lease whose end deletes the key.
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

/// The outcome of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitOutcome {
    /// Applied; the keys written are at this revision.
    Committed(u64),
    /// Not applied: these keys are not at the revisions of their conditions.
    Conflict(Vec<String>),
    /// Not applied: the store is out of service, or the write's deadline has passed.
    Refused,
    /// Not applied: the store's rate limit is exceeded.
    RateLimited,
    /// Not applied: an operation is malformed or exceeds a limit.
    Invalid,
    /// There is no answer: it may have been applied, or may still be.
    Unknown,
}
