//! No interleaving of messages, faults and elections runs a task twice, and all work is
//! done once the faults are over.

use crate::simulated_cluster::{SimulatedCluster, Statistics};
use crate::{ALL_ENDED_BY_S, FAULTS_UNTIL_S};

#[test]
fn no_interleaving_starts_a_task_twice_and_all_jobs_end() {
    let mut total = Statistics::default();
    for seed in 0..40 {
        let mut cluster = SimulatedCluster::new(seed, false);
        cluster.run_until(FAULTS_UNTIL_S);
        cluster.end_faults();
        cluster.run_until(ALL_ENDED_BY_S);
        cluster.check_all_jobs_ended(seed);
        cluster.check_deleted_machines_stay_deleted();
        total += cluster.statistics();
    }
    let Statistics {
        starts,
        committed,
        replaced_machines,
        partitioned_controllers,
        full_outages,
        refused_controllers,
        silenced_workers,
        cancellation_notices,
        gang_runs,
        gang_failures,
        completed_gangs,
        ..
    } = total;
    println!("{gang_runs} runs of gangs, {gang_failures} failures, {completed_gangs} done");
    assert!(gang_runs > 200, "only {gang_runs} times did a gang run");
    assert!(
        gang_failures > 20,
        "only {gang_failures} running gangs lost a task"
    );
    assert!(
        completed_gangs > 150,
        "only {completed_gangs} gangs completed"
    );
    // The cluster is hostile, but work gets through it.
    assert!(starts > 1000, "only {starts} starts");
    assert!(committed > 500, "only {committed} tasks committed");
    assert!(
        replaced_machines > 20,
        "only {replaced_machines} machines replaced"
    );
    assert!(
        partitioned_controllers > 20,
        "only {partitioned_controllers} controllers partitioned"
    );
    assert!(
        full_outages > 5,
        "only {full_outages} times were all controllers away"
    );
    assert!(
        refused_controllers > 20,
        "only {refused_controllers} controllers refused alone"
    );
    assert!(
        silenced_workers > 20,
        "only {silenced_workers} workers silenced"
    );
    assert!(
        cancellation_notices > 20,
        "only {cancellation_notices} cancellations learnt from other controllers"
    );
}
