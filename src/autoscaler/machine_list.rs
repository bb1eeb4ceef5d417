//! What the cloud's machine lists have shown: which machines are gone, and which run
//! though no controller knows them.

use crate::clock::Seconds;
use crate::wire::MachineId;
use std::collections::{HashMap, HashSet};

/// A list may be up to this many times the cloud's stated lag old.
const LAG_FACTOR: f64 = 2.0;

/// Slack for the way of a request for a list, in seconds.
const REQUEST_SLACK_S: Seconds = 0.5;

/// Slack for a machine that no controller knows, in seconds.
const UNKNOWN_SLACK_S: Seconds = 1.0;

/// The shortest time between two requests for a list, in seconds.
const MIN_INTERVAL_S: Seconds = 1.0;

/// What lists have shown so far, and when the next is due.
#[derive(Debug, Default)]
pub struct MachineListTracker {
    /// When the next list is requested; `None`: at once.
    due_at: Option<Seconds>,
    /// A list was requested and has not come.
    pending: bool,
    /// When a machine of the machine registry was last listed.
    listed_at: HashMap<MachineId, Seconds>,
    /// Since when a machine that no controller knows has been listed.
    unknown_since: HashMap<MachineId, Seconds>,
}

impl MachineListTracker {
    /// This controller leads from now on: a list is due at once.
    pub fn start_leading(&mut self) {
        self.due_at = None;
        self.pending = false;
    }

    /// A machine is off the machine registry.
    pub fn forget(&mut self, id: &MachineId) {
        self.listed_at.remove(id);
    }

    /// Whether to request a list now.
    pub fn is_due(&self, now: Seconds) -> bool {
        self.due_at.is_none_or(|due_at| now >= due_at) && !self.pending
    }

    /// A list was requested; `lag_s` is the cloud's stated lag in seconds.
    pub fn record_request(&mut self, now: Seconds, lag_s: Seconds) {
        self.pending = true;
        self.due_at = Some(now + lag_s.max(MIN_INTERVAL_S));
    }

    /// The request has been answered, or has failed.
    pub fn record_answer(&mut self) {
        self.pending = false;
    }

    /// Records which machines of the registry a list requested at `requested_at` has;
    /// returns those that are gone.
    ///
    /// The list may be up to twice the lag old: that a machine is gone is certain only
    /// if an earlier list, received before this one can have been made, had it.
    pub fn record_registered<'a>(
        &mut self,
        registered: impl Iterator<Item = &'a MachineId>,
        listed: &HashSet<&MachineId>,
        requested_at: Seconds,
        lag_s: Seconds,
        now: Seconds,
    ) -> Vec<MachineId> {
        let made_after = requested_at - LAG_FACTOR * lag_s - REQUEST_SLACK_S;
        let mut gone = Vec::new();
        for id in registered {
            if listed.contains(id) {
                self.listed_at.insert(id.clone(), now);
            } else if self.listed_at.get(id).is_some_and(|&at| at < made_after) {
                gone.push(id.clone());
            }
        }
        gone
    }

    /// A listed machine is known.
    pub fn record_known(&mut self, id: &MachineId) {
        self.unknown_since.remove(id);
    }

    /// A listed machine is unknown. Whether it certainly runs: it has been listed for so
    /// long that the lists cannot show one that was deleted meanwhile.
    pub fn record_unknown(&mut self, id: &MachineId, lag_s: Seconds, now: Seconds) -> bool {
        let since = *self.unknown_since.entry(id.clone()).or_insert(now);
        now - since > LAG_FACTOR * lag_s + UNKNOWN_SLACK_S
    }

    /// Forgets unknown machines that the newest list no longer has.
    pub fn retain_unknown(&mut self, listed: &HashSet<&MachineId>) {
        self.unknown_since.retain(|id, _| listed.contains(id));
    }
}
