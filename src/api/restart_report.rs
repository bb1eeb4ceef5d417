//! The body of the response to `GET /restart` on the internal listener: the state that a
//! controller found after its last restart or takeover.

use crate::scheduler::ReconciliationProgress;
use finchwood_reconciliation::restart_record::RecordView;
use serde::Serialize;

/// The state that a controller has found, and the actions that it has taken, since it last
/// started or became the leader without state from an earlier epoch.
#[derive(Debug, Clone, Serialize)]
pub struct RestartReport {
    /// The name of the controller.
    pub node: String,
    /// The time from the start of the process to the first job that it accepted, in seconds;
    /// `None` before that.
    pub first_accepted_after_s: Option<f64>,
    /// The record of the machines that it owns and of their tasks.
    pub machines: RecordView,
    /// The progress of the reconciliation; `None` unless the controller is the leader.
    pub leader: Option<ReconciliationProgress>,
    /// The invalid records and dangling references in the key-value store, up to a limit.
    /// Invalid records are never overwritten.
    #[serde(rename = "records_left_alone")]
    pub invalid_records: Vec<InvalidRecordReport>,
    /// The number of all invalid records and dangling references.
    #[serde(rename = "records_left_alone_count")]
    pub invalid_record_count: usize,
}

/// A stored record that is invalid or has a dangling reference.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct InvalidRecordReport {
    /// The key of the record.
    pub key: String,
    /// The error message that describes the fault of the record.
    #[serde(rename = "why")]
    pub reason: String,
}
