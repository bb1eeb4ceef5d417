//! The free capacity of all shards during one round of assignment. Each schedulable machine
//! is represented by a few small numbers, so that selecting one of a thousand takes
//! microseconds. The selection is the same as that of
//! [`crate::scheduler::bin_packing::pick`]; `tests/placement_model.rs` compares the two.

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

/// The free CPUs of a shard's machines.
#[derive(Debug)]
struct ShardCapacity {
    shard: u32,
    free_cpus: f64,
    /// The free CPUs of the shard's on-demand machines.
    on_demand_cpus: f64,
}

impl ShardCapacity {
    /// Adds CPUs that become free; a negative number stands for allocated CPUs.
    fn add(&mut self, spot: bool, cpus: f64) {
        self.free_cpus += cpus;
        if !spot {
            self.on_demand_cpus += cpus;
        }
    }
}

/// The criteria for selecting a machine, the most important first; the lowest rank wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PlacementRank {
    /// The job is latency-sensitive, and its image is not cached there.
    slow_start: bool,
    /// Other tasks would be preempted.
    preempts: bool,
    /// The job allows spot machines, and this is an on-demand machine.
    on_demand_for_spot_job: bool,
    /// The resources that would remain free, as returned by
    /// [`bin_packing::quantized_cost`].
    quantized_cost: i64,
    /// The image is not cached there.
    cold_image: bool,
}

impl PlacementRank {
    /// The rank of a machine; `None` if the request does not fit.
    fn of(slot: &MachineSlot, request: &PlacementRequest) -> Option<PlacementRank> {
        let mut free = slot.free;
        let preempts = !free.fits(&request.task_resources);
        if preempts {
            free.add(&slot.preemptible_for(request.preemption_scope));
        }
        if !free.fits(&request.task_resources) {
            return None;
        }
        let cold_image = !slot.has_image(request);
        let cost = bin_packing::fragmentation_cost(&free, &request.task_resources);
        Some(PlacementRank {
            slow_start: request.latency_sensitive && cold_image,
            preempts,
            on_demand_for_spot_job: request.spot && !slot.spot,
            quantized_cost: bin_packing::quantized_cost(cost),
            cold_image,
        })
    }
}

/// Whether a zone may take another task.
fn has_allowance(zones: &[ZoneAllowance], zone: u32) -> bool {
    zones
        .iter()
        .any(|allowance| allowance.zone == zone && allowance.tasks > 0)
}

/// The free capacity of all shards.
#[derive(Debug, Default)]
pub struct FreeCapacity {
    /// The machines that take new tasks.
    pub slots: Vec<MachineSlot>,
    shards: Vec<ShardCapacity>,
    /// CPUs on each shard's on-demand machines that only requests with access to the
    /// reserve may use: without free capacity, such requests preempt tasks, which lose their
    /// progress.
    reserved_cpus: f64,
    /// Requests for which no machine had capacity in this round. They stay valid, since
    /// free capacity only shrinks during a round.
    known_not_to_fit: Vec<PlacementRequest>,
}

impl FreeCapacity {
    /// The free capacity of these machines. Of the CPUs on on-demand machines,
    /// `reserved_cpus` are kept for requests with access to the reserve.
    pub fn new(slots: Vec<MachineSlot>, reserved_cpus: f64) -> FreeCapacity {
        let mut shards: Vec<ShardCapacity> = Vec::new();
        for slot in &slots {
            if !shards.iter().any(|capacity| capacity.shard == slot.shard) {
                shards.push(ShardCapacity {
                    shard: slot.shard,
                    free_cpus: 0.0,
                    on_demand_cpus: 0.0,
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

    /// The shards on whose on-demand machines this request may not be placed, as it would
    /// use reserved CPUs.
    fn shards_at_reserve(&self, request: &PlacementRequest) -> Vec<u32> {
        if request.may_use_reserve || self.reserved_cpus <= 0.0 {
            return Vec::new();
        }
        let at_reserve = self.shards.iter().filter(|capacity| {
            capacity.on_demand_cpus - request.task_resources.cpus < self.reserved_cpus
        });
        at_reserve.map(|capacity| capacity.shard).collect()
    }

    /// Returns the index of the machine with the lowest rank; of several, the first by name
    /// (HIOBS section 3.2 and Algorithm 1, with the exceptions described at
    /// [`bin_packing::pick`]). Only machines of `shard` are considered, or of all shards if
    /// that is `None`, and only in those of `zones` whose allowance is not used up, or in all
    /// zones if that is `None`.
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

    /// How many tasks fit in each zone, and how many of these on machines with their image.
    /// Each machine is looked at once, regardless of the number of tasks.
    pub fn count_by_zone(&self, request: &PlacementRequest) -> BTreeMap<u32, ZoneCount> {
        let at_reserve = self.shards_at_reserve(request);
        let mut zones: BTreeMap<u32, ZoneCount> = BTreeMap::new();
        let is_eligible = |slot: &&MachineSlot| {
            request.allows(slot) && (slot.spot || !at_reserve.contains(&slot.shard))
        };
        for slot in self.slots.iter().filter(is_eligible) {
            let tasks = slot.max_tasks(request);
            let zone = zones.entry(slot.zone).or_default();
            zone.tasks = zone.tasks.saturating_add(tasks);
            if slot.has_image(request) {
                zone.with_image = zone.with_image.saturating_add(tasks);
            }
        }
        zones
    }

    /// Allocates capacity for up to `count` tasks in these zones, machine by machine,
    /// regardless of the number of tasks that the zones' allowances permit.
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
                    report_bytes: per_task.report_bytes * taken,
                },
            );
        }
    }

    /// Whether no machine can fit a request, judging by the requests that did not fit in
    /// this round.
    pub fn known_not_to_fit(&self, request: &PlacementRequest) -> bool {
        self.known_not_to_fit
            .iter()
            .any(|known| request.is_at_least_as_demanding_as(known))
    }

    /// Records that no machine had capacity for one task of this request.
    pub fn record_no_fit(&mut self, request: &PlacementRequest) {
        if request.avoid.is_empty() {
            self.known_not_to_fit.push(request.clone());
        }
    }

    /// Allocates resources of a machine.
    pub fn allocate(&mut self, slot: usize, resources: &Resources) {
        self.change(slot, |free| free.subtract(resources));
    }

    /// Releases resources that were allocated.
    fn release(&mut self, slot: usize, resources: &Resources) {
        self.change(slot, |free| free.add(resources));
    }

    /// Changes the free resources of a machine, and updates the total of its shard.
    fn change(&mut self, slot: usize, change: impl Fn(&mut Resources)) {
        let slot = &mut self.slots[slot];
        let before = slot.free.cpus.max(0.0);
        change(&mut slot.free);
        let freed_cpus = slot.free.cpus.max(0.0) - before;
        if let Some(capacity) = self
            .shards
            .iter_mut()
            .find(|capacity| capacity.shard == slot.shard)
        {
            capacity.add(slot.spot, freed_cpus);
        }
    }

    /// The shards that have schedulable machines.
    pub fn shards(&self) -> Vec<u32> {
        self.shards.iter().map(|capacity| capacity.shard).collect()
    }

    /// The zones that have schedulable machines, in ascending order of their numbers.
    pub fn zones(&self) -> BTreeSet<u32> {
        self.slots.iter().map(|slot| slot.zone).collect()
    }

    /// The zones that have schedulable machines, each with an unlimited allowance.
    pub fn unlimited_zones(&self) -> Vec<ZoneAllowance> {
        self.zones()
            .into_iter()
            .map(ZoneAllowance::unlimited)
            .collect()
    }

    /// The free CPUs of a shard's machines.
    pub fn free_cpus(&self, shard: u32) -> f64 {
        self.shards
            .iter()
            .find(|capacity| capacity.shard == shard)
            .map_or(0.0, |capacity| capacity.free_cpus)
    }

    /// The shard with the most free CPUs, of those not in `full`; of several, the first by
    /// name.
    pub fn shard_with_most_free_cpus(&self, full: &[u32], names: &NameInterner) -> Option<u32> {
        let candidates = self
            .shards
            .iter()
            .filter(|capacity| !full.contains(&capacity.shard));
        candidates
            .max_by(|a, b| {
                a.free_cpus
                    .total_cmp(&b.free_cpus)
                    .then(names.name(b.shard).cmp(names.name(a.shard)))
            })
            .map(|capacity| capacity.shard)
    }

    /// Selects machines for as many of `count` tasks as fit one after another within the
    /// zones' allowances; with `one_zone`, all in the zone that fits the most. Nothing
    /// stays allocated.
    pub fn try_place(
        &mut self,
        request: &PlacementRequest,
        count: usize,
        shard: Option<u32>,
        zones: &[ZoneAllowance],
        one_zone: bool,
    ) -> Vec<usize> {
        if !one_zone {
            return self.try_place_in_zones(request, count, shard, zones.to_vec());
        }
        zones
            .iter()
            .map(|zone| self.try_place_in_zones(request, count, shard, vec![*zone]))
            .max_by_key(Vec::len)
            .unwrap_or_default()
    }

    /// Selects machines as [`FreeCapacity::try_place`] does without `one_zone`.
    fn try_place_in_zones(
        &mut self,
        request: &PlacementRequest,
        count: usize,
        shard: Option<u32>,
        mut zones: Vec<ZoneAllowance>,
    ) -> Vec<usize> {
        let mut selected = Vec::new();
        for _ in 0..count {
            let Some(slot) = self.best_slot(request, shard, Some(&zones)) else {
                break;
            };
            self.allocate(slot, &request.task_resources);
            let zone = self.slots[slot].zone;
            if let Some(allowance) = zones.iter_mut().find(|allowance| allowance.zone == zone) {
                allowance.tasks -= 1;
            }
            selected.push(slot);
        }
        for &slot in &selected {
            self.release(slot, &request.task_resources);
        }
        selected
    }

    /// How many of the selected machines have the image of a latency-sensitive job and fit
    /// a task of it without preemption; 0 for other jobs.
    pub fn count_with_cached_image(&self, request: &PlacementRequest, selected: &[usize]) -> usize {
        if !request.latency_sensitive {
            return 0;
        }
        let is_ready =
            |slot: &MachineSlot| slot.has_image(request) && slot.free.fits(&request.task_resources);
        selected
            .iter()
            .filter(|&&slot| is_ready(&self.slots[slot]))
            .count()
    }
}
