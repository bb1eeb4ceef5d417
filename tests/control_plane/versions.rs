//! Compatibility with the version in production, which runs alongside this one during an
//! update: each version reads the stored values and the messages that the other one writes.
//!
//! The fixtures contain bytes that the version in production wrote: one line for each key of
//! the key-value store, and messages between controllers in hex. The module [`production`]
//! contains its types, as far as these tests read them.

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

const STORED_ENTRIES: &str = include_str!("../fixtures/production-state.txt");
const MESSAGES: &str = include_str!("../fixtures/production-messages.txt");

/// The types of the version in production, without the fields that these tests don't read.
/// The types have the names of the current code; fields and variants have their names on the
/// wire. As in that version, unknown fields are ignored, and an unknown variant makes the
/// whole message unreadable.
mod production {
    use serde::Deserialize;

    #[derive(Debug, Deserialize)]
    pub struct Envelope {
        pub called_off: Vec<CancellationNotice>,
        pub message: PeerMessage,
    }
    #[derive(Debug, Deserialize)]
    pub struct CancellationNotice {
        pub job: String,
    }
    #[derive(Debug, Deserialize)]
    pub struct SilentMachine {
        pub deaf_s: Option<f64>,
    }
    #[derive(Debug, Deserialize)]
    pub enum PeerMessage {
        Part(ShardReport),
        Orders(Orders),
        Hello,
    }
    #[derive(Debug, Deserialize)]
    pub struct ShardReport {
        pub epoch: u64,
        pub seq: u64,
        pub held: Vec<AssignedTaskStatus>,
        pub gone: Vec<RemovedTask>,
        pub dropped: Vec<(Task, u64, u64)>,
        pub machines: Vec<MachineStatus>,
        pub quiet: Vec<SilentMachine>,
    }
    #[derive(Debug, Deserialize)]
    pub struct MachineStatus {
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
    pub struct AssignedTaskStatus {
        pub task: Task,
        pub attempt: u64,
        pub phase: TaskPhase,
        pub machine: Option<String>,
    }
    #[derive(Debug, Deserialize, PartialEq)]
    pub enum TaskPhase {
        Queued,
        Starting,
        Fetching,
        Running,
        Saving,
        Done,
    }
    #[derive(Debug, Deserialize)]
    pub struct RemovedTask {
        pub task: Task,
        pub attempt: u64,
        pub how: RemovalReason,
    }
    #[derive(Debug, Deserialize, PartialEq)]
    pub enum RemovalReason {
        Stopped,
        Error,
        Lost,
        Passed,
    }
    #[derive(Debug, Deserialize)]
    pub struct Orders {
        pub epoch: u64,
        pub deals: Vec<JobAssignment>,
        pub recall: Vec<(Task, u64)>,
    }
    #[derive(Debug, Deserialize)]
    pub struct JobAssignment {
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

/// Returns the keys and values that the version in production stored.
fn stored_entries() -> Vec<(&'static str, Value)> {
    let entry = |line: &'static str| {
        let (key, value) = line.split_once(' ').expect("a key and a value");
        (key, serde_json::from_str(value).expect("a value in JSON"))
    };
    STORED_ENTRIES.lines().map(entry).collect()
}

/// Returns a message that the version in production sent, decoded by this version.
fn message_from_production(name: &str) -> Envelope {
    let hex = MESSAGES
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '))
        .expect("the fixture contains the message");
    let byte = |start: usize| u8::from_str_radix(&hex[start..start + 2], 16).expect("hex digits");
    let bytes: Vec<u8> = (0..hex.len()).step_by(2).map(byte).collect();
    Envelope::decode(&bytes).expect("this version reads the message")
}

/// Encodes a message as this version does, and decodes it as the version in production does.
fn as_read_by_production(message: PeerMessage) -> production::PeerMessage {
    let envelope = Envelope {
        from: "a".into(),
        to: "b".into(),
        store_reachable: true,
        peers_with_store_access: Vec::new(),
        unreachable_peers: Vec::new(),
        cancellation_notices: Vec::new(),
        message,
    };
    let read: production::Envelope =
        ciborium::from_reader(&envelope.encode()[..]).expect("production reads the message");
    read.message
}

#[test]
fn values_of_the_version_in_production_are_read_and_written_back_unchanged() {
    let mut cache = StoreCache::new(8.0);
    for (i, (key, value)) in stored_entries().into_iter().enumerate() {
        cache.put(key, value, 1 + i as u64);
    }
    assert_eq!(
        cache.epoch.as_ref().map(|epoch| (
            epoch.number,
            epoch.leader.as_str(),
            epoch.members.len()
        )),
        Some((4, "a", 2))
    );
    assert_eq!(
        cache.catalog.as_ref().map(|catalog| catalog.types.len()),
        Some(1)
    );
    assert_eq!(
        cache.members["a"].value,
        MemberRecord {
            incarnation: 7,
            capability: 0
        }
    );
    assert!(
        !cache.all_members_support_gangs(),
        "members of the version in production were read as supporting gangs"
    );
    assert_eq!(
        cache.jobs["wk-1"].finished.iter().collect::<Vec<_>>(),
        [0, 2]
    );
    assert_eq!(
        cache.jobs["wk-2"]
            .record
            .spec
            .as_ref()
            .map(|spec| spec.job_kind),
        Some(JobKind::Gang)
    );
    assert!(cache.jobs["wk-3"].record.cancelled && cache.jobs["wk-4"].record.done);
    assert_eq!(
        cache.jobs["wk-5"].finished.iter().collect::<Vec<_>>(),
        [0, 5000, 16385],
        "expected the finished tasks of both chunks"
    );
    let in_use: Vec<(&str, bool)> = cache
        .registry
        .iter()
        .map(|(id, machine)| (&**id, machine.record.in_use))
        .collect();
    assert_eq!(
        in_use,
        [("m-1", true), ("m-2", false), ("m-3", true), ("m-4", true)]
    );
    for (key, value) in stored_entries() {
        let written = match key.split('/').nth(1).expect("a key under fw/") {
            "epoch" => json!(cache.epoch),
            "c" => json!(cache.catalog),
            "j" => json!(cache.jobs[key.rsplit('/').next().expect("a job id")].record),
            "r" if value.get("m").is_some() => json!(cache.registry_pages[key].value),
            _ => continue,
        };
        assert_eq!(written, value, "{key}");
    }
}

#[test]
fn messages_of_the_version_in_production_are_read() {
    let envelope = message_from_production("part");
    assert_eq!(
        (
            envelope.cancellation_notices.len(),
            envelope.peers_with_store_access.len(),
            envelope.unreachable_peers.len()
        ),
        (1, 1, 1)
    );
    let PeerMessage::ShardReport(report) = envelope.message else {
        panic!("not a shard report")
    };
    assert_eq!((report.epoch, report.seq, report.machines.len()), (4, 1, 4));
    let assigned: Vec<(u64, TaskPhase, u64)> = report
        .assigned
        .iter()
        .map(|status| (status.attempt, status.phase, status.assignment))
        .collect();
    assert_eq!(
        assigned,
        [(70, TaskPhase::Running, 0)],
        "expected assignment 0, as the version in production reports none"
    );
    let removed: Vec<(u64, RemovalReason, u64)> = report
        .removed
        .iter()
        .map(|removed| (removed.attempt, removed.reason, removed.assignment))
        .collect();
    assert_eq!(
        removed,
        [
            (72, RemovalReason::Rejected, 0),
            (71, RemovalReason::Error, 0)
        ]
    );
    let PeerMessage::Orders(orders) = message_from_production("orders").message else {
        panic!("not orders")
    };
    let assignment = &orders.assignments[0];
    assert_eq!(
        (
            assignment.tasks.len(),
            assignment.zone_allowances.is_some(),
            assignment.assignments.len()
        ),
        (3, true, 0)
    );
    assert_eq!((orders.recall.len(), orders.drain.len()), (1, 1));
    assert!(matches!(
        message_from_production("hello").message,
        PeerMessage::KeepAlive
    ));
}

/// A refused task of a gang is assigned again under the same attempt, with a new assignment
/// number. The version in production ignores the assignment numbers, and does not accept a
/// task twice under one attempt.
#[test]
fn the_version_in_production_reads_orders_for_gangs() {
    let assignments = vec![JobAssignment {
        job: "wk-1".into(),
        tasks: vec![(0, 50), (1, 50)],
        zone_allowances: Some(vec![("e".into(), 2)]),
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
    let read = as_read_by_production(PeerMessage::Orders(Orders {
        recall,
        borrowing: vec!["t".into()],
        ..orders(1, assignments)
    }));
    let production::PeerMessage::Orders(read) = read else {
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

/// Reports on a gang, whether its tasks wait for each other or were removed, must contain no
/// task phase and no removal reason that the version in production doesn't have: that version
/// could then not read any of the message.
#[test]
fn the_version_in_production_reads_reports_on_gangs() {
    for phase in [
        TaskPhase::Queued,
        TaskPhase::Starting,
        TaskPhase::Fetching,
        TaskPhase::Running,
        TaskPhase::Saving,
        TaskPhase::Done,
    ] {
        let PeerMessage::ShardReport(original) = message_from_production("part").message else {
            panic!("not a shard report")
        };
        let task = Task {
            job: "wk-2".into(),
            index: 0,
        };
        let assigned = vec![AssignedTaskStatus {
            task,
            attempt: 50,
            phase,
            machine: Some("m-1".into()),
            assignment: 51,
        }];
        let removed: Vec<RemovedTask> = [
            RemovalReason::Stopped,
            RemovalReason::Error,
            RemovalReason::Lost,
            RemovalReason::Rejected,
        ]
        .into_iter()
        .map(|reason| {
            let mut removed = original.removed[0].clone();
            (removed.reason, removed.assignment) = (reason, 52);
            removed
        })
        .collect();
        let released = vec![(
            Task {
                job: "wk-2".into(),
                index: 2,
            },
            50,
            3,
        )];
        let read = as_read_by_production(PeerMessage::ShardReport(ShardReport {
            assigned,
            removed,
            released,
            ..original
        }));
        let production::PeerMessage::Part(read) = read else {
            panic!("not a shard report")
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
        use production::RemovalReason::{Error, Lost, Passed, Stopped};
        assert_eq!(
            read.gone
                .iter()
                .map(|removed| &removed.how)
                .collect::<Vec<_>>(),
            [&Stopped, &Error, &Lost, &Passed]
        );
        assert!(read
            .gone
            .iter()
            .all(|removed| removed.attempt == 72 && removed.task.job == "wk-1"));
    }
    assert!(matches!(
        as_read_by_production(PeerMessage::KeepAlive),
        production::PeerMessage::Hello
    ));
}

/// The capacity that can be gained by preempting the low-priority arrays of borrowing teams is
/// a field that the version in production ignores. Its own reports don't contain the field,
/// which then reads as zero, so that no task is assigned because of it.
#[test]
fn the_version_in_production_reads_machines_with_preemptible_low_priority_tasks() {
    let PeerMessage::ShardReport(mut report) = message_from_production("part").message else {
        panic!("not a shard report")
    };
    assert!(report
        .machines
        .iter()
        .all(|machine| machine.preemptible_low.is_empty()));
    report.machines[0].preemptible = Resources {
        cpus: 6.0,
        gpus: 0.0,
        mem_gb: 1.0,
        ..Resources::default()
    };
    report.machines[0].preemptible_low = Resources {
        cpus: 4.0,
        gpus: 0.0,
        mem_gb: 1.0,
        ..Resources::default()
    };
    let id = report.machines[0].id.to_string();
    let read = as_read_by_production(PeerMessage::ShardReport(report));
    let production::PeerMessage::Part(read) = read else {
        panic!("not a shard report")
    };
    assert_eq!((read.machines.len(), &read.machines[0].id), (4, &id));
    assert_eq!(read.machines[0].yielding.cpus, 6.0);
}

/// Fields that were renamed in the code keep their names on the wire.
#[test]
fn the_version_in_production_reads_renamed_fields_under_their_old_names() {
    let PeerMessage::ShardReport(mut report) = message_from_production("part").message else {
        panic!("not a shard report")
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
        peers_with_store_access: Vec::new(),
        unreachable_peers: Vec::new(),
        cancellation_notices: vec![CancellationNotice {
            job: "wk-1".into(),
            revision: 3,
            at_ms: 4,
        }],
        message: PeerMessage::ShardReport(report),
    };
    let read: production::Envelope =
        ciborium::from_reader(&envelope.encode()[..]).expect("production reads the message");
    assert_eq!(
        read.called_off
            .iter()
            .map(|notice| notice.job.as_str())
            .collect::<Vec<_>>(),
        ["wk-1"]
    );
    let production::PeerMessage::Part(read) = read.message else {
        panic!("not a shard report")
    };
    assert!(read.machines[0].heedless && !read.machines[1].heedless);
    assert_eq!(
        read.quiet
            .iter()
            .map(|silent| silent.deaf_s)
            .collect::<Vec<_>>(),
        [Some(4.0)]
    );
}

/// The version in production ignores the field that states whether an epoch uses the shard map,
/// and all fields about transfers of hash ranges. An epoch with a member that does not follow
/// the shard map, such as one of that version, does not use the map, and its record is the same
/// as one that the version in production writes.
#[test]
fn the_version_in_production_ignores_the_shard_map_and_transfers() {
    let member = |name: &str, incarnation: u64, uses_shard_map: bool| {
        (
            name.to_string(),
            Versioned::new(MemberRecord::new(incarnation, uses_shard_map), 1),
        )
    };
    let next = |live: &[(String, Versioned<MemberRecord>)]| {
        next_epoch(None, &live.iter().cloned().collect()).expect("the members have changed")
    };
    let (with_shard_map, without_shard_map) = (
        next(&[member("a", 7, true), member("b", 8, true)]),
        next(&[member("a", 7, true), member("b", 8, false)]),
    );
    assert!(with_shard_map.uses_shard_map && !without_shard_map.uses_shard_map);
    assert_eq!(
        json!(without_shard_map),
        json!({"n": 1, "members": {"a": 7, "b": 8}, "leader": "a"}),
        "the record differs from that of the version in production"
    );
    let read: production::Epoch =
        serde_json::from_value(json!(with_shard_map)).expect("production reads the record");
    assert_eq!(
        (read.n, read.leader.as_str(), read.members.len()),
        (1, "a", 2)
    );
    let read: production::Member = serde_json::from_value(json!(MemberRecord::new(9, true)))
        .expect("production reads the record");
    assert_eq!(read.inc, 9);
    // With a member that does not follow the shard map, the owner by hash is the owner, whatever
    // the map contains.
    let shard_map = ShardMap::default()
        .with_owner(&HashRange::whole("a"), "b")
        .with_owner(&HashRange::whole("b"), "a");
    for id in (0..20).map(|i| format!("m-{i}")) {
        let hash_owner =
            owner_by_hash(&with_shard_map.members, &id).expect("the epoch has members");
        assert_eq!(
            owner_by_shard_map(&without_shard_map, &shard_map, &id),
            Some(hash_owner)
        );
        assert_ne!(
            owner_by_shard_map(&with_shard_map, &shard_map, &id),
            Some(hash_owner)
        );
    }
    let PeerMessage::ShardReport(mut report) = message_from_production("part").message else {
        panic!("not a shard report")
    };
    let PeerMessage::Orders(mut orders) = message_from_production("orders").message else {
        panic!("not orders")
    };
    let without_transfers = (
        as_read_by_production(PeerMessage::ShardReport(report.clone())),
        as_read_by_production(PeerMessage::Orders(orders.clone())),
    );
    report.transfers.accepted.push(1);
    orders.transfers.push(TransferOrder::Offer { id: 1 });
    let with_transfers = (
        as_read_by_production(PeerMessage::ShardReport(report)),
        as_read_by_production(PeerMessage::Orders(orders)),
    );
    assert_eq!(
        format!("{without_transfers:?}"),
        format!("{with_transfers:?}")
    );
}

/// A member's capability is stored in the member's own key, which is deleted when its lease
/// expires. If the process is restarted with an earlier version, the new value of the key
/// contains no capability.
#[test]
fn the_version_in_production_reads_a_member_with_capabilities() {
    let written = json!(MemberRecord::of_this_version(9));
    let read: production::Member =
        serde_json::from_value(written).expect("production reads the record");
    assert_eq!(read.inc, 9);
    let of_earlier_version: MemberRecord =
        serde_json::from_value(json!({"inc": 9})).expect("this version reads the record");
    assert_eq!(
        (of_earlier_version.capability, json!(of_earlier_version)),
        (0, json!({"inc": 9}))
    );
}

/// The finished tasks of a job that fits into one chunk under the store's future value limit
/// are the same bytes under the same key in both versions. Those of larger jobs have keys that
/// the version in production ignores; this version reads the chunks of both.
#[test]
fn finished_tasks_are_read_from_chunks_of_either_size() {
    let (per_chunk_now, per_chunk_later) = (tasks_per_chunk(8.0), tasks_per_chunk(2.0));
    let single = chunks_covering(&[0, 2], 3, per_chunk_later);
    assert_eq!(
        single,
        [ChunkRange {
            chunk: Chunk::Numbered(0),
            first: 0,
            len: 3
        }]
    );
    assert_eq!(single[0].chunk.key("wk-1"), "fw/f/wk-1/0");
    assert_eq!(chunks_covering(&[0, 2], 3, per_chunk_now), single);
    let ranges = chunks_covering(&[1, 5000, 19_999], 20_000, per_chunk_later);
    assert_eq!(
        ranges
            .iter()
            .map(|range| (range.first, range.len))
            .collect::<Vec<_>>(),
        [(0, 4096), (4096, 4096), (16_384, 3616)]
    );
    let mut cache = StoreCache::new(8.0);
    for (i, (key, value)) in stored_entries().into_iter().enumerate() {
        cache.put(key, value, 1 + i as u64);
    }
    let mut finished = finchwood::finished::TaskSet::default();
    for task in [1, 5000, 19_999] {
        finished.add(task);
    }
    for (i, range) in ranges.iter().enumerate() {
        let value: Value = finished.hex(range.first, range.len).into();
        assert!(
            value.to_string().len() <= 2048,
            "the value exceeds the future limit"
        );
        cache.put(&range.chunk.key("wk-5"), value, 100 + i as u64);
    }
    assert_eq!(
        cache.jobs["wk-5"].finished.iter().collect::<Vec<_>>(),
        [0, 1, 5000, 16_385, 19_999]
    );
    assert_eq!(cache.jobs["wk-5"].chunks.len(), 5);
    // Keys without a valid chunk, and tasks beyond the maximum of a job, are ignored.
    for key in [
        "fw/f/wk-5/at/x",
        "fw/f/wk-5/at/4000000000",
        "fw/f/wk-5/4000000000",
        "fw/f/wk-5/at/99999",
    ] {
        cache.put(key, "ffff".into(), 200);
    }
    assert!(cache.jobs["wk-5"].finished.len() <= 6);
}
