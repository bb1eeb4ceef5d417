//! Handling of the events from the watch of the key-value store: updates the cache, and
//! notifies the shard and the leader of the changes.

use super::interval_timer::IntervalTimer;
use super::Controller;
use crate::clock::Seconds;
use crate::cluster::membership;
use crate::store::cache::CacheChange;
use crate::store::{KeyChange, KeyValue, WatchEvent};
use crate::wire::{JobId, MachineId};

impl Controller {
    /// Applies an event of the watch, and serves the requests that waited for a read.
    pub(super) fn apply_watch_event(&mut self, event: WatchEvent, now: Seconds) {
        match event {
            WatchEvent::Snapshot {
                read_started_at,
                revision,
                entries,
            } => {
                tracing::info!(revision, keys = entries.len(), "read the whole state");
                self.store_sync.record_revision(revision);
                self.apply_snapshot(read_started_at, entries, now);
            }
            WatchEvent::Changes {
                read_started_at,
                changes,
                revision,
            } => {
                self.store_sync.record_revision(revision);
                self.apply_changes(read_started_at, changes, now);
            }
            WatchEvent::Unavailable => {
                if !self.store_sync.is_unreachable() {
                    tracing::info!("the state service does not answer");
                }
                self.store_sync.record_failure();
            }
        }
        self.serve_waiting_reads(now);
    }

    /// Replaces the contents of the cache by a snapshot, whose read started at
    /// `read_started_at`.
    fn apply_snapshot(&mut self, read_started_at: Seconds, entries: Vec<KeyValue>, now: Seconds) {
        self.cache.load(entries);
        self.log_dangling_references();
        self.store_sync.record_success(read_started_at);
        self.leader.record_reading(read_started_at);
        self.apply_epoch_change(now);
        let jobs: Vec<JobId> = self.cache.jobs.keys().cloned().collect();
        for id in jobs {
            self.apply_job_change(&id);
        }
        // Machines may have been removed from the registry between two snapshots.
        for id in self.shard.registered_machines() {
            if !self.cache.registry.contains_key(&id) {
                self.apply_machine_change(&id, now);
            }
        }
        let machines: Vec<MachineId> = self.cache.registry.keys().cloned().collect();
        for id in machines {
            self.apply_machine_change(&id, now);
        }
    }

    fn apply_changes(&mut self, read_started_at: Seconds, changes: Vec<KeyChange>, now: Seconds) {
        for change in changes {
            let change = self.cache.apply(change);
            self.apply_cache_change(change, now);
        }
        if self.store_sync.is_unreachable() {
            tracing::info!("the state service answers again");
        }
        self.store_sync.record_success(read_started_at);
        self.leader.record_reading(read_started_at);
    }

    /// Notifies the shard and the leader of a change in the cache.
    pub(super) fn apply_cache_change(&mut self, change: CacheChange, now: Seconds) {
        match change {
            CacheChange::Epoch => self.apply_epoch_change(now),
            CacheChange::Job(id) => self.apply_job_change(&id),
            CacheChange::Machines(ids) => {
                for id in ids {
                    self.apply_machine_change(&id, now);
                }
            }
            CacheChange::ShardMap => self.apply_shard_map_change(now),
            CacheChange::Members | CacheChange::Catalog | CacheChange::Nothing => {}
        }
    }

    /// Notifies the shard and the leader that a job's record has changed.
    pub(super) fn apply_job_change(&mut self, id: &JobId) {
        self.shard.job_changed(id, &self.cache);
        if self.is_leader() {
            self.leader.job_changed(id, &self.cache);
        }
    }

    /// Notifies the shard of a machine that was added to the registry, changed there, or
    /// removed from it. The autoscaler is notified of a removal.
    fn apply_machine_change(&mut self, id: &MachineId, now: Seconds) {
        match self.cache.registry.get(id) {
            Some(machine) => {
                let record = &machine.record;
                if self.owner_of(id) == Some(&self.settings.node_name) {
                    self.shard.register_machine(id, &record.clone(), now);
                }
            }
            None => {
                self.shard.unregister_machine(id);
                self.autoscaler.forget_machine(id);
            }
        }
    }

    /// Enters the epoch in the cache, if this incarnation is a member of it.
    pub(super) fn apply_epoch_change(&mut self, now: Seconds) {
        let Some(epoch) = self.cache.epoch.clone() else {
            return;
        };
        self.membership.mark_epoch_current();
        let Some(incarnation) = self.membership.incarnation_in(&epoch) else {
            return;
        };
        tracing::info!(
            epoch = epoch.number,
            leader = %epoch.leader,
            members = epoch.members.len(),
            revision = self.cache.epoch_revision,
            "entered an epoch"
        );
        let this_node = self.settings.node_name.clone();
        let shard_map = self.cache.shard_map.clone();
        if self.shard.epoch() != epoch.number {
            self.shard
                .start_epoch(epoch.number, incarnation, &self.cache, now, |id| {
                    let owner = membership::owner_by_shard_map(&epoch, &shard_map, id);
                    owner == Some(this_node.as_str())
                });
        }
        if epoch.leader == this_node {
            let kept_state = self.leader.start_epoch(&epoch, incarnation, &self.cache);
            self.begin_hold_off(kept_state, now);
            self.log_leadership(&epoch, kept_state);
            self.reset_transfers(now);
            self.autoscaler.start_leading(now);
            self.registry.begin_leading();
        }
        // The first report in the epoch is due at once, unless the process has only just
        // started.
        self.leader_report_timer = IntervalTimer::since_process_start();
    }
}
