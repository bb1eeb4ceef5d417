//! Stand-ins for the cloud and for the workers on its machines, and the checks of the rules about
//! tasks on machines.

use crate::http::{self, Answer, Request};
use crate::json::{obj, Json};
use crate::{chance, lock, random, Shared};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mood {
    Fetching,
    Gathering,
    Running,
    Saving,
    Ended,
}

#[derive(Clone, Debug)]
pub struct Inst {
    pub job: String,
    pub index: u64,
    pub hatch: u64,
    pub mood: Mood,
    pub cause: &'static str,
    pub kept: Option<bool>,
    /// When the present phase ends by itself.
    pub due: Option<Instant>,
}

impl Inst {
    pub fn task(&self) -> String {
        format!("{}/{}", self.job, self.index)
    }

    /// Whether the task is on its machine, by the protocol's definition.
    pub fn on(&self) -> bool {
        matches!(self.mood, Mood::Gathering | Mood::Running | Mood::Saving)
    }
}

pub struct Machine {
    pub id: String,
    pub breed: String,
    pub zone: String,
    pub spot: bool,
    pub rented: Instant,
    pub up_at: Option<Instant>,
    pub up: bool,
    /// Deleted, taken or died.
    pub gone: Option<Instant>,
    pub address: Option<SocketAddr>,
    pub flight: u64,
    pub chirp: u64,
    pub crest: u64,
    pub warning: Option<Instant>,
    pub lease_from: Instant,
    pub insts: Vec<Inst>,
    pub images: BTreeSet<String>,
    pub hung: bool,
    /// Whether a change has to be reported at once.
    pub changed: bool,
    pub crest_reported: u64,
    pub node: usize,
}

pub struct Job {
    pub spec: Json,
    pub nest: String,
    pub gang: bool,
    pub standing: bool,
    pub chicks: u64,
    pub cpus: f64,
    pub run_s: f64,
    /// Fails on every machine.
    pub broken: bool,
    pub submitted: bool,
    pub accepted: Option<Instant>,
    pub cancel_asked: bool,
    pub cancel_told: Option<Instant>,
    pub done_told: Option<Instant>,
    pub done: BTreeSet<u64>,
}

pub struct Breed {
    pub name: String,
    pub cpus: f64,
    pub mem_gb: f64,
    pub ready_s: f64,
}

pub struct Params {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub list_lag_s: f64,
    pub zones: Vec<String>,
    pub breeds: Vec<Breed>,
    pub team_cap: f64,
    /// The most machines of a breed, a zone and a kind.
    pub capacity: usize,
    pub fetch_s: f64,
}

/// Faults on the ways to and from the workers and the cloud.
#[derive(Clone, Default)]
pub struct WorkerFaults {
    /// Share of the reports of which a copy arrives late.
    pub report_copies: f64,
    /// Share of the direct commands of which a copy arrives late.
    pub command_copies: f64,
    /// Share of the direct commands that arrive late.
    pub command_late: f64,
    /// Share of report answers that are lost.
    pub lose_answers: f64,
    pub late_s: f64,
    /// Nodes that the workers can't reach.
    pub cut_nodes: BTreeSet<usize>,
    /// Machines that hear no answers, and machines that send no reports.
    pub deaf: BTreeSet<String>,
    pub mute: BTreeSet<String>,
}

#[derive(Default)]
pub struct CloudFaults {
    pub outage: bool,
    /// Share of rentals and deletions that are executed late and not answered.
    pub late: f64,
    pub late_s: f64,
    /// Share of rentals and deletions executed but not answered.
    pub lose: f64,
}

pub struct World {
    pub params: Params,
    pub jobs: HashMap<String, Job>,
    pub machines: BTreeMap<String, Machine>,
    pub asks: HashMap<String, Vec<String>>,
    pub last_machine: u64,
    pub broken_rules: Vec<String>,
    pub record: Vec<String>,
    pub begin: Instant,
    pub nodes: Vec<SocketAddr>,
    pub names: Vec<String>,
    pub faults: WorkerFaults,
    pub cloud: CloudFaults,
    /// Machine lists of the past: when made, and the list.
    pub lists: Vec<(Instant, Vec<Json>)>,
    pub starts: u64,
    pub cancel_seen: BTreeSet<String>,
    pub rents: bool,
}

impl World {
    pub fn note(&mut self, text: String) {
        let at = self.begin.elapsed().as_secs_f64();
        self.record.push(format!("{at:9.3} {text}"));
    }

    pub fn broken(&mut self, rule: &str, text: String) {
        let line = format!("RULE {rule}: {text}");
        self.note(line.clone());
        self.broken_rules.push(line);
    }

    fn fits(&self, machine: &str, job: &Job) -> bool {
        let machine = &self.machines[machine];
        let Some(breed) = self.params.breeds.iter().find(|b| b.name == machine.breed) else {
            return false;
        };
        let (mut cpus, mut mem) = (breed.cpus, breed.mem_gb);
        for inst in machine.insts.iter().filter(|i| i.mood != Mood::Ended) {
            if let Some(job) = self.jobs.get(&inst.job) {
                cpus -= job.cpus;
                mem -= job.spec.get("mem_gb").f64();
            }
        }
        job.cpus <= cpus + 1e-6 && job.spec.get("mem_gb").f64() <= mem + 1e-6
    }

    /// Executes commands on a machine, in order.
    fn execute(&mut self, id: &str, calls: &Json, way: &str) {
        for call in calls.list() {
            let (job, index) = call.get("chick").str().rsplit_once('/').unwrap_or(("", ""));
            let index: u64 = index.parse().unwrap_or(u64::MAX);
            let hatch = call.get("hatch").u64().unwrap_or(0);
            let known = self.machines[id]
                .insts
                .iter()
                .position(|i| i.job == job && i.index == index && i.hatch == hatch);
            let op = call.get("call").str();
            self.note(format!("command {id} {way} {op} {job}/{index}@{hatch}"));
            match (op, known) {
                ("start", None) => {
                    let mut inst = Inst {
                        job: job.into(),
                        index,
                        hatch,
                        mood: Mood::Ended,
                        cause: "unknown",
                        kept: None,
                        due: None,
                    };
                    if let Some(spec) = self.jobs.get(job).filter(|j| j.submitted) {
                        let busy = self.machines[id]
                            .insts
                            .iter()
                            .any(|i| i.job == job && i.index == index && i.mood != Mood::Ended);
                        if index >= spec.chicks {
                        } else if busy {
                            inst.cause = "busy";
                        } else if !self.fits(id, spec) {
                            inst.cause = "no_room";
                        } else {
                            let image = spec.spec.get("egg").str().to_string();
                            let cached = self.machines[id].images.contains(&image);
                            let fetch = if cached { 0.0 } else { self.params.fetch_s };
                            inst.mood = Mood::Fetching;
                            inst.cause = "";
                            inst.due = Some(Instant::now() + Duration::from_secs_f64(fetch));
                        }
                    }
                    let machine = self.machines.get_mut(id).expect("a machine");
                    machine.insts.push(inst);
                    machine.changed = true;
                }
                ("halt", Some(at)) => {
                    let settle = call.get("settle_s").f64();
                    let (stash, saves, gang) =
                        self.jobs.get(job).map_or((0.0, false, false), |j| {
                            let stash = j.spec.get("stash_s").f64();
                            (stash, j.spec.get("molt_s").f64() > 0.0, j.gang)
                        });
                    let machine = self.machines.get_mut(id).expect("a machine");
                    let inst = &mut machine.insts[at];
                    machine.changed = true;
                    match inst.mood {
                        Mood::Running if saves && !gang && settle >= stash => {
                            inst.mood = Mood::Saving;
                            inst.due = Some(Instant::now() + Duration::from_secs_f64(stash));
                        }
                        Mood::Saving if settle > 0.0 => {}
                        Mood::Ended => {}
                        _ => {
                            inst.mood = Mood::Ended;
                            inst.cause = "stopped";
                            inst.kept = Some(false);
                            inst.due = None;
                        }
                    }
                }
                ("reap", Some(at)) => {
                    let machine = self.machines.get_mut(id).expect("a machine");
                    if machine.insts[at].mood == Mood::Ended {
                        machine.insts.remove(at);
                        machine.changed = true;
                    }
                }
                _ => {}
            }
        }
    }

    /// Checks the rules as a task gets its image on a machine.
    fn check_start(&mut self, id: &str, inst: &Inst) {
        self.starts += 1;
        let Some(job) = self.jobs.get(&inst.job) else {
            return;
        };
        let machine = &self.machines[id];
        let task = inst.task();
        let mut wrong = Vec::new();
        let mut used = job.cpus;
        let (mut in_zone, mut other_zone) = (1, None);
        for (other_id, other) in &self.machines {
            if other.gone.is_some() {
                continue;
            }
            for at in other.insts.iter().filter(|i| i.on()) {
                let Some(other_job) = self.jobs.get(&at.job) else {
                    continue;
                };
                if other_id == id && at.task() == task {
                    continue;
                }
                if at.task() == task && other_id != id {
                    wrong.push((
                        "ran_twice",
                        format!(
                            "{task}@{} starts on {id} and {other_id} has @{}",
                            inst.hatch, at.hatch
                        ),
                    ));
                }
                if other_job.nest == job.nest {
                    used += other_job.cpus;
                }
                if at.job == inst.job {
                    if other.zone == machine.zone {
                        in_zone += 1;
                    } else {
                        other_zone = Some(other.zone.clone());
                    }
                }
            }
        }
        if used > self.params.team_cap + 1e-6 {
            wrong.push((
                "quota",
                format!("{} uses {used} with {task} on {id}", job.nest),
            ));
        }
        let spec = &job.spec;
        let breeds = spec.get("breeds").list();
        let allowed = (breeds.is_empty() || breeds.iter().any(|b| b.str() == machine.breed))
            && (spec.get("grove") == &Json::Null || spec.get("grove").str() == machine.zone)
            && (spec.get("windfall").bool() || !machine.spot);
        if !allowed {
            wrong.push(("wrong_place", format!("{task} on {id}")));
        }
        if spec.get("one_zone").bool() && other_zone.is_some() {
            wrong.push((
                "wrong_place",
                format!(
                    "{task} on {id} in {} and others in {other_zone:?}",
                    machine.zone
                ),
            ));
        }
        if spec.get("scatter").bool() && in_zone > job.chicks.div_ceil(2) {
            wrong.push((
                "wrong_place",
                format!("{task} on {id}: {in_zone} in {}", machine.zone),
            ));
        }
        let cancel_s = Duration::from_secs_f64(self.params.cancel_s);
        if job.cancel_told.is_some_and(|at| at.elapsed() > cancel_s) {
            wrong.push(("ran_cancelled", format!("{task} starts on {id}")));
        }
        for (rule, text) in wrong {
            self.broken(rule, text);
        }
    }

    /// Lets time pass on all machines.
    fn tick(&mut self) {
        let now = Instant::now();
        let lease = Duration::from_secs_f64(self.params.lease_s);
        let ids: Vec<String> = self.machines.keys().cloned().collect();
        let mut taken = Vec::new();
        for id in &ids {
            let machine = self.machines.get_mut(id).expect("a machine");
            if machine.gone.is_some() || !machine.up {
                continue;
            }
            if machine.warning.is_some_and(|at| at <= now) {
                taken.push(id.clone());
                continue;
            }
            if now - machine.lease_from > lease {
                let lost: Vec<String> = machine
                    .insts
                    .iter()
                    .map(|i| format!("{}@{} {:?}", i.task(), i.hatch, i.mood))
                    .collect();
                machine.insts.clear();
                machine.flight += 1;
                machine.lease_from = now;
                machine.changed = true;
                let flight = machine.flight;
                self.note(format!("session {id} {flight}, lost {lost:?}"));
                continue;
            }
            if machine.hung {
                continue;
            }
            for at in 0..machine.insts.len() {
                let machine = self.machines.get_mut(id).expect("a machine");
                let Some(inst) = machine.insts.get(at).cloned() else {
                    break;
                };
                if inst.due.is_none_or(|due| due > now) {
                    continue;
                }
                self.advance(id, at, &inst, now);
            }
        }
        for id in taken {
            self.end_machine(&id, "taken");
        }
        self.tick_gangs(now);
        let cancel_s = Duration::from_secs_f64(self.params.cancel_s);
        let mut late = Vec::new();
        for (id, machine) in self.machines.iter().filter(|(_, m)| m.gone.is_none()) {
            for inst in machine.insts.iter().filter(|i| i.on()) {
                let told = self.jobs.get(&inst.job).and_then(|job| job.cancel_told);
                if told.is_some_and(|at| at.elapsed() > cancel_s)
                    && !self.cancel_seen.contains(&inst.task())
                {
                    late.push((
                        inst.task(),
                        format!("{} is on {id} (hung {})", inst.task(), machine.hung),
                    ));
                }
            }
        }
        for (task, text) in late {
            self.cancel_seen.insert(task);
            self.broken("ran_cancelled", text);
        }
    }

    fn advance(&mut self, id: &str, at: usize, inst: &Inst, now: Instant) {
        let Some(job) = self.jobs.get(&inst.job) else {
            return;
        };
        let (gang, standing, broken, run_s) = (job.gang, job.standing, job.broken, job.run_s);
        let done_before = job.done.contains(&inst.index);
        let image = job.spec.get("egg").str().to_string();
        let gang_wait = Duration::from_secs_f64(self.params.gang_wait_s);
        let mut next = inst.clone();
        match inst.mood {
            Mood::Fetching => {
                self.machines
                    .get_mut(id)
                    .expect("a machine")
                    .images
                    .insert(image);
                self.check_start(id, inst);
                self.note(format!("runs {id} {}@{}", inst.task(), inst.hatch));
                if done_before {
                    next.mood = Mood::Ended;
                    next.cause = "done";
                    next.due = None;
                } else if gang {
                    next.mood = Mood::Gathering;
                    next.due = Some(now + gang_wait);
                } else {
                    next.mood = Mood::Running;
                    next.due = if broken {
                        Some(now + Duration::from_millis(700))
                    } else {
                        (!standing).then(|| now + Duration::from_secs_f64(run_s))
                    };
                }
            }
            Mood::Gathering => {
                next.mood = Mood::Ended;
                next.cause = "alone";
                next.due = None;
            }
            Mood::Running if gang => {}
            Mood::Running => {
                next.mood = Mood::Ended;
                next.cause = if broken { "error" } else { "done" };
                next.due = None;
                if !broken {
                    self.jobs
                        .get_mut(&inst.job)
                        .expect("a job")
                        .done
                        .insert(inst.index);
                }
                self.note(format!(
                    "ends {id} {}@{} {}",
                    inst.task(),
                    inst.hatch,
                    next.cause
                ));
            }
            Mood::Saving => {
                next.mood = Mood::Ended;
                next.cause = "stopped";
                next.kept = Some(true);
                next.due = None;
            }
            Mood::Ended => {}
        }
        let machine = self.machines.get_mut(id).expect("a machine");
        machine.insts[at] = next;
        machine.changed = true;
    }

    /// Starts gangs that are complete, ends those that are done, and those that lost a task.
    fn tick_gangs(&mut self, now: Instant) {
        let mut gangs: HashMap<(String, u64), Vec<(String, usize)>> = HashMap::new();
        for (id, machine) in &self.machines {
            if machine.gone.is_some() || machine.hung {
                continue;
            }
            for (at, inst) in machine.insts.iter().enumerate() {
                if inst.on() && self.jobs.get(&inst.job).is_some_and(|job| job.gang) {
                    let key = (inst.job.clone(), inst.hatch);
                    gangs.entry(key).or_default().push((id.clone(), at));
                }
            }
        }
        for ((job, _), members) in gangs {
            let (chicks, run_s) = (self.jobs[&job].chicks, self.jobs[&job].run_s);
            let moods: Vec<Mood> = members
                .iter()
                .map(|(id, at)| self.machines[id].insts[*at].mood)
                .collect();
            let complete = members.len() as u64 == chicks;
            if complete && moods.iter().all(|m| *m == Mood::Gathering) {
                for (id, at) in &members {
                    let machine = self.machines.get_mut(id).expect("a machine");
                    machine.insts[*at].mood = Mood::Running;
                    machine.insts[*at].due = Some(now + Duration::from_secs_f64(run_s));
                    machine.changed = true;
                }
                continue;
            }
            let running = moods.iter().any(|m| *m == Mood::Running);
            if !running {
                continue;
            }
            let over = members.iter().all(|(id, at)| {
                self.machines[id].insts[*at]
                    .due
                    .is_some_and(|due| due <= now)
            });
            let cause = if complete && over {
                "done"
            } else if !complete {
                "peers"
            } else {
                continue;
            };
            for (id, at) in &members {
                let machine = self.machines.get_mut(id).expect("a machine");
                let inst = &mut machine.insts[*at];
                if inst.mood != Mood::Running {
                    continue;
                }
                inst.mood = Mood::Ended;
                inst.cause = cause;
                inst.due = None;
                machine.changed = true;
                let index = inst.index;
                let text = format!("ends {id} {}@{} {cause}", inst.task(), inst.hatch);
                if cause == "done" {
                    self.jobs.get_mut(&job).expect("a job").done.insert(index);
                }
                self.note(text);
            }
        }
    }

    fn report(&mut self, id: &str) -> Json {
        let machine = self.machines.get_mut(id).expect("a machine");
        machine.chirp += 1;
        let tasks: Vec<Json> = machine
            .insts
            .iter()
            .map(|inst| {
                let mood = match inst.mood {
                    Mood::Fetching => "fetching",
                    Mood::Gathering => "gathering",
                    Mood::Running => "running",
                    Mood::Saving => "saving",
                    Mood::Ended => "ended",
                };
                let mut task = obj([
                    ("chick", inst.task().into()),
                    ("hatch", inst.hatch.into()),
                    ("mood", mood.into()),
                ]);
                if inst.mood == Mood::Ended {
                    task.set("cause", inst.cause.into());
                    if let Some(kept) = inst.kept {
                        task.set("kept", kept.into());
                    }
                }
                task
            })
            .collect();
        let warning = machine.warning.map_or(Json::Null, |at| {
            at.saturating_duration_since(Instant::now())
                .as_secs_f64()
                .into()
        });
        obj([
            ("perch", machine.id.clone().into()),
            (
                "address",
                machine
                    .address
                    .map(|a| a.to_string())
                    .unwrap_or_default()
                    .into(),
            ),
            ("breed", machine.breed.clone().into()),
            ("grove", machine.zone.clone().into()),
            ("windfall", machine.spot.into()),
            ("flight", machine.flight.into()),
            ("chirp", machine.chirp.into()),
            ("crest", machine.crest.into()),
            ("warning_s", warning),
            ("chicks", tasks.into()),
        ])
    }

    fn listed(&self) -> Vec<Json> {
        let now = Instant::now();
        self.machines
            .values()
            .filter(|m| m.gone.is_none())
            .map(|m| {
                obj([
                    ("id", m.id.clone().into()),
                    (
                        "address",
                        m.address.map(|a| a.to_string()).unwrap_or_default().into(),
                    ),
                    ("breed", m.breed.clone().into()),
                    ("grove", m.zone.clone().into()),
                    ("windfall", m.spot.into()),
                    ("mood", if m.up { "running" } else { "booting" }.into()),
                    ("held_s", (now - m.rented).as_secs_f64().into()),
                ])
            })
            .collect()
    }

    /// Takes a machine away with all that is on it.
    pub fn end_machine(&mut self, id: &str, why: &str) {
        self.note(format!("machine {id} {why}"));
        if let Some(machine) = self.machines.get_mut(id) {
            machine.gone = Some(Instant::now());
            machine.insts.clear();
        }
    }
}

pub type SharedWorld = Shared<World>;

/// Lets time pass on all machines, and keeps the machine lists of the past.
pub fn start_clock(world: SharedWorld) {
    std::thread::spawn(move || {
        let mut listed_at = Instant::now();
        loop {
            std::thread::sleep(Duration::from_millis(15));
            let mut guard = lock(&world);
            guard.tick();
            let due: Vec<String> = guard
                .machines
                .values()
                .filter(|m| {
                    !m.up && m.gone.is_none() && m.up_at.is_some_and(|at| at <= Instant::now())
                })
                .map(|m| m.id.clone())
                .collect();
            for id in due {
                boot(&mut guard, &world, &id);
            }
            if listed_at.elapsed() > Duration::from_millis(200) {
                listed_at = Instant::now();
                let list = guard.listed();
                guard.lists.push((listed_at, list));
                if guard.lists.len() > 400 {
                    guard.lists.remove(0);
                }
            }
        }
    });
}

fn boot(guard: &mut World, world: &SharedWorld, id: &str) {
    let (serving, name) = (world.clone(), id.to_string());
    let address = http::serve(move |request| serve_worker(&serving, &name, request));
    let machine = guard.machines.get_mut(id).expect("a machine");
    machine.up = true;
    machine.address = Some(address);
    machine.lease_from = Instant::now();
    machine.flight = 1;
    guard.note(format!("machine {id} is up"));
    let (world, id) = (world.clone(), id.to_string());
    let _ = std::thread::Builder::new()
        .stack_size(256 * 1024)
        .spawn(move || send_reports(&world, &id));
}

/// Waits while the machine hangs. Returns whether it still exists.
fn awake(world: &SharedWorld, id: &str) -> bool {
    loop {
        {
            let guard = lock(world);
            let machine = &guard.machines[id];
            if machine.gone.is_some() {
                return false;
            }
            if !machine.hung {
                return true;
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn serve_worker(world: &SharedWorld, id: &str, request: Request) -> Answer {
    if !awake(world, id) {
        std::thread::sleep(Duration::from_secs(3));
        return None;
    }
    if request.method == "GET" {
        let report = lock(world).report(id);
        return Some((200, report.to_string().into_bytes()));
    }
    let body = Json::parse(&request.body)?;
    let faults = lock(world).faults.clone();
    if faults.deaf.contains(id) {
        std::thread::sleep(Duration::from_secs(3));
        return None;
    }
    if chance(faults.command_late) {
        let wait = Duration::from_secs_f64(random() * faults.late_s);
        std::thread::sleep(wait);
    }
    if chance(faults.command_copies) {
        let wait = Duration::from_secs_f64(random() * faults.late_s);
        let (world, id, body) = (world.clone(), id.to_string(), body.clone());
        std::thread::spawn(move || {
            std::thread::sleep(wait);
            if awake(&world, &id) {
                execute_direct(&world, &id, &body, "copy");
            }
        });
    }
    if !awake(world, id) {
        return None;
    }
    execute_direct(world, id, &body, "direct")
}

fn execute_direct(world: &SharedWorld, id: &str, body: &Json, way: &str) -> Answer {
    let mut guard = lock(world);
    let (Some(crest), Some(flight)) = (body.get("crest").u64(), body.get("flight").u64()) else {
        return Some((400, b"{}".to_vec()));
    };
    let machine = guard.machines.get_mut(id)?;
    if machine.gone.is_some() {
        return None;
    }
    let status = if crest < machine.crest || flight != machine.flight {
        409
    } else {
        machine.crest = crest;
        guard.execute(id, body.get("calls"), way);
        200
    };
    let report = guard.report(id);
    Some((status, report.to_string().into_bytes()))
}

fn send_reports(world: &SharedWorld, id: &str) {
    let mut last_sent: Option<Instant> = None;
    let mut crest_told = Instant::now();
    let report_s = lock(world).params.report_s;
    let lease_s = lock(world).params.lease_s;
    let mut wait = 0.0;
    loop {
        std::thread::sleep(Duration::from_millis(20));
        if !awake(world, id) {
            return;
        }
        let (body, flight, address, node, faults) = {
            let mut guard = lock(world);
            let machine = guard.machines.get_mut(id).expect("a machine");
            let since = last_sent.map_or(f64::MAX, |at| at.elapsed().as_secs_f64());
            let crest_change = machine.crest > machine.crest_reported
                && crest_told.elapsed().as_secs_f64() > lease_s / 2.0;
            let change = machine.changed || crest_change;
            if !(since > wait || change && since > 0.5) {
                continue;
            }
            if machine.crest > machine.crest_reported {
                crest_told = Instant::now();
            }
            machine.changed = false;
            machine.crest_reported = machine.crest;
            let (flight, node) = (machine.flight, machine.node);
            let body = guard.report(id).to_string().into_bytes();
            let node = node % guard.nodes.len();
            (body, flight, guard.nodes[node], node, guard.faults.clone())
        };
        let sent = Instant::now();
        last_sent = Some(sent);
        wait = report_s * (0.75 + random() * 0.5);
        if chance(faults.report_copies) {
            let late = Duration::from_secs_f64(random() * faults.late_s);
            let copy = body.clone();
            std::thread::spawn(move || {
                std::thread::sleep(late);
                http::call(
                    address,
                    "POST",
                    "/agent/beat",
                    &copy,
                    Duration::from_secs(4),
                );
            });
        }
        let mut result = if faults.cut_nodes.contains(&node) || faults.mute.contains(id) {
            std::thread::sleep(Duration::from_secs(4));
            None
        } else {
            http::call(
                address,
                "POST",
                "/agent/beat",
                &body,
                Duration::from_secs(4),
            )
        };
        if chance(faults.lose_answers) || faults.deaf.contains(id) {
            result = None;
        }
        if !awake(world, id) {
            return;
        }
        if sent.elapsed() > Duration::from_secs(4) {
            result = None;
        }
        let mut guard = lock(world);
        let nodes = guard.nodes.len();
        match result {
            Some((200, body)) => {
                let body = Json::parse(&body).unwrap_or(Json::Null);
                let machine = guard.machines.get_mut(id).expect("a machine");
                let crest = body.get("crest").u64();
                if machine.flight == flight && crest.is_some_and(|c| c >= machine.crest) {
                    machine.crest = crest.unwrap_or(0);
                    machine.lease_from = sent;
                    guard.execute(id, body.get("calls"), "answer");
                }
            }
            Some((421, body)) => {
                let body = Json::parse(&body).unwrap_or(Json::Null);
                let to = guard
                    .names
                    .iter()
                    .position(|n| n == body.get("sings_to").str());
                let machine = guard.machines.get_mut(id).expect("a machine");
                match to.filter(|to| *to != machine.node % nodes) {
                    Some(to) => {
                        machine.node = to;
                        wait = random() * 0.5;
                    }
                    None => {
                        machine.node += 1;
                        wait = 1.0;
                    }
                }
            }
            _ => {
                guard.machines.get_mut(id).expect("a machine").node += 1;
                wait = 1.0;
            }
        }
    }
}

/// Serves the cloud's API.
pub fn serve_cloud(world: SharedWorld) -> SocketAddr {
    http::serve(move |request| cloud_call(&world, request))
}

fn json(status: u16, body: Json) -> Answer {
    Some((status, body.to_string().into_bytes()))
}

fn cloud_call(world: &SharedWorld, request: Request) -> Answer {
    let path = request.path.split('?').next().unwrap_or("").to_string();
    let body = Json::parse(&request.body).unwrap_or(Json::Null);
    let (outage, late, late_s, lose) = {
        let guard = lock(world);
        let c = &guard.cloud;
        (c.outage, c.late, c.late_s, c.lose)
    };
    if outage {
        return json(503, obj([("error", "trouble".into())]));
    }
    let is_change = request.method == "POST";
    if is_change && chance(late) {
        let (world, wait) = (world.clone(), Duration::from_secs_f64(random() * late_s));
        std::thread::spawn(move || {
            std::thread::sleep(wait);
            cloud_execute(&mut lock(&world), &path, &request, &body);
        });
        std::thread::sleep(Duration::from_secs(3));
        return None;
    }
    let result = cloud_execute(&mut lock(world), &path, &request, &body);
    if is_change && chance(lose) {
        return None;
    }
    result
}

fn cloud_execute(world: &mut World, path: &str, request: &Request, body: &Json) -> Answer {
    match (request.method.as_str(), path) {
        ("GET", "/catalog") => {
            let groves: Vec<Json> = world
                .params
                .zones
                .iter()
                .map(|z| z.as_str().into())
                .collect();
            let breeds: Vec<Json> = world
                .params
                .breeds
                .iter()
                .map(|breed| {
                    obj([
                        ("name", breed.name.clone().into()),
                        ("cpus", breed.cpus.into()),
                        ("accelerators", 0.0.into()),
                        ("mem_gb", breed.mem_gb.into()),
                        ("cache_gb", 60.0.into()),
                        ("pull_gb_per_s", 0.8.into()),
                        ("hourly", 1.09.into()),
                        ("spot_price", 0.42.into()),
                        ("ready_s", breed.ready_s.into()),
                        ("groves", groves.clone().into()),
                    ])
                })
                .collect();
            json(200, obj([("breeds", breeds.into())]))
        }
        ("POST", "/machines") => {
            let ask = body.get("ask").str().to_string();
            if let Some(names) = world.asks.get(&ask) {
                let names: Vec<Json> = names.iter().map(|n| n.as_str().into()).collect();
                return json(200, obj([("perches", names.into())]));
            }
            let (breed, zone) = (body.get("breed").str(), body.get("grove").str());
            let spot = body.get("windfall").bool();
            let used = world
                .machines
                .values()
                .filter(|m| {
                    m.gone.is_none() && m.breed == breed && m.zone == zone && m.spot == spot
                })
                .count();
            let number = body.get("number").u64().unwrap_or(0) as usize;
            let number = number.min(world.params.capacity.saturating_sub(used));
            if number == 0 || !world.rents {
                return json(503, obj([("error", "no capacity".into())]));
            }
            let ready = world
                .params
                .breeds
                .iter()
                .find(|b| b.name == breed)
                .map_or(1.0, |b| b.ready_s);
            let mut names = Vec::new();
            for _ in 0..number {
                world.last_machine += 1;
                let id = format!("m-{:06}", world.last_machine);
                let now = Instant::now();
                let boot = Duration::from_secs_f64(ready * (0.6 + random() * 0.9));
                let machine = Machine {
                    id: id.clone(),
                    breed: breed.into(),
                    zone: zone.into(),
                    spot,
                    rented: now,
                    up_at: Some(now + boot),
                    up: false,
                    gone: None,
                    address: None,
                    flight: 1,
                    chirp: 0,
                    crest: 0,
                    warning: None,
                    lease_from: now,
                    insts: Vec::new(),
                    images: BTreeSet::new(),
                    hung: false,
                    changed: false,
                    crest_reported: 0,
                    node: (random() * 1000.0) as usize,
                };
                world.machines.insert(id.clone(), machine);
                names.push(id);
            }
            world.note(format!(
                "rented {names:?} {breed} {zone} spot {spot} by {ask}"
            ));
            world.asks.insert(ask, names.clone());
            let names: Vec<Json> = names.into_iter().map(Json::from).collect();
            json(200, obj([("perches", names.into())]))
        }
        ("POST", "/machines/delete") => {
            for name in body.get("perches").list() {
                if world
                    .machines
                    .get(name.str())
                    .is_some_and(|m| m.gone.is_none())
                {
                    world.end_machine(name.str(), "deleted");
                }
            }
            json(200, obj([]))
        }
        ("GET", "/machines") => {
            let lag = world.params.list_lag_s * (0.2 + random() * 1.7);
            let wanted = Instant::now().checked_sub(Duration::from_secs_f64(lag));
            let list = wanted
                .and_then(|wanted| world.lists.iter().rfind(|(at, _)| *at <= wanted))
                .map(|(_, list)| list.clone())
                .unwrap_or_default();
            json(
                200,
                obj([("perches", list.into()), ("truncated", false.into())]),
            )
        }
        _ => json(400, obj([])),
    }
}

/// Shares a world.
pub fn share(world: World) -> SharedWorld {
    Arc::new(std::sync::Mutex::new(world))
}
