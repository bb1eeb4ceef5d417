//! Which machines are unreconciled, and which jobs have to wait for them.
//!
//! An unreconciled machine delays only the jobs that may run on it: those that allow its type
//! and zone, and spot machines if it is one. Whether to wait is therefore decided for each job
//! and class of machines, never for the whole fleet.

use finchwood_types::wire::JobSpec;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The properties of a machine that decide which jobs it may run.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MachineClass {
    /// The name of the machine type.
    #[serde(rename = "kind")]
    pub machine_type: Arc<str>,
    /// The zone.
    pub zone: Arc<str>,
    /// Whether it is a spot machine, which the cloud may reclaim at any time.
    pub spot: bool,
}

/// The number of unreconciled machines in each class.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UnreconciledMachines {
    by_class: BTreeMap<MachineClass, u32>,
}

impl UnreconciledMachines {
    /// Whether all machines are reconciled.
    pub fn is_empty(&self) -> bool {
        self.by_class.is_empty()
    }

    /// Returns the number of unreconciled machines.
    pub fn count(&self) -> u32 {
        self.by_class.values().sum()
    }

    /// Whether a job may run on any unreconciled machine, so that some of its tasks may be there.
    pub fn may_run_job(&self, spec: &JobSpec) -> bool {
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

/// How far the tasks of a job are reconciled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReconciliationPhase {
    /// None of its unfinished tasks was found yet.
    #[serde(rename = "awaiting")]
    Pending,
    /// Some tasks were found, others are unreconciled.
    #[serde(rename = "partly")]
    Partial,
    /// Every task is assigned, finished, or confirmed to run on no machine.
    #[serde(rename = "certain")]
    Complete,
}

impl ReconciliationPhase {
    /// Returns the phase of a job of which `unreconciled` tasks are unreconciled and `found` are
    /// assigned.
    pub fn of(unreconciled: u32, found: usize) -> ReconciliationPhase {
        match (unreconciled, found) {
            (0, _) => ReconciliationPhase::Complete,
            (_, 0) => ReconciliationPhase::Pending,
            _ => ReconciliationPhase::Partial,
        }
    }
}
