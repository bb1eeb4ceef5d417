//! The formats that operators read and write, compared with the fixtures in
//! `fixtures/wire-format/`: restart reports, shard map reports, plans, policies, feature
//! files, the settings and the command line.

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

const RESTART_REPORTS: &str = include_str!("fixtures/wire-format/restarts.txt");
const SHARD_MAP_REPORTS: &str = include_str!("fixtures/wire-format/shares.txt");
const POLICIES: &str = include_str!("fixtures/wire-format/policies.txt");
const FEATURE_FILES: &str = include_str!("fixtures/wire-format/parts.txt");
const SETTINGS: &str = include_str!("fixtures/wire-format/settings.txt");
const COMMAND_LINE: &str = include_str!("fixtures/wire-format/program.txt");

/// Returns every verdict, with every reason.
fn all_verdicts() -> Vec<Verdict> {
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

/// Every action that a hold-off may delay, and every reason for the delay.
const HOLDS: [(Action, HoldReason); 4] = [
    (Action::Rent, HoldReason::ShardReportsMissing),
    (Action::Preempt, HoldReason::MachinesUnreconciled),
    (Action::Consolidate, HoldReason::ControllerDowntime),
    (Action::DeleteUnprobed, HoldReason::ControllerDowntime),
];

const MACHINE_STATES: [MachineState; 5] = [
    MachineState::Unused,
    MachineState::NoHeartbeat,
    MachineState::Unconfirmed,
    MachineState::Confirmed,
    MachineState::LeaseExpired,
];

fn decision_entry(verdict: Verdict) -> DecisionEntry {
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

fn command_counts() -> CommandCounts {
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

/// Returns a record with every verdict, every hold and every kind of command. One decision
/// more is recorded than the record keeps, so that it leaves out the oldest.
fn full_record() -> RestartRecord {
    let verdicts = all_verdicts();
    let mut record = RestartRecord::new(verdicts.len());
    record.enter_epoch(4, false, 10.0);
    for verdict in [Verdict::Known].into_iter().chain(verdicts) {
        record.record_decision(decision_entry(verdict));
    }
    for (action, reason) in HOLDS {
        record.record_hold(action, reason);
    }
    record.record_unreconciled(0, 12.5);
    record.commands = command_counts();
    record
}

fn reconciliation_progress() -> ReconciliationProgress {
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
fn restart_reports_match_the_fixtures() {
    let fixtures = Fixtures::new(RESTART_REPORTS);
    let invalid_record = |error: RecordError| InvalidRecordReport {
        key: "fw/j/wk-9".into(),
        reason: error.to_string(),
    };
    let full = RestartReport {
        node: "a".into(),
        first_accepted_after_s: Some(3.5),
        machines: full_record().view(MACHINE_STATES.into_iter(), 20.0),
        leader: Some(reconciliation_progress()),
        invalid_records: RECORD_ERRORS.map(invalid_record).to_vec(),
        invalid_record_count: 10,
    };
    fixtures.assert_json("restart", &full);
    let empty = RestartReport {
        node: "a".into(),
        first_accepted_after_s: None,
        machines: RestartRecord::new(0).view([].into_iter(), 0.0),
        leader: None,
        invalid_records: Vec::new(),
        invalid_record_count: 0,
    };
    fixtures.assert_json("restart.bare", &empty);
    let mut retained = full_record();
    retained.enter_epoch(5, true, 21.0);
    fixtures.assert_json(
        "restart.kept",
        &retained.view([].into_iter(), 22.0).prior_knowledge,
    );
    fixtures.assert_all_used();
}

fn hash_range(hash_owner: &str) -> HashRange {
    HashRange {
        hash_owner: hash_owner.into(),
        first: 16,
        last: u64::MAX,
    }
}

fn begin_transfer(transfers: &mut Transfers, hash_owner: &str, reason: MoveReason) {
    let range_move = RangeMove {
        range: hash_range(hash_owner),
        source: "a".into(),
        target: "b".into(),
        reason,
    };
    assert!(transfers.begin(range_move, 1.0));
}

fn accept_transfer(transfers: &mut Transfers, id: u64) {
    transfers.apply_report(
        "b",
        TransferReport {
            accepted: vec![id],
            ..TransferReport::default()
        },
        2.0,
    );
}

fn fence_transfer(transfers: &mut Transfers, id: u64) {
    accept_transfer(transfers, id);
    transfers.apply_report(
        "a",
        TransferReport {
            fenced: vec![(id, Vec::new())],
            ..TransferReport::default()
        },
        3.0,
    );
}

/// Returns a transfer in each state. Together the transfers have every reason.
fn transfers_in_every_state() -> Transfers {
    let mut transfers = Transfers::default();
    begin_transfer(&mut transfers, "a", MoveReason::Plan);
    fence_transfer(&mut transfers, 1);
    let shard_map = transfers
        .pending_write(&ShardMap::default(), 4.0)
        .expect("a pending write")
        .shard_map;
    transfers.observe_shard_map(&shard_map, 5.0);
    begin_transfer(&mut transfers, "b", MoveReason::Drain);
    fence_transfer(&mut transfers, 2);
    transfers
        .pending_write(&shard_map, 6.0)
        .expect("a pending write");
    begin_transfer(&mut transfers, "c", MoveReason::Balance);
    fence_transfer(&mut transfers, 3);
    begin_transfer(&mut transfers, "d", MoveReason::Compact);
    accept_transfer(&mut transfers, 4);
    begin_transfer(&mut transfers, "e", MoveReason::Plan);
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
fn shard_map_reports_and_plans_match_the_fixtures() {
    let fixtures = Fixtures::new(SHARD_MAP_REPORTS);
    let outcomes = [
        TransferOutcome::Completed,
        TransferOutcome::TimedOut,
        TransferOutcome::Refused,
        TransferOutcome::NewEpoch,
    ];
    let leader = TransfersReport {
        in_progress: transfers_in_every_state().in_progress().cloned().collect(),
        ended: outcomes.into_iter().zip(1..).collect(),
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
            range: hash_range("a"),
            owner: "b".into(),
        }],
        machines: vec!["m-1".into(), "m-2".into()],
        fenced: vec!["m-2".into()],
        leader: Some(leader),
    };
    fixtures.assert_json("shares", &full);
    let empty = ShardMapReport {
        epoch: 0,
        in_use: false,
        generation: 0,
        ranges: Vec::new(),
        machines: Vec::new(),
        fenced: Vec::new(),
        leader: None,
        ..full
    };
    fixtures.assert_json("shares.bare", &empty);
    fixtures.assert_json_round_trip("plan", &plan());
    fixtures.assert_json_round_trip("plan.empty", &Plan::default());
    assert_eq!(
        fixtures.read::<Plan>("plan.without-optional-fields"),
        Plan::default()
    );
    let members = ["a", "b", "c"].map(String::from).into_iter().collect();
    plan().check(&members).expect("a valid plan");
    for name in names_with_suffix(&fixtures, ".senseless-plan") {
        let plan: Plan = fixtures.read(&format!("{name}.senseless-plan"));
        fixtures.assert_text(
            &format!("{name}.why"),
            &plan.check(&members).expect_err(name).to_string(),
        );
    }
    fixtures.assert_all_used();
}

/// Returns the names of the fixtures that end in `suffix`, without the suffix.
fn names_with_suffix(fixtures: &Fixtures, suffix: &str) -> Vec<&'static str> {
    fixtures
        .lines()
        .filter_map(|(name, _)| name.strip_suffix(suffix))
        .collect()
}

#[test]
fn policies_match_the_fixtures() {
    let fixtures = Fixtures::new(POLICIES);
    let values = |name: &str| {
        let scaling = Policy::parse(&fixtures.text(name))
            .expect("a valid policy")
            .scaling;
        [
            scaling.idle_boot_times,
            scaling.service_headroom_share,
            scaling.spot_wait_boot_times,
            scaling.work_headroom_share,
            scaling.boot_timeout_boot_times,
        ]
    };
    assert_eq!(values("all"), [1.5, 0.25, 0.75, 0.125, 4.0]);
    assert_eq!(values("none"), [0.6, 0.08, 0.4, 0.15, 3.0]);
    for name in names_with_suffix(&fixtures, ".refused-policy") {
        let error =
            Policy::parse(&fixtures.text(&format!("{name}.refused-policy"))).expect_err(name);
        fixtures.assert_text(&format!("{name}.why"), &error.to_string());
    }
    fixtures.assert_all_used();
}

#[test]
fn feature_files_match_the_fixtures() {
    let fixtures = Fixtures::new(FEATURE_FILES);
    let mut features = Features::default();
    for name in ["cold-restart", "shared-machines"] {
        features
            .add("x.toml", &fixtures.text(name))
            .expect("a valid feature file");
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
    let expected = Features {
        cold_restart: Some(cold_restart),
        shared_machines: Some(shared_machines),
    };
    assert_eq!(features, expected);
    let mut features = Features::default();
    for name in ["cold-restart.defaults", "shared-machines.defaults"] {
        features
            .add("x.toml", &fixtures.text(name))
            .expect("a valid feature file");
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
        features,
        Features {
            cold_restart: Some(cold_restart),
            shared_machines: Some(shared_machines)
        }
    );
    for name in ["cold-restart", "shared-machines"] {
        let error = features
            .add("y.toml", &fixtures.text(name))
            .expect_err("a feature that is enabled already");
        fixtures.assert_text(&format!("{name}.twice"), &error.to_string());
    }
    for name in names_with_suffix(&fixtures, ".refused-part") {
        let text = fixtures.text(&format!("{name}.refused-part"));
        let error = Features::default().add("x.toml", &text).expect_err(name);
        fixtures.assert_text(&format!("{name}.why"), &error.to_string());
    }
    fixtures.assert_all_used();
}

#[test]
fn settings_match_the_fixtures() {
    let fixtures = Fixtures::new(SETTINGS);
    let full = Settings::parse(&fixtures.text("all")).expect("valid settings");
    assert_eq!((&*full.node_name, &*full.zone), ("a", "e"));
    assert_eq!(
        (full.client_listen.port(), full.internal_listen.port()),
        (8080, 8081)
    );
    let member = &full.members[0];
    assert_eq!(
        (&*member.node_name, &*member.zone, member.endpoint.port()),
        ("b", "w", 8082)
    );
    assert_eq!(
        (full.services.cloud.port(), full.services.state.port()),
        (1, 2)
    );
    let params = &full.params;
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
    let objective = &params.objectives[0];
    assert_eq!((&*objective.kind, &*objective.class), ("wait", "train"));
    assert_eq!(
        (objective.within_s, objective.share, objective.times),
        (Some(4.0), Some(0.96), Some(1.5))
    );
    let workers = &params.workers;
    assert_eq!(
        (workers.report_s, workers.lease_s, workers.cancel_s),
        (3.0, 20.0, 40.0)
    );
    assert_eq!((workers.gang_wait_s, workers.gang_peer_s), (46.0, 5.0));
    let store = &params.state;
    assert_eq!(
        (store.rps, store.write_rps, store.value_kb, store.txn_ops),
        (60.0, 20.0, 8.0, 12)
    );
    let next = &store.next;
    assert_eq!(
        (next.write_rps, next.value_kb, next.txn_ops),
        (Some(19.0), Some(2.0), Some(4))
    );
    assert_eq!((params.cloud.rps, params.cloud.list_lag_s), (4.0, 6.0));
    let machine_limits = &params.machine_limits;
    assert_eq!(
        (
            machine_limits.core_share,
            machine_limits.ram_mb,
            machine_limits.max_connections
        ),
        (0.2, 128.0, 100)
    );
    let minimal = Settings::parse(&fixtures.text("least")).expect("valid settings");
    assert_eq!(
        (
            minimal.members.len(),
            minimal.params.teams.len(),
            minimal.params.objectives.len()
        ),
        (0, 0, 0)
    );
    assert_eq!(
        (
            minimal.params.workers.gang_wait_s,
            minimal.params.workers.gang_peer_s
        ),
        (45.0, 4.0)
    );
    assert!(minimal.params.state.next.write_rps.is_none());
    for name in names_with_suffix(&fixtures, ".instead-of") {
        let (valid, invalid) = (
            fixtures.text(&format!("{name}.instead-of")),
            fixtures.text(&format!("{name}.put")),
        );
        let text = fixtures.text("all");
        assert!(text.contains(&valid), "{name}: the settings lack {valid:?}");
        let error = Settings::parse(&text.replacen(&valid, &invalid, 1)).expect_err(name);
        fixtures.assert_text(&format!("{name}.why"), &error.to_string());
    }
    fixtures.assert_all_used();
}

/// Runs the program with the arguments of a fixture, in a directory with the files of the
/// fixtures. Returns its exit status, standard output and standard error.
fn run_program(fixtures: &Fixtures, name: &str) -> (Option<i32>, String, String) {
    let directory = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("wire-format-program");
    std::fs::create_dir_all(&directory).expect("the directory can be created");
    for file in names_with_suffix(fixtures, ".file") {
        std::fs::write(directory.join(file), fixtures.text(&format!("{file}.file")))
            .expect("the file can be written");
    }
    let arguments = fixtures.text(&format!("{name}.arguments"));
    let output = Command::new(env!("CARGO_BIN_EXE_finchwood"))
        .args(arguments.split_whitespace())
        .current_dir(directory)
        .env_remove("LOG_LEVEL")
        .output()
        .expect("the program starts");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (
        output.status.code(),
        text(&output.stdout),
        text(&output.stderr),
    )
}

#[test]
fn command_line_output_matches_the_fixtures() {
    let fixtures = Fixtures::new(COMMAND_LINE);
    let (status, stdout, _) = run_program(&fixtures, "help");
    assert_eq!(status, Some(0));
    fixtures.assert_text("help.said", &stdout);
    for name in names_with_suffix(&fixtures, ".arguments")
        .into_iter()
        .filter(|name| *name != "help")
    {
        let (status, _, stderr) = run_program(&fixtures, name);
        fixtures.assert_text(
            &format!("{name}.said"),
            &format!("status {status:?}: {stderr}"),
        );
        // The program's own errors are one line long. Errors about flags (status 2) come from
        // the argument parser and may be longer.
        assert!(
            status == Some(2) || status == Some(1) && stderr.lines().count() == 1,
            "{name}: status {status:?}, expected an error of one line: {stderr}"
        );
    }
    fixtures.assert_all_used();
}
