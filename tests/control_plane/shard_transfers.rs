//! The transfer of a hash range from controller `a` to controller `b`, with the real leader and
//! shards but without threads or a network: which commands the machines execute in each state
//! of the transfer, and what happens when the source, the target, the leader or the key-value
//! store fails in that state.

use crate::builders::{job_of_kind as job, job_record, settings_with, store_cache, TIMING};
use finchwood::clock::Moment;
use finchwood::cluster::membership::owner_by_shard_map;
use finchwood::cluster::peer::{Envelope, PeerMessage};
use finchwood::scheduler::Leader;
use finchwood::shard::{HeartbeatReply, Shard};
use finchwood::store::cache::StoreCache;
use finchwood::store::keys::SHARD_MAP_KEY;
use finchwood::store::records::Epoch;
use finchwood::wire::{Command, Heartbeat, MachineId, TaskReport, TaskState};
use finchwood_sharding::shard_map::HashRange;
use finchwood_sharding::transfer::{
    MoveReason, RangeMove, TransferOutcome, TransferState, Transfers,
};
use serde_json::json;
use std::collections::{BTreeMap, HashMap};

const STATES: [TransferState; 5] = [
    TransferState::Offered,
    TransferState::Accepted,
    TransferState::Fenced,
    TransferState::Committing,
    TransferState::Committed,
];

/// A simulated worker, which keeps its first session and runs tasks until they are stopped.
#[derive(Default)]
struct Worker {
    /// The highest fencing token that it has seen.
    token: u64,
    /// The sequence number of its last heartbeat.
    sequence: u64,
    /// The attempts of the running tasks, by task.
    tasks: BTreeMap<String, u64>,
}

/// Two controllers, their machines, and a key-value store that may be unreachable.
struct TwoControllers {
    cache: StoreCache,
    revision: u64,
    epoch: Epoch,
    last_incarnation: u64,
    shards: BTreeMap<String, Shard>,
    leader: Leader,
    transfers: Transfers,
    workers: BTreeMap<MachineId, Worker>,
    /// The commands that workers executed, each with the controller that sent it and the
    /// machine.
    executed_commands: Vec<(String, MachineId, Command)>,
    /// The number of direct commands that were sent, probes included.
    direct_commands: usize,
    /// The size in bytes of all reports and orders between the shards and the leader.
    message_bytes: usize,
    store_unreachable: bool,
    /// Whether the leader is kept from beginning a write of the shard map.
    shard_map_write_delayed: bool,
    now: f64,
}

impl TwoControllers {
    /// Creates controllers `a` and `b` with eight machines, on which a service, an array and
    /// a gang run with 12 tasks in total.
    fn new() -> TwoControllers {
        let specs = [
            job("wk-1", "standing", 4),
            job("wk-2", "array", 6),
            job("wk-3", "ensemble", 2),
        ];
        let cache = store_cache(8, &specs.iter().collect::<Vec<_>>());
        let workers = (1..=8)
            .map(|i| (format!("m-{i}").into(), Worker::default()))
            .collect();
        let mut cluster = TwoControllers {
            cache,
            revision: 1000,
            epoch: Epoch {
                number: 2,
                members: BTreeMap::new(),
                leader: "a".into(),
                uses_shard_map: true,
            },
            last_incarnation: 10,
            shards: BTreeMap::new(),
            leader: Leader::new(&settings_with(&[]).expect("settings")),
            transfers: Transfers::default(),
            workers,
            executed_commands: Vec::new(),
            direct_commands: 0,
            message_bytes: 0,
            store_unreachable: false,
            shard_map_write_delayed: false,
            now: 0.0,
        };
        cluster.start_controller("a");
        cluster.start_controller("b");
        cluster.start_next_epoch("a");
        (0..12).for_each(|_| cluster.run_round());
        assert_eq!(
            cluster.running_task_count(),
            12,
            "not all tasks run after 12 rounds"
        );
        cluster.executed_commands.clear();
        cluster
    }

    /// Starts a controller, or restarts it without state; either way it has a new incarnation.
    fn start_controller(&mut self, name: &str) {
        self.last_incarnation += 1;
        self.epoch
            .members
            .insert(name.into(), self.last_incarnation);
        self.shards
            .insert(name.into(), Shard::new(name, TIMING, HashMap::new()));
    }

    /// Stops a controller for good.
    fn stop_controller(&mut self, name: &str) {
        self.epoch.members.remove(name);
        self.shards.remove(name);
    }

    /// Stores a value under the next revision.
    fn put(&mut self, key: &str, value: serde_json::Value) {
        self.revision += 1;
        self.cache.put(key, value, self.revision);
    }

    /// Begins the next epoch, with the current members and this leader, at all controllers.
    fn start_next_epoch(&mut self, leader: &str) {
        self.epoch.number += 1;
        self.epoch.leader = leader.into();
        let epoch = self.epoch.clone();
        self.put("fw/epoch", json!(epoch));
        let shard_map = self.cache.shard_map.clone();
        for (name, shard) in &mut self.shards {
            let owns = |id: &str| owner_by_shard_map(&epoch, &shard_map, id) == Some(name.as_str());
            shard.start_epoch(
                epoch.number,
                epoch.members[name],
                &self.cache,
                self.now,
                owns,
            );
        }
        if !self.epoch.members.contains_key(leader) {
            return;
        }
        self.leader
            .start_epoch(&epoch, epoch.members[leader], &self.cache);
        self.transfers.abort_all(self.now);
    }

    /// Returns the owner of a machine, by the shard map if the epoch uses it.
    fn owner(&self, id: &str) -> String {
        owner_by_shard_map(&self.epoch, &self.cache.shard_map, id)
            .expect("the epoch has members")
            .into()
    }

    /// Returns the number of running tasks.
    fn running_task_count(&self) -> usize {
        self.workers.values().map(|w| w.tasks.len()).sum()
    }

    /// Runs a round of one second: the shards report to the leader and apply its orders, the
    /// shard map is written, the shards send direct commands, and the workers send heartbeats.
    fn run_round(&mut self) {
        self.now += 1.0;
        let now = self.now;
        let names: Vec<String> = self.shards.keys().cloned().collect();
        for name in &names {
            let report = self
                .shards
                .get_mut(name)
                .expect("each controller has a shard")
                .next_report(&self.cache, now);
            let encoded_len = |message| {
                let (from, to) = (String::new(), String::new());
                let (peers_with_store_access, unreachable_peers, cancellation_notices) =
                    Default::default();
                Envelope {
                    from,
                    to,
                    store_reachable: true,
                    peers_with_store_access,
                    unreachable_peers,
                    cancellation_notices,
                    message,
                }
                .encode()
                .len()
            };
            self.message_bytes += encoded_len(PeerMessage::ShardReport(report.clone()));
            let transfers = report.transfers.clone();
            if self.leader.apply_shard_report(report, &self.cache, now) {
                self.transfers.apply_report(name, transfers, now);
            }
            self.leader.reconcile(&self.cache, &|_| false);
            self.leader.set_gangs_allowed(true);
            self.leader.assign_tasks(&self.cache, now, || true);
            if let Some(mut orders) = self.leader.orders(name) {
                orders.transfers = self.transfers.orders_for(name);
                self.message_bytes += encoded_len(PeerMessage::Orders(orders.clone()));
                self.shards
                    .get_mut(name)
                    .expect("each controller has a shard")
                    .apply_orders(&orders, &self.cache, now);
            }
        }
        self.write_shard_map();
        for name in &names {
            let shard = self
                .shards
                .get_mut(name)
                .expect("each controller has a shard");
            shard.expire_leases(now);
            shard.place_queued(
                &self.cache,
                Moment {
                    now,
                    wall_clock_ms: 0,
                },
                || true,
            );
            for direct in shard.due_commands(&self.cache, now) {
                let worker = self
                    .workers
                    .get_mut(&direct.machine)
                    .expect("each machine has a worker");
                self.direct_commands += 1;
                if direct.body.session == 1 && direct.body.token >= worker.token {
                    worker.token = direct.body.token;
                    execute_commands(
                        worker,
                        &direct.body.commands,
                        name,
                        &direct.machine,
                        &mut self.executed_commands,
                    );
                }
                let response = heartbeat_of(&direct.machine, worker);
                shard.command_completed(
                    &direct.machine,
                    &direct.body,
                    Some(&response),
                    &self.cache,
                    now,
                );
            }
        }
        let ids: Vec<MachineId> = self.workers.keys().cloned().collect();
        for id in &ids {
            self.send_heartbeat(id);
        }
    }

    /// Sends a worker's heartbeat to the owner of its machine, and executes the commands of
    /// the reply. Returns false if the owner has stopped or refuses the heartbeat, or if the
    /// worker rejects the reply because of its token.
    fn send_heartbeat(&mut self, id: &MachineId) -> bool {
        let owner = self.owner(id);
        let worker = self.workers.get_mut(id).expect("each machine has a worker");
        let heartbeat = heartbeat_of(id, worker);
        let Some(shard) = self.shards.get_mut(&owner) else {
            return false;
        };
        let HeartbeatReply::Accepted { token, commands } =
            shard.apply_heartbeat(&heartbeat, false, &self.cache, self.now)
        else {
            return false;
        };
        if token < worker.token {
            return false;
        }
        worker.token = token;
        execute_commands(worker, &commands, &owner, id, &mut self.executed_commands);
        true
    }

    /// Writes the shard map if a write is pending and the key-value store is reachable.
    fn write_shard_map(&mut self) {
        if self.shard_map_write_delayed {
            return;
        }
        let Some(write) = self
            .transfers
            .pending_write(&self.cache.shard_map, self.now)
        else {
            return;
        };
        if self.store_unreachable {
            return;
        }
        self.put(SHARD_MAP_KEY, json!(write.shard_map.to_stored()));
        let (epoch, shard_map) = (self.epoch.clone(), self.cache.shard_map.clone());
        for (name, shard) in &mut self.shards {
            let owns = |id: &str| owner_by_shard_map(&epoch, &shard_map, id) == Some(name.as_str());
            shard.apply_shard_map(&self.cache, self.now, owns);
        }
        self.transfers
            .observe_shard_map(&self.cache.shard_map, self.now);
    }

    /// Begins the transfer from `a` to `b` of all machines whose hash owner is `a`.
    fn begin_transfer(&mut self) {
        let range = HashRange::whole("a");
        let range_move = RangeMove {
            range,
            source: "a".into(),
            target: "b".into(),
            reason: MoveReason::Plan,
        };
        assert!(self.transfers.begin(range_move, self.now));
    }

    /// Returns the state of the transfer; `None` if none is in progress.
    fn transfer_state(&self) -> Option<TransferState> {
        self.transfers
            .in_progress()
            .next()
            .map(|transfer| transfer.state)
    }

    /// Runs rounds until the transfer is in a state. To keep it in that state, the key-value
    /// store is made unreachable or the write of the shard map is delayed.
    fn run_until(&mut self, state: TransferState) {
        self.store_unreachable = state <= TransferState::Committing;
        self.shard_map_write_delayed = state <= TransferState::Fenced;
        for _ in 0..20 {
            if self.transfer_state() == Some(state) {
                return;
            }
            // `Committed` is reached by the write of the shard map alone, without the commands
            // and heartbeats that follow the write in a round.
            match (state, self.transfer_state()) {
                (TransferState::Committed, Some(TransferState::Committing)) => {
                    self.write_shard_map()
                }
                _ => self.run_round(),
            }
        }
        panic!(
            "the transfer is {:?} after 20 rounds and has not become {state:?}",
            self.transfer_state()
        );
    }

    /// Runs 12 rounds with a reachable store. Asserts that then every task runs and is assigned,
    /// each machine has exactly one owner, and no machine is fenced; and that no command was
    /// executed since the tasks started, so that no task was started again or stopped.
    fn assert_settles(&mut self, when: &str) {
        (self.store_unreachable, self.shard_map_write_delayed) = (false, false);
        (0..12).for_each(|_| self.run_round());
        assert_eq!(self.running_task_count(), 12, "{when}: running tasks");
        assert_eq!(self.executed_commands, [], "{when}: executed commands");
        assert_eq!(
            self.leader.counts(),
            finchwood::scheduler::SchedulingCounts {
                jobs: 3,
                assigned_tasks: 12,
                unreconciled_tasks: 0
            },
            "{when}: jobs, assigned tasks, unreconciled tasks"
        );
        for id in self.workers.keys() {
            let registers = |shard: &&Shard| shard.registered_machines().contains(id);
            assert_eq!(
                self.shards.values().filter(registers).count(),
                1,
                "{when}: owners of {id}"
            );
        }
        assert!(
            self.shards
                .values()
                .all(|shard| shard.fenced_machines().is_empty()),
            "{when}: machines are still fenced"
        );
    }
}

/// Returns the next heartbeat of a worker.
fn heartbeat_of(id: &MachineId, worker: &mut Worker) -> Heartbeat {
    worker.sequence += 1;
    let task_report = |(task, attempt): (&String, &u64)| TaskReport {
        task: task.clone(),
        attempt: *attempt,
        state: TaskState::Running,
        cause: None,
        saved: None,
    };
    Heartbeat {
        machine: id.clone(),
        address: id.to_string(),
        machine_type: "k".into(),
        zone: if id.ends_with(['1', '3', '5', '7']) {
            "e"
        } else {
            "w"
        }
        .into(),
        spot: false,
        session: 1,
        seq: worker.sequence,
        token: worker.token,
        reclaimed_in_s: None,
        tasks: worker.tasks.iter().map(task_report).collect(),
    }
}

/// Makes a worker execute commands, and records them in `executed_commands`.
fn execute_commands(
    worker: &mut Worker,
    commands: &[Command],
    sender: &str,
    id: &MachineId,
    executed_commands: &mut Vec<(String, MachineId, Command)>,
) {
    for command in commands {
        match command {
            Command::Start { task, attempt } => drop(worker.tasks.insert(task.clone(), *attempt)),
            Command::Stop { task, .. } => drop(worker.tasks.remove(task)),
            Command::Forget { .. } => {}
        }
        executed_commands.push((sender.into(), id.clone(), command.clone()));
    }
}

#[test]
fn a_transfer_moves_a_range_with_all_its_tasks_and_no_command_is_executed() {
    let mut cluster = TwoControllers::new();
    let transferred: Vec<MachineId> = cluster
        .workers
        .keys()
        .filter(|id| cluster.owner(id) == "a")
        .cloned()
        .collect();
    assert!(
        transferred.len() >= 2 && transferred.len() < 8,
        "{transferred:?}"
    );
    (cluster.direct_commands, cluster.message_bytes) = (0, 0);
    (0..5).for_each(|_| cluster.run_round());
    let idle_bytes_per_round = cluster.message_bytes / 5;
    (cluster.direct_commands, cluster.message_bytes) = (0, 0);
    cluster.begin_transfer();
    let mut rounds = 0;
    while cluster.transfer_state().is_some() {
        cluster.run_round();
        rounds += 1;
        assert!(rounds < 20, "{:?}", cluster.transfer_state());
    }
    let machine_bytes = (cluster.message_bytes - rounds * idle_bytes_per_round) / transferred.len();
    println!(
        "transfer of {} machines in {rounds} rounds: {} direct commands, {machine_bytes} bytes per machine",
        transferred.len(),
        cluster.direct_commands
    );
    assert!(
        cluster.direct_commands <= transferred.len(),
        "expected at most one direct command per machine, the probe by the target"
    );
    assert!(transferred.iter().all(|id| cluster.owner(id) == "b"));
    assert_eq!(
        cluster.transfers.ended.get(&TransferOutcome::Completed),
        Some(&1)
    );
    cluster.assert_settles("after the transfer");
    // For comparison: the target restarts and takes over its machines in a new epoch.
    cluster.direct_commands = 0;
    cluster.start_controller("b");
    cluster.start_next_epoch("a");
    cluster.assert_settles("taken over after a restart");
    println!(
        "takeover of all eight machines: {} direct commands",
        cluster.direct_commands
    );
}

#[test]
fn a_failure_in_any_transfer_state_loses_no_task_and_no_command_is_executed() {
    for state in STATES {
        // `a` or `b`: that controller stops for good.
        for failure in [
            "a",
            "b",
            "leader change",
            "both restart",
            "source restart",
            "target restart",
            "none",
        ] {
            let mut cluster = TwoControllers::new();
            cluster.begin_transfer();
            cluster.run_until(state);
            let when = format!("{state:?}, failure: {failure}");
            match failure {
                // The other controller leads, without the state of the earlier leader, and takes
                // over in a new epoch.
                "a" | "b" => {
                    cluster.stop_controller(failure);
                    let survivor = if failure == "a" { "b" } else { "a" };
                    cluster.leader = Leader::new(&settings_with(&[]).expect("settings"));
                    cluster.start_next_epoch(survivor);
                }
                "leader change" => {
                    cluster.leader = Leader::new(&settings_with(&[]).expect("settings"));
                    cluster.start_next_epoch("b");
                }
                "both restart" => {
                    cluster.start_controller("a");
                    cluster.start_controller("b");
                    cluster.leader = Leader::new(&settings_with(&[]).expect("settings"));
                    cluster.start_next_epoch("a");
                }
                "source restart" => {
                    cluster.start_controller("a");
                    cluster.start_next_epoch("b");
                }
                "target restart" => {
                    cluster.start_controller("b");
                    cluster.start_next_epoch("a");
                }
                _ => {}
            }
            cluster.assert_settles(&when);
        }
    }
}

#[test]
fn heartbeats_are_accepted_and_cancelled_tasks_stop_in_every_transfer_state() {
    for state in STATES {
        let mut cluster = TwoControllers::new();
        cluster.begin_transfer();
        cluster.run_until(state);
        // Before the transfer is committed, it makes no progress for longer than a worker's
        // lease, as when the key-value store is unreachable: the leases must still be renewed.
        let rounds = if state < TransferState::Committed {
            30
        } else {
            2
        };
        for _ in 0..rounds {
            cluster.now += 1.0;
            let ids: Vec<MachineId> = cluster.workers.keys().cloned().collect();
            let accepted = ids.iter().filter(|id| cluster.send_heartbeat(id)).count();
            // Between the change of the shard map and the target's first orders after it, no
            // controller accepts the heartbeats of the range.
            assert!(
                accepted == ids.len() || state == TransferState::Committed,
                "{state:?}: {accepted} heartbeats were accepted"
            );
        }
        let spec = job("wk-1", "standing", 4);
        cluster.put("fw/j/wk-1", job_record(&spec, true));
        let cache = &cluster.cache;
        cluster
            .shards
            .values_mut()
            .for_each(|shard| shard.job_changed(&"wk-1".into(), cache));
        cluster.leader.job_changed(&"wk-1".into(), &cluster.cache);
        let running_tasks = |cluster: &TwoControllers| {
            cluster
                .workers
                .values()
                .flat_map(|worker| worker.tasks.keys())
                .filter(|task| task.starts_with("wk-1/"))
                .count()
        };
        assert_eq!(running_tasks(&cluster), 4);
        cluster.run_round();
        cluster.run_round();
        assert_eq!(
            running_tasks(&cluster),
            0,
            "{state:?}: cancelled tasks that still run"
        );
    }
}

#[test]
fn after_a_refused_or_timed_out_transfer_the_source_starts_tasks_again() {
    for refused in [false, true] {
        let mut cluster = TwoControllers::new();
        cluster.begin_transfer();
        cluster.run_until(if refused {
            TransferState::Committing
        } else {
            TransferState::Accepted
        });
        if refused {
            cluster.transfers.write_refused(cluster.now);
        } else {
            cluster.transfers.time_out_stale(5.0, cluster.now + 6.0);
        }
        assert_eq!(cluster.transfer_state(), None);
        cluster.assert_settles("transfer ended early");
        // The source starts tasks on the machines again.
        let spec = job("wk-9", "array", 16);
        cluster.put("fw/j/wk-9", job_record(&spec, false));
        let mut record = job_record(&spec, false);
        record["e"] = json!(cluster.epoch.number);
        cluster.put("fw/j/wk-9", record);
        cluster.leader.job_changed(&"wk-9".into(), &cluster.cache);
        (0..6).for_each(|_| cluster.run_round());
        assert!(cluster
            .executed_commands
            .iter()
            .any(|(sender, _, command)| sender == "a" && matches!(command, Command::Start { .. })));
    }
}

/// Until the source has released the machines of a range, the leader has reports on them from
/// both the source and the target, and must take neither as final. A machine that is fenced for
/// long must not count as silent while its heartbeats arrive.
#[test]
fn machines_in_transfer_have_no_single_owner_and_are_not_silent() {
    let mut cluster = TwoControllers::new();
    cluster.begin_transfer();
    cluster.run_until(TransferState::Committing);
    for _ in 0..30 {
        cluster.now += 1.0;
        let ids: Vec<MachineId> = cluster.workers.keys().cloned().collect();
        ids.iter()
            .for_each(|id| assert!(cluster.send_heartbeat(id)));
    }
    let now = cluster.now;
    let source_report = cluster
        .shards
        .get_mut("a")
        .expect("each controller has a shard")
        .next_report(&cluster.cache, now);
    assert!(
        source_report.silent_machines.is_empty(),
        "{:?}",
        source_report.silent_machines
    );
    let fenced = cluster.shards["a"].fenced_machines();
    cluster.run_until(TransferState::Committed);
    let mut orders = cluster.leader.orders("b").expect("orders");
    orders.transfers = cluster.transfers.orders_for("b");
    cluster
        .shards
        .get_mut("b")
        .expect("each controller has a shard")
        .apply_orders(&orders, &cluster.cache, now);
    let target_report = cluster
        .shards
        .get_mut("b")
        .expect("each controller has a shard")
        .next_report(&cluster.cache, now);
    assert!(cluster
        .leader
        .apply_shard_report(target_report, &cluster.cache, now));
    assert!(
        fenced.iter().all(|id| !cluster.leader.has_one_owner(id)),
        "a machine has one owner before the source has released it"
    );
    cluster.assert_settles("after the transfer");
    assert!(fenced.iter().all(|id| cluster.leader.has_one_owner(id)));
}

/// A machine that is registered while its range is being transferred is not part of the state
/// that the source has sent to the target, so that the source must send it no commands.
#[test]
fn a_machine_registered_while_its_range_is_transferred_is_fenced() {
    let mut cluster = TwoControllers::new();
    cluster.begin_transfer();
    cluster.run_until(TransferState::Fenced);
    let id = (9..99)
        .map(|i| format!("m-{i}"))
        .find(|id| cluster.owner(id) == "a")
        .expect("an unused id whose hash owner is a");
    let record = json!({"b": "k", "z": "e", "s": false, "u": true, "a": "x:1"});
    cluster.put(&format!("fw/r/{id}"), record);
    let record = cluster.cache.registry[id.as_str()].record.clone();
    let now = cluster.now;
    let shard = cluster
        .shards
        .get_mut("a")
        .expect("each controller has a shard");
    shard.register_machine(&id.as_str().into(), &record, now);
    assert!(shard.fenced_machines().iter().any(|fenced| **fenced == *id));
    assert!(!shard
        .due_commands(&cluster.cache, now + 9.0)
        .iter()
        .any(|direct| *direct.machine == *id));
    cluster
        .workers
        .insert(id.as_str().into(), Worker::default());
    cluster.assert_settles("new machine taken over by the target");
    assert_eq!(cluster.owner(&id), "b");
}

/// If one member of an epoch runs a version that doesn't follow the shard map, all members
/// must use the owner by hash: otherwise two controllers would own the same machine.
#[test]
fn with_a_member_that_ignores_the_shard_map_all_members_use_owners_by_hash() {
    let mut cluster = TwoControllers::new();
    cluster.begin_transfer();
    (0..8).for_each(|_| cluster.run_round());
    assert!(cluster.workers.keys().all(|id| cluster.owner(id) == "b"));
    cluster.epoch.uses_shard_map = false;
    cluster.start_next_epoch("a");
    assert!(cluster.workers.keys().any(|id| cluster.owner(id) == "a"));
    cluster.assert_settles("owners by hash");
    cluster.epoch.uses_shard_map = true;
    cluster.start_next_epoch("a");
    cluster.assert_settles("owners by shard map again");
}
