//! Workers: each runs the tasks of one machine, under a lease, and reports them.

use super::json_server::serve_json;
use super::{lock, Shared};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tiny_http::Method;

/// How long tasks run that complete.
const TASK_DURATION: Duration = Duration::from_millis(1500);
/// The time between two reports of a worker.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// How long a worker waits for an answer to its report.
const HTTP_TIMEOUT: Duration = Duration::from_secs(2);

/// What the workers did, for the checks.
#[derive(Default)]
pub struct WorkerActivity {
    /// Machines on which each task is.
    pub machines_by_task: BTreeMap<String, Vec<String>>,
    /// How many tasks were started.
    pub starts: u32,
    /// Tasks that were started while they were on another machine.
    pub ran_twice: Vec<String>,
    /// Tasks that completed.
    pub completed: BTreeSet<String>,
    /// Tasks that were killed with their worker's lease.
    pub killed_by_lease: u32,
    /// How often each task was started.
    pub starts_by_task: BTreeMap<String, u32>,
    /// Running tasks that were told to stop.
    pub stopped: Vec<String>,
    /// Machines that were deleted while tasks were on them.
    pub deleted_in_use: Vec<String>,
}

/// The worker of one machine.
struct Worker {
    lease: Duration,
    /// The report as it is sent; its tasks are those on the machine.
    report: Value,
    /// When each running task is due to complete.
    ends: BTreeMap<String, Instant>,
    /// When the last report that was answered had been sent, or the session began.
    lease_from: Instant,
}

impl Worker {
    /// The machine's id.
    fn machine(&self) -> String {
        let id = self.report["perch"].as_str();
        id.unwrap_or_default().to_string()
    }

    /// Numbers the next report.
    fn next_sequence(&mut self) {
        self.report["chirp"] = (self.report["chirp"].as_u64().unwrap_or(0) + 1).into();
    }

    /// Kills and forgets everything when the lease is past.
    fn expire_lease(&mut self, activity: &mut WorkerActivity) {
        if self.lease_from.elapsed() <= self.lease {
            return;
        }
        let id = self.machine();
        for on in activity
            .machines_by_task
            .values_mut()
            .filter(|on| on.contains(&id))
        {
            on.retain(|machine| *machine != id);
            activity.killed_by_lease += 1;
        }
        self.ends.clear();
        self.report["chicks"] = json!([]);
        self.report["flight"] = (self.report["flight"].as_u64().unwrap_or(0) + 1).into();
        self.lease_from = Instant::now();
    }

    /// Completes the tasks that are due, of those that complete by themselves.
    fn complete_due_tasks(&mut self, activity: &mut WorkerActivity) {
        let id = self.machine();
        let now = Instant::now();
        let due: Vec<String> = self
            .ends
            .iter()
            .filter(|(_, end)| **end < now)
            .map(|(task, _)| task.clone())
            .collect();
        for task in due.iter().filter(|task| completes(task)) {
            self.ends.remove(task);
            for reported in self.report["chicks"].as_array_mut().expect("tasks") {
                if reported["chick"] == task.as_str() && reported["mood"] == "running" {
                    reported["mood"] = "ended".into();
                    reported["cause"] = "done".into();
                    activity.completed.insert(task.clone());
                    let on = activity.machines_by_task.entry(task.clone()).or_default();
                    on.retain(|machine| *machine != id);
                }
            }
        }
    }

    /// Carries out the commands of a controller.
    fn execute(&mut self, commands: &Value, activity: &mut WorkerActivity) {
        let id = self.machine();
        for command in commands.as_array().map(Vec::as_slice).unwrap_or_default() {
            let task = command["chick"].as_str().unwrap_or_default().to_string();
            let tasks = self.report["chicks"].as_array_mut().expect("tasks");
            let position = tasks.iter().position(|reported| {
                reported["chick"] == command["chick"] && reported["hatch"] == command["hatch"]
            });
            match (command["call"].as_str(), position) {
                (Some("start"), None) => {
                    tasks
                        .push(json!({"chick": task, "hatch": command["hatch"], "mood": "running"}));
                    let on = activity.machines_by_task.entry(task.clone()).or_default();
                    on.push(id.clone());
                    if on.len() > 1 {
                        activity.ran_twice.push(task.clone());
                    }
                    activity.starts += 1;
                    *activity.starts_by_task.entry(task.clone()).or_default() += 1;
                    self.ends.insert(task, Instant::now() + TASK_DURATION);
                }
                (Some("halt"), Some(i)) if tasks[i]["mood"] == "running" => {
                    tasks[i]["mood"] = "ended".into();
                    tasks[i]["cause"] = "stopped".into();
                    activity.stopped.push(task.clone());
                    let on = activity.machines_by_task.entry(task).or_default();
                    on.retain(|machine| *machine != id);
                }
                (Some("reap"), Some(i)) if tasks[i]["mood"] == "ended" => drop(tasks.remove(i)),
                _ => {}
            }
        }
    }

    /// Answers a controller's commands: refuses those of an older token or another session.
    fn answer_commands(&mut self, body: &Value, activity: &mut WorkerActivity) -> (u16, Value) {
        let stale = body["crest"].as_u64() < self.report["crest"].as_u64()
            || body["flight"] != self.report["flight"];
        if stale {
            return (409, self.report.clone());
        }
        self.report["crest"] = body["crest"].clone();
        self.execute(&body["calls"], activity);
        (200, self.report.clone())
    }

    /// Applies the answer to a report that was sent at `sent` in `session`.
    fn apply_answer(
        &mut self,
        answer: &Value,
        sent: Instant,
        session: &Value,
        activity: &mut WorkerActivity,
    ) {
        let same_session = self.report["flight"] == *session;
        if same_session && answer["crest"].as_u64() >= self.report["crest"].as_u64() {
            self.lease_from = sent;
            self.report["crest"] = answer["crest"].clone();
            self.execute(&answer["calls"], activity);
        }
    }
}

/// Starts the worker of a rented machine: it reports to `nodes` until the machine is deleted.
pub fn start_worker(
    name: &str,
    rental: &Value,
    nodes: Vec<SocketAddr>,
    activity: Shared<WorkerActivity>,
    machines: Shared<BTreeMap<String, Value>>,
    lease: Duration,
) {
    let report = json!({"perch": name, "address": "", "breed": rental["breed"], "grove": rental["grove"],
        "windfall": rental["windfall"], "flight": 1, "chirp": 0, "crest": 0, "warning_s": null, "chicks": []});
    let worker = Arc::new(Mutex::new(Worker {
        lease,
        report,
        ends: BTreeMap::new(),
        lease_from: Instant::now(),
    }));
    let address = serve_commands(worker.clone(), activity.clone());
    lock(&worker).report["address"] = address.to_string().into();
    let listed = json!({"id": name, "address": address.to_string(), "breed": rental["breed"],
        "grove": rental["grove"], "windfall": rental["windfall"], "mood": "running", "held_s": 1.0});
    lock(&machines).insert(name.into(), listed);
    let name = name.to_string();
    std::thread::spawn(move || {
        let rented = || lock(&machines).contains_key(&name);
        send_reports(&worker, &nodes, &activity, rented);
    });
}

/// Serves what controllers ask of a worker.
fn serve_commands(worker: Shared<Worker>, activity: Shared<WorkerActivity>) -> SocketAddr {
    serve_json(move |method, url, body| {
        let mut worker = lock(&worker);
        worker.expire_lease(&mut lock(&activity));
        worker.next_sequence();
        if *method == Method::Post && url == "/commands" {
            return worker.answer_commands(&body, &mut lock(&activity));
        }
        (200, worker.report.clone())
    })
}

/// Reports to one of the nodes at a time while the machine is rented, and goes on to
/// another if that one doesn't answer or names the machine's owner.
fn send_reports(
    worker: &Mutex<Worker>,
    nodes: &[SocketAddr],
    activity: &Mutex<WorkerActivity>,
    rented: impl Fn() -> bool,
) {
    let agent = ureq::AgentBuilder::new().timeout(HTTP_TIMEOUT).build();
    let mut node = 0;
    while rented() {
        std::thread::sleep(REPORT_INTERVAL);
        let sent = Instant::now();
        let report = next_report(worker, activity);
        let answer = agent
            .post(&format!("http://{}/agent/beat", nodes[node % nodes.len()]))
            .send_string(&report.to_string());
        match answer {
            Ok(response) => {
                let answer = json_of(response);
                let mut worker = lock(worker);
                worker.apply_answer(&answer, sent, &report["flight"], &mut lock(activity));
            }
            Err(ureq::Error::Status(421, response)) => {
                let answer = json_of(response);
                let owner = answer["sings_to"]
                    .as_str()
                    .and_then(|name| name.strip_prefix("n")?.parse::<usize>().ok());
                node = owner.unwrap_or(node + 1);
            }
            Err(_) => node += 1,
        }
    }
}

/// The worker's state as it is now, as a report.
fn next_report(worker: &Mutex<Worker>, activity: &Mutex<WorkerActivity>) -> Value {
    let mut worker = lock(worker);
    let mut activity = lock(activity);
    worker.expire_lease(&mut activity);
    worker.complete_due_tasks(&mut activity);
    worker.next_sequence();
    worker.report.clone()
}

/// The body of a response, `null` if it isn't JSON.
fn json_of(response: ureq::Response) -> Value {
    let text = response.into_string().unwrap_or_default();
    serde_json::from_str(&text).unwrap_or_default()
}

/// Whether a task completes by itself.
fn completes(task: &str) -> bool {
    let job = task.split('/').next().unwrap_or_default();
    job.bytes().last().is_some_and(|byte| byte % 2 == 0)
}
