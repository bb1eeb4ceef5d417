//! The orders that the leader sends to each shard. Their contents are repeated until the
//! shard's reports acknowledge them.

use super::{JobEntry, Leader};
use crate::shard::{JobAssignment, Orders, TaskPhase};
use crate::wire::{JobId, JobKind, Task};

/// One in this many orders includes the number of running tasks of each job, which is for
/// display only.
const RUNNING_COUNTS_EVERY: u64 = 8;

impl Leader {
    /// The next orders for a shard, with every assignment that the shard has not listed in
    /// a report yet. `None` if the shard has not reported in this epoch.
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

    /// The assignments that a shard has not listed in a report yet, by job.
    fn unacknowledged_assignments(&self, shard: &str) -> Vec<JobAssignment> {
        self.jobs
            .iter()
            .filter(|(_, entry)| !entry.unacknowledged.is_empty())
            .filter_map(|(id, entry)| entry.unacknowledged_assignment(id, shard))
            .collect()
    }

    /// The number of running tasks of each job that has any, for display.
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

    /// The tasks that a shard has to stop, with their attempts: those of jobs that are
    /// being withdrawn, earlier copies of tasks that run elsewhere, and replicas on machines that
    /// are being consolidated.
    fn recalled_tasks(&self, shard: &str) -> Vec<(Task, u64)> {
        let mut recalled = Vec::new();
        for (id, entry) in self.jobs.iter().filter(|(_, entry)| entry.withdrawing) {
            let shard_tasks = entry
                .assigned
                .iter()
                .filter(|(_, assigned)| &*assigned.shard == shard);
            recalled.extend(
                shard_tasks.map(|(index, assigned)| (task(id, *index), assigned.numbers.attempt)),
            );
        }
        for (id, entry) in &self.jobs {
            let copies = entry.earlier_copies.iter();
            let in_shard = copies.filter(|(_, copy)| &*copy.shard == shard);
            recalled.extend(in_shard.map(|(index, copy)| (task(id, index), copy.numbers.attempt)));
        }
        if self.consolidating.is_empty() {
            return recalled;
        }
        let is_service = |entry: &JobEntry| entry.spec.job_kind == JobKind::Service;
        for (id, entry) in self.jobs.iter().filter(|(_, entry)| is_service(entry)) {
            let shard_tasks = entry.assigned.iter().filter(|(_, assigned)| {
                &*assigned.shard == shard && assigned.phase == TaskPhase::Running
            });
            let moved = shard_tasks.filter(|(_, assigned)| {
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
    /// The unacknowledged assignments of the job's tasks to a shard; `None` if there are
    /// none.
    fn unacknowledged_assignment(&self, id: &JobId, shard: &str) -> Option<JobAssignment> {
        let tasks: Vec<(u32, u64)> = self
            .unacknowledged_in(shard)
            .map(|(index, assigned)| (index, assigned.numbers.attempt))
            .collect();
        if tasks.is_empty() {
            return None;
        }
        let is_zone_constrained = self.spec.one_zone || self.spec.scatter;
        Some(JobAssignment {
            job: id.clone(),
            tasks,
            zone_allowances: self
                .zone_allowances
                .get(shard)
                .cloned()
                .filter(|_| is_zone_constrained),
            avoid: self.failures.avoided_machines().to_vec(),
            assignments: self.assignments_differing_from_attempts(shard),
        })
    }
}
