//! The steady clock and the wall clock, and the margins that leases need for clock drift.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A span of time, in seconds.
pub type Seconds = f64;

/// A point in time: seconds on the steady clock since this process first read it.
pub type Timestamp = f64;

/// How much the rates of two steady clocks may differ, as the protocol states it
/// (`PROTOCOL-finchwood.md`), in seconds per second.
pub const DRIFT: f64 = 0.0005;

/// The part of [`with_drift_margin`] that does not depend on the span, in seconds.
const CONSTANT_MARGIN_S: Seconds = 0.2;

/// The part of a lease that its holder relies on.
const USABLE_SHARE: f64 = 0.9;

/// The present time on the steady clock.
pub fn now() -> Timestamp {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

/// A point in time on both clocks, for decisions that also need the age of jobs.
#[derive(Debug, Clone, Copy)]
pub struct Moment {
    /// The steady clock.
    pub now: Timestamp,
    /// The wall clock, in milliseconds since the Unix epoch.
    pub wall_clock_ms: u64,
}

impl Moment {
    /// The present moment.
    pub fn present() -> Moment {
        Moment {
            now: now(),
            wall_clock_ms: wall_clock_ms(),
        }
    }
}

/// The wall clock, in milliseconds since the Unix epoch. Only for order and age.
pub fn wall_clock_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

/// A span in seconds that ensures, once it has passed here, that `span` has passed on
/// every other clock: for deciding that a lease held elsewhere has expired.
pub fn with_drift_margin(span: Seconds) -> Seconds {
    span * (1.0 + 4.0 * DRIFT) + CONSTANT_MARGIN_S
}

/// How long the holder of a lease of `span` seconds may rely on it, in seconds from the
/// sending of the renewal.
pub fn usable_lease(span: Seconds) -> Seconds {
    span * USABLE_SHARE
}
