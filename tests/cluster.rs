//! Controllers as real processes on the loopback, against stand-ins: three
//! through a day's work, and five through one trouble after another, at whose
//! end stands the question that users have: what became of each of my jobs? And
//! cancellations that meet other troubles. No time is measured: what must happen
//! is waited for, while the trouble lasts.

mod common;

use common::cluster::{job, Cluster, WAIT_TIMEOUT};
use common::stand_ins::worker::WorkerActivity;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[test]
fn three_controllers_submit_run_crash_withdraw_done() {
    let activity = Arc::new(Mutex::new(WorkerActivity::default()));
    let mut c = Cluster::start(3, "three", &activity);
    let running = |_: u16, v: &Value| v["mood"] == "running";
    for i in 0..3 {
        c.request_until(i, "GET", "/up", None, |s, _| s == 200);
    }
    // A service, spread over both zones, and an array.
    c.request_until(
        0,
        "POST",
        "/v2/runs",
        Some(job("wk-000001", "standing", 2)),
        |s, _| s == 201 || s == 200,
    );
    c.request_until(
        1,
        "POST",
        "/v2/runs",
        Some(job("wk-000002", "array", 5)),
        |s, _| s == 201 || s == 200,
    );
    c.request_until(2, "GET", "/v2/runs/wk-000001", None, |s, v| {
        s == 200 && v["running"] == 2
    });
    c.request_until(0, "GET", "/v2/runs/wk-000002", None, |_, v| {
        v["mood"] == "done" && v["done"] == 5
    });
    // What is refused, and how.
    assert_eq!(
        c.client_request(0, "GET", "/v2/runs/wk-999999", None).0,
        404
    );
    assert_eq!(
        c.client_request(0, "POST", "/v2/runs", Some(json!({"id": "wk-000009"})))
            .0,
        400
    );
    let mut wide = job("wk-000009", "array", 1);
    wide["cpus"] = 64.0.into();
    c.request_until(1, "POST", "/v2/runs", Some(wide), |s, _| {
        assert!(s == 422 || s == 503, "{s}");
        s == 422
    });
    let mut foreign = job("wk-000009", "array", 1);
    foreign["nest"] = "nobody".into();
    c.request_until(2, "POST", "/v2/runs", Some(foreign), |s, _| {
        assert!(s == 422 || s == 503, "{s}");
        s == 422
    });
    // All in one zone, and no more than half of them in it.
    let mut both = job("wk-000009", "standing", 3);
    both["one_zone"] = true.into();
    c.request_until(2, "POST", "/v2/runs", Some(both), |s, _| s == 422);
    for field in [
        "shape",
        "accelerators",
        "scatter",
        "molt_s",
        "stash_s",
        "rank",
        "size_gb",
    ] {
        let mut odd = job("wk-000009", "array", 1);
        odd.as_object_mut().expect("a job").remove(field);
        assert_eq!(
            c.client_request(0, "POST", "/v2/runs", Some(odd)).0,
            400,
            "{field}"
        );
    }
    c.request_until(0, "POST", "/v2/runs/wk-999999/withdraw", None, |s, _| {
        s == 404
    });
    // Every controller goes, one of them for longer; the work stays.
    for i in 0..3 {
        c.kill_controller(i);
        if i > 0 {
            c.start_controller(i);
        }
    }
    c.request_until(
        1,
        "POST",
        "/v2/runs",
        Some(job("wk-000004", "array", 4)),
        |s, _| s == 201 || s == 200,
    );
    c.request_until(2, "GET", "/v2/runs/wk-000004", None, |_, v| {
        v["mood"] == "done"
    });
    c.request_until(1, "GET", "/v2/runs/wk-000001", None, running);
    c.start_controller(0);
    c.request_until(0, "GET", "/v2/runs/wk-000002", None, |s, v| {
        s == 200 && v["mood"] == "done"
    });
    // A repeated submission is harmless, also after the end.
    let again = c.client_request(0, "POST", "/v2/runs", Some(job("wk-000002", "array", 5)));
    assert_eq!((again.0, again.1["mood"].as_str()), (200, Some("done")));
    // Whatever its body says by now, at every controller: it is known.
    let mut changed = job("wk-000002", "array", 5);
    changed["nest"] = "nobody".into();
    changed["cpus"] = 640.0.into();
    for i in 0..3 {
        c.request_until(i, "POST", "/v2/runs", Some(changed.clone()), |s, v| {
            assert!(s == 200 || s == 503, "{s}");
            v["mood"] == "done"
        });
        let path = "/v2/runs/wk-000002/withdraw";
        c.request_until(i, "POST", path, None, |s, v| {
            s == 200 && v["mood"] == "done"
        });
    }
    c.request_until(0, "POST", "/v2/runs/wk-000001/withdraw", None, |s, v| {
        s == 200 && v["mood"] == "cancelled"
    });
    c.request_until(2, "GET", "/v2/runs/wk-000001", None, |s, v| {
        s == 200 && v["mood"] == "cancelled"
    });
    let begin = Instant::now();
    loop {
        let left: usize = {
            let s = activity.lock().expect("activity");
            s.machines_by_task
                .iter()
                .filter(|(t, _)| t.starts_with("wk-000001/"))
                .map(|(_, on)| on.len())
                .sum()
        };
        if left == 0 {
            break;
        }
        assert!(
            begin.elapsed() < WAIT_TIMEOUT,
            "{left} replicas are left after the cancellation"
        );
        std::thread::sleep(Duration::from_millis(100));
    }
    let s = activity.lock().expect("activity");
    assert!(
        s.ran_twice.is_empty(),
        "on two machines at once: {:?}",
        s.ran_twice
    );
    assert!(s.starts >= 11);
}

const NODES: usize = 5;

fn submit(c: &Cluster, node: usize, jobs: &mut Vec<String>, job_kind: &str, tasks: u32) {
    // Even ends complete by themselves.
    let n = 2 * jobs.len() + if job_kind == "array" { 2 } else { 1 };
    let id = format!("wk-{n:06}");
    c.request_until(
        node,
        "POST",
        "/v2/runs",
        Some(job(&id, job_kind, tasks)),
        |s, _| s == 201 || s == 200,
    );
    jobs.push(id);
}

/// Refused at once, and told when to come back: nothing is held back.
fn refused_at_once(c: &Cluster, node: usize, id: &str) {
    for (method, path, body) in [
        ("GET", format!("/v2/runs/{id}"), None),
        (
            "POST",
            "/v2/runs".to_string(),
            Some(job("wk-900000", "array", 1)),
        ),
        ("POST", format!("/v2/runs/{id}/withdraw"), None),
    ] {
        // An answer that were held back would come to nobody: the client
        // waits no longer than users do.
        let (status, _, retry) = c.client_request(node, method, &path, body);
        assert_eq!(status, 503, "{method} {path}");
        assert!(retry.is_some(), "{method} {path}: no Retry-After");
    }
}

/// Every node answers about every job.
fn all_known(c: &Cluster, jobs: &[String]) {
    for node in 0..NODES {
        for id in jobs {
            c.request_until(node, "GET", &format!("/v2/runs/{id}"), None, |s, _| {
                assert_ne!(s, 404, "{id} is forgotten at node {node}");
                s == 200
            });
        }
    }
}

#[test]
fn after_each_trouble_every_node_answers_about_every_job() {
    let activity = Arc::new(Mutex::new(WorkerActivity::default()));
    let mut c = Cluster::start(NODES, "five", &activity);
    let mut jobs = Vec::new();
    for i in 0..NODES {
        c.request_until(i, "GET", "/up", None, |s, _| s == 200);
    }
    for i in 0..NODES {
        submit(
            &c,
            i,
            &mut jobs,
            if i == 0 { "standing" } else { "array" },
            3,
        );
    }
    // One loses the key-value store and all others, but not its workers.
    c.set_partitioned(1, true);
    c.request_until(1, "GET", "/up", None, |s, _| s == 503);
    refused_at_once(&c, 1, &jobs[0]);
    // Some of these would be its own: it is fenced once none is told to stay.
    let begin = Instant::now();
    let told_to_stay = |n: i32| {
        let report = json!({"perch": format!("m-x{n}"), "address": "127.0.0.1:9", "breed": "box",
            "grove": "e", "windfall": false, "flight": 1, "chirp": begin.elapsed().as_millis() as u64,
            "crest": 0, "warning_s": null, "chicks": []});
        ![421, 503].contains(&c.client_request(1, "POST", "/agent/beat", Some(report)).0)
    };
    while (0..40).any(told_to_stay) {
        assert!(
            begin.elapsed() < WAIT_TIMEOUT,
            "a controller that is cut off keeps its workers"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
    submit(&c, 2, &mut jobs, "array", 4);
    c.set_partitioned(1, false);
    c.request_until(1, "GET", "/up", None, |s, _| s == 200);
    all_known(&c, &jobs);
    // Back within a moment, several at once and again in the election.
    for i in [0, 3, 0, 4, 3] {
        c.kill_controller(i);
        c.start_controller(i);
    }
    submit(&c, 2, &mut jobs, "array", 3);
    all_known(&c, &jobs);
    // Nobody reaches the key-value store for longer than a member's lease.
    c.set_store_outage(true);
    std::thread::sleep(Duration::from_secs(5));
    refused_at_once(&c, 0, &jobs[0]);
    c.set_store_outage(false);
    submit(&c, 0, &mut jobs, "array", 2);
    all_known(&c, &jobs);
    // All at once.
    (0..NODES).for_each(|i| c.kill_controller(i));
    (0..NODES).for_each(|i| c.start_controller(i));
    all_known(&c, &jobs);
    // What was accepted runs to its end.
    for id in jobs
        .iter()
        .filter(|id| id.ends_with(['0', '2', '4', '6', '8']))
    {
        c.request_until(4, "GET", &format!("/v2/runs/{id}"), None, |_, v| {
            v["mood"] == "done"
        });
    }
    let running = |_: u16, v: &Value| v["mood"] == "running";
    c.request_until(3, "GET", &format!("/v2/runs/{}", jobs[0]), None, running);
    let s = activity.lock().expect("activity");
    assert!(
        s.ran_twice.is_empty(),
        "on two machines at once: {:?}",
        s.ran_twice
    );
}

fn on(activity: &Mutex<WorkerActivity>, id: &str) -> usize {
    let s = activity.lock().expect("activity");
    s.machines_by_task
        .iter()
        .filter(|(t, _)| t.starts_with(&format!("{id}/")))
        .map(|(_, on)| on.len())
        .sum()
}

fn wait(what: &str, done: impl Fn() -> bool) {
    let begin = Instant::now();
    while !done() {
        assert!(begin.elapsed() < WAIT_TIMEOUT, "{what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// The key-value store refuses one controller alone, another confirms that a job is
/// cancelled, and then nobody is answered. The outage lasts until every task is
/// gone: once with all messages between controllers lost, so that only the
/// age of knowledge and the workers' leases end them, once without.
#[test]
fn tasks_are_gone_though_the_outage_after_their_cancellation_does_not_end() {
    let activity = Arc::new(Mutex::new(WorkerActivity::default()));
    let c = Cluster::start(3, "gap", &activity);
    (0..3).for_each(|i| c.request_until(i, "GET", "/up", None, |s, _| s == 200));
    for (n, apart) in [(1, true), (3, false)] {
        // A service for each node that may be refused: it owns some of the tasks.
        let id = format!("wk-00000{n}");
        c.request_until(
            0,
            "POST",
            "/v2/runs",
            Some(job(&id, "standing", 6)),
            |s, _| s == 201 || s == 200,
        );
        wait("the service runs", || on(&activity, &id) == 6);
        let lapsed = activity.lock().expect("activity").killed_by_lease;
        if apart {
            c.set_partitioned(0, true);
        } else {
            c.set_store_unreachable(0, true);
        }
        let path = format!("/v2/runs/{id}/withdraw");
        c.request_until(1, "POST", &path, None, |s, v| {
            s == 200 && v["mood"] == "cancelled"
        });
        c.set_store_outage(true);
        wait("tasks of a cancelled job are left in the outage", || {
            on(&activity, &id) == 0
        });
        c.set_store_outage(false);
        c.set_partitioned(0, false);
        for i in 0..3 {
            c.request_until(i, "GET", &format!("/v2/runs/{id}"), None, |s, v| {
                s == 200 && v["mood"] == "cancelled"
            });
        }
        assert!(!apart || activity.lock().expect("activity").killed_by_lease >= lapsed);
    }
    assert!(activity.lock().expect("activity").ran_twice.is_empty());
}

/// Jobs are called off at about the moment when their last task ends, asked for
/// and submitted again, at different controllers, while every third transaction
/// is carried out seconds late: each has one end, and all answers agree with it.
#[test]
fn a_cancellation_at_the_end_and_late_transactions_leave_one_final_state() {
    let activity = Arc::new(Mutex::new(WorkerActivity::default()));
    let c = Cluster::start(3, "late", &activity);
    (0..3).for_each(|i| c.request_until(i, "GET", "/up", None, |s, _| s == 200));
    c.delay_commits.store(true, Ordering::SeqCst);
    let ends: Vec<(String, BTreeSet<String>)> = std::thread::scope(|scope| {
        let users: Vec<_> = (0..8usize)
            .map(|n| {
                let (c, activity) = (&c, &activity);
                scope.spawn(move || {
                    let id = format!("wk-1{n:03}2");
                    let (at, other) = (n % 3, (n + 1) % 3);
                    let body = job(&id, "array", 2);
                    let known = |s: u16| s == 201 || s == 200;
                    c.request_until(at, "POST", "/v2/runs", Some(body.clone()), |s, _| known(s));
                    wait("it begins", || {
                        on(activity, &id) > 0
                            || activity
                                .lock()
                                .expect("activity")
                                .completed
                                .iter()
                                .any(|t| t.starts_with(&id))
                    });
                    std::thread::sleep(Duration::from_millis(1100 + 150 * n as u64));
                    let told = Mutex::new(BTreeSet::new());
                    let hear = |s: u16, v: &Value| {
                        let mood = v["mood"].as_str().unwrap_or_default().to_string();
                        let last = s == 200 && (mood == "done" || mood == "cancelled");
                        if last {
                            told.lock().expect("told").insert(mood);
                        }
                        last
                    };
                    let path = format!("/v2/runs/{id}");
                    c.request_until(other, "POST", &format!("{path}/withdraw"), None, hear);
                    for i in 0..3 {
                        c.request_until(i, "POST", "/v2/runs", Some(body.clone()), hear);
                        c.request_until(i, "GET", &path, None, hear);
                    }
                    (id, told.into_inner().expect("told"))
                })
            })
            .collect();
        users
            .into_iter()
            .map(|u| u.join().expect("a user"))
            .collect()
    });
    // What was late has been carried out by then.
    std::thread::sleep(Duration::from_secs(3));
    c.delay_commits.store(false, Ordering::SeqCst);
    for (id, told) in &ends {
        assert_eq!(told.len(), 1, "{id} was told {told:?}");
        for i in 0..3 {
            let (_, v, _) = c.client_request(i, "GET", &format!("/v2/runs/{id}"), None);
            let again = v["mood"].as_str().unwrap_or_default().to_string();
            assert!(
                v.is_null() || told.contains(&again),
                "{id} was {told:?} and is {again}"
            );
        }
        if told.contains("done") {
            let s = activity.lock().expect("activity");
            let completed = s
                .completed
                .iter()
                .filter(|t| t.starts_with(&format!("{id}/")))
                .count();
            assert_eq!(completed, 2, "{id} is called done");
        }
    }
    assert!(activity.lock().expect("activity").ran_twice.is_empty());
}
