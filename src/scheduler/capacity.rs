//! The free room of all shards while one round of dealing lasts: each open
//! machine as a few small numbers, so that choosing among a thousand costs
//! microseconds. It chooses what [`crate::scheduler::bin_packing::pick`] would;
//! `tests/placement_model.rs` compares the two.

use crate::scheduler::bin_packing;
use crate::shard::MachineStatus;
use crate::wire::{JobSpec, MachineId, Resources};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Numbers for the names of types, zones, shards and images.
#[derive(Debug, Default)]
pub struct NameInterner {
    all: HashMap<Arc<str>, u32>,
    back: Vec<Arc<str>>,
}

impl NameInterner {
    /// The number of a name, a new one if need be.
    pub fn intern(&mut self, name: &Arc<str>) -> u32 {
        if let Some(&n) = self.all.get(name) {
            return n;
        }
        let n = self.back.len() as u32;
        self.back.push(name.clone());
        self.all.insert(name.clone(), n);
        n
    }
    /// The number of a name that has one.
    pub fn lookup(&self, name: &str) -> Option<u32> {
        self.all.get(name).copied()
    }
    /// A name by its number.
    pub fn name(&self, n: u32) -> &Arc<str> {
        &self.back[n as usize]
    }
}

/// One open machine.
#[derive(Debug, Clone)]
pub struct MachineSlot {
    pub id: MachineId,
    pub shard: u32,
    pub machine_type: u32,
    pub zone: u32,
    pub spot: bool,
    pub free: Resources,
    /// What lower work would give up for the highest priority.
    pub yielding: Resources,
    /// What borrowing low work would give up for the priorities between.
    pub yielding_low: Resources,
    /// Numbers of its images, in order.
    pub images: Arc<[u32]>,
}

impl MachineSlot {
    /// The slot of a machine of `shard`.
    pub fn new(view: &MachineStatus, shard: u32, names: &mut NameInterner) -> MachineSlot {
        let mut images: Vec<u32> = view.images.iter().map(|i| names.intern(i)).collect();
        images.sort_unstable();
        MachineSlot {
            id: view.id.clone(),
            shard,
            machine_type: names.intern(&view.machine_type),
            zone: names.intern(&view.zone),
            spot: view.spot,
            free: view.free,
            yielding: view.preemptible,
            yielding_low: view.preemptible_low,
            images: images.into(),
        }
    }
}

impl MachineSlot {
    /// How many tasks of a request it has room for.
    fn count(&self, request: &PlacementRequest) -> u32 {
        let mut free = self.free;
        free.add(&self.preemptible_for(request.preempts));
        free.max_tasks(&request.ask)
    }

    /// What other work would give up for a request.
    fn preemptible_for(&self, preempts: Preempts) -> Resources {
        match preempts {
            Preempts::Nothing => Resources::default(),
            Preempts::BorrowingLowWork => self.yielding_low,
            Preempts::AllLowerWork => self.yielding,
        }
    }

    fn has_image(&self, request: &PlacementRequest) -> bool {
        request
            .image
            .is_some_and(|image| self.images.binary_search(&image).is_ok())
    }
}

/// How many more tasks of a job a zone may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneAllowance {
    /// The interned name of the zone.
    pub zone: u32,
    /// Tasks that it may still take.
    pub tasks: u32,
}

impl ZoneAllowance {
    /// A zone that may take any number of tasks.
    pub fn unlimited(zone: u32) -> ZoneAllowance {
        ZoneAllowance {
            zone,
            tasks: u32::MAX,
        }
    }
}

/// What a zone has room for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ZoneCount {
    /// Tasks that fit.
    pub tasks: u32,
    /// Of these, on machines that have their image.
    pub with_image: u32,
}

/// What is stopped to make room for a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Preempts {
    /// Nothing: it waits until there is room.
    Nothing,
    /// Low arrays of teams that use more than they are guaranteed.
    BorrowingLowWork,
    /// Every array of a lower priority.
    AllLowerWork,
}

/// A job's wishes as far as they matter to where it goes.
#[derive(Debug, Clone)]
pub struct PlacementRequest {
    pub ask: Resources,
    machine_types: Option<Vec<u32>>,
    zone: Option<u32>,
    spot: bool,
    image: Option<u32>,
    avoid: Vec<MachineId>,
    /// Its class has an aim for its start.
    pub latency_sensitive: bool,
    /// Lower work makes room for it.
    pub preempts: Preempts,
    /// It may take what is kept free for services.
    pub uses_reserve: bool,
}

impl PlacementRequest {
    /// The wishes of a job.
    pub fn new(
        spec: &JobSpec,
        names: &NameInterner,
        avoid: Vec<MachineId>,
        latency_sensitive: bool,
        preempts: Preempts,
    ) -> PlacementRequest {
        // A name that no machine has gets a number that none has.
        let number = |n: &Arc<str>| names.lookup(n).unwrap_or(u32::MAX);
        PlacementRequest {
            ask: spec.task_resources(),
            machine_types: spec.types.as_ref().map(|t| t.iter().map(number).collect()),
            zone: spec.zone.as_ref().map(number),
            spot: spec.spot,
            image: names.lookup(&spec.image),
            avoid,
            latency_sensitive,
            preempts,
            uses_reserve: preempts == Preempts::AllLowerWork,
        }
    }

    /// The same wishes, also for what is kept free for services.
    pub fn with_reserve(self) -> PlacementRequest {
        PlacementRequest {
            uses_reserve: true,
            ..self
        }
    }

    /// Whether its job may run on a machine, and has not failed there.
    fn allows(&self, slot: &MachineSlot) -> bool {
        (self.spot || !slot.spot)
            && self.zone.is_none_or(|zone| zone == slot.zone)
            && self
                .machine_types
                .as_ref()
                .is_none_or(|machine_types| machine_types.contains(&slot.machine_type))
            && !self.avoid.contains(&slot.id)
    }

    /// Whether what doesn't fit for `other` can't fit for this one either.
    fn is_at_least_as_demanding_as(&self, other: &PlacementRequest) -> bool {
        self.machine_types == other.machine_types
            && self.zone == other.zone
            && (!self.spot || other.spot)
            && self.preempts <= other.preempts
            && (!self.uses_reserve || other.uses_reserve)
            && other.avoid.is_empty()
            && other.ask.cpus <= self.ask.cpus
            && other.ask.gpus <= self.ask.gpus
            && other.ask.mem_gb <= self.ask.mem_gb
    }
}

/// What decides between machines, the lowest first: cold for one latency-sensitive,
/// others driven out, dearer than need be, what is left over, cold.
type PlacementRank = (bool, bool, bool, i64, bool);

/// What a shard's machines have free.
#[derive(Debug)]
struct ShardCapacity {
    shard: u32,
    free: f64,
    /// Of that, on ordinary machines.
    ordinary: f64,
}

impl ShardCapacity {
    fn count(&mut self, spot: bool, cpus: f64) {
        self.free += cpus;
        if !spot {
            self.ordinary += cpus;
        }
    }
}

/// The room of all shards.
#[derive(Debug, Default)]
pub struct FreeCapacity {
    pub slots: Vec<MachineSlot>,
    shards: Vec<ShardCapacity>,
    /// CPUs on each shard's ordinary machines that only work which makes others
    /// give way may take: what it would else drive out loses its progress.
    reserve: f64,
    /// Wishes that nothing had room for in this round: room only shrinks.
    known_not_to_fit: Vec<PlacementRequest>,
}

impl FreeCapacity {
    /// FreeCapacity of these machines, of which `reserve` CPUs on ordinary ones are
    /// kept for the highest priority.
    pub fn new(slots: Vec<MachineSlot>, reserve: f64) -> FreeCapacity {
        let mut shards: Vec<ShardCapacity> = Vec::new();
        for slot in &slots {
            if !shards.iter().any(|capacity| capacity.shard == slot.shard) {
                shards.push(ShardCapacity {
                    shard: slot.shard,
                    free: 0.0,
                    ordinary: 0.0,
                });
            }
            if let Some(capacity) = shards
                .iter_mut()
                .find(|capacity| capacity.shard == slot.shard)
            {
                capacity.count(slot.spot, slot.free.cpus.max(0.0));
            }
        }
        let reserve = reserve / shards.len().max(1) as f64;
        FreeCapacity {
            slots,
            shards,
            reserve,
            known_not_to_fit: Vec::new(),
        }
    }

    /// The shards whose ordinary machines this request must leave alone.
    fn shards_at_reserve(&self, request: &PlacementRequest) -> Vec<u32> {
        if request.uses_reserve || self.reserve <= 0.0 {
            return Vec::new();
        }
        let at_reserve = self
            .shards
            .iter()
            .filter(|capacity| capacity.ordinary - request.ask.cpus < self.reserve);
        at_reserve.map(|capacity| capacity.shard).collect()
    }

    /// The machine that the paper's cost chooses, of a shard or of all, among
    /// the zones that may take more.
    pub fn best(
        &self,
        request: &PlacementRequest,
        shard: Option<u32>,
        zones: Option<&[ZoneAllowance]>,
    ) -> Option<usize> {
        let mut best: Option<(PlacementRank, usize)> = None;
        let at_reserve = self.shards_at_reserve(request);
        for (i, slot) in self.slots.iter().enumerate() {
            if shard.is_some_and(|capacity| capacity != slot.shard)
                || zones.is_some_and(|z| {
                    !z.iter()
                        .any(|allowance| allowance.zone == slot.zone && allowance.tasks > 0)
                })
                || !request.allows(slot)
                || !slot.spot && at_reserve.contains(&slot.shard)
            {
                continue;
            }
            let mut free = slot.free;
            let preempts = !free.fits(&request.ask);
            if preempts {
                free.add(&slot.preemptible_for(request.preempts));
            }
            if !free.fits(&request.ask) {
                continue;
            }
            let cold = request
                .image
                .is_none_or(|i| slot.images.binary_search(&i).is_err());
            let cost = bin_packing::cost_steps(bin_packing::cost(&free, &request.ask));
            let key = (
                request.latency_sensitive && cold,
                preempts,
                request.spot && !slot.spot,
                cost,
                cold,
            );
            let better = best
                .as_ref()
                .is_none_or(|(k, at)| key < *k || key == *k && slot.id < self.slots[*at].id);
            if better {
                best = Some((key, i));
            }
        }
        best.map(|b| b.1)
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
            let tasks = slot.count(request);
            let zone = zones.entry(slot.zone).or_default();
            zone.tasks = zone.tasks.saturating_add(tasks);
            if slot.has_image(request) {
                zone.with_image = zone.with_image.saturating_add(tasks);
            }
        }
        zones
    }

    /// Takes the room of up to `count` tasks in these zones, machine by machine.
    pub fn take_in_zones(
        &mut self,
        request: &PlacementRequest,
        zones: &[ZoneAllowance],
        mut count: u32,
    ) {
        for at in 0..self.slots.len() {
            let slot = &self.slots[at];
            if !zones.iter().any(|allowance| allowance.zone == slot.zone) || !request.allows(slot) {
                continue;
            }
            let tasks = slot.count(request).min(count);
            count -= tasks;
            let (ask, taken) = (request.ask, f64::from(tasks));
            self.take(
                at,
                &Resources {
                    cpus: ask.cpus * taken,
                    gpus: ask.gpus * taken,
                    mem_gb: ask.mem_gb * taken,
                },
            );
        }
    }

    /// Whether nothing can have room for a request, as far as that is known.
    pub fn known_not_to_fit(&self, request: &PlacementRequest) -> bool {
        self.known_not_to_fit
            .iter()
            .any(|w| request.is_at_least_as_demanding_as(w))
    }

    /// Nothing anywhere had room for one task of this request.
    pub fn record_no_fit(&mut self, request: &PlacementRequest) {
        if request.avoid.is_empty() {
            self.known_not_to_fit.push(request.clone());
        }
    }

    /// Takes a task's room.
    pub fn take(&mut self, slot: usize, ask: &Resources) {
        self.change(slot, |free| free.subtract(ask));
    }

    fn give_back(&mut self, slot: usize, ask: &Resources) {
        self.change(slot, |free| free.add(ask));
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
            capacity.count(slot.spot, more);
        }
    }

    /// The shards that have open machines.
    pub fn shards(&self) -> Vec<u32> {
        self.shards.iter().map(|capacity| capacity.shard).collect()
    }

    /// The zones that have open machines, by number.
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
            .map_or(0.0, |capacity| capacity.free)
    }

    /// The shard with the most room, of those not in `full`; the first by name
    /// of several.
    pub fn roomiest(&self, full: &[u32], names: &NameInterner) -> Option<u32> {
        let open = self
            .shards
            .iter()
            .filter(|capacity| !full.contains(&capacity.shard));
        open.max_by(|a, b| {
            a.free
                .total_cmp(&b.free)
                .then(names.name(b.shard).cmp(names.name(a.shard)))
        })
        .map(|capacity| capacity.shard)
    }

    /// As many of `n` tasks as fit one after another under the zones' bounds;
    /// nothing is taken.
    pub fn try_place(
        &mut self,
        request: &PlacementRequest,
        n: usize,
        shard: Option<u32>,
        room: &[ZoneAllowance],
        one_zone: bool,
    ) -> Vec<usize> {
        if !one_zone {
            return self.attempt(request, n, shard, room.to_vec());
        }
        let tries: Vec<Vec<usize>> = room
            .iter()
            .map(|z| self.attempt(request, n, shard, vec![*z]))
            .collect();
        tries.into_iter().max_by_key(Vec::len).unwrap_or_default()
    }

    fn attempt(
        &mut self,
        request: &PlacementRequest,
        n: usize,
        shard: Option<u32>,
        mut room: Vec<ZoneAllowance>,
    ) -> Vec<usize> {
        let mut chosen = Vec::new();
        for _ in 0..n {
            let Some(slot) = self.best(request, shard, Some(&room)) else {
                break;
            };
            self.take(slot, &request.ask);
            let zone = self.slots[slot].zone;
            if let Some(left) = room.iter_mut().find(|allowance| allowance.zone == zone) {
                left.tasks -= 1;
            }
            chosen.push(slot);
        }
        for &slot in &chosen {
            self.give_back(slot, &request.ask);
        }
        chosen
    }

    /// How many of the chosen machines have the image of a job latency-sensitive, and
    /// room for it without driving anybody out.
    pub fn with_cached_image(&self, request: &PlacementRequest, chosen: &[usize]) -> usize {
        match request.image {
            Some(i) if request.latency_sensitive => {
                let ready = |slot: &MachineSlot| {
                    slot.images.binary_search(&i).is_ok() && slot.free.fits(&request.ask)
                };
                chosen
                    .iter()
                    .filter(|&&slot| ready(&self.slots[slot]))
                    .count()
            }
            _ => 0,
        }
    }
}
