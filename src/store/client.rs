//! Typed calls of the key-value store.

use super::{CallError, CommitOutcome, HttpClient, KeyChange, KeyValue, WriteOp, PREFIX};
use crate::clock::Seconds;
use crate::config::settings::Settings;
use serde_json::{json, Value};

/// Typed calls of the key-value store.
#[derive(Clone)]
pub struct StoreClient {
    http: HttpClient,
}

impl StoreClient {
    /// A client; calls are given up on after a second, as answers take
    /// hundredths of one and rarely a few tenths.
    pub fn new(settings: &Settings) -> StoreClient {
        StoreClient {
            http: HttpClient::new(settings.services.state, 1.0),
        }
    }

    /// One page of the keys under our prefix: entries, whether more, ring.
    pub fn page(&self, from: Option<&str>) -> Result<(Vec<KeyValue>, bool, u64), CallError> {
        let from = from.map(|f| format!("&from={f}")).unwrap_or_default();
        let v = self.http.call(
            "GET",
            &format!("/store?starts={PREFIX}{from}&most=1000"),
            None,
        )?;
        let entries =
            serde_json::from_value(v["entries"].clone()).map_err(|_| CallError::NoResponse)?;
        let revision = v["ring"].as_u64().ok_or(CallError::NoResponse)?;
        Ok((entries, v["truncated"].as_bool().unwrap_or(false), revision))
    }

    /// One key, or `None` if it does not exist.
    pub fn get(&self, key: &str) -> Result<Option<KeyValue>, CallError> {
        match self.http.call("GET", &format!("/store/{key}"), None) {
            Ok(v) => serde_json::from_value(v)
                .map(Some)
                .map_err(|_| CallError::NoResponse),
            Err(CallError::Status(404, _)) => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// All changes since `from`, at once.
    pub fn changes(&self, from: u64) -> Result<(u64, Vec<KeyChange>), CallError> {
        let path = format!("/changes?starts={PREFIX}&from={from}&wait_ms=0");
        let v = self.http.call("GET", &path, None)?;
        let revision = v["ring"].as_u64().ok_or(CallError::NoResponse)?;
        let mut events = Vec::new();
        for e in v["events"]
            .as_array()
            .map(Vec::as_slice)
            .unwrap_or_default()
        {
            let revision = e["mark"].as_u64().ok_or(CallError::NoResponse)?;
            if let Some(key) = e["put"].as_str() {
                events.push(KeyChange::Put {
                    key: key.into(),
                    value: e["value"].clone(),
                    revision,
                });
            } else if let Some(key) = e["delete"].as_str() {
                events.push(KeyChange::Delete {
                    key: key.into(),
                    revision,
                });
            }
        }
        Ok((revision, events))
    }

    /// One transaction.
    pub fn commit(&self, conditions: &[(String, u64)], ops: &[WriteOp]) -> CommitOutcome {
        let conditions: Vec<Value> = conditions
            .iter()
            .map(|(k, v)| json!({"k": k, "mark": v}))
            .collect();
        let body = json!({"if": conditions, "writes": ops});
        match self.http.call("POST", "/commit", Some(&body)) {
            Ok(v) => v["ring"]
                .as_u64()
                .map_or(CommitOutcome::Unknown, CommitOutcome::Committed),
            Err(CallError::Status(409, v)) => CommitOutcome::Conflict(
                v["failed"]
                    .as_array()
                    .map(|a| {
                        a.iter()
                            .filter_map(|k| k.as_str().map(String::from))
                            .collect()
                    })
                    .unwrap_or_default(),
            ),
            Err(CallError::Status(code, v)) => {
                if code == 429 {
                    return CommitOutcome::RateLimited;
                }
                if code != 503 {
                    tracing::warn!(code, %v, "state service refused a transaction");
                }
                // Only these say that it was not executed.
                match code {
                    503 => CommitOutcome::Refused,
                    400 => CommitOutcome::Invalid,
                    _ => CommitOutcome::Unknown,
                }
            }
            Err(CallError::NoResponse) => CommitOutcome::Unknown,
        }
    }

    /// A new lease.
    pub fn lease(&self, life: Seconds) -> Result<u64, CallError> {
        let body = json!({"life_ms": (life * 1000.0) as u64});
        let v = self.http.call("POST", "/leases", Some(&body))?;
        v["roost"].as_u64().ok_or(CallError::NoResponse)
    }

    /// Renews a lease; `Ok(false)` if it has ended.
    pub fn renew(&self, lease: u64) -> Result<bool, CallError> {
        match self
            .http
            .call("POST", &format!("/leases/{lease}/renew"), Some(&json!({})))
        {
            Ok(_) => Ok(true),
            Err(CallError::Status(404, _)) => Ok(false),
            Err(e) => Err(e),
        }
    }
}
