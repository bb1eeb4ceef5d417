//! Typed calls of the state service.

use super::{CallError, Entry, Event, Http, Op, Outcome, PREFIX};
use crate::clock::Secs;
use crate::settings::Settings;
use serde_json::{json, Value};

/// Typed calls of the state service.
#[derive(Clone)]
pub struct Store {
    http: Http,
}

impl Store {
    /// A client; calls are given up on after a second, as answers take
    /// hundredths of one and rarely a few tenths.
    pub fn new(settings: &Settings) -> Store {
        Store {
            http: Http::new(settings.services.state, 1.0),
        }
    }

    /// One page of the keys under our prefix: entries, whether more, ring.
    pub fn page(&self, from: Option<&str>) -> Result<(Vec<Entry>, bool, u64), CallError> {
        let from = from.map(|f| format!("&from={f}")).unwrap_or_default();
        let v = self.http.call(
            "GET",
            &format!("/store?starts={PREFIX}{from}&most=1000"),
            None,
        )?;
        let entries =
            serde_json::from_value(v["entries"].clone()).map_err(|_| CallError::Silent)?;
        let ring = v["ring"].as_u64().ok_or(CallError::Silent)?;
        Ok((entries, v["truncated"].as_bool().unwrap_or(false), ring))
    }

    /// One key, or `None` if it does not exist.
    pub fn get(&self, key: &str) -> Result<Option<Entry>, CallError> {
        match self.http.call("GET", &format!("/store/{key}"), None) {
            Ok(v) => serde_json::from_value(v)
                .map(Some)
                .map_err(|_| CallError::Silent),
            Err(CallError::Status(404, _)) => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// All changes since `from`, at once.
    pub fn changes(&self, from: u64) -> Result<(u64, Vec<Event>), CallError> {
        let path = format!("/changes?starts={PREFIX}&from={from}&wait_ms=0");
        let v = self.http.call("GET", &path, None)?;
        let ring = v["ring"].as_u64().ok_or(CallError::Silent)?;
        let mut events = Vec::new();
        for e in v["events"]
            .as_array()
            .map(Vec::as_slice)
            .unwrap_or_default()
        {
            let version = e["mark"].as_u64().ok_or(CallError::Silent)?;
            if let Some(key) = e["put"].as_str() {
                events.push(Event::Put {
                    key: key.into(),
                    value: e["value"].clone(),
                    version,
                });
            } else if let Some(key) = e["delete"].as_str() {
                events.push(Event::Delete {
                    key: key.into(),
                    version,
                });
            }
        }
        Ok((ring, events))
    }

    /// One transaction.
    pub fn commit(&self, conditions: &[(String, u64)], ops: &[Op]) -> Outcome {
        let conditions: Vec<Value> = conditions
            .iter()
            .map(|(k, v)| json!({"k": k, "mark": v}))
            .collect();
        let body = json!({"if": conditions, "writes": ops});
        match self.http.call("POST", "/commit", Some(&body)) {
            Ok(v) => v["ring"].as_u64().map_or(Outcome::Unknown, Outcome::Done),
            Err(CallError::Status(409, v)) => Outcome::Conflict(
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
                    return Outcome::TooMuch;
                }
                if code != 503 {
                    tracing::warn!(code, %v, "state service refused a transaction");
                }
                // Only these say that it was not executed.
                match code {
                    503 => Outcome::Refused,
                    400 => Outcome::Invalid,
                    _ => Outcome::Unknown,
                }
            }
            Err(CallError::Silent) => Outcome::Unknown,
        }
    }

    /// A new lease.
    pub fn lease(&self, life: Secs) -> Result<u64, CallError> {
        let body = json!({"life_ms": (life * 1000.0) as u64});
        let v = self.http.call("POST", "/leases", Some(&body))?;
        v["roost"].as_u64().ok_or(CallError::Silent)
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
