//! Controllers as processes, started with the command of the deploy file, and the ways between
//! them.

use crate::http::{self, Answer, Request};
use crate::store::{Limits, Store};
use crate::world::{self, Params, SharedWorld, World};
use crate::{chance, lock, random, Shared};
use std::collections::{BTreeSet, HashMap};
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The settings of a deployment.
pub struct Site {
    pub nodes: usize,
    pub params: Params,
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    pub next: Option<(f64, f64, usize)>,
    pub cloud_rps: f64,
    pub teams: Vec<String>,
    /// Class, seconds and share of the aims at start.
    pub waits: Vec<(String, f64, f64)>,
    pub core_share: f64,
}

/// What happens on the way from one controller to another.
#[derive(Clone, Default, Debug)]
pub struct PeerMode {
    pub refuse: bool,
    pub hold: bool,
    /// Share of the messages of which a copy arrives late.
    pub copies: f64,
    pub late_s: f64,
    /// Share of the messages that get no answer.
    pub lose: f64,
    pub slow_ms: u64,
    /// Messages that came.
    pub passed: u64,
}

pub struct Cluster {
    pub site_nodes: usize,
    pub world: SharedWorld,
    pub store: Arc<Store>,
    pub peers: Vec<Vec<Shared<PeerMode>>>,
    pub clients: Vec<SocketAddr>,
    children: Vec<Option<Child>>,
    configs: Vec<PathBuf>,
    pub dir: PathBuf,
    run: Vec<String>,
    pub stopped: BTreeSet<usize>,
    root: PathBuf,
    /// The program of an earlier version, and the nodes that run it.
    pub earlier: Option<PathBuf>,
    pub is_earlier: Vec<bool>,
    /// Processes that ended by themselves.
    pub ended: Vec<String>,
}

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

/// Returns a free port below the range of ephemeral ports, of a range for this process alone.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let base = 10_000 + (std::process::id() % 200) as u16 * 100;
    loop {
        let port = base + NEXT.fetch_add(1, Ordering::SeqCst) % 100;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("an address");
        }
    }
}

/// Reads the command that starts the service from the deploy file.
fn run_command(root: &std::path::Path) -> Vec<String> {
    let text = std::fs::read_to_string(root.join("deploy/service.toml")).expect("the deploy file");
    let line = text
        .lines()
        .find(|line| line.trim_start().starts_with("run"))
        .expect("a run line");
    let command = line.split('"').nth(1).expect("a command");
    command.split_whitespace().map(String::from).collect()
}

fn peer_gate(target: SocketAddr, mode: Shared<PeerMode>) -> SocketAddr {
    http::serve(move |request: Request| -> Answer {
        lock(&mode).passed += 1;
        let now = lock(&mode).clone();
        if now.refuse {
            return None;
        }
        if now.slow_ms > 0 {
            std::thread::sleep(Duration::from_millis(
                (now.slow_ms as f64 * random() * 2.0) as u64,
            ));
        }
        while lock(&mode).hold {
            std::thread::sleep(Duration::from_millis(10));
        }
        let timeout = Duration::from_secs(10);
        if chance(now.copies) {
            let wait = Duration::from_secs_f64(random() * now.late_s);
            let (method, path, body) = (
                request.method.clone(),
                request.path.clone(),
                request.body.clone(),
            );
            std::thread::spawn(move || {
                std::thread::sleep(wait);
                http::call(target, &method, &path, &body, timeout);
            });
        }
        let answer = http::call(
            target,
            &request.method,
            &request.path,
            &request.body,
            timeout,
        );
        if chance(now.lose) {
            return None;
        }
        answer
    })
}

impl Cluster {
    pub fn start(
        site: Site,
        root: PathBuf,
        jobs_known: HashMap<String, crate::world::Job>,
    ) -> Cluster {
        let dir = std::env::temp_dir().join(format!(
            "fw-review-{}-{:08x}",
            std::process::id(),
            (random() * 4e9) as u64
        ));
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        let nodes = site.nodes;
        let clients: Vec<SocketAddr> = (0..nodes).map(|_| free_address()).collect();
        let backs: Vec<SocketAddr> = (0..nodes).map(|_| free_address()).collect();
        let names: Vec<String> = (0..nodes).map(|n| format!("perch-{n}")).collect();
        let limits = Limits {
            value_bytes: (site.next.map_or(site.value_kb, |n| n.1) * 1024.0) as usize,
            txn_ops: site.next.map_or(site.txn_ops, |n| n.2),
            rps: site.rps,
            write_rps: site.next.map_or(site.write_rps, |n| n.0),
        };
        let (store, doors) = Store::start(nodes, limits);
        let peers: Vec<Vec<Shared<PeerMode>>> = (0..nodes)
            .map(|_| (0..nodes).map(|_| Shared::default()).collect())
            .collect();
        let zones = site.params.zones.clone();
        let (report_s, lease_s, cancel_s) = (
            site.params.report_s,
            site.params.lease_s,
            site.params.cancel_s,
        );
        let (gang_wait_s, gang_peer_s) = (site.params.gang_wait_s, site.params.gang_peer_s);
        let (lag, cap) = (site.params.list_lag_s, site.params.team_cap);
        let world = world::share(World {
            params: site.params,
            jobs: jobs_known,
            machines: Default::default(),
            asks: Default::default(),
            last_machine: 0,
            broken_rules: Vec::new(),
            record: Vec::new(),
            begin: Instant::now(),
            nodes: clients.clone(),
            names: names.clone(),
            faults: Default::default(),
            cloud: Default::default(),
            lists: Vec::new(),
            starts: 0,
            cancel_seen: Default::default(),
            rents: true,
        });
        let cloud = world::serve_cloud(world.clone());
        world::start_clock(world.clone());
        let mut configs = Vec::new();
        for node in 0..nodes {
            let mut text = format!(
                "node_name = \"{}\"\nzone = \"{}\"\nclient_listen = \"{}\"\nback = \"{}\"\n",
                names[node],
                zones[node % zones.len()],
                clients[node],
                backs[node]
            );
            for peer in (0..nodes).filter(|p| *p != node) {
                let gate = peer_gate(backs[peer], peers[node][peer].clone());
                text += &format!(
                    "[[members]]\nnode_name = \"{}\"\nzone = \"{}\"\nendpoint = \"{gate}\"\n",
                    names[peer],
                    zones[peer % zones.len()]
                );
            }
            text += &format!(
                "[services]\ncloud = \"{cloud}\"\nstate = \"{}\"\n[params]\ninitial_size = {nodes}\nzones = {zones:?}\ntime_bound_ms = 1000.0\n",
                doors[node]
            );
            for team in &site.teams {
                text += &format!("[[params.teams]]\nname = \"{team}\"\ncpus = {:?}\ncpus_max = {cap:?}\ngpus = 0.0\ngpus_max = 0.0\n", cap / 2.0);
            }
            for (class, within, share) in &site.waits {
                text += &format!("[[params.objectives]]\nkind = \"wait\"\nclass = \"{class}\"\nwithin_s = {within:?}\nshare = {share:?}\n");
            }
            text += &format!(
                "[params.workers]\nreport_s = {report_s:?}\nlease_s = {lease_s:?}\ncancel_s = {cancel_s:?}\ngang_wait_s = {gang_wait_s:?}\ngang_peer_s = {gang_peer_s:?}\n\
                 [params.state]\nrps = {:?}\nwrite_rps = {:?}\nvalue_kb = {:?}\ntxn_ops = {}\n",
                site.rps, site.write_rps, site.value_kb, site.txn_ops
            );
            if let Some((write_rps, value_kb, txn_ops)) = site.next {
                text += &format!("[params.state.next]\nwrite_rps = {write_rps:?}\nvalue_kb = {value_kb:?}\ntxn_ops = {txn_ops}\n");
            }
            text += &format!(
                "[params.cloud]\nrps = {:?}\nlist_lag_s = {lag:?}\n[params.machine_limits]\ncore_share = {:?}\nram_mb = 136.0\nmax_connections = 2500\n",
                site.cloud_rps, site.core_share
            );
            let path = dir.join(format!("{}.toml", names[node]));
            std::fs::write(&path, text).expect("a settings file");
            configs.push(path);
        }
        let mut cluster = Cluster {
            site_nodes: nodes,
            world,
            store,
            peers,
            clients,
            children: (0..nodes).map(|_| None).collect(),
            configs,
            dir,
            run: run_command(&root),
            stopped: BTreeSet::new(),
            root,
            earlier: std::env::var("FW_EARLIER").ok().map(PathBuf::from),
            is_earlier: vec![std::env::var("FW_EARLIER").is_ok(); nodes],
            ended: Vec::new(),
        };
        for node in 0..nodes {
            cluster.start_node(node);
        }
        let (store, world) = (cluster.store.clone(), cluster.world.clone());
        std::thread::spawn(move || {
            let mut last = String::new();
            loop {
                std::thread::sleep(Duration::from_millis(20));
                let epoch = lock(&store.data)
                    .entries
                    .get("fw/epoch")
                    .map(|e| e.value.to_string());
                if let Some(epoch) = epoch.filter(|e| *e != last) {
                    lock(&world).note(format!("epoch {epoch}"));
                    last = epoch;
                }
            }
        });
        cluster
    }

    pub fn note(&self, text: String) {
        lock(&self.world).note(text);
    }

    pub fn start_node(&mut self, node: usize) {
        if self.children[node].is_some() {
            return;
        }
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("perch-{node}.log")))
            .expect("a log file");
        let earlier = self.earlier.as_ref().filter(|_| self.is_earlier[node]);
        let (program, arguments) = match earlier {
            Some(program) => (program.clone(), vec!["--config".to_string()]),
            None => (self.root.join(&self.run[0]), self.run[1..].to_vec()),
        };
        let child = Command::new(program)
            .args(&arguments)
            .arg(&self.configs[node])
            .current_dir(&self.root)
            .env(
                "LOG_LEVEL",
                std::env::var("FW_LOG").unwrap_or("info".into()),
            )
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("a controller");
        self.note(format!("node perch-{node} starts, process {}", child.id()));
        self.children[node] = Some(child);
    }

    pub fn kill_node(&mut self, node: usize) {
        self.resume_node(node);
        if let Some(mut child) = self.children[node].take() {
            let _ = child.kill();
            let _ = child.wait();
            self.note(format!("node perch-{node} is killed"));
        }
    }

    fn signal(&self, node: usize, signal: i32) {
        if let Some(child) = &self.children[node] {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn stop_node(&mut self, node: usize) {
        if self.children[node].is_some() {
            self.signal(node, SIGSTOP);
            self.stopped.insert(node);
            self.note(format!("node perch-{node} stands still"));
        }
    }

    pub fn resume_node(&mut self, node: usize) {
        if self.stopped.remove(&node) {
            self.signal(node, SIGCONT);
            self.note(format!("node perch-{node} goes on"));
        }
    }

    /// The processor time that a controller has used, in seconds.
    pub fn cpu_s(&self, node: usize) -> f64 {
        let Some(child) = &self.children[node] else {
            return 0.0;
        };
        let text =
            std::fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap_or_default();
        let fields: Vec<&str> = text
            .rsplit(')')
            .next()
            .unwrap_or("")
            .split_whitespace()
            .collect();
        let ticks = |at: usize| {
            fields
                .get(at)
                .and_then(|f| f.parse::<f64>().ok())
                .unwrap_or(0.0)
        };
        (ticks(11) + ticks(12)) / 100.0
    }

    /// The memory that a controller holds, in MiB.
    pub fn memory_mb(&self, node: usize) -> f64 {
        let Some(child) = &self.children[node] else {
            return 0.0;
        };
        let text =
            std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = text
            .lines()
            .find(|line| line.starts_with("VmRSS:"))
            .unwrap_or("");
        line.split_whitespace()
            .nth(1)
            .and_then(|kb| kb.parse::<f64>().ok())
            .unwrap_or(0.0)
            / 1024.0
    }

    pub fn is_up(&self, node: usize) -> bool {
        self.children[node].is_some()
    }

    /// Looks for processes that ended by themselves.
    pub fn look_for_ends(&mut self) {
        for node in 0..self.site_nodes {
            if let Some(child) = self.children[node].as_mut() {
                if let Ok(Some(status)) = child.try_wait() {
                    self.ended
                        .push(format!("perch-{node} ended by itself: {status}"));
                    self.children[node] = None;
                    lock(&self.world)
                        .note(format!("RULE ends: perch-{node} ended by itself: {status}"));
                }
            }
        }
    }

    /// Name of the leader by the stored epoch.
    pub fn leader(&self) -> Option<usize> {
        let data = lock(&self.store.data);
        let epoch = &data.entries.get("fw/epoch")?.value;
        epoch
            .get("leader")
            .str()
            .strip_prefix("perch-")?
            .parse()
            .ok()
    }

    pub fn set_peers(&self, from: usize, to: usize, change: impl Fn(&mut PeerMode)) {
        change(&mut lock(&self.peers[from][to]));
    }

    pub fn end(&mut self) {
        for node in 0..self.site_nodes {
            self.kill_node(node);
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.end();
    }
}
