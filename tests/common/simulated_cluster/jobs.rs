//! The submission and cancellation of jobs by users.

use super::network::{CancellationNotice, Packet};
use super::{SimulatedCluster, CONTROLLERS, JOB_NUMBERS};
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
        if self.next_job < JOB_NUMBERS && self.rng.gen_bool(0.06) {
            self.submit(self.next_job);
            self.next_job += 1;
        }
        if self.rng.gen_bool(0.02) {
            let number = self.rng.gen_range(0..self.next_job);
            self.cancel(number);
        }
    }

    /// Submits a job. Its number determines its kind and priority.
    fn submit(&mut self, number: u32) {
        let (job_kind, priority) = match number % 6 {
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
        // The accepting controller may still be in the previous epoch.
        let epochs_behind = u64::from(self.rng.gen_bool(0.2)).min(self.epoch.number - 1);
        let id = spec.id.clone();
        let record = JobRecord {
            spec: Some(spec),
            epoch: self.epoch.number - epochs_behind,
            accepted_at_ms: u64::from(number),
            task_count,
            cancelled: false,
            done: false,
            cancelled_at_ms: None,
        };
        self.put_job(&id, record);
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
