//! What proves that a task runs on no machine. Only this proof frees the task's capacity and
//! lets it start elsewhere.

use crate::builders::{place_tasks, TIMING};
use crate::one_machine::{assign, cache_with, heartbeat, recall, reconciled_shard};
use finchwood::cluster::membership::token;
use finchwood::shard::{HeartbeatReply, Shard, TaskPhase};
use finchwood::wire::{Command, Priority, TaskState};
use std::collections::HashMap;

#[test]
fn only_a_heartbeat_with_a_raised_token_proves_that_an_unanswered_start_has_no_effect() {
    let cache = cache_with(&[("wk-1", Priority::Low, false)]);
    let (mut shard, fencing_token) = reconciled_shard(&cache);
    assign(&mut shard, &cache, "wk-1", &[(0, 50)], 1);
    place_tasks(&mut shard, &cache, 0.4);
    let commands = shard.due_commands(&cache, 0.4);
    assert!(matches!(
        commands[0].body.commands[0],
        Command::Start { .. }
    ));
    shard.command_completed(&"m-1".into(), &commands[0].body, None, &cache, 0.5);
    recall(&mut shard, &cache, "wk-1/0", 50, 2);
    // A heartbeat that carries the start's own token doesn't list the task, but the start may
    // still arrive.
    let reply = shard.apply_heartbeat(&heartbeat(1, 3, fencing_token, &[]), false, &cache, 0.7);
    let HeartbeatReply::Accepted { token: raised, .. } = reply else {
        panic!("the heartbeat was refused")
    };
    assert!(
        raised > commands[0].body.token,
        "the token is not above that of the start, which the worker would still accept"
    );
    assert!(shard.next_report(&cache, 1.0).removed.is_empty());
    // A heartbeat that carries the raised token is proof: the worker has not executed the start,
    // and rejects it from now on.
    shard.apply_heartbeat(&heartbeat(1, 4, raised, &[]), false, &cache, 0.8);
    let report = shard.next_report(&cache, 1.0);
    assert_eq!((report.removed.len(), report.assigned.len()), (1, 0));
}

#[test]
fn a_late_copy_of_an_assignment_is_ignored() {
    let cache = cache_with(&[("wk-1", Priority::Low, false)]);
    let (mut shard, _) = reconciled_shard(&cache);
    assign(&mut shard, &cache, "wk-1", &[(0, 50)], 1);
    recall(&mut shard, &cache, "wk-1/0", 50, 2);
    assert_eq!(shard.next_report(&cache, 1.0).removed.len(), 1);
    assign(&mut shard, &cache, "wk-1", &[(0, 50)], 1);
    assert!(shard.next_report(&cache, 1.0).assigned.is_empty());
}

#[test]
fn forget_commands_carry_a_token_above_that_of_every_start() {
    let cache = cache_with(&[("wk-1", Priority::Low, false)]);
    let (mut shard, fencing_token) = reconciled_shard(&cache);
    assign(&mut shard, &cache, "wk-1", &[(0, 50)], 1);
    place_tasks(&mut shard, &cache, 0.4);
    let start = shard.due_commands(&cache, 0.4).remove(0);
    let running = heartbeat(
        1,
        3,
        fencing_token,
        &[("wk-1/0", 50, TaskState::Running, None)],
    );
    shard.command_completed(&"m-1".into(), &start.body, Some(&running), &cache, 0.5);
    let ended = heartbeat(
        1,
        4,
        fencing_token,
        &[("wk-1/0", 50, TaskState::Ended, Some("stopped"))],
    );
    let HeartbeatReply::Accepted {
        token: forget_token,
        commands,
    } = shard.apply_heartbeat(&ended, false, &cache, 0.6)
    else {
        panic!("the heartbeat was refused")
    };
    assert!(matches!(commands[0], Command::Forget { .. }));
    assert!(forget_token > start.body.token);
}

#[test]
fn a_completed_task_is_kept_until_it_is_committed() {
    let mut cache = cache_with(&[("wk-1", Priority::Low, false)]);
    let (mut shard, fencing_token) = reconciled_shard(&cache);
    let heartbeat_with_completed = |sequence| {
        heartbeat(
            1,
            sequence,
            fencing_token,
            &[("wk-1/2", 40, TaskState::Ended, Some("done"))],
        )
    };
    let HeartbeatReply::Accepted { commands, .. } =
        shard.apply_heartbeat(&heartbeat_with_completed(3), false, &cache, 0.5)
    else {
        panic!("the heartbeat was refused")
    };
    assert!(
        commands.is_empty(),
        "a forget command was sent before the task was committed as finished"
    );
    assert_eq!(
        shard.next_report(&cache, 1.0).assigned[0].phase,
        TaskPhase::Done
    );
    cache.put("fw/f/wk-1/0", "4".into(), 99);
    shard.job_changed(&"wk-1".into(), &cache);
    let HeartbeatReply::Accepted { commands, .. } =
        shard.apply_heartbeat(&heartbeat_with_completed(4), false, &cache, 0.9)
    else {
        panic!("the heartbeat was refused")
    };
    assert!(matches!(commands[0], Command::Forget { .. }));
    assert!(shard.next_report(&cache, 1.0).assigned.is_empty());
}

#[test]
fn running_tasks_of_a_cancelled_job_are_counted_until_they_stop() {
    let cache = cache_with(&[("wk-1", Priority::Low, true)]);
    let (mut shard, fencing_token) = reconciled_shard(&cache);
    let running = heartbeat(
        1,
        3,
        fencing_token,
        &[("wk-1/0", 40, TaskState::Running, None)],
    );
    let HeartbeatReply::Accepted { commands, .. } =
        shard.apply_heartbeat(&running, false, &cache, 0.5)
    else {
        panic!("the heartbeat was refused")
    };
    assert!(matches!(commands[0], Command::Stop { .. }));
    assert_eq!(
        shard.next_report(&cache, 1.0).assigned.len(),
        1,
        "the task no longer counts towards its team's usage before it has stopped"
    );
}

#[test]
fn a_lease_expires_only_a_full_lease_after_the_last_reply() {
    let cache = cache_with(&[("wk-1", Priority::Low, false)]);
    let mut shard = Shard::new("a", TIMING, HashMap::new());
    shard.start_epoch(3, 7, &cache, 0.0, |_| true);
    // The worker's only heartbeat carries a token of an earlier epoch. It is replied to shortly
    // before the leases that earlier owners may have renewed count as expired.
    shard.apply_heartbeat(&heartbeat(1, 1, token(2, 5), &[]), false, &cache, 27.0);
    shard.expire_leases(29.0);
    assert!(!shard.next_report(&cache, 29.0).machines[0].reconciled);
    shard.expire_leases(27.0 + 21.0);
    assert!(shard.next_report(&cache, 48.0).machines[0].reconciled);
    // The session has ended for good: late heartbeats of it are refused.
    assert_eq!(
        shard.apply_heartbeat(&heartbeat(1, 2, token(2, 5), &[]), false, &cache, 49.0),
        HeartbeatReply::Refused
    );
    assert!(
        shard.apply_heartbeat(&heartbeat(2, 1, token(2, 5), &[]), false, &cache, 49.0)
            != HeartbeatReply::Refused
    );
}
