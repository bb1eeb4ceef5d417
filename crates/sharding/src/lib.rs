//! Hash ranges of machines, and how they move between live controllers without a pause.
//!
//! The ordinary path is a hash of machine and controller: it names each machine's hash owner.
//! A hash range is an exception to that: a range of one hash owner's machines, by their positions,
//! that another controller owns ([`shard_map`]). One value in the key-value store holds all of
//! them, and one compare-and-set changes it.
//!
//! The leader moves a hash range in steps ([`transfer`]): the target accepts, the source stops
//! giving orders and tells what it knows ([`transfer_state`]), the shard map changes, the target
//! goes on from what the source knew. What moves, and why, is decided in [`planner`], from
//! the loads of the controllers and what operators ask for ([`plan`]).
//!
//! Everything here is pure: time comes in as an argument, orders go out as values.

#![warn(missing_docs, unreachable_pub)]
#![warn(clippy::expect_used, clippy::panic, clippy::unwrap_used)]

pub mod hash_position;
pub mod plan;
pub mod planner;
pub mod shard_map;
pub mod transfer;
pub mod transfer_messages;
pub mod transfer_state;
