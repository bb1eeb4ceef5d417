//! finchwood: a cluster scheduler that runs as a few controllers, a rented
//! fleet of machines and one small key-value store.
//!
//! The library holds everything; `main.rs` only reads arguments. The modules that decide
//! ([`scheduler`], [`shard`], most of [`cluster`] and [`autoscaler`]) do no input or
//! output: time comes in as an argument and effects go out as values. Around them,
//! [`controller`] runs the event loop that owns the state, and the threads of [`api`],
//! [`store`], [`cluster`] and [`autoscaler`] exchange events with it through channels.
//! `docs/architecture.md` tells which way each request takes.

#![warn(missing_docs, unreachable_pub)]
#![warn(clippy::expect_used, clippy::panic, clippy::unwrap_used)]

pub mod api;
pub mod autoscaler;
pub mod cluster;
pub mod config;
pub mod controller;
pub mod scheduler;
pub mod shard;
pub mod store;
pub mod threads;

pub use finchwood_types::{clock, finished, wire};
