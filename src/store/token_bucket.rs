//! A token bucket whose rate adapts to refusals by the rate-limited service.

use crate::clock::{Seconds, Timestamp};

/// A token bucket. A refusal by the rate-limited service lowers the bucket's rate, which then
/// recovers. It takes a minute to recover from its lowest to its full value.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    /// The current rate, in tokens per second.
    rate: f64,
    /// The initial rate, up to which the current rate recovers.
    full_rate: f64,
    /// The rate down to which refusals lower the current rate.
    lowest_rate: f64,
    /// The largest number of tokens in the bucket.
    capacity: f64,
    /// The number of tokens in the bucket; negative while tokens are reserved in advance.
    level: f64,
    refilled_at: Timestamp,
}

/// The factor by which a refusal multiplies the rate.
const RATE_AFTER_REFUSAL: f64 = 0.9;

/// The time that the rate takes to recover from its lowest to its full value, in seconds.
const RECOVERY_S: Seconds = 60.0;

impl TokenBucket {
    /// Creates a full bucket of `capacity` tokens that is refilled with `rate` tokens per
    /// second.
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

    /// Returns the same bucket with a rate that refusals lower to no less than `lowest_rate`.
    /// Without this, refusals do not lower the rate.
    pub fn with_lowest_rate(self, lowest_rate: f64) -> TokenBucket {
        TokenBucket {
            lowest_rate: lowest_rate.min(self.rate),
            ..self
        }
    }

    /// Returns the current rate, in tokens per second.
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

    /// Takes `tokens` tokens, or a full bucket if they exceed its capacity.
    ///
    /// # Errors
    /// Returns the number of seconds until there are enough tokens if there are too few.
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

    /// Reserves `tokens` tokens in advance. Returns the number of seconds to wait before they
    /// may be used; later callers wait longer. With [`TokenBucket::take`], a large batch that
    /// needs a full bucket would starve while small batches keep arriving.
    pub fn reserve(&mut self, tokens: f64, now: Timestamp) -> Seconds {
        self.refill(now);
        self.level -= tokens;
        (-self.level / self.rate).max(0.0)
    }

    /// Records that the service refused a request because of its rate limit: empties the
    /// bucket and lowers the rate.
    pub fn record_refusal(&mut self, now: Timestamp) {
        self.refill(now);
        self.level = self.level.min(0.0);
        self.rate = (self.rate * RATE_AFTER_REFUSAL).max(self.lowest_rate);
    }
}
