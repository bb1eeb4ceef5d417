//! Tasks that fail: whether the job or the machine is at fault, and what becomes
//! of either. The real leader and shard, driven directly.

use crate::builders::*;
use finchwood::scheduler::{Leader, MachineFault};
use finchwood::shard::Shard;
use finchwood::store::cache::StoreCache;
use finchwood::store::records::JobRecord;
use finchwood::wire::{Command, JobSpec, TaskState};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const BROKEN: &str = "wk-broken";

/// A leader, its only shard and machines that run what they are told. A task of a
/// broken job fails at once, anywhere; on a faulty machine each task does; all
/// others complete.
struct Fleet {
    cache: StoreCache,
    leader: Leader,
    shard: Shard,
    tokens: Vec<u64>,
    seq: u64,
    now: f64,
    faulty: BTreeSet<usize>,
    /// Attempt and cause; a task without a cause runs.
    shown: Vec<BTreeMap<String, (u64, Option<&'static str>)>>,
    /// Tasks that don't fail run on.
    long_tasks: bool,
    /// When tasks of broken jobs were started, and where.
    failed: Vec<(f64, usize)>,
    completed: BTreeSet<String>,
}

impl Fleet {
    fn new(machines: usize, jobs: &[Arc<JobSpec>]) -> Fleet {
        let jobs: Vec<&Arc<JobSpec>> = jobs.iter().collect();
        let cache = store_cache(machines, &jobs);
        let (leader, shard, tokens) = leader_and_shard(&cache, machines);
        Fleet {
            cache,
            leader,
            shard,
            tokens,
            seq: 10,
            now: 1.0,
            faulty: BTreeSet::new(),
            shown: vec![BTreeMap::new(); machines],
            long_tasks: false,
            failed: Vec::new(),
            completed: BTreeSet::new(),
        }
    }

    /// One round of all: the leader judges machines, assigns and commits; every
    /// machine reports and runs what it is answered.
    fn step(&mut self) {
        self.now += 0.5;
        self.leader.cordon_faulty_machines(&self.cache);
        scheduling_round(&mut self.leader, &mut self.shard, &self.cache, self.now);
        self.commit_completed_jobs();
        for machine in 0..self.shown.len() {
            self.seq += 1;
            let shown = &self.shown[machine];
            let state = |cause: Option<&str>| {
                if cause.is_some() {
                    TaskState::Ended
                } else {
                    TaskState::Running
                }
            };
            let lines: Vec<ReportedTask> = shown
                .iter()
                .map(|(task, s)| (task.as_str(), s.0, state(s.1), s.1))
                .collect();
            let r = heartbeat_from(machine + 1, 1, self.seq, self.tokens[machine], &lines);
            let (token, calls) =
                accepted(self.shard.apply_heartbeat(&r, false, &self.cache, self.now));
            self.tokens[machine] = token;
            calls.iter().for_each(|call| self.obey(machine, call));
        }
    }

    fn obey(&mut self, machine: usize, call: &Command) {
        match call {
            Command::Start { task, attempt } => {
                let broken = task.starts_with(BROKEN);
                let fails = broken || self.faulty.contains(&machine);
                let cause = match (fails, self.long_tasks) {
                    (true, _) => Some("error"),
                    (false, true) => None,
                    (false, false) => Some("done"),
                };
                self.shown[machine].insert(task.clone(), (*attempt, cause));
                if broken {
                    self.failed.push((self.now, machine));
                } else if !fails {
                    self.completed.insert(task.clone());
                }
            }
            Command::Forget { task, .. } => drop(self.shown[machine].remove(task)),
            Command::Stop { .. } => {}
        }
    }

    /// Jobs of one task are done once that has completed.
    fn commit_completed_jobs(&mut self) {
        let single: Vec<String> = self
            .completed
            .iter()
            .filter(|t| t.starts_with("wk-sound"))
            .cloned()
            .collect();
        for task in single {
            self.completed.remove(&task);
            let job = task.trim_end_matches("/0").to_string();
            let old = self.cache.jobs[job.as_str()].clone();
            let done = JobRecord {
                done: true,
                spec: None,
                ..old.record
            };
            self.cache
                .put(&format!("fw/j/{job}"), json!(done), old.revision + 1_000);
            self.shard.job_changed(&job.as_str().into(), &self.cache);
            self.leader.job_changed(&job.as_str().into(), &self.cache);
        }
    }

    fn run(&mut self, steps: usize) {
        (0..steps).for_each(|_| self.step());
    }

    fn open_machines(&self) -> Vec<String> {
        self.leader
            .machines()
            .filter(|m| m.schedulable)
            .map(|m| m.id.to_string())
            .collect()
    }

    fn faults(&self) -> BTreeMap<String, MachineFault> {
        let faults = self.leader.machine_faults(&self.cache);
        faults
            .into_iter()
            .map(|(id, fault)| (id.to_string(), fault))
            .collect()
    }
}

/// Jobs of one task that are not broken.
fn sound_jobs(count: usize) -> Vec<Arc<JobSpec>> {
    (0..count)
        .map(|i| job_spec(&format!("wk-sound-{i}"), 1, |_| {}))
        .collect()
}

#[test]
fn broken_jobs_take_no_machine_out_of_use() {
    let jobs: Vec<Arc<JobSpec>> = (0..3)
        .map(|i| job_spec(&format!("{BROKEN}-{i}"), 6, |_| {}))
        .collect();
    let mut fleet = Fleet::new(6, &jobs);
    fleet.run(60);
    assert!(fleet.failed.len() > 10, "they are tried");
    assert_eq!(fleet.faults(), BTreeMap::new());
    assert_eq!(fleet.open_machines().len(), 6, "all machines take work");
}

#[test]
fn a_broken_job_is_tried_with_one_task_less_and_less_often_but_never_forgotten() {
    let mut fleet = Fleet::new(6, &[job_spec(BROKEN, 12, |_| {})]);
    fleet.run(40);
    let tried = fleet.failed.len();
    fleet.run(1200);
    let later = &fleet.failed[tried..];
    assert!(
        later.windows(2).all(|w| w[1].0 > w[0].0),
        "one task at a time"
    );
    let gaps: Vec<f64> = later.windows(2).map(|w| w[1].0 - w[0].0).collect();
    assert!(
        gaps.iter().all(|gap| *gap < 80.0),
        "no job waits 90 s while there is room: {gaps:?}"
    );
    assert!(later.len() < 25, "{} tries in ten minutes", later.len());
    assert!(
        fleet.leader.pending_demand.is_empty(),
        "no machine is rented for it"
    );
    let machines: BTreeSet<usize> = later.iter().map(|l| l.1).collect();
    assert!(
        machines.len() > 2,
        "not always the same machines: {machines:?}"
    );
}

#[test]
fn a_machine_that_fails_what_succeeds_elsewhere_is_replaced() {
    let mut fleet = Fleet::new(4, &sound_jobs(30));
    fleet.faulty.insert(2);
    fleet.run(60);
    assert_eq!(
        fleet.faults(),
        [("m-3".to_string(), MachineFault::Proven)]
            .into_iter()
            .collect()
    );
    let done = fleet.cache.jobs.values().filter(|j| j.record.done).count();
    assert_eq!(done, 30, "all jobs run elsewhere");
    assert_eq!(fleet.open_machines(), ["m-1", "m-2", "m-4"]);
}

#[test]
fn a_job_that_met_two_faulty_machines_is_not_held_back_once_a_task_has_completed() {
    let mut fleet = Fleet::new(3, &[job_spec("wk-array", 12, |_| {})]);
    fleet.faulty.extend([0, 1]);
    fleet.run(30);
    assert!(
        fleet.completed.is_empty() || fleet.shown[2].len() > 1,
        "{:?}",
        fleet.shown
    );
    let on_sound = fleet.shown[2]
        .values()
        .filter(|s| s.1 == Some("done"))
        .count();
    assert_eq!(
        on_sound, 12,
        "all its tasks complete on the machine that works"
    );
}

#[test]
fn a_job_that_only_met_faulty_machines_runs_whole_as_soon_as_its_tasks_are_seen_to_run() {
    let mut fleet = Fleet::new(10, &[job_spec("wk-array", 16, |_| {})]);
    fleet.faulty.extend([0, 1]);
    fleet.long_tasks = true;
    fleet.run(60);
    let running = fleet
        .shown
        .iter()
        .flat_map(BTreeMap::values)
        .filter(|s| s.1.is_none())
        .count();
    assert_eq!(running, 16, "none waits for the end of another");
}
