//! Tests of which member leads the next epoch, and which machines change their owner with it.

use finchwood::cluster::membership::{next_epoch, owner_by_hash};
use finchwood::store::records::{Epoch, MemberRecord, Versioned};
use std::collections::BTreeMap;

#[test]
fn epochs_keep_a_live_leader_and_prefer_survivors() {
    let live = |members: &[(&str, u64)]| -> BTreeMap<String, Versioned<MemberRecord>> {
        members
            .iter()
            .map(|(name, incarnation)| {
                (
                    name.to_string(),
                    Versioned::new(MemberRecord::of_this_version(*incarnation), 1),
                )
            })
            .collect()
    };
    let first = next_epoch(None, &live(&[("a", 1), ("b", 2), ("c", 3)])).expect("an epoch");
    assert_eq!((first.number, first.leader.as_str()), (1, "a"));
    assert_eq!(
        next_epoch(Some(&first), &live(&[("a", 1), ("b", 2), ("c", 3)])),
        None
    );
    let second: Epoch =
        next_epoch(Some(&first), &live(&[("a", 9), ("b", 2), ("c", 3)])).expect("an epoch");
    assert_eq!(
        (second.number, second.leader.as_str()),
        (2, "b"),
        "a restarted controller has no state and should not lead"
    );
    let survivors: BTreeMap<String, u64> = [("a".to_string(), 1), ("b".to_string(), 2)].into();
    let moved = (0..300)
        .map(|i| format!("m-{i:06}"))
        .filter(|machine| {
            owner_by_hash(&second.members, machine) != Some("c")
                && owner_by_hash(&survivors, machine) != owner_by_hash(&second.members, machine)
        })
        .count();
    assert_eq!(
        moved, 0,
        "only the machines of the member that left should change their owner"
    );
    let owned_by_a = (0..300)
        .filter(|i| owner_by_hash(&survivors, &format!("m-{i:06}")) == Some("a"))
        .count();
    assert!(
        (100..200).contains(&owned_by_a),
        "{owned_by_a} of 300 machines belong to the first member"
    );
}
