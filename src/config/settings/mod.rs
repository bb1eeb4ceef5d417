//! The settings file that the platform hands over (TOML).
//!
//! Unknown fields are ignored; a missing or invalid one is named in a single line. The
//! types have the fields of the file, under the names that operators read there; only
//! `back` is called for what it is.

mod timing;
mod validation;

use crate::wire::BODY_LIMIT;
use serde::Deserialize;
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use thiserror::Error;

/// Why the settings can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("settings: cannot read {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system says.
        source: io::Error,
    },
    /// The text isn't TOML, or a field is missing or of the wrong type.
    #[error("settings: {}", one_line(&.0.to_string()))]
    Malformed(#[source] Box<toml::de::Error>),
    /// The value of a field is invalid.
    #[error("settings: field `{field}`: {reason}")]
    InvalidField {
        /// The path of the field in the file.
        field: &'static str,
        /// What is wrong with its value.
        reason: String,
    },
}

/// One controller's settings.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// The name of this controller.
    pub node_name: String,
    /// The zone that it runs in.
    pub zone: String,
    /// Where users, workers and health checks connect.
    pub client_listen: SocketAddr,
    /// Where the other controllers and operators connect.
    #[serde(rename = "back")]
    pub internal_listen: SocketAddr,
    /// The other controllers of the deployment.
    #[serde(default)]
    pub members: Vec<Member>,
    /// The addresses of the outside systems.
    pub services: Services,
    /// What is the same for every controller of the deployment.
    pub params: Params,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Member {
    /// Its name.
    pub node_name: String,
    /// The zone that it runs in.
    pub zone: String,
    /// Its internal listener.
    pub endpoint: SocketAddr,
}

/// The addresses of the outside systems.
#[derive(Debug, Clone, Deserialize)]
pub struct Services {
    /// The cloud interface.
    pub cloud: SocketAddr,
    /// The key-value store.
    pub state: SocketAddr,
}

/// What is the same for every controller of a deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Params {
    /// The number of controllers that the deployment starts with.
    pub initial_size: usize,
    /// The zones that machines can be rented in.
    pub zones: Vec<String>,
    /// The greatest error of the wall clocks, in milliseconds.
    pub time_bound_ms: f64,
    /// The teams with a guarantee or a cap.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// The service-level objectives of the users.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// The timing of the workers.
    pub workers: Workers,
    /// The limits of the key-value store.
    pub state: StateLimits,
    /// The limits of the cloud interface.
    pub cloud: CloudLimits,
    /// The limits of a controller's own process.
    pub machine_limits: MachineLimits,
}

/// A team's guarantees and caps; 0 means none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// The name of the team.
    pub name: String,
    /// The CPUs that it is guaranteed.
    #[serde(default)]
    pub cpus: f64,
    /// The most CPUs that it may use.
    #[serde(default)]
    pub cpus_max: f64,
    /// The GPUs that it is guaranteed.
    #[serde(default)]
    pub gpus: f64,
    /// The most GPUs that it may use.
    #[serde(default)]
    pub gpus_max: f64,
}

impl Team {
    /// The cap on CPUs (no cap where the file says 0).
    pub fn cpu_cap(&self) -> f64 {
        cap(self.cpus_max)
    }

    /// The cap on GPUs (no cap where the file says 0).
    pub fn gpu_cap(&self) -> f64 {
        cap(self.gpus_max)
    }
}

fn cap(limit: f64) -> f64 {
    if limit > 0.0 {
        limit
    } else {
        f64::INFINITY
    }
}

/// A service-level objective for a class of jobs.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// What is measured. Kinds that this version does not know have no effect.
    pub kind: String,
    /// The class of jobs that it is for.
    #[serde(default)]
    pub class: String,
    /// The time within which it is to happen, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// The fraction of cases in which it is to happen.
    #[serde(default)]
    pub share: Option<f64>,
    /// The multiple of its deadline by which a job is to be done.
    #[serde(default)]
    pub times: Option<f64>,
}

impl Objective {
    /// The kind of objectives for how soon tasks start.
    pub const WAIT: &'static str = "wait";
}

/// The timing of the workers, in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// The interval of heartbeats.
    pub report_s: f64,
    /// How long tasks run on after the last response to a heartbeat.
    pub lease_s: f64,
    /// Within what time all tasks of a cancelled job must have stopped.
    pub cancel_s: f64,
    /// How long the tasks of a gang wait for each other before they give up.
    #[serde(default = "default_gang_wait_s")]
    pub gang_wait_s: f64,
    /// How soon the tasks of a gang notice that one of them is gone, and within
    /// what time all must be told to stop.
    #[serde(default = "default_gang_peer_s")]
    pub gang_peer_s: f64,
}

/// The wait of gangs in settings files from before there were gangs.
fn default_gang_wait_s() -> f64 {
    45.0
}

/// The notice of a lost task in settings files from before there were gangs.
fn default_gang_peer_s() -> f64 {
    4.0
}

/// Limits of the key-value store.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Requests per second.
    pub rps: f64,
    /// Writes per second.
    pub write_rps: f64,
    /// The size of a value, in KiB.
    pub value_kb: f64,
    /// Puts and deletes in a transaction.
    pub txn_ops: usize,
    /// The limits that it will have from some later moment on, which nobody announces.
    #[serde(default)]
    pub next: NextStateLimits,
}

/// Future limits of the key-value store; what is missing does not change.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextStateLimits {
    /// Writes per second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// The size of a value, in KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Puts and deletes in a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// The size of a value, in KiB, that is within the present and the future limit:
    /// what is written meets both from the start, so that the moment of the change need
    /// not be noticed.
    pub fn lowest_value_kb(&self) -> f64 {
        self.next
            .value_kb
            .unwrap_or(f64::INFINITY)
            .min(self.value_kb)
    }

    /// [`StateLimits::lowest_value_kb`] in whole bytes.
    pub fn lowest_value_bytes(&self) -> usize {
        (self.lowest_value_kb() * 1024.0) as usize
    }

    /// The number of puts and deletes in a transaction that is within both limits.
    pub fn lowest_txn_ops(&self) -> usize {
        self.next.txn_ops.unwrap_or(usize::MAX).min(self.txn_ops)
    }

    /// The lower of both write rates, down to which refusals slow the writers.
    pub fn lowest_write_rps(&self) -> f64 {
        self.next
            .write_rps
            .unwrap_or(f64::INFINITY)
            .min(self.write_rps)
    }
}

/// Limits of the cloud interface.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// How late the list of machines may be, in seconds.
    pub list_lag_s: f64,
}

/// The part of a controller's memory that one message of another may take.
const PEER_MESSAGE_MEMORY_FRACTION: f64 = 0.1;
/// What a message between controllers may always have, as a multiple of [`BODY_LIMIT`].
const MIN_PEER_MESSAGE_BODIES: usize = 32;

/// The largest message that a controller with so much memory (in MiB) accepts from
/// another, in bytes: a full report of a shard, in a cluster where few controllers share
/// thousands of machines.
pub fn max_peer_message_bytes(ram_mb: f64) -> usize {
    let bytes = ram_mb * PEER_MESSAGE_MEMORY_FRACTION * 1024.0 * 1024.0;
    (bytes as usize).max(MIN_PEER_MESSAGE_BODIES * BODY_LIMIT)
}

/// What a controller's process may use.
#[derive(Debug, Clone, Deserialize)]
pub struct MachineLimits {
    /// The fraction of a processor core.
    pub core_share: f64,
    /// Memory, in MiB.
    pub ram_mb: f64,
    /// Open sockets.
    pub max_connections: usize,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// If the file can't be read or used.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
            path: path.display().to_string(),
            source,
        })?;
        Self::parse(&text)
    }

    /// Reads settings from text and checks them.
    ///
    /// # Errors
    ///
    /// If the text is malformed, or a field is missing or invalid.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Settings =
            toml::from_str(text).map_err(|error| SettingsError::Malformed(Box::new(error)))?;
        validation::validate(&settings)?;
        Ok(settings)
    }

    /// The classes that have an objective for how soon their tasks start, and that
    /// time in seconds.
    pub fn start_objectives(&self) -> HashMap<Arc<str>, f64> {
        self.params
            .objectives
            .iter()
            .filter(|objective| objective.kind == Objective::WAIT)
            .filter_map(|objective| Some((objective.class.as_str().into(), objective.within_s?)))
            .collect()
    }

    /// The classes that have an objective of any kind.
    pub fn classes_with_objectives(&self) -> HashSet<Arc<str>> {
        self.params
            .objectives
            .iter()
            .map(|objective| objective.class.as_str().into())
            .collect()
    }

    /// A team by name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.params.teams.iter().find(|team| team.name == name)
    }
}

/// The lines of the parser's message without its picture of the text.
fn one_line(text: &str) -> String {
    let lines: Vec<&str> = text
        .lines()
        .map(str::trim)
        .filter(|line| !line.is_empty() && !line.starts_with(['|', '^']))
        .collect();
    lines.join("; ")
}
