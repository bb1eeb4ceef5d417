//! Optional features. Each is disabled unless a feature file enables it, which is given by
//! `finchwood --with FILE`, once for each feature (see the files under `deploy/`).
//!
//! Feature files are checked as strictly as the operators' policy: an unknown name or an
//! invalid value prevents the start, with a single line that names it.

mod cold_restart;
mod shared_machines;

pub use cold_restart::ColdRestartConfig;
pub use shared_machines::SharedMachinesConfig;

use serde::de::DeserializeOwned;
use serde::Deserialize;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a feature file is rejected.
#[derive(Debug, Error)]
pub enum FeatureError {
    /// The file can't be read.
    #[error("with: cannot read {path}: {source}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The text isn't valid TOML, or a field is missing, unknown or of the wrong type.
    #[error("with: {path}: {}", first_line(.source.message()))]
    Malformed {
        /// The path of the file.
        path: String,
        /// The error of the parser.
        source: Box<toml::de::Error>,
    },
    /// This version has no feature of that name.
    #[error("with: {path}: no such part: {feature}")]
    UnknownFeature {
        /// The path of the file.
        path: String,
        /// The name of the feature in the file.
        feature: String,
    },
    /// The value of a field is invalid.
    #[error("with: {path}: {source}")]
    InvalidField {
        /// The path of the file.
        path: String,
        /// The field and what is wrong with its value.
        source: InvalidField,
    },
    /// A file that was loaded before enables the same feature.
    #[error("with: {path}: {feature} is switched on already")]
    AlreadyEnabled {
        /// The path of the second file.
        path: String,
        /// The name of the feature.
        feature: &'static str,
    },
}

/// An invalid value of a field in a feature file.
#[derive(Debug, Error)]
#[error("`{field}`: {reason}")]
pub struct InvalidField {
    /// The name of the field.
    pub field: &'static str,
    /// What is wrong with its value.
    pub reason: String,
}

/// The configuration of each enabled feature; `None` for a disabled one.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Features {
    /// Reconciliation of machines before a new leader decides, after a restart or a takeover,
    /// and a report about it.
    pub cold_restart: Option<ColdRestartConfig>,
    /// Transfers of hash ranges, with the machines in them, between live controllers.
    pub shared_machines: Option<SharedMachinesConfig>,
}

/// The configuration of one feature.
trait FeatureConfig: DeserializeOwned {
    /// The name of the feature in feature files.
    const NAME: &'static str;

    /// Checks the constraints on fields that their types do not express.
    fn check(&self) -> Result<(), InvalidField>;
}

/// A feature file: the name of the feature and, in the same table, its configuration.
#[derive(Debug, Deserialize)]
struct FeatureFile {
    #[serde(rename = "part")]
    feature: String,
    #[serde(flatten)]
    config: toml::Table,
}

impl Features {
    /// Reads feature files and enables the features that they name.
    ///
    /// # Errors
    ///
    /// Returns the error of the first file that is rejected.
    pub fn load(paths: &[PathBuf]) -> Result<Features, FeatureError> {
        let mut features = Features::default();
        for path in paths {
            features.load_file(path)?;
        }
        Ok(features)
    }

    fn load_file(&mut self, path: &Path) -> Result<(), FeatureError> {
        let name = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => self.add(&name, &text),
            Err(source) => Err(FeatureError::Unreadable { path: name, source }),
        }
    }

    /// Enables the feature that the text of a feature file names. `path` is the path of the
    /// file in errors.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is malformed, a value is invalid, or the feature is
    /// unknown or already enabled.
    pub fn add(&mut self, path: &str, text: &str) -> Result<(), FeatureError> {
        let file: FeatureFile = toml::from_str(text).map_err(|error| malformed(path, error))?;
        match file.feature.as_str() {
            ColdRestartConfig::NAME => enable(&mut self.cold_restart, path, file.config),
            SharedMachinesConfig::NAME => enable(&mut self.shared_machines, path, file.config),
            feature => Err(FeatureError::UnknownFeature {
                path: path.into(),
                feature: feature.into(),
            }),
        }
    }
}

/// Parses and checks the configuration of a feature and stores it in `slot`.
fn enable<C: FeatureConfig>(
    slot: &mut Option<C>,
    path: &str,
    config: toml::Table,
) -> Result<(), FeatureError> {
    let config: C = toml::Value::Table(config)
        .try_into()
        .map_err(|error| malformed(path, error))?;
    config
        .check()
        .map_err(|source| FeatureError::InvalidField {
            path: path.into(),
            source,
        })?;
    if slot.is_some() {
        return Err(FeatureError::AlreadyEnabled {
            path: path.into(),
            feature: C::NAME,
        });
    }
    *slot = Some(config);
    Ok(())
}

fn malformed(path: &str, error: toml::de::Error) -> FeatureError {
    FeatureError::Malformed {
        path: path.into(),
        source: Box::new(error),
    }
}

fn first_line(text: &str) -> &str {
    text.lines().next().unwrap_or_default()
}
