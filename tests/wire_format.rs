//! The bytes that leave the process in JSON, frozen: what users, workers and the cloud
//! get and send. `fixtures/wire-format/` holds them as they were written before names in
//! the code changed; each is compared both ways.

#[path = "common/fixtures.rs"]
mod fixtures;

use finchwood::api::responder::error_body;
use finchwood::wire::{
    cause, Catalog, Command, CommandBatch, Heartbeat, HeartbeatResponse, JobKind, JobSpec,
    JobStatus, ListedMachine, MachineIds, MachineListPage, MachineType, Priority, Redirect,
    RentalRequest, TaskReport, TaskState,
};
use fixtures::Fixtures;

const USERS: &str = include_str!("fixtures/wire-format/users.txt");
const WORKERS: &str = include_str!("fixtures/wire-format/workers.txt");
const CLOUD: &str = include_str!("fixtures/wire-format/cloud.txt");

fn submission(job_kind: JobKind, priority: Priority) -> JobSpec {
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

/// Every shape and every priority occurs.
fn submissions() -> [(&'static str, JobSpec); 5] {
    let plain = JobSpec {
        types: None,
        zone: None,
        one_zone: false,
        scatter: true,
        spot: false,
        deadline_s: None,
        ..submission(JobKind::Array, Priority::Low)
    };
    [
        (
            "submission.array.prod",
            submission(JobKind::Array, Priority::Prod),
        ),
        (
            "submission.standing.urgent",
            submission(JobKind::Service, Priority::Urgent),
        ),
        (
            "submission.ensemble.standard",
            submission(JobKind::Gang, Priority::Standard),
        ),
        (
            "submission.ensemble.low",
            submission(JobKind::Gang, Priority::Low),
        ),
        ("submission.without-optional-fields", plain),
    ]
}

#[test]
fn submissions_keep_their_bytes() {
    let fixtures = Fixtures::new(USERS);
    for (name, spec) in submissions() {
        fixtures.assert_json_round_trip(name, &spec);
        let parsed = JobSpec::parse(fixtures.payload(name).as_bytes());
        assert_eq!(parsed.expect(name), spec, "{name}");
    }
    let nulls =
        JobSpec::parse(fixtures.payload("submission.with-nulls").as_bytes()).expect("taken");
    assert_eq!(nulls, submissions()[4].1);
    let view = |state: &str, done, running| JobStatus {
        id: "wk-000412".into(),
        state: state.into(),
        done,
        running,
    };
    for state in ["pending", "running", "done", "cancelled"] {
        fixtures.assert_json_round_trip(&format!("view.{state}"), &view(state, Some(3), Some(13)));
        fixtures.assert_json_round_trip(
            &format!("view.{state}.without-counts"),
            &view(state, None, None),
        );
    }
    fixtures.assert_text(
        "error",
        std::str::from_utf8(&error_body("no such job")).expect("text"),
    );
    for refused in fixtures
        .lines()
        .filter_map(|(name, _)| name.strip_suffix(".refused-body"))
    {
        let error = JobSpec::parse(fixtures.text(&format!("{refused}.refused-body")).as_bytes());
        fixtures.assert_text(
            &format!("{refused}.why"),
            &error.expect_err(refused).to_string(),
        );
    }
    fixtures.assert_all_used();
}

fn line(state: TaskState, why: Option<&str>, saved: Option<bool>) -> TaskReport {
    TaskReport {
        task: "wk-000412/3".into(),
        attempt: 2,
        state,
        cause: why.map(String::from),
        saved,
    }
}

fn report(reclaimed_in_s: Option<f64>, tasks: Vec<TaskReport>) -> Heartbeat {
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

/// Every state and every cause occurs.
fn lines() -> Vec<TaskReport> {
    use TaskState::{Ended, Fetching, Gathering, Other, Running, Saving};
    let states = [Fetching, Gathering, Running, Saving, Other].map(|state| line(state, None, None));
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
    let kept = [
        line(Ended, Some(cause::STOPPED), Some(true)),
        line(Ended, None, Some(false)),
    ];
    states
        .into_iter()
        .chain(causes.map(|why| line(Ended, Some(why), None)))
        .chain(kept)
        .collect()
}

fn calls() -> Vec<Command> {
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
fn what_workers_send_and_get_keeps_its_bytes() {
    let fixtures = Fixtures::new(WORKERS);
    fixtures.assert_json_round_trip("report", &report(Some(30.5), lines()));
    fixtures.assert_json_round_trip("report.empty", &report(None, Vec::new()));
    let sparse: Heartbeat = fixtures.read("report.without-optional-fields");
    assert_eq!(sparse, report(None, Vec::new()));
    let unknown: Heartbeat = fixtures.read("report.with-an-unknown-state");
    assert_eq!(
        unknown,
        report(None, vec![line(TaskState::Other, None, None)])
    );
    fixtures.assert_json_round_trip(
        "answer",
        &HeartbeatResponse {
            token: 41,
            commands: calls(),
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
            commands: calls(),
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

fn listed(address: Option<&str>, state: &str) -> ListedMachine {
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
fn what_the_cloud_sends_and_gets_keeps_its_bytes() {
    let fixtures = Fixtures::new(CLOUD);
    fixtures.assert_json_round_trip(
        "catalog",
        &Catalog {
            types: vec![machine_type("g8", 8.0), machine_type("c4", 0.0)],
        },
    );
    fixtures.assert_json_round_trip("catalog.empty", &Catalog::default());
    let sparse: Catalog = fixtures.read("catalog.without-optional-fields");
    assert_eq!(
        sparse,
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
    let names = MachineIds {
        machines: vec!["m-000231".into(), "m-000232".into()],
    };
    fixtures.assert_json_round_trip("machine-names", &names);
    let machines = vec![
        listed(Some("10.1.0.232:9000"), "running"),
        listed(None, "booting"),
    ];
    fixtures.assert_json_round_trip(
        "machine-page",
        &MachineListPage {
            machines,
            more: true,
        },
    );
    let sparse: MachineListPage = fixtures.read("machine-page.without-optional-fields");
    assert_eq!((sparse.machines.len(), sparse.more), (1, false));
    let machine = &sparse.machines[0];
    assert_eq!(
        (&*machine.id, machine.address.as_deref(), &*machine.state),
        ("m-000231", None, "failed")
    );
    fixtures.assert_all_used();
}
