//! Steady time in seconds, and the drift margins that leases need.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Seconds on the steady clock since this process first asked.
pub type Seconds = f64;

/// How far two steady clocks may drift apart, as the protocol states it.
pub const DRIFT: f64 = 0.0005;

/// The steady clock.
pub fn now() -> Seconds {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

/// A moment on both clocks, for decisions that also need the age of jobs.
#[derive(Debug, Clone, Copy)]
pub struct Moment {
    pub now: Seconds,
    pub wall_clock_ms: u64,
}

impl Moment {
    /// The present.
    pub fn present() -> Moment {
        Moment {
            now: now(),
            wall_clock_ms: wall_clock_ms(),
        }
    }
}

/// Milliseconds of the time of day (only ever used for ordering and age).
pub fn wall_clock_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

/// A span that has certainly passed on any other clock once it has passed
/// here: used before something of somebody else's is declared over.
pub fn with_drift_margin(span: Seconds) -> Seconds {
    span * (1.0 + 4.0 * DRIFT) + 0.2
}

/// How long a lease of `span` may be relied upon by its own holder,
/// measured from the sending of the renewal.
pub fn usable(span: Seconds) -> Seconds {
    span * 0.9
}
