//! The table against a slow plain model that keeps the owner of every position, and plans
//! and planners that must come to an end.

use finchwood_sharding::hash_position::position;
use finchwood_sharding::plan::{Plan, PlanError, PlannedMove};
use finchwood_sharding::planner::{Fleet, OwnedMachine, Planner, PlannerLimits};
use finchwood_sharding::shard_map::{HashRange, ShardMap, ShardMapError, StoredShardMap};
use finchwood_sharding::transfer::{MoveReason, TransferReport, Transfers};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const NODES: [&str; 3] = ["a", "b", "c"];

fn range(hash_owner: &str, first: u64, last: u64) -> HashRange {
    HashRange {
        hash_owner: hash_owner.into(),
        first,
        last,
    }
}

fn machines(n: usize) -> Vec<(String, String)> {
    (0..n)
        .map(|i| (format!("m-{i:04}"), NODES[i % 3].to_string()))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(24),
        ..ProptestConfig::default()
    })]

    /// Any sequence of moves: every machine has the owner that the plain model says, no
    /// two shares overlap, and the table is the same once written and read.
    #[test]
    fn the_table_is_what_a_plain_model_says(
        moves in prop::collection::vec((0..3usize, any::<u64>(), any::<u64>(), 0..3usize), 0..25),
    ) {
        let machines = machines(60);
        let mut table = ShardMap::default();
        let mut plain: BTreeMap<&str, &str> = machines.iter().map(|(id, hash_owner)| (id.as_str(), hash_owner.as_str())).collect();
        for (n, (hash_owner, a, b, owner)) in moves.iter().enumerate() {
            let range = range(NODES[*hash_owner], *a.min(b), *a.max(b));
            table = table.with_owner(&range, NODES[*owner]);
            for (id, hash_owner) in machines.iter().filter(|(id, hash_owner)| range.contains(hash_owner, position(id))) {
                plain.insert(id, if hash_owner == NODES[*owner] { hash_owner } else { NODES[*owner] });
            }
            prop_assert_eq!(table.generation, n as u64 + 1);
            prop_assert!(table.sole_owner(&range) == Some(NODES[*owner]));
            for (id, hash_owner) in &machines {
                let owner = table.owner(hash_owner, id).unwrap_or(hash_owner);
                prop_assert_eq!(owner, plain[id.as_str()], "{}", id);
            }
        }
        let shares: Vec<&HashRange> = table.ranges().map(|(range, _)| range).collect();
        for (n, share) in shares.iter().enumerate() {
            prop_assert!(!shares[n + 1..].iter().any(|other| other.overlaps(share)));
        }
        let text = serde_json::to_string(&table.to_stored()).expect("text");
        let stored: StoredShardMap = serde_json::from_str(&text).expect("a table");
        prop_assert_eq!(ShardMap::from_stored(&stored), (table, Vec::new()));
    }

    /// Whatever the planner is asked, each move it wants has one owner, and carried out one
    /// after the other they come to an end: no flapping.
    #[test]
    fn plans_are_carried_out_and_come_to_an_end(
        fleet_size in 1..50usize,
        drained in prop::option::of(0..3usize),
        moved in prop::collection::vec((0..3usize, 0..3usize, 1..20usize), 0..3),
        max_ranges in 4..9usize,
    ) {
        let members: BTreeSet<String> = NODES.iter().map(ToString::to_string).collect();
        let machines = machines(fleet_size);
        let limits = PlannerLimits {
            machines_per_move: 5, moves_per_minute: 60.0, imbalance: 0.3, max_ranges, cooldown_s: 60.0,
        };
        let plan = Plan {
            drain: drained.iter().map(|n| NODES[*n].to_string()).collect(),
            moves: moved.iter().filter(|m| m.0 != m.1).map(|(from, to, machines)| PlannedMove {
                source: NODES[*from].into(), target: NODES[*to].into(), machines: *machines,
            }).collect(),
        };
        let mut planner = Planner::new(limits, 0.0);
        let drains = plan.drain.clone();
        planner.set_plan(plan);
        let mut table = ShardMap::default();
        let mut quiet = 0;
        for turn in 0..400 {
            let owned: Vec<OwnedMachine> = machines.iter().map(|(id, hash_owner)| OwnedMachine {
                hash_owner: hash_owner.clone(), position: position(id), owner: table.owner(hash_owner, id).unwrap_or(hash_owner).into(),
            }).collect();
            let fleet = Fleet { members: &members, machines: &owned, shard_map: &table };
            match planner.next(fleet, &Transfers::default(), f64::from(turn)) {
                Some(wanted) => {
                    prop_assert_eq!(table.sole_owner(&wanted.range), Some(wanted.source.as_str()));
                    prop_assert!(!drains.contains(&wanted.target) || wanted.reason == MoveReason::Plan);
                    table = table.with_owner(&wanted.range, &wanted.target);
                    prop_assert!(table.len() <= max_ranges, "{} shares", table.len());
                    quiet = 0;
                }
                None => quiet += 1,
            }
        }
        prop_assert!(quiet > 100, "it goes on for ever");
        for name in &drains {
            let left = machines.iter().filter(|(id, hash_owner)| table.owner(hash_owner, id).unwrap_or(hash_owner) == name).count();
            prop_assert_eq!(left, 0, "{} is not emptied", name);
        }
    }
}

#[test]
fn stored_shares_that_make_no_sense_leave_the_decision_to_the_hash() {
    let text = r#"{"g": 7, "s": [["a", "0", "ff", "b"], ["a", "80", "1ff", "c"], ["b", "9", "3", "a"],
        ["c", "x", "1", "a"], ["", "0", "1", "a"], ["c", "0", "ffffffffffffffff", "a"]]}"#;
    let (table, errors) = ShardMap::from_stored(&serde_json::from_str(text).expect("a table"));
    assert_eq!(table.generation, 7);
    assert_eq!(
        table.ranges().collect::<Vec<_>>(),
        [(&HashRange::whole("c"), "a")]
    );
    let (first, second) = (range("a", 0, 0xff), range("a", 0x80, 0x1ff));
    for error in [
        ShardMapError::NoRange(2),
        ShardMapError::NoRange(3),
        ShardMapError::NoRange(4),
        ShardMapError::Overlap(first.clone(), second.clone()),
        ShardMapError::Overlap(second, first),
    ] {
        assert!(errors.contains(&error), "{error}");
    }
}

#[test]
fn plans_that_make_no_sense_are_refused_whole() {
    let members: BTreeSet<String> = NODES.iter().map(ToString::to_string).collect();
    let plan = |text: &str| {
        serde_json::from_str::<Plan>(text)
            .expect("a plan")
            .check(&members)
    };
    let text = |name: &str| name.to_string();
    let bad = [
        (
            r#"{"drain": ["x"]}"#,
            PlanError::UnknownController(text("x")),
        ),
        (r#"{"drain": ["a", "a"]}"#, PlanError::Duplicate(text("a"))),
        (r#"{"drain": ["a", "b", "c"]}"#, PlanError::NoControllerLeft),
        (
            r#"{"moves": [{"from": "a", "to": "y", "machines": 1}]}"#,
            PlanError::UnknownController(text("y")),
        ),
        (
            r#"{"moves": [{"from": "a", "to": "a", "machines": 1}]}"#,
            PlanError::SourceIsTarget(text("a")),
        ),
        (
            r#"{"moves": [{"from": "a", "to": "b", "machines": 0}]}"#,
            PlanError::NoMachines(text("a"), text("b")),
        ),
        (
            r#"{"drain": ["b"], "moves": [{"from": "a", "to": "b", "machines": 3}]}"#,
            PlanError::TargetDrained(text("b")),
        ),
    ];
    for (text, error) in bad {
        assert_eq!(plan(text), Err(error.clone()), "{text}");
        assert_eq!(error.to_string().lines().count(), 1);
    }
    assert_eq!(
        plan(r#"{"drain": ["a"], "moves": [{"from": "a", "to": "b", "machines": 3}]}"#),
        Ok(())
    );
    assert!(
        serde_json::from_str::<Plan>(r#"{"dreain": ["a"]}"#).is_err(),
        "an unknown field"
    );
}

/// Foreign, late and repeated messages move no transfer.
#[test]
fn only_the_side_that_is_asked_takes_a_step() {
    let wanted = finchwood_sharding::transfer::RangeMove {
        range: range("a", 0, 99),
        source: "a".into(),
        target: "b".into(),
        reason: MoveReason::Plan,
    };
    let mut all = Transfers::default();
    assert!(all.begin(wanted.clone(), 0.0));
    assert!(!all.begin(wanted.clone(), 0.0), "it is moving already");
    let report = |accepted: &[u64], fenced: &[u64], taken_over: &[u64]| TransferReport {
        accepted: accepted.to_vec(),
        fenced: fenced.iter().map(|id| (*id, Vec::new())).collect(),
        released: Vec::new(),
        taken_over: taken_over.to_vec(),
    };
    let state = |all: &Transfers| all.under_way().next().map(|h| format!("{:?}", h.state));
    all.apply_report("b", report(&[], &[1], &[1]), 1.0);
    all.apply_report("a", report(&[1], &[1], &[1]), 1.0);
    all.apply_report("c", report(&[1], &[1], &[1]), 1.0);
    assert_eq!(state(&all).as_deref(), Some("Offered"));
    all.apply_report("b", report(&[1, 9], &[], &[]), 1.0);
    all.apply_report("b", report(&[1], &[1], &[1]), 1.0);
    assert_eq!(state(&all).as_deref(), Some("Accepted"));
    all.apply_report("a", report(&[], &[1], &[]), 2.0);
    assert_eq!(state(&all).as_deref(), Some("Fenced"));
    // Written, with an answer that is lost: nothing withdraws it, and it is written again.
    let table = ShardMap::default();
    let write = all.pending_write(&table, 3.0).expect("a write");
    all.time_out_stale(1.0, 100.0);
    assert_eq!(all.pending_write(&table, 100.0), Some(write.clone()));
    all.observe_shard_map(&table, 101.0);
    assert_eq!(state(&all).as_deref(), Some("Committing"));
    all.observe_shard_map(&write.shard_map, 102.0);
    assert_eq!(state(&all).as_deref(), Some("Committed"));
    all.apply_report("a", report(&[], &[], &[1]), 103.0);
    assert_eq!(state(&all).as_deref(), Some("Committed"));
    all.apply_report("b", report(&[], &[], &[1]), 103.0);
    assert_eq!(
        state(&all).as_deref(),
        Some("Committed"),
        "its source has not released it yet"
    );
    let released = TransferReport {
        released: vec![1],
        ..TransferReport::default()
    };
    all.apply_report("b", released.clone(), 104.0);
    assert!(state(&all).is_some());
    all.apply_report("a", released, 104.0);
    assert_eq!(state(&all), None);
    // One that nobody answers is withdrawn, and one that is refused for certain.
    assert!(all.begin(wanted.clone(), 200.0));
    all.time_out_stale(5.0, 204.0);
    assert!(state(&all).is_some());
    all.time_out_stale(5.0, 206.0);
    assert_eq!(state(&all), None);
    assert!(all.begin(wanted, 300.0));
    all.apply_report("b", report(&[3], &[], &[]), 301.0);
    all.apply_report("a", report(&[], &[3], &[]), 301.0);
    all.pending_write(&write.shard_map, 302.0);
    all.write_refused(303.0);
    assert_eq!(state(&all), None);
}
