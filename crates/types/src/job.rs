//! Jobs: what users submit, and what they see of it.

use crate::cloud::Catalog;
use crate::resources::Resources;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;
use thiserror::Error;

/// A job's id.
pub type JobId = Arc<str>;

/// The most bytes of a job id.
const MAX_JOB_ID_BYTES: usize = 64;

/// Whether `id` has the form of a job id: `wk-` and ASCII letters, digits or hyphens.
pub fn valid_job_id(id: &str) -> bool {
    id.len() <= MAX_JOB_ID_BYTES
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

/// The priority of a job, the highest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Production services.
    Prod,
    /// Urgent work.
    Urgent,
    /// The usual priority.
    Standard,
    /// Work that may wait.
    Low,
}

/// The specification of a job, as a user submits it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The job's id.
    pub id: JobId,
    /// The class of jobs that it belongs to, which selects its service-level objectives.
    #[serde(rename = "flock")]
    pub class: Arc<str>,
    /// The team whose guarantee and limit apply.
    #[serde(rename = "nest")]
    pub team: Arc<str>,
    /// How its tasks run.
    #[serde(rename = "shape")]
    pub job_kind: JobKind,
    /// Its priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// The number of tasks.
    #[serde(rename = "chicks")]
    pub task_count: u32,
    /// Processor cores of each task.
    pub cpus: f64,
    /// Accelerators of each task.
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    /// Memory of each task, in gigabytes.
    pub mem_gb: f64,
    /// The name of the image.
    #[serde(rename = "egg")]
    pub image: Arc<str>,
    /// The size of the image, in gigabytes.
    #[serde(rename = "size_gb")]
    pub image_gb: f64,
    /// The machine types that the job allows; `None` for all.
    #[serde(rename = "breeds", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<Arc<str>>>,
    /// The only zone that the job allows, if any.
    #[serde(rename = "grove", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<Arc<str>>,
    /// Whether all tasks must run in one zone.
    pub one_zone: bool,
    /// Whether one zone may hold at most half of the tasks, rounded up.
    pub scatter: bool,
    /// Whether the job allows spot machines.
    #[serde(rename = "windfall")]
    pub spot: bool,
    /// The user's estimate of a task's running time, in seconds; zero for services.
    #[serde(rename = "guess_s")]
    pub estimate_s: f64,
    /// The running time between checkpoints, in seconds; zero if the task cannot save any.
    #[serde(rename = "molt_s")]
    pub checkpoint_s: f64,
    /// The time to save a checkpoint, in seconds.
    #[serde(rename = "stash_s")]
    pub save_s: f64,
    /// The time from the submission by which the job should be done, in seconds.
    #[serde(rename = "dusk_s", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

/// The most tasks of a job.
pub const MAX_TASKS: u32 = 100_000;
/// The time within which a job of any size should start its first task, in seconds.
pub const FIRST_START_TARGET_S: f64 = 240.0;
/// The time that a task must run for its start to count, in seconds.
pub const MIN_COUNTED_RUN_S: f64 = 30.0;

/// Why a submission is refused. The words go to the user.
#[derive(Debug, Error)]
pub enum JobSpecError {
    /// The body is not JSON, or a field is missing or of another type.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The id does not have the form of a job id.
    #[error("field `id` has not the form of a job id")]
    JobId,
    /// The number of tasks is zero or above [`MAX_TASKS`].
    #[error("a job has 1 to {MAX_TASKS} tasks")]
    TaskCount,
    /// An amount is negative or not finite.
    #[error("field `{field}` is not an amount")]
    Amount {
        /// The name of the field on the wire.
        field: &'static str,
    },
}

impl JobSpec {
    /// Parses and checks a submission.
    ///
    /// # Errors
    /// The submission is malformed, or a value is out of range.
    pub fn parse(body: &[u8]) -> Result<JobSpec, JobSpecError> {
        let spec: JobSpec = serde_json::from_slice(body)?;
        if !valid_job_id(&spec.id) {
            return Err(JobSpecError::JobId);
        }
        if spec.task_count == 0 || spec.task_count > MAX_TASKS {
            return Err(JobSpecError::TaskCount);
        }
        spec.check_amounts()?;
        Ok(spec)
    }

    /// Checks that amounts are finite and not negative.
    fn check_amounts(&self) -> Result<(), JobSpecError> {
        // By the names that users send.
        let amounts = [
            ("cpus", self.cpus),
            ("accelerators", self.gpus),
            ("mem_gb", self.mem_gb),
            ("size_gb", self.image_gb),
            ("guess_s", self.estimate_s),
            ("molt_s", self.checkpoint_s),
            ("stash_s", self.save_s),
            ("dusk_s", self.deadline_s.unwrap_or(0.0)),
        ];
        for (field, value) in amounts {
            if !value.is_finite() || value < 0.0 {
                return Err(JobSpecError::Amount { field });
            }
        }
        Ok(())
    }

    /// The resources that each task needs.
    pub fn task_resources(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            mem_gb: self.mem_gb,
        }
    }

    /// Whether the placement of a task depends on that of the job's other tasks.
    pub fn has_coupled_tasks(&self) -> bool {
        self.one_zone || self.scatter || self.job_kind != JobKind::Array
    }

    /// Whether the specification allows a machine of this type and zone, spot or not.
    pub fn allowed_on(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        (self.spot || !spot)
            && self
                .types
                .as_ref()
                .is_none_or(|types| types.iter().any(|name| &**name == machine_type))
            && self.zone.as_ref().is_none_or(|only| &**only == zone)
    }

    /// The number of zones that offer a machine type on which a task fits.
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

    /// The most tasks of the job that one zone may hold.
    pub fn zone_cap(&self) -> u32 {
        if self.scatter {
            self.task_count.div_ceil(2)
        } else {
            u32::MAX
        }
    }
}

/// The state of a job, as users see it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job's id.
    pub id: JobId,
    /// `pending`, `running`, `done` or `cancelled`.
    #[serde(rename = "mood")]
    pub state: String,
    /// The number of finished tasks.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub done: Option<u32>,
    /// The number of running tasks.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub running: Option<u32>,
}
