//! One share that moves from controller `a` to controller `b`, step by step, with the real
//! cores: what its machines are told in every state, and what becomes of it when the
//! giver, the taker, the leader or the state service ends in any of them.

#[path = "common/cores.rs"]
mod cores;

use cores::{job_in as job, settings, SETTINGS_ALL, TIMING};
use finchwood::assignment::Leader;
use finchwood::clock::When;
use finchwood::fleet::{Part, ReportReply};
use finchwood::jobs::{Epoch, Mirror, SHARES_KEY};
use finchwood::membership::owner_by_shares;
use finchwood::peer::{Envelope, Message};
use finchwood::wire::{Call, MachineId, Report, TaskLine, TaskState};
use finchwood_shares::handover::{HandoverEnd, HandoverState, Handovers, MoveReason, WantedMove};
use finchwood_shares::table::ShareRange;
use serde_json::json;
use std::collections::{BTreeMap, HashMap};

const STATES: [HandoverState; 5] = [
    HandoverState::Offered,
    HandoverState::Accepted,
    HandoverState::Fenced,
    HandoverState::Committing,
    HandoverState::Committed,
];

#[derive(Default)]
struct Worker {
    token: u64,
    seq: u64,
    tasks: BTreeMap<String, u64>,
}

/// Two controllers, their machines, and a state service that may be away.
struct Two {
    mirror: Mirror,
    version: u64,
    epoch: Epoch,
    incs: u64,
    parts: BTreeMap<String, Part>,
    leader: Leader,
    handovers: Handovers,
    workers: BTreeMap<MachineId, Worker>,
    /// Commands that workers were given, and by whom.
    given: Vec<(String, MachineId, Call)>,
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
        let mirror = cores::mirror(8, &specs.iter().collect::<Vec<_>>());
        let workers = (1..=8)
            .map(|i| (format!("m-{i}").into(), Worker::default()))
            .collect();
        let mut two = Two {
            mirror,
            version: 1000,
            epoch: Epoch {
                n: 2,
                members: BTreeMap::new(),
                leader: "a".into(),
                shares: true,
            },
            incs: 10,
            parts: BTreeMap::new(),
            leader: Leader::new(&settings(SETTINGS_ALL).expect("settings")),
            handovers: Handovers::default(),
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
        self.parts
            .insert(name.into(), Part::new(name, TIMING, HashMap::new()));
    }

    fn ends(&mut self, name: &str) {
        self.epoch.members.remove(name);
        self.parts.remove(name);
    }

    fn put(&mut self, key: &str, value: serde_json::Value) {
        self.version += 1;
        self.mirror.put(key, value, self.version);
    }

    fn next_epoch(&mut self, leader: &str) {
        self.epoch.n += 1;
        self.epoch.leader = leader.into();
        let epoch = self.epoch.clone();
        self.put("fw/epoch", json!(epoch));
        let table = self.mirror.shares.clone();
        for (name, part) in &mut self.parts {
            let owns = |id: &str| owner_by_shares(&epoch, &table, id) == Some(name.as_str());
            part.enter(epoch.n, epoch.members[name], &self.mirror, self.now, owns);
        }
        if !self.epoch.members.contains_key(leader) {
            return;
        }
        self.leader
            .enter(&epoch, epoch.members[leader], &self.mirror);
        self.handovers.new_epoch(self.now);
    }

    fn owner(&self, id: &str) -> String {
        owner_by_shares(&self.epoch, &self.mirror.shares, id)
            .expect("an owner")
            .into()
    }

    fn tasks(&self) -> usize {
        self.workers.values().map(|w| w.tasks.len()).sum()
    }

    /// Parts report to the leader and get its orders, the table is written, machines are
    /// commanded, workers report.
    fn turn(&mut self) {
        self.now += 1.0;
        let now = self.now;
        let names: Vec<String> = self.parts.keys().cloned().collect();
        for name in &names {
            let report = self
                .parts
                .get_mut(name)
                .expect("a part")
                .snapshot(&self.mirror, now);
            let size = |message| {
                let (from, to) = (String::new(), String::new());
                let (hears, apart, cancellation_notices) = Default::default();
                Envelope {
                    from,
                    to,
                    fresh: true,
                    hears,
                    apart,
                    cancellation_notices,
                    message,
                }
                .encode()
                .len()
            };
            self.bytes += size(Message::Part(report.clone()));
            let handovers = report.handovers.clone();
            if self.leader.part_report(report, &self.mirror, now) {
                self.handovers.take_in(name, handovers, now);
            }
            self.leader.resolve(&self.mirror, &|_| false);
            self.leader.run_gangs(true);
            self.leader.assign_tasks(&self.mirror, now, || true);
            if let Some(mut orders) = self.leader.orders(name) {
                orders.handovers = self.handovers.orders_for(name);
                self.bytes += size(Message::Orders(orders.clone()));
                self.parts
                    .get_mut(name)
                    .expect("a part")
                    .orders(&orders, &self.mirror, now);
            }
        }
        self.write_table();
        for name in &names {
            let part = self.parts.get_mut(name).expect("a part");
            part.expire_leases(now);
            part.place(&self.mirror, When { now, day_ms: 0 }, || true);
            for direct in part.directs(&self.mirror, now) {
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
                part.direct_done(
                    &direct.machine,
                    &direct.body,
                    Some(&report),
                    &self.mirror,
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
        let Some(part) = self.parts.get_mut(&owner) else {
            return false;
        };
        let ReportReply::Commands { token, commands } =
            part.report(&report, false, &self.mirror, self.now)
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

    /// The table is written, if it is to be and the state service is there.
    fn write_table(&mut self) {
        if self.table_waits {
            return;
        }
        let Some(write) = self.handovers.to_write(&self.mirror.shares, self.now) else {
            return;
        };
        if self.state_away {
            return;
        }
        self.put(SHARES_KEY, json!(write.table.stored()));
        let (epoch, table) = (self.epoch.clone(), self.mirror.shares.clone());
        for (name, part) in &mut self.parts {
            let owns = |id: &str| owner_by_shares(&epoch, &table, id) == Some(name.as_str());
            part.shares_changed(&self.mirror, self.now, owns);
        }
        self.handovers.table_is(&self.mirror.shares, self.now);
    }

    /// All machines whose home is `a` are to go to `b`.
    fn begin(&mut self) {
        let range = ShareRange::whole("a");
        let wanted = WantedMove {
            range,
            giver: "a".into(),
            taker: "b".into(),
            reason: MoveReason::Plan,
        };
        assert!(self.handovers.begin(wanted, self.now));
    }

    fn state(&self) -> Option<HandoverState> {
        self.handovers
            .under_way()
            .next()
            .map(|handover| handover.state)
    }

    /// Goes on until the handover is in a state.
    fn until(&mut self, state: HandoverState) {
        self.state_away = state <= HandoverState::Committing;
        self.table_waits = state <= HandoverState::Fenced;
        for _ in 0..20 {
            if self.state() == Some(state) {
                return;
            }
            // Seen in between two parts of a turn.
            match (state, self.state()) {
                (HandoverState::Committed, Some(HandoverState::Committing)) => self.write_table(),
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
            (3, 12, 0),
            "{when}: jobs, tasks held, tasks in doubt"
        );
        for id in self.workers.keys() {
            let lists = |part: &&Part| part.listed_machines().contains(id);
            assert_eq!(
                self.parts.values().filter(lists).count(),
                1,
                "{when}: owners of {id}"
            );
        }
        assert!(
            self.parts
                .values()
                .all(|part| part.fenced_machines().is_empty()),
            "{when}: fenced"
        );
    }
}

fn report(id: &MachineId, worker: &mut Worker) -> Report {
    worker.seq += 1;
    let line = |(task, attempt): (&String, &u64)| TaskLine {
        task: task.clone(),
        attempt: *attempt,
        state: TaskState::Running,
        why: None,
        saved: None,
    };
    Report {
        machine: id.clone(),
        addr: id.to_string(),
        kind: "k".into(),
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
        notice_s: None,
        tasks: worker.tasks.iter().map(line).collect(),
    }
}

fn obey(
    worker: &mut Worker,
    calls: &[Call],
    by: &str,
    id: &MachineId,
    given: &mut Vec<(String, MachineId, Call)>,
) {
    for call in calls {
        match call {
            Call::Start { task, attempt } => drop(worker.tasks.insert(task.clone(), *attempt)),
            Call::Stop { task, .. } => drop(worker.tasks.remove(task)),
            Call::Forget { .. } => {}
        }
        given.push((by.into(), id.clone(), call.clone()));
    }
}

#[test]
fn a_share_moves_with_all_that_runs_on_it_and_nothing_is_ordered() {
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
    assert_eq!(two.handovers.ended.get(&HandoverEnd::Owned), Some(&1));
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
            "giver back",
            "taker back",
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
                    two.leader = Leader::new(&settings(SETTINGS_ALL).expect("settings"));
                    two.next_epoch(left);
                }
                "leader" => {
                    two.leader = Leader::new(&settings(SETTINGS_ALL).expect("settings"));
                    two.next_epoch("b");
                }
                "both" => {
                    two.begins("a");
                    two.begins("b");
                    two.leader = Leader::new(&settings(SETTINGS_ALL).expect("settings"));
                    two.next_epoch("a");
                }
                "giver back" => {
                    two.begins("a");
                    two.next_epoch("b");
                }
                "taker back" => {
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
        // The state service is away for longer than a lease: nothing ends on that account.
        let away = if state < HandoverState::Committed {
            30
        } else {
            2
        };
        for _ in 0..away {
            two.now += 1.0;
            let ids: Vec<MachineId> = two.workers.keys().cloned().collect();
            let answered = ids.iter().filter(|id| two.reports(id)).count();
            // In between the table's change and the taker's first orders nobody answers.
            assert!(
                answered == ids.len() || state == HandoverState::Committed,
                "{state:?}: {answered}"
            );
        }
        let spec = job("wk-1", "standing", 4);
        two.put("fw/j/wk-1", cores::record(&spec, true));
        let mirror = &two.mirror;
        two.parts
            .values_mut()
            .for_each(|part| part.job_changed(&"wk-1".into(), mirror));
        two.leader.job_changed(&"wk-1".into(), &two.mirror);
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
            HandoverState::Committing
        } else {
            HandoverState::Accepted
        });
        if refused {
            two.handovers.refused(two.now);
        } else {
            two.handovers.withdraw_stale(5.0, two.now + 6.0);
        }
        assert_eq!(two.state(), None);
        two.settles("withdrawn");
        // New work starts on its machines as ever.
        let spec = job("wk-9", "array", 16);
        two.put("fw/j/wk-9", cores::record(&spec, false));
        let mut record = cores::record(&spec, false);
        record["e"] = json!(two.epoch.n);
        two.put("fw/j/wk-9", record);
        two.leader.job_changed(&"wk-9".into(), &two.mirror);
        (0..6).for_each(|_| two.turn());
        assert!(two
            .given
            .iter()
            .any(|(by, _, call)| by == "a" && matches!(call, Call::Start { .. })));
    }
}

/// While a share changes hands nobody's word on its machines is final: the leader hears of
/// them from both sides, and a machine that is fenced for long does not look silent.
#[test]
fn machines_that_change_hands_have_no_single_owner_and_are_not_silent() {
    let mut two = Two::new();
    two.begin();
    two.until(HandoverState::Committing);
    for _ in 0..30 {
        two.now += 1.0;
        let ids: Vec<MachineId> = two.workers.keys().cloned().collect();
        ids.iter().for_each(|id| assert!(two.reports(id)));
    }
    let now = two.now;
    let told = two
        .parts
        .get_mut("a")
        .expect("a part")
        .snapshot(&two.mirror, now);
    assert!(told.quiet.is_empty(), "{:?}", told.quiet);
    let moving = two.parts["a"].fenced_machines();
    two.until(HandoverState::Committed);
    let mut orders = two.leader.orders("b").expect("orders");
    orders.handovers = two.handovers.orders_for("b");
    two.parts
        .get_mut("b")
        .expect("a part")
        .orders(&orders, &two.mirror, now);
    let report = two
        .parts
        .get_mut("b")
        .expect("a part")
        .snapshot(&two.mirror, now);
    assert!(two.leader.part_report(report, &two.mirror, now));
    assert!(
        moving.iter().all(|id| !two.leader.has_one_owner(id)),
        "its giver has not let go yet"
    );
    two.settles("moved");
    assert!(moving.iter().all(|id| two.leader.has_one_owner(id)));
}

/// A machine that comes on the roster while its range moves gets no orders of the giver.
#[test]
fn a_machine_that_appears_while_its_range_moves_is_fenced_too() {
    let mut two = Two::new();
    two.begin();
    two.until(HandoverState::Fenced);
    let id = (9..99)
        .map(|i| format!("m-{i}"))
        .find(|id| two.owner(id) == "a")
        .expect("one of a's");
    let page = json!({"b": "k", "z": "e", "s": false, "u": true, "a": "x:1"});
    two.put(&format!("fw/r/{id}"), page);
    let record = two.mirror.roster[id.as_str()].0.clone();
    let now = two.now;
    let part = two.parts.get_mut("a").expect("a part");
    part.list(&id.as_str().into(), &record, now);
    assert!(part.fenced_machines().iter().any(|fenced| **fenced == *id));
    assert!(!part
        .directs(&two.mirror, now + 9.0)
        .iter()
        .any(|direct| *direct.machine == *id));
    two.workers.insert(id.as_str().into(), Worker::default());
    two.settles("it is the taker's");
    assert_eq!(two.owner(&id), "b");
}

/// With a controller that doesn't go by the table the hash decides, for all.
#[test]
fn with_production_among_the_members_no_share_counts() {
    let mut two = Two::new();
    two.begin();
    (0..8).for_each(|_| two.turn());
    assert!(two.workers.keys().all(|id| two.owner(id) == "b"));
    two.epoch.shares = false;
    two.next_epoch("a");
    assert!(two.workers.keys().any(|id| two.owner(id) == "a"));
    two.settles("by the hash");
    two.epoch.shares = true;
    two.next_epoch("a");
    two.settles("by the table again");
}
