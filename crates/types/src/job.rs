//! Jobs: their specifications, as users submit them, and their states, as users see them.

use crate::cloud::Catalog;
use crate::message_size::task_report_bytes;
use crate::resources::Resources;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;
use thiserror::Error;

/// A job's id.
pub type JobId = Arc<str>;

/// The maximum length of a job id, in bytes.
pub(crate) const MAX_JOB_ID_BYTES: usize = 64;

/// Whether `id` has the form of a job id: `wk-`, followed by ASCII letters, digits or hyphens,
/// and not too long.
pub fn valid_job_id(id: &str) -> bool {
    id.len() <= MAX_JOB_ID_BYTES
        && id.strip_prefix("wk-").is_some_and(|rest| {
            !rest.is_empty() && rest.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-')
        })
}

/// The way in which the tasks of a job run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks that run to completion.
    #[serde(rename = "array")]
    Array,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
    /// Tasks that only run all at the same time.
    #[serde(rename = "ensemble")]
    Gang,
}

/// The priority of a job, from the highest to the lowest.
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
    /// The class of jobs that it belongs to, which determines its service-level objectives.
    #[serde(rename = "flock")]
    pub class: Arc<str>,
    /// The team whose guarantee and cap apply to it.
    #[serde(rename = "nest")]
    pub team: Arc<str>,
    /// The way in which its tasks run.
    #[serde(rename = "shape")]
    pub job_kind: JobKind,
    /// Its priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// The number of tasks.
    #[serde(rename = "chicks")]
    pub task_count: u32,
    /// The processor cores that each task needs.
    pub cpus: f64,
    /// The accelerators that each task needs.
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    /// The memory that each task needs, in gigabytes.
    pub mem_gb: f64,
    /// The name of the image.
    #[serde(rename = "egg")]
    pub image: Arc<str>,
    /// The size of the image, in gigabytes.
    #[serde(rename = "size_gb")]
    pub image_gb: f64,
    /// The machine types that the job may run on; `None` for all.
    #[serde(rename = "breeds", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<Arc<str>>>,
    /// The only zone that the job may run in; `None` for all.
    #[serde(rename = "grove", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<Arc<str>>,
    /// Whether all tasks must run in one zone.
    pub one_zone: bool,
    /// Whether one zone may hold at most half of the tasks, rounded up.
    pub scatter: bool,
    /// Whether the job may run on spot machines.
    #[serde(rename = "windfall")]
    pub spot: bool,
    /// The user's estimate of a task's running time, in seconds; zero for services.
    #[serde(rename = "guess_s")]
    pub estimate_s: f64,
    /// The running time between checkpoints, in seconds; zero if tasks save no checkpoints.
    #[serde(rename = "molt_s")]
    pub checkpoint_s: f64,
    /// The time that saving a checkpoint takes, in seconds.
    #[serde(rename = "stash_s")]
    pub save_s: f64,
    /// The time after the submission by which the job should be done, in seconds, if any.
    #[serde(rename = "dusk_s", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

/// The maximum number of tasks of a job.
pub const MAX_TASKS: u32 = 100_000;

/// The time after its submission within which a job of any size should start its first task,
/// in seconds.
pub const FIRST_START_TARGET_S: f64 = 240.0;

/// The time that a task must run for its start to count for users, in seconds.
pub const MIN_COUNTED_RUN_S: f64 = 30.0;

/// Why a submission is refused. The text is sent to the user.
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
    /// Parses and validates a submission.
    ///
    /// # Errors
    ///
    /// Returns an error if the submission is malformed or a value is out of range.
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

    /// Checks that all amounts are finite and not negative.
    fn check_amounts(&self) -> Result<(), JobSpecError> {
        // The fields have the names that users send.
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

    /// Returns the resources that each task needs.
    pub fn task_resources(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            mem_gb: self.mem_gb,
            report_bytes: task_report_bytes(&self.id) as f64,
        }
    }

    /// Whether the placement of a task depends on that of other tasks of the job.
    pub fn has_coupled_tasks(&self) -> bool {
        self.one_zone || self.scatter || self.job_kind != JobKind::Array
    }

    /// Whether the job may run on a machine of this type and zone, spot or not.
    pub fn allowed_on(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        (self.spot || !spot)
            && self
                .types
                .as_ref()
                .is_none_or(|types| types.iter().any(|name| &**name == machine_type))
            && self.zone.as_ref().is_none_or(|only| &**only == zone)
    }

    /// Returns the number of zones that offer a machine type into which a task fits.
    pub fn fitting_zone_count(&self, catalog: &Catalog) -> usize {
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

    /// Returns the maximum number of the job's tasks in one zone.
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
