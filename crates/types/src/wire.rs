//! The types that users, workers and the cloud exchange with controllers, in the field's
//! terms. The protocol's own names stand in serde renames only.

pub use crate::cloud::{
    Catalog, ListedMachine, MachineId, MachineListPage, MachineNames, MachineType, RentalRequest,
};
pub use crate::job::{
    valid_job_id, JobId, JobKind, JobSpec, JobSpecError, JobStatus, Priority, BEGIN_WITHIN_S,
    MAX_TASKS, START_COUNTS_S,
};
pub use crate::resources::Resources;
pub use crate::task::{cause, Task, TaskReport, TaskState};
pub use crate::worker::{Command, CommandBatch, Heartbeat, HeartbeatResponse, Redirect};

/// The most bytes of the body of a request.
pub const BODY_LIMIT: usize = 64 * 1024;
