//! One small case for each failure found so far: what counts as proof that a
//! task is nowhere, and what shows that a machine is dead.

use finchwood::clock::Moment;
use finchwood::cluster::membership::{next_epoch, owner, token};
use finchwood::shard::{
    CommandCapacity, HeartbeatReply, JobAssignment, Orders, Shard, ShardReport, TaskPhase, Timing,
};
use finchwood::store::cache::StoreCache;
use finchwood::store::records::{Epoch, JobRecord, MachineRecord, MemberRecord, Versioned};
use finchwood::store::TokenBucket;
use finchwood::wire::{
    Catalog, Command, Heartbeat, JobSpec, MachineType, Priority, TaskReport, TaskState,
};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

const TIMING: Timing = Timing {
    report_s: 3.0,
    lease_s: 20.0,
    member_life_s: 8.0,
};

fn spec(id: &str, tasks: u32, priority: Priority) -> Arc<JobSpec> {
    let v = serde_json::json!({
        "id": id, "flock": "f", "nest": "t", "shape": "array", "rank": "low", "chicks": tasks, "cpus": 2.0,
        "accelerators": 0.0, "mem_gb": 1.0, "egg": "i", "size_gb": 1.0, "one_zone": false, "scatter": false,
        "windfall": true, "guess_s": 10.0, "molt_s": 0.0, "stash_s": 0.0
    });
    Arc::new(JobSpec {
        priority,
        ..serde_json::from_value(v).expect("a spec")
    })
}

fn kind() -> MachineType {
    MachineType {
        name: "k".into(),
        cpus: 4.0,
        gpus: 0.0,
        mem_gb: 16.0,
        cache_gb: 9.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.3,
        boot_s: 20.0,
        zones: vec!["e".into(), "w".into()],
    }
}

fn cache(jobs: &[(&str, Priority, bool)]) -> StoreCache {
    let mut m = StoreCache::new(8.0);
    let put = |m: &mut StoreCache, k: &str, v: serde_json::Value, n| drop(m.put(k, v, n));
    put(
        &mut m,
        "fw/c",
        serde_json::json!(Catalog {
            types: vec![kind()]
        }),
        1,
    );
    let record = MachineRecord {
        machine_type: "k".into(),
        zone: "e".into(),
        spot: false,
        in_use: true,
        rented_at_ms: 0,
        address: None,
    };
    put(&mut m, "fw/r/m-1", serde_json::json!(record), 2);
    for (i, (id, priority, cancelled)) in jobs.iter().enumerate() {
        let r = JobRecord {
            spec: Some(spec(id, 4, *priority)),
            epoch: 1,
            accepted_at_ms: 0,
            task_count: 4,
            cancelled: *cancelled,
            done: false,
            cancelled_at_ms: None,
        };
        put(
            &mut m,
            &format!("fw/j/{id}"),
            serde_json::json!(r),
            3 + i as u64,
        );
    }
    m
}

fn report(
    session: u64,
    seq: u64,
    token: u64,
    tasks: &[(&str, u64, TaskState, Option<&str>)],
) -> Heartbeat {
    Heartbeat {
        machine: "m-1".into(),
        address: "10.0.0.1:1".into(),
        machine_type: "k".into(),
        zone: "e".into(),
        spot: false,
        session,
        seq,
        token,
        notice_s: None,
        tasks: tasks
            .iter()
            .map(|(t, attempt, state, why)| TaskReport {
                task: (*t).into(),
                attempt: *attempt,
                state: *state,
                cause: why.map(String::from),
                saved: None,
            })
            .collect(),
    }
}

/// A shard in epoch 3 that is certain of its one empty machine.
fn shard(cache: &StoreCache) -> (Shard, u64) {
    let mut p = Shard::new("a", TIMING, HashMap::new());
    p.start_epoch(3, 7, cache, 0.0, |_| true);
    let first = p.apply_heartbeat(&report(1, 1, 0, &[]), false, cache, 0.1);
    let HeartbeatReply::Accepted { token: t, commands } = first else {
        panic!("refused")
    };
    assert!(
        commands.is_empty(),
        "no commands before the content is certain"
    );
    assert_eq!(t, token(3, 0));
    p.apply_heartbeat(&report(1, 2, t, &[]), false, cache, 0.2);
    (p, t)
}

fn deal(p: &mut Shard, cache: &StoreCache, job: &str, tasks: &[(u32, u64)], seq: u64) {
    let deals = vec![JobAssignment {
        job: job.into(),
        tasks: tasks.to_vec(),
        zone_room: None,
        avoid: Vec::new(),
        assignments: Vec::new(),
    }];
    let o = Orders {
        epoch: 3,
        node: "a".into(),
        seq,
        acknowledged_seq: 0,
        assignments: deals,
        recall: Vec::new(),
        drain: Vec::new(),
        running: None,
        borrowing: Vec::new(),
        transfers: Vec::new(),
    };
    p.apply_orders(&o, cache, 0.3);
}

fn recall(p: &mut Shard, cache: &StoreCache, task: &str, attempt: u64, seq: u64) {
    let task = finchwood::wire::Task::parse(task).expect("a task");
    let o = Orders {
        epoch: 3,
        node: "a".into(),
        seq,
        acknowledged_seq: 0,
        assignments: Vec::new(),
        recall: vec![(task, attempt)],
        drain: Vec::new(),
        running: None,
        borrowing: Vec::new(),
        transfers: Vec::new(),
    };
    p.apply_orders(&o, cache, 0.6);
}

fn snapshot(p: &mut Shard, cache: &StoreCache) -> ShardReport {
    p.snapshot(cache, 1.0)
}

#[test]
fn a_plain_report_is_no_proof_that_an_unanswered_start_is_dead() {
    let m = cache(&[("wk-1", Priority::Low, false)]);
    let (mut p, t) = shard(&m);
    deal(&mut p, &m, "wk-1", &[(0, 50)], 1);
    p.place_queued(
        &m,
        Moment {
            now: 0.4,
            wall_clock_ms: 0,
        },
        || true,
    );
    let directs = p.due_commands(&m, 0.4);
    assert!(matches!(directs[0].body.commands[0], Command::Start { .. }));
    p.command_completed(&"m-1".into(), &directs[0].body, None, &m, 0.5);
    recall(&mut p, &m, "wk-1/0", 50, 2);
    // A report under the start's own token doesn't list it: it may yet come.
    let reply = p.apply_heartbeat(&report(1, 3, t, &[]), false, &m, 0.7);
    let HeartbeatReply::Accepted { token: raised, .. } = reply else {
        panic!("refused")
    };
    assert!(raised > directs[0].body.token, "the late start must die");
    assert!(snapshot(&mut p, &m).removed.is_empty());
    // A report under the raised token is proof.
    p.apply_heartbeat(&report(1, 4, raised, &[]), false, &m, 0.8);
    let s = snapshot(&mut p, &m);
    assert_eq!((s.removed.len(), s.assigned.len()), (1, 0));
}

#[test]
fn a_late_copy_of_a_deal_does_nothing() {
    let m = cache(&[("wk-1", Priority::Low, false)]);
    let (mut p, _) = shard(&m);
    deal(&mut p, &m, "wk-1", &[(0, 50)], 1);
    recall(&mut p, &m, "wk-1/0", 50, 2);
    assert_eq!(snapshot(&mut p, &m).removed.len(), 1);
    deal(&mut p, &m, "wk-1", &[(0, 50)], 1);
    assert!(snapshot(&mut p, &m).assigned.is_empty());
}

#[test]
fn reaps_carry_a_token_above_every_start() {
    let m = cache(&[("wk-1", Priority::Low, false)]);
    let (mut p, t) = shard(&m);
    deal(&mut p, &m, "wk-1", &[(0, 50)], 1);
    p.place_queued(
        &m,
        Moment {
            now: 0.4,
            wall_clock_ms: 0,
        },
        || true,
    );
    let start = p.due_commands(&m, 0.4).remove(0);
    let ran = report(1, 3, t, &[("wk-1/0", 50, TaskState::Running, None)]);
    p.command_completed(&"m-1".into(), &start.body, Some(&ran), &m, 0.5);
    let ended = report(
        1,
        4,
        t,
        &[("wk-1/0", 50, TaskState::Ended, Some("stopped"))],
    );
    let HeartbeatReply::Accepted {
        token: at_reap,
        commands,
    } = p.apply_heartbeat(&ended, false, &m, 0.6)
    else {
        panic!("refused")
    };
    assert!(matches!(commands[0], Command::Forget { .. }));
    assert!(at_reap > start.body.token);
}

#[test]
fn done_is_kept_until_it_is_committed() {
    let mut m = cache(&[("wk-1", Priority::Low, false)]);
    let (mut p, t) = shard(&m);
    let done = |seq| report(1, seq, t, &[("wk-1/2", 40, TaskState::Ended, Some("done"))]);
    let HeartbeatReply::Accepted { commands, .. } = p.apply_heartbeat(&done(3), false, &m, 0.5)
    else {
        panic!("refused")
    };
    assert!(commands.is_empty(), "not committed, not reaped");
    assert_eq!(snapshot(&mut p, &m).assigned[0].phase, TaskPhase::Done);
    m.put("fw/f/wk-1/0", "4".into(), 99);
    p.job_changed(&"wk-1".into(), &m);
    let HeartbeatReply::Accepted { commands, .. } = p.apply_heartbeat(&done(4), false, &m, 0.9)
    else {
        panic!("refused")
    };
    assert!(matches!(commands[0], Command::Forget { .. }));
    assert!(snapshot(&mut p, &m).assigned.is_empty());
}

#[test]
fn running_tasks_of_a_cancelled_job_are_counted_until_they_stop() {
    let m = cache(&[("wk-1", Priority::Low, true)]);
    let (mut p, t) = shard(&m);
    let runs = report(1, 3, t, &[("wk-1/0", 40, TaskState::Running, None)]);
    let HeartbeatReply::Accepted { commands, .. } = p.apply_heartbeat(&runs, false, &m, 0.5) else {
        panic!("refused")
    };
    assert!(matches!(commands[0], Command::Stop { .. }));
    assert_eq!(
        snapshot(&mut p, &m).assigned.len(),
        1,
        "the team's room is still taken"
    );
}

#[test]
fn a_worker_answered_a_moment_ago_has_its_lease() {
    let m = cache(&[("wk-1", Priority::Low, false)]);
    let mut p = Shard::new("a", TIMING, HashMap::new());
    p.start_epoch(3, 7, &m, 0.0, |_| true);
    // Heard once, under an old token, just before the epoch is a lease old.
    p.apply_heartbeat(&report(1, 1, token(2, 5), &[]), false, &m, 27.0);
    p.expire_leases(29.0);
    assert!(!p.snapshot(&m, 29.0).machines[0].reconciled);
    p.expire_leases(27.0 + 21.0);
    assert!(p.snapshot(&m, 48.0).machines[0].reconciled);
    // Its session is over for good, whatever arrives late.
    assert_eq!(
        p.apply_heartbeat(&report(1, 2, token(2, 5), &[]), false, &m, 49.0),
        HeartbeatReply::Refuse
    );
    assert!(
        p.apply_heartbeat(&report(2, 1, token(2, 5), &[]), false, &m, 49.0)
            != HeartbeatReply::Refuse
    );
}

#[test]
fn relayed_reports_do_not_show_that_the_zone_is_reached() {
    let m = cache(&[]);
    let (mut p, t) = shard(&m);
    p.apply_heartbeat(&report(1, 3, t, &[]), true, &m, 9.0);
    let told = p.snapshot(&m, 9.0);
    assert!(told.silent_machines.is_empty(), "it is alive");
    assert!(
        told.zone_contacts[0].1.last_ago_s > 8.0,
        "but its zone was not reached"
    );
}

#[test]
fn higher_work_takes_the_room_of_the_youngest_lower_task() {
    let m = cache(&[
        ("wk-1", Priority::Low, false),
        ("wk-2", Priority::Prod, false),
    ]);
    let (mut p, t) = shard(&m);
    deal(&mut p, &m, "wk-1", &[(0, 50), (1, 51)], 1);
    p.place_queued(
        &m,
        Moment {
            now: 0.4,
            wall_clock_ms: 0,
        },
        || true,
    );
    let start = p.due_commands(&m, 0.4).remove(0);
    let run = |seq| {
        let (a, b) = (
            ("wk-1/0", 50, TaskState::Running, None),
            ("wk-1/1", 51, TaskState::Running, None),
        );
        report(1, seq, t, &[a, b])
    };
    p.command_completed(&"m-1".into(), &start.body, Some(&run(3)), &m, 0.5);
    deal(&mut p, &m, "wk-2", &[(0, 60)], 2);
    p.place_queued(
        &m,
        Moment {
            now: 0.6,
            wall_clock_ms: 0,
        },
        || true,
    );
    let stop = p.due_commands(&m, 0.6).remove(0);
    let stops = stop
        .body
        .commands
        .iter()
        .filter(|c| matches!(c, Command::Stop { .. }))
        .count();
    assert_eq!(stops, 1, "one makes room enough: {:?}", stop.body.commands);
}

#[test]
fn epochs_keep_the_leader_while_it_lives_and_prefer_survivors() {
    let live = |m: &[(&str, u64)]| -> BTreeMap<String, Versioned<MemberRecord>> {
        m.iter()
            .map(|(n, incarnation)| {
                (
                    n.to_string(),
                    Versioned::new(MemberRecord::of_this_version(*incarnation), 1),
                )
            })
            .collect()
    };
    let first = next_epoch(None, &live(&[("a", 1), ("b", 2), ("c", 3)])).expect("an epoch");
    assert_eq!((first.number, first.leader.as_str()), (1, "a"));
    assert_eq!(
        next_epoch(Some(&first), &live(&[("a", 1), ("b", 2), ("c", 3)])),
        None
    );
    let without: Epoch =
        next_epoch(Some(&first), &live(&[("a", 9), ("b", 2), ("c", 3)])).expect("an epoch");
    assert_eq!(
        (without.number, without.leader.as_str()),
        (2, "b"),
        "a restart knows nothing"
    );
    let names: BTreeMap<String, u64> = [("a".to_string(), 1), ("b".to_string(), 2)].into();
    let moved = (0..300)
        .map(|i| format!("m-{i:06}"))
        .filter(|m| {
            owner(&without.members, m) != Some("c")
                && owner(&names, m) != owner(&without.members, m)
        })
        .count();
    assert_eq!(moved, 0, "only the machines of one that left change hands");
    let share = (0..300)
        .filter(|i| owner(&names, &format!("m-{i:06}")) == Some("a"))
        .count();
    assert!((100..200).contains(&share), "{share} of 300");
}

#[test]
fn services_stop_first_what_is_not_made_late() {
    let mut m = cache(&[("wk-2", Priority::Prod, false)]);
    for (id, due) in [("wk-3", 17.8), ("wk-4", 600.0)] {
        let s = JobSpec {
            deadline_s: Some(due),
            ..(*spec(id, 1, Priority::Low)).clone()
        };
        let r = JobRecord {
            spec: Some(Arc::new(s)),
            epoch: 1,
            accepted_at_ms: 0,
            task_count: 1,
            cancelled: false,
            done: false,
            cancelled_at_ms: None,
        };
        m.put(&format!("fw/j/{id}"), serde_json::json!(r), 20);
    }
    let (mut p, t) = shard(&m);
    deal(&mut p, &m, "wk-4", &[(0, 50)], 1);
    p.place_queued(
        &m,
        Moment {
            now: 0.4,
            wall_clock_ms: 0,
        },
        || true,
    );
    deal(&mut p, &m, "wk-3", &[(0, 51)], 2);
    p.place_queued(
        &m,
        Moment {
            now: 0.5,
            wall_clock_ms: 0,
        },
        || true,
    );
    let both = [
        ("wk-4/0", 50, TaskState::Running, None),
        ("wk-3/0", 51, TaskState::Running, None),
    ];
    p.apply_heartbeat(&report(1, 3, t, &both), false, &m, 0.6);
    deal(&mut p, &m, "wk-2", &[(0, 60)], 3);
    // Eight seconds in, the youngest would miss its time if started anew.
    p.place_queued(
        &m,
        Moment {
            now: 1.0,
            wall_clock_ms: 8000,
        },
        || true,
    );
    let stop = p.due_commands(&m, 1.0).remove(0);
    let stopped: Vec<&str> = stop
        .body
        .commands
        .iter()
        .filter_map(|c| {
            if let Command::Stop { task, .. } = c {
                Some(task.as_str())
            } else {
                None
            }
        })
        .collect();
    assert_eq!(stopped, ["wk-4/0"]);
}

/// Without moves, the replicas left at the end of a day hold half-empty
/// machines for as long as they run.
#[test]
fn a_replica_that_has_just_started_is_moved_later() {
    let m = cache(&[("wk-1", Priority::Prod, false)]);
    let (mut p, t) = shard(&m);
    deal(&mut p, &m, "wk-1", &[(0, 50)], 1);
    p.place_queued(
        &m,
        Moment {
            now: 0.4,
            wall_clock_ms: 0,
        },
        || true,
    );
    let start = p.due_commands(&m, 0.4).remove(0);
    let runs = report(1, 3, t, &[("wk-1/0", 50, TaskState::Running, None)]);
    p.command_completed(&"m-1".into(), &start.body, Some(&runs), &m, 0.5);
    recall(&mut p, &m, "wk-1/0", 50, 2);
    assert!(
        p.due_commands(&m, 0.7).is_empty(),
        "a start counts for half a minute"
    );
    let orders = Orders {
        epoch: 3,
        node: "a".into(),
        seq: 3,
        acknowledged_seq: 0,
        assignments: Vec::new(),
        recall: vec![(
            finchwood::wire::Task {
                job: "wk-1".into(),
                index: 0,
            },
            50,
        )],
        drain: Vec::new(),
        running: None,
        borrowing: Vec::new(),
        transfers: Vec::new(),
    };
    p.apply_heartbeat(
        &report(1, 4, t, &[("wk-1/0", 50, TaskState::Running, None)]),
        false,
        &m,
        31.0,
    );
    p.apply_orders(&orders, &m, 31.0);
    assert!(matches!(
        p.due_commands(&m, 31.1)[0].body.commands[0],
        Command::Stop { .. }
    ));
}

#[test]
fn the_rate_budget_waits_and_lets_renewals_go_first() {
    let mut b = TokenBucket::new(10.0, 10.0, 0.0);
    for _ in 0..10 {
        assert!(b.take(1.0, 0.0).is_ok());
    }
    let wait = b.take(1.0, 0.0).expect_err("empty");
    assert!((wait - 0.1).abs() < 1e-9);
    assert!(b.reserve(1.0, 0.0) > 0.0);
    assert!(b.take(1.0, 0.15).is_err(), "the renewal's call is owed");
    assert!(b.take(1.0, 0.25).is_ok());
}

/// A batch of twelve waited for a full bucket while single writes took every
/// token that came in: the machine registry stood still for half a minute.
#[test]
fn a_large_batch_of_writes_gets_its_turn_among_small_ones() {
    let mut b = TokenBucket::new(10.0, 10.0, 0.0);
    assert!(b.reserve(10.0, 0.0) <= 0.0, "a full bucket");
    let large = b.reserve(12.0, 0.0);
    assert!(
        (large - 1.2).abs() < 1e-9,
        "as long as it takes at the rate: {large}"
    );
    let mut before = large;
    for i in 1..=20 {
        let now = f64::from(i) * 0.05;
        let small = now + b.reserve(1.0, now);
        assert!(
            small > before,
            "whoever comes later waits longer: {small} after {before}"
        );
        before = small;
    }
    assert!(
        (before - 3.2).abs() < 1e-9,
        "and nothing is lost of the rate: {before}"
    );
}

fn token_of(reply: HeartbeatReply) -> u64 {
    match reply {
        HeartbeatReply::Accepted { token, .. } => token,
        HeartbeatReply::Refuse => panic!("refused"),
    }
}

/// A copy of an old report may come long after its machine was deleted, to a
/// controller that never saw the original.
#[test]
fn a_late_copy_is_no_sign_of_life_and_brings_no_machine_back() {
    let m = cache(&[("wk-1", Priority::Low, false)]);
    let mut p = Shard::new("a", TIMING, HashMap::new());
    p.start_epoch(3, 7, &m, 0.0, |_| true);
    // On the machine registry and used before: under an older epoch's token it may be
    // from any time. It is asked, and stays silent.
    let old = report(
        1,
        90,
        token(2, 5),
        &[("wk-1/0", 40, TaskState::Running, None)],
    );
    let HeartbeatReply::Accepted { commands, .. } = p.apply_heartbeat(&old, false, &m, 12.0) else {
        panic!("refused")
    };
    assert!(commands.is_empty());
    assert_eq!(p.due_commands(&m, 12.1).len(), 1, "it is asked");
    let told = p.snapshot(&m, 13.0);
    assert!(
        !told.machines[0].has_reported && told.assigned.is_empty(),
        "not alive, and its task not found"
    );
    assert!(told.silent_machines[0].silent_s > 12.0 && told.zone_contacts.is_empty());
    // Off the machine registry: nothing comes back, however many copies come.
    p.unregister_machine(&"m-1".into());
    let mut gone = cache(&[("wk-1", Priority::Low, false)]);
    gone.apply(finchwood::store::KeyChange::Delete {
        key: "fw/r/m-1".into(),
        revision: 99,
    });
    p.apply_heartbeat(&report(1, 91, token(2, 5), &[]), false, &gone, 14.0);
    p.apply_heartbeat(&report(1, 92, token(2, 5), &[]), false, &gone, 15.0);
    assert!(!p
        .snapshot(&gone, 15.0)
        .machines
        .iter()
        .any(|v| v.has_reported || v.registered || v.schedulable));
    p.forget_finished(&gone, 14.0 + 21.0);
    assert_eq!(p.machine_count(), 0);
}

/// A copy of a report that was taken in already proves and renews nothing.
#[test]
fn a_copy_of_a_known_report_is_refused() {
    let m = cache(&[("wk-1", Priority::Low, false)]);
    let (mut p, t) = shard(&m);
    let running = report(1, 3, t, &[("wk-1/0", 40, TaskState::Running, None)]);
    p.apply_heartbeat(&running, false, &m, 1.0);
    // Sent before the task came; it must not count as seen without it.
    assert_eq!(
        p.apply_heartbeat(&report(1, 2, t + 9, &[]), false, &m, 9.0),
        HeartbeatReply::Refuse
    );
    assert_eq!(
        p.apply_heartbeat(&running, false, &m, 9.0),
        HeartbeatReply::Refuse
    );
    let told = p.snapshot(&m, 9.0);
    assert_eq!(told.assigned.len(), 1);
    assert!(told.silent_machines[0].silent_s > 7.9, "no sign of life");
    // Nor does it move the view of the lease: that ends when it ends.
    p.expire_leases(1.0 + 20.5);
    assert_eq!(p.snapshot(&m, 21.5).removed.len(), 1);
}

/// Reports that arrive from a machine that hears nothing: no new work, and
/// after a while the leader knows.
#[test]
fn a_machine_that_heeds_nothing_is_found_out() {
    let m = cache(&[("wk-1", Priority::Low, false)]);
    let (mut p, t) = shard(&m);
    let ended = [("wk-1/0", 40, TaskState::Ended, Some("stopped"))];
    // The first answer reaps, under a higher token, which it never shows.
    let raised = token_of(p.apply_heartbeat(&report(1, 3, t, &ended), false, &m, 1.0));
    assert!(raised > t);
    for i in 0..4 {
        let now = 3.0 + 3.0 * f64::from(i);
        // Through other controllers too: relays do not hide it.
        p.apply_heartbeat(&report(1, 4 + i as u64, t, &ended), i % 2 == 1, &m, now);
        let v = p.snapshot(&m, now).machines.pop();
        if i == 1 {
            assert!(
                v.is_some_and(|v| !v.schedulable && !v.ignores_commands),
                "no new work, but not given up"
            );
        }
    }
    let whole = |p: &mut Shard, now| {
        let o = Orders {
            epoch: 3,
            node: "a".into(),
            seq: now as u64 + 100,
            acknowledged_seq: 0,
            assignments: Vec::new(),
            recall: Vec::new(),
            drain: Vec::new(),
            running: None,
            borrowing: Vec::new(),
            transfers: Vec::new(),
        };
        p.apply_orders(&o, &m, now);
        p.snapshot(&m, now).machines.remove(0)
    };
    assert!(whole(&mut p, 13.0).ignores_commands);
    // Whoever shows the token has heard, and is trusted again.
    let shown = token_of(p.apply_heartbeat(&report(1, 20, t, &ended), false, &m, 13.5));
    p.apply_heartbeat(&report(1, 21, shown, &[]), false, &m, 14.0);
    let v = whole(&mut p, 14.0);
    assert!(!v.ignores_commands && v.schedulable);
}

/// A relayed machine that is told nothing new would look healthy: it is told a
/// higher token, and so is one whose session rose although it was answered.
#[test]
fn a_machine_in_doubt_is_told_a_token_that_it_must_show() {
    let m = cache(&[]);
    let (mut p, t) = shard(&m);
    assert_eq!(
        token_of(p.apply_heartbeat(&report(1, 3, t, &[]), false, &m, 3.0)),
        t,
        "no doubt, no test"
    );
    let tested = token_of(p.apply_heartbeat(&report(1, 4, t, &[]), true, &m, 6.0));
    assert!(tested > t);
    assert_eq!(
        token_of(p.apply_heartbeat(&report(1, 5, tested, &[]), true, &m, 9.0)),
        tested,
        "not all the time"
    );
    assert!(token_of(p.apply_heartbeat(&report(2, 1, tested, &[]), false, &m, 10.0)) > tested);
}

/// A hundred machines that hang filled the pool of direct commands, and what
/// was meant for the others waited behind them.
#[test]
fn silent_machines_do_not_hold_up_commands_for_the_rest() {
    let mut m = cache(&[("wk-1", Priority::Low, false)]);
    for i in 2..9 {
        let r = MachineRecord {
            machine_type: "k".into(),
            zone: "e".into(),
            spot: false,
            in_use: true,
            rented_at_ms: 0,
            address: Some("10.0.0.9:1".into()),
        };
        m.put(&format!("fw/r/m-{i}"), serde_json::json!(r), 30 + i);
    }
    let (mut p, t) = shard(&m);
    deal(&mut p, &m, "wk-1", &[(0, 50)], 1);
    // Eight seconds on, one machine reports; the other seven never have.
    p.apply_heartbeat(&report(1, 3, t, &[]), false, &m, 8.0);
    p.place_queued(
        &m,
        Moment {
            now: 8.1,
            wall_clock_ms: 0,
        },
        || true,
    );
    let room = CommandCapacity {
        responsive: 4,
        unverified: 2,
    };
    let out = p.due_commands_within(&m, 8.1, room);
    let to = |unverified: bool| out.iter().filter(|d| d.unverified == unverified).count();
    assert_eq!((to(false), to(true)), (1, 2));
    // Those without room are asked next, without a word that was never sent
    // having raised their token.
    let next = p.due_commands_within(
        &m,
        8.2,
        CommandCapacity {
            responsive: 4,
            unverified: 100,
        },
    );
    assert_eq!(next.len(), 5);
    assert!(next
        .iter()
        .all(|d| d.unverified && d.body.token == token(3, 0)));
}
