//! Transfers: the steps in which the leader moves a hash range to another controller.
//!
//! | state | what has happened | what ends it early |
//! | --- | --- | --- |
//! | offered | the leader offers the range to the target | the target does not respond in time |
//! | accepted | the target accepts; the source is ordered to fence the range | the source does not respond in time |
//! | fenced | the source starts no more tasks on the machines and has reported its state | a new epoch |
//! | committing | the change of the shard map is being written | a definite refusal, a new epoch |
//! | committed | the shard map names the target, which receives the source's state | a new epoch |
//!
//! Before the write of the shard map is sent, a transfer can be aborted, and the source resumes.
//! After that, the write may still be applied late: only the shard map itself, a definite
//! refusal or a new epoch decides the outcome. In a new epoch every owner probes its machines
//! under a higher token, so a transfer can be aborted in any state, and nothing has to be
//! rolled back.

use crate::shard_map::{HashRange, ShardMap};
pub use crate::transfer_messages::{
    MoveReason, RangeMove, TransferId, TransferOrder, TransferOutcome, TransferReport,
    TransferState,
};
use crate::transfer_state::MachineTransferState;
use finchwood_types::clock::Seconds;
use serde::Serialize;
use std::collections::BTreeMap;

/// A transfer in progress.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Transfer {
    /// The range, its source and target, and why it moves.
    #[serde(flatten)]
    pub range_move: RangeMove,
    /// The step that it has reached.
    pub state: TransferState,
    /// When it entered this state, on the leader's clock.
    #[serde(skip)]
    state_since: Seconds,
    /// When it began, on the leader's clock.
    #[serde(skip)]
    started_at: Seconds,
    /// The source's state of the machines, once it has fenced them.
    #[serde(skip)]
    machine_states: Vec<MachineTransferState>,
    /// The generation of the shard map that names the target; 0 until it is committed.
    #[serde(skip)]
    committed_generation: u64,
    /// Whether the source has released the machines.
    #[serde(skip)]
    source_released: bool,
    /// Whether the target has taken the machines over.
    #[serde(skip)]
    target_took_over: bool,
}

/// A change of the shard map that is to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardMapWrite {
    /// The shard map after the change.
    pub shard_map: ShardMap,
}

/// All transfers of the leader.
#[derive(Debug, Clone, Default)]
pub struct Transfers {
    last_id: TransferId,
    in_progress: BTreeMap<TransferId, Transfer>,
    /// The shard map that is being written.
    writing: Option<ShardMap>,
    /// The number of transfers that ended, by outcome.
    pub ended: BTreeMap<TransferOutcome, u64>,
    /// The number of machines in completed transfers.
    pub machines_moved: u64,
    /// The duration of the longest completed transfer, in seconds.
    pub longest_s: f64,
}

impl Transfers {
    /// Returns the transfers in progress.
    pub fn in_progress(&self) -> impl Iterator<Item = &Transfer> {
        self.in_progress.values()
    }

    fn in_state(&self, state: TransferState) -> Vec<TransferId> {
        self.in_progress
            .iter()
            .filter(|(_, transfer)| transfer.state == state)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Whether part of a range is being transferred.
    pub fn is_moving(&self, range: &HashRange) -> bool {
        self.in_progress
            .values()
            .any(|transfer| transfer.range_move.range.overlaps(range))
    }

    /// Begins a transfer. Returns false, and begins none, if part of the range is being
    /// transferred already or the source is also the target.
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
        self.in_progress.insert(self.last_id, transfer);
        true
    }

    /// Returns all current orders for a controller, including those that were sent before.
    pub fn orders_for(&self, node: &str) -> Vec<TransferOrder> {
        let mut orders = Vec::new();
        for (&id, transfer) in &self.in_progress {
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

    /// Applies the report of a controller on its transfers.
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
                if let Some(transfer) = self.in_progress.get_mut(&id) {
                    transfer.machine_states = machine_states;
                }
            }
        }
        let committed = |transfer: &&mut Transfer| transfer.state == TransferState::Committed;
        for id in &report.released {
            if let Some(transfer) = self.in_progress.get_mut(id).filter(committed) {
                transfer.source_released |= transfer.range_move.source == node;
            }
        }
        for id in &report.taken_over {
            if let Some(transfer) = self.in_progress.get_mut(id).filter(committed) {
                transfer.target_took_over |= transfer.range_move.target == node;
            }
        }
        // Guard: a transfer completes only once the source has released the range as well. A
        // source that has not read the new shard map yet still needs the order to fence it.
        let completed = |(id, transfer): (&TransferId, &Transfer)| {
            (transfer.source_released && transfer.target_took_over).then_some(*id)
        };
        let ids: Vec<TransferId> = self.in_progress.iter().filter_map(completed).collect();
        for id in ids {
            self.end(id, TransferOutcome::Completed, now);
        }
    }

    /// Moves a transfer from state `from` to state `to`, if it is in `from` and `node` is the
    /// side that takes this step. Returns whether it did.
    fn advance(
        &mut self,
        id: TransferId,
        from: TransferState,
        to: TransferState,
        node: &str,
        now: Seconds,
    ) -> bool {
        let Some(transfer) = self.in_progress.get_mut(&id) else {
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

    fn end(&mut self, id: TransferId, outcome: TransferOutcome, now: Seconds) {
        let Some(transfer) = self.in_progress.remove(&id) else {
            return;
        };
        *self.ended.entry(outcome).or_default() += 1;
        if outcome == TransferOutcome::Completed {
            self.machines_moved += transfer.machine_states.len() as u64;
            self.longest_s = self.longest_s.max(now - transfer.started_at);
        }
    }

    /// Ends transfers that were offered or accepted more than `timeout` ago without a response.
    /// Guard: transfers whose change is being written are not ended, since the write may still
    /// be applied.
    pub fn time_out_stale(&mut self, timeout: Seconds, now: Seconds) {
        let stale = |transfer: &Transfer| {
            matches!(
                transfer.state,
                TransferState::Offered | TransferState::Accepted
            ) && now - transfer.state_since > timeout
        };
        let ids: Vec<TransferId> = self
            .in_progress
            .iter()
            .filter(|(_, transfer)| stale(transfer))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.end(id, TransferOutcome::TimedOut, now);
        }
    }

    /// Returns the change of the shard map that is to be written, on condition that `current`
    /// is still the stored shard map. The same change is returned until its outcome is known.
    pub fn pending_write(&mut self, current: &ShardMap, now: Seconds) -> Option<ShardMapWrite> {
        if let Some(shard_map) = &self.writing {
            return Some(ShardMapWrite {
                shard_map: shard_map.clone(),
            });
        }
        let mut next = current.clone();
        let fenced = self.in_state(TransferState::Fenced);
        if fenced.is_empty() {
            return None;
        }
        for id in fenced {
            let Some(transfer) = self.in_progress.get_mut(&id) else {
                continue;
            };
            next = next.with_owner(&transfer.range_move.range, &transfer.range_move.target);
            transfer.state = TransferState::Committing;
            transfer.state_since = now;
        }
        // All fenced transfers are written as one change, and so as one generation.
        next.generation = current.generation + 1;
        self.writing = Some(next.clone());
        Some(ShardMapWrite { shard_map: next })
    }

    /// Applies the shard map that was read last. If it is the one that was being written, the
    /// transfers that it contains become committed.
    pub fn observe_shard_map(&mut self, current: &ShardMap, now: Seconds) {
        if self.writing.as_ref() != Some(current) {
            return;
        }
        self.writing = None;
        for transfer in self
            .in_progress
            .values_mut()
            .filter(|transfer| transfer.state == TransferState::Committing)
        {
            transfer.state = TransferState::Committed;
            transfer.state_since = now;
            transfer.committed_generation = current.generation;
        }
    }

    /// Ends the transfers whose change was being written, as the write was definitely refused:
    /// the shard map or the epoch had changed.
    pub fn write_refused(&mut self, now: Seconds) {
        self.writing = None;
        for id in self.in_state(TransferState::Committing) {
            self.end(id, TransferOutcome::Refused, now);
        }
    }

    /// Ends all transfers, as a new epoch has begun or this node no longer leads.
    pub fn abort_all(&mut self, now: Seconds) {
        self.writing = None;
        let ids: Vec<TransferId> = self.in_progress.keys().copied().collect();
        for id in ids {
            self.end(id, TransferOutcome::NewEpoch, now);
        }
    }
}
