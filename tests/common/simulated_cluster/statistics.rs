//! Counts of faults and progress. They show that a run had as many faults as intended.

use super::{CopyKind, QuickReturn};
use std::collections::BTreeMap;
use std::ops::AddAssign;

/// Counts of one run, or the sums over several runs.
#[derive(Default)]
pub(crate) struct Statistics {
    /// Tasks started by workers.
    pub(crate) starts: u32,
    /// Tasks started that were committed as finished.
    pub(crate) starts_of_finished: u32,
    /// Finished tasks committed to the key-value store.
    pub(crate) committed: u32,
    /// Machines that were deleted and replaced.
    pub(crate) replaced_machines: u32,
    /// Partitions of a controller from the store and the other controllers.
    pub(crate) partitioned_controllers: u32,
    /// Times that all controllers were stopped at once.
    pub(crate) full_outages: u32,
    /// Times that the key-value store stopped responding to one controller alone.
    pub(crate) refused_controllers: u32,
    /// Times that the heartbeats of a worker were dropped while commands reached it.
    pub(crate) silenced_workers: u32,
    /// Cancellations that a controller received from another controller before it read them
    /// from the store.
    pub(crate) cancellations_from_peers: u32,
    /// Times that all tasks of a gang started to run.
    pub(crate) gang_runs: u32,
    /// Running gangs that lost a task.
    pub(crate) gang_failures: u32,
    /// Gangs whose tasks all completed.
    pub(crate) completed_gangs: u32,
    /// Answers to a controller's reading of the key-value store that were late.
    pub(crate) delayed_readings: u32,
    /// Writes of registry pages by a leader that had been deposed, carried out or refused.
    pub(crate) deposed_page_writes: u32,
    /// Writes of registry pages that were carried out late.
    pub(crate) late_page_writes: u32,
    /// Heartbeats under a token of the owner's epoch that arrived after the deletion of their
    /// machine.
    pub(crate) heartbeats_of_deleted_machines: u32,
    /// Jobs that were accepted by a controller that had not read of the current epoch.
    pub(crate) submissions_in_earlier_epochs: u32,
    /// Submissions to a leader that the store refused, as the epoch had changed.
    pub(crate) refused_submissions: u32,
    /// Reports that listed a task whose job the leader had not read.
    pub(crate) listings_before_records: u32,
    /// Copies of answered commands that reached their workers again after these had forgotten an
    /// attempt.
    pub(crate) returned_commands: BTreeMap<CopyKind, u32>,
    /// Those of them that arrived within a second after a controller or a worker was back.
    pub(crate) returned_after_quick_return: BTreeMap<QuickReturn, u32>,
    /// Starts in such copies of tasks that another attempt runs.
    pub(crate) returned_starts_of_moved: u32,
    /// Starts in such copies of tasks whose job is cancelled.
    pub(crate) returned_starts_of_cancelled: u32,
    /// Completed transfers of hash ranges.
    pub(crate) completed_transfers: u64,
}

impl AddAssign<&Statistics> for Statistics {
    fn add_assign(&mut self, other: &Statistics) {
        self.starts += other.starts;
        self.starts_of_finished += other.starts_of_finished;
        self.committed += other.committed;
        self.replaced_machines += other.replaced_machines;
        self.partitioned_controllers += other.partitioned_controllers;
        self.full_outages += other.full_outages;
        self.refused_controllers += other.refused_controllers;
        self.silenced_workers += other.silenced_workers;
        self.cancellations_from_peers += other.cancellations_from_peers;
        self.gang_runs += other.gang_runs;
        self.gang_failures += other.gang_failures;
        self.completed_gangs += other.completed_gangs;
        self.delayed_readings += other.delayed_readings;
        self.deposed_page_writes += other.deposed_page_writes;
        self.late_page_writes += other.late_page_writes;
        self.heartbeats_of_deleted_machines += other.heartbeats_of_deleted_machines;
        self.submissions_in_earlier_epochs += other.submissions_in_earlier_epochs;
        self.refused_submissions += other.refused_submissions;
        self.listings_before_records += other.listings_before_records;
        for (kind, count) in &other.returned_commands {
            *self.returned_commands.entry(*kind).or_default() += count;
        }
        for (kind, count) in &other.returned_after_quick_return {
            *self.returned_after_quick_return.entry(*kind).or_default() += count;
        }
        self.returned_starts_of_moved += other.returned_starts_of_moved;
        self.returned_starts_of_cancelled += other.returned_starts_of_cancelled;
        self.completed_transfers += other.completed_transfers;
    }
}
