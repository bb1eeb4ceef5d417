//! What a controller says of its last restart or takeover, to operators who ask
//! (`GET /restart` at the address for the other controllers).

use crate::scheduler::ReconciliationProgress;
use finchwood_reconciliation::restart_record::RecordView;
use serde::Serialize;

/// What a controller found and did since it last knew nothing.
#[derive(Debug, Clone, Serialize)]
pub struct RestartReport {
    /// The controller's name.
    pub node: String,
    /// Seconds from the start of the process to the first job that it accepted.
    pub first_accepted_after_s: Option<f64>,
    /// Its own machines and their tasks.
    pub machines: RecordView,
    /// The jobs, if it leads.
    pub leader: Option<ReconciliationProgress>,
    /// Stored records that are left alone, the first by key.
    pub records_left_alone: Vec<RecordLeftAlone>,
    /// How many there are.
    pub records_left_alone_count: usize,
}

/// A stored record that can't be read, or names what nobody knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RecordLeftAlone {
    /// Its key.
    pub key: String,
    /// What is wrong with it.
    pub why: String,
}
