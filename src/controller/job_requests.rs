//! Users' requests: answered at once from memory where that is safe, after
//! a fresh reading of the key-value store where it isn't, and after the commit
//! where something is to be kept.

use super::{Controller, WritePurpose};
use crate::api::responder::{error_body, Responder};
use crate::clock::{self, Seconds};
use crate::cluster::peer::CancellationNotice;
use crate::store::keys::job_key;
use crate::store::records::JobRecord;
use crate::store::{CommitOutcome, Condition, ConditionalWrite, WriteClass, WriteOp};
use crate::wire::{Catalog, JobId, JobKind, JobSpec, JobStatus};
use std::collections::HashMap;
use std::sync::Arc;

/// Bytes that a cancellation adds to a job's record, with room to spare.
const CANCELLED_BYTES: usize = 48;

/// When to come back with what needs all controllers to be upgraded, in seconds.
const UPGRADE_RETRY_S: u32 = 5;

/// When to come back about a job whose record can't be read, in seconds: until an
/// operator has seen to it, nothing else can be said.
const UNREADABLE_RETRY_S: u32 = 30;

/// Requests that wait.
#[derive(Default)]
pub(crate) struct Users {
    /// Wait for a reading begun after they came.
    reads: Vec<(Seconds, Read)>,
    /// Wait for a commit.
    submits: HashMap<JobId, (JobRecord, Vec<Responder>)>,
    withdraws: HashMap<JobId, (u64, Vec<Responder>)>,
}

enum Read {
    Query(JobId, Responder),
    Withdraw(JobId, Responder, Seconds),
    /// A submission that can never run, unless the job is known.
    Unfit(JobId, String, Responder),
}

impl Controller {
    /// How many may wait for one thing: each has a connection.
    fn most_waiting(&self) -> usize {
        self.settings.params.machine_limits.max_connections
    }

    /// How long a request may wait before it is given up: a fifth of the time
    /// after which users would.
    fn patience(&self) -> Seconds {
        1.0
    }

    pub(super) fn submit(&mut self, spec: JobSpec, responder: Responder, now: Seconds) {
        let id = spec.id.clone();
        if self.is_known(&id) {
            return self.query(id, responder, now);
        }
        if let Some((_, waiting)) = self.users.submits.get_mut(&id) {
            return waiting.push(responder);
        }
        if self.last_synced_at.is_none() || self.store_unreachable {
            return responder.retry_later(503, 2, "the state service can't be reached");
        }
        let Some(catalog) = self.cache.catalog.clone() else {
            return responder.retry_later(503, 1, "the machine types are not known yet");
        };
        if let Err(why) = self.can_run(&spec, &catalog) {
            // Final for the user: never for a job that another controller has
            // accepted a moment ago, whatever this body says.
            return self.wait_fresh(Read::Unfit(id, why, responder), now);
        }
        // Guard: a version without gangs would start their tasks one by one.
        if spec.job_kind == JobKind::Gang && !self.cache.all_run_gangs() {
            return responder.retry_later(
                503,
                UPGRADE_RETRY_S,
                "not all controllers run gangs yet",
            );
        }
        if self.users.submits.len() >= self.most_waiting() {
            return responder.retry_later(429, 2, "too many submissions");
        }
        let record = JobRecord {
            task_count: spec.task_count,
            spec: Some(Arc::new(spec)),
            epoch: self.cache.epoch.as_ref().map_or(0, |e| e.number),
            accepted_at_ms: clock::wall_clock_ms(),
            cancelled: false,
            done: false,
            cancelled_at_ms: None,
        };
        let value = serde_json::to_value(&record).unwrap_or_default();
        // Guard: a record that the key-value store doesn't take, or will not once
        // it is cancelled or the limits are lower, could never be kept.
        let size = value.to_string().len() + CANCELLED_BYTES;
        if size > self.settings.params.state.lowest_value_bytes() {
            let why = "its description is longer than can be stored".into();
            return self.wait_fresh(Read::Unfit(id, why, responder), now);
        }
        let write = ConditionalWrite {
            conditions: vec![Condition::new(job_key(&id), 0)],
            ops: vec![WriteOp::Put {
                key: job_key(&id),
                value,
                lease: None,
            }],
            deadline: now + self.patience(),
            purpose: WritePurpose::Submit(id.clone()),
        };
        if self.writer.send(WriteClass::Urgent, write).is_err() {
            return responder.retry_later(429, 2, "too many submissions");
        }
        self.users.submits.insert(id, (record, vec![responder]));
    }

    /// Whether a job can ever run; else why not.
    fn can_run(&self, spec: &JobSpec, catalog: &Catalog) -> Result<(), String> {
        let team = self.settings.team(&spec.team).ok_or("unknown team")?;
        match spec.zones_that_fit(catalog) {
            0 => return Err("a task fits no allowed machine type".into()),
            // Half of the tasks, rounded up, may be in one zone.
            n if spec.scatter && spec.task_count > 1 && (n == 1 || spec.one_zone) => {
                return Err("its tasks must be in two zones and may only be in one".into());
            }
            _ => {}
        }
        let n = if spec.job_kind == JobKind::Array {
            1.0
        } else {
            f64::from(spec.task_count)
        };
        if n * spec.cpus > team.cpu_cap() || n * spec.gpus > team.gpu_cap() {
            return Err("the job needs more than the team's limit".into());
        }
        Ok(())
    }

    pub(super) fn submit_written(&mut self, id: JobId, outcome: CommitOutcome, now: Seconds) {
        let Some((record, replies)) = self.users.submits.remove(&id) else {
            return;
        };
        match outcome {
            CommitOutcome::Committed(revision) => {
                if let Some(s) = &record.spec {
                    tracing::debug!(%id, tasks = s.task_count, estimate = s.estimate_s, due = s.deadline_s, "accepted");
                }
                let value = serde_json::to_value(&record).unwrap_or_default();
                self.cache.put(&job_key(&id), value, revision);
                self.job_changed(&id);
                self.note_accepted(now);
                let mut status = 201;
                for responder in replies {
                    let view = JobStatus {
                        id: id.clone(),
                        state: "pending".into(),
                        done: None,
                        running: None,
                    };
                    responder.send(status, serde_json::to_vec(&view).unwrap_or_default());
                    status = 200;
                }
            }
            CommitOutcome::Conflict(_) => {
                // Another node has it already.
                for responder in replies {
                    self.query(id.clone(), responder, now);
                }
            }
            CommitOutcome::Refused
            | CommitOutcome::Invalid
            | CommitOutcome::RateLimited
            | CommitOutcome::Unknown => {
                for responder in replies {
                    responder.retry_later(503, 1, "not committed");
                }
            }
        }
    }

    pub(super) fn query(&mut self, id: JobId, responder: Responder, now: Seconds) {
        if self.cache.jobs.get(&id).is_some_and(|j| !j.live()) {
            return self.answer(&id, responder);
        }
        self.wait_fresh(Read::Query(id, responder), now);
    }

    pub(super) fn withdraw(&mut self, id: JobId, responder: Responder, now: Seconds) {
        match self.cache.jobs.get(&id) {
            Some(j) if !j.live() => self.answer_final(&id, responder),
            Some(_) => self.cancel(id, responder, now),
            None => {
                let until = now + self.patience();
                self.wait_fresh(Read::Withdraw(id, responder, until), now);
            }
        }
    }

    /// Whether some controller has accepted a job, and be it that its record can't be
    /// read.
    fn is_known(&self, id: &JobId) -> bool {
        self.cache.jobs.contains_key(id) || self.cache.unreadable.contains(&job_key(id))
    }

    fn wait_fresh(&mut self, read: Read, now: Seconds) {
        let reply_now = self.last_synced_at.is_none()
            || self.store_unreachable
            || self.users.reads.len() >= self.most_waiting();
        if reply_now {
            return read
                .into_reply()
                .retry_later(503, 1, "the state service can't be reached");
        }
        self.users.reads.push((now, read));
        let _ = self.watch_wakeups.try_send(());
    }

    fn cancel(&mut self, id: JobId, responder: Responder, now: Seconds) {
        if self.store_unreachable {
            return responder.retry_later(503, 1, "the state service can't be reached");
        }
        if let Some(waiting) = self.users.withdraws.get_mut(&id) {
            return waiting.1.push(responder);
        }
        let Some(job) = self.cache.jobs.get(&id) else {
            return;
        };
        let record = cancelled(&job.record);
        let at_ms = record.cancelled_at_ms.unwrap_or_default();
        let write = ConditionalWrite {
            conditions: vec![Condition::new(job_key(&id), job.revision)],
            ops: vec![WriteOp::Put {
                key: job_key(&id),
                value: serde_json::to_value(&record).unwrap_or_default(),
                lease: None,
            }],
            deadline: now + self.patience(),
            purpose: WritePurpose::Withdraw(id.clone()),
        };
        if self.writer.send(WriteClass::Urgent, write).is_err() {
            return responder.retry_later(429, 1, "too many requests");
        }
        self.users.withdraws.insert(id, (at_ms, vec![responder]));
    }

    pub(super) fn withdraw_written(&mut self, id: JobId, outcome: CommitOutcome, now: Seconds) {
        let Some((at_ms, replies)) = self.users.withdraws.remove(&id) else {
            return;
        };
        match outcome {
            CommitOutcome::Committed(revision) => {
                if self.cache.apply_cancellation(&id, revision, at_ms) {
                    self.job_changed(&id);
                }
                // The others hear of it in this round: the machines may be theirs.
                self.cancellation_notices.push((
                    CancellationNotice {
                        job: id.clone(),
                        revision,
                        at_ms,
                    },
                    now,
                ));
                self.said_hello = f64::MIN;
                for responder in replies {
                    self.answer_final(&id, responder);
                }
            }
            CommitOutcome::Conflict(_) => {
                for responder in replies {
                    let until = now + self.patience();
                    self.wait_fresh(Read::Withdraw(id.clone(), responder, until), now);
                }
            }
            CommitOutcome::Refused
            | CommitOutcome::Invalid
            | CommitOutcome::RateLimited
            | CommitOutcome::Unknown => {
                for responder in replies {
                    responder.retry_later(503, 1, "not committed");
                }
            }
        }
    }

    /// Serves what a new reading allows; refuses what waited too long.
    pub(super) fn serve_waiting(&mut self, now: Seconds) {
        if self.users.reads.is_empty() {
            return;
        }
        let fresh = self.last_synced_at.unwrap_or(f64::MIN);
        let reads = std::mem::take(&mut self.users.reads);
        for (came, read) in reads {
            if fresh >= came {
                match read {
                    Read::Query(id, responder) => self.answer(&id, responder),
                    Read::Unfit(id, why, responder) if !self.is_known(&id) => {
                        responder.send(422, error_body(&why));
                    }
                    Read::Unfit(id, _, responder) => self.answer(&id, responder),
                    Read::Withdraw(id, responder, until) => match self.cache.jobs.get(&id) {
                        Some(j) if !j.live() => self.answer_final(&id, responder),
                        Some(_) if now < until => self.cancel(id, responder, now),
                        Some(_) => responder.retry_later(503, 1, "not committed"),
                        None => self.answer_unknown(&id, responder),
                    },
                }
            } else if self.store_unreachable || now - came > self.patience() {
                read.into_reply()
                    .retry_later(503, 1, "the state service can't be reached");
            } else {
                self.users.reads.push((came, read));
            }
        }
        if !self.users.reads.is_empty() {
            let _ = self.watch_wakeups.try_send(());
        }
    }

    fn answer_final(&self, id: &JobId, responder: Responder) {
        let done = self.cache.jobs.get(id).is_some_and(|j| j.record.done);
        let state = if done { "done" } else { "cancelled" };
        let view = JobStatus {
            id: id.clone(),
            state: state.into(),
            done: None,
            running: None,
        };
        responder.send(200, serde_json::to_vec(&view).unwrap_or_default());
    }

    /// Nothing can be said of a job without a readable record. Guard: one whose record
    /// can't be read was accepted, and must not be called unknown.
    fn answer_unknown(&self, id: &JobId, responder: Responder) {
        if self.cache.unreadable.contains(&job_key(id)) {
            return responder.retry_later(
                503,
                UNREADABLE_RETRY_S,
                "the job's record can't be read",
            );
        }
        responder.send(404, error_body("no such job"));
    }

    fn answer(&self, id: &JobId, responder: Responder) {
        let Some(job) = self.cache.jobs.get(id) else {
            return self.answer_unknown(id, responder);
        };
        let running = self.running.get(id).copied().unwrap_or(0);
        let (state, done, running) = if job.record.done {
            ("done", job.record.task_count, 0)
        } else if job.record.cancelled {
            ("cancelled", job.finished.len(), 0)
        } else if running > 0 {
            ("running", job.finished.len(), running)
        } else {
            ("pending", job.finished.len(), 0)
        };
        let view = JobStatus {
            id: id.clone(),
            state: state.into(),
            done: Some(done),
            running: Some(running),
        };
        responder.send(200, serde_json::to_vec(&view).unwrap_or_default());
    }
}

/// A job's record once it is cancelled.
fn cancelled(record: &JobRecord) -> JobRecord {
    JobRecord {
        cancelled: true,
        cancelled_at_ms: Some(clock::wall_clock_ms()),
        ..record.clone()
    }
}

impl Read {
    fn into_reply(self) -> Responder {
        match self {
            Read::Query(_, responder)
            | Read::Withdraw(_, responder, _)
            | Read::Unfit(_, _, responder) => responder,
        }
    }
}
