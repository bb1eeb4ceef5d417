//! No interleaving of messages, faults and elections runs a task twice, and all jobs end after
//! the faults have ended.

use crate::simulated_cluster::{CopyKind, FaultPlan, QuickReturn, SimulatedCluster, Statistics};
use crate::{ALL_ENDED_BY_S, FAULTS_UNTIL_S};

/// The number of runs with the focused fault plan, and how long each lasts, in simulated
/// seconds.
const FOCUSED_SEEDS: u64 = 250;
const FOCUSED_UNTIL_S: f64 = 60.0;

#[test]
fn no_interleaving_starts_a_task_twice_and_all_jobs_end() {
    let mut total = Statistics::default();
    for seed in 0..40 {
        let mut cluster = SimulatedCluster::new(seed, false, FaultPlan::All);
        cluster.run_until(FAULTS_UNTIL_S);
        cluster.end_faults();
        cluster.run_until(ALL_ENDED_BY_S);
        cluster.check_all_jobs_ended(seed);
        cluster.check_no_deleted_machine_is_reported();
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
        cancellations_from_peers,
        gang_runs,
        gang_failures,
        completed_gangs,
        delayed_readings,
        deposed_page_writes,
        late_page_writes,
        ..
    } = total;
    println!(
        "{gang_runs} runs of gangs, {gang_failures} lost a task, {completed_gangs} gangs completed"
    );
    assert!(gang_runs > 200, "gangs ran only {gang_runs} times");
    assert!(
        gang_failures > 20,
        "only {gang_failures} running gangs lost a task"
    );
    assert!(
        completed_gangs > 150,
        "only {completed_gangs} gangs completed"
    );
    // There were many faults of each kind, and tasks were completed nevertheless.
    assert!(starts > 1000, "only {starts} tasks were started");
    assert!(
        committed > 500,
        "only {committed} finished tasks were committed"
    );
    assert!(
        replaced_machines > 20,
        "only {replaced_machines} machines were replaced"
    );
    assert!(
        partitioned_controllers > 20,
        "controllers were partitioned only {partitioned_controllers} times"
    );
    assert!(
        full_outages > 5,
        "all controllers were stopped only {full_outages} times"
    );
    assert!(
        refused_controllers > 20,
        "the store refused a single controller only {refused_controllers} times"
    );
    assert!(
        silenced_workers > 20,
        "the heartbeats of a worker were dropped only {silenced_workers} times"
    );
    assert!(
        cancellations_from_peers > 20,
        "controllers received only {cancellations_from_peers} new cancellations from others"
    );
    assert!(
        delayed_readings > 100,
        "readings of the store were late only {delayed_readings} times"
    );
    assert!(
        deposed_page_writes > 20,
        "deposed leaders wrote only {deposed_page_writes} registry pages"
    );
    assert!(
        late_page_writes > 20,
        "only {late_page_writes} registry pages were written late"
    );
}

/// Guards against a deposed leader that marks a new machine as in use after the next owner and
/// the next leader have taken the missing mark for a proof that it is empty (review, case 2).
#[test]
fn new_machines_that_meet_new_epochs_run_no_task_twice() {
    let mut total = Statistics::default();
    for seed in 0..FOCUSED_SEEDS {
        let mut cluster = SimulatedCluster::new(seed, false, FaultPlan::NewMachinesMeetNewEpochs);
        cluster.run_until(FOCUSED_UNTIL_S);
        total += cluster.statistics();
    }
    let Statistics {
        starts,
        deposed_page_writes,
        ..
    } = total;
    println!("{starts} starts, {deposed_page_writes} pages written by deposed leaders");
    assert!(starts > 1000, "only {starts} tasks were started");
    assert!(
        deposed_page_writes > 100,
        "deposed leaders wrote only {deposed_page_writes} registry pages"
    );
}

/// Guards against a deleted machine that a late heartbeat brings back, so that its second removal
/// counts as proof that its task runs nowhere (incident of wk-433692/8).
#[test]
fn heartbeats_that_outlive_their_machines_run_no_task_twice() {
    let mut total = Statistics::default();
    for seed in 0..FOCUSED_SEEDS {
        let plan = FaultPlan::HeartbeatsOutliveMachines;
        let mut cluster = SimulatedCluster::new(seed, false, plan);
        cluster.run_until(FAULTS_UNTIL_S / 2.0);
        total += cluster.statistics();
    }
    let Statistics {
        starts,
        heartbeats_of_deleted_machines,
        ..
    } = total;
    println!("{starts} starts, {heartbeats_of_deleted_machines} late heartbeats");
    assert!(starts > 1000, "only {starts} tasks were started");
    assert!(
        heartbeats_of_deleted_machines > 500,
        "only {heartbeats_of_deleted_machines} heartbeats outlived their machines"
    );
}

/// Runs the focused seeds of a fault plan that deposes leaders.
fn depose_leaders(plan: FaultPlan) -> Statistics {
    let mut total = Statistics::default();
    for seed in 0..FOCUSED_SEEDS {
        let mut cluster = SimulatedCluster::new(seed, false, plan);
        cluster.run_until(FOCUSED_UNTIL_S);
        total += cluster.statistics();
    }
    let Statistics {
        starts,
        submissions_in_earlier_epochs,
        refused_submissions,
        listings_before_records,
        starts_of_finished,
        ..
    } = &total;
    println!(
        "{starts} starts, {submissions_in_earlier_epochs} jobs accepted in earlier epochs, \
         {refused_submissions} submissions refused, {starts_of_finished} starts of finished tasks, {listings_before_records} reports with tasks of \
         jobs that their leader had not read"
    );
    assert!(*starts > 1000, "only {starts} tasks were started");
    total
}

/// Guards against a new leader that drops what shards list of a job before it has read the job's
/// record: the deposed leader accepted that job and started its tasks (review, case 4).
#[test]
fn jobs_that_deposed_leaders_accept_run_no_task_twice() {
    let total = depose_leaders(FaultPlan::DeposedEarlierVersionsAcceptJobs);
    let accepted = total.submissions_in_earlier_epochs;
    assert!(
        accepted > 500,
        "only {accepted} jobs were accepted in an earlier epoch"
    );
    let listings = total.listings_before_records;
    assert!(
        listings > 100,
        "only {listings} reports listed tasks of jobs that were not read"
    );
}

/// Guards against a team over its limit: a deposed leader and the next one each accept a job of
/// the team and start its tasks, as neither knows of the other's.
#[test]
fn two_leaders_that_accept_jobs_keep_the_limit_of_their_team() {
    let total = depose_leaders(FaultPlan::DeposedLeadersAcceptJobs);
    let refused = total.refused_submissions;
    assert!(refused > 500, "only {refused} submissions were refused");
}

/// Guards against a finished task that runs again: the deposed leader commits its end and lets the
/// worker forget it, and the next leader has not read that.
#[test]
fn tasks_that_a_deposed_leader_finishes_do_not_run_again() {
    let mut total = Statistics::default();
    for seed in 0..4 * FOCUSED_SEEDS {
        let plan = FaultPlan::DeposedLeadersAcceptJobs;
        let mut cluster = SimulatedCluster::new(seed, false, plan);
        cluster.run_until(FOCUSED_UNTIL_S);
        total += cluster.statistics();
    }
    assert!(
        total.committed > 1000,
        "only {} tasks ended",
        total.committed
    );
    assert_eq!(total.starts_of_finished, 0);
}

/// Guards against a late copy of a start that was carried out and answered: it would run an
/// attempt again that its worker has forgotten, beside a later attempt, or of a cancelled job.
#[test]
fn late_copies_of_answered_starts_start_nothing() {
    let mut total = Statistics::default();
    for seed in 0..FOCUSED_SEEDS {
        let plan = FaultPlan::AnsweredCommandsReturn;
        let mut cluster = SimulatedCluster::new(seed, false, plan);
        cluster.run_until(FOCUSED_UNTIL_S);
        total += cluster.statistics();
    }
    let (moved, cancelled) = (
        total.returned_starts_of_moved,
        total.returned_starts_of_cancelled,
    );
    let copies = &total.returned_commands;
    let after_return = &total.returned_after_quick_return;
    println!(
        "{copies:?} copies returned, {after_return:?} of them within a second after a return,"
    );
    println!("with starts of {moved} moved and {cancelled} cancelled tasks");
    for kind in [
        CopyKind::LaterSession,
        CopyKind::LaterEpoch,
        CopyKind::LaterToken,
    ] {
        let count = copies.get(&kind).copied().unwrap_or(0);
        assert!(count > 300, "only {count} copies: {kind:?}");
    }
    for kind in [
        QuickReturn::SameEpoch,
        QuickReturn::NewEpoch,
        QuickReturn::NewSession,
    ] {
        let count = after_return.get(&kind).copied().unwrap_or(0);
        assert!(count > 100, "only {count} copies after a return: {kind:?}");
    }
    assert!(moved > 100, "only {moved} tasks had moved");
    assert!(cancelled > 100, "only {cancelled} tasks were cancelled");
}
