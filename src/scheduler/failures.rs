//! Failed tasks: whether the job or the machine is at fault.
//!
//! A job that was submitted with a mistake fails on every machine; a faulty
//! machine fails the tasks of every job. A failure alone does not tell which it
//! was: the other failures of the same job, and its successes, do.

use super::{JobEntry, Leader};
use crate::clock::Seconds;
use crate::store::cache::StoreCache;
use crate::wire::{JobId, JobKind, MachineId, FIRST_START_TARGET_S};
use std::collections::{BTreeMap, BTreeSet};

/// On how many machines a job without any success must have failed to be
/// suspected itself.
const MACHINES_OF_SUSPECTED_JOB: usize = 2;

/// Of how many jobs tasks must have failed on a machine for it to be suspected.
const JOBS_OF_SUSPECTED_MACHINE: usize = 2;

/// How many of the latest machines a suspected job avoids. Not all: one that avoided
/// all machines on which it has failed would soon have machines rented for it.
const AVOIDED_BY_SUSPECTED_JOB: usize = 2;

/// The most machines that any job avoids, as each assignment names them.
const MAX_AVOIDED: usize = 16;

/// The longest wait of a job between two tries, as a share of the time in which
/// users expect a job to begin.
const LONGEST_WAIT_SHARE: f64 = 0.25;

/// The failures of one job's tasks.
#[derive(Debug, Default)]
pub(super) struct JobFailures {
    /// Machines on which tasks failed, the latest last.
    machines: Vec<MachineId>,
    /// How many tries, of one task or of many at once, have failed.
    failed_tries: u32,
    /// No task is started before this time.
    retry_at: Seconds,
    /// Some task has completed: the job has no mistake.
    succeeded: bool,
}

impl JobFailures {
    /// Records that a task has completed.
    pub(super) fn record_success(&mut self) {
        self.succeeded = true;
        self.retry_at = 0.0;
    }

    /// Records that a task has failed. All that fail until the next try is due belong to the
    /// same try, so that a large job doesn't wait longer than a small one.
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
        if !self.suspected() || now < self.retry_at {
            return;
        }
        self.failed_tries += 1;
        let wait = report_s * 2f64.powi(self.failed_tries.min(30) as i32);
        // A job may be right after all, and must not wait for minutes
        // while there is room.
        self.retry_at = now + wait.min(FIRST_START_TARGET_S * LONGEST_WAIT_SHARE);
    }

    /// Whether the job itself seems to be at fault.
    pub(super) fn suspected(&self) -> bool {
        !self.succeeded && self.machines.len() >= MACHINES_OF_SUSPECTED_JOB
    }

    /// Whether its tasks must wait for the next try.
    pub(super) fn backs_off(&self, now: Seconds) -> bool {
        now < self.retry_at
    }

    /// Machines on which its tasks are not tried again for now.
    pub(super) fn avoided(&self) -> &[MachineId] {
        let most = if self.suspected() {
            AVOIDED_BY_SUSPECTED_JOB
        } else {
            MAX_AVOIDED
        };
        &self.machines[self.machines.len().saturating_sub(most)..]
    }
}

impl JobEntry {
    /// How many of `free` tasks may be started. A suspected job is tried with one
    /// task, since all of them would take the same room again and again. As
    /// many more follow as are seen to run, or one long task would hold up a job
    /// that only met faulty machines.
    pub(super) fn tries_allowed(&self, free: usize) -> usize {
        if !self.failures.suspected() || self.spec.job_kind == JobKind::Gang {
            return free;
        }
        let at_once = (self.running_tasks() * 2).max(1);
        free.min(at_once.saturating_sub(self.assigned.len()))
    }
}

/// What failures say about a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineFault {
    /// Tasks of several jobs failed there, and nothing shows yet whether the jobs
    /// are at fault: it gets no new tasks.
    Suspected,
    /// They have succeeded elsewhere: it is replaced.
    Proven,
}

/// Jobs with tasks that failed on each machine.
pub(super) type FailedJobsByMachine = BTreeMap<MachineId, BTreeSet<JobId>>;

/// What a failure says about the machine it happened on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Evidence {
    /// Nothing: the job is at fault, or nobody will know.
    None,
    /// The job has succeeded nowhere yet.
    Weak,
    /// The job has succeeded elsewhere.
    Strong,
}

impl Leader {
    /// Machines that failures speak against. Jobs that fail everywhere say
    /// nothing about the machines, or each broken job would take away those that
    /// it was tried on.
    pub fn machine_faults(&self, cache: &StoreCache) -> BTreeMap<MachineId, MachineFault> {
        let fault = |jobs: &BTreeSet<JobId>| {
            let evidence = || jobs.iter().map(|job| self.evidence(job, cache));
            let strong = evidence().filter(|e| *e == Evidence::Strong).count();
            let any = evidence().filter(|e| *e != Evidence::None).count();
            if strong >= JOBS_OF_SUSPECTED_MACHINE {
                Some(MachineFault::Proven)
            } else {
                (any >= JOBS_OF_SUSPECTED_MACHINE).then_some(MachineFault::Suspected)
            }
        };
        self.failed_jobs_by_machine
            .iter()
            .filter_map(|(machine, jobs)| Some((machine.clone(), fault(jobs)?)))
            .collect()
    }

    /// What the failures of a job say about the machines it failed on.
    fn evidence(&self, job: &JobId, cache: &StoreCache) -> Evidence {
        match self.jobs.get(job) {
            Some(entry) if entry.failures.succeeded => Evidence::Strong,
            Some(entry) if entry.failures.suspected() => Evidence::None,
            Some(_) => Evidence::Weak,
            None if cache.jobs.get(job).is_some_and(|j| j.record.done) => Evidence::Strong,
            None => Evidence::None,
        }
    }

    /// Cordons the machines that failures speak against: they get no new tasks.
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
