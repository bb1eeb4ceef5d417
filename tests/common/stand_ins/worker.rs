//! Stand-ins for workers. Each runs the tasks of one machine under a lease and sends
//! heartbeats.

use super::json_server::serve_json;
use super::{lock, Shared};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tiny_http::Method;

/// How long tasks run that complete by themselves.
const TASK_DURATION: Duration = Duration::from_millis(1500);
/// The time between two heartbeats of a worker.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// How long a worker waits for the response to a heartbeat.
const HTTP_TIMEOUT: Duration = Duration::from_secs(2);

/// What all workers did, for the assertions of the tests.
#[derive(Default)]
pub struct WorkerActivity {
    /// The machines on which each task runs at present.
    pub machines_by_task: BTreeMap<String, Vec<String>>,
    /// The number of starts of tasks.
    pub starts: u32,
    /// Tasks that were started while they ran on another machine.
    pub ran_twice: Vec<String>,
    /// Tasks that completed.
    pub completed: BTreeSet<String>,
    /// The number of tasks that were killed because their worker's lease expired.
    pub killed_by_lease: u32,
    /// The number of starts of each task.
    pub starts_by_task: BTreeMap<String, u32>,
    /// Running tasks that were stopped by a command.
    pub stopped: Vec<String>,
    /// Machines that were deleted while tasks ran on them.
    pub deleted_in_use: Vec<String>,
}

/// The worker of one machine.
struct Worker {
    /// How long the lease lasts after it was renewed.
    lease_duration: Duration,
    /// The body of the next heartbeat. Its list of tasks is the worker's only record of them.
    heartbeat: Value,
    /// When each task is due to complete, if it completes by itself.
    completes_at: BTreeMap<String, Instant>,
    /// When the last heartbeat that got a response was sent, or when the session began.
    lease_renewed_at: Instant,
}

impl Worker {
    /// Returns the machine's id.
    fn machine(&self) -> String {
        let id = self.heartbeat["perch"].as_str();
        id.unwrap_or_default().to_string()
    }

    /// Increments the sequence number of the next heartbeat.
    fn increment_sequence(&mut self) {
        self.heartbeat["chirp"] = (self.heartbeat["chirp"].as_u64().unwrap_or(0) + 1).into();
    }

    /// Kills and forgets all tasks and begins a new session if the lease has expired.
    fn expire_lease(&mut self, activity: &mut WorkerActivity) {
        if self.lease_renewed_at.elapsed() <= self.lease_duration {
            return;
        }
        let id = self.machine();
        for machines in activity
            .machines_by_task
            .values_mut()
            .filter(|machines| machines.contains(&id))
        {
            machines.retain(|machine| *machine != id);
            activity.killed_by_lease += 1;
        }
        self.completes_at.clear();
        self.heartbeat["chicks"] = json!([]);
        self.heartbeat["flight"] = (self.heartbeat["flight"].as_u64().unwrap_or(0) + 1).into();
        self.lease_renewed_at = Instant::now();
    }

    /// Completes the tasks that are due and complete by themselves.
    fn complete_due_tasks(&mut self, activity: &mut WorkerActivity) {
        let id = self.machine();
        let now = Instant::now();
        let due: Vec<String> = self
            .completes_at
            .iter()
            .filter(|(_, completes_at)| **completes_at < now)
            .map(|(task, _)| task.clone())
            .collect();
        for task in due.iter().filter(|task| completes(task)) {
            self.completes_at.remove(task);
            for reported in self.heartbeat["chicks"].as_array_mut().expect("tasks") {
                if reported["chick"] == task.as_str() && reported["mood"] == "running" {
                    reported["mood"] = "ended".into();
                    reported["cause"] = "done".into();
                    activity.completed.insert(task.clone());
                    let machines = activity.machines_by_task.entry(task.clone()).or_default();
                    machines.retain(|machine| *machine != id);
                }
            }
        }
    }

    /// Carries out a controller's commands.
    fn execute(&mut self, commands: &Value, activity: &mut WorkerActivity) {
        let id = self.machine();
        for command in commands.as_array().map(Vec::as_slice).unwrap_or_default() {
            let task = command["chick"].as_str().unwrap_or_default().to_string();
            let tasks = self.heartbeat["chicks"].as_array_mut().expect("tasks");
            let position = tasks.iter().position(|reported| {
                reported["chick"] == command["chick"] && reported["hatch"] == command["hatch"]
            });
            match (command["call"].as_str(), position) {
                (Some("start"), None) => {
                    tasks
                        .push(json!({"chick": task, "hatch": command["hatch"], "mood": "running"}));
                    let machines = activity.machines_by_task.entry(task.clone()).or_default();
                    machines.push(id.clone());
                    if machines.len() > 1 {
                        activity.ran_twice.push(task.clone());
                    }
                    activity.starts += 1;
                    *activity.starts_by_task.entry(task.clone()).or_default() += 1;
                    self.completes_at
                        .insert(task, Instant::now() + TASK_DURATION);
                }
                (Some("halt"), Some(i)) if tasks[i]["mood"] == "running" => {
                    tasks[i]["mood"] = "ended".into();
                    tasks[i]["cause"] = "stopped".into();
                    activity.stopped.push(task.clone());
                    let machines = activity.machines_by_task.entry(task).or_default();
                    machines.retain(|machine| *machine != id);
                }
                (Some("reap"), Some(i)) if tasks[i]["mood"] == "ended" => drop(tasks.remove(i)),
                _ => {}
            }
        }
    }

    /// Carries out a batch of direct commands, unless its fencing token is older or it is for
    /// another session, and returns the response.
    fn apply_direct_commands(
        &mut self,
        body: &Value,
        activity: &mut WorkerActivity,
    ) -> (u16, Value) {
        let stale = body["crest"].as_u64() < self.heartbeat["crest"].as_u64()
            || body["flight"] != self.heartbeat["flight"];
        if stale {
            return (409, self.heartbeat.clone());
        }
        self.heartbeat["crest"] = body["crest"].clone();
        self.execute(&body["calls"], activity);
        (200, self.heartbeat.clone())
    }

    /// Applies the response to a heartbeat that was sent at `sent_at` in `session`, unless the
    /// worker has begun another session or received a newer fencing token since.
    fn apply_response(
        &mut self,
        response: &Value,
        sent_at: Instant,
        session: &Value,
        activity: &mut WorkerActivity,
    ) {
        let same_session = self.heartbeat["flight"] == *session;
        if same_session && response["crest"].as_u64() >= self.heartbeat["crest"].as_u64() {
            self.lease_renewed_at = sent_at;
            self.heartbeat["crest"] = response["crest"].clone();
            self.execute(&response["calls"], activity);
        }
    }
}

/// Starts the worker of a rented machine and adds the machine to `machines`. The worker sends
/// heartbeats to `nodes` until the machine is no longer in that list.
pub fn start_worker(
    name: &str,
    rental: &Value,
    nodes: Vec<SocketAddr>,
    activity: Shared<WorkerActivity>,
    machines: Shared<BTreeMap<String, Value>>,
    lease: Duration,
) {
    let heartbeat = json!({"perch": name, "address": "", "breed": rental["breed"], "grove": rental["grove"],
        "windfall": rental["windfall"], "flight": 1, "chirp": 0, "crest": 0, "warning_s": null, "chicks": []});
    let worker = Arc::new(Mutex::new(Worker {
        lease_duration: lease,
        heartbeat,
        completes_at: BTreeMap::new(),
        lease_renewed_at: Instant::now(),
    }));
    let address = serve_commands(worker.clone(), activity.clone());
    lock(&worker).heartbeat["address"] = address.to_string().into();
    let listed = json!({"id": name, "address": address.to_string(), "breed": rental["breed"],
        "grove": rental["grove"], "windfall": rental["windfall"], "mood": "running", "held_s": 1.0});
    lock(&machines).insert(name.into(), listed);
    let name = name.to_string();
    std::thread::spawn(move || {
        let rented = || lock(&machines).contains_key(&name);
        send_heartbeats(&worker, &nodes, &activity, rented);
    });
}

/// Serves the direct commands and probes of controllers, and returns the address of the
/// server.
fn serve_commands(worker: Shared<Worker>, activity: Shared<WorkerActivity>) -> SocketAddr {
    serve_json(move |method, url, body| {
        let mut worker = lock(&worker);
        worker.expire_lease(&mut lock(&activity));
        worker.increment_sequence();
        if *method == Method::Post && url == "/commands" {
            return worker.apply_direct_commands(&body, &mut lock(&activity));
        }
        (200, worker.heartbeat.clone())
    })
}

/// Sends heartbeats to one node at a time while the machine is rented. The worker moves on to
/// the machine's owner if the node names it, and to the next node if there is no response.
fn send_heartbeats(
    worker: &Mutex<Worker>,
    nodes: &[SocketAddr],
    activity: &Mutex<WorkerActivity>,
    rented: impl Fn() -> bool,
) {
    let agent = ureq::AgentBuilder::new().timeout(HTTP_TIMEOUT).build();
    let mut node = 0;
    while rented() {
        std::thread::sleep(HEARTBEAT_INTERVAL);
        let sent_at = Instant::now();
        let heartbeat = next_heartbeat(worker, activity);
        let result = agent
            .post(&format!("http://{}/agent/beat", nodes[node % nodes.len()]))
            .send_string(&heartbeat.to_string());
        match result {
            Ok(response) => {
                let body = json_body(response);
                let mut worker = lock(worker);
                worker.apply_response(&body, sent_at, &heartbeat["flight"], &mut lock(activity));
            }
            Err(ureq::Error::Status(421, response)) => {
                let body = json_body(response);
                let owner = body["sings_to"]
                    .as_str()
                    .and_then(|name| name.strip_prefix("n")?.parse::<usize>().ok());
                node = owner.unwrap_or(node + 1);
            }
            Err(_) => node += 1,
        }
    }
}

/// Brings the worker's state up to date and returns its next heartbeat.
fn next_heartbeat(worker: &Mutex<Worker>, activity: &Mutex<WorkerActivity>) -> Value {
    let mut worker = lock(worker);
    let mut activity = lock(activity);
    worker.expire_lease(&mut activity);
    worker.complete_due_tasks(&mut activity);
    worker.increment_sequence();
    worker.heartbeat.clone()
}

/// Returns the body of a response, or `Null` if it is not JSON.
fn json_body(response: ureq::Response) -> Value {
    let text = response.into_string().unwrap_or_default();
    serde_json::from_str(&text).unwrap_or_default()
}

/// Whether a task completes by itself: its job's id must end in an even digit.
fn completes(task: &str) -> bool {
    let job = task.split('/').next().unwrap_or_default();
    job.bytes().last().is_some_and(|byte| byte % 2 == 0)
}
