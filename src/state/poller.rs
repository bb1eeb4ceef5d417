//! The poller: keeps the mirror of what the state service holds fresh.

use super::{spawn, Budget, CallError, Entry, Event, Store};
use crate::clock::{self, Secs};
use crate::settings::Settings;
use crossbeam::channel::{Receiver, RecvTimeoutError};
use std::time::Duration;

/// What the poller tells its owner.
#[derive(Debug)]
pub enum Feed {
    /// All keys, read anew.
    Loaded {
        began: Secs,
        ring: u64,
        entries: Vec<Entry>,
    },
    /// What has changed since the last.
    Changed {
        began: Secs,
        ring: u64,
        events: Vec<Event>,
    },
    /// A read failed.
    Down,
}

/// The poller's pace: a third of the service's calls go to keeping the
/// mirrors of all nodes fresh.
pub fn poll_gap(settings: &Settings) -> Secs {
    let nodes = (settings.members.len() + 1) as f64;
    // Nobody notices less than that, and each reading takes its time.
    let least = settings.params.workers.report_s / 50.0;
    (3.0 * nodes / settings.params.state.rps).max(least)
}

/// Starts the poller. It reads all keys once, then asks for changes at a
/// steady pace, at once when kicked and the pace allows.
pub fn poller<F>(settings: &Settings, budget: Budget, kicks: Receiver<()>, tell: F)
where
    F: Fn(Feed) -> bool + Send + 'static,
{
    let store = Store::new(settings);
    let gap = poll_gap(settings);
    spawn("state-poller", move || {
        let mut at: Option<u64> = None;
        let mut last = clock::now() - gap;
        loop {
            let wait = (last + gap - clock::now()).max(0.0);
            std::thread::sleep(Duration::from_secs_f64(wait));
            match kicks.recv_timeout(Duration::from_secs_f64(gap)) {
                Err(RecvTimeoutError::Disconnected) => return,
                _ => while kicks.try_recv().is_ok() {},
            }
            budget.wait_call();
            last = clock::now();
            let feed = match at {
                None => load(&store, &budget, last),
                Some(from) => match store.changes(from) {
                    Ok((ring, events)) => Some(Feed::Changed {
                        began: last,
                        ring,
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
                Some(Feed::Loaded { ring, .. } | Feed::Changed { ring, .. }) => at = Some(*ring),
                _ => last += gap,
            }
            if !tell(feed.unwrap_or(Feed::Down)) {
                return;
            }
        }
    });
}

fn load(store: &Store, budget: &Budget, began: Secs) -> Option<Feed> {
    let mut entries: Vec<Entry> = Vec::new();
    let mut first_ring = None;
    loop {
        let from = entries.last().map(|e| e.key.clone());
        let (page, more, ring) = store.page(from.as_deref()).ok()?;
        // Later pages may be newer than the first: changes are asked for
        // from the first page's revision, and applying them twice is harmless.
        let ring = *first_ring.get_or_insert(ring);
        let empty = page.is_empty();
        entries.extend(page);
        if !more || empty {
            return Some(Feed::Loaded {
                began,
                ring,
                entries,
            });
        }
        budget.wait_call();
    }
}
