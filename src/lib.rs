//! finchwood: a cluster scheduler that runs as a few controllers, a rented
//! fleet of machines and one small state service.
//!
//! The library holds everything; `main.rs` only reads arguments. Decision
//! cores ([`best_fit`], [`fleet`], [`assignment`], [`membership`], [`jobs`]) are pure:
//! time comes in as an argument and effects go out as values. Around them,
//! actors own their state and talk through channels.

pub mod assignment;
pub mod cloud;
pub mod controller;
pub mod fleet;

pub mod best_fit;
pub mod capacity;
pub mod failure_detection;
pub mod http;
pub mod http_request;
pub mod in_flight;
pub mod jobs;
pub mod membership;
pub mod pages;
pub mod peer;
pub mod policy;
pub mod published;
pub mod reachability;
pub mod rent;
pub mod restart_report;
pub mod server;
pub mod settings;
pub mod shares_report;
pub mod state;
pub mod stored_check;
pub mod unreadable;
pub mod with;

pub use finchwood_model::{clock, finished, wire};
