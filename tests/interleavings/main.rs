//! The rules that matter most, in a simulated cluster with every kind of fault: no task
//! starts on one machine while it is on another, none outlives its job's cancellation
//! for longer than the settings say, and nothing that was cancelled is called done. This
//! holds whatever is lost, late or repeated, hangs or crashes, whichever controller the
//! key-value store refuses, and whichever believes that it leads.

mod moving_shard_ranges;
#[path = "../common/simulated_cluster/mod.rs"]
mod simulated_cluster;
mod tasks_run_at_most_once;

/// How long faults are injected, in simulated seconds.
const FAULTS_UNTIL_S: f64 = 240.0;
/// When all work must have ended.
const ALL_ENDED_BY_S: f64 = 500.0;
