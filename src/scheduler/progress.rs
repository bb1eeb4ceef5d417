//! How far the leader has reconciled its table, for operators and the log.

use super::Leader;
use crate::store::cache::StoreCache;
use crate::wire::MachineId;
use finchwood_reconciliation::unreconciled::ReconciliationPhase;
use serde::Serialize;
use std::collections::BTreeMap;

/// How far a leader that started without knowledge has found out where tasks are.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct ReconciliationProgress {
    /// Every member has reported what it holds.
    #[serde(rename = "all_joined")]
    pub all_shards_reported: bool,
    /// Every task and every machine is reconciled.
    #[serde(rename = "resolved")]
    pub reconciled: bool,
    /// Unfinished jobs, by what is known of their tasks.
    pub jobs: BTreeMap<ReconciliationPhase, u32>,
    /// Tasks that nobody has proven to be anywhere, or nowhere.
    #[serde(rename = "tasks_in_doubt")]
    pub unreconciled_tasks: u32,
    /// Machines whose content is not known.
    #[serde(rename = "machines_in_doubt")]
    pub unreconciled_machines: u32,
}

/// The size of the leader's table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TableCounts {
    /// Unfinished jobs.
    pub jobs: usize,
    /// Tasks that a shard answers for.
    pub assigned_tasks: usize,
    /// Tasks that nobody has proven to be anywhere, or nowhere.
    pub unreconciled_tasks: u32,
}

impl Leader {
    /// How far the table is reconciled; `gone` says which machines are known to be
    /// deleted.
    pub fn reconciliation_progress(
        &self,
        cache: &StoreCache,
        gone: &dyn Fn(&MachineId) -> bool,
    ) -> ReconciliationProgress {
        let mut progress = ReconciliationProgress {
            all_shards_reported: self.all_shards_reported(),
            reconciled: self.epoch.reconciled,
            unreconciled_machines: self.unreconciled_machines(cache, gone).count(),
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

    /// The size of the table.
    pub fn counts(&self) -> TableCounts {
        let entries = self.jobs.values();
        TableCounts {
            jobs: self.jobs.len(),
            assigned_tasks: entries.clone().map(|entry| entry.assigned.len()).sum(),
            unreconciled_tasks: entries.map(|entry| entry.unreconciled.len()).sum(),
        }
    }
}
