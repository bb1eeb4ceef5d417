//! Feature files: those under `deploy/` are valid, and an invalid one prevents the start with
//! an error of one line that names what is wrong.

#[path = "common/settings.rs"]
mod settings;

use finchwood::config::features::{ColdRestartConfig, Features, SharedMachinesConfig};
use std::process::Command;

#[test]
fn the_feature_files_under_deploy_are_valid() {
    let mut features = Features::default();
    features
        .add(
            "cold-restart.toml",
            include_str!("../deploy/cold-restart.toml"),
        )
        .expect("a valid feature file");
    features
        .add(
            "shared-machines.toml",
            include_str!("../deploy/shared-machines.toml"),
        )
        .expect("a valid feature file");
    let shared_machines = SharedMachinesConfig {
        machines_per_move: 20,
        moves_per_minute: 12.0,
        imbalance: 0.5,
        rest_leases: 3.0,
    };
    assert_eq!(features.shared_machines, Some(shared_machines));
    assert_eq!(
        features.cold_restart,
        Some(ColdRestartConfig {
            answer_reports: 2.0,
            entries: 500
        })
    );
}

#[test]
fn unknown_names_and_invalid_values_are_refused_with_an_error_of_one_line() {
    let cold_restart = "part = \"cold-restart\"\n";
    let invalid = [
        (String::new(), "part"),
        ("part = \"toaster\"".into(), "toaster"),
        (
            format!("{cold_restart}answer_reports = -1.0"),
            "answer_reports",
        ),
        (
            format!("{cold_restart}answer_reports = nan"),
            "answer_reports",
        ),
        (format!("{cold_restart}entries = 1000000"), "entries"),
        (format!("{cold_restart}entries = \"many\""), "expected"),
        (format!("{cold_restart}entires = 3"), "entires"),
        ("part = ".into(), "TOML"),
        (
            "part = \"shared-machines\"\nimbalance = 0.0".into(),
            "imbalance",
        ),
        (
            "part = \"shared-machines\"\nmachines_per_move = 0".into(),
            "machines_per_move",
        ),
    ];
    for (text, expected_text) in invalid {
        let error = Features::default()
            .add("x.toml", &text)
            .expect_err(&text)
            .to_string();
        assert!(
            error.starts_with("with: x.toml: ") && error.lines().count() == 1,
            "{text}: the error is not one line about the file: {error}"
        );
        assert!(
            expected_text == "TOML" || error.contains(expected_text),
            "{text}: the error does not contain {expected_text}: {error}"
        );
    }
    let mut features = Features::default();
    features
        .add("x.toml", cold_restart)
        .expect("a valid feature file");
    assert!(features
        .add("y.toml", cold_restart)
        .expect_err("a feature that is enabled already")
        .to_string()
        .contains("already"));
}

#[test]
fn an_invalid_feature_file_prevents_the_start_with_an_error_of_one_line() {
    let directory = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let (settings_path, invalid_path) = (
        directory.join("with-settings.toml"),
        directory.join("with-bad.toml"),
    );
    std::fs::write(&settings_path, settings::SETTINGS).expect("the file can be written");
    std::fs::write(&invalid_path, "part = \"cold-restart\"\nentries = -3\n")
        .expect("the file can be written");
    for path in [invalid_path, directory.join("with-missing.toml")] {
        let output = Command::new(env!("CARGO_BIN_EXE_finchwood"))
            .arg("--with")
            .arg(&path)
            .arg("--config")
            .arg(&settings_path)
            .output()
            .expect("the program starts");
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success());
        assert!(
            error.lines().count() == 1 && error.contains("with: "),
            "the error is not one line about the feature file: {error}"
        );
    }
}
