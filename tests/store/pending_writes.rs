//! Writes under way and their answers.

use finchwood::store::pending_writes::PendingWrites;

#[test]
fn an_answer_meets_the_value_that_was_written() {
    let mut w: PendingWrites<&str, &str> = PendingWrites::default();
    let (first, second) = (w.next_id(), w.next_id());
    w.insert(first, "wk-1", "half of it");
    w.insert(second, "wk-1", "done");
    assert_eq!(w.remove(first), Some(("wk-1", "half of it")));
    assert!(w.contains(&"wk-1"), "the second has not been answered");
    assert_eq!(w.remove(first), None);
    assert_eq!(w.remove(second), Some(("wk-1", "done")));
    assert_eq!((w.count(), w.contains(&"wk-1")), (0, false));
}
