//! Handling of users' questions and cancellations. The response is sent at once where the cache is sufficient,
//! after a fresh read of the key-value store where the cache may be outdated, and after the
//! commit where the request writes to the store.

use super::submissions::{PendingSubmission, RejectReason};
use super::writes::put_record;
use super::{Controller, WritePurpose, RETRY_AFTER_S};
use crate::api::responder::{error_body, Responder};
use crate::api::status;
use crate::clock::{self, Seconds};
use crate::cluster::peer::CancellationNotice;
use crate::config::settings::Settings;
use crate::store::cache::CachedJob;
use crate::store::keys::job_key;
use crate::store::records::JobRecord;
use crate::store::{CommitOutcome, Condition, ConditionalWrite, WriteClass};
use crate::wire::{JobId, JobSpec, JobStatus};
use std::collections::HashMap;
use std::sync::Arc;

/// The `Retry-After` value of a request about a job whose record is invalid, in seconds. The
/// request cannot be served until an operator has repaired the record.
const INVALID_RECORD_RETRY_AFTER_S: u32 = 30;

/// How long a request may wait before it is refused, in seconds: a fifth of the time after
/// which users give up.
pub(super) const REQUEST_TIMEOUT: Seconds = 1.0;

pub(super) const STORE_UNREACHABLE: &str = "the state service can't be reached";
const NOT_COMMITTED: &str = "not committed";

/// A request that is served from a read of the key-value store that began after the request
/// arrived.
pub(super) enum ReadRequest {
    Query {
        job: JobId,
        responder: Responder,
    },
    Cancel {
        job: JobId,
        responder: Responder,
        deadline: Seconds,
    },
    Submit {
        spec: Arc<JobSpec>,
        responder: Responder,
        deadline: Seconds,
    },
    /// Rejects a submission, unless some controller has accepted the job.
    Reject {
        job: JobId,
        reason: RejectReason,
        responder: Responder,
    },
}

impl ReadRequest {
    fn into_responder(self) -> Responder {
        match self {
            ReadRequest::Query { responder, .. }
            | ReadRequest::Cancel { responder, .. }
            | ReadRequest::Submit { responder, .. }
            | ReadRequest::Reject { responder, .. } => responder,
        }
    }
}

struct WaitingRead {
    received_at: Seconds,
    request: ReadRequest,
}

/// A cancellation that is being committed, and the responders that wait for it.
struct PendingCancellation {
    /// The time of the cancellation in the record, in milliseconds since the Unix epoch.
    cancelled_at_ms: u64,
    responders: Vec<Responder>,
}

/// The waiting requests, and the counts of running tasks that are sent to users.
pub(super) struct JobRequests {
    /// The most reads that may wait, and the most submissions that may be pending. It is the
    /// greatest number of connections, as each request has a connection of its own.
    pub(super) max_waiting: usize,
    waiting_reads: Vec<WaitingRead>,
    pub(super) submissions: HashMap<JobId, PendingSubmission>,
    cancellations: HashMap<JobId, PendingCancellation>,
    /// The number of running tasks of each job, as last reported by the leader.
    running_tasks: HashMap<JobId, u32>,
}

impl JobRequests {
    /// Creates the state, without any waiting requests.
    pub(super) fn new(settings: &Settings) -> JobRequests {
        JobRequests {
            max_waiting: settings.params.machine_limits.max_connections,
            waiting_reads: Vec::new(),
            submissions: HashMap::new(),
            cancellations: HashMap::new(),
            running_tasks: HashMap::new(),
        }
    }

    /// Replaces the counts of running tasks by those that the leader reported.
    pub(super) fn set_running_tasks(&mut self, running: &[(JobId, u32)]) {
        self.running_tasks = running.iter().cloned().collect();
    }

    fn running_tasks(&self, job: &JobId) -> u32 {
        self.running_tasks.get(job).copied().unwrap_or(0)
    }

    /// Adds a responder to the pending submission of a job. Returns the responder if there
    /// is no such submission.
    pub(super) fn join_submission(
        &mut self,
        job: &JobId,
        responder: Responder,
    ) -> Option<Responder> {
        match self.submissions.get_mut(job) {
            Some(pending) => {
                pending.responders.push(responder);
                None
            }
            None => Some(responder),
        }
    }

    /// Adds a responder to the pending cancellation of a job. Returns the responder if
    /// there is no such cancellation.
    fn join_cancellation(&mut self, job: &JobId, responder: Responder) -> Option<Responder> {
        match self.cancellations.get_mut(job) {
            Some(pending) => {
                pending.responders.push(responder);
                None
            }
            None => Some(responder),
        }
    }
}

impl Controller {
    /// Responds with a job's status: at once if the job has ended, otherwise after a fresh
    /// read of the key-value store.
    pub(super) fn query(&mut self, id: JobId, responder: Responder, now: Seconds) {
        if self.cache.jobs.get(&id).is_some_and(|job| !job.is_live()) {
            return self.respond_with_status(&id, responder);
        }
        let request = ReadRequest::Query { job: id, responder };
        self.wait_for_fresh_read(request, now);
    }

    /// Handles a cancellation. Cancels the job, unless it has ended already.
    pub(super) fn cancel(&mut self, id: JobId, responder: Responder, now: Seconds) {
        match self.cache.jobs.get(&id) {
            Some(job) if !job.is_live() => self.respond_with_final_state(&id, responder),
            Some(_) => self.write_cancellation(id, responder, now),
            None => self.cancel_after_fresh_read(id, responder, now),
        }
    }

    fn cancel_after_fresh_read(&mut self, job: JobId, responder: Responder, now: Seconds) {
        let request = ReadRequest::Cancel {
            job,
            responder,
            deadline: now + REQUEST_TIMEOUT,
        };
        self.wait_for_fresh_read(request, now);
    }

    /// Returns whether some controller has accepted a job, even if its record is invalid.
    pub(super) fn is_accepted(&self, id: &JobId) -> bool {
        self.cache.jobs.contains_key(id) || self.cache.invalid_records.contains(&job_key(id))
    }

    pub(super) fn wait_for_fresh_read(&mut self, request: ReadRequest, now: Seconds) {
        let full = self.job_requests.waiting_reads.len() >= self.job_requests.max_waiting;
        if full || !self.store_sync.is_synced() {
            return request.into_responder().retry_later(
                status::SERVICE_UNAVAILABLE,
                RETRY_AFTER_S,
                STORE_UNREACHABLE,
            );
        }
        self.job_requests.waiting_reads.push(WaitingRead {
            received_at: now,
            request,
        });
        self.store_sync.request_poll();
    }

    fn write_cancellation(&mut self, id: JobId, responder: Responder, now: Seconds) {
        if self.store_sync.is_unreachable() {
            return responder.retry_later(
                status::SERVICE_UNAVAILABLE,
                RETRY_AFTER_S,
                STORE_UNREACHABLE,
            );
        }
        let Some(responder) = self.job_requests.join_cancellation(&id, responder) else {
            return;
        };
        let Some(job) = self.cache.jobs.get(&id) else {
            return;
        };
        let cancelled_at_ms = clock::wall_clock_ms();
        let record = JobRecord {
            cancelled: true,
            cancelled_at_ms: Some(cancelled_at_ms),
            ..job.record.clone()
        };
        let write = ConditionalWrite {
            conditions: vec![Condition::new(job_key(&id), job.revision)],
            ops: vec![put_record(job_key(&id), &record)],
            deadline: now + REQUEST_TIMEOUT,
            purpose: WritePurpose::Cancellation(id.clone()),
        };
        if self.writer.send(WriteClass::Urgent, write).is_err() {
            return responder.retry_later(
                status::TOO_MANY_REQUESTS,
                RETRY_AFTER_S,
                "too many requests",
            );
        }
        let pending = PendingCancellation {
            cancelled_at_ms,
            responders: vec![responder],
        };
        self.job_requests.cancellations.insert(id, pending);
    }

    /// Handles the outcome of the write of a cancellation.
    pub(super) fn cancellation_write_completed(
        &mut self,
        id: JobId,
        outcome: CommitOutcome,
        now: Seconds,
    ) {
        let Some(pending) = self.job_requests.cancellations.remove(&id) else {
            return;
        };
        match outcome {
            CommitOutcome::Committed(revision) => {
                self.apply_committed_cancellation(&id, revision, pending.cancelled_at_ms, now);
                for responder in pending.responders {
                    self.respond_with_final_state(&id, responder);
                }
            }
            CommitOutcome::Conflict(_) => {
                for responder in pending.responders {
                    self.cancel_after_fresh_read(id.clone(), responder, now);
                }
            }
            CommitOutcome::Refused
            | CommitOutcome::Invalid
            | CommitOutcome::RateLimited
            | CommitOutcome::Unknown => send_not_committed(pending.responders),
        }
    }

    fn apply_committed_cancellation(
        &mut self,
        id: &JobId,
        revision: u64,
        at_ms: u64,
        now: Seconds,
    ) {
        if self.cache.apply_cancellation(id, revision, at_ms) {
            self.apply_job_change(id);
        }
        let notice = CancellationNotice {
            job: id.clone(),
            revision,
            at_ms,
        };
        self.peers.record_cancellation(notice, now);
    }

    /// Serves the waiting requests that arrived before the last successful read began, and
    /// refuses those that have waited too long.
    pub(super) fn serve_waiting_reads(&mut self, now: Seconds) {
        if self.job_requests.waiting_reads.is_empty() {
            return;
        }
        let synced_at = self.store_sync.last_synced_at();
        let store_unreachable = self.store_sync.is_unreachable();
        for read in std::mem::take(&mut self.job_requests.waiting_reads) {
            if synced_at.is_some_and(|at| at >= read.received_at) {
                self.serve_read(read.request, now);
            } else if store_unreachable || now - read.received_at > REQUEST_TIMEOUT {
                read.request.into_responder().retry_later(
                    status::SERVICE_UNAVAILABLE,
                    RETRY_AFTER_S,
                    STORE_UNREACHABLE,
                );
            } else {
                self.job_requests.waiting_reads.push(read);
            }
        }
        if !self.job_requests.waiting_reads.is_empty() {
            self.store_sync.request_poll();
        }
    }

    fn serve_read(&mut self, request: ReadRequest, now: Seconds) {
        match request {
            ReadRequest::Query { job, responder } => self.respond_with_status(&job, responder),
            ReadRequest::Submit {
                spec,
                responder,
                deadline,
            } => {
                if now < deadline {
                    self.submit_until(spec, responder, deadline, now);
                } else {
                    responder.retry_later(
                        status::SERVICE_UNAVAILABLE,
                        RETRY_AFTER_S,
                        NOT_COMMITTED,
                    );
                }
            }
            ReadRequest::Reject {
                job,
                reason,
                responder,
            } => {
                if self.is_accepted(&job) {
                    self.respond_with_status(&job, responder);
                } else {
                    responder.send(
                        status::UNPROCESSABLE_CONTENT,
                        error_body(&reason.to_string()),
                    );
                }
            }
            ReadRequest::Cancel {
                job,
                responder,
                deadline,
            } => match self.cache.jobs.get(&job) {
                Some(cached) if !cached.is_live() => self.respond_with_final_state(&job, responder),
                Some(_) if now < deadline => self.write_cancellation(job, responder, now),
                Some(_) => {
                    responder.retry_later(status::SERVICE_UNAVAILABLE, RETRY_AFTER_S, NOT_COMMITTED)
                }
                None => self.respond_without_record(&job, responder),
            },
        }
    }

    fn respond_with_final_state(&self, id: &JobId, responder: Responder) {
        let done = self.cache.jobs.get(id).is_some_and(|job| job.record.done);
        let state = if done { "done" } else { "cancelled" };
        send_job_status(status::OK, &status_without_counts(id, state), responder);
    }

    /// Responds to a request about a job that has no valid record. A job whose record exists
    /// but is invalid has been accepted, and must not be reported as unknown.
    fn respond_without_record(&self, id: &JobId, responder: Responder) {
        if self.cache.invalid_records.contains(&job_key(id)) {
            return responder.retry_later(
                status::SERVICE_UNAVAILABLE,
                INVALID_RECORD_RETRY_AFTER_S,
                "the job's record can't be read",
            );
        }
        responder.send(status::NOT_FOUND, error_body("no such job"));
    }

    fn respond_with_status(&self, id: &JobId, responder: Responder) {
        match self.cache.jobs.get(id) {
            Some(job) => {
                let running = self.job_requests.running_tasks(id);
                send_job_status(status::OK, &job_status(id, job, running), responder);
            }
            None => self.respond_without_record(id, responder),
        }
    }
}

/// Returns the status of a job. `running` is the number of its running tasks; it is ignored
/// if the job has ended.
fn job_status(id: &JobId, job: &CachedJob, running: u32) -> JobStatus {
    let (state, done, running) = if job.record.done {
        ("done", job.record.task_count, 0)
    } else if job.record.cancelled {
        ("cancelled", job.finished.len(), 0)
    } else if running > 0 {
        ("running", job.finished.len(), running)
    } else {
        ("pending", job.finished.len(), 0)
    };
    JobStatus {
        done: Some(done),
        running: Some(running),
        ..status_without_counts(id, state)
    }
}

pub(super) fn status_without_counts(id: &JobId, state: &str) -> JobStatus {
    JobStatus {
        id: id.clone(),
        state: state.into(),
        done: None,
        running: None,
    }
}

pub(super) fn send_job_status(status: u16, body: &JobStatus, responder: Responder) {
    responder.send(status, serde_json::to_vec(body).unwrap_or_default());
}

pub(super) fn send_not_committed(responders: Vec<Responder>) {
    for responder in responders {
        responder.retry_later(status::SERVICE_UNAVAILABLE, RETRY_AFTER_S, NOT_COMMITTED);
    }
}
