//! Back-off for offers of which the cloud has too few machines.

use super::machines::MachineOffer;
use crate::clock::Seconds;
use std::collections::HashMap;

/// The number of refusals in a row after which the back-off grows no more.
const MAX_REFUSALS: u32 = 4;

/// The back-off that each refusal adds, in report intervals.
const BACKOFF_REPORTS: f64 = 2.0;

/// An offer of which the cloud had too few machines.
#[derive(Debug, Clone, Copy, Default)]
struct Shortage {
    /// It is not asked for before, on the steady clock.
    retry_at: Seconds,
    /// How often in a row the cloud refused.
    refusals: u32,
}

/// The offers that are not asked for at present.
#[derive(Debug, Default)]
pub struct CapacityBackoff {
    shortages: HashMap<MachineOffer, Shortage>,
}

impl CapacityBackoff {
    /// An offer was rented in full.
    pub fn clear(&mut self, offer: &MachineOffer) {
        self.shortages.remove(offer);
    }

    /// The cloud has too few machines of an offer. Capacity comes back as machines are
    /// returned: the offer is asked for again after a while, and less often the longer
    /// there is none. `report_s` is the report interval in seconds.
    pub fn record_shortage(&mut self, offer: MachineOffer, report_s: Seconds, now: Seconds) {
        let shortage = self.shortages.entry(offer).or_default();
        shortage.refusals = (shortage.refusals + 1).min(MAX_REFUSALS);
        shortage.retry_at = now + report_s * f64::from(shortage.refusals) * BACKOFF_REPORTS;
    }

    /// Whether an offer is not to be asked for now.
    pub fn is_blocked(&self, offer: &MachineOffer, now: Seconds) -> bool {
        self.shortages
            .get(offer)
            .is_some_and(|shortage| now < shortage.retry_at)
    }
}
