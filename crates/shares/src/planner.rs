//! Which share moves next, and why: what operators asked for, controllers that are to be
//! emptied, and controllers that own far more machines than others; in this order, within
//! a budget of moves.

use crate::handover::{Handovers, MoveReason, WantedMove};
use crate::plan::Plan;
use crate::position::Position;
use crate::table::{ShareRange, ShareTable};
use finchwood_model::clock::Secs;
use std::collections::{BTreeMap, BTreeSet};

/// A machine with its home and its owner.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct OwnedMachine {
    /// The owner by the hash.
    pub home: String,
    /// Where it stands among the machines of its home.
    pub position: Position,
    /// Who owns it.
    pub owner: String,
}

/// How much may move.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannerLimits {
    /// The most machines of one share that moves.
    pub machines_per_move: usize,
    /// Moves in a minute; as many may come at once.
    pub moves_per_minute: f64,
    /// A controller that owns more than the mean by this share gives machines away.
    pub imbalance: f64,
    /// The most shares that the table may hold.
    pub most_shares: usize,
    /// Machines that have moved stay for so long, unless somebody asks, in seconds.
    pub rest_s: Secs,
}

/// What is known of the fleet at the moment of planning.
#[derive(Debug, Clone, Copy)]
pub struct Fleet<'a> {
    /// The live controllers.
    pub members: &'a BTreeSet<String>,
    /// All machines.
    pub machines: &'a [OwnedMachine],
    /// The table of shares.
    pub table: &'a ShareTable,
}

/// Chooses moves.
#[derive(Debug, Clone)]
pub struct Planner {
    limits: PlannerLimits,
    plan: Plan,
    budget: f64,
    refilled_at: Secs,
    /// Ranges that have moved, and when.
    moved: Vec<(ShareRange, Secs)>,
    /// Ranges that operators have placed: no balance takes them back.
    placed: Vec<ShareRange>,
}

impl Planner {
    /// A planner with a full budget and no plan.
    pub fn new(limits: PlannerLimits, now: Secs) -> Planner {
        Planner {
            limits,
            plan: Plan::default(),
            budget: limits.moves_per_minute,
            refilled_at: now,
            moved: Vec::new(),
            placed: Vec::new(),
        }
    }

    /// What operators asked for and is not carried out yet.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Operators ask for something else from now on.
    pub fn set_plan(&mut self, plan: Plan) {
        self.plan = plan;
        self.placed.clear();
    }

    /// The next move, if one is wanted and the budget allows it.
    pub fn next(&mut self, fleet: Fleet, handovers: &Handovers, now: Secs) -> Option<WantedMove> {
        self.refill(now);
        let full = fleet.table.len() >= self.limits.most_shares;
        if self.budget < 1.0 || full {
            return None;
        }
        let wanted = self
            .planned(fleet, handovers)
            .or_else(|| self.drained(fleet, handovers))
            .or_else(|| self.balanced(fleet, handovers))?;
        self.budget -= 1.0;
        self.moved.push((wanted.range.clone(), now));
        Some(wanted)
    }

    fn refill(&mut self, now: Secs) {
        let limits = &self.limits;
        let gained = (now - self.refilled_at) * limits.moves_per_minute / 60.0;
        self.budget = (self.budget + gained).min(limits.moves_per_minute.max(1.0));
        self.refilled_at = now;
        self.moved.retain(|(_, at)| now - *at < limits.rest_s);
    }

    /// The first planned move that can be made; what it moves is counted off.
    fn planned(&mut self, fleet: Fleet, handovers: &Handovers) -> Option<WantedMove> {
        let mut plan = std::mem::take(&mut self.plan);
        plan.moves.retain(|wanted| wanted.machines > 0 && fleet.members.contains(&wanted.to));
        let mut chosen = None;
        for wanted in &mut plan.moves {
            // Whoever has nothing left has given all that it can.
            if !fleet.machines.iter().any(|machine| machine.owner == wanted.from) {
                wanted.machines = 0;
                continue;
            }
            let most = wanted.machines.min(self.limits.machines_per_move);
            if let Some((range, count)) = run_of(&wanted.from, most, fleet, handovers, &[]) {
                wanted.machines -= count.min(wanted.machines);
                self.placed.push(range.clone());
                chosen = Some(WantedMove {
                    range,
                    giver: wanted.from.clone(),
                    taker: wanted.to.clone(),
                    reason: MoveReason::Plan,
                });
                break;
            }
        }
        self.plan = plan;
        chosen
    }

    /// A share of a controller that is to be emptied goes to whoever owns least.
    fn drained(&self, fleet: Fleet, handovers: &Handovers) -> Option<WantedMove> {
        let counts = counts(fleet, handovers);
        let taker = self.least(&counts)?;
        self.plan.drain.iter().find_map(|giver| {
            let (range, _) = run_of(giver, self.limits.machines_per_move, fleet, handovers, &[])?;
            let reason = MoveReason::Drain;
            Some(WantedMove { range, giver: giver.clone(), taker: taker.clone(), reason })
        })
    }

    /// A share of the controller that owns most goes to the one that owns least, if the
    /// difference is large.
    fn balanced(&self, fleet: Fleet, handovers: &Handovers) -> Option<WantedMove> {
        let counts = counts(fleet, handovers);
        let taker = self.least(&counts)?;
        let (giver, most) = counts.iter().max_by_key(|(name, count)| (**count, (*name).clone()))?;
        let mean = counts.values().sum::<usize>() as f64 / counts.len() as f64;
        let difference = most.saturating_sub(counts[&taker]);
        // Guard: less than a whole move apart, machines would go there and back.
        if (*most as f64) <= mean * (1.0 + self.limits.imbalance) || difference < 2 {
            return None;
        }
        let machines = (difference / 2).min(self.limits.machines_per_move);
        let recent = self.moved.iter().map(|(range, _)| range);
        let resting: Vec<ShareRange> = recent.chain(&self.placed).cloned().collect();
        let (range, _) = run_of(giver, machines, fleet, handovers, &resting)?;
        Some(WantedMove { range, giver: giver.clone(), taker, reason: MoveReason::Balance })
    }

    /// Who owns least, of those that are not to be emptied.
    fn least(&self, counts: &BTreeMap<String, usize>) -> Option<String> {
        let stays = counts.iter().filter(|(name, _)| !self.plan.drain.contains(name));
        stays.min_by_key(|(name, count)| (**count, (*name).clone())).map(|(name, _)| name.clone())
    }
}

/// How many machines each controller owns, or will once all handovers have ended.
fn counts(fleet: Fleet, handovers: &Handovers) -> BTreeMap<String, usize> {
    let mut counts: BTreeMap<String, usize> = fleet.members.iter().map(|name| (name.clone(), 0)).collect();
    for machine in fleet.machines {
        let moving = handovers.under_way().find(|h| h.wanted.range.contains(&machine.home, machine.position));
        let owner = moving.map_or(&machine.owner, |h| &h.wanted.taker);
        if let Some(count) = counts.get_mut(owner) {
            *count += 1;
        }
    }
    counts
}

/// A range of one home with up to `most` machines, all owned by `giver` and none of them
/// moving or in `resting`; also how many there are in it.
fn run_of(
    giver: &str,
    most: usize,
    fleet: Fleet,
    handovers: &Handovers,
    resting: &[ShareRange],
) -> Option<(ShareRange, usize)> {
    let mut sorted: Vec<&OwnedMachine> = fleet.machines.iter().collect();
    sorted.sort();
    let stays = |machine: &OwnedMachine| {
        let at = ShareRange { home: machine.home.clone(), first: machine.position, last: machine.position };
        machine.owner != giver || handovers.moves(&at) || resting.iter().any(|range| range.overlaps(&at))
    };
    let mut best: Option<(ShareRange, usize)> = None;
    let mut run: Option<(ShareRange, usize)> = None;
    for machine in sorted {
        let extends = run.as_ref().is_some_and(|(range, count)| range.home == machine.home && *count < most);
        let (first, count) = match &run {
            Some((range, count)) if extends => (range.first, *count + 1),
            _ => (machine.position, 1),
        };
        let range = ShareRange { home: machine.home.clone(), first, last: machine.position };
        let whole = !stays(machine) && fleet.table.sole_owner(&range) == Some(giver);
        run = whole.then_some((range, count));
        if let Some((range, count)) = &run {
            if best.as_ref().is_none_or(|(_, most)| count > most) {
                best = Some((range.clone(), *count));
            }
        }
    }
    best
}
