//! Scales the fleet: plans which machines to rent, drain, consolidate and return, tracks
//! requests to the cloud and contains the client that sends them.
//!
//! The planning functions are pure: they compute actions from the demand and the machines.

mod capacity_backoff;
pub mod cloud;
mod consolidation;
mod deletions;
mod demand;
mod machine_list;
mod machines;
mod policy;
mod rentals;
mod scale_in;
mod scale_out;
mod state;

pub use capacity_backoff::CapacityBackoff;
pub use consolidation::select_for_consolidation;
pub use deletions::Deletions;
pub use demand::PendingDemand;
pub use machine_list::MachineListTracker;
pub use machines::{BootingMachine, MachineOffer, MachineUsage};
pub use policy::{BootProgress, ScalingPolicy, MINIMUM_CHARGE_S};
pub use rentals::Rentals;
pub use scale_in::{plan_draining, plan_scale_in};
pub use scale_out::{plan_scale_out, rental_backlog_is_full};
pub use state::Autoscaler;
