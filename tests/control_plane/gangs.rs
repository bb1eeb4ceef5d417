//! Tests of gangs, on the real leader and shard driven directly. The tasks of a gang start all
//! together or not at all, and under one attempt.

use crate::builders::*;
use finchwood::scheduler::Leader;
use finchwood::shard::{Orders, Shard, TaskPhase};
use finchwood::store::cache::StoreCache;
use finchwood::store::records::{Epoch, JobRecord};
use finchwood::wire::{Command, JobSpec, TaskState};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Returns a gang whose tasks fill a machine each, unless `change` sets other fields.
fn gang(id: &str, tasks: u32, change: impl Fn(&mut Value)) -> Arc<JobSpec> {
    job_spec(id, tasks, |fields| {
        fields["shape"] = "ensemble".into();
        fields["rank"] = "standard".into();
        fields["cpus"] = 4.0.into();
        fields["molt_s"] = 20.0.into();
        fields["stash_s"] = 3.0.into();
        change(fields);
    })
}

/// What a machine reports of a task: its attempt, its state and why it ended.
type ReportedState = (u64, TaskState, Option<&'static str>);

/// A leader, its only shard and machines that execute commands, without a network between.
struct TestCluster {
    cache: StoreCache,
    leader: Leader,
    shard: Shard,
    tokens: Vec<u64>,
    heartbeat_seq: u64,
    now: f64,
    /// The tasks that each machine reports; a task that has been started is `Gathering`.
    reported: Vec<BTreeMap<String, ReportedState>>,
    /// The commands in the replies of the last round, each with the index of the machine.
    commands: Vec<(usize, Command)>,
}

impl TestCluster {
    fn new(cache: StoreCache, machines: usize) -> TestCluster {
        let (leader, shard, tokens) = leader_and_shard(&cache, machines);
        let reported = vec![BTreeMap::new(); machines];
        TestCluster {
            cache,
            leader,
            shard,
            tokens,
            heartbeat_seq: 10,
            now: 1.0,
            reported,
            commands: Vec::new(),
        }
    }

    /// Runs one round of the leader and the shard. Then every machine sends a heartbeat and
    /// executes the commands in the reply.
    fn run_round(&mut self) {
        self.now += 0.5;
        scheduling_round(&mut self.leader, &mut self.shard, &self.cache, self.now);
        self.commands.clear();
        for machine in 0..self.reported.len() {
            self.heartbeat_seq += 1;
            let tasks: Vec<ReportedTask> = self.reported[machine]
                .iter()
                .map(|(id, task)| (id.as_str(), task.0, task.1, task.2))
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
            for command in commands {
                self.execute(machine, &command);
                self.commands.push((machine, command));
            }
        }
    }

    fn execute(&mut self, machine: usize, command: &Command) {
        let tasks = &mut self.reported[machine];
        match command {
            Command::Start { task, attempt } => {
                tasks
                    .entry(task.clone())
                    .or_insert((*attempt, TaskState::Gathering, None));
            }
            Command::Stop { task, .. } => {
                if let Some(running) = tasks
                    .get_mut(task)
                    .filter(|state| state.1 != TaskState::Ended)
                {
                    (running.1, running.2) = (TaskState::Ended, Some("stopped"));
                }
            }
            Command::Forget { task, .. } => drop(tasks.remove(task)),
        }
    }

    /// Sends a heartbeat with a reclaim notice from a machine, and returns the commands in the
    /// reply without executing them.
    fn send_reclaim_notice(&mut self, machine: usize) -> Vec<Command> {
        let reported = &self.reported[machine];
        let tasks: Vec<ReportedTask> = reported
            .iter()
            .map(|(id, task)| (id.as_str(), task.0, task.1, task.2))
            .collect();
        self.heartbeat_seq += 1;
        let mut heartbeat = heartbeat_from(
            machine + 1,
            1,
            self.heartbeat_seq,
            self.tokens[machine],
            &tasks,
        );
        heartbeat.reclaimed_in_s = Some(8.0);
        let (token, commands) =
            accepted(
                self.shard
                    .apply_heartbeat(&heartbeat, false, &self.cache, self.now),
            );
        self.tokens[machine] = token;
        commands
    }

    /// Starts the next epoch with a new leader. The shard keeps its state if `incarnation` is
    /// 7 as before; otherwise it is a new owner that has no state yet.
    fn start_next_epoch(&mut self, incarnation: u64) {
        let members = [("a".to_string(), incarnation)].into_iter().collect();
        let epoch = Epoch {
            number: EPOCH + 1,
            members,
            leader: "a".into(),
            uses_shard_map: false,
        };
        self.shard
            .start_epoch(epoch.number, incarnation, &self.cache, self.now, |_| true);
        self.leader = Leader::new(&settings_with(&[]).expect("settings"));
        self.leader.start_epoch(&epoch, incarnation, &self.cache);
    }

    fn run_rounds(&mut self, count: usize) {
        (0..count).for_each(|_| self.run_round());
    }

    /// Returns the machine, the attempt and the state of every task that has not ended.
    fn active_tasks(&self) -> Vec<(usize, u64, TaskState)> {
        let tasks = self
            .reported
            .iter()
            .enumerate()
            .flat_map(|(machine, tasks)| tasks.values().map(move |task| (machine, task.0, task.1)));
        tasks.filter(|task| task.2 != TaskState::Ended).collect()
    }

    /// Returns the attempt that all tasks on the machines share. Panics unless there are `count`
    /// tasks and they share one attempt.
    fn shared_attempt(&self, count: usize) -> u64 {
        let active_tasks = self.active_tasks();
        let attempts: BTreeSet<u64> = active_tasks.iter().map(|task| task.1).collect();
        assert_eq!(
            (active_tasks.len(), attempts.len()),
            (count, 1),
            "{active_tasks:?}"
        );
        active_tasks[0].1
    }

    /// Makes every task that has not ended report this state and cause from now on.
    fn set_all_tasks(&mut self, state: TaskState, cause: Option<&'static str>) {
        let tasks = self
            .reported
            .iter_mut()
            .flat_map(|tasks| tasks.values_mut());
        tasks
            .filter(|task| task.1 != TaskState::Ended)
            .for_each(|task| (task.1, task.2) = (state, cause));
    }
}

#[test]
fn a_gang_starts_whole_under_one_attempt_in_one_zone() {
    let spec = gang("wk-1", 3, |fields| fields["one_zone"] = true.into());
    let mut cluster = TestCluster::new(store_cache(6, &[&spec]), 6);
    cluster.run_round();
    cluster.shared_attempt(3);
    let zones: BTreeSet<usize> = cluster
        .active_tasks()
        .iter()
        .map(|task| task.0 % 2)
        .collect();
    assert_eq!(zones.len(), 1);
}

#[test]
fn a_gang_without_capacity_for_all_tasks_starts_none_and_reserves_capacity() {
    let (spec, array) = (gang("wk-1", 3, |_| {}), job_spec("wk-2", 8, |_| {}));
    let mut cache = store_cache(2, &[&spec, &array]);
    // Both jobs are accepted just now: a gang that has waited for very long is assigned first,
    // but no capacity is reserved for it any more.
    for (job, revision) in [(&spec, 400), (&array, 401)] {
        let mut accepted_job = job_record(job, false);
        accepted_job["t"] = finchwood::clock::wall_clock_ms().into();
        cache.put(&format!("fw/j/{}", job.id), accepted_job, revision);
    }
    let mut cluster = TestCluster::new(cache, 2);
    cluster.run_rounds(3);
    assert!(
        cluster.active_tasks().is_empty(),
        "neither a part of the gang nor the job after it should start"
    );
    let demanded: u32 = cluster
        .leader
        .pending_demand
        .iter()
        .filter(|demand| demand.spec.id == spec.id)
        .map(|demand| demand.count)
        .sum();
    assert_eq!(demanded, 3, "machines should be rented for the whole gang");
}

// The team's limit leaves CPUs for two of the gang's three tasks: none starts.
#[test]
fn a_gang_that_does_not_fit_in_its_team_limit_starts_nothing() {
    let (urgent, spec) = (
        job_spec("wk-1", 1, |fields| fields["rank"] = "urgent".into()),
        gang("wk-2", 3, |_| {}),
    );
    let cache = store_cache(6, &[&urgent, &spec]);
    let mut leader =
        Leader::new(&settings_with(&[("cpus_max = 400.0", "cpus_max = 12.0")]).expect("settings"));
    let members = [("a".to_string(), 7)].into_iter().collect();
    leader.start_epoch(
        &Epoch {
            number: EPOCH,
            members,
            leader: "a".into(),
            uses_shard_map: false,
        },
        7,
        &cache,
    );
    let mut shard = new_shard(&cache);
    for machine in 1..=6 {
        reconcile_machine(&mut shard, &cache, machine, 0.2);
    }
    assert!(leader.apply_shard_report(shard.next_report(&cache, 0.3), &cache, 0.3));
    leader.reconcile(&cache, &|_| false);
    leader.assign_tasks(&cache, 0.5, || true);
    let new_assignments = leader.orders("a").expect("orders").assignments;
    let assigned: Vec<(&str, usize)> = new_assignments
        .iter()
        .map(|assignment| (&*assignment.job, assignment.tasks.len()))
        .collect();
    assert_eq!(assigned, [("wk-1", 1)]);
}

// A worker refuses one task of a gang. The task never had its image, so that the gang can't
// have run, and the other tasks wait for a replacement under the same attempt. The shard
// reports again and again that the refused task was removed. The leader must not apply these
// reports to the replacement.
#[test]
fn a_refused_task_is_replaced_under_the_same_attempt_and_a_stale_report_frees_nothing() {
    let spec = gang("wk-1", 3, |_| {});
    let mut cluster = TestCluster::new(store_cache(4, &[&spec]), 4);
    cluster.run_round();
    let attempt = cluster.shared_attempt(3);
    let refusing_machine = cluster.active_tasks()[0].0;
    cluster.reported[refusing_machine]
        .values_mut()
        .for_each(|task| (task.1, task.2) = (TaskState::Ended, Some("no_room")));
    cluster.run_round();
    let report = cluster.shard.next_report(&cluster.cache, cluster.now);
    let removed = report.removed.clone();
    assert_eq!(
        removed.len(),
        1,
        "the refused task should be reported as removed"
    );
    cluster.run_rounds(3);
    assert_eq!(cluster.shared_attempt(3), attempt);
    assert!(
        cluster
            .active_tasks()
            .iter()
            .all(|task| task.0 != refusing_machine),
        "the replacement should be on another machine"
    );
    // The removal of the first assignment is reported once more.
    let mut repeated_report = cluster.shard.next_report(&cluster.cache, cluster.now);
    repeated_report.removed = removed;
    assert!(cluster
        .leader
        .apply_shard_report(repeated_report, &cluster.cache, cluster.now));
    cluster
        .leader
        .assign_tasks(&cluster.cache, cluster.now, || true);
    let new_assignments = cluster.leader.orders("a").expect("orders").assignments;
    assert!(
        new_assignments.is_empty(),
        "the replacement was treated as removed: {new_assignments:?}"
    );
}

#[test]
fn a_running_gang_that_loses_a_task_is_stopped_and_restarts_when_all_are_removed() {
    let spec = gang("wk-1", 2, |_| {});
    let mut cluster = TestCluster::new(store_cache(4, &[&spec]), 4);
    cluster.run_round();
    let first = cluster.shared_attempt(2);
    cluster.set_all_tasks(TaskState::Running, None);
    cluster.run_round();
    // One task ends because it lost a peer; the other has not noticed yet.
    let (machine, other_machine) = (cluster.active_tasks()[0].0, cluster.active_tasks()[1].0);
    cluster.reported[machine]
        .values_mut()
        .for_each(|task| (task.1, task.2) = (TaskState::Ended, Some("peers")));
    cluster.run_rounds(2);
    let active_tasks = cluster.active_tasks();
    assert!(
        active_tasks
            .iter()
            .all(|task| task.1 == first || !active_tasks.iter().any(|other| other.1 == first)),
        "tasks of a new attempt run beside the old one: {active_tasks:?}"
    );
    cluster.run_rounds(4);
    let second = cluster.shared_attempt(2);
    assert!(
        second > first,
        "the gang should restart under a new attempt"
    );
    assert!(cluster.reported[other_machine]
        .values()
        .all(|task| task.1 == TaskState::Ended || task.0 == second));
    // The cause `peers` indicates a fault of neither the machines nor the job.
    let report = cluster.shard.next_report(&cluster.cache, cluster.now);
    assert!(!report.machines.iter().any(|machine| machine.faulty));
}

// The lost task may have obtained its image just before it was lost, so that the gang may have
// run: the other tasks don't wait for a replacement.
#[test]
fn a_gathering_gang_that_loses_a_task_starts_a_new_attempt() {
    let spec = gang("wk-1", 2, |_| {});
    let mut cluster = TestCluster::new(store_cache(4, &[&spec]), 4);
    cluster.run_rounds(2);
    let first = cluster.shared_attempt(2);
    let machine = cluster.active_tasks()[1].0;
    cluster.reported[machine].clear();
    cluster.run_rounds(8);
    assert!(cluster.shared_attempt(2) > first);
}

// A task is refused on a machine that is about to be reclaimed. The zone of the gang has no
// other free capacity, while the other zone has some.
#[test]
fn a_refused_task_of_a_one_zone_gang_is_not_replaced_in_another_zone() {
    let spec = gang("wk-1", 2, |fields| fields["one_zone"] = true.into());
    let mut cluster = TestCluster::new(store_cache(3, &[&spec]), 3);
    cluster.run_round();
    cluster.shared_attempt(2);
    for task in cluster.reported[2].values_mut() {
        (task.1, task.2) = (TaskState::Ended, Some("no_room"));
    }
    cluster.send_reclaim_notice(2);
    for _ in 0..20 {
        cluster.run_round();
        assert!(
            cluster.reported[1].is_empty(),
            "a task was started in the other zone: {:?}",
            cluster.reported
        );
    }
}

#[test]
fn a_gang_is_done_as_soon_as_one_task_is_done() {
    let spec = gang("wk-1", 3, |_| {});
    let mut cluster = TestCluster::new(store_cache(3, &[&spec]), 3);
    cluster.run_round();
    cluster.set_all_tasks(TaskState::Running, None);
    cluster.run_round();
    let machine = cluster.active_tasks()[0].0;
    cluster.reported[machine]
        .values_mut()
        .for_each(|task| (task.1, task.2) = (TaskState::Ended, Some("done")));
    cluster.run_round();
    cluster.run_round();
    let commits = cluster
        .leader
        .completions_to_commit(cluster.now, 9, &cluster.cache);
    assert_eq!(
        commits
            .iter()
            .map(|commit| commit.tasks.len())
            .collect::<Vec<_>>(),
        [3],
        "all tasks should be committed at once"
    );
}

// A machine is about to be reclaimed: all tasks of the gang are commanded to save in the same
// round, including those that have started only recently.
#[test]
fn a_reclaim_notice_stops_the_whole_gang_with_time_to_save() {
    let spec = gang("wk-1", 2, |_| {});
    let mut cluster = TestCluster::new(store_cache(3, &[&spec]), 3);
    cluster.run_round();
    cluster.set_all_tasks(TaskState::Running, None);
    cluster.run_round();
    let machine = cluster.active_tasks()[0].0;
    cluster.send_reclaim_notice(machine);
    cluster
        .shard
        .stop_tasks_before_reclaim(&cluster.cache, cluster.now);
    assert!(
        cluster.send_reclaim_notice(machine).is_empty(),
        "the shard should stop no task of a gang by itself"
    );
    cluster.run_round();
    let graces: Vec<f64> = cluster
        .commands
        .iter()
        .filter_map(|(_, command)| match command {
            Command::Stop { grace_s, .. } => Some(*grace_s),
            _ => None,
        })
        .collect();
    assert_eq!(graces, [3.0, 3.0]);
}

#[test]
fn a_cancelled_gathering_gang_is_stopped_at_once() {
    let spec = gang("wk-1", 2, |_| {});
    let mut cluster = TestCluster::new(store_cache(2, &[&spec]), 2);
    cluster.run_round();
    cluster.shared_attempt(2);
    cluster.cache.put("fw/j/wk-1", job_record(&spec, true), 500);
    cluster.leader.job_changed(&"wk-1".into(), &cluster.cache);
    cluster.shard.job_changed(&"wk-1".into(), &cluster.cache);
    cluster.run_round();
    assert!(cluster.active_tasks().is_empty());
}

// A new leader finds one of two tasks. Whether the other one has run is unknown, so that the
// whole gang may have run: the attempt is withdrawn, and the next has a new number.
#[test]
fn a_new_leader_withdraws_an_attempt_with_a_missing_task() {
    check_takeover_of_a_gang_with_a_missing_task(7);
}

// The machines have a new owner as well. It does not report the missing task as removed: the
// task is only confirmed to run on no machine. The attempt may have run.
#[test]
fn a_task_confirmed_to_run_on_no_machine_ends_the_attempt() {
    check_takeover_of_a_gang_with_a_missing_task(8);
}

/// Loses one of a gang's two tasks as the next epoch starts with a new leader, and checks that
/// the gang restarts under a new attempt.
fn check_takeover_of_a_gang_with_a_missing_task(incarnation: u64) {
    let spec = gang("wk-1", 2, |_| {});
    let mut cluster = TestCluster::new(store_cache(3, &[&spec]), 3);
    cluster.run_rounds(2);
    let first = cluster.shared_attempt(2);
    let machine = cluster.active_tasks()[1].0;
    cluster.reported[machine].clear();
    cluster.start_next_epoch(incarnation);
    for _ in 0..12 {
        cluster.run_round();
        let attempts: BTreeSet<u64> = cluster.active_tasks().iter().map(|task| task.1).collect();
        assert!(attempts.len() <= 1, "{attempts:?}");
    }
    assert!(cluster.shared_attempt(2) > first);
}

// A shard that is full by the time its orders arrive can't start its task. An attempt that
// stays incomplete for a fraction of `gang_wait_s`, the time that tasks wait for each other, is
// withdrawn.
#[test]
fn a_gang_that_stays_incomplete_is_withdrawn_and_frees_its_capacity() {
    let spec = gang("wk-1", 2, |_| {});
    let mut cluster = TestCluster::new(store_cache(2, &[&spec]), 2);
    cluster.run_round();
    cluster.shared_attempt(2);
    cluster.now += 1.0;
    let refusing_machine = cluster.active_tasks()[1].0;
    cluster.reported[refusing_machine]
        .values_mut()
        .for_each(|task| (task.1, task.2) = (TaskState::Ended, Some("no_room")));
    // From now on that machine refuses every task.
    let gang_wait_s = settings_with(&[])
        .expect("settings")
        .params
        .workers
        .gang_wait_s;
    let deadline = cluster.now + gang_wait_s / 2.0;
    let mut withdrawn = false;
    while cluster.now < deadline {
        cluster.run_round();
        for task in cluster.reported[refusing_machine]
            .values_mut()
            .filter(|task| task.1 == TaskState::Gathering)
        {
            (task.1, task.2) = (TaskState::Ended, Some("no_room"));
        }
        withdrawn |= cluster.active_tasks().is_empty();
    }
    assert!(withdrawn, "the first task should have released its machine");
}

#[test]
fn gangs_wait_until_every_controller_supports_them() {
    let spec = gang("wk-1", 2, |_| {});
    let mut cluster = TestCluster::new(store_cache(2, &[&spec]), 2);
    let put_member = |revision: u64, value: Value, cache: &mut StoreCache| {
        drop(cache.put("fw/m/b", value, revision))
    };
    put_member(600, json!({"inc": 4}), &mut cluster.cache);
    assert!(
        !cluster.cache.all_members_support_gangs(),
        "a member of the previous version does not support gangs"
    );
    cluster
        .leader
        .set_gangs_allowed(cluster.cache.all_members_support_gangs());
    cluster.run_rounds(2);
    assert!(cluster.active_tasks().is_empty());
    put_member(
        601,
        json!(finchwood::store::records::MemberRecord::of_this_version(5)),
        &mut cluster.cache,
    );
    cluster
        .leader
        .set_gangs_allowed(cluster.cache.all_members_support_gangs());
    cluster.run_rounds(2);
    cluster.shared_attempt(2);
    // The member's process is restarted with the previous version.
    put_member(602, json!({"inc": 6}), &mut cluster.cache);
    assert!(!cluster.cache.all_members_support_gangs());
}

// A task in a state that is unknown to this version still counts as running on its machine.
#[test]
fn a_task_in_an_unknown_state_stays_on_its_machine() {
    let spec = gang("wk-1", 2, |_| {});
    let mut cluster = TestCluster::new(store_cache(4, &[&spec]), 4);
    cluster.run_round();
    let first = cluster.shared_attempt(2);
    cluster.set_all_tasks(TaskState::Other, None);
    cluster.run_rounds(2);
    assert_eq!(cluster.shared_attempt(2), first);
    let report = cluster.shard.next_report(&cluster.cache, cluster.now);
    assert!(report
        .assigned
        .iter()
        .all(|assigned| assigned.phase == TaskPhase::Running));
}

#[test]
fn an_unknown_cause_ends_the_attempt_and_is_no_machine_fault() {
    let spec = gang("wk-1", 2, |_| {});
    let mut cluster = TestCluster::new(store_cache(4, &[&spec]), 4);
    cluster.run_rounds(2);
    let first = cluster.shared_attempt(2);
    let machine = cluster.active_tasks()[0].0;
    cluster.reported[machine]
        .values_mut()
        .for_each(|task| (task.1, task.2) = (TaskState::Ended, Some("weather")));
    cluster.run_rounds(6);
    assert!(cluster.shared_attempt(2) > first);
    assert!(!cluster
        .shard
        .next_report(&cluster.cache, cluster.now)
        .machines
        .iter()
        .any(|machine| machine.faulty));
}

#[test]
fn orders_of_a_version_without_gangs_are_accepted() {
    // Such orders contain no assignment numbers: the attempt serves as the assignment number.
    let spec = gang("wk-1", 2, |_| {});
    let cache = store_cache(2, &[&spec]);
    let mut shard = new_shard(&cache);
    for machine in 1..=2 {
        reconcile_machine(&mut shard, &cache, machine, 0.2);
    }
    let job_assignments = assignments("wk-1", &[(0, 50), (1, 50)]);
    shard.apply_orders(
        &Orders {
            ..orders(1, job_assignments)
        },
        &cache,
        0.4,
    );
    place_tasks(&mut shard, &cache, 0.5);
    let assigned = shard.next_report(&cache, 0.6).assigned;
    assert_eq!(
        assigned
            .iter()
            .map(|task| (task.attempt, task.assignment))
            .collect::<Vec<_>>(),
        [(50, 50), (50, 50)]
    );
    let accepted_job: JobRecord =
        serde_json::from_value(job_record(&spec, false)).expect("a record");
    assert!(accepted_job.spec.is_some());
}
