//! Transfers: the steps in which a share moves, as the leader takes them.
//!
//! | state | what has happened | what ends it early |
//! | --- | --- | --- |
//! | offered | the leader asks the target | the target does not answer in time |
//! | accepted | the target will take it; the source is told to stop giving orders | the source does not answer in time |
//! | fenced | the source gives no more orders, and has told what it knows | a new epoch |
//! | committing | the table's change is being written | a refusal that is certain, a new epoch |
//! | committed | the table names the target, which is told what the source knew | a new epoch |
//!
//! Before the table is written a transfer can be withdrawn, and the source goes on. Once the
//! write has gone out it may be carried out late: then only the table, a certain refusal or
//! a new epoch decides. In a new epoch every owner asks its machines under a higher token,
//! so that whatever a transfer has reached by then is left as it is.

use crate::shard_map::{HashRange, ShardMap};
use crate::transfer_state::MachineTransferState;
use finchwood_types::clock::Seconds;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A transfer's number, unique within its epoch.
pub type TransferId = u64;

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
    #[serde(rename = "tidy")]
    Compact,
}

/// A move that is wanted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeMove {
    /// What moves; a single controller owns all of it.
    pub range: HashRange,
    /// Its owner.
    #[serde(rename = "giver")]
    pub source: String,
    /// Its owner to be.
    #[serde(rename = "taker")]
    pub target: String,
    /// Why.
    pub reason: MoveReason,
}

/// How far a transfer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TransferState {
    /// The target is asked.
    Offered,
    /// The source is told to stop giving orders.
    Accepted,
    /// The source gives no more orders.
    Fenced,
    /// The table's change is being written.
    Committing,
    /// The table names the target.
    Committed,
}

/// How a transfer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TransferOutcome {
    /// The target goes on from what the source knew.
    #[serde(rename = "owned")]
    Completed,
    /// A side did not answer in time.
    TimedOut,
    /// The table was changed by somebody else.
    Refused,
    /// A new epoch began.
    NewEpoch,
}

/// An order to one side of a transfer, repeated until it shows effect.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum TransferOrder {
    /// To the target: will it take the share?
    Offer { id: TransferId },
    /// To the source: no more orders to these machines. It ends when it is no longer told.
    Fence { id: TransferId, range: HashRange },
    /// To the target: go on from this, once the table of that generation is seen.
    #[serde(rename = "Take")]
    TakeOver {
        id: TransferId,
        range: HashRange,
        generation: u64,
        machines: Vec<MachineTransferState>,
    },
}

impl TransferOrder {
    /// The transfer that it is about.
    pub fn id(&self) -> TransferId {
        match self {
            TransferOrder::Offer { id }
            | TransferOrder::Fence { id, .. }
            | TransferOrder::TakeOver { id, .. } => *id,
        }
    }
}

/// What a controller tells the leader of its transfers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TransferReport {
    /// Offers that it accepts.
    #[serde(default)]
    pub accepted: Vec<TransferId>,
    /// Shares to whose machines it gives no orders, and what it knows of them.
    #[serde(default)]
    pub fenced: Vec<(TransferId, Vec<MachineTransferState>)>,
    /// Shares that it has let go of, as the table names their target.
    #[serde(default)]
    pub released: Vec<TransferId>,
    /// Shares with which it goes on.
    #[serde(default)]
    #[serde(rename = "taken")]
    pub taken_over: Vec<TransferId>,
}

impl TransferReport {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.accepted.is_empty()
            && self.fenced.is_empty()
            && self.released.is_empty()
            && self.taken_over.is_empty()
    }
}

/// A transfer under way.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Transfer {
    /// What moves, from whom to whom, and why.
    #[serde(flatten)]
    pub range_move: RangeMove,
    /// How far it is.
    pub state: TransferState,
    /// Since when, on the leader's clock.
    #[serde(skip)]
    pub since: Seconds,
    /// When it began.
    #[serde(skip)]
    pub began: Seconds,
    #[serde(skip)]
    knowledge: Vec<MachineTransferState>,
    /// The generation of the table that names the target; 0 before.
    #[serde(skip)]
    committed: u64,
    /// The source has let go, the target goes on.
    #[serde(skip)]
    released: bool,
    #[serde(skip)]
    taken_over: bool,
}

/// A change of the table that is to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardMapWrite {
    /// The table from then on.
    pub shard_map: ShardMap,
}

/// All transfers of the leader.
#[derive(Debug, Clone, Default)]
pub struct Transfers {
    numbers: TransferId,
    under_way: BTreeMap<TransferId, Transfer>,
    /// The table that is being written.
    writing: Option<ShardMap>,
    /// How many ended in each way.
    pub ended: BTreeMap<TransferOutcome, u64>,
    /// Machines that changed hands.
    pub machines_moved: u64,
    /// The longest time from the beginning to the end of one that moved, in seconds.
    pub longest_s: f64,
}

impl Transfers {
    /// The transfers under way.
    pub fn under_way(&self) -> impl Iterator<Item = &Transfer> {
        self.under_way.values()
    }

    fn in_state(&self, state: TransferState) -> Vec<TransferId> {
        self.under_way
            .iter()
            .filter(|(_, h)| h.state == state)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Whether a range takes shard in a transfer.
    pub fn is_moving(&self, range: &HashRange) -> bool {
        self.under_way
            .values()
            .any(|transfer| transfer.range_move.range.overlaps(range))
    }

    /// Begins a transfer; false if part of the range is moving already.
    pub fn begin(&mut self, range_move: RangeMove, now: Seconds) -> bool {
        if self.is_moving(&range_move.range) || range_move.source == range_move.target {
            return false;
        }
        self.numbers += 1;
        let state = TransferState::Offered;
        let transfer = Transfer {
            range_move,
            state,
            since: now,
            began: now,
            knowledge: Vec::new(),
            committed: 0,
            released: false,
            taken_over: false,
        };
        self.under_way.insert(self.numbers, transfer);
        true
    }

    /// The orders for a controller, all of them each time.
    pub fn orders_for(&self, node: &str) -> Vec<TransferOrder> {
        let mut orders = Vec::new();
        for (&id, transfer) in &self.under_way {
            let range_move = &transfer.range_move;
            match transfer.state {
                TransferState::Offered if range_move.target == node => {
                    orders.push(TransferOrder::Offer { id })
                }
                TransferState::Committed if range_move.target == node => {
                    orders.push(TransferOrder::TakeOver {
                        id,
                        range: range_move.range.clone(),
                        generation: transfer.committed,
                        machines: transfer.knowledge.clone(),
                    })
                }
                TransferState::Accepted
                | TransferState::Fenced
                | TransferState::Committing
                | TransferState::Committed
                    if range_move.source == node =>
                {
                    orders.push(TransferOrder::Fence {
                        id,
                        range: range_move.range.clone(),
                    });
                }
                _ => {}
            }
        }
        orders
    }

    /// Takes in what a controller says of its transfers.
    pub fn apply_report(&mut self, node: &str, report: TransferReport, now: Seconds) {
        for id in report.accepted {
            self.advance(
                id,
                TransferState::Offered,
                TransferState::Accepted,
                node,
                now,
            );
        }
        for (id, knowledge) in report.fenced {
            if self.advance(
                id,
                TransferState::Accepted,
                TransferState::Fenced,
                node,
                now,
            ) {
                if let Some(transfer) = self.under_way.get_mut(&id) {
                    transfer.knowledge = knowledge;
                }
            }
        }
        let committed = |h: &&mut Transfer| h.state == TransferState::Committed;
        for id in &report.released {
            if let Some(transfer) = self.under_way.get_mut(id).filter(committed) {
                transfer.released |= transfer.range_move.source == node;
            }
        }
        for id in &report.taken_over {
            if let Some(transfer) = self.under_way.get_mut(id).filter(committed) {
                transfer.taken_over |= transfer.range_move.target == node;
            }
        }
        // Guard: a source that has not seen the table yet must go on being told to give no
        // orders.
        let over = |(id, h): (&TransferId, &Transfer)| (h.released && h.taken_over).then_some(*id);
        let ids: Vec<TransferId> = self.under_way.iter().filter_map(over).collect();
        for id in ids {
            self.end(id, TransferOutcome::Completed, now);
        }
    }

    /// Takes one step, if the transfer is in state `from` and `node` is who takes it.
    fn advance(
        &mut self,
        id: TransferId,
        from: TransferState,
        to: TransferState,
        node: &str,
        now: Seconds,
    ) -> bool {
        let Some(transfer) = self.under_way.get_mut(&id) else {
            return false;
        };
        let side = if to == TransferState::Fenced {
            &transfer.range_move.source
        } else {
            &transfer.range_move.target
        };
        if transfer.state != from || side != node {
            return false;
        }
        transfer.state = to;
        transfer.since = now;
        true
    }

    fn end(&mut self, id: TransferId, how: TransferOutcome, now: Seconds) {
        let Some(transfer) = self.under_way.remove(&id) else {
            return;
        };
        *self.ended.entry(how).or_default() += 1;
        if how == TransferOutcome::Completed {
            self.machines_moved += transfer.knowledge.len() as u64;
            self.longest_s = self.longest_s.max(now - transfer.began);
        }
    }

    /// Withdraws what nobody answers. Guard: not what is being written, which may be
    /// carried out late.
    pub fn time_out_stale(&mut self, patience: Seconds, now: Seconds) {
        let stale = |h: &Transfer| {
            matches!(h.state, TransferState::Offered | TransferState::Accepted)
                && now - h.since > patience
        };
        let ids: Vec<TransferId> = self
            .under_way
            .iter()
            .filter(|(_, h)| stale(h))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.end(id, TransferOutcome::TimedOut, now);
        }
    }

    /// The change of the table that is to be written, on the condition that `present` is
    /// the table still. The same one is given again until its outcome is known.
    pub fn pending_write(&mut self, present: &ShardMap, now: Seconds) -> Option<ShardMapWrite> {
        if let Some(table) = &self.writing {
            return Some(ShardMapWrite {
                shard_map: table.clone(),
            });
        }
        let mut table = present.clone();
        let fenced = self.in_state(TransferState::Fenced);
        if fenced.is_empty() {
            return None;
        }
        for id in fenced {
            let Some(transfer) = self.under_way.get_mut(&id) else {
                continue;
            };
            table = table.with_owner(&transfer.range_move.range, &transfer.range_move.target);
            transfer.state = TransferState::Committing;
            transfer.since = now;
        }
        // Several moves are one change.
        table.generation = present.generation + 1;
        self.writing = Some(table.clone());
        Some(ShardMapWrite { shard_map: table })
    }

    /// The table as it is known now. What was being written is committed if it is there.
    pub fn observe_shard_map(&mut self, present: &ShardMap, now: Seconds) {
        if self.writing.as_ref() != Some(present) {
            return;
        }
        self.writing = None;
        for transfer in self
            .under_way
            .values_mut()
            .filter(|h| h.state == TransferState::Committing)
        {
            transfer.state = TransferState::Committed;
            transfer.since = now;
            transfer.committed = present.generation;
        }
    }

    /// What was being written was refused for certain: the table, or the epoch, is another.
    pub fn write_refused(&mut self, now: Seconds) {
        self.writing = None;
        for id in self.in_state(TransferState::Committing) {
            self.end(id, TransferOutcome::Refused, now);
        }
    }

    /// A new epoch has begun, or this node no longer leads.
    pub fn abort_all(&mut self, now: Seconds) {
        self.writing = None;
        let ids: Vec<TransferId> = self.under_way.keys().copied().collect();
        for id in ids {
            self.end(id, TransferOutcome::NewEpoch, now);
        }
    }
}
