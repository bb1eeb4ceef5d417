//! A token bucket whose rate follows refusals.

use crate::clock::Seconds;

/// A bucket that refills at a steady rate and holds a second's worth.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    /// The rate that it began with, to which it returns.
    full_rate: f64,
    /// The rate below which refusals don't bring it.
    least_rate: f64,
    size: f64,
    level: f64,
    at: Seconds,
}

/// What a refusal leaves of a bucket's rate.
const RATE_AFTER_REFUSAL: f64 = 0.9;

/// How long a rate takes to rise from its least to its full again, in seconds.
const RATE_RETURNS_S: Seconds = 60.0;

impl TokenBucket {
    /// A full bucket.
    pub fn new(rate: f64, size: f64, now: Seconds) -> TokenBucket {
        TokenBucket {
            rate,
            full_rate: rate,
            least_rate: rate,
            size,
            level: size,
            at: now,
        }
    }
    /// The same, with a rate that refusals may bring down to `least_rate`.
    pub fn with_least(self, least_rate: f64) -> TokenBucket {
        TokenBucket {
            least_rate: least_rate.min(self.rate),
            ..self
        }
    }
    /// The present rate.
    pub fn rate(&self) -> f64 {
        self.rate
    }
    fn refill(&mut self, now: Seconds) {
        let risen = (self.full_rate - self.least_rate) / RATE_RETURNS_S * (now - self.at).max(0.0);
        self.rate = (self.rate + risen).min(self.full_rate);
        self.level = (self.level + (now - self.at).max(0.0) * self.rate).min(self.size);
        self.at = now;
    }
    /// Takes `n`, or says how long to wait.
    pub fn take(&mut self, n: f64, now: Seconds) -> Result<(), Seconds> {
        self.refill(now);
        let n = n.min(self.size);
        if self.level >= n {
            self.level -= n;
            Ok(())
        } else {
            Err((n - self.level) / self.rate)
        }
    }
    /// Takes `n` whatever is left, and says how long to wait before it is used.
    /// Whoever comes later waits longer: a large batch that waited for a full
    /// bucket never got one while small ones kept coming, and the machine registry stood
    /// still for as long as there were finished tasks to commit.
    pub fn reserve(&mut self, n: f64, now: Seconds) -> Seconds {
        self.refill(now);
        self.level -= n;
        (-self.level / self.rate).max(0.0)
    }
    /// The service said it was too much: start from nothing, and more slowly.
    pub fn refused(&mut self, now: Seconds) {
        self.refill(now);
        self.level = self.level.min(0.0);
        self.rate = (self.rate * RATE_AFTER_REFUSAL).max(self.least_rate);
    }
}
