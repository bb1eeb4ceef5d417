//! The bytes that controllers send each other in CBOR, frozen as hex: each message with
//! every field filled, and with all that may be left out left out.

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

const PEERS: &str = include_str!("fixtures/wire-format/peers.txt");
/// Of another version; a task that is gone is taken from there.
const PRODUCTION: &str = include_str!("fixtures/production-messages.txt");

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
    }
}

fn machine_view() -> MachineStatus {
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

fn bare_machine_view() -> MachineStatus {
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

fn held(phase: TaskPhase, machine: Option<&str>, assignment: u64) -> AssignedTaskStatus {
    AssignedTaskStatus {
        task: task(0),
        attempt: 70,
        phase,
        machine: machine.map(Into::into),
        assignment,
    }
}

/// A task that is gone can't be made from outside: one that production told is changed.
fn gone(how: RemovalReason, machine: Option<&str>, assignment: u64) -> RemovedTask {
    let PeerMessage::ShardReport(report) = decoded(&Fixtures::new(PRODUCTION), "part").message
    else {
        panic!("not a part's report")
    };
    let mut gone = report.removed[0].clone();
    gone.task = task(1);
    gone.attempt = 71;
    gone.reason = how;
    gone.machine = machine.map(Into::into);
    gone.assignment = assignment;
    gone
}

fn known_task() -> AssignedTaskState {
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

fn known_line(state: TaskState, why: Option<&str>) -> ReportedTaskState {
    ReportedTaskState {
        task: task(0),
        attempt: 70,
        state,
        cause: why.map(String::from),
    }
}

fn known_machine() -> MachineTransferState {
    use TaskState::{Ended, Fetching, Gathering, Other, Running, Saving};
    let states = [Fetching, Gathering, Running, Saving, Other];
    let lines = states.map(|state| known_line(state, None)).into_iter();
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
        reported_tasks: lines.chain([known_line(Ended, Some("done"))]).collect(),
        assigned_tasks: vec![known_task()],
        images: vec![("img-1".into(), 6.2)],
    }
}

fn bare_machine(state: MachineState) -> MachineTransferState {
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
        ..known_machine()
    }
}

/// One machine with all that may be known, and one in each state.
fn machines() -> Vec<MachineTransferState> {
    use MachineState::{Confirmed, LeaseExpired, NoHeartbeat, Unconfirmed, Unused};
    let bare = [Unused, NoHeartbeat, Unconfirmed, Confirmed, LeaseExpired].map(bare_machine);
    [known_machine()].into_iter().chain(bare).collect()
}

fn full_part() -> ShardReport {
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
        machines: vec![machine_view(), bare_machine_view()],
        unregistered: vec![("m-9".into(), 3)],
        assigned: phases
            .into_iter()
            .map(|phase| held(phase, Some("m-1"), 71))
            .collect(),
        removed: [Stopped, Error, Lost, Rejected]
            .into_iter()
            .map(|how| gone(how, Some("m-1"), 72))
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
            fenced: vec![(2, machines())],
            released: vec![3],
            taken_over: vec![4],
        },
    }
}

fn bare_part() -> ShardReport {
    ShardReport {
        epoch: 0,
        node: "a".into(),
        incarnation: 0,
        state_retained: false,
        since: 0,
        seq: 0,
        machines: vec![bare_machine_view()],
        unregistered: Vec::new(),
        assigned: vec![held(TaskPhase::Queued, None, 0)],
        removed: vec![gone(RemovalReason::Lost, None, 0)],
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
        zone_capacity: Some(vec![("e".into(), 2)]),
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
                machines: machines(),
            },
        ],
    }
}

fn bare_orders() -> Orders {
    let assignment = JobAssignment {
        job: "wk-1".into(),
        tasks: Vec::new(),
        zone_capacity: None,
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
        heard_peers: vec!["b".into()],
        unreachable_peers: vec!["c".into()],
        cancellation_notices: vec![CancellationNotice {
            job: "wk-1".into(),
            revision: 3,
            at_ms: 1_764_652_900_000,
        }],
        message,
    }
}

fn bare_envelope(message: PeerMessage) -> Envelope {
    Envelope {
        store_reachable: false,
        heard_peers: Vec::new(),
        unreachable_peers: Vec::new(),
        cancellation_notices: Vec::new(),
        ..full_envelope(message)
    }
}

fn decoded(fixtures: &Fixtures, name: &str) -> Envelope {
    Envelope::decode(&fixtures.bytes(name)).unwrap_or_else(|| panic!("{name} is not a message"))
}

fn both_ways(fixtures: &Fixtures, name: &str, envelope: &Envelope) {
    fixtures.assert_bytes(name, &envelope.encode());
    let read = decoded(fixtures, name);
    fixtures.assert_bytes(name, &read.encode());
    assert_eq!(format!("{read:?}"), format!("{envelope:?}"), "{name}");
}

#[test]
fn messages_keep_their_bytes() {
    let fixtures = Fixtures::new(PEERS);
    both_ways(
        &fixtures,
        "part",
        &full_envelope(PeerMessage::ShardReport(full_part())),
    );
    both_ways(
        &fixtures,
        "part.bare",
        &bare_envelope(PeerMessage::ShardReport(bare_part())),
    );
    both_ways(
        &fixtures,
        "orders",
        &full_envelope(PeerMessage::Orders(full_orders())),
    );
    both_ways(
        &fixtures,
        "orders.bare",
        &bare_envelope(PeerMessage::Orders(bare_orders())),
    );
    both_ways(&fixtures, "hello", &full_envelope(PeerMessage::KeepAlive));
    both_ways(
        &fixtures,
        "hello.bare",
        &bare_envelope(PeerMessage::KeepAlive),
    );
    fixtures.assert_all_used();
}
