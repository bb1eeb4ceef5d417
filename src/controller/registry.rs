//! The machine registry: pages of machines in the key-value store, which the leader updates
//! with few writes. A page has at most one write in flight; changes that are made in the
//! meantime are part of its next write.

use super::writes::{put_record, to_value};
use super::{Controller, WritePurpose};
use crate::autoscaler::MachineOffer;
use crate::clock::{self, Seconds};
use crate::shard::MachineStatus;
use crate::store::keys::page_key;
use crate::store::pending_writes::{PendingWrites, WriteId};
use crate::store::records::{MachineRecord, RegistryPage};
use crate::store::registry_pages::{self, DeletionConditions, PageLimit, PageQueue, Pages};
use crate::store::{CommitOutcome, Condition, ConditionalWrite, WriteClass, WriteOp};
use crate::wire::MachineId;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// How long a write of a page may take, in seconds.
const PAGE_WRITE_TIMEOUT: Seconds = 2.0;

/// How long after the completion of a page's write the cache may not show its outcome yet, in
/// seconds.
const CACHE_LAG: Seconds = 0.5;

/// The number of page writes that may always be in flight at once, however few operations a
/// transaction may have.
const MIN_CONCURRENT_WRITES: usize = 2;

/// How long a machine that no longer exists is remembered in addition to the duration of a
/// worker's lease, in multiples of the lag of the cloud's machine list.
const DELETED_LIST_LAGS: f64 = 4.0;

/// A machine that the cached registry does not contain yet.
struct UnwrittenMachine {
    page_key: Arc<str>,
    record: MachineRecord,
}

/// A machine that sends heartbeats or is listed by the cloud, but is neither in the cached
/// registry nor was rented by this leader.
struct FoundMachine {
    id: MachineId,
    record: MachineRecord,
}

/// A registered machine that is to be marked as in use.
struct StartedMachine {
    id: MachineId,
    address: Arc<str>,
}

/// The state of the leader's writes to the machine registry.
#[derive(Default)]
pub(super) struct RegistryWriter {
    /// Page writes in flight, with the values written; `None` for a deletion.
    writing: PendingWrites<Arc<str>, Option<RegistryPage>>,
    /// Machines that were rented or found, until the cached registry contains them.
    unwritten: BTreeMap<MachineId, UnwrittenMachine>,
    /// The number of groups of found machines so far. Each group gets pages of its own.
    found_groups: u64,
    /// The completion times of the writes whose outcomes the cache may not show yet, by page
    /// key.
    completed_at: HashMap<Arc<str>, Seconds>,
    /// The order in which changed pages are written.
    queue: PageQueue,
}

impl RegistryWriter {
    /// Discards the state that depends on the epoch, as this node begins to lead a new one.
    pub(super) fn begin_leading(&mut self) {
        self.completed_at.clear();
    }

    /// Returns whether a machine was rented or found and is not in the cached registry yet.
    pub(super) fn is_unwritten(&self, id: &MachineId) -> bool {
        self.unwritten.contains_key(id)
    }

    /// Returns the machines that were rented or found and are not in the cached registry
    /// yet.
    pub(super) fn unwritten_machines(&self) -> impl Iterator<Item = (&MachineId, &MachineRecord)> {
        self.unwritten
            .iter()
            .map(|(id, machine)| (id, &machine.record))
    }

    /// Returns whether a write of a page is in flight, or completed so recently that the cache
    /// may not show its outcome yet.
    fn is_page_busy(&self, key: &Arc<str>) -> bool {
        self.writing.contains(key) || self.completed_at.contains_key(key)
    }
}

impl Controller {
    fn page_limit(&self) -> PageLimit {
        PageLimit::new(self.settings.params.state.lowest_value_bytes())
    }

    /// Records machines of one offer to be written to the registry, on pages whose names
    /// begin with `name`.
    pub(super) fn add_unwritten_machines(
        &mut self,
        ids: Vec<MachineId>,
        name: &str,
        record: &MachineRecord,
    ) {
        for (number, page_ids) in ids.chunks(self.page_limit().max_machines()).enumerate() {
            let page_key: Arc<str> = page_key(&format!("{name}.{number}")).into();
            for id in page_ids {
                let machine = UnwrittenMachine {
                    page_key: page_key.clone(),
                    record: record.clone(),
                };
                self.registry.unwritten.insert(id.clone(), machine);
            }
        }
    }

    /// Records found machines to be written to the registry, on separate pages for each
    /// offer.
    fn add_found_machines(&mut self, found: Vec<FoundMachine>) {
        let mut by_offer: BTreeMap<MachineOffer, Vec<FoundMachine>> = BTreeMap::new();
        for machine in found {
            let offer = MachineOffer::from(&machine.record);
            by_offer.entry(offer).or_default().push(machine);
        }
        let incarnation = self.membership.incarnation().unwrap_or_default();
        for group in by_offer.into_values() {
            self.registry.found_groups += 1;
            let name = format!("found-{incarnation}-{}", self.registry.found_groups);
            let record = group[0].record.clone();
            let ids = group.into_iter().map(|machine| machine.id).collect();
            self.add_unwritten_machines(ids, &name, &record);
        }
    }

    /// Records a machine that the cloud lists and no page contains, to be written to the
    /// registry.
    pub(super) fn add_listed_machine(&mut self, id: MachineId, record: MachineRecord) {
        self.add_found_machines(vec![FoundMachine { id, record }]);
    }

    /// Updates the registry: adds rented and found machines, marks machines that their owners
    /// have reconciled, and removes machines that no longer exist.
    pub(super) fn update_registry(&mut self, now: Seconds) {
        self.registry
            .completed_at
            .retain(|_, at| now - *at < CACHE_LAG);
        let started = self.add_unregistered_machines();
        let mut pages = Pages::new();
        self.mark_started(started, &mut pages);
        self.add_unwritten_to_pages(&mut pages);
        self.remove_deleted_from_pages(&mut pages);
        let stored = &self.cache.registry_pages;
        let deletion_conditions =
            registry_pages::split_oversized_pages(&mut pages, stored, self.page_limit());
        self.write_pages(pages, &deletion_conditions, now);
        self.forget_deleted(now);
    }

    /// Records the machines that have sent heartbeats and are on no page, to be written to
    /// the registry. Returns the machines that are to be marked: they are on a page that does not
    /// mark them as in use, and their owner has reconciled them, so that no owner of an earlier
    /// epoch can start a task there on the strength of the mark.
    fn add_unregistered_machines(&mut self) -> Vec<StartedMachine> {
        let mut started = Vec::new();
        let mut found = Vec::new();
        for machine in self.leader.machines() {
            if !machine.has_reported || self.autoscaler.deletions.is_terminated(&machine.id) {
                continue;
            }
            match self.cache.registry.get(&machine.id) {
                Some(registered) if registered.unmarked_page_keys.is_empty() => {}
                Some(_) if !machine.reconciled => {}
                Some(_) => started.push(StartedMachine {
                    id: machine.id.clone(),
                    address: machine.address.clone().unwrap_or_else(|| "".into()),
                }),
                None if self.registry.is_unwritten(&machine.id) => {}
                None => found.push(found_machine(machine)),
            }
        }
        self.add_found_machines(found);
        started
    }

    /// Adds the addresses of machines that have sent heartbeats to all pages that list them,
    /// which marks the machines as in use. Versions that read only one of the pages then come to
    /// the same result.
    fn mark_started(&self, started: Vec<StartedMachine>, pages: &mut Pages) {
        for machine in started {
            let Some(registered) = self.cache.registry.get(&machine.id) else {
                continue;
            };
            for key in &registered.unmarked_page_keys {
                let Some(stored) = self.cache.registry_pages.get(key) else {
                    continue;
                };
                pages
                    .entry(key.clone())
                    .or_insert_with(|| stored.value.clone())
                    .machines
                    .insert(machine.id.clone(), Some(machine.address.clone()));
            }
        }
    }

    /// Adds the machines that the cached registry does not contain yet to their pages.
    fn add_unwritten_to_pages(&mut self, pages: &mut Pages) {
        let cache = &self.cache;
        self.registry
            .unwritten
            .retain(|id, _| !cache.registry.contains_key(id));
        for (id, machine) in &self.registry.unwritten {
            let key = &machine.page_key;
            let page = pages.entry(key.clone()).or_insert_with(|| {
                cache
                    .registry_pages
                    .get(key)
                    .map(|stored| stored.value.clone())
                    .unwrap_or_else(|| empty_page(&machine.record))
            });
            page.machines.entry(id.clone()).or_insert(None);
        }
    }

    /// Removes machines that no longer exist from their pages.
    fn remove_deleted_from_pages(&self, pages: &mut Pages) {
        let deleted: BTreeSet<&MachineId> = self
            .autoscaler
            .deletions
            .terminated()
            .filter(|id| self.cache.registry.contains_key(*id))
            .collect();
        if deleted.is_empty() {
            return;
        }
        for (key, stored) in &self.cache.registry_pages {
            let mut ids = stored.value.machines.keys();
            if ids.any(|id| deleted.contains(id)) {
                let page = pages
                    .entry(key.clone())
                    .or_insert_with(|| stored.value.clone());
                page.machines.retain(|id, _| !deleted.contains(id));
            }
        }
    }

    /// Forgets the machines that no longer exist, once they have been removed from the
    /// registry and enough time has passed that the cloud no longer lists them.
    fn forget_deleted(&mut self, now: Seconds) {
        let params = &self.settings.params;
        let max_age = params.cloud.list_lag_s * DELETED_LIST_LAGS + params.workers.lease_s;
        let registry = &self.cache.registry;
        self.autoscaler
            .deletions
            .forget_terminated(max_age, |id| registry.contains_key(id), now);
    }

    /// Writes the changed pages that have no write in flight. At most half as many writes as
    /// a transaction may have operations are in flight at once: the longer a page waits, the
    /// more changes its next write contains.
    fn write_pages(
        &mut self,
        pages: Pages,
        deletion_conditions: &DeletionConditions,
        now: Seconds,
    ) {
        let half_transaction = self.settings.params.state.lowest_txn_ops() / 2;
        let max_writes = half_transaction.max(MIN_CONCURRENT_WRITES);
        let stored = &self.cache.registry_pages;
        let stored_len = |key: &Arc<str>| stored.get(key).map(|stored| stored.value.machines.len());
        for (key, page) in self.registry.queue.write_order(pages, stored_len, now) {
            if self.registry.writing.count() >= max_writes {
                return;
            }
            if self.registry.is_page_busy(&key) {
                continue;
            }
            let conditions = deletion_conditions
                .get(&key)
                .map(Vec::as_slice)
                .unwrap_or_default();
            if !self.write_page(key, page, conditions, now) {
                return;
            }
        }
    }

    /// Writes a page, or deletes it if it is empty, on the condition that its stored
    /// revision and the epoch are unchanged and that `extra_conditions` hold. Returns false if the queue
    /// of writes is full.
    fn write_page(
        &mut self,
        key: Arc<str>,
        page: RegistryPage,
        extra_conditions: &[Condition],
        now: Seconds,
    ) -> bool {
        let stored = self.cache.registry_pages.get(&key);
        let revision = stored.map_or(0, |stored| stored.revision);
        let page = (!page.machines.is_empty()).then_some(page);
        if page.is_none() && revision == 0 {
            return true;
        }
        let op = match &page {
            Some(page) => put_record(key.to_string(), page),
            None => WriteOp::Delete {
                key: key.to_string(),
            },
        };
        let write_id = self.registry.writing.next_id();
        let mut conditions =
            registry_pages::write_conditions(&key, revision, self.cache.epoch_revision);
        conditions.extend(extra_conditions.iter().cloned());
        let write = ConditionalWrite {
            conditions,
            ops: vec![op],
            deadline: now + PAGE_WRITE_TIMEOUT,
            purpose: WritePurpose::RegistryPage(write_id),
        };
        if self.writer.send(WriteClass::Bulk, write).is_err() {
            return false;
        }
        let machines = page.as_ref().map_or(0, |page| page.machines.len());
        tracing::debug!(%key, revision, machines, "writing a registry page");
        // The waiting time of the page's next change starts at zero.
        self.registry.queue.record_write(&key);
        self.registry.writing.insert(write_id, key, page);
        true
    }

    /// Handles the outcome of a page's write. A committed page is applied to the cache at once.
    pub(super) fn registry_page_write_completed(
        &mut self,
        write_id: WriteId,
        outcome: CommitOutcome,
        now: Seconds,
    ) {
        let Some((key, page)) = self.registry.writing.remove(write_id) else {
            return;
        };
        tracing::debug!(%key, ?outcome, "registry page write completed");
        match (outcome, page) {
            (CommitOutcome::Committed(revision), Some(page)) => {
                let change = self.cache.put(&key, to_value(&page), revision);
                self.apply_cache_change(change, now);
            }
            // The page was deleted, or the write may not have been committed: the next read
            // of the key-value store shows the outcome.
            _ => {
                self.registry.completed_at.insert(key, now);
            }
        }
    }
}

fn found_machine(machine: &MachineStatus) -> FoundMachine {
    FoundMachine {
        id: machine.id.clone(),
        record: MachineRecord {
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            in_use: false,
            rented_at_ms: clock::wall_clock_ms(),
            address: None,
        },
    }
}

/// Returns a page without machines, for machines with the offer and rental time of
/// `record`.
fn empty_page(record: &MachineRecord) -> RegistryPage {
    RegistryPage {
        machine_type: record.machine_type.clone(),
        zone: record.zone.clone(),
        spot: record.spot,
        rented_at_ms: record.rented_at_ms,
        machines: BTreeMap::new(),
    }
}
