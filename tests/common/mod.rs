//! Stand-ins of the outside systems, written for these tests: a state
//! service, a cloud and its workers, each as small as the protocol allows. Shared by
//! test files of which each uses some of it.
#![allow(dead_code)]

pub mod cluster;

use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tiny_http::{Method, Response, Server};

type Shared<T> = Arc<Mutex<T>>;

fn lock<T>(m: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    m.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Serves JSON on a free port of the loopback.
fn serve(
    answer: impl Fn(&Method, &str, Value) -> (u16, Value) + Send + Sync + 'static,
) -> SocketAddr {
    let server = Server::http("127.0.0.1:0").expect("a port");
    let addr = server.server_addr().to_ip().expect("an address");
    let (server, answer) = (Arc::new(server), Arc::new(answer));
    for _ in 0..8 {
        let (server, answer) = (server.clone(), answer.clone());
        std::thread::spawn(move || {
            while let Ok(mut r) = server.recv() {
                let mut text = String::new();
                let _ = r.as_reader().read_to_string(&mut text);
                let body = serde_json::from_str(&text).unwrap_or(Value::Null);
                let (status, value) = answer(r.method(), r.url(), body);
                let _ =
                    r.respond(Response::from_string(value.to_string()).with_status_code(status));
            }
        });
    }
    addr
}

fn query<'a>(url: &'a str, name: &str) -> Option<&'a str> {
    url.split_once('?')?
        .1
        .split('&')
        .find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
}

#[derive(Default)]
struct Store {
    ring: u64,
    keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    log: Vec<Value>,
}

/// The limits to come of the tests' settings, which the key-value store has from the start.
pub const LARGEST_VALUE: usize = 1024;
pub const MAX_WRITES: usize = 4;

/// Whether a transaction is over the limits.
fn over_limits(body: &Value) -> bool {
    let empty = Vec::new();
    let writes = body["writes"].as_array().unwrap_or(&empty);
    let conditions = body["if"].as_array().unwrap_or(&empty);
    writes.len() > MAX_WRITES
        || conditions.len() > MAX_WRITES * 4
        || writes
            .iter()
            .any(|w| w["value"].to_string().len() > LARGEST_VALUE)
}

impl Store {
    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (at, life))| now > *at + *life)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.leases.remove(&id);
            let keys: Vec<String> = self
                .keys
                .iter()
                .filter(|(_, v)| v.2 == Some(id))
                .map(|(k, _)| k.clone())
                .collect();
            self.ring += u64::from(!keys.is_empty());
            for k in keys {
                self.keys.remove(&k);
                self.log.push(json!({"delete": k, "mark": self.ring}));
            }
        }
    }

    fn commit(&mut self, body: &Value) -> (u16, Value) {
        let empty = Vec::new();
        let failed: Vec<&Value> = body["if"]
            .as_array()
            .unwrap_or(&empty)
            .iter()
            .filter(|c| {
                let known = c["k"]
                    .as_str()
                    .and_then(|k| self.keys.get(k))
                    .map_or(0, |v| v.1);
                known != c["mark"].as_u64().unwrap_or(0)
            })
            .map(|c| &c["k"])
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "ring": self.ring}));
        }
        let writes = body["writes"].as_array().unwrap_or(&empty);
        if writes.iter().any(|w| {
            w["roost"]
                .as_u64()
                .is_some_and(|l| !self.leases.contains_key(&l))
        }) {
            return (400, json!({"error": "no such lease"}));
        }
        self.ring += 1;
        for w in writes {
            if let Some(k) = w["put"].as_str() {
                self.keys.insert(
                    k.into(),
                    (w["value"].clone(), self.ring, w["roost"].as_u64()),
                );
                self.log
                    .push(json!({"put": k, "value": w["value"], "mark": self.ring}));
            } else if let Some(k) = w["delete"].as_str() {
                self.keys.remove(k);
                self.log.push(json!({"delete": k, "mark": self.ring}));
            }
        }
        (200, json!({"ring": self.ring}))
    }
}

/// A key-value store. While `late` is set, every third transaction gets no answer
/// in time and is carried out seconds later, after newer ones. Transactions over
/// the limits are counted in `refused`.
pub fn state_service(late: Arc<AtomicBool>, refused: Arc<AtomicU32>) -> SocketAddr {
    let store: Shared<Store> = Shared::default();
    let commits = AtomicU32::new(0);
    serve(move |method, url, body| {
        let commit = *method == Method::Post && url == "/commit";
        if commit && over_limits(&body) {
            refused.fetch_add(1, Ordering::SeqCst);
            return (400, json!({"error": "over the limits"}));
        }
        if commit && late.load(Ordering::SeqCst) && commits.fetch_add(1, Ordering::SeqCst) % 3 == 2
        {
            let store = store.clone();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(2500));
                let mut s = lock(&store);
                s.expire();
                s.commit(&body);
            });
            std::thread::sleep(Duration::from_millis(1200));
            return (504, json!({}));
        }
        let mut s = lock(&store);
        s.expire();
        let path = url.split('?').next().unwrap_or_default();
        match (method, path) {
            (Method::Get, "/store") => {
                let items: Vec<Value> = s
                    .keys
                    .iter()
                    .map(|(k, v)| json!({"k": k, "value": v.0, "mark": v.1}))
                    .collect();
                (
                    200,
                    json!({"entries": items, "truncated": false, "ring": s.ring}),
                )
            }
            (Method::Get, "/changes") => {
                let from: u64 = query(url, "from").and_then(|f| f.parse().ok()).unwrap_or(0);
                let events: Vec<&Value> = s
                    .log
                    .iter()
                    .filter(|e| e["mark"].as_u64().unwrap_or(0) > from)
                    .collect();
                (200, json!({"ring": s.ring, "events": events}))
            }
            (Method::Get, p) => match p
                .strip_prefix("/store/")
                .and_then(|k| Some((k, s.keys.get(k)?)))
            {
                Some((k, v)) => (200, json!({"k": k, "value": v.0, "mark": v.1})),
                None => (404, json!({"ring": s.ring})),
            },
            (Method::Post, "/commit") => s.commit(&body),
            (Method::Post, "/leases") => {
                let id = s.leases.keys().last().copied().unwrap_or(0) + 1;
                let life = Duration::from_millis(body["life_ms"].as_u64().unwrap_or(1000));
                s.leases.insert(id, (Instant::now(), life));
                (200, json!({"roost": id}))
            }
            (Method::Post, p) => {
                let id = p
                    .strip_prefix("/leases/")
                    .and_then(|r| r.strip_suffix("/renew")?.parse::<u64>().ok());
                match id.and_then(|id| s.leases.get_mut(&id)) {
                    Some(lease) => {
                        lease.0 = Instant::now();
                        (200, json!({}))
                    }
                    None => (404, json!({})),
                }
            }
            _ => (400, json!({})),
        }
    })
}

/// What the workers did, for the checks.
#[derive(Default)]
pub struct Seen {
    /// Machines on which each task is.
    pub on: BTreeMap<String, Vec<String>>,
    pub starts: u32,
    pub twice: Vec<String>,
    /// Tasks that completed.
    pub completed: BTreeSet<String>,
    /// Tasks that were killed with their worker's lease.
    pub lapsed: u32,
    /// How often each task was started.
    pub starts_of: BTreeMap<String, u32>,
    /// Running tasks that were told to stop.
    pub stopped: Vec<String>,
    /// Machines that were deleted while tasks were on them.
    pub deleted_in_use: Vec<String>,
}

struct Worker {
    lease: Duration,
    report: Value,
    ends: BTreeMap<String, Instant>,
    /// When the last report that was answered had been sent, or the session began.
    lease_from: Instant,
}

impl Worker {
    /// Kills and forgets everything when the lease is past.
    fn expire_lease(&mut self, seen: &mut Seen) {
        if self.lease_from.elapsed() <= self.lease {
            return;
        }
        let id = self.report["perch"]
            .as_str()
            .unwrap_or_default()
            .to_string();
        for on in seen.on.values_mut().filter(|on| on.contains(&id)) {
            on.retain(|m| *m != id);
            seen.lapsed += 1;
        }
        self.ends.clear();
        self.report["chicks"] = json!([]);
        self.report["flight"] = (self.report["flight"].as_u64().unwrap_or(0) + 1).into();
        self.lease_from = Instant::now();
    }

    fn obey(&mut self, calls: &Value, run: Duration, seen: &mut Seen) {
        let id = self.report["perch"]
            .as_str()
            .unwrap_or_default()
            .to_string();
        for c in calls.as_array().map(Vec::as_slice).unwrap_or_default() {
            let task = c["chick"].as_str().unwrap_or_default().to_string();
            let lines = self.report["chicks"].as_array_mut().expect("tasks");
            let at = lines
                .iter()
                .position(|l| l["chick"] == c["chick"] && l["hatch"] == c["hatch"]);
            match (c["call"].as_str(), at) {
                (Some("start"), None) => {
                    lines.push(json!({"chick": task, "hatch": c["hatch"], "mood": "running"}));
                    let on = seen.on.entry(task.clone()).or_default();
                    on.push(id.clone());
                    if on.len() > 1 {
                        seen.twice.push(task.clone());
                    }
                    seen.starts += 1;
                    *seen.starts_of.entry(task.clone()).or_default() += 1;
                    self.ends.insert(task, Instant::now() + run);
                }
                (Some("halt"), Some(i)) if lines[i]["mood"] == "running" => {
                    lines[i]["mood"] = "ended".into();
                    lines[i]["cause"] = "stopped".into();
                    seen.stopped.push(task.clone());
                    seen.on.entry(task).or_default().retain(|m| *m != id);
                }
                (Some("reap"), Some(i)) if lines[i]["mood"] == "ended" => drop(lines.remove(i)),
                _ => {}
            }
        }
    }
}

/// A cloud whose machines are up at once; their workers report to `nodes`, and have
/// a lease of so long.
/// Tasks of jobs whose id ends in an even digit take a moment to complete.
pub fn cloud(nodes: Vec<SocketAddr>, seen: Shared<Seen>, lease: Duration) -> SocketAddr {
    let count = Shared::<u32>::default();
    let machines: Shared<BTreeMap<String, Value>> = Shared::default();
    serve(move |method, url, body| {
        let path = url.split('?').next().unwrap_or_default();
        match (method, path) {
            (Method::Get, "/catalog") => {
                let breed = json!({"name": "box", "cpus": 4, "accelerators": 0, "mem_gb": 16, "cache_gb": 20,
                    "pull_gb_per_s": 1.0, "hourly": 1.0, "spot_price": 0.4, "ready_s": 2, "groves": ["e", "w"]});
                (200, json!({"breeds": [breed]}))
            }
            (Method::Post, "/machines") => {
                let mut names = Vec::new();
                for _ in 0..body["number"].as_u64().unwrap_or(0) {
                    *lock(&count) += 1;
                    let name = format!("m-{:06}", *lock(&count));
                    start_worker(
                        &name,
                        &body,
                        nodes.clone(),
                        seen.clone(),
                        machines.clone(),
                        lease,
                    );
                    names.push(name);
                }
                (200, json!({"perches": names}))
            }
            (Method::Post, "/machines/delete") => {
                for m in body["perches"]
                    .as_array()
                    .map(Vec::as_slice)
                    .unwrap_or_default()
                {
                    let name = m.as_str().unwrap_or_default();
                    lock(&machines).remove(name);
                    let mut seen = lock(&seen);
                    if seen.on.values().any(|on| on.iter().any(|o| o == name)) {
                        seen.deleted_in_use.push(name.into());
                    }
                    seen.on.values_mut().for_each(|on| on.retain(|o| o != name));
                }
                (200, json!({}))
            }
            (Method::Get, "/machines") => {
                let list: Vec<Value> = lock(&machines).values().cloned().collect();
                (200, json!({"perches": list, "truncated": false}))
            }
            _ => (400, json!({})),
        }
    })
}

fn start_worker(
    name: &str,
    rental: &Value,
    nodes: Vec<SocketAddr>,
    seen: Shared<Seen>,
    machines: Shared<BTreeMap<String, Value>>,
    lease: Duration,
) {
    let run = Duration::from_millis(1500);
    let report = json!({"perch": name, "address": "", "breed": rental["breed"], "grove": rental["grove"],
        "windfall": rental["windfall"], "flight": 1, "chirp": 0, "crest": 0, "warning_s": null, "chicks": []});
    let worker = Arc::new(Mutex::new(Worker {
        lease,
        report,
        ends: BTreeMap::new(),
        lease_from: Instant::now(),
    }));
    let (w, s) = (worker.clone(), seen.clone());
    let addr = serve(move |method, url, body| {
        let mut w = lock(&w);
        w.expire_lease(&mut lock(&s));
        w.report["chirp"] = (w.report["chirp"].as_u64().unwrap_or(0) + 1).into();
        if *method == Method::Post && url == "/commands" {
            let stale = body["crest"].as_u64() < w.report["crest"].as_u64()
                || body["flight"] != w.report["flight"];
            if stale {
                return (409, w.report.clone());
            }
            w.report["crest"] = body["crest"].clone();
            w.obey(&body["calls"], run, &mut lock(&s));
        }
        (200, w.report.clone())
    });
    lock(&worker).report["address"] = addr.to_string().into();
    let listed = json!({"id": name, "address": addr.to_string(), "breed": rental["breed"],
        "grove": rental["grove"], "windfall": rental["windfall"], "mood": "running", "held_s": 1.0});
    lock(&machines).insert(name.into(), listed);
    let name = name.to_string();
    std::thread::spawn(move || {
        let agent = ureq::AgentBuilder::new()
            .timeout(Duration::from_secs(2))
            .build();
        let mut to = 0;
        while lock(&machines).contains_key(&name) {
            std::thread::sleep(Duration::from_millis(200));
            let sent = Instant::now();
            let report = {
                let mut w = lock(&worker);
                w.expire_lease(&mut lock(&seen));
                let now = Instant::now();
                let over: Vec<String> = w
                    .ends
                    .iter()
                    .filter(|(_, t)| **t < now)
                    .map(|(k, _)| k.clone())
                    .collect();
                for task in over.iter().filter(|t| finishes(t)) {
                    w.ends.remove(task);
                    for l in w.report["chicks"].as_array_mut().expect("tasks") {
                        if l["chick"] == task.as_str() && l["mood"] == "running" {
                            l["mood"] = "ended".into();
                            l["cause"] = "done".into();
                            lock(&seen).completed.insert(task.clone());
                            lock(&seen)
                                .on
                                .entry(task.clone())
                                .or_default()
                                .retain(|m| *m != name);
                        }
                    }
                }
                w.report["chirp"] = (w.report["chirp"].as_u64().unwrap_or(0) + 1).into();
                w.report.clone()
            };
            let answer = agent
                .post(&format!("http://{}/agent/beat", nodes[to % nodes.len()]))
                .send_string(&report.to_string());
            match answer {
                Ok(r) => {
                    let v: Value = serde_json::from_str(&r.into_string().unwrap_or_default())
                        .unwrap_or_default();
                    let mut w = lock(&worker);
                    let same = w.report["flight"] == report["flight"];
                    if same && v["crest"].as_u64() >= w.report["crest"].as_u64() {
                        w.lease_from = sent;
                        w.report["crest"] = v["crest"].clone();
                        w.obey(&v["calls"], run, &mut lock(&seen));
                    }
                }
                Err(ureq::Error::Status(421, r)) => {
                    let v: Value = serde_json::from_str(&r.into_string().unwrap_or_default())
                        .unwrap_or_default();
                    let n = v["sings_to"]
                        .as_str()
                        .and_then(|n| n.strip_prefix("n")?.parse::<usize>().ok());
                    to = n.unwrap_or(to + 1);
                }
                Err(_) => to += 1,
            }
        }
    });
}

fn finishes(task: &str) -> bool {
    let job = task.split('/').next().unwrap_or_default();
    job.bytes().last().is_some_and(|b| b % 2 == 0)
}
