//! What the cloud answers the leader: rentals, deletions, the catalogue, and the
//! machine list, which shows what is gone and what nobody knows.

use super::{Controller, Tag};
use crate::clock::{self, Secs};
use crate::cloud;
use crate::jobs::{RosterRecord, CATALOG_KEY};
use crate::state::{Class, Op, Write};
use crate::wire::{Catalog, Listed, MachineId, RentRequest};
use std::collections::{HashMap, HashSet};

/// How soon a request without a certain answer is sent again, in seconds.
const RETRY_S: Secs = 1.5;

/// How soon the catalogue is asked for again after a call that failed, in seconds.
const CATALOG_RETRY_S: Secs = 3.0;

/// How long a catalogue's write may take, in seconds.
const CATALOG_WRITE_S: Secs = 2.0;

/// What lists have shown so far.
#[derive(Debug, Default)]
pub(crate) struct ListState {
    /// When the next is asked for.
    due: Secs,
    pending: bool,
    /// When a machine of the roster was last listed.
    listed_at: HashMap<MachineId, Secs>,
    /// Since when a machine that nobody knows has been listed.
    unknown_since: HashMap<MachineId, Secs>,
}

impl ListState {
    /// This node leads from now on: a list is due at once.
    pub(super) fn lead(&mut self) {
        self.due = 0.0;
        self.pending = false;
    }

    /// A machine is off the roster.
    pub(super) fn forget(&mut self, id: &MachineId) {
        self.listed_at.remove(id);
    }

    /// Whether to ask for a list now.
    pub(super) fn due(&self, now: Secs) -> bool {
        now >= self.due && !self.pending
    }

    /// A list was asked for.
    pub(super) fn asked(&mut self, now: Secs, lag_s: Secs) {
        self.pending = true;
        self.due = now + lag_s.max(1.0);
    }
}

impl Controller {
    /// Takes in an answer of the cloud.
    pub(super) fn cloud_answer(&mut self, answer: cloud::Answer, now: Secs) {
        match answer {
            cloud::Answer::Catalog(catalog) => self.take_catalog(&catalog, now),
            cloud::Answer::Rented { request, machines } => self.rented(&request, machines, now),
            cloud::Answer::NoCapacity(request) | cloud::Answer::RentRefused(request) => {
                self.renting.rental_closed(&request);
                self.lacks_capacity(&request, now);
            }
            cloud::Answer::RentUnknown(request) => {
                self.renting.rental_unknown(request, now + RETRY_S)
            }
            cloud::Answer::Deleted(machines) => self.renting.note_deleted(machines, now),
            cloud::Answer::DeleteFailed(machines) => {
                self.renting.deletion_failed(machines, now + RETRY_S)
            }
            cloud::Answer::List { asked, machines } => {
                self.renting.list.pending = false;
                self.take_list(asked, &machines, now);
            }
            cloud::Answer::Failed => {
                self.renting.list.pending = false;
                self.renting.catalog_due_by(now + CATALOG_RETRY_S);
            }
        }
    }

    /// Writes the catalogue for all controllers, if it has changed.
    fn take_catalog(&mut self, catalog: &Catalog, now: Secs) {
        let known = self.mirror.catalog.as_deref() == Some(catalog);
        if known || !self.leading() || self.renting.catalog_pending {
            return;
        }
        let write = Write {
            conditions: vec![(CATALOG_KEY.into(), self.mirror.catalog_version)],
            ops: vec![Op::Put {
                key: CATALOG_KEY.into(),
                value: serde_json::to_value(catalog).unwrap_or_default(),
                lease: None,
            }],
            deadline: now + CATALOG_WRITE_S,
            tag: Tag::Catalog,
        };
        self.renting.catalog_pending = self.writer.send(Class::Bulk, write).is_ok();
    }

    fn rented(&mut self, request: &RentRequest, machines: Vec<MachineId>, now: Secs) {
        self.renting.rental_closed(request);
        tracing::info!(?machines, "rented");
        if (machines.len() as u32) < request.count {
            self.lacks_capacity(request, now);
        } else {
            let offer = (request.kind.clone(), request.zone.clone(), request.spot);
            self.renting.has_capacity(&offer);
        }
        let record = RosterRecord {
            kind: request.kind.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
            up: false,
            at_ms: clock::day_ms(),
            addr: None,
        };
        self.enlist(machines, &request.request, &record);
    }

    fn lacks_capacity(&mut self, request: &RentRequest, now: Secs) {
        let offer = (request.kind.clone(), request.zone.clone(), request.spot);
        self.renting
            .lacks_capacity(offer, self.settings.params.workers.report_s, now);
    }

    /// Takes in a machine list, asked for at `asked`.
    fn take_list(&mut self, asked: Secs, machines: &[Listed], now: Secs) {
        if !self.leading() {
            return;
        }
        let present: HashSet<&MachineId> = machines.iter().map(|m| &m.id).collect();
        self.note_unlisted(asked, &present, now);
        let (failed, running): (Vec<&Listed>, Vec<&Listed>) =
            machines.iter().partition(|m| m.state == "failed");
        for machine in running {
            self.note_listed(machine, now);
        }
        self.renting
            .list
            .unknown_since
            .retain(|id, _| present.contains(id));
        self.delete(failed.into_iter().map(|m| m.id.clone()).collect(), now);
    }

    /// Machines of the roster that the list lacks are gone. It may be up to twice
    /// the lag old: certain is that only if an earlier list, received before this
    /// one can have been made, had them.
    fn note_unlisted(&mut self, asked: Secs, present: &HashSet<&MachineId>, now: Secs) {
        let made_by = asked - 2.0 * self.settings.params.cloud.list_lag_s - 0.5;
        for id in self.mirror.roster.keys() {
            if present.contains(id) {
                self.renting.list.listed_at.insert(id.clone(), now);
            } else if self
                .renting
                .list
                .listed_at
                .get(id)
                .is_some_and(|&listed| listed < made_by)
            {
                tracing::info!(%id, "no longer listed: gone");
                self.renting.deleted.insert(id.clone(), now);
            }
        }
    }

    /// A machine that nobody here knows was rented by a request that was carried out
    /// late, or by an earlier leader: it is used, once the list can't be a memory
    /// of one deleted.
    fn note_listed(&mut self, machine: &Listed, now: Secs) {
        let id = &machine.id;
        let known = self.mirror.roster.contains_key(id)
            || self.roster.fresh.contains_key(id)
            || self.renting.deleted.contains_key(id);
        if known {
            self.renting.list.unknown_since.remove(id);
            return;
        }
        let since = *self
            .renting
            .list
            .unknown_since
            .entry(id.clone())
            .or_insert(now);
        if now - since <= 2.0 * self.settings.params.cloud.list_lag_s + 1.0 {
            return;
        }
        let age_ms = (machine.age_s.clamp(0.0, 1e9) * 1000.0) as u64;
        let record = RosterRecord {
            kind: machine.kind.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            up: false,
            at_ms: clock::day_ms().saturating_sub(age_ms),
            addr: machine.addr.as_deref().map(Into::into),
        };
        self.enlist_stray(id.clone(), record);
    }
}
