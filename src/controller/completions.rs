//! Commits of finished tasks: only once they are committed may a job be reported as
//! done, or a worker forget a result.

use super::writes::{put_record, put_value};
use super::{Controller, WritePurpose};
use crate::clock::Seconds;
use crate::config::settings::StateLimits;
use crate::finished::{chunks_covering, tasks_per_chunk};
use crate::scheduler::FinishedTasks;
use crate::store::cache::CachedJob;
use crate::store::keys::job_key;
use crate::store::pending_writes::{PendingWrites, WriteId};
use crate::store::records::JobRecord;
use crate::store::{CommitOutcome, Condition, ConditionalWrite, WriteClass, WriteOp, BULK_SHARE};
use crate::wire::JobId;

/// Commits of finished tasks that are under way.
pub(super) type PendingFinishes = PendingWrites<JobId, Vec<WriteOp>>;

/// How long a commit of finished tasks may take.
const COMMIT_TIMEOUT: Seconds = 2.0;

/// After how long a commit that failed is tried again, as a share of a report interval.
const RETRY_SHARE: f64 = 1.0 / 6.0;

/// The fewest commits that may be under way at once.
const MIN_CONCURRENT_COMMITS: f64 = 2.0;

/// A transaction's conditions and operations.
struct Transaction {
    conditions: Vec<Condition>,
    ops: Vec<WriteOp>,
}

impl Controller {
    /// Commits finished tasks: their chunks, or the end of the job.
    pub(super) fn commit_finished(&mut self, now: Seconds) {
        // Few at a time: they are paced by the write rate, and a job's end must not wait
        // behind the progress of others.
        let limits = self.settings.params.state.clone();
        let max_commits = (limits.write_rps * BULK_SHARE / 2.0).max(MIN_CONCURRENT_COMMITS);
        let room = (max_commits as usize).saturating_sub(self.finishes.count());
        for finish in self.leader.completions_to_commit(now, room, &self.cache) {
            let Some(job) = self.cache.jobs.get(&finish.job).filter(|job| job.is_live()) else {
                self.leader.commit_answered(&finish.job, now, now);
                continue;
            };
            let Transaction { conditions, ops } = finish_transaction(&finish, job, &limits);
            let write_id = self.finishes.next_id();
            let purpose = WritePurpose::Finish(finish.job.clone(), write_id);
            let write = ConditionalWrite {
                conditions,
                ops: ops.clone(),
                deadline: now + COMMIT_TIMEOUT,
                purpose,
            };
            if self.writer.send(WriteClass::Bulk, write).is_err() {
                self.leader.commit_answered(&finish.job, now, now);
            } else {
                self.finishes.insert(write_id, finish.job, ops);
            }
        }
    }

    /// A commit of finished tasks was answered, or given up. What was committed goes into
    /// the cache at once: a second commit under the old revisions would only be refused,
    /// and count against the rate.
    pub(super) fn finish_completed(
        &mut self,
        job: &JobId,
        write_id: WriteId,
        outcome: CommitOutcome,
        now: Seconds,
    ) {
        let ops = self
            .finishes
            .remove(write_id)
            .map(|write| write.1)
            .unwrap_or_default();
        let CommitOutcome::Committed(revision) = outcome else {
            let retry_at = now + self.report_interval() * RETRY_SHARE;
            return self.leader.commit_answered(job, now, retry_at);
        };
        for op in ops {
            if let WriteOp::Put { key, value, .. } = op {
                self.cache.put(&key, value, revision);
            }
        }
        self.apply_job_change(job);
        self.leader.commit_answered(job, now, now);
    }
}

/// The transaction that stores finished tasks.
fn finish_transaction(
    finish: &FinishedTasks,
    job: &CachedJob,
    limits: &StateLimits,
) -> Transaction {
    let mut finished = job.finished.clone();
    for &task in &finish.tasks {
        finished.add(task);
    }
    let mut conditions = vec![Condition::new(job_key(&finish.job), job.revision)];
    if finished.len() == job.record.task_count {
        return Transaction {
            conditions,
            ops: end_of_job(&finish.job, job, limits),
        };
    }
    let per_chunk = tasks_per_chunk(limits.lowest_value_kb());
    let mut ops = Vec::new();
    let ranges = chunks_covering(&finish.tasks, job.record.task_count, per_chunk);
    for range in ranges.into_iter().take(limits.lowest_txn_ops()) {
        let key = range.chunk.key(&finish.job);
        conditions.push(Condition::new(
            key.clone(),
            job.chunks.get(&range.chunk).copied().unwrap_or(0),
        ));
        ops.push(put_value(key, finished.hex(range.first, range.len).into()));
    }
    Transaction { conditions, ops }
}

/// Replaces a job's chunks by its record as done.
fn end_of_job(id: &JobId, job: &CachedJob, limits: &StateLimits) -> Vec<WriteOp> {
    let record = JobRecord {
        spec: None,
        done: true,
        ..job.record.clone()
    };
    let mut ops = vec![put_record(job_key(id), &record)];
    let room = limits.lowest_txn_ops().saturating_sub(1);
    ops.extend(
        job.chunks
            .keys()
            .take(room)
            .map(|chunk| WriteOp::Delete { key: chunk.key(id) }),
    );
    ops
}
