//! Handling of the cloud's responses: rentals, deletions, the catalog, and the machine
//! list. The list shows which registered machines no longer exist, and which machines exist
//! without being registered.

use super::{Controller, WritePurpose};
use crate::autoscaler::cloud::CloudResponse;
use crate::autoscaler::MachineOffer;
use crate::clock::{self, Seconds};
use crate::store::keys::CATALOG_KEY;
use crate::store::records::MachineRecord;
use crate::store::{Condition, ConditionalWrite, WriteClass, WriteOp};
use crate::wire::{Catalog, ListedMachine, MachineId, RentalRequest};
use std::collections::HashSet;

/// The delay before a rental or a deletion whose outcome is unknown is requested again, in
/// seconds.
const RETRY_S: Seconds = 1.5;

/// The delay before the catalog is requested again after a failed request for it or for the
/// machine list, in seconds.
const CATALOG_RETRY_S: Seconds = 3.0;

/// How long a write of the catalog may take, in seconds.
const CATALOG_WRITE_TIMEOUT: Seconds = 2.0;

/// The state of a failed machine in the cloud's machine list.
const FAILED_STATE: &str = "failed";

/// The greatest age of a listed machine that is accepted, in seconds. A greater one is
/// replaced by this value.
const MAX_LISTED_AGE_S: Seconds = 1e9;

impl Controller {
    /// Applies a response of the cloud.
    pub(super) fn handle_cloud_response(&mut self, response: CloudResponse, now: Seconds) {
        match response {
            CloudResponse::Catalog(catalog) => self.apply_catalog(&catalog, now),
            CloudResponse::Rented { request, machines } => {
                self.apply_rental(&request, machines, now)
            }
            CloudResponse::NoCapacity(request) | CloudResponse::RentRefused(request) => {
                self.autoscaler.rentals.close(&request);
                self.record_capacity_shortage(&request, now);
            }
            CloudResponse::RentOutcomeUnknown(request) => {
                self.autoscaler.rentals.retry(request, now + RETRY_S)
            }
            CloudResponse::Deleted(machines) => self.autoscaler.deletions.confirm(machines, now),
            CloudResponse::DeleteUnconfirmed(machines) => {
                self.autoscaler.deletions.retry(machines, now + RETRY_S)
            }
            CloudResponse::List {
                requested_at,
                machines,
            } => {
                self.autoscaler.machine_list.record_response();
                self.apply_machine_list(requested_at, &machines, now);
            }
            CloudResponse::ReadFailed => {
                self.autoscaler.machine_list.record_response();
                self.autoscaler.request_catalog_by(now + CATALOG_RETRY_S);
            }
        }
    }

    /// If this node is the leader and the catalog has changed, writes it to the key-value
    /// store, from which all controllers read it.
    fn apply_catalog(&mut self, catalog: &Catalog, now: Seconds) {
        let unchanged = self.cache.catalog.as_deref() == Some(catalog);
        if unchanged || !self.is_leader() || self.autoscaler.is_catalog_write_pending() {
            return;
        }
        let write = ConditionalWrite {
            conditions: vec![Condition::new(CATALOG_KEY, self.cache.catalog_revision)],
            ops: vec![WriteOp::Put {
                key: CATALOG_KEY.into(),
                value: serde_json::to_value(catalog).unwrap_or_default(),
                lease: None,
            }],
            deadline: now + CATALOG_WRITE_TIMEOUT,
            purpose: WritePurpose::Catalog,
        };
        let is_queued = self.writer.send(WriteClass::Bulk, write).is_ok();
        self.autoscaler.set_catalog_write_pending(is_queued);
    }

    /// Closes a rental, and records its machines to be written to the machine registry.
    fn apply_rental(&mut self, request: &RentalRequest, machines: Vec<MachineId>, now: Seconds) {
        self.autoscaler.rentals.close(request);
        tracing::info!(?machines, "machines rented");
        if (machines.len() as u32) < request.count {
            self.record_capacity_shortage(request, now);
        } else {
            let offer = MachineOffer::from(request);
            self.autoscaler.capacity_backoff.clear(&offer);
        }
        let record = MachineRecord {
            machine_type: request.machine_type.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
            in_use: false,
            rented_at_ms: clock::wall_clock_ms(),
            address: None,
        };
        self.add_unwritten_machines(machines, &request.request, &record);
    }

    /// Records that the cloud has too few machines of the requested offer. The offer is then
    /// not requested again for a while.
    fn record_capacity_shortage(&mut self, request: &RentalRequest, now: Seconds) {
        let report_s = self.settings.params.workers.report_s;
        self.autoscaler.capacity_backoff.record_shortage(
            MachineOffer::from(request),
            report_s,
            now,
        );
    }

    /// Applies a machine list that was requested at `requested_at`, if this node is the
    /// leader.
    fn apply_machine_list(
        &mut self,
        requested_at: Seconds,
        machines: &[ListedMachine],
        now: Seconds,
    ) {
        if !self.is_leader() {
            return;
        }
        let listed: HashSet<&MachineId> = machines.iter().map(|machine| &machine.id).collect();
        self.record_registered_machines(requested_at, &listed, now);
        let (failed, running): (Vec<&ListedMachine>, Vec<&ListedMachine>) = machines
            .iter()
            .partition(|machine| machine.state == FAILED_STATE);
        for machine in running {
            self.register_if_unknown(machine, now);
        }
        self.autoscaler.machine_list.retain_unknown(&listed);
        let failed = failed.into_iter().map(|machine| machine.id.clone());
        self.delete_machines(failed.collect(), now);
    }

    /// Records which registered machines a machine list contains, and which no longer exist.
    fn record_registered_machines(
        &mut self,
        requested_at: Seconds,
        listed: &HashSet<&MachineId>,
        now: Seconds,
    ) {
        let unlisted = self.autoscaler.machine_list.record_registered(
            self.cache.registry.keys(),
            listed,
            requested_at,
            self.settings.params.cloud.list_lag_s,
            now,
        );
        for id in unlisted {
            tracing::info!(machine = %id, "machine no longer listed by the cloud");
            self.autoscaler.deletions.record_terminated(id, now);
        }
    }

    /// Records a listed machine that is not registered to be written to the machine registry,
    /// once the machine is certain to run. Such a machine was rented by a request that the
    /// cloud carried out late, or by an earlier leader.
    fn register_if_unknown(&mut self, machine: &ListedMachine, now: Seconds) {
        let id = &machine.id;
        let is_known = self.cache.registry.contains_key(id)
            || self.registry.is_unwritten(id)
            || self.autoscaler.deletions.is_terminated(id);
        if is_known {
            self.autoscaler.machine_list.record_known(id);
            return;
        }
        let lag_s = self.settings.params.cloud.list_lag_s;
        let is_certain_to_run = self.autoscaler.machine_list.record_unknown(id, lag_s, now);
        if !is_certain_to_run {
            return;
        }
        let age_ms = (machine.age_s.clamp(0.0, MAX_LISTED_AGE_S) * 1000.0) as u64;
        let record = MachineRecord {
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            in_use: false,
            rented_at_ms: clock::wall_clock_ms().saturating_sub(age_ms),
            address: machine.address.as_deref().map(Into::into),
        };
        self.add_listed_machine(id.clone(), record);
    }
}
