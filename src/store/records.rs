//! The records that the key-value store holds, and their wire names.

use super::invalid_records::RecordError;
use crate::wire::{JobSpec, MachineId};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A value with the revision of its key at which it was read or written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The value.
    pub value: T,
    /// The revision of its key.
    pub revision: u64,
}

impl<T> Versioned<T> {
    /// A value at a revision.
    pub fn new(value: T, revision: u64) -> Versioned<T> {
        Versioned { value, revision }
    }
}

/// The capability of versions that run gangs.
pub const GANG_CAPABILITY: u32 = 1;

/// The capability of versions that also follow the shard map.
pub const SHARD_MAP_CAPABILITY: u32 = 2;

/// A member of the cluster. The id of its lease is its incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The id of the lease that the record is attached to.
    #[serde(rename = "inc")]
    pub incarnation: u64,
    /// What the member's version supports; absent (zero) before [`GANG_CAPABILITY`].
    #[serde(rename = "v", default, skip_serializing_if = "is_zero")]
    pub capability: u32,
}

impl MemberRecord {
    /// The record of a member of this version, that follows the shard map or not.
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

    /// The record of a member of this version without the features that are off by default.
    pub fn of_this_version(incarnation: u64) -> MemberRecord {
        MemberRecord::new(incarnation, false)
    }
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// The epoch: which members may act, and which of them leads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Epoch {
    /// The epoch's number; each epoch's is one higher than that of the one before.
    #[serde(rename = "n")]
    pub number: u64,
    /// The incarnation of each member, by name.
    pub members: BTreeMap<String, u64>,
    /// The name of the leader.
    pub leader: String,
    /// Whether all members follow the shard map; absent if one does not.
    #[serde(rename = "s", default, skip_serializing_if = "std::ops::Not::not")]
    pub uses_shard_map: bool,
}

/// A job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The specification; absent once the job is done.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<Arc<JobSpec>>,
    /// The number of the epoch in which the job was accepted.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// When the job was accepted, in milliseconds of the wall clock.
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
    /// When the job was cancelled, in milliseconds of the wall clock.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub cancelled_at_ms: Option<u64>,
}

impl JobRecord {
    /// Checks that the record is consistent with itself and with the job id in its key.
    /// The specification of a job that is done or cancelled is not needed any more.
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

/// A machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// The name of its machine type.
    #[serde(rename = "b")]
    pub machine_type: Arc<str>,
    /// Its zone.
    #[serde(rename = "z")]
    pub zone: Arc<str>,
    /// Whether it is a spot machine, which the cloud may take back.
    #[serde(rename = "s")]
    pub spot: bool,
    /// Whether tasks may have been started on it; written before the first start.
    #[serde(rename = "u", default)]
    pub in_use: bool,
    /// When it was rented or found, in milliseconds of the wall clock.
    #[serde(rename = "t", default)]
    pub rented_at_ms: u64,
    /// The address at which its worker accepts commands, once known: a new owner asks
    /// the worker at once which tasks it runs.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub address: Option<Arc<str>>,
}

/// A page of the machine registry: the machines of one rental. A page needs one write
/// where hundreds of machines are added, used or removed together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RegistryPage {
    /// The name of the machines' type.
    #[serde(rename = "b")]
    pub machine_type: Arc<str>,
    /// The machines' zone.
    #[serde(rename = "z")]
    pub zone: Arc<str>,
    /// Whether they are spot machines.
    #[serde(rename = "s")]
    pub spot: bool,
    /// When they were rented or found, in milliseconds of the wall clock.
    #[serde(rename = "t", default)]
    pub rented_at_ms: u64,
    /// The address of each machine's worker; `None` while no task was started on it.
    #[serde(rename = "m")]
    pub machines: BTreeMap<MachineId, Option<Arc<str>>>,
}

impl RegistryPage {
    /// The record of one machine of the page, given its entry in `machines`.
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

    /// Parses the value of a registry key: a page, or the record of the single machine
    /// that the key names.
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

/// Parses a stored value.
pub(super) fn from_value<T: serde::de::DeserializeOwned>(value: Value) -> Result<T, RecordError> {
    serde_json::from_value(value).map_err(|_| RecordError::Malformed)
}
