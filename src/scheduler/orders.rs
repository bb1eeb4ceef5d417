//! What the leader tells each shard, again and again until the shard shows it.

use super::{JobEntry, Leader, TaskAssignment};
use crate::shard::{JobAssignment, Orders, TaskPhase};
use crate::wire::{JobKind, Task};

impl Leader {
    /// The orders for a shard: everything it hasn't listed yet, again and again.
    pub fn orders(&mut self, node: &str) -> Option<Orders> {
        let view = self.shards.get_mut(node)?;
        view.orders_seq += 1;
        let (seq, ack) = (view.orders_seq, view.seq);
        let mut assignments = Vec::new();
        for (id, entry) in self
            .jobs
            .iter()
            .filter(|(_, entry)| !entry.unacknowledged.is_empty())
        {
            let assigned = entry
                .unacknowledged
                .iter()
                .filter_map(|i| Some((*i, entry.assigned.get(i)?)));
            let tasks: Vec<(u32, u64)> = assigned
                .filter(|(_, assignment)| &*assignment.shard == node)
                .map(|(i, assignment)| (i, assignment.attempt))
                .collect();
            if !tasks.is_empty() {
                assignments.push(JobAssignment {
                    job: id.clone(),
                    tasks,
                    zone_room: entry
                        .zone_allowances
                        .get(node)
                        .cloned()
                        .filter(|_| entry.spec.one_zone || entry.spec.scatter),
                    avoid: entry.failures.avoided().to_vec(),
                    assignments: entry.assignments(node),
                });
            }
        }
        // Counts for display need not be of this moment.
        let running = (seq % 8 == 1).then(|| {
            let running = |entry: &JobEntry| {
                entry
                    .assigned
                    .values()
                    .filter(|assignment| {
                        matches!(assignment.phase, TaskPhase::Running | TaskPhase::Saving)
                    })
                    .count() as u32
            };
            self.jobs
                .iter()
                .map(|(id, entry)| (id.clone(), running(entry)))
                .filter(|(_, n)| *n > 0)
                .collect()
        });
        let mut recall = Vec::new();
        for (id, entry) in self.jobs.iter().filter(|(_, entry)| entry.withdrawing) {
            let theirs = entry
                .assigned
                .iter()
                .filter(|(_, assignment)| &*assignment.shard == node);
            recall.extend(theirs.map(|(i, assignment)| {
                (
                    Task {
                        job: id.clone(),
                        index: *i,
                    },
                    assignment.attempt,
                )
            }));
        }
        if !self.consolidating.is_empty() {
            for (id, entry) in self
                .jobs
                .iter()
                .filter(|(_, entry)| entry.spec.job_kind == JobKind::Service)
            {
                let there = |assignment: &TaskAssignment| {
                    assignment
                        .machine
                        .as_ref()
                        .is_some_and(|machine| self.consolidating.contains(machine))
                };
                let on = entry.assigned.iter().filter(|(_, assignment)| {
                    &*assignment.shard == node && assignment.phase == TaskPhase::Running
                });
                recall.extend(on.filter(|(_, assignment)| there(assignment)).map(
                    |(i, assignment)| {
                        (
                            Task {
                                job: id.clone(),
                                index: *i,
                            },
                            assignment.attempt,
                        )
                    },
                ));
            }
        }
        Some(Orders {
            epoch: self.epoch,
            node: node.into(),
            seq,
            acknowledged_seq: ack,
            assignments,
            recall,
            drain: self.draining.union(&self.faulty).cloned().collect(),
            running,
            borrowing: self.borrowing.clone(),
            transfers: Vec::new(),
        })
    }
}
