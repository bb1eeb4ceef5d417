//! The body of `GET /shares` on the internal listener: the shard map and the transfers
//! under way.

use crate::wire::MachineId;
use finchwood_sharding::plan::Plan;
use finchwood_sharding::shard_map::HashRange;
use finchwood_sharding::transfer::{Transfer, TransferOutcome};
use serde::Serialize;
use std::collections::BTreeMap;

/// The shard map, as one controller knows it.
#[derive(Debug, Clone, Serialize)]
pub struct ShardMapReport {
    /// The name of the controller.
    pub node: String,
    /// The current epoch; 0 before the first.
    pub epoch: u64,
    /// All members of the epoch follow the shard map.
    pub in_use: bool,
    /// The number of changes of the shard map so far.
    pub generation: u64,
    /// The hash ranges that another controller than their hash owner owns.
    #[serde(rename = "shares")]
    pub ranges: Vec<OwnedRange>,
    /// The machines that this controller owns.
    pub machines: Vec<MachineId>,
    /// Those of its machines that get no orders, as they are being transferred.
    pub fenced: Vec<MachineId>,
    /// The transfers of the cluster, if it leads.
    pub leader: Option<TransfersReport>,
}

/// A hash range and its owner.
#[derive(Debug, Clone, Serialize)]
pub struct OwnedRange {
    /// The machines of the range.
    #[serde(flatten)]
    pub range: HashRange,
    /// The name of the controller that owns them.
    pub owner: String,
}

/// The transfers that the leader carries out.
#[derive(Debug, Clone, Serialize)]
pub struct TransfersReport {
    /// The transfers under way.
    pub under_way: Vec<Transfer>,
    /// The number of transfers that ended, by how they ended.
    pub ended: BTreeMap<TransferOutcome, u64>,
    /// The number of machines that changed their owner.
    pub machines_moved: u64,
    /// The duration of the longest transfer that moved a hash range, in seconds.
    pub longest_s: f64,
    /// The number of registered machines that no controller has reported to own.
    pub without_owner: usize,
    /// What operators have requested and is not carried out yet.
    pub plan: Plan,
}
