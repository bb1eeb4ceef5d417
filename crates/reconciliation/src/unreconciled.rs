//! Which machines are unreconciled, and which jobs wait for that.
//!
//! A machine that stays unheard holds up only the jobs that may be on it: those
//! allowed on its type, in its zone and on its kind. So waiting is decided per job and
//! per class of machines, and never for the fleet as a whole.

use finchwood_types::wire::JobSpec;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Machines that are the same to every job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MachineClass {
    /// The machine type.
    #[serde(rename = "kind")]
    pub machine_type: Arc<str>,
    /// The zone.
    pub zone: Arc<str>,
    /// Whether the cloud may take it back at any time.
    pub spot: bool,
}

/// The unreconciled machines, by class.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UnreconciledMachines {
    by_class: BTreeMap<MachineClass, u32>,
}

impl UnreconciledMachines {
    /// Whether no machine is unreconciled.
    pub fn is_empty(&self) -> bool {
        self.by_class.is_empty()
    }

    /// How many machines are unreconciled.
    pub fn count(&self) -> u32 {
        self.by_class.values().sum()
    }

    /// Whether a task of a job may be on an unreconciled machine.
    pub fn may_hold(&self, spec: &JobSpec) -> bool {
        self.by_class
            .keys()
            .any(|class| spec.allowed_on(&class.machine_type, &class.zone, class.spot))
    }
}

impl FromIterator<MachineClass> for UnreconciledMachines {
    fn from_iter<I: IntoIterator<Item = MachineClass>>(classes: I) -> UnreconciledMachines {
        let mut by_class = BTreeMap::new();
        for class in classes {
            *by_class.entry(class).or_default() += 1;
        }
        UnreconciledMachines { by_class }
    }
}

/// How much is known of where a job's tasks are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReconciliationPhase {
    /// Nothing: it may run anywhere, or nowhere.
    #[serde(rename = "awaiting")]
    Pending,
    /// Some tasks were found, others are unreconciled.
    #[serde(rename = "partly")]
    Partial,
    /// Every task is held by somebody, finished, or proven to be nowhere.
    #[serde(rename = "certain")]
    Complete,
}

impl ReconciliationPhase {
    /// The phase of a job with `in_doubt` unreconciled tasks and `found` held by somebody.
    pub fn of(in_doubt: u32, found: usize) -> ReconciliationPhase {
        match (in_doubt, found) {
            (0, _) => ReconciliationPhase::Complete,
            (_, 0) => ReconciliationPhase::Pending,
            _ => ReconciliationPhase::Partial,
        }
    }
}
