//! What operators ask for: controllers to be emptied, and machines to be moved.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use thiserror::Error;

/// A plan. It replaces the one before.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Controllers whose machines all go to others.
    #[serde(default)]
    pub drain: Vec<String>,
    /// Moves of some machines, once each.
    #[serde(default)]
    pub moves: Vec<PlannedMove>,
}

/// Some machines of one controller that are to go to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedMove {
    /// Their owner.
    #[serde(rename = "from")]
    pub source: String,
    /// Their owner to be.
    #[serde(rename = "to")]
    pub target: String,
    /// How many.
    pub machines: usize,
}

/// Why a plan is refused, whole.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PlanError {
    /// It names a controller that is not there.
    #[error("plan: no such controller: {0}")]
    UnknownController(String),
    /// It moves machines to their owner.
    #[error("plan: from {0} to itself")]
    SourceIsTarget(String),
    /// It moves no machines.
    #[error("plan: no machines from {0} to {1}")]
    NoMachines(String, String),
    /// It names the same pair, or controller to be emptied, twice.
    #[error("plan: {0} is named twice")]
    Duplicate(String),
    /// It moves machines to a controller that it empties.
    #[error("plan: moves machines to {0}, which is to be emptied")]
    TargetDrained(String),
    /// It empties every controller.
    #[error("plan: nobody is left to take the machines")]
    NoControllerLeft,
}

impl Plan {
    /// Whether the plan makes sense among `members`.
    pub fn check(&self, members: &BTreeSet<String>) -> Result<(), PlanError> {
        let mut drained = BTreeSet::new();
        for name in &self.drain {
            known(name, members)?;
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
            known(source, members)?;
            known(target, members)?;
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

fn known(name: &str, members: &BTreeSet<String>) -> Result<(), PlanError> {
    if members.contains(name) {
        return Ok(());
    }
    Err(PlanError::UnknownController(name.into()))
}
