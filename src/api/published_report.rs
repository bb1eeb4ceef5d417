//! Reports that the event loop of the controller publishes and the listeners serve.

use crate::api::responder::Responder;
use crate::api::status;
use arc_swap::ArcSwapOption;
use serde::Serialize;
use std::sync::Arc;

/// The delay after which a client may retry if there is no report yet, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// The report that was last published. All clones of a value share the same report.
///
/// The threads of the listeners respond to requests for the report. These requests do not
/// involve the event loop of the controller: they cost it no time, cannot change its state, and
/// are served even while it is busy.
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
    /// Creates a value without a report. `enabled` is whether `feature`, to which the report
    /// belongs, is enabled.
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

    /// Sends the report as the response, or an error if the feature is disabled or no report
    /// has been published.
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
