//! Tests of two faults at once, on the real leader and shard driven directly: one small case
//! for each pair of faults that broke a rule or could have. `docs/concurrent-faults.md` lists
//! the pairs.

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

// Guards against `ran_twice` when a machine is reachable in one direction only: the worker's
// heartbeats reach no controller, but direct commands reach the worker. Its lease expires again
// and again, and each new session has a full lease from its own start, in which its tasks may
// still run.
#[test]
fn each_session_has_a_full_lease_from_its_own_start() {
    let spec = job_spec("wk-1", 1, |_| {});
    let cache = store_cache(1, &[&spec]);
    let mut shard = new_shard(&cache);
    // The shard took over the machine at 0 s and has received no heartbeat from it. A probe
    // at 25 s finds it in session 4.
    let probes = shard.due_commands(&cache, 25.0);
    let complete = |shard: &mut Shard, body: &CommandBatch, heartbeat: &Heartbeat, now: f64| {
        shard.command_completed(&"m-1".into(), body, Some(heartbeat), &cache, now);
    };
    complete(
        &mut shard,
        &probes[0].body,
        &heartbeat_from(1, 4, 1, 0, &[]),
        25.0,
    );
    let probes = shard.due_commands(&cache, 25.1);
    complete(
        &mut shard,
        &probes[0].body,
        &heartbeat_from(1, 4, 2, token(EPOCH, 0), &[]),
        25.1,
    );
    shard.apply_orders(&orders(1, assignments("wk-1", &[(0, 50)])), &cache, 25.2);
    place_tasks(&mut shard, &cache, 25.2);
    let starts = shard.due_commands(&cache, 25.2);
    assert!(matches!(
        starts[0].body.commands[..],
        [Command::Start { .. }]
    ));
    let tasks = [("wk-1/0", 50, TaskState::Running, None)];
    complete(
        &mut shard,
        &starts[0].body,
        &heartbeat_from(1, 4, 3, starts[0].body.token, &tasks),
        25.3,
    );
    // More than a lease has passed since the epoch started, but this session's lease has not
    // expired.
    shard.expire_leases(29.0);
    let report = shard.next_report(&cache, 29.0);
    assert!(
        report.removed.is_empty(),
        "the task may still run there: {:?}",
        report.removed
    );
    shard.expire_leases(46.0);
    assert_eq!(
        shard.next_report(&cache, 46.0).removed.len(),
        1,
        "the lease has expired, so that the worker has killed the task"
    );
}

#[test]
fn a_machine_that_obeys_commands_but_sends_no_heartbeats_is_reported_and_unschedulable() {
    let spec = job_spec("wk-1", 1, |_| {});
    let cache = store_cache(1, &[&spec]);
    let mut shard = new_shard(&cache);
    let token = reconcile_machine(&mut shard, &cache, 1, 0.2);
    let (mut seq, mut schedulable_until, mut reported_at) = (2, 0.0, None);
    for step in 1..60 {
        let now = 0.2 + f64::from(step) * 0.5;
        for command in shard.due_commands(&cache, now) {
            seq += 1;
            shard.command_completed(
                &command.machine,
                &command.body,
                Some(&heartbeat_from(1, 1, seq, token, &[])),
                &cache,
                now,
            );
        }
        let report = shard.next_report(&cache, now);
        let status = report.machines.iter().find(|status| &*status.id == "m-1");
        if status.is_some_and(|status| status.schedulable) {
            schedulable_until = now;
        }
        if status.is_some_and(|status| status.ignores_commands) {
            reported_at = reported_at.or(Some(now));
        }
    }
    assert!(
        schedulable_until < TIMING.report_s * 4.0,
        "schedulable until {schedulable_until} s"
    );
    let reported_at = reported_at.expect("the machine was never reported as ignoring commands");
    assert!(
        reported_at < TIMING.lease_s,
        "reported only at {reported_at} s, after its lease had expired"
    );
    // Once it sends heartbeats again, it is schedulable and no longer reported.
    shard.apply_heartbeat(
        &heartbeat_from(1, 1, seq + 1, token, &[]),
        false,
        &cache,
        31.0,
    );
    let report = shard.next_report(&cache, 31.0);
    assert!(report
        .machines
        .iter()
        .all(|status| status.schedulable && !status.ignores_commands));
}

// During an outage, no controller may send commands or reply to heartbeats. A machine that
// responded to commands just before and just after a long outage must not count as reachable
// in one direction only, and neither must a machine whose heartbeats were refused.
#[test]
fn an_outage_does_not_make_a_machine_count_as_ignoring_commands() {
    let spec = job_spec("wk-1", 1, |_| {});
    let cache = store_cache(1, &[&spec]);
    let mut shard = new_shard(&cache);
    let token = reconcile_machine(&mut shard, &cache, 1, 0.2);
    let mut seq = 2;
    // Responds to all due commands, and returns whether the shard then reports the machine as
    // ignoring commands.
    let mut ignores_commands_after_responding = |shard: &mut Shard, now: f64| {
        for command in shard.due_commands(&cache, now) {
            seq += 1;
            shard.command_completed(
                &command.machine,
                &command.body,
                Some(&heartbeat_from(1, 1, seq, token, &[])),
                &cache,
                now,
            );
        }
        shard
            .next_report(&cache, now)
            .machines
            .iter()
            .any(|status| status.ignores_commands)
    };
    assert!(!ignores_commands_after_responding(&mut shard, 5.0));
    assert!(
        !ignores_commands_after_responding(&mut shard, 65.0),
        "no commands were sent to the machine for a minute"
    );
    let ever_ignored_commands = (0..24).any(|second| {
        // Its heartbeats arrive, and are refused.
        shard.record_heartbeat_received(&"m-1".into());
        ignores_commands_after_responding(&mut shard, 66.0 + f64::from(second))
    });
    assert!(!ever_ignored_commands);
}

// Guards against `went_back`: a shard that has not received the cancellation reports the end
// of the job's last task to a leader that has. The job was committed as done after it had been
// reported to the user as `cancelled`.
#[test]
fn a_task_end_reported_after_the_cancellation_does_not_complete_the_job() {
    let spec = job_spec("wk-1", 1, |_| {});
    let mut cache = store_cache(1, &[&spec]);
    let (mut leader, mut shard, tokens) = leader_and_shard(&cache, 1);
    scheduling_round(&mut leader, &mut shard, &cache, 0.5);
    let (token, commands) = accepted(shard.apply_heartbeat(
        &heartbeat_from(1, 1, 3, tokens[0], &[]),
        false,
        &cache,
        0.6,
    ));
    let Command::Start { attempt, .. } = commands[0] else {
        panic!("{commands:?}")
    };
    let stale_cache = store_cache(1, &[&spec]);
    cache.put("fw/j/wk-1", job_record(&spec, true), 200);
    leader.job_changed(&"wk-1".into(), &cache);
    let ended = [("wk-1/0", attempt, TaskState::Ended, Some("done"))];
    shard.apply_heartbeat(
        &heartbeat_from(1, 1, 4, token, &ended),
        false,
        &stale_cache,
        0.7,
    );
    let report = shard.next_report(&stale_cache, 0.8);
    assert!(
        report
            .assigned
            .iter()
            .any(|assigned| assigned.phase == TaskPhase::Done),
        "the shard should report that the task is done"
    );
    assert!(leader.apply_shard_report(report, &cache, 0.8));
    assert_eq!(leader.completions_to_commit(0.9, 9, &cache), Vec::new());
}

// A task is saving its state because it is to be moved, and then its job is cancelled. With
// a `stash_s` above `cancel_s` it would go on saving for longer than a cancellation may take.
#[test]
fn a_saving_task_is_stopped_at_once_when_its_job_is_cancelled() {
    let spec = job_spec("wk-1", 1, |fields| {
        fields["molt_s"] = 5.0.into();
        fields["stash_s"] = 90.0.into();
    });
    let mut cache = store_cache(1, &[&spec]);
    let mut shard = new_shard(&cache);
    let token = reconcile_machine(&mut shard, &cache, 1, 0.2);
    shard.apply_orders(&orders(1, assignments("wk-1", &[(0, 50)])), &cache, 0.3);
    place_tasks(&mut shard, &cache, 0.3);
    accepted(shard.apply_heartbeat(&heartbeat_from(1, 1, 3, token, &[]), false, &cache, 0.4));
    shard.apply_heartbeat(
        &heartbeat_from(1, 1, 4, token, &[("wk-1/0", 50, TaskState::Running, None)]),
        false,
        &cache,
        0.5,
    );
    let task = finchwood::wire::Task::parse("wk-1/0").expect("a task");
    shard.apply_orders(
        &Orders {
            recall: vec![(task, 50)],
            ..orders(2, Vec::new())
        },
        &cache,
        40.0,
    );
    let saving = [("wk-1/0", 50, TaskState::Saving, None)];
    let (_, commands) = accepted(shard.apply_heartbeat(
        &heartbeat_from(1, 1, 5, token, &saving),
        false,
        &cache,
        40.1,
    ));
    assert!(
        commands.is_empty(),
        "a saving task gets no command: {commands:?}"
    );
    cache.put("fw/j/wk-1", job_record(&spec, true), 200);
    shard.job_changed(&"wk-1".into(), &cache);
    let direct_commands = shard.due_commands(&cache, 40.2);
    let stops_at_once =
        |command: &Command| matches!(command, Command::Stop { grace_s, .. } if *grace_s == 0.0);
    assert!(
        direct_commands[0].body.commands.iter().any(stops_at_once),
        "{:?}",
        direct_commands[0].body
    );
}

// The owner of a machine changes more often than the worker sends heartbeats, and each owner
// replies to a heartbeat before it has reconciled the machine. Each reply renews the worker's
// lease and so lets its tasks run on, so that each reply must also stop cancelled tasks.
#[test]
fn a_reply_to_an_unreconciled_machine_stops_cancelled_tasks() {
    let (spec, other) = (job_spec("wk-1", 1, |_| {}), job_spec("wk-2", 1, |_| {}));
    let mut cache = store_cache(1, &[&spec, &other]);
    cache.put("fw/j/wk-1", job_record(&spec, true), 200);
    let mut shard = new_shard(&cache);
    let tasks = [
        ("wk-1/0", 50, TaskState::Running, None),
        ("wk-2/0", 51, TaskState::Running, None),
    ];
    let (_, commands) = accepted(shard.apply_heartbeat(
        &heartbeat_from(1, 1, 9, token(EPOCH - 1, 4), &tasks),
        false,
        &cache,
        0.2,
    ));
    assert_eq!(
        commands,
        [Command::Stop {
            task: "wk-1/0".into(),
            attempt: 50,
            grace_s: 0.0
        }]
    );
    // A direct command also stops them, as it may reach the worker when replies don't.
    let direct_commands = shard.due_commands(&cache, 0.3);
    assert_eq!(direct_commands[0].body.commands, commands);
}

// Guards against a machine that stays unreconciled: direct commands don't reach it, while its
// heartbeats are replied to. Each failed probe raised the token, so that no heartbeat carried
// the current one for as long as the probes failed.
#[test]
fn unanswered_probes_do_not_keep_a_machine_unreconciled() {
    let spec = job_spec("wk-1", 1, |_| {});
    let cache = store_cache(1, &[&spec]);
    let mut shard = new_shard(&cache);
    let (mut token, mut seq) = (0, 0);
    for step in 0..160u32 {
        let now = f64::from(step) * 0.1;
        // A heartbeat arrives every 3.7 s. That is late, but within the quarter by which the
        // intervals of 3 s may vary.
        if step % 37 == 0 {
            seq += 1;
            token = accepted(shard.apply_heartbeat(
                &heartbeat_from(1, 1, seq, token, &[]),
                false,
                &cache,
                now,
            ))
            .0;
        }
        for probe in shard.due_commands(&cache, now) {
            shard.command_completed(&probe.machine, &probe.body, None, &cache, now + 0.05);
        }
    }
    let report = shard.next_report(&cache, 16.0);
    assert!(report.machines[0].reconciled, "{:?}", report.machines[0]);
}

// The token of a worker that reports the highest token of an epoch can't be raised. A start
// sent to the worker could then never be proven to have no further effect.
#[test]
fn no_task_starts_on_a_machine_whose_token_cannot_be_raised() {
    let spec = job_spec("wk-1", 1, |_| {});
    let cache = store_cache(1, &[&spec]);
    let mut shard = new_shard(&cache);
    let highest = token(EPOCH, MAX_COUNTER);
    assert!(
        highest < token(EPOCH + 1, 0),
        "the tokens of two epochs overlap"
    );
    shard.apply_heartbeat(&heartbeat_from(1, 1, 1, highest, &[]), false, &cache, 0.2);
    shard.apply_heartbeat(&heartbeat_from(1, 1, 2, highest, &[]), false, &cache, 0.3);
    shard.apply_orders(&orders(1, assignments("wk-1", &[(0, 50)])), &cache, 0.4);
    place_tasks(&mut shard, &cache, 0.4);
    let (token, commands) =
        accepted(shard.apply_heartbeat(&heartbeat_from(1, 1, 3, highest, &[]), false, &cache, 0.5));
    assert_eq!((token, commands), (highest, Vec::new()));
    assert!(shard
        .due_commands(&cache, 0.6)
        .iter()
        .all(|direct| direct.body.commands.is_empty()));
    assert!(
        shard.next_report(&cache, 0.7).machines[0].ignores_commands,
        "the machine should be reported as ignoring commands"
    );
}

// An attempt counter that grows too large would overflow into the bits of the epoch. A leader
// stops assigning tasks before that, and the next epoch starts with all numbers unused.
#[test]
fn a_leader_that_runs_out_of_attempt_numbers_waits_for_the_next_epoch() {
    let spec = job_spec("wk-1", 3, |_| {});
    let cache = store_cache(2, &[&spec]);
    let (mut leader, mut shard, _) = leader_and_shard(&cache, 2);
    leader.attempt_limit = 2;
    scheduling_round(&mut leader, &mut shard, &cache, 1.0);
    assert_eq!(
        leader.counts().assigned_tasks,
        0,
        "three tasks should not be assigned with two numbers left"
    );
    leader.attempt_limit = 5;
    scheduling_round(&mut leader, &mut shard, &cache, 2.0);
    assert_eq!(leader.counts().assigned_tasks, 3);
    assert!(leader.needs_new_epoch());
    let current = Epoch {
        number: EPOCH,
        members: [("a".to_string(), 7)].into_iter().collect(),
        leader: "a".into(),
        uses_shard_map: false,
    };
    let next = renewed_epoch(&current);
    assert_eq!(
        (next.number, &next.members, &next.leader),
        (EPOCH + 1, &current.members, &current.leader)
    );
    assert!(leader.start_epoch(&next, 7, &cache) && !leader.needs_new_epoch());
}

// Another controller notifies this one of a cancellation while the key-value store refuses
// this one's requests. The notice may arrive before or after the stored records.
#[test]
fn a_cancellation_notice_may_arrive_in_any_order() {
    let spec = job_spec("wk-1", 2, |_| {});
    let mut cache = store_cache(1, &[&spec]);
    let id = "wk-1".into();
    assert!(
        !cache.apply_cancellation(&"wk-9".into(), 200, 5),
        "the job is not in the cache yet"
    );
    assert!(
        !cache.apply_cancellation(&id, 100, 5),
        "the notice is older than the cached record"
    );
    assert!(cache.apply_cancellation(&id, 200, 5));
    assert!(
        !cache.apply_cancellation(&id, 200, 5),
        "the notice was applied already"
    );
    assert!(!cache.jobs["wk-1"].is_live());
    // A slow read returns the record as it was before the cancellation.
    cache.put("fw/j/wk-1", job_record(&spec, false), 100);
    cache.put("fw/j/wk-1", job_record(&spec, true), 200);
    assert!(cache.jobs["wk-1"].record.cancelled);
    let done = JobRecord {
        done: true,
        ..serde_json::from_value(job_record(&spec, false)).expect("a record")
    };
    let mut cache = store_cache(1, &[&spec]);
    cache.put("fw/j/wk-1", json!(done), 150);
    assert!(
        !cache.apply_cancellation(&id, 200, 5),
        "a job that is done stays done"
    );
}

// A worker that hangs or ignores commands may run a cancelled task for too long: its machine
// has to be listed for deletion while there is time.
#[test]
fn machines_that_may_still_run_cancelled_tasks_are_listed_in_time() {
    let (spec, other) = (job_spec("wk-1", 1, |_| {}), job_spec("wk-2", 1, |_| {}));
    let mut cache = store_cache(2, &[&spec, &other]);
    let (mut leader, mut shard, tokens) = leader_and_shard(&cache, 2);
    scheduling_round(&mut leader, &mut shard, &cache, 0.5);
    for (index, token) in tokens.iter().enumerate() {
        accepted(shard.apply_heartbeat(
            &heartbeat_from(index + 1, 1, 3, *token, &[]),
            false,
            &cache,
            0.6,
        ));
    }
    let evict_after_s = settings_with(&[]).expect("settings").evict_after_s();
    cache.put("fw/j/wk-1", job_record(&spec, true), 200);
    leader.job_changed(&"wk-1".into(), &cache);
    shard.job_changed(&"wk-1".into(), &cache);
    assert!(leader.apply_shard_report(shard.next_report(&cache, 1.0), &cache, 1.0));
    let cancelled_at_ms = 10_000;
    let wall_clock_ms_after = |seconds: f64| cancelled_at_ms + (seconds * 1000.0) as u64;
    assert!(
        leader
            .machines_with_cancelled_tasks(
                &cache,
                wall_clock_ms_after(evict_after_s - 1.0),
                evict_after_s
            )
            .is_empty(),
        "the task may still be stopped in time"
    );
    assert_eq!(
        leader
            .machines_with_cancelled_tasks(
                &cache,
                wall_clock_ms_after(evict_after_s + 1.0),
                evict_after_s
            )
            .len(),
        1,
        "only the machine of the cancelled job should be listed"
    );
    // Once the machine is unregistered, the task is confirmed to run on no machine, and nothing
    // is listed.
    let machine = leader
        .machines_with_cancelled_tasks(
            &cache,
            wall_clock_ms_after(evict_after_s + 1.0),
            evict_after_s,
        )
        .into_iter()
        .next()
        .expect("a machine");
    shard.unregister_machine(&machine);
    assert!(leader.apply_shard_report(shard.next_report(&cache, 2.0), &cache, 2.0));
    assert!(leader
        .machines_with_cancelled_tasks(
            &cache,
            wall_clock_ms_after(evict_after_s + 1.0),
            evict_after_s
        )
        .is_empty());
}

// The bound on how long a task can outlive the cancellation of its job follows from the
// settings and has to be below `cancel_s`.
#[test]
fn settings_keep_the_cancellation_bound_or_are_rejected() {
    for (lease_s, cancel_s) in [
        (20.0, 40.0),
        (20.0, 26.0),
        (31.0, 56.0),
        (26.5, 46.5),
        (20.0, 24.0),
    ] {
        let (lease_line, cancel_line) = (
            format!("lease_s = {lease_s:.1}"),
            format!("cancel_s = {cancel_s:.1}"),
        );
        let settings = settings_with(&[
            ("lease_s = 20.0", &lease_line),
            ("cancel_s = 40.0", &cancel_line),
        ])
        .expect(&cancel_line);
        assert!(
            settings.cancellation_bound_s() < cancel_s,
            "the bound is {} s with cancel_s = {cancel_s}",
            settings.cancellation_bound_s()
        );
        assert!(settings.max_staleness_s() > 0.0 && settings.member_lease_s() <= lease_s * 0.4);
        assert!(settings.evict_after_s() < cancel_s);
    }
    for cancel_line in ["cancel_s = 10.0", "cancel_s = 20.0", "cancel_s = 23.0"] {
        let error = settings_with(&[("cancel_s = 40.0", cancel_line)]).expect_err(cancel_line);
        assert!(
            error.contains("cancel_s") && error.lines().count() == 1,
            "{error}"
        );
    }
}

// The tasks of a one-zone job that are already assigned determine the zone of the others:
// machines for the others are rented in that zone only. For a `scatter` job they are rented in
// another zone.
#[test]
fn machines_for_the_rest_of_a_one_zone_job_are_rented_in_its_zone() {
    let one_zone = job_spec("wk-1", 4, |fields| fields["one_zone"] = true.into());
    let cache = store_cache(0, &[]);
    let catalog: &Catalog = cache.catalog.as_ref().expect("types");
    // Zone `e` has fewer machines, and is chosen if the job has no tasks in a zone yet.
    let machines_by_zone = [("w".into(), 5)].into_iter().collect();
    let rental_zones = |spec: &Arc<JobSpec>, assigned: &[(&str, u32)], count: u32| -> Vec<String> {
        let tasks_in_zone = assigned
            .iter()
            .map(|(zone, tasks)| ((*zone).into(), *tasks))
            .collect();
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
            &machines_by_zone,
            catalog,
            &ScalingPolicy::default(),
            &|_| false,
        );
        offers.keys().map(|offer| offer.zone.to_string()).collect()
    };
    assert_eq!(rental_zones(&one_zone, &[], 4), ["e"]);
    assert_eq!(rental_zones(&one_zone, &[("w", 2)], 2), ["w"]);
    let scattered = job_spec("wk-2", 4, |fields| fields["scatter"] = true.into());
    assert_eq!(rental_zones(&scattered, &[("e", 2)], 2), ["w"]);
}

/// Returns a leader that has reports from the shards of two controllers, `a` and `b`, which own
/// the machines in alternating pairs.
fn leader_of_two_shards(cache: &StoreCache, machines: usize) -> Leader {
    let mut leader = Leader::new(&settings_with(&[]).expect("settings"));
    let members: BTreeMap<String, u64> = [("a".to_string(), 7), ("b".to_string(), 8)]
        .into_iter()
        .collect();
    leader.start_epoch(
        &Epoch {
            number: EPOCH,
            members,
            leader: "a".into(),
            uses_shard_map: false,
        },
        7,
        cache,
    );
    for (position, (name, incarnation)) in [("a", 7), ("b", 8)].into_iter().enumerate() {
        let mut shard = Shard::new(name, TIMING, HashMap::new());
        let owns = |id: &str| {
            id[2..]
                .parse::<usize>()
                .is_ok_and(|n| (n - 1) / 2 % 2 == position)
        };
        shard.start_epoch(EPOCH, incarnation, cache, 0.0, owns);
        for machine in (1..=machines).filter(|machine| owns(&format!("m-{machine}"))) {
            reconcile_machine(&mut shard, cache, machine, 0.2);
        }
        assert!(leader.apply_shard_report(shard.next_report(cache, 0.3), cache, 0.3));
    }
    leader.reconcile(cache, &|_| false);
    leader
}

// Guards against a job that waits forever: a zone has enough free capacity for a one-zone
// job, but no single controller owns enough machines there.
#[test]
fn a_one_zone_job_is_split_over_shards_that_are_too_small_for_it() {
    let spec = job_spec("wk-1", 4, |fields| {
        fields["one_zone"] = true.into();
        fields["shape"] = "standing".into();
        fields["cpus"] = 4.0.into();
    });
    let cache = store_cache(8, &[&spec]);
    let mut leader = leader_of_two_shards(&cache, 8);
    let shards_with_new_orders = leader.assign_tasks(&cache, 0.5, || true);
    assert_eq!(
        shards_with_new_orders.len(),
        2,
        "both shards should get tasks of the job"
    );
    let mut zones = std::collections::BTreeSet::new();
    let mut tasks = 0;
    for node in ["a", "b"] {
        let orders = leader.orders(node).expect("orders");
        tasks += orders
            .assignments
            .iter()
            .map(|assignment| assignment.tasks.len())
            .sum::<usize>();
        let capacity = orders
            .assignments
            .iter()
            .filter_map(|assignment| assignment.zone_allowances.clone())
            .flatten();
        zones.extend(capacity.map(|(zone, _)| zone));
    }
    assert_eq!((tasks, zones.len()), (4, 1));
}

// A one-zone service loses a machine. Its zone has no free capacity left, while another zone
// has enough for all replicas: the service moves as a whole, once each of its tasks is
// confirmed to run on no machine.
#[test]
fn a_one_zone_service_without_capacity_in_its_zone_moves_as_a_whole() {
    let spec = job_spec("wk-1", 2, |fields| {
        fields["one_zone"] = true.into();
        fields["shape"] = "standing".into();
        fields["cpus"] = 4.0.into();
    });
    let mut cache = store_cache(4, &[&spec]);
    let (mut leader, mut shard, mut tokens) = leader_and_shard(&cache, 4);
    scheduling_round(&mut leader, &mut shard, &cache, 0.5);
    let mut running: BTreeMap<usize, (String, u64)> = BTreeMap::new();
    let mut seq = 3;
    let mut report_and_obey = |shard: &mut Shard,
                               cache: &StoreCache,
                               running: &mut BTreeMap<usize, (String, u64)>,
                               now: f64| {
        seq += 2;
        for machine in (1..=4usize)
            .filter(|machine| cache.registry.contains_key(format!("m-{machine}").as_str()))
        {
            for repeat in 0..2 {
                let tasks: Vec<ReportedTask> = running
                    .get(&machine)
                    .iter()
                    .map(|(task, attempt)| (task.as_str(), *attempt, TaskState::Running, None))
                    .collect();
                let heartbeat =
                    heartbeat_from(machine, 1, seq + repeat, tokens[machine - 1], &tasks);
                let (token, commands) =
                    accepted(shard.apply_heartbeat(&heartbeat, false, cache, now));
                tokens[machine - 1] = token;
                for command in commands {
                    match command {
                        Command::Start { task, attempt } => {
                            drop(running.insert(machine, (task, attempt)))
                        }
                        Command::Stop { .. } => drop(running.remove(&machine)),
                        Command::Forget { .. } => {}
                    }
                }
            }
        }
        let zones: std::collections::BTreeSet<usize> =
            running.keys().map(|machine| machine % 2).collect();
        assert!(
            zones.len() <= 1,
            "tasks run in two zones at {now} s: {running:?}"
        );
    };
    report_and_obey(&mut shard, &cache, &mut running, 0.6);
    assert_eq!(running.len(), 2);
    let first_zone = running.keys().next().expect("a machine") % 2;
    let lost_machine = *running.keys().next().expect("a machine");
    running.remove(&lost_machine);
    let id = format!("m-{lost_machine}");
    cache.apply(finchwood::store::KeyChange::Delete {
        key: format!("fw/r/{id}"),
        revision: 300,
    });
    shard.unregister_machine(&id.as_str().into());
    for step in 1..200 {
        let now = 1.0 + f64::from(step) * 0.5;
        scheduling_round(&mut leader, &mut shard, &cache, now);
        report_and_obey(&mut shard, &cache, &mut running, now);
    }
    assert_eq!(
        running.len(),
        2,
        "both replicas should run again: {running:?}"
    );
    assert!(
        running.keys().all(|machine| machine % 2 != first_zone),
        "all replicas should run in the other zone: {running:?}"
    );
}

// A team is at its limit when the leader changes, one of the machines is silent, and the job
// that may run there is cancelled. The job's quota is freed only once its tasks are confirmed
// to run on no machine, which they are when the lease of the silent machine expires.
#[test]
fn a_cancellation_frees_no_quota_before_the_tasks_are_confirmed_to_run_on_no_machine() {
    let (cancelled, waiting) = (job_spec("wk-1", 4, |_| {}), job_spec("wk-2", 4, |_| {}));
    let mut cache = store_cache(4, &[&cancelled]);
    let mut accepted_job: JobRecord =
        serde_json::from_value(job_record(&waiting, false)).expect("a record");
    accepted_job.epoch = EPOCH;
    cache.put("fw/j/wk-2", json!(accepted_job), 150);
    let mut leader =
        Leader::new(&settings_with(&[("cpus_max = 400.0", "cpus_max = 8.0")]).expect("settings"));
    leader.start_epoch(
        &Epoch {
            number: EPOCH,
            members: [("a".to_string(), 7)].into_iter().collect(),
            leader: "a".into(),
            uses_shard_map: false,
        },
        7,
        &cache,
    );
    let mut shard = new_shard(&cache);
    let mut tokens: Vec<u64> = (1..=3)
        .map(|machine| reconcile_machine(&mut shard, &cache, machine, 0.2))
        .collect();
    let mut seq = 2;
    let mut tasks_assigned_in_round =
        |leader: &mut Leader, shard: &mut Shard, cache: &StoreCache, now: f64| {
            seq += 1;
            for machine in 1..=3 {
                tokens[machine - 1] = accepted(shard.apply_heartbeat(
                    &heartbeat_from(machine, 1, seq, tokens[machine - 1], &[]),
                    false,
                    cache,
                    now,
                ))
                .0;
            }
            shard.expire_leases(now);
            assert!(leader.apply_shard_report(shard.next_report(cache, now), cache, now));
            leader.reconcile(cache, &|_| false);
            leader.assign_tasks(cache, now, || true);
            let orders = leader.orders("a").expect("orders");
            shard.apply_orders(
                &Orders {
                    assignments: Vec::new(),
                    ..orders.clone()
                },
                cache,
                now,
            );
            orders
                .assignments
                .iter()
                .map(|assignment| assignment.tasks.len())
                .sum::<usize>()
        };
    assert_eq!(
        tasks_assigned_in_round(&mut leader, &mut shard, &cache, 0.5),
        0,
        "the fourth machine may have tasks up to the team's limit"
    );
    cache.put("fw/j/wk-1", job_record(&cancelled, true), 200);
    leader.job_changed(&"wk-1".into(), &cache);
    shard.job_changed(&"wk-1".into(), &cache);
    assert_eq!(
        tasks_assigned_in_round(&mut leader, &mut shard, &cache, 1.0),
        0,
        "a cancellation does not prove that the tasks have stopped"
    );
    assert_eq!(
        tasks_assigned_in_round(&mut leader, &mut shard, &cache, 27.0),
        0,
        "the worker's lease may not have expired"
    );
    assert_eq!(
        tasks_assigned_in_round(&mut leader, &mut shard, &cache, 29.0),
        4,
        "the lease has expired, so that nothing is unreconciled"
    );
}

// A machine that is up within a second or two could be used at once, while the write that
// marks it as in use is still pending. The next leader must find in the machine registry that
// the machine may have tasks.
#[test]
fn a_machine_gets_no_task_before_its_in_use_mark_is_committed() {
    let job = job_spec("wk-1", 1, |_| {});
    let mut cache = store_cache(1, &[&job]);
    let mut record = cache.registry["m-1"].record.clone();
    record.in_use = false;
    cache.put("fw/r/m-1", json!(record), 200);
    let mut shard = new_shard(&cache);
    let token = reconcile_machine(&mut shard, &cache, 1, 0.2);
    assert!(
        !shard.next_report(&cache, 0.3).machines[0].schedulable,
        "a machine that is not marked as in use takes no tasks"
    );
    shard.apply_orders(&orders(1, assignments("wk-1", &[(0, 50)])), &cache, 0.4);
    place_tasks(&mut shard, &cache, 0.5);
    let (token, commands) =
        accepted(shard.apply_heartbeat(&heartbeat_from(1, 1, 3, token, &[]), false, &cache, 0.6));
    assert_eq!(commands, []);
    record.in_use = true;
    cache.put("fw/r/m-1", json!(record.clone()), 201);
    shard.register_machine(&"m-1".into(), &record, 0.7);
    shard.apply_orders(&orders(2, assignments("wk-1", &[(0, 51)])), &cache, 0.8);
    place_tasks(&mut shard, &cache, 0.9);
    let (_, commands) =
        accepted(shard.apply_heartbeat(&heartbeat_from(1, 1, 4, token, &[]), false, &cache, 1.0));
    assert!(
        matches!(commands[..], [Command::Start { attempt: 51, .. }]),
        "{commands:?}"
    );
}
