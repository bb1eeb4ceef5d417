//! What the cloud answers the leader: rentals, deletions, the catalog, and the
//! machine list, which shows what is gone and what nobody knows.

use super::{Controller, WritePurpose};
use crate::autoscaler::cloud;
use crate::autoscaler::MachineOffer;
use crate::clock::{self, Seconds};
use crate::store::keys::CATALOG_KEY;
use crate::store::records::MachineRecord;
use crate::store::{Condition, ConditionalWrite, WriteClass, WriteOp};
use crate::wire::{Catalog, ListedMachine, MachineId, RentalRequest};
use std::collections::{HashMap, HashSet};

/// How soon a request without a certain answer is sent again, in seconds.
const RETRY_S: Seconds = 1.5;

/// How soon the catalog is asked for again after a call that failed, in seconds.
const CATALOG_RETRY_S: Seconds = 3.0;

/// How long a catalog's write may take, in seconds.
const CATALOG_WRITE_S: Seconds = 2.0;

/// What lists have shown so far.
#[derive(Debug, Default)]
pub(crate) struct ListState {
    /// When the next is asked for.
    due: Seconds,
    pending: bool,
    /// When a machine of the machine registry was last listed.
    listed_at: HashMap<MachineId, Seconds>,
    /// Since when a machine that nobody knows has been listed.
    unknown_since: HashMap<MachineId, Seconds>,
}

impl ListState {
    /// This node leads from now on: a list is due at once.
    pub(super) fn lead(&mut self) {
        self.due = 0.0;
        self.pending = false;
    }

    /// A machine is off the machine registry.
    pub(super) fn forget(&mut self, id: &MachineId) {
        self.listed_at.remove(id);
    }

    /// Whether to ask for a list now.
    pub(super) fn due(&self, now: Seconds) -> bool {
        now >= self.due && !self.pending
    }

    /// A list was asked for.
    pub(super) fn asked(&mut self, now: Seconds, lag_s: Seconds) {
        self.pending = true;
        self.due = now + lag_s.max(1.0);
    }
}

impl Controller {
    /// Takes in an answer of the cloud.
    pub(super) fn cloud_answer(&mut self, answer: cloud::CloudResponse, now: Seconds) {
        match answer {
            cloud::CloudResponse::Catalog(catalog) => self.take_catalog(&catalog, now),
            cloud::CloudResponse::Rented { request, machines } => {
                self.rented(&request, machines, now)
            }
            cloud::CloudResponse::NoCapacity(request)
            | cloud::CloudResponse::RentRefused(request) => {
                self.autoscaler.rental_closed(&request);
                self.lacks_capacity(&request, now);
            }
            cloud::CloudResponse::RentUnknown(request) => {
                self.autoscaler.rental_unknown(request, now + RETRY_S)
            }
            cloud::CloudResponse::Deleted(machines) => self.autoscaler.note_deleted(machines, now),
            cloud::CloudResponse::DeleteFailed(machines) => {
                self.autoscaler.deletion_failed(machines, now + RETRY_S)
            }
            cloud::CloudResponse::List { asked, machines } => {
                self.autoscaler.list.pending = false;
                self.take_list(asked, &machines, now);
            }
            cloud::CloudResponse::Failed => {
                self.autoscaler.list.pending = false;
                self.autoscaler.catalog_due_by(now + CATALOG_RETRY_S);
            }
        }
    }

    /// Writes the catalog for all controllers, if it has changed.
    fn take_catalog(&mut self, catalog: &Catalog, now: Seconds) {
        let known = self.cache.catalog.as_deref() == Some(catalog);
        if known || !self.leading() || self.autoscaler.catalog_pending {
            return;
        }
        let write = ConditionalWrite {
            conditions: vec![Condition::new(CATALOG_KEY, self.cache.catalog_revision)],
            ops: vec![WriteOp::Put {
                key: CATALOG_KEY.into(),
                value: serde_json::to_value(catalog).unwrap_or_default(),
                lease: None,
            }],
            deadline: now + CATALOG_WRITE_S,
            purpose: WritePurpose::Catalog,
        };
        self.autoscaler.catalog_pending = self.writer.send(WriteClass::Bulk, write).is_ok();
    }

    fn rented(&mut self, request: &RentalRequest, machines: Vec<MachineId>, now: Seconds) {
        self.autoscaler.rental_closed(request);
        tracing::info!(?machines, "rented");
        if (machines.len() as u32) < request.count {
            self.lacks_capacity(request, now);
        } else {
            let offer = MachineOffer::from(request);
            self.autoscaler.has_capacity(&offer);
        }
        let record = MachineRecord {
            machine_type: request.machine_type.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
            in_use: false,
            rented_at_ms: clock::wall_clock_ms(),
            address: None,
        };
        self.enlist(machines, &request.request, &record);
    }

    fn lacks_capacity(&mut self, request: &RentalRequest, now: Seconds) {
        let offer = MachineOffer::from(request);
        self.autoscaler
            .lacks_capacity(offer, self.settings.params.workers.report_s, now);
    }

    /// Takes in a machine list, asked for at `asked`.
    fn take_list(&mut self, asked: Seconds, machines: &[ListedMachine], now: Seconds) {
        if !self.leading() {
            return;
        }
        let present: HashSet<&MachineId> = machines.iter().map(|m| &m.id).collect();
        self.note_unlisted(asked, &present, now);
        let (failed, running): (Vec<&ListedMachine>, Vec<&ListedMachine>) =
            machines.iter().partition(|m| m.state == "failed");
        for machine in running {
            self.note_listed(machine, now);
        }
        self.autoscaler
            .list
            .unknown_since
            .retain(|id, _| present.contains(id));
        self.delete(failed.into_iter().map(|m| m.id.clone()).collect(), now);
    }

    /// Machines of the machine registry that the list lacks are gone. It may be up to twice
    /// the lag old: certain is that only if an earlier list, received before this
    /// one can have been made, had them.
    fn note_unlisted(&mut self, asked: Seconds, present: &HashSet<&MachineId>, now: Seconds) {
        let made_by = asked - 2.0 * self.settings.params.cloud.list_lag_s - 0.5;
        for id in self.cache.registry.keys() {
            if present.contains(id) {
                self.autoscaler.list.listed_at.insert(id.clone(), now);
            } else if self
                .autoscaler
                .list
                .listed_at
                .get(id)
                .is_some_and(|&listed| listed < made_by)
            {
                tracing::info!(%id, "no longer listed: gone");
                self.autoscaler.deleted.insert(id.clone(), now);
            }
        }
    }

    /// A machine that nobody here knows was rented by a request that was carried out
    /// late, or by an earlier leader: it is used, once the list can't be a memory
    /// of one deleted.
    fn note_listed(&mut self, machine: &ListedMachine, now: Seconds) {
        let id = &machine.id;
        let known = self.cache.registry.contains_key(id)
            || self.registry.fresh.contains_key(id)
            || self.autoscaler.deleted.contains_key(id);
        if known {
            self.autoscaler.list.unknown_since.remove(id);
            return;
        }
        let since = *self
            .autoscaler
            .list
            .unknown_since
            .entry(id.clone())
            .or_insert(now);
        if now - since <= 2.0 * self.settings.params.cloud.list_lag_s + 1.0 {
            return;
        }
        let age_ms = (machine.age_s.clamp(0.0, 1e9) * 1000.0) as u64;
        let record = MachineRecord {
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            in_use: false,
            rented_at_ms: clock::wall_clock_ms().saturating_sub(age_ms),
            address: machine.address.as_deref().map(Into::into),
        };
        self.enlist_stray(id.clone(), record);
    }
}
