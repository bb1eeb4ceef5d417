//! The client of the key-value store, with a typed method for each call.

use super::keys::KEY_PREFIX;
use super::{CallError, CommitOutcome, Condition, HttpClient, WriteOp};
use crate::clock::Seconds;
use crate::config::settings::Settings;
use serde::Deserialize;
use serde_json::{json, Value};

/// The timeout of a call, in seconds. The store responds within hundredths of a second, and
/// rarely within a few tenths.
const CALL_TIMEOUT_S: Seconds = 1.0;

/// The largest number of keys in a page.
const ENTRIES_PER_PAGE: u32 = 1000;

/// The HTTP status for a key or a lease that does not exist.
const NOT_FOUND: u16 = 404;
/// The HTTP status for a transaction that is malformed or exceeds a limit.
const BAD_REQUEST: u16 = 400;
/// The HTTP status for a transaction with a condition that does not hold.
const CONFLICT: u16 = 409;
/// The HTTP status for a call or write that exceeds a rate limit.
const TOO_MANY_REQUESTS: u16 = 429;
/// The HTTP status while the store is unavailable.
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

/// A page of the keys under [`KEY_PREFIX`], in key order.
#[derive(Debug, Clone)]
pub struct EntryPage {
    /// The keys of the page, with their values.
    pub entries: Vec<KeyValue>,
    /// Whether more keys follow after this page.
    pub truncated: bool,
    /// The store's revision when the page was read.
    pub revision: u64,
}

/// The changes of keys since an earlier revision, in the order of their revisions.
#[derive(Debug, Clone, PartialEq)]
pub struct KeyChanges {
    /// The changes, oldest first.
    pub changes: Vec<KeyChange>,
    /// The store's revision up to which the changes are complete.
    pub revision: u64,
}

/// A blocking client of the key-value store.
#[derive(Clone)]
pub struct StoreClient {
    http: HttpClient,
}

impl StoreClient {
    /// Creates a client of the store at the address in the settings.
    pub fn new(settings: &Settings) -> StoreClient {
        StoreClient {
            http: HttpClient::new(settings.services.state, CALL_TIMEOUT_S),
        }
    }

    /// Reads the first page of keys, or the page that follows the key `from`.
    ///
    /// # Errors
    /// Returns an error if the store refuses the call, or its response is missing or malformed.
    pub fn read_page(&self, from: Option<&str>) -> Result<EntryPage, CallError> {
        let from = from.map(|key| format!("&from={key}")).unwrap_or_default();
        let path = format!("/store?starts={KEY_PREFIX}{from}&most={ENTRIES_PER_PAGE}");
        let response = self.http.call("GET", &path, None)?;
        let entries = serde_json::from_value(response["entries"].clone())
            .map_err(|_| CallError::NoResponse)?;
        Ok(EntryPage {
            entries,
            truncated: response["truncated"].as_bool().unwrap_or(false),
            revision: required_u64(&response, "ring")?,
        })
    }

    /// Reads one key; `None` if it does not exist.
    ///
    /// # Errors
    /// Returns an error if the store refuses the call, or its response is missing or malformed.
    pub fn get(&self, key: &str) -> Result<Option<KeyValue>, CallError> {
        match self.http.call("GET", &format!("/store/{key}"), None) {
            Ok(response) => serde_json::from_value(response)
                .map(Some)
                .map_err(|_| CallError::NoResponse),
            Err(CallError::Status(NOT_FOUND, _)) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Reads all changes after the revision `from`. Returns at once if there are none.
    ///
    /// # Errors
    /// Returns an error if the store refuses the call (with status 410 if it no longer has those
    /// changes), or its response is missing or malformed.
    pub fn read_changes(&self, from: u64) -> Result<KeyChanges, CallError> {
        let path = format!("/changes?starts={KEY_PREFIX}&from={from}&wait_ms=0");
        let response = self.http.call("GET", &path, None)?;
        let revision = required_u64(&response, "ring")?;
        let mut changes = Vec::new();
        for event in response["events"].as_array().into_iter().flatten() {
            changes.extend(key_change(event)?);
        }
        Ok(KeyChanges { changes, revision })
    }

    /// Commits a transaction: executes `ops` if all `conditions` hold.
    pub fn commit(&self, conditions: &[Condition], ops: &[WriteOp]) -> CommitOutcome {
        let body = json!({"if": conditions, "writes": ops});
        match self.http.call("POST", "/commit", Some(&body)) {
            Ok(response) => response["ring"]
                .as_u64()
                .map_or(CommitOutcome::Unknown, CommitOutcome::Committed),
            Err(CallError::Status(CONFLICT, response)) => {
                CommitOutcome::Conflict(failed_keys(&response))
            }
            Err(CallError::Status(status, response)) => outcome_of_error_status(status, &response),
            Err(CallError::NoResponse) => CommitOutcome::Unknown,
        }
    }

    /// Creates a lease that expires `duration` seconds after its last renewal. Returns its
    /// id.
    ///
    /// # Errors
    /// Returns an error if the store refuses the call, or its response is missing or malformed.
    pub fn create_lease(&self, duration: Seconds) -> Result<u64, CallError> {
        let body = json!({"life_ms": (duration * 1000.0) as u64});
        let response = self.http.call("POST", "/leases", Some(&body))?;
        required_u64(&response, "roost")
    }

    /// Renews a lease. Returns `Ok(false)` if it has expired.
    ///
    /// # Errors
    /// Returns an error if the store refuses the call, or its response is missing or malformed.
    pub fn renew_lease(&self, lease: u64) -> Result<bool, CallError> {
        let path = format!("/leases/{lease}/renew");
        match self.http.call("POST", &path, Some(&json!({}))) {
            Ok(_) => Ok(true),
            Err(CallError::Status(NOT_FOUND, _)) => Ok(false),
            Err(error) => Err(error),
        }
    }
}

/// Returns an unsigned integer field that a response must have.
fn required_u64(response: &Value, field: &str) -> Result<u64, CallError> {
    response[field].as_u64().ok_or(CallError::NoResponse)
}

/// Parses a change of a key; `None` for a kind of change that this version does not know.
fn key_change(event: &Value) -> Result<Option<KeyChange>, CallError> {
    let revision = required_u64(event, "mark")?;
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

/// Returns the keys whose conditions did not hold, from the response to a transaction.
fn failed_keys(response: &Value) -> Vec<String> {
    response["failed"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|key| key.as_str().map(String::from))
        .collect()
}

/// Returns the outcome of a transaction for an error status other than a conflict. A status
/// that is not listed here leaves open whether the transaction was applied.
fn outcome_of_error_status(status: u16, response: &Value) -> CommitOutcome {
    if !matches!(status, TOO_MANY_REQUESTS | UNAVAILABLE) {
        tracing::warn!(status, %response, "state service refused a transaction");
    }
    match status {
        TOO_MANY_REQUESTS => CommitOutcome::RateLimited,
        UNAVAILABLE => CommitOutcome::Refused,
        BAD_REQUEST => CommitOutcome::Invalid,
        _ => CommitOutcome::Unknown,
    }
}
