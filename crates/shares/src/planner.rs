//! Which share moves next, and why: what operators asked for, controllers that are to be
//! emptied, and controllers that own far more machines than others; in this order, within
//! a budget of moves.

use crate::handover::{Handovers, MoveReason, WantedMove};
use crate::plan::{Plan, PlannedMove};
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

/// A move that could be made.
#[derive(Debug)]
struct Choice {
    wanted: WantedMove,
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

    /// The next move, if one is wanted and the budget allows it. Where the table is too
    /// full for it, a home takes back the smallest share instead.
    pub fn next(&mut self, fleet: Fleet, handovers: &Handovers, now: Secs) -> Option<WantedMove> {
        self.refill(now);
        if self.budget < 1.0 {
            return None;
        }
        let choices = [
            self.planned(fleet, handovers),
            self.drained(fleet, handovers),
        ];
        let choices = choices
            .into_iter()
            .flatten()
            .chain(self.balanced(fleet, handovers));
        let choices: Vec<Choice> = choices.collect();
        if choices.is_empty() {
            return None;
        }
        let fits = |choice: &Choice| {
            let wanted = &choice.wanted;
            fleet.table.moved(&wanted.range, &wanted.taker).len() <= self.limits.most_shares
        };
        let choice = choices
            .into_iter()
            .find(fits)
            .or_else(|| self.tidied(fleet, handovers))?;
        self.budget -= 1.0;
        self.moved.push((choice.wanted.range.clone(), now));
        if let Some(planned) = choice.planned {
            let wanted = &mut self.plan.moves[planned];
            wanted.machines = wanted.machines.saturating_sub(choice.machines);
            self.placed.push(choice.wanted.range.clone());
        }
        Some(choice.wanted)
    }

    fn refill(&mut self, now: Secs) {
        let limits = &self.limits;
        let gained = (now - self.refilled_at) * limits.moves_per_minute / 60.0;
        self.budget = (self.budget + gained).min(limits.moves_per_minute.max(1.0));
        self.refilled_at = now;
        self.moved.retain(|(_, at)| now - *at < limits.rest_s);
    }

    /// The first planned move that can be made.
    fn planned(&mut self, fleet: Fleet, handovers: &Handovers) -> Option<Choice> {
        // Whoever has nothing left has given all that it can.
        let owns = |name: &String| fleet.machines.iter().any(|machine| machine.owner == *name);
        let possible = |wanted: &PlannedMove| {
            wanted.machines > 0 && fleet.members.contains(&wanted.to) && owns(&wanted.from)
        };
        self.plan.moves.retain(possible);
        let most = self.limits.machines_per_move;
        self.plan
            .moves
            .iter()
            .enumerate()
            .find_map(|(planned, wanted)| {
                let most = wanted.machines.min(most);
                let (range, machines) = run_of(&wanted.from, most, fleet, handovers, &[])?;
                let (giver, taker) = (wanted.from.clone(), wanted.to.clone());
                let wanted = WantedMove {
                    range,
                    giver,
                    taker,
                    reason: MoveReason::Plan,
                };
                Some(Choice {
                    wanted,
                    machines,
                    planned: Some(planned),
                })
            })
    }

    /// A share of a controller that is to be emptied goes to whoever owns least, or to
    /// another whose share it makes larger, if the table has no room for one more.
    fn drained(&self, fleet: Fleet, handovers: &Handovers) -> Option<Choice> {
        let counts = counts(fleet, handovers);
        let least = self.least(&counts)?;
        let (giver, (range, machines)) = self.plan.drain.iter().find_map(|giver| {
            Some((
                giver,
                run_of(giver, self.limits.machines_per_move, fleet, handovers, &[])?,
            ))
        })?;
        let others = counts.keys().filter(|name| !self.plan.drain.contains(name));
        let fits =
            |taker: &&String| fleet.table.moved(&range, taker).len() <= self.limits.most_shares;
        let taker = Some(&least)
            .filter(fits)
            .or_else(|| others.clone().find(fits))
            .unwrap_or(&least);
        let (giver, taker) = (giver.clone(), taker.clone());
        let wanted = WantedMove {
            range,
            giver,
            taker,
            reason: MoveReason::Drain,
        };
        Some(Choice {
            wanted,
            machines,
            planned: None,
        })
    }

    /// The share with the fewest machines goes back to its home.
    fn tidied(&self, fleet: Fleet, handovers: &Handovers) -> Option<Choice> {
        let live = |name: &str| fleet.members.contains(name);
        let can_go = fleet.table.shares().filter(|(range, owner)| {
            let home = &range.home;
            live(home) && live(owner) && !self.plan.drain.contains(home) && !handovers.moves(range)
        });
        let machines_in = |range: &ShareRange| {
            fleet
                .machines
                .iter()
                .filter(|m| range.contains(&m.home, m.position))
                .count()
        };
        let smallest = can_go
            .map(|(range, owner)| (machines_in(range), range, owner))
            .min()?;
        let (machines, range, owner) = smallest;
        let (giver, taker) = (owner.to_string(), range.home.clone());
        let wanted = WantedMove {
            range: range.clone(),
            giver,
            taker,
            reason: MoveReason::Tidy,
        };
        Some(Choice {
            wanted,
            machines,
            planned: None,
        })
    }

    /// A share of the controller that owns most goes to the one that owns least, if the
    /// difference is large.
    fn balanced(&self, fleet: Fleet, handovers: &Handovers) -> Option<Choice> {
        let counts = counts(fleet, handovers);
        let taker = self.least(&counts)?;
        let (giver, most) = counts
            .iter()
            .max_by_key(|(name, count)| (**count, (*name).clone()))?;
        let mean = counts.values().sum::<usize>() as f64 / counts.len() as f64;
        let difference = most.saturating_sub(counts[&taker]);
        // Guard: less than a whole move apart, machines would go there and back.
        if (*most as f64) <= mean * (1.0 + self.limits.imbalance) || difference < 2 {
            return None;
        }
        let machines = (difference / 2).min(self.limits.machines_per_move);
        let recent = self.moved.iter().map(|(range, _)| range);
        let resting: Vec<ShareRange> = recent.chain(&self.placed).cloned().collect();
        let (range, machines) = run_of(giver, machines, fleet, handovers, &resting)?;
        let wanted = WantedMove {
            range,
            giver: giver.clone(),
            taker,
            reason: MoveReason::Balance,
        };
        Some(Choice {
            wanted,
            machines,
            planned: None,
        })
    }

    /// Who owns least, of those that are not to be emptied.
    fn least(&self, counts: &BTreeMap<String, usize>) -> Option<String> {
        let stays = counts
            .iter()
            .filter(|(name, _)| !self.plan.drain.contains(name));
        stays
            .min_by_key(|(name, count)| (**count, (*name).clone()))
            .map(|(name, _)| name.clone())
    }
}

/// How many machines each controller owns, or will once all handovers have ended.
fn counts(fleet: Fleet, handovers: &Handovers) -> BTreeMap<String, usize> {
    let mut counts: BTreeMap<String, usize> =
        fleet.members.iter().map(|name| (name.clone(), 0)).collect();
    for machine in fleet.machines {
        let moving = handovers
            .under_way()
            .find(|h| h.wanted.range.contains(&machine.home, machine.position));
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
        let at = ShareRange {
            home: machine.home.clone(),
            first: machine.position,
            last: machine.position,
        };
        machine.owner != giver
            || handovers.moves(&at)
            || resting.iter().any(|range| range.overlaps(&at))
    };
    let mut best: Option<(ShareRange, usize)> = None;
    let mut run: Option<(ShareRange, usize)> = None;
    for (at, machine) in sorted.iter().enumerate() {
        let extends = run
            .as_ref()
            .is_some_and(|(range, count)| range.home == machine.home && *count < most);
        let (first, count) = match &run {
            Some((range, count)) if extends => (range.first, *count + 1),
            _ => (first_of(&sorted, at), 1),
        };
        let range = ShareRange {
            home: machine.home.clone(),
            first,
            last: machine.position,
        };
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

/// Where a range begins that begins with a machine: right behind the machine before it, so
/// that ranges meet and neighbours with one owner become one share.
fn first_of(sorted: &[&OwnedMachine], at: usize) -> Position {
    let before = at.checked_sub(1).map(|before| sorted[before]);
    match before.filter(|before| before.home == sorted[at].home) {
        Some(before) => before.position + 1,
        None => 0,
    }
}
