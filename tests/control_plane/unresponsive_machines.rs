//! Machines that ignore commands, hang or are silent are detected, and don't delay commands to
//! the others.

use crate::builders::{orders, place_tasks};
use crate::one_machine::{assign, cache_with, heartbeat, reconciled_shard, token_of};
use finchwood::cluster::membership::token;
use finchwood::shard::{CommandCapacity, Shard};
use finchwood::store::records::MachineRecord;
use finchwood::wire::{Priority, TaskState};

/// Heartbeats arrive from a machine whose worker receives no replies. It gets no new tasks, and
/// after some time it is reported to the leader as ignoring commands.
#[test]
fn a_machine_that_ignores_commands_is_detected() {
    let cache = cache_with(&[("wk-1", Priority::Low, false)]);
    let (mut shard, fencing_token) = reconciled_shard(&cache);
    let ended = [("wk-1/0", 40, TaskState::Ended, Some("stopped"))];
    // The first reply contains a forget command and a higher token, which the worker doesn't
    // acknowledge.
    let raised = token_of(shard.apply_heartbeat(
        &heartbeat(1, 3, fencing_token, &ended),
        false,
        &cache,
        1.0,
    ));
    assert!(raised > fencing_token);
    for i in 0..4 {
        let now = 3.0 + 3.0 * f64::from(i);
        // Every other heartbeat is relayed by another controller, which must not hide the
        // fault.
        shard.apply_heartbeat(
            &heartbeat(1, 4 + i as u64, fencing_token, &ended),
            i % 2 == 1,
            &cache,
            now,
        );
        let machine = shard.next_report(&cache, now).machines.pop();
        if i == 1 {
            assert!(
                machine.is_some_and(|machine| !machine.schedulable && !machine.ignores_commands),
                "expected the machine to take no new tasks, but not to count as ignoring commands yet"
            );
        }
    }
    let status_after_orders = |shard: &mut Shard, now| {
        shard.apply_orders(&orders(now as u64 + 100, Vec::new()), &cache, now);
        shard.next_report(&cache, now).machines.remove(0)
    };
    assert!(status_after_orders(&mut shard, 13.0).ignores_commands);
    // A worker that acknowledges the token has received a reply, and gets new tasks again.
    let acknowledged = token_of(shard.apply_heartbeat(
        &heartbeat(1, 20, fencing_token, &ended),
        false,
        &cache,
        13.5,
    ));
    shard.apply_heartbeat(&heartbeat(1, 21, acknowledged, &[]), false, &cache, 14.0);
    let machine = status_after_orders(&mut shard, 14.0);
    assert!(!machine.ignores_commands && machine.schedulable);
}

/// A worker whose heartbeats are relayed may receive no replies, which would go unnoticed as
/// long as no commands are due. Its token is therefore raised, for the worker to acknowledge,
/// and so is the token of a worker that has begun a new session although its heartbeats were
/// replied to.
#[test]
fn a_relayed_or_restarted_worker_must_acknowledge_a_raised_token() {
    let cache = cache_with(&[]);
    let (mut shard, fencing_token) = reconciled_shard(&cache);
    assert_eq!(
        token_of(shard.apply_heartbeat(&heartbeat(1, 3, fencing_token, &[]), false, &cache, 3.0)),
        fencing_token,
        "the token was raised although the heartbeat arrived directly"
    );
    let raised =
        token_of(shard.apply_heartbeat(&heartbeat(1, 4, fencing_token, &[]), true, &cache, 6.0));
    assert!(raised > fencing_token);
    assert_eq!(
        token_of(shard.apply_heartbeat(&heartbeat(1, 5, raised, &[]), true, &cache, 9.0)),
        raised,
        "the token was raised again before half a lease had passed"
    );
    assert!(
        token_of(shard.apply_heartbeat(&heartbeat(2, 1, raised, &[]), false, &cache, 10.0))
            > raised
    );
}

/// A hundred machines that hang could use up the whole capacity for direct commands, so that
/// the commands to the other machines had to wait.
#[test]
fn silent_machines_do_not_delay_commands_to_the_others() {
    let mut cache = cache_with(&[("wk-1", Priority::Low, false)]);
    for i in 2..9 {
        let record = MachineRecord {
            machine_type: "k".into(),
            zone: "e".into(),
            spot: false,
            in_use: true,
            rented_at_ms: 0,
            address: Some("10.0.0.9:1".into()),
        };
        cache.put(&format!("fw/r/m-{i}"), serde_json::json!(record), 30 + i);
    }
    let (mut shard, fencing_token) = reconciled_shard(&cache);
    assign(&mut shard, &cache, "wk-1", &[(0, 50)], 1);
    // At 8 s one machine sends a heartbeat; the other seven have never sent one.
    shard.apply_heartbeat(&heartbeat(1, 3, fencing_token, &[]), false, &cache, 8.0);
    place_tasks(&mut shard, &cache, 8.1);
    let capacity = CommandCapacity {
        responsive: 4,
        unverified: 2,
    };
    let commands = shard.due_commands_within(&cache, 8.1, capacity);
    let count = |unverified: bool| {
        commands
            .iter()
            .filter(|command| command.unverified == unverified)
            .count()
    };
    assert_eq!((count(false), count(true)), (1, 2));
    // The machines beyond the capacity are probed next. Their tokens were not raised, as
    // nothing was sent to them.
    let next = shard.due_commands_within(
        &cache,
        8.2,
        CommandCapacity {
            responsive: 4,
            unverified: 100,
        },
    );
    assert_eq!(next.len(), 5);
    assert!(next
        .iter()
        .all(|command| command.unverified && command.body.token == token(3, 0)));
}
