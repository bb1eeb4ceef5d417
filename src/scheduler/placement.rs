//! Which shards the free tasks of one job go to, by its kind and its zones.

use super::{JobEntry, Leader, ShardAssignment};
use crate::clock::Seconds;
use crate::scheduler::capacity::{FreeCapacity, NameInterner, PlacementRequest, ZoneAllowance};
use crate::store::cache::StoreCache;
use crate::wire::{JobId, BEGIN_WITHIN_S};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// After how many seconds without room in its zone a service moves to another one:
/// as long as several boots take.
const ZONE_CHANGE_AFTER_S: Seconds = BEGIN_WITHIN_S / 6.0;

/// The free tasks of one job, with what each of them requires.
#[derive(Debug, Clone, Copy)]
pub(super) struct FreeTasks<'a> {
    pub(super) job: &'a JobId,
    pub(super) request: &'a PlacementRequest,
    pub(super) indexes: &'a [u32],
}

impl FreeTasks<'_> {
    fn len(&self) -> usize {
        self.indexes.len()
    }
}

impl Leader {
    /// Assigns tasks whose zones depend on each other. The leader counts the zones, so
    /// nothing is assigned while any task's zone isn't known, and what is assigned
    /// goes whole to one shard with what each zone may still take, unless several
    /// shards together fit it better.
    pub(super) fn assign_zone_bound(
        &mut self,
        tasks: FreeTasks,
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
        if let Some(slots) = better_spread(entry, tasks, &fit.slots, capacity, &allowances) {
            return self.spread_over_shards(tasks, &slots, capacity);
        }
        if one_zone && fit.slots.len() < tasks.len() && entry.assigned.is_empty() {
            return Vec::new();
        }
        self.assign_to_shard(tasks, &fit, capacity, &allowances, one_zone)
    }

    /// Assigns as many tasks as fit to one shard, and records what it is told of the
    /// zones.
    fn assign_to_shard(
        &mut self,
        tasks: FreeTasks,
        fit: &ShardFit,
        capacity: &mut FreeCapacity,
        allowances: &[ZoneAllowance],
        one_zone: bool,
    ) -> Vec<ShardAssignment> {
        for &slot in &fit.slots {
            capacity.allocate(slot, &tasks.request.task_resources);
        }
        // A job for one zone is told which. Left to choose, the shard started it
        // where only some of its tasks had room.
        let chosen_zones: BTreeSet<u32> = fit
            .slots
            .iter()
            .map(|&slot| capacity.slots[slot].zone)
            .collect();
        let told = allowances
            .iter()
            .filter(|allowance| !one_zone || chosen_zones.contains(&allowance.zone))
            .map(|allowance| (self.names.name(allowance.zone).clone(), allowance.tasks))
            .collect();
        let shard = self.names.name(fit.shard).clone();
        if let Some(entry) = self.jobs.get_mut(tasks.job) {
            entry.zone_allowances = [(shard.clone(), told)].into_iter().collect();
        }
        vec![ShardAssignment {
            shard,
            tasks: tasks.indexes[..fit.slots.len()].to_vec(),
        }]
    }

    /// How many more tasks of a job each zone may take, by where its other tasks are;
    /// none while that isn't known of all.
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

    /// How many of a job's tasks are in each zone, as far as that is known and
    /// matters for the rest of them.
    pub(super) fn tasks_by_zone(&self, id: &JobId, cache: &StoreCache) -> BTreeMap<Arc<str>, u32> {
        let mut zones = BTreeMap::new();
        let bound =
            |entry: &&JobEntry| (entry.spec.one_zone || entry.spec.scatter) && !entry.withdrawing;
        let Some(entry) = self.jobs.get(id).filter(bound) else {
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

    /// Moves a service as a whole whose zone has had no room for the rest of it for
    /// [`ZONE_CHANGE_AFTER_S`], if another zone has room for all of it: its tasks are
    /// stopped, and assigned anew once all are proven to be nowhere.
    pub(super) fn consider_zone_change(
        &mut self,
        tasks: FreeTasks,
        has_room: bool,
        capacity: &mut FreeCapacity,
        now: Seconds,
    ) {
        let Some(entry) = self.jobs.get_mut(tasks.job) else {
            return;
        };
        if has_room || entry.assigned.is_empty() {
            entry.no_room_since = None;
            entry.withdrawing = false;
            return;
        }
        let since = *entry.no_room_since.get_or_insert(now);
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

    /// Assigns tasks to the shards of the chosen machines, and records how many of
    /// them each shard may place in a zone.
    pub(super) fn spread_over_shards(
        &mut self,
        tasks: FreeTasks,
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
            let told = entry.zone_allowances.entry(shard.clone()).or_default();
            match told.iter_mut().find(|(name, _)| name == zone) {
                Some((_, count)) => *count += 1,
                None => told.push((zone.clone(), 1)),
            }
            capacity.allocate(slot, &tasks.request.task_resources);
            by_shard.entry(shard).or_default().push(index);
        }
        shard_assignments(by_shard)
    }
}

fn shard_assignments(by_shard: BTreeMap<Arc<str>, Vec<u32>>) -> Vec<ShardAssignment> {
    by_shard
        .into_iter()
        .map(|(shard, tasks)| ShardAssignment { shard, tasks })
        .collect()
}

/// The machines of several shards, if together they fit zone-bound tasks better than
/// `slots`, which are those of the best single shard.
fn better_spread(
    entry: &JobEntry,
    tasks: FreeTasks,
    slots: &[usize],
    capacity: &mut FreeCapacity,
    allowances: &[ZoneAllowance],
) -> Option<Vec<usize>> {
    let request = tasks.request;
    if entry.spec.one_zone {
        // One shard's machines of one zone may be too few for a job that the zone
        // has room for.
        if slots.len() >= tasks.len() {
            return None;
        }
        let spread = capacity.try_place(request, tasks.len(), None, allowances, true);
        let worthwhile = spread.len() == tasks.len() || !entry.assigned.is_empty();
        return (spread.len() > slots.len() && worthwhile).then_some(spread);
    }
    // No shard has room where the image is cached for all tasks of a latency-sensitive
    // job: several shards share it, each told how many a zone may take of it.
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

/// What one shard offers to the tasks of a job.
#[derive(Debug)]
struct ShardFit {
    rank: ShardRank,
    /// The interned name of the shard.
    shard: u32,
    /// A machine for each task that fits.
    slots: Vec<usize>,
}

/// What decides between shards, the highest first.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct ShardRank {
    /// Tasks that fit.
    tasks: usize,
    /// Of these, on machines that have the image of a latency-sensitive job.
    cached: usize,
    /// Free CPUs of the whole shard.
    free_cpus: f64,
}

/// The shard that takes the most of the tasks; of several, the one with more machines
/// that have the image of a latency-sensitive job, then the one with the most room
/// (design, "Division": other jobs than arrays go to the roomiest shard).
fn best_shard(
    tasks: FreeTasks,
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

/// Assigns as many tasks as fit to the one shard that takes the most of them.
pub(super) fn assign_whole(
    tasks: FreeTasks,
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

/// Assigns an array's tasks one by one, each to the shard with the most room left
/// (design, "Division": an array's tasks are divided by free room).
pub(super) fn assign_array(
    tasks: FreeTasks,
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
                let of_shard = by_shard.entry(names.name(shard).clone()).or_default();
                of_shard.push(index);
                next = remaining.next();
            }
            None => full.push(shard),
        }
    }
    shard_assignments(by_shard)
}
