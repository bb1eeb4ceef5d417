//! One shard range that moves from controller `a` to controller `b`, step by step, with the real
//! cores: what its machines are told in every state, and what becomes of it when the
//! source, the target, the leader or the key-value store ends in any of them.

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

#[derive(Default)]
struct Worker {
    token: u64,
    seq: u64,
    tasks: BTreeMap<String, u64>,
}

/// Two controllers, their machines, and a key-value store that may be away.
struct Two {
    cache: StoreCache,
    revision: u64,
    epoch: Epoch,
    incs: u64,
    shards: BTreeMap<String, Shard>,
    leader: Leader,
    transfers: Transfers,
    workers: BTreeMap<MachineId, Worker>,
    /// Commands that workers were given, and by whom.
    given: Vec<(String, MachineId, Command)>,
    questions: usize,
    bytes: usize,
    state_away: bool,
    /// The leader has not come to write the table yet.
    table_waits: bool,
    now: f64,
}

impl Two {
    /// Two services and an array run on eight machines.
    fn new() -> Two {
        let specs = [
            job("wk-1", "standing", 4),
            job("wk-2", "array", 6),
            job("wk-3", "ensemble", 2),
        ];
        let cache = store_cache(8, &specs.iter().collect::<Vec<_>>());
        let workers = (1..=8)
            .map(|i| (format!("m-{i}").into(), Worker::default()))
            .collect();
        let mut two = Two {
            cache,
            revision: 1000,
            epoch: Epoch {
                number: 2,
                members: BTreeMap::new(),
                leader: "a".into(),
                uses_shard_map: true,
            },
            incs: 10,
            shards: BTreeMap::new(),
            leader: Leader::new(&settings_with(&[]).expect("settings")),
            transfers: Transfers::default(),
            workers,
            given: Vec::new(),
            questions: 0,
            bytes: 0,
            state_away: false,
            table_waits: false,
            now: 0.0,
        };
        two.begins("a");
        two.begins("b");
        two.next_epoch("a");
        (0..12).for_each(|_| two.turn());
        assert_eq!(two.tasks(), 12, "all of it runs");
        two.given.clear();
        two
    }

    /// A controller's process is new.
    fn begins(&mut self, name: &str) {
        self.incs += 1;
        self.epoch.members.insert(name.into(), self.incs);
        self.shards
            .insert(name.into(), Shard::new(name, TIMING, HashMap::new()));
    }

    fn ends(&mut self, name: &str) {
        self.epoch.members.remove(name);
        self.shards.remove(name);
    }

    fn put(&mut self, key: &str, value: serde_json::Value) {
        self.revision += 1;
        self.cache.put(key, value, self.revision);
    }

    fn next_epoch(&mut self, leader: &str) {
        self.epoch.number += 1;
        self.epoch.leader = leader.into();
        let epoch = self.epoch.clone();
        self.put("fw/epoch", json!(epoch));
        let table = self.cache.shard_map.clone();
        for (name, shard) in &mut self.shards {
            let owns = |id: &str| owner_by_shard_map(&epoch, &table, id) == Some(name.as_str());
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

    fn owner(&self, id: &str) -> String {
        owner_by_shard_map(&self.epoch, &self.cache.shard_map, id)
            .expect("an owner")
            .into()
    }

    fn tasks(&self) -> usize {
        self.workers.values().map(|w| w.tasks.len()).sum()
    }

    /// Shards report to the leader and get its orders, the table is written, machines are
    /// commanded, workers report.
    fn turn(&mut self) {
        self.now += 1.0;
        let now = self.now;
        let names: Vec<String> = self.shards.keys().cloned().collect();
        for name in &names {
            let report = self
                .shards
                .get_mut(name)
                .expect("a part")
                .next_report(&self.cache, now);
            let size = |message| {
                let (from, to) = (String::new(), String::new());
                let (heard_peers, unreachable_peers, cancellation_notices) = Default::default();
                Envelope {
                    from,
                    to,
                    store_reachable: true,
                    heard_peers,
                    unreachable_peers,
                    cancellation_notices,
                    message,
                }
                .encode()
                .len()
            };
            self.bytes += size(PeerMessage::ShardReport(report.clone()));
            let transfers = report.transfers.clone();
            if self.leader.apply_shard_report(report, &self.cache, now) {
                self.transfers.apply_report(name, transfers, now);
            }
            self.leader.reconcile(&self.cache, &|_| false);
            self.leader.set_gangs_allowed(true);
            self.leader.assign_tasks(&self.cache, now, || true);
            if let Some(mut orders) = self.leader.orders(name) {
                orders.transfers = self.transfers.orders_for(name);
                self.bytes += size(PeerMessage::Orders(orders.clone()));
                self.shards
                    .get_mut(name)
                    .expect("a part")
                    .apply_orders(&orders, &self.cache, now);
            }
        }
        self.write_table();
        for name in &names {
            let shard = self.shards.get_mut(name).expect("a part");
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
                let worker = self.workers.get_mut(&direct.machine).expect("a worker");
                self.questions += 1;
                if direct.body.session == 1 && direct.body.token >= worker.token {
                    worker.token = direct.body.token;
                    obey(
                        worker,
                        &direct.body.commands,
                        name,
                        &direct.machine,
                        &mut self.given,
                    );
                }
                let report = report(&direct.machine, worker);
                shard.command_completed(
                    &direct.machine,
                    &direct.body,
                    Some(&report),
                    &self.cache,
                    now,
                );
            }
        }
        let ids: Vec<MachineId> = self.workers.keys().cloned().collect();
        for id in &ids {
            self.reports(id);
        }
    }

    /// A worker reports to its owner, which answers it.
    fn reports(&mut self, id: &MachineId) -> bool {
        let owner = self.owner(id);
        let worker = self.workers.get_mut(id).expect("a worker");
        let report = report(id, worker);
        let Some(shard) = self.shards.get_mut(&owner) else {
            return false;
        };
        let HeartbeatReply::Accepted { token, commands } =
            shard.apply_heartbeat(&report, false, &self.cache, self.now)
        else {
            return false;
        };
        if token < worker.token {
            return false;
        }
        worker.token = token;
        obey(worker, &commands, &owner, id, &mut self.given);
        true
    }

    /// The table is written, if it is to be and the key-value store is there.
    fn write_table(&mut self) {
        if self.table_waits {
            return;
        }
        let Some(write) = self
            .transfers
            .pending_write(&self.cache.shard_map, self.now)
        else {
            return;
        };
        if self.state_away {
            return;
        }
        self.put(SHARD_MAP_KEY, json!(write.shard_map.to_stored()));
        let (epoch, table) = (self.epoch.clone(), self.cache.shard_map.clone());
        for (name, shard) in &mut self.shards {
            let owns = |id: &str| owner_by_shard_map(&epoch, &table, id) == Some(name.as_str());
            shard.apply_shard_map(&self.cache, self.now, owns);
        }
        self.transfers
            .observe_shard_map(&self.cache.shard_map, self.now);
    }

    /// All machines whose hash owner is `a` are to go to `b`.
    fn begin(&mut self) {
        let range = HashRange::whole("a");
        let wanted = RangeMove {
            range,
            source: "a".into(),
            target: "b".into(),
            reason: MoveReason::Plan,
        };
        assert!(self.transfers.begin(wanted, self.now));
    }

    fn state(&self) -> Option<TransferState> {
        self.transfers
            .under_way()
            .next()
            .map(|transfer| transfer.state)
    }

    /// Goes on until the transfer is in a state.
    fn until(&mut self, state: TransferState) {
        self.state_away = state <= TransferState::Committing;
        self.table_waits = state <= TransferState::Fenced;
        for _ in 0..20 {
            if self.state() == Some(state) {
                return;
            }
            // Seen in between two parts of a turn.
            match (state, self.state()) {
                (TransferState::Committed, Some(TransferState::Committing)) => self.write_table(),
                _ => self.turn(),
            }
        }
        panic!("it stays {:?} and is never {state:?}", self.state());
    }

    /// Whatever has happened: in a few turns every task is where it was, held by the
    /// owner of its machine alone, and nothing was started or stopped.
    fn settles(&mut self, when: &str) {
        (self.state_away, self.table_waits) = (false, false);
        (0..12).for_each(|_| self.turn());
        assert_eq!(self.tasks(), 12, "{when}");
        assert_eq!(self.given, [], "{when}");
        assert_eq!(
            self.leader.counts(),
            finchwood::scheduler::TableCounts {
                jobs: 3,
                assigned_tasks: 12,
                unreconciled_tasks: 0
            },
            "{when}: jobs, tasks held, tasks in doubt"
        );
        for id in self.workers.keys() {
            let lists = |shard: &&Shard| shard.registered_machines().contains(id);
            assert_eq!(
                self.shards.values().filter(lists).count(),
                1,
                "{when}: owners of {id}"
            );
        }
        assert!(
            self.shards
                .values()
                .all(|shard| shard.fenced_machines().is_empty()),
            "{when}: fenced"
        );
    }
}

fn report(id: &MachineId, worker: &mut Worker) -> Heartbeat {
    worker.seq += 1;
    let line = |(task, attempt): (&String, &u64)| TaskReport {
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
        seq: worker.seq,
        token: worker.token,
        reclaimed_in_s: None,
        tasks: worker.tasks.iter().map(line).collect(),
    }
}

fn obey(
    worker: &mut Worker,
    calls: &[Command],
    by: &str,
    id: &MachineId,
    given: &mut Vec<(String, MachineId, Command)>,
) {
    for call in calls {
        match call {
            Command::Start { task, attempt } => drop(worker.tasks.insert(task.clone(), *attempt)),
            Command::Stop { task, .. } => drop(worker.tasks.remove(task)),
            Command::Forget { .. } => {}
        }
        given.push((by.into(), id.clone(), call.clone()));
    }
}

#[test]
fn a_shard_range_moves_with_all_its_tasks_and_nothing_is_ordered() {
    let mut two = Two::new();
    let moved: Vec<MachineId> = two
        .workers
        .keys()
        .filter(|id| two.owner(id) == "a")
        .cloned()
        .collect();
    assert!(moved.len() >= 2 && moved.len() < 8, "{moved:?}");
    (two.questions, two.bytes) = (0, 0);
    (0..5).for_each(|_| two.turn());
    let quiet = two.bytes / 5;
    (two.questions, two.bytes) = (0, 0);
    two.begin();
    let mut turns = 0;
    while two.state().is_some() {
        two.turn();
        turns += 1;
        assert!(turns < 20, "{:?}", two.state());
    }
    let bytes = (two.bytes - turns * quiet) / moved.len();
    println!(
        "{} machines in {turns} turns: {} questions, {bytes} bytes for each",
        moved.len(),
        two.questions
    );
    assert!(
        two.questions <= moved.len(),
        "one question for each machine, none that waits for its answer"
    );
    assert!(moved.iter().all(|id| two.owner(id) == "b"));
    assert_eq!(
        two.transfers.ended.get(&TransferOutcome::Completed),
        Some(&1)
    );
    two.settles("moved");
    // The same by a takeover, for comparison.
    two.questions = 0;
    two.begins("b");
    two.next_epoch("a");
    two.settles("taken over");
    println!("all eight taken over: {} questions", two.questions);
}

#[test]
fn whoever_ends_in_whatever_state_nothing_is_lost_or_ordered() {
    for state in STATES {
        for who in [
            "a",
            "b",
            "leader",
            "both",
            "source back",
            "target back",
            "nobody",
        ] {
            let mut two = Two::new();
            two.begin();
            two.until(state);
            let when = format!("{state:?}, {who}");
            match who {
                // Another takes over in a new epoch; the leader's table is another's.
                "a" | "b" => {
                    two.ends(who);
                    let left = if who == "a" { "b" } else { "a" };
                    two.leader = Leader::new(&settings_with(&[]).expect("settings"));
                    two.next_epoch(left);
                }
                "leader" => {
                    two.leader = Leader::new(&settings_with(&[]).expect("settings"));
                    two.next_epoch("b");
                }
                "both" => {
                    two.begins("a");
                    two.begins("b");
                    two.leader = Leader::new(&settings_with(&[]).expect("settings"));
                    two.next_epoch("a");
                }
                "source back" => {
                    two.begins("a");
                    two.next_epoch("b");
                }
                "target back" => {
                    two.begins("b");
                    two.next_epoch("a");
                }
                _ => {}
            }
            two.settles(&when);
        }
    }
}

#[test]
fn workers_are_answered_and_what_is_cancelled_stops_in_every_state() {
    for state in STATES {
        let mut two = Two::new();
        two.begin();
        two.until(state);
        // The key-value store is away for longer than a lease: nothing ends on that account.
        let away = if state < TransferState::Committed {
            30
        } else {
            2
        };
        for _ in 0..away {
            two.now += 1.0;
            let ids: Vec<MachineId> = two.workers.keys().cloned().collect();
            let answered = ids.iter().filter(|id| two.reports(id)).count();
            // In between the table's change and the target's first orders nobody answers.
            assert!(
                answered == ids.len() || state == TransferState::Committed,
                "{state:?}: {answered}"
            );
        }
        let spec = job("wk-1", "standing", 4);
        two.put("fw/j/wk-1", job_record(&spec, true));
        let cache = &two.cache;
        two.shards
            .values_mut()
            .for_each(|shard| shard.job_changed(&"wk-1".into(), cache));
        two.leader.job_changed(&"wk-1".into(), &two.cache);
        let left = |two: &Two| {
            two.workers
                .values()
                .flat_map(|w| w.tasks.keys())
                .filter(|t| t.starts_with("wk-1/"))
                .count()
        };
        assert_eq!(left(&two), 4);
        two.turn();
        two.turn();
        assert_eq!(left(&two), 0, "{state:?}");
    }
}

#[test]
fn what_is_refused_or_not_answered_is_withdrawn_and_its_giver_goes_on() {
    for refused in [false, true] {
        let mut two = Two::new();
        two.begin();
        two.until(if refused {
            TransferState::Committing
        } else {
            TransferState::Accepted
        });
        if refused {
            two.transfers.write_refused(two.now);
        } else {
            two.transfers.time_out_stale(5.0, two.now + 6.0);
        }
        assert_eq!(two.state(), None);
        two.settles("withdrawn");
        // New work starts on its machines as ever.
        let spec = job("wk-9", "array", 16);
        two.put("fw/j/wk-9", job_record(&spec, false));
        let mut record = job_record(&spec, false);
        record["e"] = json!(two.epoch.number);
        two.put("fw/j/wk-9", record);
        two.leader.job_changed(&"wk-9".into(), &two.cache);
        (0..6).for_each(|_| two.turn());
        assert!(two
            .given
            .iter()
            .any(|(by, _, call)| by == "a" && matches!(call, Command::Start { .. })));
    }
}

/// While a share changes hands nobody's word on its machines is final: the leader hears of
/// them from both sides, and a machine that is fenced for long does not look silent.
#[test]
fn machines_that_change_hands_have_no_single_owner_and_are_not_silent() {
    let mut two = Two::new();
    two.begin();
    two.until(TransferState::Committing);
    for _ in 0..30 {
        two.now += 1.0;
        let ids: Vec<MachineId> = two.workers.keys().cloned().collect();
        ids.iter().for_each(|id| assert!(two.reports(id)));
    }
    let now = two.now;
    let told = two
        .shards
        .get_mut("a")
        .expect("a part")
        .next_report(&two.cache, now);
    assert!(
        told.silent_machines.is_empty(),
        "{:?}",
        told.silent_machines
    );
    let moving = two.shards["a"].fenced_machines();
    two.until(TransferState::Committed);
    let mut orders = two.leader.orders("b").expect("orders");
    orders.transfers = two.transfers.orders_for("b");
    two.shards
        .get_mut("b")
        .expect("a part")
        .apply_orders(&orders, &two.cache, now);
    let report = two
        .shards
        .get_mut("b")
        .expect("a part")
        .next_report(&two.cache, now);
    assert!(two.leader.apply_shard_report(report, &two.cache, now));
    assert!(
        moving.iter().all(|id| !two.leader.has_one_owner(id)),
        "its source has not released it yet"
    );
    two.settles("moved");
    assert!(moving.iter().all(|id| two.leader.has_one_owner(id)));
}

/// A machine that comes on the machine registry while its range moves gets no orders of the source.
#[test]
fn a_machine_that_appears_while_its_range_moves_is_fenced_too() {
    let mut two = Two::new();
    two.begin();
    two.until(TransferState::Fenced);
    let id = (9..99)
        .map(|i| format!("m-{i}"))
        .find(|id| two.owner(id) == "a")
        .expect("one of a's");
    let page = json!({"b": "k", "z": "e", "s": false, "u": true, "a": "x:1"});
    two.put(&format!("fw/r/{id}"), page);
    let record = two.cache.registry[id.as_str()].record.clone();
    let now = two.now;
    let shard = two.shards.get_mut("a").expect("a part");
    shard.register_machine(&id.as_str().into(), &record, now);
    assert!(shard.fenced_machines().iter().any(|fenced| **fenced == *id));
    assert!(!shard
        .due_commands(&two.cache, now + 9.0)
        .iter()
        .any(|direct| *direct.machine == *id));
    two.workers.insert(id.as_str().into(), Worker::default());
    two.settles("it is the target's");
    assert_eq!(two.owner(&id), "b");
}

/// With a controller that doesn't go by the table the hash decides, for all.
#[test]
fn with_production_among_the_members_the_shard_map_does_not_count() {
    let mut two = Two::new();
    two.begin();
    (0..8).for_each(|_| two.turn());
    assert!(two.workers.keys().all(|id| two.owner(id) == "b"));
    two.epoch.uses_shard_map = false;
    two.next_epoch("a");
    assert!(two.workers.keys().any(|id| two.owner(id) == "a"));
    two.settles("by the hash");
    two.epoch.uses_shard_map = true;
    two.next_epoch("a");
    two.settles("by the table again");
}
