//! The table of shares: which ranges of a home's machines another controller owns.

use crate::position::{position, Position};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use thiserror::Error;

/// A range of the machines of one home, both ends included.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShareRange {
    /// The controller that the hash names as owner of these machines.
    pub home: String,
    /// The lowest position.
    pub first: Position,
    /// The highest position.
    pub last: Position,
}

impl ShareRange {
    /// All machines of a home.
    pub fn whole(home: &str) -> ShareRange {
        ShareRange {
            home: home.into(),
            first: 0,
            last: Position::MAX,
        }
    }

    /// Whether a machine of home `home` at `position` is in it.
    pub fn contains(&self, home: &str, position: Position) -> bool {
        self.home == home && (self.first..=self.last).contains(&position)
    }

    /// Whether both have positions in common.
    pub fn overlaps(&self, other: &ShareRange) -> bool {
        self.home == other.home && self.first <= other.last && other.first <= self.last
    }
}

impl fmt::Display for ShareRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{:016x}-{:016x}", self.home, self.first, self.last)
    }
}

/// Why a stored share is not used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ShareError {
    /// The value has not the form of a table.
    #[error("the table has not the form of one")]
    Malformed,
    /// A share that ends before it begins, or has no position.
    #[error("share {0} of the table has no range")]
    NoRange(usize),
    /// Two shares claim the same positions.
    #[error("{0} and {1} overlap")]
    Overlap(ShareRange, ShareRange),
}

/// A share as it is stored: home, first and last position in hex, owner.
type StoredShare = (String, String, String, String);

/// The table as it is stored.
#[derive(Debug, Serialize, Deserialize)]
pub struct StoredTable {
    #[serde(rename = "g")]
    generation: u64,
    #[serde(rename = "s")]
    shares: Vec<StoredShare>,
}

/// What is owned otherwise than the hash says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ShareTable {
    /// Counts the changes of the table.
    pub generation: u64,
    /// Owner of each range; no two overlap.
    shares: BTreeMap<ShareRange, String>,
}

impl ShareTable {
    /// Who owns a machine of home `home`, if the table says so.
    pub fn owner(&self, home: &str, machine: &str) -> Option<&str> {
        let position = position(machine);
        let from = ShareRange {
            home: home.into(),
            first: 0,
            last: 0,
        };
        let to = ShareRange {
            home: home.into(),
            first: position,
            last: Position::MAX,
        };
        let (range, owner) = self.shares.range(from..=to).next_back()?;
        range.contains(home, position).then_some(owner)
    }

    /// The owner of a whole range, if a single one owns all of it: `home` where the table
    /// says nothing.
    pub fn sole_owner<'a>(&'a self, range: &'a ShareRange) -> Option<&'a str> {
        let mut within = self
            .shares
            .iter()
            .filter(|(share, _)| share.overlaps(range));
        match within.next() {
            None => Some(&range.home),
            Some((share, owner)) if share.first <= range.first && share.last >= range.last => {
                Some(owner)
            }
            Some(_) => None,
        }
    }

    /// All shares, by home and position.
    pub fn shares(&self) -> impl Iterator<Item = (&ShareRange, &str)> {
        self.shares
            .iter()
            .map(|(range, owner)| (range, owner.as_str()))
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.shares.len()
    }

    /// Whether the hash decides everywhere.
    pub fn is_empty(&self) -> bool {
        self.shares.is_empty()
    }

    /// The next table, in which `owner` owns a range. A home that owns a range of its own
    /// needs no share for it; neighbours with the same owner become one.
    pub fn moved(&self, range: &ShareRange, owner: &str) -> ShareTable {
        let mut next = ShareTable {
            generation: self.generation + 1,
            shares: BTreeMap::new(),
        };
        for (share, other) in &self.shares {
            for rest in without(share, range) {
                next.shares.insert(rest, other.clone());
            }
        }
        if owner != range.home {
            next.shares.insert(range.clone(), owner.into());
        }
        next.merge_neighbours();
        next
    }

    fn merge_neighbours(&mut self) {
        let mut merged: Vec<(ShareRange, String)> = Vec::new();
        for (range, owner) in std::mem::take(&mut self.shares) {
            match merged.last_mut() {
                Some((before, same))
                    if *same == owner
                        && before.home == range.home
                        && before.last.checked_add(1) == Some(range.first) =>
                {
                    before.last = range.last;
                }
                _ => merged.push((range, owner)),
            }
        }
        self.shares = merged.into_iter().collect();
    }

    /// The table as it is stored.
    pub fn stored(&self) -> StoredTable {
        let share = |(range, owner): (&ShareRange, &String)| {
            let hex = |position: Position| format!("{position:x}");
            (
                range.home.clone(),
                hex(range.first),
                hex(range.last),
                owner.clone(),
            )
        };
        StoredTable {
            generation: self.generation,
            shares: self.shares.iter().map(share).collect(),
        }
    }

    /// Reads a stored table. Shares that make no sense, or overlap, are left out: there the
    /// hash decides.
    pub fn read(stored: &StoredTable) -> (ShareTable, Vec<ShareError>) {
        let (mut good, mut errors) = (Vec::new(), Vec::new());
        for (n, (home, first, last, owner)) in stored.shares.iter().enumerate() {
            let ends = Position::from_str_radix(first, 16)
                .ok()
                .zip(Position::from_str_radix(last, 16).ok());
            match ends
                .filter(|(first, last)| first <= last && !home.is_empty() && !owner.is_empty())
            {
                Some((first, last)) => good.push((
                    ShareRange {
                        home: home.clone(),
                        first,
                        last,
                    },
                    owner.clone(),
                )),
                None => errors.push(ShareError::NoRange(n)),
            }
        }
        let mut table = ShareTable {
            generation: stored.generation,
            shares: BTreeMap::new(),
        };
        for (n, (range, owner)) in good.iter().enumerate() {
            let others = good.iter().enumerate().filter(|(m, _)| *m != n);
            match others
                .map(|(_, other)| &other.0)
                .find(|other| other.overlaps(range))
            {
                Some(other) => errors.push(ShareError::Overlap(range.clone(), other.clone())),
                None => {
                    table.shares.insert(range.clone(), owner.clone());
                }
            }
        }
        (table, errors)
    }
}

/// What is left of a share outside a range.
fn without(share: &ShareRange, range: &ShareRange) -> Vec<ShareRange> {
    if !share.overlaps(range) {
        return vec![share.clone()];
    }
    let mut rest = Vec::new();
    if share.first < range.first {
        rest.push(ShareRange {
            last: range.first - 1,
            ..share.clone()
        });
    }
    if share.last > range.last {
        rest.push(ShareRange {
            first: range.last + 1,
            ..share.clone()
        });
    }
    rest
}
