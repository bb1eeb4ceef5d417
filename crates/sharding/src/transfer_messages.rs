//! What the leader and the two sides of a transfer tell each other. The names of serialized
//! fields and variants are read by other versions.

use crate::shard_map::HashRange;
use crate::transfer_state::MachineTransferState;
use serde::{Deserialize, Serialize};

/// A transfer's number, unique within its epoch.
pub type TransferId = u64;

/// Why a hash range moves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MoveReason {
    /// An operator asked for it.
    Plan,
    /// Its owner is to be emptied.
    Drain,
    /// Its owner has far more machines than others.
    Balance,
    /// The shard map is full: its hash owner takes the smallest range back.
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
    /// The shard map's change is being written.
    Committing,
    /// The shard map names the target.
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
    /// The shard map was changed by somebody else.
    Refused,
    /// A new epoch began.
    NewEpoch,
}

/// An order to one side of a transfer, repeated until it shows effect.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum TransferOrder {
    /// To the target: will it take the range?
    Offer {
        /// The transfer.
        id: TransferId,
    },
    /// To the source: no more orders to these machines. It ends when it is no longer told.
    Fence {
        /// The transfer.
        id: TransferId,
        /// The machines that it moves.
        range: HashRange,
    },
    /// To the target: go on from this, once the shard map of that generation is seen.
    #[serde(rename = "Take")]
    TakeOver {
        /// The transfer.
        id: TransferId,
        /// The machines that it moves.
        range: HashRange,
        /// The generation of the shard map that names the target.
        generation: u64,
        /// What the source knew of the machines.
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
    /// Ranges to whose machines it gives no orders, and what it knows of them.
    #[serde(default)]
    pub fenced: Vec<(TransferId, Vec<MachineTransferState>)>,
    /// Ranges that it has let go of, as the shard map names their target.
    #[serde(default)]
    pub released: Vec<TransferId>,
    /// Ranges with which it goes on.
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
