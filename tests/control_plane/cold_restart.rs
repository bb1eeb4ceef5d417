//! Tests of a cold restart, on the real leader and shard driven directly. A new owner and a
//! new leader, which have no state, take over machines that have been in use: one small case
//! for each way in which stored records and heartbeats can disagree.

use crate::builders::*;
use finchwood::cluster::membership::{token, token_epoch};
use finchwood::scheduler::Leader;
use finchwood::shard::{HeartbeatReply, Shard};
use finchwood::store::cache::StoreCache;
use finchwood::store::records::Epoch;
use finchwood::store::KeyValue;
use finchwood::wire::{Command, JobSpec, TaskState};
use finchwood_reconciliation::verdict::{
    AdoptReason, ConflictReason, StopReason, UnreconciledReason, Verdict,
};
use finchwood_types::token::attempt;
use serde_json::{json, Value};
use std::sync::Arc;

const RUNNING: TaskState = TaskState::Running;
const ENDED: TaskState = TaskState::Ended;
/// An attempt of the epoch before the crash.
const OLD_ATTEMPT: u64 = (EPOCH - 1) << 24 | 5;

/// Returns a leader and a shard that have just restarted and have no state.
fn restarted_leader_and_shard(cache: &StoreCache) -> (Leader, Shard) {
    let mut shard = Shard::new("a", TIMING, Default::default());
    shard.set_restart_record_limit(100);
    shard.start_epoch(EPOCH, 7, cache, 0.0, |_| true);
    (new_leader(cache), shard)
}

/// Sends two heartbeats of a machine with `tasks`, the first with an old token and the second
/// with the token of the new owner's reply. Returns the commands in the second reply.
fn report_until_reconciled(
    shard: &mut Shard,
    cache: &StoreCache,
    machine: usize,
    tasks: &[ReportedTask],
    now: f64,
) -> Vec<Command> {
    let old_token = token(EPOCH - 1, 3);
    let (new_token, commands) = accepted(shard.apply_heartbeat(
        &heartbeat_from(machine, 1, 5, old_token, tasks),
        false,
        cache,
        now,
    ));
    assert!(
        token_epoch(new_token) == EPOCH,
        "the reply should have a token of the new owner"
    );
    assert!(
        !commands
            .iter()
            .any(|command| matches!(command, Command::Start { .. })),
        "no task may start on an unreconciled machine"
    );
    accepted(shard.apply_heartbeat(
        &heartbeat_from(machine, 1, 6, new_token, tasks),
        false,
        cache,
        now + 0.1,
    ))
    .1
}

/// Runs a round of the leader, and returns the tasks that it has assigned and the shard has not
/// reported yet.
fn newly_assigned_tasks(
    leader: &mut Leader,
    shard: &mut Shard,
    cache: &StoreCache,
    now: f64,
) -> Vec<(Arc<str>, u32)> {
    leader.apply_shard_report(shard.next_report(cache, now), cache, now);
    leader.reconcile(cache, &|_| false);
    leader.assign_tasks(cache, now, || true);
    let orders = leader.orders("a").expect("orders");
    orders
        .assignments
        .iter()
        .flat_map(|assignment| {
            assignment
                .tasks
                .iter()
                .map(|task| (assignment.job.clone(), task.0))
        })
        .collect()
}

fn recorded_verdicts(shard: &mut Shard) -> Vec<(String, Verdict)> {
    shard
        .restart_record(1.0)
        .entries
        .iter()
        .map(|entry| (entry.task.clone(), entry.verdict))
        .collect()
}

fn job(id: &str, tasks: u32) -> Arc<JobSpec> {
    job_spec(id, tasks, |_| {})
}

#[test]
fn running_tasks_are_adopted_without_any_command() {
    let (service, batch) = (
        job_spec("wk-1", 2, |fields| fields["shape"] = json!("standing")),
        job("wk-2", 2),
    );
    let cache = store_cache(2, &[&service, &batch]);
    let (mut leader, mut shard) = restarted_leader_and_shard(&cache);
    assert!(
        newly_assigned_tasks(&mut leader, &mut shard, &cache, 0.0).is_empty(),
        "all tasks may run on some machine"
    );
    let first = [
        ("wk-1/0", OLD_ATTEMPT, RUNNING, None),
        ("wk-2/0", OLD_ATTEMPT, RUNNING, None),
    ];
    assert_eq!(
        report_until_reconciled(&mut shard, &cache, 1, &first, 0.1),
        []
    );
    assert!(
        newly_assigned_tasks(&mut leader, &mut shard, &cache, 0.3).is_empty(),
        "the other tasks may run on the other machine"
    );
    let second = [
        ("wk-1/1", OLD_ATTEMPT, RUNNING, None),
        ("wk-2/1", OLD_ATTEMPT, TaskState::Fetching, None),
    ];
    assert_eq!(
        report_until_reconciled(&mut shard, &cache, 2, &second, 0.4),
        []
    );
    assert!(
        newly_assigned_tasks(&mut leader, &mut shard, &cache, 0.6).is_empty(),
        "all tasks were found"
    );
    assert!(leader.is_reconciled());
    let record = shard.restart_record(1.0);
    assert_eq!(
        record
            .verdicts
            .iter()
            .map(|counted| (counted.verdict, counted.count))
            .collect::<Vec<_>>(),
        [(Verdict::Adopt(AdoptReason::Runs), 4)]
    );
    assert_eq!(
        (
            record.commands.starts,
            record.commands.forgets,
            record.commands.stops.values().sum::<u64>()
        ),
        (0, 0, 0)
    );
    assert!(record.reconciled_after_s.is_some());
}

#[test]
fn only_tasks_that_the_store_records_as_finished_or_cancelled_are_stopped() {
    let (half_finished, cancelled, done) = (job("wk-1", 2), job("wk-2", 1), job("wk-3", 1));
    let mut cache = store_cache(1, &[&half_finished, &cancelled, &done]);
    cache.put("fw/f/wk-1/0", json!("1"), 200);
    cache.put("fw/j/wk-2", job_record(&cancelled, true), 201);
    let done_record = json!({"e": 1, "t": 0, "n": 1, "d": true});
    cache.put("fw/j/wk-3", done_record, 202);
    let (_, mut shard) = restarted_leader_and_shard(&cache);
    let tasks =
        ["wk-1/0", "wk-1/1", "wk-2/0", "wk-3/0"].map(|task| (task, OLD_ATTEMPT, RUNNING, None));
    let commands = report_until_reconciled(&mut shard, &cache, 1, &tasks, 0.1);
    let stop = |task: &str| Command::Stop {
        task: task.into(),
        attempt: OLD_ATTEMPT,
        grace_s: 0.0,
    };
    assert_eq!(commands, [stop("wk-1/0"), stop("wk-2/0"), stop("wk-3/0")]);
    let reasons = [
        StopReason::TaskFinished,
        StopReason::JobCancelled,
        StopReason::JobDone,
    ];
    let stopped: Vec<Verdict> = recorded_verdicts(&mut shard)
        .into_iter()
        .map(|(_, verdict)| verdict)
        .filter(|verdict| matches!(verdict, Verdict::Stop(_)))
        .collect();
    assert_eq!(stopped, reasons.map(Verdict::Stop));
}

#[test]
fn a_result_is_committed_before_its_worker_may_forget_it() {
    let spec = job("wk-1", 2);
    let mut cache = store_cache(1, &[&spec]);
    let (mut leader, mut shard) = restarted_leader_and_shard(&cache);
    let ended = [
        ("wk-1/0", OLD_ATTEMPT, ENDED, Some("done")),
        ("wk-1/1", OLD_ATTEMPT, ENDED, Some("error")),
    ];
    let commands = report_until_reconciled(&mut shard, &cache, 1, &ended, 0.1);
    assert_eq!(
        commands,
        [Command::Forget {
            task: "wk-1/1".into(),
            attempt: OLD_ATTEMPT
        }],
        "the worker may forget only the task without a result"
    );
    assert_eq!(
        newly_assigned_tasks(&mut leader, &mut shard, &cache, 0.3),
        [("wk-1".into(), 1)]
    );
    let commits = leader.completions_to_commit(1.0, 9, &cache);
    assert_eq!(
        commits
            .iter()
            .map(|commit| commit.tasks.clone())
            .collect::<Vec<_>>(),
        [vec![0]]
    );
    cache.put("fw/f/wk-1/0", json!("1"), 300);
    shard.job_changed(&"wk-1".into(), &cache);
    let heartbeat = heartbeat_from(1, 1, 9, token(EPOCH, 1 << 10), &ended);
    let (_, commands) = accepted(shard.apply_heartbeat(&heartbeat, false, &cache, 1.0));
    assert!(commands.contains(&Command::Forget {
        task: "wk-1/0".into(),
        attempt: OLD_ATTEMPT
    }));
}

#[test]
fn a_silent_worker_blocks_its_task_until_its_lease_expires_and_returns_without_tasks() {
    let spec = job("wk-1", 1);
    let cache = store_cache(2, &[&spec]);
    let (mut leader, mut shard) = restarted_leader_and_shard(&cache);
    report_until_reconciled(&mut shard, &cache, 1, &[], 0.1);
    // The other worker has sent one heartbeat, but none that carries the new owner's token.
    let heartbeat = heartbeat_from(
        2,
        1,
        5,
        token(EPOCH - 1, 3),
        &[("wk-1/0", OLD_ATTEMPT, RUNNING, None)],
    );
    accepted(shard.apply_heartbeat(&heartbeat, false, &cache, 0.2));
    for now in [9.0, 18.0, 27.0] {
        report_empty(&mut shard, &cache, 1, now);
    }
    shard.expire_leases(27.0);
    assert!(
        newly_assigned_tasks(&mut leader, &mut shard, &cache, 27.0).is_empty(),
        "the task may run on the silent machine"
    );
    // A controller that is alive but left out of the epoch may have replied to the worker until
    // its own member lease expired.
    shard.expire_leases(29.0);
    report_empty(&mut shard, &cache, 1, 29.1);
    assert_eq!(
        newly_assigned_tasks(&mut leader, &mut shard, &cache, 29.2),
        [("wk-1".into(), 0)]
    );
    let late_heartbeat = heartbeat_from(
        2,
        1,
        90,
        token(EPOCH - 1, 3),
        &[("wk-1/0", OLD_ATTEMPT, RUNNING, None)],
    );
    assert_eq!(
        shard.apply_heartbeat(&late_heartbeat, false, &cache, 29.3),
        HeartbeatReply::Refused,
        "the session has expired"
    );
    let (new_token, _) =
        accepted(shard.apply_heartbeat(&heartbeat_from(2, 2, 1, 0, &[]), false, &cache, 29.4));
    let (_, commands) = accepted(shard.apply_heartbeat(
        &heartbeat_from(2, 2, 2, new_token, &[]),
        false,
        &cache,
        29.5,
    ));
    assert_eq!(commands, []);
}

#[test]
fn a_machine_with_an_expired_lease_is_probed_before_its_heartbeats_count() {
    let spec = job("wk-1", 1);
    let cache = store_cache(1, &[&spec]);
    let (mut leader, mut shard) = restarted_leader_and_shard(&cache);
    shard.expire_leases(29.0);
    // A copy of a heartbeat from before the crash, of a session that this owner has not seen.
    let copy = heartbeat_from(
        1,
        1,
        5,
        token(EPOCH - 1, 3),
        &[("wk-1/0", OLD_ATTEMPT, RUNNING, None)],
    );
    let (_, commands) = accepted(shard.apply_heartbeat(&copy, false, &cache, 29.1));
    assert_eq!(
        (commands, recorded_verdicts(&mut shard)),
        (Vec::new(), Vec::new())
    );
    assert!(
        newly_assigned_tasks(&mut leader, &mut shard, &cache, 29.2).is_empty(),
        "the machine is unreconciled until it responds"
    );
    assert_eq!(
        shard.due_commands(&cache, 29.3).len(),
        1,
        "the machine should be probed"
    );
}

/// Sends a heartbeat of a machine without tasks, with a token that its new owner has issued.
fn report_empty(shard: &mut Shard, cache: &StoreCache, machine: usize, now: f64) {
    let issued_token = token(EPOCH, (1 << 10) + 2 * now as u64);
    accepted(shard.apply_heartbeat(
        &heartbeat_from(machine, 1, 10 + now as u64, issued_token, &[]),
        false,
        cache,
        now,
    ));
}

#[test]
fn a_machine_that_never_reports_delays_only_tasks_that_may_be_on_it() {
    let job_in_e = job_spec("wk-1", 1, |fields| fields["grove"] = json!("e"));
    let job_in_w = job_spec("wk-2", 1, |fields| fields["grove"] = json!("w"));
    let cache = store_cache(2, &[&job_in_e, &job_in_w]);
    let (mut leader, mut shard) = restarted_leader_and_shard(&cache);
    report_until_reconciled(&mut shard, &cache, 1, &[], 0.1);
    assert_eq!(
        newly_assigned_tasks(&mut leader, &mut shard, &cache, 0.3),
        [("wk-1".into(), 0)],
        "the silent machine m-2 is in zone w"
    );
}

#[test]
fn an_old_heartbeat_adopts_nothing_and_proves_nothing() {
    let spec = job("wk-1", 1);
    let cache = store_cache(1, &[&spec]);
    let (mut leader, mut shard) = restarted_leader_and_shard(&cache);
    // The heartbeat is from before the crash; its machine has started a new session since.
    let old_heartbeat = heartbeat_from(
        1,
        1,
        5,
        token(EPOCH - 1, 3),
        &[("wk-1/0", OLD_ATTEMPT, RUNNING, None)],
    );
    accepted(shard.apply_heartbeat(&old_heartbeat, false, &cache, 0.1));
    assert!(recorded_verdicts(&mut shard).is_empty());
    assert!(newly_assigned_tasks(&mut leader, &mut shard, &cache, 0.2).is_empty());
    let (new_token, _) =
        accepted(shard.apply_heartbeat(&heartbeat_from(1, 2, 1, 0, &[]), false, &cache, 0.3));
    assert!(
        newly_assigned_tasks(&mut leader, &mut shard, &cache, 0.4).is_empty(),
        "a start that is in flight could still arrive"
    );
    accepted(shard.apply_heartbeat(&heartbeat_from(1, 2, 2, new_token, &[]), false, &cache, 0.5));
    assert_eq!(
        newly_assigned_tasks(&mut leader, &mut shard, &cache, 0.6),
        [("wk-1".into(), 0)]
    );
}

/// Whether a machine is told to stop the only task under this attempt, in a reply or directly.
fn is_told_to_stop(
    shard: &mut Shard,
    cache: &StoreCache,
    machine: usize,
    attempt: u64,
    now: f64,
) -> bool {
    let id = format!("m-{machine}");
    let stop = Command::Stop {
        task: "wk-1/0".into(),
        attempt,
        grace_s: 0.0,
    };
    let direct = shard.due_commands(cache, now);
    let mut to_machine = direct.iter().filter(|direct| *direct.machine == *id);
    to_machine.any(|direct| direct.body.commands.contains(&stop))
}

#[test]
fn of_a_task_on_two_machines_the_earlier_attempt_is_stopped_whichever_is_reported_first() {
    let (earlier, later) = (OLD_ATTEMPT, OLD_ATTEMPT + 1);
    for (on_first, on_second) in [(earlier, later), (later, earlier), (later, later)] {
        let spec = job("wk-1", 1);
        let cache = store_cache(2, &[&spec]);
        let (mut leader, mut shard) = restarted_leader_and_shard(&cache);
        let first = [("wk-1/0", on_first, RUNNING, None)];
        let second = [("wk-1/0", on_second, RUNNING, None)];
        let mut commands = report_until_reconciled(&mut shard, &cache, 1, &first, 0.1);
        commands.extend(report_until_reconciled(&mut shard, &cache, 2, &second, 0.3));
        let (stays, surplus) = match on_second > on_first {
            true => (2, 1),
            false => (1, 2),
        };
        let case = format!("attempts {on_first}, {on_second}");
        let stop = Command::Stop {
            task: "wk-1/0".into(),
            attempt: on_first.min(on_second),
            grace_s: 0.0,
        };
        assert!(
            commands == [stop]
                || commands.is_empty()
                    && is_told_to_stop(&mut shard, &cache, surplus, on_first, 0.5),
            "{case}: {commands:?}"
        );
        assert!(newly_assigned_tasks(&mut leader, &mut shard, &cache, 0.5).is_empty());
        let report = shard.next_report(&cache, 0.6);
        assert!(report.removed.is_empty(), "{case}");
        // Each machine reports once more: the conflict is on record.
        let machine = surplus;
        let tasks = if surplus == 1 { &first } else { &second };
        accepted(shard.apply_heartbeat(
            &heartbeat_from(machine, 1, 7, token(EPOCH, 0), tasks),
            false,
            &cache,
            0.7,
        ));
        let conflict = Verdict::Conflict(ConflictReason::RunsTwice);
        assert!(recorded_verdicts(&mut shard).contains(&("wk-1/0".into(), conflict)));
        // The later attempt goes on: its machine gets no stop.
        let tasks = if stays == 1 { &first } else { &second };
        let (_, commands) = accepted(shard.apply_heartbeat(
            &heartbeat_from(stays, 1, 8, token(EPOCH, 0), tasks),
            false,
            &cache,
            0.8,
        ));
        assert_eq!(commands, [], "{case}");
    }
}

#[test]
fn an_attempt_of_a_far_later_epoch_runs_on_and_blocks_no_later_start() {
    let spec = job("wk-1", 1);
    let cache = store_cache(2, &[&spec]);
    let (mut leader, mut shard) = restarted_leader_and_shard(&cache);
    report_until_reconciled(&mut shard, &cache, 2, &[], 0.1);
    let later_attempt = attempt(EPOCH + 1_000_000, 1);
    assert_eq!(
        report_until_reconciled(
            &mut shard,
            &cache,
            1,
            &[("wk-1/0", later_attempt, RUNNING, None)],
            0.1
        ),
        []
    );
    assert_eq!(
        recorded_verdicts(&mut shard)[0].1,
        Verdict::Adopt(AdoptReason::AttemptOfLaterEpoch)
    );
    assert!(newly_assigned_tasks(&mut leader, &mut shard, &cache, 0.3).is_empty());
    // The task fails. The next attempt has a lower number, and is accepted all the same.
    let heartbeat = heartbeat_from(
        1,
        1,
        9,
        token(EPOCH, 1 << 10),
        &[("wk-1/0", later_attempt, ENDED, Some("error"))],
    );
    accepted(shard.apply_heartbeat(&heartbeat, false, &cache, 1.0));
    assert_eq!(
        newly_assigned_tasks(&mut leader, &mut shard, &cache, 1.1),
        [("wk-1".into(), 0)]
    );
    let orders = leader.orders("a").expect("orders");
    shard.apply_orders(&orders, &cache, 1.2);
    assert_eq!(
        shard.next_report(&cache, 1.3).assigned.len(),
        1,
        "the task should be assigned to the shard again"
    );
}

#[test]
fn unknown_tasks_are_left_unreconciled_and_are_not_committed() {
    let spec = job("wk-1", 2);
    let cache = store_cache(1, &[&spec]);
    let (mut leader, mut shard) = restarted_leader_and_shard(&cache);
    let tasks = [
        ("wk-1/0", OLD_ATTEMPT, ENDED, Some("done")),
        ("wk-1/7", OLD_ATTEMPT, ENDED, Some("done")),
        ("wk-9/0", OLD_ATTEMPT, RUNNING, None),
    ];
    assert_eq!(
        report_until_reconciled(&mut shard, &cache, 1, &tasks, 0.1),
        []
    );
    let unreconciled = [
        ("wk-1/7", UnreconciledReason::NoSuchTask),
        ("wk-9/0", UnreconciledReason::UnknownJob),
    ];
    for (task, reason) in unreconciled {
        assert!(
            recorded_verdicts(&mut shard)
                .contains(&(task.into(), Verdict::LeaveUnreconciled(reason))),
            "{task}"
        );
    }
    newly_assigned_tasks(&mut leader, &mut shard, &cache, 0.3);
    let commits = leader.completions_to_commit(1.0, 9, &cache);
    assert_eq!(commits.len(), 1);
    assert_eq!(
        commits[0].tasks,
        [0],
        "a task that the job doesn't have should not be committed"
    );
    // A reclaim notice for a time in the past is ignored as well.
    let mut heartbeat = heartbeat_from(1, 1, 9, token(EPOCH, 1 << 10), &tasks);
    heartbeat.reclaimed_in_s = Some(-5.0);
    accepted(shard.apply_heartbeat(&heartbeat, false, &cache, 1.0));
    assert!(!shard
        .next_report(&cache, 1.0)
        .machines
        .iter()
        .any(|machine| machine.reclaim_notice));
}

#[test]
fn a_team_whose_limit_may_be_used_up_by_unreconciled_tasks_gets_nothing_more() {
    let (job_in_w, job_in_e) = (
        job_spec("wk-1", 1, |fields| fields["grove"] = json!("w")),
        job_spec("wk-2", 1, |fields| fields["grove"] = json!("e")),
    );
    let mut cache = store_cache(2, &[&job_in_w]);
    let mut new_job_record = job_record(&job_in_e, false);
    new_job_record["e"] = json!(EPOCH);
    cache.put("fw/j/wk-2", new_job_record, 300);
    let mut leader =
        Leader::new(&settings_with(&[("cpus_max = 400.0", "cpus_max = 2.0")]).expect("settings"));
    let epoch = Epoch {
        number: EPOCH,
        members: [("a".to_string(), 7)].into_iter().collect(),
        leader: "a".into(),
        uses_shard_map: false,
    };
    assert!(
        !leader.start_epoch(&epoch, 7, &cache),
        "a new leader has no state to keep"
    );
    let mut shard = Shard::new("a", TIMING, Default::default());
    shard.start_epoch(EPOCH, 7, &cache, 0.0, |_| true);
    report_until_reconciled(&mut shard, &cache, 1, &[], 0.1);
    assert!(
        newly_assigned_tasks(&mut leader, &mut shard, &cache, 0.3).is_empty(),
        "the limit may be used up by a task on m-2"
    );
    report_until_reconciled(&mut shard, &cache, 2, &[], 0.4);
    let newly_assigned = newly_assigned_tasks(&mut leader, &mut shard, &cache, 0.6);
    assert_eq!(
        newly_assigned.len(),
        1,
        "one of the two tasks should be assigned: {newly_assigned:?}"
    );
}

// An invalid page of the machine registry hides its machines. Tasks that may run there wait
// until each of these machines has sent a heartbeat or its lease has expired.
#[test]
fn an_invalid_registry_page_frees_no_task_before_all_leases_have_expired() {
    let spec = job("wk-1", 2);
    let mut earlier_cache = store_cache(2, &[&spec]);
    earlier_cache.put("fw/r/m-2", json!("scribble"), 400);
    let mut cache = StoreCache::new(8.0);
    for (key, value) in [
        ("fw/j/wk-1", job_record(&spec, false)),
        ("fw/r/m-2", json!("scribble")),
    ] {
        cache.put(key, value, 400);
    }
    assert!(
        earlier_cache.registry.contains_key("m-2"),
        "machines that were cached before should stay in the cache"
    );
    assert!(cache.invalid_records.contains_registry_page() && cache.registry.is_empty());
    cache.put(
        "fw/c",
        serde_json::to_value(earlier_cache.catalog.as_deref()).expect("json"),
        1,
    );
    cache.put(
        "fw/r/m-1",
        json!({"b": "k", "z": "e", "s": false, "u": true}),
        2,
    );
    let (mut leader, mut shard) = restarted_leader_and_shard(&cache);
    report_until_reconciled(&mut shard, &cache, 1, &[], 0.1);
    for now in [0.3, 10.0, 19.0, 27.0] {
        report_empty(&mut shard, &cache, 1, now);
        assert!(
            newly_assigned_tasks(&mut leader, &mut shard, &cache, now).is_empty(),
            "a task was assigned at {now} s"
        );
    }
    // The hidden machine sends a heartbeat by itself, with one of the two tasks.
    assert_eq!(
        report_until_reconciled(
            &mut shard,
            &cache,
            2,
            &[("wk-1/0", OLD_ATTEMPT, RUNNING, None)],
            27.5
        ),
        []
    );
    accepted(shard.apply_heartbeat(
        &heartbeat_from(1, 1, 60, token(EPOCH, 1 << 11), &[]),
        false,
        &cache,
        28.9,
    ));
    assert_eq!(
        newly_assigned_tasks(&mut leader, &mut shard, &cache, 29.0),
        [("wk-1".into(), 1)]
    );
}

#[test]
fn invalid_stored_records_are_skipped() {
    let spec = job("wk-1", 3);
    let mut cache = store_cache(1, &[&spec]);
    let changed_record = |change: &dyn Fn(&mut Value)| {
        let mut record = job_record(&spec, false);
        change(&mut record);
        record
    };
    let invalid_records = [
        ("fw/j/wk-2", changed_record(&|_| {})),
        (
            "fw/j/wk-1",
            changed_record(&|fields| fields["n"] = json!(2)),
        ),
        ("fw/j/wk-3", json!({"e": 1, "t": 0, "n": 1})),
        ("fw/j/wk-4", json!([1, 2])),
        ("fw/f/wk-1/0", json!("9")),
        ("fw/f/wk-8/0", json!("1")),
        ("fw/epoch", json!({"n": "x"})),
    ];
    for (index, (key, value)) in invalid_records.iter().enumerate() {
        cache.put(key, value.clone(), 500 + index as u64);
        assert!(cache.invalid_records.contains(key), "{key}");
    }
    assert_eq!(cache.invalid_records.len(), invalid_records.len());
    assert_eq!(cache.jobs.len(), 1);
    assert_eq!(
        (
            cache.jobs["wk-1"].record.task_count,
            cache.jobs["wk-1"].finished.len()
        ),
        (3, 0),
        "the cached record of the job should stay"
    );
    cache.put("fw/j/wk-2", job_record(&job("wk-2", 1), false), 600);
    assert!(
        !cache.invalid_records.contains("fw/j/wk-2"),
        "a valid record should replace the invalid one"
    );
}

/// Guards against tasks that a restarted owner gives up, since it believes a registry page
/// without the mark of use rather than the page that has it (review, case 1).
#[test]
fn a_restarted_owner_probes_a_machine_that_any_page_marks_as_in_use() {
    let batch = job("wk-1", 2);
    let mut cache = store_cache(1, &[&batch]);
    let page = |address: Option<&str>| json!({"b": "k", "z": "e", "s": false, "t": 0, "m": {"m-1": address}});
    // The machine's record is on the page `fw/r/m-1`, which is read after this one.
    let entries = [
        ("fw/r/found-2-1.0", page(None), 17),
        ("fw/r/m-1", page(Some("10.0.0.1:1")), 11),
    ];
    let entries = entries.into_iter().map(|(key, value, revision)| KeyValue {
        key: key.into(),
        value,
        revision,
    });
    let jobs = [("fw/j/wk-1", job_record(&batch, false))];
    let jobs = jobs.into_iter().map(|(key, value)| KeyValue {
        key: key.into(),
        value,
        revision: 5,
    });
    let catalog = json!(cache.catalog.as_deref());
    cache.load(entries.chain(jobs).collect());
    cache.put("fw/c", catalog, 30);
    let (mut leader, mut shard) = restarted_leader_and_shard(&cache);
    assert_eq!(
        newly_assigned_tasks(&mut leader, &mut shard, &cache, 0.0),
        [],
        "the tasks may run on the machine"
    );
    let probed = shard.due_commands(&cache, 0.1);
    assert_eq!(probed.len(), 1, "the machine should be probed at once");
    let running = [
        ("wk-1/0", OLD_ATTEMPT, RUNNING, None),
        ("wk-1/1", OLD_ATTEMPT, RUNNING, None),
    ];
    report_until_reconciled(&mut shard, &cache, 1, &running, 0.2);
    assert_eq!(
        newly_assigned_tasks(&mut leader, &mut shard, &cache, 0.5),
        [],
        "the tasks were found"
    );
    assert!(leader.is_reconciled());
}

/// A cache with a job of two tasks and the machine `m-1`, which its page does not mark as in use.
fn cache_with_unmarked_machine(batch: &Arc<JobSpec>) -> StoreCache {
    let mut cache = store_cache(0, &[batch]);
    cache.put("fw/r/fw-1-1.0", rental_page(None), 10);
    cache
}

fn rental_page(address: Option<&str>) -> Value {
    json!({"b": "k", "z": "e", "s": false, "t": 0, "m": {"m-1": address}})
}

/// Guards against tasks that are started elsewhere although they run on a machine that an earlier
/// leader has marked as in use only after its new owner had entered the epoch (review, case 2).
#[test]
fn a_mark_that_is_read_after_the_epoch_began_makes_the_leader_wait_for_the_machine() {
    let batch = job("wk-1", 2);
    let mut cache = cache_with_unmarked_machine(&batch);
    let (mut leader, mut shard) = restarted_leader_and_shard(&cache);
    cache.put("fw/r/fw-1-1.0", rental_page(Some("10.0.0.1:1")), 11);
    shard.register_machine(&"m-1".into(), &cache.registry["m-1"].record.clone(), 0.05);
    assert_eq!(
        newly_assigned_tasks(&mut leader, &mut shard, &cache, 0.1),
        [],
        "the tasks may run on the machine"
    );
    assert_eq!(shard.due_commands(&cache, 0.1).len(), 1, "it is probed");
    let running = [
        ("wk-1/0", OLD_ATTEMPT, RUNNING, None),
        ("wk-1/1", OLD_ATTEMPT, RUNNING, None),
    ];
    report_until_reconciled(&mut shard, &cache, 1, &running, 0.2);
    assert_eq!(
        newly_assigned_tasks(&mut leader, &mut shard, &cache, 0.5),
        [],
        "the tasks were found"
    );
}

/// Guards against a start on a machine whose worker still obeys an earlier owner: a machine
/// without the mark is reconciled, and thus marked and used, only after its worker has
/// acknowledged its owner's token.
#[test]
fn a_new_machine_is_reconciled_only_after_its_worker_has_acknowledged_a_token() {
    let batch = job("wk-1", 2);
    let mut cache = cache_with_unmarked_machine(&batch);
    let (_, mut shard) = restarted_leader_and_shard(&cache);
    let reported = |shard: &mut Shard, cache: &StoreCache, now: f64| {
        let report = shard.next_report(cache, now);
        let machine = report.machines.last().cloned().expect("the machine");
        (
            machine.has_reported,
            machine.reconciled,
            machine.schedulable,
        )
    };
    assert_eq!(reported(&mut shard, &cache, 0.1), (false, false, false));
    let first = heartbeat_from(1, 1, 1, 0, &[]);
    let (own_token, _) = accepted(shard.apply_heartbeat(&first, false, &cache, 0.2));
    assert_eq!(reported(&mut shard, &cache, 0.2), (true, false, false));
    let probes = shard.due_commands(&cache, 0.2);
    assert_eq!(probes.len(), 1, "the worker is probed at its first report");
    // The mark alone does not make the machine schedulable.
    cache.put("fw/r/fw-1-1.0", rental_page(Some("10.0.0.1:1")), 11);
    shard.register_machine(&"m-1".into(), &cache.registry["m-1"].record.clone(), 0.3);
    assert_eq!(reported(&mut shard, &cache, 0.3), (true, false, false));
    let response = heartbeat_from(1, 1, 2, own_token, &[]);
    shard.command_completed(&"m-1".into(), &probes[0].body, Some(&response), &cache, 0.4);
    assert_eq!(reported(&mut shard, &cache, 0.4), (true, true, true));
}
