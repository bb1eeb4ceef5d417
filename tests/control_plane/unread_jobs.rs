//! A new leader whose cache lags behind the key-value store: the leader before it accepted a job
//! after the new epoch was committed, and before it read of that epoch, and started the job's
//! tasks. The shards list these tasks to the new leader before it reads the job's record.

use crate::builders::*;
use finchwood::cluster::membership::token;
use finchwood::scheduler::Leader;
use finchwood::shard::{Shard, ShardReport, TaskPhase};
use finchwood::store::cache::StoreCache;
use finchwood::store::records::{Epoch, JobRecord};
use finchwood::wire::{Command, JobId, JobSpec, TaskState};
use serde_json::json;
use std::collections::HashMap;
use std::sync::Arc;

const EARLIER_EPOCH: u64 = EPOCH - 1;

/// A task, its attempt, its state and the cause of its end, as its machine reports them.
type TaskOnMachine = (String, u64, TaskState, Option<&'static str>);

/// Returns the record of a job that was accepted in an epoch.
fn record_of(spec: &Arc<JobSpec>, epoch: u64) -> serde_json::Value {
    json!(JobRecord {
        task_count: spec.task_count,
        spec: Some(spec.clone()),
        epoch,
        accepted_at_ms: 0,
        cancelled: false,
        done: false,
        cancelled_at_ms: None,
    })
}

/// Lets the leader of the earlier epoch accept jobs and start their tasks. Returns what its two
/// machines run.
fn started_by_deposed_leader(specs: &[&Arc<JobSpec>]) -> [Vec<TaskOnMachine>; 2] {
    let mut cache = store_cache(2, &[]);
    let epoch = Epoch {
        number: EARLIER_EPOCH,
        members: [("b".to_string(), 5)].into_iter().collect(),
        leader: "b".into(),
        uses_shard_map: false,
    };
    let mut shard = Shard::new("b", TIMING, HashMap::new());
    shard.start_epoch(EARLIER_EPOCH, 5, &cache, 0.0, |_| true);
    let mut leader = Leader::new(&settings_with(&[]).expect("valid settings"));
    leader.start_epoch(&epoch, 5, &cache);
    for machine in 1..=2 {
        reconcile_machine(&mut shard, &cache, machine, 0.1);
    }
    assert!(leader.apply_shard_report(shard.next_report(&cache, 0.2), &cache, 0.2));
    leader.reconcile(&cache, &|_| false);
    for spec in specs {
        cache.put(
            &format!("fw/j/{}", spec.id),
            record_of(spec, EARLIER_EPOCH),
            900,
        );
        leader.job_changed(&spec.id, &cache);
    }
    leader.assign_tasks(&cache, 0.3, || true);
    let orders = leader.orders("b").expect("orders for the shard");
    shard.apply_orders(&orders, &cache, 0.3);
    place_tasks(&mut shard, &cache, 0.3);
    let mut on_machines: [Vec<TaskOnMachine>; 2] = Default::default();
    for command in shard.due_commands(&cache, 0.3) {
        let machine = usize::from(&*command.machine == "m-2");
        for command in command.body.commands {
            if let Command::Start { task, attempt } = command {
                on_machines[machine].push((task, attempt, TaskState::Running, None));
            }
        }
    }
    on_machines
}

/// A new leader and its only shard, which owns both machines.
struct Successor {
    cache: StoreCache,
    leader: Leader,
    shard: Shard,
    now: f64,
}

impl Successor {
    fn new() -> Successor {
        let cache = store_cache(2, &[]);
        Successor {
            leader: new_leader(&cache),
            shard: new_shard(&cache),
            cache,
            now: 1.0,
        }
    }

    /// Lets a machine report until the shard has reconciled it.
    fn hear(&mut self, machine: usize, tasks: &[TaskOnMachine]) {
        let reported: Vec<ReportedTask> = tasks
            .iter()
            .map(|(task, attempt, state, cause)| (task.as_str(), *attempt, *state, *cause))
            .collect();
        for seen in [token(EARLIER_EPOCH, 0), token(EPOCH, 0)] {
            self.now += 0.1;
            let sequence = (self.now * 10.0) as u64;
            let heartbeat = heartbeat_from(machine, 1, sequence, seen, &reported);
            accepted(
                self.shard
                    .apply_heartbeat(&heartbeat, false, &self.cache, self.now),
            );
        }
    }

    /// Lets the leader apply a report and decide, and the shard apply the orders, which
    /// acknowledge the report. Returns how many tasks of the job were assigned anew.
    fn round_with(&mut self, report: ShardReport, job: &str) -> usize {
        self.now += 0.1;
        assert!(self
            .leader
            .apply_shard_report(report, &self.cache, self.now));
        self.leader.reconcile(&self.cache, &|_| false);
        self.leader.assign_tasks(&self.cache, self.now, || true);
        let orders = self.leader.orders("a").expect("orders for the shard");
        self.shard.apply_orders(&orders, &self.cache, self.now);
        let of_job = orders.assignments.iter().filter(|new| &*new.job == job);
        of_job.map(|new| new.tasks.len()).sum()
    }

    fn round(&mut self, job: &str) -> usize {
        let report = self.shard.next_report(&self.cache, self.now);
        self.round_with(report, job)
    }

    /// Reads all that was committed so far.
    fn read_all(&mut self) {
        self.leader.record_reading(self.now);
    }

    /// Reads the record of a job that was accepted in `epoch`.
    fn read(&mut self, spec: &Arc<JobSpec>, epoch: u64) {
        let revision = 900 + self.cache.jobs.len() as u64;
        self.cache.put(
            &format!("fw/j/{}", spec.id),
            record_of(spec, epoch),
            revision,
        );
        self.shard.job_changed(&spec.id, &self.cache);
        self.leader.job_changed(&spec.id, &self.cache);
        self.read_all();
    }
}

/// Guards against a new leader that drops what a shard lists of a job whose record it has not
/// read: the report is acknowledged, and the shard does not list these tasks again (review, case
/// 4).
#[test]
fn tasks_that_were_listed_before_their_job_was_read_are_not_assigned_again() {
    for kind in ["array", "standing"] {
        let spec = job_of_kind("wk-1", kind, 3);
        let on_machines = started_by_deposed_leader(&[&spec]);
        assert_eq!(on_machines.iter().flatten().count(), 3, "all were started");
        let mut successor = Successor::new();
        for (index, tasks) in on_machines.iter().enumerate() {
            successor.hear(index + 1, tasks);
        }
        for _ in 0..3 {
            successor.round("wk-1");
        }
        successor.read(&spec, EARLIER_EPOCH);
        for _ in 0..10 {
            assert_eq!(successor.round("wk-1"), 0, "{kind}: a task runs already");
        }
        let counts = successor.leader.counts();
        assert_eq!(counts.assigned_tasks, 3, "{kind}: {counts:?}");
        assert_eq!(counts.unreconciled_tasks, 0, "{kind}: {counts:?}");
    }
}

/// Guards against tasks that are never assigned again although they ended before their job was
/// read, whichever way the shard says so.
#[test]
fn tasks_that_ended_before_their_job_was_read_are_assigned_again() {
    let spec = job_spec("wk-1", 1, |_| {});
    let on_machines = started_by_deposed_leader(&[&spec]);
    let ended = on_machines.clone().map(|tasks| {
        let end = |(task, attempt, _, _)| (task, attempt, TaskState::Ended, Some("stopped"));
        tasks.into_iter().map(end).collect::<Vec<_>>()
    });
    let mut successor = Successor::new();
    for (index, tasks) in on_machines.iter().enumerate() {
        successor.hear(index + 1, tasks);
    }
    successor.round("wk-1");
    for (index, tasks) in ended.iter().enumerate() {
        successor.hear(index + 1, tasks);
    }
    successor.round("wk-1");
    successor.read(&spec, EARLIER_EPOCH);
    let assigned: usize = (0..3).map(|_| successor.round("wk-1")).max().unwrap_or(0);
    assert_eq!(assigned, 1, "the task has ended and needs to run again");
}

/// Guards against a job whose end is lost: its last task completed, and was listed as done, before
/// the leader had read the job.
#[test]
fn tasks_that_completed_before_their_job_was_read_are_committed() {
    let spec = job_spec("wk-1", 1, |_| {});
    let on_machines = started_by_deposed_leader(&[&spec]).map(|tasks| {
        let end = |(task, attempt, _, _)| (task, attempt, TaskState::Ended, Some("done"));
        tasks.into_iter().map(end).collect::<Vec<_>>()
    });
    let mut successor = Successor::new();
    for (index, tasks) in on_machines.iter().enumerate() {
        successor.hear(index + 1, tasks);
    }
    successor.round("wk-1");
    successor.read(&spec, EARLIER_EPOCH);
    assert_eq!(successor.round("wk-1"), 0);
    let commits = successor
        .leader
        .completions_to_commit(successor.now, 9, &successor.cache);
    assert_eq!(commits.len(), 1, "{commits:?}");
}

/// Guards against a full report that leaves what an earlier report listed in place.
#[test]
fn a_full_report_replaces_what_was_listed_before_the_job_was_read() {
    let spec = job_spec("wk-1", 1, |_| {});
    let on_machines = started_by_deposed_leader(&[&spec]);
    let mut successor = Successor::new();
    for (index, tasks) in on_machines.iter().enumerate() {
        successor.hear(index + 1, tasks);
    }
    successor.round("wk-1");
    let full = ShardReport {
        since: 0,
        assigned: Vec::new(),
        ..successor.shard.next_report(&successor.cache, successor.now)
    };
    successor.round_with(full, "wk-1");
    successor.read(&spec, EARLIER_EPOCH);
    assert_eq!(successor.leader.counts().assigned_tasks, 0);
}

/// Guards against a listed task without a record that delays other jobs: the record may never
/// come, as that of a job whose key was deleted by an operator.
#[test]
fn a_listed_task_without_a_record_does_not_delay_other_jobs() {
    let unread = job_spec("wk-1", 1, |_| {});
    let on_machines = started_by_deposed_leader(&[&unread]);
    let mut successor = Successor::new();
    for (index, tasks) in on_machines.iter().enumerate() {
        successor.hear(index + 1, tasks);
    }
    successor.round("wk-2");
    successor.read_all();
    let earlier = job_spec("wk-2", 1, |_| {});
    successor.read(&earlier, EARLIER_EPOCH);
    let assigned: usize = (0..2).map(|_| successor.round("wk-2")).max().unwrap_or(0);
    assert_eq!(assigned, 1, "a job of the epoch before");
    let of_this_epoch = job_spec("wk-3", 1, |_| {});
    successor.read(&of_this_epoch, EPOCH);
    assert_eq!(successor.round("wk-3"), 1, "a job of this epoch");
    let report = successor.shard.next_report(&successor.cache, successor.now);
    assert!(report.since > 0, "no full report is needed");
    assert!(
        report
            .assigned
            .iter()
            .all(|status| status.task.job != JobId::from("wk-1")
                || status.phase == TaskPhase::Running),
    );
}

/// Guards against a team over its limit: its leader does not know that listed tasks of a job that
/// it has not read belong to the same team.
#[test]
fn nothing_is_assigned_until_the_job_of_a_listed_task_could_be_read() {
    let unread = job_spec("wk-1", 1, |_| {});
    let on_machines = started_by_deposed_leader(&[&unread]);
    let mut successor = Successor::new();
    let other = job_spec("wk-2", 1, |_| {});
    for (index, tasks) in on_machines.iter().enumerate() {
        successor.hear(index + 1, tasks);
    }
    successor.round("wk-2");
    // The answer to a reading that began earlier shows another job only.
    let revision = 950;
    successor
        .cache
        .put("fw/j/wk-2", record_of(&other, EPOCH), revision);
    successor.leader.job_changed(&other.id, &successor.cache);
    successor.leader.record_reading(0.5);
    for _ in 0..3 {
        assert_eq!(
            successor.round("wk-2"),
            0,
            "the listed task may be of the same team"
        );
    }
    successor.read(&unread, EARLIER_EPOCH);
    assert_eq!(successor.round("wk-2"), 1);
}
