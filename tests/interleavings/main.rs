//! Checks the most important guarantees in a simulated cluster with all kinds of faults: no
//! task starts on one machine while it is on another, none runs for longer after the
//! cancellation of its job than the settings promise, and no cancelled job is marked as done.
//! They must hold whichever messages are lost, late or repeated, whatever hangs or crashes,
//! whichever controller the key-value store refuses, and whichever believes that it leads.

mod hash_range_transfers;
#[path = "../common/simulated_cluster/mod.rs"]
mod simulated_cluster;
mod soak;
mod tasks_run_at_most_once;

/// When the faults end, in simulated seconds.
const FAULTS_UNTIL_S: f64 = 240.0;
/// When all jobs must have ended, in simulated seconds.
const ALL_ENDED_BY_S: f64 = 500.0;
