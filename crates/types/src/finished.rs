//! The finished tasks of a job: a set of task indices, and the chunks in which it is stored.

use crate::job::MAX_TASKS;
use std::collections::BTreeSet;
use std::fmt;

/// A set of task indices, as a bitmap.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TaskSet {
    words: Vec<u64>,
    count: u32,
}

impl TaskSet {
    /// Whether the set contains `index`.
    pub fn contains(&self, index: u32) -> bool {
        self.words
            .get(index as usize / 64)
            .is_some_and(|word| word >> (index % 64) & 1 == 1)
    }

    /// Adds `index`. Returns false if the set contained it.
    pub fn add(&mut self, index: u32) -> bool {
        if self.contains(index) {
            return false;
        }
        let word = index as usize / 64;
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        self.words[word] |= 1 << (index % 64);
        self.count += 1;
        true
    }

    /// Removes `index`. Returns false if the set did not contain it.
    pub fn remove(&mut self, index: u32) -> bool {
        if !self.contains(index) {
            return false;
        }
        self.words[index as usize / 64] &= !(1 << (index % 64));
        self.count -= 1;
        true
    }

    /// The number of indices.
    pub fn len(&self) -> u32 {
        self.count
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// The highest index.
    pub fn last(&self) -> Option<u32> {
        let (position, word) = self
            .words
            .iter()
            .enumerate()
            .rfind(|(_, word)| **word != 0)?;
        Some(position as u32 * 64 + 63 - word.leading_zeros())
    }

    /// All indices, in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.words.iter().enumerate().flat_map(|(w, &bits)| {
            (0..64u32)
                .filter(move |b| bits >> b & 1 == 1)
                .map(move |b| w as u32 * 64 + b)
        })
    }

    /// The `len` bits from index `from` on, in hex digits of four indices each, the lowest
    /// index in a digit's lowest bit.
    pub fn hex(&self, from: u32, len: u32) -> String {
        (0..len.div_ceil(TASKS_PER_DIGIT))
            .map(|d| {
                let digit = (0..4).fold(0u32, |acc, b| {
                    acc | (u32::from(d * 4 + b < len && self.contains(from + d * 4 + b)) << b)
                });
                char::from_digit(digit, 16).unwrap_or('0')
            })
            .collect()
    }

    /// Adds the indices that [`TaskSet::hex`] encoded. Characters other than hex digits add
    /// none, and neither do indices that no job has.
    pub fn add_hex(&mut self, from: u32, text: &str) {
        for (d, c) in text.chars().enumerate() {
            let digit = c.to_digit(16).unwrap_or(0);
            for b in (0..4u32).filter(|b| digit >> b & 1 == 1) {
                let task = u64::from(from) + d as u64 * 4 + u64::from(b);
                if task < u64::from(MAX_TASKS) {
                    self.add(task as u32);
                }
            }
        }
    }
}

/// The prefix of the keys of chunks in the key-value store.
pub const FINISHED_PREFIX: &str = "fw/f/";

/// The tasks that one hex digit encodes.
const TASKS_PER_DIGIT: u32 = 4;

/// The tasks of a chunk for each kilobyte of a value: half a kilobyte of hex digits.
const TASKS_PER_KB: f64 = 2048.0;

/// A chunk of a job's finished tasks, by the last section of its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Chunk {
    /// `N`: the N-th of chunks whose size follows from the settings. Production writes
    /// only these; this version writes only number 0, for jobs that fit into it, in which
    /// case both versions write the same bytes.
    Numbered(u32),
    /// `at/FIRST`: begins with that task, whatever the settings. Production ignores these
    /// keys.
    StartingAt(u32),
}

impl fmt::Display for Chunk {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Chunk::Numbered(number) => write!(f, "{number}"),
            Chunk::StartingAt(first) => write!(f, "at/{first}"),
        }
    }
}

impl Chunk {
    /// Parses the last section of a key.
    pub fn parse(text: &str) -> Option<Chunk> {
        match text.strip_prefix("at/") {
            Some(first) => first.parse().ok().map(Chunk::StartingAt),
            None => text.parse().ok().map(Chunk::Numbered),
        }
    }

    /// The first task of the chunk; `None` if no job has such a task.
    pub fn first_task(self, tasks_per_numbered_chunk: u32) -> Option<u32> {
        let first = match self {
            Chunk::Numbered(number) => number.checked_mul(tasks_per_numbered_chunk)?,
            Chunk::StartingAt(first) => first,
        };
        (first < MAX_TASKS).then_some(first)
    }

    /// The key of this chunk of a job.
    pub fn key(self, job: &str) -> String {
        format!("{FINISHED_PREFIX}{job}/{self}")
    }
}

/// A chunk with the range of its tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChunkRange {
    /// The chunk.
    pub chunk: Chunk,
    /// The first task.
    pub first: u32,
    /// The number of tasks.
    pub len: u32,
}

/// The chunks that contain `tasks`, of a job with `total` tasks, at `per_chunk` a chunk.
pub fn chunks_covering(tasks: &[u32], total: u32, per_chunk: u32) -> Vec<ChunkRange> {
    if total <= per_chunk {
        return vec![ChunkRange {
            chunk: Chunk::Numbered(0),
            first: 0,
            len: total,
        }];
    }
    let numbers: BTreeSet<u32> = tasks.iter().map(|task| task / per_chunk).collect();
    let range = |number: u32| {
        let first = number * per_chunk;
        ChunkRange {
            chunk: Chunk::StartingAt(first),
            first,
            len: per_chunk.min(total - first),
        }
    };
    numbers.into_iter().map(range).collect()
}

/// The number of tasks of one chunk, if values have at most `value_kb` kilobytes: its hex
/// digits take at most half of a value.
pub fn tasks_per_chunk(value_kb: f64) -> u32 {
    let tasks = (value_kb * TASKS_PER_KB) as u32;
    (tasks / TASKS_PER_DIGIT).max(1) * TASKS_PER_DIGIT
}
