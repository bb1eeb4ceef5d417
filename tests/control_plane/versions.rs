//! Two versions at once: what production wrote is read here, and what is written
//! here is read there.
//!
//! `fixtures/` holds bytes that the version in production wrote: a line for each
//! key of the key-value store, and messages between controllers in hex.
//! [`production`] holds as much of its types as reading needs, as they were.

use crate::builders::*;
use finchwood::cluster::membership::{next_epoch, owner_by_hash, owner_by_shard_map};
use finchwood::cluster::peer::{CancellationNotice, Envelope, PeerMessage};
use finchwood::finished::{chunks_covering, tasks_per_chunk, Chunk, ChunkRange};
use finchwood::shard::{
    AssignedTaskStatus, JobAssignment, Orders, RemovalReason, RemovedTask, ShardReport,
    SilentMachine, TaskPhase,
};
use finchwood::store::cache::StoreCache;
use finchwood::store::records::{MemberRecord, Versioned};
use finchwood::wire::{JobKind, Resources, Task};
use finchwood_sharding::shard_map::{HashRange, ShardMap};
use finchwood_sharding::transfer::TransferOrder;
use serde_json::{json, Value};

const STATE: &str = include_str!("../fixtures/production-state.txt");
const MESSAGES: &str = include_str!("../fixtures/production-messages.txt");

/// The types of messages as production has them, without what these tests don't
/// look at: unknown fields are left out, unknown variants make a message unreadable.
mod production {
    use serde::Deserialize;

    #[derive(Debug, Deserialize)]
    pub struct Envelope {
        pub called_off: Vec<CalledOff>,
        pub message: Message,
    }
    #[derive(Debug, Deserialize)]
    pub struct CalledOff {
        pub job: String,
    }
    #[derive(Debug, Deserialize)]
    pub struct Quiet {
        pub deaf_s: Option<f64>,
    }
    #[derive(Debug, Deserialize)]
    pub enum Message {
        Part(PartReport),
        Orders(Orders),
        Hello,
    }
    #[derive(Debug, Deserialize)]
    pub struct PartReport {
        pub epoch: u64,
        pub seq: u64,
        pub held: Vec<HeldView>,
        pub gone: Vec<Gone>,
        pub dropped: Vec<(Task, u64, u64)>,
        pub machines: Vec<MachineView>,
        pub quiet: Vec<Quiet>,
    }
    #[derive(Debug, Deserialize)]
    pub struct MachineView {
        pub id: String,
        pub heedless: bool,
        pub yielding: Resources,
    }
    #[derive(Debug, Deserialize)]
    pub struct Resources {
        pub cpus: f64,
    }
    #[derive(Debug, Deserialize, PartialEq)]
    pub struct Task {
        pub job: String,
        pub index: u32,
    }
    #[derive(Debug, Deserialize)]
    pub struct HeldView {
        pub task: Task,
        pub attempt: u64,
        pub phase: Phase,
        pub machine: Option<String>,
    }
    #[derive(Debug, Deserialize, PartialEq)]
    pub enum Phase {
        Queued,
        Starting,
        Fetching,
        Running,
        Saving,
        Done,
    }
    #[derive(Debug, Deserialize)]
    pub struct Gone {
        pub task: Task,
        pub attempt: u64,
        pub how: Leave,
    }
    #[derive(Debug, Deserialize, PartialEq)]
    pub enum Leave {
        Stopped,
        Error,
        Lost,
        Passed,
    }
    #[derive(Debug, Deserialize)]
    pub struct Orders {
        pub epoch: u64,
        pub deals: Vec<Deal>,
        pub recall: Vec<(Task, u64)>,
    }
    #[derive(Debug, Deserialize)]
    pub struct Deal {
        pub job: String,
        pub tasks: Vec<(u32, u64)>,
        pub zone_room: Option<Vec<(String, u32)>>,
        pub avoid: Vec<String>,
    }
    #[derive(Debug, Deserialize)]
    pub struct Member {
        pub inc: u64,
    }
    #[derive(Debug, Deserialize)]
    pub struct Epoch {
        pub n: u64,
        pub members: std::collections::BTreeMap<String, u64>,
        pub leader: String,
    }
}

fn state() -> Vec<(&'static str, Value)> {
    let line = |l: &'static str| {
        let (key, value) = l.split_once(' ').expect("a key and a value");
        (key, serde_json::from_str(value).expect("a value"))
    };
    STATE.lines().map(line).collect()
}

fn message(name: &str) -> Envelope {
    let hex = MESSAGES
        .lines()
        .find_map(|l| l.strip_prefix(name)?.strip_prefix(' '))
        .expect("a message");
    let byte = |i: usize| u8::from_str_radix(&hex[i..i + 2], 16).expect("hex");
    let bytes: Vec<u8> = (0..hex.len()).step_by(2).map(byte).collect();
    Envelope::decode(&bytes).expect("it is read")
}

/// What production reads of a message written here.
fn in_production(message: PeerMessage) -> production::Message {
    let envelope = Envelope {
        from: "a".into(),
        to: "b".into(),
        store_reachable: true,
        heard_peers: Vec::new(),
        unreachable_peers: Vec::new(),
        cancellation_notices: Vec::new(),
        message,
    };
    let read: production::Envelope =
        ciborium::from_reader(&envelope.encode()[..]).expect("it is read");
    read.message
}

#[test]
fn every_value_of_production_is_read_and_written_back_as_it_was() {
    let mut m = StoreCache::new(8.0);
    for (i, (key, value)) in state().into_iter().enumerate() {
        m.put(key, value, 1 + i as u64);
    }
    assert_eq!(
        m.epoch
            .as_ref()
            .map(|e| (e.number, e.leader.as_str(), e.members.len())),
        Some((4, "a", 2))
    );
    assert_eq!(m.catalog.as_ref().map(|c| c.types.len()), Some(1));
    assert_eq!(
        m.members["a"].value,
        MemberRecord {
            incarnation: 7,
            capability: 0
        }
    );
    assert!(
        !m.all_members_support_gangs(),
        "production does not run gangs"
    );
    assert_eq!(m.jobs["wk-1"].finished.iter().collect::<Vec<_>>(), [0, 2]);
    assert_eq!(
        m.jobs["wk-2"].record.spec.as_ref().map(|s| s.job_kind),
        Some(JobKind::Gang)
    );
    assert!(m.jobs["wk-3"].record.cancelled && m.jobs["wk-4"].record.done);
    assert_eq!(
        m.jobs["wk-5"].finished.iter().collect::<Vec<_>>(),
        [0, 5000, 16385],
        "of both its chunks"
    );
    let up: Vec<(&str, bool)> = m
        .registry
        .iter()
        .map(|(id, machine)| (&**id, machine.record.in_use))
        .collect();
    assert_eq!(
        up,
        [("m-1", true), ("m-2", false), ("m-3", true), ("m-4", true)]
    );
    for (key, value) in state() {
        let written = match key.split('/').nth(1).expect("a kind of key") {
            "epoch" => json!(m.epoch),
            "c" => json!(m.catalog),
            "j" => json!(m.jobs[key.rsplit('/').next().expect("an id")].record),
            "r" if value.get("m").is_some() => json!(m.registry_pages[key].value),
            _ => continue,
        };
        assert_eq!(written, value, "{key}");
    }
}

#[test]
fn every_message_of_production_is_read() {
    let shard = message("part");
    assert_eq!(
        (
            shard.cancellation_notices.len(),
            shard.heard_peers.len(),
            shard.unreachable_peers.len()
        ),
        (1, 1, 1)
    );
    let PeerMessage::ShardReport(shard) = shard.message else {
        panic!("not a part's report")
    };
    assert_eq!((shard.epoch, shard.seq, shard.machines.len()), (4, 1, 4));
    let held: Vec<(u64, TaskPhase, u64)> = shard
        .assigned
        .iter()
        .map(|h| (h.attempt, h.phase, h.assignment))
        .collect();
    assert_eq!(
        held,
        [(70, TaskPhase::Running, 0)],
        "production names no assignment"
    );
    let gone: Vec<(u64, RemovalReason, u64)> = shard
        .removed
        .iter()
        .map(|g| (g.attempt, g.reason, g.assignment))
        .collect();
    assert_eq!(
        gone,
        [
            (72, RemovalReason::Rejected, 0),
            (71, RemovalReason::Error, 0)
        ]
    );
    let PeerMessage::Orders(orders) = message("orders").message else {
        panic!("not orders")
    };
    let deal = &orders.assignments[0];
    assert_eq!(
        (
            deal.tasks.len(),
            deal.zone_capacity.is_some(),
            deal.assignments.len()
        ),
        (3, true, 0)
    );
    assert_eq!((orders.recall.len(), orders.drain.len()), (1, 1));
    assert!(matches!(message("hello").message, PeerMessage::KeepAlive));
}

// A gang's refused task was assigned anew: production reads the same message
// without the assignments, and takes no task twice under one attempt.
#[test]
fn production_reads_orders_with_gangs() {
    let deals = vec![JobAssignment {
        job: "wk-1".into(),
        tasks: vec![(0, 50), (1, 50)],
        zone_capacity: Some(vec![("e".into(), 2)]),
        avoid: vec!["m-9".into()],
        assignments: vec![(1, 51)],
    }];
    let recall = vec![(
        Task {
            job: "wk-2".into(),
            index: 1,
        },
        60,
    )];
    let read = in_production(PeerMessage::Orders(Orders {
        recall,
        borrowing: vec!["t".into()],
        ..orders(1, deals)
    }));
    let production::Message::Orders(read) = read else {
        panic!("not orders")
    };
    assert_eq!(read.epoch, EPOCH);
    assert_eq!(
        (read.deals[0].job.as_str(), &read.deals[0].tasks[..]),
        ("wk-1", &[(0, 50), (1, 50)][..])
    );
    assert_eq!(read.deals[0].zone_room, Some(vec![("e".to_string(), 2)]));
    assert_eq!(read.deals[0].avoid, ["m-9"]);
    assert_eq!(
        read.recall,
        [(
            production::Task {
                job: "wk-2".into(),
                index: 1
            },
            60
        )]
    );
}

// A gang that gathers, and one whose tasks are gone: whatever this version knows
// of them, its reports hold no phase and no way to leave that production lacks.
#[test]
fn production_reads_reports_with_gangs() {
    for phase in [
        TaskPhase::Queued,
        TaskPhase::Starting,
        TaskPhase::Fetching,
        TaskPhase::Running,
        TaskPhase::Saving,
        TaskPhase::Done,
    ] {
        let PeerMessage::ShardReport(before) = message("part").message else {
            panic!("not a part's report")
        };
        let task = Task {
            job: "wk-2".into(),
            index: 0,
        };
        let held = vec![AssignedTaskStatus {
            task,
            attempt: 50,
            phase,
            machine: Some("m-1".into()),
            assignment: 51,
        }];
        let gone: Vec<RemovedTask> = [
            RemovalReason::Stopped,
            RemovalReason::Error,
            RemovalReason::Lost,
            RemovalReason::Rejected,
        ]
        .into_iter()
        .map(|how| {
            let mut gone = before.removed[0].clone();
            (gone.reason, gone.assignment) = (how, 52);
            gone
        })
        .collect();
        let dropped = vec![(
            Task {
                job: "wk-2".into(),
                index: 2,
            },
            50,
            3,
        )];
        let read = in_production(PeerMessage::ShardReport(ShardReport {
            assigned: held,
            removed: gone,
            released: dropped,
            ..before
        }));
        let production::Message::Part(read) = read else {
            panic!("not a part's report")
        };
        assert_eq!((read.epoch, read.seq, read.dropped.len()), (4, 1, 1));
        assert_eq!(
            (read.held[0].attempt, format!("{:?}", read.held[0].phase)),
            (50, format!("{phase:?}"))
        );
        assert_eq!(
            read.held[0].task,
            production::Task {
                job: "wk-2".into(),
                index: 0
            }
        );
        assert_eq!(read.held[0].machine.as_deref(), Some("m-1"));
        use production::Leave::{Error, Lost, Passed, Stopped};
        assert_eq!(
            read.gone.iter().map(|g| &g.how).collect::<Vec<_>>(),
            [&Stopped, &Error, &Lost, &Passed]
        );
        assert!(read
            .gone
            .iter()
            .all(|g| g.attempt == 72 && g.task.job == "wk-1"));
    }
    assert!(matches!(
        in_production(PeerMessage::KeepAlive),
        production::Message::Hello
    ));
}

// What borrowing low work would give up is a field that production leaves out; from
// production nothing is said of it, and nothing is assigned on its strength.
#[test]
fn production_reads_machines_with_low_work_that_yields() {
    let PeerMessage::ShardReport(mut report) = message("part").message else {
        panic!("not a part's report")
    };
    assert!(report
        .machines
        .iter()
        .all(|machine| machine.preemptible_low.is_empty()));
    report.machines[0].preemptible = Resources {
        cpus: 6.0,
        gpus: 0.0,
        mem_gb: 1.0,
    };
    report.machines[0].preemptible_low = Resources {
        cpus: 4.0,
        gpus: 0.0,
        mem_gb: 1.0,
    };
    let id = report.machines[0].id.to_string();
    let read = in_production(PeerMessage::ShardReport(report));
    let production::Message::Part(read) = read else {
        panic!("not a part's report")
    };
    assert_eq!((read.machines.len(), &read.machines[0].id), (4, &id));
    assert_eq!(read.machines[0].yielding.cpus, 6.0);
}

// Names that were changed in the code stay as they were on the wire.
#[test]
fn production_reads_silent_machines_and_cancellations_under_their_old_names() {
    let PeerMessage::ShardReport(mut report) = message("part").message else {
        panic!("not a part's report")
    };
    report.machines[0].ignores_commands = true;
    report.silent_machines = vec![SilentMachine {
        id: "m-1".into(),
        silent_s: 9.0,
        unanswered_s: Some(4.0),
    }];
    let envelope = Envelope {
        from: "a".into(),
        to: "b".into(),
        store_reachable: true,
        heard_peers: Vec::new(),
        unreachable_peers: Vec::new(),
        cancellation_notices: vec![CancellationNotice {
            job: "wk-1".into(),
            revision: 3,
            at_ms: 4,
        }],
        message: PeerMessage::ShardReport(report),
    };
    let read: production::Envelope =
        ciborium::from_reader(&envelope.encode()[..]).expect("it is read");
    assert_eq!(
        read.called_off
            .iter()
            .map(|c| c.job.as_str())
            .collect::<Vec<_>>(),
        ["wk-1"]
    );
    let production::Message::Part(read) = read.message else {
        panic!("not a part's report")
    };
    assert!(read.machines[0].heedless && !read.machines[1].heedless);
    assert_eq!(
        read.quiet.iter().map(|q| q.deaf_s).collect::<Vec<_>>(),
        [Some(4.0)]
    );
}

// Shares are fields that production leaves out, and an epoch in which one member is of
// production doesn't have them.
#[test]
fn production_reads_epochs_members_and_messages_with_shard_maps() {
    let knows = |name: &str, incarnation: u64, shares: bool| {
        (
            name.to_string(),
            Versioned::new(MemberRecord::new(incarnation, shares), 1),
        )
    };
    let next = |live: &[(String, Versioned<MemberRecord>)]| {
        next_epoch(None, &live.iter().cloned().collect()).expect("an epoch")
    };
    let (all, mixed) = (
        next(&[knows("a", 7, true), knows("b", 8, true)]),
        next(&[knows("a", 7, true), knows("b", 8, false)]),
    );
    assert!(all.uses_shard_map && !mixed.uses_shard_map);
    assert_eq!(
        json!(mixed),
        json!({"n": 1, "members": {"a": 7, "b": 8}, "leader": "a"}),
        "the bytes of production"
    );
    let read: production::Epoch = serde_json::from_value(json!(all)).expect("it is read");
    assert_eq!(
        (read.n, read.leader.as_str(), read.members.len()),
        (1, "a", 2)
    );
    let read: production::Member =
        serde_json::from_value(json!(MemberRecord::new(9, true))).expect("it is read");
    assert_eq!(read.inc, 9);
    // Whatever the table says, with production among the members the hash decides.
    let table = ShardMap::default()
        .with_owner(&HashRange::whole("a"), "b")
        .with_owner(&HashRange::whole("b"), "a");
    for id in (0..20).map(|i| format!("m-{i}")) {
        let hash_owner = owner_by_hash(&all.members, &id).expect("a hash owner");
        assert_eq!(owner_by_shard_map(&mixed, &table, &id), Some(hash_owner));
        assert_ne!(owner_by_shard_map(&all, &table, &id), Some(hash_owner));
    }
    let PeerMessage::ShardReport(mut report) = message("part").message else {
        panic!("not a part's report")
    };
    let PeerMessage::Orders(mut orders) = message("orders").message else {
        panic!("not orders")
    };
    let plain = (
        in_production(PeerMessage::ShardReport(report.clone())),
        in_production(PeerMessage::Orders(orders.clone())),
    );
    report.transfers.accepted.push(1);
    orders.transfers.push(TransferOrder::Offer { id: 1 });
    let with = (
        in_production(PeerMessage::ShardReport(report)),
        in_production(PeerMessage::Orders(orders)),
    );
    assert_eq!(format!("{plain:?}"), format!("{with:?}"));
}

// A member says what it can do in its own key, which ends with its lease: when
// its process comes back with the version of before, the key says nothing of it.
#[test]
fn production_reads_a_member_that_runs_gangs() {
    let written = json!(MemberRecord::of_this_version(9));
    let read: production::Member = serde_json::from_value(written).expect("it is read");
    assert_eq!(read.inc, 9);
    let of_before: MemberRecord = serde_json::from_value(json!({"inc": 9})).expect("it is read");
    assert_eq!(
        (of_before.capability, json!(of_before)),
        (0, json!({"inc": 9}))
    );
}

// Finished tasks of jobs that fit one chunk under the limits to come are the
// same bytes under the same key in both versions; those of larger jobs have keys
// of their own, which production leaves alone, and both are read together.
#[test]
fn finished_tasks_are_read_in_either_size() {
    let (now, later) = (tasks_per_chunk(8.0), tasks_per_chunk(2.0));
    let whole = chunks_covering(&[0, 2], 3, later);
    assert_eq!(
        whole,
        [ChunkRange {
            chunk: Chunk::Numbered(0),
            first: 0,
            len: 3
        }]
    );
    assert_eq!(whole[0].chunk.key("wk-1"), "fw/f/wk-1/0");
    assert_eq!(chunks_covering(&[0, 2], 3, now), whole);
    let ranges = chunks_covering(&[1, 5000, 19_999], 20_000, later);
    assert_eq!(
        ranges.iter().map(|r| (r.first, r.len)).collect::<Vec<_>>(),
        [(0, 4096), (4096, 4096), (16_384, 3616)]
    );
    let mut m = StoreCache::new(8.0);
    for (i, (key, value)) in state().into_iter().enumerate() {
        m.put(key, value, 1 + i as u64);
    }
    let mut more = finchwood::finished::TaskSet::default();
    for task in [1, 5000, 19_999] {
        more.add(task);
    }
    for (i, r) in ranges.iter().enumerate() {
        let value: Value = more.hex(r.first, r.len).into();
        assert!(value.to_string().len() <= 2048, "within the limits to come");
        m.put(&r.chunk.key("wk-5"), value, 100 + i as u64);
    }
    assert_eq!(
        m.jobs["wk-5"].finished.iter().collect::<Vec<_>>(),
        [0, 1, 5000, 16_385, 19_999]
    );
    assert_eq!(m.jobs["wk-5"].chunks.len(), 5);
    // No sense in the key or beyond what a job may have: left out.
    for key in [
        "fw/f/wk-5/at/x",
        "fw/f/wk-5/at/4000000000",
        "fw/f/wk-5/4000000000",
        "fw/f/wk-5/at/99999",
    ] {
        m.put(key, "ffff".into(), 200);
    }
    assert!(m.jobs["wk-5"].finished.len() <= 6);
}
