//! What goes over the wire, under the field's own terms. The names that the
//! protocol uses appear in serde renames and nowhere else.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

/// A job's id.
pub type JobId = Arc<str>;
/// A machine's id.
pub type MachineId = Arc<str>;

/// A task: one of a job's numbered shards.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Task {
    pub job: JobId,
    pub index: u32,
}

impl Task {
    /// Reads `job/index`.
    pub fn parse(text: &str) -> Option<Task> {
        let (job, index) = text.rsplit_once('/')?;
        valid_job_id(job).then_some(())?;
        Some(Task {
            job: job.into(),
            index: index.parse().ok()?,
        })
    }
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// Whether a text has the form of a job id.
pub fn valid_job_id(id: &str) -> bool {
    id.len() <= 64
        && id.strip_prefix("wk-").is_some_and(|rest| {
            !rest.is_empty() && rest.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-')
        })
}

/// How a job's tasks run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks that run to completion.
    #[serde(rename = "array")]
    Array,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
    /// Tasks that run only all together.
    #[serde(rename = "ensemble")]
    Gang,
}

/// Priority, the highest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    Prod,
    Urgent,
    Standard,
    Low,
}

/// What a user submits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    pub id: JobId,
    #[serde(rename = "flock")]
    pub class: Arc<str>,
    #[serde(rename = "nest")]
    pub team: Arc<str>,
    #[serde(rename = "shape")]
    pub job_kind: JobKind,
    #[serde(rename = "rank")]
    pub priority: Priority,
    #[serde(rename = "chicks")]
    pub task_count: u32,
    pub cpus: f64,
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    pub mem_gb: f64,
    #[serde(rename = "egg")]
    pub image: Arc<str>,
    #[serde(rename = "size_gb")]
    pub image_gb: f64,
    #[serde(rename = "breeds", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<Arc<str>>>,
    #[serde(rename = "grove", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<Arc<str>>,
    pub one_zone: bool,
    pub scatter: bool,
    #[serde(rename = "windfall")]
    pub spot: bool,
    #[serde(rename = "guess_s")]
    pub estimate_s: f64,
    #[serde(rename = "molt_s")]
    pub checkpoint_s: f64,
    #[serde(rename = "stash_s")]
    pub save_s: f64,
    #[serde(rename = "dusk_s", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

/// The most tasks a job may have.
pub const MAX_TASKS: u32 = 100_000;
/// How long users wait for a job's first start, in seconds, whatever its size.
pub const BEGIN_WITHIN_S: f64 = 240.0;
/// How long a task must stay, in seconds, for its start to count for users.
pub const START_COUNTS_S: f64 = 30.0;
/// The largest body anybody may send.
pub const BODY_LIMIT: usize = 64 * 1024;

impl JobSpec {
    /// Reads a submission; the error says what is wrong with it.
    pub fn parse(body: &[u8]) -> Result<JobSpec, String> {
        let spec: JobSpec = serde_json::from_slice(body).map_err(|e| e.to_string())?;
        if !valid_job_id(&spec.id) {
            return Err("field `id` has not the form of a job id".into());
        }
        if spec.task_count == 0 || spec.task_count > MAX_TASKS {
            return Err(format!("a job has 1 to {MAX_TASKS} tasks"));
        }
        let amounts = [
            ("cpus", spec.cpus),
            ("accelerators", spec.gpus),
            ("mem_gb", spec.mem_gb),
            ("size_gb", spec.image_gb),
            ("guess_s", spec.estimate_s),
            ("molt_s", spec.checkpoint_s),
            ("stash_s", spec.save_s),
            ("dusk_s", spec.deadline_s.unwrap_or(0.0)),
        ];
        for (name, value) in amounts {
            if !value.is_finite() || value < 0.0 {
                return Err(format!("field `{name}` is not an amount"));
            }
        }
        Ok(spec)
    }

    /// What one task takes.
    pub fn task_resources(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            mem_gb: self.mem_gb,
        }
    }

    /// True for jobs whose tasks depend on where the others are.
    pub fn has_coupled_tasks(&self) -> bool {
        self.one_zone || self.scatter || self.job_kind != JobKind::Array
    }

    /// Whether the job's own wishes allow a machine of this type, zone and kind.
    pub fn allowed_on(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        (self.spot || !spot)
            && self
                .types
                .as_ref()
                .is_none_or(|types| types.iter().any(|name| &**name == machine_type))
            && self.zone.as_ref().is_none_or(|only| &**only == zone)
    }

    /// In how many zones there are machine types that a task fits.
    pub fn zones_that_fit(&self, catalog: &Catalog) -> usize {
        let types = catalog.types.iter().filter(|t| {
            self.types
                .as_ref()
                .is_none_or(|names| names.contains(&t.name))
                && t.total().fits(&self.task_resources())
        });
        let zones = types
            .flat_map(|t| &t.zones)
            .filter(|z| self.zone.as_ref().is_none_or(|only| only == *z));
        zones.collect::<BTreeSet<_>>().len()
    }

    /// The most tasks of this job that a zone may hold.
    pub fn zone_cap(&self) -> u32 {
        if self.scatter {
            self.task_count.div_ceil(2)
        } else {
            u32::MAX
        }
    }
}

/// An amount of a machine's resources.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Resources {
    pub cpus: f64,
    pub gpus: f64,
    #[serde(rename = "mem")]
    pub mem_gb: f64,
}

const SLACK: f64 = 1e-6;

impl Resources {
    /// Whether `ask` fits into this.
    pub fn fits(&self, ask: &Resources) -> bool {
        ask.cpus <= self.cpus + SLACK
            && ask.gpus <= self.gpus + SLACK
            && ask.mem_gb <= self.mem_gb + SLACK
    }
    /// Whether there is nothing of anything.
    pub fn is_empty(&self) -> bool {
        *self == Resources::default()
    }
    /// Takes `ask` away.
    pub fn subtract(&mut self, ask: &Resources) {
        self.cpus -= ask.cpus;
        self.gpus -= ask.gpus;
        self.mem_gb -= ask.mem_gb;
    }
    /// Gives `ask` back.
    pub fn add(&mut self, ask: &Resources) {
        self.cpus += ask.cpus;
        self.gpus += ask.gpus;
        self.mem_gb += ask.mem_gb;
    }
    /// How many tasks of `ask` fit.
    pub fn max_tasks(&self, ask: &Resources) -> u32 {
        let mut n = f64::from(MAX_TASKS);
        for (have, demand) in [
            (self.cpus, ask.cpus),
            (self.gpus, ask.gpus),
            (self.mem_gb, ask.mem_gb),
        ] {
            if demand > 0.0 {
                n = n.min(((have + SLACK) / demand).floor());
            }
        }
        if n <= 0.0 {
            0
        } else {
            n as u32
        }
    }
}

/// What a task on a machine is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    Fetching,
    /// A task of a gang that has its image and waits for the others.
    Gathering,
    Running,
    Saving,
    Ended,
    /// Something this version doesn't know: counted as on its machine.
    #[serde(other)]
    Other,
}

/// Why a task ended or was refused, as workers tell it.
pub mod cause {
    /// Completed.
    pub const DONE: &str = "done";
    /// Stopped by command.
    pub const STOPPED: &str = "stopped";
    /// Failed.
    pub const ERROR: &str = "error";
    /// Refused: not enough free resources.
    pub const NO_ROOM: &str = "no_room";
    /// Refused: the task is there with another attempt.
    pub const BUSY: &str = "busy";
    /// Refused: no such job or task.
    pub const UNKNOWN: &str = "unknown";
    /// Another task of the gang is gone.
    pub const PEERS: &str = "peers";
    /// The gang was not complete in time.
    pub const ALONE: &str = "alone";
}

/// One line of a worker's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    #[serde(rename = "chick")]
    pub task: String,
    #[serde(rename = "hatch")]
    pub attempt: u64,
    #[serde(rename = "mood")]
    pub state: TaskState,
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<String>,
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    #[serde(rename = "perch")]
    pub machine: MachineId,
    #[serde(rename = "address")]
    pub address: String,
    #[serde(rename = "breed")]
    pub machine_type: Arc<str>,
    #[serde(rename = "grove")]
    pub zone: Arc<str>,
    #[serde(rename = "windfall")]
    pub spot: bool,
    #[serde(rename = "flight")]
    pub session: u64,
    #[serde(rename = "chirp")]
    pub seq: u64,
    #[serde(rename = "crest")]
    pub token: u64,
    #[serde(rename = "warning_s", default)]
    pub notice_s: Option<f64>,
    #[serde(rename = "chicks", default)]
    pub tasks: Vec<TaskReport>,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "call", rename_all = "lowercase")]
pub enum Command {
    Start {
        #[serde(rename = "chick")]
        task: String,
        #[serde(rename = "hatch")]
        attempt: u64,
    },
    #[serde(rename = "halt")]
    Stop {
        #[serde(rename = "chick")]
        task: String,
        #[serde(rename = "hatch")]
        attempt: u64,
        #[serde(rename = "settle_s")]
        grace_s: f64,
    },
    #[serde(rename = "reap")]
    Forget {
        #[serde(rename = "chick")]
        task: String,
        #[serde(rename = "hatch")]
        attempt: u64,
    },
}

/// The answer to a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    #[serde(rename = "crest")]
    pub token: u64,
    #[serde(rename = "calls")]
    pub commands: Vec<Command>,
}

/// The body of direct commands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CommandBatch {
    #[serde(rename = "crest")]
    pub token: u64,
    #[serde(rename = "flight")]
    pub session: u64,
    #[serde(rename = "calls")]
    pub commands: Vec<Command>,
}

/// Where a worker should report instead.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Redirect {
    #[serde(rename = "sings_to", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}

/// What a user sees of a job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobStatus {
    pub id: JobId,
    #[serde(rename = "mood")]
    pub state: String,
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub done: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub running: Option<u32>,
}

/// A machine type on offer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    pub name: Arc<str>,
    pub cpus: f64,
    #[serde(rename = "accelerators", default)]
    pub gpus: f64,
    pub mem_gb: f64,
    pub cache_gb: f64,
    #[serde(rename = "pull_gb_per_s")]
    pub fetch_gb_per_s: f64,
    #[serde(rename = "hourly")]
    pub price: f64,
    pub spot_price: f64,
    #[serde(rename = "ready_s")]
    pub boot_s: f64,
    #[serde(rename = "groves")]
    pub zones: Vec<Arc<str>>,
}

impl MachineType {
    /// All that a machine of this type has.
    pub fn total(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            mem_gb: self.mem_gb,
        }
    }
}

/// The cloud's price list.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Catalog {
    #[serde(rename = "breeds")]
    pub types: Vec<MachineType>,
}

impl Catalog {
    /// A type by its name.
    pub fn get(&self, name: &str) -> Option<&MachineType> {
        self.types.iter().find(|t| &*t.name == name)
    }
}

/// A rental request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RentalRequest {
    #[serde(rename = "ask")]
    pub request: String,
    #[serde(rename = "breed")]
    pub machine_type: Arc<str>,
    #[serde(rename = "grove")]
    pub zone: Arc<str>,
    #[serde(rename = "windfall")]
    pub spot: bool,
    #[serde(rename = "number")]
    pub count: u32,
}

/// Names of machines, as rental answers and deletions carry them.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineNames {
    #[serde(rename = "perches")]
    pub machines: Vec<MachineId>,
}

/// A machine as the cloud lists it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedMachine {
    pub id: MachineId,
    #[serde(rename = "address", default)]
    pub address: Option<String>,
    #[serde(rename = "breed")]
    pub machine_type: Arc<str>,
    #[serde(rename = "grove")]
    pub zone: Arc<str>,
    #[serde(rename = "windfall")]
    pub spot: bool,
    #[serde(rename = "mood")]
    pub state: String,
    #[serde(rename = "held_s")]
    pub age_s: f64,
}

/// A page of the machine list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineListPage {
    #[serde(rename = "perches")]
    pub machines: Vec<ListedMachine>,
    #[serde(rename = "truncated", default)]
    pub more: bool,
}
