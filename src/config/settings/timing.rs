//! Time bounds that follow from the settings, in seconds.

use super::Settings;
use crate::clock::{self, Seconds};

/// The life of a member's lease, as a fraction of a worker's.
const MEMBER_LEASE_FRACTION: f64 = 0.4;
/// When a machine is evicted that still runs a cancelled task, as a fraction of the time
/// that users allow; the rest is for the cloud to delete it.
const EVICTION_FRACTION: f64 = 0.75;

impl Settings {
    /// The life of a member's lease on the key-value store, of which nine tenths
    /// are also the greatest age of the knowledge behind a response to a worker
    /// ([`Settings::max_staleness_s`]): two fifths of a worker's lease, so that a
    /// successor has the rest of it to take over, but no more than `cancel_s`
    /// leaves beside a whole lease of the worker.
    pub fn member_lease_s(&self) -> Seconds {
        let workers = &self.params.workers;
        let beside_lease = workers.cancel_s - clock::with_drift_margin(workers.lease_s);
        (workers.lease_s * MEMBER_LEASE_FRACTION).min(beside_lease)
    }

    /// The greatest age of what a controller knows of jobs and of the epoch
    /// when it responds to a worker or commands it.
    pub fn max_staleness_s(&self) -> Seconds {
        clock::usable(self.member_lease_s())
    }

    /// The longest that a task can outlive the confirmation of its job's
    /// cancellation on a machine that is not hung: a response that was not aware
    /// of it, then the whole lease that this response renewed. Below `cancel_s`
    /// for all settings that are accepted (`docs/design.md`).
    pub fn cancellation_bound_s(&self) -> Seconds {
        self.max_staleness_s() + clock::with_drift_margin(self.params.workers.lease_s)
    }

    /// When a machine is deleted that has not been proven rid of a task of a
    /// cancelled job, counted from the cancellation.
    pub fn evict_after_s(&self) -> Seconds {
        self.params.workers.cancel_s * EVICTION_FRACTION
    }
}
