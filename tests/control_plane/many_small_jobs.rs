//! Jobs of one task, several a second for minutes, a quarter of them cancelled: what is
//! cancelled does not start and is gone, the rest runs once and ends, nothing is kept of
//! either. The real leader and shard, driven directly.

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
const JOBS_A_STEP: usize = 2;
/// Steps of half a second that a task runs.
const RUN_STEPS: u32 = 8;
/// How soon a cancelled task is gone.
const STOPPED_STEPS: u32 = 2;

struct Fleet {
    cache: StoreCache,
    leader: Leader,
    shard: Shard,
    tokens: Vec<u64>,
    revision: u64,
    step: u32,
    /// The step in which each task of a machine was started.
    running: Vec<BTreeMap<String, (u64, u32)>>,
    ended: Vec<BTreeMap<String, (u64, &'static str)>>,
    starts: BTreeMap<String, u32>,
    /// The step in which each was cancelled.
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

    fn commit(&mut self, id: &JobId, record: &JobRecord) {
        self.revision += 1;
        self.cache
            .put(&format!("fw/j/{id}"), json!(record), self.revision);
        self.shard.job_changed(id, &self.cache);
        self.leader.job_changed(id, &self.cache);
    }

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
        self.commit(&id, &record);
    }

    /// Cancels a job, unless it is done.
    fn cancel(&mut self, number: usize) {
        let id: JobId = format!("wk-{number}").into();
        let record = self.cache.jobs[&id].record.clone();
        if !record.done {
            self.cancelled.insert(id.to_string(), self.step);
            self.commit(
                &id,
                &JobRecord {
                    cancelled: true,
                    cancelled_at_ms: Some(0),
                    ..record
                },
            );
        }
    }

    fn advance(&mut self) {
        self.step += 1;
        let now = 1.0 + f64::from(self.step) * 0.5;
        scheduling_round(&mut self.leader, &mut self.shard, &self.cache, now);
        for finish in self.leader.completions_to_commit(now, 100, &self.cache) {
            let record = self.cache.jobs[&finish.job].record.clone();
            self.commit(
                &finish.job,
                &JobRecord {
                    done: true,
                    spec: None,
                    ..record
                },
            );
            self.leader.commit_answered(&finish.job, now, now);
        }
        for machine in 0..MACHINES {
            self.report(machine, now);
        }
        self.shard.forget_finished(&self.cache, now);
    }

    fn report(&mut self, machine: usize, now: f64) {
        let step = self.step;
        for task in self.running[machine].keys() {
            let cancelled = self.cancelled.get(task.trim_end_matches("/0"));
            assert!(
                cancelled.is_none_or(|at| step - at <= STOPPED_STEPS),
                "{task} runs on"
            );
        }
        let over = self.running[machine].extract_if(.., |_, (_, since)| step - *since >= RUN_STEPS);
        let over: Vec<_> = over
            .map(|(task, (attempt, _))| (task, (attempt, "done")))
            .collect();
        self.ended[machine].extend(over);
        let running = self.running[machine]
            .iter()
            .map(|(task, (attempt, _))| (task.as_str(), *attempt, TaskState::Running, None));
        let ended = self.ended[machine].iter().map(|(task, (attempt, cause))| {
            (task.as_str(), *attempt, TaskState::Ended, Some(*cause))
        });
        let lines: Vec<ReportedTask> = running.chain(ended).collect();
        let report = heartbeat_from(
            machine + 1,
            1,
            10 + u64::from(step),
            self.tokens[machine],
            &lines,
        );
        let (token, calls) = accepted(self.shard.apply_heartbeat(&report, false, &self.cache, now));
        self.tokens[machine] = token;
        for call in calls {
            match call {
                Command::Start { task, attempt } => {
                    let job = task.trim_end_matches("/0");
                    assert!(
                        !self.cancelled.contains_key(job),
                        "{task} starts after its cancellation"
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
fn small_jobs_run_once_or_are_gone_and_leave_nothing_behind() {
    let mut fleet = Fleet::new();
    for first in (0..JOBS).step_by(JOBS_A_STEP) {
        (first..first + JOBS_A_STEP).for_each(|number| fleet.submit(number));
        // At once after it was accepted, while it runs, or as it ends.
        let waited = [0, 3, 5][first / 8 % 3];
        if first % 4 == 0 && first >= waited * JOBS_A_STEP {
            fleet.cancel(first - waited * JOBS_A_STEP);
        }
        fleet.advance();
    }
    for _ in 0..60 {
        fleet.advance();
    }
    assert!(
        fleet.cancelled.len() > JOBS / 8,
        "{} were cancelled",
        fleet.cancelled.len()
    );
    for (id, job) in &fleet.cache.jobs {
        assert_ne!(job.record.done, job.record.cancelled, "{id} has one end");
    }
    assert!(
        fleet.starts.values().all(|starts| *starts == 1),
        "{:?}",
        fleet.starts
    );
    assert!(
        fleet.running.iter().all(BTreeMap::is_empty),
        "nothing runs any more"
    );
    assert!(
        fleet.ended.iter().all(BTreeMap::is_empty),
        "workers need keep no result"
    );
    assert_eq!(
        fleet.leader.counts(),
        finchwood::scheduler::TableCounts {
            jobs: 0,
            assigned_tasks: 0,
            unreconciled_tasks: 0
        }
    );
}
