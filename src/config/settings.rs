//! The settings file that the platform hands over. Unknown fields are
//! ignored; a missing or senseless one is named in a single line.

use crate::clock;
use crate::wire::BODY_LIMIT;
use serde::Deserialize;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use thiserror::Error;

/// Why the settings can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("settings: cannot read {path}: {why}")]
    Unreadable { path: String, why: String },
    /// The text isn't TOML or a field is missing or of the wrong kind.
    #[error("settings: {0}")]
    Malformed(String),
    /// A field holds a value that makes no sense.
    #[error("settings: field `{field}`: {why}")]
    Senseless { field: String, why: String },
}

/// One controller's settings.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    pub node_name: String,
    pub zone: String,
    pub client_listen: SocketAddr,
    pub back: SocketAddr,
    #[serde(default)]
    pub members: Vec<Member>,
    pub services: Services,
    pub params: Params,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Member {
    pub node_name: String,
    pub zone: String,
    pub endpoint: SocketAddr,
}

/// Where the outside systems listen.
#[derive(Debug, Clone, Deserialize)]
pub struct Services {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

/// What is the same for every controller of a deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Params {
    pub initial_size: usize,
    pub zones: Vec<String>,
    pub time_bound_ms: f64,
    #[serde(default)]
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: StateLimits,
    pub cloud: CloudLimits,
    pub machine_limits: MachineLimits,
}

/// A team's guarantee and cap; 0 means none of it.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

impl Team {
    /// The cap on CPUs (no cap where the file says 0).
    pub fn cpu_cap(&self) -> f64 {
        if self.cpus_max > 0.0 {
            self.cpus_max
        } else {
            f64::INFINITY
        }
    }
    /// The cap on GPUs (no cap where the file says 0).
    pub fn gpu_cap(&self) -> f64 {
        if self.gpus_max > 0.0 {
            self.gpus_max
        } else {
            f64::INFINITY
        }
    }
}

/// An aim that the users state for a class of jobs.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: String,
    #[serde(default)]
    pub within_s: Option<f64>,
    #[serde(default)]
    pub share: Option<f64>,
    #[serde(default)]
    pub times: Option<f64>,
}

/// Timing of the workers.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    /// How long the tasks of a gang wait for each other before they give up.
    #[serde(default = "default_gang_wait_s")]
    pub gang_wait_s: f64,
    /// How soon the tasks of a gang notice that one of them is gone, and within
    /// what time all must be told to stop.
    #[serde(default = "default_gang_peer_s")]
    pub gang_peer_s: f64,
}

/// The wait of gangs in settings of before there were gangs.
fn default_gang_wait_s() -> f64 {
    45.0
}

/// The notice of a lost task in settings of before there were gangs.
fn default_gang_peer_s() -> f64 {
    4.0
}

/// Limits of the key-value store.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    /// The limits that it will have from some later moment on, which nobody announces.
    #[serde(default)]
    pub next: NextStateLimits,
}

/// Limits to come; what is missing stays as it is.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextStateLimits {
    #[serde(default)]
    pub write_rps: Option<f64>,
    #[serde(default)]
    pub value_kb: Option<f64>,
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// The size of a value that is within the limits of now and of later: what is
    /// written meets both from the start, so that the moment need not be noticed.
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
    pub rps: f64,
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

/// What this process may use.
#[derive(Debug, Clone, Deserialize)]
pub struct MachineLimits {
    pub core_share: f64,
    pub ram_mb: f64,
    pub max_connections: usize,
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|e| SettingsError::Unreadable {
            path: path.display().to_string(),
            why: e.to_string(),
        })?;
        Self::parse(&text)
    }

    /// Reads settings from text and checks them.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Settings =
            toml::from_str(text).map_err(|e| SettingsError::Malformed(one_line(&e.to_string())))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let p = &self.params;
        let positive = [
            ("params.workers.report_s", p.workers.report_s),
            ("params.workers.lease_s", p.workers.lease_s),
            ("params.workers.cancel_s", p.workers.cancel_s),
            ("params.workers.gang_wait_s", p.workers.gang_wait_s),
            ("params.workers.gang_peer_s", p.workers.gang_peer_s),
            ("params.state.rps", p.state.rps),
            ("params.state.write_rps", p.state.write_rps),
            ("params.state.value_kb", p.state.value_kb),
            ("params.state.txn_ops", p.state.txn_ops as f64),
            ("params.cloud.rps", p.cloud.rps),
            (
                "params.machine_limits.core_share",
                p.machine_limits.core_share,
            ),
            ("params.machine_limits.ram_mb", p.machine_limits.ram_mb),
            (
                "params.machine_limits.max_connections",
                p.machine_limits.max_connections as f64,
            ),
            ("params.initial_size", p.initial_size as f64),
        ];
        let next = &p.state.next;
        let next = [
            ("params.state.next.write_rps", next.write_rps),
            ("params.state.next.value_kb", next.value_kb),
            ("params.state.next.txn_ops", next.txn_ops.map(|n| n as f64)),
        ];
        let next = next
            .into_iter()
            .filter_map(|(field, value)| Some((field, value?)));
        for (field, value) in positive.into_iter().chain(next) {
            if !value.is_finite() || value <= 0.0 {
                return senseless(field, format!("{value} is not above zero"));
            }
        }
        let not_negative = [
            ("params.time_bound_ms", p.time_bound_ms),
            ("params.cloud.list_lag_s", p.cloud.list_lag_s),
        ];
        for (field, value) in not_negative {
            if !value.is_finite() || value < 0.0 {
                return senseless(field, format!("{value} is not zero or more"));
            }
        }
        if p.workers.lease_s <= p.workers.report_s {
            return senseless(
                "params.workers.lease_s",
                "is not longer than report_s".into(),
            );
        }
        // Guard: a cancelled task may live on for as long as its worker's lease
        // after the last answer that knew nothing of the cancellation. What is
        // left of `cancel_s` bounds how old an answer's knowledge may be.
        let needed = clock::with_drift_margin(p.workers.lease_s) + p.workers.report_s;
        if p.workers.cancel_s < needed {
            let why = format!(
                "{} s leave no time beside lease_s: at least {needed:.1} s are needed",
                p.workers.cancel_s
            );
            return senseless("params.workers.cancel_s", why);
        }
        if self.node_name.is_empty() || self.node_name.contains(['/', ' ']) {
            return senseless("node_name", "is empty or holds a slash or space".into());
        }
        if p.zones.is_empty() {
            return senseless("params.zones", "names no zone".into());
        }
        for m in &self.members {
            if m.node_name == self.node_name {
                return senseless("members", format!("{} is this node itself", m.node_name));
            }
        }
        for t in &p.teams {
            for (what, v) in [
                ("cpus", t.cpus),
                ("cpus_max", t.cpus_max),
                ("gpus", t.gpus),
                ("gpus_max", t.gpus_max),
            ] {
                if !v.is_finite() || v < 0.0 {
                    return senseless("params.teams", format!("{}: {what} = {v}", t.name));
                }
            }
        }
        Ok(())
    }

    /// The life of a member's lease on the key-value store, of which nine tenths
    /// are also the greatest age of the knowledge behind an answer to a worker
    /// ([`Settings::knowledge_s`]): two fifths of a worker's lease, so that a
    /// successor has the rest of it to take over, but no more than `cancel_s`
    /// leaves beside a whole lease of the worker.
    pub fn member_life_s(&self) -> f64 {
        let w = &self.params.workers;
        (w.lease_s * 0.4).min(w.cancel_s - clock::with_drift_margin(w.lease_s))
    }

    /// The greatest age of what a controller knows of jobs and of the epoch
    /// when it answers a worker or commands it.
    pub fn knowledge_s(&self) -> f64 {
        clock::usable(self.member_life_s())
    }

    /// The longest that a task can outlive the confirmation of its job's
    /// cancellation on a machine that is not hung: an answer that knew nothing
    /// of it, then the whole lease that this answer renewed. Below `cancel_s`
    /// for all settings that are taken (`docs/design.md`).
    pub fn outlives_cancel_s(&self) -> f64 {
        self.knowledge_s() + clock::with_drift_margin(self.params.workers.lease_s)
    }

    /// A machine not proven rid of a task so long after its job was cancelled
    /// is deleted: three quarters of what the users allow, the rest being for
    /// the cloud.
    pub fn evict_after_s(&self) -> f64 {
        self.params.workers.cancel_s * 0.75
    }

    /// The classes that have an aim for how soon their tasks start, and that
    /// aim in seconds.
    pub fn start_aims(&self) -> HashMap<Arc<str>, f64> {
        let aims = self.params.objectives.iter().filter(|o| o.kind == "wait");
        aims.filter_map(|o| Some((o.class.as_str().into(), o.within_s?)))
            .collect()
    }

    /// The classes that have an aim of any kind.
    pub fn classes_with_aims(&self) -> HashSet<Arc<str>> {
        self.params
            .objectives
            .iter()
            .map(|o| o.class.as_str().into())
            .collect()
    }

    /// A team by name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.params.teams.iter().find(|t| t.name == name)
    }
}

fn senseless<T>(field: &str, why: String) -> Result<T, SettingsError> {
    Err(SettingsError::Senseless {
        field: field.into(),
        why,
    })
}

fn one_line(text: &str) -> String {
    let parts: Vec<&str> = text
        .lines()
        .map(str::trim)
        .filter(|l| !l.is_empty() && !l.starts_with('|') && !l.starts_with('^'))
        .collect();
    parts.join("; ")
}
