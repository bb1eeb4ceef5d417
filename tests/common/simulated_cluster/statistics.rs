//! Counts of what happened, which show that a run was as hostile as it should be.

use std::ops::AddAssign;

/// Counts over one run, or the sum over several.
#[derive(Default)]
pub(crate) struct Statistics {
    /// Tasks started by workers.
    pub(crate) starts: u32,
    /// Finished tasks committed to the key-value store.
    pub(crate) committed: u32,
    /// Machines that were deleted and replaced.
    pub(crate) replaced_machines: u32,
    /// Controllers partitioned from the store and the other controllers.
    pub(crate) partitioned_controllers: u32,
    /// Times that all controllers stopped at once.
    pub(crate) full_outages: u32,
    /// Controllers that the key-value store refused alone.
    pub(crate) refused_controllers: u32,
    /// Workers whose heartbeats were lost while commands reached them.
    pub(crate) silenced_workers: u32,
    /// Cancellations that a controller first learnt from another controller.
    pub(crate) cancellation_notices: u32,
    /// Times that all tasks of a gang began to run.
    pub(crate) gang_runs: u32,
    /// Running gangs that lost a task.
    pub(crate) gang_failures: u32,
    pub(crate) completed_gangs: u32,
    /// Shard ranges that arrived at their target.
    pub(crate) moved_ranges: u64,
}

impl AddAssign<&Statistics> for Statistics {
    fn add_assign(&mut self, other: &Statistics) {
        self.starts += other.starts;
        self.committed += other.committed;
        self.replaced_machines += other.replaced_machines;
        self.partitioned_controllers += other.partitioned_controllers;
        self.full_outages += other.full_outages;
        self.refused_controllers += other.refused_controllers;
        self.silenced_workers += other.silenced_workers;
        self.cancellation_notices += other.cancellation_notices;
        self.gang_runs += other.gang_runs;
        self.gang_failures += other.gang_failures;
        self.completed_gangs += other.completed_gangs;
        self.moved_ranges += other.moved_ranges;
    }
}
