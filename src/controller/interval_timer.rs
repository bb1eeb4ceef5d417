//! Timers for work that is done at intervals rather than in every round.

use crate::clock::Seconds;

/// The start of the process, on the monotonic clock.
const PROCESS_START: Seconds = 0.0;

/// A timer for work that is done at intervals.
#[derive(Debug)]
pub(super) struct IntervalTimer {
    /// When the current interval began; `None` if the timer is due at once.
    last_at: Option<Seconds>,
}

impl IntervalTimer {
    /// Creates a timer whose first interval begins when the process starts.
    pub(super) fn since_process_start() -> IntervalTimer {
        IntervalTimer {
            last_at: Some(PROCESS_START),
        }
    }

    /// Creates a timer that is due at once.
    pub(super) fn due_now() -> IntervalTimer {
        IntervalTimer { last_at: None }
    }

    /// Returns whether the interval has elapsed.
    pub(super) fn is_due(&self, interval: Seconds, now: Seconds) -> bool {
        self.last_at.is_none_or(|at| now - at >= interval)
    }

    /// Begins the next interval if the current one has elapsed. Returns whether it had.
    pub(super) fn restart_if_due(&mut self, interval: Seconds, now: Seconds) -> bool {
        let due = self.is_due(interval, now);
        if due {
            self.restart(now);
        }
        due
    }

    /// Begins the next interval at `now`.
    pub(super) fn restart(&mut self, now: Seconds) {
        self.last_at = Some(now);
    }

    /// Returns the time until the interval has elapsed, in seconds; 0 if it has.
    pub(super) fn remaining(&self, interval: Seconds, now: Seconds) -> Seconds {
        self.last_at
            .map_or(0.0, |at| (at + interval - now).max(0.0))
    }
}
