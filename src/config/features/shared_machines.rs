//! The configuration of the feature `shared-machines`.

use super::{FeatureConfig, InvalidField};
use serde::Deserialize;

/// The configuration of the feature `shared-machines`. The fields have the same names
/// as in the feature file.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SharedMachinesConfig {
    /// The largest number of machines that one transfer moves to another controller.
    #[serde(default = "default_machines_per_move")]
    pub machines_per_move: usize,
    /// The largest number of transfers per minute.
    #[serde(default = "default_moves_per_minute")]
    pub moves_per_minute: f64,
    /// The fraction by which the number of machines that a controller owns must exceed the
    /// mean of all controllers before machines are transferred away from it.
    #[serde(default = "default_imbalance")]
    pub imbalance: f64,
    /// The number of worker lease durations for which transferred machines are not
    /// transferred again, unless operators request it.
    #[serde(default = "default_rest_leases")]
    pub rest_leases: f64,
}

fn default_machines_per_move() -> usize {
    20
}

fn default_moves_per_minute() -> f64 {
    12.0
}

fn default_imbalance() -> f64 {
    0.5
}

fn default_rest_leases() -> f64 {
    3.0
}

impl FeatureConfig for SharedMachinesConfig {
    const NAME: &'static str = "shared-machines";

    fn check(&self) -> Result<(), InvalidField> {
        let amounts = [
            ("machines_per_move", self.machines_per_move as f64),
            ("moves_per_minute", self.moves_per_minute),
            ("imbalance", self.imbalance),
            ("rest_leases", self.rest_leases),
        ];
        for (field, value) in amounts {
            if !value.is_finite() || value <= 0.0 {
                let reason = format!("{value} is not above zero");
                return Err(InvalidField { field, reason });
            }
        }
        Ok(())
    }
}
