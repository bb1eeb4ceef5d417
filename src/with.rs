//! Parts of the program that are off unless a file switches them on
//! (`finchwood --with FILE`, once for each part; the files under `deploy/`).
//!
//! Such a file is checked as strictly as the operators' policy: unknown names and
//! senseless values end the start with one line.

use serde::Deserialize;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a part can't be switched on.
#[derive(Debug, Error)]
pub enum WithError {
    /// The file can't be read.
    #[error("with: cannot read {path}: {why}")]
    Unreadable { path: String, why: String },
    /// The text isn't TOML, or a field is missing, unknown or of the wrong kind.
    #[error("with: {path}: {why}")]
    Malformed { path: String, why: String },
    /// A part that this version doesn't have.
    #[error("with: {path}: no such part: {part}")]
    UnknownPart { path: String, part: String },
    /// A field holds a value that makes no sense.
    #[error("with: {path}: `{field}`: {why}")]
    Senseless {
        path: String,
        field: &'static str,
        why: String,
    },
    /// Two files switch on the same part.
    #[error("with: {path}: {part} is switched on already")]
    Twice { path: String, part: &'static str },
}

/// The parts that are switched on.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Parts {
    /// Caution and a record after a restart or a takeover.
    pub cold_restart: Option<ColdRestart>,
    /// Shares of the machines that move between live controllers.
    pub shared_machines: Option<SharedMachines>,
}

/// The settings of the part `shared-machines`.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SharedMachines {
    /// The most machines of a share that moves.
    #[serde(default = "default_machines_per_move")]
    pub machines_per_move: usize,
    /// Moves in a minute.
    #[serde(default = "default_moves_per_minute")]
    pub moves_per_minute: f64,
    /// A controller that owns more machines than the mean by this share gives some away.
    #[serde(default = "default_imbalance")]
    pub imbalance: f64,
    /// Machines that have moved stay for so many workers' leases, unless operators ask.
    #[serde(default = "default_rest_leases")]
    pub rest_leases: f64,
}

fn default_machines_per_move() -> usize {
    20
}

fn default_moves_per_minute() -> f64 {
    12.0
}

fn default_imbalance() -> f64 {
    0.5
}

fn default_rest_leases() -> f64 {
    3.0
}

/// The settings of the part `cold-restart`.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdRestart {
    /// For how many report intervals a new leader waits for the answers of machines in
    /// doubt before it rents others or stops lower work.
    #[serde(default = "default_answer_reports")]
    pub answer_reports: f64,
    /// How many decisions the record of a restart keeps.
    #[serde(default = "default_entries")]
    pub entries: usize,
}

/// The most decisions that a record may keep: a few megabytes.
const MOST_ENTRIES: usize = 20_000;

/// The most report intervals that a new leader may wait for answers.
const MOST_ANSWER_REPORTS: f64 = 20.0;

fn default_answer_reports() -> f64 {
    2.0
}

fn default_entries() -> usize {
    500
}

/// The name of a part and its settings.
#[derive(Debug, Deserialize)]
struct PartFile {
    part: String,
    #[serde(flatten)]
    settings: toml::Table,
}

impl Parts {
    /// Reads the files that switch on parts.
    pub fn load(paths: &[PathBuf]) -> Result<Parts, WithError> {
        let mut parts = Parts::default();
        for path in paths {
            let text = std::fs::read_to_string(path).map_err(|e| WithError::Unreadable {
                path: name(path),
                why: e.to_string(),
            })?;
            parts.add(&name(path), &text)?;
        }
        Ok(parts)
    }

    /// Switches on the part that a file's text names.
    pub fn add(&mut self, path: &str, text: &str) -> Result<(), WithError> {
        let file: PartFile = toml::from_str(text).map_err(|e| malformed(path, e.message()))?;
        match file.part.as_str() {
            "cold-restart" => {
                let settings: ColdRestart = part_settings(path, file.settings)?;
                settings.check(path)?;
                switch_on(&mut self.cold_restart, settings, path, "cold-restart")
            }
            "shared-machines" => {
                let settings: SharedMachines = part_settings(path, file.settings)?;
                settings.check(path)?;
                switch_on(&mut self.shared_machines, settings, path, "shared-machines")
            }
            part => Err(WithError::UnknownPart {
                path: path.into(),
                part: part.into(),
            }),
        }
    }
}

impl SharedMachines {
    fn check(&self, path: &str) -> Result<(), WithError> {
        let amounts = [
            ("machines_per_move", self.machines_per_move as f64),
            ("moves_per_minute", self.moves_per_minute),
            ("imbalance", self.imbalance),
            ("rest_leases", self.rest_leases),
        ];
        for (field, value) in amounts {
            if !value.is_finite() || value <= 0.0 {
                let why = format!("{value} is not above zero");
                return Err(WithError::Senseless {
                    path: path.into(),
                    field,
                    why,
                });
            }
        }
        Ok(())
    }
}

impl ColdRestart {
    fn check(&self, path: &str) -> Result<(), WithError> {
        let reports = self.answer_reports;
        if !reports.is_finite() || !(0.0..=MOST_ANSWER_REPORTS).contains(&reports) {
            let why = format!("{reports} is not from 0 to {MOST_ANSWER_REPORTS}");
            return Err(WithError::Senseless {
                path: path.into(),
                field: "answer_reports",
                why,
            });
        }
        if self.entries > MOST_ENTRIES {
            let why = format!("{} is above {MOST_ENTRIES}", self.entries);
            return Err(WithError::Senseless {
                path: path.into(),
                field: "entries",
                why,
            });
        }
        Ok(())
    }
}

fn name(path: &Path) -> String {
    path.display().to_string()
}

fn malformed(path: &str, why: &str) -> WithError {
    WithError::Malformed {
        path: path.into(),
        why: why.lines().next().unwrap_or_default().into(),
    }
}

fn part_settings<T: serde::de::DeserializeOwned>(
    path: &str,
    table: toml::Table,
) -> Result<T, WithError> {
    toml::Value::Table(table)
        .try_into()
        .map_err(|e: toml::de::Error| malformed(path, e.message()))
}

fn switch_on<T>(
    slot: &mut Option<T>,
    part: T,
    path: &str,
    name: &'static str,
) -> Result<(), WithError> {
    if slot.is_some() {
        return Err(WithError::Twice {
            path: path.into(),
            part: name,
        });
    }
    *slot = Some(part);
    Ok(())
}
