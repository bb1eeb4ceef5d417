//! The mirror: what the state service holds, kept in memory.
//!
//! | key | value |
//! | --- | --- |
//! | `fw/epoch` | [`Epoch`]: live members, leader |
//! | `fw/m/NAME` | [`Member`], attached to the member's lease |
//! | `fw/j/ID` | [`JobRecord`] |
//! | `fw/f/ID/CHUNK` | finished tasks of a [`Chunk`], a bitmap in hex |
//! | `fw/r/PAGE` | [`RosterPage`]: the machines of a rental, or [`RosterRecord`] of one (as before 0.2) |
//! | `fw/c` | the cloud's catalogue |

use crate::finished::{tasks_per_chunk, Bits, Chunk};
use crate::state::{Entry, Event};
use crate::wire::{Catalog, JobId, JobSpec, MachineId};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// The key of the epoch.
pub const EPOCH_KEY: &str = "fw/epoch";
/// The key of the catalogue.
pub const CATALOG_KEY: &str = "fw/c";

/// A member as its key tells it: its lease is its incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub inc: u64,
    /// What the member's version can do; versions before [`GANG_CAPABILITY`] don't say.
    #[serde(rename = "v", default, skip_serializing_if = "is_zero")]
    pub capability: u32,
}

/// The capability of versions that run gangs.
pub const GANG_CAPABILITY: u32 = 1;

impl Member {
    /// A member of this version.
    pub fn of_this_version(inc: u64) -> Member {
        Member { inc, capability: GANG_CAPABILITY }
    }
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// Who is entitled to act, and in what role.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Epoch {
    pub n: u64,
    /// Name to incarnation.
    pub members: BTreeMap<String, u64>,
    pub leader: String,
}

/// A job as it is stored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The spec; left out once the job is done.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<Arc<JobSpec>>,
    /// The epoch in which it was accepted.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// The time of day, in milliseconds, when it was accepted.
    #[serde(rename = "t")]
    pub at_ms: u64,
    /// How many tasks it has.
    #[serde(rename = "n")]
    pub tasks: u32,
    #[serde(rename = "x", default)]
    pub cancelled: bool,
    #[serde(rename = "d", default)]
    pub done: bool,
    /// The time of day, in milliseconds, when it was cancelled.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub cancelled_at_ms: Option<u64>,
}

/// A machine as it is stored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RosterRecord {
    #[serde(rename = "b")]
    pub kind: Arc<str>,
    #[serde(rename = "z")]
    pub zone: Arc<str>,
    #[serde(rename = "s")]
    pub spot: bool,
    /// Whether tasks may have been started on it: written before the first.
    #[serde(rename = "u", default)]
    pub up: bool,
    /// The time of day, in milliseconds, when it was rented or found.
    #[serde(rename = "t", default)]
    pub at_ms: u64,
    /// Where its worker takes commands, once that is known: a new owner asks
    /// it at once what it runs.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub addr: Option<Arc<str>>,
}

/// A page of the roster: the machines of one rental, so that hundreds of them
/// come on the roster, up and off it with few writes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RosterPage {
    #[serde(rename = "b")]
    pub kind: Arc<str>,
    #[serde(rename = "z")]
    pub zone: Arc<str>,
    #[serde(rename = "s")]
    pub spot: bool,
    #[serde(rename = "t", default)]
    pub at_ms: u64,
    /// Machine to the address of its worker; none while nothing was started there.
    #[serde(rename = "m")]
    pub machines: BTreeMap<MachineId, Option<Arc<str>>>,
}

impl RosterPage {
    fn record(&self, addr: &Option<Arc<str>>) -> RosterRecord {
        RosterRecord {
            kind: self.kind.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            up: addr.is_some(),
            at_ms: self.at_ms,
            addr: addr.clone().filter(|a| !a.is_empty()),
        }
    }
}

/// A page as the mirror holds it.
#[derive(Debug, Clone)]
pub struct Page {
    pub page: RosterPage,
    pub version: u64,
}

/// A job as the mirror has it.
#[derive(Debug, Clone)]
pub struct Job {
    pub record: JobRecord,
    pub version: u64,
    pub finished: Bits,
    /// Versions of the chunks of finished tasks.
    pub chunks: BTreeMap<Chunk, u64>,
}

impl Job {
    /// Neither done nor cancelled.
    pub fn live(&self) -> bool {
        !self.record.done && !self.record.cancelled
    }
}

/// What an applied event changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    Epoch,
    Members,
    Job(JobId),
    Machines(Vec<MachineId>),
    Catalog,
    Nothing,
}

/// Everything the state service holds of ours.
#[derive(Debug, Default)]
pub struct Mirror {
    pub epoch: Option<Epoch>,
    pub epoch_version: u64,
    pub members: BTreeMap<String, (Member, u64)>,
    pub jobs: HashMap<JobId, Job>,
    /// Every machine on any page, with the page it is taken from.
    pub roster: BTreeMap<MachineId, (RosterRecord, Arc<str>)>,
    pub pages: BTreeMap<Arc<str>, Page>,
    /// Versions of pages that were deleted.
    gone_pages: HashMap<Arc<str>, u64>,
    pub catalog: Option<Arc<Catalog>>,
    pub catalog_version: u64,
    /// Tasks of each numbered chunk, as production counts them.
    tasks_per_numbered_chunk: u32,
}

/// The key of a job's record.
pub fn job_key(id: &str) -> String {
    format!("fw/j/{id}")
}
/// The key of a page of the roster.
pub fn page_key(name: &str) -> String {
    format!("fw/r/{name}")
}
/// The key of a member.
pub fn member_key(name: &str) -> String {
    format!("fw/m/{name}")
}

impl Mirror {
    /// An empty mirror.
    pub fn new(value_kb: f64) -> Mirror {
        Mirror { tasks_per_numbered_chunk: tasks_per_chunk(value_kb), ..Mirror::default() }
    }

    /// Takes a full reading in place of everything.
    pub fn load(&mut self, entries: Vec<Entry>) {
        let tasks_per_numbered_chunk = self.tasks_per_numbered_chunk;
        *self = Mirror { tasks_per_numbered_chunk, ..Mirror::default() };
        let (chunks, rest): (Vec<_>, Vec<_>) = entries.into_iter().partition(|e| e.key.starts_with("fw/f/"));
        for e in rest.into_iter().chain(chunks) {
            self.put(&e.key, e.value, e.version);
        }
    }

    /// Whether every live member can run gangs. It can change at any time: a
    /// process that ends may come back with the version of before.
    pub fn all_run_gangs(&self) -> bool {
        self.members.values().all(|(member, _)| member.capability >= GANG_CAPABILITY)
    }

    /// Applies one event.
    pub fn apply(&mut self, event: Event) -> Change {
        match event {
            Event::Put { key, value, version } => self.put(&key, value, version),
            Event::Delete { key, version } => self.delete(&key, version),
        }
    }

    /// Applies a put; older versions than the known one change nothing.
    pub fn put(&mut self, key: &str, value: Value, version: u64) -> Change {
        self.try_put(key, value, version).unwrap_or_else(|| {
            tracing::warn!(key, "a value in the state service makes no sense; left out");
            Change::Nothing
        })
    }

    fn try_put(&mut self, key: &str, value: Value, version: u64) -> Option<Change> {
        if key == EPOCH_KEY {
            let epoch: Epoch = serde_json::from_value(value).ok()?;
            if version <= self.epoch_version {
                return Some(Change::Nothing);
            }
            self.epoch = Some(epoch);
            self.epoch_version = version;
            return Some(Change::Epoch);
        }
        if key == CATALOG_KEY {
            if version <= self.catalog_version {
                return Some(Change::Nothing);
            }
            self.catalog = Some(Arc::new(serde_json::from_value(value).ok()?));
            self.catalog_version = version;
            return Some(Change::Catalog);
        }
        let mut parts = key.strip_prefix("fw/")?.splitn(3, '/');
        match (parts.next()?, parts.next()?, parts.next()) {
            ("m", name, None) => {
                let known = self.members.get(name).map_or(0, |m| m.1);
                if version > known {
                    let member = serde_json::from_value(value).ok()?;
                    self.members.insert(name.into(), (member, version));
                }
                Some(Change::Members)
            }
            ("j", id, None) => {
                let record: JobRecord = serde_json::from_value(value).ok()?;
                let id: JobId = id.into();
                match self.jobs.get_mut(&id) {
                    Some(job) if version <= job.version => return Some(Change::Nothing),
                    Some(job) => {
                        job.record = record;
                        job.version = version;
                        if job.record.done {
                            job.finished = Bits::default();
                            job.chunks.clear();
                        }
                    }
                    None => {
                        self.jobs.insert(
                            id.clone(),
                            Job { record, version, finished: Bits::default(), chunks: BTreeMap::new() },
                        );
                    }
                }
                Some(Change::Job(id))
            }
            ("f", id, Some(chunk)) => {
                let chunk = Chunk::parse(chunk)?;
                let first = chunk.first_task(self.tasks_per_numbered_chunk)?;
                let text: String = serde_json::from_value(value).ok()?;
                let job = self.jobs.get_mut(id)?;
                if job.record.done || version <= job.chunks.get(&chunk).copied().unwrap_or(0) {
                    return Some(Change::Nothing);
                }
                job.chunks.insert(chunk, version);
                job.finished.add_hex(first, &text);
                Some(Change::Job(id.into()))
            }
            ("r", name, None) => {
                let page = if value.get("m").is_some() {
                    serde_json::from_value(value).ok()?
                } else {
                    let r: RosterRecord = serde_json::from_value(value).ok()?;
                    let addr = r.up.then(|| r.addr.unwrap_or_else(|| "".into()));
                    RosterPage {
                        kind: r.kind,
                        zone: r.zone,
                        spot: r.spot,
                        at_ms: r.at_ms,
                        machines: [(name.into(), addr)].into_iter().collect(),
                    }
                };
                Some(self.put_page(key.into(), page, version))
            }
            _ => None,
        }
    }

    /// Takes in that a job's cancellation was committed as revision `version`,
    /// as another controller tells it. That needs no epoch and no order: a live
    /// record becomes nothing else than cancelled by it, and what is known
    /// already stays. False if nothing has changed.
    pub fn call_off(&mut self, id: &JobId, version: u64, at_ms: u64) -> bool {
        match self.jobs.get_mut(id) {
            Some(job) if job.live() && job.version < version => {
                job.record.cancelled = true;
                job.record.cancelled_at_ms = Some(at_ms);
                job.version = version;
                true
            }
            _ => false,
        }
    }

    /// Takes in a page; what is no longer on it is off the roster, unless
    /// another page has it too.
    fn put_page(&mut self, key: Arc<str>, page: RosterPage, version: u64) -> Change {
        let known = self.pages.get(&key).map(|p| p.version).or(self.gone_pages.get(&key).copied());
        if known.is_some_and(|v| version <= v) {
            return Change::Nothing;
        }
        let mut changed = Vec::new();
        for (id, addr) in &page.machines {
            let record = page.record(addr);
            match self.roster.get(id) {
                Some((_, other)) if *other != key => {}
                Some((old, _)) if *old == record => {}
                _ => {
                    self.roster.insert(id.clone(), (record, key.clone()));
                    changed.push(id.clone());
                }
            }
        }
        let old = self.pages.insert(key.clone(), Page { page, version });
        let now = &self.pages[&key].page.machines;
        let off: Vec<MachineId> = old
            .map(|o| o.page.machines.into_keys().filter(|id| !now.contains_key(id)).collect())
            .unwrap_or_default();
        if let Change::Machines(more) = self.off_page(&key, off) {
            changed.extend(more);
        }
        Change::Machines(changed)
    }

    fn off_page(&mut self, key: &str, ids: Vec<MachineId>) -> Change {
        for id in &ids {
            if self.roster.get(id).is_none_or(|r| &*r.1 != key) {
                continue;
            }
            self.roster.remove(id);
            let other = self
                .pages
                .iter()
                .find_map(|(k, p)| p.page.machines.get(id).map(|addr| (p.page.record(addr), k.clone())));
            if let Some(entry) = other {
                self.roster.insert(id.clone(), entry);
            }
        }
        Change::Machines(ids)
    }

    fn delete(&mut self, key: &str, version: u64) -> Change {
        let mut parts = key.strip_prefix("fw/").unwrap_or_default().splitn(3, '/');
        match (parts.next(), parts.next()) {
            (Some("m"), Some(name)) => {
                if self.members.get(name).is_some_and(|m| m.1 < version) {
                    self.members.remove(name);
                }
                Change::Members
            }
            (Some("r"), Some(_)) => {
                if self.pages.get(key).is_some_and(|p| p.version > version) {
                    return Change::Nothing;
                }
                let gone = self.pages.remove(key);
                self.gone_pages.insert(key.into(), version);
                let ids = gone.map(|p| p.page.machines.into_keys().collect()).unwrap_or_default();
                self.off_page(key, ids)
            }
            (Some("f"), Some(id)) => Change::Job(id.into()),
            _ => Change::Nothing,
        }
    }
}
