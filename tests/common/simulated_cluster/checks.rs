//! Assertions on what must hold at all times, and on what must hold long after the last fault.

use super::{SimulatedCluster, CONTROLLERS, TEAM_CPU_LIMIT, WORKER_LEASE_S};
use finchwood::cluster::membership;
use finchwood::shard::MachineStatus;
use finchwood::wire::{JobKind, Task};
use std::collections::HashSet;

/// How much longer a task may run after its job's cancellation than the settings promise, due
/// to the length of the simulation's rounds.
const CANCELLATION_SLACK_S: f64 = 0.5;

impl SimulatedCluster {
    /// Counts the tasks that a worker has just started, and checks where each of them runs.
    pub(super) fn record_starts(&mut self, worker: usize, started: &[Task]) {
        self.statistics.starts += started.len() as u32;
        for task in started {
            self.check_runs_once(task);
            let finished = self.finished.get(&task.job);
            let is_finished = finished.is_some_and(|tasks| tasks.contains(&task.index));
            self.statistics.starts_of_finished += u32::from(is_finished);
            let spec = &self.specs[&task.job];
            if spec.job_kind == JobKind::Gang {
                self.check_gang(worker, task);
            }
            if spec.scatter {
                self.check_scatter(worker, task);
            }
        }
        self.check_team_limit();
    }

    /// Asserts that a task that has just started is on exactly one machine. Since this is
    /// checked at every start, no task is ever on two machines.
    fn check_runs_once(&self, task: &Task) {
        let id = task.to_string();
        let machines: Vec<&str> = self
            .workers
            .iter()
            .filter(|worker| worker.alive)
            .filter(|worker| worker.tasks.get(&id).is_some_and(|task| task.is_active()))
            .map(|worker| worker.id.as_str())
            .collect();
        assert_eq!(
            machines.len(),
            1,
            "{task} is on {machines:?} at {} s",
            self.now
        );
    }

    /// Asserts that all tasks of a gang that are on machines belong to one attempt, and are in
    /// one zone if the job requires that.
    fn check_gang(&self, worker: usize, task: &Task) {
        let members = self.gang_members(&task.job);
        let attempts: HashSet<u64> = members.iter().map(|member| member.attempt).collect();
        assert_eq!(
            attempts.len(),
            1,
            "{task} starts while another attempt of its gang is on machines, at {} s: {members:?}",
            self.now
        );
        let zone = &self.workers[worker].zone;
        let elsewhere = members
            .iter()
            .any(|member| self.workers[member.worker].zone != *zone);
        assert!(
            !(self.specs[&task.job].one_zone && elsewhere),
            "{task} starts in {zone}, but its gang must be in one zone: {members:?}"
        );
    }

    /// Asserts that a job that is spread over zones has no more tasks in the worker's zone
    /// than its limit per zone.
    fn check_scatter(&self, worker: usize, task: &Task) {
        let prefix = format!("{}/", task.job);
        let zone = &self.workers[worker].zone;
        let in_zone: usize = self
            .workers
            .iter()
            .filter(|worker| worker.alive && worker.zone == *zone)
            .flat_map(|worker| &worker.tasks)
            .filter(|(id, task)| id.starts_with(&prefix) && task.is_active())
            .count();
        assert!(
            in_zone as u32 <= self.specs[&task.job].zone_cap(),
            "{} has {in_zone} tasks in {zone} at {} s, more than its limit per zone",
            task.job,
            self.now
        );
    }

    /// Asserts that the team stays within its CPU limit. Each task uses one CPU.
    fn check_team_limit(&self) {
        let used: usize = self
            .workers
            .iter()
            .filter(|worker| worker.alive)
            .flat_map(|worker| worker.tasks.values())
            .filter(|task| task.is_active())
            .count();
        assert!(
            used as f64 <= TEAM_CPU_LIMIT,
            "the team uses {used} CPUs at {} s, more than its limit",
            self.now
        );
    }

    /// Asserts that no task runs for longer after the confirmed cancellation of its job than
    /// the settings promise, even if stop commands were lost. Workers that hang are exempt,
    /// since they can't kill a task.
    pub(super) fn check_cancelled(&self) {
        let bound = self.settings.cancellation_bound_s() + CANCELLATION_SLACK_S;
        let responsive = self
            .workers
            .iter()
            .filter(|worker| worker.alive && self.now >= worker.paused_until);
        for worker in responsive {
            for (id, _) in worker.tasks.iter().filter(|(_, task)| task.is_active()) {
                let job = Task::parse(id).expect("a valid task id").job;
                let age = self.cancelled.get(&job).map_or(0.0, |at| self.now - at);
                assert!(
                    age <= bound,
                    "{id} still runs on {} {age:.1} s after its job was cancelled",
                    worker.id
                );
            }
        }
    }

    /// Asserts that a job whose tasks are committed as finished is not cancelled and, if it is
    /// a gang, has completed.
    pub(super) fn check_finish(&self, job: &str) {
        assert!(
            !self.cancelled.contains_key(job),
            "tasks of {job} are committed as finished, but it was cancelled"
        );
        let is_gang = self.gangs.contains(job);
        assert!(
            !is_gang || self.completed_gangs.contains(job),
            "tasks of the gang {job} are committed as finished, but it has not completed"
        );
    }

    /// Asserts that every job is done or cancelled. Must be called long after the last fault.
    pub(crate) fn check_all_jobs_ended(&self, seed: u64) {
        for (id, spec) in &self.specs {
            let done = self.finished.get(id).map_or(0, HashSet::len);
            let ended = self.cancelled.contains_key(id) || done as u32 == spec.task_count;
            assert!(
                ended,
                "seed {seed}: only {done} of {} tasks of {id} are done long after all faults",
                spec.task_count
            );
        }
    }

    /// Asserts that no controller takes a deleted machine for one that exists, and that the record
    /// of one that a late heartbeat has just added is forgotten within a lease.
    pub(crate) fn check_no_deleted_machine_is_reported(&mut self) {
        let deleted: HashSet<&str> = self
            .workers
            .iter()
            .filter(|worker| !worker.alive)
            .map(|worker| worker.id.as_str())
            .collect();
        for controller in &mut self.controllers {
            let report = controller.shard.next_report(&controller.cache, self.now);
            let is_believed = |machine: &MachineStatus| {
                machine.registered || machine.has_reported || machine.reconciled
            };
            let mut reported = report.machines.iter();
            assert!(
                !reported.any(|machine| deleted.contains(&*machine.id) && is_believed(machine)),
                "a controller takes a deleted machine for one that exists"
            );
            let a_lease_later = self.now + WORKER_LEASE_S;
            controller
                .shard
                .forget_finished(&controller.cache, a_lease_later);
            let registered = controller.shard.registered_machines();
            assert!(
                !registered
                    .iter()
                    .any(|machine| deleted.contains(&**machine)),
                "a deleted machine is registered"
            );
            assert_eq!(
                controller.shard.machine_count(),
                registered.len(),
                "a controller keeps a deleted machine for longer than a lease"
            );
        }
    }

    /// Asserts that every machine has one owner, the one in the shard map, and that none is
    /// still fenced by a transfer.
    pub(crate) fn check_each_machine_has_its_owner(&self, seed: u64) {
        for worker in self.workers.iter().filter(|worker| worker.alive) {
            let owner = membership::owner_by_shard_map(&self.epoch, &self.shard_map, &worker.id);
            let owners: Vec<&str> = CONTROLLERS
                .iter()
                .zip(&self.controllers)
                .filter(|(_, controller)| {
                    let registered = controller.shard.registered_machines();
                    registered.iter().any(|id| **id == *worker.id)
                })
                .map(|(name, _)| *name)
                .collect();
            assert_eq!(
                owners,
                owner.into_iter().collect::<Vec<_>>(),
                "seed {seed}: shards that list {}, and its owner by the shard map",
                worker.id
            );
        }
        assert!(
            self.controllers
                .iter()
                .all(|controller| controller.shard.fenced_machines().is_empty()),
            "seed {seed}: machines are still fenced"
        );
    }
}
