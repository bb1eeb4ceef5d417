//! A stand-in for the key-value store, with transactions, leases and a log of changes.

use super::json_server::{query_parameter, serve_json};
use super::{lock, Shared};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tiny_http::Method;

/// The contents of the store.
#[derive(Default)]
struct Store {
    /// The revision of the last transaction.
    revision: u64,
    entries: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, Lease>,
    /// The log of all changes, in the order of their revisions.
    events: Vec<Value>,
}

/// The value stored under a key.
struct Entry {
    value: Value,
    /// The revision of its last change.
    revision: u64,
    /// The lease with which the entry expires; `None` if it does not expire.
    lease: Option<u64>,
}

/// A lease, which expires unless its holder renews it.
struct Lease {
    renewed_at: Instant,
    duration: Duration,
}

/// The limits under `[params.state.next]` in the tests' settings. The stand-in applies these
/// future limits from the start.
const MAX_VALUE_BYTES: usize = 1024;
const MAX_WRITES: usize = 4;

/// The delay before the error response to a delayed transaction.
const DELAYED_RESPONSE_MS: u64 = 1200;
/// The delay before a delayed transaction is carried out.
const DELAYED_COMMIT_MS: u64 = 2500;

/// Whether a transaction exceeds the limits.
fn exceeds_limits(body: &Value) -> bool {
    let empty = Vec::new();
    let writes = body["writes"].as_array().unwrap_or(&empty);
    let conditions = body["if"].as_array().unwrap_or(&empty);
    writes.len() > MAX_WRITES
        || conditions.len() > MAX_WRITES * 4
        || writes
            .iter()
            .any(|write| write["value"].to_string().len() > MAX_VALUE_BYTES)
}

impl Store {
    /// Deletes expired leases and the keys attached to them.
    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| now > lease.renewed_at + lease.duration)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.leases.remove(&id);
            let keys: Vec<String> = self
                .entries
                .iter()
                .filter(|(_, entry)| entry.lease == Some(id))
                .map(|(key, _)| key.clone())
                .collect();
            self.revision += u64::from(!keys.is_empty());
            for key in keys {
                self.entries.remove(&key);
                self.events
                    .push(json!({"delete": key, "mark": self.revision}));
            }
        }
    }

    /// Carries out a transaction if its conditions hold, and returns the response.
    fn commit(&mut self, body: &Value) -> (u16, Value) {
        let empty = Vec::new();
        let failed: Vec<&Value> = body["if"]
            .as_array()
            .unwrap_or(&empty)
            .iter()
            .filter(|condition| {
                let revision = condition["k"]
                    .as_str()
                    .and_then(|key| self.entries.get(key))
                    .map_or(0, |entry| entry.revision);
                revision != condition["mark"].as_u64().unwrap_or(0)
            })
            .map(|condition| &condition["k"])
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "ring": self.revision}));
        }
        let writes = body["writes"].as_array().unwrap_or(&empty);
        if writes.iter().any(|write| {
            write["roost"]
                .as_u64()
                .is_some_and(|lease| !self.leases.contains_key(&lease))
        }) {
            return (400, json!({"error": "no such lease"}));
        }
        self.revision += 1;
        for write in writes {
            if let Some(key) = write["put"].as_str() {
                self.entries.insert(
                    key.into(),
                    Entry {
                        value: write["value"].clone(),
                        revision: self.revision,
                        lease: write["roost"].as_u64(),
                    },
                );
                self.events
                    .push(json!({"put": key, "value": write["value"], "mark": self.revision}));
            } else if let Some(key) = write["delete"].as_str() {
                self.entries.remove(key);
                self.events
                    .push(json!({"delete": key, "mark": self.revision}));
            }
        }
        (200, json!({"ring": self.revision}))
    }
}

/// The key of the epoch.
const EPOCH_KEY: &str = "fw/epoch";

/// Starts a key-value store and returns its address. While `delay_commits` is set, every
/// third transaction times out for its writer but is carried out seconds later, after newer
/// ones. Transactions that exceed the limits are refused and counted in
/// `oversized_transactions`, and those that fail as the epoch has changed in `ended_epochs`.
pub fn start_store(
    delay_commits: Arc<AtomicBool>,
    oversized_transactions: Arc<AtomicU32>,
    ended_epochs: Arc<AtomicU32>,
) -> SocketAddr {
    let store: Shared<Store> = Shared::default();
    let commit_count = AtomicU32::new(0);
    serve_json(move |method, url, body| {
        let is_commit = *method == Method::Post && url == "/commit";
        if is_commit && exceeds_limits(&body) {
            oversized_transactions.fetch_add(1, Ordering::SeqCst);
            return (400, json!({"error": "over the limits"}));
        }
        if is_commit
            && delay_commits.load(Ordering::SeqCst)
            && commit_count.fetch_add(1, Ordering::SeqCst) % 3 == 2
        {
            let store = store.clone();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(DELAYED_COMMIT_MS));
                let mut store = lock(&store);
                store.expire_leases();
                store.commit(&body);
            });
            std::thread::sleep(Duration::from_millis(DELAYED_RESPONSE_MS));
            return (504, json!({}));
        }
        let mut store = lock(&store);
        store.expire_leases();
        let path = url.split('?').next().unwrap_or_default();
        match (method, path) {
            (Method::Get, "/store") => {
                let items: Vec<Value> = store.entries
                    .iter()
                    .map(|(key, entry)| json!({"k": key, "value": entry.value, "mark": entry.revision}))
                    .collect();
                (
                    200,
                    json!({"entries": items, "truncated": false, "ring": store.revision}),
                )
            }
            (Method::Get, "/changes") => {
                let from: u64 = query_parameter(url, "from")
                    .and_then(|revision| revision.parse().ok())
                    .unwrap_or(0);
                let events: Vec<&Value> = store
                    .events
                    .iter()
                    .filter(|event| event["mark"].as_u64().unwrap_or(0) > from)
                    .collect();
                (200, json!({"ring": store.revision, "events": events}))
            }
            (Method::Get, path) => match path
                .strip_prefix("/store/")
                .and_then(|key| Some((key, store.entries.get(key)?)))
            {
                Some((key, entry)) => (
                    200,
                    json!({"k": key, "value": entry.value, "mark": entry.revision}),
                ),
                None => (404, json!({"ring": store.revision})),
            },
            (Method::Post, "/commit") => {
                let (status, response) = store.commit(&body);
                let failed = response["failed"].as_array();
                if failed.is_some_and(|keys| keys.iter().any(|key| key == EPOCH_KEY)) {
                    ended_epochs.fetch_add(1, Ordering::SeqCst);
                }
                (status, response)
            }
            (Method::Post, "/leases") => {
                let id = store.leases.keys().last().copied().unwrap_or(0) + 1;
                let duration = Duration::from_millis(body["life_ms"].as_u64().unwrap_or(1000));
                store.leases.insert(
                    id,
                    Lease {
                        renewed_at: Instant::now(),
                        duration,
                    },
                );
                (200, json!({"roost": id}))
            }
            (Method::Post, path) => {
                let id = path
                    .strip_prefix("/leases/")
                    .and_then(|rest| rest.strip_suffix("/renew")?.parse::<u64>().ok());
                match id.and_then(|id| store.leases.get_mut(&id)) {
                    Some(lease) => {
                        lease.renewed_at = Instant::now();
                        (200, json!({}))
                    }
                    None => (404, json!({})),
                }
            }
            _ => (400, json!({})),
        }
    })
}
