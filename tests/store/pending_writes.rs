//! Pending writes and their outcomes.

use finchwood::store::pending_writes::PendingWrites;

#[test]
fn an_outcome_is_matched_with_the_value_that_was_written() {
    let mut pending: PendingWrites<&str, &str> = PendingWrites::default();
    let (first, second) = (pending.next_id(), pending.next_id());
    pending.insert(first, "wk-1", "half done");
    pending.insert(second, "wk-1", "done");
    assert_eq!(pending.remove(first), Some(("wk-1", "half done")));
    assert!(
        pending.contains(&"wk-1"),
        "the second write is no longer pending"
    );
    assert_eq!(pending.remove(first), None);
    assert_eq!(pending.remove(second), Some(("wk-1", "done")));
    assert_eq!((pending.count(), pending.contains(&"wk-1")), (0, false));
}
