//! What a controller says of the shares, to operators who ask (`GET /shares` at the address
//! for the other controllers).

use crate::wire::MachineId;
use finchwood_sharding::plan::Plan;
use finchwood_sharding::shard_map::HashRange;
use finchwood_sharding::transfer::{Transfer, TransferEnd};
use serde::Serialize;
use std::collections::BTreeMap;

/// Shares, as one controller knows them.
#[derive(Debug, Clone, Serialize)]
pub struct ShardMapReport {
    /// The controller's name.
    pub node: String,
    /// The present epoch; 0 before the first.
    pub epoch: u64,
    /// All members of the epoch go by the table.
    pub in_use: bool,
    /// How often the table has changed.
    pub generation: u64,
    /// What is owned otherwise than the hash says.
    pub shares: Vec<OwnedRange>,
    /// The machines that this controller owns.
    pub machines: Vec<MachineId>,
    /// Of these, the ones that get no orders, as they are being handed over.
    pub fenced: Vec<MachineId>,
    /// The transfers, if it leads.
    pub leader: Option<TransfersReport>,
}

/// A share with its owner.
#[derive(Debug, Clone, Serialize)]
pub struct OwnedRange {
    /// What it holds.
    #[serde(flatten)]
    pub range: HashRange,
    /// Who owns it.
    pub owner: String,
}

/// The leader's transfers.
#[derive(Debug, Clone, Serialize)]
pub struct TransfersReport {
    /// Under way.
    pub under_way: Vec<Transfer>,
    /// How many ended, and how.
    pub ended: BTreeMap<TransferEnd, u64>,
    /// Machines that changed hands.
    pub machines_moved: u64,
    /// The longest transfer that moved a share, in seconds.
    pub longest_s: f64,
    /// Machines of the machine registry that no controller has told to own.
    pub without_owner: usize,
    /// What operators asked for and is not carried out yet.
    pub plan: Plan,
}
