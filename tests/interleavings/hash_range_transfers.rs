//! Checks the same guarantees while hash ranges are transferred all the time: writes of the
//! shard map are late, refused or without a response, and the source, the target or the leader
//! may crash or be partitioned during a transfer.

use crate::simulated_cluster::{FaultPlan, SimulatedCluster, Statistics};
use crate::{ALL_ENDED_BY_S, FAULTS_UNTIL_S};

#[test]
fn transfers_of_hash_ranges_during_faults_lose_no_task_and_run_none_twice() {
    let mut total = Statistics::default();
    for seed in 100..140 {
        let mut cluster = SimulatedCluster::new(seed, true, FaultPlan::All);
        cluster.run_until(FAULTS_UNTIL_S);
        cluster.end_faults();
        cluster.run_until(ALL_ENDED_BY_S);
        cluster.check_all_jobs_ended(seed);
        cluster.check_each_machine_has_its_owner(seed);
        total += cluster.statistics();
    }
    let Statistics {
        completed_transfers,
        starts,
        committed,
        ..
    } = total;
    println!(
        "{completed_transfers} hash ranges transferred, {starts} starts, {committed} tasks committed"
    );
    assert!(
        completed_transfers > 500,
        "only {completed_transfers} hash ranges were transferred"
    );
    assert!(starts > 1000, "only {starts} tasks were started");
    assert!(
        committed > 500,
        "only {committed} finished tasks were committed"
    );
}
