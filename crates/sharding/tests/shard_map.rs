//! Checks the shard map against a simple model that keeps the owner of every machine. Also
//! checks plans, that the moves of a planner come to an end, and the states of a transfer.

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

    /// After any sequence of moves every machine has the same owner as in the model, no two
    /// ranges overlap, and the shard map is the same once it is written and read.
    #[test]
    fn shard_map_has_the_same_owners_as_a_simple_model(
        moves in prop::collection::vec((0..3usize, any::<u64>(), any::<u64>(), 0..3usize), 0..25),
    ) {
        let machines = machines(60);
        let mut shard_map = ShardMap::default();
        let mut model: BTreeMap<&str, &str> = machines.iter().map(|(id, hash_owner)| (id.as_str(), hash_owner.as_str())).collect();
        for (n, (hash_owner, a, b, owner)) in moves.iter().enumerate() {
            let range = range(NODES[*hash_owner], *a.min(b), *a.max(b));
            shard_map = shard_map.with_owner(&range, NODES[*owner]);
            for (id, hash_owner) in machines.iter().filter(|(id, hash_owner)| range.contains(hash_owner, position(id))) {
                model.insert(id, if hash_owner == NODES[*owner] { hash_owner } else { NODES[*owner] });
            }
            prop_assert_eq!(shard_map.generation, n as u64 + 1);
            prop_assert!(shard_map.sole_owner(&range) == Some(NODES[*owner]));
            for (id, hash_owner) in &machines {
                let owner = shard_map.owner(hash_owner, id).unwrap_or(hash_owner);
                prop_assert_eq!(owner, model[id.as_str()], "{}", id);
            }
        }
        let ranges: Vec<&HashRange> = shard_map.ranges().map(|(range, _)| range).collect();
        for (n, range) in ranges.iter().enumerate() {
            prop_assert!(!ranges[n + 1..].iter().any(|other| other.overlaps(range)));
        }
        let text = serde_json::to_string(&shard_map.to_stored()).expect("JSON");
        let stored: StoredShardMap = serde_json::from_str(&text).expect("a shard map");
        prop_assert_eq!(ShardMap::from_stored(&stored), (shard_map, Vec::new()));
    }

    /// For any plan, each range that the planner moves has a single owner. If the moves are
    /// carried out one after the other, they come to an end: no range is moved back and forth.
    #[test]
    fn moves_of_the_planner_come_to_an_end_and_drain_controllers(
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
        let mut shard_map = ShardMap::default();
        let mut turns_without_move = 0;
        for turn in 0..400 {
            let owned: Vec<OwnedMachine> = machines.iter().map(|(id, hash_owner)| OwnedMachine {
                hash_owner: hash_owner.clone(), position: position(id), owner: shard_map.owner(hash_owner, id).unwrap_or(hash_owner).into(),
            }).collect();
            let fleet = Fleet { members: &members, machines: &owned, shard_map: &shard_map };
            match planner.next(fleet, &Transfers::default(), f64::from(turn)) {
                Some(range_move) => {
                    prop_assert_eq!(shard_map.sole_owner(&range_move.range), Some(range_move.source.as_str()));
                    prop_assert!(!drains.contains(&range_move.target) || range_move.reason == MoveReason::Plan);
                    shard_map = shard_map.with_owner(&range_move.range, &range_move.target);
                    prop_assert!(shard_map.len() <= max_ranges, "{} ranges", shard_map.len());
                    turns_without_move = 0;
                }
                None => turns_without_move += 1,
            }
        }
        prop_assert!(turns_without_move > 100, "the moves do not end");
        for name in &drains {
            let left = machines.iter().filter(|(id, hash_owner)| shard_map.owner(hash_owner, id).unwrap_or(hash_owner) == name).count();
            prop_assert_eq!(left, 0, "{} is not drained", name);
        }
    }
}

#[test]
fn invalid_stored_ranges_are_left_to_their_hash_owner() {
    let text = r#"{"g": 7, "s": [["a", "0", "ff", "b"], ["a", "80", "1ff", "c"], ["b", "9", "3", "a"],
        ["c", "x", "1", "a"], ["", "0", "1", "a"], ["c", "0", "ffffffffffffffff", "a"]]}"#;
    let (shard_map, errors) =
        ShardMap::from_stored(&serde_json::from_str(text).expect("a shard map"));
    assert_eq!(shard_map.generation, 7);
    assert_eq!(
        shard_map.ranges().collect::<Vec<_>>(),
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
fn invalid_plans_are_refused_as_a_whole() {
    let members: BTreeSet<String> = NODES.iter().map(ToString::to_string).collect();
    let plan = |text: &str| {
        serde_json::from_str::<Plan>(text)
            .expect("a plan")
            .check(&members)
    };
    let text = |name: &str| name.to_string();
    let invalid = [
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
    for (text, error) in invalid {
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

/// Reports from other controllers, late reports and repeated ones do not advance a transfer.
#[test]
fn only_the_side_whose_turn_it_is_advances_a_transfer() {
    let range_move = finchwood_sharding::transfer::RangeMove {
        range: range("a", 0, 99),
        source: "a".into(),
        target: "b".into(),
        reason: MoveReason::Plan,
    };
    let mut transfers = Transfers::default();
    assert!(transfers.begin(range_move.clone(), 0.0));
    assert!(
        !transfers.begin(range_move.clone(), 0.0),
        "a second transfer of a range in transfer has begun"
    );
    let report = |accepted: &[u64], fenced: &[u64], taken_over: &[u64]| TransferReport {
        accepted: accepted.to_vec(),
        fenced: fenced.iter().map(|id| (*id, Vec::new())).collect(),
        released: Vec::new(),
        taken_over: taken_over.to_vec(),
    };
    let state = |transfers: &Transfers| {
        transfers
            .in_progress()
            .next()
            .map(|transfer| format!("{:?}", transfer.state))
    };
    transfers.apply_report("b", report(&[], &[1], &[1]), 1.0);
    transfers.apply_report("a", report(&[1], &[1], &[1]), 1.0);
    transfers.apply_report("c", report(&[1], &[1], &[1]), 1.0);
    assert_eq!(state(&transfers).as_deref(), Some("Offered"));
    transfers.apply_report("b", report(&[1, 9], &[], &[]), 1.0);
    transfers.apply_report("b", report(&[1], &[1], &[1]), 1.0);
    assert_eq!(state(&transfers).as_deref(), Some("Accepted"));
    transfers.apply_report("a", report(&[], &[1], &[]), 2.0);
    assert_eq!(state(&transfers).as_deref(), Some("Fenced"));
    // The shard map is written and the response is lost: the transfer does not time out, and
    // the same change is written again.
    let shard_map = ShardMap::default();
    let write = transfers.pending_write(&shard_map, 3.0).expect("a write");
    transfers.time_out_stale(1.0, 100.0);
    assert_eq!(
        transfers.pending_write(&shard_map, 100.0),
        Some(write.clone())
    );
    transfers.observe_shard_map(&shard_map, 101.0);
    assert_eq!(state(&transfers).as_deref(), Some("Committing"));
    transfers.observe_shard_map(&write.shard_map, 102.0);
    assert_eq!(state(&transfers).as_deref(), Some("Committed"));
    transfers.apply_report("a", report(&[], &[], &[1]), 103.0);
    assert_eq!(state(&transfers).as_deref(), Some("Committed"));
    transfers.apply_report("b", report(&[], &[], &[1]), 103.0);
    assert_eq!(
        state(&transfers).as_deref(),
        Some("Committed"),
        "its source has not released it yet"
    );
    let released = TransferReport {
        released: vec![1],
        ..TransferReport::default()
    };
    transfers.apply_report("b", released.clone(), 104.0);
    assert!(state(&transfers).is_some());
    transfers.apply_report("a", released, 104.0);
    assert_eq!(state(&transfers), None);
    // A transfer is aborted if its target does not respond in time, and if its write is
    // refused for certain.
    assert!(transfers.begin(range_move.clone(), 200.0));
    transfers.time_out_stale(5.0, 204.0);
    assert!(state(&transfers).is_some());
    transfers.time_out_stale(5.0, 206.0);
    assert_eq!(state(&transfers), None);
    assert!(transfers.begin(range_move, 300.0));
    transfers.apply_report("b", report(&[3], &[], &[]), 301.0);
    transfers.apply_report("a", report(&[], &[3], &[]), 301.0);
    transfers.pending_write(&write.shard_map, 302.0);
    transfers.write_refused(303.0);
    assert_eq!(state(&transfers), None);
}
