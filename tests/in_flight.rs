//! Writes under way and their answers.

use finchwood::in_flight::InFlight;

#[test]
fn an_answer_meets_the_value_that_was_written() {
    let mut w: InFlight<&str, &str> = InFlight::default();
    let (first, second) = (w.next_serial(), w.next_serial());
    w.sent(first, "wk-1", "half of it");
    w.sent(second, "wk-1", "done");
    assert_eq!(w.answered(first), Some(("wk-1", "half of it")));
    assert!(w.has(&"wk-1"), "the second has not been answered");
    assert_eq!(w.answered(first), None);
    assert_eq!(w.answered(second), Some(("wk-1", "done")));
    assert_eq!((w.count(), w.has(&"wk-1")), (0, false));
}
