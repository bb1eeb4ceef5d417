//! Reports that the controller's actor publishes, and the listener hands out.
//!
//! A question is answered from what was published last, so that it costs the actor
//! nothing, changes nothing, and is answered while the actor is busy.

use crate::server::{error_body, Reply};
use arc_swap::ArcSwapOption;
use serde::Serialize;
use std::sync::Arc;

/// The place of the report that was published last.
#[derive(Debug)]
pub struct Published<T> {
    part: &'static str,
    switched_on: bool,
    report: Arc<ArcSwapOption<T>>,
}

impl<T> Clone for Published<T> {
    fn clone(&self) -> Published<T> {
        Published {
            part: self.part,
            switched_on: self.switched_on,
            report: self.report.clone(),
        }
    }
}

impl<T: Serialize> Published<T> {
    /// Nothing published yet, by a part that is switched on or not.
    pub fn new(part: &'static str, switched_on: bool) -> Published<T> {
        Published {
            part,
            switched_on,
            report: Arc::new(ArcSwapOption::empty()),
        }
    }

    /// Replaces what was published before.
    pub fn publish(&self, report: T) {
        self.report.store(Some(Arc::new(report)));
    }

    /// Answers a question.
    pub fn answer(&self, reply: Reply) {
        if !self.switched_on {
            return reply.send(
                404,
                error_body(&format!("the part {} is not switched on", self.part)),
            );
        }
        match self.report.load_full() {
            Some(report) => reply.send(200, serde_json::to_vec(&*report).unwrap_or_default()),
            None => reply.later(503, 1, "no report yet"),
        }
    }
}
