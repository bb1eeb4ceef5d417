//! The fencing tokens that a shard has issued in its epoch to machines that it has removed since.
//!
//! A heartbeat under a token of the epoch proves what is on a machine only if that token was
//! issued for the shard's present record of the machine. A late heartbeat of a machine that was
//! removed carries a token of an earlier record. No counter is therefore issued again: each new
//! record begins with one that no removed record has reached.

use crate::cluster::membership::MAX_COUNTER;
use crate::wire::MachineId;
use std::collections::BTreeMap;

/// Counters above this one are remembered for each machine: a single machine with a high counter
/// must not leave too few for all others.
const MAX_SKIPPED_COUNTER: u64 = MAX_COUNTER / 2;

/// The counters of the tokens of removed machines, in one epoch.
#[derive(Debug, Clone, Default)]
pub(super) struct IssuedTokens {
    /// The lowest counter that no removed machine has reached, apart from those in `high`.
    lowest_unissued: u64,
    /// The counters of removed machines above [`MAX_SKIPPED_COUNTER`].
    high: BTreeMap<MachineId, u64>,
}

impl IssuedTokens {
    /// Records the counter that a machine had reached when it was removed.
    pub(super) fn record_removed(&mut self, id: &MachineId, counter: u64) {
        if counter > MAX_SKIPPED_COUNTER {
            self.high.insert(id.clone(), counter);
        } else {
            self.lowest_unissued = self.lowest_unissued.max(counter + 1);
        }
    }

    /// Returns the first counter for a new record of a machine.
    pub(super) fn first_counter(&self, id: &MachineId) -> u64 {
        let after_high = self.high.get(id).map(|counter| counter + 1);
        after_high.unwrap_or(self.lowest_unissued)
    }
}
