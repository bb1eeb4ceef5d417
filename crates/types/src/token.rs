//! Tokens and attempts: an epoch and a counter within it, in one integer.
//!
//! A worker obeys no token below the highest that it has seen. An attempt is the
//! number of one start of a task; it carries the epoch of the leader that chose
//! it, so that no two leaders use the same.

/// Bits of a token, or of an attempt, that count within an epoch.
const COUNTER_BITS: u32 = 24;

/// The highest counter: whoever has reached it can't be told a higher token in
/// its epoch, so that nothing could be proven of it any more.
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

/// The attempt that is the `number`-th of an epoch's leader.
pub fn attempt(epoch: u64, number: u64) -> u64 {
    (epoch << COUNTER_BITS) | number
}

/// The epoch whose leader chose an attempt.
pub fn attempt_epoch(attempt: u64) -> u64 {
    attempt >> COUNTER_BITS
}
