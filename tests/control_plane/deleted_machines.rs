//! Machines that were deleted, and heartbeats of theirs that arrive afterwards: packets may be held
//! back for minutes, and outlive their sender.

use crate::builders::*;
use finchwood::cluster::membership::{token, MAX_COUNTER};
use finchwood::scheduler::Leader;
use finchwood::shard::{Shard, ShardReport};
use finchwood::store::cache::StoreCache;
use finchwood::store::records::{Epoch, MachineRecord};
use finchwood::store::KeyChange;
use finchwood::wire::{Command, TaskState};
use finchwood_types::token::attempt;
use serde_json::json;
use std::collections::HashMap;

const INCARNATION_A: u64 = 7;
const INCARNATION_B: u64 = 8;

/// Removes a machine from the registry, as the leader does once the cloud has deleted it.
fn delete_from_registry(cache: &mut StoreCache, shard: &mut Shard, machine: &str, revision: u64) {
    cache.apply(KeyChange::Delete {
        key: format!("fw/r/{machine}"),
        revision,
    });
    shard.unregister_machine(&machine.into());
}

/// Adds a machine to the registry that reports without being in it, as the leader does.
fn add_to_registry(cache: &mut StoreCache, shard: &mut Shard, machine: &str, now: f64) {
    let record = MachineRecord {
        machine_type: "k".into(),
        zone: "e".into(),
        spot: false,
        in_use: false,
        rented_at_ms: 0,
        address: None,
    };
    cache.put(&format!("fw/r/{machine}"), json!(record), 900);
    shard.register_machine(&machine.into(), &record, now);
}

/// Asserts that a report lists no machine as alive or reconciled, and no task as assigned.
fn assert_nothing_is_back(report: &ShardReport, order: &str) {
    let back = report
        .machines
        .iter()
        .find(|machine| machine.has_reported || machine.reconciled || machine.schedulable);
    assert!(back.is_none(), "{order}: {back:?}");
    assert!(
        report.assigned.is_empty(),
        "{order}: {:?} is assigned again",
        report.assigned
    );
    assert!(
        report.zone_contacts.is_empty() || report.zone_contacts[0].1.last_ago_s > 5.0,
        "{order}: a late heartbeat counts as contact with its zone"
    );
}

/// Guards against a deleted machine that a late heartbeat under a token of this epoch brings back.
#[test]
fn no_late_heartbeat_of_a_deleted_machine_brings_back_the_machine_or_its_task() {
    let spec = job_spec("wk-1", 1, |_| {});
    let running = [("wk-1/0", attempt(1, 7), TaskState::Running, None)];
    // Sequence numbers and token counters of the copies, in the order of their arrival. The
    // machine has reported up to number 5, and has seen the tokens 0 and 1 of its owner.
    let orders: [&[(u64, u64)]; 6] = [
        &[(3, 0)],
        &[(6, 0), (7, 0)],
        &[(5, 1)],
        &[(3, 0), (5, 1)],
        &[(5, 1), (6, 1)],
        &[(1, 0), (4, 0), (5, 1), (6, 1)],
    ];
    for copies in orders {
        let mut cache = store_cache(1, &[&spec]);
        let mut shard = new_shard(&cache);
        let first_token = reconcile_machine(&mut shard, &cache, 1, 0.2);
        assert_eq!(first_token, token(EPOCH, 0));
        shard.apply_heartbeat(
            &heartbeat_from(1, 1, 3, first_token, &running),
            false,
            &cache,
            0.3,
        );
        // An ended task is forgotten under a higher token.
        let with_ended = [
            running[0],
            ("wk-1/9", attempt(1, 9), TaskState::Ended, Some("stopped")),
        ];
        let (second_token, _) = accepted(shard.apply_heartbeat(
            &heartbeat_from(1, 1, 4, first_token, &with_ended),
            false,
            &cache,
            0.4,
        ));
        assert_eq!(second_token, token(EPOCH, 1));
        shard.apply_heartbeat(
            &heartbeat_from(1, 1, 5, second_token, &running),
            false,
            &cache,
            0.5,
        );
        delete_from_registry(&mut cache, &mut shard, "m-1", 500);
        assert_eq!(shard.next_report(&cache, 10.0).removed.len(), 1);
        let order = format!("{copies:?}");
        for (sequence, counter) in copies {
            let late = heartbeat_from(1, 1, *sequence, token(EPOCH, *counter), &running);
            shard.apply_heartbeat(&late, false, &cache, 11.0);
            assert_nothing_is_back(&shard.next_report(&cache, 11.1), &order);
        }
        shard.forget_finished(&cache, 11.0 + TIMING.lease_s + 1.0);
        assert_eq!(shard.machine_count(), 0, "{order}: the machine stays");
    }
}

/// Guards against a machine with an exhausted token whose removal leaves no token for the others.
#[test]
fn a_removed_machine_with_an_exhausted_token_stays_removed_and_takes_no_tokens_from_others() {
    let spec = job_spec("wk-1", 1, |_| {});
    let mut cache = store_cache(2, &[&spec]);
    let mut shard = new_shard(&cache);
    let highest = token(EPOCH, MAX_COUNTER);
    let running = [("wk-1/0", attempt(1, 7), TaskState::Running, None)];
    for sequence in 1..=2 {
        let exhausting = heartbeat_from(1, 1, sequence, highest, &running);
        shard.apply_heartbeat(&exhausting, false, &cache, 0.2);
    }
    delete_from_registry(&mut cache, &mut shard, "m-1", 500);
    for sequence in 3..=4 {
        let late = heartbeat_from(1, 1, sequence, highest, &running);
        shard.apply_heartbeat(&late, false, &cache, 10.0);
    }
    assert_nothing_is_back(&shard.next_report(&cache, 10.1), "exhausted");
    delete_from_registry(&mut cache, &mut shard, "m-2", 501);
    add_to_registry(&mut cache, &mut shard, "m-2", 11.0);
    reconcile_machine(&mut shard, &cache, 2, 11.1);
    let report = shard.next_report(&cache, 11.2);
    let other = report.machines.iter().find(|machine| &*machine.id == "m-2");
    assert!(other.is_some_and(|machine| machine.reconciled && !machine.ignores_commands));
}

/// Controllers `a` and `b`, of which `a` leads the epoch [`EPOCH`] and `b` the next one. In the first
/// epoch `a` owns the machine `m-2`, and `b` the others.
struct TwoControllers {
    cache: StoreCache,
    shard_a: Shard,
    shard_b: Shard,
    leader_a: Leader,
    leader_b: Leader,
}

impl TwoControllers {
    /// Returns controllers that have reconciled three machines, of which `m-1` runs an attempt of
    /// the only task.
    fn new(attempt_on_first: u64) -> TwoControllers {
        let spec = job_spec("wk-1", 1, |_| {});
        let cache = store_cache(3, &[&spec]);
        let settings = settings_with(&[]).expect("valid settings");
        let mut controllers = TwoControllers {
            shard_a: Shard::new("a", TIMING, HashMap::new()),
            shard_b: Shard::new("b", TIMING, HashMap::new()),
            leader_a: Leader::new(&settings),
            leader_b: Leader::new(&settings),
            cache,
        };
        let cache = &controllers.cache;
        let (shard_a, shard_b) = (&mut controllers.shard_a, &mut controllers.shard_b);
        shard_a.start_epoch(EPOCH, INCARNATION_A, cache, 0.0, |id| id == "m-2");
        shard_b.start_epoch(EPOCH, INCARNATION_B, cache, 0.0, |id| id != "m-2");
        controllers
            .leader_a
            .start_epoch(&epoch(EPOCH, "a"), INCARNATION_A, cache);
        reconcile_machine(shard_a, cache, 2, 0.2);
        reconcile_machine(shard_b, cache, 3, 0.2);
        let first_token = reconcile_machine(shard_b, cache, 1, 0.2);
        let running = [("wk-1/0", attempt_on_first, TaskState::Running, None)];
        accepted(shard_b.apply_heartbeat(
            &heartbeat_from(1, 1, 3, first_token, &running),
            false,
            cache,
            0.3,
        ));
        for shard in [shard_a, shard_b] {
            let report = shard.next_report(cache, 0.4);
            assert!(controllers.leader_a.apply_shard_report(report, cache, 0.4));
        }
        controllers.leader_a.reconcile(cache, &|_| false);
        controllers
    }

    /// Lets the shard `b` report to a leader, which assigns tasks. Returns the orders to `b`.
    fn round_of_b(leader: &mut Leader, shard_b: &mut Shard, cache: &StoreCache, now: f64) -> usize {
        assert!(leader.apply_shard_report(shard_b.next_report(cache, now), cache, now));
        leader.reconcile(cache, &|_| false);
        leader.assign_tasks(cache, now, || true);
        let orders = leader.orders("b").expect("orders for the shard");
        shard_b.apply_orders(&orders, cache, now);
        orders.assignments.len()
    }

    /// Deletes the machine `m-1` and lets its task start again on `m-2`. Returns its new attempt.
    fn restart_task_elsewhere(&mut self) -> u64 {
        delete_from_registry(&mut self.cache, &mut self.shard_b, "m-1", 500);
        let (cache, leader) = (&self.cache, &mut self.leader_a);
        // The machine `m-3` takes no more tasks, so that the task goes to `a`.
        leader.draining.insert("m-3".into());
        leader.apply_shard_report(self.shard_b.next_report(cache, 10.0), cache, 10.0);
        let orders = leader.orders("b").expect("orders for the shard");
        self.shard_b.apply_orders(&orders, cache, 10.0);
        leader.apply_shard_report(self.shard_b.next_report(cache, 10.1), cache, 10.1);
        reconcile_again(&mut self.shard_a, cache, 2, token(EPOCH, 0), 10.2);
        leader.apply_shard_report(self.shard_a.next_report(cache, 10.2), cache, 10.2);
        leader.reconcile(cache, &|_| false);
        leader.assign_tasks(cache, 10.2, || true);
        let orders = leader.orders("a").expect("orders for the shard");
        self.shard_a.apply_orders(&orders, cache, 10.3);
        place_tasks(&mut self.shard_a, cache, 10.3);
        let commands = self.shard_a.due_commands(cache, 10.3);
        let started = commands
            .iter()
            .flat_map(|direct| &direct.body.commands)
            .find_map(|command| match command {
                Command::Start { attempt, .. } => Some(*attempt),
                _ => None,
            });
        started.expect("the task starts on another machine")
    }

    /// Begins the next epoch, in which `b` leads and owns all machines, and lets `b` reconcile the
    /// machine `m-3`.
    fn change_leader(&mut self, now: f64) {
        let cache = &self.cache;
        let next = EPOCH + 1;
        self.shard_b
            .start_epoch(next, INCARNATION_B, cache, now, |_| true);
        let only_b = Epoch {
            members: [("b".to_string(), INCARNATION_B)].into_iter().collect(),
            ..epoch(next, "b")
        };
        self.leader_b.start_epoch(&only_b, INCARNATION_B, cache);
        reconcile_again(&mut self.shard_b, cache, 3, token(next, 0), now);
        let started = Self::round_of_b(&mut self.leader_b, &mut self.shard_b, cache, now);
        assert_eq!(
            started, 0,
            "a task is assigned as soon as the leader changes"
        );
    }
}

fn epoch(number: u64, leader: &str) -> Epoch {
    let members = [("a", INCARNATION_A), ("b", INCARNATION_B)];
    Epoch {
        number,
        members: members.map(|(name, id)| (name.to_string(), id)).into(),
        leader: leader.into(),
        uses_shard_map: false,
    }
}

/// Lets a machine without tasks report under this token.
fn reconcile_again(shard: &mut Shard, cache: &StoreCache, machine: usize, token: u64, now: f64) {
    let sequence = 10 + now as u64;
    accepted(shard.apply_heartbeat(
        &heartbeat_from(machine, 1, sequence, token, &[]),
        false,
        cache,
        now,
    ));
}

/// A way in which the machine `m-1` is removed a second time.
type Removal = fn(&mut TwoControllers);

/// Guards against the incident of wk-433692/8: the removal of a machine that a late heartbeat had
/// brought back was taken by a new leader as proof that its task runs nowhere.
#[test]
fn a_late_heartbeat_of_a_deleted_machine_lets_no_new_leader_start_its_task_twice() {
    let old_attempt = attempt(1, 7);
    let removals: [(&str, Removal); 2] = [
        ("deleted again", |controllers| {
            let (cache, shard) = (&mut controllers.cache, &mut controllers.shard_b);
            add_to_registry(cache, shard, "m-1", 32.5);
            delete_from_registry(cache, shard, "m-1", 901);
        }),
        ("the lease is past", |controllers| {
            controllers
                .shard_b
                .expire_leases(25.0 + TIMING.lease_s + 1.0);
        }),
    ];
    for (removal, remove) in removals {
        let mut controllers = TwoControllers::new(old_attempt);
        let new_attempt = controllers.restart_task_elsewhere();
        assert!(new_attempt > old_attempt);
        let running = [("wk-1/0", old_attempt, TaskState::Running, None)];
        let late = heartbeat_from(1, 1, 4, token(EPOCH, 0), &running);
        controllers
            .shard_b
            .apply_heartbeat(&late, false, &controllers.cache, 25.0);
        controllers.change_leader(32.0);
        remove(&mut controllers);
        let TwoControllers {
            cache,
            shard_b,
            leader_b,
            ..
        } = &mut controllers;
        reconcile_again(shard_b, cache, 3, token(EPOCH + 1, 0), 46.5);
        let started = TwoControllers::round_of_b(leader_b, shard_b, cache, 46.5);
        assert_eq!(
            started, 0,
            "{removal}: the task is assigned again while m-2, which runs it, has not been heard"
        );
    }
}
