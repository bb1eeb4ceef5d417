//! Which hash range moves next, and why: what operators asked for, controllers that are to be
//! emptied, and controllers that own far more machines than others; in this order, within
//! a budget of moves.

use crate::hash_position::HashPosition;
use crate::plan::{Plan, PlannedMove};
use crate::shard_map::{HashRange, ShardMap};
use crate::transfer::{MoveReason, RangeMove, Transfers};
use finchwood_types::clock::Seconds;
use std::collections::{BTreeMap, BTreeSet};

/// A machine with its hash owner and its owner.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct OwnedMachine {
    /// The owner by the hash.
    pub hash_owner: String,
    /// Where it stands among the machines of its hash owner.
    pub position: HashPosition,
    /// Who owns it.
    pub owner: String,
}

/// How much may move.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannerLimits {
    /// The most machines of one range that moves.
    pub machines_per_move: usize,
    /// Moves in a minute; as many may come at once.
    pub moves_per_minute: f64,
    /// A controller that owns more than the mean by this fraction gives machines away.
    pub imbalance: f64,
    /// The most ranges that the shard map may hold.
    pub max_ranges: usize,
    /// Machines that have moved stay for so long, unless somebody asks, in seconds.
    pub cooldown_s: Seconds,
}

/// What is known of the fleet at the moment of planning.
#[derive(Debug, Clone, Copy)]
pub struct Fleet<'a> {
    /// The live controllers.
    pub members: &'a BTreeSet<String>,
    /// All machines.
    pub machines: &'a [OwnedMachine],
    /// Who owns which hash range.
    pub shard_map: &'a ShardMap,
}

/// A move that could be made.
#[derive(Debug)]
struct Candidate {
    range_move: RangeMove,
    /// How many machines move.
    machines: usize,
    /// Which of the planned moves it carries out.
    planned: Option<usize>,
}

/// Chooses moves.
#[derive(Debug, Clone)]
pub struct Planner {
    limits: PlannerLimits,
    plan: Plan,
    /// How many moves may be made now.
    budget: f64,
    refilled_at: Seconds,
    /// Ranges that have moved, and when.
    recently_moved: Vec<(HashRange, Seconds)>,
    /// Ranges that operators have placed: no balance takes them back.
    pinned: Vec<HashRange>,
}

impl Planner {
    /// A planner with a full budget and no plan.
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

    /// What operators asked for and is not carried out yet.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Operators ask for something else from now on.
    pub fn set_plan(&mut self, plan: Plan) {
        self.plan = plan;
        self.pinned.clear();
    }

    /// The next move, if one is wanted and the budget allows it. Where the shard map is too
    /// full for it, a hash owner takes back the smallest range instead.
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

    /// The first planned move that can be made.
    fn choose_planned(&mut self, fleet: Fleet, transfers: &Transfers) -> Option<Candidate> {
        // Whoever has nothing left has given all that it can.
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
                    longest_owned_run(&planned_move.source, most, fleet, transfers, &[])?;
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

    /// A hash range of a controller that is to be emptied goes to whoever owns least, or to
    /// another whose range it makes larger, if the shard map has no room for one more.
    fn choose_drain(&self, fleet: Fleet, transfers: &Transfers) -> Option<Candidate> {
        let counts = machine_counts(fleet, transfers);
        let least = self.least_loaded(&counts)?;
        let (source, (range, machines)) = self.plan.drain.iter().find_map(|source| {
            Some((
                source,
                longest_owned_run(source, self.limits.machines_per_move, fleet, transfers, &[])?,
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

    /// The range with the fewest machines goes back to its hash owner.
    fn choose_compaction(&self, fleet: Fleet, transfers: &Transfers) -> Option<Candidate> {
        let live = |name: &str| fleet.members.contains(name);
        let can_go = fleet.shard_map.ranges().filter(|(range, owner)| {
            let hash_owner = &range.hash_owner;
            live(hash_owner)
                && live(owner)
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
        let smallest = can_go
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

    /// A hash range of the controller that owns most goes to the one that owns least, if the
    /// difference is large.
    fn choose_balancing(&self, fleet: Fleet, transfers: &Transfers) -> Option<Candidate> {
        let counts = machine_counts(fleet, transfers);
        let target = self.least_loaded(&counts)?;
        let (source, most) = counts
            .iter()
            .max_by_key(|(name, count)| (**count, (*name).clone()))?;
        let mean = counts.values().sum::<usize>() as f64 / counts.len() as f64;
        let difference = most.saturating_sub(counts[&target]);
        // Guard: less than a whole move apart, machines would go there and back.
        if (*most as f64) <= mean * (1.0 + self.limits.imbalance) || difference < 2 {
            return None;
        }
        let machines = (difference / 2).min(self.limits.machines_per_move);
        let recent = self.recently_moved.iter().map(|(range, _)| range);
        let excluded: Vec<HashRange> = recent.chain(&self.pinned).cloned().collect();
        let (range, machines) = longest_owned_run(source, machines, fleet, transfers, &excluded)?;
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

    /// Who owns least, of those that are not to be emptied.
    fn least_loaded(&self, counts: &BTreeMap<String, usize>) -> Option<String> {
        let stays = counts
            .iter()
            .filter(|(name, _)| !self.plan.drain.contains(name));
        stays
            .min_by_key(|(name, count)| (**count, (*name).clone()))
            .map(|(name, _)| name.clone())
    }
}

/// How many machines each controller owns, or will once all transfers have ended.
fn machine_counts(fleet: Fleet, transfers: &Transfers) -> BTreeMap<String, usize> {
    let mut counts: BTreeMap<String, usize> =
        fleet.members.iter().map(|name| (name.clone(), 0)).collect();
    for machine in fleet.machines {
        let moving = transfers.under_way().find(|h| {
            h.range_move
                .range
                .contains(&machine.hash_owner, machine.position)
        });
        let owner = moving.map_or(&machine.owner, |h| &h.range_move.target);
        if let Some(count) = counts.get_mut(owner) {
            *count += 1;
        }
    }
    counts
}

/// A range of one hash owner with up to `most` machines, all owned by `source` and none of them
/// moving or in `excluded`; also how many there are in it.
fn longest_owned_run(
    source: &str,
    most: usize,
    fleet: Fleet,
    transfers: &Transfers,
    excluded: &[HashRange],
) -> Option<(HashRange, usize)> {
    let mut sorted: Vec<&OwnedMachine> = fleet.machines.iter().collect();
    sorted.sort();
    let stays = |machine: &OwnedMachine| {
        let at = HashRange {
            hash_owner: machine.hash_owner.clone(),
            first: machine.position,
            last: machine.position,
        };
        machine.owner != source
            || transfers.is_moving(&at)
            || excluded.iter().any(|range| range.overlaps(&at))
    };
    let mut best: Option<(HashRange, usize)> = None;
    let mut run: Option<(HashRange, usize)> = None;
    for (at, machine) in sorted.iter().enumerate() {
        let extends = run
            .as_ref()
            .is_some_and(|(range, count)| range.hash_owner == machine.hash_owner && *count < most);
        let (first, count) = match &run {
            Some((range, count)) if extends => (range.first, *count + 1),
            _ => (range_start(&sorted, at), 1),
        };
        let range = HashRange {
            hash_owner: machine.hash_owner.clone(),
            first,
            last: machine.position,
        };
        let whole = !stays(machine) && fleet.shard_map.sole_owner(&range) == Some(source);
        run = whole.then_some((range, count));
        if let Some((range, count)) = &run {
            if best.as_ref().is_none_or(|(_, most)| count > most) {
                best = Some((range.clone(), *count));
            }
        }
    }
    best
}

/// Where a range begins that begins with a machine: right behind the machine before it, so
/// that ranges meet and neighbours with one owner become one range.
fn range_start(sorted: &[&OwnedMachine], at: usize) -> HashPosition {
    let before = at.checked_sub(1).map(|before| sorted[before]);
    match before.filter(|before| before.hash_owner == sorted[at].hash_owner) {
        Some(before) => before.position + 1,
        None => 0,
    }
}
