//! Shares of the machines, and how they move between live controllers without a pause.
//!
//! The ordinary path is a hash of machine and controller: it names each machine's home.
//! A share is an exception to that: a range of one home's machines, by their positions,
//! that another controller owns ([`table`]). One value in the state service holds all of
//! them, and one compare-and-set changes it.
//!
//! The leader moves a share in steps ([`handover`]): the taker accepts, the giver stops
//! giving orders and tells what it knows ([`knowledge`]), the table changes, the taker
//! goes on from what the giver knew. What moves, and why, is decided in [`planner`], from
//! the loads of the controllers and what operators ask for ([`plan`]).
//!
//! Everything here is pure: time comes in as an argument, orders go out as values.

pub mod handover;
pub mod knowledge;
pub mod plan;
pub mod planner;
pub mod position;
pub mod table;
