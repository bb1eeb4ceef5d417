//! Tasks of which several machines report a copy. A task is started again only once all of its
//! copies are proven gone, also those that are not listed or whose machines have not been heard.

use crate::builders::*;
use finchwood::cluster::membership::token;
use finchwood::scheduler::Leader;
use finchwood::shard::{AssignedTaskStatus, Shard, ShardReport, TaskPhase};
use finchwood::store::cache::StoreCache;
use finchwood::store::records::Epoch;
use finchwood::store::KeyChange;
use finchwood::wire::{Task, TaskState};
use finchwood_types::token::attempt;
use std::collections::HashMap;

const INCARNATION: u64 = 7;
const EARLIER: u64 = 1 << 24 | 7;
const LATER: u64 = 2 << 24 | 3;

/// Lets a machine report until its shard has reconciled it.
fn reconcile_with(
    shard: &mut Shard,
    cache: &StoreCache,
    machine: usize,
    tasks: &[ReportedTask],
    now: f64,
) {
    let epoch = shard.epoch();
    for (sequence, seen) in [
        (now as u64 + 1, token(epoch - 1, 0)),
        (now as u64 + 2, token(epoch, 0)),
    ] {
        let heartbeat = heartbeat_from(machine, 1, sequence, seen, tasks);
        accepted(shard.apply_heartbeat(&heartbeat, false, cache, now));
    }
}

fn delete_machine(cache: &mut StoreCache, shard: &mut Shard, machine: &str) {
    cache.apply(KeyChange::Delete {
        key: format!("fw/r/{machine}"),
        revision: 500,
    });
    shard.unregister_machine(&machine.into());
}

/// Runs a round of the leader with a report of its only shard. Returns how many tasks it assigns.
fn assigned_in_round(
    leader: &mut Leader,
    shard: &mut Shard,
    cache: &StoreCache,
    now: f64,
) -> usize {
    assert!(leader.apply_shard_report(shard.next_report(cache, now), cache, now));
    leader.reconcile(cache, &|_| false);
    leader.assign_tasks(cache, now, || true);
    let orders = leader.orders("a").expect("orders for the shard");
    shard.apply_orders(&orders, cache, now);
    orders.assignments.iter().map(|job| job.tasks.len()).sum()
}

/// Guards against a shard that reports a task as removed while another of its machines runs it.
#[test]
fn the_removal_of_one_copy_frees_no_task_that_another_machine_of_the_shard_runs() {
    for (on_first, on_second) in [(EARLIER, LATER), (LATER, EARLIER)] {
        for deleted in ["m-1", "m-2"] {
            let spec = job_spec("wk-1", 1, |_| {});
            let mut cache = store_cache(2, &[&spec]);
            let mut shard = new_shard(&cache);
            let copy = |attempt| [("wk-1/0", attempt, TaskState::Running, None)];
            reconcile_with(&mut shard, &cache, 1, &copy(on_first), 0.1);
            reconcile_with(&mut shard, &cache, 2, &copy(on_second), 0.2);
            delete_machine(&mut cache, &mut shard, deleted);
            let report = shard.next_report(&cache, 0.3);
            let left = if deleted == "m-1" {
                on_second
            } else {
                on_first
            };
            let case = format!("{on_first}, {on_second}, without {deleted}");
            assert!(report.removed.is_empty(), "{case}: {:?}", report.removed);
            let listed: Vec<u64> = report.assigned.iter().map(|task| task.attempt).collect();
            assert_eq!(listed, [left], "{case}");
            let other = if deleted == "m-1" { "m-2" } else { "m-1" };
            delete_machine(&mut cache, &mut shard, other);
            let report = shard.next_report(&cache, 0.4);
            assert_eq!(report.removed.len(), 1, "{case}: the last copy is gone");
        }
    }
}

/// Guards against a new leader that takes the removal of an attempt for proof that none runs,
/// although a later one may be on a machine that has not been heard (incident of wk-433692/8).
#[test]
fn a_new_leader_frees_a_task_by_the_removal_of_an_earlier_attempt_only_once_all_are_reconciled() {
    for runs_on_second in [true, false] {
        let spec = job_spec("wk-1", 1, |_| {});
        let mut cache = store_cache(3, &[&spec]);
        let mut shard = new_shard(&cache);
        let mut leader = new_leader(&cache);
        let earlier = [("wk-1/0", EARLIER, TaskState::Running, None)];
        reconcile_with(&mut shard, &cache, 1, &earlier, 0.1);
        reconcile_with(&mut shard, &cache, 3, &[], 0.1);
        assert_eq!(assigned_in_round(&mut leader, &mut shard, &cache, 0.2), 0);
        delete_machine(&mut cache, &mut shard, "m-1");
        assert_eq!(
            assigned_in_round(&mut leader, &mut shard, &cache, 0.3),
            0,
            "the task is assigned again although m-2 has not been heard"
        );
        let later = [("wk-1/0", LATER, TaskState::Running, None)];
        let on_second = if runs_on_second { &later[..] } else { &[] };
        reconcile_with(&mut shard, &cache, 2, on_second, 0.4);
        let assigned = assigned_in_round(&mut leader, &mut shard, &cache, 0.5);
        assert_eq!(assigned, usize::from(!runs_on_second));
    }
}

/// Guards against tasks that wait for silent machines although their leader knows their latest
/// attempt.
#[test]
fn the_removal_of_the_latest_attempt_frees_a_task_at_once() {
    let of_this_epoch = attempt(EPOCH, 9);
    for (number, changes_epoch) in [
        (of_this_epoch, false),
        (of_this_epoch, true),
        (EARLIER, true),
    ] {
        let spec = job_spec("wk-1", 1, |_| {});
        let mut cache = store_cache(3, &[&spec]);
        let mut shard = new_shard(&cache);
        let mut leader = new_leader(&cache);
        let running = [("wk-1/0", number, TaskState::Running, None)];
        reconcile_with(&mut shard, &cache, 1, &running, 0.1);
        reconcile_with(&mut shard, &cache, 3, &[], 0.1);
        if number == EARLIER {
            // Once all machines are reconciled, what is listed is the latest.
            reconcile_with(&mut shard, &cache, 2, &[], 0.1);
        }
        assert_eq!(assigned_in_round(&mut leader, &mut shard, &cache, 0.2), 0);
        if changes_epoch {
            // The epoch has a new member, so that nothing but the numbers shows what is latest.
            let next = Epoch {
                number: EPOCH + 1,
                members: [("a".to_string(), INCARNATION)].into_iter().collect(),
                leader: "a".into(),
                uses_shard_map: true,
            };
            leader.start_epoch(&next, INCARNATION, &cache);
            shard.start_epoch(EPOCH + 1, INCARNATION, &cache, 1.0, |_| true);
            reconcile_with(&mut shard, &cache, 3, &[], 2.0);
            assert_eq!(assigned_in_round(&mut leader, &mut shard, &cache, 2.1), 0);
        }
        delete_machine(&mut cache, &mut shard, "m-1");
        let assigned = assigned_in_round(&mut leader, &mut shard, &cache, 3.0);
        assert_eq!(assigned, 1, "{number}, another epoch: {changes_epoch}");
    }
}

/// A leader of two shards, whose reports are made up: shards of an earlier version may list a copy
/// that is none.
struct ReportedShards {
    leader: Leader,
    cache: StoreCache,
    sequences: HashMap<&'static str, u64>,
}

impl ReportedShards {
    fn new() -> ReportedShards {
        let spec = job_spec("wk-1", 1, |_| {});
        let cache = store_cache(0, &[&spec]);
        let mut leader = Leader::new(&settings_with(&[]).expect("valid settings"));
        let members = [("a".to_string(), 7), ("b".to_string(), 8)];
        let epoch = Epoch {
            number: EPOCH,
            members: members.into(),
            leader: "a".into(),
            uses_shard_map: false,
        };
        leader.start_epoch(&epoch, INCARNATION, &cache);
        ReportedShards {
            leader,
            cache,
            sequences: HashMap::new(),
        }
    }

    /// Lets a shard report that it lists these attempts of the only task, and has removed those.
    fn report(&mut self, node: &'static str, listed: &[u64], removed: &[u64]) {
        let mut shard = Shard::new(node, TIMING, HashMap::new());
        let incarnation = if node == "a" { 7 } else { 8 };
        shard.start_epoch(EPOCH, incarnation, &self.cache, 0.0, |_| true);
        let sequence = self.sequences.entry(node).or_insert(0);
        let since = *sequence;
        *sequence += 1;
        let task = Task::parse("wk-1/0").expect("a task id");
        let status = |attempt: &u64| AssignedTaskStatus {
            task: task.clone(),
            attempt: *attempt,
            phase: TaskPhase::Running,
            machine: Some(format!("m-{node}").into()),
            assignment: *attempt,
        };
        let removal = |attempt: &u64| {
            serde_json::from_value(serde_json::json!({"task": task, "attempt": attempt,
                "how": "Lost", "machine": null, "assignment": attempt, "seq": since + 1}))
        };
        let removed = removed.iter().map(removal).collect::<Result<Vec<_>, _>>();
        let report = ShardReport {
            since,
            seq: since + 1,
            assigned: listed.iter().map(status).collect(),
            removed: removed.expect("removed tasks"),
            ..shard.next_report(&self.cache, 0.0)
        };
        assert!(self.leader.apply_shard_report(report, &self.cache, 0.0));
        self.leader.reconcile(&self.cache, &|_| false);
    }

    /// The attempts that a shard is told to stop.
    fn recalled_from(&mut self, node: &str) -> Vec<u64> {
        let orders = self.leader.orders(node).expect("orders for the shard");
        orders.recall.iter().map(|(_, attempt)| *attempt).collect()
    }

    fn is_assigned(&self) -> bool {
        self.leader.counts().assigned_tasks == 1
    }
}

/// Guards against a task that is freed although another shard lists a copy of it.
#[test]
fn a_task_that_two_shards_list_is_freed_by_the_removal_of_both_copies_and_the_earlier_is_recalled()
{
    for order in [["a", "b"], ["b", "a"]] {
        for removed_first in ["a", "b"] {
            let attempt_in = |node| if node == "a" { EARLIER } else { LATER };
            let mut shards = ReportedShards::new();
            for node in order {
                shards.report(node, &[attempt_in(node)], &[]);
            }
            let case = format!("{order:?}, {removed_first} removes first");
            assert_eq!(shards.recalled_from("a"), [EARLIER], "{case}");
            assert_eq!(shards.recalled_from("b"), [0u64; 0], "{case}");
            shards.report(removed_first, &[], &[attempt_in(removed_first)]);
            assert!(shards.is_assigned(), "{case}: freed by one removal");
            let other = if removed_first == "a" { "b" } else { "a" };
            shards.report(other, &[], &[attempt_in(other)]);
            assert!(!shards.is_assigned(), "{case}");
            assert_eq!(shards.leader.counts().unreconciled_tasks, 0, "{case}");
        }
    }
}

/// Guards against an assignment that a listing of an earlier attempt replaces while it is under way to
/// the same shard: it was freed with that attempt, and its task assigned once more (soak, seed 245).
#[test]
fn a_listing_of_an_earlier_attempt_does_not_replace_an_assignment_that_is_under_way() {
    let spec = job_spec("wk-1", 1, |_| {});
    let mut cache = store_cache(2, &[&spec]);
    let mut shard = new_shard(&cache);
    let mut leader = new_leader(&cache);
    reconcile_with(&mut shard, &cache, 2, &[], 0.1);
    assert!(leader.apply_shard_report(shard.next_report(&cache, 0.2), &cache, 0.2));
    // The leader knows that m-1 was deleted; its owner hears a last report of it first.
    leader.reconcile(&cache, &|id| &**id == "m-1");
    leader.assign_tasks(&cache, 0.2, || true);
    let under_way = leader.orders("a").expect("orders for the shard");
    assert_eq!(under_way.assignments.len(), 1);
    let earlier = [("wk-1/0", EARLIER, TaskState::Running, None)];
    reconcile_with(&mut shard, &cache, 1, &earlier, 0.3);
    assert!(leader.apply_shard_report(shard.next_report(&cache, 0.3), &cache, 0.3));
    delete_machine(&mut cache, &mut shard, "m-1");
    assert!(leader.apply_shard_report(shard.next_report(&cache, 0.5), &cache, 0.5));
    leader.reconcile(&cache, &|_| false);
    leader.assign_tasks(&cache, 0.6, || true);
    let attempt = under_way.assignments[0].tasks[0].1;
    let orders = leader.orders("a").expect("orders for the shard");
    let again = orders.assignments.iter().flat_map(|job| &job.tasks);
    let again: Vec<u64> = again.map(|(_, attempt)| *attempt).collect();
    assert!(
        again.iter().all(|number| *number == attempt),
        "assigned under {attempt}, and again under {again:?}"
    );
    assert_eq!(leader.counts().assigned_tasks, 1);
}
