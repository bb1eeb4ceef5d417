//! Changes of jobs in the key-value store: jobs are accepted and cancelled, tasks are
//! committed as finished.

use super::job_entry::JobEntry;
use super::Leader;
use crate::finished::TaskSet;
use crate::store::cache::{CachedJob, StoreCache};
use crate::wire::{JobId, JobSpec};
use std::sync::Arc;

impl Leader {
    /// Applies a job that is new or has changed in the cache.
    pub fn job_changed(&mut self, id: &JobId, cache: &StoreCache) {
        let Some(job) = cache.jobs.get(id) else {
            return;
        };
        let Some(spec) = job.record.spec.clone().filter(|_| !job.record.done) else {
            self.unread_jobs.remove_job(id);
            if self
                .jobs
                .get(id)
                .is_some_and(|entry| entry.assigned.is_empty())
            {
                self.jobs.remove(id);
            }
            return;
        };
        if !self.jobs.contains_key(id) {
            self.add_job(id, job, spec);
            self.apply_kept_listings(id, cache);
        }
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        if !job.finished.is_empty() {
            entry.failures.record_success();
        }
        entry.remove_committed(&job.finished);
        if job.record.cancelled {
            entry.completed = TaskSet::default();
            if entry.unreconciled.is_empty() && entry.assigned.is_empty() {
                self.jobs.remove(id);
            }
        }
    }

    /// Adds a job, unless it was cancelled before any of its tasks could start.
    fn add_job(&mut self, id: &JobId, job: &CachedJob, spec: Arc<JobSpec>) {
        let mut unreconciled = TaskSet::default();
        // The tasks of a job that was accepted in this epoch cannot have been assigned by
        // an earlier leader.
        if job.record.epoch < self.epoch.number {
            for index in (0..spec.task_count).filter(|&i| !job.finished.contains(i)) {
                unreconciled.add(index);
            }
        }
        let is_listed = self.unread_jobs.contains(id);
        if job.record.cancelled && unreconciled.is_empty() && !is_listed {
            return;
        }
        if !unreconciled.is_empty() {
            self.epoch.reconciled = false;
            self.epoch.has_new_evidence = true;
        }
        let entry = JobEntry::new(spec, job.record.accepted_at_ms, unreconciled);
        self.jobs.insert(id.clone(), entry);
    }
}

impl JobEntry {
    /// Removes completed tasks that are committed.
    fn remove_committed(&mut self, finished: &TaskSet) {
        let committed: Vec<u32> = self
            .completed
            .iter()
            .filter(|&index| finished.contains(index))
            .collect();
        for index in committed {
            self.completed.remove(index);
            self.unreconciled.remove(index);
            self.unassign(index);
        }
    }
}
