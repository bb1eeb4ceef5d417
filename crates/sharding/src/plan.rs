//! Plans of transfers, which operators submit: controllers to drain, and machines to move.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use thiserror::Error;

/// A plan of transfers. A new plan replaces the previous one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The names of the controllers to drain: all their machines go to others.
    #[serde(default)]
    pub drain: Vec<String>,
    /// Moves of some machines, each carried out once.
    #[serde(default)]
    pub moves: Vec<PlannedMove>,
}

/// A number of machines to move from one controller to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedMove {
    /// The controller that owns them.
    #[serde(rename = "from")]
    pub source: String,
    /// The controller that takes them over.
    #[serde(rename = "to")]
    pub target: String,
    /// The number of machines that are still to be moved.
    pub machines: usize,
}

/// Why a plan is refused as a whole.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PlanError {
    /// A name is not that of a live controller.
    #[error("plan: no such controller: {0}")]
    UnknownController(String),
    /// A move has the same source and target.
    #[error("plan: from {0} to itself")]
    SourceIsTarget(String),
    /// A move has no machines.
    #[error("plan: no machines from {0} to {1}")]
    NoMachines(String, String),
    /// A controller to drain, or a pair of source and target, is named twice.
    #[error("plan: {0} is named twice")]
    Duplicate(String),
    /// The target of a move is to be drained.
    #[error("plan: moves machines to {0}, which is to be emptied")]
    TargetDrained(String),
    /// All controllers are to be drained.
    #[error("plan: nobody is left to take the machines")]
    NoControllerLeft,
}

impl Plan {
    /// Checks the plan against `members`, the names of the live controllers.
    ///
    /// # Errors
    ///
    /// Returns an error for the first part of the plan that can't be carried out.
    pub fn check(&self, members: &BTreeSet<String>) -> Result<(), PlanError> {
        let mut drained = BTreeSet::new();
        for name in &self.drain {
            check_member(name, members)?;
            if !drained.insert(name) {
                return Err(PlanError::Duplicate(name.clone()));
            }
        }
        if !drained.is_empty() && drained.len() >= members.len() {
            return Err(PlanError::NoControllerLeft);
        }
        let mut pairs = BTreeSet::new();
        for planned in &self.moves {
            let PlannedMove {
                source,
                target,
                machines,
            } = planned;
            check_member(source, members)?;
            check_member(target, members)?;
            if source == target {
                return Err(PlanError::SourceIsTarget(source.clone()));
            }
            if *machines == 0 {
                return Err(PlanError::NoMachines(source.clone(), target.clone()));
            }
            if drained.contains(target) {
                return Err(PlanError::TargetDrained(target.clone()));
            }
            if !pairs.insert((source, target)) {
                return Err(PlanError::Duplicate(format!("{source} to {target}")));
            }
        }
        Ok(())
    }
}

fn check_member(name: &str, members: &BTreeSet<String>) -> Result<(), PlanError> {
    if members.contains(name) {
        return Ok(());
    }
    Err(PlanError::UnknownController(name.into()))
}
