//! Selects the shards for the unassigned tasks of one job, by its kind and its zone
//! constraints.

use super::{JobEntry, Leader, ShardAssignment};
use crate::clock::Seconds;
use crate::scheduler::capacity::{FreeCapacity, NameInterner, PlacementRequest, ZoneAllowance};
use crate::store::cache::StoreCache;
use crate::wire::{JobId, FIRST_START_TARGET_S};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// How long the zone of a service must lack capacity before the service moves to another
/// zone, in seconds: the time that several boots of a machine take.
const ZONE_CHANGE_AFTER_S: Seconds = FIRST_START_TARGET_S / 6.0;

/// The unassigned tasks of one job, with the requirements that each of them has.
#[derive(Debug, Clone, Copy)]
pub(super) struct UnassignedTasks<'a> {
    pub(super) job: &'a JobId,
    pub(super) request: &'a PlacementRequest,
    pub(super) indexes: &'a [u32],
}

impl UnassignedTasks<'_> {
    fn len(&self) -> usize {
        self.indexes.len()
    }
}

impl Leader {
    /// Assigns tasks of a zone-constrained job. The leader counts the tasks in each zone,
    /// so nothing is assigned while the zone of any task is unknown. The tasks go to one
    /// shard, together with the allowances of the zones, unless several shards together fit
    /// them better.
    pub(super) fn assign_zone_constrained(
        &mut self,
        tasks: UnassignedTasks,
        capacity: &mut FreeCapacity,
        cache: &StoreCache,
    ) -> Vec<ShardAssignment> {
        let Some(entry) = self.jobs.get(tasks.job) else {
            return Vec::new();
        };
        if !entry.unreconciled.is_empty() || entry.withdrawing {
            return Vec::new();
        }
        let Some(allowances) = self.zone_allowances(entry, capacity, cache) else {
            return Vec::new();
        };
        let one_zone = entry.spec.one_zone;
        let Some(fit) = best_shard(tasks, capacity, &allowances, one_zone, &self.names) else {
            return Vec::new();
        };
        if let Some(slots) = better_multi_shard_fit(entry, tasks, &fit.slots, capacity, &allowances)
        {
            return self.spread_over_shards(tasks, &slots, capacity);
        }
        if one_zone && fit.slots.len() < tasks.len() && entry.assigned.is_empty() {
            return Vec::new();
        }
        self.assign_to_shard(tasks, &fit, capacity, &allowances, one_zone)
    }

    /// Assigns as many tasks as fit to one shard, and records the allowances that the shard
    /// is sent.
    fn assign_to_shard(
        &mut self,
        tasks: UnassignedTasks,
        fit: &ShardFit,
        capacity: &mut FreeCapacity,
        allowances: &[ZoneAllowance],
        one_zone: bool,
    ) -> Vec<ShardAssignment> {
        for &slot in &fit.slots {
            capacity.allocate(slot, &tasks.request.task_resources);
        }
        // A job that must run in one zone is sent that zone alone. When the shard was free
        // to choose, it started the job in a zone that had capacity for only some of its
        // tasks.
        let chosen_zones: BTreeSet<u32> = fit
            .slots
            .iter()
            .map(|&slot| capacity.slots[slot].zone)
            .collect();
        let allowances_by_zone = allowances
            .iter()
            .filter(|allowance| !one_zone || chosen_zones.contains(&allowance.zone))
            .map(|allowance| (self.names.name(allowance.zone).clone(), allowance.tasks))
            .collect();
        let shard = self.names.name(fit.shard).clone();
        if let Some(entry) = self.jobs.get_mut(tasks.job) {
            entry.zone_allowances = [(shard.clone(), allowances_by_zone)].into_iter().collect();
        }
        vec![ShardAssignment {
            shard,
            tasks: tasks.indexes[..fit.slots.len()].to_vec(),
        }]
    }

    /// How many further tasks of a job each zone may take, given the zones of its assigned
    /// tasks. `None` while the zone of an assigned task is unknown.
    pub(super) fn zone_allowances(
        &self,
        entry: &JobEntry,
        capacity: &FreeCapacity,
        cache: &StoreCache,
    ) -> Option<Vec<ZoneAllowance>> {
        let mut counts: BTreeMap<u32, u32> = BTreeMap::new();
        for assignment in entry.assigned.values() {
            let record = &cache.registry.get(assignment.machine.as_ref()?)?.record;
            *counts.entry(self.names.lookup(&record.zone)?).or_default() += 1;
        }
        let allowed =
            |zone: &u32| !entry.spec.one_zone || counts.is_empty() || counts.contains_key(zone);
        let allowance = |zone: u32| ZoneAllowance {
            zone,
            tasks: entry
                .spec
                .zone_cap()
                .saturating_sub(counts.get(&zone).copied().unwrap_or(0)),
        };
        let zones = capacity.zones().into_iter();
        Some(zones.filter(allowed).map(allowance).collect())
    }

    /// The number of tasks of a zone-constrained job in each zone, as far as it is known;
    /// empty for other jobs.
    pub(super) fn tasks_by_zone(&self, id: &JobId, cache: &StoreCache) -> BTreeMap<Arc<str>, u32> {
        let mut zones = BTreeMap::new();
        let is_zone_constrained =
            |entry: &&JobEntry| (entry.spec.one_zone || entry.spec.scatter) && !entry.withdrawing;
        let Some(entry) = self.jobs.get(id).filter(is_zone_constrained) else {
            return zones;
        };
        for assignment in entry.assigned.values() {
            let machine = assignment.machine.as_ref();
            if let Some(machine) = machine.and_then(|id| cache.registry.get(id)) {
                *zones.entry(machine.record.zone.clone()).or_default() += 1;
            }
        }
        zones
    }

    /// Moves a service that must run in one zone to another one, if its zone has had no
    /// capacity for its unassigned tasks for [`ZONE_CHANGE_AFTER_S`] and another zone has
    /// capacity for all of its tasks. All tasks are stopped, and assigned again once all
    /// are confirmed to have stopped.
    pub(super) fn consider_zone_change(
        &mut self,
        tasks: UnassignedTasks,
        has_capacity: bool,
        capacity: &mut FreeCapacity,
        now: Seconds,
    ) {
        let Some(entry) = self.jobs.get_mut(tasks.job) else {
            return;
        };
        if has_capacity || entry.assigned.is_empty() {
            entry.no_capacity_since = None;
            entry.withdrawing = false;
            return;
        }
        let since = *entry.no_capacity_since.get_or_insert(now);
        let all_placed = entry.unreconciled.is_empty()
            && entry
                .assigned
                .values()
                .all(|assignment| assignment.machine.is_some());
        if entry.withdrawing || !all_placed || now - since < ZONE_CHANGE_AFTER_S {
            return;
        }
        let task_count = entry.spec.task_count as usize;
        let zones = capacity.unlimited_zones();
        let slots = capacity.try_place(tasks.request, task_count, None, &zones, true);
        if slots.len() == task_count {
            tracing::info!(job = %tasks.job, "service changes its zone: no room for all its replicas");
            entry.withdrawing = true;
        }
    }

    /// Assigns tasks to the shards of the selected machines, and records how many of them
    /// each shard may place in each zone.
    pub(super) fn spread_over_shards(
        &mut self,
        tasks: UnassignedTasks,
        slots: &[usize],
        capacity: &mut FreeCapacity,
    ) -> Vec<ShardAssignment> {
        let Some(entry) = self.jobs.get_mut(tasks.job) else {
            return Vec::new();
        };
        let mut by_shard: BTreeMap<Arc<str>, Vec<u32>> = BTreeMap::new();
        entry.zone_allowances.clear();
        for (&slot, &index) in slots.iter().zip(tasks.indexes) {
            let shard = self.names.name(capacity.slots[slot].shard).clone();
            let zone = self.names.name(capacity.slots[slot].zone);
            let allowances_by_zone = entry.zone_allowances.entry(shard.clone()).or_default();
            match allowances_by_zone.iter_mut().find(|(name, _)| name == zone) {
                Some((_, count)) => *count += 1,
                None => allowances_by_zone.push((zone.clone(), 1)),
            }
            capacity.allocate(slot, &tasks.request.task_resources);
            by_shard.entry(shard).or_default().push(index);
        }
        shard_assignments(by_shard)
    }
}

/// Converts tasks by shard to assignments, in ascending order of the shards' names.
fn shard_assignments(by_shard: BTreeMap<Arc<str>, Vec<u32>>) -> Vec<ShardAssignment> {
    by_shard
        .into_iter()
        .map(|(shard, tasks)| ShardAssignment { shard, tasks })
        .collect()
}

/// Machines of several shards that together fit the tasks of a zone-constrained job better
/// than `slots`, the machines of the best single shard. `None` if there are none.
fn better_multi_shard_fit(
    entry: &JobEntry,
    tasks: UnassignedTasks,
    slots: &[usize],
    capacity: &mut FreeCapacity,
    allowances: &[ZoneAllowance],
) -> Option<Vec<usize>> {
    let request = tasks.request;
    if entry.spec.one_zone {
        // A single shard may own too few machines of a zone that has capacity for the whole
        // job.
        if slots.len() >= tasks.len() {
            return None;
        }
        let spread = capacity.try_place(request, tasks.len(), None, allowances, true);
        let is_worthwhile = spread.len() == tasks.len() || !entry.assigned.is_empty();
        return (spread.len() > slots.len() && is_worthwhile).then_some(spread);
    }
    // No single shard has enough machines with a cached image for all tasks of a
    // latency-sensitive job: they are divided among several shards, each with its own
    // allowances.
    if !request.latency_sensitive || capacity.count_with_cached_image(request, slots) >= tasks.len()
    {
        return None;
    }
    let spread = capacity.try_place(request, tasks.len(), None, allowances, false);
    let more_cached = || {
        capacity.count_with_cached_image(request, &spread)
            > capacity.count_with_cached_image(request, slots)
    };
    (spread.len() >= slots.len() && more_cached()).then_some(spread)
}

/// The machines that one shard has for the tasks of a job.
#[derive(Debug)]
struct ShardFit {
    rank: ShardRank,
    /// The interned name of the shard.
    shard: u32,
    /// One machine for each task that fits.
    slots: Vec<usize>,
}

/// The criteria for selecting a shard, the most important first; the highest rank wins.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct ShardRank {
    /// The number of tasks that fit.
    tasks: usize,
    /// The number of these that go to machines with the cached image of a latency-sensitive
    /// job.
    cached: usize,
    /// Free CPUs of the whole shard.
    free_cpus: f64,
}

/// Selects the shard that fits the most of the tasks; of several, the one that has more
/// machines with the cached image of a latency-sensitive job, then the one with the most
/// free CPUs (design, "Division": jobs other than arrays go to the shard with the most free
/// capacity).
fn best_shard(
    tasks: UnassignedTasks,
    capacity: &mut FreeCapacity,
    allowances: &[ZoneAllowance],
    one_zone: bool,
    names: &NameInterner,
) -> Option<ShardFit> {
    let mut best: Option<ShardFit> = None;
    let mut shards = capacity.shards();
    shards.sort_by(|a, b| names.name(*a).cmp(names.name(*b)));
    for shard in shards {
        let slots = capacity.try_place(
            tasks.request,
            tasks.len(),
            Some(shard),
            allowances,
            one_zone,
        );
        let rank = ShardRank {
            tasks: slots.len(),
            cached: capacity.count_with_cached_image(tasks.request, &slots),
            free_cpus: capacity.free_cpus(shard),
        };
        if !slots.is_empty() && best.as_ref().is_none_or(|best| rank > best.rank) {
            best = Some(ShardFit { rank, shard, slots });
        }
    }
    best
}

/// Assigns as many tasks as fit to the one shard that fits the most of them.
pub(super) fn assign_to_best_shard(
    tasks: UnassignedTasks,
    capacity: &mut FreeCapacity,
    names: &NameInterner,
) -> Vec<ShardAssignment> {
    let zones = capacity.unlimited_zones();
    let Some(fit) = best_shard(tasks, capacity, &zones, false, names) else {
        return Vec::new();
    };
    for &slot in &fit.slots {
        capacity.allocate(slot, &tasks.request.task_resources);
    }
    vec![ShardAssignment {
        shard: names.name(fit.shard).clone(),
        tasks: tasks.indexes[..fit.slots.len()].to_vec(),
    }]
}

/// Assigns the tasks of an array one by one, each to the shard with the most free CPUs left
/// (design, "Division": the tasks of an array are divided by free capacity).
pub(super) fn assign_array(
    tasks: UnassignedTasks,
    capacity: &mut FreeCapacity,
    names: &NameInterner,
) -> Vec<ShardAssignment> {
    let mut by_shard: BTreeMap<Arc<str>, Vec<u32>> = BTreeMap::new();
    let mut full: Vec<u32> = Vec::new();
    let mut remaining = tasks.indexes.iter();
    let mut next = remaining.next();
    while let Some(&index) = next {
        let Some(shard) = capacity.shard_with_most_free_cpus(&full, names) else {
            break;
        };
        match capacity.best_slot(tasks.request, Some(shard), None) {
            Some(slot) => {
                capacity.allocate(slot, &tasks.request.task_resources);
                let shard_tasks = by_shard.entry(names.name(shard).clone()).or_default();
                shard_tasks.push(index);
                next = remaining.next();
            }
            None => full.push(shard),
        }
    }
    shard_assignments(by_shard)
}
