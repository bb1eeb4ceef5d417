//! Reports that the controller's event loop publishes, and the listeners hand out.

use crate::api::responder::Responder;
use crate::api::status;
use arc_swap::ArcSwapOption;
use serde::Serialize;
use std::sync::Arc;

/// When a client is told to retry if there is no report yet, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// The report that was published last; clones share it.
///
/// Requests for it are answered from here by the listener's thread, so that they cost the
/// controller's event loop nothing, change nothing, and are answered while it is busy.
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
    /// No report yet, of a feature that is enabled or not.
    pub fn new(feature: &'static str, enabled: bool) -> PublishedReport<T> {
        PublishedReport {
            feature,
            enabled,
            report: Arc::new(ArcSwapOption::empty()),
        }
    }

    /// Replaces the report that was published before.
    pub fn publish(&self, report: T) {
        self.report.store(Some(Arc::new(report)));
    }

    /// Sends the report, or why there is none.
    pub fn answer(&self, responder: Responder) {
        if !self.enabled {
            let why = format!("the part {} is not switched on", self.feature);
            return responder.send_error(status::NOT_FOUND, &why);
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
