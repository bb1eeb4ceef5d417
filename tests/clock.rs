//! The margins that leases need for clock drift.

use finchwood::clock::*;

/// The holder of a lease must stop relying on it before any other node, whose clock may differ
/// by the maximum drift, considers it expired.
#[test]
fn the_usable_lease_ends_before_others_consider_the_lease_expired() {
    for span in [0.5, 8.8, 31.0, 600.0] {
        assert!(usable_lease(span) * (1.0 + DRIFT) < span);
        assert!(with_drift_margin(span) > span * (1.0 + DRIFT));
    }
}
