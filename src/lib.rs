//! finchwood: a cluster scheduler that consists of a few controllers, machines rented from
//! a cloud, and one small key-value store.
//!
//! This library contains the whole program, except for the parsing of arguments in `main.rs`.
//! The modules that make decisions ([`scheduler`], [`shard`], most of [`cluster`] and
//! [`autoscaler`]) do no I/O: they take the time as an argument and return their effects as
//! values.
//! [`controller`] runs the event loop that owns the state; the threads of [`api`],
//! [`store`], [`cluster`] and [`autoscaler`] exchange events with it through channels.
//! `docs/architecture.md` describes the path of each request.

#![warn(missing_docs, unreachable_pub)]
#![warn(clippy::expect_used, clippy::panic, clippy::unwrap_used)]

pub mod api;
pub mod autoscaler;
pub mod cluster;
pub mod config;
pub mod controller;
pub mod event_sample;
pub mod scheduler;
pub mod shard;
pub mod store;
pub mod threads;

pub use finchwood_types::{clock, finished, wire};
