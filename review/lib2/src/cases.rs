//! The cases of the review.

use crate::cluster::{Cluster, Site};
use crate::lock;
use crate::users::{Plan, Users};
use crate::world::{Breed, Params};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn sleep(s: f64) {
    std::thread::sleep(Duration::from_secs_f64(s));
}

/// The small deployment of the brief with three controllers: its times, rates and zones.
fn dolphin() -> Site {
    Site {
        nodes: 3,
        params: Params {
            report_s: 3.0,
            lease_s: 22.0,
            cancel_s: 42.0,
            gang_wait_s: 45.0,
            gang_peer_s: 4.0,
            list_lag_s: 6.0,
            zones: vec!["pier-a".into(), "pier-b".into(), "island-c".into()],
            breeds: vec![Breed {
                name: "deckbox".into(),
                cpus: 16.0,
                mem_gb: 128.0,
                ready_s: 5.0,
            }],
            team_cap: 400.0,
            capacity: 8,
            fetch_s: 0.5,
        },
        rps: 60.0,
        write_rps: 20.0,
        value_kb: 8.0,
        txn_ops: 12,
        next: None,
        cloud_rps: 4.0,
        teams: vec!["harbor-desk-0".into(), "harbor-desk-1".into()],
        waits: vec![("berth-sell".into(), 1.0, 0.94)],
        core_share: 0.2,
    }
}

/// A run of a case.
pub struct Run {
    pub cluster: Cluster,
    pub users: Users,
    begin: Instant,
    folder: PathBuf,
    limit_s: f64,
}

impl Run {
    pub fn start(site: Site, folder: &str) -> Run {
        let root = std::env::current_dir().expect("a folder");
        let cluster = Cluster::start(site, root, Default::default());
        let users = Users {
            world: cluster.world.clone(),
            clients: cluster.clients.clone(),
            over: Arc::new(AtomicBool::new(false)),
            poll_s: 5.0,
            copies: 0.0,
            close: false,
        };
        Run {
            cluster,
            users,
            begin: Instant::now(),
            folder: folder.into(),
            limit_s: 112.0,
        }
    }

    pub fn time_left(&self) -> f64 {
        self.limit_s - self.begin.elapsed().as_secs_f64()
    }

    /// Waits until a condition holds. Returns whether it did in time.
    pub fn wait(&self, most_s: f64, condition: impl Fn(&Run) -> bool) -> bool {
        let begin = Instant::now();
        while begin.elapsed().as_secs_f64() < most_s
            && self.begin.elapsed().as_secs_f64() < self.limit_s
        {
            if condition(self) {
                return true;
            }
            sleep(0.05);
        }
        false
    }

    /// Adds a job, and submits it at one node until it is accepted or refused.
    pub fn add(&self, plan: &Plan) {
        let mut world = lock(&self.cluster.world);
        let mut job = plan.job();
        job.submitted = true;
        world.jobs.insert(plan.id.clone(), job);
    }

    pub fn submit_at(&self, plan: &Plan, node: usize) -> bool {
        self.add(plan);
        let body = plan.body().to_string().into_bytes();
        let answer = self.users.call(node, "POST", "/v2/runs", &body, 5.0);
        let accepted = matches!(answer, Some((200 | 201, _)));
        if accepted {
            lock(&self.cluster.world)
                .jobs
                .get_mut(&plan.id)
                .expect("a job")
                .accepted = Some(Instant::now());
        }
        accepted
    }

    /// Refuses the connections between a controller and the others, or lets them pass again.
    pub fn filter(&self, node: usize, refuse: bool) {
        for other in (0..self.cluster.site_nodes).filter(|n| *n != node) {
            self.cluster.set_peers(node, other, |m| m.refuse = refuse);
            self.cluster.set_peers(other, node, |m| m.refuse = refuse);
        }
        self.cluster.note(format!(
            "connections between perch-{node} and the others refused: {refuse}"
        ));
    }

    pub fn submit(&self, plan: &Plan) -> bool {
        let nodes = self.cluster.site_nodes;
        let begin = Instant::now();
        let mut node = 0;
        while begin.elapsed().as_secs_f64() < 20.0 {
            if self.submit_at(plan, node % nodes) {
                return true;
            }
            node += 1;
            sleep(0.5);
        }
        false
    }

    pub fn done(&self, job: &str) -> u64 {
        lock(&self.cluster.world)
            .jobs
            .get(job)
            .map_or(0, |j| j.done.len() as u64)
    }

    /// Writes the record and says whether a rule was broken. The exit status.
    pub fn finish(mut self, rules: &[&str], ran: bool) -> i32 {
        self.cluster.look_for_ends();
        self.users.over.store(true, Ordering::SeqCst);
        self.cluster.end();
        let world = lock(&self.cluster.world);
        let broken: Vec<&String> = world
            .broken_rules
            .iter()
            .filter(|line| {
                rules
                    .iter()
                    .any(|rule| line.starts_with(&format!("RULE {rule}")))
            })
            .collect();
        let _ = std::fs::write(
            self.folder.join("record.txt"),
            world.record.join("\n") + "\n",
        );
        for line in broken.iter().take(5) {
            println!("{line}");
        }
        let others = world.broken_rules.len() - broken.len();
        let seconds = self.begin.elapsed().as_secs_f64();
        println!(
            "{} times broken, {others} others, ended {:?}, {seconds:.0} s",
            broken.len(),
            self.cluster.ended
        );
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.cluster.dir);
        } else {
            println!("{}", self.cluster.dir.display());
        }
        if !broken.is_empty() {
            1
        } else if ran && self.cluster.ended.is_empty() {
            0
        } else {
            println!("the case could not run");
            2
        }
    }
}

/// The milliseconds that a slow answer takes: "occasionally a few hundred".
const SLOW_MS: u64 = 300;
/// How long answers are slow in all, in seconds: less than the 80 s of the sites.
const SLOW_S: f64 = 76.0;

/// A leader is cut from the other controllers by a packet filter, again and again, while users
/// submit to it and the state service answers readings slowly.
pub fn gap(folder: &str, trouble: bool) -> i32 {
    let run = Run::start(dolphin(), folder);
    // Machines that are up, with the image.
    let mut warm = Plan::new("wk-000001", "array", 96);
    warm.run_s = 6.0;
    let ready = run.submit(&warm) && run.wait(60.0, |run| run.done("wk-000001") == 96);
    if !ready {
        return run.finish(&[], false);
    }
    sleep(3.0);
    if trouble {
        for door in &run.cluster.store.doors {
            lock(door).slow_reads_ms = SLOW_MS;
        }
        run.cluster
            .note("the state service answers readings slowly".into());
    }
    let begin = Instant::now();
    let mut number = 100;
    let mut leaders = Vec::new();
    while begin.elapsed().as_secs_f64() < SLOW_S - 11.2 && run.time_left() > 15.0 {
        let leader = run.cluster.leader().unwrap_or(0);
        leaders.push(leader);
        run.filter(leader, trouble);
        let round = Instant::now();
        while round.elapsed().as_secs_f64() < 7.6 {
            number += 1;
            let mut plan = Plan::new(&format!("wk-{number:06}"), "array", 6);
            plan.run_s = 12.0;
            plan.cpus = 0.1;
            plan.mem_gb = 0.1;
            let users = run.users.clone();
            run.add(&plan);
            std::thread::spawn(move || {
                users.call(
                    leader,
                    "POST",
                    "/v2/runs",
                    plan.body().to_string().as_bytes(),
                    5.0,
                )
            });
            sleep(0.09);
        }
        run.filter(leader, false);
        if run.wait(3.5, |run| !lock(&run.cluster.world).broken_rules.is_empty()) {
            break;
        }
    }
    for door in &run.cluster.store.doors {
        lock(door).slow_reads_ms = 0;
    }
    println!("leaders {leaders:?}");
    run.finish(&["ran_twice"], true)
}
