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
    let mut p = Shard::new("a", TIMING, Default::default());
    p.set_record_limit(100);
    p.start_epoch(EPOCH, 7, cache, 0.0, |_| true);
    (new_leader(cache), p)
}

/// A machine shows `tasks` under an old token, is asked, and shows them again under
/// its owner's. Returns what it is then told.
fn shows(
    p: &mut Shard,
    cache: &StoreCache,
    machine: usize,
    tasks: &[ReportedTask],
    now: f64,
) -> Vec<Command> {
    let old = token(EPOCH - 1, 3);
    let (asked, calls) = accepted(p.apply_heartbeat(
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
        !calls.iter().any(|c| matches!(c, Command::Start { .. })),
        "nothing starts on an old word"
    );
    accepted(p.apply_heartbeat(
        &heartbeat_from(machine, 1, 6, asked, tasks),
        false,
        cache,
        now + 0.1,
    ))
    .1
}

/// What the leader has assigned anew after a round.
fn assigned(l: &mut Leader, p: &mut Shard, cache: &StoreCache, now: f64) -> Vec<(Arc<str>, u32)> {
    l.apply_shard_report(p.snapshot(cache, now), cache, now);
    l.reconcile(cache, &|_| false);
    l.assign_tasks(cache, now, || true);
    let orders = l.orders("a").expect("orders");
    orders
        .assignments
        .iter()
        .flat_map(|a| a.tasks.iter().map(|t| (a.job.clone(), t.0)))
        .collect()
}

fn verdicts(p: &mut Shard) -> Vec<(String, Verdict)> {
    p.restart_record(1.0)
        .entries
        .iter()
        .map(|e| (e.task.clone(), e.verdict))
        .collect()
}

fn job(id: &str, tasks: u32) -> Arc<JobSpec> {
    job_spec(id, tasks, |_| {})
}

#[test]
fn what_runs_is_trusted_and_nothing_is_ordered() {
    let (s, a) = (
        job_spec("wk-1", 2, |v| v["shape"] = json!("standing")),
        job("wk-2", 2),
    );
    let m = store_cache(2, &[&s, &a]);
    let (mut l, mut p) = restarted(&m);
    assert!(
        assigned(&mut l, &mut p, &m, 0.0).is_empty(),
        "all may run somewhere"
    );
    let first = [
        ("wk-1/0", BEFORE, RUNNING, None),
        ("wk-2/0", BEFORE, RUNNING, None),
    ];
    assert_eq!(shows(&mut p, &m, 1, &first, 0.1), []);
    assert!(
        assigned(&mut l, &mut p, &m, 0.3).is_empty(),
        "the rest may run on the other machine"
    );
    let second = [
        ("wk-1/1", BEFORE, RUNNING, None),
        ("wk-2/1", BEFORE, TaskState::Fetching, None),
    ];
    assert_eq!(shows(&mut p, &m, 2, &second, 0.4), []);
    assert!(
        assigned(&mut l, &mut p, &m, 0.6).is_empty(),
        "all was found"
    );
    assert!(l.is_reconciled());
    let record = p.restart_record(1.0);
    assert_eq!(
        record
            .verdicts
            .iter()
            .map(|v| (v.verdict, v.count))
            .collect::<Vec<_>>(),
        [(Verdict::Adopt(AdoptReason::Runs), 4)]
    );
    assert_eq!(
        (
            record.orders.starts,
            record.orders.reaps,
            record.orders.stops.values().sum::<u64>()
        ),
        (0, 0, 0)
    );
    assert!(record.reconciled_after_s.is_some());
}

#[test]
fn what_is_over_by_the_record_is_stopped_and_only_that() {
    let (a, c, d) = (job("wk-1", 2), job("wk-2", 1), job("wk-3", 1));
    let mut m = store_cache(1, &[&a, &c, &d]);
    m.put("fw/f/wk-1/0", json!("1"), 200);
    m.put("fw/j/wk-2", job_record(&c, true), 201);
    let over = json!({"e": 1, "t": 0, "n": 1, "d": true});
    m.put("fw/j/wk-3", over, 202);
    let (_, mut p) = restarted(&m);
    let lines = ["wk-1/0", "wk-1/1", "wk-2/0", "wk-3/0"].map(|t| (t, BEFORE, RUNNING, None));
    let calls = shows(&mut p, &m, 1, &lines, 0.1);
    let stop = |t: &str| Command::Stop {
        task: t.into(),
        attempt: BEFORE,
        grace_s: 0.0,
    };
    assert_eq!(calls, [stop("wk-1/0"), stop("wk-2/0"), stop("wk-3/0")]);
    let because = [
        StopReason::TaskFinished,
        StopReason::JobCancelled,
        StopReason::JobDone,
    ];
    let stopped: Vec<Verdict> = verdicts(&mut p)
        .into_iter()
        .map(|v| v.1)
        .filter(|v| matches!(v, Verdict::Stop(_)))
        .collect();
    assert_eq!(stopped, because.map(Verdict::Stop));
}

#[test]
fn an_end_on_its_way_is_committed_before_its_worker_may_forget_it() {
    let a = job("wk-1", 2);
    let mut m = store_cache(1, &[&a]);
    let (mut l, mut p) = restarted(&m);
    let done = [
        ("wk-1/0", BEFORE, ENDED, Some("done")),
        ("wk-1/1", BEFORE, ENDED, Some("error")),
    ];
    let calls = shows(&mut p, &m, 1, &done, 0.1);
    assert_eq!(
        calls,
        [Command::Forget {
            task: "wk-1/1".into(),
            attempt: BEFORE
        }],
        "only what leaves no result"
    );
    assert_eq!(assigned(&mut l, &mut p, &m, 0.3), [("wk-1".into(), 1)]);
    let finishes = l.completions_to_commit(1.0, 9, &m);
    assert_eq!(
        finishes.iter().map(|f| f.tasks.clone()).collect::<Vec<_>>(),
        [vec![0]]
    );
    m.put("fw/f/wk-1/0", json!("1"), 300);
    p.job_changed(&"wk-1".into(), &m);
    let again = heartbeat_from(1, 1, 9, token(EPOCH, 1 << 10), &done);
    let (_, calls) = accepted(p.apply_heartbeat(&again, false, &m, 1.0));
    assert!(calls.contains(&Command::Forget {
        task: "wk-1/0".into(),
        attempt: BEFORE
    }));
}

#[test]
fn a_worker_silent_for_minutes_is_waited_for_until_its_lease_and_is_empty_when_back() {
    let a = job("wk-1", 1);
    let m = store_cache(2, &[&a]);
    let (mut l, mut p) = restarted(&m);
    shows(&mut p, &m, 1, &[], 0.1);
    // It has spoken once, but never under the new owner's token.
    let spoke = heartbeat_from(
        2,
        1,
        5,
        token(EPOCH - 1, 3),
        &[("wk-1/0", BEFORE, RUNNING, None)],
    );
    accepted(p.apply_heartbeat(&spoke, false, &m, 0.2));
    for now in [9.0, 18.0, 27.0] {
        shows_again(&mut p, &m, 1, now);
    }
    p.expire_leases(27.0);
    assert!(
        assigned(&mut l, &mut p, &m, 27.0).is_empty(),
        "it may run on the silent one"
    );
    // Whoever was left out alive may have answered it until its own lease was over.
    p.expire_leases(29.0);
    shows_again(&mut p, &m, 1, 29.1);
    assert_eq!(assigned(&mut l, &mut p, &m, 29.2), [("wk-1".into(), 0)]);
    let late = heartbeat_from(
        2,
        1,
        90,
        token(EPOCH - 1, 3),
        &[("wk-1/0", BEFORE, RUNNING, None)],
    );
    assert_eq!(
        p.apply_heartbeat(&late, false, &m, 29.3),
        HeartbeatReply::Refuse,
        "its session is over"
    );
    let (t, _) = accepted(p.apply_heartbeat(&heartbeat_from(2, 2, 1, 0, &[]), false, &m, 29.4));
    let (_, calls) = accepted(p.apply_heartbeat(&heartbeat_from(2, 2, 2, t, &[]), false, &m, 29.5));
    assert_eq!(calls, []);
}

#[test]
fn a_machine_past_its_lease_that_speaks_again_is_asked_before_it_is_believed() {
    let a = job("wk-1", 1);
    let m = store_cache(1, &[&a]);
    let (mut l, mut p) = restarted(&m);
    p.expire_leases(29.0);
    // A copy from before the crash, of a session that nobody here has seen.
    let copy = heartbeat_from(
        1,
        1,
        5,
        token(EPOCH - 1, 3),
        &[("wk-1/0", BEFORE, RUNNING, None)],
    );
    let (_, calls) = accepted(p.apply_heartbeat(&copy, false, &m, 29.1));
    assert_eq!((calls, verdicts(&mut p)), (Vec::new(), Vec::new()));
    assert!(
        assigned(&mut l, &mut p, &m, 29.2).is_empty(),
        "in doubt until it answers"
    );
    assert_eq!(p.due_commands(&m, 29.3).len(), 1, "it is asked");
}

/// An empty machine reports, and shows that it heeds what it is told.
fn shows_again(p: &mut Shard, m: &StoreCache, machine: usize, now: f64) {
    let t = token(EPOCH, (1 << 10) + 2 * now as u64);
    accepted(p.apply_heartbeat(
        &heartbeat_from(machine, 1, 10 + now as u64, t, &[]),
        false,
        m,
        now,
    ));
}

#[test]
fn a_machine_that_never_reports_holds_up_only_what_may_be_on_it() {
    let here = job_spec("wk-1", 1, |v| v["grove"] = json!("e"));
    let there = job_spec("wk-2", 1, |v| v["grove"] = json!("w"));
    let m = store_cache(2, &[&here, &there]);
    let (mut l, mut p) = restarted(&m);
    shows(&mut p, &m, 1, &[], 0.1);
    assert_eq!(
        assigned(&mut l, &mut p, &m, 0.3),
        [("wk-1".into(), 0)],
        "m-2 is in zone w"
    );
}

#[test]
fn an_old_report_adopts_nothing_and_proves_nothing() {
    let a = job("wk-1", 1);
    let m = store_cache(1, &[&a]);
    let (mut l, mut p) = restarted(&m);
    // Held back since before the crash; its machine has begun a new session since.
    let old = heartbeat_from(
        1,
        1,
        5,
        token(EPOCH - 1, 3),
        &[("wk-1/0", BEFORE, RUNNING, None)],
    );
    accepted(p.apply_heartbeat(&old, false, &m, 0.1));
    assert!(verdicts(&mut p).is_empty());
    assert!(assigned(&mut l, &mut p, &m, 0.2).is_empty());
    let (t, _) = accepted(p.apply_heartbeat(&heartbeat_from(1, 2, 1, 0, &[]), false, &m, 0.3));
    assert!(
        assigned(&mut l, &mut p, &m, 0.4).is_empty(),
        "a start under way could still arrive"
    );
    accepted(p.apply_heartbeat(&heartbeat_from(1, 2, 2, t, &[]), false, &m, 0.5));
    assert_eq!(assigned(&mut l, &mut p, &m, 0.6), [("wk-1".into(), 0)]);
}

#[test]
fn a_task_on_two_machines_is_a_conflict_and_the_second_is_stopped() {
    let a = job("wk-1", 1);
    let m = store_cache(2, &[&a]);
    let (mut l, mut p) = restarted(&m);
    assert_eq!(
        shows(&mut p, &m, 1, &[("wk-1/0", BEFORE, RUNNING, None)], 0.1),
        []
    );
    let calls = shows(&mut p, &m, 2, &[("wk-1/0", BEFORE + 1, RUNNING, None)], 0.3);
    assert_eq!(
        calls,
        [Command::Stop {
            task: "wk-1/0".into(),
            attempt: BEFORE + 1,
            grace_s: 0.0
        }]
    );
    assert!(verdicts(&mut p).contains(&(
        "wk-1/0".into(),
        Verdict::Conflict(ConflictReason::RunsTwice)
    )));
    assert!(assigned(&mut l, &mut p, &m, 0.5).is_empty());
}

#[test]
fn an_absurd_attempt_runs_on_and_blocks_no_later_start() {
    let a = job("wk-1", 1);
    let m = store_cache(2, &[&a]);
    let (mut l, mut p) = restarted(&m);
    shows(&mut p, &m, 2, &[], 0.1);
    let absurd = attempt(EPOCH + 1_000_000, 1);
    assert_eq!(
        shows(&mut p, &m, 1, &[("wk-1/0", absurd, RUNNING, None)], 0.1),
        []
    );
    assert_eq!(
        verdicts(&mut p)[0].1,
        Verdict::Adopt(AdoptReason::AttemptOfLaterEpoch)
    );
    assert!(assigned(&mut l, &mut p, &m, 0.3).is_empty());
    // It is lost; the next attempt is lower, and is taken all the same.
    let gone = heartbeat_from(
        1,
        1,
        9,
        token(EPOCH, 1 << 10),
        &[("wk-1/0", absurd, ENDED, Some("error"))],
    );
    accepted(p.apply_heartbeat(&gone, false, &m, 1.0));
    assert_eq!(assigned(&mut l, &mut p, &m, 1.1), [("wk-1".into(), 0)]);
    let orders = l.orders("a").expect("orders");
    p.apply_orders(&orders, &m, 1.2);
    assert_eq!(p.snapshot(&m, 1.3).assigned.len(), 1, "it is held again");
}

#[test]
fn tasks_that_nobody_knows_are_left_alone_and_count_for_nothing() {
    let a = job("wk-1", 2);
    let m = store_cache(1, &[&a]);
    let (mut l, mut p) = restarted(&m);
    let lines = [
        ("wk-1/0", BEFORE, ENDED, Some("done")),
        ("wk-1/7", BEFORE, ENDED, Some("done")),
        ("wk-9/0", BEFORE, RUNNING, None),
    ];
    assert_eq!(shows(&mut p, &m, 1, &lines, 0.1), []);
    let left = [
        ("wk-1/7", UnreconciledReason::NoSuchTask),
        ("wk-9/0", UnreconciledReason::UnknownJob),
    ];
    for (task, why) in left {
        assert!(
            verdicts(&mut p).contains(&(task.into(), Verdict::LeaveUnreconciled(why))),
            "{task}"
        );
    }
    assigned(&mut l, &mut p, &m, 0.3);
    let finishes = l.completions_to_commit(1.0, 9, &m);
    assert_eq!(finishes.len(), 1);
    assert_eq!(
        finishes[0].tasks,
        [0],
        "a task that the job doesn't have ends nothing"
    );
    // Nor does a notice that lies in the past close the machine.
    let mut odd = heartbeat_from(1, 1, 9, token(EPOCH, 1 << 10), &lines);
    odd.notice_s = Some(-5.0);
    accepted(p.apply_heartbeat(&odd, false, &m, 1.0));
    assert!(!p.snapshot(&m, 1.0).machines.iter().any(|m| m.spot_notice));
}

#[test]
fn a_team_at_its_limit_by_work_not_yet_adopted_gets_nothing_more() {
    let (old, new) = (
        job_spec("wk-1", 1, |v| v["grove"] = json!("w")),
        job_spec("wk-2", 1, |v| v["grove"] = json!("e")),
    );
    let mut m = store_cache(2, &[&old]);
    let mut fresh = job_record(&new, false);
    fresh["e"] = json!(EPOCH);
    m.put("fw/j/wk-2", fresh, 300);
    let mut l =
        Leader::new(&settings_with(&[("cpus_max = 400.0", "cpus_max = 2.0")]).expect("settings"));
    let e = Epoch {
        number: EPOCH,
        members: [("a".to_string(), 7)].into_iter().collect(),
        leader: "a".into(),
        uses_shard_map: false,
    };
    assert!(!l.start_epoch(&e, 7, &m), "it knew nothing before");
    let mut p = Shard::new("a", TIMING, Default::default());
    p.start_epoch(EPOCH, 7, &m, 0.0, |_| true);
    shows(&mut p, &m, 1, &[], 0.1);
    assert!(
        assigned(&mut l, &mut p, &m, 0.3).is_empty(),
        "the limit may be used up on m-2"
    );
    shows(&mut p, &m, 2, &[], 0.4);
    let now = assigned(&mut l, &mut p, &m, 0.6);
    assert_eq!(now.len(), 1, "one of both: {now:?}");
}

/// A page of the machine registry that can't be read hides its machines: what may run there
/// waits until each of them has reported or its lease is past.
#[test]
fn an_unreadable_page_frees_nothing_before_all_leases_are_past() {
    let a = job("wk-1", 2);
    let mut m = store_cache(2, &[&a]);
    m.put("fw/r/m-2", json!("scribble"), 400);
    let mut hidden = StoreCache::new(8.0);
    for (key, value) in [
        ("fw/j/wk-1", job_record(&a, false)),
        ("fw/r/m-2", json!("scribble")),
    ] {
        hidden.put(key, value, 400);
    }
    assert!(
        m.registry.contains_key("m-2"),
        "what was known before stays"
    );
    assert!(hidden.unreadable.any_registry_page() && hidden.registry.is_empty());
    hidden.put(
        "fw/c",
        serde_json::to_value(m.catalog.as_deref()).expect("json"),
        1,
    );
    hidden.put(
        "fw/r/m-1",
        json!({"b": "k", "z": "e", "s": false, "u": true}),
        2,
    );
    let (mut l, mut p) = restarted(&hidden);
    shows(&mut p, &hidden, 1, &[], 0.1);
    for now in [0.3, 10.0, 19.0, 27.0] {
        shows_again(&mut p, &hidden, 1, now);
        assert!(assigned(&mut l, &mut p, &hidden, now).is_empty(), "{now}");
    }
    // The hidden one comes by itself, with one of both tasks.
    assert_eq!(
        shows(
            &mut p,
            &hidden,
            2,
            &[("wk-1/0", BEFORE, RUNNING, None)],
            27.5
        ),
        []
    );
    accepted(p.apply_heartbeat(
        &heartbeat_from(1, 1, 60, token(EPOCH, 1 << 11), &[]),
        false,
        &hidden,
        28.9,
    ));
    assert_eq!(
        assigned(&mut l, &mut p, &hidden, 29.0),
        [("wk-1".into(), 1)]
    );
}

#[test]
fn stored_records_that_make_no_sense_are_left_alone() {
    let a = job("wk-1", 3);
    let mut m = store_cache(1, &[&a]);
    let with = |change: &dyn Fn(&mut Value)| {
        let mut v = job_record(&a, false);
        change(&mut v);
        v
    };
    let odd = [
        ("fw/j/wk-2", with(&|_| {})),
        ("fw/j/wk-1", with(&|v| v["n"] = json!(2))),
        ("fw/j/wk-3", json!({"e": 1, "t": 0, "n": 1})),
        ("fw/j/wk-4", json!([1, 2])),
        ("fw/f/wk-1/0", json!("9")),
        ("fw/f/wk-8/0", json!("1")),
        ("fw/epoch", json!({"n": "x"})),
    ];
    for (i, (key, value)) in odd.iter().enumerate() {
        m.put(key, value.clone(), 500 + i as u64);
        assert!(m.unreadable.contains(key), "{key}");
    }
    assert_eq!(m.unreadable.len(), odd.len());
    assert_eq!(m.jobs.len(), 1);
    assert_eq!(
        (
            m.jobs["wk-1"].record.task_count,
            m.jobs["wk-1"].finished.len()
        ),
        (3, 0),
        "what was known stays"
    );
    m.put("fw/j/wk-2", job_record(&job("wk-2", 1), false), 600);
    assert!(!m.unreadable.contains("fw/j/wk-2"), "mended");
}
