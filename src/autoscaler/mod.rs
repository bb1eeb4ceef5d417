//! Scaling the fleet out and in: what to rent, drain, consolidate and return, the
//! bookkeeping of requests to the cloud, and the client that sends them.
//!
//! Planning is pure: demand and machines in, actions out.

pub mod cloud;
mod consolidation;
mod demand;
mod machines;
mod policy;
mod scale_in;
mod scale_out;

pub use consolidation::select_for_consolidation;
pub use demand::PendingDemand;
pub use machines::{BootingMachine, MachineOffer, MachineUsage};
pub use policy::{BootProgress, ScalingPolicy, MINIMUM_CHARGE_S};
pub use scale_in::{plan_draining, plan_scale_in};
pub use scale_out::{plan_scale_out, rental_backlog_is_full};
