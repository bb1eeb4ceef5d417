//! The submission and cancellation of jobs by users.

use super::network::{CancellationNotice, Packet};
use super::{SimulatedCluster, CONTROLLERS, JOB_NUMBERS};
use finchwood::store::leader_fencing::submission_conditions;
use finchwood::store::records::JobRecord;
use finchwood::wire::{JobKind, JobSpec, Priority};
use rand::Rng;
use std::sync::Arc;

/// Returns a job whose tasks need one CPU each. Every second gang is confined to one zone, and
/// services are spread over the zones.
fn job_spec(number: u32, task_count: u32, job_kind: JobKind, priority: Priority) -> Arc<JobSpec> {
    Arc::new(JobSpec {
        id: job_id(number),
        class: "c".into(),
        team: "t".into(),
        job_kind,
        priority,
        task_count,
        cpus: 1.0,
        gpus: 0.0,
        mem_gb: 1.0,
        image: "i".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: job_kind == JobKind::Gang && number.is_multiple_of(2),
        scatter: job_kind == JobKind::Service,
        spot: true,
        estimate_s: 5.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    })
}

/// Returns the id of the job with this number.
fn job_id(number: u32) -> Arc<str> {
    format!("wk-{number}").into()
}

impl SimulatedCluster {
    /// Runs one round of the users, who submit and cancel jobs at random.
    pub(super) fn users_round(&mut self) {
        if !self.fault_plan.deposes_leaders() && self.rng.gen_bool(0.06) {
            let acceptor = self.accepting_controller();
            self.submit_next(acceptor);
        }
        if self.rng.gen_bool(0.02) {
            let number = self.rng.gen_range(0..self.next_job);
            self.cancel(number);
        }
    }

    /// Submits the next job through a controller, or through one that ends before it can act on
    /// the job (`None`). The job's number determines its kind and priority.
    pub(super) fn submit_next(&mut self, acceptor: Option<usize>) {
        let number = self.next_job;
        if number >= JOB_NUMBERS {
            return;
        }
        let led_epoch_revision = acceptor.and_then(|index| self.led_epoch_revision(index));
        let conditions = submission_conditions(&job_id(number), led_epoch_revision);
        if !conditions.iter().all(|condition| self.holds(condition)) {
            // The user submits the job again later.
            self.statistics.refused_submissions += 1;
            return;
        }
        self.next_job += 1;
        let (job_kind, priority) = match number % 6 {
            // Arrays are the only jobs that end by themselves.
            _ if self.fault_plan.deposes_leaders() && number.is_multiple_of(2) => {
                (JobKind::Array, Priority::Low)
            }
            0 | 3 => (JobKind::Service, Priority::Prod),
            1 | 2 => (JobKind::Gang, Priority::Standard),
            _ => (JobKind::Array, Priority::Low),
        };
        let task_count = self.rng.gen_range(1..5);
        let spec = job_spec(number, task_count, job_kind, priority);
        if job_kind == JobKind::Gang {
            self.gangs.insert(spec.id.clone());
        }
        self.specs.insert(spec.id.clone(), spec.clone());
        let id = spec.id.clone();
        let record = JobRecord {
            spec: Some(spec),
            epoch: self.epoch_of_submission(acceptor),
            accepted_at_ms: u64::from(number),
            task_count,
            cancelled: false,
            done: false,
            cancelled_at_ms: None,
        };
        let log_length = self.store_log.len();
        self.put_job(&id, record);
        if let Some(acceptor) = acceptor {
            self.learn_own_writes(acceptor, log_length);
        }
    }

    /// Returns the epoch in the record of a job. The accepting controller may still be in an
    /// earlier epoch than the store.
    fn epoch_of_submission(&mut self, acceptor: Option<usize>) -> u64 {
        let Some(acceptor) = acceptor else {
            let epochs_behind = u64::from(self.rng.gen_bool(0.2)).min(self.epoch.number - 1);
            return self.epoch.number - epochs_behind;
        };
        let known = self.controllers[acceptor].cache.epoch.as_ref();
        let known = known.expect("an epoch that the acceptor has read").number;
        if known < self.epoch.number {
            self.statistics.submissions_in_earlier_epochs += 1;
        }
        known
    }

    /// Cancels the job with this number, unless it is done, already cancelled or not submitted
    /// yet.
    pub(super) fn cancel(&mut self, number: u32) {
        let id = job_id(number);
        let Some(spec) = self.specs.get(&id).cloned() else {
            return;
        };
        let done = self
            .finished
            .get(&id)
            .is_some_and(|tasks| tasks.len() as u32 == spec.task_count);
        if done || self.cancelled.contains_key(&id) {
            return;
        }
        self.cancelled.insert(id.clone(), self.now);
        let task_count = spec.task_count;
        let writer = self.accepting_controller();
        let log_length = self.store_log.len();
        let record = JobRecord {
            spec: Some(spec),
            epoch: 0,
            accepted_at_ms: 0,
            task_count,
            cancelled: true,
            done: false,
            cancelled_at_ms: Some((self.now * 1000.0) as u64),
        };
        self.put_job(&id, record);
        if let Some(writer) = writer {
            self.learn_own_writes(writer, log_length);
        }
        // Some controllers are also notified directly; correctness does not depend on that.
        for to in 0..CONTROLLERS.len() {
            if self.rng.gen_bool(0.5) {
                self.send(Packet::CancellationNotice(CancellationNotice {
                    to,
                    job: id.clone(),
                    revision: self.revision,
                }));
            }
        }
    }
}
