//! The start of an epoch, and which parts of the leader's state remain valid in it.

use super::job_entry::JobEntry;
use super::Leader;
use crate::clock::Seconds;
use crate::store::{cache::StoreCache, records::Epoch};
use crate::wire::JobId;
use std::collections::{BTreeMap, BTreeSet};

/// The epoch that the leader leads, and the reports received in it.
#[derive(Debug)]
pub(super) struct LeaderEpoch {
    pub(super) number: u64,
    /// The incarnation of the leader's own process.
    pub(super) incarnation: u64,
    /// The controllers that are members of the epoch, with their incarnations.
    pub(super) members: BTreeMap<String, u64>,
    /// Shards that have reported in this epoch.
    pub(super) reported_shards: BTreeSet<String>,
    /// Whether every task and every machine is reconciled.
    pub(super) reconciled: bool,
    /// Whether a report has arrived since the last reconciliation. Without one, another
    /// reconciliation is not attempted.
    pub(super) has_new_evidence: bool,
    /// When the first report of this epoch arrived.
    pub(super) first_report_at: Option<Seconds>,
    /// When the latest report of any epoch arrived.
    pub(super) last_report_at: Seconds,
    /// The number of attempts made in this epoch.
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
    /// Starts an epoch as its leader. The state is kept if this incarnation also led the
    /// previous epoch; assigned tasks become unreconciled until they are reported again.
    /// Returns whether the state was kept.
    pub fn start_epoch(&mut self, epoch: &Epoch, incarnation: u64, cache: &StoreCache) -> bool {
        let kept = self.epoch.incarnation == incarnation && self.epoch.number + 1 == epoch.number;
        if !kept {
            self.jobs.clear();
            self.draining.clear();
            self.consolidating.clear();
            self.failed_jobs_by_machine.clear();
            self.faulty.clear();
        }
        let unchanged = self.unchanged_members(epoch, kept, cache);
        let started = LeaderEpoch {
            number: epoch.number,
            incarnation,
            members: epoch.members.clone(),
            has_new_evidence: self.epoch.has_new_evidence,
            last_report_at: self.epoch.last_report_at,
            ..LeaderEpoch::default()
        };
        let previous = std::mem::replace(&mut self.epoch, started);
        self.shards.clear();
        self.unread_jobs.clear();
        for entry in self.jobs.values_mut() {
            entry.unreconcile(&unchanged, &previous);
        }
        let ids: Vec<JobId> = cache.jobs.keys().cloned().collect();
        for id in ids {
            self.job_changed(&id, cache);
        }
        kept
    }

    /// The members whose incarnation has not changed, if the epoch has no new member, so
    /// that none of them has transferred a machine. A task that was assigned to one of their
    /// shards still is, or runs on no machine. Without this rule, when one controller
    /// returned, all tasks that a partitioned zone had lost stayed unreconciled until the
    /// last machine of the zone had reported.
    fn unchanged_members(&self, epoch: &Epoch, kept: bool, cache: &StoreCache) -> BTreeSet<String> {
        // If the shard map has entries, an unchanged member may have transferred machines.
        let owners_by_hash_only = cache.shard_map.is_empty();
        let members = &self.epoch.members;
        let no_new_members = kept
            && owners_by_hash_only
            && epoch.members.keys().all(|name| members.contains_key(name));
        let is_unchanged =
            |name: &&String| no_new_members && members.get(*name) == epoch.members.get(*name);
        epoch.members.keys().filter(is_unchanged).cloned().collect()
    }

    /// Whether half of the epoch's attempt numbers are used up, which takes more than two
    /// hours at a thousand starts a second. A new epoch starts with all of them unused.
    pub fn needs_new_epoch(&self) -> bool {
        self.epoch.attempts_used > self.attempt_limit / 2
    }
}

impl JobEntry {
    /// Makes every assigned task unreconciled, as the epoch `previous` has ended. A task that was
    /// assigned to the shard of an unchanged member can only run in that shard.
    fn unreconcile(&mut self, unchanged: &BTreeSet<String>, previous: &LeaderEpoch) {
        let assigned = std::mem::take(&mut self.assigned);
        let unreconciled = &self.unreconciled;
        self.latest_numbers
            .retain(|index, _| unreconciled.contains(*index));
        self.unacknowledged.clear();
        self.only_possible_shard
            .retain(|_, shard| unchanged.contains(&**shard));
        if let Some(attempt) = self.attempt.as_mut() {
            attempt.mark_unreconciled();
        }
        for (index, assignment) in assigned {
            self.unreconciled.add(index);
            if previous.reconciled || self.is_latest(index, assignment.numbers, previous.number) {
                self.latest_numbers.insert(index, assignment.numbers);
            }
            if unchanged.contains(&*assignment.shard) && !self.earlier_copies.contains(index) {
                self.only_possible_shard.insert(index, assignment.shard);
            }
        }
        self.earlier_copies.clear();
        self.commit_in_flight = false;
    }
}
