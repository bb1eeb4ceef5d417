//! The messages between the leader and the two sides of a transfer. Other versions read them,
//! so the serialized names of fields and variants must not change.

use crate::shard_map::HashRange;
use crate::transfer_state::MachineTransferState;
use serde::{Deserialize, Serialize};

/// The number of a transfer, unique within its epoch.
pub type TransferId = u64;

/// Why a hash range moves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MoveReason {
    /// An operator requested it.
    Plan,
    /// Its owner is being drained.
    Drain,
    /// Its owner has far more machines than other controllers.
    Balance,
    /// The shard map is full: the hash owner of the smallest range takes that range back.
    #[serde(rename = "tidy")]
    Compact,
}

/// A move of a hash range from one controller to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeMove {
    /// The range; a single controller owns all of it.
    pub range: HashRange,
    /// The controller that owns the range.
    #[serde(rename = "giver")]
    pub source: String,
    /// The controller that takes the range over.
    #[serde(rename = "taker")]
    pub target: String,
    /// Why it moves.
    pub reason: MoveReason,
}

/// The state of a transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TransferState {
    /// The leader offers the range to the target.
    Offered,
    /// The target has accepted; the leader orders the source to fence the range.
    Accepted,
    /// The source has fenced the range: it starts no more tasks on these machines.
    Fenced,
    /// The change of the shard map is being written.
    Committing,
    /// The shard map names the target as owner.
    Committed,
}

/// How a transfer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TransferOutcome {
    /// The target has taken over and continues from the state that the source sent.
    #[serde(rename = "owned")]
    Completed,
    /// The target or the source did not respond in time.
    TimedOut,
    /// The write of the shard map was refused, as the shard map or the epoch had changed.
    Refused,
    /// A new epoch began, or the leader no longer leads.
    NewEpoch,
}

/// An order of the leader to one side of a transfer. It is repeated until it has taken effect.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum TransferOrder {
    /// Offers the range to the target, which reports whether it accepts.
    Offer {
        /// The transfer.
        id: TransferId,
    },
    /// Makes the source fence the range: it starts no more tasks on these machines. The fence
    /// ends when the order is no longer repeated.
    Fence {
        /// The transfer.
        id: TransferId,
        /// The range that is transferred.
        range: HashRange,
    },
    /// Makes the target take over the machines in their reported state, once it has read the
    /// shard map of `generation`.
    #[serde(rename = "Take")]
    TakeOver {
        /// The transfer.
        id: TransferId,
        /// The range that is transferred.
        range: HashRange,
        /// The generation of the shard map that names the target as owner.
        generation: u64,
        /// The state of the machines when the source fenced them.
        machines: Vec<MachineTransferState>,
    },
}

impl TransferOrder {
    /// Returns the transfer that the order belongs to.
    pub fn id(&self) -> TransferId {
        match self {
            TransferOrder::Offer { id }
            | TransferOrder::Fence { id, .. }
            | TransferOrder::TakeOver { id, .. } => *id,
        }
    }
}

/// The report of a controller to the leader on its transfers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TransferReport {
    /// The offers that it accepts.
    #[serde(default)]
    pub accepted: Vec<TransferId>,
    /// The ranges that it has fenced, with its state of their machines.
    #[serde(default)]
    pub fenced: Vec<(TransferId, Vec<MachineTransferState>)>,
    /// The ranges that it has released, as the shard map names another owner.
    #[serde(default)]
    pub released: Vec<TransferId>,
    /// The ranges that it has taken over.
    #[serde(default)]
    #[serde(rename = "taken")]
    pub taken_over: Vec<TransferId>,
}

impl TransferReport {
    /// Whether the report contains nothing.
    pub fn is_empty(&self) -> bool {
        self.accepted.is_empty()
            && self.fenced.is_empty()
            && self.released.is_empty()
            && self.taken_over.is_empty()
    }
}
