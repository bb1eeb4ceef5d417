//! Commits of finished tasks: only once they are committed may anybody call a job
//! done, or a worker forget a result.

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

/// How long a commit of finished tasks may take, in seconds.
const COMMIT_S: Seconds = 2.0;

/// A transaction's conditions and operations.
struct Transaction {
    conditions: Vec<Condition>,
    ops: Vec<WriteOp>,
}

impl Controller {
    /// Commits what is seen done: the chunks of finished tasks, or the end of
    /// the job.
    pub(super) fn commit_finished(&mut self, now: Seconds) {
        // Few at a time: they are paced by the write rate, and a job's end
        // must not wait behind the progress of others.
        let limits = self.settings.params.state.clone();
        let most = (limits.write_rps * BULK_SHARE / 2.0).max(2.0) as usize;
        let room = most.saturating_sub(self.finishes.count());
        for finish in self.leader.completions_to_commit(now, room, &self.cache) {
            let Some(job) = self.cache.jobs.get(&finish.job).filter(|job| job.live()) else {
                self.leader.commit_answered(&finish.job, now, now);
                continue;
            };
            let Transaction { conditions, ops } = finish_transaction(&finish, job, &limits);
            let write_id = self.finishes.next_id();
            let purpose = WritePurpose::Finish(finish.job.clone(), write_id);
            let write = ConditionalWrite {
                conditions,
                ops: ops.clone(),
                deadline: now + COMMIT_S,
                purpose,
            };
            if self.writer.send(WriteClass::Bulk, write).is_err() {
                self.leader.commit_answered(&finish.job, now, now);
            } else {
                self.finishes.sent(write_id, finish.job, ops);
            }
        }
    }

    /// What was committed is known at once: a second commit with the versions
    /// of before would only be refused, and count against the rate.
    pub(super) fn finish_written(
        &mut self,
        job: &JobId,
        write_id: WriteId,
        outcome: CommitOutcome,
        now: Seconds,
    ) {
        let ops = self
            .finishes
            .answered(write_id)
            .map(|write| write.1)
            .unwrap_or_default();
        let CommitOutcome::Committed(revision) = outcome else {
            let retry_at = now + self.settings.params.workers.report_s / 6.0;
            return self.leader.commit_answered(job, now, retry_at);
        };
        for op in ops {
            if let WriteOp::Put { key, value, .. } = op {
                self.cache.put(&key, value, revision);
            }
        }
        self.job_changed(job);
        self.leader.commit_answered(job, now, now);
    }
}

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
        let value = finished.hex(range.first, range.len).into();
        ops.push(WriteOp::Put {
            key,
            value,
            lease: None,
        });
    }
    Transaction { conditions, ops }
}

/// The job's record as done, in place of its chunks.
fn end_of_job(id: &JobId, job: &CachedJob, limits: &StateLimits) -> Vec<WriteOp> {
    let record = JobRecord {
        spec: None,
        done: true,
        ..job.record.clone()
    };
    let value = serde_json::to_value(&record).unwrap_or_default();
    let mut ops = vec![WriteOp::Put {
        key: job_key(id),
        value,
        lease: None,
    }];
    let room = limits.lowest_txn_ops().saturating_sub(1);
    ops.extend(
        job.chunks
            .keys()
            .take(room)
            .map(|chunk| WriteOp::Delete { key: chunk.key(id) }),
    );
    ops
}
