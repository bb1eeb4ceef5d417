//! The model of the machine registry: pages that leaders write under the conditions of the real
//! code. Some writes are carried out long after their writer stopped waiting, also by a leader
//! that has been deposed meanwhile.

use super::{take_due, Scheduled, SimulatedCluster};
use finchwood::store::cache::{CacheChange, RegisteredMachine, StoreCache};
use finchwood::store::records::RegistryPage;
use finchwood::store::registry_pages::write_conditions;
use finchwood::store::{Condition, KeyChange};
use finchwood::wire::MachineId;
use rand::Rng;
use std::collections::HashSet;
use std::sync::Arc;

/// How long a leader waits for the outcome of a write before it writes the page again.
const WRITE_TIMEOUT_S: f64 = 2.0;
/// The share of writes that are carried out late, without a response.
const LATE_SHARE: f64 = 0.3;

/// A write of a page under conditions; an empty page is deleted.
#[derive(Clone)]
pub(super) struct ConditionalPageWrite {
    conditions: Vec<Condition>,
    key: Arc<str>,
    page: RegistryPage,
}

impl SimulatedCluster {
    /// Stores the page of a machine that was just rented. Its write may be late: meanwhile the
    /// machine is known from its heartbeats only.
    pub(super) fn put_rental_page(&mut self, id: &str, zone: &str) {
        let write = ConditionalPageWrite {
            conditions: write_conditions(
                &format!("fw/r/rent-{id}"),
                0,
                self.store_revision("fw/epoch"),
            ),
            key: format!("fw/r/rent-{id}").into(),
            page: page_of(id, zone),
        };
        self.send_page_write(None, write);
    }

    /// Removes a machine from all pages.
    pub(super) fn remove_from_registry(&mut self, id: &str) {
        let pages = self.registry_pages();
        for (key, mut page) in pages {
            if page.machines.remove(id).is_some() {
                self.apply_page(&key, page);
            }
        }
    }

    /// Runs one round of a leader's writes to the registry: it adds the machines that report
    /// and are on no page, marks those that have reported as in use, and removes deleted ones.
    pub(super) fn registry_round(&mut self, index: usize, deleted: &HashSet<String>) {
        let controller = &self.controllers[index];
        let cache = &controller.cache;
        let mut writes: Vec<ConditionalPageWrite> = Vec::new();
        for machine in controller.leader.machines() {
            if !machine.has_reported || deleted.contains(&*machine.id) {
                continue;
            }
            match cache.registry.get(&machine.id) {
                None => writes.push(new_page(cache, controller.incarnation, machine)),
                Some(_) if !machine.reconciled => {}
                Some(registered) => writes.extend(marks(cache, registered, &machine.id)),
            }
        }
        for (key, stored) in &cache.registry_pages {
            let mut page = stored.value.clone();
            page.machines.retain(|id, _| !deleted.contains(&**id));
            if page != stored.value {
                writes.push(change_of(cache, key, page));
            }
        }
        for write in writes {
            let now = self.now;
            let waits_until = &mut self.controllers[index].page_writes;
            let until = waits_until.entry(write.key.clone()).or_insert(0.0);
            if now >= *until {
                *until = now + WRITE_TIMEOUT_S;
                if self.controllers[index].cache.epoch.as_ref() != Some(&self.epoch) {
                    self.statistics.deposed_page_writes += 1;
                }
                self.send_page_write(Some(index), write);
            }
        }
    }

    /// Carries out a write at once, so that its writer knows the outcome before it has read the
    /// changes before it, or late and without a response.
    fn send_page_write(&mut self, writer: Option<usize>, write: ConditionalPageWrite) {
        if self.rng.gen_bool(LATE_SHARE) {
            let due_at = self.now + self.rng.gen_range(2.0..12.0);
            self.delayed_page_writes.push(Scheduled {
                due_at,
                item: write,
            });
            return;
        }
        let (key, page) = (write.key.clone(), write.page.clone());
        if !self.commit_page(write) {
            return;
        }
        let Some(writer) = writer.filter(|_| !page.machines.is_empty()) else {
            return;
        };
        let (revision, now) = (self.revision, self.now);
        let controller = &mut self.controllers[writer];
        let value = serde_json::to_value(&page).expect("a JSON value");
        if let CacheChange::Machines(ids) = controller.cache.put(&key, value, revision) {
            for id in ids {
                controller.registry_changed(&id, now);
            }
        }
    }

    /// Carries out the delayed writes of pages that are due.
    pub(super) fn carry_out_delayed_page_writes(&mut self) {
        for write in take_due(&mut self.delayed_page_writes, self.now) {
            if self.commit_page(write) {
                self.statistics.late_page_writes += 1;
            }
        }
    }

    /// Writes a page if the conditions hold, and returns whether it was written.
    fn commit_page(&mut self, write: ConditionalPageWrite) -> bool {
        if !write
            .conditions
            .iter()
            .all(|condition| self.holds(condition))
        {
            return false;
        }
        self.apply_page(&write.key, write.page);
        true
    }

    fn apply_page(&mut self, key: &str, page: RegistryPage) {
        if page.machines.is_empty() {
            self.revision += 1;
            self.store_log.push(KeyChange::Delete {
                key: key.into(),
                revision: self.revision,
            });
        } else {
            self.put(key, serde_json::to_value(page).expect("a JSON value"));
        }
    }

    /// Whether the store holds what a condition requires.
    pub(super) fn holds(&self, condition: &Condition) -> bool {
        self.store_revision(&condition.key) == condition.revision
    }

    /// Returns the revision of a key; 0 if it does not exist.
    fn store_revision(&self, key: &str) -> u64 {
        let last_change = self.store_log.iter().rev().find_map(|change| match change {
            KeyChange::Put {
                key: put, revision, ..
            } if put == key => Some(*revision),
            KeyChange::Delete { key: deleted, .. } if deleted == key => Some(0),
            _ => None,
        });
        last_change.unwrap_or(0)
    }

    /// Returns the stored pages of the registry.
    fn registry_pages(&self) -> Vec<(Arc<str>, RegistryPage)> {
        let mut cache = StoreCache::new(8.0);
        let registry_changes = self.store_log.iter().filter(|change| {
            let (KeyChange::Put { key, .. } | KeyChange::Delete { key, .. }) = change;
            key.starts_with("fw/r/")
        });
        for change in registry_changes {
            cache.apply(change.clone());
        }
        let pages = cache.registry_pages.into_iter();
        pages.map(|(key, page)| (key, page.value)).collect()
    }
}

fn page_of(id: &str, zone: &str) -> RegistryPage {
    RegistryPage {
        machine_type: "k".into(),
        zone: zone.into(),
        spot: false,
        rented_at_ms: 0,
        machines: [(id.into(), None)].into_iter().collect(),
    }
}

/// Returns the write of a new page with a machine that was found by its heartbeats.
fn new_page(
    cache: &StoreCache,
    incarnation: u64,
    machine: &finchwood::shard::MachineStatus,
) -> ConditionalPageWrite {
    let key = format!("fw/r/found-{incarnation}-{}", machine.id);
    change_of(cache, &key.into(), page_of(&machine.id, &machine.zone))
}

/// Returns the writes that mark a machine as in use on all its pages.
fn marks(
    cache: &StoreCache,
    registered: &RegisteredMachine,
    id: &MachineId,
) -> Vec<ConditionalPageWrite> {
    let mark = |key: &Arc<str>| {
        let mut page = cache.registry_pages[key].value.clone();
        page.machines.insert(id.clone(), Some(id.clone()));
        change_of(cache, key, page)
    };
    registered.unmarked_page_keys.iter().map(mark).collect()
}

/// Returns the write of a page on the basis of what a controller has cached.
fn change_of(cache: &StoreCache, key: &Arc<str>, page: RegistryPage) -> ConditionalPageWrite {
    let stored = cache.registry_pages.get(key);
    ConditionalPageWrite {
        conditions: write_conditions(
            key,
            stored.map_or(0, |page| page.revision),
            cache.epoch_revision,
        ),
        key: key.clone(),
        page,
    }
}
