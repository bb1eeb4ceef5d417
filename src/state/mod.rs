//! The client of the state service: typed calls, the rate budget, the poller that
//! feeds the mirror, and the group commit.

mod bucket;
mod budget;
mod http_client;
mod poller;
mod store;
mod writer;

pub use bucket::Bucket;
pub use budget::{Budget, Class, BULK_SHARE};
pub use http_client::{CallError, Http};
pub use poller::{poll_gap, poller, Feed};
pub use store::Store;
pub use writer::{Write, Writer};

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Every key of ours begins with this.
pub const PREFIX: &str = "fw/";

/// A key with its value and revision.
#[derive(Debug, Clone, Deserialize)]
pub struct Entry {
    #[serde(rename = "k")]
    pub key: String,
    pub value: Value,
    #[serde(rename = "mark")]
    pub version: u64,
}

/// A change of a key.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    Put {
        key: String,
        value: Value,
        version: u64,
    },
    Delete {
        key: String,
        version: u64,
    },
}

/// One operation of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Op {
    Put {
        #[serde(rename = "put")]
        key: String,
        value: Value,
        #[serde(rename = "roost", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "delete")]
        key: String,
    },
}

/// What became of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// Applied at this revision.
    Done(u64),
    /// A condition did not hold; these keys are at other versions.
    Conflict(Vec<String>),
    /// Certainly not executed.
    Refused,
    /// Certainly not executed, since more was asked than the service allows.
    TooMuch,
    /// Certainly not executed, as some part of it is malformed or over a limit.
    Invalid,
    /// It may have been executed, or may yet be.
    Unknown,
}

/// Starts a named thread with a small stack.
pub fn spawn(name: &str, body: impl FnOnce() + Send + 'static) {
    let started = std::thread::Builder::new()
        .name(name.into())
        .stack_size(512 * 1024)
        .spawn(body);
    if let Err(e) = started {
        tracing::error!(name, %e, "cannot start a thread");
    }
}
