//! What operators read and write, frozen: the reports of restarts and of shares, plans,
//! policies, the files that switch on parts, the platform's settings, and the flags.

#[path = "common/fixtures.rs"]
mod fixtures;

use finchwood::api::restart_report::{InvalidRecordReport, RestartReport};
use finchwood::api::shard_map_report::{OwnedRange, ShardMapReport, TransfersReport};
use finchwood::config::features::{ColdRestartConfig, Features, SharedMachinesConfig};
use finchwood::config::policy::Policy;
use finchwood::config::settings::Settings;
use finchwood::scheduler::ReconciliationProgress;
use finchwood::store::invalid_records::RecordError;
use finchwood_reconciliation::hold_off::{Action, HoldReason};
use finchwood_reconciliation::machine_state::MachineState;
use finchwood_reconciliation::restart_record::{
    CommandCounts, DecisionEntry, RestartRecord, StopCause,
};
use finchwood_reconciliation::unreconciled::ReconciliationPhase;
use finchwood_reconciliation::verdict::{
    AdoptReason, ConflictReason, ForgetReason, StopReason, UnreconciledReason, Verdict,
};
use finchwood_sharding::plan::{Plan, PlannedMove};
use finchwood_sharding::shard_map::{HashRange, ShardMap};
use finchwood_sharding::transfer::{
    MoveReason, RangeMove, TransferOutcome, TransferReport, Transfers,
};
use fixtures::Fixtures;
use std::process::Command;

const RESTARTS: &str = include_str!("fixtures/wire-format/restarts.txt");
const SHARES: &str = include_str!("fixtures/wire-format/shares.txt");
const POLICIES: &str = include_str!("fixtures/wire-format/policies.txt");
const PARTS: &str = include_str!("fixtures/wire-format/parts.txt");
const SETTINGS: &str = include_str!("fixtures/wire-format/settings.txt");
const PROGRAM: &str = include_str!("fixtures/wire-format/program.txt");

/// Every verdict with every reason.
fn verdicts() -> Vec<Verdict> {
    vec![
        Verdict::Known,
        Verdict::Adopt(AdoptReason::Runs),
        Verdict::Adopt(AdoptReason::FoundWhileUnplaced),
        Verdict::Adopt(AdoptReason::AttemptOfLaterEpoch),
        Verdict::RecordFinished,
        Verdict::Stop(StopReason::JobCancelled),
        Verdict::Stop(StopReason::JobDone),
        Verdict::Stop(StopReason::TaskFinished),
        Verdict::Stop(StopReason::AssignedElsewhere),
        Verdict::Forget(ForgetReason::EndCommitted),
        Verdict::Forget(ForgetReason::NothingToKeep),
        Verdict::LeaveUnreconciled(UnreconciledReason::UnknownJob),
        Verdict::LeaveUnreconciled(UnreconciledReason::NoSuchTask),
        Verdict::Conflict(ConflictReason::RunsTwice),
        Verdict::Conflict(ConflictReason::CompletedElsewhere),
    ]
}

/// Every action and every reason to hold one back.
const HOLDS: [(Action, HoldReason); 4] = [
    (Action::Rent, HoldReason::ShardReportsMissing),
    (Action::Preempt, HoldReason::MachinesUnreconciled),
    (Action::Consolidate, HoldReason::ControllerDowntime),
    (Action::DeleteUnprobed, HoldReason::ControllerDowntime),
];

const STATES: [MachineState; 5] = [
    MachineState::Unused,
    MachineState::NoHeartbeat,
    MachineState::Unconfirmed,
    MachineState::Confirmed,
    MachineState::LeaseExpired,
];

fn entry(verdict: Verdict) -> DecisionEntry {
    let (task, machine) = ("wk-1/0".into(), "m-1".into());
    DecisionEntry {
        at_s: 1.5,
        task,
        attempt: 70,
        machine,
        session: 2,
        verdict,
    }
}

fn orders() -> CommandCounts {
    let stops = [
        (StopCause::NoLongerNeeded, 1),
        (StopCause::Recalled, 2),
        (StopCause::Preempted, 3),
        (StopCause::MachineReclaimed, 4),
        (StopCause::NotAssigned, 5),
    ];
    CommandCounts {
        probes: 6,
        starts: 7,
        stops: stops.into_iter().collect(),
        forgets: 8,
    }
}

/// A record of all that there is, which has left one decision out.
fn full_record() -> RestartRecord {
    let all = verdicts();
    let mut record = RestartRecord::new(all.len());
    record.enter_epoch(4, false, 10.0);
    for verdict in [Verdict::Known].into_iter().chain(all) {
        record.record_decision(entry(verdict));
    }
    for (action, reason) in HOLDS {
        record.record_hold(action, reason);
    }
    record.record_unreconciled(0, 12.5);
    record.commands = orders();
    record
}

fn progress() -> ReconciliationProgress {
    let phases = [
        (ReconciliationPhase::Pending, 1),
        (ReconciliationPhase::Partial, 2),
        (ReconciliationPhase::Complete, 3),
    ];
    ReconciliationProgress {
        all_shards_reported: true,
        reconciled: false,
        jobs: phases.into_iter().collect(),
        unreconciled_tasks: 5,
        unreconciled_machines: 6,
    }
}

const RECORD_ERRORS: [RecordError; 10] = [
    RecordError::UnknownKey,
    RecordError::Malformed,
    RecordError::JobIdMismatch,
    RecordError::TaskCountMismatch,
    RecordError::MissingSpec,
    RecordError::UnknownJob,
    RecordError::UnknownTask,
    RecordError::UnknownTeam,
    RecordError::UnknownMachineType,
    RecordError::UnknownZone,
];

#[test]
fn reports_of_restarts_keep_their_bytes() {
    let fixtures = Fixtures::new(RESTARTS);
    let left_alone = |why: RecordError| InvalidRecordReport {
        key: "fw/j/wk-9".into(),
        reason: why.to_string(),
    };
    let full = RestartReport {
        node: "a".into(),
        first_accepted_after_s: Some(3.5),
        machines: full_record().view(STATES.into_iter(), 20.0),
        leader: Some(progress()),
        invalid_records: RECORD_ERRORS.map(left_alone).to_vec(),
        invalid_record_count: 10,
    };
    fixtures.assert_json("restart", &full);
    let bare = RestartReport {
        node: "a".into(),
        first_accepted_after_s: None,
        machines: RestartRecord::new(0).view([].into_iter(), 0.0),
        leader: None,
        invalid_records: Vec::new(),
        invalid_record_count: 0,
    };
    fixtures.assert_json("restart.bare", &bare);
    let mut kept = full_record();
    kept.enter_epoch(5, true, 21.0);
    fixtures.assert_json(
        "restart.kept",
        &kept.view([].into_iter(), 22.0).prior_knowledge,
    );
    fixtures.assert_all_used();
}

fn range(hash_owner: &str) -> HashRange {
    HashRange {
        hash_owner: hash_owner.into(),
        first: 16,
        last: u64::MAX,
    }
}

fn begin(transfers: &mut Transfers, hash_owner: &str, reason: MoveReason) {
    let wanted = RangeMove {
        range: range(hash_owner),
        source: "a".into(),
        target: "b".into(),
        reason,
    };
    assert!(transfers.begin(wanted, 1.0));
}

fn accept(transfers: &mut Transfers, id: u64) {
    transfers.apply_report(
        "b",
        TransferReport {
            accepted: vec![id],
            ..TransferReport::default()
        },
        2.0,
    );
}

fn fence(transfers: &mut Transfers, id: u64) {
    accept(transfers, id);
    transfers.apply_report(
        "a",
        TransferReport {
            fenced: vec![(id, Vec::new())],
            ..TransferReport::default()
        },
        3.0,
    );
}

/// One transfer in each state, and one for each reason.
fn transfers() -> Transfers {
    let mut transfers = Transfers::default();
    begin(&mut transfers, "a", MoveReason::Plan);
    fence(&mut transfers, 1);
    let table = transfers
        .pending_write(&ShardMap::default(), 4.0)
        .expect("a write")
        .shard_map;
    transfers.observe_shard_map(&table, 5.0);
    begin(&mut transfers, "b", MoveReason::Drain);
    fence(&mut transfers, 2);
    transfers.pending_write(&table, 6.0).expect("a write");
    begin(&mut transfers, "c", MoveReason::Balance);
    fence(&mut transfers, 3);
    begin(&mut transfers, "d", MoveReason::Compact);
    accept(&mut transfers, 4);
    begin(&mut transfers, "e", MoveReason::Plan);
    transfers
}

fn plan() -> Plan {
    let moves = vec![PlannedMove {
        source: "a".into(),
        target: "b".into(),
        machines: 12,
    }];
    Plan {
        drain: vec!["c".into()],
        moves,
    }
}

#[test]
fn reports_of_shares_and_plans_keep_their_bytes() {
    let fixtures = Fixtures::new(SHARES);
    let ends = [
        TransferOutcome::Completed,
        TransferOutcome::TimedOut,
        TransferOutcome::Refused,
        TransferOutcome::NewEpoch,
    ];
    let leader = TransfersReport {
        in_progress: transfers().in_progress().cloned().collect(),
        ended: ends.into_iter().zip(1..).collect(),
        machines_moved: 12,
        longest_s: 3.5,
        without_owner: 1,
        plan: plan(),
    };
    let full = ShardMapReport {
        node: "a".into(),
        epoch: 4,
        in_use: true,
        generation: 6,
        ranges: vec![OwnedRange {
            range: range("a"),
            owner: "b".into(),
        }],
        machines: vec!["m-1".into(), "m-2".into()],
        fenced: vec!["m-2".into()],
        leader: Some(leader),
    };
    fixtures.assert_json("shares", &full);
    let bare = ShardMapReport {
        epoch: 0,
        in_use: false,
        generation: 0,
        ranges: Vec::new(),
        machines: Vec::new(),
        fenced: Vec::new(),
        leader: None,
        ..full
    };
    fixtures.assert_json("shares.bare", &bare);
    fixtures.assert_json_round_trip("plan", &plan());
    fixtures.assert_json_round_trip("plan.empty", &Plan::default());
    assert_eq!(
        fixtures.read::<Plan>("plan.without-optional-fields"),
        Plan::default()
    );
    let members = ["a", "b", "c"].map(String::from).into_iter().collect();
    plan().check(&members).expect("it makes sense");
    for name in names(&fixtures, ".senseless-plan") {
        let plan: Plan = fixtures.read(&format!("{name}.senseless-plan"));
        fixtures.assert_text(
            &format!("{name}.why"),
            &plan.check(&members).expect_err(name).to_string(),
        );
    }
    fixtures.assert_all_used();
}

/// The names that have a fixture of a kind.
fn names(fixtures: &Fixtures, kind: &str) -> Vec<&'static str> {
    fixtures
        .lines()
        .filter_map(|(name, _)| name.strip_suffix(kind))
        .collect()
}

#[test]
fn policies_keep_their_names() {
    let fixtures = Fixtures::new(POLICIES);
    let values = |name: &str| {
        let rent = Policy::parse(&fixtures.text(name)).expect("taken").scaling;
        [
            rent.idle_boot_times,
            rent.service_headroom_share,
            rent.spot_wait_boot_times,
            rent.work_headroom_share,
            rent.boot_timeout_boot_times,
        ]
    };
    assert_eq!(values("all"), [1.5, 0.25, 0.75, 0.125, 4.0]);
    assert_eq!(values("none"), [0.6, 0.08, 0.4, 0.15, 3.0]);
    for name in names(&fixtures, ".refused-policy") {
        let error =
            Policy::parse(&fixtures.text(&format!("{name}.refused-policy"))).expect_err(name);
        fixtures.assert_text(&format!("{name}.why"), &error.to_string());
    }
    fixtures.assert_all_used();
}

#[test]
fn files_of_parts_keep_their_names() {
    let fixtures = Fixtures::new(PARTS);
    let mut shards = Features::default();
    for name in ["cold-restart", "shared-machines"] {
        shards.add("x.toml", &fixtures.text(name)).expect("taken");
    }
    let shared_machines = SharedMachinesConfig {
        machines_per_move: 4,
        moves_per_minute: 600.0,
        imbalance: 0.4,
        rest_leases: 0.1,
    };
    let cold_restart = ColdRestartConfig {
        answer_reports: 3.5,
        entries: 7,
    };
    let all = Features {
        cold_restart: Some(cold_restart),
        shared_machines: Some(shared_machines),
    };
    assert_eq!(shards, all);
    let mut shards = Features::default();
    for name in ["cold-restart.defaults", "shared-machines.defaults"] {
        shards.add("x.toml", &fixtures.text(name)).expect("taken");
    }
    let shared_machines = SharedMachinesConfig {
        machines_per_move: 20,
        moves_per_minute: 12.0,
        imbalance: 0.5,
        rest_leases: 3.0,
    };
    let cold_restart = ColdRestartConfig {
        answer_reports: 2.0,
        entries: 500,
    };
    assert_eq!(
        shards,
        Features {
            cold_restart: Some(cold_restart),
            shared_machines: Some(shared_machines)
        }
    );
    for name in ["cold-restart", "shared-machines"] {
        let twice = shards
            .add("y.toml", &fixtures.text(name))
            .expect_err("twice");
        fixtures.assert_text(&format!("{name}.twice"), &twice.to_string());
    }
    for name in names(&fixtures, ".refused-part") {
        let text = fixtures.text(&format!("{name}.refused-part"));
        let error = Features::default().add("x.toml", &text).expect_err(name);
        fixtures.assert_text(&format!("{name}.why"), &error.to_string());
    }
    fixtures.assert_all_used();
}

#[test]
fn settings_keep_their_names() {
    let fixtures = Fixtures::new(SETTINGS);
    let all = Settings::parse(&fixtures.text("all")).expect("taken");
    assert_eq!((&*all.node_name, &*all.zone), ("a", "e"));
    assert_eq!(
        (all.client_listen.port(), all.internal_listen.port()),
        (8080, 8081)
    );
    let other = &all.members[0];
    assert_eq!(
        (&*other.node_name, &*other.zone, other.endpoint.port()),
        ("b", "w", 8082)
    );
    assert_eq!(
        (all.services.cloud.port(), all.services.state.port()),
        (1, 2)
    );
    let params = &all.params;
    assert_eq!(
        (
            params.initial_size,
            params.zones.len(),
            params.time_bound_ms
        ),
        (2, 2, 10.5)
    );
    let team = &params.teams[0];
    assert_eq!(
        (
            &*team.name,
            team.cpus,
            team.cpus_max,
            team.gpus,
            team.gpus_max
        ),
        ("t", 4.0, 8.0, 1.0, 2.0)
    );
    let aim = &params.objectives[0];
    assert_eq!((&*aim.kind, &*aim.class), ("wait", "train"));
    assert_eq!(
        (aim.within_s, aim.share, aim.times),
        (Some(4.0), Some(0.96), Some(1.5))
    );
    let workers = &params.workers;
    assert_eq!(
        (workers.report_s, workers.lease_s, workers.cancel_s),
        (3.0, 20.0, 40.0)
    );
    assert_eq!((workers.gang_wait_s, workers.gang_peer_s), (46.0, 5.0));
    let state = &params.state;
    assert_eq!(
        (state.rps, state.write_rps, state.value_kb, state.txn_ops),
        (60.0, 20.0, 8.0, 12)
    );
    let next = &state.next;
    assert_eq!(
        (next.write_rps, next.value_kb, next.txn_ops),
        (Some(19.0), Some(2.0), Some(4))
    );
    assert_eq!((params.cloud.rps, params.cloud.list_lag_s), (4.0, 6.0));
    let limits = &params.machine_limits;
    assert_eq!(
        (limits.core_share, limits.ram_mb, limits.max_connections),
        (0.2, 128.0, 100)
    );
    let least = Settings::parse(&fixtures.text("least")).expect("taken");
    assert_eq!(
        (
            least.members.len(),
            least.params.teams.len(),
            least.params.objectives.len()
        ),
        (0, 0, 0)
    );
    assert_eq!(
        (
            least.params.workers.gang_wait_s,
            least.params.workers.gang_peer_s
        ),
        (45.0, 4.0)
    );
    assert!(least.params.state.next.write_rps.is_none());
    for name in names(&fixtures, ".instead-of") {
        let (good, bad) = (
            fixtures.text(&format!("{name}.instead-of")),
            fixtures.text(&format!("{name}.put")),
        );
        let text = fixtures.text("all");
        assert!(text.contains(&good), "{name}");
        let error = Settings::parse(&text.replacen(&good, &bad, 1)).expect_err(name);
        fixtures.assert_text(&format!("{name}.why"), &error.to_string());
    }
    fixtures.assert_all_used();
}

/// What the program says and how it ends, in a directory with the files of the fixtures.
fn run(fixtures: &Fixtures, name: &str) -> (Option<i32>, String, String) {
    let directory = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("wire-format-program");
    std::fs::create_dir_all(&directory).expect("a directory");
    for file in names(fixtures, ".file") {
        std::fs::write(directory.join(file), fixtures.text(&format!("{file}.file")))
            .expect("written");
    }
    let words = fixtures.text(&format!("{name}.arguments"));
    let program = Command::new(env!("CARGO_BIN_EXE_finchwood"))
        .args(words.split_whitespace())
        .current_dir(directory)
        .env_remove("LOG_LEVEL")
        .output()
        .expect("it ran");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (
        program.status.code(),
        text(&program.stdout),
        text(&program.stderr),
    )
}

#[test]
fn flags_keep_their_names() {
    let fixtures = Fixtures::new(PROGRAM);
    let (status, said, _) = run(&fixtures, "help");
    assert_eq!(status, Some(0));
    fixtures.assert_text("help.said", &said);
    for name in names(&fixtures, ".arguments")
        .into_iter()
        .filter(|name| *name != "help")
    {
        let (status, _, said) = run(&fixtures, name);
        fixtures.assert_text(
            &format!("{name}.said"),
            &format!("status {status:?}: {said}"),
        );
        // Its own words take one line; those about flags are the argument parser's.
        assert!(
            status == Some(2) || status == Some(1) && said.lines().count() == 1,
            "{name}: {said}"
        );
    }
    fixtures.assert_all_used();
}
