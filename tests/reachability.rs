//! The redirection of workers that are partitioned from their owner.

use finchwood::cluster::reachability::*;

/// Guards against workers whose lease expires while they are redirected to an owner that they
/// cannot reach. This happened when all controllers restarted during a network partition.
#[test]
fn workers_partitioned_from_their_owner_report_through_another_controller() {
    let others = [("b", "west"), ("c", "north"), ("d", "west")];
    let peers = others.map(|(name, zone)| Peer {
        name: name.into(),
        zone: zone.into(),
    });
    let mut reachability = Reachability::new("east", peers.to_vec(), 8.0);
    assert!(
        !reachability.is_partitioned("east", "b", 1.0),
        "no contact has been recorded"
    );
    reachability.record_direct_contact("b", false);
    reachability.record_direct_contact("d", false);
    assert!(
        reachability.is_partitioned("east", "b", 1.0)
            && !reachability.is_partitioned("west", "b", 1.0)
            && !reachability.is_partitioned("north", "b", 1.0)
    );
    assert_eq!(
        reachability.alternate_controller("b", 1.0),
        None,
        "no peer has reported that it reaches the owner"
    );
    reachability.record_unreachable_peers("c", vec!["x".into()], 1.0);
    reachability.record_unreachable_peers("d", vec!["a".into(), "c".into()], 1.0);
    assert_eq!(reachability.alternate_controller("b", 2.0), Some("c"));
    assert_eq!(
        reachability.alternate_controller("c", 2.0),
        None,
        "this controller reaches the owner itself and relays the heartbeat"
    );
    assert!(
        reachability.is_partitioned("west", "c", 2.0),
        "a controller in the zone has reported that it cannot reach the owner"
    );
    assert_eq!(
        (
            reachability.alternate_controller("b", 10.0),
            reachability.is_partitioned("west", "c", 10.0)
        ),
        (None, false),
        "the reports have expired"
    );
    reachability.record_direct_contact("b", true);
    assert!(!reachability.is_partitioned("east", "b", 2.0));
}
