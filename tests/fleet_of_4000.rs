//! Four thousand machines in the real cores, without a network: start, steady reports,
//! change of leader, cold restart. What counts is counted: orders, messages and their
//! sizes, never time.

#[path = "common/settings.rs"]
mod base;

use finchwood::clock::Moment;
use finchwood::cluster::membership::owner_by_hash;
use finchwood::cluster::peer::{Envelope, PeerMessage};
use finchwood::config::settings::max_peer_message_bytes;
use finchwood::config::settings::Settings;
use finchwood::scheduler::Leader;
use finchwood::shard::{CommandCapacity, HeartbeatReply, Orders, Shard, ShardReport, Timing};
use finchwood::store::cache::StoreCache;
use finchwood::store::records::{Epoch, JobRecord, RegistryPage};
use finchwood::store::registry_pages::PageLimit;
use finchwood::wire::{Command, Heartbeat, JobSpec, TaskReport, TaskState};
use serde_json::json;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

const MACHINES: usize = 4000;
const NODES: [&str; 5] = ["a", "b", "c", "d", "e"];
const TIMING: Timing = Timing {
    report_s: 3.0,
    lease_s: 20.0,
    member_lease_s: 8.0,
};
/// Jobs, and tasks of each: one task of four CPUs for each machine of 16, and more.
const JOBS: u32 = 100;
const TASKS: u32 = 120;

/// Commands that workers were given.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
struct Given {
    questions: usize,
    starts: usize,
    stops: usize,
    reaps: usize,
}

struct Worker {
    zone: &'static str,
    session: u64,
    seq: u64,
    token: u64,
    tasks: BTreeMap<String, u64>,
}

impl Worker {
    fn report(&mut self, id: &str) -> Heartbeat {
        self.seq += 1;
        let line = |(task, attempt): (&String, &u64)| TaskReport {
            task: task.clone(),
            attempt: *attempt,
            state: TaskState::Running,
            cause: None,
            saved: None,
        };
        Heartbeat {
            machine: id.into(),
            address: id.into(),
            machine_type: "k".into(),
            zone: self.zone.into(),
            spot: false,
            session: self.session,
            seq: self.seq,
            token: self.token,
            reclaimed_in_s: None,
            tasks: self.tasks.iter().map(line).collect(),
        }
    }

    fn obey(&mut self, token: u64, calls: &[Command], given: &mut Given) {
        self.token = self.token.max(token);
        given.questions += usize::from(calls.is_empty());
        for call in calls {
            match call {
                Command::Start { task, attempt } => {
                    given.starts += 1;
                    self.tasks.insert(task.clone(), *attempt);
                }
                Command::Stop { task, .. } => {
                    given.stops += 1;
                    self.tasks.remove(task);
                }
                Command::Forget { .. } => given.reaps += 1,
            }
        }
    }
}

/// All five controllers and the fleet.
struct Fleet {
    settings: Settings,
    cache: StoreCache,
    epoch: Epoch,
    shards: Vec<Shard>,
    leader: Leader,
    workers: BTreeMap<Arc<str>, Worker>,
    largest: usize,
}

fn settings() -> Settings {
    Settings::parse(&base::SETTINGS.replace("cpus_max = 400.0", "cpus_max = 0.0"))
        .expect("settings")
}

fn catalog() -> serde_json::Value {
    json!({"breeds": [{"name": "k", "cpus": 16.0, "accelerators": 0.0, "mem_gb": 128.0, "cache_gb": 9.0,
        "pull_gb_per_s": 1.0, "hourly": 1.0, "spot_price": 0.3, "ready_s": 20.0, "groves": ["e", "w"]}]})
}

fn spec(n: u32) -> JobSpec {
    let job_kind = if n.is_multiple_of(3) {
        "standing"
    } else {
        "array"
    };
    let text = json!({"id": format!("wk-{n:06}"), "flock": "f", "nest": "t", "shape": job_kind, "rank": "standard",
        "chicks": TASKS, "cpus": 4.0, "accelerators": 0.0, "mem_gb": 8.0, "egg": "i", "size_gb": 1.0,
        "one_zone": false, "scatter": job_kind == "standing", "windfall": true, "guess_s": 600.0, "molt_s": 0.0,
        "stash_s": 0.0});
    JobSpec::parse(text.to_string().as_bytes()).expect("a job")
}

impl Fleet {
    fn new() -> Fleet {
        let settings = settings();
        let mut cache = StoreCache::new(settings.params.state.value_kb);
        cache.put("fw/c", catalog(), 1);
        let limit = settings.params.state.lowest_value_bytes();
        let mut workers = BTreeMap::new();
        let ids: Vec<Arc<str>> = (0..MACHINES).map(|i| format!("m-{i:06}").into()).collect();
        for (n, (zone, chunk)) in ids
            .chunks(PageLimit::new(limit).max_machines().min(50))
            .enumerate()
            .map(|(n, c)| (n, (["e", "w"][n % 2], c)))
        {
            let machines = chunk
                .iter()
                .map(|id| (id.clone(), Some(id.clone())))
                .collect();
            let page = json!(RegistryPage {
                machine_type: "k".into(),
                zone: zone.into(),
                spot: false,
                rented_at_ms: 0,
                machines
            });
            assert!(
                page.to_string().len() <= limit,
                "a page of {} machines",
                chunk.len()
            );
            cache.put(&format!("fw/r/page-{n}"), page, 10 + n as u64);
            for id in chunk {
                let worker = Worker {
                    zone,
                    session: 1,
                    seq: 0,
                    token: 0,
                    tasks: BTreeMap::new(),
                };
                workers.insert(id.clone(), worker);
            }
        }
        for n in 0..JOBS {
            let spec = Arc::new(spec(n));
            let record = JobRecord {
                task_count: spec.task_count,
                spec: Some(spec.clone()),
                epoch: 1,
                accepted_at_ms: 0,
                cancelled: false,
                done: false,
                cancelled_at_ms: None,
            };
            cache.put(
                &format!("fw/j/{}", spec.id),
                json!(record),
                1000 + u64::from(n),
            );
        }
        let epoch = Epoch {
            number: 0,
            members: BTreeMap::new(),
            leader: "a".into(),
            uses_shard_map: false,
        };
        let leader = Leader::new(&settings);
        let mut fleet = Fleet {
            settings,
            cache,
            epoch,
            shards: Vec::new(),
            leader,
            workers,
            largest: 0,
        };
        fleet.begin_cold(0.0);
        fleet
    }

    /// All controllers are new, and know nothing.
    fn begin_cold(&mut self, now: f64) {
        self.shards = NODES
            .iter()
            .map(|name| Shard::new(name, TIMING, HashMap::new()))
            .collect();
        self.leader = Leader::new(&self.settings);
        self.enter(now, 100 * (self.epoch.number + 1));
    }

    /// The next epoch, in which controllers have incarnations from `inc` on.
    fn enter(&mut self, now: f64, incarnation: u64) {
        self.epoch.number += 1;
        self.epoch.members = NODES
            .iter()
            .zip(incarnation..)
            .map(|(name, incarnation)| (name.to_string(), incarnation))
            .collect();
        let members = self.epoch.members.clone();
        for (name, shard) in NODES.iter().zip(&mut self.shards) {
            let owns = |id: &str| owner_by_hash(&members, id) == Some(*name);
            shard.start_epoch(self.epoch.number, members[*name], &self.cache, now, owns);
        }
        let _ = self
            .leader
            .start_epoch(&self.epoch, members[&self.epoch.leader], &self.cache);
    }

    /// A shard's report as it goes over the wire; its size counts.
    fn send(&mut self, report: ShardReport) -> usize {
        let envelope = Envelope {
            from: report.node.clone(),
            to: self.epoch.leader.clone(),
            store_reachable: true,
            peers_with_store_access: Vec::new(),
            unreachable_peers: Vec::new(),
            cancellation_notices: Vec::new(),
            message: PeerMessage::ShardReport(report),
        };
        let bytes = envelope.encode();
        self.largest = self.largest.max(bytes.len());
        let Some(Envelope {
            message: PeerMessage::ShardReport(report),
            ..
        }) = Envelope::decode(&bytes)
        else {
            panic!("it is read as it was written");
        };
        self.leader.apply_shard_report(report, &self.cache, 0.0);
        bytes.len()
    }

    /// Shards report, the leader assigns, shards place. Returns the bytes of all reports.
    fn round(&mut self, now: f64) -> usize {
        let reports: Vec<ShardReport> = self
            .shards
            .iter_mut()
            .map(|shard| shard.next_report(&self.cache, now))
            .collect();
        let bytes = reports.into_iter().map(|report| self.send(report)).sum();
        self.leader.reconcile(&self.cache, &|_| false);
        self.leader.assign_tasks(&self.cache, now, || true);
        for (name, shard) in NODES.iter().zip(&mut self.shards) {
            let orders: Orders = self.leader.orders(name).expect("orders");
            shard.apply_orders(&orders, &self.cache, now);
            shard.place_queued(
                &self.cache,
                Moment {
                    now,
                    wall_clock_ms: 0,
                },
                || true,
            );
        }
        bytes
    }

    /// Every shard asks and commands as many machines as it has room for, and all answer.
    fn direct(&mut self, now: f64) -> Given {
        let mut given = Given::default();
        for shard in &mut self.shards {
            let room = CommandCapacity {
                responsive: 20,
                unverified: 125,
            };
            for direct in shard.due_commands_within(&self.cache, now, room) {
                let worker = self.workers.get_mut(&direct.machine).expect("a worker");
                if direct.body.session == worker.session && direct.body.token >= worker.token {
                    worker.obey(direct.body.token, &direct.body.commands, &mut given);
                } else {
                    given.questions += 1;
                }
                let report = worker.report(&direct.machine);
                shard.command_completed(
                    &direct.machine,
                    &direct.body,
                    Some(&report),
                    &self.cache,
                    now,
                );
            }
        }
        given
    }

    /// Every worker reports once to its owner.
    fn reports(&mut self, now: f64) -> Given {
        let mut given = Given::default();
        let members = self.epoch.members.clone();
        for (id, worker) in &mut self.workers {
            let name = owner_by_hash(&members, id).expect("an owner");
            let shard = &mut self.shards[NODES.iter().position(|n| *n == name).expect("a node")];
            let report = worker.report(id);
            if let HeartbeatReply::Accepted { token, commands } =
                shard.apply_heartbeat(&report, false, &self.cache, now)
            {
                worker.obey(token, &commands, &mut given);
            }
        }
        given.questions = 0;
        given
    }

    fn tasks(&self) -> usize {
        self.workers.values().map(|worker| worker.tasks.len()).sum()
    }

    /// Asks until nothing is unreconciled; returns the commands and in how many turns.
    fn settle(&mut self, now: f64) -> (Given, usize) {
        let mut all = Given::default();
        for turn in 1..40 {
            let given = self.direct(now + turn as f64 * 0.05);
            self.round(now + turn as f64 * 0.05);
            all.questions += given.questions;
            all.starts += given.starts;
            all.stops += given.stops;
            all.reaps += given.reaps;
            if self.leader.is_reconciled() && self.leader.counts().unreconciled_tasks == 0 {
                return (all, turn);
            }
        }
        panic!("not reconciled: {:?}", self.leader.counts());
    }
}

#[test]
fn four_thousand_machines_start_go_on_change_leaders_and_come_back() {
    let mut fleet = Fleet::new();
    let all = (JOBS * TASKS) as usize;
    // Start: every machine is asked, then everything is placed.
    fleet.settle(0.0);
    for turn in 0..6 {
        let now = 3.0 + f64::from(turn) * 3.0;
        fleet.reports(now);
        fleet.round(now);
    }
    fleet.reports(22.0);
    fleet.round(22.0);
    assert_eq!(fleet.tasks(), all, "all of it runs");
    // Steady reports: nothing is told that has not changed, and nothing is ordered.
    fleet.reports(24.0);
    fleet.round(24.0);
    let whole = fleet.largest;
    assert_eq!(fleet.reports(26.0), Given::default());
    let steady = fleet.round(26.0);
    assert!(
        steady < MACHINES,
        "{steady} bytes of five reports in which nothing is new"
    );
    // Change of leader: the shards live on.
    fleet.largest = 0;
    fleet.epoch.leader = "b".into();
    fleet.leader = Leader::new(&fleet.settings);
    fleet.enter(27.0, fleet.epoch.members["a"]);
    let (given, turns) = fleet.settle(27.0);
    assert_eq!(
        (given.starts, given.stops, given.reaps),
        (0, 0, 0),
        "change of leader"
    );
    println!(
        "change of leader: {given:?} in {turns} turns, largest message {} bytes",
        fleet.largest
    );
    // Cold restart: nobody knows anything.
    fleet.largest = 0;
    fleet.begin_cold(30.0);
    let (given, turns) = fleet.settle(30.0);
    assert_eq!(
        (given.starts, given.stops, given.reaps),
        (0, 0, 0),
        "cold restart"
    );
    assert!(
        given.questions <= 3 * MACHINES,
        "{} questions",
        given.questions
    );
    println!(
        "cold restart: {given:?}, {:.2} orders for each of {all} adopted tasks, in {turns} turns, largest message {} bytes",
        given.questions as f64 / all as f64,
        fleet.largest
    );
    // Two of five hold all: their messages still fit.
    let biggest = fleet.largest.max(whole) * 5 / 2;
    let limit = max_peer_message_bytes(fleet.settings.params.machine_limits.ram_mb);
    assert!(biggest < limit, "{biggest} bytes of {limit}");
    fleet.reports(33.0);
    fleet.round(33.0);
    assert_eq!(fleet.reports(36.0), Given::default());
    assert_eq!(fleet.tasks(), all, "and all of it runs on");
}

/// One controller holds all, as after the loss of the others: its shard's full report is
/// longer than any bound that doesn't follow from the settings.
#[test]
fn the_whole_of_a_large_part_is_within_what_a_controller_takes() {
    let mut fleet = Fleet::new();
    let mut shard = Shard::new("a", TIMING, HashMap::new());
    shard.start_epoch(1, 100, &fleet.cache, 0.0, |_| true);
    let token = 1 << 24;
    for (n, (id, worker)) in fleet.workers.iter_mut().enumerate() {
        // Machines of 64 CPUs hold as many tasks of two.
        worker.tasks = (0..32)
            .map(|i| {
                (
                    format!("wk-{:06}/{}", n % JOBS as usize, n / 100 * 32 + i),
                    5,
                )
            })
            .collect();
        worker.token = token;
        let report = worker.report(id);
        assert!(matches!(
            shard.apply_heartbeat(&report, false, &fleet.cache, 0.1),
            HeartbeatReply::Accepted { .. }
        ));
    }
    let report = shard.next_report(&fleet.cache, 0.2);
    assert_eq!(report.assigned.len(), 32 * MACHINES);
    let bytes = fleet.send(report);
    let limit = max_peer_message_bytes(136.0);
    println!("{bytes} bytes of {limit} for {MACHINES} machines with 32 tasks each");
    assert!(bytes < limit && bytes > 2 << 20, "{bytes} of {limit}");
}
