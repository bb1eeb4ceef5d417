//! The controllers as a cluster: membership and leader election, detection of failed
//! machines, reachability between controllers, and the messages that they exchange.

pub mod failure_detection;
pub mod member_lease;
pub mod membership;
pub mod peer;
pub mod reachability;
