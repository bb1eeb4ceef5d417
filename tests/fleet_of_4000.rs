//! The shards and the leader of five controllers with 4000 machines, without a network,
//! threads or processes: a first start, steady operation, a change of leader and a cold
//! restart. The tests limit the numbers of commands and the sizes of messages, never
//! durations.

#[path = "common/settings.rs"]
mod settings_text;

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

/// The number of machines.
const MACHINES: usize = 4000;
/// The names of the controllers.
const CONTROLLERS: [&str; 5] = ["a", "b", "c", "d", "e"];
const TIMING: Timing = Timing {
    report_s: 3.0,
    lease_s: 20.0,
    member_lease_s: 8.0,
};
/// The number of jobs.
const JOBS: u32 = 100;
/// The number of tasks of each job. A task needs 4 of the 16 CPUs of a machine; all jobs
/// together have three tasks for each machine.
const TASKS: u32 = 120;

/// The numbers of commands sent to workers.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
struct CommandCounts {
    /// Empty direct commands, and direct commands that the worker refused: it responds to
    /// either with its state and carries out nothing.
    probes: usize,
    starts: usize,
    stops: usize,
    forgets: usize,
}

/// The worker of one machine.
struct Worker {
    zone: &'static str,
    session: u64,
    /// The sequence number of the last heartbeat.
    seq: u64,
    /// The highest fencing token received.
    token: u64,
    /// The running tasks and their attempts.
    tasks: BTreeMap<String, u64>,
}

impl Worker {
    /// Returns the next heartbeat, in which all tasks are running. `id` is the machine's.
    fn next_heartbeat(&mut self, id: &str) -> Heartbeat {
        self.seq += 1;
        let task_report = |(task, attempt): (&String, &u64)| TaskReport {
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
            tasks: self.tasks.iter().map(task_report).collect(),
        }
    }

    /// Accepts a fencing token, carries out the commands and counts them.
    fn execute(&mut self, token: u64, commands: &[Command], counts: &mut CommandCounts) {
        self.token = self.token.max(token);
        counts.probes += usize::from(commands.is_empty());
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    counts.starts += 1;
                    self.tasks.insert(task.clone(), *attempt);
                }
                Command::Stop { task, .. } => {
                    counts.stops += 1;
                    self.tasks.remove(task);
                }
                Command::Forget { .. } => counts.forgets += 1,
            }
        }
    }
}

/// The shards of all controllers, the leader and the workers of all machines.
struct SimulatedCluster {
    settings: Settings,
    cache: StoreCache,
    epoch: Epoch,
    shards: Vec<Shard>,
    leader: Leader,
    workers: BTreeMap<Arc<str>, Worker>,
    /// The size of the largest message to the leader, in bytes.
    largest_message: usize,
}

/// Returns settings without a CPU limit for the team.
fn settings() -> Settings {
    Settings::parse(&settings_text::SETTINGS.replace("cpus_max = 400.0", "cpus_max = 0.0"))
        .expect("settings")
}

/// Returns the stored catalog, which has one machine type.
fn catalog() -> serde_json::Value {
    json!({"breeds": [{"name": "k", "cpus": 16.0, "accelerators": 0.0, "mem_gb": 128.0, "cache_gb": 9.0,
        "pull_gb_per_s": 1.0, "hourly": 1.0, "spot_price": 0.3, "ready_s": 20.0, "groves": ["e", "w"]}]})
}

/// Returns the specification of job `number`. Every third job is a service that is spread over
/// zones, the others are arrays.
fn spec(number: u32) -> JobSpec {
    let job_kind = if number.is_multiple_of(3) {
        "standing"
    } else {
        "array"
    };
    let text = json!({"id": format!("wk-{number:06}"), "flock": "f", "nest": "t", "shape": job_kind, "rank": "standard",
        "chicks": TASKS, "cpus": 4.0, "accelerators": 0.0, "mem_gb": 8.0, "egg": "i", "size_gb": 1.0,
        "one_zone": false, "scatter": job_kind == "standing", "windfall": true, "guess_s": 600.0, "molt_s": 0.0,
        "stash_s": 0.0});
    JobSpec::parse(text.to_string().as_bytes()).expect("a job")
}

impl SimulatedCluster {
    /// Creates a cluster that has just started: the store holds the machine registry and the
    /// jobs, and no task runs.
    fn new() -> SimulatedCluster {
        let settings = settings();
        let mut cache = StoreCache::new(settings.params.state.value_kb);
        cache.put("fw/c", catalog(), 1);
        let limit = settings.params.state.lowest_value_bytes();
        let mut workers = BTreeMap::new();
        let machine_ids: Vec<Arc<str>> =
            (0..MACHINES).map(|i| format!("m-{i:06}").into()).collect();
        for (page_number, (zone, chunk)) in machine_ids
            .chunks(PageLimit::new(limit).max_machines().min(50))
            .enumerate()
            .map(|(page_number, chunk)| (page_number, (["e", "w"][page_number % 2], chunk)))
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
            cache.put(
                &format!("fw/r/page-{page_number}"),
                page,
                10 + page_number as u64,
            );
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
        for number in 0..JOBS {
            let spec = Arc::new(spec(number));
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
                1000 + u64::from(number),
            );
        }
        let epoch = Epoch {
            number: 0,
            members: BTreeMap::new(),
            leader: "a".into(),
            uses_shard_map: false,
        };
        let leader = Leader::new(&settings);
        let mut cluster = SimulatedCluster {
            settings,
            cache,
            epoch,
            shards: Vec::new(),
            leader,
            workers,
            largest_message: 0,
        };
        cluster.restart_controllers(0.0);
        cluster
    }

    /// Restarts all controllers without state.
    fn restart_controllers(&mut self, now: f64) {
        self.shards = CONTROLLERS
            .iter()
            .map(|name| Shard::new(name, TIMING, HashMap::new()))
            .collect();
        self.leader = Leader::new(&self.settings);
        self.start_epoch(now, 100 * (self.epoch.number + 1));
    }

    /// Starts the next epoch, in which the controllers have consecutive incarnations, the
    /// first of them `first_incarnation`.
    fn start_epoch(&mut self, now: f64, first_incarnation: u64) {
        self.epoch.number += 1;
        self.epoch.members = CONTROLLERS
            .iter()
            .zip(first_incarnation..)
            .map(|(name, incarnation)| (name.to_string(), incarnation))
            .collect();
        let members = self.epoch.members.clone();
        for (name, shard) in CONTROLLERS.iter().zip(&mut self.shards) {
            let owns = |id: &str| owner_by_hash(&members, id) == Some(*name);
            shard.start_epoch(self.epoch.number, members[*name], &self.cache, now, owns);
        }
        let _ = self
            .leader
            .start_epoch(&self.epoch, members[&self.epoch.leader], &self.cache);
    }

    /// Encodes a shard's report, decodes it and applies it at the leader. Returns the size of
    /// the message in bytes.
    fn send_report(&mut self, report: ShardReport) -> usize {
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
        self.largest_message = self.largest_message.max(bytes.len());
        let Some(Envelope {
            message: PeerMessage::ShardReport(report),
            ..
        }) = Envelope::decode(&bytes)
        else {
            panic!("an encoded shard report is not decoded as one");
        };
        self.leader.apply_shard_report(report, &self.cache, 0.0);
        bytes.len()
    }

    /// Runs a scheduling round: the shards report, the leader assigns tasks to the shards, and
    /// the shards place them on machines. Returns the size of all reports in bytes.
    fn run_round(&mut self, now: f64) -> usize {
        let reports: Vec<ShardReport> = self
            .shards
            .iter_mut()
            .map(|shard| shard.next_report(&self.cache, now))
            .collect();
        let bytes = reports
            .into_iter()
            .map(|report| self.send_report(report))
            .sum();
        self.leader.reconcile(&self.cache, &|_| false);
        self.leader.assign_tasks(&self.cache, now, || true);
        for (name, shard) in CONTROLLERS.iter().zip(&mut self.shards) {
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

    /// Sends the direct commands that are due, as many as each shard has capacity for, and
    /// applies the workers' responses. Returns the numbers of commands.
    fn exchange_direct_commands(&mut self, now: f64) -> CommandCounts {
        let mut counts = CommandCounts::default();
        for shard in &mut self.shards {
            let capacity = CommandCapacity {
                responsive: 20,
                unverified: 125,
            };
            for command in shard.due_commands_within(&self.cache, now, capacity) {
                let worker = self.workers.get_mut(&command.machine).expect("a worker");
                if command.body.session == worker.session && command.body.token >= worker.token {
                    worker.execute(command.body.token, &command.body.commands, &mut counts);
                } else {
                    counts.probes += 1;
                }
                let response = worker.next_heartbeat(&command.machine);
                shard.command_completed(
                    &command.machine,
                    &command.body,
                    Some(&response),
                    &self.cache,
                    now,
                );
            }
        }
        counts
    }

    /// Lets every worker send a heartbeat to its machine's owner and carry out the commands in
    /// the response. Returns the numbers of commands; a response without commands is not a
    /// probe.
    fn exchange_heartbeats(&mut self, now: f64) -> CommandCounts {
        let mut counts = CommandCounts::default();
        let members = self.epoch.members.clone();
        for (id, worker) in &mut self.workers {
            let owner = owner_by_hash(&members, id).expect("an owner");
            let shard = &mut self.shards[CONTROLLERS
                .iter()
                .position(|controller| *controller == owner)
                .expect("a controller")];
            let heartbeat = worker.next_heartbeat(id);
            if let HeartbeatReply::Accepted { token, commands } =
                shard.apply_heartbeat(&heartbeat, false, &self.cache, now)
            {
                worker.execute(token, &commands, &mut counts);
            }
        }
        counts.probes = 0;
        counts
    }

    /// Returns the number of running tasks.
    fn running_tasks(&self) -> usize {
        self.workers.values().map(|worker| worker.tasks.len()).sum()
    }

    /// Exchanges direct commands and runs scheduling rounds until all machines and tasks are
    /// reconciled. Returns the numbers of commands and of rounds.
    fn reconcile_all(&mut self, now: f64) -> (CommandCounts, usize) {
        let mut total = CommandCounts::default();
        for round in 1..40 {
            let counts = self.exchange_direct_commands(now + round as f64 * 0.05);
            self.run_round(now + round as f64 * 0.05);
            total.probes += counts.probes;
            total.starts += counts.starts;
            total.stops += counts.stops;
            total.forgets += counts.forgets;
            if self.leader.is_reconciled() && self.leader.counts().unreconciled_tasks == 0 {
                return (total, round);
            }
        }
        panic!("not reconciled in time: {:?}", self.leader.counts());
    }
}

/// Guards against commands and message sizes that grow with the number of machines when
/// nothing changes, and against tasks that are started again or stopped after a change of
/// leader or a cold restart.
#[test]
fn steady_operation_leader_change_and_cold_restart_send_no_needless_commands() {
    let mut cluster = SimulatedCluster::new();
    let total_tasks = (JOBS * TASKS) as usize;
    // First start: every machine is probed, then all tasks are placed.
    cluster.reconcile_all(0.0);
    for round in 0..6 {
        let now = 3.0 + f64::from(round) * 3.0;
        cluster.exchange_heartbeats(now);
        cluster.run_round(now);
    }
    cluster.exchange_heartbeats(22.0);
    cluster.run_round(22.0);
    assert_eq!(
        cluster.running_tasks(),
        total_tasks,
        "not all tasks run after the start"
    );
    // Steady operation: reports contain only changes, and no commands are sent.
    cluster.exchange_heartbeats(24.0);
    cluster.run_round(24.0);
    let largest_before = cluster.largest_message;
    assert_eq!(cluster.exchange_heartbeats(26.0), CommandCounts::default());
    let steady_bytes = cluster.run_round(26.0);
    assert!(
        steady_bytes < MACHINES,
        "five reports without changes take {steady_bytes} bytes"
    );
    // Change of leader: the shards keep their state.
    cluster.largest_message = 0;
    cluster.epoch.leader = "b".into();
    cluster.leader = Leader::new(&cluster.settings);
    cluster.start_epoch(27.0, cluster.epoch.members["a"]);
    let (counts, rounds) = cluster.reconcile_all(27.0);
    assert_eq!(
        (counts.starts, counts.stops, counts.forgets),
        (0, 0, 0),
        "starts, stops and forget commands after a change of leader"
    );
    println!(
        "change of leader: {counts:?} in {rounds} rounds, largest message {} bytes",
        cluster.largest_message
    );
    // Cold restart: neither the shards nor the leader have any state.
    cluster.largest_message = 0;
    cluster.restart_controllers(30.0);
    let (counts, rounds) = cluster.reconcile_all(30.0);
    assert_eq!(
        (counts.starts, counts.stops, counts.forgets),
        (0, 0, 0),
        "starts, stops and forget commands after a cold restart"
    );
    assert!(
        counts.probes <= 3 * MACHINES,
        "cold restart: {} probes",
        counts.probes
    );
    println!(
        "cold restart: {counts:?}, {:.2} probes for each of {total_tasks} adopted tasks, in {rounds} rounds, largest message {} bytes",
        counts.probes as f64 / total_tasks as f64,
        cluster.largest_message
    );
    // If only two of the five controllers are left, the messages are larger by this ratio.
    // They must still be within the size limit.
    let estimated_bytes = cluster.largest_message.max(largest_before) * 5 / 2;
    let limit = max_peer_message_bytes(cluster.settings.params.machine_limits.ram_mb);
    assert!(
        estimated_bytes < limit,
        "the largest message would take {estimated_bytes} bytes, more than {limit}"
    );
    cluster.exchange_heartbeats(33.0);
    cluster.run_round(33.0);
    assert_eq!(cluster.exchange_heartbeats(36.0), CommandCounts::default());
    assert_eq!(
        cluster.running_tasks(),
        total_tasks,
        "not all tasks run after the cold restart"
    );
}

/// Guards against a size limit that rejects the full report of a large shard. One controller
/// owns all machines, as after the failure of the others. Its report is above 2 MiB, the lower
/// bound of the limit, so that it fits only because the limit grows with the memory in the
/// settings.
#[test]
fn full_report_of_a_shard_with_all_machines_is_within_the_message_size_limit() {
    let mut cluster = SimulatedCluster::new();
    let mut shard = Shard::new("a", TIMING, HashMap::new());
    shard.start_epoch(1, 100, &cluster.cache, 0.0, |_| true);
    // The first fencing token of epoch 1.
    let token = 1 << 24;
    for (number, (id, worker)) in cluster.workers.iter_mut().enumerate() {
        // 32 tasks, as many as a machine with 64 CPUs runs if each needs two CPUs.
        worker.tasks = (0..32)
            .map(|i| {
                (
                    format!("wk-{:06}/{}", number % JOBS as usize, number / 100 * 32 + i),
                    5,
                )
            })
            .collect();
        worker.token = token;
        let heartbeat = worker.next_heartbeat(id);
        assert!(matches!(
            shard.apply_heartbeat(&heartbeat, false, &cluster.cache, 0.1),
            HeartbeatReply::Accepted { .. }
        ));
    }
    let report = shard.next_report(&cluster.cache, 0.2);
    assert_eq!(report.assigned.len(), 32 * MACHINES);
    let bytes = cluster.send_report(report);
    let limit = max_peer_message_bytes(136.0);
    println!("a full report of {MACHINES} machines with 32 tasks each takes {bytes} bytes; the limit is {limit}");
    assert!(
        bytes < limit && bytes > 2 << 20,
        "the report takes {bytes} bytes; the limit is {limit}"
    );
}
