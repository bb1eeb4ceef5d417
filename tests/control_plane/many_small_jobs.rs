//! Jobs of one task, four per second for two minutes, of which up to a quarter are cancelled.
//! A cancelled task must not start, or must stop; the other tasks must run once and end; no
//! state may be kept of any of them. The real leader and shard are driven directly, without
//! threads or a network.

use crate::builders::*;
use finchwood::scheduler::Leader;
use finchwood::shard::Shard;
use finchwood::store::cache::StoreCache;
use finchwood::store::records::JobRecord;
use finchwood::wire::{Command, JobId, TaskState};
use serde_json::json;
use std::collections::BTreeMap;

const MACHINES: usize = 10;
const JOBS: usize = 480;
/// The number of jobs that are submitted in a step of half a second.
const JOBS_PER_STEP: usize = 2;
/// The number of steps that a task runs for.
const RUN_STEPS: u32 = 8;
/// The number of steps within which a task must stop after its job was cancelled.
const MAX_STEPS_TO_STOP: u32 = 2;

/// The leader, its only shard, and simulated machines, which run each task for [`RUN_STEPS`].
struct Fleet {
    cache: StoreCache,
    leader: Leader,
    shard: Shard,
    /// The fencing token that each machine's worker has seen.
    tokens: Vec<u64>,
    revision: u64,
    step: u32,
    /// The running tasks of each machine, with their attempts and the step in which they were
    /// started.
    running: Vec<BTreeMap<String, (u64, u32)>>,
    /// The ended tasks that each machine still reports, with their attempts and causes.
    ended: Vec<BTreeMap<String, (u64, &'static str)>>,
    /// How often each task was started.
    starts: BTreeMap<String, u32>,
    /// The step in which each cancelled job was cancelled.
    cancelled: BTreeMap<String, u32>,
}

impl Fleet {
    fn new() -> Fleet {
        let cache = store_cache(MACHINES, &[]);
        let (leader, shard, tokens) = leader_and_shard(&cache, MACHINES);
        Fleet {
            cache,
            leader,
            shard,
            tokens,
            revision: 1_000,
            step: 0,
            running: vec![BTreeMap::new(); MACHINES],
            ended: vec![BTreeMap::new(); MACHINES],
            starts: BTreeMap::new(),
            cancelled: BTreeMap::new(),
        }
    }

    /// Stores the record of a job, and applies the change to the shard and the leader.
    fn store_record(&mut self, id: &JobId, record: &JobRecord) {
        self.revision += 1;
        self.cache
            .put(&format!("fw/j/{id}"), json!(record), self.revision);
        self.shard.job_changed(id, &self.cache);
        self.leader.job_changed(id, &self.cache);
    }

    /// Submits the job with this number.
    fn submit(&mut self, number: usize) {
        let spec = job_spec(&format!("wk-{number}"), 1, |_| {});
        let id = spec.id.clone();
        let record = JobRecord {
            spec: Some(spec),
            epoch: EPOCH,
            accepted_at_ms: 0,
            task_count: 1,
            cancelled: false,
            done: false,
            cancelled_at_ms: None,
        };
        self.store_record(&id, &record);
    }

    /// Cancels a job, unless it is done.
    fn cancel(&mut self, number: usize) {
        let id: JobId = format!("wk-{number}").into();
        let record = self.cache.jobs[&id].record.clone();
        if !record.done {
            self.cancelled.insert(id.to_string(), self.step);
            self.store_record(
                &id,
                &JobRecord {
                    cancelled: true,
                    cancelled_at_ms: Some(0),
                    ..record
                },
            );
        }
    }

    /// Runs a step of half a second: a round of the leader and the shard, the commits of
    /// completed tasks, and the heartbeats of all machines.
    fn advance(&mut self) {
        self.step += 1;
        let now = 1.0 + f64::from(self.step) * 0.5;
        scheduling_round(&mut self.leader, &mut self.shard, &self.cache, now);
        for completion in self.leader.completions_to_commit(now, 100, &self.cache) {
            let record = self.cache.jobs[&completion.job].record.clone();
            self.store_record(
                &completion.job,
                &JobRecord {
                    done: true,
                    spec: None,
                    ..record
                },
            );
            self.leader.record_commit_outcome(&completion.job, now, now);
        }
        for machine in 0..MACHINES {
            self.send_heartbeat(machine, now);
        }
        self.shard.forget_finished(&self.cache, now);
    }

    /// Ends the tasks of a machine that have run long enough, sends the machine's heartbeat and
    /// executes the commands of the reply.
    fn send_heartbeat(&mut self, machine: usize, now: f64) {
        let step = self.step;
        for task in self.running[machine].keys() {
            let cancelled = self.cancelled.get(task.trim_end_matches("/0"));
            assert!(
                cancelled.is_none_or(|at| step - at <= MAX_STEPS_TO_STOP),
                "{task} still runs although its job was cancelled"
            );
        }
        let completed =
            self.running[machine].extract_if(.., |_, (_, since)| step - *since >= RUN_STEPS);
        let completed: Vec<_> = completed
            .map(|(task, (attempt, _))| (task, (attempt, "done")))
            .collect();
        self.ended[machine].extend(completed);
        let running = self.running[machine]
            .iter()
            .map(|(task, (attempt, _))| (task.as_str(), *attempt, TaskState::Running, None));
        let ended = self.ended[machine].iter().map(|(task, (attempt, cause))| {
            (task.as_str(), *attempt, TaskState::Ended, Some(*cause))
        });
        let reported_tasks: Vec<ReportedTask> = running.chain(ended).collect();
        let heartbeat = heartbeat_from(
            machine + 1,
            1,
            10 + u64::from(step),
            self.tokens[machine],
            &reported_tasks,
        );
        let (token, commands) =
            accepted(
                self.shard
                    .apply_heartbeat(&heartbeat, false, &self.cache, now),
            );
        self.tokens[machine] = token;
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    let job = task.trim_end_matches("/0");
                    assert!(
                        !self.cancelled.contains_key(job),
                        "{task} was started after its job was cancelled"
                    );
                    *self.starts.entry(task.clone()).or_default() += 1;
                    self.running[machine].insert(task, (attempt, step));
                }
                Command::Stop { task, .. } => {
                    if let Some((attempt, _)) = self.running[machine].remove(&task) {
                        self.ended[machine].insert(task, (attempt, "stopped"));
                    }
                }
                Command::Forget { task, .. } => drop(self.ended[machine].remove(&task)),
            }
        }
    }
}

#[test]
fn small_jobs_run_once_or_are_cancelled_and_leave_no_state_behind() {
    let mut fleet = Fleet::new();
    for first in (0..JOBS).step_by(JOBS_PER_STEP) {
        (first..first + JOBS_PER_STEP).for_each(|number| fleet.submit(number));
        // A job is cancelled right after it was submitted, while its task runs, or about when
        // the task ends.
        let steps_until_cancel = [0, 3, 5][first / 8 % 3];
        if first % 4 == 0 && first >= steps_until_cancel * JOBS_PER_STEP {
            fleet.cancel(first - steps_until_cancel * JOBS_PER_STEP);
        }
        fleet.advance();
    }
    for _ in 0..60 {
        fleet.advance();
    }
    assert!(
        fleet.cancelled.len() > JOBS / 8,
        "only {} jobs were cancelled",
        fleet.cancelled.len()
    );
    for (id, job) in &fleet.cache.jobs {
        assert_ne!(
            job.record.done, job.record.cancelled,
            "{id} is both done and cancelled, or neither"
        );
    }
    assert!(
        fleet.starts.values().all(|starts| *starts == 1),
        "{:?}",
        fleet.starts
    );
    assert!(
        fleet.running.iter().all(BTreeMap::is_empty),
        "tasks still run"
    );
    assert!(
        fleet.ended.iter().all(BTreeMap::is_empty),
        "workers still keep results of ended tasks"
    );
    assert_eq!(
        fleet.leader.counts(),
        finchwood::scheduler::SchedulingCounts {
            jobs: 0,
            assigned_tasks: 0,
            unreconciled_tasks: 0
        }
    );
}
