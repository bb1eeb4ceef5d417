//! Handovers: the steps in which a share moves, as the leader takes them.
//!
//! | state | what has happened | what ends it early |
//! | --- | --- | --- |
//! | offered | the leader asks the taker | the taker does not answer in time |
//! | accepted | the taker will take it; the giver is told to stop giving orders | the giver does not answer in time |
//! | fenced | the giver gives no more orders, and has told what it knows | a new epoch |
//! | committing | the table's change is being written | a refusal that is certain, a new epoch |
//! | committed | the table names the taker, which is told what the giver knew | a new epoch |
//!
//! Before the table is written a handover can be withdrawn, and the giver goes on. Once the
//! write has gone out it may be carried out late: then only the table, a certain refusal or
//! a new epoch decides. In a new epoch every owner asks its machines under a higher token,
//! so that whatever a handover has reached by then is left as it is.

use crate::knowledge::MachineKnowledge;
use crate::table::{ShareRange, ShareTable};
use finchwood_model::clock::Secs;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A handover's number, unique within its epoch.
pub type HandoverId = u64;

/// Why a share moves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MoveReason {
    /// An operator asked for it.
    Plan,
    /// Its owner is to be emptied.
    Drain,
    /// Its owner has far more machines than others.
    Balance,
    /// The table is full: its home takes the smallest share back.
    Tidy,
}

/// A move that is wanted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WantedMove {
    /// What moves; a single controller owns all of it.
    pub range: ShareRange,
    /// Its owner.
    pub giver: String,
    /// Its owner to be.
    pub taker: String,
    /// Why.
    pub reason: MoveReason,
}

/// How far a handover is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HandoverState {
    /// The taker is asked.
    Offered,
    /// The giver is told to stop giving orders.
    Accepted,
    /// The giver gives no more orders.
    Fenced,
    /// The table's change is being written.
    Committing,
    /// The table names the taker.
    Committed,
}

/// How a handover ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HandoverEnd {
    /// The taker goes on from what the giver knew.
    Owned,
    /// A side did not answer in time.
    TimedOut,
    /// The table was changed by somebody else.
    Refused,
    /// A new epoch began.
    NewEpoch,
}

/// An order to one side of a handover, repeated until it shows effect.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum HandoverOrder {
    /// To the taker: will it take the share?
    Offer { id: HandoverId },
    /// To the giver: no more orders to these machines. It ends when it is no longer told.
    Fence { id: HandoverId, range: ShareRange },
    /// To the taker: go on from this, once the table of that generation is seen.
    Take {
        id: HandoverId,
        range: ShareRange,
        generation: u64,
        machines: Vec<MachineKnowledge>,
    },
}

impl HandoverOrder {
    /// The handover that it is about.
    pub fn id(&self) -> HandoverId {
        match self {
            HandoverOrder::Offer { id }
            | HandoverOrder::Fence { id, .. }
            | HandoverOrder::Take { id, .. } => *id,
        }
    }
}

/// What a controller tells the leader of its handovers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct HandoverReport {
    /// Offers that it accepts.
    #[serde(default)]
    pub accepted: Vec<HandoverId>,
    /// Shares to whose machines it gives no orders, and what it knows of them.
    #[serde(default)]
    pub fenced: Vec<(HandoverId, Vec<MachineKnowledge>)>,
    /// Shares that it has let go of, as the table names their taker.
    #[serde(default)]
    pub released: Vec<HandoverId>,
    /// Shares with which it goes on.
    #[serde(default)]
    pub taken: Vec<HandoverId>,
}

impl HandoverReport {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.accepted.is_empty()
            && self.fenced.is_empty()
            && self.released.is_empty()
            && self.taken.is_empty()
    }
}

/// A handover under way.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Handover {
    /// What moves, from whom to whom, and why.
    #[serde(flatten)]
    pub wanted: WantedMove,
    /// How far it is.
    pub state: HandoverState,
    /// Since when, on the leader's clock.
    #[serde(skip)]
    pub since: Secs,
    /// When it began.
    #[serde(skip)]
    pub began: Secs,
    #[serde(skip)]
    knowledge: Vec<MachineKnowledge>,
    /// The generation of the table that names the taker; 0 before.
    #[serde(skip)]
    committed: u64,
    /// The giver has let go, the taker goes on.
    #[serde(skip)]
    released: bool,
    #[serde(skip)]
    taken: bool,
}

/// A change of the table that is to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableWrite {
    /// The table from then on.
    pub table: ShareTable,
}

/// All handovers of the leader.
#[derive(Debug, Clone, Default)]
pub struct Handovers {
    numbers: HandoverId,
    under_way: BTreeMap<HandoverId, Handover>,
    /// The table that is being written.
    writing: Option<ShareTable>,
    /// How many ended in each way.
    pub ended: BTreeMap<HandoverEnd, u64>,
    /// Machines that changed hands.
    pub machines_moved: u64,
    /// The longest time from the beginning to the end of one that moved, in seconds.
    pub longest_s: f64,
}

impl Handovers {
    /// The handovers under way.
    pub fn under_way(&self) -> impl Iterator<Item = &Handover> {
        self.under_way.values()
    }

    fn in_state(&self, state: HandoverState) -> Vec<HandoverId> {
        self.under_way
            .iter()
            .filter(|(_, h)| h.state == state)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Whether a range takes part in a handover.
    pub fn moves(&self, range: &ShareRange) -> bool {
        self.under_way
            .values()
            .any(|handover| handover.wanted.range.overlaps(range))
    }

    /// Begins a handover; false if part of the range is moving already.
    pub fn begin(&mut self, wanted: WantedMove, now: Secs) -> bool {
        if self.moves(&wanted.range) || wanted.giver == wanted.taker {
            return false;
        }
        self.numbers += 1;
        let state = HandoverState::Offered;
        let handover = Handover {
            wanted,
            state,
            since: now,
            began: now,
            knowledge: Vec::new(),
            committed: 0,
            released: false,
            taken: false,
        };
        self.under_way.insert(self.numbers, handover);
        true
    }

    /// The orders for a controller, all of them each time.
    pub fn orders_for(&self, node: &str) -> Vec<HandoverOrder> {
        let mut orders = Vec::new();
        for (&id, handover) in &self.under_way {
            let wanted = &handover.wanted;
            match handover.state {
                HandoverState::Offered if wanted.taker == node => {
                    orders.push(HandoverOrder::Offer { id })
                }
                HandoverState::Committed if wanted.taker == node => {
                    orders.push(HandoverOrder::Take {
                        id,
                        range: wanted.range.clone(),
                        generation: handover.committed,
                        machines: handover.knowledge.clone(),
                    })
                }
                HandoverState::Accepted
                | HandoverState::Fenced
                | HandoverState::Committing
                | HandoverState::Committed
                    if wanted.giver == node =>
                {
                    orders.push(HandoverOrder::Fence {
                        id,
                        range: wanted.range.clone(),
                    });
                }
                _ => {}
            }
        }
        orders
    }

    /// Takes in what a controller says of its handovers.
    pub fn take_in(&mut self, node: &str, report: HandoverReport, now: Secs) {
        for id in report.accepted {
            self.advance(
                id,
                HandoverState::Offered,
                HandoverState::Accepted,
                node,
                now,
            );
        }
        for (id, knowledge) in report.fenced {
            if self.advance(
                id,
                HandoverState::Accepted,
                HandoverState::Fenced,
                node,
                now,
            ) {
                if let Some(handover) = self.under_way.get_mut(&id) {
                    handover.knowledge = knowledge;
                }
            }
        }
        let committed = |h: &&mut Handover| h.state == HandoverState::Committed;
        for id in &report.released {
            if let Some(handover) = self.under_way.get_mut(id).filter(committed) {
                handover.released |= handover.wanted.giver == node;
            }
        }
        for id in &report.taken {
            if let Some(handover) = self.under_way.get_mut(id).filter(committed) {
                handover.taken |= handover.wanted.taker == node;
            }
        }
        // Guard: a giver that has not seen the table yet must go on being told to give no
        // orders.
        let over = |(id, h): (&HandoverId, &Handover)| (h.released && h.taken).then_some(*id);
        let ids: Vec<HandoverId> = self.under_way.iter().filter_map(over).collect();
        for id in ids {
            self.end(id, HandoverEnd::Owned, now);
        }
    }

    /// Takes one step, if the handover is in state `from` and `node` is who takes it.
    fn advance(
        &mut self,
        id: HandoverId,
        from: HandoverState,
        to: HandoverState,
        node: &str,
        now: Secs,
    ) -> bool {
        let Some(handover) = self.under_way.get_mut(&id) else {
            return false;
        };
        let side = if to == HandoverState::Fenced {
            &handover.wanted.giver
        } else {
            &handover.wanted.taker
        };
        if handover.state != from || side != node {
            return false;
        }
        handover.state = to;
        handover.since = now;
        true
    }

    fn end(&mut self, id: HandoverId, how: HandoverEnd, now: Secs) {
        let Some(handover) = self.under_way.remove(&id) else {
            return;
        };
        *self.ended.entry(how).or_default() += 1;
        if how == HandoverEnd::Owned {
            self.machines_moved += handover.knowledge.len() as u64;
            self.longest_s = self.longest_s.max(now - handover.began);
        }
    }

    /// Withdraws what nobody answers. Guard: not what is being written, which may be
    /// carried out late.
    pub fn withdraw_stale(&mut self, patience: Secs, now: Secs) {
        let stale = |h: &Handover| {
            matches!(h.state, HandoverState::Offered | HandoverState::Accepted)
                && now - h.since > patience
        };
        let ids: Vec<HandoverId> = self
            .under_way
            .iter()
            .filter(|(_, h)| stale(h))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.end(id, HandoverEnd::TimedOut, now);
        }
    }

    /// The change of the table that is to be written, on the condition that `present` is
    /// the table still. The same one is given again until its outcome is known.
    pub fn to_write(&mut self, present: &ShareTable, now: Secs) -> Option<TableWrite> {
        if let Some(table) = &self.writing {
            return Some(TableWrite {
                table: table.clone(),
            });
        }
        let mut table = present.clone();
        let fenced = self.in_state(HandoverState::Fenced);
        if fenced.is_empty() {
            return None;
        }
        for id in fenced {
            let Some(handover) = self.under_way.get_mut(&id) else {
                continue;
            };
            table = table.moved(&handover.wanted.range, &handover.wanted.taker);
            handover.state = HandoverState::Committing;
            handover.since = now;
        }
        // Several moves are one change.
        table.generation = present.generation + 1;
        self.writing = Some(table.clone());
        Some(TableWrite { table })
    }

    /// The table as it is known now. What was being written is committed if it is there.
    pub fn table_is(&mut self, present: &ShareTable, now: Secs) {
        if self.writing.as_ref() != Some(present) {
            return;
        }
        self.writing = None;
        for handover in self
            .under_way
            .values_mut()
            .filter(|h| h.state == HandoverState::Committing)
        {
            handover.state = HandoverState::Committed;
            handover.since = now;
            handover.committed = present.generation;
        }
    }

    /// What was being written was refused for certain: the table, or the epoch, is another.
    pub fn refused(&mut self, now: Secs) {
        self.writing = None;
        for id in self.in_state(HandoverState::Committing) {
            self.end(id, HandoverEnd::Refused, now);
        }
    }

    /// A new epoch has begun, or this node no longer leads.
    pub fn new_epoch(&mut self, now: Secs) {
        self.writing = None;
        let ids: Vec<HandoverId> = self.under_way.keys().copied().collect();
        for id in ids {
            self.end(id, HandoverEnd::NewEpoch, now);
        }
    }
}
