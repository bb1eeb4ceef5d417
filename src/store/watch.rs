//! The poller: keeps the cache of what the key-value store holds fresh.

use super::{spawn, CallError, KeyChange, KeyValue, RateBudget, StoreClient};
use crate::clock::{self, Seconds};
use crate::config::settings::Settings;
use crossbeam::channel::{Receiver, RecvTimeoutError};
use std::time::Duration;

/// What the poller tells its owner.
#[derive(Debug)]
pub enum WatchEvent {
    /// All keys, read anew.
    Snapshot {
        began: Seconds,
        revision: u64,
        entries: Vec<KeyValue>,
    },
    /// What has changed since the last.
    Changes {
        began: Seconds,
        revision: u64,
        events: Vec<KeyChange>,
    },
    /// A read failed.
    Unavailable,
}

/// The poller's pace: a third of the service's calls go to keeping the
/// caches of all nodes fresh.
pub fn poll_interval(settings: &Settings) -> Seconds {
    let nodes = (settings.members.len() + 1) as f64;
    // Nobody notices less than that, and each reading takes its time.
    let least = settings.params.workers.report_s / 50.0;
    (3.0 * nodes / settings.params.state.rps).max(least)
}

/// Starts the poller. It reads all keys once, then asks for changes at a
/// steady pace, at once when kicked and the pace allows.
pub fn start_watch<F>(settings: &Settings, budget: RateBudget, watch_wakeups: Receiver<()>, tell: F)
where
    F: Fn(WatchEvent) -> bool + Send + 'static,
{
    let store = StoreClient::new(settings);
    let gap = poll_interval(settings);
    spawn("state-poller", move || {
        let mut at: Option<u64> = None;
        let mut last = clock::now() - gap;
        loop {
            let wait = (last + gap - clock::now()).max(0.0);
            std::thread::sleep(Duration::from_secs_f64(wait));
            match watch_wakeups.recv_timeout(Duration::from_secs_f64(gap)) {
                Err(RecvTimeoutError::Disconnected) => return,
                _ => while watch_wakeups.try_recv().is_ok() {},
            }
            budget.wait_call();
            last = clock::now();
            let feed = match at {
                None => load(&store, &budget, last),
                Some(from) => match store.changes(from) {
                    Ok((revision, events)) => Some(WatchEvent::Changes {
                        began: last,
                        revision,
                        events,
                    }),
                    Err(CallError::Status(410, _)) => {
                        at = None;
                        continue;
                    }
                    Err(_) => None,
                },
            };
            match &feed {
                Some(
                    WatchEvent::Snapshot { revision, .. } | WatchEvent::Changes { revision, .. },
                ) => at = Some(*revision),
                _ => last += gap,
            }
            if !tell(feed.unwrap_or(WatchEvent::Unavailable)) {
                return;
            }
        }
    });
}

fn load(store: &StoreClient, budget: &RateBudget, began: Seconds) -> Option<WatchEvent> {
    let mut entries: Vec<KeyValue> = Vec::new();
    let mut first_revision = None;
    loop {
        let from = entries.last().map(|e| e.key.clone());
        let (page, more, revision) = store.page(from.as_deref()).ok()?;
        // Later pages may be newer than the first: changes are asked for
        // from the first page's revision, and applying them twice is harmless.
        let revision = *first_revision.get_or_insert(revision);
        let empty = page.is_empty();
        entries.extend(page);
        if !more || empty {
            return Some(WatchEvent::Snapshot {
                began,
                revision,
                entries,
            });
        }
        budget.wait_call();
    }
}
