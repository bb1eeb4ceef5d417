//! The pages of the machine registry: how many machines one holds, how a page that has
//! become too long is replaced by several, and in what order pages are written.
//! Pure.

use crate::clock::Seconds;
use crate::store::cache::{CachedPage, RegistryPage};
use crate::wire::MachineId;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Bytes that a machine takes on a page, with room to spare for its address.
const MACHINE_BYTES: usize = 40;

/// Bytes that a page takes beside its machines, with room to spare.
const PAGE_BYTES: usize = 160;

/// The largest page, whatever the limits are: it is written anew with every change.
const LARGEST_PAGE_BYTES: usize = 16 * 1024;

/// Pages by their keys.
pub type Pages = BTreeMap<Arc<str>, RegistryPage>;

/// For each page that its copies replace, their keys and versions.
pub type PageCopies = BTreeMap<Arc<str>, Vec<(String, u64)>>;

/// How long a page may be.
#[derive(Debug, Clone, Copy)]
pub struct PageLimit {
    bytes: usize,
}

impl PageLimit {
    /// The limit where a value may take so many bytes.
    pub fn new(value_bytes: usize) -> PageLimit {
        PageLimit { bytes: value_bytes }
    }

    /// How many machines are put on one page.
    pub fn machines(self) -> usize {
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

/// Replaces pages that are longer than the key-value store will take, among those
/// to be written and those that are `stored`: first copies of their pieces are
/// written, and once all are there, the page is deleted. Returns, for each page
/// to be deleted, the versions of its copies, under which alone it may go.
///
/// Guard: a leader of the version before may write to the old page meanwhile. A
/// copy that isn't the same any more is written again before anything is deleted.
pub fn split_long(
    to_write: &mut Pages,
    stored: &BTreeMap<Arc<str>, CachedPage>,
    limit: PageLimit,
) -> PageCopies {
    let present = stored
        .iter()
        .map(|(key, stored)| (key, to_write.get(key).unwrap_or(&stored.page)));
    let long = present.filter(|(_, page)| limit.is_exceeded_by(page));
    let long: Vec<(Arc<str>, RegistryPage)> = long
        .map(|(key, page)| (key.clone(), page.clone()))
        .collect();
    let mut copies = PageCopies::new();
    for (key, mut page) in long {
        to_write.remove(&key);
        let pieces = pieces(&key, &page, limit.machines());
        match revisions_of_copies(&pieces, stored) {
            Some(revisions) => {
                copies.insert(key.clone(), revisions);
                page.machines.clear();
                to_write.insert(key, page);
            }
            None => to_write.extend(pieces),
        }
    }
    copies
}

/// The versions of pages that are stored just as they are here; none if one isn't.
fn revisions_of_copies(
    pages: &[(Arc<str>, RegistryPage)],
    stored: &BTreeMap<Arc<str>, CachedPage>,
) -> Option<Vec<(String, u64)>> {
    let revision = |(key, page): &(Arc<str>, RegistryPage)| {
        let copy = stored.get(key).filter(|copy| copy.page == *page)?;
        Some((key.to_string(), copy.revision))
    };
    pages.iter().map(revision).collect()
}

/// A page's machines on pages of at most `size`.
fn pieces(key: &Arc<str>, page: &RegistryPage, size: usize) -> Vec<(Arc<str>, RegistryPage)> {
    let ids: Vec<&MachineId> = page.machines.keys().collect();
    let mut pieces = Vec::new();
    for (number, ids) in ids.chunks(size).enumerate() {
        let machines = ids
            .iter()
            .map(|id| ((*id).clone(), page.machines[*id].clone()))
            .collect();
        pieces.push((
            format!("{key}.{number}").into(),
            RegistryPage {
                machines,
                ..page.clone()
            },
        ));
    }
    pieces
}

/// Pages that wait to be written, and since when.
#[derive(Debug, Default)]
pub struct PageQueue {
    waiting: HashMap<Arc<str>, Seconds>,
}

impl PageQueue {
    /// Pages in the order in which they are to be written: those that machines are
    /// gone from, as proof may wait for it, then who waits longest. In the order of
    /// their names the last would never be written while there is much to write.
    /// `known` says how many machines a stored page has.
    pub fn in_turn(
        &mut self,
        pages: Pages,
        known: impl Fn(&Arc<str>) -> Option<usize>,
        now: Seconds,
    ) -> Vec<(Arc<str>, RegistryPage)> {
        self.waiting.retain(|key, _| pages.contains_key(key));
        let mut order: Vec<(bool, Seconds, Arc<str>, RegistryPage)> = Vec::new();
        for (key, page) in pages {
            let since = *self.waiting.entry(key.clone()).or_insert(now);
            let shrinks = known(&key).is_some_and(|n| page.machines.len() < n);
            order.push((!shrinks, since, key, page));
        }
        order.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        order
            .into_iter()
            .map(|(_, _, key, page)| (key, page))
            .collect()
    }

    /// A page is being written: what changes on it from now on waits anew.
    pub fn written(&mut self, key: &Arc<str>) {
        self.waiting.remove(key);
    }
}
