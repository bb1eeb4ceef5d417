//! The body of the response to `GET /shares` on the internal listener: the shard map and the
//! transfers in progress.

use crate::wire::MachineId;
use finchwood_sharding::plan::Plan;
use finchwood_sharding::shard_map::HashRange;
use finchwood_sharding::transfer::{Transfer, TransferOutcome};
use serde::Serialize;
use std::collections::BTreeMap;

/// One controller's copy of the shard map, and the machines that it owns.
#[derive(Debug, Clone, Serialize)]
pub struct ShardMapReport {
    /// The name of the controller.
    pub node: String,
    /// The number of the epoch that the controller has entered; 0 before the first.
    pub epoch: u64,
    /// Whether all members of the epoch use the shard map.
    pub in_use: bool,
    /// The number of changes of the shard map so far.
    pub generation: u64,
    /// The hash ranges in the shard map, whose machines do not belong to their hash owner.
    #[serde(rename = "shares")]
    pub ranges: Vec<OwnedRange>,
    /// The machines that this controller owns.
    pub machines: Vec<MachineId>,
    /// The machines of this controller that are being transferred, on which it starts no tasks.
    pub fenced: Vec<MachineId>,
    /// The transfers of the cluster; `None` unless this controller is the leader.
    pub leader: Option<TransfersReport>,
}

/// A hash range and its owner.
#[derive(Debug, Clone, Serialize)]
pub struct OwnedRange {
    /// The range.
    #[serde(flatten)]
    pub range: HashRange,
    /// The name of the controller that owns the machines in the range.
    pub owner: String,
}

/// The leader's report on transfers.
#[derive(Debug, Clone, Serialize)]
pub struct TransfersReport {
    /// The transfers in progress.
    #[serde(rename = "under_way")]
    pub in_progress: Vec<Transfer>,
    /// The number of transfers that ended, by outcome.
    pub ended: BTreeMap<TransferOutcome, u64>,
    /// The number of machines in completed transfers.
    pub machines_moved: u64,
    /// The duration of the longest completed transfer, in seconds.
    pub longest_s: f64,
    /// The number of machines in the registry that no controller has reported as its own.
    pub without_owner: usize,
    /// The part of the operators' plan that is not carried out yet.
    pub plan: Plan,
}
