//! The start of an epoch: what of the leader's table is still known.

use super::job_entry::JobEntry;
use super::Leader;
use crate::clock::Seconds;
use crate::store::{cache::StoreCache, records::Epoch};
use crate::wire::JobId;
use std::collections::{BTreeMap, BTreeSet};

/// The epoch that the leader leads, and what has been reported in it.
#[derive(Debug)]
pub(super) struct LeaderEpoch {
    pub(super) number: u64,
    /// The incarnation of the leader's own process.
    pub(super) incarnation: u64,
    /// The controllers of the epoch with their incarnations.
    pub(super) members: BTreeMap<String, u64>,
    /// Shards that have reported what they hold since the last task became
    /// unreconciled.
    pub(super) reported_shards: BTreeSet<String>,
    /// Every task and every machine is reconciled.
    pub(super) reconciled: bool,
    /// Something was reported that may prove where tasks are.
    pub(super) has_new_evidence: bool,
    /// When the first report of this epoch came.
    pub(super) first_report_at: Option<Seconds>,
    /// When the latest report of any epoch came.
    pub(super) last_report_at: Seconds,
    /// Attempt numbers used in this epoch.
    pub(super) attempts_used: u64,
}

impl Default for LeaderEpoch {
    fn default() -> LeaderEpoch {
        LeaderEpoch {
            number: 0,
            incarnation: 0,
            members: BTreeMap::new(),
            reported_shards: BTreeSet::new(),
            reconciled: false,
            has_new_evidence: true,
            first_report_at: None,
            last_report_at: 0.0,
            attempts_used: 0,
        }
    }
}

impl Leader {
    /// Starts an epoch as its leader. The table is kept if this incarnation led the
    /// epoch just before; what was assigned is unreconciled until it is reported.
    /// Returns whether the table is kept.
    pub fn start_epoch(&mut self, epoch: &Epoch, incarnation: u64, cache: &StoreCache) -> bool {
        let kept = self.epoch.incarnation == incarnation && self.epoch.number + 1 == epoch.number;
        if !kept {
            self.jobs.clear();
            self.draining.clear();
            self.consolidating.clear();
            self.failed_jobs_by_machine.clear();
            self.faulty.clear();
        }
        let steady = self.steady_members(epoch, kept, cache);
        self.epoch = LeaderEpoch {
            number: epoch.number,
            incarnation,
            members: epoch.members.clone(),
            has_new_evidence: self.epoch.has_new_evidence,
            last_report_at: self.epoch.last_report_at,
            ..LeaderEpoch::default()
        };
        self.shards.clear();
        for entry in self.jobs.values_mut() {
            entry.unreconcile(&steady);
        }
        let ids: Vec<JobId> = cache.jobs.keys().cloned().collect();
        for id in ids {
            self.job_changed(&id, cache);
        }
        kept
    }

    /// Members that live on and hand no machine over, as nobody is new: what was
    /// assigned to their shards is theirs still, or nowhere. Without this, the
    /// return of one controller left all that a partitioned zone had lost
    /// unreconciled until the last machine of the zone had reported.
    fn steady_members(&self, epoch: &Epoch, kept: bool, cache: &StoreCache) -> BTreeSet<String> {
        // Where the shard map has entries, a member that lives on may have handed
        // machines over.
        let hashed_only = cache.shard_map.is_empty();
        let members = &self.epoch.members;
        let nobody_new =
            kept && hashed_only && epoch.members.keys().all(|name| members.contains_key(name));
        let steady = |name: &&String| nobody_new && members.get(*name) == epoch.members.get(*name);
        epoch.members.keys().filter(steady).cloned().collect()
    }

    /// Whether half of the epoch's attempt numbers are used up: the next epoch has all
    /// of them anew. At a thousand starts a second that takes more than two hours.
    pub fn needs_new_epoch(&self) -> bool {
        self.epoch.attempts_used > self.attempt_limit / 2
    }
}

impl JobEntry {
    /// Makes every assigned task unreconciled. Those of `steady` members can be with
    /// these only.
    fn unreconcile(&mut self, steady: &BTreeSet<String>) {
        let assigned = std::mem::take(&mut self.assigned);
        self.unacknowledged.clear();
        self.sole_holders
            .retain(|_, shard| steady.contains(&**shard));
        if let Some(attempt) = self.attempt.as_mut() {
            attempt.mark_unreconciled();
        }
        for (index, assignment) in assigned {
            self.unreconciled.add(index);
            if steady.contains(&*assignment.shard) {
                self.sole_holders.insert(index, assignment.shard);
            }
        }
        self.commit_in_flight = false;
    }
}
