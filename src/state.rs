//! The client of the state service: a blocking connection for the small
//! actors that own one, the rate budget, the poller that feeds the mirror
//! and the group commit.

use crate::clock::{self, Secs};
use crate::settings::Settings;
use crossbeam::channel::{bounded, Receiver, RecvTimeoutError, Sender, TrySendError};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

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
    Put { key: String, value: Value, version: u64 },
    Delete { key: String, version: u64 },
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

/// How a call ended.
#[derive(Debug)]
pub enum CallError {
    /// An answer with this status.
    Status(u16, Value),
    /// No answer.
    Silent,
}

/// A blocking HTTP client for one outside system.
#[derive(Clone)]
pub struct Http {
    agent: ureq::Agent,
    base: String,
}

impl Http {
    /// A client for `addr`, giving up on each call after `timeout`.
    pub fn new(addr: SocketAddr, timeout: Secs) -> Http {
        let agent = ureq::AgentBuilder::new()
            .timeout_connect(Duration::from_secs_f64(timeout))
            .timeout(Duration::from_secs_f64(timeout))
            .max_idle_connections_per_host(2)
            .redirects(0)
            .build();
        Http { agent, base: format!("http://{addr}") }
    }

    /// One call; a body makes it a POST.
    pub fn call(&self, method: &str, path: &str, body: Option<&Value>) -> Result<Value, CallError> {
        let request = self.agent.request(method, &format!("{}{path}", self.base));
        let answer = match body {
            Some(b) => request
                .set("Content-Type", "application/json")
                .send_bytes(&serde_json::to_vec(b).unwrap_or_default()),
            None => request.call(),
        };
        match answer {
            Ok(r) => {
                let mut bytes = Vec::new();
                std::io::Read::read_to_end(&mut r.into_reader(), &mut bytes)
                    .map_err(|_| CallError::Silent)?;
                if bytes.is_empty() {
                    return Ok(Value::Null);
                }
                serde_json::from_slice(&bytes).map_err(|_| CallError::Silent)
            }
            Err(ureq::Error::Status(code, r)) => {
                let text = r.into_string().unwrap_or_default();
                Err(CallError::Status(code, serde_json::from_str(&text).unwrap_or(Value::Null)))
            }
            Err(ureq::Error::Transport(_)) => Err(CallError::Silent),
        }
    }
}

/// A bucket that refills at a steady rate and holds a second's worth.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: f64,
    /// The rate that it began with, to which it returns.
    full_rate: f64,
    /// The rate below which refusals don't bring it.
    least_rate: f64,
    size: f64,
    level: f64,
    at: Secs,
}

/// What a refusal leaves of a bucket's rate.
const RATE_AFTER_REFUSAL: f64 = 0.9;

/// How long a rate takes to rise from its least to its full again, in seconds.
const RATE_RETURNS_S: Secs = 60.0;

impl Bucket {
    /// A full bucket.
    pub fn new(rate: f64, size: f64, now: Secs) -> Bucket {
        Bucket { rate, full_rate: rate, least_rate: rate, size, level: size, at: now }
    }
    /// The same, with a rate that refusals may bring down to `least_rate`.
    pub fn with_least(self, least_rate: f64) -> Bucket {
        Bucket { least_rate: least_rate.min(self.rate), ..self }
    }
    /// The present rate.
    pub fn rate(&self) -> f64 {
        self.rate
    }
    fn refill(&mut self, now: Secs) {
        let risen = (self.full_rate - self.least_rate) / RATE_RETURNS_S * (now - self.at).max(0.0);
        self.rate = (self.rate + risen).min(self.full_rate);
        self.level = (self.level + (now - self.at).max(0.0) * self.rate).min(self.size);
        self.at = now;
    }
    /// Takes `n`, or says how long to wait.
    pub fn take(&mut self, n: f64, now: Secs) -> Result<(), Secs> {
        self.refill(now);
        let n = n.min(self.size);
        if self.level >= n {
            self.level -= n;
            Ok(())
        } else {
            Err((n - self.level) / self.rate)
        }
    }
    /// Takes `n` whatever is left, and says how long to wait before it is used.
    /// Whoever comes later waits longer: a large batch that waited for a full
    /// bucket never got one while small ones kept coming, and the roster stood
    /// still for as long as there were finished tasks to commit.
    pub fn reserve(&mut self, n: f64, now: Secs) -> Secs {
        self.refill(now);
        self.level -= n;
        (-self.level / self.rate).max(0.0)
    }
    /// The service said it was too much: start from nothing, and more slowly.
    pub fn refused(&mut self, now: Secs) {
        self.refill(now);
        self.level = self.level.min(0.0);
        self.rate = (self.rate * RATE_AFTER_REFUSAL).max(self.least_rate);
    }
}

/// How pressing a write is. Users and the epoch never wait behind the
/// leader's housekeeping, of which there is as much as there are machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// Submissions, cancellations, the epoch.
    Urgent,
    /// Finished tasks, the roster, the catalogue.
    Bulk,
}

/// The share of the service's write rate that the leader's bulk may take; the
/// rest is left to the submissions of all nodes together.
pub const BULK_SHARE: f64 = 0.55;

impl Class {
    fn share(self) -> f64 {
        match self {
            Class::Urgent => 1.0 - BULK_SHARE,
            Class::Bulk => BULK_SHARE,
        }
    }
}

/// This node's share of the state service's two rates.
#[derive(Clone)]
pub struct Budget {
    calls: Arc<Mutex<Bucket>>,
    urgent: Arc<Mutex<Bucket>>,
    bulk: Arc<Mutex<Bucket>>,
}

impl Budget {
    /// Shares: calls are split evenly among the controllers. Urgent writes
    /// come in bursts at any one node, so that each may take what bulk leaves;
    /// a refusal for rate is waited out and tried again.
    pub fn new(settings: &Settings) -> Budget {
        let now = clock::now();
        let n = (settings.members.len() + 1) as f64;
        let s = &settings.params.state;
        let bucket = |rate: f64, least: f64| {
            let bucket = Bucket::new(rate, rate.max(1.0), now).with_least(least);
            Arc::new(Mutex::new(bucket))
        };
        let writes = |class: Class| bucket(s.write_rps * class.share(), s.lowest_write_rps() * class.share());
        Budget {
            calls: bucket(s.rps / n, s.rps / n),
            urgent: writes(Class::Urgent),
            bulk: writes(Class::Bulk),
        }
    }

    fn lock(bucket: &Mutex<Bucket>) -> std::sync::MutexGuard<'_, Bucket> {
        bucket.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn wait(bucket: &Mutex<Bucket>, n: f64) {
        let wait = Self::lock(bucket).reserve(n, clock::now());
        if wait > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(wait));
        }
    }

    fn writes(&self, class: Class) -> &Mutex<Bucket> {
        match class {
            Class::Urgent => &self.urgent,
            Class::Bulk => &self.bulk,
        }
    }

    /// Waits for room for one call.
    pub fn wait_call(&self) {
        Self::wait(&self.calls, 1.0);
    }

    /// Takes a call at once: lease renewals go first.
    pub fn force_call(&self) {
        Self::lock(&self.calls).reserve(1.0, clock::now());
    }

    /// Waits for room for `ops` puts and deletes.
    pub fn wait_writes(&self, class: Class, ops: usize) {
        Self::wait(self.writes(class), ops as f64);
    }

    /// The service refused for rate: the bucket starts anew.
    pub fn too_much(&self, class: Class) {
        let now = clock::now();
        Self::lock(self.writes(class)).refused(now);
    }
}

/// Typed calls of the state service.
#[derive(Clone)]
pub struct Store {
    http: Http,
}

impl Store {
    /// A client; calls are given up on after a second, as answers take
    /// hundredths of one and rarely a few tenths.
    pub fn new(settings: &Settings) -> Store {
        Store { http: Http::new(settings.services.state, 1.0) }
    }

    /// One page of the keys under our prefix: entries, whether more, ring.
    pub fn page(&self, from: Option<&str>) -> Result<(Vec<Entry>, bool, u64), CallError> {
        let from = from.map(|f| format!("&from={f}")).unwrap_or_default();
        let v = self.http.call("GET", &format!("/store?starts={PREFIX}{from}&most=1000"), None)?;
        let entries = serde_json::from_value(v["entries"].clone()).map_err(|_| CallError::Silent)?;
        let ring = v["ring"].as_u64().ok_or(CallError::Silent)?;
        Ok((entries, v["truncated"].as_bool().unwrap_or(false), ring))
    }

    /// One key, or `None` if it does not exist.
    pub fn get(&self, key: &str) -> Result<Option<Entry>, CallError> {
        match self.http.call("GET", &format!("/store/{key}"), None) {
            Ok(v) => serde_json::from_value(v).map(Some).map_err(|_| CallError::Silent),
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
        for e in v["events"].as_array().map(Vec::as_slice).unwrap_or_default() {
            let version = e["mark"].as_u64().ok_or(CallError::Silent)?;
            if let Some(key) = e["put"].as_str() {
                events.push(Event::Put { key: key.into(), value: e["value"].clone(), version });
            } else if let Some(key) = e["delete"].as_str() {
                events.push(Event::Delete { key: key.into(), version });
            }
        }
        Ok((ring, events))
    }

    /// One transaction.
    pub fn commit(&self, conditions: &[(String, u64)], ops: &[Op]) -> Outcome {
        let conditions: Vec<Value> = conditions.iter().map(|(k, v)| json!({"k": k, "mark": v})).collect();
        let body = json!({"if": conditions, "writes": ops});
        match self.http.call("POST", "/commit", Some(&body)) {
            Ok(v) => v["ring"].as_u64().map_or(Outcome::Unknown, Outcome::Done),
            Err(CallError::Status(409, v)) => Outcome::Conflict(
                v["failed"]
                    .as_array()
                    .map(|a| a.iter().filter_map(|k| k.as_str().map(String::from)).collect())
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
        match self.http.call("POST", &format!("/leases/{lease}/renew"), Some(&json!({}))) {
            Ok(_) => Ok(true),
            Err(CallError::Status(404, _)) => Ok(false),
            Err(e) => Err(e),
        }
    }
}

/// What the poller tells its owner.
#[derive(Debug)]
pub enum Feed {
    /// All keys, read anew.
    Loaded { began: Secs, ring: u64, entries: Vec<Entry> },
    /// What has changed since the last.
    Changed { began: Secs, ring: u64, events: Vec<Event> },
    /// A read failed.
    Down,
}

/// The poller's pace: a third of the service's calls go to keeping the
/// mirrors of all nodes fresh.
pub fn poll_gap(settings: &Settings) -> Secs {
    let nodes = (settings.members.len() + 1) as f64;
    // Nobody notices less than that, and each reading takes its time.
    let least = settings.params.workers.report_s / 50.0;
    (3.0 * nodes / settings.params.state.rps).max(least)
}

/// Starts the poller. It reads all keys once, then asks for changes at a
/// steady pace, at once when kicked and the pace allows.
pub fn poller<F>(settings: &Settings, budget: Budget, kicks: Receiver<()>, tell: F)
where
    F: Fn(Feed) -> bool + Send + 'static,
{
    let store = Store::new(settings);
    let gap = poll_gap(settings);
    spawn("state-poller", move || {
        let mut at: Option<u64> = None;
        let mut last = clock::now() - gap;
        loop {
            let wait = (last + gap - clock::now()).max(0.0);
            std::thread::sleep(Duration::from_secs_f64(wait));
            match kicks.recv_timeout(Duration::from_secs_f64(gap)) {
                Err(RecvTimeoutError::Disconnected) => return,
                _ => while kicks.try_recv().is_ok() {},
            }
            budget.wait_call();
            last = clock::now();
            let feed = match at {
                None => load(&store, &budget, last),
                Some(from) => match store.changes(from) {
                    Ok((ring, events)) => Some(Feed::Changed { began: last, ring, events }),
                    Err(CallError::Status(410, _)) => {
                        at = None;
                        continue;
                    }
                    Err(_) => None,
                },
            };
            match &feed {
                Some(Feed::Loaded { ring, .. } | Feed::Changed { ring, .. }) => at = Some(*ring),
                _ => last += gap,
            }
            if !tell(feed.unwrap_or(Feed::Down)) {
                return;
            }
        }
    });
}

fn load(store: &Store, budget: &Budget, began: Secs) -> Option<Feed> {
    let mut entries: Vec<Entry> = Vec::new();
    let mut first_ring = None;
    loop {
        let from = entries.last().map(|e| e.key.clone());
        let (page, more, ring) = store.page(from.as_deref()).ok()?;
        // Later pages may be newer than the first: changes are asked for
        // from the first page's revision, and applying them twice is harmless.
        let ring = *first_ring.get_or_insert(ring);
        let empty = page.is_empty();
        entries.extend(page);
        if !more || empty {
            return Some(Feed::Loaded { began, ring, entries });
        }
        budget.wait_call();
    }
}

/// A conditional write that wants to go out, with others or alone.
#[derive(Debug)]
pub struct Write<T> {
    pub conditions: Vec<(String, u64)>,
    pub ops: Vec<Op>,
    /// After this it is not sent any more.
    pub deadline: Secs,
    pub tag: T,
}

/// Sends writes to the group commit.
pub struct Writer<T> {
    urgent: Sender<Write<T>>,
    bulk: Sender<Write<T>>,
}

/// Threads that commit, for each class.
const LANES: usize = 2;

/// How long a batch may take to be allowed by the rate: users wait for the end
/// of a job, and for a submission, behind it.
const BATCH_S: Secs = 0.5;

impl<T: Send + 'static> Writer<T> {
    /// Starts the threads that gather waiting writes into transactions.
    pub fn start<F>(settings: &Settings, budget: Budget, tell: F) -> Writer<T>
    where
        F: Fn(T, Outcome) -> bool + Send + Clone + 'static,
    {
        let bound = (settings.params.state.write_rps * 8.0) as usize + 64;
        let start = |class: Class| {
            let (queue, inbox) = bounded::<Write<T>>(bound);
            for lane in 0..LANES {
                let store = Store::new(settings);
                let (inbox, budget, tell) = (inbox.clone(), budget.clone(), tell.clone());
                // A batch waits for as many writes as it holds.
                let rate = settings.params.state.write_rps * class.share();
                let most =
                    settings.params.state.lowest_txn_ops().min((rate * BATCH_S).ceil() as usize).max(1);
                spawn(&format!("state-{class:?}-{lane}"), move || {
                    let mut left: Option<Write<T>> = None;
                    loop {
                        let first = match left.take() {
                            Some(w) => w,
                            None => match inbox.recv() {
                                Ok(w) => w,
                                Err(_) => return,
                            },
                        };
                        let mut batch = vec![first];
                        left = gather(&inbox, &mut batch, most);
                        commit_batch(&store, &budget, class, batch, &tell);
                    }
                });
            }
            queue
        };
        Writer { urgent: start(Class::Urgent), bulk: start(Class::Bulk) }
    }

    /// Queues a write, or hands it back if the queue is full.
    pub fn send(&self, class: Class, write: Write<T>) -> Result<(), Write<T>> {
        let queue = match class {
            Class::Urgent => &self.urgent,
            Class::Bulk => &self.bulk,
        };
        match queue.try_send(write) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(w) | TrySendError::Disconnected(w)) => Err(w),
        }
    }
}

fn bytes(ops: &[Op]) -> usize {
    serde_json::to_vec(ops).map_or(0, |v| v.len())
}

/// Takes more waiting writes as long as one transaction can hold them.
/// Returns the first that did not fit.
fn gather<T>(inbox: &Receiver<Write<T>>, batch: &mut Vec<Write<T>>, most: usize) -> Option<Write<T>> {
    let mut ops: usize = batch[0].ops.len();
    let mut conditions = batch[0].conditions.len();
    let mut size = bytes(&batch[0].ops);
    while let Ok(next) = inbox.try_recv() {
        let clash = batch.iter().any(|w| w.conditions.iter().any(|c| next.conditions.contains(c)));
        let next_size = bytes(&next.ops);
        if clash
            || ops + next.ops.len() > most
            || conditions + next.conditions.len() > most * 4
            || size + next_size > 48 * 1024
        {
            return Some(next);
        }
        ops += next.ops.len();
        conditions += next.conditions.len();
        size += next_size;
        batch.push(next);
    }
    None
}

fn commit_batch<T>(
    store: &Store,
    budget: &Budget,
    class: Class,
    mut batch: Vec<Write<T>>,
    tell: &impl Fn(T, Outcome) -> bool,
) {
    loop {
        let now = clock::now();
        let (late, rest): (Vec<_>, Vec<_>) = batch.into_iter().partition(|w| w.deadline < now);
        for w in late {
            tell(w.tag, Outcome::Refused);
        }
        batch = rest;
        if batch.is_empty() {
            return;
        }
        budget.wait_call();
        budget.wait_writes(class, batch.iter().map(|w| w.ops.len()).sum());
        let conditions: Vec<_> = batch.iter().flat_map(|w| w.conditions.clone()).collect();
        let ops: Vec<_> = batch.iter().flat_map(|w| w.ops.clone()).collect();
        match store.commit(&conditions, &ops) {
            Outcome::Conflict(keys) => {
                let (failed, rest): (Vec<_>, Vec<_>) =
                    batch.into_iter().partition(|w| w.conditions.iter().any(|(k, _)| keys.contains(k)));
                let stuck = failed.is_empty();
                for w in failed {
                    tell(w.tag, Outcome::Conflict(keys.clone()));
                }
                batch = rest;
                if stuck {
                    for w in batch {
                        tell(w.tag, Outcome::Conflict(keys.clone()));
                    }
                    return;
                }
            }
            // Guard: one write that the service doesn't take must not be given up
            // together with those that only shared its transaction, again and again.
            Outcome::Invalid if batch.len() > 1 => {
                for write in batch {
                    commit_batch(store, budget, class, vec![write], tell);
                }
                return;
            }
            // Certainly not executed: again within the writes' deadlines.
            Outcome::TooMuch => {
                budget.too_much(class);
                std::thread::sleep(Duration::from_secs_f64(rand::random::<f64>() * 0.1));
            }
            outcome => {
                for w in batch {
                    tell(w.tag, outcome.clone());
                }
                return;
            }
        }
    }
}

/// Starts a named thread with a small stack.
pub fn spawn(name: &str, body: impl FnOnce() + Send + 'static) {
    let started = std::thread::Builder::new().name(name.into()).stack_size(512 * 1024).spawn(body);
    if let Err(e) = started {
        tracing::error!(name, %e, "cannot start a thread");
    }
}
