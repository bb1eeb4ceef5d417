//! What a controller says of the shares, to operators who ask (`GET /shares` at the address
//! for the other controllers).

use crate::wire::MachineId;
use finchwood_shares::handover::{Handover, HandoverEnd};
use finchwood_shares::plan::Plan;
use finchwood_shares::table::ShareRange;
use serde::Serialize;
use std::collections::BTreeMap;

/// Shares, as one controller knows them.
#[derive(Debug, Clone, Serialize)]
pub struct SharesReport {
    /// The controller's name.
    pub node: String,
    /// The present epoch; 0 before the first.
    pub epoch: u64,
    /// All members of the epoch go by the table.
    pub in_use: bool,
    /// How often the table has changed.
    pub generation: u64,
    /// What is owned otherwise than the hash says.
    pub shares: Vec<OwnedShare>,
    /// The machines that this controller owns.
    pub machines: Vec<MachineId>,
    /// Of these, the ones that get no orders, as they are being handed over.
    pub fenced: Vec<MachineId>,
    /// The handovers, if it leads.
    pub leader: Option<HandoversReport>,
}

/// A share with its owner.
#[derive(Debug, Clone, Serialize)]
pub struct OwnedShare {
    /// What it holds.
    #[serde(flatten)]
    pub range: ShareRange,
    /// Who owns it.
    pub owner: String,
}

/// The leader's handovers.
#[derive(Debug, Clone, Serialize)]
pub struct HandoversReport {
    /// Under way.
    pub under_way: Vec<Handover>,
    /// How many ended, and how.
    pub ended: BTreeMap<HandoverEnd, u64>,
    /// Machines that changed hands.
    pub machines_moved: u64,
    /// The longest handover that moved a share, in seconds.
    pub longest_s: f64,
    /// Machines of the roster that no controller has told to own.
    pub without_owner: usize,
    /// What operators asked for and is not carried out yet.
    pub plan: Plan,
}
