//! Evaluates the cloud's machine lists: which registered machines are terminated, that is,
//! no longer exist, and which machines are running although they are unknown, that is,
//! neither registered nor terminated.

use crate::clock::Seconds;
use crate::wire::MachineId;
use std::collections::{HashMap, HashSet};

/// A list may be outdated by up to this multiple of the cloud's stated lag.
const LAG_FACTOR: f64 = 2.0;

/// Allowance for the transmission of a request for a list, in seconds.
const REQUEST_SLACK_S: Seconds = 0.5;

/// The allowance for an unknown machine before it counts as running, in seconds.
const UNKNOWN_SLACK_S: Seconds = 1.0;

/// The shortest interval between requests for a list, in seconds.
const MIN_INTERVAL_S: Seconds = 1.0;

/// The evaluation of the lists received so far, and when the next one is due.
#[derive(Debug, Default)]
pub struct MachineListTracker {
    /// When the next list is requested; `None` for as soon as possible.
    due_at: Option<Seconds>,
    /// Whether a requested list has not arrived yet.
    pending: bool,
    /// When each registered machine was last listed.
    listed_at: HashMap<MachineId, Seconds>,
    /// Since when each unknown machine has been listed.
    unknown_since: HashMap<MachineId, Seconds>,
}

impl MachineListTracker {
    /// Makes a list due at once, as this controller has become the leader.
    pub fn start_leading(&mut self) {
        self.due_at = None;
        self.pending = false;
    }

    /// Removes what was recorded of a machine that was removed from the machine registry.
    pub fn forget(&mut self, id: &MachineId) {
        self.listed_at.remove(id);
    }

    /// Whether a list should be requested now.
    pub fn is_due(&self, now: Seconds) -> bool {
        self.due_at.is_none_or(|due_at| now >= due_at) && !self.pending
    }

    /// Records that a list was requested; `lag_s` is the cloud's stated lag in seconds.
    pub fn record_request(&mut self, now: Seconds, lag_s: Seconds) {
        self.pending = true;
        self.due_at = Some(now + lag_s.max(MIN_INTERVAL_S));
    }

    /// Records that the requested list has arrived or that the request has failed.
    pub fn record_response(&mut self) {
        self.pending = false;
    }

    /// Records which machines of the machine registry are in a list that was requested at
    /// `requested_at`, and returns those that are terminated.
    ///
    /// The list may be outdated by up to twice the lag. A machine that is missing from it
    /// is certain to be terminated only if an earlier list contained it, and that list was
    /// received before this one can have been made.
    pub fn record_registered<'a>(
        &mut self,
        registered: impl Iterator<Item = &'a MachineId>,
        listed: &HashSet<&MachineId>,
        requested_at: Seconds,
        lag_s: Seconds,
        now: Seconds,
    ) -> Vec<MachineId> {
        let made_after = requested_at - LAG_FACTOR * lag_s - REQUEST_SLACK_S;
        let mut terminated = Vec::new();
        for id in registered {
            if listed.contains(id) {
                self.listed_at.insert(id.clone(), now);
            } else if self.listed_at.get(id).is_some_and(|&at| at < made_after) {
                terminated.push(id.clone());
            }
        }
        terminated
    }

    /// Records that a listed machine is registered or terminated, and so not unknown.
    pub fn record_known(&mut self, id: &MachineId) {
        self.unknown_since.remove(id);
    }

    /// Records that a listed machine is unknown. Returns whether it is certain to be
    /// running: it has been listed for so long that this cannot be due to outdated lists
    /// which still contain a deleted machine.
    pub fn record_unknown(&mut self, id: &MachineId, lag_s: Seconds, now: Seconds) -> bool {
        let since = *self.unknown_since.entry(id.clone()).or_insert(now);
        now - since > LAG_FACTOR * lag_s + UNKNOWN_SLACK_S
    }

    /// Removes unknown machines that are not in the latest list.
    pub fn retain_unknown(&mut self, listed: &HashSet<&MachineId>) {
        self.unknown_since.retain(|id, _| listed.contains(id));
    }
}
