//! Keeping the machine registry: pages of machines on the key-value store, brought up to
//! what is known with few writes. A page has one write under way at a time;
//! what happens meanwhile goes into its next.

use super::{Controller, WritePurpose};
use crate::autoscaler::MachineOffer;
use crate::clock::{self, Seconds};
use crate::store::keys::page_key;
use crate::store::pending_writes::{PendingWrites, WriteId};
use crate::store::records::{MachineRecord, RegistryPage};
use crate::store::registry_pages::{self, PageCopies, PageLimit, PageQueue};
use crate::store::{CommitOutcome, Condition, ConditionalWrite, WriteClass, WriteOp};
use crate::wire::MachineId;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// What the leader is writing to the machine registry.
#[derive(Debug, Default)]
pub(crate) struct RegistryWriter {
    /// Pages being written, and the value (none: deletion).
    writing: PendingWrites<Arc<str>, Option<RegistryPage>>,
    /// Rented or found, on their way to the machine registry: page key and record.
    pub(super) fresh: BTreeMap<MachineId, (Arc<str>, MachineRecord)>,
    found: u64,
    /// Answered writes that the cache may not show yet.
    tried: HashMap<Arc<str>, Seconds>,
    /// Pages that wait to be written.
    queue: PageQueue,
}

impl RegistryWriter {
    pub(super) fn lead(&mut self) {
        self.tried.clear();
    }
}

impl Controller {
    fn page_limit(&self) -> PageLimit {
        PageLimit::new(self.settings.params.state.lowest_value_bytes())
    }

    /// Puts machines of one kind on their way to the machine registry.
    pub(super) fn enlist(&mut self, ids: Vec<MachineId>, name: &str, record: &MachineRecord) {
        for (n, chunk) in ids.chunks(self.page_limit().machines()).enumerate() {
            let key: Arc<str> = page_key(&format!("{name}.{n}")).into();
            for id in chunk {
                self.registry
                    .fresh
                    .insert(id.clone(), (key.clone(), record.clone()));
            }
        }
    }

    /// Machines that nobody here rented.
    fn enlist_found(&mut self, found: Vec<(MachineId, MachineRecord)>) {
        let mut kinds: BTreeMap<MachineOffer, Vec<(MachineId, MachineRecord)>> = BTreeMap::new();
        for (id, r) in found {
            kinds
                .entry(MachineOffer::from(&r))
                .or_default()
                .push((id, r));
        }
        for of_kind in kinds.into_values() {
            self.registry.found += 1;
            let name = format!("found-{}-{}", self.incarnation, self.registry.found);
            let record = of_kind[0].1.clone();
            self.enlist(of_kind.into_iter().map(|m| m.0).collect(), &name, &record);
        }
    }

    /// Takes in a machine that the list shows and nobody knows.
    pub(super) fn enlist_stray(&mut self, id: MachineId, record: MachineRecord) {
        self.enlist_found(vec![(id, record)]);
    }

    /// Brings the machine registry up to what is known: rented machines, machines that
    /// report for the first time, machines that are gone.
    pub(super) fn update_registry(&mut self, now: Seconds) {
        self.registry.tried.retain(|_, t| now - *t < 0.5);
        let mut up: Vec<(MachineId, Arc<str>)> = Vec::new();
        let mut found = Vec::new();
        for m in self.leader.machines() {
            if !m.has_reported || self.autoscaler.deletions.is_gone(&m.id) {
                continue;
            }
            let address = m.address.clone().unwrap_or_else(|| "".into());
            match self.cache.registry.get(&m.id) {
                Some(known) if !known.record.in_use => up.push((m.id.clone(), address)),
                Some(_) => {}
                None if self.registry.fresh.contains_key(&m.id) => {}
                None => found.push((
                    m.id.clone(),
                    MachineRecord {
                        machine_type: m.machine_type.clone(),
                        zone: m.zone.clone(),
                        spot: m.spot,
                        in_use: false,
                        rented_at_ms: clock::wall_clock_ms(),
                        address: None,
                    },
                )),
            }
        }
        self.enlist_found(found);
        let mut pages: BTreeMap<Arc<str>, RegistryPage> = BTreeMap::new();
        let known = |key: &Arc<str>| self.cache.registry_pages.get(key).map(|p| p.value.clone());
        for (id, address) in up {
            let Some(machine) = self.cache.registry.get(&id) else {
                continue;
            };
            let key = &machine.page_key;
            let Some(page) = pages.get(key).cloned().or_else(|| known(key)) else {
                continue;
            };
            pages
                .entry(key.clone())
                .or_insert(page)
                .machines
                .insert(id, Some(address));
        }
        self.registry
            .fresh
            .retain(|id, _| !self.cache.registry.contains_key(id));
        for (id, (key, r)) in &self.registry.fresh {
            let page = pages.entry(key.clone()).or_insert_with(|| {
                self.cache
                    .registry_pages
                    .get(key)
                    .map(|p| p.value.clone())
                    .unwrap_or_else(|| RegistryPage {
                        machine_type: r.machine_type.clone(),
                        zone: r.zone.clone(),
                        spot: r.spot,
                        rented_at_ms: r.rented_at_ms,
                        machines: BTreeMap::new(),
                    })
            });
            page.machines.entry(id.clone()).or_insert(None);
        }
        let gone: BTreeSet<&MachineId> = self
            .autoscaler
            .deletions
            .gone()
            .filter(|id| self.cache.registry.contains_key(*id))
            .collect();
        if !gone.is_empty() {
            for (key, p) in &self.cache.registry_pages {
                if p.value.machines.keys().any(|id| gone.contains(id)) {
                    let page = pages.entry(key.clone()).or_insert_with(|| p.value.clone());
                    page.machines.retain(|id, _| !gone.contains(id));
                }
            }
        }
        let copied =
            registry_pages::split_long(&mut pages, &self.cache.registry_pages, self.page_limit());
        self.write_pages(pages, &copied, now);
        let registry = &self.cache.registry;
        let forget =
            self.settings.params.cloud.list_lag_s * 4.0 + self.settings.params.workers.lease_s;
        self.autoscaler
            .deletions
            .forget_gone(forget, |id| registry.contains_key(id), now);
    }

    /// Writes pages that have no write under way, as many at a time as half a
    /// transaction holds: the longer it takes, the more goes into the next.
    fn write_pages(
        &mut self,
        pages: BTreeMap<Arc<str>, RegistryPage>,
        copies: &PageCopies,
        now: Seconds,
    ) {
        let most = (self.settings.params.state.lowest_txn_ops() / 2).max(2);
        let known = |key: &Arc<str>| {
            self.cache
                .registry_pages
                .get(key)
                .map(|p| p.value.machines.len())
        };
        for (key, page) in self.registry.queue.in_turn(pages, known, now) {
            if self.registry.writing.count() >= most {
                return;
            }
            if self.registry.writing.contains(&key) || self.registry.tried.contains_key(&key) {
                continue;
            }
            let revision = self
                .cache
                .registry_pages
                .get(&key)
                .map_or(0, |p| p.revision);
            let keep = (!page.machines.is_empty()).then_some(page);
            if keep.is_none() && revision == 0 {
                continue;
            }
            let op = match &keep {
                Some(p) => WriteOp::Put {
                    key: key.to_string(),
                    value: serde_json::to_value(p).unwrap_or_default(),
                    lease: None,
                },
                None => WriteOp::Delete {
                    key: key.to_string(),
                },
            };
            let write_id = self.registry.writing.next_id();
            let mut conditions = vec![Condition::new(&*key, revision)];
            conditions.extend(copies.get(&key).into_iter().flatten().cloned());
            let write = ConditionalWrite {
                conditions,
                ops: vec![op],
                deadline: now + 2.0,
                purpose: WritePurpose::RegistryWriter(write_id),
            };
            if self.writer.send(WriteClass::Bulk, write).is_err() {
                return;
            }
            tracing::debug!(%key, revision, left = keep.as_ref().map_or(0, |p| p.machines.len()), "writing a page");
            // What changes on it from now on waits anew.
            self.registry.queue.written(&key);
            self.registry.writing.sent(write_id, key, keep);
        }
    }

    /// A page's write was answered. What is committed is known at once.
    pub(super) fn registry_page_written(
        &mut self,
        write_id: WriteId,
        outcome: CommitOutcome,
        now: Seconds,
    ) {
        let Some((key, value)) = self.registry.writing.answered(write_id) else {
            return;
        };
        tracing::debug!(%key, ?outcome, "a page's write was answered");
        match (outcome, value) {
            (CommitOutcome::Committed(revision), Some(page)) => {
                let value = serde_json::to_value(&page).unwrap_or_default();
                let change = self.cache.put(&key, value, revision);
                self.changed(change, now);
            }
            // Deleted, or somebody else's version: the cache's next reading shows it.
            _ => {
                self.registry.tried.insert(key, now);
            }
        }
    }
}
