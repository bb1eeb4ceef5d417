//! Reports that the controller's actor publishes, and the listener hands out.
//!
//! A question is answered from what was published last, so that it costs the actor
//! nothing, changes nothing, and is answered while the actor is busy.

use crate::api::server::{error_body, Responder};
use arc_swap::ArcSwapOption;
use serde::Serialize;
use std::sync::Arc;

/// The place of the report that was published last.
#[derive(Debug)]
pub struct PublishedReport<T> {
    feature: &'static str,
    enabled: bool,
    report: Arc<ArcSwapOption<T>>,
}

impl<T> Clone for PublishedReport<T> {
    fn clone(&self) -> PublishedReport<T> {
        PublishedReport {
            feature: self.feature,
            enabled: self.enabled,
            report: self.report.clone(),
        }
    }
}

impl<T: Serialize> PublishedReport<T> {
    /// Nothing published yet, by a part that is switched on or not.
    pub fn new(feature: &'static str, enabled: bool) -> PublishedReport<T> {
        PublishedReport {
            feature,
            enabled,
            report: Arc::new(ArcSwapOption::empty()),
        }
    }

    /// Replaces what was published before.
    pub fn publish(&self, report: T) {
        self.report.store(Some(Arc::new(report)));
    }

    /// Answers a question.
    pub fn answer(&self, responder: Responder) {
        if !self.enabled {
            return responder.send(
                404,
                error_body(&format!("the part {} is not switched on", self.feature)),
            );
        }
        match self.report.load_full() {
            Some(report) => responder.send(200, serde_json::to_vec(&*report).unwrap_or_default()),
            None => responder.retry_later(503, 1, "no report yet"),
        }
    }
}
