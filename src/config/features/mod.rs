//! Features that are disabled unless a file enables them (`finchwood --with FILE`, once
//! for each feature; the files under `deploy/`).
//!
//! Such a file is checked as strictly as the operators' policy: unknown names and invalid
//! values end the start with one line.

mod cold_restart;
mod shared_machines;

pub use cold_restart::ColdRestartConfig;
pub use shared_machines::SharedMachinesConfig;

use serde::de::DeserializeOwned;
use serde::Deserialize;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a feature can't be enabled.
#[derive(Debug, Error)]
pub enum FeatureError {
    /// The file can't be read.
    #[error("with: cannot read {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system says.
        source: io::Error,
    },
    /// The text isn't TOML, or a field is missing, unknown or of the wrong type.
    #[error("with: {path}: {}", first_line(.source.message()))]
    Malformed {
        /// The file.
        path: String,
        /// What the parser says.
        source: Box<toml::de::Error>,
    },
    /// This version has no such feature.
    #[error("with: {path}: no such part: {feature}")]
    UnknownFeature {
        /// The file.
        path: String,
        /// The name that it gives.
        feature: String,
    },
    /// The value of a field is invalid.
    #[error("with: {path}: {source}")]
    InvalidField {
        /// The file.
        path: String,
        /// The field and the reason.
        source: InvalidField,
    },
    /// An earlier file enables the same feature.
    #[error("with: {path}: {feature} is switched on already")]
    AlreadyEnabled {
        /// The later file.
        path: String,
        /// The name of the feature.
        feature: &'static str,
    },
}

/// Why the value of a feature's field is invalid.
#[derive(Debug, Error)]
#[error("`{field}`: {reason}")]
pub struct InvalidField {
    /// The name of the field.
    pub field: &'static str,
    /// What is wrong with its value.
    pub reason: String,
}

/// The features that are enabled.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Features {
    /// Reconciliation before decisions, and a record of it, after a restart or a takeover.
    pub cold_restart: Option<ColdRestartConfig>,
    /// Transfers of hash ranges between live controllers.
    pub shared_machines: Option<SharedMachinesConfig>,
}

/// The settings of one feature.
trait FeatureConfig: DeserializeOwned {
    /// The name of the feature in files.
    const NAME: &'static str;

    /// Checks what the types of the fields leave open.
    fn check(&self) -> Result<(), InvalidField>;
}

/// A feature file: the name of the feature, and its settings beside it.
#[derive(Debug, Deserialize)]
struct FeatureFile {
    #[serde(rename = "part")]
    feature: String,
    #[serde(flatten)]
    settings: toml::Table,
}

impl Features {
    /// Reads the files that enable features.
    ///
    /// # Errors
    ///
    /// For the first file that can't be used.
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

    /// Enables the feature that the text of a file names; errors give `path` as its name.
    ///
    /// # Errors
    ///
    /// If the text is malformed, its values are invalid, or the feature is unknown or
    /// enabled already.
    pub fn add(&mut self, path: &str, text: &str) -> Result<(), FeatureError> {
        let file: FeatureFile = toml::from_str(text).map_err(|error| malformed(path, error))?;
        match file.feature.as_str() {
            ColdRestartConfig::NAME => enable(&mut self.cold_restart, path, file.settings),
            SharedMachinesConfig::NAME => enable(&mut self.shared_machines, path, file.settings),
            feature => Err(FeatureError::UnknownFeature {
                path: path.into(),
                feature: feature.into(),
            }),
        }
    }
}

fn enable<C: FeatureConfig>(
    slot: &mut Option<C>,
    path: &str,
    settings: toml::Table,
) -> Result<(), FeatureError> {
    let config: C = toml::Value::Table(settings)
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
