//! Arrays of small tasks, of which more fit on a machine by its CPUs than its worker can list in
//! one report. The real leader and shard are driven against a worker that keeps to the
//! protocol: a longer report never arrives, and longer commands are not carried out.

use crate::builders::*;
use finchwood::scheduler::{FinishedTasks, Leader};
use finchwood::shard::Shard;
use finchwood::store::cache::StoreCache;
use finchwood::wire::{Command, CommandBatch, Heartbeat, JobSpec, TaskState, BODY_LIMIT};
use finchwood_types::message_size::{command_bytes, task_report_bytes, LIST_BYTES};
use proptest::prelude::*;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// An attempt of the epoch before.
const OLD_ATTEMPT: u64 = (EPOCH - 1) << 24 | 5;
const SMALL_TASKS: u32 = 1_200;
/// The length of a step, in seconds.
const STEP_S: f64 = 0.5;

/// A job of which all tasks fit on one machine by their CPUs and their memory.
fn small_tasks(id: &str, tasks: u32) -> Arc<JobSpec> {
    job_spec(id, tasks, |fields| {
        fields["cpus"] = json!(0.002);
        fields["mem_gb"] = json!(0.002);
    })
}

/// A task on the worker: its attempt, the step in which it ends, and whether it has ended.
#[derive(Debug, Clone)]
struct SmallTask {
    attempt: u64,
    ends_in_step: u32,
    ended_by: Option<&'static str>,
}

/// The leader, its only shard, and a machine with a worker that keeps to the limits.
struct FullMachine {
    cache: StoreCache,
    leader: Leader,
    shard: Shard,
    token: u64,
    sequence: u64,
    step: u32,
    revision: u64,
    /// How many steps a task takes to end, with the fetch of its image.
    run_steps: u32,
    /// The step before which the key-value store accepts no commit.
    store_out_until: u32,
    tasks: BTreeMap<String, SmallTask>,
    starts: BTreeMap<String, u32>,
    most_tasks: usize,
}

impl FullMachine {
    fn new(jobs: &[&Arc<JobSpec>], run_steps: u32) -> FullMachine {
        let cache = store_cache(1, jobs);
        let (leader, shard, tokens) = leader_and_shard(&cache, 1);
        FullMachine {
            cache,
            leader,
            shard,
            token: tokens[0],
            sequence: 10,
            step: 0,
            revision: 1_000,
            run_steps,
            store_out_until: 0,
            tasks: BTreeMap::new(),
            starts: BTreeMap::new(),
            most_tasks: 0,
        }
    }

    fn now(&self) -> f64 {
        1.0 + f64::from(self.step) * STEP_S
    }

    /// Runs a step: a round of the leader and the shard, commits, direct commands and a
    /// heartbeat.
    fn advance(&mut self) {
        self.step += 1;
        let now = self.now();
        scheduling_round(&mut self.leader, &mut self.shard, &self.cache, now);
        if self.step >= self.store_out_until {
            for finished in self.leader.completions_to_commit(now, 10, &self.cache) {
                self.commit(&finished, now);
            }
        }
        for command in self.shard.due_commands(&self.cache, now) {
            self.receive_commands(&command.body, now);
        }
        let step = self.step;
        for task in self.tasks.values_mut() {
            if task.ended_by.is_none() && step >= task.ends_in_step {
                task.ended_by = Some("done");
            }
        }
        self.most_tasks = self.most_tasks.max(self.tasks.len());
        let heartbeat = self.report();
        let (token, commands) =
            accepted(
                self.shard
                    .apply_heartbeat(&heartbeat, false, &self.cache, now),
            );
        let line = serde_json::to_vec(&json!({"crest": token, "calls": &commands}));
        assert!(line.expect("JSON").len() <= BODY_LIMIT, "too long a reply");
        self.execute(token, commands);
        self.shard.forget_finished(&self.cache, now);
    }

    /// Returns the worker's report, which must fit into one request.
    fn report(&mut self) -> Heartbeat {
        self.sequence += 1;
        let state = |task: &SmallTask| match task.ended_by {
            Some(_) => TaskState::Ended,
            None => TaskState::Running,
        };
        let tasks: Vec<ReportedTask> = self
            .tasks
            .iter()
            .map(|(id, task)| (id.as_str(), task.attempt, state(task), task.ended_by))
            .collect();
        let heartbeat = heartbeat_from(1, 1, self.sequence, self.token, &tasks);
        let body = serde_json::to_vec(&heartbeat).expect("JSON");
        assert!(
            body.len() <= BODY_LIMIT,
            "the report of {} tasks does not fit",
            tasks.len()
        );
        heartbeat
    }

    fn receive_commands(&mut self, batch: &CommandBatch, now: f64) {
        let body = serde_json::to_vec(batch).expect("JSON");
        assert!(body.len() <= BODY_LIMIT, "too long a command");
        self.execute(batch.token, batch.commands.clone());
        let response = self.report();
        self.shard
            .command_completed(&"m-1".into(), batch, Some(&response), &self.cache, now);
    }

    fn execute(&mut self, token: u64, commands: Vec<Command>) {
        assert!(token >= self.token);
        self.token = token;
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    if self
                        .tasks
                        .get(&task)
                        .is_some_and(|known| known.attempt == attempt)
                    {
                        continue;
                    }
                    *self.starts.entry(task.clone()).or_default() += 1;
                    let small_task = SmallTask {
                        attempt,
                        ends_in_step: self.step + self.run_steps,
                        ended_by: None,
                    };
                    self.tasks.insert(task, small_task);
                }
                Command::Stop { task, .. } => {
                    if let Some(task) = self.tasks.get_mut(&task) {
                        task.ended_by.get_or_insert("stopped");
                    }
                }
                Command::Forget { task, .. } => {
                    assert!(self.tasks[&task].ended_by.is_some());
                    self.tasks.remove(&task);
                }
            }
        }
    }

    /// Commits finished tasks, with the job's record once all are.
    fn commit(&mut self, finished: &FinishedTasks, now: f64) {
        let job = self.cache.jobs[&finished.job].clone();
        let mut all = job.finished.clone();
        for &task in &finished.tasks {
            all.add(task);
        }
        self.revision += 1;
        let id = &finished.job;
        if all.len() == job.record.task_count {
            let mut record = job.record;
            record.done = true;
            record.spec = None;
            self.cache
                .put(&format!("fw/j/{id}"), json!(record), self.revision);
        } else {
            let hex = all.hex(0, job.record.task_count);
            self.cache
                .put(&format!("fw/f/{id}/0"), json!(hex), self.revision);
        }
        self.shard.job_changed(id, &self.cache);
        self.leader.job_changed(id, &self.cache);
        self.leader.record_commit_outcome(id, now, now);
    }

    fn run_until_all_done(&mut self, tasks: u32, max_steps: u32) {
        while self.step < max_steps && !self.cache.jobs.values().all(|job| job.record.done) {
            self.advance();
        }
        let open: Vec<_> = self
            .cache
            .jobs
            .iter()
            .filter(|(_, job)| !job.record.done)
            .collect();
        assert!(
            open.is_empty(),
            "not done after {max_steps} steps: {}",
            open.len()
        );
        assert_eq!(self.starts.len() as u32, tasks);
        assert!(
            self.starts.values().all(|starts| *starts == 1),
            "a task was started twice"
        );
    }
}

/// Guards against an array whose starts, in one message, exceed what a worker accepts, and whose
/// tasks then never start (review, case 3).
#[test]
fn an_array_of_more_tasks_than_a_report_lists_runs_in_parts() {
    let mut machine = FullMachine::new(&[&small_tasks("wk-1", SMALL_TASKS)], 2);
    machine.run_until_all_done(SMALL_TASKS, 60);
    assert!(
        machine.most_tasks > 400,
        "only {} tasks at once",
        machine.most_tasks
    );
}

/// Guards against a report that becomes too long while tasks run for long, so that the worker's
/// lease expires and all its tasks begin anew elsewhere. Several arrays share the machine.
#[test]
fn arrays_that_share_a_machine_and_fetch_long_run_once() {
    let jobs: Vec<_> = (1..=4)
        .map(|number| small_tasks(&format!("wk-{number}"), 300))
        .collect();
    let mut machine = FullMachine::new(&jobs.iter().collect::<Vec<_>>(), 40);
    machine.run_until_all_done(1_200, 240);
}

/// Guards against ended tasks that pile up while their results can't be committed: they take space
/// in the report until they are forgotten.
#[test]
fn ended_tasks_keep_their_space_in_the_report_until_they_are_forgotten() {
    let mut machine = FullMachine::new(&[&small_tasks("wk-1", SMALL_TASKS)], 2);
    machine.store_out_until = 40;
    while machine.step < 39 {
        machine.advance();
    }
    assert!(machine.starts.len() < SMALL_TASKS as usize);
    machine.run_until_all_done(SMALL_TASKS, 120);
}

/// Guards against a cancellation whose stops don't fit into one message.
#[test]
fn a_cancelled_array_on_a_full_machine_stops_within_two_reports() {
    let job = small_tasks("wk-1", SMALL_TASKS);
    let mut machine = FullMachine::new(&[&job], 1_000);
    (0..10).for_each(|_| machine.advance());
    assert!(machine.tasks.len() > 400);
    machine
        .cache
        .put("fw/j/wk-1", job_record(&job, true), 5_000);
    let id = job.id.clone();
    machine.shard.job_changed(&id, &machine.cache);
    machine.leader.job_changed(&id, &machine.cache);
    machine.advance();
    machine.advance();
    assert!(
        machine.tasks.values().all(|task| task.ended_by.is_some()),
        "tasks of a cancelled job still run"
    );
    (0..10).for_each(|_| machine.advance());
    assert!(machine.tasks.is_empty(), "ended tasks are still reported");
}

/// Returns the tasks of `wk-1` as a worker reports them.
fn reported<'a>(
    ids: &'a [String],
    is_running: impl Fn(&str) -> bool,
    cause: &'a str,
) -> Vec<ReportedTask<'a>> {
    let report = |id: &'a String| {
        if is_running(id) {
            (id.as_str(), OLD_ATTEMPT, TaskState::Running, None)
        } else {
            (id.as_str(), OLD_ATTEMPT, TaskState::Ended, Some(cause))
        }
    };
    ids.iter().map(report).collect()
}

/// Guards against commands that never arrive because they are too many for one message: an owner
/// of an earlier version may have placed more tasks than a report lists.
#[test]
fn commands_for_more_tasks_than_a_message_holds_are_sent_in_parts() {
    let job = small_tasks("wk-1", SMALL_TASKS);
    let mut cache = store_cache(1, &[&job]);
    cache.put("fw/j/wk-1", job_record(&job, true), 500);
    let mut shard = new_shard(&cache);
    let mut token = reconcile_machine(&mut shard, &cache, 1, 0.2);
    let mut ids: Vec<String> = (0..SMALL_TASKS)
        .map(|index| format!("wk-1/{index}"))
        .collect();
    let mut running: BTreeSet<String> = ids.iter().cloned().collect();
    for round in 0..8u32 {
        let tasks = reported(&ids, |id| running.contains(id), "stopped");
        let heartbeat = heartbeat_from(1, 1, 10 + u64::from(round), token, &tasks);
        let now = 0.5 + f64::from(round) * STEP_S;
        let (reply_token, commands) =
            accepted(shard.apply_heartbeat(&heartbeat, false, &cache, now));
        token = reply_token;
        let line = serde_json::to_vec(&commands).expect("JSON");
        assert!(line.len() <= LIST_BYTES, "{} commands", commands.len());
        for command in commands {
            match command {
                Command::Start { task, .. } => panic!("{task} of a cancelled job was started"),
                Command::Stop { task, .. } => drop(running.remove(&task)),
                Command::Forget { task, .. } => {
                    assert!(!running.contains(&task));
                    ids.retain(|id| *id != task);
                }
            }
        }
    }
    assert!(
        running.is_empty() && ids.is_empty(),
        "{} tasks are left",
        ids.len()
    );
}

/// Guards against an owner that counts only the tasks that still run: the leader may not know yet
/// how many ended ones the worker reports.
#[test]
fn an_owner_places_no_task_whose_entry_does_not_fit_into_the_report() {
    let (done, next) = (small_tasks("wk-1", 575), small_tasks("wk-2", 100));
    let cache = store_cache(1, &[&done, &next]);
    let mut shard = new_shard(&cache);
    let token = reconcile_machine(&mut shard, &cache, 1, 0.2);
    let ids: Vec<String> = (0..575).map(|index| format!("wk-1/{index}")).collect();
    let tasks = reported(&ids, |_| false, "done");
    accepted(shard.apply_heartbeat(&heartbeat_from(1, 1, 10, token, &tasks), false, &cache, 0.5));
    let assigned: Vec<(u32, u64)> = (0..100)
        .map(|index| (index, EPOCH << 24 | u64::from(index + 1)))
        .collect();
    shard.apply_orders(&orders(1, assignments("wk-2", &assigned)), &cache, 0.6);
    place_tasks(&mut shard, &cache, 0.7);
    let report = shard.next_report(&cache, 0.8);
    let placed = report
        .assigned
        .iter()
        .filter(|status| &*status.task.job == "wk-2")
        .count();
    let space = LIST_BYTES - 575 * task_report_bytes("wk-1");
    assert_eq!(placed, space / task_report_bytes("wk-2"));
    assert_eq!(
        placed + report.removed.len(),
        100,
        "the others are returned"
    );
    assert!(report.machines[0].free.is_empty(), "the machine is full");
}

proptest! {
    /// The bounds hold for every entry of a message, also with spaces between the fields.
    #[test]
    fn no_entry_of_a_message_is_longer_than_its_bound(
        job in "wk-[a-z0-9-]{1,61}", index in 0..100_000u32, attempt in any::<u64>(),
        state in prop::sample::select(vec!["fetching", "gathering", "running", "saving", "ended"]),
        cause in prop::sample::select(
            vec!["done", "stopped", "error", "no_room", "busy", "unknown", "peers", "alone"]),
        grace_s in prop::num::f64::POSITIVE | prop::num::f64::ZERO,
    ) {
        let task = format!("{job}/{index}");
        let report = if state == "ended" {
            format!(r#"{{"chick": "{task}", "hatch": {attempt}, "mood": "ended", "cause": "{cause}", "kept": false}}, "#)
        } else {
            format!(r#"{{"chick": "{task}", "hatch": {attempt}, "mood": "{state}"}}, "#)
        };
        prop_assert!(report.len() <= task_report_bytes(&job), "{}", report);
        let commands = [
            Command::Start { task: task.clone(), attempt },
            Command::Stop { task: task.clone(), attempt, grace_s },
            Command::Forget { task: task.clone(), attempt },
        ];
        for command in commands {
            let bytes = serde_json::to_vec(&command).expect("JSON").len() + 1;
            prop_assert!(bytes <= command_bytes(&task), "{:?}", command);
        }
        prop_assert!(LIST_BYTES < BODY_LIMIT);
    }
}
