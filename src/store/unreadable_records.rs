//! Stored records that can't be read, or that contradict themselves or each other.
//! They are logged and counted, left alone, and never overwritten or guessed at.

use std::collections::BTreeMap;
use thiserror::Error;

/// Why a stored record is not taken in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RecordError {
    /// The key is none of this version's.
    #[error("a key that this version doesn't know")]
    ForeignKey,
    /// The value has not the form that its key asks for.
    #[error("the value has not the form of such a record")]
    Malformed,
    /// The record names another job than its key.
    #[error("the record is of another job")]
    OtherJob,
    /// The record and the description in it disagree on how many tasks there are.
    #[error("the record and its description disagree on the number of tasks")]
    TaskCount,
    /// A job that is not done has no description.
    #[error("a job that is not done has no description")]
    NoDescription,
    /// Finished tasks of a job that nobody knows.
    #[error("finished tasks of a job without a record")]
    NoSuchJob,
    /// Finished tasks that their job doesn't have.
    #[error("finished tasks that the job doesn't have")]
    NoSuchTask,
    /// A team that the settings don't name.
    #[error("the job's team is not in the settings")]
    UnknownTeam,
    /// A machine type that the catalog doesn't name.
    #[error("the machines' type is not in the catalogue")]
    UnknownMachineType,
    /// A zone that the settings don't name.
    #[error("the machines' zone is not in the settings")]
    UnknownZone,
}

/// A record that was left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnreadableRecord {
    /// Its revision.
    pub revision: u64,
    /// Why.
    pub why: RecordError,
}

/// All records that were left out, by key.
#[derive(Debug, Clone, Default)]
pub struct UnreadableRecords {
    by_key: BTreeMap<String, UnreadableRecord>,
}

impl UnreadableRecords {
    /// A record is left out.
    pub fn add(&mut self, key: &str, revision: u64, why: RecordError) {
        self.by_key
            .insert(key.into(), UnreadableRecord { revision, why });
    }

    /// A key holds a good record, or none, as of revision `version`.
    pub fn remove(&mut self, key: &str, revision: u64) {
        if self
            .by_key
            .get(key)
            .is_some_and(|record| record.revision <= revision)
        {
            self.by_key.remove(key);
        }
    }

    /// Whether the record under a key was left out.
    pub fn contains(&self, key: &str) -> bool {
        self.by_key.contains_key(key)
    }

    /// Whether a page of the machine registry was left out: its machines are not known.
    pub fn any_registry_page(&self) -> bool {
        self.by_key
            .keys()
            .any(|key| key.starts_with(crate::store::cache::REGISTRY_PREFIX))
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// All of them, by key.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &UnreadableRecord)> {
        self.by_key.iter()
    }
}
