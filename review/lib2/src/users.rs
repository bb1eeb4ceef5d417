//! Stand-ins for the users: they submit, ask and cancel through any node, and check the answers.

use crate::http;
use crate::json::{obj, Json};
use crate::world::{Job, SharedWorld};
use crate::{lock, random};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A job that a user will submit.
#[derive(Clone)]
pub struct Plan {
    pub id: String,
    pub shape: &'static str,
    pub rank: &'static str,
    pub nest: String,
    pub flock: &'static str,
    pub chicks: u64,
    pub cpus: f64,
    pub mem_gb: f64,
    pub run_s: f64,
    pub one_zone: bool,
    pub scatter: bool,
    pub spot: bool,
    pub broken: bool,
    /// Seconds after the submission.
    pub cancel_s: Option<f64>,
    pub egg: String,
    pub breeds: Option<String>,
    pub grove: Option<String>,
    /// Whether tasks save when they are stopped.
    pub saves: bool,
}

impl Plan {
    pub fn new(id: &str, shape: &'static str, chicks: u64) -> Plan {
        Plan {
            id: id.into(),
            shape,
            rank: "standard",
            nest: "harbor-desk-0".into(),
            flock: "fare-batch",
            chicks,
            cpus: 2.0,
            mem_gb: 4.0,
            run_s: 4.0,
            one_zone: false,
            scatter: false,
            spot: false,
            broken: false,
            cancel_s: None,
            egg: "img-00".into(),
            breeds: None,
            grove: None,
            saves: false,
        }
    }

    pub fn body(&self) -> Json {
        let optional =
            |value: &Option<String>| value.as_ref().map_or(Json::Null, |v| v.clone().into());
        let breeds = self
            .breeds
            .as_ref()
            .map_or(Json::Null, |b| Json::List(vec![b.clone().into()]));
        obj([
            ("id", self.id.clone().into()),
            ("flock", self.flock.into()),
            ("nest", self.nest.clone().into()),
            ("shape", self.shape.into()),
            ("rank", self.rank.into()),
            ("chicks", self.chicks.into()),
            ("cpus", self.cpus.into()),
            ("accelerators", 0.0.into()),
            ("mem_gb", self.mem_gb.into()),
            ("egg", self.egg.clone().into()),
            ("size_gb", 1.0.into()),
            ("breeds", breeds),
            ("grove", optional(&self.grove)),
            ("one_zone", self.one_zone.into()),
            ("scatter", self.scatter.into()),
            ("windfall", self.spot.into()),
            (
                "guess_s",
                if self.shape == "standing" {
                    0.0
                } else {
                    self.run_s
                }
                .into(),
            ),
            ("molt_s", if self.saves { 5.0 } else { 0.0 }.into()),
            ("stash_s", if self.saves { 2.0 } else { 0.0 }.into()),
            (
                "dusk_s",
                if self.shape == "array" {
                    (self.run_s * 3.0 + 10.0).into()
                } else {
                    Json::Null
                },
            ),
        ])
    }

    pub fn job(&self) -> Job {
        Job {
            spec: self.body(),
            nest: self.nest.clone(),
            gang: self.shape == "ensemble",
            standing: self.shape == "standing",
            chicks: self.chicks,
            cpus: self.cpus,
            run_s: self.run_s,
            broken: self.broken,
            submitted: false,
            accepted: None,
            cancel_asked: false,
            cancel_told: None,
            done_told: None,
            done: BTreeSet::new(),
        }
    }
}

#[derive(Clone)]
pub struct Users {
    pub world: SharedWorld,
    pub clients: Vec<SocketAddr>,
    pub over: Arc<AtomicBool>,
    pub poll_s: f64,
    /// Share of submissions and cancellations of which a copy arrives late.
    pub copies: f64,
    /// Whether to ask at all nodes right after each answer.
    pub close: bool,
}

impl Users {
    fn node(&self) -> usize {
        (random() * self.clients.len() as f64) as usize % self.clients.len()
    }

    pub fn call(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: f64,
    ) -> Option<(u16, Json)> {
        let begin = Instant::now();
        let answer = http::call(
            self.clients[node],
            method,
            path,
            body,
            Duration::from_secs_f64(timeout),
        );
        let answer =
            answer.map(|(status, body)| (status, Json::parse(&body).unwrap_or(Json::Null)));
        let mut guard = lock(&self.world);
        let shown = answer
            .as_ref()
            .map(|(status, body)| format!("{status} {body}"));
        guard.note(format!(
            "user {method} {path} at perch-{node}: {} after {:.3}",
            shown.unwrap_or("no answer".into()),
            begin.elapsed().as_secs_f64()
        ));
        answer
    }

    fn over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    fn sleep(&self, seconds: f64) {
        let until = Instant::now() + Duration::from_secs_f64(seconds);
        while Instant::now() < until && !self.over() {
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Follows one job from its submission to the end of the run.
    pub fn follow(&self, plan: &Plan) {
        let body = plan.body().to_string().into_bytes();
        lock(&self.world)
            .jobs
            .get_mut(&plan.id)
            .expect("a job")
            .submitted = true;
        let begin = Instant::now();
        let mut accepted = false;
        while !self.over() && begin.elapsed().as_secs_f64() < 60.0 {
            let node = self.node();
            let answer = self.call(node, "POST", "/v2/runs", &body, 5.0);
            if random() < self.copies {
                let (users, body) = (self.clone(), body.clone());
                std::thread::spawn(move || {
                    users.sleep(random() * 20.0);
                    users.call(node, "POST", "/v2/runs", &body, 5.0);
                });
            }
            match answer {
                Some((200 | 201, body)) => {
                    accepted = true;
                    lock(&self.world)
                        .jobs
                        .get_mut(&plan.id)
                        .expect("a job")
                        .accepted = Some(Instant::now());
                    self.check(plan, &body);
                    if self.close {
                        self.look_closely(plan);
                    }
                    break;
                }
                Some((400 | 422, body)) => {
                    lock(&self.world).note(format!("rejected {} {body}", plan.id));
                    return;
                }
                _ => self.sleep(1.0),
            }
        }
        if !accepted {
            return;
        }
        let path = format!("/v2/runs/{}", plan.id);
        let accepted_at = Instant::now();
        while !self.over() {
            let told = {
                let guard = lock(&self.world);
                let job = &guard.jobs[&plan.id];
                job.cancel_told.is_some() || job.done_told.is_some()
            };
            let cancel_due = plan
                .cancel_s
                .is_some_and(|s| accepted_at.elapsed().as_secs_f64() > s);
            if cancel_due && !told {
                lock(&self.world)
                    .jobs
                    .get_mut(&plan.id)
                    .expect("a job")
                    .cancel_asked = true;
                let node = self.node();
                let answer = self.call(node, "POST", &format!("{path}/withdraw"), b"", 5.0);
                match answer {
                    Some((200, body)) => {
                        self.check(plan, &body);
                        if self.close {
                            self.look_closely(plan);
                        }
                    }
                    Some((404, _)) => lock(&self.world)
                        .broken("forgotten", format!("withdraw {} at {node}", plan.id)),
                    _ => self.sleep(1.0),
                }
                continue;
            }
            match self.call(self.node(), "GET", &path, b"", 2.0) {
                Some((200, body)) => self.check(plan, &body),
                Some((404, _)) => {
                    lock(&self.world).broken("forgotten", format!("{} gets 404", plan.id))
                }
                _ => {}
            }
            if random() < 0.1 {
                match self.call(self.node(), "POST", "/v2/runs", &body, 5.0) {
                    Some((200 | 201, body)) => self.check(plan, &body),
                    Some((status @ (400 | 422), _)) => lock(&self.world)
                        .broken("forgotten", format!("repeat of {} gets {status}", plan.id)),
                    _ => {}
                }
            }
            let pause = self.poll_s * (0.5 + random());
            let left = plan.cancel_s.map_or(pause, |s| {
                (s - accepted_at.elapsed().as_secs_f64()).max(0.0)
            });
            self.sleep(if told {
                pause
            } else {
                pause.min(left.max(0.05))
            });
        }
    }

    /// Asks at all nodes at once, some milliseconds after an answer. Each answer must be as new
    /// as what was told before it was asked for.
    pub fn look_closely(&self, plan: &Plan) {
        for node in 0..self.clients.len() {
            let (users, plan) = (self.clone(), plan.clone());
            std::thread::spawn(move || {
                for round in 0..3 {
                    let told = {
                        let guard = lock(&users.world);
                        let job = &guard.jobs[&plan.id];
                        (job.done_told.is_some(), job.cancel_told.is_some())
                    };
                    let path = format!("/v2/runs/{}", plan.id);
                    let repeat = round == 1;
                    let answer = if repeat {
                        users.call(
                            node,
                            "POST",
                            "/v2/runs",
                            plan.body().to_string().as_bytes(),
                            5.0,
                        )
                    } else {
                        users.call(node, "GET", &path, b"", 2.0)
                    };
                    let mood = answer
                        .as_ref()
                        .map(|(_, body)| body.get("mood").str().to_string());
                    let old = match (&answer, mood.as_deref()) {
                        (Some((404, _)), _) => true,
                        (Some((400 | 422, _)), _) => repeat,
                        (Some((200 | 201, _)), Some(mood)) => {
                            told.0 && mood != "done" || told.1 && mood != "cancelled"
                        }
                        _ => false,
                    };
                    if old {
                        lock(&users.world).broken(
                            "went_back",
                            format!("{} at {node}: {answer:?} after {told:?}", plan.id),
                        );
                    }
                }
            });
        }
    }

    /// Checks an answer about an accepted job.
    fn check(&self, plan: &Plan, body: &Json) {
        let mood = body.get("mood").str().to_string();
        let mut guard = lock(&self.world);
        let job = guard.jobs.get_mut(&plan.id).expect("a job");
        let mut wrong = Vec::new();
        if job.done_told.is_some() && mood != "done"
            || job.cancel_told.is_some() && mood != "cancelled"
        {
            wrong.push(("went_back", format!("{} is {mood}", plan.id)));
        }
        match mood.as_str() {
            "done" => {
                if (job.done.len() as u64) < job.chicks {
                    wrong.push((
                        "not_done",
                        format!("{} has {} of {}", plan.id, job.done.len(), job.chicks),
                    ));
                }
                job.done_told.get_or_insert_with(Instant::now);
            }
            "cancelled" => {
                if !job.cancel_asked {
                    wrong.push(("went_back", format!("{} was not cancelled", plan.id)));
                }
                job.cancel_told.get_or_insert_with(Instant::now);
            }
            "pending" | "running" => {}
            _ => wrong.push(("went_back", format!("{} is {body}", plan.id))),
        }
        if body.get("id").str() != plan.id {
            wrong.push(("invented", format!("{} gets {body}", plan.id)));
        }
        for (rule, text) in wrong {
            guard.broken(rule, text);
        }
    }

    /// Asks about jobs that nobody has submitted.
    pub fn ask_strangers(&self) {
        let mut number = 0;
        while !self.over() {
            number += 1;
            let path = format!("/v2/runs/wk-9{number:05}");
            if let Some((200, body)) = self.call(self.node(), "GET", &path, b"", 2.0) {
                lock(&self.world).broken("invented", format!("{path} gets {body}"));
            }
            self.sleep(3.0);
        }
    }
}
