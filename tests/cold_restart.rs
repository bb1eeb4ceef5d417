//! Three controllers as real processes, fifty stand-in workers, services, arrays and a
//! gang. All controllers are killed at one instant and come back, after less and less
//! short a while and in ways that get worse. Seen from the workers: nothing is started
//! twice, nothing healthy is stopped, no machine in use is deleted, and no order is
//! given that the controllers' records don't account for.
//!
//! No time is measured: on a machine so slow that a lease runs out, what was killed by
//! that may be started again, and only that.

mod common;

use common::cluster::{job, lock, running_tasks, wait_until, Cluster, ClusterOptions};
use common::stand_ins::worker::WorkerActivity;
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const NODES: usize = 3;
/// Replicas and tasks that stay: services, a gang, arrays whose ids end in an odd digit.
const STAYING: [(&str, &str, u32); 5] = [
    ("wk-000001", "standing", 66),
    ("wk-000003", "standing", 50),
    ("wk-000005", "ensemble", 8),
    ("wk-000007", "array", 60),
    ("wk-000009", "array", 17),
];

/// What the workers had seen before all controllers were killed.
struct Before {
    starts_of: BTreeMap<String, u32>,
    lapsed: u32,
    /// While the first controllers come one after the other, a gang may begin twice.
    stopped: usize,
    deleted_in_use: usize,
    tasks: usize,
}

impl Before {
    fn now(activity: &Mutex<WorkerActivity>) -> Before {
        let tasks = running_tasks(activity, &STAYING);
        let activity = lock(activity);
        Before {
            starts_of: activity.starts_by_task.clone(),
            lapsed: activity.killed_by_lease,
            stopped: activity.stopped.len(),
            deleted_in_use: activity.deleted_in_use.len(),
            tasks,
        }
    }

    /// Nothing was started again but what a lease had killed, nothing was stopped, and
    /// nothing in use was deleted.
    fn check(&self, activity: &Mutex<WorkerActivity>, when: &str) {
        let activity = lock(activity);
        let again: u32 = activity
            .starts_by_task
            .iter()
            .map(|(task, n)| n - self.starts_of.get(task).copied().unwrap_or(0).min(*n))
            .filter(|n| *n > 0)
            .sum();
        let new = activity
            .starts_by_task
            .keys()
            .filter(|task| !self.starts_of.contains_key(*task))
            .count() as u32;
        let lapsed = activity.killed_by_lease - self.lapsed;
        assert!(
            again <= new + lapsed,
            "{when}: {again} starts, {new} of them first, {lapsed} killed by leases"
        );
        assert_eq!(
            activity.ran_twice, [""; 0],
            "{when}: on two machines at once"
        );
        assert_eq!(activity.stopped[self.stopped..], [""; 0], "{when}: stopped");
        let deleted = &activity.deleted_in_use[self.deleted_in_use..];
        assert_eq!(deleted, [""; 0], "{when}: deleted with tasks on them");
    }
}

/// Waits until the controllers' records say that nothing is in doubt, and compares them
/// with what the workers saw.
fn check_records(c: &Cluster, before: &Before, when: &str) {
    let records = || {
        (0..NODES)
            .map(|i| c.operator_get(i, "/restart"))
            .collect::<Vec<Value>>()
    };
    wait_until("doubt remains", || {
        let all = records();
        let leader = all.iter().find(|r| r["leader"].is_object());
        leader
            .is_some_and(|r| r["leader"]["resolved"] == true && r["leader"]["tasks_in_doubt"] == 0)
            && all
                .iter()
                .all(|r| r["machines"]["certain_after_s"].is_number())
    });
    let all = records();
    let sum = |path: &str| -> u64 { all.iter().filter_map(|r| r.pointer(path)?.as_u64()).sum() };
    let verdicts = |name: &str| -> u64 {
        let of = |r: &Value| {
            r["machines"]["verdicts"]
                .as_array()
                .cloned()
                .unwrap_or_default()
        };
        let named = all.iter().flat_map(of).filter(|v| v["verdict"] == name);
        named.filter_map(|v| v["count"].as_u64()).sum()
    };
    let adopted = verdicts("adopt");
    assert!(
        adopted >= before.tasks as u64,
        "{when}: {adopted} adopted of {}",
        before.tasks
    );
    let stops: u64 = all
        .iter()
        .filter_map(|r| r.pointer("/machines/orders/stops")?.as_object().cloned())
        .flat_map(|stops| {
            stops
                .into_values()
                .filter_map(|n| n.as_u64())
                .collect::<Vec<_>>()
        })
        .sum();
    assert_eq!(
        (stops, verdicts("conflict"), verdicts("stop")),
        (0, 0, 0),
        "{when}: {all:?}"
    );
    let certain = all
        .iter()
        .filter_map(|r| r["machines"]["certain_after_s"].as_f64())
        .fold(0.0, f64::max);
    println!(
        "{when}: {} tasks, {adopted} adopted, {} questions, {} starts, {stops} stops, {} reaps; no machine in \
         doubt after {certain:.2} s",
        before.tasks,
        sum("/machines/orders/questions"),
        sum("/machines/orders/starts"),
        sum("/machines/orders/reaps"),
    );
}

fn accepted(c: &Cluster, node: usize, id: &str, job_kind: &str, tasks: u32) {
    c.request_until(
        node,
        "POST",
        "/v2/runs",
        Some(job(id, job_kind, tasks)),
        |s, _| s == 201 || s == 200,
    );
}

#[test]
fn all_controllers_go_down_together_and_running_work_is_trusted() {
    let activity = Arc::new(Mutex::new(WorkerActivity::default()));
    let options = ClusterOptions {
        report_s: 3.0,
        lease_s: 30,
        team_cpus: 260,
        feature_files: vec!["deploy/cold-restart.toml"],
    };
    let mut c = Cluster::start_with(NODES, "cold", &activity, options);
    (0..NODES).for_each(|i| c.request_until(i, "GET", "/up", None, |s, _| s == 200));
    for (n, (id, job_kind, tasks)) in STAYING.into_iter().enumerate() {
        accepted(&c, n % NODES, id, job_kind, tasks);
    }
    let all: u32 = STAYING.iter().map(|job| job.2).sum();
    wait_until("all of it runs", || {
        running_tasks(&activity, &STAYING) == all as usize
    });
    for (n, away_s) in [0.3, 5.0, 13.0].into_iter().enumerate() {
        // Some of it ends while nobody is there.
        let short = format!("wk-00{n}002");
        accepted(&c, n, &short, "array", 12);
        wait_until("some of it begins", || {
            lock(&activity)
                .starts_by_task
                .keys()
                .any(|task| task.starts_with(&short))
        });
        let before = Before::now(&activity);
        let when = format!("away for {away_s} s");
        (0..NODES).for_each(|i| c.kill_controller(i));
        std::thread::sleep(Duration::from_secs_f64(away_s));
        // The second time they go again while they reconcile, the third time the state
        // service is away when they come, and one of them comes later.
        c.set_store_outage(n == 2);
        (0..NODES - usize::from(n == 2)).for_each(|i| c.start_controller(i));
        if n == 1 {
            std::thread::sleep(Duration::from_millis(700));
            (0..NODES).for_each(|i| c.kill_controller(i));
            (0..NODES).for_each(|i| c.start_controller(i));
        }
        if n == 2 {
            std::thread::sleep(Duration::from_secs(2));
            c.set_store_outage(false);
            c.request_until(0, "GET", "/up", None, |s, _| s == 200);
            c.start_controller(2);
        }
        c.request_until(n, "GET", &format!("/v2/runs/{short}"), None, |_, v| {
            v["mood"] == "done"
        });
        wait_until("the rest runs", || {
            running_tasks(&activity, &STAYING) == all as usize
        });
        check_records(&c, &before, &when);
        before.check(&activity, &when);
    }
}

/// A record that nobody can read belongs to a job that was accepted: it is neither
/// unknown nor accepted again, and an operator is told of it.
#[test]
fn a_job_whose_record_can_not_be_read_is_not_called_unknown() {
    let activity = Arc::new(Mutex::new(WorkerActivity::default()));
    let options = ClusterOptions {
        feature_files: vec!["deploy/cold-restart.toml"],
        ..ClusterOptions::default()
    };
    let c = Cluster::start_with(1, "scribble", &activity, options);
    c.request_until(0, "GET", "/up", None, |s, _| s == 200);
    c.write_to_store("fw/j/wk-000033", "scribble".into());
    let left_alone =
        || c.operator_get(0, "/restart")["records_left_alone"][0]["key"] == "fw/j/wk-000033";
    wait_until("it is not named", left_alone);
    for (method, path, body) in [
        ("GET", "/v2/runs/wk-000033", None),
        ("POST", "/v2/runs/wk-000033/withdraw", None),
        ("POST", "/v2/runs", Some(job("wk-000033", "array", 1))),
    ] {
        let (status, _, retry) = c.client_request(0, method, path, body);
        assert!(
            status == 503 && retry.is_some(),
            "{method} {path}: {status}"
        );
    }
    assert_eq!(
        c.client_request(0, "GET", "/v2/runs/wk-000034", None).0,
        404
    );
}
