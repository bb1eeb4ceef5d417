//! What must hold at every moment, and what must hold long after the last fault.

use super::{SimulatedCluster, CONTROLLERS, TEAM_CPU_LIMIT};
use finchwood::cluster::membership;
use finchwood::wire::{JobKind, Task};
use std::collections::HashSet;

/// How long a task may outlive its job's cancellation beyond what the settings say: the
/// length of the simulation's rounds.
const CANCELLATION_SLACK_S: f64 = 0.5;

impl SimulatedCluster {
    /// Counts tasks that a worker has just started, and checks them.
    pub(super) fn record_starts(&mut self, worker: usize, started: &[Task]) {
        self.statistics.starts += started.len() as u32;
        for task in started {
            self.check_runs_once(task);
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

    /// At every moment a task is on one machine at most.
    fn check_runs_once(&self, task: &Task) {
        let id = task.to_string();
        let on: Vec<&str> = self
            .workers
            .iter()
            .filter(|worker| worker.alive)
            .filter(|worker| worker.tasks.get(&id).is_some_and(|task| task.is_active()))
            .map(|worker| worker.id.as_str())
            .collect();
        assert_eq!(on.len(), 1, "{task} is on {on:?} at {}", self.now);
    }

    /// All tasks of a gang on machines are of one attempt, and in one zone if that is
    /// asked for.
    fn check_gang(&self, worker: usize, task: &Task) {
        let members = self.gang_members(&task.job);
        let attempts: HashSet<u64> = members.iter().map(|member| member.attempt).collect();
        assert_eq!(
            attempts.len(),
            1,
            "{task} starts beside another attempt at {}: {members:?}",
            self.now
        );
        let zone = &self.workers[worker].zone;
        let elsewhere = members
            .iter()
            .any(|member| self.workers[member.worker].zone != *zone);
        assert!(
            !(self.specs[&task.job].one_zone && elsewhere),
            "{task} starts in {zone}: {members:?}"
        );
    }

    /// A scattered job has no more tasks in a zone than it may.
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
            "{} has {in_zone} tasks in {zone} at {}",
            task.job,
            self.now
        );
    }

    /// The team keeps its limit; each task takes one CPU.
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
            "the team uses {used} CPUs at {}",
            self.now
        );
    }

    /// Long after a confirmed cancellation no task of the job is on a machine, whatever
    /// became of the stops. A machine that hangs can't kill it.
    pub(super) fn check_cancelled(&self) {
        let bound = self.settings.cancellation_bound_s() + CANCELLATION_SLACK_S;
        let awake = self
            .workers
            .iter()
            .filter(|worker| worker.alive && self.now >= worker.paused_until);
        for worker in awake {
            for (id, _) in worker.tasks.iter().filter(|(_, task)| task.is_active()) {
                let job = Task::parse(id).expect("a task").job;
                let age = self.cancelled.get(&job).map_or(0.0, |at| self.now - at);
                assert!(
                    age <= bound,
                    "{id} is on {} {age:.1} s after its cancellation",
                    worker.id
                );
            }
        }
    }

    /// Nothing that was cancelled, and no gang that still runs, is committed as ended.
    pub(super) fn check_finish(&self, job: &str) {
        assert!(
            !self.cancelled.contains_key(job),
            "{job} was cancelled and its end is committed"
        );
        let is_gang = self.gangs.contains(job);
        assert!(
            !is_gang || self.completed_gangs.contains(job),
            "the end of {job} is committed, and it has not ended"
        );
    }

    /// Long after all faults every job is done, or was cancelled.
    pub(crate) fn check_all_jobs_ended(&self, seed: u64) {
        for (id, spec) in &self.specs {
            let done = self.finished.get(id).map_or(0, HashSet::len);
            let ended = self.cancelled.contains_key(id) || done as u32 == spec.task_count;
            assert!(
                ended,
                "seed {seed}: {id} has {done} of {} tasks done long after all faults",
                spec.task_count
            );
        }
    }

    /// No controller tells of a machine that was deleted.
    pub(crate) fn check_deleted_machines_stay_deleted(&mut self) {
        let deleted: HashSet<&str> = self
            .workers
            .iter()
            .filter(|worker| !worker.alive)
            .map(|worker| worker.id.as_str())
            .collect();
        for controller in &mut self.controllers {
            let report = controller.shard.next_report(&controller.cache, self.now);
            assert!(
                !report
                    .machines
                    .iter()
                    .any(|machine| deleted.contains(&*machine.id)),
                "a deleted machine is back"
            );
        }
    }

    /// Every machine has one owner, the one that the shard map says, and none is fenced.
    pub(crate) fn check_each_machine_has_its_owner(&self, seed: u64) {
        for worker in self.workers.iter().filter(|worker| worker.alive) {
            let owner = membership::owner_by_shard_map(&self.epoch, &self.shard_map, &worker.id);
            let owners: Vec<&str> = CONTROLLERS
                .iter()
                .zip(&self.controllers)
                .filter(|(_, controller)| {
                    let listed = controller.shard.registered_machines();
                    listed.iter().any(|id| **id == *worker.id)
                })
                .map(|(name, _)| *name)
                .collect();
            assert_eq!(
                owners,
                owner.into_iter().collect::<Vec<_>>(),
                "seed {seed}: {}",
                worker.id
            );
        }
        assert!(
            self.controllers
                .iter()
                .all(|controller| controller.shard.fenced_machines().is_empty()),
            "seed {seed}: still fenced"
        );
    }
}
