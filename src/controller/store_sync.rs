//! How well the local cache follows the key-value store.

use super::events::{event_sink, ControllerEvent};
use crate::clock::Seconds;
use crate::config::settings::Settings;
use crate::store::{self, RateBudget};
use crossbeam::channel::{bounded, Sender};

/// Whether the key-value store is reached, and how old the cache is.
pub(super) struct StoreSync {
    /// When the newest reading of the cache was asked for.
    last_synced_at: Option<Seconds>,
    /// The last reading failed.
    unreachable: bool,
    /// Wakes the watch up before its next poll is due.
    watch_wakeups: Sender<()>,
}

impl StoreSync {
    /// Starts the watch of the key-value store.
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
            unreachable: false,
            watch_wakeups,
        }
    }

    /// Records a reading that was asked for at `asked_at`.
    pub(super) fn record_success(&mut self, asked_at: Seconds) {
        self.last_synced_at = Some(asked_at);
        self.unreachable = false;
    }

    /// Records a reading that failed.
    pub(super) fn record_failure(&mut self) {
        self.unreachable = true;
    }

    /// When the newest reading was asked for, if there was one.
    pub(super) fn last_synced_at(&self) -> Option<Seconds> {
        self.last_synced_at
    }

    /// Whether the last reading failed.
    pub(super) fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// Whether the store was read, and the last reading did not fail.
    pub(super) fn is_synced(&self) -> bool {
        !self.unreachable && self.last_synced_at.is_some()
    }

    /// Whether the newest reading is younger than `max_age`.
    pub(super) fn synced_within(&self, max_age: Seconds, now: Seconds) -> bool {
        self.last_synced_at.is_some_and(|at| now - at < max_age)
    }

    /// Has the watch poll at once; a wake-up that is pending already will do.
    pub(super) fn request_poll(&self) {
        let _ = self.watch_wakeups.try_send(());
    }
}
