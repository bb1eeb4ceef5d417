//! Durations and time bounds that are derived from the settings, in seconds.

use super::Settings;
use crate::clock::{self, Seconds};

/// The duration of a member's lease, as a fraction of the duration of a worker's lease.
const MEMBER_LEASE_FRACTION: f64 = 0.4;
/// The time after which a machine that still runs a cancelled task is deleted, as a fraction
/// of `cancel_s`. The rest of that time is left for the cloud to carry out the deletion.
const EVICTION_FRACTION: f64 = 0.75;

impl Settings {
    /// Returns the duration of a member's lease on the key-value store. It is two fifths of
    /// a worker's lease, so that a successor has the rest of that lease to take over. It is at
    /// most the part of `cancel_s` that remains after a whole lease of a worker. Nine tenths of
    /// the duration are also the limit on the staleness of a controller's cache
    /// ([`Settings::max_staleness_s`]).
    pub fn member_lease_s(&self) -> Seconds {
        let workers = &self.params.workers;
        let remaining_s = workers.cancel_s - clock::with_drift_margin(workers.lease_s);
        (workers.lease_s * MEMBER_LEASE_FRACTION).min(remaining_s)
    }

    /// Returns the largest age that a controller's cache of jobs and of the epoch may have
    /// when the controller responds to a worker or sends it commands. The age is counted from
    /// the start of the last successful read of the store.
    pub fn max_staleness_s(&self) -> Seconds {
        clock::usable_lease(self.member_lease_s())
    }

    /// Returns the longest time that a task can continue to run after the cancellation of its
    /// job was confirmed, on a machine that does not hang. The worst case is a response to the
    /// worker from a cache without the cancellation, followed by the whole lease that this
    /// response renewed. The bound is below `cancel_s` for all valid settings (see
    /// `docs/design.md`).
    pub fn cancellation_bound_s(&self) -> Seconds {
        self.max_staleness_s() + clock::with_drift_margin(self.params.workers.lease_s)
    }

    /// Returns the time from a job's cancellation after which a machine is deleted unless it is
    /// confirmed that none of the job's tasks runs there.
    pub fn evict_after_s(&self) -> Seconds {
        self.params.workers.cancel_s * EVICTION_FRACTION
    }
}
