//! What is done at intervals, rather than in every round.

use crate::clock::Seconds;

/// The start of the process on the steady clock.
const PROCESS_START: Seconds = 0.0;

/// When something that is done at intervals was last done.
#[derive(Debug)]
pub(super) struct IntervalTimer {
    /// `None` if it is due now.
    last_at: Option<Seconds>,
}

impl IntervalTimer {
    /// A timer whose first interval begins with the process.
    pub(super) fn since_process_start() -> IntervalTimer {
        IntervalTimer {
            last_at: Some(PROCESS_START),
        }
    }

    /// A timer that is due now.
    pub(super) fn due_now() -> IntervalTimer {
        IntervalTimer { last_at: None }
    }

    /// Whether the interval is over.
    pub(super) fn is_due(&self, interval: Seconds, now: Seconds) -> bool {
        self.last_at.is_none_or(|at| now - at >= interval)
    }

    /// Begins the next interval if this one is over; whether it was.
    pub(super) fn restart_if_due(&mut self, interval: Seconds, now: Seconds) -> bool {
        let due = self.is_due(interval, now);
        if due {
            self.restart(now);
        }
        due
    }

    /// Begins the next interval.
    pub(super) fn restart(&mut self, now: Seconds) {
        self.last_at = Some(now);
    }

    /// How long the interval lasts yet, in seconds; 0 if it is over.
    pub(super) fn remaining(&self, interval: Seconds, now: Seconds) -> Seconds {
        self.last_at
            .map_or(0.0, |at| (at + interval - now).max(0.0))
    }
}
