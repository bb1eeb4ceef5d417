//! Under which conditions a job is accepted, and what its refusal means.

use finchwood::store::keys::{job_key, EPOCH_KEY};
use finchwood::store::leader_fencing::{failed_by_epoch_only, submission_conditions};
use finchwood::store::Condition;

/// Guards against a deposed leader that accepts a job, and starts it, beside the next leader.
#[test]
fn a_leader_accepts_a_job_only_in_the_epoch_that_it_leads() {
    let by_leader = submission_conditions("wk-1", Some(7));
    assert!(by_leader.contains(&Condition::new(EPOCH_KEY, 7)));
    assert!(by_leader.contains(&Condition::new(job_key("wk-1"), 0)));
    // Others start no tasks of it before the leader has read it, and so are not refused when the
    // epoch changes.
    let by_follower = submission_conditions("wk-1", None);
    assert_eq!(by_follower, [Condition::new(job_key("wk-1"), 0)]);
}

/// Guards against a user who is told of a job that nobody has accepted, or whose job is refused
/// although another controller has accepted it.
#[test]
fn only_a_failed_condition_on_the_job_shows_that_it_is_accepted_already() {
    let (epoch, job) = (EPOCH_KEY.to_string(), job_key("wk-1"));
    assert!(failed_by_epoch_only("wk-1", std::slice::from_ref(&epoch)));
    assert!(failed_by_epoch_only(
        "wk-1",
        &[job_key("wk-2"), epoch.clone()]
    ));
    assert!(!failed_by_epoch_only("wk-1", std::slice::from_ref(&job)));
    assert!(!failed_by_epoch_only("wk-1", &[epoch, job]));
}
