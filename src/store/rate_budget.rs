//! This controller's share of the key-value store's rate limits.

use super::TokenBucket;
use crate::clock;
use crate::config::settings::Settings;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The class of a write. Each class has its own queue and budget, so that urgent writes
/// never wait behind the leader's bulk writes, of which there can be as many as machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteClass {
    /// Writes of submissions, cancellations and the epoch.
    Urgent,
    /// Writes of finished tasks, the machine registry and the catalog.
    Bulk,
}

/// The share of the store's write rate limit that the leader's bulk writes may use. The rest
/// is for the urgent writes of all controllers together.
pub const BULK_SHARE: f64 = 0.55;

impl WriteClass {
    /// Returns the share of the store's write rate limit that writes of this class may use.
    pub(super) fn rate_share(self) -> f64 {
        match self {
            WriteClass::Urgent => 1.0 - BULK_SHARE,
            WriteClass::Bulk => BULK_SHARE,
        }
    }
}

/// This controller's share of the store's rate limits. Clones use the same budget.
#[derive(Clone)]
pub struct RateBudget {
    calls: Arc<Mutex<TokenBucket>>,
    urgent: Arc<Mutex<TokenBucket>>,
    bulk: Arc<Mutex<TokenBucket>>,
}

impl RateBudget {
    /// Creates a budget for the limits in the settings. Calls are split evenly among the
    /// controllers. Urgent writes come in bursts at a single controller, so each controller
    /// may use the whole share that bulk writes leave; a write that exceeds the store's rate
    /// limit is retried.
    pub fn new(settings: &Settings) -> RateBudget {
        let now = clock::now();
        let controllers = (settings.members.len() + 1) as f64;
        let limits = &settings.params.state;
        let bucket = |rate: f64, lowest_rate: f64| {
            let bucket = TokenBucket::new(rate, rate.max(1.0), now).with_lowest_rate(lowest_rate);
            Arc::new(Mutex::new(bucket))
        };
        let writes = |class: WriteClass| {
            let share = class.rate_share();
            bucket(limits.write_rps * share, limits.lowest_write_rps() * share)
        };
        RateBudget {
            calls: bucket(limits.rps / controllers, limits.rps / controllers),
            urgent: writes(WriteClass::Urgent),
            bulk: writes(WriteClass::Bulk),
        }
    }

    /// Waits until the budget allows a call.
    pub fn wait_call(&self) {
        wait(&self.calls, 1.0);
    }

    /// Charges a call to the budget without waiting, so that the requests that keep the
    /// member lease precede all others. Later calls wait longer instead.
    pub fn charge_call(&self) {
        lock(&self.calls).reserve(1.0, clock::now());
    }

    /// Waits until the budget allows `ops` write operations of a class.
    pub fn wait_writes(&self, class: WriteClass, ops: usize) {
        wait(self.write_bucket(class), ops as f64);
    }

    /// Records that writes of a class exceeded the store's rate limit, which slows down later
    /// writes of the class.
    pub fn record_rate_limit(&self, class: WriteClass) {
        let now = clock::now();
        lock(self.write_bucket(class)).record_refusal(now);
    }

    fn write_bucket(&self, class: WriteClass) -> &Mutex<TokenBucket> {
        match class {
            WriteClass::Urgent => &self.urgent,
            WriteClass::Bulk => &self.bulk,
        }
    }
}

fn lock(bucket: &Mutex<TokenBucket>) -> MutexGuard<'_, TokenBucket> {
    bucket.lock().unwrap_or_else(PoisonError::into_inner)
}

fn wait(bucket: &Mutex<TokenBucket>, tokens: f64) {
    let wait_s = lock(bucket).reserve(tokens, clock::now());
    if wait_s > 0.0 {
        std::thread::sleep(Duration::from_secs_f64(wait_s));
    }
}
