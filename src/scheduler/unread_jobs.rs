//! Listed tasks of jobs whose records this leader has not read yet.
//!
//! A shard may list such a task: a controller accepts a job and starts its tasks before the
//! leader reads the record. The report is acknowledged, so that the shard does not list the task
//! again. The listing is therefore kept, and applied as soon as the record is read.

use super::Leader;
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
}

impl UnreadJobs {
    /// Whether a shard lists a task of this job.
    pub(super) fn contains(&self, job: &JobId) -> bool {
        self.by_job.contains_key(job)
    }

    /// Keeps what a shard lists of a task, in place of what it listed before.
    fn add(&mut self, shard: &Arc<str>, status: AssignedTaskStatus) {
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
    }
}

impl Leader {
    /// Keeps what a shard lists of a task without an entry, unless its job is known and has ended.
    pub(super) fn keep_until_read(
        &mut self,
        shard: &Arc<str>,
        status: AssignedTaskStatus,
        cache: &StoreCache,
    ) {
        if !cache.jobs.contains_key(&status.task.job) {
            self.events.listed_unread.record(|| {
                let (task, attempt) = (&status.task, status.attempt);
                format!("{task}@{attempt} {shard}")
            });
            self.unread_jobs.add(shard, status);
        }
    }

    /// Applies what shards have listed of a job that has just been read.
    pub(super) fn apply_kept_listings(&mut self, job: &JobId, cache: &StoreCache) {
        for Listing { shard, status } in self.unread_jobs.by_job.remove(job).unwrap_or_default() {
            self.apply_assigned_task(&shard, status, cache);
        }
    }
}
