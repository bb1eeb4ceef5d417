//! What the leader tells each part, again and again until the part shows it.

use super::{AssignedTask, JobEntry, Leader};
use crate::fleet::{JobAssignment, Orders, Phase};
use crate::wire::{Shape, Task};

impl Leader {
    /// The orders for a part: everything it hasn't listed yet, again and again.
    pub fn orders(&mut self, node: &str) -> Option<Orders> {
        let view = self.parts.get_mut(node)?;
        view.orders_seq += 1;
        let (seq, ack) = (view.orders_seq, view.seq);
        let mut assignments = Vec::new();
        for (id, e) in self.jobs.iter().filter(|(_, e)| !e.unlisted.is_empty()) {
            let assigned = e
                .unlisted
                .iter()
                .filter_map(|i| Some((*i, e.assigned.get(i)?)));
            let tasks: Vec<(u32, u64)> = assigned
                .filter(|(_, d)| &*d.part == node)
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
                    .filter(|d| matches!(d.phase, Phase::Running | Phase::Saving))
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
            let theirs = e.assigned.iter().filter(|(_, d)| &*d.part == node);
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
        if !self.moving.is_empty() {
            for (id, e) in self
                .jobs
                .iter()
                .filter(|(_, e)| e.spec.shape == Shape::Service)
            {
                let there =
                    |d: &AssignedTask| d.machine.as_ref().is_some_and(|m| self.moving.contains(m));
                let on = e
                    .assigned
                    .iter()
                    .filter(|(_, d)| &*d.part == node && d.phase == Phase::Running);
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
            ack,
            assignments,
            recall,
            drain: self.drain.union(&self.faulty).cloned().collect(),
            running,
            borrowing: self.borrowing.clone(),
            handovers: Vec::new(),
        })
    }
}
