//! Three controllers as real processes and about fifty stand-in workers run services, arrays
//! and a gang. All controllers are killed at once and restarted, several times: each time
//! after a longer downtime and with more severe faults. The activity of the workers must show
//! that no task is started twice or stopped, and that no machine in use is deleted. The
//! controllers' restart records must show that all running tasks were adopted, and that none
//! was stopped or found in conflict with an assignment.
//!
//! The tests measure no durations. If the test machine is so slow that a worker's lease
//! expires, the tasks that the worker killed may be started again, but no others.

mod common;

use common::cluster::{job, lock, running_tasks, wait_until, Cluster, ClusterOptions};
use common::stand_ins::worker::WorkerActivity;
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The number of controllers.
const CONTROLLERS: usize = 3;
/// Jobs whose tasks do not complete by themselves, as their ids end in an odd digit: id, kind
/// and number of tasks.
const LONG_RUNNING_JOBS: [(&str, &str, u32); 5] = [
    ("wk-000001", "standing", 66),
    ("wk-000003", "standing", 50),
    ("wk-000005", "ensemble", 8),
    ("wk-000007", "array", 60),
    ("wk-000009", "array", 17),
];

/// What the workers had done before all controllers were killed.
struct ActivityBefore {
    /// The number of starts of each task.
    starts_by_task: BTreeMap<String, u32>,
    /// The number of tasks that were killed because their worker's lease expired.
    killed_by_lease: u32,
    /// The number of tasks that were stopped. It need not be 0: a gang may be started twice
    /// while the controllers join the cluster one after the other.
    stopped: usize,
    /// The number of machines that were deleted while tasks ran on them.
    deleted_in_use: usize,
    /// The number of tasks of the long-running jobs that are on a machine.
    running_tasks: usize,
}

impl ActivityBefore {
    /// Records the activity up to now.
    fn now(activity: &Mutex<WorkerActivity>) -> ActivityBefore {
        let running_tasks = running_tasks(activity, &LONG_RUNNING_JOBS);
        let activity = lock(activity);
        ActivityBefore {
            starts_by_task: activity.starts_by_task.clone(),
            killed_by_lease: activity.killed_by_lease,
            stopped: activity.stopped.len(),
            deleted_in_use: activity.deleted_in_use.len(),
            running_tasks,
        }
    }

    /// Asserts that no task ran on two machines at once. Asserts that, since this activity was
    /// recorded, no more tasks were started again than were killed by an expired lease, no task
    /// was stopped, and no machine in use was deleted. `when` names the phase of the test in
    /// failure messages.
    fn assert_undisturbed(&self, activity: &Mutex<WorkerActivity>, when: &str) {
        let activity = lock(activity);
        let starts: u32 = activity
            .starts_by_task
            .iter()
            .map(|(task, count)| {
                count
                    - self
                        .starts_by_task
                        .get(task)
                        .copied()
                        .unwrap_or(0)
                        .min(*count)
            })
            .filter(|starts| *starts > 0)
            .sum();
        let first_starts = activity
            .starts_by_task
            .keys()
            .filter(|task| !self.starts_by_task.contains_key(*task))
            .count() as u32;
        let killed = activity.killed_by_lease - self.killed_by_lease;
        assert!(
            starts <= first_starts + killed,
            "{when}: {starts} starts, but only {first_starts} new tasks and {killed} tasks killed by an \
             expired lease"
        );
        assert_eq!(
            activity.ran_twice, [""; 0],
            "{when}: tasks ran on two machines at once"
        );
        assert_eq!(
            activity.stopped[self.stopped..],
            [""; 0],
            "{when}: tasks were stopped"
        );
        let deleted = &activity.deleted_in_use[self.deleted_in_use..];
        assert_eq!(
            deleted, [""; 0],
            "{when}: machines were deleted while tasks ran on them"
        );
    }
}

/// Waits until the controllers report that all machines and tasks are reconciled. Asserts that
/// their restart records list an adoption for each task that ran before, and neither a stop
/// nor a conflict. `when` names the phase of the test in failure messages.
fn assert_restart_records(cluster: &Cluster, before: &ActivityBefore, when: &str) {
    let read_records = || {
        (0..CONTROLLERS)
            .map(|index| cluster.operator_get(index, "/restart"))
            .collect::<Vec<Value>>()
    };
    wait_until("not all machines and tasks are reconciled", || {
        let records = read_records();
        let leader = records.iter().find(|record| record["leader"].is_object());
        leader.is_some_and(|record| {
            record["leader"]["resolved"] == true && record["leader"]["tasks_in_doubt"] == 0
        }) && records
            .iter()
            .all(|record| record["machines"]["certain_after_s"].is_number())
    });
    let records = read_records();
    let sum_of = |path: &str| -> u64 {
        records
            .iter()
            .filter_map(|record| record.pointer(path)?.as_u64())
            .sum()
    };
    let verdict_count = |name: &str| -> u64 {
        let counts = |record: &Value| {
            record["machines"]["verdicts"]
                .as_array()
                .cloned()
                .unwrap_or_default()
        };
        let with_name = records
            .iter()
            .flat_map(counts)
            .filter(|entry| entry["verdict"] == name);
        with_name.filter_map(|entry| entry["count"].as_u64()).sum()
    };
    let adopted = verdict_count("adopt");
    assert!(
        adopted >= before.running_tasks as u64,
        "{when}: only {adopted} of {} running tasks were adopted",
        before.running_tasks
    );
    let stops: u64 = records
        .iter()
        .filter_map(|record| {
            record
                .pointer("/machines/orders/stops")?
                .as_object()
                .cloned()
        })
        .flat_map(|stops| {
            stops
                .into_values()
                .filter_map(|count| count.as_u64())
                .collect::<Vec<_>>()
        })
        .sum();
    assert_eq!(
        (stops, verdict_count("conflict"), verdict_count("stop")),
        (0, 0, 0),
        "{when}: stop commands, conflicts or verdicts to stop a task in {records:?}"
    );
    let reconciled_after_s = records
        .iter()
        .filter_map(|record| record["machines"]["certain_after_s"].as_f64())
        .fold(0.0, f64::max);
    println!(
        "{when}: {} running tasks, {adopted} adopted, {} probes, {} starts, {stops} stops, {} forget \
         commands; all machines reconciled after {reconciled_after_s:.2} s",
        before.running_tasks,
        sum_of("/machines/orders/questions"),
        sum_of("/machines/orders/starts"),
        sum_of("/machines/orders/reaps"),
    );
}

/// Submits a job to a controller until it is accepted.
fn submit(cluster: &Cluster, index: usize, id: &str, job_kind: &str, tasks: u32) {
    cluster.request_until(
        index,
        "POST",
        "/v2/runs",
        Some(job(id, job_kind, tasks)),
        |status, _| status == 201 || status == 200,
    );
}

/// Guards against controllers that start tasks again, stop them or delete their machines after
/// a restart without state, before the workers have reported which tasks they run.
#[test]
fn running_tasks_are_adopted_after_a_restart_of_all_controllers() {
    let activity = Arc::new(Mutex::new(WorkerActivity::default()));
    let options = ClusterOptions {
        report_s: 3.0,
        lease_s: 30,
        team_cpus: 260,
        feature_files: vec!["deploy/cold-restart.toml"],
    };
    let mut cluster = Cluster::start_with(CONTROLLERS, "cold", &activity, options);
    (0..CONTROLLERS).for_each(|index| {
        cluster.request_until(index, "GET", "/up", None, |status, _| status == 200)
    });
    for (number, (id, job_kind, tasks)) in LONG_RUNNING_JOBS.into_iter().enumerate() {
        submit(&cluster, number % CONTROLLERS, id, job_kind, tasks);
    }
    let total_tasks: u32 = LONG_RUNNING_JOBS.iter().map(|job| job.2).sum();
    wait_until("not all tasks run", || {
        running_tasks(&activity, &LONG_RUNNING_JOBS) == total_tasks as usize
    });
    for (round, downtime_s) in [0.3, 5.0, 13.0].into_iter().enumerate() {
        // The tasks of this job complete by themselves, some of them while no controller runs.
        let short_job = format!("wk-00{round}002");
        submit(&cluster, round, &short_job, "array", 12);
        wait_until("no task of the short job was started", || {
            lock(&activity)
                .starts_by_task
                .keys()
                .any(|task| task.starts_with(&short_job))
        });
        let before = ActivityBefore::now(&activity);
        let when = format!("after a downtime of {downtime_s} s");
        (0..CONTROLLERS).for_each(|index| cluster.kill_controller(index));
        std::thread::sleep(Duration::from_secs_f64(downtime_s));
        // In the second round the controllers are killed again while they reconcile. In the
        // third the key-value store is unreachable when they restart, and one of them restarts
        // later than the others.
        cluster.set_store_outage(round == 2);
        (0..CONTROLLERS - usize::from(round == 2))
            .for_each(|index| cluster.start_controller(index));
        if round == 1 {
            std::thread::sleep(Duration::from_millis(700));
            (0..CONTROLLERS).for_each(|index| cluster.kill_controller(index));
            (0..CONTROLLERS).for_each(|index| cluster.start_controller(index));
        }
        if round == 2 {
            std::thread::sleep(Duration::from_secs(2));
            cluster.set_store_outage(false);
            cluster.request_until(0, "GET", "/up", None, |status, _| status == 200);
            cluster.start_controller(2);
        }
        cluster.request_until(
            round,
            "GET",
            &format!("/v2/runs/{short_job}"),
            None,
            |_, body| body["mood"] == "done",
        );
        wait_until("not all tasks of the long-running jobs run", || {
            running_tasks(&activity, &LONG_RUNNING_JOBS) == total_tasks as usize
        });
        assert_restart_records(&cluster, &before, &when);
        before.assert_undisturbed(&activity, &when);
    }
}

/// An invalid record under a job's key proves that the job was once accepted. The job must be
/// neither reported as unknown nor accepted again, and the record must be listed for
/// operators.
#[test]
fn a_job_with_an_invalid_record_is_not_reported_as_unknown() {
    let activity = Arc::new(Mutex::new(WorkerActivity::default()));
    let options = ClusterOptions {
        feature_files: vec!["deploy/cold-restart.toml"],
        ..ClusterOptions::default()
    };
    let cluster = Cluster::start_with(1, "scribble", &activity, options);
    cluster.request_until(0, "GET", "/up", None, |status, _| status == 200);
    cluster.write_to_store("fw/j/wk-000033", "scribble".into());
    let is_listed =
        || cluster.operator_get(0, "/restart")["records_left_alone"][0]["key"] == "fw/j/wk-000033";
    wait_until("the invalid record is not listed", is_listed);
    for (method, path, body) in [
        ("GET", "/v2/runs/wk-000033", None),
        ("POST", "/v2/runs/wk-000033/withdraw", None),
        ("POST", "/v2/runs", Some(job("wk-000033", "array", 1))),
    ] {
        let (status, _, retry_after) = cluster.client_request(0, method, path, body);
        assert!(
            status == 503 && retry_after.is_some(),
            "{method} {path}: {status}"
        );
    }
    assert_eq!(
        cluster
            .client_request(0, "GET", "/v2/runs/wk-000034", None)
            .0,
        404
    );
}
