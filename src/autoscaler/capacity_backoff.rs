//! Back-off for offers of which the cloud has too few machines.

use super::machines::MachineOffer;
use crate::clock::Seconds;
use std::collections::HashMap;

/// After this many consecutive refusals the back-off does not grow any further.
const MAX_REFUSALS: u32 = 4;

/// The back-off that each refusal adds, in report intervals.
const BACKOFF_REPORTS: f64 = 2.0;

/// The back-off of an offer of which the cloud had too few machines.
#[derive(Debug, Clone, Copy, Default)]
struct Shortage {
    /// The offer is not requested before this time, on the monotonic clock.
    retry_at: Seconds,
    /// The number of consecutive refusals.
    refusals: u32,
}

/// The offers that the cloud has refused recently.
#[derive(Debug, Default)]
pub struct CapacityBackoff {
    shortages: HashMap<MachineOffer, Shortage>,
}

impl CapacityBackoff {
    /// Ends the back-off of an offer, which was rented in full.
    pub fn clear(&mut self, offer: &MachineOffer) {
        self.shortages.remove(offer);
    }

    /// Starts or extends the back-off of an offer of which the cloud has too few machines.
    /// Capacity returns as machines are deleted, so the offer is requested again after a
    /// while, and less often the longer the shortage lasts. `report_s` is the report
    /// interval in seconds.
    pub fn record_shortage(&mut self, offer: MachineOffer, report_s: Seconds, now: Seconds) {
        let shortage = self.shortages.entry(offer).or_default();
        shortage.refusals = (shortage.refusals + 1).min(MAX_REFUSALS);
        shortage.retry_at = now + report_s * f64::from(shortage.refusals) * BACKOFF_REPORTS;
    }

    /// Whether an offer is backed off and not to be requested now.
    pub fn is_blocked(&self, offer: &MachineOffer, now: Seconds) -> bool {
        self.shortages
            .get(offer)
            .is_some_and(|shortage| now < shortage.retry_at)
    }
}
