//! Which shards the free tasks of one job go to, by its shape and its zones.

use super::{Assignment, JobEntry, Leader, ZoneRoom};
use crate::clock::Seconds;
use crate::scheduler::capacity::{FreeCapacity, NameInterner, PlacementRequest};
use crate::store::cache::StoreCache;
use crate::wire::{JobId, BEGIN_WITHIN_S};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

impl Leader {
    /// Jobs whose tasks depend on each other. The leader counts the zones, so
    /// nothing is assigned while any task's zone isn't known, and what is assigned
    /// goes whole to one shard with what each zone may still take.
    pub(super) fn assign_zone_bound(
        &mut self,
        id: &JobId,
        request: &PlacementRequest,
        free: &[u32],
        capacity: &mut FreeCapacity,
        cache: &StoreCache,
    ) -> Assignment {
        let Some(entry) = self.jobs.get(id) else {
            return Vec::new();
        };
        let spec = entry.spec.clone();
        if !entry.unreconciled.is_empty() || entry.withdrawing {
            return Vec::new();
        }
        let Some(room) = self.zone_room(entry, capacity, cache) else {
            return Vec::new();
        };
        // The roomiest shard that can take them all; else the one that takes
        // the most.
        let Some((shard, chosen)) = roomiest_for(
            request,
            free.len(),
            capacity,
            &room,
            spec.one_zone,
            &self.names,
        ) else {
            return Vec::new();
        };
        // No shard has room where the image is for all of a job latency-sensitive:
        // several shards share it, each told how many a zone may take of it.
        if request.latency_sensitive
            && capacity.with_cached_image(request, &chosen) < free.len()
            && !spec.one_zone
        {
            let spread = capacity.try_place(request, free.len(), None, &room, false);
            if spread.len() >= chosen.len()
                && capacity.with_cached_image(request, &spread)
                    > capacity.with_cached_image(request, &chosen)
            {
                return self.spread_over_shards(id, request, &spread, free, capacity);
            }
        }
        // One shard's machines of one zone may be too few for a job that the
        // zone has room for: then several shards share it.
        if spec.one_zone && chosen.len() < free.len() {
            let spread = capacity.try_place(request, free.len(), None, &room, true);
            if spread.len() > chosen.len()
                && (spread.len() == free.len() || !entry.assigned.is_empty())
            {
                return self.spread_over_shards(id, request, &spread, free, capacity);
            }
        }
        if spec.one_zone && chosen.len() < free.len() && entry.assigned.is_empty() {
            return Vec::new();
        }
        for &slot in &chosen {
            capacity.take(slot, &request.ask);
        }
        let tasks = free[..chosen.len()].to_vec();
        let shard = self.names.name(shard).clone();
        // Guard: a job for one zone is told which. Left to choose, the shard began
        // it where only some of its tasks had room.
        let into: BTreeSet<u32> = chosen
            .iter()
            .map(|&slot| capacity.slots[slot].zone)
            .collect();
        let told = room
            .iter()
            .filter(|(z, _)| !spec.one_zone || into.contains(z));
        let told = told
            .map(|(z, n)| (self.names.name(*z).clone(), *n))
            .collect();
        if let Some(entry) = self.jobs.get_mut(id) {
            entry.zone_allowances = [(shard.clone(), told)].into_iter().collect();
        }
        vec![(shard, tasks)]
    }

    /// How many more tasks of a job each zone may take, by where the others are;
    /// none while that isn't known of all.
    pub(super) fn zone_room(
        &self,
        entry: &JobEntry,
        capacity: &FreeCapacity,
        cache: &StoreCache,
    ) -> Option<ZoneRoom> {
        let mut counts: BTreeMap<u32, u32> = BTreeMap::new();
        for assignment in entry.assigned.values() {
            let record = &cache.registry.get(assignment.machine.as_ref()?)?.record;
            *counts.entry(self.names.lookup(&record.zone)?).or_default() += 1;
        }
        let zones: BTreeSet<u32> = capacity.slots.iter().map(|slot| slot.zone).collect();
        let allowed = |z: &u32| !entry.spec.one_zone || counts.is_empty() || counts.contains_key(z);
        let left = |z: u32| {
            (
                z,
                entry
                    .spec
                    .zone_cap()
                    .saturating_sub(counts.get(&z).copied().unwrap_or(0)),
            )
        };
        Some(zones.into_iter().filter(allowed).map(left).collect())
    }

    /// Where a job's tasks are, as far as that is known, if it matters for the
    /// rest of them.
    pub(super) fn zones_of(&self, id: &JobId, cache: &StoreCache) -> BTreeMap<Arc<str>, u32> {
        let mut zones = BTreeMap::new();
        let bound =
            |entry: &&JobEntry| (entry.spec.one_zone || entry.spec.scatter) && !entry.withdrawing;
        let Some(entry) = self.jobs.get(id).filter(bound) else {
            return zones;
        };
        for assignment in entry.assigned.values() {
            let record = assignment
                .machine
                .as_ref()
                .and_then(|m| cache.registry.get(m));
            if let Some(registered) = record {
                *zones.entry(registered.record.zone.clone()).or_default() += 1;
            }
        }
        zones
    }

    /// A service whose zone has had no room for the rest of it for as long as
    /// several boots take moves as a whole, if another zone has room for it:
    /// its tasks are stopped, and assigned anew once all are proven gone.
    pub(super) fn consider_zone_change(
        &mut self,
        id: &JobId,
        request: &PlacementRequest,
        stuck: bool,
        capacity: &mut FreeCapacity,
        now: Seconds,
    ) {
        let patience = BEGIN_WITHIN_S / 6.0;
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        if !stuck || entry.assigned.is_empty() {
            entry.no_room_since = None;
            entry.withdrawing = false;
            return;
        }
        let since = *entry.no_room_since.get_or_insert(now);
        let known = entry.unreconciled.is_empty()
            && entry
                .assigned
                .values()
                .all(|assignment| assignment.machine.is_some());
        if entry.withdrawing || !known || now - since < patience {
            return;
        }
        let n = entry.spec.task_count as usize;
        let all: BTreeSet<u32> = capacity.slots.iter().map(|slot| slot.zone).collect();
        let all: Vec<(u32, u32)> = all.into_iter().map(|z| (z, u32::MAX)).collect();
        if capacity.try_place(request, n, None, &all, true).len() == n {
            tracing::info!(%id, "no room for the rest of it in its zone: it moves");
            if let Some(entry) = self.jobs.get_mut(id) {
                entry.withdrawing = true;
            }
        }
    }

    /// Deals tasks to the parts of the chosen machines, and tells each shard
    /// how many of them a zone may take there.
    pub(super) fn spread_over_shards(
        &mut self,
        id: &JobId,
        request: &PlacementRequest,
        chosen: &[usize],
        free: &[u32],
        capacity: &mut FreeCapacity,
    ) -> Assignment {
        let Some(entry) = self.jobs.get_mut(id) else {
            return Vec::new();
        };
        let mut out: BTreeMap<Arc<str>, Vec<u32>> = BTreeMap::new();
        entry.zone_allowances.clear();
        for (&slot, &index) in chosen.iter().zip(free) {
            let shard = self.names.name(capacity.slots[slot].shard).clone();
            let zone = self.names.name(capacity.slots[slot].zone);
            let told = entry.zone_allowances.entry(shard.clone()).or_default();
            match told.iter_mut().find(|(z, _)| z == zone) {
                Some((_, n)) => *n += 1,
                None => told.push((zone.clone(), 1)),
            }
            capacity.take(slot, &request.ask);
            out.entry(shard).or_default().push(index);
        }
        out.into_iter().collect()
    }
}

/// The shard that takes the most of `n` tasks; of several, the one with more
/// machines that have the image of a job latency-sensitive, then the roomiest.
fn roomiest_for(
    request: &PlacementRequest,
    n: usize,
    capacity: &mut FreeCapacity,
    room: &[(u32, u32)],
    one_zone: bool,
    names: &NameInterner,
) -> Option<(u32, Vec<usize>)> {
    let mut best: Option<(usize, usize, f64, u32, Vec<usize>)> = None;
    let mut shards = capacity.shards();
    shards.sort_by(|a, b| names.name(*a).cmp(names.name(*b)));
    for shard in shards {
        let chosen = capacity.try_place(request, n, Some(shard), room, one_zone);
        let key = (
            chosen.len(),
            capacity.with_cached_image(request, &chosen),
            capacity.total(shard),
        );
        if !chosen.is_empty() && best.as_ref().is_none_or(|b| key > (b.0, b.1, b.2)) {
            best = Some((key.0, key.1, key.2, shard, chosen));
        }
    }
    best.map(|b| (b.3, b.4))
}

pub(super) fn assign_whole(
    request: &PlacementRequest,
    free: &[u32],
    capacity: &mut FreeCapacity,
    names: &NameInterner,
) -> Assignment {
    let zones: BTreeSet<u32> = capacity.slots.iter().map(|slot| slot.zone).collect();
    let all: Vec<(u32, u32)> = zones.into_iter().map(|z| (z, u32::MAX)).collect();
    let Some((shard, chosen)) = roomiest_for(request, free.len(), capacity, &all, false, names)
    else {
        return Vec::new();
    };
    for &slot in &chosen {
        capacity.take(slot, &request.ask);
    }
    vec![(names.name(shard).clone(), free[..chosen.len()].to_vec())]
}

/// An array's tasks go one by one to the shard with the most room left.
pub(super) fn assign_array(
    request: &PlacementRequest,
    free: &[u32],
    capacity: &mut FreeCapacity,
    names: &NameInterner,
) -> Assignment {
    let mut out: BTreeMap<Arc<str>, Vec<u32>> = BTreeMap::new();
    let mut full: Vec<u32> = Vec::new();
    let mut left = free.iter();
    let mut next = left.next();
    while let Some(&index) = next {
        let Some(shard) = capacity.roomiest(&full, names) else {
            break;
        };
        match capacity.best(request, Some(shard), None) {
            Some(slot) => {
                capacity.take(slot, &request.ask);
                out.entry(names.name(shard).clone())
                    .or_default()
                    .push(index);
                next = left.next();
            }
            None => full.push(shard),
        }
    }
    out.into_iter().collect()
}
