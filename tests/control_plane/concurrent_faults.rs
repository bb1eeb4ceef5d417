//! Two faults at once, one small case for each pair that broke a rule or could
//! have: the real leader and shard, driven directly. `docs/concurrent-faults.md` lists them.

use crate::builders::*;
use finchwood::autoscaler::{plan_scale_out, PendingDemand, ScalingPolicy};
use finchwood::cluster::membership::{renewed_epoch, token, MAX_COUNTER};
use finchwood::scheduler::Leader;
use finchwood::shard::{Orders, Shard, TaskPhase};
use finchwood::store::cache::StoreCache;
use finchwood::store::records::{Epoch, JobRecord};
use finchwood::wire::{Catalog, Command, CommandBatch, Heartbeat, JobSpec, TaskState};
use serde_json::json;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

// Unidirectional reachability: heartbeats reach nobody, direct commands arrive. The lease
// runs out again and again, and each new session has a whole lease from when it
// began. Broke `ran_twice`.
#[test]
fn a_session_that_began_later_has_its_whole_lease() {
    let s = job_spec("wk-1", 1, |_| {});
    let m = store_cache(1, &[&s]);
    let mut p = new_shard(&m);
    // Taken over at 0, never heard. Asked directly at 25: it is in session 4 now.
    let ask = p.due_commands(&m, 25.0);
    let done = |p: &mut Shard, body: &CommandBatch, r: &Heartbeat, now: f64| {
        p.command_completed(&"m-1".into(), body, Some(r), &m, now);
    };
    done(&mut p, &ask[0].body, &heartbeat_from(1, 4, 1, 0, &[]), 25.0);
    let ask = p.due_commands(&m, 25.1);
    done(
        &mut p,
        &ask[0].body,
        &heartbeat_from(1, 4, 2, token(EPOCH, 0), &[]),
        25.1,
    );
    p.apply_orders(&orders(1, assignments("wk-1", &[(0, 50)])), &m, 25.2);
    place_tasks(&mut p, &m, 25.2);
    let start = p.due_commands(&m, 25.2);
    assert!(matches!(
        start[0].body.commands[..],
        [Command::Start { .. }]
    ));
    let runs = [("wk-1/0", 50, TaskState::Running, None)];
    done(
        &mut p,
        &start[0].body,
        &heartbeat_from(1, 4, 3, start[0].body.token, &runs),
        25.3,
    );
    // The epoch and a lease are long past, but not this session's lease.
    p.expire_leases(29.0);
    let told = p.next_report(&m, 29.0);
    assert!(told.removed.is_empty(), "it runs there: {:?}", told.removed);
    p.expire_leases(46.0);
    assert_eq!(
        p.next_report(&m, 46.0).removed.len(),
        1,
        "now its worker has killed it"
    );
}

#[test]
fn a_machine_that_obeys_but_does_not_report_is_no_room_and_is_found_out() {
    let s = job_spec("wk-1", 1, |_| {});
    let m = store_cache(1, &[&s]);
    let mut p = new_shard(&m);
    let t = reconcile_machine(&mut p, &m, 1, 0.2);
    let (mut seq, mut open_until, mut found) = (2, 0.0, None);
    for i in 1..60 {
        let now = 0.2 + f64::from(i) * 0.5;
        for d in p.due_commands(&m, now) {
            seq += 1;
            p.command_completed(
                &d.machine,
                &d.body,
                Some(&heartbeat_from(1, 1, seq, t, &[])),
                &m,
                now,
            );
        }
        let told = p.next_report(&m, now);
        let view = told.machines.iter().find(|v| &*v.id == "m-1");
        if view.is_some_and(|v| v.schedulable) {
            open_until = now;
        }
        if view.is_some_and(|v| v.ignores_commands) {
            found = found.or(Some(now));
        }
    }
    assert!(
        open_until < TIMING.report_s * 4.0,
        "room until {open_until}"
    );
    let found = found.expect("never found out");
    assert!(found < TIMING.lease_s, "only after its lease: {found}");
    // It reports again: nothing is wrong with it.
    p.apply_heartbeat(&heartbeat_from(1, 1, seq + 1, t, &[]), false, &m, 31.0);
    let told = p.next_report(&m, 31.0);
    assert!(told
        .machines
        .iter()
        .all(|v| v.schedulable && !v.ignores_commands));
}

// In an outage longer than that nobody may command or answer: whoever obeyed just
// before it and just after it is not unidirectional, and neither is one that was refused.
#[test]
fn an_outage_makes_no_machine_look_unidirectional() {
    let s = job_spec("wk-1", 1, |_| {});
    let m = store_cache(1, &[&s]);
    let mut p = new_shard(&m);
    let t = reconcile_machine(&mut p, &m, 1, 0.2);
    let mut seq = 2;
    let mut obeys = |p: &mut Shard, now: f64| {
        for d in p.due_commands(&m, now) {
            seq += 1;
            p.command_completed(
                &d.machine,
                &d.body,
                Some(&heartbeat_from(1, 1, seq, t, &[])),
                &m,
                now,
            );
        }
        p.next_report(&m, now)
            .machines
            .iter()
            .any(|v| v.ignores_commands)
    };
    assert!(!obeys(&mut p, 5.0));
    assert!(!obeys(&mut p, 65.0), "nothing was sent to it for a minute");
    let looks_unidirectional = (0..24).any(|i| {
        // Its reports come, and are refused.
        p.record_heartbeat_received(&"m-1".into());
        obeys(&mut p, 66.0 + f64::from(i))
    });
    assert!(!looks_unidirectional);
}

// The last task's end is reported by a shard that hasn't heard of the
// cancellation, to a leader that has. Broke `went_back`: the user had been told
// `cancelled`, and then the job was committed as done.
#[test]
fn an_end_that_is_reported_after_the_cancellation_makes_no_job_done() {
    let s = job_spec("wk-1", 1, |_| {});
    let mut m = store_cache(1, &[&s]);
    let (mut l, mut p, tokens) = leader_and_shard(&m, 1);
    scheduling_round(&mut l, &mut p, &m, 0.5);
    let (t, calls) =
        accepted(p.apply_heartbeat(&heartbeat_from(1, 1, 3, tokens[0], &[]), false, &m, 0.6));
    let Command::Start { attempt, .. } = calls[0] else {
        panic!("{calls:?}")
    };
    let behind = store_cache(1, &[&s]);
    m.put("fw/j/wk-1", job_record(&s, true), 200);
    l.job_changed(&"wk-1".into(), &m);
    let ended = [("wk-1/0", attempt, TaskState::Ended, Some("done"))];
    p.apply_heartbeat(&heartbeat_from(1, 1, 4, t, &ended), false, &behind, 0.7);
    let told = p.next_report(&behind, 0.8);
    assert!(
        told.assigned.iter().any(|h| h.phase == TaskPhase::Done),
        "the part reports its end"
    );
    assert!(l.apply_shard_report(told, &m, 0.8));
    assert_eq!(l.completions_to_commit(0.9, 9, &m), Vec::new());
}

// A task saves because it was to move, and then its job is cancelled: with a
// `stash_s` above `cancel_s` it would go on saving for too long.
#[test]
fn a_task_that_saves_is_ended_when_its_job_is_cancelled() {
    let s = job_spec("wk-1", 1, |v| {
        v["molt_s"] = 5.0.into();
        v["stash_s"] = 90.0.into();
    });
    let mut m = store_cache(1, &[&s]);
    let mut p = new_shard(&m);
    let t = reconcile_machine(&mut p, &m, 1, 0.2);
    p.apply_orders(&orders(1, assignments("wk-1", &[(0, 50)])), &m, 0.3);
    place_tasks(&mut p, &m, 0.3);
    accepted(p.apply_heartbeat(&heartbeat_from(1, 1, 3, t, &[]), false, &m, 0.4));
    p.apply_heartbeat(
        &heartbeat_from(1, 1, 4, t, &[("wk-1/0", 50, TaskState::Running, None)]),
        false,
        &m,
        0.5,
    );
    let task = finchwood::wire::Task::parse("wk-1/0").expect("a task");
    p.apply_orders(
        &Orders {
            recall: vec![(task, 50)],
            ..orders(2, Vec::new())
        },
        &m,
        40.0,
    );
    let saving = [("wk-1/0", 50, TaskState::Saving, None)];
    let (_, calls) =
        accepted(p.apply_heartbeat(&heartbeat_from(1, 1, 5, t, &saving), false, &m, 40.1));
    assert!(calls.is_empty(), "it saves: {calls:?}");
    m.put("fw/j/wk-1", job_record(&s, true), 200);
    p.job_changed(&"wk-1".into(), &m);
    let direct = p.due_commands(&m, 40.2);
    let ends = |c: &Command| matches!(c, Command::Stop { grace_s, .. } if *grace_s == 0.0);
    assert!(
        direct[0].body.commands.iter().any(ends),
        "{:?}",
        direct[0].body
    );
}

// Owners change faster than a worker reports, and each answers it before it is
// certain of it. Each of these answers renews the lease of what runs there.
#[test]
fn an_answer_to_an_unreconciled_machine_stops_cancelled_tasks() {
    let (s, other) = (job_spec("wk-1", 1, |_| {}), job_spec("wk-2", 1, |_| {}));
    let mut m = store_cache(1, &[&s, &other]);
    m.put("fw/j/wk-1", job_record(&s, true), 200);
    let mut p = new_shard(&m);
    let runs = [
        ("wk-1/0", 50, TaskState::Running, None),
        ("wk-2/0", 51, TaskState::Running, None),
    ];
    let (_, calls) = accepted(p.apply_heartbeat(
        &heartbeat_from(1, 1, 9, token(EPOCH - 1, 4), &runs),
        false,
        &m,
        0.2,
    ));
    assert_eq!(
        calls,
        [Command::Stop {
            task: "wk-1/0".into(),
            attempt: 50,
            grace_s: 0.0
        }]
    );
    // The same by a direct command, which may reach it when answers don't.
    let direct = p.due_commands(&m, 0.3);
    assert_eq!(direct[0].body.commands, calls);
}

// Direct commands don't reach a machine while its reports are answered: a higher
// token for each question kept it uncertain for as long as that lasted.
#[test]
fn unanswered_queries_leave_no_machine_unreconciled() {
    let s = job_spec("wk-1", 1, |_| {});
    let m = store_cache(1, &[&s]);
    let mut p = new_shard(&m);
    let (mut t, mut seq) = (0, 0);
    for step in 0..160u32 {
        let now = f64::from(step) * 0.1;
        // Slow to report, within the quarter that intervals vary by.
        if step % 37 == 0 {
            seq += 1;
            t = accepted(p.apply_heartbeat(&heartbeat_from(1, 1, seq, t, &[]), false, &m, now)).0;
        }
        for d in p.due_commands(&m, now) {
            p.command_completed(&d.machine, &d.body, None, &m, now + 0.05);
        }
    }
    let told = p.next_report(&m, 16.0);
    assert!(told.machines[0].reconciled, "{:?}", told.machines[0]);
}

// A worker that shows the highest token of an epoch can't be told a higher one:
// no start there could ever be proven dead.
#[test]
fn nothing_is_started_where_the_token_can_not_be_raised() {
    let s = job_spec("wk-1", 1, |_| {});
    let m = store_cache(1, &[&s]);
    let mut p = new_shard(&m);
    let top = token(EPOCH, MAX_COUNTER);
    assert!(top < token(EPOCH + 1, 0), "epochs don't overlap");
    p.apply_heartbeat(&heartbeat_from(1, 1, 1, top, &[]), false, &m, 0.2);
    p.apply_heartbeat(&heartbeat_from(1, 1, 2, top, &[]), false, &m, 0.3);
    p.apply_orders(&orders(1, assignments("wk-1", &[(0, 50)])), &m, 0.4);
    place_tasks(&mut p, &m, 0.4);
    let (t, calls) =
        accepted(p.apply_heartbeat(&heartbeat_from(1, 1, 3, top, &[]), false, &m, 0.5));
    assert_eq!((t, calls), (top, Vec::new()));
    assert!(p
        .due_commands(&m, 0.6)
        .iter()
        .all(|d| d.body.commands.is_empty()));
    assert!(
        p.next_report(&m, 0.7).machines[0].ignores_commands,
        "it is to be replaced"
    );
}

/// The number of an attempt takes its epoch's place if it grows too large: a leader
/// stops before, and the next epoch has all numbers anew.
#[test]
fn a_leader_that_runs_out_of_attempt_numbers_waits_for_the_next_epoch() {
    let s = job_spec("wk-1", 3, |_| {});
    let m = store_cache(2, &[&s]);
    let (mut l, mut p, _) = leader_and_shard(&m, 2);
    l.attempt_limit = 2;
    scheduling_round(&mut l, &mut p, &m, 1.0);
    assert_eq!(
        l.counts().assigned_tasks,
        0,
        "none of three, as two numbers are left"
    );
    l.attempt_limit = 5;
    scheduling_round(&mut l, &mut p, &m, 2.0);
    assert_eq!(l.counts().assigned_tasks, 3);
    assert!(l.needs_new_epoch());
    let present = Epoch {
        number: EPOCH,
        members: [("a".to_string(), 7)].into_iter().collect(),
        leader: "a".into(),
        uses_shard_map: false,
    };
    let next = renewed_epoch(&present);
    assert_eq!(
        (next.number, &next.members, &next.leader),
        (EPOCH + 1, &present.members, &present.leader)
    );
    assert!(l.start_epoch(&next, 7, &m) && !l.needs_new_epoch());
}

/// Another controller notifies this one while the key-value store refuses it.
#[test]
fn a_cancellation_notice_is_applied_in_any_order() {
    let s = job_spec("wk-1", 2, |_| {});
    let mut m = store_cache(1, &[&s]);
    let id = "wk-1".into();
    assert!(
        !m.apply_cancellation(&"wk-9".into(), 200, 5),
        "a job that isn't known yet"
    );
    assert!(
        !m.apply_cancellation(&id, 100, 5),
        "older than what is known"
    );
    assert!(m.apply_cancellation(&id, 200, 5));
    assert!(!m.apply_cancellation(&id, 200, 5), "said again");
    assert!(!m.jobs["wk-1"].is_live());
    // The record as it was before comes from a slow reading.
    m.put("fw/j/wk-1", job_record(&s, false), 100);
    m.put("fw/j/wk-1", job_record(&s, true), 200);
    assert!(m.jobs["wk-1"].record.cancelled);
    let done = JobRecord {
        done: true,
        ..serde_json::from_value(job_record(&s, false)).expect("a record")
    };
    let mut m = store_cache(1, &[&s]);
    m.put("fw/j/wk-1", json!(done), 150);
    assert!(
        !m.apply_cancellation(&id, 200, 5),
        "what is done stays done"
    );
}

// A worker that hangs, or obeys nothing, holds on to a cancelled task.
#[test]
fn machines_not_proven_rid_of_cancelled_tasks_are_named_in_time() {
    let (s, other) = (job_spec("wk-1", 1, |_| {}), job_spec("wk-2", 1, |_| {}));
    let mut m = store_cache(2, &[&s, &other]);
    let (mut l, mut p, tokens) = leader_and_shard(&m, 2);
    scheduling_round(&mut l, &mut p, &m, 0.5);
    for (i, t) in tokens.iter().enumerate() {
        accepted(p.apply_heartbeat(&heartbeat_from(i + 1, 1, 3, *t, &[]), false, &m, 0.6));
    }
    let after = settings_with(&[]).expect("settings").evict_after_s();
    m.put("fw/j/wk-1", job_record(&s, true), 200);
    l.job_changed(&"wk-1".into(), &m);
    p.job_changed(&"wk-1".into(), &m);
    assert!(l.apply_shard_report(p.next_report(&m, 1.0), &m, 1.0));
    let at_ms = 10_000;
    let later = |s: f64| at_ms + (s * 1000.0) as u64;
    assert!(
        l.machines_with_cancelled_tasks(&m, later(after - 1.0), after)
            .is_empty(),
        "it may be stopped yet"
    );
    assert_eq!(
        l.machines_with_cancelled_tasks(&m, later(after + 1.0), after)
            .len(),
        1,
        "the other job's machine stays"
    );
    // Proven gone: nothing is left to do.
    let gone = l
        .machines_with_cancelled_tasks(&m, later(after + 1.0), after)
        .into_iter()
        .next()
        .expect("a machine");
    p.unregister_machine(&gone);
    assert!(l.apply_shard_report(p.next_report(&m, 2.0), &m, 2.0));
    assert!(l
        .machines_with_cancelled_tasks(&m, later(after + 1.0), after)
        .is_empty());
}

// The bound on how long a task can outlive its cancellation, from the settings.
#[test]
fn settings_in_which_a_cancellation_can_not_be_kept_end_the_start() {
    for (lease, cancel) in [
        (20.0, 40.0),
        (20.0, 26.0),
        (31.0, 56.0),
        (26.5, 46.5),
        (20.0, 24.0),
    ] {
        let (l, c) = (
            format!("lease_s = {lease:.1}"),
            format!("cancel_s = {cancel:.1}"),
        );
        let s = settings_with(&[("lease_s = 20.0", &l), ("cancel_s = 40.0", &c)]).expect(&c);
        assert!(
            s.cancellation_bound_s() < cancel,
            "{} of {cancel}",
            s.cancellation_bound_s()
        );
        assert!(s.max_staleness_s() > 0.0 && s.member_lease_s() <= lease * 0.4);
        assert!(s.evict_after_s() < cancel);
    }
    for cancel in ["cancel_s = 10.0", "cancel_s = 20.0", "cancel_s = 23.0"] {
        let error = settings_with(&[("cancel_s = 40.0", cancel)]).expect_err(cancel);
        assert!(
            error.contains("cancel_s") && error.lines().count() == 1,
            "{error}"
        );
    }
}

// What is left of a job that is bound to one zone binds the rest: a machine for
// it is rented there, and nowhere else.
#[test]
fn machines_are_rented_where_the_rest_of_a_bound_job_is() {
    let one = job_spec("wk-1", 4, |v| v["one_zone"] = true.into());
    let m = store_cache(0, &[]);
    let catalog: &Catalog = m.catalog.as_ref().expect("types");
    // Zone `e` has the fewer machines, and is otherwise chosen.
    let all = [("w".into(), 5)].into_iter().collect();
    let rented = |spec: &Arc<JobSpec>, there: &[(&str, u32)], count: u32| -> Vec<String> {
        let tasks_in_zone = there.iter().map(|(z, n)| ((*z).into(), *n)).collect();
        let demand = PendingDemand {
            task_resources: spec.task_resources(),
            count,
            spec: spec.clone(),
            age_s: 99.0,
            spot_only: false,
            tasks_in_zone,
        };
        let offers = plan_scale_out(
            &[demand],
            &[],
            &all,
            catalog,
            &ScalingPolicy::default(),
            &|_| false,
        );
        offers.keys().map(|o| o.zone.to_string()).collect()
    };
    assert_eq!(rented(&one, &[], 4), ["e"]);
    assert_eq!(rented(&one, &[("w", 2)], 2), ["w"]);
    let scattered = job_spec("wk-2", 4, |v| v["scatter"] = true.into());
    assert_eq!(rented(&scattered, &[("e", 2)], 2), ["w"]);
}

/// Two controllers, machines alternating between them.
fn two_shards(cache: &StoreCache, machines: usize) -> Leader {
    let mut l = Leader::new(&settings_with(&[]).expect("settings"));
    let members: BTreeMap<String, u64> = [("a".to_string(), 7), ("b".to_string(), 8)]
        .into_iter()
        .collect();
    l.start_epoch(
        &Epoch {
            number: EPOCH,
            members,
            leader: "a".into(),
            uses_shard_map: false,
        },
        7,
        cache,
    );
    for (n, (name, incarnation)) in [("a", 7), ("b", 8)].into_iter().enumerate() {
        let mut p = Shard::new(name, TIMING, HashMap::new());
        let owns = |id: &str| id[2..].parse::<usize>().is_ok_and(|i| (i - 1) / 2 % 2 == n);
        p.start_epoch(EPOCH, incarnation, cache, 0.0, owns);
        for i in (1..=machines).filter(|i| owns(&format!("m-{i}"))) {
            reconcile_machine(&mut p, cache, i, 0.2);
        }
        assert!(l.apply_shard_report(p.next_report(cache, 0.3), cache, 0.3));
    }
    l.reconcile(cache, &|_| false);
    l
}

// A zone has room for a job that must be in one, but no controller alone has so
// many machines there: it waited for ever.
#[test]
fn a_job_for_one_zone_is_split_over_shards_that_are_too_small_for_it() {
    let s = job_spec("wk-1", 4, |v| {
        v["one_zone"] = true.into();
        v["shape"] = "standing".into();
        v["cpus"] = 4.0.into();
    });
    let m = store_cache(8, &[&s]);
    let mut l = two_shards(&m, 8);
    let touched = l.assign_tasks(&m, 0.5, || true);
    assert_eq!(touched.len(), 2, "both take some of it");
    let mut zones = std::collections::BTreeSet::new();
    let mut tasks = 0;
    for node in ["a", "b"] {
        let o = l.orders(node).expect("orders");
        tasks += o.assignments.iter().map(|d| d.tasks.len()).sum::<usize>();
        let room = o
            .assignments
            .iter()
            .filter_map(|d| d.zone_capacity.clone())
            .flatten();
        zones.extend(room.map(|(z, _)| z));
    }
    assert_eq!((tasks, zones.len()), (4, 1));
}

// A service in one zone loses a machine, the zone has no room left, another has
// room for all of it: it moves as a whole, once every task is proven gone.
#[test]
fn a_service_that_its_zone_has_no_room_for_moves_as_a_whole() {
    let s = job_spec("wk-1", 2, |v| {
        v["one_zone"] = true.into();
        v["shape"] = "standing".into();
        v["cpus"] = 4.0.into();
    });
    let mut m = store_cache(4, &[&s]);
    let (mut l, mut p, mut tokens) = leader_and_shard(&m, 4);
    scheduling_round(&mut l, &mut p, &m, 0.5);
    let mut on: BTreeMap<usize, (String, u64)> = BTreeMap::new();
    let mut seq = 3;
    let mut obey =
        |p: &mut Shard, m: &StoreCache, on: &mut BTreeMap<usize, (String, u64)>, now: f64| {
            seq += 2;
            for i in (1..=4usize).filter(|i| m.registry.contains_key(format!("m-{i}").as_str())) {
                for again in 0..2 {
                    let runs: Vec<ReportedTask> = on
                        .get(&i)
                        .iter()
                        .map(|(t, a)| (t.as_str(), *a, TaskState::Running, None))
                        .collect();
                    let r = heartbeat_from(i, 1, seq + again, tokens[i - 1], &runs);
                    let (t, calls) = accepted(p.apply_heartbeat(&r, false, m, now));
                    tokens[i - 1] = t;
                    for c in calls {
                        match c {
                            Command::Start { task, attempt } => drop(on.insert(i, (task, attempt))),
                            Command::Stop { .. } => drop(on.remove(&i)),
                            Command::Forget { .. } => {}
                        }
                    }
                }
            }
            let zones: std::collections::BTreeSet<usize> = on.keys().map(|i| i % 2).collect();
            assert!(zones.len() <= 1, "in two zones at {now}: {on:?}");
        };
    obey(&mut p, &m, &mut on, 0.6);
    assert_eq!(on.len(), 2);
    let hash_owner = on.keys().next().expect("a machine") % 2;
    let lost = *on.keys().next().expect("a machine");
    on.remove(&lost);
    let id = format!("m-{lost}");
    m.apply(finchwood::store::KeyChange::Delete {
        key: format!("fw/r/{id}"),
        revision: 300,
    });
    p.unregister_machine(&id.as_str().into());
    for i in 1..200 {
        let now = 1.0 + f64::from(i) * 0.5;
        scheduling_round(&mut l, &mut p, &m, now);
        obey(&mut p, &m, &mut on, now);
    }
    assert_eq!(on.len(), 2, "it runs again: {on:?}");
    assert!(
        on.keys().all(|i| i % 2 != hash_owner),
        "in the other zone: {on:?}"
    );
}

// A team is at its limit when the leader changes, one of its machines can't be
// asked, and the job that may run there is cancelled: nothing is free before it
// is proven gone, and that proof comes.
#[test]
fn a_team_at_its_limit_gets_nothing_for_a_cancellation_before_proof() {
    let (old, new) = (job_spec("wk-1", 4, |_| {}), job_spec("wk-2", 4, |_| {}));
    let mut m = store_cache(4, &[&old]);
    let mut accepted_job: JobRecord =
        serde_json::from_value(job_record(&new, false)).expect("a record");
    accepted_job.epoch = EPOCH;
    m.put("fw/j/wk-2", json!(accepted_job), 150);
    let mut l =
        Leader::new(&settings_with(&[("cpus_max = 400.0", "cpus_max = 8.0")]).expect("settings"));
    l.start_epoch(
        &Epoch {
            number: EPOCH,
            members: [("a".to_string(), 7)].into_iter().collect(),
            leader: "a".into(),
            uses_shard_map: false,
        },
        7,
        &m,
    );
    let mut p = new_shard(&m);
    let mut tokens: Vec<u64> = (1..=3)
        .map(|i| reconcile_machine(&mut p, &m, i, 0.2))
        .collect();
    let mut seq = 2;
    let mut dealt = |l: &mut Leader, p: &mut Shard, m: &StoreCache, now: f64| {
        seq += 1;
        for i in 1..=3 {
            tokens[i - 1] = accepted(p.apply_heartbeat(
                &heartbeat_from(i, 1, seq, tokens[i - 1], &[]),
                false,
                m,
                now,
            ))
            .0;
        }
        p.expire_leases(now);
        assert!(l.apply_shard_report(p.next_report(m, now), m, now));
        l.reconcile(m, &|_| false);
        l.assign_tasks(m, now, || true);
        let o = l.orders("a").expect("orders");
        p.apply_orders(
            &Orders {
                assignments: Vec::new(),
                ..o.clone()
            },
            m,
            now,
        );
        o.assignments.iter().map(|d| d.tasks.len()).sum::<usize>()
    };
    assert_eq!(
        dealt(&mut l, &mut p, &m, 0.5),
        0,
        "the fourth machine may hold all that is allowed"
    );
    m.put("fw/j/wk-1", job_record(&old, true), 200);
    l.job_changed(&"wk-1".into(), &m);
    p.job_changed(&"wk-1".into(), &m);
    assert_eq!(
        dealt(&mut l, &mut p, &m, 1.0),
        0,
        "a cancellation is no proof"
    );
    assert_eq!(
        dealt(&mut l, &mut p, &m, 27.0),
        0,
        "its worker's lease may not be past"
    );
    assert_eq!(
        dealt(&mut l, &mut p, &m, 29.0),
        4,
        "it is: nothing is unreconciled any more"
    );
}

/// Guard: a machine that is up within a second or two is used at once, while writes
/// lag; the next leader must find on the machine registry that it may hold tasks.
#[test]
fn a_machine_gets_no_task_before_its_mark_as_up_is_committed() {
    let job = job_spec("wk-1", 1, |_| {});
    let mut cache = store_cache(1, &[&job]);
    let mut record = cache.registry["m-1"].record.clone();
    record.in_use = false;
    cache.put("fw/r/m-1", json!(record), 200);
    let mut shard = new_shard(&cache);
    let token = reconcile_machine(&mut shard, &cache, 1, 0.2);
    assert!(
        !shard.next_report(&cache, 0.3).machines[0].schedulable,
        "it reports, and takes nothing yet"
    );
    shard.apply_orders(&orders(1, assignments("wk-1", &[(0, 50)])), &cache, 0.4);
    place_tasks(&mut shard, &cache, 0.5);
    let (token, calls) =
        accepted(shard.apply_heartbeat(&heartbeat_from(1, 1, 3, token, &[]), false, &cache, 0.6));
    assert_eq!(calls, []);
    record.in_use = true;
    cache.put("fw/r/m-1", json!(record.clone()), 201);
    shard.register_machine(&"m-1".into(), &record, 0.7);
    shard.apply_orders(&orders(2, assignments("wk-1", &[(0, 51)])), &cache, 0.8);
    place_tasks(&mut shard, &cache, 0.9);
    let (_, calls) =
        accepted(shard.apply_heartbeat(&heartbeat_from(1, 1, 4, token, &[]), false, &cache, 1.0));
    assert!(
        matches!(calls[..], [Command::Start { attempt: 51, .. }]),
        "{calls:?}"
    );
}
