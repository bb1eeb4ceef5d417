//! A key-value store with transactions, leases and a log of changes.

use super::json_server::{query_parameter, serve_json};
use super::{lock, Shared};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tiny_http::Method;

/// The state of the store.
#[derive(Default)]
struct Store {
    /// The revision of the last transaction.
    revision: u64,
    entries: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, Lease>,
    /// All changes, in the order of their revisions.
    events: Vec<Value>,
}

/// The value of a key.
struct Entry {
    value: Value,
    /// The revision of its last change.
    revision: u64,
    /// The lease with which it expires.
    lease: Option<u64>,
}

/// A lease that its holder keeps up.
struct Lease {
    renewed_at: Instant,
    duration: Duration,
}

/// The limits to come of the tests' settings, which the key-value store has from the start.
const LARGEST_VALUE: usize = 1024;
const MAX_WRITES: usize = 4;

/// After how long a late transaction is answered, with an error.
const LATE_ANSWER_MS: u64 = 1200;
/// After how long a late transaction is carried out.
const LATE_COMMIT_MS: u64 = 2500;

/// Whether a transaction is over the limits.
fn over_limits(body: &Value) -> bool {
    let empty = Vec::new();
    let writes = body["writes"].as_array().unwrap_or(&empty);
    let conditions = body["if"].as_array().unwrap_or(&empty);
    writes.len() > MAX_WRITES
        || conditions.len() > MAX_WRITES * 4
        || writes
            .iter()
            .any(|write| write["value"].to_string().len() > LARGEST_VALUE)
}

impl Store {
    /// Deletes the keys of expired leases.
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

    /// Carries out a transaction if its conditions hold.
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

/// Starts a key-value store. While `late` is set, every third transaction gets no answer
/// in time and is carried out seconds later, after newer ones. Transactions over
/// the limits are counted in `refused`.
pub fn start_store(late: Arc<AtomicBool>, refused: Arc<AtomicU32>) -> SocketAddr {
    let store: Shared<Store> = Shared::default();
    let commits = AtomicU32::new(0);
    serve_json(move |method, url, body| {
        let commit = *method == Method::Post && url == "/commit";
        if commit && over_limits(&body) {
            refused.fetch_add(1, Ordering::SeqCst);
            return (400, json!({"error": "over the limits"}));
        }
        if commit && late.load(Ordering::SeqCst) && commits.fetch_add(1, Ordering::SeqCst) % 3 == 2
        {
            let store = store.clone();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(LATE_COMMIT_MS));
                let mut store = lock(&store);
                store.expire_leases();
                store.commit(&body);
            });
            std::thread::sleep(Duration::from_millis(LATE_ANSWER_MS));
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
            (Method::Post, "/commit") => store.commit(&body),
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
