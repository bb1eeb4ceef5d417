//! finchwood: a cluster scheduler that runs as a few controllers, a rented
//! fleet of machines and one small key-value store.
//!
//! The library holds everything; `main.rs` only reads arguments. Decision
//! cores ([`best_fit`], [`fleet`], [`assignment`], [`membership`], [`jobs`]) are pure:
//! time comes in as an argument and effects go out as values. Around them,
//! actors own their state and talk through channels.

pub mod api;
pub mod autoscaler;
pub mod cluster;
pub mod config;
pub mod controller;
pub mod scheduler;
pub mod shard;
pub mod store;

pub use finchwood_types::{clock, finished, wire};
