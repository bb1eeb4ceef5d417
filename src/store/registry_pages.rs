//! The pages of the machine registry: how many machines a page can hold, how oversized pages
//! are split, and in which order pages are written. This module does no input or output.

use super::keys::EPOCH_KEY;
use super::records::{RegistryPage, Versioned};
use super::Condition;
use crate::clock::Timestamp;
use crate::wire::MachineId;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// The size that is estimated for a machine's entry on a page, in bytes; most entries are
/// smaller.
const MACHINE_BYTES: usize = 40;

/// The size that is estimated for the other fields of a page, in bytes; on most pages they are
/// smaller.
const PAGE_HEADER_BYTES: usize = 160;

/// The largest size of a new page, in bytes, even if the store accepts larger values: each
/// change of a page rewrites all of it.
const MAX_NEW_PAGE_BYTES: usize = 16 * 1024;

/// Registry pages, by key.
pub type Pages = BTreeMap<Arc<str>, RegistryPage>;

/// The conditions under which each split page may be deleted, by its key: the pages that
/// replace it must be unchanged.
pub type DeletionConditions = BTreeMap<Arc<str>, Vec<Condition>>;

/// A registry page with its key.
pub type KeyedPage = (Arc<str>, RegistryPage);

/// The size limit of registry pages.
#[derive(Debug, Clone, Copy)]
pub struct PageLimit {
    bytes: usize,
}

impl PageLimit {
    /// Creates the limit for a store whose values have at most `value_bytes` bytes.
    pub fn new(value_bytes: usize) -> PageLimit {
        PageLimit { bytes: value_bytes }
    }

    /// Returns the largest number of machines on a new page, which is at least 1.
    pub fn max_machines(self) -> usize {
        let bytes = self.bytes.min(MAX_NEW_PAGE_BYTES);
        (bytes.saturating_sub(PAGE_HEADER_BYTES) / MACHINE_BYTES).max(1)
    }

    /// Whether a page is larger than the store accepts. A page with a single machine can't be
    /// split and never counts as oversized.
    fn is_exceeded_by(self, page: &RegistryPage) -> bool {
        // The estimate comes first: encoding a page to find its exact size takes time, and
        // most pages are far below the limit.
        page.machines.len() > 1
            && PAGE_HEADER_BYTES + page.machines.len() * MACHINE_BYTES > self.bytes
            && serde_json::to_vec(page).map_or(0, |bytes| bytes.len()) > self.bytes
    }
}

/// Returns the conditions under which a leader writes a page: the page is at `page_revision`, 0 if
/// it does not exist, and the epoch is the one that it leads.
pub fn write_conditions(key: &str, page_revision: u64, epoch_revision: u64) -> Vec<Condition> {
    vec![
        Condition::new(key, page_revision),
        // Guard: a leader that has been deposed, or a write of it that is carried out late,
        // would mark a machine after its next owner and the next leader have looked for the mark,
        // or create a second page of a machine.
        Condition::new(EPOCH_KEY, epoch_revision),
    ]
}

/// Replaces oversized pages in `to_write`. A stored page is oversized if its version in
/// `to_write`, or else its stored version, is larger than the store accepts. The pages that
/// replace it are written first. Once all of them are stored, the oversized page is deleted,
/// by writing it without machines. Returns the conditions of these deletions.
///
/// A leader of the previous version may write the oversized page in the meantime.
/// Replacements that differ from it are therefore written again before it is deleted.
pub fn split_oversized_pages(
    to_write: &mut Pages,
    stored: &BTreeMap<Arc<str>, Versioned<RegistryPage>>,
    limit: PageLimit,
) -> DeletionConditions {
    let oversized: Vec<KeyedPage> = stored
        .iter()
        .map(|(key, stored)| (key, to_write.get(key).unwrap_or(&stored.value)))
        .filter(|(_, page)| limit.is_exceeded_by(page))
        .map(|(key, page)| (key.clone(), page.clone()))
        .collect();
    let mut deletion_conditions = DeletionConditions::new();
    for (key, mut page) in oversized {
        to_write.remove(&key);
        let replacements = split(&key, &page, limit.max_machines());
        match unchanged_conditions(&replacements, stored) {
            Some(conditions) => {
                deletion_conditions.insert(key.clone(), conditions);
                page.machines.clear();
                to_write.insert(key, page);
            }
            None => to_write.extend(replacements),
        }
    }
    deletion_conditions
}

/// Returns the conditions that `pages` are unchanged in the store; `None` unless each of them
/// is stored exactly as given.
fn unchanged_conditions(
    pages: &[KeyedPage],
    stored: &BTreeMap<Arc<str>, Versioned<RegistryPage>>,
) -> Option<Vec<Condition>> {
    let unchanged = |(key, page): &KeyedPage| {
        let stored_page = stored.get(key).filter(|stored| stored.value == *page)?;
        Some(Condition::new(&**key, stored_page.revision))
    };
    pages.iter().map(unchanged).collect()
}

/// Splits a page into pages of at most `size` machines. Their keys are that of the page with
/// a number appended.
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

/// Decides in which order pages are written.
#[derive(Debug, Default)]
pub struct PageQueue {
    /// The time since which each page has been waiting to be written, by key.
    waiting_since: HashMap<Arc<str>, Timestamp>,
}

impl PageQueue {
    /// Sorts pages into the order in which they are to be written: first those that lose
    /// machines, as other decisions wait for such writes, then those that have been waiting
    /// longest. If pages were written in key order, the last would starve while many are
    /// waiting. `stored_machines` returns the number of machines on a stored page, or `None`
    /// if the page is not stored.
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

    /// Records that a page is being written, so that its next change starts waiting anew.
    pub fn record_write(&mut self, key: &Arc<str>) {
        self.waiting_since.remove(key);
    }
}

/// A page that is waiting to be written.
struct QueuedPage {
    /// Whether the page loses machines by the write.
    shrinks: bool,
    /// The time since which the page has been waiting.
    since: Timestamp,
    key: Arc<str>,
    page: RegistryPage,
}
