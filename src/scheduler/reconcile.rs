//! Which tasks are proven to be nowhere, since no machine can hold them.

use super::Leader;
use crate::finished::TaskSet;
use crate::store::cache::StoreCache;
use crate::wire::MachineId;
use finchwood_reconciliation::unreconciled::{MachineClass, UnreconciledMachines};

impl Leader {
    /// Machines whose content nobody knows yet under this epoch, apart from
    /// those that `gone` says are deleted.
    pub(super) fn unreconciled_registered<'a>(
        &'a self,
        cache: &'a StoreCache,
        gone: &'a dyn Fn(&MachineId) -> bool,
    ) -> impl Iterator<Item = &'a MachineId> + 'a {
        cache
            .registry
            .iter()
            .filter(|(_, machine)| machine.record.in_use)
            .map(|(id, _)| id)
            .filter(move |id| {
                // A shard tells only of machines that are its own in this epoch.
                !gone(id)
                    && !self.shards.values().any(|shard| {
                        shard
                            .machines
                            .get(*id)
                            .is_some_and(|machine| machine.status.reconciled)
                    })
            })
    }

    /// The unreconciled machines: those of the machine registry, and those that report
    /// although the registry lacks them.
    pub fn unreconciled_machines(
        &self,
        cache: &StoreCache,
        gone: &dyn Fn(&MachineId) -> bool,
    ) -> UnreconciledMachines {
        let registered = self
            .unreconciled_registered(cache, gone)
            .filter_map(|id| cache.registry.get(id));
        let registered = registered.map(|machine| MachineClass {
            machine_type: machine.record.machine_type.clone(),
            zone: machine.record.zone.clone(),
            spot: machine.record.spot,
        });
        let unregistered = self.machines().filter(|machine| {
            machine.has_reported
                && !machine.reconciled
                && !cache.registry.contains_key(&machine.id)
                && !gone(&machine.id)
        });
        let unregistered = unregistered.map(|machine| MachineClass {
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
        });
        registered.chain(unregistered).collect()
    }

    /// Whether machines that no readable page of the machine registry names may hold
    /// tasks. Such a machine reports to its owner before its worker's lease expires, or
    /// that has expired.
    fn unregistered_machines_may_hold_tasks(&self, cache: &StoreCache) -> bool {
        let Some(first_report_at) = self.epoch.first_report_at else {
            return true;
        };
        cache.unreadable.any_registry_page()
            && self.epoch.last_report_at - first_report_at < self.policy.takeover_s
    }

    /// Whether every member has reported what it holds in this epoch.
    pub fn all_shards_reported(&self) -> bool {
        self.epoch
            .members
            .keys()
            .all(|member| self.epoch.reported_shards.contains(member))
    }

    /// Frees unreconciled tasks once they are proven to be nowhere: every shard has
    /// reported what it holds, and the owner of every machine that may run them knows
    /// what is on it (design, "Division": a controller that takes over rebuilds its
    /// table from reports and waits out the workers' leases). Only the owner can say
    /// that a worker's lease must have expired, since it knows whether it has answered
    /// it: by the age of the epoch alone, a worker answered a moment ago would count
    /// as empty.
    ///
    /// A machine that stays silent holds up only the jobs that may be on it: those
    /// allowed on its type, in its zone and on its kind.
    ///
    /// `gone` says whose deletion was answered: that is proof long before the machine
    /// registry shows it, which may be written late when there is much to write.
    pub fn reconcile(&mut self, cache: &StoreCache, gone: &dyn Fn(&MachineId) -> bool) {
        if self.epoch.reconciled || !self.epoch.has_new_evidence || !self.all_shards_reported() {
            return;
        }
        self.epoch.has_new_evidence = false;
        if self.unregistered_machines_may_hold_tasks(cache) {
            return;
        }
        let unreconciled = self.unreconciled_machines(cache, gone);
        self.epoch.reconciled = unreconciled.is_empty();
        for entry in self
            .jobs
            .values_mut()
            .filter(|entry| !entry.unreconciled.is_empty())
        {
            if !unreconciled.may_hold(&entry.spec) {
                entry.unreconciled = TaskSet::default();
            }
        }
        self.remove_ended_jobs(cache);
    }

    /// Whether every task and every machine is reconciled.
    pub fn is_reconciled(&self) -> bool {
        self.epoch.reconciled
    }
}
