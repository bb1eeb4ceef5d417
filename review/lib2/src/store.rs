//! A stand-in for the state service. Each controller has a door of its own, so that the service
//! can refuse, hold or lose the requests of one controller alone.

use crate::http::{self, Answer, Request};
use crate::json::{obj, Json};
use crate::{chance, lock, random, Shared};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What a door does with requests.
#[derive(Clone, Debug, Default)]
pub struct DoorMode {
    /// Answer 503 and execute nothing.
    pub refuse: bool,
    /// Hold requests back, and execute them once this ends.
    pub hold: bool,
    /// Delay of each answer, in milliseconds.
    pub slow_ms: u64,
    /// Delay of the answers to readings of changes alone, in milliseconds.
    pub slow_reads_ms: u64,
    /// Share of the transactions that are executed but not answered.
    pub lose_answer: f64,
    /// Share of the transactions that are executed late and not answered.
    pub late: f64,
    /// Share of the requests that are repeated after they were carried out.
    pub repeat: f64,
    /// How late, in seconds at most.
    pub late_s: f64,
}

pub struct Entry {
    pub value: Json,
    pub mark: u64,
    pub lease: Option<u64>,
}

struct Lease {
    until: Instant,
    life: Duration,
}

#[derive(Default)]
pub struct Data {
    pub ring: u64,
    pub entries: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    /// Every change, with its revision.
    events: Vec<(u64, String, Json)>,
    pub outage: bool,
    pub order: Order,
    /// The revision up to which each door was last told the changes.
    pub told: BTreeMap<usize, u64>,
    requests: Bucket,
    changes: Bucket,
    /// Requests that were refused for a rate.
    pub rated: u64,
}

pub struct Limits {
    pub value_bytes: usize,
    pub txn_ops: usize,
    /// Requests and changes a second, with bursts of one second's worth.
    pub rps: f64,
    pub write_rps: f64,
}

/// The order of the events of a response. The protocol's example is not in that of revisions.
#[derive(Clone, Copy, Default)]
pub enum Order {
    #[default]
    Revision,
    Newest,
    Key,
}

/// What is left of a rate.
#[derive(Default)]
struct Bucket {
    used: f64,
    at: Option<Instant>,
}

impl Bucket {
    fn take(&mut self, amount: f64, rate: f64) -> bool {
        let now = Instant::now();
        let passed = self.at.map_or(0.0, |at| (now - at).as_secs_f64());
        self.at = Some(now);
        self.used = (self.used - passed * rate).max(0.0);
        let fits = self.used + amount <= rate;
        if fits {
            self.used += amount;
        }
        fits
    }
}

pub struct Store {
    pub data: Shared<Data>,
    pub doors: Vec<Shared<DoorMode>>,
    pub limits: Limits,
}

fn query<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    path.split_once('?')?
        .1
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

fn answer(status: u16, body: Json) -> Answer {
    Some((status, body.to_string().into_bytes()))
}

impl Data {
    fn expire(&mut self) {
        if self.outage {
            return;
        }
        let now = Instant::now();
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| now > lease.until)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.lease == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.ring += 1;
        }
        for key in keys {
            self.entries.remove(&key);
            self.delete_event(key);
        }
    }

    fn delete_event(&mut self, key: String) {
        let event = obj([("delete", key.clone().into()), ("mark", self.ring.into())]);
        self.events.push((self.ring, key, event));
    }

    /// Starts or ends an outage. After it every lease has its full time again.
    pub fn set_outage(&mut self, outage: bool) {
        if self.outage && !outage {
            let now = Instant::now();
            for lease in self.leases.values_mut() {
                lease.until = now + lease.life;
            }
        }
        self.outage = outage;
    }

    fn commit(&mut self, body: &Json, limits: &Limits) -> Answer {
        let writes = body.get("writes").list();
        let conditions = body.get("if").list();
        let too_long = writes
            .iter()
            .any(|write| write.get("value").to_string().len() > limits.value_bytes);
        if writes.len() > limits.txn_ops || conditions.len() > limits.txn_ops * 4 || too_long {
            return answer(400, obj([("error", "over a limit".into())]));
        }
        if !self.changes.take(writes.len() as f64, limits.write_rps) {
            self.rated += 1;
            return answer(429, obj([("error", "too many changes".into())]));
        }
        let failed: Vec<Json> = conditions
            .iter()
            .filter(|condition| {
                let mark = self
                    .entries
                    .get(condition.get("k").str())
                    .map_or(0, |entry| entry.mark);
                Some(mark) != condition.get("mark").u64()
            })
            .map(|condition| condition.get("k").clone())
            .collect();
        if !failed.is_empty() {
            let body = obj([("failed", failed.into()), ("ring", self.ring.into())]);
            return answer(409, body);
        }
        let lease_gone = writes.iter().any(|write| {
            write.get("put") != &Json::Null
                && write
                    .get("roost")
                    .u64()
                    .is_some_and(|lease| !self.leases.contains_key(&lease))
        });
        if lease_gone {
            return answer(400, obj([("error", "no such lease".into())]));
        }
        if !writes.is_empty() {
            self.ring += 1;
        }
        for write in writes {
            if let Json::Str(key) = write.get("put") {
                let entry = Entry {
                    value: write.get("value").clone(),
                    mark: self.ring,
                    lease: write.get("roost").u64(),
                };
                let event = obj([
                    ("put", key.clone().into()),
                    ("value", entry.value.clone()),
                    ("mark", self.ring.into()),
                ]);
                self.entries.insert(key.clone(), entry);
                self.events.push((self.ring, key.clone(), event));
            } else if let Json::Str(key) = write.get("delete") {
                if self.entries.remove(key).is_some() {
                    self.delete_event(key.clone());
                }
            }
        }
        answer(200, obj([("ring", self.ring.into())]))
    }

    fn execute(&mut self, request: &Request, limits: &Limits) -> Answer {
        if self.outage {
            return answer(503, obj([("error", "trouble".into())]));
        }
        self.expire();
        if !self.requests.take(1.0, limits.rps) {
            self.rated += 1;
            return answer(429, obj([("error", "too many requests".into())]));
        }
        let path = request.path.split('?').next().unwrap_or("");
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        match (request.method.as_str(), path) {
            ("GET", "/store") => {
                let starts = query(&request.path, "starts").unwrap_or("");
                let from = query(&request.path, "from").unwrap_or("");
                let most = query(&request.path, "most").and_then(|m| m.parse().ok());
                let most: usize = most.unwrap_or(1000).min(1000);
                let mut listed = Vec::new();
                let mut size = 0;
                let mut truncated = false;
                for (key, entry) in &self.entries {
                    if !key.starts_with(starts) || key.as_str() <= from {
                        continue;
                    }
                    size += entry.value.to_string().len() + key.len() + 40;
                    if listed.len() >= most || size > 512 * 1024 {
                        truncated = true;
                        break;
                    }
                    listed.push(obj([
                        ("k", key.clone().into()),
                        ("value", entry.value.clone()),
                        ("mark", entry.mark.into()),
                    ]));
                }
                let body = obj([
                    ("entries", listed.into()),
                    ("truncated", truncated.into()),
                    ("ring", self.ring.into()),
                ]);
                answer(200, body)
            }
            ("GET", "/changes") => {
                let starts = query(&request.path, "starts").unwrap_or("");
                let from = query(&request.path, "from").and_then(|f| f.parse().ok());
                let from: u64 = from.unwrap_or(0);
                let oldest = self.events.len().saturating_sub(10_000);
                if oldest > 0 && self.events[oldest].0 > from + 1 {
                    return answer(410, obj([]));
                }
                let first = self.events.partition_point(|event| event.0 <= from);
                let events: Vec<Json> = self.events[first..]
                    .iter()
                    .filter(|event| event.1.starts_with(starts))
                    .map(|event| event.2.clone())
                    .collect();
                let mut events = events;
                match self.order {
                    Order::Revision => {}
                    Order::Newest => events.reverse(),
                    Order::Key => events.sort_by(|a, b| {
                        let key =
                            |e: &Json| format!("{}{}", e.get("put").str(), e.get("delete").str());
                        key(a).cmp(&key(b))
                    }),
                }
                let body = obj([("ring", self.ring.into()), ("events", events.into())]);
                answer(200, body)
            }
            ("GET", path) => {
                let key = path.strip_prefix("/store/").unwrap_or("");
                match self.entries.get(key) {
                    Some(entry) => {
                        let mut body = obj([
                            ("k", key.into()),
                            ("value", entry.value.clone()),
                            ("mark", entry.mark.into()),
                        ]);
                        if let Some(lease) = entry.lease {
                            body.set("roost", lease.into());
                        }
                        answer(200, body)
                    }
                    None => answer(404, obj([("ring", self.ring.into())])),
                }
            }
            ("POST", "/commit") => self.commit(&body, limits),
            ("POST", "/leases") => {
                let life = body.get("life_ms").u64().unwrap_or(0);
                if !(100..=600_000).contains(&life) {
                    return answer(400, obj([]));
                }
                self.last_lease += 1;
                let life = Duration::from_millis(life);
                let until = Instant::now() + life;
                self.leases.insert(self.last_lease, Lease { until, life });
                answer(200, obj([("roost", self.last_lease.into())]))
            }
            ("POST", path) => {
                let id = path
                    .strip_prefix("/leases/")
                    .and_then(|rest| rest.strip_suffix("/renew")?.parse::<u64>().ok());
                match id.and_then(|id| self.leases.get_mut(&id)) {
                    Some(lease) => {
                        lease.until = Instant::now() + lease.life;
                        answer(200, obj([]))
                    }
                    None => answer(404, obj([])),
                }
            }
            ("DELETE", path) => {
                let id = path.strip_prefix("/leases/").and_then(|id| id.parse().ok());
                match id.filter(|id| self.leases.contains_key(id)) {
                    Some(id) => {
                        self.end_lease(id);
                        answer(200, obj([]))
                    }
                    None => answer(404, obj([])),
                }
            }
            _ => answer(400, obj([])),
        }
    }
}

impl Store {
    /// Starts the service with a door for each controller. Returns it and the doors' addresses.
    pub fn start(doors: usize, limits: Limits) -> (Arc<Store>, Vec<SocketAddr>) {
        let store = Arc::new(Store {
            data: Shared::default(),
            doors: (0..doors).map(|_| Shared::default()).collect(),
            limits,
        });
        let addresses = (0..doors)
            .map(|door| {
                let store = store.clone();
                http::serve(move |request| store.clone().enter(door, request))
            })
            .collect();
        let ticker = store.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(20));
            lock(&ticker.data).expire();
        });
        (store, addresses)
    }

    fn enter(self: Arc<Store>, door: usize, request: Request) -> Answer {
        let mode = lock(&self.doors[door]).clone();
        // A slow answer takes its time partly before and partly after it is executed.
        let slow_s = mode.slow_ms as f64 / 1000.0 * (0.75 + random() * 0.5);
        let before = slow_s * random();
        std::thread::sleep(Duration::from_secs_f64(before));
        loop {
            let mode = lock(&self.doors[door]).clone();
            if mode.refuse {
                return answer(503, obj([("error", "trouble".into())]));
            }
            if !mode.hold {
                break;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        let is_write = request.method == "POST" && request.path == "/commit";
        if is_write && chance(mode.late) {
            let wait = Duration::from_secs_f64(random() * mode.late_s);
            let store = self.clone();
            std::thread::spawn(move || {
                std::thread::sleep(wait);
                lock(&store.data).execute(&request, &store.limits);
            });
            std::thread::sleep(Duration::from_millis(1300));
            return None;
        }
        let result = lock(&self.data).execute(&request, &self.limits);
        std::thread::sleep(Duration::from_secs_f64(slow_s - before));
        if request.path.starts_with("/changes") {
            let ring = result
                .as_ref()
                .and_then(|(_, body)| Json::parse(body)?.get("ring").u64());
            std::thread::sleep(Duration::from_millis(mode.slow_reads_ms));
            if let Some(ring) = ring {
                lock(&self.data).told.insert(door, ring);
            }
        }
        if chance(mode.repeat) {
            let wait = Duration::from_secs_f64(random() * mode.late_s);
            let store = self.clone();
            std::thread::spawn(move || {
                std::thread::sleep(wait);
                lock(&store.data).execute(&request, &store.limits);
            });
        }
        if is_write && chance(mode.lose_answer) {
            return None;
        }
        result
    }
}
