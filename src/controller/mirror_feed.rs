//! Readings of the state service, and what their changes mean to the cores.

use super::Controller;
use crate::clock::Secs;
use crate::jobs::Change;
use crate::membership;
use crate::state::Feed;
use crate::wire::{JobId, MachineId};

impl Controller {
    pub(super) fn feed(&mut self, feed: Feed, now: Secs) {
        match feed {
            Feed::Loaded {
                began,
                ring,
                entries,
            } => {
                tracing::info!(ring, keys = entries.len(), "read the whole state");
                self.mirror.load(entries);
                self.report_misfits();
                self.fresh_at = Some(began);
                self.state_down = false;
                self.epoch_changed(now);
                let ids: Vec<JobId> = self.mirror.jobs.keys().cloned().collect();
                for id in ids {
                    self.job_changed(&id);
                }
                // What was taken off the roster between two readings.
                for id in self.part.listed_machines() {
                    if !self.mirror.roster.contains_key(&id) {
                        self.machine_changed(&id, now);
                    }
                }
                let ids: Vec<MachineId> = self.mirror.roster.keys().cloned().collect();
                for id in ids {
                    self.machine_changed(&id, now);
                }
            }
            Feed::Changed { began, events, .. } => {
                for event in events {
                    let change = self.mirror.apply(event);
                    self.changed(change, now);
                }
                self.fresh_at = Some(began);
                if self.state_down {
                    tracing::info!("the state service answers again");
                }
                self.state_down = false;
            }
            Feed::Down => {
                if !self.state_down {
                    tracing::info!("the state service does not answer");
                }
                self.state_down = true;
            }
        }
        self.serve_waiting(now);
    }

    /// Tells the cores what has changed in the mirror.
    pub(super) fn changed(&mut self, change: Change, now: Secs) {
        match change {
            Change::Epoch => self.epoch_changed(now),
            Change::Job(id) => self.job_changed(&id),
            Change::Machines(ids) => {
                for id in ids {
                    self.machine_changed(&id, now);
                }
            }
            Change::Shares => self.shares_changed(now),
            Change::Members | Change::Catalog | Change::Nothing => {}
        }
    }

    pub(super) fn job_changed(&mut self, id: &JobId) {
        self.part.job_changed(id, &self.mirror);
        if self.leading() {
            self.leader.job_changed(id, &self.mirror);
        }
    }

    pub(super) fn machine_changed(&mut self, id: &MachineId, now: Secs) {
        match self.mirror.roster.get(id) {
            Some((record, _)) => {
                if self.owner_of(id) == Some(&self.settings.node_name) {
                    self.part.list(id, &record.clone(), now);
                }
            }
            None => {
                self.part.unlist(id);
                self.renting.forget(id);
            }
        }
    }

    pub(super) fn epoch_changed(&mut self, now: Secs) {
        let Some(epoch) = self.mirror.epoch.clone() else {
            return;
        };
        self.epoch_wanted = None;
        let me = self.settings.node_name.clone();
        if self.inc == 0 || epoch.members.get(&me) != Some(&self.inc) {
            return;
        }
        tracing::info!(epoch = epoch.n, leader = %epoch.leader, members = epoch.members.len(), "entered an epoch");
        let shares = self.mirror.shares.clone();
        if self.part.epoch() != epoch.n {
            self.part.enter(epoch.n, self.inc, &self.mirror, now, |id| {
                membership::owner_by_shares(&epoch, &shares, id) == Some(me.as_str())
            });
        }
        if epoch.leader == self.settings.node_name {
            let kept = self.leader.enter(&epoch, self.inc, &self.mirror);
            self.began_to_lead(kept, now);
            self.forget_handovers(now);
            self.renting.lead(now);
            self.roster.lead();
        }
        self.told_leader = 0.0;
    }
}
