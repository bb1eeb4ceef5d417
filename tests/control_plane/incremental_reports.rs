//! Reports from a shard to the leader that hold only what has changed, and what a leader
//! makes of them when they are lost, repeated or late.

use crate::builders::*;
use finchwood::cluster::membership::token;
use finchwood::scheduler::Leader;
use finchwood::shard::{Shard, ShardReport, TaskPhase};
use finchwood::store::cache::StoreCache;
use finchwood::store::records::Epoch;
use finchwood::wire::TaskState;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Two hundred machines, one job whose tasks come and go on them.
struct Fleet {
    cache: StoreCache,
    shard: Shard,
    sequences: Vec<u64>,
    tokens: Vec<u64>,
}

const MACHINES: usize = 200;

impl Fleet {
    fn new() -> Fleet {
        let job = job_spec("wk-1", 1000, |fields| fields["cpus"] = 1.0.into());
        let cache = store_cache(MACHINES, &[&job]);
        let shard = new_shard(&cache);
        Fleet {
            cache,
            shard,
            sequences: vec![0; MACHINES],
            tokens: vec![token(EPOCH, 0); MACHINES],
        }
    }

    /// A machine reports tasks by index: those that run, or have ended.
    fn report(&mut self, machine: usize, now: f64, tasks: &[(u32, bool)]) {
        self.sequences[machine] += 1;
        let ids: Vec<String> = tasks
            .iter()
            .map(|task| format!("wk-1/{}", task.0))
            .collect();
        let reported: Vec<ReportedTask> = ids
            .iter()
            .zip(tasks)
            .map(|(id, &(_, ended))| match ended {
                true => (id.as_str(), 5, TaskState::Ended, Some("stopped")),
                false => (id.as_str(), 5, TaskState::Running, None),
            })
            .collect();
        let (sequence, token) = (self.sequences[machine], self.tokens[machine]);
        let heartbeat = heartbeat_from(machine + 1, 1, sequence, token, &reported);
        let reply = self
            .shard
            .apply_heartbeat(&heartbeat, false, &self.cache, now);
        self.tokens[machine] = accepted(reply).0;
    }
}

/// What a leader believes of each machine.
fn belief(leader: &Leader) -> BTreeMap<String, (bool, u32)> {
    leader
        .machines()
        .map(|m| (m.id.to_string(), (m.has_reported, m.tasks)))
        .collect()
}

/// Messages that hold only changes are lost, repeated and late; what the
/// leader then believes is what one whole message would have told it.
#[test]
fn incremental_reports_lost_repeated_or_late_lead_to_the_full_state() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::new();
        let mut leader = new_leader(&fleet.cache);
        let mut late: Vec<ShardReport> = Vec::new();
        let mut on: Vec<BTreeSet<u32>> = vec![BTreeSet::new(); MACHINES];
        let mut next = 0;
        let (mut small, mut sent) = (0, 0);
        for round in 0..150 {
            let now = 1.0 + f64::from(round) * 0.1;
            for _ in 0..3 {
                let i = rng.gen_range(0..MACHINES);
                let ended: Vec<u32> = on[i]
                    .iter()
                    .copied()
                    .filter(|_| rng.gen_bool(0.5))
                    .collect();
                on[i].insert(next);
                next += 1;
                let lines: Vec<(u32, bool)> =
                    on[i].iter().map(|t| (*t, ended.contains(t))).collect();
                fleet.report(i, now, &lines);
                on[i].retain(|t| !ended.contains(t));
            }
            let report = fleet.shard.next_report(&fleet.cache, now);
            sent += 1;
            small += usize::from(report.since > 0 && report.machines.len() < MACHINES / 2);
            match rng.gen_range(0..10) {
                0..=2 => {}
                3 => late.push(report),
                fate => {
                    if fate == 4 {
                        late.push(report.clone());
                    }
                    leader.apply_shard_report(report, &fleet.cache, now);
                    if rng.gen_bool(0.8) {
                        if let Some(orders) = leader.orders("a") {
                            fleet.shard.apply_orders(&orders, &fleet.cache, now);
                        }
                    }
                }
            }
            if rng.gen_bool(0.2) && !late.is_empty() {
                let old = late.swap_remove(rng.gen_range(0..late.len()));
                leader.apply_shard_report(old, &fleet.cache, now);
            }
        }
        assert!(
            small * 2 > sent,
            "only {small} of {sent} messages were small"
        );
        let last = fleet.shard.next_report(&fleet.cache, 20.0);
        assert!(
            leader.apply_shard_report(last, &fleet.cache, 20.0),
            "the last is whole enough to be taken"
        );
        // The same shard, told to a leader that has heard nothing.
        fleet
            .shard
            .apply_orders(&orders(u64::MAX, Vec::new()), &fleet.cache, 20.0);
        let whole = fleet.shard.next_report(&fleet.cache, 20.0);
        assert_eq!(whole.since, 0);
        let mut fresh = new_leader(&fleet.cache);
        assert!(fresh.apply_shard_report(whole, &fleet.cache, 20.0));
        assert_eq!(belief(&leader), belief(&fresh));
        let held: usize = on.iter().map(BTreeSet::len).sum();
        assert!(held > 50, "something is left to compare");
        assert_eq!(
            (
                leader.counts().assigned_tasks,
                fresh.counts().assigned_tasks
            ),
            (held, held)
        );
    }
}

#[test]
fn an_incremental_report_on_an_unknown_base_is_dropped() {
    let mut fleet = Fleet::new();
    fleet.report(0, 1.0, &[(1, false)]);
    let first = fleet.shard.next_report(&fleet.cache, 1.0);
    let mut leader = new_leader(&fleet.cache);
    let gap = ShardReport {
        since: first.seq,
        seq: first.seq + 1,
        assigned: Vec::new(),
        ..first.clone()
    };
    assert!(
        !leader.apply_shard_report(gap, &fleet.cache, 1.1),
        "nothing to build on"
    );
    assert_eq!(leader.counts().assigned_tasks, 0);
    assert!(!leader.apply_shard_report(
        ShardReport {
            epoch: EPOCH - 1,
            ..first.clone()
        },
        &fleet.cache,
        1.2
    ));
    assert!(!leader.apply_shard_report(
        ShardReport {
            incarnation: 6,
            ..first.clone()
        },
        &fleet.cache,
        1.2
    ));
    assert!(leader.apply_shard_report(first.clone(), &fleet.cache, 1.3));
    assert_eq!(leader.counts().assigned_tasks, 1);
    assert_eq!(first.assigned[0].phase, TaskPhase::Running);
    assert!(
        !leader.apply_shard_report(first, &fleet.cache, 1.4),
        "a copy changes nothing"
    );
}

/// One controller's return left everything that a partitioned zone had lost
/// unreconciled until the last of its machines was heard. A shard that lived on and kept its
/// machines proves by itself what became of its own tasks; one that knows only
/// what it has heard since, or that handed machines over, does not.
#[test]
fn a_shard_that_retained_its_state_proves_its_own_tasks_gone() {
    let unknown_after = |a: u64, others: &[(&str, u64)], kept: bool| {
        let mut fleet = Fleet::new();
        let mut leader = Leader::new(&settings_with(&[]).expect("settings"));
        let epoch = |n: u64, members: &[(&str, u64)]| Epoch {
            number: n,
            members: members
                .iter()
                .map(|(m, incarnation)| (m.to_string(), *incarnation))
                .collect(),
            leader: "a".into(),
            uses_shard_map: false,
        };
        leader.start_epoch(&epoch(EPOCH, &[("a", 7), ("b", 8)]), 9, &fleet.cache);
        fleet.report(0, 1.0, &[(1, false)]);
        assert!(leader.apply_shard_report(
            fleet.shard.next_report(&fleet.cache, 1.0),
            &fleet.cache,
            1.0
        ));
        assert_eq!(
            (
                leader.counts().assigned_tasks,
                leader.counts().unreconciled_tasks
            ),
            (1, 999)
        );
        // It ends, and before the leader hears of it another epoch begins.
        fleet.report(0, 2.0, &[(1, true)]);
        let mut members = vec![("a", a)];
        members.extend(others);
        leader.start_epoch(&epoch(EPOCH + 1, &members), 9, &fleet.cache);
        fleet
            .shard
            .start_epoch(EPOCH + 1, a, &fleet.cache, 2.1, |_| true);
        let report = fleet.shard.next_report(&fleet.cache, 2.2);
        assert!(report.since == 0 && report.assigned.is_empty());
        assert!(leader.apply_shard_report(
            ShardReport {
                state_retained: report.state_retained && kept,
                ..report
            },
            &fleet.cache,
            2.2
        ));
        leader.counts().unreconciled_tasks
    };
    assert_eq!(
        unknown_after(7, &[("b", 10)], true),
        999,
        "another came back"
    );
    assert_eq!(unknown_after(7, &[], true), 999, "another is gone");
    assert_eq!(
        unknown_after(7, &[("b", 8), ("c", 11)], true),
        1000,
        "machines went to a new one"
    );
    assert_eq!(
        unknown_after(12, &[("b", 8)], true),
        1000,
        "it came back itself"
    );
    assert_eq!(
        unknown_after(7, &[("b", 10)], false),
        1000,
        "it knows only what it heard since"
    );
}
