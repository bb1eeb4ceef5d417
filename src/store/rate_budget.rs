//! This node's share of the key-value store's rates, for calls and for writes of two
//! classes.

use super::TokenBucket;
use crate::clock;
use crate::config::settings::Settings;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How pressing a write is. Users and the epoch never wait behind the
/// leader's housekeeping, of which there is as much as there are machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteClass {
    /// Submissions, cancellations, the epoch.
    Urgent,
    /// Finished tasks, the machine registry, the catalog.
    Bulk,
}

/// The share of the service's write rate that the leader's bulk may take; the
/// rest is left to the submissions of all nodes together.
pub const BULK_SHARE: f64 = 0.55;

impl WriteClass {
    pub(super) fn share(self) -> f64 {
        match self {
            WriteClass::Urgent => 1.0 - BULK_SHARE,
            WriteClass::Bulk => BULK_SHARE,
        }
    }
}

/// This node's share of the key-value store's two rates.
#[derive(Clone)]
pub struct RateBudget {
    calls: Arc<Mutex<TokenBucket>>,
    urgent: Arc<Mutex<TokenBucket>>,
    bulk: Arc<Mutex<TokenBucket>>,
}

impl RateBudget {
    /// Shares: calls are split evenly among the controllers. Urgent writes
    /// come in bursts at any one node, so that each may take what bulk leaves;
    /// a refusal for rate is waited out and tried again.
    pub fn new(settings: &Settings) -> RateBudget {
        let now = clock::now();
        let n = (settings.members.len() + 1) as f64;
        let s = &settings.params.state;
        let bucket = |rate: f64, least: f64| {
            let bucket = TokenBucket::new(rate, rate.max(1.0), now).with_least(least);
            Arc::new(Mutex::new(bucket))
        };
        let writes = |class: WriteClass| {
            bucket(
                s.write_rps * class.share(),
                s.lowest_write_rps() * class.share(),
            )
        };
        RateBudget {
            calls: bucket(s.rps / n, s.rps / n),
            urgent: writes(WriteClass::Urgent),
            bulk: writes(WriteClass::Bulk),
        }
    }

    fn lock(bucket: &Mutex<TokenBucket>) -> std::sync::MutexGuard<'_, TokenBucket> {
        bucket
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn wait(bucket: &Mutex<TokenBucket>, n: f64) {
        let wait = Self::lock(bucket).reserve(n, clock::now());
        if wait > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(wait));
        }
    }

    fn writes(&self, class: WriteClass) -> &Mutex<TokenBucket> {
        match class {
            WriteClass::Urgent => &self.urgent,
            WriteClass::Bulk => &self.bulk,
        }
    }

    /// Waits for room for one call.
    pub fn wait_call(&self) {
        Self::wait(&self.calls, 1.0);
    }

    /// Takes a call at once: lease renewals go first.
    pub fn force_call(&self) {
        Self::lock(&self.calls).reserve(1.0, clock::now());
    }

    /// Waits for room for `ops` puts and deletes.
    pub fn wait_writes(&self, class: WriteClass, ops: usize) {
        Self::wait(self.writes(class), ops as f64);
    }

    /// The service refused for rate: the bucket starts anew.
    pub fn rate_limited(&self, class: WriteClass) {
        let now = clock::now();
        Self::lock(self.writes(class)).refused(now);
    }
}
