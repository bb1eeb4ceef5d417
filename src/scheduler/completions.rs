//! Which finished tasks are to be committed next.

use super::Leader;
use crate::clock::Seconds;
use crate::store::cache::StoreCache;
use crate::wire::{JobId, MachineId, Task};
use std::collections::HashSet;

/// Finished tasks to commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishedTasks {
    pub job: JobId,
    pub tasks: Vec<u32>,
}

impl Leader {
    /// Tasks seen done and not committed, job by job; each job once at a time.
    /// The ends of jobs come first, as users wait for them. Then come up to
    /// `room` jobs that have got further: a worker keeps a result until it is
    /// committed, so that this is in no hurry, unless its machine is to go.
    pub fn completions_to_commit(
        &mut self,
        now: Seconds,
        room: usize,
        cache: &StoreCache,
    ) -> Vec<FinishedTasks> {
        let mut out = Vec::new();
        let mut some: Vec<(bool, Seconds, JobId)> = Vec::new();
        let leaving: HashSet<&MachineId> = self
            .shards
            .values()
            .flat_map(|shard| shard.machines.values())
            .filter(|machine| machine.view.spot_notice || machine.view.draining)
            .map(|machine| &machine.view.id)
            .collect();
        for (id, entry) in &mut self.jobs {
            let Some(job) = cache.jobs.get(id).filter(|j| j.live()) else {
                continue;
            };
            if entry.commit_in_flight || entry.completed.is_empty() || now < entry.commit_retry_at {
                continue;
            }
            let before = job.finished.len();
            if before + entry.completed.len() >= entry.spec.task_count {
                entry.commit_in_flight = true;
                out.push(FinishedTasks {
                    job: id.clone(),
                    tasks: entry.completed.iter().collect(),
                });
                continue;
            }
            let pressing = !leaving.is_empty()
                && entry.completed.iter().any(|i| {
                    entry
                        .assigned
                        .get(&i)
                        .and_then(|assignment| assignment.machine.as_ref())
                        .is_some_and(|machine| leaving.contains(machine))
                });
            if pressing || now >= entry.next_commit_at {
                some.push((!pressing, entry.next_commit_at, id.clone()));
            }
        }
        some.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        for (_, _, id) in some.into_iter().take(room.saturating_sub(out.len())) {
            if let Some(entry) = self.jobs.get_mut(&id) {
                entry.commit_in_flight = true;
                out.push(FinishedTasks {
                    job: id,
                    tasks: entry.completed.iter().collect(),
                });
            }
        }
        out
    }

    /// A commit of finished tasks has been answered; the same job's next
    /// progress follows after a report interval, a refused one from `retry` on.
    pub fn commit_answered(&mut self, job: &JobId, now: Seconds, retry: Seconds) {
        if let Some(entry) = self.jobs.get_mut(job) {
            entry.commit_in_flight = false;
            entry.commit_retry_at = retry;
            entry.next_commit_at = now + self.policy.report_s;
        }
    }
}

/// Whether a task's end is still to be committed. Guard: not once its job is
/// cancelled, which a shard may hear later than the leader. Its last task's end,
/// reported in between, made a job done that its user had been told is cancelled.
pub(super) fn needs_commit(cache: &StoreCache, task: &Task) -> bool {
    cache
        .jobs
        .get(&task.job)
        .is_some_and(|j| j.live() && !j.finished.contains(task.index))
}
