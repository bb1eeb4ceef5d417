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
pub enum FeatureError {
    /// The file can't be read.
    #[error("with: cannot read {path}: {why}")]
    Unreadable { path: String, why: String },
    /// The text isn't TOML, or a field is missing, unknown or of the wrong kind.
    #[error("with: {path}: {why}")]
    Malformed { path: String, why: String },
    /// A part that this version doesn't have.
    #[error("with: {path}: no such part: {feature}")]
    UnknownFeature { path: String, feature: String },
    /// A field holds a value that makes no sense.
    #[error("with: {path}: `{field}`: {why}")]
    Senseless {
        path: String,
        field: &'static str,
        why: String,
    },
    /// Two files switch on the same part.
    #[error("with: {path}: {feature} is switched on already")]
    Twice { path: String, feature: &'static str },
}

/// The parts that are switched on.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Features {
    /// Caution and a record after a restart or a takeover.
    pub cold_restart: Option<ColdRestartConfig>,
    /// Shares of the machines that move between live controllers.
    pub shared_machines: Option<SharedMachinesConfig>,
}

/// The settings of the part `shared-machines`.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SharedMachinesConfig {
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
pub struct ColdRestartConfig {
    /// For how many report intervals a new leader waits for the answers of machines in
    /// doubt before it rents others or stops lower work.
    #[serde(default = "default_answer_reports")]
    pub answer_reports: f64,
    /// How many decisions the record of a restart keeps.
    #[serde(default = "default_entries")]
    pub entries: usize,
}

/// The most decisions that a record may keep: a few megabytes.
const MAX_ENTRIES: usize = 20_000;

/// The most report intervals that a new leader may wait for answers.
const MAX_ANSWER_REPORTS: f64 = 20.0;

fn default_answer_reports() -> f64 {
    2.0
}

fn default_entries() -> usize {
    500
}

/// The name of a part and its settings.
#[derive(Debug, Deserialize)]
struct FeatureFile {
    #[serde(rename = "part")]
    feature: String,
    #[serde(flatten)]
    settings: toml::Table,
}

impl Features {
    /// Reads the files that switch on parts.
    pub fn load(paths: &[PathBuf]) -> Result<Features, FeatureError> {
        let mut features = Features::default();
        for path in paths {
            let text = std::fs::read_to_string(path).map_err(|e| FeatureError::Unreadable {
                path: name(path),
                why: e.to_string(),
            })?;
            features.add(&name(path), &text)?;
        }
        Ok(features)
    }

    /// Switches on the part that a file's text names.
    pub fn add(&mut self, path: &str, text: &str) -> Result<(), FeatureError> {
        let file: FeatureFile = toml::from_str(text).map_err(|e| malformed(path, e.message()))?;
        match file.feature.as_str() {
            "cold-restart" => {
                let settings: ColdRestartConfig = feature_settings(path, file.settings)?;
                settings.check(path)?;
                switch_on(&mut self.cold_restart, settings, path, "cold-restart")
            }
            "shared-machines" => {
                let settings: SharedMachinesConfig = feature_settings(path, file.settings)?;
                settings.check(path)?;
                switch_on(&mut self.shared_machines, settings, path, "shared-machines")
            }
            feature => Err(FeatureError::UnknownFeature {
                path: path.into(),
                feature: feature.into(),
            }),
        }
    }
}

impl SharedMachinesConfig {
    fn check(&self, path: &str) -> Result<(), FeatureError> {
        let amounts = [
            ("machines_per_move", self.machines_per_move as f64),
            ("moves_per_minute", self.moves_per_minute),
            ("imbalance", self.imbalance),
            ("rest_leases", self.rest_leases),
        ];
        for (field, value) in amounts {
            if !value.is_finite() || value <= 0.0 {
                let why = format!("{value} is not above zero");
                return Err(FeatureError::Senseless {
                    path: path.into(),
                    field,
                    why,
                });
            }
        }
        Ok(())
    }
}

impl ColdRestartConfig {
    fn check(&self, path: &str) -> Result<(), FeatureError> {
        let reports = self.answer_reports;
        if !reports.is_finite() || !(0.0..=MAX_ANSWER_REPORTS).contains(&reports) {
            let why = format!("{reports} is not from 0 to {MAX_ANSWER_REPORTS}");
            return Err(FeatureError::Senseless {
                path: path.into(),
                field: "answer_reports",
                why,
            });
        }
        if self.entries > MAX_ENTRIES {
            let why = format!("{} is above {MAX_ENTRIES}", self.entries);
            return Err(FeatureError::Senseless {
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

fn malformed(path: &str, why: &str) -> FeatureError {
    FeatureError::Malformed {
        path: path.into(),
        why: why.lines().next().unwrap_or_default().into(),
    }
}

fn feature_settings<T: serde::de::DeserializeOwned>(
    path: &str,
    table: toml::Table,
) -> Result<T, FeatureError> {
    toml::Value::Table(table)
        .try_into()
        .map_err(|e: toml::de::Error| malformed(path, e.message()))
}

fn switch_on<T>(
    slot: &mut Option<T>,
    feature: T,
    path: &str,
    name: &'static str,
) -> Result<(), FeatureError> {
    if slot.is_some() {
        return Err(FeatureError::Twice {
            path: path.into(),
            feature: name,
        });
    }
    *slot = Some(feature);
    Ok(())
}
