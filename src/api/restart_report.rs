//! The body of `GET /restart` on the internal listener: what a controller found at its
//! last restart or takeover.

use crate::scheduler::ReconciliationProgress;
use finchwood_reconciliation::restart_record::RecordView;
use serde::Serialize;

/// What a controller has found and done since it last started, or took over the lead,
/// without any state.
#[derive(Debug, Clone, Serialize)]
pub struct RestartReport {
    /// The name of the controller.
    pub node: String,
    /// Seconds from the start of the process to the first job that it accepted.
    pub first_accepted_after_s: Option<f64>,
    /// The machines it owns and their tasks.
    pub machines: RecordView,
    /// How far the jobs are reconciled, if it leads.
    pub leader: Option<ReconciliationProgress>,
    /// Unreadable records of the key-value store, which are left as they are: the first
    /// of them by key.
    #[serde(rename = "records_left_alone")]
    pub invalid_records: Vec<InvalidRecordReport>,
    /// The number of all unreadable records.
    #[serde(rename = "records_left_alone_count")]
    pub invalid_record_count: usize,
}

/// A stored record that can't be read, or refers to something unknown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct InvalidRecordReport {
    /// The key of the record.
    pub key: String,
    /// What is wrong with it.
    #[serde(rename = "why")]
    pub reason: String,
}
