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
//! | `fw/s` | [`ShareTable`], as it is stored |

use crate::finished::{tasks_per_chunk, Bits, Chunk};
use crate::state::{Entry, Event};
use crate::unreadable::{RecordError, UnreadableRecords};
use crate::wire::{Catalog, JobId, JobSpec, MachineId, Task};
use finchwood_reconcile::stored::{StoredJobs, StoredTask};
use finchwood_shares::table::{ShareError, ShareTable, StoredTable};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// The key of the epoch.
pub const EPOCH_KEY: &str = "fw/epoch";
/// What the keys of roster pages begin with.
pub const ROSTER_PREFIX: &str = "fw/r/";
/// What the keys of job records begin with.
pub const JOB_PREFIX: &str = "fw/j/";
/// The key of the table of shares.
pub const SHARES_KEY: &str = "fw/s";
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

/// The capability of those that also go by the table of shares.
pub const SHARES_CAPABILITY: u32 = 2;

impl Member {
    /// A member of this version, that goes by the table of shares or not.
    pub fn new(inc: u64, shares: bool) -> Member {
        Member {
            inc,
            capability: if shares {
                SHARES_CAPABILITY
            } else {
                GANG_CAPABILITY
            },
        }
    }

    /// A member of this version without parts that are off by default.
    pub fn of_this_version(inc: u64) -> Member {
        Member::new(inc, false)
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
    /// All members go by the table of shares; left out where one doesn't.
    #[serde(rename = "s", default, skip_serializing_if = "std::ops::Not::not")]
    pub shares: bool,
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

impl JobRecord {
    /// Whether the record makes sense under the key of job `id`. One that is over
    /// needs nothing of its description.
    fn check(&self, id: &str) -> Result<(), RecordError> {
        match &self.spec {
            _ if self.done || self.cancelled => Ok(()),
            None => Err(RecordError::NoDescription),
            Some(spec) if &*spec.id != id => Err(RecordError::OtherJob),
            Some(spec) if spec.tasks != self.tasks => Err(RecordError::TaskCount),
            _ => Ok(()),
        }
    }
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
    Shares,
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
    /// What is owned otherwise than the hash says.
    pub shares: ShareTable,
    pub shares_version: u64,
    /// Records that make no sense, and are left alone.
    pub unreadable: UnreadableRecords,
    /// Tasks of each numbered chunk, as production counts them.
    tasks_per_numbered_chunk: u32,
}

impl StoredJobs for Mirror {
    fn stored(&self, task: &Task) -> StoredTask {
        match self.jobs.get(&task.job) {
            None => StoredTask::UnknownJob,
            Some(job) if job.record.done => StoredTask::JobDone,
            Some(job) if job.record.cancelled => StoredTask::JobCancelled,
            Some(job) if task.index >= job.record.tasks => StoredTask::NoSuchTask,
            Some(job) if job.finished.has(task.index) => StoredTask::Finished,
            Some(_) => StoredTask::Unfinished,
        }
    }
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

/// Reads a stored value.
fn read<T: serde::de::DeserializeOwned>(value: Value) -> Result<T, RecordError> {
    serde_json::from_value(value).map_err(|_| RecordError::Malformed)
}

/// Reads a page of the roster, or the record of a single machine as a page.
fn read_page(name: &str, value: Value) -> Result<RosterPage, RecordError> {
    if value.get("m").is_some() {
        return read(value);
    }
    let record: RosterRecord = read(value)?;
    let addr = record.up.then(|| record.addr.unwrap_or_else(|| "".into()));
    Ok(RosterPage {
        kind: record.kind,
        zone: record.zone,
        spot: record.spot,
        at_ms: record.at_ms,
        machines: [(name.into(), addr)].into_iter().collect(),
    })
}

impl Mirror {
    /// An empty mirror.
    pub fn new(value_kb: f64) -> Mirror {
        Mirror {
            tasks_per_numbered_chunk: tasks_per_chunk(value_kb),
            ..Mirror::default()
        }
    }

    /// Takes a full reading in place of everything.
    pub fn load(&mut self, entries: Vec<Entry>) {
        let tasks_per_numbered_chunk = self.tasks_per_numbered_chunk;
        *self = Mirror {
            tasks_per_numbered_chunk,
            ..Mirror::default()
        };
        let (chunks, rest): (Vec<_>, Vec<_>) = entries
            .into_iter()
            .partition(|e| e.key.starts_with("fw/f/"));
        for e in rest.into_iter().chain(chunks) {
            self.put(&e.key, e.value, e.version);
        }
    }

    /// Whether every live member can run gangs. It can change at any time: a
    /// process that ends may come back with the version of before.
    pub fn all_run_gangs(&self) -> bool {
        self.members
            .values()
            .all(|(member, _)| member.capability >= GANG_CAPABILITY)
    }

    /// Applies one event.
    pub fn apply(&mut self, event: Event) -> Change {
        match event {
            Event::Put {
                key,
                value,
                version,
            } => self.put(&key, value, version),
            Event::Delete { key, version } => self.delete(&key, version),
        }
    }

    /// Applies a put; older versions than the known one change nothing. A record
    /// that makes no sense is left out: what was known under its key stays.
    pub fn put(&mut self, key: &str, value: Value, version: u64) -> Change {
        match self.try_put(key, value, version) {
            Ok(change) => {
                if change != Change::Shares {
                    self.unreadable.remove(key, version);
                }
                change
            }
            Err(RecordError::ForeignKey) => {
                tracing::debug!(key, "a key of another version");
                Change::Nothing
            }
            Err(why) => {
                tracing::warn!(key, version, %why, "a stored record is left out");
                self.unreadable.add(key, version, why);
                Change::Nothing
            }
        }
    }

    fn try_put(&mut self, key: &str, value: Value, version: u64) -> Result<Change, RecordError> {
        match key {
            EPOCH_KEY => return self.put_epoch(value, version),
            CATALOG_KEY => return self.put_catalog(value, version),
            SHARES_KEY => return self.put_shares(value, version),
            _ => {}
        }
        let rest = key.strip_prefix("fw/").ok_or(RecordError::ForeignKey)?;
        let mut parts = rest.splitn(3, '/');
        match (parts.next(), parts.next(), parts.next()) {
            (Some("m"), Some(name), None) => self.put_member(name, value, version),
            (Some("j"), Some(id), None) => self.put_job(id, value, version),
            (Some("f"), Some(id), Some(chunk)) => self.put_finished(id, chunk, value, version),
            (Some("r"), Some(name), None) => {
                let page = read_page(name, value)?;
                Ok(self.put_page(key.into(), page, version))
            }
            _ => Err(RecordError::ForeignKey),
        }
    }

    fn put_epoch(&mut self, value: Value, version: u64) -> Result<Change, RecordError> {
        let epoch: Epoch = read(value)?;
        if version <= self.epoch_version {
            return Ok(Change::Nothing);
        }
        self.epoch = Some(epoch);
        self.epoch_version = version;
        Ok(Change::Epoch)
    }

    fn put_catalog(&mut self, value: Value, version: u64) -> Result<Change, RecordError> {
        if version <= self.catalog_version {
            return Ok(Change::Nothing);
        }
        self.catalog = Some(Arc::new(read(value)?));
        self.catalog_version = version;
        Ok(Change::Catalog)
    }

    /// What a table fails to say, the hash decides; so it does for all controllers alike,
    /// whatever they knew before.
    fn put_shares(&mut self, value: Value, version: u64) -> Result<Change, RecordError> {
        if version <= self.shares_version {
            return Ok(Change::Nothing);
        }
        let stored: Result<StoredTable, RecordError> = read(value);
        let (table, errors) = match &stored {
            Ok(stored) => ShareTable::read(stored),
            Err(_) => (ShareTable::default(), vec![ShareError::Malformed]),
        };
        self.shares = table;
        self.shares_version = version;
        if errors.is_empty() {
            self.unreadable.remove(SHARES_KEY, version);
        } else {
            tracing::warn!(
                key = SHARES_KEY,
                version,
                ?errors,
                "stored shares are left out"
            );
            self.unreadable
                .add(SHARES_KEY, version, RecordError::Malformed);
        }
        Ok(Change::Shares)
    }

    fn put_member(
        &mut self,
        name: &str,
        value: Value,
        version: u64,
    ) -> Result<Change, RecordError> {
        let known = self.members.get(name).map_or(0, |member| member.1);
        if version > known {
            self.members.insert(name.into(), (read(value)?, version));
        }
        Ok(Change::Members)
    }

    fn put_job(&mut self, id: &str, value: Value, version: u64) -> Result<Change, RecordError> {
        let record: JobRecord = read(value)?;
        record.check(id)?;
        let id: JobId = id.into();
        match self.jobs.get_mut(&id) {
            Some(job) if version <= job.version => return Ok(Change::Nothing),
            Some(job) => {
                job.record = record;
                job.version = version;
                if job.record.done {
                    job.finished = Bits::default();
                    job.chunks.clear();
                }
            }
            None => {
                let job = Job {
                    record,
                    version,
                    finished: Bits::default(),
                    chunks: BTreeMap::new(),
                };
                self.jobs.insert(id.clone(), job);
            }
        }
        Ok(Change::Job(id))
    }

    fn put_finished(
        &mut self,
        id: &str,
        chunk: &str,
        value: Value,
        version: u64,
    ) -> Result<Change, RecordError> {
        let chunk = Chunk::parse(chunk).ok_or(RecordError::Malformed)?;
        let first = chunk
            .first_task(self.tasks_per_numbered_chunk)
            .ok_or(RecordError::NoSuchTask)?;
        let text: String = read(value)?;
        let job = self.jobs.get_mut(id).ok_or(RecordError::NoSuchJob)?;
        if job.record.done || version <= job.chunks.get(&chunk).copied().unwrap_or(0) {
            return Ok(Change::Nothing);
        }
        let mut finished = job.finished.clone();
        finished.add_hex(first, &text);
        // Guard: counted, they would make a job done before all its tasks are.
        if finished.last().is_some_and(|task| task >= job.record.tasks) {
            return Err(RecordError::NoSuchTask);
        }
        job.chunks.insert(chunk, version);
        job.finished = finished;
        Ok(Change::Job(id.into()))
    }

    /// Takes in that a job's cancellation was committed as revision `version`,
    /// as another controller tells it. That needs no epoch and no order: a live
    /// record becomes nothing else than cancelled by it, and what is known
    /// already stays. False if nothing has changed.
    pub fn apply_cancellation(&mut self, id: &JobId, version: u64, at_ms: u64) -> bool {
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
        let known = self
            .pages
            .get(&key)
            .map(|p| p.version)
            .or(self.gone_pages.get(&key).copied());
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
            .map(|o| {
                o.page
                    .machines
                    .into_keys()
                    .filter(|id| !now.contains_key(id))
                    .collect()
            })
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
            let other = self.pages.iter().find_map(|(k, p)| {
                p.page
                    .machines
                    .get(id)
                    .map(|addr| (p.page.record(addr), k.clone()))
            });
            if let Some(entry) = other {
                self.roster.insert(id.clone(), entry);
            }
        }
        Change::Machines(ids)
    }

    fn delete(&mut self, key: &str, version: u64) -> Change {
        self.unreadable.remove(key, version);
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
                let ids = gone
                    .map(|p| p.page.machines.into_keys().collect())
                    .unwrap_or_default();
                self.off_page(key, ids)
            }
            (Some("f"), Some(id)) => Change::Job(id.into()),
            _ => Change::Nothing,
        }
    }
}
