//! How far the leader has established the location of all tasks, for operators and the log.

use super::Leader;
use crate::store::cache::StoreCache;
use crate::wire::MachineId;
use finchwood_reconciliation::unreconciled::ReconciliationPhase;
use serde::Serialize;
use std::collections::BTreeMap;

/// How far a new leader has established where tasks run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct ReconciliationProgress {
    /// Whether every member of the epoch has reported the tasks assigned to its shard.
    #[serde(rename = "all_joined")]
    pub all_shards_reported: bool,
    /// Whether every task and every machine is reconciled.
    #[serde(rename = "resolved")]
    pub reconciled: bool,
    /// The number of unfinished jobs in each phase of reconciliation.
    pub jobs: BTreeMap<ReconciliationPhase, u32>,
    /// The number of tasks whose location is unknown.
    #[serde(rename = "tasks_in_doubt")]
    pub unreconciled_tasks: u32,
    /// The number of machines of which it is unknown what they run.
    #[serde(rename = "machines_in_doubt")]
    pub unreconciled_machines: u32,
}

/// The number of jobs and tasks in the leader's scheduling state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SchedulingCounts {
    /// Unfinished jobs.
    pub jobs: usize,
    /// Tasks that are assigned to a shard.
    pub assigned_tasks: usize,
    /// Tasks whose location is unknown.
    pub unreconciled_tasks: u32,
}

impl Leader {
    /// Returns how far tasks and machines are reconciled; `is_terminated` returns true for
    /// machines that are confirmed to no longer exist.
    pub fn reconciliation_progress(
        &self,
        cache: &StoreCache,
        is_terminated: &dyn Fn(&MachineId) -> bool,
    ) -> ReconciliationProgress {
        let mut progress = ReconciliationProgress {
            all_shards_reported: self.all_shards_reported(),
            reconciled: self.epoch.reconciled,
            unreconciled_machines: self.unreconciled_machines(cache, is_terminated).count(),
            ..ReconciliationProgress::default()
        };
        for entry in self.jobs.values() {
            let unreconciled = entry.unreconciled.len();
            progress.unreconciled_tasks += unreconciled;
            let phase = ReconciliationPhase::of(unreconciled, entry.assigned.len());
            *progress.jobs.entry(phase).or_default() += 1;
        }
        progress
    }

    /// Counts the jobs and tasks of the scheduling state.
    pub fn counts(&self) -> SchedulingCounts {
        let entries = self.jobs.values();
        SchedulingCounts {
            jobs: self.jobs.len(),
            assigned_tasks: entries.clone().map(|entry| entry.assigned.len()).sum(),
            unreconciled_tasks: entries.map(|entry| entry.unreconciled.len()).sum(),
        }
    }
}
