//! Handling of submissions: a job is accepted by the commit of its record, unless it can never
//! run.

use super::job_requests::{
    send_job_status, send_not_committed, status_without_counts, ReadRequest, REQUEST_TIMEOUT,
    STORE_UNREACHABLE,
};
use super::writes::{put_value, to_value};
use super::{Controller, WritePurpose, RETRY_AFTER_S};
use crate::api::responder::Responder;
use crate::api::status;
use crate::clock::{self, Seconds};
use crate::store::keys::job_key;
use crate::store::leader_fencing::{failed_by_epoch_only, submission_conditions};
use crate::store::records::JobRecord;
use crate::store::{CommitOutcome, ConditionalWrite, WriteClass};
use crate::wire::{Catalog, JobId, JobKind, JobSpec};
use std::sync::Arc;

/// An upper bound on the number of bytes that a cancellation adds to a job's record.
const CANCELLATION_BYTES: usize = 48;

/// The `Retry-After` value of a submission that cannot be accepted at present, in seconds.
const SUBMISSION_RETRY_AFTER_S: u32 = 2;

/// The `Retry-After` value of a submission that has to wait until all controllers are
/// upgraded, in seconds.
const UPGRADE_RETRY_AFTER_S: u32 = 5;

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

/// A submission that is being committed, and the responders that wait for it.
pub(super) struct PendingSubmission {
    record: JobRecord,
    /// The revision of the epoch that this node led when it sent the write, and still led at the
    /// commit; `None` if it did not lead.
    led_epoch_revision: Option<u64>,
    pub(super) responders: Vec<Responder>,
}

impl Controller {
    /// Handles a submission. Accepts the job, unless it can never run; responds with the
    /// job's status if the job was accepted before.
    pub(super) fn submit(&mut self, spec: JobSpec, responder: Responder, now: Seconds) {
        self.submit_until(Arc::new(spec), responder, now + REQUEST_TIMEOUT, now);
    }

    /// Handles a submission that is refused unless its write is sent before `deadline`.
    pub(super) fn submit_until(
        &mut self,
        spec: Arc<JobSpec>,
        responder: Responder,
        deadline: Seconds,
        now: Seconds,
    ) {
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
        // The write would be refused, and count against the write rate.
        if self.membership.has_epoch_ended(self.cache.epoch_revision) {
            let request = ReadRequest::Submit {
                spec,
                responder,
                deadline,
            };
            return self.wait_for_fresh_read(request, now);
        }
        self.write_submission(id, spec, responder, deadline, now);
    }

    fn write_submission(
        &mut self,
        id: JobId,
        spec: Arc<JobSpec>,
        responder: Responder,
        deadline: Seconds,
        now: Seconds,
    ) {
        let record = self.new_job_record(spec);
        let value = to_value(&record);
        // The record must also fit into the key-value store once the job is cancelled or the
        // store's lower limits apply; otherwise it could not be kept.
        let size = value.to_string().len() + CANCELLATION_BYTES;
        if size > self.settings.params.state.lowest_value_bytes() {
            let reason = RejectReason::DescriptionTooLong;
            return self.reject_unless_accepted(id, reason, responder, now);
        }
        let led_epoch_revision = self.is_leader().then_some(self.cache.epoch_revision);
        let write = ConditionalWrite {
            conditions: submission_conditions(&id, led_epoch_revision),
            ops: vec![put_value(job_key(&id), value)],
            deadline,
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
            led_epoch_revision,
            responders: vec![responder],
        };
        self.job_requests.submissions.insert(id, pending);
    }

    fn new_job_record(&self, spec: Arc<JobSpec>) -> JobRecord {
        JobRecord {
            task_count: spec.task_count,
            spec: Some(spec),
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
                self.apply_submission(&id, &pending, revision, now);
                let mut code = status::CREATED;
                for responder in pending.responders {
                    send_job_status(code, &status_without_counts(&id, "pending"), responder);
                    code = status::OK;
                }
            }
            CommitOutcome::Conflict(keys) if failed_by_epoch_only(&id, &keys) => {
                if let Some(revision) = pending.led_epoch_revision {
                    self.membership.record_epoch_end(revision);
                }
                self.submit_after_fresh_read(pending, now);
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

    /// Submits a job again once this node has read of the epoch in which it no longer leads, or
    /// leads again. The time limit begins anew, as reading takes a part of it; each further
    /// conflict of this kind takes a further epoch.
    fn submit_after_fresh_read(&mut self, pending: PendingSubmission, now: Seconds) {
        let Some(spec) = pending.record.spec else {
            return send_not_committed(pending.responders);
        };
        for responder in pending.responders {
            let request = ReadRequest::Submit {
                spec: spec.clone(),
                responder,
                deadline: now + REQUEST_TIMEOUT,
            };
            self.wait_for_fresh_read(request, now);
        }
    }

    fn apply_submission(
        &mut self,
        id: &JobId,
        pending: &PendingSubmission,
        revision: u64,
        now: Seconds,
    ) {
        if let Some(spec) = &pending.record.spec {
            tracing::debug!(
                job = %id,
                tasks = spec.task_count,
                estimate_s = spec.estimate_s,
                deadline_s = spec.deadline_s,
                "job accepted"
            );
        }
        // Guard: this node began to lead after it sent the write, and may have been deposed before
        // the commit. It takes in the record with its next reading.
        if pending.led_epoch_revision.is_some() || !self.is_leader() {
            self.cache
                .put(&job_key(id), to_value(&pending.record), revision);
            self.apply_job_change(id);
        }
        self.record_first_accepted(now);
    }
}
