//! The shard map: which ranges of a hash owner's machines another controller owns.

use crate::hash_position::{position, HashPosition};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use thiserror::Error;

/// A range of the machines of one hash owner, both ends included.
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
    /// All machines of a hash owner.
    pub fn whole(hash_owner: &str) -> HashRange {
        HashRange {
            hash_owner: hash_owner.into(),
            first: 0,
            last: HashPosition::MAX,
        }
    }

    /// Whether a machine of hash owner `hash_owner` at `position` is in it.
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

/// Why a stored range is not used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ShardMapError {
    /// The value has not the form of a shard map.
    #[error("the table has not the form of one")]
    Malformed,
    /// A hash range that ends before it begins, or has no position.
    #[error("share {0} of the table has no range")]
    NoRange(usize),
    /// Two ranges claim the same positions.
    #[error("{0} and {1} overlap")]
    Overlap(HashRange, HashRange),
}

/// A range as it is stored: a JSON array of its four fields, in this order.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(
    from = "(String, String, String, String)",
    into = "(String, String, String, String)"
)]
struct StoredRange {
    hash_owner: String,
    /// First position, in hex.
    first: String,
    /// Last position, in hex.
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

    /// The range, unless it makes no sense.
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

/// What is owned otherwise than the hash says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ShardMap {
    /// Counts the changes of the shard map.
    pub generation: u64,
    /// Owner of each range; no two overlap.
    ranges: BTreeMap<HashRange, String>,
}

impl ShardMap {
    /// Who owns a machine of hash owner `hash_owner`, if the shard map says so.
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

    /// The owner of a whole range, if a single one owns all of it: the hash owner where the shard map
    /// says nothing.
    pub fn sole_owner<'a>(&'a self, range: &'a HashRange) -> Option<&'a str> {
        let mut within = self
            .ranges
            .iter()
            .filter(|(other, _)| other.overlaps(range));
        match within.next() {
            None => Some(&range.hash_owner),
            Some((other, owner)) if other.first <= range.first && other.last >= range.last => {
                Some(owner)
            }
            Some(_) => None,
        }
    }

    /// All ranges, by hash owner and position.
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

    /// The next shard map, in which `owner` owns a range. A hash owner that owns its own range
    /// needs no entry for it; neighbours with the same owner become one.
    pub fn with_owner(&self, range: &HashRange, owner: &str) -> ShardMap {
        let mut next = ShardMap {
            generation: self.generation + 1,
            ranges: BTreeMap::new(),
        };
        for (present, present_owner) in &self.ranges {
            for rest in without(present, range) {
                next.ranges.insert(rest, present_owner.clone());
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

    /// The shard map as it is stored.
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

    /// Reads a stored shard map. Ranges that make no sense, or overlap, are left out: there the
    /// hash decides.
    pub fn from_stored(stored: &StoredShardMap) -> (ShardMap, Vec<ShardMapError>) {
        let (mut good, mut errors) = (Vec::new(), Vec::new());
        for (n, stored_range) in stored.ranges.iter().enumerate() {
            match stored_range.parse() {
                Some(range) => good.push((range, stored_range.owner.clone())),
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

/// What is left of a hash range outside a range.
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
