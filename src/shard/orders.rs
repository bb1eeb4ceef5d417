//! The leader's orders: tasks that are assigned to this shard, acknowledged reports, and
//! tasks that are recalled.

use super::{
    AssignedTask, JobAssignment, Orders, RemovalReason, Shard, Stop, TaskPhase, ZoneCapacity,
};
use crate::clock::Seconds;
use crate::store::cache::StoreCache;
use crate::wire::{JobKind, Task, START_COUNTS_S};

impl Shard {
    /// Carries out the leader's orders.
    pub fn apply_orders(&mut self, orders: &Orders, cache: &StoreCache, now: Seconds) {
        if orders.epoch != self.epoch || orders.node != self.node {
            return;
        }
        for assignment in &orders.assignments {
            self.apply_assignment(assignment, cache, now);
        }
        self.report_due |= !orders.assignments.is_empty();
        if orders.seq <= self.orders_seq {
            return;
        }
        self.orders_seq = orders.seq;
        self.borrowing_teams = orders.borrowing.iter().cloned().collect();
        self.apply_acknowledgement(orders.acknowledged_seq);
        self.apply_transfer_orders(&orders.transfers, cache, now);
        for (task, attempt) in &orders.recall {
            self.apply_recall(task, *attempt, cache, now);
        }
        for (id, machine) in &mut self.machines {
            let drain = orders.drain.contains(id);
            self.report_due |= drain != machine.draining;
            machine.draining = drain;
        }
    }

    /// Queues the tasks of a job that this shard has not been given yet.
    fn apply_assignment(&mut self, job: &JobAssignment, cache: &StoreCache, now: Seconds) {
        // The cache may be behind the leader's: the assignment comes again.
        let Some(known) = cache.jobs.get(&job.job) else {
            return;
        };
        let mut fresh = false;
        for &(index, attempt) in &job.tasks {
            let task = Task {
                job: job.job.clone(),
                index,
            };
            let assignment = job.assignment(index, attempt);
            let seen = self.highest_assignments.entry(task.clone()).or_insert(0);
            if assignment <= *seen {
                continue;
            }
            *seen = assignment;
            fresh = true;
            if let Some(old) = self.assigned.get(&task) {
                tracing::warn!(%task, earlier_attempt = old.attempt, attempt, "task assigned again while it is assigned already");
                continue;
            }
            let avoid = job.avoid.clone();
            let assigned = AssignedTask {
                attempt,
                assignment,
                placement: None,
                assigned_at: now,
                avoid,
                last_reported: None,
            };
            self.assigned.insert(task.clone(), assigned);
            if !known.live() {
                self.remove_task(&task, RemovalReason::Stopped);
            }
        }
        if let Some(room) = job.zone_capacity.as_ref().filter(|_| fresh) {
            self.zone_capacities.insert(
                job.job.clone(),
                ZoneCapacity {
                    remaining: room.iter().cloned().collect(),
                },
            );
        }
    }

    /// The leader has acknowledged the reports up to `ack`.
    fn apply_acknowledgement(&mut self, ack: u64) {
        self.acknowledged_seq = ack.min(self.report_seq);
        self.removed_tasks.retain(|removed| removed.seq > ack);
        self.released_tasks
            .retain(|released| released.report_seq > ack);
        self.unregistered_machines.retain(|(_, seq)| *seq > ack);
    }

    /// A task is to be given back. One that has only just started is moved later:
    /// users count on a start for that long.
    fn apply_recall(&mut self, task: &Task, attempt: u64, cache: &StoreCache, now: Seconds) {
        let placement = self
            .assigned
            .get(task)
            .and_then(|assigned| assigned.placement.as_ref());
        let young = placement.is_some_and(|placement| {
            placement.phase == TaskPhase::Running
                && placement.stop.is_none()
                && now - placement.phase_since < START_COUNTS_S
        });
        // The tasks of a gang are stopped together: one alone would lose their progress.
        let spec = cache
            .jobs
            .get(&task.job)
            .and_then(|job| job.record.spec.as_ref());
        let gang = spec.is_some_and(|spec| spec.job_kind == JobKind::Gang);
        if !young || gang {
            self.stop_task(task, attempt, Stop::Recalled);
        }
    }

    /// Orders a task to stop. One whose start was never sent, or is proven dead, is removed
    /// at once; one that may be starting needs a token above that of its start first.
    pub(super) fn stop_task(&mut self, task: &Task, attempt: u64, why: Stop) {
        let epoch = self.epoch;
        if self
            .assigned
            .get(task)
            .is_none_or(|assigned| assigned.attempt != attempt)
        {
            return;
        }
        let machine = self
            .assigned
            .get(task)
            .and_then(|assigned| Some(assigned.placement.as_ref()?.machine.clone()));
        let fenced = machine.is_some_and(|machine| self.transfers.is_fenced(&machine));
        match self.assigned.place_mut(task) {
            None => self.remove_task(task, RemovalReason::Stopped),
            // The state sent to the target must stay true: the leader orders the target to stop it.
            Some(_) if fenced => {}
            // Saving for another start: nobody has any use for that any more, and
            // it may take longer than a cancelled task may.
            Some(placement)
                if placement.stop.is_some_and(|stop| stop != why) && why == Stop::Cancelled =>
            {
                placement.stop = Some(why);
                placement.stop_sent = false;
            }
            Some(placement) if placement.stop.is_none() && placement.phase != TaskPhase::Done => {
                placement.stop = Some(why);
                placement.stop_sent = false;
                if !placement.confirmed {
                    let Some(floor) = placement.start_token else {
                        // No start was ever sent, or it is proven dead.
                        return self.remove_task(task, RemovalReason::Stopped);
                    };
                    let id = placement.machine.clone();
                    if let Some(machine) = self.machines.get_mut(&id) {
                        machine.raise_token_above(epoch, floor);
                        machine.commands.probe_due = true;
                    }
                }
            }
            Some(_) => {}
        }
    }
}
