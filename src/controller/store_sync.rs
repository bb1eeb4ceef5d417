//! The synchronization of the local cache with the key-value store.

use super::events::{event_sink, ControllerEvent};
use crate::clock::Seconds;
use crate::config::settings::Settings;
use crate::store::{self, RateBudget};
use crossbeam::channel::{bounded, Sender};

/// The state of the synchronization: whether the key-value store is reachable, and how old the
/// contents of the cache are.
pub(super) struct StoreSync {
    /// When the last successful read began. The cache shows every write that was committed
    /// before that time. `None` before the first successful read.
    last_synced_at: Option<Seconds>,
    /// The revision of the key-value store that was last read; 0 before.
    revision: u64,
    /// Whether the last read failed.
    unreachable: bool,
    /// The channel that makes the watch poll the store before its next poll is due.
    watch_wakeups: Sender<()>,
}

impl StoreSync {
    /// Starts the watch of the key-value store, which sends its events to the event loop.
    pub(super) fn start(
        settings: &Settings,
        budget: RateBudget,
        events: &Sender<ControllerEvent>,
    ) -> StoreSync {
        let (watch_wakeups, wakeups) = bounded(1);
        let on_event = event_sink(events, ControllerEvent::Watch);
        store::start_watch(settings, budget, wakeups, on_event);
        StoreSync {
            last_synced_at: None,
            revision: 0,
            unreachable: false,
            watch_wakeups,
        }
    }

    /// Records a successful read that started at `read_started_at`.
    pub(super) fn record_success(&mut self, read_started_at: Seconds) {
        self.last_synced_at = Some(read_started_at);
        self.unreachable = false;
    }

    /// Records the revision that a read has reached.
    pub(super) fn record_revision(&mut self, revision: u64) {
        self.revision = revision;
    }

    /// Returns the revision that was last read.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Records a failed read.
    pub(super) fn record_failure(&mut self) {
        self.unreachable = true;
    }

    /// Returns when the last successful read began; `None` if there was none.
    pub(super) fn last_synced_at(&self) -> Option<Seconds> {
        self.last_synced_at
    }

    /// Returns whether the last read failed.
    pub(super) fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// Returns whether the store has been read and the last read did not fail.
    pub(super) fn is_synced(&self) -> bool {
        !self.unreachable && self.last_synced_at.is_some()
    }

    /// Returns whether the last successful read began less than `max_age` ago.
    pub(super) fn synced_within(&self, max_age: Seconds, now: Seconds) -> bool {
        self.last_synced_at.is_some_and(|at| now - at < max_age)
    }

    /// Makes the watch poll the store as soon as the rate limit allows it. Has no effect if
    /// such a request is pending already.
    pub(super) fn request_poll(&self) {
        let _ = self.watch_wakeups.try_send(());
    }
}
