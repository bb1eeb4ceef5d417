//! Machines that ignore commands, hang or are silent are detected, and hold up nothing for
//! the others.

use crate::builders::{orders, place_tasks};
use crate::one_machine::{assign, cache_with, heartbeat, reconciled_shard, token_of};
use finchwood::cluster::membership::token;
use finchwood::shard::{CommandCapacity, Shard};
use finchwood::store::records::MachineRecord;
use finchwood::wire::{Priority, TaskState};

/// Reports that arrive from a machine that hears nothing: no new work, and
/// after a while the leader knows.
#[test]
fn a_machine_that_ignores_commands_is_detected() {
    let cache = cache_with(&[("wk-1", Priority::Low, false)]);
    let (mut shard, fencing_token) = reconciled_shard(&cache);
    let ended = [("wk-1/0", 40, TaskState::Ended, Some("stopped"))];
    // The first answer has the task forgotten, under a higher token, which it never shows.
    let raised = token_of(shard.apply_heartbeat(
        &heartbeat(1, 3, fencing_token, &ended),
        false,
        &cache,
        1.0,
    ));
    assert!(raised > fencing_token);
    for i in 0..4 {
        let now = 3.0 + 3.0 * f64::from(i);
        // Through other controllers too: relays do not hide it.
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
                "no new work, but not given up"
            );
        }
    }
    let after_orders = |shard: &mut Shard, now| {
        shard.apply_orders(&orders(now as u64 + 100, Vec::new()), &cache, now);
        shard.next_report(&cache, now).machines.remove(0)
    };
    assert!(after_orders(&mut shard, 13.0).ignores_commands);
    // Whoever shows the token has heard, and is trusted again.
    let shown = token_of(shard.apply_heartbeat(
        &heartbeat(1, 20, fencing_token, &ended),
        false,
        &cache,
        13.5,
    ));
    shard.apply_heartbeat(&heartbeat(1, 21, shown, &[]), false, &cache, 14.0);
    let machine = after_orders(&mut shard, 14.0);
    assert!(!machine.ignores_commands && machine.schedulable);
}

/// A relayed machine that is told nothing new would look healthy: it is told a
/// higher token, and so is one whose session rose although it was answered.
#[test]
fn an_unreconciled_machine_is_sent_a_fencing_token_that_it_must_show() {
    let cache = cache_with(&[]);
    let (mut shard, fencing_token) = reconciled_shard(&cache);
    assert_eq!(
        token_of(shard.apply_heartbeat(&heartbeat(1, 3, fencing_token, &[]), false, &cache, 3.0)),
        fencing_token,
        "no doubt, no test"
    );
    let tested =
        token_of(shard.apply_heartbeat(&heartbeat(1, 4, fencing_token, &[]), true, &cache, 6.0));
    assert!(tested > fencing_token);
    assert_eq!(
        token_of(shard.apply_heartbeat(&heartbeat(1, 5, tested, &[]), true, &cache, 9.0)),
        tested,
        "not all the time"
    );
    assert!(
        token_of(shard.apply_heartbeat(&heartbeat(2, 1, tested, &[]), false, &cache, 10.0))
            > tested
    );
}

/// A hundred machines that hang filled the pool of direct commands, and what
/// was meant for the others waited behind them.
#[test]
fn silent_machines_do_not_hold_up_commands_for_the_rest() {
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
    // Eight seconds on, one machine reports; the other seven never have.
    shard.apply_heartbeat(&heartbeat(1, 3, fencing_token, &[]), false, &cache, 8.0);
    place_tasks(&mut shard, &cache, 8.1);
    let room = CommandCapacity {
        responsive: 4,
        unverified: 2,
    };
    let out = shard.due_commands_within(&cache, 8.1, room);
    let to = |unverified: bool| {
        out.iter()
            .filter(|command| command.unverified == unverified)
            .count()
    };
    assert_eq!((to(false), to(true)), (1, 2));
    // Those without room are asked next, without a word that was never sent
    // having raised their token.
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
