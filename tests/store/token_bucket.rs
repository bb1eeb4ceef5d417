//! The token bucket that limits the rate of calls to the key-value store.

use finchwood::store::TokenBucket;

#[test]
fn lease_renewals_go_before_other_calls() {
    let mut bucket = TokenBucket::new(10.0, 10.0, 0.0);
    for _ in 0..10 {
        assert!(bucket.take(1.0, 0.0).is_ok());
    }
    let wait = bucket.take(1.0, 0.0).expect_err("empty");
    assert!((wait - 0.1).abs() < 1e-9);
    assert!(bucket.reserve(1.0, 0.0) > 0.0);
    assert!(
        bucket.take(1.0, 0.15).is_err(),
        "a token that is reserved for the renewal was taken"
    );
    assert!(bucket.take(1.0, 0.25).is_ok());
}

/// Guards against starvation: a batch of twelve writes waited for a full bucket while single
/// writes took every token that came in, so that the machine registry was not written for half
/// a minute.
#[test]
fn a_large_batch_does_not_starve_among_small_ones() {
    let mut bucket = TokenBucket::new(10.0, 10.0, 0.0);
    assert!(
        bucket.reserve(10.0, 0.0) <= 0.0,
        "the bucket is not full at the start"
    );
    let large = bucket.reserve(12.0, 0.0);
    assert!(
        (large - 1.2).abs() < 1e-9,
        "12 tokens take 1.2 s at the rate of the bucket, not {large} s"
    );
    let mut previous = large;
    for turn in 1..=20 {
        let now = f64::from(turn) * 0.05;
        let small = now + bucket.reserve(1.0, now);
        assert!(
            small > previous,
            "a later call may be made first, at {small} s instead of after {previous} s"
        );
        previous = small;
    }
    assert!(
        (previous - 3.2).abs() < 1e-9,
        "32 tokens take 3.2 s at the rate of the bucket, not {previous} s"
    );
}
