//! The CBOR messages between controllers, compared with the hexadecimal fixtures in
//! `fixtures/wire-format/`: each message with all of its fields, and without the optional
//! fields.

#[path = "common/fixtures.rs"]
mod fixtures;

use finchwood::cluster::failure_detection::ZoneContactAges;
use finchwood::cluster::peer::{CancellationNotice, Envelope, PeerMessage};
use finchwood::shard::{
    AssignedTaskStatus, JobAssignment, MachineStatus, Orders, RemovalReason, RemovedTask,
    ShardReport, SilentMachine, TaskPhase,
};
use finchwood::wire::{Resources, Task, TaskState};
use finchwood_reconciliation::machine_state::MachineState;
use finchwood_sharding::shard_map::HashRange;
use finchwood_sharding::transfer::{TransferOrder, TransferReport};
use finchwood_sharding::transfer_state::{
    AssignedTaskState, MachineTransferState, ReportedTaskState,
};
use fixtures::Fixtures;

const PEER_MESSAGES: &str = include_str!("fixtures/wire-format/peers.txt");
/// Messages that another version sent in production, one of which reports removed tasks.
const PRODUCTION_MESSAGES: &str = include_str!("fixtures/production-messages.txt");

fn task(index: u32) -> Task {
    Task {
        job: "wk-1".into(),
        index,
    }
}

fn resources(cpus: f64) -> Resources {
    Resources {
        cpus,
        gpus: 1.0,
        mem_gb: 16.5,
        ..Resources::default()
    }
}

fn full_machine_status() -> MachineStatus {
    MachineStatus {
        id: "m-1".into(),
        machine_type: "g8".into(),
        zone: "e".into(),
        spot: true,
        reconciled: true,
        has_reported: true,
        registered: true,
        address: Some("10.0.0.1:9000".into()),
        free: resources(4.0),
        preemptible: resources(3.0),
        preemptible_low: resources(2.0),
        schedulable: true,
        reclaim_notice: true,
        faulty: true,
        ignores_commands: true,
        draining: true,
        tasks: 3,
        images: vec!["img-1".into(), "img-2".into()],
    }
}

fn minimal_machine_status() -> MachineStatus {
    MachineStatus {
        id: "m-2".into(),
        machine_type: "c4".into(),
        zone: "w".into(),
        spot: false,
        reconciled: false,
        has_reported: false,
        registered: false,
        address: None,
        free: Resources::default(),
        preemptible: Resources::default(),
        preemptible_low: Resources::default(),
        schedulable: false,
        reclaim_notice: false,
        faulty: false,
        ignores_commands: false,
        draining: false,
        tasks: 0,
        images: Vec::new(),
    }
}

fn assigned_task_status(
    phase: TaskPhase,
    machine: Option<&str>,
    assignment: u64,
) -> AssignedTaskStatus {
    AssignedTaskStatus {
        task: task(0),
        attempt: 70,
        phase,
        machine: machine.map(Into::into),
        assignment,
    }
}

/// Returns a removed task with these values. The field `seq` of [`RemovedTask`] is private, so
/// the task is a changed copy of one in a recorded message.
fn removed_task(reason: RemovalReason, machine: Option<&str>, assignment: u64) -> RemovedTask {
    let PeerMessage::ShardReport(report) =
        decode(&Fixtures::new(PRODUCTION_MESSAGES), "part").message
    else {
        panic!("the message is not a shard report")
    };
    let mut removed = report.removed[0].clone();
    removed.task = task(1);
    removed.attempt = 71;
    removed.reason = reason;
    removed.machine = machine.map(Into::into);
    removed.assignment = assignment;
    removed
}

fn assigned_task_state() -> AssignedTaskState {
    AssignedTaskState {
        task: task(0),
        attempt: 70,
        assignment: 71,
        session: 2,
        start_token: 72,
        start_sent: true,
        confirmed: true,
        completed: true,
        stopping: true,
        in_phase_s: 5.5,
    }
}

fn reported_task_state(state: TaskState, cause: Option<&str>) -> ReportedTaskState {
    ReportedTaskState {
        task: task(0),
        attempt: 70,
        state,
        cause: cause.map(String::from),
    }
}

fn full_machine_transfer_state() -> MachineTransferState {
    use TaskState::{Ended, Fetching, Gathering, Other, Running, Saving};
    let states = [Fetching, Gathering, Running, Saving, Other];
    let reported = states
        .map(|state| reported_task_state(state, None))
        .into_iter();
    MachineTransferState {
        id: "m-1".into(),
        machine_type: "g8".into(),
        zone: "e".into(),
        spot: true,
        address: Some("10.0.0.1:9000".into()),
        registered: true,
        used: true,
        state: MachineState::Confirmed,
        session: 2,
        seq: 88,
        token_counter: 9,
        ended_session: 1,
        last_heartbeat_ago_s: Some(1.5),
        session_seen_ago_s: 100.25,
        reclaimed_in_s: Some(30.0),
        reported_tasks: reported
            .chain([reported_task_state(Ended, Some("done"))])
            .collect(),
        assigned_tasks: vec![assigned_task_state()],
        images: vec![("img-1".into(), 6.2)],
    }
}

fn minimal_machine_transfer_state(state: MachineState) -> MachineTransferState {
    MachineTransferState {
        id: "m-2".into(),
        spot: false,
        address: None,
        registered: false,
        used: false,
        state,
        last_heartbeat_ago_s: None,
        reclaimed_in_s: None,
        reported_tasks: Vec::new(),
        assigned_tasks: Vec::new(),
        images: Vec::new(),
        ..full_machine_transfer_state()
    }
}

/// Returns a machine with all fields and, for each state, one without optional fields.
fn machine_transfer_states() -> Vec<MachineTransferState> {
    use MachineState::{Confirmed, LeaseExpired, NoHeartbeat, Unconfirmed, Unused};
    let minimal = [Unused, NoHeartbeat, Unconfirmed, Confirmed, LeaseExpired]
        .map(minimal_machine_transfer_state);
    [full_machine_transfer_state()]
        .into_iter()
        .chain(minimal)
        .collect()
}

fn full_shard_report() -> ShardReport {
    use RemovalReason::{Error, Lost, Rejected, Stopped};
    use TaskPhase::{Done, Fetching, Queued, Running, Saving, Starting};
    let phases = [Queued, Starting, Fetching, Running, Saving, Done];
    ShardReport {
        epoch: 4,
        node: "a".into(),
        incarnation: 7,
        state_retained: true,
        since: 11,
        seq: 12,
        machines: vec![full_machine_status(), minimal_machine_status()],
        removed_machines: vec![("m-9".into(), 3)],
        assigned: phases
            .into_iter()
            .map(|phase| assigned_task_status(phase, Some("m-1"), 71))
            .collect(),
        removed: [Stopped, Error, Lost, Rejected]
            .into_iter()
            .map(|reason| removed_task(reason, Some("m-1"), 72))
            .collect(),
        released: vec![(task(2), 73, 5)],
        silent_machines: vec![
            SilentMachine {
                id: "m-1".into(),
                silent_s: 9.5,
                unanswered_s: Some(4.5),
            },
            SilentMachine {
                id: "m-2".into(),
                silent_s: 0.0,
                unanswered_s: None,
            },
        ],
        zone_contacts: vec![(
            "e".into(),
            ZoneContactAges {
                began_ago_s: 100.5,
                last_ago_s: 0.25,
            },
        )],
        foreign_workers: vec![("m-5".into(), 1.5)],
        transfers: TransferReport {
            accepted: vec![1],
            fenced: vec![(2, machine_transfer_states())],
            released: vec![3],
            taken_over: vec![4],
        },
    }
}

fn minimal_shard_report() -> ShardReport {
    ShardReport {
        epoch: 0,
        node: "a".into(),
        incarnation: 0,
        state_retained: false,
        since: 0,
        seq: 0,
        machines: vec![minimal_machine_status()],
        removed_machines: Vec::new(),
        assigned: vec![assigned_task_status(TaskPhase::Queued, None, 0)],
        removed: vec![removed_task(RemovalReason::Lost, None, 0)],
        released: Vec::new(),
        silent_machines: Vec::new(),
        zone_contacts: Vec::new(),
        foreign_workers: Vec::new(),
        transfers: TransferReport::default(),
    }
}

fn full_orders() -> Orders {
    let range = HashRange {
        hash_owner: "b".into(),
        first: 16,
        last: u64::MAX,
    };
    let assignment = JobAssignment {
        job: "wk-1".into(),
        tasks: vec![(0, 50), (1, 50)],
        zone_allowances: Some(vec![("e".into(), 2)]),
        avoid: vec!["m-9".into()],
        assignments: vec![(1, 51)],
    };
    Orders {
        epoch: 4,
        node: "a".into(),
        seq: 13,
        acknowledged_seq: 12,
        assignments: vec![assignment],
        recall: vec![(task(3), 60)],
        drain: vec!["m-8".into()],
        running: Some(vec![("wk-1".into(), 5)]),
        borrowing: vec!["vision".into()],
        transfers: vec![
            TransferOrder::Offer { id: 1 },
            TransferOrder::Fence {
                id: 2,
                range: range.clone(),
            },
            TransferOrder::TakeOver {
                id: 3,
                range,
                generation: 6,
                machines: machine_transfer_states(),
            },
        ],
    }
}

fn minimal_orders() -> Orders {
    let assignment = JobAssignment {
        job: "wk-1".into(),
        tasks: Vec::new(),
        zone_allowances: None,
        avoid: Vec::new(),
        assignments: Vec::new(),
    };
    Orders {
        epoch: 0,
        node: "a".into(),
        seq: 0,
        acknowledged_seq: 0,
        assignments: vec![assignment],
        recall: Vec::new(),
        drain: Vec::new(),
        running: None,
        borrowing: Vec::new(),
        transfers: Vec::new(),
    }
}

fn full_envelope(message: PeerMessage) -> Envelope {
    Envelope {
        from: "a".into(),
        to: "b".into(),
        store_reachable: true,
        peers_with_store_access: vec!["b".into()],
        unreachable_peers: vec!["c".into()],
        cancellation_notices: vec![CancellationNotice {
            job: "wk-1".into(),
            revision: 3,
            at_ms: 1_764_652_900_000,
        }],
        message,
    }
}

fn minimal_envelope(message: PeerMessage) -> Envelope {
    Envelope {
        store_reachable: false,
        peers_with_store_access: Vec::new(),
        unreachable_peers: Vec::new(),
        cancellation_notices: Vec::new(),
        ..full_envelope(message)
    }
}

fn decode(fixtures: &Fixtures, name: &str) -> Envelope {
    Envelope::decode(&fixtures.bytes(name))
        .unwrap_or_else(|| panic!("{name} is not a valid message"))
}

/// Checks that an envelope is encoded as its fixture, and that the fixture is decoded to an
/// equal envelope and is unchanged when that is encoded again.
fn check_round_trip(fixtures: &Fixtures, name: &str, envelope: &Envelope) {
    fixtures.assert_bytes(name, &envelope.encode());
    let decoded = decode(fixtures, name);
    fixtures.assert_bytes(name, &decoded.encode());
    assert_eq!(format!("{decoded:?}"), format!("{envelope:?}"), "{name}");
}

#[test]
fn peer_messages_match_the_fixtures() {
    let fixtures = Fixtures::new(PEER_MESSAGES);
    check_round_trip(
        &fixtures,
        "part",
        &full_envelope(PeerMessage::ShardReport(full_shard_report())),
    );
    check_round_trip(
        &fixtures,
        "part.bare",
        &minimal_envelope(PeerMessage::ShardReport(minimal_shard_report())),
    );
    check_round_trip(
        &fixtures,
        "orders",
        &full_envelope(PeerMessage::Orders(full_orders())),
    );
    check_round_trip(
        &fixtures,
        "orders.bare",
        &minimal_envelope(PeerMessage::Orders(minimal_orders())),
    );
    check_round_trip(&fixtures, "hello", &full_envelope(PeerMessage::KeepAlive));
    check_round_trip(
        &fixtures,
        "hello.bare",
        &minimal_envelope(PeerMessage::KeepAlive),
    );
    fixtures.assert_all_used();
}
