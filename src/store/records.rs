//! The records in the key-value store. Serde renames keep the names of stored fields.

use super::invalid_records::RecordError;
use crate::wire::{JobSpec, MachineId};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A value with the revision at which its key was read or written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The value.
    pub value: T,
    /// The revision of its key.
    pub revision: u64,
}

impl<T> Versioned<T> {
    /// Creates a value at a revision.
    pub fn new(value: T, revision: u64) -> Versioned<T> {
        Versioned { value, revision }
    }
}

/// The capability of versions that support gangs.
pub const GANG_CAPABILITY: u32 = 1;

/// The capability of versions that support gangs and follow the shard map.
pub const SHARD_MAP_CAPABILITY: u32 = 2;

/// The record of a live member of the cluster. The key is attached to the member's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The member's incarnation: the id of the lease that the key is attached to.
    #[serde(rename = "inc")]
    pub incarnation: u64,
    /// What the member's version supports, for example [`GANG_CAPABILITY`]; absent (zero) in
    /// records of versions that do not support gangs.
    #[serde(rename = "v", default, skip_serializing_if = "is_zero")]
    pub capability: u32,
}

impl MemberRecord {
    /// Creates the record of a member of this version. `uses_shard_map` says whether the
    /// member follows the shard map.
    pub fn new(incarnation: u64, uses_shard_map: bool) -> MemberRecord {
        let capability = if uses_shard_map {
            SHARD_MAP_CAPABILITY
        } else {
            GANG_CAPABILITY
        };
        MemberRecord {
            incarnation,
            capability,
        }
    }

    /// Creates the record of a member of this version without the features that are disabled
    /// by default.
    pub fn of_this_version(incarnation: u64) -> MemberRecord {
        MemberRecord::new(incarnation, false)
    }
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// The record of the current epoch: which members may act, and which of them leads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Epoch {
    /// The number of the epoch, one higher than that of the previous epoch.
    #[serde(rename = "n")]
    pub number: u64,
    /// The incarnation of each member, by node name.
    pub members: BTreeMap<String, u64>,
    /// The node name of the leader.
    pub leader: String,
    /// Whether all members follow the shard map; absent (false) if any does not.
    #[serde(rename = "s", default, skip_serializing_if = "std::ops::Not::not")]
    pub uses_shard_map: bool,
}

/// The record of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The specification; absent once the job is done.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<Arc<JobSpec>>,
    /// The number of the epoch in which the job was accepted.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// When the job was accepted, by the wall clock, in milliseconds since the Unix epoch.
    #[serde(rename = "t")]
    pub accepted_at_ms: u64,
    /// The number of tasks.
    #[serde(rename = "n")]
    pub task_count: u32,
    /// Whether a user has cancelled the job.
    #[serde(rename = "x", default)]
    pub cancelled: bool,
    /// Whether all tasks have finished.
    #[serde(rename = "d", default)]
    pub done: bool,
    /// When the job was cancelled, by the wall clock, in milliseconds since the Unix epoch;
    /// absent if it was not cancelled, or if its time of cancellation is unknown.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub cancelled_at_ms: Option<u64>,
}

impl JobRecord {
    /// Checks that the record is consistent in itself and with the job id in its key. The
    /// specification of a done or cancelled job is no longer needed and not checked.
    pub(super) fn check(&self, id: &str) -> Result<(), RecordError> {
        match &self.spec {
            _ if self.done || self.cancelled => Ok(()),
            None => Err(RecordError::MissingSpec),
            Some(spec) if &*spec.id != id => Err(RecordError::JobIdMismatch),
            Some(spec) if spec.task_count != self.task_count => Err(RecordError::TaskCountMismatch),
            _ => Ok(()),
        }
    }
}

/// The record of a single machine. Versions before 0.2 store one under each registry key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// The name of its machine type.
    #[serde(rename = "b")]
    pub machine_type: Arc<str>,
    /// The zone that it runs in.
    #[serde(rename = "z")]
    pub zone: Arc<str>,
    /// Whether it is a spot machine, which the cloud may reclaim.
    #[serde(rename = "s")]
    pub spot: bool,
    /// Whether tasks may have been started on it. This is committed before the first start.
    #[serde(rename = "u", default)]
    pub in_use: bool,
    /// When it was rented or first found, by the wall clock, in milliseconds since the Unix
    /// epoch.
    #[serde(rename = "t", default)]
    pub rented_at_ms: u64,
    /// The address at which its worker accepts commands; absent until it is known. A new
    /// owner uses it to ask the worker at once which tasks it runs.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub address: Option<Arc<str>>,
}

/// A page of the machine registry, with machines of one rental. Adding, using or removing
/// hundreds of machines together takes one write of their page.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RegistryPage {
    /// The name of the type of all machines on the page.
    #[serde(rename = "b")]
    pub machine_type: Arc<str>,
    /// The zone of all machines on the page.
    #[serde(rename = "z")]
    pub zone: Arc<str>,
    /// Whether the machines are spot machines, which the cloud may reclaim.
    #[serde(rename = "s")]
    pub spot: bool,
    /// When the machines were rented or first found, by the wall clock, in milliseconds since
    /// the Unix epoch.
    #[serde(rename = "t", default)]
    pub rented_at_ms: u64,
    /// The address of each machine's worker, by machine id. `None` as long as no task can have
    /// been started on the machine; empty if the machine is in use at an unknown address.
    #[serde(rename = "m")]
    pub machines: BTreeMap<MachineId, Option<Arc<str>>>,
}

impl RegistryPage {
    /// Returns the record of one machine of the page, given its entry in `machines`.
    pub(super) fn machine_record(&self, address: Option<&Arc<str>>) -> MachineRecord {
        MachineRecord {
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            in_use: address.is_some(),
            rented_at_ms: self.rented_at_ms,
            address: address.filter(|address| !address.is_empty()).cloned(),
        }
    }

    /// Parses the value of a registry key: a page, or the [`MachineRecord`] of the single
    /// machine that the key names.
    pub(super) fn from_value(name: &str, value: Value) -> Result<RegistryPage, RecordError> {
        if value.get("m").is_some() {
            return from_value(value);
        }
        let record: MachineRecord = from_value(value)?;
        let address = record
            .in_use
            .then(|| record.address.unwrap_or_else(|| "".into()));
        Ok(RegistryPage {
            machine_type: record.machine_type,
            zone: record.zone,
            spot: record.spot,
            rented_at_ms: record.rented_at_ms,
            machines: [(name.into(), address)].into_iter().collect(),
        })
    }
}

/// Parses a stored value as the record type of its key.
pub(super) fn from_value<T: serde::de::DeserializeOwned>(value: Value) -> Result<T, RecordError> {
    serde_json::from_value(value).map_err(|_| RecordError::Malformed)
}
