//! The pages of the machine registry: how many machines one holds, how a page that has
//! become too long is split, and in what order pages are written. Pure.

use super::records::{RegistryPage, Versioned};
use super::Condition;
use crate::clock::Timestamp;
use crate::wire::MachineId;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// The most bytes of a machine's entry on a page; most addresses need fewer.
const MACHINE_BYTES: usize = 40;

/// The most bytes of a page's other fields; most need fewer.
const PAGE_BYTES: usize = 160;

/// The most bytes of a page, whatever the store's limit: each change rewrites the page.
const LARGEST_PAGE_BYTES: usize = 16 * 1024;

/// Pages by their keys.
pub type Pages = BTreeMap<Arc<str>, RegistryPage>;

/// The conditions under which a split page may be deleted, by its key: that the pages
/// that replace it are unchanged.
pub type DeletionConditions = BTreeMap<Arc<str>, Vec<Condition>>;

/// A page with its key.
pub type KeyedPage = (Arc<str>, RegistryPage);

/// How long a page may be.
#[derive(Debug, Clone, Copy)]
pub struct PageLimit {
    bytes: usize,
}

impl PageLimit {
    /// The limit for a store whose values have at most `value_bytes`.
    pub fn new(value_bytes: usize) -> PageLimit {
        PageLimit { bytes: value_bytes }
    }

    /// The most machines of a new page.
    pub fn max_machines(self) -> usize {
        let bytes = self.bytes.min(LARGEST_PAGE_BYTES);
        (bytes.saturating_sub(PAGE_BYTES) / MACHINE_BYTES).max(1)
    }

    /// Whether a page is longer than a value may be.
    fn is_exceeded_by(self, page: &RegistryPage) -> bool {
        // The exact length takes time, and most pages are far below the limit.
        page.machines.len() > 1
            && PAGE_BYTES + page.machines.len() * MACHINE_BYTES > self.bytes
            && serde_json::to_vec(page).map_or(0, |bytes| bytes.len()) > self.bytes
    }
}

/// Splits the pages, stored or to be written, that are longer than the store accepts:
/// the pages that replace one are written first, and once all are stored, it is deleted
/// (written without machines). Returns the conditions of those deletions.
///
/// A leader of the version before may write the old page meanwhile: a replacement that
/// differs from it is written again before anything is deleted.
pub fn split_oversized_pages(
    to_write: &mut Pages,
    stored: &BTreeMap<Arc<str>, Versioned<RegistryPage>>,
    limit: PageLimit,
) -> DeletionConditions {
    let long: Vec<KeyedPage> = stored
        .iter()
        .map(|(key, stored)| (key, to_write.get(key).unwrap_or(&stored.value)))
        .filter(|(_, page)| limit.is_exceeded_by(page))
        .map(|(key, page)| (key.clone(), page.clone()))
        .collect();
    let mut copies = DeletionConditions::new();
    for (key, mut page) in long {
        to_write.remove(&key);
        let replacements = split(&key, &page, limit.max_machines());
        match stored_as(&replacements, stored) {
            Some(conditions) => {
                copies.insert(key.clone(), conditions);
                page.machines.clear();
                to_write.insert(key, page);
            }
            None => to_write.extend(replacements),
        }
    }
    copies
}

/// The conditions that these pages are unchanged; `None` unless all are stored exactly so.
fn stored_as(
    pages: &[KeyedPage],
    stored: &BTreeMap<Arc<str>, Versioned<RegistryPage>>,
) -> Option<Vec<Condition>> {
    let unchanged = |(key, page): &KeyedPage| {
        let copy = stored.get(key).filter(|copy| copy.value == *page)?;
        Some(Condition::new(&**key, copy.revision))
    };
    pages.iter().map(unchanged).collect()
}

/// Splits a page into pages of at most `size` machines.
fn split(key: &Arc<str>, page: &RegistryPage, size: usize) -> Vec<KeyedPage> {
    let ids: Vec<&MachineId> = page.machines.keys().collect();
    let page_of = |(number, ids): (usize, &[&MachineId])| {
        let machines = ids
            .iter()
            .map(|id| ((*id).clone(), page.machines[*id].clone()))
            .collect();
        let page = RegistryPage {
            machines,
            ..page.clone()
        };
        (format!("{key}.{number}").into(), page)
    };
    ids.chunks(size).enumerate().map(page_of).collect()
}

/// The order in which pages are written.
#[derive(Debug, Default)]
pub struct PageQueue {
    /// When each page was first to be written, by key.
    waiting_since: HashMap<Arc<str>, Timestamp>,
}

impl PageQueue {
    /// Sorts pages into the order of their writes: first those that lose machines, as
    /// other decisions wait for such writes, then those that wait longest. In the order
    /// of their keys, the last would starve while there is much to write.
    /// `stored_machines` returns the number of machines of a stored page.
    pub fn write_order(
        &mut self,
        pages: Pages,
        stored_machines: impl Fn(&Arc<str>) -> Option<usize>,
        now: Timestamp,
    ) -> Vec<KeyedPage> {
        self.waiting_since.retain(|key, _| pages.contains_key(key));
        let mut queued: Vec<QueuedPage> = Vec::new();
        for (key, page) in pages {
            let since = *self.waiting_since.entry(key.clone()).or_insert(now);
            let shrinks = stored_machines(&key).is_some_and(|count| page.machines.len() < count);
            queued.push(QueuedPage {
                shrinks,
                since,
                key,
                page,
            });
        }
        queued.sort_by(|a, b| {
            b.shrinks
                .cmp(&a.shrinks)
                .then(a.since.total_cmp(&b.since))
                .then(a.key.cmp(&b.key))
        });
        queued
            .into_iter()
            .map(|queued| (queued.key, queued.page))
            .collect()
    }

    /// Records that a page is being written: later changes of it wait anew.
    pub fn record_write(&mut self, key: &Arc<str>) {
        self.waiting_since.remove(key);
    }
}

/// A page that waits to be written.
struct QueuedPage {
    /// Whether it loses machines.
    shrinks: bool,
    /// Since when it waits.
    since: Timestamp,
    key: Arc<str>,
    page: RegistryPage,
}
