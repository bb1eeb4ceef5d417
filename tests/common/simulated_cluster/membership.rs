//! The membership of controllers in epochs, and the conditions under which they may act.

use super::controllers::Controller;
use super::{SimulatedCluster, CONTROLLERS, MEMBER_LEASE_S};
use finchwood::cluster::membership;
use finchwood::store::records::{MemberRecord, Versioned};
use std::collections::BTreeMap;

/// Returns the index of the controller with this name.
pub(super) fn controller_index(name: &str) -> Option<usize> {
    CONTROLLERS
        .iter()
        .position(|controller| *controller == name)
}

impl SimulatedCluster {
    /// Starts a controller in a new incarnation and adds it to the members, which begins a new
    /// epoch.
    pub(super) fn start_controller(&mut self, index: usize) {
        self.last_incarnation += 1;
        self.controllers[index] = Controller::started(index, self.last_incarnation, self.now);
        self.add_member(index);
    }

    /// Stops a controller and removes it from the members.
    pub(super) fn stop_controller(&mut self, index: usize) {
        self.controllers[index] = Controller::stopped(index);
        self.remove_member(index);
    }

    /// Removes a controller from the members, which begins a new epoch. The controller
    /// continues to act until it reads that epoch.
    pub(super) fn remove_member(&mut self, index: usize) {
        let mut members = self.epoch.members.clone();
        members.remove(CONTROLLERS[index]);
        if !members.is_empty() {
            self.begin_epoch(&members);
        }
    }

    /// Adds a controller to the members in its current incarnation, which begins a new epoch.
    pub(super) fn add_member(&mut self, index: usize) {
        let mut members = self.epoch.members.clone();
        members.insert(
            CONTROLLERS[index].into(),
            self.controllers[index].incarnation,
        );
        self.begin_epoch(&members);
    }

    /// Adds a controller to the members again after it lost its lease during a partition. It
    /// joins in a new incarnation, within the same process.
    pub(super) fn rejoin(&mut self, index: usize) {
        self.last_incarnation += 1;
        self.controllers[index].incarnation = self.last_incarnation;
        self.add_member(index);
    }

    /// Whether a controller is a member in its current incarnation.
    pub(super) fn is_member(&self, index: usize) -> bool {
        let incarnation = self.controllers[index].incarnation;
        self.epoch.members.get(CONTROLLERS[index]) == Some(&incarnation)
    }

    /// Whether a controller is alive and its cache of the store is fresh enough to act on.
    pub(super) fn may_act(&self, index: usize) -> bool {
        let controller = &self.controllers[index];
        let cache_age_s = self.now - controller.last_synced_at;
        controller.alive && cache_age_s < self.settings.max_staleness_s()
    }

    /// Whether a controller is not partitioned and so reaches the other controllers.
    pub(super) fn reaches_peers(&self, index: usize) -> bool {
        self.now >= self.controllers[index].partitioned_until
    }

    /// Whether the key-value store responds to a controller that is not partitioned from it.
    pub(super) fn store_responds_to(&self, index: usize) -> bool {
        self.now >= self.store_outage_until && self.now >= self.controllers[index].refused_until
    }

    /// Removes a controller from the members once its member lease has expired because it
    /// could not renew it, never earlier.
    pub(super) fn remove_member_if_lease_expired(&mut self, index: usize) {
        let controller = &self.controllers[index];
        let cannot_renew = controller.partitioned_until.max(controller.refused_until) > self.now;
        let expired = self.now - controller.last_synced_at > MEMBER_LEASE_S;
        if cannot_renew && expired && self.now >= self.store_outage_until && self.is_member(index) {
            self.remove_member(index);
        }
    }

    /// Stores the next epoch if the members differ from those of the current one.
    fn begin_epoch(&mut self, members: &BTreeMap<String, u64>) {
        let live = members
            .iter()
            .map(|(name, &incarnation)| {
                let member = MemberRecord::new(incarnation, self.uses_shard_map);
                (name.clone(), Versioned::new(member, 1))
            })
            .collect();
        let current = (self.epoch.number > 0).then_some(&self.epoch);
        if let Some(epoch) = membership::next_epoch(current, &live) {
            self.epoch = epoch.clone();
            self.put("fw/epoch", serde_json::to_value(epoch).expect("JSON"));
        }
    }
}
