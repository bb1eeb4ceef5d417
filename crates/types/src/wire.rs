//! The types that users, workers and the cloud exchange with controllers, in the field's
//! terms. The protocol's own names stand in serde renames only.

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

/// The most bytes of the body of a request.
pub const BODY_LIMIT: usize = 64 * 1024;
