//! Three controllers as real processes on the loopback, against stand-ins:
//! submit, run, crash, withdraw, done.

mod common;

use common::{cloud, state_service, Seen};
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Longer than anything here takes, even on a machine that is busy.
const PATIENCE: Duration = Duration::from_secs(90);

struct Cluster {
    users: Vec<SocketAddr>,
    configs: Vec<std::path::PathBuf>,
    children: Vec<Option<Child>>,
    agent: ureq::Agent,
}

fn free_port() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port")
}

impl Cluster {
    fn start(seen: &Arc<Mutex<Seen>>) -> Cluster {
        let users: Vec<SocketAddr> = (0..3).map(|_| free_port()).collect();
        let backs: Vec<SocketAddr> = (0..3).map(|_| free_port()).collect();
        let state = state_service();
        let cloud = cloud(users.clone(), seen.clone());
        let dir = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
        let mut configs = Vec::new();
        for i in 0..3 {
            let mut text = format!(
                "node_name = \"n{i}\"\nzone = \"e\"\nclient_listen = \"{}\"\nback = \"{}\"\n",
                users[i], backs[i]
            );
            for j in (0..3).filter(|&j| j != i) {
                text += &format!(
                    "[[members]]\nnode_name = \"n{j}\"\nzone = \"e\"\nendpoint = \"{}\"\n",
                    backs[j]
                );
            }
            text += &format!("[services]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n");
            text += "[params]\ninitial_size = 3\nzones = [\"e\", \"w\"]\ntime_bound_ms = 10.0\n\
                [[params.teams]]\nname = \"t\"\ncpus_max = 40.0\n\
                [params.workers]\nreport_s = 0.9\nlease_s = 8.0\ncancel_s = 16.0\n\
                [params.state]\nrps = 600.0\nwrite_rps = 200.0\nvalue_kb = 8.0\ntxn_ops = 12\n\
                [params.cloud]\nrps = 30.0\nlist_lag_s = 1.0\n\
                [params.machine_limits]\ncore_share = 1.0\nram_mb = 200.0\nmax_connections = 500\n";
            let path = dir.join(format!("node-{i}.toml"));
            std::fs::write(&path, text).expect("a settings file");
            configs.push(path);
        }
        let agent = ureq::AgentBuilder::new().timeout(Duration::from_secs(5)).build();
        let mut c = Cluster { users, configs, children: vec![None, None, None], agent };
        (0..3).for_each(|i| c.boot(i));
        c
    }

    fn boot(&mut self, i: usize) {
        let child = Command::new(env!("CARGO_BIN_EXE_finchwood"))
            .arg("--config")
            .arg(&self.configs[i])
            .stderr(Stdio::inherit())
            .spawn()
            .expect("a controller");
        self.children[i] = Some(child);
    }

    fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.children[i].take() {
            child.kill().expect("killed");
            child.wait().expect("ended");
        }
    }

    fn call(&self, i: usize, method: &str, path: &str, body: Option<Value>) -> (u16, Value, Option<String>) {
        let request = self.agent.request(method, &format!("http://{}{path}", self.users[i]));
        let answer = match body {
            Some(b) => request.send_string(&b.to_string()),
            None => request.call(),
        };
        let r = match answer {
            Ok(r) | Err(ureq::Error::Status(_, r)) => r,
            Err(_) => return (0, Value::Null, None),
        };
        let retry = r.header("Retry-After").map(String::from);
        (r.status(), serde_json::from_str(&r.into_string().unwrap_or_default()).unwrap_or_default(), retry)
    }

    /// Repeats a call, as users do, until it is answered as wished.
    fn until(
        &self,
        i: usize,
        method: &str,
        path: &str,
        body: Option<Value>,
        ok: impl Fn(u16, &Value) -> bool,
    ) {
        let begin = Instant::now();
        let mut last = (0, Value::Null, None);
        while begin.elapsed() < PATIENCE {
            last = self.call(i, method, path, body.clone());
            if ok(last.0, &last.1) {
                return;
            }
            // Whatever can't be taken now says when to come back.
            if matches!(last.0, 429 | 503) {
                assert!(last.2.is_some(), "{method} {path}: {} without Retry-After", last.0);
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        panic!("{method} {path}: last answer {last:?}");
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        (0..3).for_each(|i| self.kill(i));
    }
}

fn job(id: &str, shape: &str, tasks: u32) -> Value {
    json!({"id": id, "flock": "f", "nest": "t", "shape": shape, "rank": "prod", "chicks": tasks,
        "cpus": 1.0, "accelerators": 0.0, "mem_gb": 1.0, "egg": "i", "size_gb": 1.0, "breeds": null,
        "grove": null, "one_zone": false, "scatter": shape == "standing", "windfall": false,
        "guess_s": 1.5, "molt_s": 0.0, "stash_s": 0.0, "dusk_s": null})
}

#[test]
fn three_controllers_submit_run_crash_withdraw_done() {
    let seen = Arc::new(Mutex::new(Seen::default()));
    let mut c = Cluster::start(&seen);
    let running = |_: u16, v: &Value| v["mood"] == "running";
    for i in 0..3 {
        c.until(i, "GET", "/up", None, |s, _| s == 200);
    }
    // A service, spread over both zones, and an array.
    c.until(0, "POST", "/v2/runs", Some(job("wk-000001", "standing", 2)), |s, _| s == 201 || s == 200);
    c.until(1, "POST", "/v2/runs", Some(job("wk-000002", "array", 5)), |s, _| s == 201 || s == 200);
    c.until(2, "GET", "/v2/runs/wk-000001", None, |s, v| s == 200 && v["running"] == 2);
    c.until(0, "GET", "/v2/runs/wk-000002", None, |_, v| v["mood"] == "done" && v["done"] == 5);
    // What is refused, and how.
    assert_eq!(c.call(0, "GET", "/v2/runs/wk-999999", None).0, 404);
    assert_eq!(c.call(0, "POST", "/v2/runs", Some(json!({"id": "wk-000009"}))).0, 400);
    let mut wide = job("wk-000009", "array", 1);
    wide["cpus"] = 64.0.into();
    assert_eq!(c.call(1, "POST", "/v2/runs", Some(wide)).0, 422);
    let mut foreign = job("wk-000009", "array", 1);
    foreign["nest"] = "nobody".into();
    assert_eq!(c.call(2, "POST", "/v2/runs", Some(foreign)).0, 422);
    // Every controller goes, one of them for longer; the work stays.
    for i in 0..3 {
        c.kill(i);
        if i > 0 {
            c.boot(i);
        }
    }
    c.until(1, "POST", "/v2/runs", Some(job("wk-000004", "array", 4)), |s, _| s == 201 || s == 200);
    c.until(2, "GET", "/v2/runs/wk-000004", None, |_, v| v["mood"] == "done");
    c.until(1, "GET", "/v2/runs/wk-000001", None, running);
    c.boot(0);
    c.until(0, "GET", "/v2/runs/wk-000002", None, |s, v| s == 200 && v["mood"] == "done");
    // A repeated submission is harmless, also after the end.
    let again = c.call(0, "POST", "/v2/runs", Some(job("wk-000002", "array", 5)));
    assert_eq!((again.0, again.1["mood"].as_str()), (200, Some("done")));
    c.until(0, "POST", "/v2/runs/wk-000001/withdraw", None, |s, v| s == 200 && v["mood"] == "cancelled");
    c.until(2, "GET", "/v2/runs/wk-000001", None, |s, v| s == 200 && v["mood"] == "cancelled");
    let begin = Instant::now();
    loop {
        let left: usize = {
            let s = seen.lock().expect("seen");
            s.on.iter().filter(|(t, _)| t.starts_with("wk-000001/")).map(|(_, on)| on.len()).sum()
        };
        if left == 0 {
            break;
        }
        assert!(begin.elapsed() < PATIENCE, "{left} replicas are left after the cancellation");
        std::thread::sleep(Duration::from_millis(100));
    }
    let s = seen.lock().expect("seen");
    assert!(s.twice.is_empty(), "on two machines at once: {:?}", s.twice);
    assert!(s.starts >= 11);
}
