//! A new owner and a new leader, which know nothing, meet machines that were used
//! before: one small case for each way in which stored records and reports can
//! disagree. The real leader and shard, driven directly.

use crate::builders::*;
use finchwood::cluster::membership::{token, token_epoch};
use finchwood::scheduler::Leader;
use finchwood::shard::{HeartbeatReply, Shard};
use finchwood::store::cache::StoreCache;
use finchwood::store::records::Epoch;
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
const BEFORE: u64 = (EPOCH - 1) << 24 | 5;

/// A shard and a leader that have just come back, and know nothing.
fn restarted(cache: &StoreCache) -> (Leader, Shard) {
    let mut shard = Shard::new("a", TIMING, Default::default());
    shard.set_restart_record_limit(100);
    shard.start_epoch(EPOCH, 7, cache, 0.0, |_| true);
    (new_leader(cache), shard)
}

/// A machine shows `tasks` under an old token, is asked, and shows them again under
/// its owner's. Returns what it is then told.
fn shows(
    shard: &mut Shard,
    cache: &StoreCache,
    machine: usize,
    tasks: &[ReportedTask],
    now: f64,
) -> Vec<Command> {
    let old = token(EPOCH - 1, 3);
    let (asked, calls) = accepted(shard.apply_heartbeat(
        &heartbeat_from(machine, 1, 5, old, tasks),
        false,
        cache,
        now,
    ));
    assert!(
        token_epoch(asked) == EPOCH,
        "it is told the new owner's token"
    );
    assert!(
        !calls
            .iter()
            .any(|command| matches!(command, Command::Start { .. })),
        "nothing starts on an old word"
    );
    accepted(shard.apply_heartbeat(
        &heartbeat_from(machine, 1, 6, asked, tasks),
        false,
        cache,
        now + 0.1,
    ))
    .1
}

/// What the leader has assigned anew after a round.
fn assigned(
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

fn verdicts(shard: &mut Shard) -> Vec<(String, Verdict)> {
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
fn what_runs_is_trusted_and_nothing_is_ordered() {
    let (service, batch) = (
        job_spec("wk-1", 2, |fields| fields["shape"] = json!("standing")),
        job("wk-2", 2),
    );
    let cache = store_cache(2, &[&service, &batch]);
    let (mut leader, mut shard) = restarted(&cache);
    assert!(
        assigned(&mut leader, &mut shard, &cache, 0.0).is_empty(),
        "all may run somewhere"
    );
    let first = [
        ("wk-1/0", BEFORE, RUNNING, None),
        ("wk-2/0", BEFORE, RUNNING, None),
    ];
    assert_eq!(shows(&mut shard, &cache, 1, &first, 0.1), []);
    assert!(
        assigned(&mut leader, &mut shard, &cache, 0.3).is_empty(),
        "the rest may run on the other machine"
    );
    let second = [
        ("wk-1/1", BEFORE, RUNNING, None),
        ("wk-2/1", BEFORE, TaskState::Fetching, None),
    ];
    assert_eq!(shows(&mut shard, &cache, 2, &second, 0.4), []);
    assert!(
        assigned(&mut leader, &mut shard, &cache, 0.6).is_empty(),
        "all was found"
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
fn what_is_over_by_the_record_is_stopped_and_only_that() {
    let (half_finished, cancelled, done) = (job("wk-1", 2), job("wk-2", 1), job("wk-3", 1));
    let mut cache = store_cache(1, &[&half_finished, &cancelled, &done]);
    cache.put("fw/f/wk-1/0", json!("1"), 200);
    cache.put("fw/j/wk-2", job_record(&cancelled, true), 201);
    let over = json!({"e": 1, "t": 0, "n": 1, "d": true});
    cache.put("fw/j/wk-3", over, 202);
    let (_, mut shard) = restarted(&cache);
    let lines = ["wk-1/0", "wk-1/1", "wk-2/0", "wk-3/0"].map(|task| (task, BEFORE, RUNNING, None));
    let calls = shows(&mut shard, &cache, 1, &lines, 0.1);
    let stop = |task: &str| Command::Stop {
        task: task.into(),
        attempt: BEFORE,
        grace_s: 0.0,
    };
    assert_eq!(calls, [stop("wk-1/0"), stop("wk-2/0"), stop("wk-3/0")]);
    let because = [
        StopReason::TaskFinished,
        StopReason::JobCancelled,
        StopReason::JobDone,
    ];
    let stopped: Vec<Verdict> = verdicts(&mut shard)
        .into_iter()
        .map(|(_, verdict)| verdict)
        .filter(|verdict| matches!(verdict, Verdict::Stop(_)))
        .collect();
    assert_eq!(stopped, because.map(Verdict::Stop));
}

#[test]
fn an_end_on_its_way_is_committed_before_its_worker_may_forget_it() {
    let spec = job("wk-1", 2);
    let mut cache = store_cache(1, &[&spec]);
    let (mut leader, mut shard) = restarted(&cache);
    let done = [
        ("wk-1/0", BEFORE, ENDED, Some("done")),
        ("wk-1/1", BEFORE, ENDED, Some("error")),
    ];
    let calls = shows(&mut shard, &cache, 1, &done, 0.1);
    assert_eq!(
        calls,
        [Command::Forget {
            task: "wk-1/1".into(),
            attempt: BEFORE
        }],
        "only what leaves no result"
    );
    assert_eq!(
        assigned(&mut leader, &mut shard, &cache, 0.3),
        [("wk-1".into(), 1)]
    );
    let finishes = leader.completions_to_commit(1.0, 9, &cache);
    assert_eq!(
        finishes
            .iter()
            .map(|finish| finish.tasks.clone())
            .collect::<Vec<_>>(),
        [vec![0]]
    );
    cache.put("fw/f/wk-1/0", json!("1"), 300);
    shard.job_changed(&"wk-1".into(), &cache);
    let again = heartbeat_from(1, 1, 9, token(EPOCH, 1 << 10), &done);
    let (_, calls) = accepted(shard.apply_heartbeat(&again, false, &cache, 1.0));
    assert!(calls.contains(&Command::Forget {
        task: "wk-1/0".into(),
        attempt: BEFORE
    }));
}

#[test]
fn a_worker_silent_for_minutes_is_waited_for_until_its_lease_and_is_empty_when_back() {
    let spec = job("wk-1", 1);
    let cache = store_cache(2, &[&spec]);
    let (mut leader, mut shard) = restarted(&cache);
    shows(&mut shard, &cache, 1, &[], 0.1);
    // It has spoken once, but never under the new owner's token.
    let spoke = heartbeat_from(
        2,
        1,
        5,
        token(EPOCH - 1, 3),
        &[("wk-1/0", BEFORE, RUNNING, None)],
    );
    accepted(shard.apply_heartbeat(&spoke, false, &cache, 0.2));
    for now in [9.0, 18.0, 27.0] {
        shows_again(&mut shard, &cache, 1, now);
    }
    shard.expire_leases(27.0);
    assert!(
        assigned(&mut leader, &mut shard, &cache, 27.0).is_empty(),
        "it may run on the silent one"
    );
    // Whoever was left out alive may have answered it until its own lease was over.
    shard.expire_leases(29.0);
    shows_again(&mut shard, &cache, 1, 29.1);
    assert_eq!(
        assigned(&mut leader, &mut shard, &cache, 29.2),
        [("wk-1".into(), 0)]
    );
    let late = heartbeat_from(
        2,
        1,
        90,
        token(EPOCH - 1, 3),
        &[("wk-1/0", BEFORE, RUNNING, None)],
    );
    assert_eq!(
        shard.apply_heartbeat(&late, false, &cache, 29.3),
        HeartbeatReply::Refused,
        "its session is over"
    );
    let (new_token, _) =
        accepted(shard.apply_heartbeat(&heartbeat_from(2, 2, 1, 0, &[]), false, &cache, 29.4));
    let (_, calls) = accepted(shard.apply_heartbeat(
        &heartbeat_from(2, 2, 2, new_token, &[]),
        false,
        &cache,
        29.5,
    ));
    assert_eq!(calls, []);
}

#[test]
fn a_machine_past_its_lease_that_speaks_again_is_asked_before_it_is_believed() {
    let spec = job("wk-1", 1);
    let cache = store_cache(1, &[&spec]);
    let (mut leader, mut shard) = restarted(&cache);
    shard.expire_leases(29.0);
    // A copy from before the crash, of a session that nobody here has seen.
    let copy = heartbeat_from(
        1,
        1,
        5,
        token(EPOCH - 1, 3),
        &[("wk-1/0", BEFORE, RUNNING, None)],
    );
    let (_, calls) = accepted(shard.apply_heartbeat(&copy, false, &cache, 29.1));
    assert_eq!((calls, verdicts(&mut shard)), (Vec::new(), Vec::new()));
    assert!(
        assigned(&mut leader, &mut shard, &cache, 29.2).is_empty(),
        "unreconciled until it answers"
    );
    assert_eq!(shard.due_commands(&cache, 29.3).len(), 1, "it is asked");
}

/// An empty machine reports, and shows the token that it was told.
fn shows_again(shard: &mut Shard, cache: &StoreCache, machine: usize, now: f64) {
    let known_token = token(EPOCH, (1 << 10) + 2 * now as u64);
    accepted(shard.apply_heartbeat(
        &heartbeat_from(machine, 1, 10 + now as u64, known_token, &[]),
        false,
        cache,
        now,
    ));
}

#[test]
fn a_machine_that_never_reports_holds_up_only_what_may_be_on_it() {
    let here = job_spec("wk-1", 1, |fields| fields["grove"] = json!("e"));
    let there = job_spec("wk-2", 1, |fields| fields["grove"] = json!("w"));
    let cache = store_cache(2, &[&here, &there]);
    let (mut leader, mut shard) = restarted(&cache);
    shows(&mut shard, &cache, 1, &[], 0.1);
    assert_eq!(
        assigned(&mut leader, &mut shard, &cache, 0.3),
        [("wk-1".into(), 0)],
        "m-2 is in zone w"
    );
}

#[test]
fn an_old_report_adopts_nothing_and_proves_nothing() {
    let spec = job("wk-1", 1);
    let cache = store_cache(1, &[&spec]);
    let (mut leader, mut shard) = restarted(&cache);
    // Held back since before the crash; its machine has begun a new session since.
    let old = heartbeat_from(
        1,
        1,
        5,
        token(EPOCH - 1, 3),
        &[("wk-1/0", BEFORE, RUNNING, None)],
    );
    accepted(shard.apply_heartbeat(&old, false, &cache, 0.1));
    assert!(verdicts(&mut shard).is_empty());
    assert!(assigned(&mut leader, &mut shard, &cache, 0.2).is_empty());
    let (new_token, _) =
        accepted(shard.apply_heartbeat(&heartbeat_from(1, 2, 1, 0, &[]), false, &cache, 0.3));
    assert!(
        assigned(&mut leader, &mut shard, &cache, 0.4).is_empty(),
        "a start under way could still arrive"
    );
    accepted(shard.apply_heartbeat(&heartbeat_from(1, 2, 2, new_token, &[]), false, &cache, 0.5));
    assert_eq!(
        assigned(&mut leader, &mut shard, &cache, 0.6),
        [("wk-1".into(), 0)]
    );
}

#[test]
fn a_task_on_two_machines_is_a_conflict_and_the_second_is_stopped() {
    let spec = job("wk-1", 1);
    let cache = store_cache(2, &[&spec]);
    let (mut leader, mut shard) = restarted(&cache);
    assert_eq!(
        shows(
            &mut shard,
            &cache,
            1,
            &[("wk-1/0", BEFORE, RUNNING, None)],
            0.1
        ),
        []
    );
    let calls = shows(
        &mut shard,
        &cache,
        2,
        &[("wk-1/0", BEFORE + 1, RUNNING, None)],
        0.3,
    );
    assert_eq!(
        calls,
        [Command::Stop {
            task: "wk-1/0".into(),
            attempt: BEFORE + 1,
            grace_s: 0.0
        }]
    );
    assert!(verdicts(&mut shard).contains(&(
        "wk-1/0".into(),
        Verdict::Conflict(ConflictReason::RunsTwice)
    )));
    assert!(assigned(&mut leader, &mut shard, &cache, 0.5).is_empty());
}

#[test]
fn an_absurd_attempt_runs_on_and_blocks_no_later_start() {
    let spec = job("wk-1", 1);
    let cache = store_cache(2, &[&spec]);
    let (mut leader, mut shard) = restarted(&cache);
    shows(&mut shard, &cache, 2, &[], 0.1);
    let absurd = attempt(EPOCH + 1_000_000, 1);
    assert_eq!(
        shows(
            &mut shard,
            &cache,
            1,
            &[("wk-1/0", absurd, RUNNING, None)],
            0.1
        ),
        []
    );
    assert_eq!(
        verdicts(&mut shard)[0].1,
        Verdict::Adopt(AdoptReason::AttemptOfLaterEpoch)
    );
    assert!(assigned(&mut leader, &mut shard, &cache, 0.3).is_empty());
    // It is lost; the next attempt is lower, and is taken all the same.
    let gone = heartbeat_from(
        1,
        1,
        9,
        token(EPOCH, 1 << 10),
        &[("wk-1/0", absurd, ENDED, Some("error"))],
    );
    accepted(shard.apply_heartbeat(&gone, false, &cache, 1.0));
    assert_eq!(
        assigned(&mut leader, &mut shard, &cache, 1.1),
        [("wk-1".into(), 0)]
    );
    let orders = leader.orders("a").expect("orders");
    shard.apply_orders(&orders, &cache, 1.2);
    assert_eq!(
        shard.next_report(&cache, 1.3).assigned.len(),
        1,
        "it is held again"
    );
}

#[test]
fn tasks_that_nobody_knows_are_left_alone_and_count_for_nothing() {
    let spec = job("wk-1", 2);
    let cache = store_cache(1, &[&spec]);
    let (mut leader, mut shard) = restarted(&cache);
    let lines = [
        ("wk-1/0", BEFORE, ENDED, Some("done")),
        ("wk-1/7", BEFORE, ENDED, Some("done")),
        ("wk-9/0", BEFORE, RUNNING, None),
    ];
    assert_eq!(shows(&mut shard, &cache, 1, &lines, 0.1), []);
    let left = [
        ("wk-1/7", UnreconciledReason::NoSuchTask),
        ("wk-9/0", UnreconciledReason::UnknownJob),
    ];
    for (task, why) in left {
        assert!(
            verdicts(&mut shard).contains(&(task.into(), Verdict::LeaveUnreconciled(why))),
            "{task}"
        );
    }
    assigned(&mut leader, &mut shard, &cache, 0.3);
    let finishes = leader.completions_to_commit(1.0, 9, &cache);
    assert_eq!(finishes.len(), 1);
    assert_eq!(
        finishes[0].tasks,
        [0],
        "a task that the job doesn't have ends nothing"
    );
    // Nor does a notice that lies in the past close the machine.
    let mut odd = heartbeat_from(1, 1, 9, token(EPOCH, 1 << 10), &lines);
    odd.reclaimed_in_s = Some(-5.0);
    accepted(shard.apply_heartbeat(&odd, false, &cache, 1.0));
    assert!(!shard
        .next_report(&cache, 1.0)
        .machines
        .iter()
        .any(|machine| machine.reclaim_notice));
}

#[test]
fn a_team_at_its_limit_by_work_not_yet_adopted_gets_nothing_more() {
    let (old, new) = (
        job_spec("wk-1", 1, |fields| fields["grove"] = json!("w")),
        job_spec("wk-2", 1, |fields| fields["grove"] = json!("e")),
    );
    let mut cache = store_cache(2, &[&old]);
    let mut fresh = job_record(&new, false);
    fresh["e"] = json!(EPOCH);
    cache.put("fw/j/wk-2", fresh, 300);
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
        "it knew nothing before"
    );
    let mut shard = Shard::new("a", TIMING, Default::default());
    shard.start_epoch(EPOCH, 7, &cache, 0.0, |_| true);
    shows(&mut shard, &cache, 1, &[], 0.1);
    assert!(
        assigned(&mut leader, &mut shard, &cache, 0.3).is_empty(),
        "the limit may be used up on m-2"
    );
    shows(&mut shard, &cache, 2, &[], 0.4);
    let now = assigned(&mut leader, &mut shard, &cache, 0.6);
    assert_eq!(now.len(), 1, "one of both: {now:?}");
}

/// A page of the machine registry that can't be read hides its machines: what may run there
/// waits until each of them has reported or its lease is past.
#[test]
fn an_unreadable_page_frees_nothing_before_all_leases_are_past() {
    let spec = job("wk-1", 2);
    let mut cache = store_cache(2, &[&spec]);
    cache.put("fw/r/m-2", json!("scribble"), 400);
    let mut hidden = StoreCache::new(8.0);
    for (key, value) in [
        ("fw/j/wk-1", job_record(&spec, false)),
        ("fw/r/m-2", json!("scribble")),
    ] {
        hidden.put(key, value, 400);
    }
    assert!(
        cache.registry.contains_key("m-2"),
        "what was known before stays"
    );
    assert!(hidden.invalid_records.contains_registry_page() && hidden.registry.is_empty());
    hidden.put(
        "fw/c",
        serde_json::to_value(cache.catalog.as_deref()).expect("json"),
        1,
    );
    hidden.put(
        "fw/r/m-1",
        json!({"b": "k", "z": "e", "s": false, "u": true}),
        2,
    );
    let (mut leader, mut shard) = restarted(&hidden);
    shows(&mut shard, &hidden, 1, &[], 0.1);
    for now in [0.3, 10.0, 19.0, 27.0] {
        shows_again(&mut shard, &hidden, 1, now);
        assert!(
            assigned(&mut leader, &mut shard, &hidden, now).is_empty(),
            "{now}"
        );
    }
    // The hidden one comes by itself, with one of both tasks.
    assert_eq!(
        shows(
            &mut shard,
            &hidden,
            2,
            &[("wk-1/0", BEFORE, RUNNING, None)],
            27.5
        ),
        []
    );
    accepted(shard.apply_heartbeat(
        &heartbeat_from(1, 1, 60, token(EPOCH, 1 << 11), &[]),
        false,
        &hidden,
        28.9,
    ));
    assert_eq!(
        assigned(&mut leader, &mut shard, &hidden, 29.0),
        [("wk-1".into(), 1)]
    );
}

#[test]
fn stored_records_that_make_no_sense_are_left_alone() {
    let spec = job("wk-1", 3);
    let mut cache = store_cache(1, &[&spec]);
    let with = |change: &dyn Fn(&mut Value)| {
        let mut record = job_record(&spec, false);
        change(&mut record);
        record
    };
    let odd = [
        ("fw/j/wk-2", with(&|_| {})),
        ("fw/j/wk-1", with(&|fields| fields["n"] = json!(2))),
        ("fw/j/wk-3", json!({"e": 1, "t": 0, "n": 1})),
        ("fw/j/wk-4", json!([1, 2])),
        ("fw/f/wk-1/0", json!("9")),
        ("fw/f/wk-8/0", json!("1")),
        ("fw/epoch", json!({"n": "x"})),
    ];
    for (i, (key, value)) in odd.iter().enumerate() {
        cache.put(key, value.clone(), 500 + i as u64);
        assert!(cache.invalid_records.contains(key), "{key}");
    }
    assert_eq!(cache.invalid_records.len(), odd.len());
    assert_eq!(cache.jobs.len(), 1);
    assert_eq!(
        (
            cache.jobs["wk-1"].record.task_count,
            cache.jobs["wk-1"].finished.len()
        ),
        (3, 0),
        "what was known stays"
    );
    cache.put("fw/j/wk-2", job_record(&job("wk-2", 1), false), 600);
    assert!(!cache.invalid_records.contains("fw/j/wk-2"), "mended");
}
