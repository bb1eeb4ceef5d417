//! The body of `GET /restart` on the internal listener: what a controller found at its last
//! restart or takeover.

use crate::scheduler::ReconciliationProgress;
use finchwood_reconciliation::restart_record::RecordView;
use serde::Serialize;

/// What a controller has found and done since it last started, or became the leader, without
/// state from an earlier epoch.
#[derive(Debug, Clone, Serialize)]
pub struct RestartReport {
    /// The name of the controller.
    pub node: String,
    /// The time from the start of the process to the first job that it accepted, in seconds;
    /// `None` before that.
    pub first_accepted_after_s: Option<f64>,
    /// The record of the machines that it owns and of their tasks.
    pub machines: RecordView,
    /// The progress in reconciling the jobs; `None` unless it leads.
    pub leader: Option<ReconciliationProgress>,
    /// The invalid records in the key-value store, which are never overwritten: only the first
    /// ones, in the order of their keys.
    #[serde(rename = "records_left_alone")]
    pub invalid_records: Vec<InvalidRecordReport>,
    /// The number of all invalid records.
    #[serde(rename = "records_left_alone_count")]
    pub invalid_record_count: usize,
}

/// A stored record that can't be read or refers to something unknown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct InvalidRecordReport {
    /// The key of the record.
    pub key: String,
    /// Why it is invalid.
    #[serde(rename = "why")]
    pub reason: String,
}
