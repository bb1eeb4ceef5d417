//! Upper bounds on the encoded sizes of what messages between workers and controllers list. A
//! worker reports all tasks of its machine in one request body, and a controller sends it one line
//! of commands, so that neither may be longer than [`BODY_LIMIT`].

use crate::job::MAX_JOB_ID_BYTES;
use crate::wire::BODY_LIMIT;

/// The space that a message's fields other than its list may take, in bytes.
const HEADER_BYTES: usize = 1024;

/// The space that the list of a message may take, in bytes.
pub const LIST_BYTES: usize = BODY_LIMIT - HEADER_BYTES;

/// The longest entry of a task in a report without the id of its job, in bytes. A worker may
/// separate fields by spaces.
const TASK_REPORT_BYTES: usize = LONGEST_TASK_REPORT.len();

/// The longest entry of a task whose job has an empty id.
const LONGEST_TASK_REPORT: &str = r#"{"chick": "/99999", "hatch": 18446744073709551615, "mood": "ended", "cause": "stopped", "kept": false}, "#;

/// The longest command without the id of its task, in bytes. Its grace period has at most as
/// many digits as a number that is printed exactly.
const COMMAND_BYTES: usize = LONGEST_COMMAND.len();

/// The longest command to a task with an empty id.
const LONGEST_COMMAND: &str = r#"{"call":"start","chick":"","hatch":18446744073709551615,"settle_s":-1.2345678901234567e-300},"#;

/// Returns the largest size of the entry of one of a job's tasks in a report, in bytes.
pub fn task_report_bytes(job_id: &str) -> usize {
    TASK_REPORT_BYTES + job_id.len()
}

/// Returns the largest size of the entry of any task in a report, in bytes.
pub fn longest_task_report_bytes() -> usize {
    TASK_REPORT_BYTES + MAX_JOB_ID_BYTES
}

/// Returns the largest size of a command to a task, in bytes.
pub fn command_bytes(task_id: &str) -> usize {
    COMMAND_BYTES + task_id.len()
}
