//! Fencing tokens and attempts: each is an epoch and a counter within it, packed into one
//! integer.
//!
//! A worker rejects commands whose token is lower than the highest that it has seen. An
//! attempt identifies one start of a task; it contains the epoch of the leader that chose it,
//! so that no two leaders choose the same.

/// The number of bits of a token, or of an attempt, that hold the counter.
const COUNTER_BITS: u32 = 24;

/// The highest counter. No token of the same epoch is higher, so a worker that has seen it can
/// no longer be fenced.
pub const MAX_COUNTER: u64 = (1 << COUNTER_BITS) - 1;

/// Returns the token of `counter` in `epoch`.
pub fn token(epoch: u64, counter: u64) -> u64 {
    (epoch << COUNTER_BITS) | counter.min(MAX_COUNTER)
}

/// Returns the counter of a token.
pub fn token_counter(token: u64) -> u64 {
    token & MAX_COUNTER
}

/// Returns the epoch of a token.
pub fn token_epoch(token: u64) -> u64 {
    token >> COUNTER_BITS
}

/// Returns the attempt with this number of the leader of `epoch`.
pub fn attempt(epoch: u64, number: u64) -> u64 {
    (epoch << COUNTER_BITS) | number
}

/// Returns the epoch whose leader chose an attempt.
pub fn attempt_epoch(attempt: u64) -> u64 {
    attempt >> COUNTER_BITS
}
