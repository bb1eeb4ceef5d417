//! The validation of settings, job specs, heartbeats and policies.

#[path = "common/settings.rs"]
mod settings;

use finchwood::config::policy::Policy;
use finchwood::config::settings::Settings;
use finchwood::wire::{Heartbeat, JobSpec, JobSpecError};
use settings::SETTINGS;

#[test]
fn invalid_settings_are_refused_with_the_name_of_the_field() {
    let unknown_field = format!("later_field = \"ignored\"\n{SETTINGS}");
    Settings::parse(&unknown_field).expect("unknown fields are ignored");
    let cases = [
        ("report_s = 3.0", "", "report_s"),
        ("report_s = 3.0", "report_s = -1.0", "report_s"),
        ("report_s = 3.0", "report_s = nan", "report_s"),
        ("lease_s = 20.0", "lease_s = 2.0", "lease_s"),
        ("txn_ops = 12", "txn_ops = 0", "txn_ops"),
        ("rps = 4.0", "rps = \"many\"", "rps"),
        ("node_name = \"a\"", "", "node_name"),
        ("node_name = \"a\"", "node_name = \"a/b\"", "node_name"),
        ("zones = [\"e\", \"w\"]", "zones = []", "zones"),
        (
            "client_listen = \"127.0.0.1:8080\"",
            "client_listen = \"here\"",
            "client_listen",
        ),
        ("list_lag_s = 6.0", "list_lag_s = inf", "list_lag_s"),
    ];
    for (valid, invalid, field) in cases {
        let text = SETTINGS.replace(valid, invalid);
        let error = Settings::parse(&text).expect_err(field).to_string();
        assert!(
            error.contains(field),
            "the error does not name {field}: {error}"
        );
        assert_eq!(
            error.lines().count(),
            1,
            "the error is longer than one line: {error}"
        );
    }
}

/// Parses a job spec that is valid except for what `change` does to it.
fn parse_job_spec(change: impl Fn(&mut serde_json::Value)) -> Result<JobSpec, JobSpecError> {
    let mut spec = serde_json::json!({
        "id": "wk-000412", "flock": "train", "nest": "vision", "shape": "array", "rank": "urgent",
        "chicks": 16, "cpus": 8.0, "accelerators": 1.0, "mem_gb": 64.0, "egg": "img-07", "size_gb": 6.2,
        "breeds": ["g8"], "grove": null, "one_zone": true, "scatter": false, "windfall": true,
        "guess_s": 240.0, "molt_s": 30.0, "stash_s": 4.0, "dusk_s": 900.0
    });
    change(&mut spec);
    JobSpec::parse(spec.to_string().as_bytes())
}

#[test]
fn invalid_job_specs_are_refused() {
    assert!(parse_job_spec(|_| {}).is_ok());
    assert!(parse_job_spec(|spec| spec["new_field"] = 1.into()).is_ok());
    for optional in ["breeds", "grove", "dusk_s"] {
        assert!(
            parse_job_spec(|spec| drop(
                spec.as_object_mut()
                    .and_then(|fields| fields.remove(optional))
            ))
            .is_ok(),
            "a job spec without {optional} was refused"
        );
    }
    for required in [
        "id", "flock", "nest", "shape", "chicks", "cpus", "mem_gb", "egg", "windfall", "guess_s",
    ] {
        assert!(
            parse_job_spec(|spec| drop(
                spec.as_object_mut()
                    .and_then(|fields| fields.remove(required))
            ))
            .is_err(),
            "a job spec without {required} was accepted"
        );
    }
    assert!(parse_job_spec(|spec| spec["cpus"] = (-1.0).into()).is_err());
    assert!(parse_job_spec(|spec| spec["chicks"] = 0.into()).is_err());
    assert!(parse_job_spec(|spec| spec["chicks"] = 100_001.into()).is_err());
    assert!(parse_job_spec(|spec| spec["chicks"] = 1.5.into()).is_err());
    assert!(parse_job_spec(|spec| spec["id"] = "wk-1/../epoch".into()).is_err());
    assert!(parse_job_spec(|spec| spec["id"] = "job-1".into()).is_err());
    assert!(parse_job_spec(|spec| spec["rank"] = "highest".into()).is_err());
    assert!(JobSpec::parse(br#"{"cpus": 1e999}"#).is_err());
    assert!(JobSpec::parse(b"[]").is_err());
    assert!(JobSpec::parse(b"\xff\xfe").is_err());
}

#[test]
fn invalid_heartbeats_are_refused_and_unknown_task_states_are_accepted() {
    assert!(serde_json::from_str::<Heartbeat>(r#"{"perch": 4}"#).is_err());
    let unknown_state = r#"{"perch":"m-1","address":"a","breed":"b","grove":"z","windfall":false,"flight":1,"chirp":2,
        "crest":0,"chicks":[{"chick":"wk-1/0","hatch":1,"mood":"moulting"}]}"#;
    let heartbeat: Heartbeat = serde_json::from_str(unknown_state)
        .expect("a heartbeat with an unknown task state is valid");
    assert_eq!(heartbeat.tasks.len(), 1);
}

#[test]
fn policies_are_sandboxed_and_validated() {
    let policy = Policy::parse("return { spare_share = 0.25 * 2 }").expect("a valid policy");
    assert!((policy.scaling.service_headroom_share - 0.5).abs() < 1e-9);
    for script in [
        "return { spare_share = -1 }",
        "return { no_such_knob = 1 }",
        "return 3",
        "return { spare_share = os.time() }",
        "io.open('/etc/passwd')",
        "require('os')",
        "while true do end",
        "local t = {} for i = 1, 1e9 do t[i] = ('x'):rep(1000) end",
    ] {
        assert!(
            Policy::parse(script).is_err(),
            "an invalid policy was accepted: {script}"
        );
    }
}
