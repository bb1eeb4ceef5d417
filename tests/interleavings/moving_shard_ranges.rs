//! The same, while ranges of the shard map move all the time: writes of the map are late,
//! refused or lost, and sources, targets and leaders end or are partitioned in between.

use crate::simulated_cluster::{SimulatedCluster, Statistics};
use crate::{ALL_ENDED_BY_S, FAULTS_UNTIL_S};

#[test]
fn shard_ranges_that_move_during_faults_lose_no_task_and_run_none_twice() {
    let mut total = Statistics::default();
    for seed in 100..140 {
        let mut cluster = SimulatedCluster::new(seed, true);
        cluster.run_until(FAULTS_UNTIL_S);
        cluster.end_faults();
        cluster.run_until(ALL_ENDED_BY_S);
        cluster.check_all_jobs_ended(seed);
        cluster.check_each_machine_has_its_owner(seed);
        total += cluster.statistics();
    }
    let Statistics {
        moved_ranges,
        starts,
        committed,
        ..
    } = total;
    println!("{moved_ranges} shard ranges moved, {starts} starts, {committed} tasks committed");
    assert!(moved_ranges > 500, "only {moved_ranges} shard ranges moved");
    assert!(starts > 1000, "only {starts} starts");
    assert!(committed > 500, "only {committed} tasks committed");
}
