//! The local cache of the key-value store, kept up to date by the [watch](super::start_watch).

use super::invalid_records::{InvalidRecords, RecordError};
use super::keys::{StoreKey, SHARD_MAP_KEY};
use super::records::{
    from_value, Epoch, JobRecord, MachineRecord, MemberRecord, RegistryPage, Versioned,
    GANG_CAPABILITY,
};
use super::{KeyChange, KeyValue};
use crate::finished::{tasks_per_chunk, Chunk, TaskSet, FINISHED_PREFIX};
use crate::wire::{Catalog, JobId, MachineId, Task};
use finchwood_reconciliation::stored_jobs::{StoredJobs, StoredTask};
use finchwood_sharding::shard_map::{ShardMap, ShardMapError, StoredShardMap};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// A cached job with the set of its finished tasks.
#[derive(Debug, Clone)]
pub struct CachedJob {
    /// The job's record.
    pub record: JobRecord,
    /// The revision of the job's key.
    pub revision: u64,
    /// The indices of the finished tasks; empty once the job is done.
    pub finished: TaskSet,
    /// The revision of each stored chunk of finished tasks; empty once the job is done.
    pub chunks: BTreeMap<Chunk, u64>,
}

impl CachedJob {
    fn new(record: JobRecord, revision: u64) -> CachedJob {
        CachedJob {
            record,
            revision,
            finished: TaskSet::default(),
            chunks: BTreeMap::new(),
        }
    }

    /// Whether the job is neither done nor cancelled.
    pub fn is_live(&self) -> bool {
        !self.record.done && !self.record.cancelled
    }

    fn replace_record(&mut self, record: JobRecord, revision: u64) {
        self.record = record;
        self.revision = revision;
        if self.record.done {
            self.finished = TaskSet::default();
            self.chunks.clear();
        }
    }
}

/// A machine in the registry. Late writes can leave it on several pages, which may disagree on
/// whether it is in use. The entry depends only on the present contents of the pages, not on the
/// order in which they were read.
#[derive(Debug, Clone, PartialEq)]
pub struct RegisteredMachine {
    /// The machine's record. It is in use if any page marks it as in use.
    pub record: MachineRecord,
    /// The keys of all pages that list the machine, in ascending order.
    pub page_keys: Vec<Arc<str>>,
    /// The keys of those pages that do not mark it as in use, in ascending order.
    pub unmarked_page_keys: Vec<Arc<str>>,
}

impl RegisteredMachine {
    /// Whether some pages mark it as in use and others do not.
    fn is_disputed(&self) -> bool {
        self.record.in_use && !self.unmarked_page_keys.is_empty()
    }
}

/// The part of the cache that may have changed when a change of a key was applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CacheChange {
    /// The epoch.
    Epoch,
    /// The live members.
    Members,
    /// The record of this job, or its finished tasks.
    Job(JobId),
    /// The registry entries of these machines, which were added, changed or removed.
    Machines(Vec<MachineId>),
    /// The catalog of the cloud.
    Catalog,
    /// The shard map.
    ShardMap,
    /// Nothing has changed.
    Nothing,
}

/// The local cache of all keys under [`KEY_PREFIX`](super::keys::KEY_PREFIX).
#[derive(Debug, Default)]
pub struct StoreCache {
    /// The current epoch; `None` before the first has been read.
    pub epoch: Option<Epoch>,
    /// The revision of the epoch's key; zero before it has been read.
    pub epoch_revision: u64,
    /// The live members, by node name. A member is live while its key exists, which is
    /// attached to its lease.
    pub members: BTreeMap<String, Versioned<MemberRecord>>,
    /// All jobs, by id.
    pub jobs: HashMap<JobId, CachedJob>,
    /// All machines on registry pages, by id.
    pub registry: BTreeMap<MachineId, RegisteredMachine>,
    /// The pages of the machine registry, by key.
    pub registry_pages: BTreeMap<Arc<str>, Versioned<RegistryPage>>,
    /// The revision at which each deleted page was deleted, by key.
    deleted_pages: HashMap<Arc<str>, u64>,
    /// The catalog of the cloud; `None` before it has been read.
    pub catalog: Option<Arc<Catalog>>,
    /// The revision of the catalog's key; zero before it has been read.
    pub catalog_revision: u64,
    /// The shard map, which assigns machines to owners other than their hash owners.
    pub shard_map: ShardMap,
    /// The revision of the shard map's key; zero before it has been read.
    pub shard_map_revision: u64,
    /// The invalid records, which are skipped and never overwritten.
    pub invalid_records: InvalidRecords,
    /// The number of tasks in a numbered chunk, computed as the versions in production do.
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

impl StoreCache {
    /// Creates an empty cache for a store whose values have at most `value_kb` KiB.
    pub fn new(value_kb: f64) -> StoreCache {
        StoreCache {
            tasks_per_numbered_chunk: tasks_per_chunk(value_kb),
            ..StoreCache::default()
        }
    }

    /// Replaces the contents of the cache with a snapshot of all keys.
    pub fn load(&mut self, entries: Vec<KeyValue>) {
        let tasks_per_numbered_chunk = self.tasks_per_numbered_chunk;
        *self = StoreCache {
            tasks_per_numbered_chunk,
            ..StoreCache::default()
        };
        // Chunks of finished tasks are applied last, as they need the records of their jobs.
        let (chunks, rest): (Vec<_>, Vec<_>) = entries
            .into_iter()
            .partition(|entry| entry.key.starts_with(FINISHED_PREFIX));
        for entry in rest.into_iter().chain(chunks) {
            self.put(&entry.key, entry.value, entry.revision);
        }
    }

    /// Whether every live member supports gangs. This can become false again at any time, as
    /// a process may be restarted with the previous version.
    pub fn all_members_support_gangs(&self) -> bool {
        self.members
            .values()
            .all(|member| member.value.capability >= GANG_CAPABILITY)
    }

    /// Applies a change of a key. Returns the part of the cache that may have changed.
    pub fn apply(&mut self, change: KeyChange) -> CacheChange {
        match change {
            KeyChange::Put {
                key,
                value,
                revision,
            } => self.put(&key, value, revision),
            KeyChange::Delete { key, revision } => self.delete(&key, revision),
        }
    }

    /// Applies a put of a key. A revision that is not newer than the cached one changes
    /// nothing. An invalid record is skipped, and the cache keeps the key's previous value.
    pub fn put(&mut self, key: &str, value: Value, revision: u64) -> CacheChange {
        match self.try_put(key, value, revision) {
            Ok(change) => {
                // `put_shard_map` itself records whether the shard map is valid.
                if change != CacheChange::ShardMap {
                    self.invalid_records.remove(key, revision);
                }
                change
            }
            Err(RecordError::UnknownKey) => {
                tracing::debug!(
                    key,
                    revision,
                    "skipped a key that this version does not know"
                );
                CacheChange::Nothing
            }
            Err(error) => {
                tracing::warn!(key, revision, %error, "skipped an invalid record");
                self.invalid_records.add(key, revision, error);
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
        match StoreKey::parse(key).ok_or(RecordError::UnknownKey)? {
            StoreKey::Epoch => self.put_epoch(value, revision),
            StoreKey::Catalog => self.put_catalog(value, revision),
            StoreKey::ShardMap => self.put_shard_map(value, revision),
            StoreKey::Member(name) => self.put_member(name, value, revision),
            StoreKey::Job(id) => self.put_job(id, value, revision),
            StoreKey::FinishedTasks { job, chunk } => {
                self.put_finished_tasks(job, chunk, value, revision)
            }
            StoreKey::RegistryPage(name) => {
                let page = RegistryPage::from_value(name, value)?;
                Ok(self.put_registry_page(key.into(), page, revision))
            }
        }
    }

    fn put_epoch(&mut self, value: Value, revision: u64) -> Result<CacheChange, RecordError> {
        let epoch: Epoch = from_value(value)?;
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
        self.catalog = Some(Arc::new(from_value(value)?));
        self.catalog_revision = revision;
        Ok(CacheChange::Catalog)
    }

    /// Applies the shard map without its invalid entries. Machines that the remaining entries
    /// do not cover belong to their hash owners. The result depends on the stored map alone,
    /// so that all controllers agree regardless of what they had cached before.
    fn put_shard_map(&mut self, value: Value, revision: u64) -> Result<CacheChange, RecordError> {
        if revision <= self.shard_map_revision {
            return Ok(CacheChange::Nothing);
        }
        let stored: Result<StoredShardMap, RecordError> = from_value(value);
        let (shard_map, errors) = match &stored {
            Ok(stored) => ShardMap::from_stored(stored),
            Err(_) => (ShardMap::default(), vec![ShardMapError::Malformed]),
        };
        self.shard_map = shard_map;
        self.shard_map_revision = revision;
        if errors.is_empty() {
            self.invalid_records.remove(SHARD_MAP_KEY, revision);
        } else {
            tracing::warn!(
                key = SHARD_MAP_KEY,
                revision,
                ?errors,
                "skipped invalid entries of the shard map"
            );
            self.invalid_records
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
        let cached_revision = self.members.get(name).map_or(0, |member| member.revision);
        if revision > cached_revision {
            let member = Versioned::new(from_value(value)?, revision);
            self.members.insert(name.into(), member);
        }
        Ok(CacheChange::Members)
    }

    fn put_job(
        &mut self,
        id: &str,
        value: Value,
        revision: u64,
    ) -> Result<CacheChange, RecordError> {
        let record: JobRecord = from_value(value)?;
        record.check(id)?;
        let id: JobId = id.into();
        match self.jobs.get_mut(&id) {
            Some(job) if revision <= job.revision => return Ok(CacheChange::Nothing),
            Some(job) => job.replace_record(record, revision),
            None => {
                self.jobs
                    .insert(id.clone(), CachedJob::new(record, revision));
            }
        }
        Ok(CacheChange::Job(id))
    }

    fn put_finished_tasks(
        &mut self,
        id: &str,
        chunk: &str,
        value: Value,
        revision: u64,
    ) -> Result<CacheChange, RecordError> {
        let chunk = Chunk::parse(chunk).ok_or(RecordError::Malformed)?;
        let first = chunk
            .first_task(self.tasks_per_numbered_chunk)
            .ok_or(RecordError::UnknownTask)?;
        let hex_digits: String = from_value(value)?;
        let job = self.jobs.get_mut(id).ok_or(RecordError::UnknownJob)?;
        let cached_revision = job.chunks.get(&chunk).copied().unwrap_or(0);
        if job.record.done || revision <= cached_revision {
            return Ok(CacheChange::Nothing);
        }
        let mut finished = job.finished.clone();
        finished.add_hex(first, &hex_digits);
        // Guard: if tasks that the job does not have were counted, the job would be done before
        // all of its own tasks have finished.
        if finished
            .last()
            .is_some_and(|task| task >= job.record.task_count)
        {
            return Err(RecordError::UnknownTask);
        }
        job.chunks.insert(chunk, revision);
        job.finished = finished;
        Ok(CacheChange::Job(id.into()))
    }

    /// Applies the cancellation of a job that another controller reports as committed at
    /// `revision`. It may be applied in any epoch and in any order with other changes, as
    /// cancelling a live job is its only effect. Returns whether the cached record has
    /// changed.
    pub fn apply_cancellation(&mut self, id: &JobId, revision: u64, cancelled_at_ms: u64) -> bool {
        match self.jobs.get_mut(id) {
            Some(job) if job.is_live() && job.revision < revision => {
                job.record.cancelled = true;
                job.record.cancelled_at_ms = Some(cancelled_at_ms);
                job.revision = revision;
                true
            }
            _ => false,
        }
    }

    /// Applies a registry page. Machines that are no longer on it are removed from the
    /// registry, unless another page also has them.
    fn put_registry_page(
        &mut self,
        key: Arc<str>,
        page: RegistryPage,
        revision: u64,
    ) -> CacheChange {
        let cached_revision = self.page_revision(&key);
        if cached_revision.is_some_and(|cached| revision <= cached) {
            return CacheChange::Nothing;
        }
        let mut listed: Vec<MachineId> = page.machines.keys().cloned().collect();
        let replaced = self
            .registry_pages
            .insert(key.clone(), Versioned::new(page, revision));
        if let Some(replaced) = replaced {
            listed.extend(replaced.value.machines.into_keys());
        }
        CacheChange::Machines(self.update_registered(&key, listed))
    }

    /// Returns the revision of a cached page, or the one at which the page was deleted; `None` if
    /// the page is neither cached nor deleted.
    fn page_revision(&self, key: &str) -> Option<u64> {
        self.registry_pages
            .get(key)
            .map(|page| page.revision)
            .or(self.deleted_pages.get(key).copied())
    }

    /// Updates the registry entries of machines that a changed page lists now or listed before
    /// the change. Returns the machines whose entries have changed.
    fn update_registered(&mut self, page_key: &Arc<str>, ids: Vec<MachineId>) -> Vec<MachineId> {
        let mut changed = Vec::new();
        for id in ids {
            let registered = self.registry.get(&id);
            let mut page_keys =
                registered.map_or_else(Vec::new, |machine| machine.page_keys.clone());
            if let Err(position) = page_keys.binary_search(page_key) {
                page_keys.insert(position, page_key.clone());
            }
            let updated = merge_pages(&self.registry_pages, &id, page_keys);
            if updated.as_ref() == registered {
                continue;
            }
            if let Some(machine) = updated.as_ref().filter(|machine| machine.is_disputed()) {
                tracing::warn!(
                    machine = %id,
                    pages = ?machine.page_keys,
                    unmarked = ?machine.unmarked_page_keys,
                    "registry pages disagree on whether a machine is in use"
                );
            }
            match updated {
                Some(machine) => self.registry.insert(id.clone(), machine),
                None => self.registry.remove(&id),
            };
            changed.push(id);
        }
        changed
    }

    fn delete(&mut self, key: &str, revision: u64) -> CacheChange {
        self.invalid_records.remove(key, revision);
        match StoreKey::parse(key) {
            Some(StoreKey::Member(name)) => self.delete_member(name, revision),
            Some(StoreKey::RegistryPage(_)) => self.delete_registry_page(key, revision),
            Some(StoreKey::FinishedTasks { job, .. }) => CacheChange::Job(job.into()),
            _ => CacheChange::Nothing,
        }
    }

    fn delete_member(&mut self, name: &str, revision: u64) -> CacheChange {
        let cached = self.members.get(name);
        if cached.is_some_and(|member| member.revision < revision) {
            self.members.remove(name);
        }
        CacheChange::Members
    }

    fn delete_registry_page(&mut self, key: &str, revision: u64) -> CacheChange {
        let cached = self.registry_pages.get(key);
        if cached.is_some_and(|page| page.revision > revision) {
            return CacheChange::Nothing;
        }
        let deleted = self.registry_pages.remove(key);
        let key: Arc<str> = key.into();
        self.deleted_pages.insert(key.clone(), revision);
        let ids = deleted
            .map(|page| page.value.machines.into_keys().collect())
            .unwrap_or_default();
        CacheChange::Machines(self.update_registered(&key, ids))
    }
}

/// Returns the registry entry of a machine by all pages of `page_keys` that list it; `None` if
/// none does. The record is that of the first page that marks the machine as in use, else that
/// of the first page.
fn merge_pages(
    pages: &BTreeMap<Arc<str>, Versioned<RegistryPage>>,
    id: &MachineId,
    mut page_keys: Vec<Arc<str>>,
) -> Option<RegisteredMachine> {
    let mut merged: Option<MachineRecord> = None;
    let mut unmarked_page_keys = Vec::new();
    page_keys.retain(|key| {
        let Some(page) = pages.get(key) else {
            return false;
        };
        let Some(address) = page.value.machines.get(id) else {
            return false;
        };
        let record = page.value.machine_record(address.as_ref());
        if !record.in_use {
            unmarked_page_keys.push(key.clone());
        }
        merged = Some(match merged.take() {
            // Guard: a page that a late write has created does not mark a machine that was put
            // to use meanwhile. If it counted, a restarted owner would start the machine's
            // tasks again elsewhere.
            Some(earlier) => join_records(earlier, record),
            None => record,
        });
        true
    });
    merged.map(|record| RegisteredMachine {
        record,
        page_keys,
        unmarked_page_keys,
    })
}

/// Joins the records of a machine on two pages, `earlier` being that of the page whose key is
/// lower.
fn join_records(earlier: MachineRecord, later: MachineRecord) -> MachineRecord {
    let later_address = later.address.clone();
    let mut joined = if later.in_use && !earlier.in_use {
        later
    } else {
        earlier
    };
    joined.address = joined.address.or(later_address);
    joined
}
