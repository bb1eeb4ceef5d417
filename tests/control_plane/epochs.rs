//! Who leads the next epoch, and which machines change owner with it.

use finchwood::cluster::membership::{next_epoch, owner_by_hash};
use finchwood::store::records::{Epoch, MemberRecord, Versioned};
use std::collections::BTreeMap;

#[test]
fn epochs_keep_a_live_leader_and_prefer_survivors() {
    let live = |m: &[(&str, u64)]| -> BTreeMap<String, Versioned<MemberRecord>> {
        m.iter()
            .map(|(n, incarnation)| {
                (
                    n.to_string(),
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
    let without: Epoch =
        next_epoch(Some(&first), &live(&[("a", 9), ("b", 2), ("c", 3)])).expect("an epoch");
    assert_eq!(
        (without.number, without.leader.as_str()),
        (2, "b"),
        "a restart knows nothing"
    );
    let names: BTreeMap<String, u64> = [("a".to_string(), 1), ("b".to_string(), 2)].into();
    let moved = (0..300)
        .map(|i| format!("m-{i:06}"))
        .filter(|m| {
            owner_by_hash(&without.members, m) != Some("c")
                && owner_by_hash(&names, m) != owner_by_hash(&without.members, m)
        })
        .count();
    assert_eq!(moved, 0, "only the machines of one that left change hands");
    let share = (0..300)
        .filter(|i| owner_by_hash(&names, &format!("m-{i:06}")) == Some("a"))
        .count();
    assert!((100..200).contains(&share), "{share} of 300");
}
