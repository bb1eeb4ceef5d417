//! Handling of users' requests. The response is sent at once where the cache is sufficient,
//! after a fresh read of the key-value store where the cache may be outdated, and after the
//! commit where the request writes to the store.

use super::writes::{put_record, put_value, to_value};
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
use crate::wire::{Catalog, JobId, JobKind, JobSpec, JobStatus};
use std::collections::HashMap;
use std::sync::Arc;

/// An upper bound on the number of bytes that a cancellation adds to a job's record.
const CANCELLATION_BYTES: usize = 48;

/// The `Retry-After` value of a submission that cannot be accepted at present, in seconds.
const SUBMISSION_RETRY_AFTER_S: u32 = 2;

/// The `Retry-After` value of a submission that has to wait until all controllers are
/// upgraded, in seconds.
const UPGRADE_RETRY_AFTER_S: u32 = 5;

/// The `Retry-After` value of a request about a job whose record is invalid, in seconds. The
/// request cannot be served until an operator has repaired the record.
const INVALID_RECORD_RETRY_AFTER_S: u32 = 30;

/// How long a request may wait before it is refused, in seconds: a fifth of the time after
/// which users give up.
const REQUEST_TIMEOUT: Seconds = 1.0;

const STORE_UNREACHABLE: &str = "the state service can't be reached";
const NOT_COMMITTED: &str = "not committed";
const TOO_MANY_SUBMISSIONS: &str = "too many submissions";

/// The reason why a job is permanently rejected. Its text is sent to the user.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum RejectReason {
    /// The settings have no team of that name.
    #[error("unknown team")]
    UnknownTeam,
    /// No machine type in an allowed zone is large enough for a task.
    #[error("a task fits no allowed machine type")]
    FitsNoMachineType,
    /// The tasks must be scattered over two zones, but must also be in one zone, or only one
    /// zone has an allowed machine type that is large enough.
    #[error("its tasks must be in two zones and may only be in one")]
    NeedsTwoZones,
    /// The tasks that must run at the same time need more than the team may ever use.
    #[error("the job needs more than the team's limit")]
    ExceedsTeamLimit,
    /// The job's record would be larger than the key-value store allows.
    #[error("its description is longer than can be stored")]
    DescriptionTooLong,
}

/// A request that is served from a read of the key-value store that began after the request
/// arrived.
enum ReadRequest {
    Query {
        job: JobId,
        responder: Responder,
    },
    Cancel {
        job: JobId,
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
            | ReadRequest::Reject { responder, .. } => responder,
        }
    }
}

struct WaitingRead {
    received_at: Seconds,
    request: ReadRequest,
}

/// A submission that is being committed, and the responders that wait for it.
struct PendingSubmission {
    record: JobRecord,
    responders: Vec<Responder>,
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
    max_waiting: usize,
    waiting_reads: Vec<WaitingRead>,
    submissions: HashMap<JobId, PendingSubmission>,
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
    fn join_submission(&mut self, job: &JobId, responder: Responder) -> Option<Responder> {
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
    /// Handles a submission. Accepts the job, unless it can never run; responds with the
    /// job's status if the job was accepted before.
    pub(super) fn submit(&mut self, spec: JobSpec, responder: Responder, now: Seconds) {
        let id = spec.id.clone();
        if self.is_accepted(&id) {
            return self.query(id, responder, now);
        }
        let Some(responder) = self.job_requests.join_submission(&id, responder) else {
            return;
        };
        if !self.store_sync.is_synced() {
            return responder.retry_later(
                status::SERVICE_UNAVAILABLE,
                SUBMISSION_RETRY_AFTER_S,
                STORE_UNREACHABLE,
            );
        }
        let Some(catalog) = self.cache.catalog.clone() else {
            return responder.retry_later(
                status::SERVICE_UNAVAILABLE,
                RETRY_AFTER_S,
                "the machine types are not known yet",
            );
        };
        if let Err(reason) = self.check_runnable(&spec, &catalog) {
            return self.reject_unless_accepted(id, reason, responder, now);
        }
        // A controller of a version without support for gangs would start the tasks of a
        // gang one by one.
        if spec.job_kind == JobKind::Gang && !self.cache.all_members_support_gangs() {
            return responder.retry_later(
                status::SERVICE_UNAVAILABLE,
                UPGRADE_RETRY_AFTER_S,
                "not all controllers run gangs yet",
            );
        }
        if self.job_requests.submissions.len() >= self.job_requests.max_waiting {
            return responder.retry_later(
                status::TOO_MANY_REQUESTS,
                SUBMISSION_RETRY_AFTER_S,
                TOO_MANY_SUBMISSIONS,
            );
        }
        self.write_submission(id, spec, responder, now);
    }

    fn write_submission(&mut self, id: JobId, spec: JobSpec, responder: Responder, now: Seconds) {
        let record = self.new_job_record(spec);
        let value = to_value(&record);
        // The record must also fit into the key-value store once the job is cancelled or the
        // store's lower limits apply; otherwise it could not be kept.
        let size = value.to_string().len() + CANCELLATION_BYTES;
        if size > self.settings.params.state.lowest_value_bytes() {
            let reason = RejectReason::DescriptionTooLong;
            return self.reject_unless_accepted(id, reason, responder, now);
        }
        let write = ConditionalWrite {
            conditions: vec![Condition::new(job_key(&id), 0)],
            ops: vec![put_value(job_key(&id), value)],
            deadline: now + REQUEST_TIMEOUT,
            purpose: WritePurpose::Submission(id.clone()),
        };
        if self.writer.send(WriteClass::Urgent, write).is_err() {
            return responder.retry_later(
                status::TOO_MANY_REQUESTS,
                SUBMISSION_RETRY_AFTER_S,
                TOO_MANY_SUBMISSIONS,
            );
        }
        let pending = PendingSubmission {
            record,
            responders: vec![responder],
        };
        self.job_requests.submissions.insert(id, pending);
    }

    fn new_job_record(&self, spec: JobSpec) -> JobRecord {
        JobRecord {
            task_count: spec.task_count,
            spec: Some(Arc::new(spec)),
            epoch: self.cache.epoch.as_ref().map_or(0, |epoch| epoch.number),
            accepted_at_ms: clock::wall_clock_ms(),
            cancelled: false,
            done: false,
            cancelled_at_ms: None,
        }
    }

    /// Checks that a job can ever run. Returns the reason if it cannot.
    fn check_runnable(&self, spec: &JobSpec, catalog: &Catalog) -> Result<(), RejectReason> {
        let team = self
            .settings
            .team(&spec.team)
            .ok_or(RejectReason::UnknownTeam)?;
        match spec.fitting_zone_count(catalog) {
            0 => return Err(RejectReason::FitsNoMachineType),
            // At most half of the tasks, rounded up, may be in one zone.
            zones if spec.scatter && spec.task_count > 1 && (zones == 1 || spec.one_zone) => {
                return Err(RejectReason::NeedsTwoZones);
            }
            _ => {}
        }
        let concurrent_tasks = if spec.job_kind == JobKind::Array {
            1.0
        } else {
            f64::from(spec.task_count)
        };
        let cpus = concurrent_tasks * spec.cpus;
        let gpus = concurrent_tasks * spec.gpus;
        if cpus > team.cpu_cap() || gpus > team.gpu_cap() {
            return Err(RejectReason::ExceedsTeamLimit);
        }
        Ok(())
    }

    /// Rejects a submission after a fresh read of the key-value store, unless some controller
    /// has accepted the job. A rejection is final for the user, so it must not be sent for a
    /// job that another controller has just accepted, whatever this submission contains.
    fn reject_unless_accepted(
        &mut self,
        job: JobId,
        reason: RejectReason,
        responder: Responder,
        now: Seconds,
    ) {
        let request = ReadRequest::Reject {
            job,
            reason,
            responder,
        };
        self.wait_for_fresh_read(request, now);
    }

    /// Handles the outcome of the write of a submission.
    pub(super) fn submission_write_completed(
        &mut self,
        id: JobId,
        outcome: CommitOutcome,
        now: Seconds,
    ) {
        let Some(pending) = self.job_requests.submissions.remove(&id) else {
            return;
        };
        match outcome {
            CommitOutcome::Committed(revision) => {
                self.apply_submission(&id, &pending.record, revision, now);
                let mut code = status::CREATED;
                for responder in pending.responders {
                    send_job_status(code, &status_without_counts(&id, "pending"), responder);
                    code = status::OK;
                }
            }
            CommitOutcome::Conflict(_) => {
                // Another controller has already stored the job.
                for responder in pending.responders {
                    self.query(id.clone(), responder, now);
                }
            }
            CommitOutcome::Refused
            | CommitOutcome::Invalid
            | CommitOutcome::RateLimited
            | CommitOutcome::Unknown => send_not_committed(pending.responders),
        }
    }

    fn apply_submission(&mut self, id: &JobId, record: &JobRecord, revision: u64, now: Seconds) {
        if let Some(spec) = &record.spec {
            tracing::debug!(
                job = %id,
                tasks = spec.task_count,
                estimate_s = spec.estimate_s,
                deadline_s = spec.deadline_s,
                "job accepted"
            );
        }
        self.cache.put(&job_key(id), to_value(record), revision);
        self.apply_job_change(id);
        self.record_first_accepted(now);
    }

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
    fn is_accepted(&self, id: &JobId) -> bool {
        self.cache.jobs.contains_key(id) || self.cache.invalid_records.contains(&job_key(id))
    }

    fn wait_for_fresh_read(&mut self, request: ReadRequest, now: Seconds) {
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

fn status_without_counts(id: &JobId, state: &str) -> JobStatus {
    JobStatus {
        id: id.clone(),
        state: state.into(),
        done: None,
        running: None,
    }
}

fn send_job_status(status: u16, body: &JobStatus, responder: Responder) {
    responder.send(status, serde_json::to_vec(body).unwrap_or_default());
}

fn send_not_committed(responders: Vec<Responder>) {
    for responder in responders {
        responder.retry_later(status::SERVICE_UNAVAILABLE, RETRY_AFTER_S, NOT_COMMITTED);
    }
}
