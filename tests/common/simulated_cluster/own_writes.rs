//! What a controller knows of its own writes: the key-value store answers them at once, so that
//! their writer may know of them long before it, or any other controller, reads them.

use super::{SimulatedCluster, CONTROLLERS};
use finchwood::store::cache::CacheChange;
use finchwood::store::KeyChange;
use rand::Rng;

impl SimulatedCluster {
    /// Returns a random controller that can accept the requests of users; `None` if the one
    /// chosen cannot.
    pub(super) fn accepting_controller(&mut self) -> Option<usize> {
        let index = self.rng.gen_range(0..self.controllers.len());
        self.accepts_requests(index).then_some(index)
    }

    /// Whether a controller can accept the requests of users.
    pub(super) fn accepts_requests(&self, index: usize) -> bool {
        let reaches_store = self.store_responds_to(index) && self.reaches_peers(index);
        let has_read = self.controllers[index].cache.epoch.is_some();
        reaches_store && has_read && self.may_act(index)
    }

    /// Returns the revision of the epoch that a controller leads as far as it knows; `None` if it
    /// does not lead, or is of a version that does not use it.
    pub(super) fn led_epoch_revision(&self, index: usize) -> Option<u64> {
        let controller = &self.controllers[index];
        let epoch = controller.entered_epoch()?;
        let leads = epoch.leader == CONTROLLERS[index] && self.fault_plan.fences_submissions();
        leads.then_some(controller.cache.epoch_revision)
    }

    /// Applies all changes from the position `from` of the store's log to the cache of the
    /// controller that has made them. It has not read the changes before them yet.
    pub(super) fn learn_own_writes(&mut self, writer: usize, from: usize) {
        let changes: Vec<KeyChange> = self.store_log[from..].to_vec();
        let controller = &mut self.controllers[writer];
        for change in changes {
            if let CacheChange::Job(id) = controller.cache.apply(change) {
                controller.job_changed(&id);
            }
        }
    }
}
