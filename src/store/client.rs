//! Typed calls of the key-value store.

use super::keys::KEY_PREFIX;
use super::{CallError, CommitOutcome, Condition, HttpClient, WriteOp};
use crate::clock::Seconds;
use crate::config::settings::Settings;
use serde::Deserialize;
use serde_json::{json, Value};

/// How long a call may take, in seconds: answers take hundredths of a second, and rarely
/// a few tenths.
const CALL_TIMEOUT_S: Seconds = 1.0;

/// The most entries of one page.
const ENTRIES_PER_PAGE: u32 = 1000;

/// The store's status for a key or a lease that does not exist.
const NOT_FOUND: u16 = 404;
/// The store's status for a transaction that is malformed or exceeds a limit.
const BAD_REQUEST: u16 = 400;
/// The store's status for a transaction with a condition that does not hold.
const CONFLICT: u16 = 409;
/// The store's status for a call or write beyond its rate limits.
const TOO_MANY_REQUESTS: u16 = 429;
/// The store's status while it is out of service.
const UNAVAILABLE: u16 = 503;

/// A key with its value and revision.
#[derive(Debug, Clone, Deserialize)]
pub struct KeyValue {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The value.
    pub value: Value,
    /// The revision of the key's last write.
    #[serde(rename = "mark")]
    pub revision: u64,
}

/// A change of a key.
#[derive(Debug, Clone, PartialEq)]
pub enum KeyChange {
    /// The key was written.
    Put {
        /// The key.
        key: String,
        /// The new value.
        value: Value,
        /// The revision of the write.
        revision: u64,
    },
    /// The key was deleted.
    Delete {
        /// The key.
        key: String,
        /// The revision of the deletion.
        revision: u64,
    },
}

/// A page of the keys of this program, in the order of the keys.
#[derive(Debug, Clone)]
pub struct EntryPage {
    /// The keys of the page.
    pub entries: Vec<KeyValue>,
    /// Whether there are more keys after the page.
    pub truncated: bool,
    /// The store's revision when the page was read.
    pub revision: u64,
}

/// The changes since an earlier revision, in the order of their revisions.
#[derive(Debug, Clone, PartialEq)]
pub struct KeyChanges {
    /// The changes.
    pub changes: Vec<KeyChange>,
    /// The store's revision up to which they are complete.
    pub revision: u64,
}

/// A client of the key-value store.
#[derive(Clone)]
pub struct StoreClient {
    http: HttpClient,
}

impl StoreClient {
    /// A client of the store that the settings name.
    pub fn new(settings: &Settings) -> StoreClient {
        StoreClient {
            http: HttpClient::new(settings.services.state, CALL_TIMEOUT_S),
        }
    }

    /// Reads a page of the keys of this program: the first, or those after the key `from`.
    ///
    /// # Errors
    /// The store refused the call, or its answer is missing or malformed.
    pub fn read_page(&self, from: Option<&str>) -> Result<EntryPage, CallError> {
        let from = from.map(|key| format!("&from={key}")).unwrap_or_default();
        let path = format!("/store?starts={KEY_PREFIX}{from}&most={ENTRIES_PER_PAGE}");
        let answer = self.http.call("GET", &path, None)?;
        let entries =
            serde_json::from_value(answer["entries"].clone()).map_err(|_| CallError::NoResponse)?;
        Ok(EntryPage {
            entries,
            truncated: answer["truncated"].as_bool().unwrap_or(false),
            revision: number(&answer, "ring")?,
        })
    }

    /// Reads one key; `None` if it does not exist.
    ///
    /// # Errors
    /// The store refused the call, or its answer is missing or malformed.
    pub fn get(&self, key: &str) -> Result<Option<KeyValue>, CallError> {
        match self.http.call("GET", &format!("/store/{key}"), None) {
            Ok(answer) => serde_json::from_value(answer)
                .map(Some)
                .map_err(|_| CallError::NoResponse),
            Err(CallError::Status(NOT_FOUND, _)) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Reads all changes after the revision `from`, without waiting for more.
    ///
    /// # Errors
    /// The store refused the call (with status 410 if it no longer has those changes), or
    /// its answer is missing or malformed.
    pub fn read_changes(&self, from: u64) -> Result<KeyChanges, CallError> {
        let path = format!("/changes?starts={KEY_PREFIX}&from={from}&wait_ms=0");
        let answer = self.http.call("GET", &path, None)?;
        let revision = number(&answer, "ring")?;
        let mut changes = Vec::new();
        for event in answer["events"].as_array().into_iter().flatten() {
            changes.extend(key_change(event)?);
        }
        Ok(KeyChanges { changes, revision })
    }

    /// Commits a transaction.
    pub fn commit(&self, conditions: &[Condition], ops: &[WriteOp]) -> CommitOutcome {
        let body = json!({"if": conditions, "writes": ops});
        match self.http.call("POST", "/commit", Some(&body)) {
            Ok(answer) => answer["ring"]
                .as_u64()
                .map_or(CommitOutcome::Unknown, CommitOutcome::Committed),
            Err(CallError::Status(CONFLICT, answer)) => {
                CommitOutcome::Conflict(failed_keys(&answer))
            }
            Err(CallError::Status(status, answer)) => refusal(status, &answer),
            Err(CallError::NoResponse) => CommitOutcome::Unknown,
        }
    }

    /// Creates a lease that lives for `life` seconds after each renewal. Returns its id.
    ///
    /// # Errors
    /// The store refused the call, or its answer is missing or malformed.
    pub fn create_lease(&self, life: Seconds) -> Result<u64, CallError> {
        let body = json!({"life_ms": (life * 1000.0) as u64});
        let answer = self.http.call("POST", "/leases", Some(&body))?;
        number(&answer, "roost")
    }

    /// Renews a lease; `Ok(false)` if it has expired.
    ///
    /// # Errors
    /// The store refused the call, or did not answer.
    pub fn renew_lease(&self, lease: u64) -> Result<bool, CallError> {
        let path = format!("/leases/{lease}/renew");
        match self.http.call("POST", &path, Some(&json!({}))) {
            Ok(_) => Ok(true),
            Err(CallError::Status(NOT_FOUND, _)) => Ok(false),
            Err(error) => Err(error),
        }
    }
}

/// A number that an answer must have.
fn number(answer: &Value, field: &str) -> Result<u64, CallError> {
    answer[field].as_u64().ok_or(CallError::NoResponse)
}

/// Parses a change; `None` for a kind of change that this version does not know.
fn key_change(event: &Value) -> Result<Option<KeyChange>, CallError> {
    let revision = number(event, "mark")?;
    let put = event["put"].as_str().map(|key| KeyChange::Put {
        key: key.into(),
        value: event["value"].clone(),
        revision,
    });
    let delete = || {
        event["delete"].as_str().map(|key| KeyChange::Delete {
            key: key.into(),
            revision,
        })
    };
    Ok(put.or_else(delete))
}

/// The keys whose conditions did not hold.
fn failed_keys(answer: &Value) -> Vec<String> {
    answer["failed"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|key| key.as_str().map(String::from))
        .collect()
}

/// What a status other than success or conflict says of a transaction. All statuses that
/// are not named here leave open whether it was applied.
fn refusal(status: u16, answer: &Value) -> CommitOutcome {
    if !matches!(status, TOO_MANY_REQUESTS | UNAVAILABLE) {
        tracing::warn!(status, %answer, "state service refused a transaction");
    }
    match status {
        TOO_MANY_REQUESTS => CommitOutcome::RateLimited,
        UNAVAILABLE => CommitOutcome::Refused,
        BAD_REQUEST => CommitOutcome::Invalid,
        _ => CommitOutcome::Unknown,
    }
}
