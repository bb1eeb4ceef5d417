//! Invalid records in the key-value store: malformed, or inconsistent in themselves or with
//! other records. They are logged, counted and skipped, and never overwritten.

use super::keys::REGISTRY_PREFIX;
use std::collections::BTreeMap;
use thiserror::Error;

/// Why a stored record is invalid, or cannot be used because of an unknown name in it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RecordError {
    /// This version does not know the key.
    #[error("a key that this version doesn't know")]
    UnknownKey,
    /// The value does not have the form that its key requires.
    #[error("the value has not the form of such a record")]
    Malformed,
    /// The record is of a job other than the one that its key names.
    #[error("the record is of another job")]
    JobIdMismatch,
    /// The record and the specification in it disagree on the number of tasks.
    #[error("the record and its description disagree on the number of tasks")]
    TaskCountMismatch,
    /// The record of a job that is neither done nor cancelled has no specification.
    #[error("a job that is not done has no description")]
    MissingSpec,
    /// The chunk of finished tasks is of a job without a record.
    #[error("finished tasks of a job without a record")]
    UnknownJob,
    /// The chunk of finished tasks contains tasks that the job does not have.
    #[error("finished tasks that the job doesn't have")]
    UnknownTask,
    /// The job's team is not in the settings.
    #[error("the job's team is not in the settings")]
    UnknownTeam,
    /// The machine type of a registry page is not in the catalog.
    #[error("the machines' type is not in the catalogue")]
    UnknownMachineType,
    /// The zone of a registry page is not in the settings.
    #[error("the machines' zone is not in the settings")]
    UnknownZone,
}

/// An invalid record that was skipped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidRecord {
    /// The revision of the record's key.
    pub revision: u64,
    /// Why the record is invalid.
    pub error: RecordError,
}

/// All invalid records that were skipped, by key.
#[derive(Debug, Clone, Default)]
pub struct InvalidRecords {
    by_key: BTreeMap<String, InvalidRecord>,
}

impl InvalidRecords {
    /// Adds the invalid record under `key`, read at `revision`.
    pub fn add(&mut self, key: &str, revision: u64, error: RecordError) {
        self.by_key
            .insert(key.into(), InvalidRecord { revision, error });
    }

    /// Removes the record under `key`, as the key has held a valid record or none since
    /// `revision`. A record that was read at a later revision is kept.
    pub fn remove(&mut self, key: &str, revision: u64) {
        if self
            .by_key
            .get(key)
            .is_some_and(|record| record.revision <= revision)
        {
            self.by_key.remove(key);
        }
    }

    /// Whether the record under `key` is invalid.
    pub fn contains(&self, key: &str) -> bool {
        self.by_key.contains_key(key)
    }

    /// Whether any page of the machine registry is invalid, so that the machines on it are not
    /// known.
    pub fn contains_registry_page(&self) -> bool {
        self.by_key
            .keys()
            .any(|key| key.starts_with(REGISTRY_PREFIX))
    }

    /// Returns the number of invalid records.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether there are no invalid records.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Returns all invalid records with their keys, in key order.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &InvalidRecord)> {
        self.by_key.iter()
    }
}
