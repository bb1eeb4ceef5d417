//! The controllers as a cluster: who is a member and who leads, which machines and
//! controllers reach each other, and the messages between controllers.

pub mod failure_detection;
pub mod member_lease;
pub mod membership;
pub mod peer;
pub mod reachability;
