//! Builders for the orders of a leader.

use super::controllers::EPOCH;
use finchwood::shard::{JobAssignment, Orders};

/// Returns orders to the controller `a` that contain only this sequence number and these
/// assignments.
pub(crate) fn orders(sequence: u64, assignments: Vec<JobAssignment>) -> Orders {
    Orders {
        epoch: EPOCH,
        node: "a".into(),
        seq: sequence,
        acknowledged_seq: 0,
        assignments,
        recall: Vec::new(),
        drain: Vec::new(),
        running: None,
        borrowing: Vec::new(),
        transfers: Vec::new(),
    }
}

/// Returns the assignment of a job's tasks, each given by its index and attempt.
pub(crate) fn assignments(job: &str, tasks: &[(u32, u64)]) -> Vec<JobAssignment> {
    vec![JobAssignment {
        job: job.into(),
        tasks: tasks.to_vec(),
        zone_allowances: None,
        avoid: Vec::new(),
        assignments: Vec::new(),
    }]
}
