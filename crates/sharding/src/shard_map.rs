//! The shard map: which ranges of a hash owner's machines belong to another controller.

use crate::hash_position::{position, HashPosition};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use thiserror::Error;

/// A range of the machines of one hash owner, including both ends.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HashRange {
    /// The controller that owns these machines by the hash.
    #[serde(rename = "home")]
    pub hash_owner: String,
    /// The lowest position.
    pub first: HashPosition,
    /// The highest position.
    pub last: HashPosition,
}

impl HashRange {
    /// Returns the range of all machines of a hash owner.
    pub fn whole(hash_owner: &str) -> HashRange {
        HashRange {
            hash_owner: hash_owner.into(),
            first: 0,
            last: HashPosition::MAX,
        }
    }

    /// Whether the range contains a machine of `hash_owner` at `position`.
    pub fn contains(&self, hash_owner: &str, position: HashPosition) -> bool {
        self.hash_owner == hash_owner && (self.first..=self.last).contains(&position)
    }

    /// Whether the ranges have positions in common.
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

/// Why a stored shard map, or a range of it, is not used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ShardMapError {
    /// The stored value does not have the form of a shard map.
    #[error("the table has not the form of one")]
    Malformed,
    /// The entry at this index is not a valid range: its first position is above its last, a
    /// position is not a hexadecimal number, or a name is empty.
    #[error("share {0} of the table has no range")]
    NoRange(usize),
    /// Two ranges have positions in common.
    #[error("{0} and {1} overlap")]
    Overlap(HashRange, HashRange),
}

/// A range as it is stored: a JSON array of the four fields, in this order.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(
    from = "(String, String, String, String)",
    into = "(String, String, String, String)"
)]
struct StoredRange {
    hash_owner: String,
    /// The first position, in hexadecimal.
    first: String,
    /// The last position, in hexadecimal.
    last: String,
    owner: String,
}

impl From<(String, String, String, String)> for StoredRange {
    fn from((hash_owner, first, last, owner): (String, String, String, String)) -> StoredRange {
        StoredRange {
            hash_owner,
            first,
            last,
            owner,
        }
    }
}

impl From<StoredRange> for (String, String, String, String) {
    fn from(range: StoredRange) -> (String, String, String, String) {
        (range.hash_owner, range.first, range.last, range.owner)
    }
}

impl StoredRange {
    fn new(range: &HashRange, owner: &str) -> StoredRange {
        StoredRange {
            hash_owner: range.hash_owner.clone(),
            first: format!("{:x}", range.first),
            last: format!("{:x}", range.last),
            owner: owner.into(),
        }
    }

    /// Returns the range, or `None` if the entry is invalid.
    fn parse(&self) -> Option<HashRange> {
        let first = HashPosition::from_str_radix(&self.first, 16).ok()?;
        let last = HashPosition::from_str_radix(&self.last, 16).ok()?;
        let named = !self.hash_owner.is_empty() && !self.owner.is_empty();
        (first <= last && named).then(|| HashRange {
            hash_owner: self.hash_owner.clone(),
            first,
            last,
        })
    }
}

/// The shard map as it is stored.
#[derive(Debug, Serialize, Deserialize)]
pub struct StoredShardMap {
    #[serde(rename = "g")]
    generation: u64,
    #[serde(rename = "s")]
    ranges: Vec<StoredRange>,
}

/// The hash ranges that belong to another controller than their hash owner.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ShardMap {
    /// The number of changes of the shard map so far.
    pub generation: u64,
    /// The owner of each range. No two ranges overlap.
    ranges: BTreeMap<HashRange, String>,
}

impl ShardMap {
    /// Returns the owner of a machine of `hash_owner`, or `None` if the shard map has no range
    /// for it and the hash owner owns it.
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

    /// Returns the owner of a range, or `None` if several controllers own parts of it. A range
    /// that overlaps no range of the shard map belongs to its hash owner.
    pub fn sole_owner<'a>(&'a self, range: &'a HashRange) -> Option<&'a str> {
        let mut overlapping = self
            .ranges
            .iter()
            .filter(|(other, _)| other.overlaps(range));
        match overlapping.next() {
            None => Some(&range.hash_owner),
            Some((other, owner)) if other.first <= range.first && other.last >= range.last => {
                Some(owner)
            }
            Some(_) => None,
        }
    }

    /// Returns all ranges with their owners, in the order of hash owner and position.
    pub fn ranges(&self) -> impl Iterator<Item = (&HashRange, &str)> {
        self.ranges
            .iter()
            .map(|(range, owner)| (range, owner.as_str()))
    }

    /// Returns the number of ranges.
    pub fn len(&self) -> usize {
        self.ranges.len()
    }

    /// Whether there are no ranges: every machine belongs to its hash owner.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Returns the next generation of the shard map, in which `owner` owns `range`. A range
    /// that belongs to its hash owner has no entry, and adjacent ranges with the same owner
    /// are merged.
    pub fn with_owner(&self, range: &HashRange, owner: &str) -> ShardMap {
        let mut next = ShardMap {
            generation: self.generation + 1,
            ranges: BTreeMap::new(),
        };
        for (entry, entry_owner) in &self.ranges {
            for rest in without(entry, range) {
                next.ranges.insert(rest, entry_owner.clone());
            }
        }
        if owner != range.hash_owner {
            next.ranges.insert(range.clone(), owner.into());
        }
        next.merge_adjacent();
        next
    }

    fn merge_adjacent(&mut self) {
        let mut merged: Vec<(HashRange, String)> = Vec::new();
        for (range, owner) in std::mem::take(&mut self.ranges) {
            match merged.last_mut() {
                Some((previous, previous_owner))
                    if *previous_owner == owner
                        && previous.hash_owner == range.hash_owner
                        && previous.last.checked_add(1) == Some(range.first) =>
                {
                    previous.last = range.last;
                }
                _ => merged.push((range, owner)),
            }
        }
        self.ranges = merged.into_iter().collect();
    }

    /// Returns the shard map in its stored form.
    pub fn to_stored(&self) -> StoredShardMap {
        StoredShardMap {
            generation: self.generation,
            ranges: self
                .ranges
                .iter()
                .map(|(range, owner)| StoredRange::new(range, owner))
                .collect(),
        }
    }

    /// Reads a stored shard map. Ranges that are invalid or overlap others are left out and
    /// returned as errors: the hash owner owns their machines.
    pub fn from_stored(stored: &StoredShardMap) -> (ShardMap, Vec<ShardMapError>) {
        let (mut valid, mut errors) = (Vec::new(), Vec::new());
        for (n, stored_range) in stored.ranges.iter().enumerate() {
            match stored_range.parse() {
                Some(range) => valid.push((range, stored_range.owner.clone())),
                None => errors.push(ShardMapError::NoRange(n)),
            }
        }
        let mut shard_map = ShardMap {
            generation: stored.generation,
            ranges: BTreeMap::new(),
        };
        for (n, (range, owner)) in valid.iter().enumerate() {
            let others = valid.iter().enumerate().filter(|(m, _)| *m != n);
            match others
                .map(|(_, other)| &other.0)
                .find(|other| other.overlaps(range))
            {
                Some(other) => errors.push(ShardMapError::Overlap(range.clone(), other.clone())),
                None => {
                    shard_map.ranges.insert(range.clone(), owner.clone());
                }
            }
        }
        (shard_map, errors)
    }
}

/// Returns the parts of `whole` that are outside `range`.
fn without(whole: &HashRange, range: &HashRange) -> Vec<HashRange> {
    if !whole.overlaps(range) {
        return vec![whole.clone()];
    }
    let mut rest = Vec::new();
    if whole.first < range.first {
        rest.push(HashRange {
            last: range.first - 1,
            ..whole.clone()
        });
    }
    if whole.last > range.last {
        rest.push(HashRange {
            first: range.last + 1,
            ..whole.clone()
        });
    }
    rest
}
