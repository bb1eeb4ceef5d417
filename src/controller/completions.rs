//! Commits of finished tasks to the key-value store. Only after the commit may a job be
//! reported as done, or a worker discard the result of a task.

use super::writes::{put_record, put_value};
use super::{Controller, WritePurpose};
use crate::clock::Seconds;
use crate::config::settings::StateLimits;
use crate::finished::{chunks_covering, tasks_per_chunk};
use crate::scheduler::FinishedTasks;
use crate::store::cache::CachedJob;
use crate::store::keys::job_key;
use crate::store::leader_fencing::completion_conditions;
use crate::store::pending_writes::{PendingWrites, WriteId};
use crate::store::records::JobRecord;
use crate::store::{CommitOutcome, Condition, ConditionalWrite, WriteClass, WriteOp, BULK_SHARE};
use crate::wire::JobId;

/// Commits of finished tasks that are in flight.
pub(super) type PendingCompletions = PendingWrites<JobId, Vec<WriteOp>>;

/// How long a commit of finished tasks may take, in seconds.
const COMMIT_TIMEOUT: Seconds = 2.0;

/// The delay before a failed commit is retried, in report intervals.
const COMMIT_RETRY_REPORTS: f64 = 1.0 / 6.0;

/// The number of commits that may always be in flight at once, however low the write rate.
const MIN_CONCURRENT_COMMITS: f64 = 2.0;

/// The conditions and operations of a transaction.
struct Transaction {
    conditions: Vec<Condition>,
    ops: Vec<WriteOp>,
}

impl Controller {
    /// Commits the finished tasks of jobs. If all tasks of a job are finished, its record is
    /// marked as done; otherwise the chunks that contain the finished tasks are written.
    pub(super) fn commit_finished(&mut self, now: Seconds) {
        // The writes would be refused, and count against the write rate.
        if self.membership.has_epoch_ended(self.cache.epoch_revision) {
            return;
        }
        // Only a few commits are in flight at a time: the write rate limits them, and the
        // last commit of a job must not wait for the progress commits of other jobs.
        let limits = self.settings.params.state.clone();
        let max_commits = (limits.write_rps * BULK_SHARE / 2.0).max(MIN_CONCURRENT_COMMITS);
        let free_slots = (max_commits as usize).saturating_sub(self.pending_completions.count());
        for completion in self
            .leader
            .completions_to_commit(now, free_slots, &self.cache)
        {
            let Some(job) = self
                .cache
                .jobs
                .get(&completion.job)
                .filter(|job| job.is_live())
            else {
                self.leader.record_commit_outcome(&completion.job, now, now);
                continue;
            };
            let epoch_revision = self.cache.epoch_revision;
            let Transaction { conditions, ops } =
                completion_transaction(&completion, job, epoch_revision, &limits);
            let write_id = self.pending_completions.next_id();
            let purpose = WritePurpose::Completion(completion.job.clone(), write_id);
            let write = ConditionalWrite {
                conditions,
                ops: ops.clone(),
                deadline: now + COMMIT_TIMEOUT,
                purpose,
            };
            if self.writer.send(WriteClass::Bulk, write).is_err() {
                self.leader.record_commit_outcome(&completion.job, now, now);
            } else {
                self.pending_completions
                    .insert(write_id, completion.job, ops);
            }
        }
    }

    /// Handles the outcome of a commit of finished tasks. The committed records are applied
    /// to the cache at once: a further commit that expects the old revisions would only be
    /// refused, and would count against the write rate.
    pub(super) fn completion_write_completed(
        &mut self,
        job: &JobId,
        write_id: WriteId,
        outcome: CommitOutcome,
        now: Seconds,
    ) {
        let ops = self
            .pending_completions
            .remove(write_id)
            .map(|write| write.1)
            .unwrap_or_default();
        let CommitOutcome::Committed(revision) = outcome else {
            let retry_at = now + self.report_interval() * COMMIT_RETRY_REPORTS;
            return self.leader.record_commit_outcome(job, now, retry_at);
        };
        for op in ops {
            if let WriteOp::Put { key, value, .. } = op {
                self.cache.put(&key, value, revision);
            }
        }
        self.apply_job_change(job);
        self.leader.record_commit_outcome(job, now, now);
    }
}

/// Returns the transaction that stores finished tasks of a job. It marks the job's record as
/// done if all tasks are finished, and otherwise writes the chunks that contain them.
fn completion_transaction(
    completion: &FinishedTasks,
    job: &CachedJob,
    epoch_revision: u64,
    limits: &StateLimits,
) -> Transaction {
    let mut finished = job.finished.clone();
    for &task in &completion.tasks {
        finished.add(task);
    }
    let mut conditions = completion_conditions(&completion.job, job.revision, Some(epoch_revision));
    if finished.len() == job.record.task_count {
        return Transaction {
            conditions,
            ops: job_done_ops(&completion.job, job, limits),
        };
    }
    let per_chunk = tasks_per_chunk(limits.lowest_value_kb());
    let mut ops = Vec::new();
    let ranges = chunks_covering(&completion.tasks, job.record.task_count, per_chunk);
    for range in ranges.into_iter().take(limits.lowest_txn_ops()) {
        let key = range.chunk.key(&completion.job);
        conditions.push(Condition::new(
            key.clone(),
            job.chunks.get(&range.chunk).copied().unwrap_or(0),
        ));
        ops.push(put_value(key, finished.hex(range.first, range.len).into()));
    }
    Transaction { conditions, ops }
}

/// Returns the operations that mark a job's record as done, and delete as many of its chunks
/// as fit into the same transaction.
fn job_done_ops(id: &JobId, job: &CachedJob, limits: &StateLimits) -> Vec<WriteOp> {
    let record = JobRecord {
        spec: None,
        done: true,
        ..job.record.clone()
    };
    let mut ops = vec![put_record(job_key(id), &record)];
    let max_deletes = limits.lowest_txn_ops().saturating_sub(1);
    ops.extend(
        job.chunks
            .keys()
            .take(max_deletes)
            .map(|chunk| WriteOp::Delete { key: chunk.key(id) }),
    );
    ops
}
