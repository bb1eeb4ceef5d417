//! Which finished tasks are to be committed next.

use super::{JobEntry, Leader};
use crate::clock::Seconds;
use crate::store::cache::StoreCache;
use crate::wire::{JobId, MachineId, Task};
use std::cmp::Ordering;
use std::collections::HashSet;

/// Finished tasks of one job that are to be committed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishedTasks {
    /// The job.
    pub job: JobId,
    /// Indexes of its tasks.
    pub tasks: Vec<u32>,
}

/// A job whose progress may be committed, the first to be committed first.
#[derive(Debug)]
struct ProgressCandidate {
    /// Some task's machine is about to go, with the result that its worker keeps.
    urgent: bool,
    /// Since when the progress may be committed.
    due_at: Seconds,
    id: JobId,
}

impl ProgressCandidate {
    fn order(&self, other: &ProgressCandidate) -> Ordering {
        let urgent_first = other.urgent.cmp(&self.urgent);
        let oldest_first = self.due_at.total_cmp(&other.due_at);
        urgent_first.then(oldest_first).then(self.id.cmp(&other.id))
    }
}

impl Leader {
    /// Tasks that are reported as done and not committed, job by job; each job once at
    /// a time. The ends of jobs come first, as users wait for them. Then comes the
    /// progress of others, as long as there are fewer than `max_commits` in all: a
    /// worker keeps a result until it is committed, so that this can wait, unless its
    /// machine is about to go.
    pub fn completions_to_commit(
        &mut self,
        now: Seconds,
        max_commits: usize,
        cache: &StoreCache,
    ) -> Vec<FinishedTasks> {
        let mut commits = Vec::new();
        let mut candidates = Vec::new();
        let departing: HashSet<&MachineId> = self
            .shards
            .values()
            .flat_map(|shard| shard.machines.values())
            .filter(|machine| machine.view.reclaim_notice || machine.view.draining)
            .map(|machine| &machine.view.id)
            .collect();
        for (id, entry) in &mut self.jobs {
            let Some(job) = cache.jobs.get(id).filter(|job| job.live()) else {
                continue;
            };
            if entry.commit_in_flight || entry.completed.is_empty() || now < entry.commit_retry_at {
                continue;
            }
            if job.finished.len() + entry.completed.len() >= entry.spec.task_count {
                commits.push(entry.start_commit(id));
                continue;
            }
            let urgent = !departing.is_empty() && entry.has_completed_on(&departing);
            if urgent || now >= entry.next_commit_at {
                candidates.push(ProgressCandidate {
                    urgent,
                    due_at: entry.next_commit_at,
                    id: id.clone(),
                });
            }
        }
        candidates.sort_by(ProgressCandidate::order);
        let remaining = max_commits.saturating_sub(commits.len());
        for candidate in candidates.into_iter().take(remaining) {
            if let Some(entry) = self.jobs.get_mut(&candidate.id) {
                commits.push(entry.start_commit(&candidate.id));
            }
        }
        commits
    }

    /// Records that a commit of finished tasks was answered. The job's next progress
    /// follows after a report interval, a refused commit again from `retry_at` on.
    pub fn commit_answered(&mut self, job: &JobId, now: Seconds, retry_at: Seconds) {
        if let Some(entry) = self.jobs.get_mut(job) {
            entry.commit_in_flight = false;
            entry.commit_retry_at = retry_at;
            entry.next_commit_at = now + self.policy.report_s;
        }
    }
}

impl JobEntry {
    /// The completed tasks, whose commit is in flight from now on.
    fn start_commit(&mut self, id: &JobId) -> FinishedTasks {
        self.commit_in_flight = true;
        FinishedTasks {
            job: id.clone(),
            tasks: self.completed.iter().collect(),
        }
    }

    /// Whether some completed task is on one of these machines.
    fn has_completed_on(&self, machines: &HashSet<&MachineId>) -> bool {
        self.completed.iter().any(|index| {
            self.assigned
                .get(&index)
                .and_then(|assigned| assigned.machine.as_ref())
                .is_some_and(|machine| machines.contains(machine))
        })
    }
}

/// Whether a task's completion is still to be committed. Not once its job is
/// cancelled, which a shard may learn later than the leader: the completion of a job's
/// last task, reported in between, made a job done that its user had been told is
/// cancelled.
pub(super) fn needs_commit(cache: &StoreCache, task: &Task) -> bool {
    cache
        .jobs
        .get(&task.job)
        .is_some_and(|job| job.live() && !job.finished.contains(task.index))
}
