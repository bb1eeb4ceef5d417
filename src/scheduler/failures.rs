//! Failed tasks: whether the job or the machine is at fault.
//!
//! A job that was submitted with a mistake fails on every machine; a faulty machine fails
//! the tasks of every job. A single failure does not show which it was, but the other
//! failures and the successes of the same job do.

use super::{JobEntry, Leader};
use crate::clock::Seconds;
use crate::store::cache::StoreCache;
use crate::wire::{JobId, JobKind, MachineId, FIRST_START_TARGET_S};
use std::collections::{BTreeMap, BTreeSet};

/// On how many machines a job without any success must have failed to be suspected itself.
const SUSPECTED_JOB_MIN_MACHINES: usize = 2;

/// How many jobs must have failed on a machine for the machine to be suspected.
const SUSPECTED_MACHINE_MIN_JOBS: usize = 2;

/// A suspected job avoids only this many of the machines on which it failed last. If it
/// avoided all of them, new machines would soon be rented for it.
const SUSPECTED_JOB_MAX_AVOIDED: usize = 2;

/// The most machines that any job avoids; bounds the size of assignment messages, which
/// list them.
const MAX_AVOIDED: usize = 16;

/// The longest wait of a suspected job between two retries, as a share of the time within
/// which a job should start.
const MAX_BACKOFF_SHARE: f64 = 0.25;

/// The failures of one job's tasks.
#[derive(Debug, Default)]
pub(super) struct JobFailures {
    /// The machines on which tasks failed, the latest last.
    machines: Vec<MachineId>,
    /// The number of failed retries, each of one task or of many at once.
    failed_retries: u32,
    /// No task is started before this time.
    retry_at: Seconds,
    /// Whether a task has completed, so that the job itself is not at fault.
    succeeded: bool,
}

impl JobFailures {
    /// Records that a task has completed.
    pub(super) fn record_success(&mut self) {
        self.succeeded = true;
        self.retry_at = 0.0;
    }

    /// Records that a task has failed. All failures until the next retry is due count as
    /// one, so that a large job does not wait longer than a small one.
    pub(super) fn record_failure(
        &mut self,
        machine: Option<MachineId>,
        report_s: Seconds,
        now: Seconds,
    ) {
        if let Some(machine) = machine {
            self.machines.retain(|known| *known != machine);
            self.machines.push(machine);
        }
        if !self.is_suspected() || now < self.retry_at {
            return;
        }
        self.failed_retries += 1;
        let wait_s = report_s * 2f64.powi(self.failed_retries.min(30) as i32);
        // The job may be correct after all, and must not wait for minutes while there is
        // free capacity.
        self.retry_at = now + wait_s.min(FIRST_START_TARGET_S * MAX_BACKOFF_SHARE);
    }

    /// Whether the job itself seems to be at fault.
    pub(super) fn is_suspected(&self) -> bool {
        !self.succeeded && self.machines.len() >= SUSPECTED_JOB_MIN_MACHINES
    }

    /// Whether its tasks have to wait for the next retry.
    pub(super) fn is_backing_off(&self, now: Seconds) -> bool {
        now < self.retry_at
    }

    /// The machines on which its tasks are not started for now.
    pub(super) fn avoided_machines(&self) -> &[MachineId] {
        let max_avoided = if self.is_suspected() {
            SUSPECTED_JOB_MAX_AVOIDED
        } else {
            MAX_AVOIDED
        };
        &self.machines[self.machines.len().saturating_sub(max_avoided)..]
    }
}

impl JobEntry {
    /// How many tasks of the job may be started, up to `limit`. A suspected job starts with
    /// one task, since all of its tasks together would occupy capacity at every retry only
    /// to fail. After that, it may have twice as many tasks assigned as are running. If it
    /// had to wait for a success instead, one long task would delay a job that has only
    /// been placed on faulty machines.
    pub(super) fn startable_tasks(&self, limit: usize) -> usize {
        if !self.failures.is_suspected() || self.spec.job_kind == JobKind::Gang {
            return limit;
        }
        let max_assigned = (self.running_tasks() * 2).max(1);
        limit.min(max_assigned.saturating_sub(self.assigned.len()))
    }
}

/// What failures indicate about a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineFault {
    /// Tasks of several jobs failed there, and it is not known yet whether the jobs are at
    /// fault: the machine gets no new tasks.
    Suspected,
    /// Tasks of several jobs that succeeded elsewhere failed there: the machine is
    /// replaced.
    Proven,
}

/// The jobs whose tasks failed on each machine.
pub(super) type FailedJobsByMachine = BTreeMap<MachineId, BTreeSet<JobId>>;

/// What the failure of a job indicates about the machine on which it happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Evidence {
    /// Nothing: the job itself is suspected, or it ended without completing.
    None,
    /// The machine may be at fault; the job has not succeeded on any machine yet.
    Weak,
    /// The machine is likely at fault: the job has succeeded elsewhere.
    Strong,
}

impl Leader {
    /// The machines that are suspected or proven to be faulty. Jobs that fail everywhere do
    /// not count against a machine; otherwise each broken job would take every machine on
    /// which it was started out of service.
    pub fn machine_faults(&self, cache: &StoreCache) -> BTreeMap<MachineId, MachineFault> {
        let fault = |jobs: &BTreeSet<JobId>| {
            let evidence = || jobs.iter().map(|job| self.evidence(job, cache));
            let strong = evidence()
                .filter(|evidence| *evidence == Evidence::Strong)
                .count();
            let any = evidence()
                .filter(|evidence| *evidence != Evidence::None)
                .count();
            if strong >= SUSPECTED_MACHINE_MIN_JOBS {
                Some(MachineFault::Proven)
            } else {
                (any >= SUSPECTED_MACHINE_MIN_JOBS).then_some(MachineFault::Suspected)
            }
        };
        self.failed_jobs_by_machine
            .iter()
            .filter_map(|(machine, jobs)| Some((machine.clone(), fault(jobs)?)))
            .collect()
    }

    /// What the failures of a job indicate about the machines on which it failed.
    fn evidence(&self, job: &JobId, cache: &StoreCache) -> Evidence {
        match self.jobs.get(job) {
            Some(entry) if entry.failures.succeeded => Evidence::Strong,
            Some(entry) if entry.failures.is_suspected() => Evidence::None,
            Some(_) => Evidence::Weak,
            None if cache.jobs.get(job).is_some_and(|job| job.record.done) => Evidence::Strong,
            None => Evidence::None,
        }
    }

    /// Cordons the faulty machines, which get no new tasks from now on, and returns them.
    pub fn cordon_faulty_machines(
        &mut self,
        cache: &StoreCache,
    ) -> BTreeMap<MachineId, MachineFault> {
        self.failed_jobs_by_machine
            .retain(|machine, _| cache.registry.contains_key(machine));
        let faults = self.machine_faults(cache);
        self.faulty = faults.keys().cloned().collect();
        faults
    }
}
