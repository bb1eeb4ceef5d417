//! Reports that the event loop of the controller publishes, and that the listeners serve.

use crate::api::responder::Responder;
use crate::api::status;
use arc_swap::ArcSwapOption;
use serde::Serialize;
use std::sync::Arc;

/// The delay after which a client may retry if there is no report yet, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// The report that was last published. Clones share it.
///
/// The listener's thread responds to requests for it from here. Such requests cost the event loop
/// of the controller nothing, change nothing, and get a response even while it is busy.
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
    /// Creates a publisher without a report. `enabled` says whether `feature` is enabled.
    pub fn new(feature: &'static str, enabled: bool) -> PublishedReport<T> {
        PublishedReport {
            feature,
            enabled,
            report: Arc::new(ArcSwapOption::empty()),
        }
    }

    /// Replaces the last report.
    pub fn publish(&self, report: T) {
        self.report.store(Some(Arc::new(report)));
    }

    /// Sends the report, or an error if there is none.
    pub fn respond(&self, responder: Responder) {
        if !self.enabled {
            let message = format!("the part {} is not switched on", self.feature);
            return responder.send_error(status::NOT_FOUND, &message);
        }
        match self.report.load_full() {
            Some(report) => {
                responder.send(status::OK, serde_json::to_vec(&*report).unwrap_or_default())
            }
            None => {
                responder.retry_later(status::SERVICE_UNAVAILABLE, RETRY_AFTER_S, "no report yet")
            }
        }
    }
}
