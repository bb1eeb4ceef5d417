//! The rate budget of calls to the key-value store.

use finchwood::store::TokenBucket;

#[test]
fn the_token_bucket_lets_lease_renewals_go_first() {
    let mut bucket = TokenBucket::new(10.0, 10.0, 0.0);
    for _ in 0..10 {
        assert!(bucket.take(1.0, 0.0).is_ok());
    }
    let wait = bucket.take(1.0, 0.0).expect_err("empty");
    assert!((wait - 0.1).abs() < 1e-9);
    assert!(bucket.reserve(1.0, 0.0) > 0.0);
    assert!(
        bucket.take(1.0, 0.15).is_err(),
        "the renewal's call is owed"
    );
    assert!(bucket.take(1.0, 0.25).is_ok());
}

/// A batch of twelve waited for a full bucket while single writes took every
/// token that came in: the machine registry stood still for half a minute.
#[test]
fn a_large_batch_of_writes_gets_its_turn_among_small_ones() {
    let mut bucket = TokenBucket::new(10.0, 10.0, 0.0);
    assert!(bucket.reserve(10.0, 0.0) <= 0.0, "a full bucket");
    let large = bucket.reserve(12.0, 0.0);
    assert!(
        (large - 1.2).abs() < 1e-9,
        "as long as it takes at the rate: {large}"
    );
    let mut before = large;
    for i in 1..=20 {
        let now = f64::from(i) * 0.05;
        let small = now + bucket.reserve(1.0, now);
        assert!(
            small > before,
            "whoever comes later waits longer: {small} after {before}"
        );
        before = small;
    }
    assert!(
        (before - 3.2).abs() < 1e-9,
        "and nothing is lost of the rate: {before}"
    );
}
