//! Assignments of earlier attempts that shards list although the task is assigned to another shard.
//!
//! The leader recalls such a copy. Until its shard reports it as removed, the task is not
//! unassigned, even if the later attempt is gone.

use super::job_entry::TaskAssignment;
use super::shard_reports::ListedTasks;
use super::Leader;
use crate::wire::Task;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Earlier copies of the tasks of one job, by index. There are hardly ever any.
#[derive(Debug, Default)]
pub(super) struct EarlierCopies {
    by_index: BTreeMap<u32, Vec<TaskAssignment>>,
}

impl EarlierCopies {
    /// Adds a copy.
    pub(super) fn add(&mut self, index: u32, copy: TaskAssignment) {
        self.by_index.entry(index).or_default().push(copy);
    }

    /// Removes and returns the copy of a task with the latest attempt.
    pub(super) fn take_latest(&mut self, index: u32) -> Option<TaskAssignment> {
        let copies = self.by_index.get(&index)?.iter();
        let latest = copies.max_by_key(|copy| copy.numbers)?.clone();
        self.remove_of_shard(index, &latest.shard);
        Some(latest)
    }

    /// Removes the copy of a task that a shard listed.
    pub(super) fn remove_of_shard(&mut self, index: u32, shard: &str) {
        self.retain(index, |copy| *copy.shard != *shard);
    }

    /// Removes the copies of a task for which `keep` is false, and returns whether there were any.
    pub(super) fn retain(&mut self, index: u32, keep: impl Fn(&TaskAssignment) -> bool) -> bool {
        let Some(copies) = self.by_index.get_mut(&index) else {
            return false;
        };
        let before = copies.len();
        copies.retain(keep);
        let removed = copies.len() < before;
        if copies.is_empty() {
            self.by_index.remove(&index);
        }
        removed
    }

    /// Iterates over all copies, with the index of each.
    pub(super) fn iter(&self) -> impl Iterator<Item = (u32, &TaskAssignment)> {
        let copies = self.by_index.iter();
        copies.flat_map(|(index, copies)| copies.iter().map(move |copy| (*index, copy)))
    }

    /// Whether a task has an earlier copy.
    pub(super) fn contains(&self, index: u32) -> bool {
        self.by_index.contains_key(&index)
    }

    /// Removes all copies.
    pub(super) fn clear(&mut self) {
        self.by_index.clear();
    }
}

impl Leader {
    /// Removes the earlier copies of tasks that a shard no longer has, without a reported removal:
    /// those that its full report does not list, and those that it released. Where these copies
    /// are is unknown.
    pub(super) fn forget_unlisted_copies<'a>(
        &mut self,
        shard: &Arc<str>,
        all_listed: Option<&ListedTasks>,
        released: impl Iterator<Item = (&'a Task, u64)>,
    ) {
        let of_shard = |copy: &TaskAssignment| copy.shard == *shard;
        for (task, attempt) in released {
            if let Some(entry) = self.jobs.get_mut(&task.job) {
                let is_released =
                    |copy: &TaskAssignment| of_shard(copy) && copy.numbers.attempt == attempt;
                if entry
                    .earlier_copies
                    .retain(task.index, |copy| !is_released(copy))
                {
                    entry.unreconciled.add(task.index);
                    self.epoch.reconciled = false;
                }
            }
        }
        let Some(all_listed) = all_listed else {
            return;
        };
        for (id, entry) in &mut self.jobs {
            let copies = entry.earlier_copies.iter();
            let unlisted = copies.filter(|(index, copy)| {
                of_shard(copy) && !all_listed.contains(&(id.clone(), *index))
            });
            for index in unlisted.map(|(index, _)| index).collect::<Vec<u32>>() {
                entry.earlier_copies.remove_of_shard(index, shard);
                entry.unreconciled.add(index);
                self.epoch.reconciled = false;
            }
        }
    }
}
