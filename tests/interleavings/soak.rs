//! The same checks with further seeds. Without more, a few seeds run; a long run is started by
//! hand: `SOAK_SEEDS=40..400 cargo test --test interleavings soak -- --nocapture` prints each seed
//! that fails, with its fault plan. `SOAK_PLAN=deposed` runs only the plans with that word in their
//! names.

use crate::simulated_cluster::{FaultPlan, SimulatedCluster};
use crate::FAULTS_UNTIL_S;
use std::ops::Range;

/// The environment variable with the range of seeds, as `40..400`.
const SEEDS_VARIABLE: &str = "SOAK_SEEDS";
/// The environment variable with a part of the names of the fault plans to run.
const PLAN_VARIABLE: &str = "SOAK_PLAN";
/// The seeds without that variable.
const DEFAULT_SEEDS: Range<u64> = 40..50;

/// When all jobs must have ended, in simulated seconds. The network goes on losing and delaying
/// messages after the faults have ended, so that now and then a gang needs several attempts.
const ALL_ENDED_BY_S: f64 = 1_000.0;

/// A fault plan, and whether all controllers use the shard map.
const PLANS: [(&str, FaultPlan, bool); 8] = [
    ("all faults", FaultPlan::All, false),
    (
        "new machines meet new epochs",
        FaultPlan::NewMachinesMeetNewEpochs,
        false,
    ),
    (
        "heartbeats outlive machines",
        FaultPlan::HeartbeatsOutliveMachines,
        false,
    ),
    (
        "deposed leaders accept jobs",
        FaultPlan::DeposedLeadersAcceptJobs,
        false,
    ),
    (
        "deposed leaders of an earlier version accept jobs",
        FaultPlan::DeposedEarlierVersionsAcceptJobs,
        false,
    ),
    (
        "answered commands return",
        FaultPlan::AnsweredCommandsReturn,
        false,
    ),
    (
        "answered commands return during transfers",
        FaultPlan::AnsweredCommandsReturn,
        true,
    ),
    ("transfers of hash ranges", FaultPlan::All, true),
];

fn seeds() -> Range<u64> {
    let Ok(range) = std::env::var(SEEDS_VARIABLE) else {
        return DEFAULT_SEEDS;
    };
    let (first, end) = range.split_once("..").expect("a range of seeds");
    first.parse().expect("the first seed")..end.parse().expect("the end of the seeds")
}

#[test]
fn soak() {
    let mut failed = Vec::new();
    let wanted = std::env::var(PLAN_VARIABLE).unwrap_or_default();
    for seed in seeds() {
        for (name, plan, uses_shard_map) in PLANS {
            if !name.contains(&wanted) {
                continue;
            }
            let run = std::panic::catch_unwind(|| {
                let mut cluster = SimulatedCluster::new(seed, uses_shard_map, plan);
                cluster.run_until(FAULTS_UNTIL_S);
                cluster.end_faults();
                cluster.run_until(ALL_ENDED_BY_S);
                cluster.check_all_jobs_ended(seed);
                cluster.check_no_deleted_machine_is_reported();
            });
            if run.is_err() {
                println!("soak: seed {seed} fails, {name}");
                failed.push((seed, name));
            }
        }
    }
    assert!(failed.is_empty(), "seeds that fail: {failed:?}");
}
