//! Fencing tokens and attempts: an epoch and a counter within it, in one integer.
//!
//! A worker rejects every token below the highest that it has seen. An attempt is the
//! number of one start of a task; it contains the epoch of the leader that chose it, so
//! that no two leaders choose the same.

/// The bits of a token, or of an attempt, that hold the counter.
const COUNTER_BITS: u32 = 24;

/// The highest counter. There is no higher token in the same epoch, so that a worker
/// which has seen it can no longer be fenced.
pub const MAX_COUNTER: u64 = (1 << COUNTER_BITS) - 1;

/// The token of `counter` in `epoch`.
pub fn token(epoch: u64, counter: u64) -> u64 {
    (epoch << COUNTER_BITS) | counter.min(MAX_COUNTER)
}

/// The counter of a token.
pub fn token_counter(token: u64) -> u64 {
    token & MAX_COUNTER
}

/// The epoch that a token belongs to.
pub fn token_epoch(token: u64) -> u64 {
    token >> COUNTER_BITS
}

/// The `number`-th attempt of the leader of `epoch`.
pub fn attempt(epoch: u64, number: u64) -> u64 {
    (epoch << COUNTER_BITS) | number
}

/// The epoch whose leader chose an attempt.
pub fn attempt_epoch(attempt: u64) -> u64 {
    attempt >> COUNTER_BITS
}
