//! The cache: what the key-value store holds, kept in memory.
//!
//! | key | value |
//! | --- | --- |
//! | `fw/epoch` | [`Epoch`]: live members, leader |
//! | `fw/m/NAME` | [`Member`], attached to the member's lease |
//! | `fw/j/ID` | [`JobRecord`] |
//! | `fw/f/ID/CHUNK` | finished tasks of a [`Chunk`], a bitmap in hex |
//! | `fw/r/PAGE` | [`RegistryPage`]: the machines of a rental, or [`MachineRecord`] of one (as before 0.2) |
//! | `fw/c` | the cloud's catalog |
//! | `fw/s` | [`ShardMap`], as it is stored |

use crate::finished::{tasks_per_chunk, Chunk, TaskSet};
use crate::store::unreadable_records::{RecordError, UnreadableRecords};
use crate::store::{KeyChange, KeyValue};
use crate::wire::{Catalog, JobId, JobSpec, MachineId, Task};
use finchwood_reconciliation::stored_jobs::{StoredJobs, StoredTask};
use finchwood_sharding::shard_map::{ShardMap, ShardMapError, StoredShardMap};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// The key of the epoch.
pub const EPOCH_KEY: &str = "fw/epoch";
/// What the keys of machine registry pages begin with.
pub const REGISTRY_PREFIX: &str = "fw/r/";
/// What the keys of job records begin with.
pub const JOB_PREFIX: &str = "fw/j/";
/// The key of the table of shares.
pub const SHARD_MAP_KEY: &str = "fw/s";
/// The key of the catalog.
pub const CATALOG_KEY: &str = "fw/c";

/// A member as its key tells it: its lease is its incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    #[serde(rename = "inc")]
    pub incarnation: u64,
    /// What the member's version can do; versions before [`GANG_CAPABILITY`] don't say.
    #[serde(rename = "v", default, skip_serializing_if = "is_zero")]
    pub capability: u32,
}

/// The capability of versions that run gangs.
pub const GANG_CAPABILITY: u32 = 1;

/// The capability of those that also go by the table of shares.
pub const SHARD_MAP_CAPABILITY: u32 = 2;

impl Member {
    /// A member of this version, that goes by the table of shares or not.
    pub fn new(incarnation: u64, shares: bool) -> Member {
        Member {
            incarnation,
            capability: if shares {
                SHARD_MAP_CAPABILITY
            } else {
                GANG_CAPABILITY
            },
        }
    }

    /// A member of this version without shards that are off by default.
    pub fn of_this_version(incarnation: u64) -> Member {
        Member::new(incarnation, false)
    }
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// Who is entitled to act, and in what role.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Epoch {
    #[serde(rename = "n")]
    pub number: u64,
    /// Name to incarnation.
    pub members: BTreeMap<String, u64>,
    pub leader: String,
    /// All members go by the table of shares; left out where one doesn't.
    #[serde(rename = "s", default, skip_serializing_if = "std::ops::Not::not")]
    pub uses_shard_map: bool,
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
    pub accepted_at_ms: u64,
    /// How many tasks it has.
    #[serde(rename = "n")]
    pub task_count: u32,
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
            Some(spec) if spec.task_count != self.task_count => Err(RecordError::TaskCount),
            _ => Ok(()),
        }
    }
}

/// A machine as it is stored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    #[serde(rename = "b")]
    pub machine_type: Arc<str>,
    #[serde(rename = "z")]
    pub zone: Arc<str>,
    #[serde(rename = "s")]
    pub spot: bool,
    /// Whether tasks may have been started on it: written before the first.
    #[serde(rename = "u", default)]
    pub in_use: bool,
    /// The time of day, in milliseconds, when it was rented or found.
    #[serde(rename = "t", default)]
    pub rented_at_ms: u64,
    /// Where its worker takes commands, once that is known: a new owner asks
    /// it at once what it runs.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub address: Option<Arc<str>>,
}

/// A page of the machine registry: the machines of one rental, so that hundreds of them
/// come on the machine registry, up and off it with few writes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RegistryPage {
    #[serde(rename = "b")]
    pub machine_type: Arc<str>,
    #[serde(rename = "z")]
    pub zone: Arc<str>,
    #[serde(rename = "s")]
    pub spot: bool,
    #[serde(rename = "t", default)]
    pub rented_at_ms: u64,
    /// Machine to the address of its worker; none while nothing was started there.
    #[serde(rename = "m")]
    pub machines: BTreeMap<MachineId, Option<Arc<str>>>,
}

impl RegistryPage {
    fn record(&self, address: &Option<Arc<str>>) -> MachineRecord {
        MachineRecord {
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            in_use: address.is_some(),
            rented_at_ms: self.rented_at_ms,
            address: address.clone().filter(|a| !a.is_empty()),
        }
    }
}

/// A page as the cache holds it.
#[derive(Debug, Clone)]
pub struct CachedPage {
    pub page: RegistryPage,
    pub revision: u64,
}

/// A job as the cache has it.
#[derive(Debug, Clone)]
pub struct Job {
    pub record: JobRecord,
    pub revision: u64,
    pub finished: TaskSet,
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
pub enum CacheChange {
    Epoch,
    Members,
    Job(JobId),
    Machines(Vec<MachineId>),
    Catalog,
    ShardMap,
    Nothing,
}

/// Everything the key-value store holds of ours.
#[derive(Debug, Default)]
pub struct StoreCache {
    pub epoch: Option<Epoch>,
    pub epoch_revision: u64,
    pub members: BTreeMap<String, (Member, u64)>,
    pub jobs: HashMap<JobId, Job>,
    /// Every machine on any page, with the page it is taken from.
    pub registry: BTreeMap<MachineId, (MachineRecord, Arc<str>)>,
    pub registry_pages: BTreeMap<Arc<str>, CachedPage>,
    /// Versions of pages that were deleted.
    gone_pages: HashMap<Arc<str>, u64>,
    pub catalog: Option<Arc<Catalog>>,
    pub catalog_revision: u64,
    /// What is owned otherwise than the hash says.
    pub shard_map: ShardMap,
    pub shard_map_revision: u64,
    /// Records that make no sense, and are left alone.
    pub unreadable: UnreadableRecords,
    /// Tasks of each numbered chunk, as production counts them.
    tasks_per_numbered_chunk: u32,
}

impl StoredJobs for StoreCache {
    fn stored_task(&self, task: &Task) -> StoredTask {
        match self.jobs.get(&task.job) {
            None => StoredTask::UnknownJob,
            Some(job) if job.record.done => StoredTask::JobDone,
            Some(job) if job.record.cancelled => StoredTask::JobCancelled,
            Some(job) if task.index >= job.record.task_count => StoredTask::NoSuchTask,
            Some(job) if job.finished.contains(task.index) => StoredTask::Finished,
            Some(_) => StoredTask::Unfinished,
        }
    }
}

/// The key of a job's record.
pub fn job_key(id: &str) -> String {
    format!("fw/j/{id}")
}
/// The key of a page of the machine registry.
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

/// Reads a page of the machine registry, or the record of a single machine as a page.
fn read_page(name: &str, value: Value) -> Result<RegistryPage, RecordError> {
    if value.get("m").is_some() {
        return read(value);
    }
    let record: MachineRecord = read(value)?;
    let address = record
        .in_use
        .then(|| record.address.unwrap_or_else(|| "".into()));
    Ok(RegistryPage {
        machine_type: record.machine_type,
        zone: record.zone,
        spot: record.spot,
        rented_at_ms: record.rented_at_ms,
        machines: [(name.into(), address)].into_iter().collect(),
    })
}

impl StoreCache {
    /// An empty cache.
    pub fn new(value_kb: f64) -> StoreCache {
        StoreCache {
            tasks_per_numbered_chunk: tasks_per_chunk(value_kb),
            ..StoreCache::default()
        }
    }

    /// Takes a full reading in place of everything.
    pub fn load(&mut self, entries: Vec<KeyValue>) {
        let tasks_per_numbered_chunk = self.tasks_per_numbered_chunk;
        *self = StoreCache {
            tasks_per_numbered_chunk,
            ..StoreCache::default()
        };
        let (chunks, rest): (Vec<_>, Vec<_>) = entries
            .into_iter()
            .partition(|e| e.key.starts_with("fw/f/"));
        for e in rest.into_iter().chain(chunks) {
            self.put(&e.key, e.value, e.revision);
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
    pub fn apply(&mut self, event: KeyChange) -> CacheChange {
        match event {
            KeyChange::Put {
                key,
                value,
                revision,
            } => self.put(&key, value, revision),
            KeyChange::Delete { key, revision } => self.delete(&key, revision),
        }
    }

    /// Applies a put; older versions than the known one change nothing. A record
    /// that makes no sense is left out: what was known under its key stays.
    pub fn put(&mut self, key: &str, value: Value, revision: u64) -> CacheChange {
        match self.try_put(key, value, revision) {
            Ok(change) => {
                if change != CacheChange::ShardMap {
                    self.unreadable.remove(key, revision);
                }
                change
            }
            Err(RecordError::ForeignKey) => {
                tracing::debug!(key, "a key of another version");
                CacheChange::Nothing
            }
            Err(why) => {
                tracing::warn!(key, revision, %why, "a stored record is left out");
                self.unreadable.add(key, revision, why);
                CacheChange::Nothing
            }
        }
    }

    fn try_put(
        &mut self,
        key: &str,
        value: Value,
        revision: u64,
    ) -> Result<CacheChange, RecordError> {
        match key {
            EPOCH_KEY => return self.put_epoch(value, revision),
            CATALOG_KEY => return self.put_catalog(value, revision),
            SHARD_MAP_KEY => return self.put_shares(value, revision),
            _ => {}
        }
        let rest = key.strip_prefix("fw/").ok_or(RecordError::ForeignKey)?;
        let mut parts = rest.splitn(3, '/');
        match (parts.next(), parts.next(), parts.next()) {
            (Some("m"), Some(name), None) => self.put_member(name, value, revision),
            (Some("j"), Some(id), None) => self.put_job(id, value, revision),
            (Some("f"), Some(id), Some(chunk)) => self.put_finished(id, chunk, value, revision),
            (Some("r"), Some(name), None) => {
                let page = read_page(name, value)?;
                Ok(self.put_page(key.into(), page, revision))
            }
            _ => Err(RecordError::ForeignKey),
        }
    }

    fn put_epoch(&mut self, value: Value, revision: u64) -> Result<CacheChange, RecordError> {
        let epoch: Epoch = read(value)?;
        if revision <= self.epoch_revision {
            return Ok(CacheChange::Nothing);
        }
        self.epoch = Some(epoch);
        self.epoch_revision = revision;
        Ok(CacheChange::Epoch)
    }

    fn put_catalog(&mut self, value: Value, revision: u64) -> Result<CacheChange, RecordError> {
        if revision <= self.catalog_revision {
            return Ok(CacheChange::Nothing);
        }
        self.catalog = Some(Arc::new(read(value)?));
        self.catalog_revision = revision;
        Ok(CacheChange::Catalog)
    }

    /// What a table fails to say, the hash decides; so it does for all controllers alike,
    /// whatever they knew before.
    fn put_shares(&mut self, value: Value, revision: u64) -> Result<CacheChange, RecordError> {
        if revision <= self.shard_map_revision {
            return Ok(CacheChange::Nothing);
        }
        let stored: Result<StoredShardMap, RecordError> = read(value);
        let (table, errors) = match &stored {
            Ok(stored) => ShardMap::read(stored),
            Err(_) => (ShardMap::default(), vec![ShardMapError::Malformed]),
        };
        self.shard_map = table;
        self.shard_map_revision = revision;
        if errors.is_empty() {
            self.unreadable.remove(SHARD_MAP_KEY, revision);
        } else {
            tracing::warn!(
                key = SHARD_MAP_KEY,
                revision,
                ?errors,
                "stored shares are left out"
            );
            self.unreadable
                .add(SHARD_MAP_KEY, revision, RecordError::Malformed);
        }
        Ok(CacheChange::ShardMap)
    }

    fn put_member(
        &mut self,
        name: &str,
        value: Value,
        revision: u64,
    ) -> Result<CacheChange, RecordError> {
        let known = self.members.get(name).map_or(0, |member| member.1);
        if revision > known {
            self.members.insert(name.into(), (read(value)?, revision));
        }
        Ok(CacheChange::Members)
    }

    fn put_job(
        &mut self,
        id: &str,
        value: Value,
        revision: u64,
    ) -> Result<CacheChange, RecordError> {
        let record: JobRecord = read(value)?;
        record.check(id)?;
        let id: JobId = id.into();
        match self.jobs.get_mut(&id) {
            Some(job) if revision <= job.revision => return Ok(CacheChange::Nothing),
            Some(job) => {
                job.record = record;
                job.revision = revision;
                if job.record.done {
                    job.finished = TaskSet::default();
                    job.chunks.clear();
                }
            }
            None => {
                let job = Job {
                    record,
                    revision,
                    finished: TaskSet::default(),
                    chunks: BTreeMap::new(),
                };
                self.jobs.insert(id.clone(), job);
            }
        }
        Ok(CacheChange::Job(id))
    }

    fn put_finished(
        &mut self,
        id: &str,
        chunk: &str,
        value: Value,
        revision: u64,
    ) -> Result<CacheChange, RecordError> {
        let chunk = Chunk::parse(chunk).ok_or(RecordError::Malformed)?;
        let first = chunk
            .first_task(self.tasks_per_numbered_chunk)
            .ok_or(RecordError::NoSuchTask)?;
        let text: String = read(value)?;
        let job = self.jobs.get_mut(id).ok_or(RecordError::NoSuchJob)?;
        if job.record.done || revision <= job.chunks.get(&chunk).copied().unwrap_or(0) {
            return Ok(CacheChange::Nothing);
        }
        let mut finished = job.finished.clone();
        finished.add_hex(first, &text);
        // Guard: counted, they would make a job done before all its tasks are.
        if finished
            .last()
            .is_some_and(|task| task >= job.record.task_count)
        {
            return Err(RecordError::NoSuchTask);
        }
        job.chunks.insert(chunk, revision);
        job.finished = finished;
        Ok(CacheChange::Job(id.into()))
    }

    /// Takes in that a job's cancellation was committed as revision `version`,
    /// as another controller tells it. That needs no epoch and no order: a live
    /// record becomes nothing else than cancelled by it, and what is known
    /// already stays. False if nothing has changed.
    pub fn apply_cancellation(&mut self, id: &JobId, revision: u64, at_ms: u64) -> bool {
        match self.jobs.get_mut(id) {
            Some(job) if job.live() && job.revision < revision => {
                job.record.cancelled = true;
                job.record.cancelled_at_ms = Some(at_ms);
                job.revision = revision;
                true
            }
            _ => false,
        }
    }

    /// Takes in a page; what is no longer on it is off the machine registry, unless
    /// another page has it too.
    fn put_page(&mut self, key: Arc<str>, page: RegistryPage, revision: u64) -> CacheChange {
        let known = self
            .registry_pages
            .get(&key)
            .map(|p| p.revision)
            .or(self.gone_pages.get(&key).copied());
        if known.is_some_and(|v| revision <= v) {
            return CacheChange::Nothing;
        }
        let mut changed = Vec::new();
        for (id, address) in &page.machines {
            let record = page.record(address);
            match self.registry.get(id) {
                Some((_, other)) if *other != key => {}
                Some((old, _)) if *old == record => {}
                _ => {
                    self.registry.insert(id.clone(), (record, key.clone()));
                    changed.push(id.clone());
                }
            }
        }
        let old = self
            .registry_pages
            .insert(key.clone(), CachedPage { page, revision });
        let now = &self.registry_pages[&key].page.machines;
        let off: Vec<MachineId> = old
            .map(|o| {
                o.page
                    .machines
                    .into_keys()
                    .filter(|id| !now.contains_key(id))
                    .collect()
            })
            .unwrap_or_default();
        if let CacheChange::Machines(more) = self.off_page(&key, off) {
            changed.extend(more);
        }
        CacheChange::Machines(changed)
    }

    fn off_page(&mut self, key: &str, ids: Vec<MachineId>) -> CacheChange {
        for id in &ids {
            if self.registry.get(id).is_none_or(|r| &*r.1 != key) {
                continue;
            }
            self.registry.remove(id);
            let other = self.registry_pages.iter().find_map(|(k, p)| {
                p.page
                    .machines
                    .get(id)
                    .map(|address| (p.page.record(address), k.clone()))
            });
            if let Some(entry) = other {
                self.registry.insert(id.clone(), entry);
            }
        }
        CacheChange::Machines(ids)
    }

    fn delete(&mut self, key: &str, revision: u64) -> CacheChange {
        self.unreadable.remove(key, revision);
        let mut parts = key.strip_prefix("fw/").unwrap_or_default().splitn(3, '/');
        match (parts.next(), parts.next()) {
            (Some("m"), Some(name)) => {
                if self.members.get(name).is_some_and(|m| m.1 < revision) {
                    self.members.remove(name);
                }
                CacheChange::Members
            }
            (Some("r"), Some(_)) => {
                if self
                    .registry_pages
                    .get(key)
                    .is_some_and(|p| p.revision > revision)
                {
                    return CacheChange::Nothing;
                }
                let gone = self.registry_pages.remove(key);
                self.gone_pages.insert(key.into(), revision);
                let ids = gone
                    .map(|p| p.page.machines.into_keys().collect())
                    .unwrap_or_default();
                self.off_page(key, ids)
            }
            (Some("f"), Some(id)) => CacheChange::Job(id.into()),
            _ => CacheChange::Nothing,
        }
    }
}
