//! finchwood: a cluster scheduler that runs as a few controllers, a rented
//! fleet of machines and one small state service.
//!
//! The library holds everything; `main.rs` only reads arguments. Decision
//! cores ([`place`], [`fleet`], [`deal`], [`membership`], [`jobs`]) are pure:
//! time comes in as an argument and effects go out as values. Around them,
//! actors own their state and talk through channels.

pub mod clock;
pub mod cloud;
pub mod controller;
pub mod deal;
pub mod finished;
pub mod fleet;
mod held;
pub mod http;
pub mod jobs;
pub mod membership;
pub mod pages;
pub mod peer;
pub mod place;
pub mod policy;
pub mod rent;
pub mod rooms;
pub mod server;
pub mod settings;
pub mod silence;
pub mod state;
pub mod ways;
pub mod wire;
