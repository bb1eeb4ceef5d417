//! Drift margins of leases.

use finchwood::clock::*;

/// The holder must stop before anybody else may start.
#[test]
fn holder_gives_up_before_others_take_over() {
    for span in [0.5, 8.8, 31.0, 600.0] {
        assert!(usable_lease(span) * (1.0 + DRIFT) < span);
        assert!(with_drift_margin(span) > span * (1.0 + DRIFT));
    }
}
