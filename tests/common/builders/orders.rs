//! What a leader orders.

use super::controllers::EPOCH;
use finchwood::shard::{JobAssignment, Orders};

/// Orders number `seq` to the controller `a`.
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

/// Starts of a job's tasks, given by index and attempt.
pub(crate) fn assignments(job: &str, tasks: &[(u32, u64)]) -> Vec<JobAssignment> {
    vec![JobAssignment {
        job: job.into(),
        tasks: tasks.to_vec(),
        zone_capacity: None,
        avoid: Vec::new(),
        assignments: Vec::new(),
    }]
}
