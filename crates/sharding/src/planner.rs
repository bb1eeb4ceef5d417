//! Decides which hash range moves next and why: first the moves that operators requested, then
//! the ranges of controllers that are being drained, then those of controllers that own far
//! more machines than others, all within a limited rate of moves.

use crate::hash_position::HashPosition;
use crate::plan::{Plan, PlannedMove};
use crate::shard_map::{HashRange, ShardMap};
use crate::transfer::{MoveReason, RangeMove, Transfers};
use finchwood_types::clock::Seconds;
use std::collections::{BTreeMap, BTreeSet};

/// A machine with its hash owner and its owner.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct OwnedMachine {
    /// The controller that owns it by the hash.
    pub hash_owner: String,
    /// Its position among the machines of its hash owner.
    pub position: HashPosition,
    /// The controller that owns it.
    pub owner: String,
}

/// The limits for the planner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannerLimits {
    /// The maximum number of machines in a range that moves.
    pub machines_per_move: usize,
    /// The rate of moves per minute, which is also the largest burst.
    pub moves_per_minute: f64,
    /// The fraction of the mean number of machines by which a controller may exceed the mean.
    /// One that owns more gives machines away.
    pub imbalance: f64,
    /// The maximum number of ranges in the shard map.
    pub max_ranges: usize,
    /// The time for which machines that have moved are not moved again for balance, in
    /// seconds.
    pub cooldown_s: Seconds,
}

/// The state of the fleet at the time of planning.
#[derive(Debug, Clone, Copy)]
pub struct Fleet<'a> {
    /// The names of the live controllers.
    pub members: &'a BTreeSet<String>,
    /// All machines of the machine registry.
    pub machines: &'a [OwnedMachine],
    /// The current shard map.
    pub shard_map: &'a ShardMap,
}

/// A move that could be made.
#[derive(Debug)]
struct Candidate {
    range_move: RangeMove,
    /// The number of machines in the range.
    machines: usize,
    /// The index of the planned move that it carries out, if any.
    planned: Option<usize>,
}

/// Chooses the moves of hash ranges.
#[derive(Debug, Clone)]
pub struct Planner {
    limits: PlannerLimits,
    plan: Plan,
    /// The number of moves that may be made now (a token bucket).
    budget: f64,
    refilled_at: Seconds,
    /// Ranges that have moved within the cooldown, and when.
    recently_moved: Vec<(HashRange, Seconds)>,
    /// Ranges that operators have placed, which are not moved for balance.
    pinned: Vec<HashRange>,
}

impl Planner {
    /// Creates a planner with a full budget and an empty plan.
    pub fn new(limits: PlannerLimits, now: Seconds) -> Planner {
        Planner {
            limits,
            plan: Plan::default(),
            budget: limits.moves_per_minute,
            refilled_at: now,
            recently_moved: Vec::new(),
            pinned: Vec::new(),
        }
    }

    /// Returns the part of the operators' plan that is not carried out yet.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Replaces the plan, and allows ranges of earlier plans to be moved for balance again.
    pub fn set_plan(&mut self, plan: Plan) {
        self.plan = plan;
        self.pinned.clear();
    }

    /// Returns the next move, if one is needed and the budget allows it. If no needed move
    /// fits into the shard map, the smallest range goes back to its hash owner instead.
    pub fn next(&mut self, fleet: Fleet, transfers: &Transfers, now: Seconds) -> Option<RangeMove> {
        self.refill(now);
        if self.budget < 1.0 {
            return None;
        }
        let choices = [
            self.choose_planned(fleet, transfers),
            self.choose_drain(fleet, transfers),
        ];
        let choices = choices
            .into_iter()
            .flatten()
            .chain(self.choose_balancing(fleet, transfers));
        let choices: Vec<Candidate> = choices.collect();
        if choices.is_empty() {
            return None;
        }
        let fits = |candidate: &Candidate| {
            let range_move = &candidate.range_move;
            fleet
                .shard_map
                .with_owner(&range_move.range, &range_move.target)
                .len()
                <= self.limits.max_ranges
        };
        let choice = choices
            .into_iter()
            .find(fits)
            .or_else(|| self.choose_compaction(fleet, transfers))?;
        self.budget -= 1.0;
        self.recently_moved
            .push((choice.range_move.range.clone(), now));
        if let Some(planned) = choice.planned {
            let range_move = &mut self.plan.moves[planned];
            range_move.machines = range_move.machines.saturating_sub(choice.machines);
            self.pinned.push(choice.range_move.range.clone());
        }
        Some(choice.range_move)
    }

    fn refill(&mut self, now: Seconds) {
        let limits = &self.limits;
        let gained = (now - self.refilled_at) * limits.moves_per_minute / 60.0;
        self.budget = (self.budget + gained).min(limits.moves_per_minute.max(1.0));
        self.refilled_at = now;
        self.recently_moved
            .retain(|(_, at)| now - *at < limits.cooldown_s);
    }

    /// Returns the first planned move that can be made now. Drops planned moves that can no
    /// longer be made.
    fn choose_planned(&mut self, fleet: Fleet, transfers: &Transfers) -> Option<Candidate> {
        // A controller that owns no machines any more has given away all it can.
        let owns = |name: &String| fleet.machines.iter().any(|machine| machine.owner == *name);
        let possible = |planned_move: &PlannedMove| {
            planned_move.machines > 0
                && fleet.members.contains(&planned_move.target)
                && owns(&planned_move.source)
        };
        self.plan.moves.retain(possible);
        let most = self.limits.machines_per_move;
        self.plan
            .moves
            .iter()
            .enumerate()
            .find_map(|(planned, planned_move)| {
                let most = planned_move.machines.min(most);
                let (range, machines) =
                    largest_movable_range(&planned_move.source, most, fleet, transfers, &[])?;
                let (source, target) = (planned_move.source.clone(), planned_move.target.clone());
                let range_move = RangeMove {
                    range,
                    source,
                    target,
                    reason: MoveReason::Plan,
                };
                Some(Candidate {
                    range_move,
                    machines,
                    planned: Some(planned),
                })
            })
    }

    /// Returns a move of a range of a controller that is to be drained, to the controller with
    /// the fewest machines. If that would exceed the maximum number of ranges in the shard map,
    /// the range goes to a controller for which it would not, if there is one.
    fn choose_drain(&self, fleet: Fleet, transfers: &Transfers) -> Option<Candidate> {
        let counts = machine_counts(fleet, transfers);
        let least = self.least_loaded(&counts)?;
        let (source, (range, machines)) = self.plan.drain.iter().find_map(|source| {
            Some((
                source,
                largest_movable_range(
                    source,
                    self.limits.machines_per_move,
                    fleet,
                    transfers,
                    &[],
                )?,
            ))
        })?;
        let others = counts.keys().filter(|name| !self.plan.drain.contains(name));
        let fits = |target: &&String| {
            fleet.shard_map.with_owner(&range, target).len() <= self.limits.max_ranges
        };
        let target = Some(&least)
            .filter(fits)
            .or_else(|| others.clone().find(fits))
            .unwrap_or(&least);
        let (source, target) = (source.clone(), target.clone());
        let range_move = RangeMove {
            range,
            source,
            target,
            reason: MoveReason::Drain,
        };
        Some(Candidate {
            range_move,
            machines,
            planned: None,
        })
    }

    /// Returns the move of the range with the fewest machines back to its hash owner.
    fn choose_compaction(&self, fleet: Fleet, transfers: &Transfers) -> Option<Candidate> {
        let is_live = |name: &str| fleet.members.contains(name);
        let returnable = fleet.shard_map.ranges().filter(|(range, owner)| {
            let hash_owner = &range.hash_owner;
            is_live(hash_owner)
                && is_live(owner)
                && !self.plan.drain.contains(hash_owner)
                && !transfers.is_moving(range)
        });
        let machines_in = |range: &HashRange| {
            fleet
                .machines
                .iter()
                .filter(|m| range.contains(&m.hash_owner, m.position))
                .count()
        };
        let smallest = returnable
            .map(|(range, owner)| (machines_in(range), range, owner))
            .min()?;
        let (machines, range, owner) = smallest;
        let (source, target) = (owner.to_string(), range.hash_owner.clone());
        let range_move = RangeMove {
            range: range.clone(),
            source,
            target,
            reason: MoveReason::Compact,
        };
        Some(Candidate {
            range_move,
            machines,
            planned: None,
        })
    }

    /// Returns a move of a range from the controller with the most machines to the one with
    /// the fewest, if they differ by enough.
    fn choose_balancing(&self, fleet: Fleet, transfers: &Transfers) -> Option<Candidate> {
        let counts = machine_counts(fleet, transfers);
        let target = self.least_loaded(&counts)?;
        let (source, most) = counts
            .iter()
            .max_by_key(|(name, count)| (**count, (*name).clone()))?;
        let mean = counts.values().sum::<usize>() as f64 / counts.len() as f64;
        let difference = most.saturating_sub(counts[&target]);
        // Guard: with a difference of one machine, that machine would move back and forth.
        if (*most as f64) <= mean * (1.0 + self.limits.imbalance) || difference < 2 {
            return None;
        }
        let machines = (difference / 2).min(self.limits.machines_per_move);
        let recent = self.recently_moved.iter().map(|(range, _)| range);
        let excluded: Vec<HashRange> = recent.chain(&self.pinned).cloned().collect();
        let (range, machines) =
            largest_movable_range(source, machines, fleet, transfers, &excluded)?;
        let range_move = RangeMove {
            range,
            source: source.clone(),
            target,
            reason: MoveReason::Balance,
        };
        Some(Candidate {
            range_move,
            machines,
            planned: None,
        })
    }

    /// Returns the controller with the fewest machines that is not to be drained.
    fn least_loaded(&self, counts: &BTreeMap<String, usize>) -> Option<String> {
        let candidates = counts
            .iter()
            .filter(|(name, _)| !self.plan.drain.contains(name));
        candidates
            .min_by_key(|(name, count)| (**count, (*name).clone()))
            .map(|(name, _)| name.clone())
    }
}

/// Returns the number of machines that each controller owns once all transfers in progress have
/// completed.
fn machine_counts(fleet: Fleet, transfers: &Transfers) -> BTreeMap<String, usize> {
    let mut counts: BTreeMap<String, usize> =
        fleet.members.iter().map(|name| (name.clone(), 0)).collect();
    for machine in fleet.machines {
        let moving = transfers.in_progress().find(|transfer| {
            transfer
                .range_move
                .range
                .contains(&machine.hash_owner, machine.position)
        });
        let owner = moving.map_or(&machine.owner, |transfer| &transfer.range_move.target);
        if let Some(count) = counts.get_mut(owner) {
            *count += 1;
        }
    }
    counts
}

/// Returns the range with the most machines, up to `most`, whose machines all have the same
/// hash owner and belong to `source`, and none of which is being transferred or in `excluded`;
/// also the number of its machines.
fn largest_movable_range(
    source: &str,
    most: usize,
    fleet: Fleet,
    transfers: &Transfers,
    excluded: &[HashRange],
) -> Option<(HashRange, usize)> {
    let mut sorted: Vec<&OwnedMachine> = fleet.machines.iter().collect();
    sorted.sort();
    let is_excluded = |machine: &OwnedMachine| {
        let machine_range = HashRange {
            hash_owner: machine.hash_owner.clone(),
            first: machine.position,
            last: machine.position,
        };
        machine.owner != source
            || transfers.is_moving(&machine_range)
            || excluded.iter().any(|range| range.overlaps(&machine_range))
    };
    let mut best: Option<(HashRange, usize)> = None;
    let mut run: Option<(HashRange, usize)> = None;
    for (index, machine) in sorted.iter().enumerate() {
        let extends = run
            .as_ref()
            .is_some_and(|(range, count)| range.hash_owner == machine.hash_owner && *count < most);
        let (first, count) = match &run {
            Some((range, count)) if extends => (range.first, *count + 1),
            _ => (range_start(&sorted, index), 1),
        };
        let range = HashRange {
            hash_owner: machine.hash_owner.clone(),
            first,
            last: machine.position,
        };
        let is_movable =
            !is_excluded(machine) && fleet.shard_map.sole_owner(&range) == Some(source);
        run = is_movable.then_some((range, count));
        if let Some((range, count)) = &run {
            if best
                .as_ref()
                .is_none_or(|(_, best_count)| count > best_count)
            {
                best = Some((range.clone(), *count));
            }
        }
    }
    best
}

/// Returns the first position of a range that begins with the machine at `index`: right
/// after the previous machine, so that adjacent ranges with the same owner can be merged.
fn range_start(sorted: &[&OwnedMachine], index: usize) -> HashPosition {
    let previous = index.checked_sub(1).map(|previous| sorted[previous]);
    match previous.filter(|previous| previous.hash_owner == sorted[index].hash_owner) {
        Some(previous) => previous.position + 1,
        None => 0,
    }
}
