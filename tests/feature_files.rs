//! Files that switch on parts: those under `deploy/` are taken, and whatever makes no
//! sense ends the start with one line that names it.

#[path = "common/settings.rs"]
mod base;

use finchwood::config::features::{ColdRestartConfig, Features, SharedMachinesConfig};
use std::process::Command;

#[test]
fn the_files_under_deploy_are_taken() {
    let mut features = Features::default();
    features
        .add(
            "cold-restart.toml",
            include_str!("../deploy/cold-restart.toml"),
        )
        .expect("taken");
    features
        .add(
            "shared-machines.toml",
            include_str!("../deploy/shared-machines.toml"),
        )
        .expect("taken");
    let shared = SharedMachinesConfig {
        machines_per_move: 20,
        moves_per_minute: 12.0,
        imbalance: 0.5,
        rest_leases: 3.0,
    };
    assert_eq!(features.shared_machines, Some(shared));
    assert_eq!(
        features.cold_restart,
        Some(ColdRestartConfig {
            answer_reports: 2.0,
            entries: 500
        })
    );
}

#[test]
fn unknown_and_senseless_values_are_refused_in_one_line() {
    let shard = "part = \"cold-restart\"\n";
    let bad = [
        (String::new(), "part"),
        ("part = \"toaster\"".into(), "toaster"),
        (format!("{shard}answer_reports = -1.0"), "answer_reports"),
        (format!("{shard}answer_reports = nan"), "answer_reports"),
        (format!("{shard}entries = 1000000"), "entries"),
        (format!("{shard}entries = \"many\""), "expected"),
        (format!("{shard}entires = 3"), "entires"),
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
    for (text, names) in bad {
        let why = Features::default()
            .add("x.toml", &text)
            .expect_err(&text)
            .to_string();
        assert!(
            why.starts_with("with: x.toml: ") && why.lines().count() == 1,
            "{text}: {why}"
        );
        assert!(names == "TOML" || why.contains(names), "{text}: {why}");
    }
    let mut features = Features::default();
    features.add("x.toml", shard).expect("taken");
    assert!(features
        .add("y.toml", shard)
        .expect_err("twice")
        .to_string()
        .contains("already"));
}

#[test]
fn a_bad_file_ends_the_start_with_a_line_and_a_status() {
    let dir = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let (settings, with) = (dir.join("with-settings.toml"), dir.join("with-bad.toml"));
    std::fs::write(&settings, base::SETTINGS).expect("written");
    std::fs::write(&with, "part = \"cold-restart\"\nentries = -3\n").expect("written");
    for file in [with, dir.join("with-missing.toml")] {
        let end = Command::new(env!("CARGO_BIN_EXE_finchwood"))
            .arg("--with")
            .arg(&file)
            .arg("--config")
            .arg(&settings)
            .output()
            .expect("it ran");
        let said = String::from_utf8_lossy(&end.stderr);
        assert!(!end.status.success());
        assert!(
            said.lines().count() == 1 && said.contains("with: "),
            "{said}"
        );
    }
}
