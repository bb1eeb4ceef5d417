//! Keeping the roster: pages of machines on the state service, brought up to
//! what is known with few writes. A page has one write under way at a time;
//! what happens meanwhile goes into its next.

use super::{Controller, Tag};
use crate::clock::{self, Secs};
use crate::in_flight::{InFlight, Serial};
use crate::jobs::{page_key, RosterPage, RosterRecord};
use crate::pages::{self, PageCopies, PageLimit, PageQueue};
use crate::rent::Offer;
use crate::state::{Class, Op, Outcome, Write};
use crate::wire::MachineId;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// What the leader is writing to the roster.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    /// Pages being written, and the value (none: deletion).
    writing: InFlight<Arc<str>, Option<RosterPage>>,
    /// Rented or found, on their way to the roster: page key and record.
    pub(super) fresh: BTreeMap<MachineId, (Arc<str>, RosterRecord)>,
    found: u64,
    /// Answered writes that the mirror may not show yet.
    tried: HashMap<Arc<str>, Secs>,
    /// Pages that wait to be written.
    queue: PageQueue,
}

impl Roster {
    pub(super) fn lead(&mut self) {
        self.tried.clear();
    }
}

impl Controller {
    fn page_limit(&self) -> PageLimit {
        PageLimit::new(self.settings.params.state.lowest_value_bytes())
    }

    /// Puts machines of one kind on their way to the roster.
    pub(super) fn enlist(&mut self, ids: Vec<MachineId>, name: &str, record: &RosterRecord) {
        for (n, chunk) in ids.chunks(self.page_limit().machines()).enumerate() {
            let key: Arc<str> = page_key(&format!("{name}.{n}")).into();
            for id in chunk {
                self.roster
                    .fresh
                    .insert(id.clone(), (key.clone(), record.clone()));
            }
        }
    }

    /// Machines that nobody here rented.
    fn enlist_found(&mut self, found: Vec<(MachineId, RosterRecord)>) {
        let mut kinds: BTreeMap<Offer, Vec<(MachineId, RosterRecord)>> = BTreeMap::new();
        for (id, r) in found {
            kinds
                .entry((r.kind.clone(), r.zone.clone(), r.spot))
                .or_default()
                .push((id, r));
        }
        for of_kind in kinds.into_values() {
            self.roster.found += 1;
            let name = format!("found-{}-{}", self.inc, self.roster.found);
            let record = of_kind[0].1.clone();
            self.enlist(of_kind.into_iter().map(|m| m.0).collect(), &name, &record);
        }
    }

    /// Takes in a machine that the list shows and nobody knows.
    pub(super) fn enlist_stray(&mut self, id: MachineId, record: RosterRecord) {
        self.enlist_found(vec![(id, record)]);
    }

    /// Brings the roster up to what is known: rented machines, machines that
    /// report for the first time, machines that are gone.
    pub(super) fn keep_roster(&mut self, now: Secs) {
        self.roster.tried.retain(|_, t| now - *t < 0.5);
        let mut up: Vec<(MachineId, Arc<str>)> = Vec::new();
        let mut found = Vec::new();
        for m in self.leader.machines() {
            if !m.heard || self.renting.deleted.contains_key(&m.id) {
                continue;
            }
            let addr = m.addr.clone().unwrap_or_else(|| "".into());
            match self.mirror.roster.get(&m.id) {
                Some((r, _)) if !r.up => up.push((m.id.clone(), addr)),
                Some(_) => {}
                None if self.roster.fresh.contains_key(&m.id) => {}
                None => found.push((
                    m.id.clone(),
                    RosterRecord {
                        kind: m.kind.clone(),
                        zone: m.zone.clone(),
                        spot: m.spot,
                        up: false,
                        at_ms: clock::day_ms(),
                        addr: None,
                    },
                )),
            }
        }
        self.enlist_found(found);
        let mut pages: BTreeMap<Arc<str>, RosterPage> = BTreeMap::new();
        let known = |key: &Arc<str>| self.mirror.pages.get(key).map(|p| p.page.clone());
        for (id, addr) in up {
            let Some((_, key)) = self.mirror.roster.get(&id) else {
                continue;
            };
            let Some(page) = pages.get(key).cloned().or_else(|| known(key)) else {
                continue;
            };
            pages
                .entry(key.clone())
                .or_insert(page)
                .machines
                .insert(id, Some(addr));
        }
        self.roster
            .fresh
            .retain(|id, _| !self.mirror.roster.contains_key(id));
        for (id, (key, r)) in &self.roster.fresh {
            let page = pages.entry(key.clone()).or_insert_with(|| {
                self.mirror
                    .pages
                    .get(key)
                    .map(|p| p.page.clone())
                    .unwrap_or_else(|| RosterPage {
                        kind: r.kind.clone(),
                        zone: r.zone.clone(),
                        spot: r.spot,
                        at_ms: r.at_ms,
                        machines: BTreeMap::new(),
                    })
            });
            page.machines.entry(id.clone()).or_insert(None);
        }
        let gone: BTreeSet<&MachineId> = self
            .renting
            .deleted
            .keys()
            .filter(|id| self.mirror.roster.contains_key(*id))
            .collect();
        if !gone.is_empty() {
            for (key, p) in &self.mirror.pages {
                if p.page.machines.keys().any(|id| gone.contains(id)) {
                    let page = pages.entry(key.clone()).or_insert_with(|| p.page.clone());
                    page.machines.retain(|id, _| !gone.contains(id));
                }
            }
        }
        let copied = pages::split_long(&mut pages, &self.mirror.pages, self.page_limit());
        self.write_pages(pages, &copied, now);
        let roster = &self.mirror.roster;
        let forget =
            self.settings.params.cloud.list_lag_s * 4.0 + self.settings.params.workers.lease_s;
        self.renting
            .deleted
            .retain(|id, t| now - *t < forget || roster.contains_key(id));
    }

    /// Writes pages that have no write under way, as many at a time as half a
    /// transaction holds: the longer it takes, the more goes into the next.
    fn write_pages(
        &mut self,
        pages: BTreeMap<Arc<str>, RosterPage>,
        copies: &PageCopies,
        now: Secs,
    ) {
        let most = (self.settings.params.state.lowest_txn_ops() / 2).max(2);
        let known = |key: &Arc<str>| self.mirror.pages.get(key).map(|p| p.page.machines.len());
        for (key, page) in self.roster.queue.in_turn(pages, known, now) {
            if self.roster.writing.count() >= most {
                return;
            }
            if self.roster.writing.has(&key) || self.roster.tried.contains_key(&key) {
                continue;
            }
            let version = self.mirror.pages.get(&key).map_or(0, |p| p.version);
            let keep = (!page.machines.is_empty()).then_some(page);
            if keep.is_none() && version == 0 {
                continue;
            }
            let op = match &keep {
                Some(p) => Op::Put {
                    key: key.to_string(),
                    value: serde_json::to_value(p).unwrap_or_default(),
                    lease: None,
                },
                None => Op::Delete {
                    key: key.to_string(),
                },
            };
            let serial = self.roster.writing.next_serial();
            let mut conditions = vec![(key.to_string(), version)];
            conditions.extend(copies.get(&key).into_iter().flatten().cloned());
            let write = Write {
                conditions,
                ops: vec![op],
                deadline: now + 2.0,
                tag: Tag::Roster(serial),
            };
            if self.writer.send(Class::Bulk, write).is_err() {
                return;
            }
            tracing::debug!(%key, version, left = keep.as_ref().map_or(0, |p| p.machines.len()), "writing a page");
            // What changes on it from now on waits anew.
            self.roster.queue.written(&key);
            self.roster.writing.sent(serial, key, keep);
        }
    }

    /// A page's write was answered. What is committed is known at once.
    pub(super) fn roster_written(&mut self, serial: Serial, outcome: Outcome, now: Secs) {
        let Some((key, value)) = self.roster.writing.answered(serial) else {
            return;
        };
        tracing::debug!(%key, ?outcome, "a page's write was answered");
        match (outcome, value) {
            (Outcome::Done(version), Some(page)) => {
                let value = serde_json::to_value(&page).unwrap_or_default();
                let change = self.mirror.put(&key, value, version);
                self.changed(change, now);
            }
            // Deleted, or somebody else's version: the mirror's next reading shows it.
            _ => {
                self.roster.tried.insert(key, now);
            }
        }
    }
}
