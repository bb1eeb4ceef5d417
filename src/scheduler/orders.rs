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
        for (id, e) in self.jobs.iter().filter(|(_, e)| !e.unlisted.is_empty()) {
            let assigned = e
                .unlisted
                .iter()
                .filter_map(|i| Some((*i, e.assigned.get(i)?)));
            let tasks: Vec<(u32, u64)> = assigned
                .filter(|(_, d)| &*d.shard == node)
                .map(|(i, d)| (i, d.attempt))
                .collect();
            if !tasks.is_empty() {
                assignments.push(JobAssignment {
                    job: id.clone(),
                    tasks,
                    zone_room: e
                        .room
                        .get(node)
                        .cloned()
                        .filter(|_| e.spec.one_zone || e.spec.scatter),
                    avoid: e.failures.avoided().to_vec(),
                    assignments: e.assignments(node),
                });
            }
        }
        // Counts for display need not be of this moment.
        let running = (seq % 8 == 1).then(|| {
            let running = |e: &JobEntry| {
                e.assigned
                    .values()
                    .filter(|d| matches!(d.phase, TaskPhase::Running | TaskPhase::Saving))
                    .count() as u32
            };
            self.jobs
                .iter()
                .map(|(id, e)| (id.clone(), running(e)))
                .filter(|(_, n)| *n > 0)
                .collect()
        });
        let mut recall = Vec::new();
        for (id, e) in self.jobs.iter().filter(|(_, e)| e.leaving) {
            let theirs = e.assigned.iter().filter(|(_, d)| &*d.shard == node);
            recall.extend(theirs.map(|(i, d)| {
                (
                    Task {
                        job: id.clone(),
                        index: *i,
                    },
                    d.attempt,
                )
            }));
        }
        if !self.consolidating.is_empty() {
            for (id, e) in self
                .jobs
                .iter()
                .filter(|(_, e)| e.spec.job_kind == JobKind::Service)
            {
                let there = |d: &TaskAssignment| {
                    d.machine
                        .as_ref()
                        .is_some_and(|m| self.consolidating.contains(m))
                };
                let on = e
                    .assigned
                    .iter()
                    .filter(|(_, d)| &*d.shard == node && d.phase == TaskPhase::Running);
                recall.extend(on.filter(|(_, d)| there(d)).map(|(i, d)| {
                    (
                        Task {
                            job: id.clone(),
                            index: *i,
                        },
                        d.attempt,
                    )
                }));
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
