//! Conditions by which the store refuses what a deposed leader writes before it reads of the new
//! epoch.
//!
//! A leader acts on its own writes as soon as they are committed, before it has read the changes
//! before them. The leader of the next epoch has read all that was committed before that epoch.
//! So that it knows all that the one before has acted on, nothing of that may be committed later.

use super::keys::{job_key, EPOCH_KEY};
use super::Condition;

/// Returns the conditions under which a controller accepts a job: the job has no record and, if
/// the controller leads, the epoch is still the one that it leads. `led_epoch_revision` is the
/// revision of that epoch's key; `None` if the controller does not lead.
pub fn submission_conditions(job: &str, led_epoch_revision: Option<u64>) -> Vec<Condition> {
    let mut conditions = vec![Condition::new(job_key(job), 0)];
    // Guard: a deposed leader would start the job's tasks beside those that the next leader starts
    // for the same team, and the team would exceed its limit.
    conditions.extend(led_epoch_revision.map(|revision| Condition::new(EPOCH_KEY, revision)));
    conditions
}

/// Returns the conditions under which a leader commits finished tasks of a job: the job's record is
/// at `job_revision` and, with `led_epoch_revision`, the epoch is still the one that it leads.
pub fn completion_conditions(
    job: &str,
    job_revision: u64,
    led_epoch_revision: Option<u64>,
) -> Vec<Condition> {
    let mut conditions = vec![Condition::new(job_key(job), job_revision)];
    // Guard: a deposed leader would let the worker forget a task whose end the next leader has not
    // read. The next leader would find the task nowhere, and run it again.
    conditions.extend(led_epoch_revision.map(|revision| Condition::new(EPOCH_KEY, revision)));
    conditions
}

/// Whether a submission failed only because the epoch has changed: the job may still be accepted.
pub fn failed_by_epoch_only(job: &str, failed_keys: &[String]) -> bool {
    let failed = |key: &str| failed_keys.iter().any(|failed| failed == key);
    failed(EPOCH_KEY) && !failed(&job_key(job))
}
