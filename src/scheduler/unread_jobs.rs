//! Listed tasks of jobs whose records this leader has not read yet.
//!
//! A shard may list such a task: a controller accepts a job and starts its tasks before the
//! leader reads the record. The report is acknowledged, so that the shard does not list the task
//! again. The listing is therefore kept, and applied as soon as the record is read.
//!
//! Such a listing also shows that the cache is older than what the shards run. Until the leader
//! has read all that was committed before the listing arrived, it assigns nothing: the listed task
//! counts towards the limit of a team that it doesn't know. A record that is still missing then
//! does not exist, and delays nothing.

use super::Leader;
use crate::clock::Seconds;
use crate::shard::AssignedTaskStatus;
use crate::store::cache::StoreCache;
use crate::wire::{JobId, Task};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A task that a shard has listed.
#[derive(Debug)]
struct Listing {
    shard: Arc<str>,
    status: AssignedTaskStatus,
}

/// The listed tasks of unread jobs, by job. There are hardly ever any.
#[derive(Debug, Default)]
pub(super) struct UnreadJobs {
    by_job: BTreeMap<JobId, Vec<Listing>>,
    /// When a task of a job without listings was last listed.
    listed_at: Option<Seconds>,
    /// When the last reading of the key-value store began.
    read_started_at: Option<Seconds>,
}

impl UnreadJobs {
    /// Whether a shard lists a task of this job.
    pub(super) fn contains(&self, job: &JobId) -> bool {
        self.by_job.contains_key(job)
    }

    /// Whether the cache may lack records that were committed before a listed task was listed.
    fn awaits_reading(&self) -> bool {
        let is_listed = !self.by_job.is_empty();
        is_listed && self.listed_at > self.read_started_at
    }

    /// Keeps what a shard lists of a task, in place of what it listed before.
    fn add(&mut self, shard: &Arc<str>, status: AssignedTaskStatus, now: Seconds) {
        if !self.contains(&status.task.job) {
            self.listed_at = Some(now);
        }
        let listings = self.by_job.entry(status.task.job.clone()).or_default();
        listings.retain(|listing| {
            listing.shard != *shard || listing.status.task.index != status.task.index
        });
        listings.push(Listing {
            shard: shard.clone(),
            status,
        });
    }

    /// Removes the listings of a task by a shard for which `is_gone` is true.
    pub(super) fn remove(
        &mut self,
        shard: &str,
        task: &Task,
        is_gone: impl Fn(&AssignedTaskStatus) -> bool,
    ) {
        let Some(listings) = self.by_job.get_mut(&task.job) else {
            return;
        };
        listings.retain(|Listing { shard: by, status }| {
            **by != *shard || status.task.index != task.index || !is_gone(status)
        });
        if listings.is_empty() {
            self.by_job.remove(&task.job);
        }
    }

    /// Removes everything that a shard has listed.
    pub(super) fn remove_shard(&mut self, shard: &str) {
        self.by_job.retain(|_, listings| {
            listings.retain(|listing| *listing.shard != *shard);
            !listings.is_empty()
        });
    }

    /// Removes the listings of a job that has ended.
    pub(super) fn remove_job(&mut self, job: &JobId) {
        self.by_job.remove(job);
    }

    /// Removes all listings.
    pub(super) fn clear(&mut self) {
        self.by_job.clear();
        self.listed_at = None;
    }
}

impl Leader {
    /// Keeps what a shard lists of a task without an entry, unless its job is known and has ended.
    pub(super) fn keep_until_read(
        &mut self,
        shard: &Arc<str>,
        status: AssignedTaskStatus,
        cache: &StoreCache,
        now: Seconds,
    ) {
        if !cache.jobs.contains_key(&status.task.job) {
            self.events.listed_unread.record(|| {
                let (task, attempt) = (&status.task, status.attempt);
                format!("{task}@{attempt} {shard}")
            });
            self.unread_jobs.add(shard, status, now);
        }
    }

    /// Applies what shards have listed of a job that has just been read.
    pub(super) fn apply_kept_listings(&mut self, job: &JobId, cache: &StoreCache) {
        for Listing { shard, status } in self.unread_jobs.by_job.remove(job).unwrap_or_default() {
            self.apply_assigned_task(&shard, status, cache);
        }
    }

    /// Records that the cache shows every write that was committed before `started_at`.
    pub fn record_reading(&mut self, started_at: Seconds) {
        self.unread_jobs.read_started_at = Some(started_at);
    }

    /// Whether shards list tasks of jobs that may have been accepted since the last reading: such
    /// a leader assigns nothing.
    pub fn awaits_reading(&self) -> bool {
        self.unread_jobs.awaits_reading()
    }
}
