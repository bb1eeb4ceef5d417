//! Which controllers are members of the epoch, and what each may do.

use super::controllers::Controller;
use super::{SimulatedCluster, CONTROLLERS, MEMBER_LEASE_S};
use finchwood::cluster::membership;
use finchwood::store::records::{MemberRecord, Versioned};
use std::collections::BTreeMap;

/// The number of a controller.
pub(super) fn controller_named(name: &str) -> Option<usize> {
    CONTROLLERS.iter().position(|known| *known == name)
}

impl SimulatedCluster {
    /// A controller starts: its old incarnation is gone, so a new epoch may follow.
    pub(super) fn join(&mut self, index: usize) {
        self.last_incarnation += 1;
        self.controllers[index] = Controller::started(index, self.last_incarnation, self.now);
        self.readmit(index);
    }

    /// A controller dies, or has fenced itself and lost its lease.
    pub(super) fn leave(&mut self, index: usize) {
        self.controllers[index] = Controller::stopped(index);
        self.expel(index);
    }

    /// A controller is no longer a member: it acts on until it reads so.
    pub(super) fn expel(&mut self, index: usize) {
        let mut members = self.epoch.members.clone();
        members.remove(CONTROLLERS[index]);
        if !members.is_empty() {
            self.begin_epoch(&members);
        }
    }

    /// A controller becomes a member, in its present incarnation.
    pub(super) fn readmit(&mut self, index: usize) {
        let mut members = self.epoch.members.clone();
        members.insert(
            CONTROLLERS[index].into(),
            self.controllers[index].incarnation,
        );
        self.begin_epoch(&members);
    }

    /// A controller that lost its lease while it was partitioned comes back with a new
    /// one, in the same process.
    pub(super) fn rejoin(&mut self, index: usize) {
        self.last_incarnation += 1;
        self.controllers[index].incarnation = self.last_incarnation;
        self.readmit(index);
    }

    /// Whether a controller is a member in its present incarnation.
    pub(super) fn is_member(&self, index: usize) -> bool {
        let incarnation = self.controllers[index].incarnation;
        self.epoch.members.get(CONTROLLERS[index]) == Some(&incarnation)
    }

    /// Whether a controller's knowledge is recent enough to act on.
    pub(super) fn may_act(&self, index: usize) -> bool {
        let controller = &self.controllers[index];
        let knowledge_age = self.now - controller.last_synced_at;
        controller.alive && knowledge_age < self.settings.max_staleness_s()
    }

    /// Whether a controller reaches the other controllers.
    pub(super) fn reaches_peers(&self, index: usize) -> bool {
        self.now >= self.controllers[index].partitioned_until
    }

    /// Whether the key-value store would answer a controller that reaches it.
    pub(super) fn store_answers(&self, index: usize) -> bool {
        self.now >= self.store_outage_until && self.now >= self.controllers[index].refused_until
    }

    /// A controller that can't renew its lease loses it, never early.
    pub(super) fn expel_if_lease_expired(&mut self, index: usize) {
        let controller = &self.controllers[index];
        let cut_off = controller.partitioned_until.max(controller.refused_until) > self.now;
        let expired = self.now - controller.last_synced_at > MEMBER_LEASE_S;
        if cut_off && expired && self.now >= self.store_outage_until && self.is_member(index) {
            self.expel(index);
        }
    }

    fn begin_epoch(&mut self, members: &BTreeMap<String, u64>) {
        let live = members
            .iter()
            .map(|(name, &incarnation)| {
                let member = MemberRecord::new(incarnation, self.uses_shard_map);
                (name.clone(), Versioned::new(member, 1))
            })
            .collect();
        let present = (self.epoch.number > 0).then_some(&self.epoch);
        if let Some(epoch) = membership::next_epoch(present, &live) {
            self.epoch = epoch.clone();
            self.put("fw/epoch", serde_json::to_value(epoch).expect("JSON"));
        }
    }
}
