//! Three controllers as real processes, stand-in workers, services, arrays and a gang;
//! shares of the machines move there and back all the time, while a controller is killed
//! and another is cut off. Seen from the workers: no job lost, none run twice, nothing
//! stopped; at the end no machine without an owner, and none with two.
//!
//! In CI it takes a few dozen moves; `MOVE_SHARES_FOR_S` makes it go on for longer.

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

const NODES: usize = 3;
const STAYING: [(&str, &str, u32); 3] = [
    ("wk-000001", "standing", 30),
    ("wk-000003", "ensemble", 4),
    ("wk-000005", "array", 26),
];
/// Moves that must have ended well in the short form.
const LEAST_MOVES: u64 = 12;

/// The leader, and what it says of the shares.
fn leader(c: &Cluster) -> Option<(usize, Value)> {
    (0..c.client_addresses.len())
        .map(|i| (i, c.operator_get(i, "/shares")))
        .find(|(_, report)| report["leader"].is_object())
}

/// What ended well since the present leader's process began.
fn owned(c: &Cluster) -> u64 {
    leader(c)
        .and_then(|(_, report)| report["leader"]["ended"]["owned"].as_u64())
        .unwrap_or(0)
}

/// Operators have some machines moved, in a plan of their own.
fn move_some(c: &Cluster, rng: &mut StdRng) {
    let from = rng.gen_range(0..NODES);
    let to = (from + rng.gen_range(1..NODES)) % NODES;
    let plan = json!({"moves": [{"from": format!("n{from}"), "to": format!("n{to}"), "machines": rng.gen_range(1..12)}]});
    if let Some((i, _)) = leader(c) {
        c.operator_post(i, "/shares/plan", &plan);
    }
}

/// Starts beyond the first of each task, stops, and deletions in use, so far. While the
/// first controllers come one after the other, a gang may begin twice.
fn counts(activity: &Mutex<WorkerActivity>) -> (u32, usize, usize, u32) {
    let activity = lock(activity);
    let again = activity.starts_by_task.values().map(|n| n - 1).sum();
    (
        again,
        activity.stopped.len(),
        activity.deleted_in_use.len(),
        activity.killed_by_lease,
    )
}

/// Since then nothing was stopped, deleted in use, or started again but what a lease had
/// killed.
fn check(activity: &Mutex<WorkerActivity>, before: (u32, usize, usize, u32)) {
    let (again, stopped, deleted, lapsed) = counts(activity);
    let activity = lock(activity);
    assert_eq!(activity.ran_twice, [""; 0], "on two machines at once");
    assert_eq!(stopped, before.1, "stopped: {:?}", activity.stopped);
    assert_eq!(
        deleted, before.2,
        "deleted with tasks on them: {:?}",
        activity.deleted_in_use
    );
    let (again, lapsed) = (again - before.0, lapsed - before.3);
    assert!(
        again <= lapsed,
        "{again} started again, {lapsed} killed by leases"
    );
}

#[test]
fn shares_move_while_work_runs_and_nothing_is_lost_or_run_twice() {
    let activity = Arc::new(Mutex::new(WorkerActivity::default()));
    let with = vec![
        "deploy/cold-restart.toml",
        "tests/fixtures/shares-that-move.toml",
    ];
    let options = ClusterOptions {
        report_s: 3.0,
        lease_s: 30,
        team_cpus: 120,
        feature_files: with,
    };
    let mut c = Cluster::start_with(NODES, "shares", &activity, options);
    (0..NODES).for_each(|i| c.request_until(i, "GET", "/up", None, |s, _| s == 200));
    for (n, (id, job_kind, tasks)) in STAYING.into_iter().enumerate() {
        c.request_until(
            n % NODES,
            "POST",
            "/v2/runs",
            Some(job(id, job_kind, tasks)),
            |s, _| s == 201 || s == 200,
        );
    }
    let all: u32 = STAYING.iter().map(|job| job.2).sum();
    wait_until("all of it runs", || {
        running_tasks(&activity, &STAYING) == all as usize
    });
    wait_until("nobody goes by the table", || {
        leader(&c).is_some_and(|(_, report)| report["in_use"] == true)
    });
    let before = counts(&activity);
    let mut rng = StdRng::seed_from_u64(24);
    let for_s: u64 = std::env::var("MOVE_SHARES_FOR_S")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    let (begin, mut moves, mut rounds) = (Instant::now(), 0, 0);
    while rounds < 3 || begin.elapsed() < Duration::from_secs(for_s) {
        // Work that ends comes and goes meanwhile.
        let short = format!("wk-{:06}", 100 + 2 * rounds);
        c.request_until(
            rounds % NODES,
            "POST",
            "/v2/runs",
            Some(job(&short, "array", 6)),
            |s, _| s == 201 || s == 200,
        );
        let (moved_before, round) = (owned(&c), Instant::now());
        while owned(&c) < moved_before + LEAST_MOVES / 3 {
            assert!(round.elapsed() < WAIT_TIMEOUT, "no shares move");
            move_some(&c, &mut rng);
            std::thread::sleep(Duration::from_millis(300));
        }
        moves += owned(&c) - moved_before;
        // In the middle of a move one controller ends, or loses all but its workers.
        move_some(&c, &mut rng);
        let i = rng.gen_range(0..NODES);
        if rounds % 2 == 0 {
            c.kill_controller(i);
            c.start_controller(i);
        } else {
            c.set_partitioned(i, true);
            std::thread::sleep(Duration::from_millis(rng.gen_range(200..5000)));
            c.set_partitioned(i, false);
        }
        c.request_until(i, "GET", "/up", None, |s, _| s == 200);
        wait_until("nobody goes by the table", || {
            leader(&c).is_some_and(|(_, report)| report["in_use"] == true)
        });
        c.request_until(i, "GET", &format!("/v2/runs/{short}"), None, |_, v| {
            v["mood"] == "done"
        });
        wait_until("the rest runs", || {
            running_tasks(&activity, &STAYING) == all as usize
        });
        check(&activity, before);
        rounds += 1;
    }
    // Each report is of its own moment: at rest every machine is in one of them.
    wait_until(
        "machines without an owner, or with two, or handovers that don't end",
        || {
            let reports: Vec<Value> = (0..NODES).map(|i| c.operator_get(i, "/shares")).collect();
            let leads = reports
                .iter()
                .map(|report| &report["leader"])
                .find(|leader| leader.is_object());
            let at_rest = leads.is_some_and(|leader| {
                leader["without_owner"] == 0
                    && leader["under_way"].as_array().is_some_and(Vec::is_empty)
            });
            let of = |report: &Value| report["machines"].as_array().cloned().unwrap_or_default();
            let owned: Vec<String> = reports
                .iter()
                .flat_map(of)
                .map(|id| id.to_string())
                .collect();
            let distinct: BTreeSet<&String> = owned.iter().collect();
            at_rest && distinct.len() == owned.len() && distinct.len() as u32 >= all / 4
        },
    );
    let told = leader(&c).expect("a leader").1;
    println!(
        "{moves} moves in {rounds} rounds; the last leader: {}",
        told["leader"]
    );
    check(&activity, before);
}

/// A controller is emptied before its process is exchanged: the others own all machines
/// by then, and its end and return are no takeover. Afterwards it gets its share again.
#[test]
fn a_controller_is_drained_before_it_is_exchanged() {
    let activity = Arc::new(Mutex::new(WorkerActivity::default()));
    let with = vec![
        "deploy/cold-restart.toml",
        "tests/fixtures/shares-that-move.toml",
    ];
    let options = ClusterOptions {
        report_s: 3.0,
        lease_s: 30,
        team_cpus: 80,
        feature_files: with,
    };
    let mut c = Cluster::start_with(NODES, "drain", &activity, options);
    (0..NODES).for_each(|i| c.request_until(i, "GET", "/up", None, |s, _| s == 200));
    let (id, job_kind, tasks) = STAYING[0];
    c.request_until(
        0,
        "POST",
        "/v2/runs",
        Some(job(id, job_kind, tasks)),
        |s, _| s == 201 || s == 200,
    );
    wait_until("all of it runs", || {
        running_tasks(&activity, &STAYING) == tasks as usize
    });
    wait_until("nobody goes by the table", || {
        leader(&c).is_some_and(|(_, report)| report["in_use"] == true)
    });
    let before = counts(&activity);
    let machines = |c: &Cluster, i: usize| {
        c.operator_get(i, "/shares")["machines"]
            .as_array()
            .map(Vec::len)
    };
    let plan = |c: &Cluster, plan: Value| {
        wait_until("the plan is not taken", || {
            leader(c)
                .is_some_and(|(leads, _)| c.operator_post(leads, "/shares/plan", &plan).0 == 200)
        });
    };
    let (leads, _) = leader(&c).expect("a leader");
    let drained = (leads + 1) % NODES;
    wait_until("it owns machines", || {
        machines(&c, drained).is_some_and(|n| n > 0)
    });
    plan(&c, json!({"drain": [format!("n{drained}")]}));
    wait_until("it still owns machines", || {
        machines(&c, drained) == Some(0)
    });
    c.kill_controller(drained);
    c.start_controller(drained);
    c.request_until(drained, "GET", "/up", None, |s, _| s == 200);
    wait_until("nobody goes by the table", || {
        leader(&c).is_some_and(|(_, report)| report["in_use"] == true)
    });
    assert_eq!(
        machines(&c, drained),
        Some(0),
        "the table still says that others own its machines"
    );
    plan(&c, json!({}));
    wait_until("it gets nothing back", || {
        machines(&c, drained).is_some_and(|n| n > 0)
    });
    check(&activity, before);
}

/// What makes no sense is refused whole, in a line; what is not switched on says so.
#[test]
fn senseless_plans_are_refused_and_change_nothing() {
    let activity = Arc::new(Mutex::new(WorkerActivity::default()));
    let options = ClusterOptions {
        feature_files: vec!["deploy/shared-machines.toml"],
        ..ClusterOptions::default()
    };
    let c = Cluster::start_with(1, "plans", &activity, options);
    c.request_until(0, "GET", "/up", None, |s, _| s == 200);
    wait_until("it does not lead", || {
        leader(&c).is_some_and(|(_, report)| report["in_use"] == true)
    });
    for (plan, names) in [
        (json!({"drain": ["n0"]}), "nobody is left"),
        (
            json!({"moves": [{"from": "n0", "to": "n7", "machines": 1}]}),
            "n7",
        ),
        (json!({"moves": "all"}), "plan"),
        (json!({"dreain": []}), "dreain"),
    ] {
        let (status, said) = c.operator_post(0, "/shares/plan", &plan);
        assert!(
            status == 400 && said.contains(names) && said.lines().count() == 1,
            "{plan}: {status} {said}"
        );
    }
    let report = c.operator_get(0, "/shares");
    assert!(
        report["leader"]["plan"] == json!({"drain": [], "moves": []}) && report["generation"] == 0
    );
    assert_eq!(
        c.operator_get(0, "/restart")["error"],
        "the part cold-restart is not switched on"
    );
}
