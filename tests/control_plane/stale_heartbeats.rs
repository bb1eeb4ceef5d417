//! Heartbeats that are late, repeated or relayed prove less than new ones that arrive directly
//! from their machine.

use crate::builders::*;
use crate::one_machine::{cache_with, heartbeat, reconciled_shard};
use finchwood::cluster::membership::token;
use finchwood::shard::{HeartbeatReply, Shard};
use finchwood::store::KeyChange;
use finchwood::wire::{Priority, TaskState};
use std::collections::HashMap;

#[test]
fn relayed_heartbeats_do_not_show_that_the_zone_is_reachable() {
    let cache = cache_with(&[]);
    let (mut shard, fencing_token) = reconciled_shard(&cache);
    shard.apply_heartbeat(&heartbeat(1, 3, fencing_token, &[]), true, &cache, 9.0);
    let report = shard.next_report(&cache, 9.0);
    assert!(
        report.silent_machines.is_empty(),
        "the machine counts as silent although its heartbeat was relayed"
    );
    assert!(
        report.zone_contacts[0].1.last_ago_s > 8.0,
        "the relayed heartbeat counts as a contact with the zone"
    );
}

/// A late copy of an old heartbeat may arrive long after its machine was deleted, at a
/// controller that never received the original.
#[test]
fn a_late_copy_of_a_heartbeat_neither_proves_liveness_nor_restores_a_deleted_machine() {
    let cache = cache_with(&[("wk-1", Priority::Low, false)]);
    let mut shard = Shard::new("a", TIMING, HashMap::new());
    shard.start_epoch(3, 7, &cache, 0.0, |_| true);
    // The machine is registered and was used before: a heartbeat with a token of an earlier
    // epoch may be of any age. The machine is probed, and doesn't respond.
    let old = heartbeat(
        1,
        90,
        token(2, 5),
        &[("wk-1/0", 40, TaskState::Running, None)],
    );
    let HeartbeatReply::Accepted { commands, .. } =
        shard.apply_heartbeat(&old, false, &cache, 12.0)
    else {
        panic!("the heartbeat was refused")
    };
    assert!(commands.is_empty());
    assert_eq!(
        shard.due_commands(&cache, 12.1).len(),
        1,
        "the machine is not probed"
    );
    let report = shard.next_report(&cache, 13.0);
    assert!(
        !report.machines[0].has_reported && report.assigned.is_empty(),
        "the copy was taken as proof that the machine is alive or that the task is on it"
    );
    assert!(report.silent_machines[0].silent_s > 12.0 && report.zone_contacts.is_empty());
    // Once the machine is no longer in the machine registry, it stays deleted, however many
    // copies arrive.
    shard.unregister_machine(&"m-1".into());
    let mut cache_after_deletion = cache_with(&[("wk-1", Priority::Low, false)]);
    cache_after_deletion.apply(KeyChange::Delete {
        key: "fw/r/m-1".into(),
        revision: 99,
    });
    shard.apply_heartbeat(
        &heartbeat(1, 91, token(2, 5), &[]),
        false,
        &cache_after_deletion,
        14.0,
    );
    shard.apply_heartbeat(
        &heartbeat(1, 92, token(2, 5), &[]),
        false,
        &cache_after_deletion,
        15.0,
    );
    assert!(!shard
        .next_report(&cache_after_deletion, 15.0)
        .machines
        .iter()
        .any(|machine| machine.has_reported || machine.registered || machine.schedulable));
    shard.forget_finished(&cache_after_deletion, 14.0 + 21.0);
    assert_eq!(shard.machine_count(), 0);
}

/// A copy of a heartbeat that was already applied proves nothing and renews no lease.
#[test]
fn a_copy_of_an_applied_heartbeat_is_refused() {
    let cache = cache_with(&[("wk-1", Priority::Low, false)]);
    let (mut shard, fencing_token) = reconciled_shard(&cache);
    let running = heartbeat(
        1,
        3,
        fencing_token,
        &[("wk-1/0", 40, TaskState::Running, None)],
    );
    shard.apply_heartbeat(&running, false, &cache, 1.0);
    // This heartbeat was sent before the task was on the machine, and must not count as proof
    // that the task is absent.
    assert_eq!(
        shard.apply_heartbeat(&heartbeat(1, 2, fencing_token + 9, &[]), false, &cache, 9.0),
        HeartbeatReply::Refused
    );
    assert_eq!(
        shard.apply_heartbeat(&running, false, &cache, 9.0),
        HeartbeatReply::Refused
    );
    let report = shard.next_report(&cache, 9.0);
    assert_eq!(report.assigned.len(), 1);
    assert!(
        report.silent_machines[0].silent_s > 7.9,
        "the copy counts as proof that the machine is alive"
    );
    // Nor does the copy extend the lease, which expires a lease after the original.
    shard.expire_leases(1.0 + 20.5);
    assert_eq!(shard.next_report(&cache, 21.5).removed.len(), 1);
}

/// Guards against a task that never starts: a late report has brought its earlier attempt back, so
/// that its shard ignored a new assignment, which the leader then repeated forever (soak, seed 129).
#[test]
fn an_assignment_of_a_task_that_came_back_is_rejected_and_may_follow_under_a_new_number() {
    let job = job_spec("wk-1", 1, |_| {});
    let cache = store_cache(1, &[&job]);
    let mut shard = new_shard(&cache);
    let token = reconcile_machine(&mut shard, &cache, 1, 0.2);
    let first = EPOCH << 24 | 1;
    let running = [("wk-1/0", first, TaskState::Running, None)];
    accepted(shard.apply_heartbeat(
        &heartbeat_from(1, 1, 5, token, &running),
        false,
        &cache,
        0.5,
    ));
    let second = EPOCH << 24 | 2;
    shard.apply_orders(&orders(1, assignments("wk-1", &[(0, second)])), &cache, 0.6);
    let report = shard.next_report(&cache, 0.7);
    let rejected: Vec<u64> = report
        .removed
        .iter()
        .map(|removed| removed.assignment)
        .collect();
    assert_eq!(rejected, [second], "the leader has to learn of it");
    // The earlier attempt ends with its worker's session. A late copy changes nothing.
    accepted(shard.apply_heartbeat(&heartbeat_from(1, 2, 1, token, &[]), false, &cache, 0.8));
    shard.apply_orders(&orders(2, assignments("wk-1", &[(0, second)])), &cache, 0.9);
    assert!(shard.next_report(&cache, 1.0).assigned.is_empty());
    let third = EPOCH << 24 | 3;
    shard.apply_orders(&orders(3, assignments("wk-1", &[(0, third)])), &cache, 1.1);
    let report = shard.next_report(&cache, 1.2);
    assert_eq!(report.assigned.len(), 1, "the task can be assigned anew");
}
