//! The free room of all parts while one round of dealing lasts: each open
//! machine as a few small numbers, so that choosing among a thousand costs
//! microseconds. It chooses what [`crate::place::pick`] would;
//! `tests/placement_model.rs` compares the two.

use crate::fleet::MachineView;
use crate::place;
use crate::wire::{JobSpec, MachineId, Res};
use std::collections::HashMap;
use std::sync::Arc;

/// Numbers for the names of types, zones, parts and images.
#[derive(Debug, Default)]
pub struct Names {
    all: HashMap<Arc<str>, u32>,
    back: Vec<Arc<str>>,
}

impl Names {
    /// The number of a name, a new one if need be.
    pub fn number(&mut self, name: &Arc<str>) -> u32 {
        if let Some(&n) = self.all.get(name) {
            return n;
        }
        let n = self.back.len() as u32;
        self.back.push(name.clone());
        self.all.insert(name.clone(), n);
        n
    }
    /// The number of a name that has one.
    pub fn known(&self, name: &str) -> Option<u32> {
        self.all.get(name).copied()
    }
    /// A name by its number.
    pub fn name(&self, n: u32) -> &Arc<str> {
        &self.back[n as usize]
    }
}

/// One open machine.
#[derive(Debug, Clone)]
pub struct Slot {
    pub id: MachineId,
    pub part: u32,
    pub kind: u32,
    pub zone: u32,
    pub spot: bool,
    pub free: Res,
    /// What lower work would give up for the highest rank.
    pub yielding: Res,
    /// Numbers of its images, in order.
    pub images: Arc<[u32]>,
}

impl Slot {
    /// The slot of a machine of `part`.
    pub fn new(view: &MachineView, part: u32, names: &mut Names) -> Slot {
        let mut images: Vec<u32> = view.images.iter().map(|i| names.number(i)).collect();
        images.sort_unstable();
        Slot {
            id: view.id.clone(),
            part,
            kind: names.number(&view.kind),
            zone: names.number(&view.zone),
            spot: view.spot,
            free: view.free,
            yielding: view.yielding,
            images: images.into(),
        }
    }
}

/// A job's wishes as far as they matter to where it goes.
#[derive(Debug, Clone)]
pub struct Wish {
    pub ask: Res,
    kinds: Option<Vec<u32>>,
    zone: Option<u32>,
    spot: bool,
    image: Option<u32>,
    avoid: Vec<MachineId>,
    /// Its class has an aim for its start.
    pub quick: bool,
    /// Lower work makes room for it.
    pub preempts: bool,
}

impl Wish {
    /// The wishes of a job.
    pub fn new(spec: &JobSpec, names: &Names, avoid: Vec<MachineId>, quick: bool, preempts: bool) -> Wish {
        // A name that no machine has gets a number that none has.
        let number = |n: &Arc<str>| names.known(n).unwrap_or(u32::MAX);
        Wish {
            ask: spec.ask(),
            kinds: spec.types.as_ref().map(|t| t.iter().map(number).collect()),
            zone: spec.zone.as_ref().map(number),
            spot: spec.spot,
            image: names.known(&spec.image),
            avoid,
            quick,
            preempts,
        }
    }

    /// Whether what doesn't fit for `other` can't fit for this one either.
    fn harder(&self, other: &Wish) -> bool {
        self.kinds == other.kinds
            && self.zone == other.zone
            && (!self.spot || other.spot)
            && (!self.preempts || other.preempts)
            && other.avoid.is_empty()
            && other.ask.cpus <= self.ask.cpus
            && other.ask.gpus <= self.ask.gpus
            && other.ask.mem <= self.ask.mem
    }
}

/// The room of all parts.
#[derive(Debug, Default)]
pub struct Rooms {
    pub slots: Vec<Slot>,
    /// Part and what its machines have free.
    parts: Vec<(u32, f64)>,
    /// Wishes that nothing had room for in this round: room only shrinks.
    hopeless: Vec<Wish>,
}

impl Rooms {
    /// Rooms of these machines.
    pub fn new(slots: Vec<Slot>) -> Rooms {
        let mut parts: Vec<(u32, f64)> = Vec::new();
        for s in &slots {
            match parts.iter_mut().find(|p| p.0 == s.part) {
                Some(p) => p.1 += s.free.cpus.max(0.0),
                None => parts.push((s.part, s.free.cpus.max(0.0))),
            }
        }
        Rooms { slots, parts, hopeless: Vec::new() }
    }

    /// The machine that the paper's cost chooses, of a part or of all, among
    /// the zones that may take more.
    pub fn best(&self, wish: &Wish, part: Option<u32>, zones: Option<&[(u32, u32)]>) -> Option<usize> {
        let mut best: Option<((bool, bool, i64, bool), usize)> = None;
        for (i, s) in self.slots.iter().enumerate() {
            if part.is_some_and(|p| p != s.part)
                || (s.spot && !wish.spot)
                || wish.zone.is_some_and(|z| z != s.zone)
                || wish.kinds.as_ref().is_some_and(|k| !k.contains(&s.kind))
                || zones.is_some_and(|z| !z.iter().any(|(name, n)| *name == s.zone && *n > 0))
                || wish.avoid.contains(&s.id)
            {
                continue;
            }
            let mut free = s.free;
            if wish.preempts {
                free.give(&s.yielding);
            }
            if !free.fits(&wish.ask) {
                continue;
            }
            let cold = wish.image.is_none_or(|i| s.images.binary_search(&i).is_err());
            let cost = place::steps(place::cost(&free, &wish.ask));
            let key = (wish.quick && cold, wish.spot && !s.spot, cost, cold);
            let better =
                best.as_ref().is_none_or(|(k, at)| key < *k || key == *k && s.id < self.slots[*at].id);
            if better {
                best = Some((key, i));
            }
        }
        best.map(|b| b.1)
    }

    /// Whether nothing can have room for a wish, as far as that is known.
    pub fn hopeless(&self, wish: &Wish) -> bool {
        self.hopeless.iter().any(|w| wish.harder(w))
    }

    /// Nothing anywhere had room for one task of this wish.
    pub fn give_up(&mut self, wish: &Wish) {
        if wish.avoid.is_empty() {
            self.hopeless.push(wish.clone());
        }
    }

    /// Takes a task's room.
    pub fn take(&mut self, slot: usize, ask: &Res) {
        let s = &mut self.slots[slot];
        let before = s.free.cpus.max(0.0);
        s.free.take(ask);
        let change = s.free.cpus.max(0.0) - before;
        if let Some(p) = self.parts.iter_mut().find(|p| p.0 == s.part) {
            p.1 += change;
        }
    }

    fn give_back(&mut self, slot: usize, ask: &Res) {
        let s = &mut self.slots[slot];
        let before = s.free.cpus.max(0.0);
        s.free.give(ask);
        let change = s.free.cpus.max(0.0) - before;
        if let Some(p) = self.parts.iter_mut().find(|p| p.0 == s.part) {
            p.1 += change;
        }
    }

    /// The parts that have open machines.
    pub fn parts(&self) -> Vec<u32> {
        self.parts.iter().map(|p| p.0).collect()
    }

    /// What a part's machines have free.
    pub fn total(&self, part: u32) -> f64 {
        self.parts.iter().find(|p| p.0 == part).map_or(0.0, |p| p.1)
    }

    /// The part with the most room, of those not in `full`; the first by name
    /// of several.
    pub fn roomiest(&self, full: &[u32], names: &Names) -> Option<u32> {
        let open = self.parts.iter().filter(|p| !full.contains(&p.0));
        open.max_by(|a, b| a.1.total_cmp(&b.1).then(names.name(b.0).cmp(names.name(a.0)))).map(|p| p.0)
    }

    /// As many of `n` tasks as fit one after another under the zones' bounds;
    /// nothing is taken.
    pub fn try_place(
        &mut self,
        wish: &Wish,
        n: usize,
        part: Option<u32>,
        room: &[(u32, u32)],
        one_zone: bool,
    ) -> Vec<usize> {
        if !one_zone {
            return self.attempt(wish, n, part, room.to_vec());
        }
        let tries: Vec<Vec<usize>> = room.iter().map(|z| self.attempt(wish, n, part, vec![*z])).collect();
        tries.into_iter().max_by_key(Vec::len).unwrap_or_default()
    }

    fn attempt(&mut self, wish: &Wish, n: usize, part: Option<u32>, mut room: Vec<(u32, u32)>) -> Vec<usize> {
        let mut chosen = Vec::new();
        for _ in 0..n {
            let Some(slot) = self.best(wish, part, Some(&room)) else { break };
            self.take(slot, &wish.ask);
            let zone = self.slots[slot].zone;
            if let Some(left) = room.iter_mut().find(|z| z.0 == zone) {
                left.1 -= 1;
            }
            chosen.push(slot);
        }
        for &slot in &chosen {
            self.give_back(slot, &wish.ask);
        }
        chosen
    }

    /// How many of the chosen machines have the image of a job in a hurry.
    pub fn warm(&self, wish: &Wish, chosen: &[usize]) -> usize {
        match wish.image {
            Some(i) if wish.quick => {
                chosen.iter().filter(|&&s| self.slots[s].images.binary_search(&i).is_ok()).count()
            }
            _ => 0,
        }
    }
}
