//! The free room of all shards during one round of assignment: each open machine as a
//! few small numbers, so that choosing among a thousand costs microseconds. It chooses
//! what [`crate::scheduler::bin_packing::pick`] would; `tests/placement_model.rs`
//! compares the two.

mod machine_slot;
mod names;
mod placement_request;
mod zones;

pub use machine_slot::MachineSlot;
pub use names::NameInterner;
pub use placement_request::{PlacementRequest, PreemptionScope};
pub use zones::{ZoneAllowance, ZoneCount};

use crate::scheduler::bin_packing;
use crate::wire::Resources;
use std::collections::{BTreeMap, BTreeSet};

/// What a shard's machines have free.
#[derive(Debug)]
struct ShardCapacity {
    shard: u32,
    free_cpus: f64,
    /// Of these, on ordinary machines.
    ordinary_cpus: f64,
}

impl ShardCapacity {
    /// Counts CPUs that come free, or with a negative number are taken.
    fn add(&mut self, spot: bool, cpus: f64) {
        self.free_cpus += cpus;
        if !spot {
            self.ordinary_cpus += cpus;
        }
    }
}

/// What decides between machines, the lowest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PlacementRank {
    /// The job is latency-sensitive, and its image isn't cached there.
    slow_start: bool,
    /// Other tasks would be preempted.
    preempts: bool,
    /// The job may run on spot machines, and this is an ordinary one.
    ordinary_for_spot: bool,
    /// What is left over, in steps of [`bin_packing::quantized_cost`].
    quantized_cost: i64,
    /// The image isn't cached there.
    cold: bool,
}

impl PlacementRank {
    /// The rank of a machine; none if it lacks the room.
    fn of(slot: &MachineSlot, request: &PlacementRequest) -> Option<PlacementRank> {
        let mut free = slot.free;
        let preempts = !free.fits(&request.task_resources);
        if preempts {
            free.add(&slot.preemptible_for(request.preemption_scope));
        }
        if !free.fits(&request.task_resources) {
            return None;
        }
        let cold = !slot.has_image(request);
        let cost = bin_packing::fragmentation_cost(&free, &request.task_resources);
        Some(PlacementRank {
            slow_start: request.latency_sensitive && cold,
            preempts,
            ordinary_for_spot: request.spot && !slot.spot,
            quantized_cost: bin_packing::quantized_cost(cost),
            cold,
        })
    }
}

fn has_allowance(zones: &[ZoneAllowance], zone: u32) -> bool {
    zones
        .iter()
        .any(|allowance| allowance.zone == zone && allowance.tasks > 0)
}

/// The free room of all shards.
#[derive(Debug, Default)]
pub struct FreeCapacity {
    /// The machines that take new tasks.
    pub slots: Vec<MachineSlot>,
    shards: Vec<ShardCapacity>,
    /// CPUs on each shard's ordinary machines that only work which may preempt takes:
    /// tasks that it would otherwise preempt lose their progress.
    reserved_cpus: f64,
    /// Requests that nothing had room for in this round: room only shrinks.
    known_not_to_fit: Vec<PlacementRequest>,
}

impl FreeCapacity {
    /// The free room of these machines, of which `reserved_cpus` on ordinary ones are
    /// kept for the highest priority.
    pub fn new(slots: Vec<MachineSlot>, reserved_cpus: f64) -> FreeCapacity {
        let mut shards: Vec<ShardCapacity> = Vec::new();
        for slot in &slots {
            if !shards.iter().any(|capacity| capacity.shard == slot.shard) {
                shards.push(ShardCapacity {
                    shard: slot.shard,
                    free_cpus: 0.0,
                    ordinary_cpus: 0.0,
                });
            }
            if let Some(capacity) = shards
                .iter_mut()
                .find(|capacity| capacity.shard == slot.shard)
            {
                capacity.add(slot.spot, slot.free.cpus.max(0.0));
            }
        }
        let reserved_cpus = reserved_cpus / shards.len().max(1) as f64;
        FreeCapacity {
            slots,
            shards,
            reserved_cpus,
            known_not_to_fit: Vec::new(),
        }
    }

    /// The shards whose ordinary machines this request must leave alone.
    fn shards_at_reserve(&self, request: &PlacementRequest) -> Vec<u32> {
        if request.uses_reserve || self.reserved_cpus <= 0.0 {
            return Vec::new();
        }
        let at_reserve = self.shards.iter().filter(|capacity| {
            capacity.ordinary_cpus - request.task_resources.cpus < self.reserved_cpus
        });
        at_reserve.map(|capacity| capacity.shard).collect()
    }

    /// The machine with the lowest cost, of a shard or of all, among the zones that may
    /// take more; of several the first by name (HIOBS section 3.2 and Algorithm 1, with
    /// the exceptions that [`bin_packing::pick`] names).
    pub fn best_slot(
        &self,
        request: &PlacementRequest,
        shard: Option<u32>,
        zones: Option<&[ZoneAllowance]>,
    ) -> Option<usize> {
        let at_reserve = self.shards_at_reserve(request);
        let mut best: Option<(PlacementRank, usize)> = None;
        for (index, slot) in self.slots.iter().enumerate() {
            let excluded = shard.is_some_and(|shard| shard != slot.shard)
                || zones.is_some_and(|zones| !has_allowance(zones, slot.zone))
                || !request.allows(slot)
                || !slot.spot && at_reserve.contains(&slot.shard);
            if excluded {
                continue;
            }
            let Some(rank) = PlacementRank::of(slot, request) else {
                continue;
            };
            let better = best.as_ref().is_none_or(|(best_rank, best_index)| {
                rank < *best_rank || rank == *best_rank && slot.id < self.slots[*best_index].id
            });
            if better {
                best = Some((rank, index));
            }
        }
        best.map(|(_, index)| index)
    }

    /// How many tasks each zone has room for, and on how many of these their image
    /// is: one look at each machine, however many tasks there are.
    pub fn count_by_zone(&self, request: &PlacementRequest) -> BTreeMap<u32, ZoneCount> {
        let at_reserve = self.shards_at_reserve(request);
        let mut zones: BTreeMap<u32, ZoneCount> = BTreeMap::new();
        let open = |slot: &&MachineSlot| {
            request.allows(slot) && (slot.spot || !at_reserve.contains(&slot.shard))
        };
        for slot in self.slots.iter().filter(open) {
            let tasks = slot.max_tasks(request);
            let zone = zones.entry(slot.zone).or_default();
            zone.tasks = zone.tasks.saturating_add(tasks);
            if slot.has_image(request) {
                zone.with_image = zone.with_image.saturating_add(tasks);
            }
        }
        zones
    }

    /// Takes the room of up to `count` tasks in these zones, machine by machine.
    pub fn allocate_in_zones(
        &mut self,
        request: &PlacementRequest,
        zones: &[ZoneAllowance],
        mut count: u32,
    ) {
        for index in 0..self.slots.len() {
            let slot = &self.slots[index];
            if !zones.iter().any(|allowance| allowance.zone == slot.zone) || !request.allows(slot) {
                continue;
            }
            let tasks = slot.max_tasks(request).min(count);
            count -= tasks;
            let (per_task, taken) = (request.task_resources, f64::from(tasks));
            self.allocate(
                index,
                &Resources {
                    cpus: per_task.cpus * taken,
                    gpus: per_task.gpus * taken,
                    mem_gb: per_task.mem_gb * taken,
                },
            );
        }
    }

    /// Whether nothing can have room for a request, as far as that is known.
    pub fn known_not_to_fit(&self, request: &PlacementRequest) -> bool {
        self.known_not_to_fit
            .iter()
            .any(|known| request.is_at_least_as_demanding_as(known))
    }

    /// Records that nothing anywhere had room for one task of this request.
    pub fn record_no_fit(&mut self, request: &PlacementRequest) {
        if request.avoid.is_empty() {
            self.known_not_to_fit.push(request.clone());
        }
    }

    /// Takes a task's room.
    pub fn allocate(&mut self, slot: usize, resources: &Resources) {
        self.change(slot, |free| free.subtract(resources));
    }

    fn release(&mut self, slot: usize, resources: &Resources) {
        self.change(slot, |free| free.add(resources));
    }

    fn change(&mut self, slot: usize, change: impl Fn(&mut Resources)) {
        let slot = &mut self.slots[slot];
        let before = slot.free.cpus.max(0.0);
        change(&mut slot.free);
        let more = slot.free.cpus.max(0.0) - before;
        if let Some(capacity) = self
            .shards
            .iter_mut()
            .find(|capacity| capacity.shard == slot.shard)
        {
            capacity.add(slot.spot, more);
        }
    }

    /// The shards that have open machines.
    pub fn shards(&self) -> Vec<u32> {
        self.shards.iter().map(|capacity| capacity.shard).collect()
    }

    /// The zones that have open machines, in the order of their numbers.
    pub fn zones(&self) -> BTreeSet<u32> {
        self.slots.iter().map(|slot| slot.zone).collect()
    }

    /// The same, each allowed to take any number of tasks.
    pub fn unlimited_zones(&self) -> Vec<ZoneAllowance> {
        self.zones()
            .into_iter()
            .map(ZoneAllowance::unlimited)
            .collect()
    }

    /// CPUs that are free on a shard's machines.
    pub fn free_cpus(&self, shard: u32) -> f64 {
        self.shards
            .iter()
            .find(|capacity| capacity.shard == shard)
            .map_or(0.0, |capacity| capacity.free_cpus)
    }

    /// The shard with the most room, of those not in `full`; the first by name
    /// of several.
    pub fn shard_with_most_free_cpus(&self, full: &[u32], names: &NameInterner) -> Option<u32> {
        let open = self
            .shards
            .iter()
            .filter(|capacity| !full.contains(&capacity.shard));
        open.max_by(|a, b| {
            a.free_cpus
                .total_cmp(&b.free_cpus)
                .then(names.name(b.shard).cmp(names.name(a.shard)))
        })
        .map(|capacity| capacity.shard)
    }

    /// Machines for as many of `count` tasks as fit one after another within the zones'
    /// allowances, with `one_zone` all in the zone that takes the most. Nothing is
    /// taken.
    pub fn try_place(
        &mut self,
        request: &PlacementRequest,
        count: usize,
        shard: Option<u32>,
        zones: &[ZoneAllowance],
        one_zone: bool,
    ) -> Vec<usize> {
        if !one_zone {
            return self.try_zones(request, count, shard, zones.to_vec());
        }
        zones
            .iter()
            .map(|zone| self.try_zones(request, count, shard, vec![*zone]))
            .max_by_key(Vec::len)
            .unwrap_or_default()
    }

    fn try_zones(
        &mut self,
        request: &PlacementRequest,
        count: usize,
        shard: Option<u32>,
        mut zones: Vec<ZoneAllowance>,
    ) -> Vec<usize> {
        let mut chosen = Vec::new();
        for _ in 0..count {
            let Some(slot) = self.best_slot(request, shard, Some(&zones)) else {
                break;
            };
            self.allocate(slot, &request.task_resources);
            let zone = self.slots[slot].zone;
            if let Some(allowance) = zones.iter_mut().find(|allowance| allowance.zone == zone) {
                allowance.tasks -= 1;
            }
            chosen.push(slot);
        }
        for &slot in &chosen {
            self.release(slot, &request.task_resources);
        }
        chosen
    }

    /// How many of the chosen machines have the image of a latency-sensitive job, and
    /// room for it without preemption; none for other jobs.
    pub fn count_with_cached_image(&self, request: &PlacementRequest, chosen: &[usize]) -> usize {
        if !request.latency_sensitive {
            return 0;
        }
        let ready =
            |slot: &MachineSlot| slot.has_image(request) && slot.free.fits(&request.task_resources);
        chosen
            .iter()
            .filter(|&&slot| ready(&self.slots[slot]))
            .count()
    }
}
