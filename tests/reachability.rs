//! Workers that are partitioned from their owner.

use finchwood::cluster::reachability::*;

/// A restart of all controllers within a network partition: told to go to owners they could not
/// reach, workers spent their lease on the way.
#[test]
fn workers_partitioned_from_their_owner_report_through_another_controller() {
    let others = [("b", "west"), ("c", "north"), ("d", "west")];
    let peers = others.map(|(name, zone)| Peer {
        name: name.into(),
        zone: zone.into(),
    });
    let mut ways = Reachability::new("east", peers.to_vec(), 8.0);
    assert!(!ways.is_partitioned("east", "b", 1.0), "nothing is known");
    ways.record_direct_contact("b", false);
    ways.record_direct_contact("d", false);
    assert!(
        ways.is_partitioned("east", "b", 1.0)
            && !ways.is_partitioned("west", "b", 1.0)
            && !ways.is_partitioned("north", "b", 1.0)
    );
    assert_eq!(
        ways.alternate_controller("b", 1.0),
        None,
        "nobody has said that it reaches the owner"
    );
    ways.record_unreachable_peers("c", vec!["x".into()], 1.0);
    ways.record_unreachable_peers("d", vec!["a".into(), "c".into()], 1.0);
    assert_eq!(ways.alternate_controller("b", 2.0), Some("c"));
    assert_eq!(
        ways.alternate_controller("c", 2.0),
        None,
        "this one reaches it and passes the report on"
    );
    assert!(
        ways.is_partitioned("west", "c", 2.0),
        "told by a controller there"
    );
    assert_eq!(
        (
            ways.alternate_controller("b", 10.0),
            ways.is_partitioned("west", "c", 10.0)
        ),
        (None, false),
        "long ago"
    );
    ways.record_direct_contact("b", true);
    assert!(!ways.is_partitioned("east", "b", 2.0));
}
