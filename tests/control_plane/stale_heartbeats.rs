//! Heartbeats that are late, repeated or relayed prove less than those that come straight
//! from their machine.

use crate::builders::TIMING;
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
    assert!(report.silent_machines.is_empty(), "it is alive");
    assert!(
        report.zone_contacts[0].1.last_ago_s > 8.0,
        "but its zone was not reached"
    );
}

/// A copy of an old report may come long after its machine was deleted, to a
/// controller that never saw the original.
#[test]
fn a_late_copy_of_a_heartbeat_is_no_sign_of_life_and_brings_no_machine_back() {
    let cache = cache_with(&[("wk-1", Priority::Low, false)]);
    let mut shard = Shard::new("a", TIMING, HashMap::new());
    shard.start_epoch(3, 7, &cache, 0.0, |_| true);
    // On the machine registry and used before: under an older epoch's token it may be
    // from any time. It is asked, and stays silent.
    let old = heartbeat(
        1,
        90,
        token(2, 5),
        &[("wk-1/0", 40, TaskState::Running, None)],
    );
    let HeartbeatReply::Accepted { commands, .. } =
        shard.apply_heartbeat(&old, false, &cache, 12.0)
    else {
        panic!("refused")
    };
    assert!(commands.is_empty());
    assert_eq!(shard.due_commands(&cache, 12.1).len(), 1, "it is asked");
    let report = shard.next_report(&cache, 13.0);
    assert!(
        !report.machines[0].has_reported && report.assigned.is_empty(),
        "not alive, and its task not found"
    );
    assert!(report.silent_machines[0].silent_s > 12.0 && report.zone_contacts.is_empty());
    // Off the machine registry: nothing comes back, however many copies come.
    shard.unregister_machine(&"m-1".into());
    let mut gone = cache_with(&[("wk-1", Priority::Low, false)]);
    gone.apply(KeyChange::Delete {
        key: "fw/r/m-1".into(),
        revision: 99,
    });
    shard.apply_heartbeat(&heartbeat(1, 91, token(2, 5), &[]), false, &gone, 14.0);
    shard.apply_heartbeat(&heartbeat(1, 92, token(2, 5), &[]), false, &gone, 15.0);
    assert!(!shard
        .next_report(&gone, 15.0)
        .machines
        .iter()
        .any(|machine| machine.has_reported || machine.registered || machine.schedulable));
    shard.forget_finished(&gone, 14.0 + 21.0);
    assert_eq!(shard.machine_count(), 0);
}

/// A copy of a report that was taken in already proves and renews nothing.
#[test]
fn a_copy_of_a_known_heartbeat_is_refused() {
    let cache = cache_with(&[("wk-1", Priority::Low, false)]);
    let (mut shard, fencing_token) = reconciled_shard(&cache);
    let running = heartbeat(
        1,
        3,
        fencing_token,
        &[("wk-1/0", 40, TaskState::Running, None)],
    );
    shard.apply_heartbeat(&running, false, &cache, 1.0);
    // Sent before the task came; it must not count as seen without it.
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
    assert!(report.silent_machines[0].silent_s > 7.9, "no sign of life");
    // Nor does it move the view of the lease: that ends when it ends.
    shard.expire_leases(1.0 + 20.5);
    assert_eq!(shard.next_report(&cache, 21.5).removed.len(), 1);
}
