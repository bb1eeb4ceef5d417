//! The client of the key-value store: typed calls, the rate budget, the poller that
//! feeds the cache, and the group commit.

pub mod cache;
mod client;
pub mod consistency;
mod group_commit;
mod http_client;
pub mod pending_writes;
mod rate_budget;
pub mod registry_pages;
mod token_bucket;
pub mod unreadable_records;
mod watch;

pub use client::StoreClient;
pub use group_commit::{ConditionalWrite, GroupCommitter};
pub use http_client::{CallError, HttpClient};
pub use rate_budget::{RateBudget, WriteClass, BULK_SHARE};
pub use token_bucket::TokenBucket;
pub use watch::{poll_interval, start_watch, WatchEvent};

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Every key of ours begins with this.
pub const PREFIX: &str = "fw/";

/// A key with its value and revision.
#[derive(Debug, Clone, Deserialize)]
pub struct KeyValue {
    #[serde(rename = "k")]
    pub key: String,
    pub value: Value,
    #[serde(rename = "mark")]
    pub revision: u64,
}

/// A change of a key.
#[derive(Debug, Clone, PartialEq)]
pub enum KeyChange {
    Put {
        key: String,
        value: Value,
        revision: u64,
    },
    Delete {
        key: String,
        revision: u64,
    },
}

/// One operation of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
pub enum WriteOp {
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
pub enum CommitOutcome {
    /// Applied at this revision.
    Committed(u64),
    /// A condition did not hold; these keys are at other versions.
    Conflict(Vec<String>),
    /// Certainly not executed.
    Refused,
    /// Certainly not executed, since more was asked than the service allows.
    RateLimited,
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
