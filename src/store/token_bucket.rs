//! A token bucket that slows down after refusals.

use crate::clock::{Seconds, Timestamp};

/// A token bucket. A refusal by the rate-limited service lowers its rate, which then
/// recovers over a minute.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    /// Tokens a second, at present.
    rate: f64,
    /// The rate at the start, to which it recovers.
    full_rate: f64,
    /// The rate below which refusals do not lower it.
    lowest_rate: f64,
    /// The most tokens that it holds.
    capacity: f64,
    /// The tokens that it holds; negative if some are reserved in advance.
    level: f64,
    refilled_at: Timestamp,
}

/// The part of the rate that remains after a refusal.
const RATE_AFTER_REFUSAL: f64 = 0.9;

/// The time in which a rate recovers from its lowest to its full value, in seconds.
const RECOVERY_S: Seconds = 60.0;

impl TokenBucket {
    /// A full bucket with `rate` tokens a second, that holds at most `capacity`.
    pub fn new(rate: f64, capacity: f64, now: Timestamp) -> TokenBucket {
        TokenBucket {
            rate,
            full_rate: rate,
            lowest_rate: rate,
            capacity,
            level: capacity,
            refilled_at: now,
        }
    }

    /// The same bucket, whose rate refusals may lower to `lowest_rate`.
    pub fn with_lowest_rate(self, lowest_rate: f64) -> TokenBucket {
        TokenBucket {
            lowest_rate: lowest_rate.min(self.rate),
            ..self
        }
    }

    /// The present rate, in tokens a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = (now - self.refilled_at).max(0.0);
        let recovered = (self.full_rate - self.lowest_rate) / RECOVERY_S * elapsed;
        self.rate = (self.rate + recovered).min(self.full_rate);
        self.level = (self.level + elapsed * self.rate).min(self.capacity);
        self.refilled_at = now;
    }

    /// Takes `tokens`, or as many as the bucket can hold.
    ///
    /// # Errors
    /// There are too few: the seconds until there are enough.
    pub fn take(&mut self, tokens: f64, now: Timestamp) -> Result<(), Seconds> {
        self.refill(now);
        let tokens = tokens.min(self.capacity);
        if self.level >= tokens {
            self.level -= tokens;
            Ok(())
        } else {
            Err((tokens - self.level) / self.rate)
        }
    }

    /// Takes `tokens` in advance. Returns the seconds to wait before they may be used;
    /// later callers wait longer. With [`TokenBucket::take`], a large batch that waits
    /// for a full bucket starves while small ones keep coming.
    pub fn reserve(&mut self, tokens: f64, now: Timestamp) -> Seconds {
        self.refill(now);
        self.level -= tokens;
        (-self.level / self.rate).max(0.0)
    }

    /// Records that the service refused for rate: empties the bucket, lowers the rate.
    pub fn record_refusal(&mut self, now: Timestamp) {
        self.refill(now);
        self.level = self.level.min(0.0);
        self.rate = (self.rate * RATE_AFTER_REFUSAL).max(self.lowest_rate);
    }
}
