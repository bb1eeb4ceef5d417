//! The selection of the finished tasks to commit next.

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
    /// The indexes of the tasks.
    pub tasks: Vec<u32>,
}

/// A job with progress that may be committed, in the order of commits.
#[derive(Debug)]
struct ProgressCandidate {
    /// Whether the machine of a completed task is draining or about to be reclaimed: the
    /// result that its worker keeps would be lost with the machine.
    urgent: bool,
    /// The time from which the progress may be committed.
    due_at: Seconds,
    id: JobId,
}

impl ProgressCandidate {
    /// Orders urgent candidates first, then those that are due the longest.
    fn order(&self, other: &ProgressCandidate) -> Ordering {
        let urgent_first = other.urgent.cmp(&self.urgent);
        let oldest_first = self.due_at.total_cmp(&other.due_at);
        urgent_first.then(oldest_first).then(self.id.cmp(&other.id))
    }
}

impl Leader {
    /// Selects completed tasks to commit, grouped by job; a job has at most one commit in
    /// flight. Commits that end a job come first, since users wait for them, and are not
    /// limited in number. Progress of other jobs follows, up to `max_commits` in total: it
    /// can wait, as a worker keeps a result until it is committed, unless the worker's
    /// machine is about to be returned or reclaimed.
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
            .filter(|machine| machine.status.reclaim_notice || machine.status.draining)
            .map(|machine| &machine.status.id)
            .collect();
        for (id, entry) in &mut self.jobs {
            let Some(job) = cache.jobs.get(id).filter(|job| job.is_live()) else {
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

    /// Records that a job's commit of finished tasks is no longer in flight: it was
    /// completed or refused, or was not sent. Further progress of the job is committed after
    /// a report interval, and nothing before `retry_at`.
    pub fn record_commit_outcome(&mut self, job: &JobId, now: Seconds, retry_at: Seconds) {
        if let Some(entry) = self.jobs.get_mut(job) {
            entry.commit_in_flight = false;
            entry.commit_retry_at = retry_at;
            entry.next_commit_at = now + self.policy.report_s;
        }
    }
}

impl JobEntry {
    /// Marks the commit of the completed tasks as in flight, and returns them.
    fn start_commit(&mut self, id: &JobId) -> FinishedTasks {
        self.commit_in_flight = true;
        FinishedTasks {
            job: id.clone(),
            tasks: self.completed.iter().collect(),
        }
    }

    /// Whether a completed task is on one of these machines.
    fn has_completed_on(&self, machines: &HashSet<&MachineId>) -> bool {
        self.completed.iter().any(|index| {
            self.assigned
                .get(&index)
                .and_then(|assigned| assigned.machine.as_ref())
                .is_some_and(|machine| machines.contains(machine))
        })
    }
}

/// Whether a task's completion still has to be committed. It need not be once the job is
/// cancelled. A shard may read of the cancellation later than the leader and report the last
/// task of the job as done in between: if that were committed, the job would become done
/// after its user had received the response that it is cancelled.
pub(super) fn needs_commit(cache: &StoreCache, task: &Task) -> bool {
    cache
        .jobs
        .get(&task.job)
        .is_some_and(|job| job.is_live() && !job.finished.contains(task.index))
}
