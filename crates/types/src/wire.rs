//! The messages that users, workers and the cloud exchange with controllers, under the usual
//! terms of cluster scheduling. The names of the protocol appear in serde renames only.

pub use crate::cloud::{
    Catalog, ListedMachine, MachineId, MachineIds, MachineListPage, MachineType, RentalRequest,
};
pub use crate::job::{
    valid_job_id, JobId, JobKind, JobSpec, JobSpecError, JobStatus, Priority, FIRST_START_TARGET_S,
    MAX_TASKS, MIN_COUNTED_RUN_S,
};
pub use crate::resources::Resources;
pub use crate::task::{cause, Task, TaskReport, TaskState};
pub use crate::worker::{Command, CommandBatch, Heartbeat, HeartbeatResponse, Redirect};

/// The maximum size of a request body, in bytes.
pub const BODY_LIMIT: usize = 64 * 1024;
