//! The JSON messages that are exchanged with users, workers and the cloud, compared with the
//! fixtures in `fixtures/wire-format/`, which were recorded before identifiers in the code
//! were renamed. Most are compared both ways: a value must be serialized to its fixture, and
//! the fixture must be unchanged when it is parsed and serialized again.

#[path = "common/fixtures.rs"]
mod fixtures;

use finchwood::api::responder::error_body;
use finchwood::wire::{
    cause, Catalog, Command, CommandBatch, Heartbeat, HeartbeatResponse, JobKind, JobSpec,
    JobStatus, ListedMachine, MachineIds, MachineListPage, MachineType, Priority, Redirect,
    RentalRequest, TaskReport, TaskState,
};
use fixtures::Fixtures;

const USER_MESSAGES: &str = include_str!("fixtures/wire-format/users.txt");
const WORKER_MESSAGES: &str = include_str!("fixtures/wire-format/workers.txt");
const CLOUD_MESSAGES: &str = include_str!("fixtures/wire-format/cloud.txt");

fn job_spec(job_kind: JobKind, priority: Priority) -> JobSpec {
    JobSpec {
        id: "wk-000412".into(),
        class: "train".into(),
        team: "vision".into(),
        job_kind,
        priority,
        task_count: 16,
        cpus: 8.0,
        gpus: 1.0,
        mem_gb: 64.0,
        image: "img-07".into(),
        image_gb: 6.2,
        types: Some(vec!["g8".into(), "c4".into()]),
        zone: Some("a".into()),
        one_zone: true,
        scatter: false,
        spot: true,
        estimate_s: 240.0,
        checkpoint_s: 30.0,
        save_s: 4.0,
        deadline_s: Some(900.0),
    }
}

/// Returns job specs with the names of their fixtures. Every kind of job and every priority
/// occurs.
fn job_specs() -> [(&'static str, JobSpec); 5] {
    let without_optional_fields = JobSpec {
        types: None,
        zone: None,
        one_zone: false,
        scatter: true,
        spot: false,
        deadline_s: None,
        ..job_spec(JobKind::Array, Priority::Low)
    };
    [
        (
            "submission.array.prod",
            job_spec(JobKind::Array, Priority::Prod),
        ),
        (
            "submission.standing.urgent",
            job_spec(JobKind::Service, Priority::Urgent),
        ),
        (
            "submission.ensemble.standard",
            job_spec(JobKind::Gang, Priority::Standard),
        ),
        (
            "submission.ensemble.low",
            job_spec(JobKind::Gang, Priority::Low),
        ),
        (
            "submission.without-optional-fields",
            without_optional_fields,
        ),
    ]
}

#[test]
fn job_specs_and_statuses_match_the_fixtures() {
    let fixtures = Fixtures::new(USER_MESSAGES);
    for (name, spec) in job_specs() {
        fixtures.assert_json_round_trip(name, &spec);
        let parsed = JobSpec::parse(fixtures.payload(name).as_bytes());
        assert_eq!(parsed.expect(name), spec, "{name}");
    }
    let with_nulls = JobSpec::parse(fixtures.payload("submission.with-nulls").as_bytes())
        .expect("a valid job spec");
    assert_eq!(with_nulls, job_specs()[4].1);
    let job_status = |state: &str, done, running| JobStatus {
        id: "wk-000412".into(),
        state: state.into(),
        done,
        running,
    };
    for state in ["pending", "running", "done", "cancelled"] {
        fixtures.assert_json_round_trip(
            &format!("view.{state}"),
            &job_status(state, Some(3), Some(13)),
        );
        fixtures.assert_json_round_trip(
            &format!("view.{state}.without-counts"),
            &job_status(state, None, None),
        );
    }
    fixtures.assert_text(
        "error",
        std::str::from_utf8(&error_body("no such job")).expect("UTF-8"),
    );
    for name in fixtures
        .lines()
        .filter_map(|(name, _)| name.strip_suffix(".refused-body"))
    {
        let parsed = JobSpec::parse(fixtures.text(&format!("{name}.refused-body")).as_bytes());
        fixtures.assert_text(&format!("{name}.why"), &parsed.expect_err(name).to_string());
    }
    fixtures.assert_all_used();
}

fn task_report(state: TaskState, cause: Option<&str>, saved: Option<bool>) -> TaskReport {
    TaskReport {
        task: "wk-000412/3".into(),
        attempt: 2,
        state,
        cause: cause.map(String::from),
        saved,
    }
}

fn heartbeat(reclaimed_in_s: Option<f64>, tasks: Vec<TaskReport>) -> Heartbeat {
    Heartbeat {
        machine: "m-000231".into(),
        address: "10.1.0.232:9000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        session: 1,
        seq: 88,
        token: 41,
        reclaimed_in_s,
        tasks,
    }
}

/// Returns task reports in which every state, every cause and every value of `saved` occurs.
fn task_reports() -> Vec<TaskReport> {
    use TaskState::{Ended, Fetching, Gathering, Other, Running, Saving};
    let with_state =
        [Fetching, Gathering, Running, Saving, Other].map(|state| task_report(state, None, None));
    let causes = [
        cause::DONE,
        cause::STOPPED,
        cause::ERROR,
        cause::NO_ROOM,
        cause::BUSY,
        cause::UNKNOWN,
        cause::PEERS,
        cause::ALONE,
    ];
    let with_saved = [
        task_report(Ended, Some(cause::STOPPED), Some(true)),
        task_report(Ended, None, Some(false)),
    ];
    with_state
        .into_iter()
        .chain(causes.map(|cause| task_report(Ended, Some(cause), None)))
        .chain(with_saved)
        .collect()
}

fn commands() -> Vec<Command> {
    vec![
        Command::Start {
            task: "wk-000412/4".into(),
            attempt: 2,
        },
        Command::Stop {
            task: "wk-000377/1".into(),
            attempt: 1,
            grace_s: 10.0,
        },
        Command::Forget {
            task: "wk-000398/0".into(),
            attempt: 1,
        },
    ]
}

#[test]
fn messages_of_workers_match_the_fixtures() {
    let fixtures = Fixtures::new(WORKER_MESSAGES);
    fixtures.assert_json_round_trip("report", &heartbeat(Some(30.5), task_reports()));
    fixtures.assert_json_round_trip("report.empty", &heartbeat(None, Vec::new()));
    let minimal: Heartbeat = fixtures.read("report.without-optional-fields");
    assert_eq!(minimal, heartbeat(None, Vec::new()));
    let unknown_state: Heartbeat = fixtures.read("report.with-an-unknown-state");
    assert_eq!(
        unknown_state,
        heartbeat(None, vec![task_report(TaskState::Other, None, None)])
    );
    fixtures.assert_json_round_trip(
        "answer",
        &HeartbeatResponse {
            token: 41,
            commands: commands(),
        },
    );
    fixtures.assert_json_round_trip(
        "answer.empty",
        &HeartbeatResponse {
            token: 0,
            commands: Vec::new(),
        },
    );
    fixtures.assert_json_round_trip(
        "commands",
        &CommandBatch {
            token: 41,
            session: 1,
            commands: commands(),
        },
    );
    fixtures.assert_json_round_trip(
        "commands.empty",
        &CommandBatch {
            token: 41,
            session: 1,
            commands: Vec::new(),
        },
    );
    fixtures.assert_json_round_trip(
        "redirect",
        &Redirect {
            report_to: Some("perch-2".into()),
        },
    );
    fixtures.assert_json_round_trip("redirect.to-any", &Redirect { report_to: None });
    fixtures.assert_all_used();
}

fn machine_type(name: &str, gpus: f64) -> MachineType {
    MachineType {
        name: name.into(),
        cpus: 96.0,
        gpus,
        mem_gb: 768.0,
        cache_gb: 200.0,
        fetch_gb_per_s: 1.0,
        price: 12.0,
        spot_price: 4.5,
        boot_s: 45.0,
        zones: vec!["a".into(), "b".into()],
    }
}

fn listed_machine(address: Option<&str>, state: &str) -> ListedMachine {
    ListedMachine {
        id: "m-000231".into(),
        address: address.map(String::from),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        state: state.into(),
        age_s: 61.5,
    }
}

#[test]
fn messages_of_the_cloud_match_the_fixtures() {
    let fixtures = Fixtures::new(CLOUD_MESSAGES);
    fixtures.assert_json_round_trip(
        "catalog",
        &Catalog {
            types: vec![machine_type("g8", 8.0), machine_type("c4", 0.0)],
        },
    );
    fixtures.assert_json_round_trip("catalog.empty", &Catalog::default());
    let minimal: Catalog = fixtures.read("catalog.without-optional-fields");
    assert_eq!(
        minimal,
        Catalog {
            types: vec![machine_type("c4", 0.0)]
        }
    );
    let rental = RentalRequest {
        request: "r-17".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        count: 12,
    };
    fixtures.assert_json_round_trip("rental", &rental);
    let machine_ids = MachineIds {
        machines: vec!["m-000231".into(), "m-000232".into()],
    };
    fixtures.assert_json_round_trip("machine-names", &machine_ids);
    let machines = vec![
        listed_machine(Some("10.1.0.232:9000"), "running"),
        listed_machine(None, "booting"),
    ];
    fixtures.assert_json_round_trip(
        "machine-page",
        &MachineListPage {
            machines,
            more: true,
        },
    );
    let minimal: MachineListPage = fixtures.read("machine-page.without-optional-fields");
    assert_eq!((minimal.machines.len(), minimal.more), (1, false));
    let machine = &minimal.machines[0];
    assert_eq!(
        (&*machine.id, machine.address.as_deref(), &*machine.state),
        ("m-000231", None, "failed")
    );
    fixtures.assert_all_used();
}
