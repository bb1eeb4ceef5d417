//! What a controller says of its last restart or takeover, to operators who ask
//! (`GET /restart` at the address for the other controllers).
//!
//! The controller's actor publishes it; the listener answers from what was published
//! last, so that a question costs the actor nothing and is answered while it is busy.

use crate::assignment::RestartProgress;
use crate::server::{error_body, Reply};
use arc_swap::ArcSwapOption;
use finchwood_reconcile::record::RecordView;
use serde::Serialize;
use std::sync::Arc;

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
    pub leader: Option<RestartProgress>,
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

/// The place of the report that was published last.
#[derive(Debug, Clone)]
pub struct Published {
    switched_on: bool,
    report: Arc<ArcSwapOption<RestartReport>>,
}

impl Published {
    /// Nothing published yet, by a part that is switched on or not.
    pub fn new(switched_on: bool) -> Published {
        Published { switched_on, report: Arc::new(ArcSwapOption::empty()) }
    }

    /// Replaces what was published before.
    pub fn publish(&self, report: RestartReport) {
        self.report.store(Some(Arc::new(report)));
    }

    /// Answers a question.
    pub fn answer(&self, reply: Reply) {
        if !self.switched_on {
            return reply.send(404, error_body("the part cold-restart is not switched on"));
        }
        match self.report.load_full() {
            Some(report) => reply.send(200, serde_json::to_vec(&*report).unwrap_or_default()),
            None => reply.later(503, 1, "no report yet"),
        }
    }
}
