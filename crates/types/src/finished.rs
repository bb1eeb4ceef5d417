//! Finished tasks: a set of task numbers, and the chunks in which it is stored.

use crate::wire::MAX_TASKS;
use std::collections::BTreeSet;
use std::fmt;

/// A growing set of task numbers.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TaskSet {
    words: Vec<u64>,
    count: u32,
}

impl TaskSet {
    /// Whether `i` is in.
    pub fn contains(&self, i: u32) -> bool {
        self.words
            .get(i as usize / 64)
            .is_some_and(|w| w >> (i % 64) & 1 == 1)
    }
    /// Puts `i` in; false if it was.
    pub fn add(&mut self, i: u32) -> bool {
        if self.contains(i) {
            return false;
        }
        let word = i as usize / 64;
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        self.words[word] |= 1 << (i % 64);
        self.count += 1;
        true
    }
    /// Takes `i` out; false if it wasn't in.
    pub fn remove(&mut self, i: u32) -> bool {
        if !self.contains(i) {
            return false;
        }
        self.words[i as usize / 64] &= !(1 << (i % 64));
        self.count -= 1;
        true
    }
    /// How many are in.
    pub fn len(&self) -> u32 {
        self.count
    }
    /// Whether none is in.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }
    /// The highest that is in.
    pub fn last(&self) -> Option<u32> {
        let (index, word) = self
            .words
            .iter()
            .enumerate()
            .rfind(|(_, word)| **word != 0)?;
        Some(index as u32 * 64 + 63 - word.leading_zeros())
    }
    /// All that are in, in order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.words.iter().enumerate().flat_map(|(w, &bits)| {
            (0..64u32)
                .filter(move |b| bits >> b & 1 == 1)
                .map(move |b| w as u32 * 64 + b)
        })
    }
    /// The shard from `from` on, `len` long, in hex digits of four tasks each.
    pub fn hex(&self, from: u32, len: u32) -> String {
        (0..len.div_ceil(4))
            .map(|d| {
                let digit = (0..4).fold(0u32, |acc, b| {
                    acc | (u32::from(d * 4 + b < len && self.contains(from + d * 4 + b)) << b)
                });
                char::from_digit(digit, 16).unwrap_or('0')
            })
            .collect()
    }
    /// Adds what [`TaskSet::hex`] wrote; digits beyond the last task that a job may have
    /// are left out.
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

/// A chunk of a job's finished tasks, by the last section of its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Chunk {
    /// `N`: the N-th of chunks whose size follows from the settings. Production
    /// writes only these; here only number 0 is written, of jobs that fit it
    /// whole, and then both versions write the same bytes.
    Numbered(u32),
    /// `at/FIRST`: begins with that task, whatever the settings. Production
    /// leaves these keys alone.
    From(u32),
}

impl fmt::Display for Chunk {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Chunk::Numbered(number) => write!(f, "{number}"),
            Chunk::From(first) => write!(f, "at/{first}"),
        }
    }
}

impl Chunk {
    /// Reads the last section of a key.
    pub fn parse(text: &str) -> Option<Chunk> {
        match text.strip_prefix("at/") {
            Some(first) => first.parse().ok().map(Chunk::From),
            None => text.parse().ok().map(Chunk::Numbered),
        }
    }

    /// The first task that the chunk covers; none if no job has such a task.
    pub fn first_task(self, tasks_per_numbered_chunk: u32) -> Option<u32> {
        let first = match self {
            Chunk::Numbered(number) => number.checked_mul(tasks_per_numbered_chunk)?,
            Chunk::From(first) => first,
        };
        (first < MAX_TASKS).then_some(first)
    }

    /// The key of this chunk of a job.
    pub fn key(self, job: &str) -> String {
        format!("fw/f/{job}/{self}")
    }
}

/// A chunk that is to be written, with the tasks that it covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChunkRange {
    pub chunk: Chunk,
    pub first: u32,
    pub len: u32,
}

/// The chunks that cover `tasks` of a job that has `total`, with `per_chunk` each.
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
            chunk: Chunk::From(first),
            first,
            len: per_chunk.min(total - first),
        }
    };
    numbers.into_iter().map(range).collect()
}

/// How many tasks one chunk of finished ones covers: its hex digits take at
/// most half of a value.
pub fn tasks_per_chunk(value_kb: f64) -> u32 {
    ((value_kb * 2048.0) as u32 / 4).max(1) * 4
}
