//! The table of shares: which ranges of a home's machines another controller owns.

use crate::hash_position::{position, HashPosition};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use thiserror::Error;

/// A range of the machines of one home, both ends included.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HashRange {
    /// The controller that the hash names as owner of these machines.
    #[serde(rename = "home")]
    pub hash_owner: String,
    /// The lowest position.
    pub first: HashPosition,
    /// The highest position.
    pub last: HashPosition,
}

impl HashRange {
    /// All machines of a home.
    pub fn whole(hash_owner: &str) -> HashRange {
        HashRange {
            hash_owner: hash_owner.into(),
            first: 0,
            last: HashPosition::MAX,
        }
    }

    /// Whether a machine of home `home` at `position` is in it.
    pub fn contains(&self, hash_owner: &str, position: HashPosition) -> bool {
        self.hash_owner == hash_owner && (self.first..=self.last).contains(&position)
    }

    /// Whether both have positions in common.
    pub fn overlaps(&self, other: &HashRange) -> bool {
        self.hash_owner == other.hash_owner && self.first <= other.last && other.first <= self.last
    }
}

impl fmt::Display for HashRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}:{:016x}-{:016x}",
            self.hash_owner, self.first, self.last
        )
    }
}

/// Why a stored share is not used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ShardMapError {
    /// The value has not the form of a table.
    #[error("the table has not the form of one")]
    Malformed,
    /// A share that ends before it begins, or has no position.
    #[error("share {0} of the table has no range")]
    NoRange(usize),
    /// Two shares claim the same positions.
    #[error("{0} and {1} overlap")]
    Overlap(HashRange, HashRange),
}

/// A share as it is stored: home, first and last position in hex, owner.
type StoredRange = (String, String, String, String);

/// The table as it is stored.
#[derive(Debug, Serialize, Deserialize)]
pub struct StoredShardMap {
    #[serde(rename = "g")]
    generation: u64,
    #[serde(rename = "s")]
    ranges: Vec<StoredRange>,
}

/// What is owned otherwise than the hash says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ShardMap {
    /// Counts the changes of the table.
    pub generation: u64,
    /// Owner of each range; no two overlap.
    ranges: BTreeMap<HashRange, String>,
}

impl ShardMap {
    /// Who owns a machine of home `home`, if the table says so.
    pub fn owner(&self, hash_owner: &str, machine: &str) -> Option<&str> {
        let position = position(machine);
        let from = HashRange {
            hash_owner: hash_owner.into(),
            first: 0,
            last: 0,
        };
        let to = HashRange {
            hash_owner: hash_owner.into(),
            first: position,
            last: HashPosition::MAX,
        };
        let (range, owner) = self.ranges.range(from..=to).next_back()?;
        range.contains(hash_owner, position).then_some(owner)
    }

    /// The owner of a whole range, if a single one owns all of it: `home` where the table
    /// says nothing.
    pub fn sole_owner<'a>(&'a self, range: &'a HashRange) -> Option<&'a str> {
        let mut within = self
            .ranges
            .iter()
            .filter(|(stored_range, _)| stored_range.overlaps(range));
        match within.next() {
            None => Some(&range.hash_owner),
            Some((stored_range, owner))
                if stored_range.first <= range.first && stored_range.last >= range.last =>
            {
                Some(owner)
            }
            Some(_) => None,
        }
    }

    /// All shares, by home and position.
    pub fn ranges(&self) -> impl Iterator<Item = (&HashRange, &str)> {
        self.ranges
            .iter()
            .map(|(range, owner)| (range, owner.as_str()))
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.ranges.len()
    }

    /// Whether the hash decides everywhere.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// The next table, in which `owner` owns a range. A home that owns a range of its own
    /// needs no share for it; neighbours with the same owner become one.
    pub fn with_owner(&self, range: &HashRange, owner: &str) -> ShardMap {
        let mut next = ShardMap {
            generation: self.generation + 1,
            ranges: BTreeMap::new(),
        };
        for (stored_range, other) in &self.ranges {
            for rest in without(stored_range, range) {
                next.ranges.insert(rest, other.clone());
            }
        }
        if owner != range.hash_owner {
            next.ranges.insert(range.clone(), owner.into());
        }
        next.merge_neighbours();
        next
    }

    fn merge_neighbours(&mut self) {
        let mut merged: Vec<(HashRange, String)> = Vec::new();
        for (range, owner) in std::mem::take(&mut self.ranges) {
            match merged.last_mut() {
                Some((before, same))
                    if *same == owner
                        && before.hash_owner == range.hash_owner
                        && before.last.checked_add(1) == Some(range.first) =>
                {
                    before.last = range.last;
                }
                _ => merged.push((range, owner)),
            }
        }
        self.ranges = merged.into_iter().collect();
    }

    /// The table as it is stored.
    pub fn to_stored(&self) -> StoredShardMap {
        let stored_range = |(range, owner): (&HashRange, &String)| {
            let hex = |position: HashPosition| format!("{position:x}");
            (
                range.hash_owner.clone(),
                hex(range.first),
                hex(range.last),
                owner.clone(),
            )
        };
        StoredShardMap {
            generation: self.generation,
            ranges: self.ranges.iter().map(stored_range).collect(),
        }
    }

    /// Reads a stored table. Shares that make no sense, or overlap, are left out: there the
    /// hash decides.
    pub fn read(stored: &StoredShardMap) -> (ShardMap, Vec<ShardMapError>) {
        let (mut good, mut errors) = (Vec::new(), Vec::new());
        for (n, (hash_owner, first, last, owner)) in stored.ranges.iter().enumerate() {
            let ends = HashPosition::from_str_radix(first, 16)
                .ok()
                .zip(HashPosition::from_str_radix(last, 16).ok());
            match ends.filter(|(first, last)| {
                first <= last && !hash_owner.is_empty() && !owner.is_empty()
            }) {
                Some((first, last)) => good.push((
                    HashRange {
                        hash_owner: hash_owner.clone(),
                        first,
                        last,
                    },
                    owner.clone(),
                )),
                None => errors.push(ShardMapError::NoRange(n)),
            }
        }
        let mut table = ShardMap {
            generation: stored.generation,
            ranges: BTreeMap::new(),
        };
        for (n, (range, owner)) in good.iter().enumerate() {
            let others = good.iter().enumerate().filter(|(m, _)| *m != n);
            match others
                .map(|(_, other)| &other.0)
                .find(|other| other.overlaps(range))
            {
                Some(other) => errors.push(ShardMapError::Overlap(range.clone(), other.clone())),
                None => {
                    table.ranges.insert(range.clone(), owner.clone());
                }
            }
        }
        (table, errors)
    }
}

/// What is left of a share outside a range.
fn without(stored_range: &HashRange, range: &HashRange) -> Vec<HashRange> {
    if !stored_range.overlaps(range) {
        return vec![stored_range.clone()];
    }
    let mut rest = Vec::new();
    if stored_range.first < range.first {
        rest.push(HashRange {
            last: range.first - 1,
            ..stored_range.clone()
        });
    }
    if stored_range.last > range.last {
        rest.push(HashRange {
            first: range.last + 1,
            ..stored_range.clone()
        });
    }
    rest
}
