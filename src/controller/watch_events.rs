//! Readings of the key-value store, and what their changes mean to the cores.

use super::Controller;
use crate::clock::Seconds;
use crate::cluster::membership;
use crate::store::cache::CacheChange;
use crate::store::WatchEvent;
use crate::wire::{JobId, MachineId};

impl Controller {
    pub(super) fn feed(&mut self, feed: WatchEvent, now: Seconds) {
        match feed {
            WatchEvent::Snapshot {
                began,
                revision,
                entries,
            } => {
                tracing::info!(revision, keys = entries.len(), "read the whole state");
                self.cache.load(entries);
                self.report_misfits();
                self.last_synced_at = Some(began);
                self.store_unreachable = false;
                self.epoch_changed(now);
                let ids: Vec<JobId> = self.cache.jobs.keys().cloned().collect();
                for id in ids {
                    self.job_changed(&id);
                }
                // What was taken off the machine registry between two readings.
                for id in self.shard.registered_machines() {
                    if !self.cache.registry.contains_key(&id) {
                        self.machine_changed(&id, now);
                    }
                }
                let ids: Vec<MachineId> = self.cache.registry.keys().cloned().collect();
                for id in ids {
                    self.machine_changed(&id, now);
                }
            }
            WatchEvent::Changes { began, events, .. } => {
                for event in events {
                    let change = self.cache.apply(event);
                    self.changed(change, now);
                }
                self.last_synced_at = Some(began);
                if self.store_unreachable {
                    tracing::info!("the state service answers again");
                }
                self.store_unreachable = false;
            }
            WatchEvent::Unavailable => {
                if !self.store_unreachable {
                    tracing::info!("the state service does not answer");
                }
                self.store_unreachable = true;
            }
        }
        self.serve_waiting(now);
    }

    /// Tells the cores what has changed in the cache.
    pub(super) fn changed(&mut self, change: CacheChange, now: Seconds) {
        match change {
            CacheChange::Epoch => self.epoch_changed(now),
            CacheChange::Job(id) => self.job_changed(&id),
            CacheChange::Machines(ids) => {
                for id in ids {
                    self.machine_changed(&id, now);
                }
            }
            CacheChange::ShardMap => self.shares_changed(now),
            CacheChange::Members | CacheChange::Catalog | CacheChange::Nothing => {}
        }
    }

    pub(super) fn job_changed(&mut self, id: &JobId) {
        self.shard.job_changed(id, &self.cache);
        if self.leading() {
            self.leader.job_changed(id, &self.cache);
        }
    }

    pub(super) fn machine_changed(&mut self, id: &MachineId, now: Seconds) {
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

    pub(super) fn epoch_changed(&mut self, now: Seconds) {
        let Some(epoch) = self.cache.epoch.clone() else {
            return;
        };
        self.epoch_wanted = None;
        let me = self.settings.node_name.clone();
        if self.incarnation == 0 || epoch.members.get(&me) != Some(&self.incarnation) {
            return;
        }
        tracing::info!(epoch = epoch.number, leader = %epoch.leader, members = epoch.members.len(), "entered an epoch");
        let shares = self.cache.shard_map.clone();
        if self.shard.epoch() != epoch.number {
            self.shard
                .start_epoch(epoch.number, self.incarnation, &self.cache, now, |id| {
                    membership::owner_by_shard_map(&epoch, &shares, id) == Some(me.as_str())
                });
        }
        if epoch.leader == self.settings.node_name {
            let kept = self
                .leader
                .start_epoch(&epoch, self.incarnation, &self.cache);
            self.began_to_lead(kept, now);
            self.forget_transfers(now);
            self.autoscaler.start_leading(now);
            self.registry.lead();
        }
        self.told_leader = 0.0;
    }
}
