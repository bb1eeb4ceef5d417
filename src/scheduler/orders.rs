//! What the leader sends to each shard, repeated until the shard reports it.

use super::{JobEntry, Leader};
use crate::shard::{JobAssignment, Orders, TaskPhase};
use crate::wire::{JobId, JobKind, Task};

/// Running tasks of all jobs, which are for display only, come with every so many
/// orders.
const RUNNING_COUNTS_EVERY: u64 = 8;

impl Leader {
    /// The next orders for a shard, with every assignment that it has not listed in a
    /// report yet; none if it has not reported in this epoch.
    pub fn orders(&mut self, node: &str) -> Option<Orders> {
        let view = self.shards.get_mut(node)?;
        view.orders_seq += 1;
        let (seq, acknowledged_seq) = (view.orders_seq, view.seq);
        Some(Orders {
            epoch: self.epoch.number,
            node: node.into(),
            seq,
            acknowledged_seq,
            assignments: self.unacknowledged_assignments(node),
            recall: self.recalled_tasks(node),
            drain: self.draining.union(&self.faulty).cloned().collect(),
            running: (seq % RUNNING_COUNTS_EVERY == 1).then(|| self.running_counts()),
            borrowing: self.borrowing.clone(),
            transfers: Vec::new(),
        })
    }

    fn unacknowledged_assignments(&self, shard: &str) -> Vec<JobAssignment> {
        self.jobs
            .iter()
            .filter(|(_, entry)| !entry.unacknowledged.is_empty())
            .filter_map(|(id, entry)| entry.unacknowledged_assignment(id, shard))
            .collect()
    }

    /// Running tasks of each job that has any, for display.
    fn running_counts(&self) -> Vec<(JobId, u32)> {
        let running = |entry: &JobEntry| {
            entry
                .assigned
                .values()
                .filter(|assigned| matches!(assigned.phase, TaskPhase::Running | TaskPhase::Saving))
                .count() as u32
        };
        self.jobs
            .iter()
            .map(|(id, entry)| (id.clone(), running(entry)))
            .filter(|(_, count)| *count > 0)
            .collect()
    }

    /// Tasks that a shard is to give back, with their attempts: those of jobs that are
    /// withdrawn, and replicas on machines that are being consolidated.
    fn recalled_tasks(&self, shard: &str) -> Vec<(Task, u64)> {
        let mut recalled = Vec::new();
        for (id, entry) in self.jobs.iter().filter(|(_, entry)| entry.withdrawing) {
            let theirs = entry
                .assigned
                .iter()
                .filter(|(_, assigned)| &*assigned.shard == shard);
            recalled.extend(
                theirs.map(|(index, assigned)| (task(id, *index), assigned.numbers.attempt)),
            );
        }
        if self.consolidating.is_empty() {
            return recalled;
        }
        let is_service = |entry: &JobEntry| entry.spec.job_kind == JobKind::Service;
        for (id, entry) in self.jobs.iter().filter(|(_, entry)| is_service(entry)) {
            let theirs = entry.assigned.iter().filter(|(_, assigned)| {
                &*assigned.shard == shard && assigned.phase == TaskPhase::Running
            });
            let moved = theirs.filter(|(_, assigned)| {
                let machine = assigned.machine.as_ref();
                machine.is_some_and(|machine| self.consolidating.contains(machine))
            });
            recalled.extend(
                moved.map(|(index, assigned)| (task(id, *index), assigned.numbers.attempt)),
            );
        }
        recalled
    }
}

fn task(job: &JobId, index: u32) -> Task {
    Task {
        job: job.clone(),
        index,
    }
}

impl JobEntry {
    /// What a shard is told of the job's unacknowledged tasks, if it has any.
    fn unacknowledged_assignment(&self, id: &JobId, shard: &str) -> Option<JobAssignment> {
        let tasks: Vec<(u32, u64)> = self
            .unacknowledged_in(shard)
            .map(|(index, assigned)| (index, assigned.numbers.attempt))
            .collect();
        if tasks.is_empty() {
            return None;
        }
        let zone_bound = self.spec.one_zone || self.spec.scatter;
        Some(JobAssignment {
            job: id.clone(),
            tasks,
            zone_capacity: self
                .zone_allowances
                .get(shard)
                .cloned()
                .filter(|_| zone_bound),
            avoid: self.failures.avoided().to_vec(),
            assignments: self.assignments_unlike_attempts(shard),
        })
    }
}
