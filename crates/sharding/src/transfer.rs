//! Transfers: the steps in which a hash range moves, as the leader takes them.
//!
//! | state | what has happened | what ends it early |
//! | --- | --- | --- |
//! | offered | the leader asks the target | the target does not answer in time |
//! | accepted | the target will take it; the source is told to stop giving orders | the source does not answer in time |
//! | fenced | the source gives no more orders, and has told what it knows | a new epoch |
//! | committing | the shard map's change is being written | a refusal that is certain, a new epoch |
//! | committed | the shard map names the target, which is told what the source knew | a new epoch |
//!
//! Before the shard map is written a transfer can be withdrawn, and the source goes on. Once the
//! write has gone out it may be carried out late: then only the shard map, a certain refusal or
//! a new epoch decides. In a new epoch every owner asks its machines under a higher token,
//! so that whatever a transfer has reached by then is left as it is.

use crate::shard_map::{HashRange, ShardMap};
pub use crate::transfer_messages::{
    MoveReason, RangeMove, TransferId, TransferOrder, TransferOutcome, TransferReport,
    TransferState,
};
use crate::transfer_state::MachineTransferState;
use finchwood_types::clock::Seconds;
use serde::Serialize;
use std::collections::BTreeMap;

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
    state_since: Seconds,
    /// When it began.
    #[serde(skip)]
    started_at: Seconds,
    /// What the source knows of the machines, once it has fenced them.
    #[serde(skip)]
    machine_states: Vec<MachineTransferState>,
    /// The generation of the shard map that names the target; 0 before.
    #[serde(skip)]
    committed_generation: u64,
    /// The source has let go of the machines.
    #[serde(skip)]
    source_released: bool,
    /// The target goes on with them.
    #[serde(skip)]
    target_took_over: bool,
}

/// A change of the shard map that is to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardMapWrite {
    /// The shard map from then on.
    pub shard_map: ShardMap,
}

/// All transfers of the leader.
#[derive(Debug, Clone, Default)]
pub struct Transfers {
    last_id: TransferId,
    under_way: BTreeMap<TransferId, Transfer>,
    /// The shard map that is being written.
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
            .filter(|(_, transfer)| transfer.state == state)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Whether a range takes part in a transfer.
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
        self.last_id += 1;
        let state = TransferState::Offered;
        let transfer = Transfer {
            range_move,
            state,
            state_since: now,
            started_at: now,
            machine_states: Vec::new(),
            committed_generation: 0,
            source_released: false,
            target_took_over: false,
        };
        self.under_way.insert(self.last_id, transfer);
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
                        generation: transfer.committed_generation,
                        machines: transfer.machine_states.clone(),
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

    /// Applies what a controller says of its transfers.
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
        for (id, machine_states) in report.fenced {
            if self.advance(
                id,
                TransferState::Accepted,
                TransferState::Fenced,
                node,
                now,
            ) {
                if let Some(transfer) = self.under_way.get_mut(&id) {
                    transfer.machine_states = machine_states;
                }
            }
        }
        let committed = |transfer: &&mut Transfer| transfer.state == TransferState::Committed;
        for id in &report.released {
            if let Some(transfer) = self.under_way.get_mut(id).filter(committed) {
                transfer.source_released |= transfer.range_move.source == node;
            }
        }
        for id in &report.taken_over {
            if let Some(transfer) = self.under_way.get_mut(id).filter(committed) {
                transfer.target_took_over |= transfer.range_move.target == node;
            }
        }
        // Guard: a source that has not seen the shard map yet must go on being told to give no
        // orders.
        let over = |(id, transfer): (&TransferId, &Transfer)| {
            (transfer.source_released && transfer.target_took_over).then_some(*id)
        };
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
        transfer.state_since = now;
        true
    }

    fn end(&mut self, id: TransferId, how: TransferOutcome, now: Seconds) {
        let Some(transfer) = self.under_way.remove(&id) else {
            return;
        };
        *self.ended.entry(how).or_default() += 1;
        if how == TransferOutcome::Completed {
            self.machines_moved += transfer.machine_states.len() as u64;
            self.longest_s = self.longest_s.max(now - transfer.started_at);
        }
    }

    /// Withdraws what nobody answers. Guard: not what is being written, which may be
    /// carried out late.
    pub fn time_out_stale(&mut self, patience: Seconds, now: Seconds) {
        let stale = |transfer: &Transfer| {
            matches!(
                transfer.state,
                TransferState::Offered | TransferState::Accepted
            ) && now - transfer.state_since > patience
        };
        let ids: Vec<TransferId> = self
            .under_way
            .iter()
            .filter(|(_, transfer)| stale(transfer))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.end(id, TransferOutcome::TimedOut, now);
        }
    }

    /// The change of the shard map that is to be written, on the condition that `present` is
    /// the shard map still. The same one is given again until its outcome is known.
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
            transfer.state_since = now;
        }
        // Several moves are one change.
        table.generation = present.generation + 1;
        self.writing = Some(table.clone());
        Some(ShardMapWrite { shard_map: table })
    }

    /// The shard map as it is known now. What was being written is committed if it is there.
    pub fn observe_shard_map(&mut self, present: &ShardMap, now: Seconds) {
        if self.writing.as_ref() != Some(present) {
            return;
        }
        self.writing = None;
        for transfer in self
            .under_way
            .values_mut()
            .filter(|transfer| transfer.state == TransferState::Committing)
        {
            transfer.state = TransferState::Committed;
            transfer.state_since = now;
            transfer.committed_generation = present.generation;
        }
    }

    /// What was being written was refused for certain: the shard map, or the epoch, is another.
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
