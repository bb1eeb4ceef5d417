//! Scaling the fleet out and in: what to rent and what to return, and the client of the
//! cloud that carries it out.

pub mod cloud;
pub mod scaling;
