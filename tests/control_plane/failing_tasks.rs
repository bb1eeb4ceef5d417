//! Tests of tasks that fail, on the real leader and shard driven directly: whether the job or
//! the machine is at fault, and what the leader does about either.

use crate::builders::*;
use finchwood::scheduler::{Leader, MachineFault};
use finchwood::shard::Shard;
use finchwood::store::cache::StoreCache;
use finchwood::store::records::JobRecord;
use finchwood::wire::{Command, JobSpec, TaskState};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The ID of the broken job in a test with one, and the prefix of their IDs in a test with
/// several.
const BROKEN_JOB: &str = "wk-broken";

/// A leader, its only shard and machines that execute commands. Tasks of broken jobs fail at
/// once on every machine, and all tasks fail at once on faulty machines. Other tasks complete.
struct TestCluster {
    cache: StoreCache,
    leader: Leader,
    shard: Shard,
    tokens: Vec<u64>,
    heartbeat_seq: u64,
    now: f64,
    faulty_machines: BTreeSet<usize>,
    /// The tasks that each machine reports, with their attempt and why they ended; a task
    /// without a cause runs.
    reported: Vec<BTreeMap<String, (u64, Option<&'static str>)>>,
    /// Whether tasks that don't fail run on instead of completing at once.
    long_tasks: bool,
    /// When tasks of broken jobs were started, and on which machine.
    broken_starts: Vec<(f64, usize)>,
    completed: BTreeSet<String>,
}

impl TestCluster {
    fn new(machines: usize, jobs: &[Arc<JobSpec>]) -> TestCluster {
        let jobs: Vec<&Arc<JobSpec>> = jobs.iter().collect();
        let cache = store_cache(machines, &jobs);
        let (leader, shard, tokens) = leader_and_shard(&cache, machines);
        TestCluster {
            cache,
            leader,
            shard,
            tokens,
            heartbeat_seq: 10,
            now: 1.0,
            faulty_machines: BTreeSet::new(),
            reported: vec![BTreeMap::new(); machines],
            long_tasks: false,
            broken_starts: Vec::new(),
            completed: BTreeSet::new(),
        }
    }

    /// Runs one round: the leader cordons faulty machines, assigns tasks and commits completed
    /// jobs; then every machine sends a heartbeat and executes the commands in the reply.
    fn run_round(&mut self) {
        self.now += 0.5;
        self.leader.cordon_faulty_machines(&self.cache);
        scheduling_round(&mut self.leader, &mut self.shard, &self.cache, self.now);
        self.commit_completed_jobs();
        for machine in 0..self.reported.len() {
            self.heartbeat_seq += 1;
            let reported = &self.reported[machine];
            let state = |cause: Option<&str>| {
                if cause.is_some() {
                    TaskState::Ended
                } else {
                    TaskState::Running
                }
            };
            let tasks: Vec<ReportedTask> = reported
                .iter()
                .map(|(id, task)| (id.as_str(), task.0, state(task.1), task.1))
                .collect();
            let heartbeat = heartbeat_from(
                machine + 1,
                1,
                self.heartbeat_seq,
                self.tokens[machine],
                &tasks,
            );
            let (token, commands) =
                accepted(
                    self.shard
                        .apply_heartbeat(&heartbeat, false, &self.cache, self.now),
                );
            self.tokens[machine] = token;
            commands
                .iter()
                .for_each(|command| self.execute(machine, command));
        }
    }

    fn execute(&mut self, machine: usize, command: &Command) {
        match command {
            Command::Start { task, attempt } => {
                let broken = task.starts_with(BROKEN_JOB);
                let fails = broken || self.faulty_machines.contains(&machine);
                let cause = match (fails, self.long_tasks) {
                    (true, _) => Some("error"),
                    (false, true) => None,
                    (false, false) => Some("done"),
                };
                self.reported[machine].insert(task.clone(), (*attempt, cause));
                if broken {
                    self.broken_starts.push((self.now, machine));
                } else if !fails {
                    self.completed.insert(task.clone());
                }
            }
            Command::Forget { task, .. } => drop(self.reported[machine].remove(task)),
            Command::Stop { .. } => {}
        }
    }

    /// Commits each sound job whose only task has completed as done.
    fn commit_completed_jobs(&mut self) {
        let completed_tasks: Vec<String> = self
            .completed
            .iter()
            .filter(|task| task.starts_with("wk-sound"))
            .cloned()
            .collect();
        for task in completed_tasks {
            self.completed.remove(&task);
            let job = task.trim_end_matches("/0").to_string();
            let cached = self.cache.jobs[job.as_str()].clone();
            let done = JobRecord {
                done: true,
                spec: None,
                ..cached.record
            };
            self.cache
                .put(&format!("fw/j/{job}"), json!(done), cached.revision + 1_000);
            self.shard.job_changed(&job.as_str().into(), &self.cache);
            self.leader.job_changed(&job.as_str().into(), &self.cache);
        }
    }

    fn run_rounds(&mut self, rounds: usize) {
        (0..rounds).for_each(|_| self.run_round());
    }

    fn schedulable_machines(&self) -> Vec<String> {
        self.leader
            .machines()
            .filter(|machine| machine.schedulable)
            .map(|machine| machine.id.to_string())
            .collect()
    }

    fn machine_faults(&self) -> BTreeMap<String, MachineFault> {
        let faults = self.leader.machine_faults(&self.cache);
        faults
            .into_iter()
            .map(|(id, fault)| (id.to_string(), fault))
            .collect()
    }
}

/// Returns jobs of one task that are not broken.
fn sound_jobs(count: usize) -> Vec<Arc<JobSpec>> {
    (0..count)
        .map(|index| job_spec(&format!("wk-sound-{index}"), 1, |_| {}))
        .collect()
}

#[test]
fn broken_jobs_take_no_machine_out_of_service() {
    let jobs: Vec<Arc<JobSpec>> = (0..3)
        .map(|index| job_spec(&format!("{BROKEN_JOB}-{index}"), 6, |_| {}))
        .collect();
    let mut cluster = TestCluster::new(6, &jobs);
    cluster.run_rounds(60);
    assert!(
        cluster.broken_starts.len() > 10,
        "the broken jobs should be started"
    );
    assert_eq!(cluster.machine_faults(), BTreeMap::new());
    assert_eq!(
        cluster.schedulable_machines().len(),
        6,
        "all machines should take tasks"
    );
}

#[test]
fn a_broken_job_is_retried_with_one_task_at_growing_but_bounded_intervals() {
    let mut cluster = TestCluster::new(6, &[job_spec(BROKEN_JOB, 12, |_| {})]);
    cluster.run_rounds(40);
    let early_starts = cluster.broken_starts.len();
    cluster.run_rounds(1200);
    let later_starts = &cluster.broken_starts[early_starts..];
    assert!(
        later_starts.windows(2).all(|pair| pair[1].0 > pair[0].0),
        "only one task should be started at a time"
    );
    let gaps: Vec<f64> = later_starts
        .windows(2)
        .map(|pair| pair[1].0 - pair[0].0)
        .collect();
    assert!(
        gaps.iter().all(|gap| *gap < 80.0),
        "no job may wait 90 s while there is free capacity: {gaps:?}"
    );
    assert!(
        later_starts.len() < 25,
        "{} starts in ten minutes",
        later_starts.len()
    );
    assert!(
        cluster.leader.pending_demand.is_empty(),
        "no machine should be rented for a broken job"
    );
    let machines: BTreeSet<usize> = later_starts.iter().map(|start| start.1).collect();
    assert!(
        machines.len() > 2,
        "a broken job should not be started on the same machines only: {machines:?}"
    );
}

#[test]
fn a_machine_that_fails_tasks_that_complete_elsewhere_is_proven_faulty() {
    let mut cluster = TestCluster::new(4, &sound_jobs(30));
    cluster.faulty_machines.insert(2);
    cluster.run_rounds(60);
    assert_eq!(
        cluster.machine_faults(),
        [("m-3".to_string(), MachineFault::Proven)]
            .into_iter()
            .collect()
    );
    let done = cluster
        .cache
        .jobs
        .values()
        .filter(|job| job.record.done)
        .count();
    assert_eq!(done, 30, "all jobs should complete on the other machines");
    assert_eq!(cluster.schedulable_machines(), ["m-1", "m-2", "m-4"]);
}

#[test]
fn a_job_that_failed_on_two_faulty_machines_runs_whole_once_a_task_has_completed() {
    let mut cluster = TestCluster::new(3, &[job_spec("wk-array", 12, |_| {})]);
    cluster.faulty_machines.extend([0, 1]);
    cluster.run_rounds(30);
    assert!(
        cluster.completed.is_empty() || cluster.reported[2].len() > 1,
        "{:?}",
        cluster.reported
    );
    let completed_on_sound_machine = cluster.reported[2]
        .values()
        .filter(|task| task.1 == Some("done"))
        .count();
    assert_eq!(
        completed_on_sound_machine, 12,
        "all tasks should complete on the machine that is not faulty"
    );
}

#[test]
fn a_job_that_failed_on_faulty_machines_runs_whole_once_its_tasks_are_seen_to_run() {
    let mut cluster = TestCluster::new(10, &[job_spec("wk-array", 16, |_| {})]);
    cluster.faulty_machines.extend([0, 1]);
    cluster.long_tasks = true;
    cluster.run_rounds(60);
    let running = cluster
        .reported
        .iter()
        .flat_map(BTreeMap::values)
        .filter(|task| task.1.is_none())
        .count();
    assert_eq!(running, 16, "no task should wait until another has ended");
}
