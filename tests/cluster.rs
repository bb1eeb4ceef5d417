//! Controllers as real processes on the loopback interface, against stand-ins for the
//! key-value store, the cloud and the workers. Three controllers run and cancel jobs across
//! crashes. Five controllers go through a sequence of faults, and must report the state of
//! every job after each. Further tests combine cancellations with store outages and late
//! commits.
//!
//! The tests measure no durations: they wait for each expected effect while the fault lasts.

mod common;

use common::cluster::{job, Cluster, WAIT_TIMEOUT};
use common::stand_ins::worker::WorkerActivity;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[test]
fn jobs_run_finish_and_are_cancelled_across_crashes_of_all_controllers() {
    let activity = Arc::new(Mutex::new(WorkerActivity::default()));
    let mut cluster = Cluster::start(3, "three", &activity);
    let is_running = |_: u16, body: &Value| body["mood"] == "running";
    for index in 0..3 {
        cluster.request_until(index, "GET", "/up", None, |status, _| status == 200);
    }
    // A service, which is spread over both zones, and an array.
    cluster.request_until(
        0,
        "POST",
        "/v2/runs",
        Some(job("wk-000001", "standing", 2)),
        |status, _| status == 201 || status == 200,
    );
    cluster.request_until(
        1,
        "POST",
        "/v2/runs",
        Some(job("wk-000002", "array", 5)),
        |status, _| status == 201 || status == 200,
    );
    cluster.request_until(2, "GET", "/v2/runs/wk-000001", None, |status, body| {
        status == 200 && body["running"] == 2
    });
    cluster.request_until(0, "GET", "/v2/runs/wk-000002", None, |_, body| {
        body["mood"] == "done" && body["done"] == 5
    });
    // Invalid requests are refused, each with its own status.
    assert_eq!(
        cluster
            .client_request(0, "GET", "/v2/runs/wk-999999", None)
            .0,
        404
    );
    assert_eq!(
        cluster
            .client_request(0, "POST", "/v2/runs", Some(json!({"id": "wk-000009"})))
            .0,
        400
    );
    let mut too_large = job("wk-000009", "array", 1);
    too_large["cpus"] = 64.0.into();
    cluster.request_until(1, "POST", "/v2/runs", Some(too_large), |status, _| {
        assert!(status == 422 || status == 503, "{status}");
        status == 422
    });
    let mut unknown_team = job("wk-000009", "array", 1);
    unknown_team["nest"] = "nobody".into();
    cluster.request_until(2, "POST", "/v2/runs", Some(unknown_team), |status, _| {
        assert!(status == 422 || status == 503, "{status}");
        status == 422
    });
    // The zone constraints contradict each other: all replicas in one zone, but at most half
    // of them in any zone.
    let mut contradictory = job("wk-000009", "standing", 3);
    contradictory["one_zone"] = true.into();
    cluster.request_until(2, "POST", "/v2/runs", Some(contradictory), |status, _| {
        status == 422
    });
    for field in [
        "shape",
        "accelerators",
        "scatter",
        "molt_s",
        "stash_s",
        "rank",
        "size_gb",
    ] {
        let mut incomplete = job("wk-000009", "array", 1);
        incomplete.as_object_mut().expect("a job").remove(field);
        assert_eq!(
            cluster
                .client_request(0, "POST", "/v2/runs", Some(incomplete))
                .0,
            400,
            "{field}"
        );
    }
    cluster.request_until(
        0,
        "POST",
        "/v2/runs/wk-999999/withdraw",
        None,
        |status, _| status == 404,
    );
    // All controllers are killed one after the other, and controller 0 stays down for a while.
    // Running tasks are not affected.
    for index in 0..3 {
        cluster.kill_controller(index);
        if index > 0 {
            cluster.start_controller(index);
        }
    }
    cluster.request_until(
        1,
        "POST",
        "/v2/runs",
        Some(job("wk-000004", "array", 4)),
        |status, _| status == 201 || status == 200,
    );
    cluster.request_until(2, "GET", "/v2/runs/wk-000004", None, |_, body| {
        body["mood"] == "done"
    });
    cluster.request_until(1, "GET", "/v2/runs/wk-000001", None, is_running);
    cluster.start_controller(0);
    cluster.request_until(0, "GET", "/v2/runs/wk-000002", None, |status, body| {
        status == 200 && body["mood"] == "done"
    });
    // A repeated submission has no effect, even if the job has ended.
    let repeated =
        cluster.client_request(0, "POST", "/v2/runs", Some(job("wk-000002", "array", 5)));
    assert_eq!(
        (repeated.0, repeated.1["mood"].as_str()),
        (200, Some("done"))
    );
    // The job is recognized by its id at every controller, although a new job with this body
    // would be refused.
    let mut changed = job("wk-000002", "array", 5);
    changed["nest"] = "nobody".into();
    changed["cpus"] = 640.0.into();
    for index in 0..3 {
        cluster.request_until(
            index,
            "POST",
            "/v2/runs",
            Some(changed.clone()),
            |status, body| {
                assert!(status == 200 || status == 503, "{status}");
                body["mood"] == "done"
            },
        );
        let path = "/v2/runs/wk-000002/withdraw";
        cluster.request_until(index, "POST", path, None, |status, body| {
            status == 200 && body["mood"] == "done"
        });
    }
    cluster.request_until(
        0,
        "POST",
        "/v2/runs/wk-000001/withdraw",
        None,
        |status, body| status == 200 && body["mood"] == "cancelled",
    );
    cluster.request_until(2, "GET", "/v2/runs/wk-000001", None, |status, body| {
        status == 200 && body["mood"] == "cancelled"
    });
    let begin = Instant::now();
    loop {
        let running_replicas: usize = {
            let activity = activity.lock().expect("an unpoisoned lock");
            activity
                .machines_by_task
                .iter()
                .filter(|(task, _)| task.starts_with("wk-000001/"))
                .map(|(_, machines)| machines.len())
                .sum()
        };
        if running_replicas == 0 {
            break;
        }
        assert!(
            begin.elapsed() < WAIT_TIMEOUT,
            "{running_replicas} replicas still run after the cancellation"
        );
        std::thread::sleep(Duration::from_millis(100));
    }
    let activity = activity.lock().expect("an unpoisoned lock");
    assert!(
        activity.ran_twice.is_empty(),
        "tasks ran on two machines at once: {:?}",
        activity.ran_twice
    );
    assert!(activity.starts >= 11);
}

/// The number of controllers in the test with many faults.
const CONTROLLERS: usize = 5;

/// Submits a job to a controller and adds its id to `jobs`.
fn submit(cluster: &Cluster, index: usize, jobs: &mut Vec<String>, job_kind: &str, tasks: u32) {
    // Tasks complete by themselves if the id of their job ends in an even digit.
    let number = 2 * jobs.len() + if job_kind == "array" { 2 } else { 1 };
    let id = format!("wk-{number:06}");
    cluster.request_until(
        index,
        "POST",
        "/v2/runs",
        Some(job(&id, job_kind, tasks)),
        |status, _| status == 201 || status == 200,
    );
    jobs.push(id);
}

/// Asserts that a controller refuses users' requests at once with a `Retry-After` header,
/// instead of delaying its responses.
fn assert_refused_at_once(cluster: &Cluster, index: usize, id: &str) {
    for (method, path, body) in [
        ("GET", format!("/v2/runs/{id}"), None),
        (
            "POST",
            "/v2/runs".to_string(),
            Some(job("wk-900000", "array", 1)),
        ),
        ("POST", format!("/v2/runs/{id}/withdraw"), None),
    ] {
        // If the response were delayed, the client's request would time out, as a user's request
        // would, and the status would be 0.
        let (status, _, retry_after) = cluster.client_request(index, method, &path, body);
        assert_eq!(status, 503, "{method} {path}");
        assert!(retry_after.is_some(), "{method} {path}: no Retry-After");
    }
}

/// Waits until each controller has reported the state of each job. Panics if a controller
/// reports a job as unknown.
fn assert_every_job_reported(cluster: &Cluster, jobs: &[String]) {
    for index in 0..CONTROLLERS {
        for id in jobs {
            cluster.request_until(
                index,
                "GET",
                &format!("/v2/runs/{id}"),
                None,
                |status, _| {
                    assert_ne!(status, 404, "controller {index} reports {id} as unknown");
                    status == 200
                },
            );
        }
    }
}

/// Guards against accepted jobs that become unknown: after each fault, users must be able to
/// query every job at every controller.
#[test]
fn every_controller_reports_every_job_after_each_fault() {
    let activity = Arc::new(Mutex::new(WorkerActivity::default()));
    let mut cluster = Cluster::start(CONTROLLERS, "five", &activity);
    let mut jobs = Vec::new();
    for index in 0..CONTROLLERS {
        cluster.request_until(index, "GET", "/up", None, |status, _| status == 200);
    }
    for index in 0..CONTROLLERS {
        submit(
            &cluster,
            index,
            &mut jobs,
            if index == 0 { "standing" } else { "array" },
            3,
        );
    }
    // Controller 1 is partitioned from the key-value store and from the other controllers, but
    // not from its workers.
    cluster.set_partitioned(1, true);
    cluster.request_until(1, "GET", "/up", None, |status, _| status == 503);
    assert_refused_at_once(&cluster, 1, &jobs[0]);
    // Controller 1 owns some of the 40 machine ids by their hash. Once it accepts no heartbeat
    // of any of them, it is fenced.
    let begin = Instant::now();
    let heartbeat_accepted = |number: i32| {
        let report = json!({"perch": format!("m-x{number}"), "address": "127.0.0.1:9", "breed": "box",
            "grove": "e", "windfall": false, "flight": 1, "chirp": begin.elapsed().as_millis() as u64,
            "crest": 0, "warning_s": null, "chicks": []});
        ![421, 503].contains(
            &cluster
                .client_request(1, "POST", "/agent/beat", Some(report))
                .0,
        )
    };
    while (0..40).any(heartbeat_accepted) {
        assert!(
            begin.elapsed() < WAIT_TIMEOUT,
            "a partitioned controller still accepts heartbeats"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
    submit(&cluster, 2, &mut jobs, "array", 4);
    cluster.set_partitioned(1, false);
    cluster.request_until(1, "GET", "/up", None, |status, _| status == 200);
    assert_every_job_reported(&cluster, &jobs);
    // Controllers are killed in quick succession and restarted at once, two of them a second
    // time while the cluster is still electing a leader.
    for index in [0, 3, 0, 4, 3] {
        cluster.kill_controller(index);
        cluster.start_controller(index);
    }
    submit(&cluster, 2, &mut jobs, "array", 3);
    assert_every_job_reported(&cluster, &jobs);
    // The key-value store is unreachable for all controllers, for longer than a member lease.
    cluster.set_store_outage(true);
    std::thread::sleep(Duration::from_secs(5));
    assert_refused_at_once(&cluster, 0, &jobs[0]);
    cluster.set_store_outage(false);
    submit(&cluster, 0, &mut jobs, "array", 2);
    assert_every_job_reported(&cluster, &jobs);
    // All controllers are killed together and restarted.
    (0..CONTROLLERS).for_each(|index| cluster.kill_controller(index));
    (0..CONTROLLERS).for_each(|index| cluster.start_controller(index));
    assert_every_job_reported(&cluster, &jobs);
    // All array jobs that were accepted run to completion.
    for id in jobs
        .iter()
        .filter(|id| id.ends_with(['0', '2', '4', '6', '8']))
    {
        cluster.request_until(4, "GET", &format!("/v2/runs/{id}"), None, |_, body| {
            body["mood"] == "done"
        });
    }
    let is_running = |_: u16, body: &Value| body["mood"] == "running";
    cluster.request_until(3, "GET", &format!("/v2/runs/{}", jobs[0]), None, is_running);
    let activity = activity.lock().expect("an unpoisoned lock");
    assert!(
        activity.ran_twice.is_empty(),
        "tasks ran on two machines at once: {:?}",
        activity.ran_twice
    );
}

/// Returns the number of a job's tasks that are running; a task that is on two machines counts
/// twice.
fn running_tasks(activity: &Mutex<WorkerActivity>, id: &str) -> usize {
    let activity = activity.lock().expect("an unpoisoned lock");
    activity
        .machines_by_task
        .iter()
        .filter(|(task, _)| task.starts_with(&format!("{id}/")))
        .map(|(_, machines)| machines.len())
        .sum()
}

/// Waits until `condition` holds. Panics with `failure`, which says what did not happen, after
/// [`WAIT_TIMEOUT`].
fn wait_until(failure: &str, condition: impl Fn() -> bool) {
    let begin = Instant::now();
    while !condition() {
        assert!(begin.elapsed() < WAIT_TIMEOUT, "{failure}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against cancelled tasks that run on while the key-value store is unreachable.
/// Controller 0 loses the store; another controller confirms the cancellation of a job; then
/// no controller reaches the store until every task of the job has ended.
///
/// In the first round controller 0 is also partitioned from the other controllers: only the
/// limit on the staleness of its cache, and then the expiry of the workers' leases, end the
/// tasks on its machines. In the second round the others can notify it of the cancellation.
#[test]
fn cancelled_tasks_end_although_the_store_outage_continues() {
    let activity = Arc::new(Mutex::new(WorkerActivity::default()));
    let cluster = Cluster::start(3, "gap", &activity);
    (0..3).for_each(|index| {
        cluster.request_until(index, "GET", "/up", None, |status, _| status == 200)
    });
    for (number, partitioned) in [(1, true), (3, false)] {
        // Each round has a service of its own. Controller 0 should own some of its six
        // replicas.
        let id = format!("wk-00000{number}");
        cluster.request_until(
            0,
            "POST",
            "/v2/runs",
            Some(job(&id, "standing", 6)),
            |status, _| status == 201 || status == 200,
        );
        wait_until("not all replicas of the service were started", || {
            running_tasks(&activity, &id) == 6
        });
        let killed_before = activity.lock().expect("an unpoisoned lock").killed_by_lease;
        if partitioned {
            cluster.set_partitioned(0, true);
        } else {
            cluster.set_store_unreachable(0, true);
        }
        let path = format!("/v2/runs/{id}/withdraw");
        cluster.request_until(1, "POST", &path, None, |status, body| {
            status == 200 && body["mood"] == "cancelled"
        });
        cluster.set_store_outage(true);
        wait_until(
            "tasks of the cancelled job still run during the store outage",
            || running_tasks(&activity, &id) == 0,
        );
        cluster.set_store_outage(false);
        cluster.set_partitioned(0, false);
        for index in 0..3 {
            cluster.request_until(
                index,
                "GET",
                &format!("/v2/runs/{id}"),
                None,
                |status, body| status == 200 && body["mood"] == "cancelled",
            );
        }
        assert!(
            !partitioned
                || activity.lock().expect("an unpoisoned lock").killed_by_lease >= killed_before
        );
    }
    assert!(activity
        .lock()
        .expect("an unpoisoned lock")
        .ran_twice
        .is_empty());
}

/// Guards against jobs with contradictory final states. Jobs are cancelled at about the moment
/// when their last task completes, then queried and submitted again at different controllers,
/// while the store carries out every third transaction seconds late. Each job must have one
/// final state, and all responses must agree with it.
#[test]
fn cancellations_racing_with_completion_and_late_commits_leave_one_final_state() {
    let activity = Arc::new(Mutex::new(WorkerActivity::default()));
    let cluster = Cluster::start(3, "late", &activity);
    (0..3).for_each(|index| {
        cluster.request_until(index, "GET", "/up", None, |status, _| status == 200)
    });
    cluster.delay_commits.store(true, Ordering::SeqCst);
    let outcomes: Vec<(String, BTreeSet<String>)> = std::thread::scope(|scope| {
        let users: Vec<_> = (0..8usize)
            .map(|number| {
                let (cluster, activity) = (&cluster, &activity);
                scope.spawn(move || {
                    let id = format!("wk-1{number:03}2");
                    let (submit_index, cancel_index) = (number % 3, (number + 1) % 3);
                    let body = job(&id, "array", 2);
                    let is_accepted = |status: u16| status == 201 || status == 200;
                    cluster.request_until(
                        submit_index,
                        "POST",
                        "/v2/runs",
                        Some(body.clone()),
                        |status, _| is_accepted(status),
                    );
                    wait_until("no task of the job was started", || {
                        running_tasks(activity, &id) > 0
                            || activity
                                .lock()
                                .expect("an unpoisoned lock")
                                .completed
                                .iter()
                                .any(|task| task.starts_with(&id))
                    });
                    std::thread::sleep(Duration::from_millis(1100 + 150 * number as u64));
                    let final_states = Mutex::new(BTreeSet::new());
                    let record_final_state = |status: u16, body: &Value| {
                        let state = body["mood"].as_str().unwrap_or_default().to_string();
                        let is_final = status == 200 && (state == "done" || state == "cancelled");
                        if is_final {
                            final_states
                                .lock()
                                .expect("an unpoisoned lock")
                                .insert(state);
                        }
                        is_final
                    };
                    let path = format!("/v2/runs/{id}");
                    cluster.request_until(
                        cancel_index,
                        "POST",
                        &format!("{path}/withdraw"),
                        None,
                        record_final_state,
                    );
                    for index in 0..3 {
                        cluster.request_until(
                            index,
                            "POST",
                            "/v2/runs",
                            Some(body.clone()),
                            record_final_state,
                        );
                        cluster.request_until(index, "GET", &path, None, record_final_state);
                    }
                    (id, final_states.into_inner().expect("an unpoisoned lock"))
                })
            })
            .collect();
        users
            .into_iter()
            .map(|user| user.join().expect("a finished user thread"))
            .collect()
    });
    // Waits until all late transactions have been carried out.
    std::thread::sleep(Duration::from_secs(3));
    cluster.delay_commits.store(false, Ordering::SeqCst);
    for (id, final_states) in &outcomes {
        assert_eq!(
            final_states.len(),
            1,
            "responses contradict each other on the final state of {id}: {final_states:?}"
        );
        for index in 0..3 {
            let (_, body, _) =
                cluster.client_request(index, "GET", &format!("/v2/runs/{id}"), None);
            let current_state = body["mood"].as_str().unwrap_or_default().to_string();
            assert!(
                body.is_null() || final_states.contains(&current_state),
                "the final state of {id} has changed from {final_states:?} to {current_state}"
            );
        }
        if final_states.contains("done") {
            let activity = activity.lock().expect("an unpoisoned lock");
            let completed = activity
                .completed
                .iter()
                .filter(|task| task.starts_with(&format!("{id}/")))
                .count();
            assert_eq!(
                completed, 2,
                "{id} is done, but not all of its tasks have completed"
            );
        }
    }
    assert!(activity
        .lock()
        .expect("an unpoisoned lock")
        .ran_twice
        .is_empty());
}

/// Guards against users who are told of a job that nobody has accepted, or whose job is lost: the
/// store refuses what a leader accepts after its epoch has ended, until it has read of the next.
#[test]
fn submissions_to_a_leader_whose_epoch_has_ended_are_accepted_in_the_next() {
    const EPOCHS: u32 = 20;
    let activity = Arc::new(Mutex::new(WorkerActivity::default()));
    let cluster = Cluster::start(2, "ended-epochs", &activity);
    for index in 0..2 {
        cluster.request_until(index, "GET", "/up", None, |status, _| status == 200);
    }
    let first = Some(job("wk-000100", "array", 1));
    cluster.request_until(0, "POST", "/v2/runs", first, |status, _| status == 201);
    cluster.request_until(0, "GET", "/v2/runs/wk-000100", None, |_, body| {
        body["mood"] == "done"
    });
    let mut jobs = Vec::new();
    for number in 0..EPOCHS {
        let mut epoch = cluster.read_from_store("fw/epoch");
        epoch["n"] = json!(epoch["n"].as_u64().expect("the number of the epoch") + 1);
        cluster.write_to_store("fw/epoch", epoch);
        for index in 0..2 {
            let id = format!("wk-{:06}", 4 * number + 2 * index + 2);
            let body = Some(job(&id, "array", 1));
            cluster.request_until(index as usize, "POST", "/v2/runs", body, |status, body| {
                assert!(matches!(status, 200 | 201 | 503), "{id}: {status} {body}");
                status != 503
            });
            jobs.push(id);
        }
    }
    for id in &jobs {
        cluster.request_until(0, "GET", &format!("/v2/runs/{id}"), None, |status, body| {
            assert_ne!(status, 404, "{id} was accepted");
            body["mood"] == "done"
        });
    }
    let refused = cluster.ended_epochs.load(Ordering::SeqCst);
    assert!(refused > 0, "no transaction met the end of its epoch");
    let ran_twice = &common::cluster::lock(&activity).ran_twice;
    assert!(ran_twice.is_empty(), "{ran_twice:?}");
}
