//! Three controllers as real processes, with stand-in workers, transfer hash ranges of
//! machines to each other. In the longest test services, an array and a gang run meanwhile,
//! and controllers are killed or partitioned during transfers. The activity of the workers
//! must show that no job is lost, no task runs on two machines and no task is stopped. At the
//! end each machine must have exactly one owner.
//!
//! By default that test makes a few dozen transfers; `MOVE_SHARES_FOR_S` sets a minimum
//! duration in seconds.

mod common;

use common::cluster::{
    job, lock, running_tasks, wait_until, Cluster, ClusterOptions, WAIT_TIMEOUT,
};
use common::stand_ins::worker::WorkerActivity;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The number of controllers.
const CONTROLLERS: usize = 3;
/// Jobs whose tasks do not complete by themselves, as their ids end in an odd digit: id, kind
/// and number of tasks.
const LONG_RUNNING_JOBS: [(&str, &str, u32); 3] = [
    ("wk-000001", "standing", 30),
    ("wk-000003", "ensemble", 4),
    ("wk-000005", "array", 26),
];
/// The number of transfers that must complete in the first three rounds.
const MIN_TRANSFERS: u64 = 12;

/// Returns the index of the leader and its report on the shard map; `None` if no controller
/// reports that it leads.
fn leader_report(cluster: &Cluster) -> Option<(usize, Value)> {
    (0..cluster.client_addresses.len())
        .map(|index| (index, cluster.operator_get(index, "/shares")))
        .find(|(_, report)| report["leader"].is_object())
}

/// Returns the number of transfers completed since the process of the current leader started;
/// 0 if there is no leader.
fn completed_transfers(cluster: &Cluster) -> u64 {
    leader_report(cluster)
        .and_then(|(_, report)| report["leader"]["ended"]["owned"].as_u64())
        .unwrap_or(0)
}

/// Sends the leader an operator's plan that moves up to 11 machines between two random
/// controllers.
fn post_random_plan(cluster: &Cluster, rng: &mut StdRng) {
    let from = rng.gen_range(0..CONTROLLERS);
    let to = (from + rng.gen_range(1..CONTROLLERS)) % CONTROLLERS;
    let plan = json!({"moves": [{"from": format!("n{from}"), "to": format!("n{to}"), "machines": rng.gen_range(1..12)}]});
    if let Some((index, _)) = leader_report(cluster) {
        cluster.operator_post(index, "/shares/plan", &plan);
    }
}

/// Returns the numbers of repeated starts of tasks, of stopped tasks, of deletions of machines
/// in use and of tasks killed by an expired lease so far.
///
/// Tests compare two counts instead of expecting zero, since a gang may be started twice while
/// the controllers join the cluster one after the other.
fn disruption_counts(activity: &Mutex<WorkerActivity>) -> (u32, usize, usize, u32) {
    let activity = lock(activity);
    let restarts = activity
        .starts_by_task
        .values()
        .map(|starts| starts - 1)
        .sum();
    (
        restarts,
        activity.stopped.len(),
        activity.deleted_in_use.len(),
        activity.killed_by_lease,
    )
}

/// Asserts that no task ran on two machines at once. Asserts that, since the counts `before`
/// were taken, no task was stopped, no machine in use was deleted, and no more tasks were
/// started again than were killed by an expired lease.
fn assert_undisturbed(activity: &Mutex<WorkerActivity>, before: (u32, usize, usize, u32)) {
    let (restarts, stopped, deleted, killed) = disruption_counts(activity);
    let activity = lock(activity);
    assert_eq!(
        activity.ran_twice, [""; 0],
        "tasks ran on two machines at once"
    );
    assert_eq!(
        stopped, before.1,
        "tasks were stopped: {:?}",
        activity.stopped
    );
    assert_eq!(
        deleted, before.2,
        "machines were deleted while tasks ran on them: {:?}",
        activity.deleted_in_use
    );
    let (restarts, killed) = (restarts - before.0, killed - before.3);
    assert!(
        restarts <= killed,
        "{restarts} repeated starts, but only {killed} tasks killed by an expired lease"
    );
}

/// Guards against tasks that are lost, stopped or started twice by a transfer of their machine
/// to another controller, also if a controller crashes or is partitioned during the transfer.
#[test]
fn transfers_lose_no_task_and_run_none_twice_despite_crashes_and_partitions() {
    let activity = Arc::new(Mutex::new(WorkerActivity::default()));
    let feature_files = vec![
        "deploy/cold-restart.toml",
        "tests/fixtures/shares-that-move.toml",
    ];
    let options = ClusterOptions {
        report_s: 3.0,
        lease_s: 30,
        team_cpus: 120,
        feature_files,
    };
    let mut cluster = Cluster::start_with(CONTROLLERS, "shares", &activity, options);
    (0..CONTROLLERS).for_each(|index| {
        cluster.request_until(index, "GET", "/up", None, |status, _| status == 200)
    });
    for (number, (id, job_kind, tasks)) in LONG_RUNNING_JOBS.into_iter().enumerate() {
        cluster.request_until(
            number % CONTROLLERS,
            "POST",
            "/v2/runs",
            Some(job(id, job_kind, tasks)),
            |status, _| status == 201 || status == 200,
        );
    }
    let total_tasks: u32 = LONG_RUNNING_JOBS.iter().map(|job| job.2).sum();
    wait_until("not all tasks run", || {
        running_tasks(&activity, &LONG_RUNNING_JOBS) == total_tasks as usize
    });
    wait_until("the shard map is not in use", || {
        leader_report(&cluster).is_some_and(|(_, report)| report["in_use"] == true)
    });
    let before = disruption_counts(&activity);
    let mut rng = StdRng::seed_from_u64(24);
    let min_duration_s: u64 = std::env::var("MOVE_SHARES_FOR_S")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let (begin, mut transfers, mut rounds) = (Instant::now(), 0, 0);
    while rounds < 3 || begin.elapsed() < Duration::from_secs(min_duration_s) {
        // Each round submits a job whose tasks complete by themselves, as its id ends in an
        // even digit.
        let short_job = format!("wk-{:06}", 100 + 2 * rounds);
        cluster.request_until(
            rounds % CONTROLLERS,
            "POST",
            "/v2/runs",
            Some(job(&short_job, "array", 6)),
            |status, _| status == 201 || status == 200,
        );
        let (completed_before, round_begin) = (completed_transfers(&cluster), Instant::now());
        while completed_transfers(&cluster) < completed_before + MIN_TRANSFERS / 3 {
            assert!(
                round_begin.elapsed() < WAIT_TIMEOUT,
                "too few transfers complete"
            );
            post_random_plan(&cluster, &mut rng);
            std::thread::sleep(Duration::from_millis(300));
        }
        transfers += completed_transfers(&cluster) - completed_before;
        // During a transfer one controller is killed and restarted, or is partitioned from the
        // store and the other controllers.
        post_random_plan(&cluster, &mut rng);
        let index = rng.gen_range(0..CONTROLLERS);
        if rounds % 2 == 0 {
            cluster.kill_controller(index);
            cluster.start_controller(index);
        } else {
            cluster.set_partitioned(index, true);
            std::thread::sleep(Duration::from_millis(rng.gen_range(200..5000)));
            cluster.set_partitioned(index, false);
        }
        cluster.request_until(index, "GET", "/up", None, |status, _| status == 200);
        wait_until("the shard map is not in use", || {
            leader_report(&cluster).is_some_and(|(_, report)| report["in_use"] == true)
        });
        cluster.request_until(
            index,
            "GET",
            &format!("/v2/runs/{short_job}"),
            None,
            |_, body| body["mood"] == "done",
        );
        wait_until("not all tasks of the long-running jobs run", || {
            running_tasks(&activity, &LONG_RUNNING_JOBS) == total_tasks as usize
        });
        assert_undisturbed(&activity, before);
        rounds += 1;
    }
    // The controllers' reports are not taken at the same moment, so a machine can be in none
    // or in two of them until all transfers have ended.
    wait_until(
        "a machine has no owner or two owners, or transfers do not end",
        || {
            let reports: Vec<Value> = (0..CONTROLLERS)
                .map(|index| cluster.operator_get(index, "/shares"))
                .collect();
            let leader = reports
                .iter()
                .map(|report| &report["leader"])
                .find(|leader| leader.is_object());
            let settled = leader.is_some_and(|leader| {
                leader["without_owner"] == 0
                    && leader["under_way"].as_array().is_some_and(Vec::is_empty)
            });
            let machines =
                |report: &Value| report["machines"].as_array().cloned().unwrap_or_default();
            let owned_machines: Vec<String> = reports
                .iter()
                .flat_map(machines)
                .map(|id| id.to_string())
                .collect();
            let distinct_machines: BTreeSet<&String> = owned_machines.iter().collect();
            settled
                && distinct_machines.len() == owned_machines.len()
                && distinct_machines.len() as u32 >= total_tasks / 4
        },
    );
    let report = leader_report(&cluster).expect("a leader").1;
    println!(
        "{transfers} completed transfers in {rounds} rounds; the leader reports: {}",
        report["leader"]
    );
    assert_undisturbed(&activity, before);
}

/// A controller is drained before its process is replaced. By then the other controllers own
/// all machines, so that its end and return cause no takeover. Once the plan no longer drains
/// it, it owns machines again.
#[test]
fn a_drained_controller_owns_no_machines_across_its_restart_and_regains_them_later() {
    let activity = Arc::new(Mutex::new(WorkerActivity::default()));
    let feature_files = vec![
        "deploy/cold-restart.toml",
        "tests/fixtures/shares-that-move.toml",
    ];
    let options = ClusterOptions {
        report_s: 3.0,
        lease_s: 30,
        team_cpus: 80,
        feature_files,
    };
    let mut cluster = Cluster::start_with(CONTROLLERS, "drain", &activity, options);
    (0..CONTROLLERS).for_each(|index| {
        cluster.request_until(index, "GET", "/up", None, |status, _| status == 200)
    });
    let (id, job_kind, tasks) = LONG_RUNNING_JOBS[0];
    cluster.request_until(
        0,
        "POST",
        "/v2/runs",
        Some(job(id, job_kind, tasks)),
        |status, _| status == 201 || status == 200,
    );
    wait_until("not all tasks run", || {
        running_tasks(&activity, &LONG_RUNNING_JOBS) == tasks as usize
    });
    wait_until("the shard map is not in use", || {
        leader_report(&cluster).is_some_and(|(_, report)| report["in_use"] == true)
    });
    let before = disruption_counts(&activity);
    let machines = |cluster: &Cluster, index: usize| {
        cluster.operator_get(index, "/shares")["machines"]
            .as_array()
            .map(Vec::len)
    };
    let post_plan = |cluster: &Cluster, plan: Value| {
        wait_until("the leader does not accept the plan", || {
            leader_report(cluster).is_some_and(|(leader, _)| {
                cluster.operator_post(leader, "/shares/plan", &plan).0 == 200
            })
        });
    };
    let (leader, _) = leader_report(&cluster).expect("a leader");
    let drained = (leader + 1) % CONTROLLERS;
    wait_until("the controller to drain owns no machines", || {
        machines(&cluster, drained).is_some_and(|count| count > 0)
    });
    post_plan(&cluster, json!({"drain": [format!("n{drained}")]}));
    wait_until("the drained controller still owns machines", || {
        machines(&cluster, drained) == Some(0)
    });
    cluster.kill_controller(drained);
    cluster.start_controller(drained);
    cluster.request_until(drained, "GET", "/up", None, |status, _| status == 200);
    wait_until("the shard map is not in use", || {
        leader_report(&cluster).is_some_and(|(_, report)| report["in_use"] == true)
    });
    assert_eq!(
        machines(&cluster, drained),
        Some(0),
        "the restarted controller owns machines, although the shard map assigns them to others"
    );
    post_plan(&cluster, json!({}));
    wait_until("the controller gets no machines back", || {
        machines(&cluster, drained).is_some_and(|count| count > 0)
    });
    assert_undisturbed(&activity, before);
}

/// An invalid plan is refused as a whole, with an error of one line. A request to the endpoint
/// of a feature that is not enabled gets an error that says so.
#[test]
fn invalid_plans_are_refused_and_change_nothing() {
    let activity = Arc::new(Mutex::new(WorkerActivity::default()));
    let options = ClusterOptions {
        feature_files: vec!["deploy/shared-machines.toml"],
        ..ClusterOptions::default()
    };
    let cluster = Cluster::start_with(1, "plans", &activity, options);
    cluster.request_until(0, "GET", "/up", None, |status, _| status == 200);
    wait_until("the shard map is not in use", || {
        leader_report(&cluster).is_some_and(|(_, report)| report["in_use"] == true)
    });
    for (plan, expected_text) in [
        (json!({"drain": ["n0"]}), "nobody is left"),
        (
            json!({"moves": [{"from": "n0", "to": "n7", "machines": 1}]}),
            "n7",
        ),
        (json!({"moves": "all"}), "plan"),
        (json!({"dreain": []}), "dreain"),
    ] {
        let (status, response) = cluster.operator_post(0, "/shares/plan", &plan);
        assert!(
            status == 400 && response.contains(expected_text) && response.lines().count() == 1,
            "{plan}: {status} {response}"
        );
    }
    let report = cluster.operator_get(0, "/shares");
    assert!(
        report["leader"]["plan"] == json!({"drain": [], "moves": []}) && report["generation"] == 0
    );
    assert_eq!(
        cluster.operator_get(0, "/restart")["error"],
        "the part cold-restart is not switched on"
    );
}
