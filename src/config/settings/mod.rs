//! The settings file of a controller, which the platform provides as TOML.
//!
//! Unknown fields are ignored. A missing or invalid field is reported in a single line that
//! names it. The fields of the types have the same names as in the file, except that
//! [`Settings::internal_listen`] is `back` there.

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

/// Why a settings file is rejected.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("settings: cannot read {path}: {source}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The text isn't valid TOML, or a field is missing or of the wrong type.
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

/// The settings of one controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// The node name of this controller.
    pub node_name: String,
    /// The zone that this controller runs in.
    pub zone: String,
    /// The listen address for users, workers and health checks.
    pub client_listen: SocketAddr,
    /// The listen address for the other controllers and for operators.
    #[serde(rename = "back")]
    pub internal_listen: SocketAddr,
    /// The other controllers of the deployment.
    #[serde(default)]
    pub members: Vec<Member>,
    /// The addresses of the external services.
    pub services: Services,
    /// The parameters of the deployment, which are the same for all controllers.
    pub params: Params,
}

/// Another controller of the deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Member {
    /// The node name of the controller.
    pub node_name: String,
    /// The zone that the controller runs in.
    pub zone: String,
    /// The address of the controller's internal listener.
    pub endpoint: SocketAddr,
}

/// The addresses of the external services that a controller uses.
#[derive(Debug, Clone, Deserialize)]
pub struct Services {
    /// The address of the cloud API.
    pub cloud: SocketAddr,
    /// The address of the key-value store.
    pub state: SocketAddr,
}

/// The parameters of a deployment, which are the same for all controllers.
#[derive(Debug, Clone, Deserialize)]
pub struct Params {
    /// The number of controllers that the deployment starts with.
    pub initial_size: usize,
    /// The zones in which machines can be rented.
    pub zones: Vec<String>,
    /// The largest error of any wall clock, in milliseconds.
    pub time_bound_ms: f64,
    /// The teams that can submit jobs, with their guarantees and caps.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// The service-level objectives for classes of jobs.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// The timing parameters of workers.
    pub workers: Workers,
    /// The limits of the key-value store.
    pub state: StateLimits,
    /// The limits of the cloud API.
    pub cloud: CloudLimits,
    /// The resource limits of a controller's process.
    pub machine_limits: MachineLimits,
}

/// The guarantees and caps of a team; 0 means that there is none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// The name of the team.
    pub name: String,
    /// The number of CPUs that the team is guaranteed.
    #[serde(default)]
    pub cpus: f64,
    /// The largest number of CPUs that the team may use.
    #[serde(default)]
    pub cpus_max: f64,
    /// The number of GPUs that the team is guaranteed.
    #[serde(default)]
    pub gpus: f64,
    /// The largest number of GPUs that the team may use.
    #[serde(default)]
    pub gpus_max: f64,
}

impl Team {
    /// Returns the cap on CPUs, infinite if the team has none.
    pub fn cpu_cap(&self) -> f64 {
        cap(self.cpus_max)
    }

    /// Returns the cap on GPUs, infinite if the team has none.
    pub fn gpu_cap(&self) -> f64 {
        cap(self.gpus_max)
    }
}

/// Returns the cap that `limit` stands for in the settings file, where 0 means no cap.
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
    /// What is measured, for example [`Objective::WAIT`]. Kinds that this version does not know
    /// have no effect, except that their class counts as one with an objective.
    pub kind: String,
    /// The class of jobs that the objective is for.
    #[serde(default)]
    pub class: String,
    /// The time limit of the objective, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// The fraction of cases in which the objective is to be met.
    #[serde(default)]
    pub share: Option<f64>,
    /// The multiple of a job's deadline within which the job is to be done.
    #[serde(default)]
    pub times: Option<f64>,
}

impl Objective {
    /// The kind of objectives for the time until tasks start.
    pub const WAIT: &'static str = "wait";
}

/// The timing parameters of workers, in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// The report interval, at which workers send heartbeats.
    pub report_s: f64,
    /// The duration of a worker's lease, which each response to a heartbeat renews. The worker
    /// stops its tasks when the lease expires.
    pub lease_s: f64,
    /// The time within which all tasks of a cancelled job must have stopped.
    pub cancel_s: f64,
    /// How long the tasks of a gang wait for each other to start before they give up.
    #[serde(default = "default_gang_wait_s")]
    pub gang_wait_s: f64,
    /// The time within which the tasks of a gang notice that one of them is gone, and within
    /// which all of them must be told to stop.
    #[serde(default = "default_gang_peer_s")]
    pub gang_peer_s: f64,
}

/// The default of [`Workers::gang_wait_s`], for settings files from before gangs existed.
fn default_gang_wait_s() -> f64 {
    45.0
}

/// The default of [`Workers::gang_peer_s`], for settings files from before gangs existed.
fn default_gang_peer_s() -> f64 {
    4.0
}

/// The limits of the key-value store.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// The limit on calls per second, over all controllers.
    pub rps: f64,
    /// The limit on write operations per second, over all controllers.
    pub write_rps: f64,
    /// The limit on the size of a value, in KiB.
    pub value_kb: f64,
    /// The limit on the number of puts and deletes in a transaction.
    pub txn_ops: usize,
    /// The limits that take effect at some later, unannounced time.
    #[serde(default)]
    pub next: NextStateLimits,
}

/// Future limits of the key-value store; `None` for a limit that does not change.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextStateLimits {
    /// The limit on write operations per second, over all controllers.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// The limit on the size of a value, in KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// The limit on the number of puts and deletes in a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// Returns the lower of the current and the future limit on the size of a value, in KiB.
    /// All writes meet both limits from the start, so that the time of the change need not
    /// be known.
    pub fn lowest_value_kb(&self) -> f64 {
        self.next
            .value_kb
            .unwrap_or(f64::INFINITY)
            .min(self.value_kb)
    }

    /// Returns [`StateLimits::lowest_value_kb`] in bytes, rounded down.
    pub fn lowest_value_bytes(&self) -> usize {
        (self.lowest_value_kb() * 1024.0) as usize
    }

    /// Returns the lower of the current and the future limit on puts and deletes in a
    /// transaction.
    pub fn lowest_txn_ops(&self) -> usize {
        self.next.txn_ops.unwrap_or(usize::MAX).min(self.txn_ops)
    }

    /// Returns the lower of the current and the future limit on write operations per second.
    /// Refusals by the store slow down writes to no less than this rate.
    pub fn lowest_write_rps(&self) -> f64 {
        self.next
            .write_rps
            .unwrap_or(f64::INFINITY)
            .min(self.write_rps)
    }
}

/// The limits of the cloud API.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// The limit on requests per second.
    pub rps: f64,
    /// The longest time by which the cloud's list of machines may lag behind, in seconds.
    pub list_lag_s: f64,
}

/// The fraction of a controller's memory that one message from another controller may take.
const PEER_MESSAGE_MEMORY_FRACTION: f64 = 0.1;
/// The lower bound on the size limit of messages between controllers, as a multiple of
/// [`BODY_LIMIT`].
const MIN_PEER_MESSAGE_BODIES: usize = 32;

/// Returns the size limit of messages that a controller accepts from another, in bytes, for
/// a controller with `ram_mb` MiB of memory. The largest messages are full reports of shards
/// in a cluster where a few controllers own thousands of machines.
pub fn max_peer_message_bytes(ram_mb: f64) -> usize {
    let bytes = ram_mb * PEER_MESSAGE_MEMORY_FRACTION * 1024.0 * 1024.0;
    (bytes as usize).max(MIN_PEER_MESSAGE_BODIES * BODY_LIMIT)
}

/// The resource limits of a controller's process.
#[derive(Debug, Clone, Deserialize)]
pub struct MachineLimits {
    /// The fraction of a processor core that the process may use.
    pub core_share: f64,
    /// The memory that the process may use, in MiB.
    pub ram_mb: f64,
    /// The largest number of sockets that the process may have open.
    pub max_connections: usize,
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, the text is malformed, or a field is missing
    /// or invalid.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
            path: path.display().to_string(),
            source,
        })?;
        Self::parse(&text)
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is malformed, or a field is missing or invalid.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Settings =
            toml::from_str(text).map_err(|error| SettingsError::Malformed(Box::new(error)))?;
        validation::validate(&settings)?;
        Ok(settings)
    }

    /// Returns the classes of jobs that have an objective for the time until their tasks
    /// start, with that time in seconds.
    pub fn start_objectives(&self) -> HashMap<Arc<str>, f64> {
        self.params
            .objectives
            .iter()
            .filter(|objective| objective.kind == Objective::WAIT)
            .filter_map(|objective| Some((objective.class.as_str().into(), objective.within_s?)))
            .collect()
    }

    /// Returns the classes of jobs that have an objective of any kind.
    pub fn classes_with_objectives(&self) -> HashSet<Arc<str>> {
        self.params
            .objectives
            .iter()
            .map(|objective| objective.class.as_str().into())
            .collect()
    }

    /// Returns the team with the given name; `None` if the settings have no such team.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.params.teams.iter().find(|team| team.name == name)
    }
}

/// Joins the lines of the TOML parser's message into one, without the excerpt of the text
/// that the message contains.
fn one_line(text: &str) -> String {
    let lines: Vec<&str> = text
        .lines()
        .map(str::trim)
        .filter(|line| !line.is_empty() && !line.starts_with(['|', '^']))
        .collect();
    lines.join("; ")
}
