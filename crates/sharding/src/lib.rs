//! Assigns hash ranges of machines to controllers, and transfers ranges between live
//! controllers without interrupting the tasks on them.
//!
//! By default, a hash of machine and controller names the owner of each machine: its hash
//! owner. A hash range is an exception to that: a range of one hash owner's machines, by their
//! hash positions, that another controller owns ([`shard_map`]). The key-value store holds the
//! whole shard map as one value, which is changed by compare-and-set.
//!
//! The leader transfers a hash range in steps ([`transfer`]): the target accepts, the source
//! fences the range and reports the state of its machines ([`transfer_state`]), the shard map
//! changes, and the target continues from that state. The [`planner`] decides which ranges
//! move and why, by the load of the controllers and by what operators request ([`plan`]).
//!
//! The crate does no I/O and reads no clock: time is an argument, orders are return values.

#![warn(missing_docs, unreachable_pub)]
#![warn(clippy::expect_used, clippy::panic, clippy::unwrap_used)]

pub mod hash_position;
pub mod plan;
pub mod planner;
pub mod shard_map;
pub mod transfer;
pub mod transfer_messages;
pub mod transfer_state;
