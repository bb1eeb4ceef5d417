//! Reconciliation: confirms which tasks run on no machine.

use super::events::FreedBy;
use super::Leader;
use crate::store::cache::StoreCache;
use crate::wire::MachineId;
use finchwood_reconciliation::unreconciled::{MachineClass, UnreconciledMachines};

impl Leader {
    /// The machines that the machine registry marks as in use and that are not reconciled in
    /// this epoch: no owner has established yet what they run. Machines for which `is_terminated` returns true
    /// are left out.
    pub(super) fn unreconciled_registered_machines<'a>(
        &'a self,
        cache: &'a StoreCache,
        is_terminated: &'a dyn Fn(&MachineId) -> bool,
    ) -> impl Iterator<Item = &'a MachineId> + 'a {
        cache
            .registry
            .iter()
            .filter(|(_, machine)| machine.record.in_use)
            .map(|(id, _)| id)
            .filter(move |id| {
                // A shard reports only machines that it owns in this epoch.
                !is_terminated(id)
                    && !self.shards.values().any(|shard| {
                        shard
                            .machines
                            .get(*id)
                            .is_some_and(|machine| machine.status.reconciled)
                    })
            })
    }

    /// The unreconciled machines: those that the machine registry marks as in use, and those that
    /// report although it does not. A machine without the mark that no owner has heard holds no
    /// tasks: a start follows the mark, and a mark of an earlier epoch was committed before this
    /// epoch and is known here.
    pub fn unreconciled_machines(
        &self,
        cache: &StoreCache,
        is_terminated: &dyn Fn(&MachineId) -> bool,
    ) -> UnreconciledMachines {
        let registered = self
            .unreconciled_registered_machines(cache, is_terminated)
            .filter_map(|id| cache.registry.get(id));
        let registered = registered.map(|machine| MachineClass {
            machine_type: machine.record.machine_type.clone(),
            zone: machine.record.zone.clone(),
            spot: machine.record.spot,
        });
        let is_marked = |id: &MachineId| {
            let registered = cache.registry.get(id);
            registered.is_some_and(|machine| machine.record.in_use)
        };
        let unmarked = self.machines().filter(|machine| {
            machine.has_reported
                && !machine.reconciled
                && !is_marked(&machine.id)
                && !is_terminated(&machine.id)
        });
        let unmarked = unmarked.map(|machine| MachineClass {
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
        });
        registered.chain(unmarked).collect()
    }

    /// Whether machines that are missing from the readable pages of the machine registry
    /// may run tasks. Once reports have arrived for `takeover_s` in this epoch, every such
    /// machine has reported to its owner, or its worker's lease has expired.
    fn unregistered_machines_may_run_tasks(&self, cache: &StoreCache) -> bool {
        let Some(first_report_at) = self.epoch.first_report_at else {
            return true;
        };
        cache.invalid_records.contains_registry_page()
            && self.epoch.last_report_at - first_report_at < self.policy.takeover_s
    }

    /// Whether every member of the epoch has reported the tasks assigned to its shard.
    pub fn all_shards_reported(&self) -> bool {
        self.epoch
            .members
            .keys()
            .all(|member| self.epoch.reported_shards.contains(member))
    }

    /// Turns unreconciled tasks into unassigned ones once they are confirmed to run on no
    /// machine. That requires reports of all shards, and that the owner of every machine
    /// that may run the tasks has reconciled the machine (design, "Division": a controller
    /// that takes over rebuilds its state from reports and waits until the workers' leases
    /// have expired). Only the owner can determine that a worker's lease must have expired,
    /// since it has the time of its last reply to the worker. If only the age of the epoch
    /// counted, a machine whose worker received a reply a moment ago would count as empty.
    ///
    /// A machine that stays silent delays only the jobs that may run on it, by its type,
    /// its zone and whether it is a spot machine.
    ///
    /// `is_terminated` returns true for machines that are confirmed to no longer exist. The
    /// machine registry may show this much later, when many writes are pending.
    pub fn reconcile(&mut self, cache: &StoreCache, is_terminated: &dyn Fn(&MachineId) -> bool) {
        if self.epoch.reconciled || !self.epoch.has_new_evidence || !self.all_shards_reported() {
            return;
        }
        self.epoch.has_new_evidence = false;
        if self.unregistered_machines_may_run_tasks(cache) {
            return;
        }
        let unreconciled = self.unreconciled_machines(cache, is_terminated);
        self.epoch.reconciled = unreconciled.is_empty();
        for entry in self
            .jobs
            .values_mut()
            .filter(|entry| !entry.unreconciled.is_empty())
        {
            if !unreconciled.may_run_job(&entry.spec) {
                let tasks = std::mem::take(&mut entry.unreconciled).len();
                let freed = self.events.freed.entry((FreedBy::MachinesReconciled, None));
                let describe = || format!("{} tasks of {}", tasks, entry.spec.id);
                freed.or_default().record_many(u64::from(tasks), describe);
            }
        }
        self.remove_ended_jobs(cache);
    }

    /// Whether every task and every machine is reconciled.
    pub fn is_reconciled(&self) -> bool {
        self.epoch.reconciled
    }
}
