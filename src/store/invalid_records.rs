//! Stored records that are malformed, or inconsistent with themselves or each other.
//! They are logged, counted and skipped, and never overwritten.

use super::keys::REGISTRY_PREFIX;
use std::collections::BTreeMap;
use thiserror::Error;

/// Why a stored record is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RecordError {
    /// This version does not know the key.
    #[error("a key that this version doesn't know")]
    UnknownKey,
    /// The value does not have the form that its key requires.
    #[error("the value has not the form of such a record")]
    Malformed,
    /// The record names a job other than its key does.
    #[error("the record is of another job")]
    JobIdMismatch,
    /// The record and the specification in it disagree on the number of tasks.
    #[error("the record and its description disagree on the number of tasks")]
    TaskCountMismatch,
    /// A job that is not done has no specification.
    #[error("a job that is not done has no description")]
    MissingSpec,
    /// Finished tasks of a job without a record.
    #[error("finished tasks of a job without a record")]
    UnknownJob,
    /// Finished tasks that are not among the job's.
    #[error("finished tasks that the job doesn't have")]
    UnknownTask,
    /// The settings do not name the job's team.
    #[error("the job's team is not in the settings")]
    UnknownTeam,
    /// The catalog does not name the machines' type.
    #[error("the machines' type is not in the catalogue")]
    UnknownMachineType,
    /// The settings do not name the machines' zone.
    #[error("the machines' zone is not in the settings")]
    UnknownZone,
}

/// A skipped record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidRecord {
    /// The revision of its key.
    pub revision: u64,
    /// Why it was skipped.
    pub error: RecordError,
}

/// All skipped records, by key.
#[derive(Debug, Clone, Default)]
pub struct InvalidRecords {
    by_key: BTreeMap<String, InvalidRecord>,
}

impl InvalidRecords {
    /// Records that the record of a key was skipped.
    pub fn add(&mut self, key: &str, revision: u64, error: RecordError) {
        self.by_key
            .insert(key.into(), InvalidRecord { revision, error });
    }

    /// Records that a key holds a valid record, or none, since `revision`.
    pub fn remove(&mut self, key: &str, revision: u64) {
        if self
            .by_key
            .get(key)
            .is_some_and(|record| record.revision <= revision)
        {
            self.by_key.remove(key);
        }
    }

    /// Whether the record of a key was skipped.
    pub fn contains(&self, key: &str) -> bool {
        self.by_key.contains_key(key)
    }

    /// Whether a page of the machine registry was skipped: its machines are not known.
    pub fn contains_registry_page(&self) -> bool {
        self.by_key
            .keys()
            .any(|key| key.starts_with(REGISTRY_PREFIX))
    }

    /// The number of skipped records.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether no record was skipped.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// All skipped records, in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &InvalidRecord)> {
        self.by_key.iter()
    }
}
