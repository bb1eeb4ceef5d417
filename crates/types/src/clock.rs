//! The monotonic clock, the wall clock, and the margins that leases need for clock drift.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A duration, in seconds.
pub type Seconds = f64;

/// A point in time: seconds on the monotonic clock since this process first read it.
pub type Timestamp = f64;

/// The maximum difference between the rates of two monotonic clocks, as the protocol states it
/// (`PROTOCOL-finchwood.md`), in seconds per second.
pub const DRIFT: f64 = 0.0005;

/// The part of the margin of [`with_drift_margin`] that does not depend on the duration, in
/// seconds.
const CONSTANT_MARGIN_S: Seconds = 0.2;

/// The fraction of a lease that its holder relies on.
const USABLE_SHARE: f64 = 0.9;

/// Returns the current time on the monotonic clock.
pub fn now() -> Timestamp {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

/// A point in time on both clocks, for decisions that also depend on the age of jobs.
#[derive(Debug, Clone, Copy)]
pub struct Moment {
    /// The time on the monotonic clock.
    pub now: Timestamp,
    /// The time on the wall clock, in milliseconds since the Unix epoch.
    pub wall_clock_ms: u64,
}

impl Moment {
    /// Returns the current time on both clocks.
    pub fn now() -> Moment {
        Moment {
            now: now(),
            wall_clock_ms: wall_clock_ms(),
        }
    }
}

/// Returns the time on the wall clock, in milliseconds since the Unix epoch. It may jump, so it
/// is used only to order jobs and to compute their age.
pub fn wall_clock_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

/// Extends `span` by the margin for clock drift, in seconds: once the result has passed on this
/// process's monotonic clock, `span` has passed on that of every other process. Used to decide
/// that the lease of another process has expired.
pub fn with_drift_margin(span: Seconds) -> Seconds {
    span * (1.0 + 4.0 * DRIFT) + CONSTANT_MARGIN_S
}

/// Returns how long the holder of a lease of `span` seconds may rely on it, in seconds since
/// it sent the renewal.
pub fn usable_lease(span: Seconds) -> Seconds {
    span * USABLE_SHARE
}
