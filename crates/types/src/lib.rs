//! Types that finchwood's crates share: messages, clocks, fencing tokens, and sets of finished
//! tasks. They contain no scheduling policy.

#![warn(missing_docs, unreachable_pub)]
#![warn(clippy::expect_used, clippy::panic, clippy::unwrap_used)]

pub mod clock;
pub mod cloud;
pub mod finished;
pub mod job;
pub mod message_size;
pub mod resources;
pub mod task;
pub mod token;
pub mod wire;
pub mod worker;
