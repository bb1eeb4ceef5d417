//! The leader's orders: assigned and recalled tasks, acknowledged reports, and machines to
//! drain or transfer.

use super::events::RemovalProof;
use super::{
    AssignedTask, JobAssignment, Orders, RemovalReason, RemovedTask, Shard, TaskPhase,
    TaskStopReason, ZoneAllowances,
};
use crate::clock::Seconds;
use crate::store::cache::StoreCache;
use crate::wire::{JobKind, Task, MIN_COUNTED_RUN_S};

impl Shard {
    /// Carries out the leader's orders. Orders of another epoch or for another node are
    /// ignored; of late orders, only the assignments are applied.
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

    /// Queues those tasks of a job whose assignment is new to this shard.
    fn apply_assignment(&mut self, job: &JobAssignment, cache: &StoreCache, now: Seconds) {
        // The cache may be older than the leader's. The leader repeats the assignment.
        let Some(cached_job) = cache.jobs.get(&job.job) else {
            return;
        };
        let mut any_new = false;
        for &(index, attempt) in &job.tasks {
            let task = Task {
                job: job.job.clone(),
                index,
            };
            let assignment = job.assignment(index, attempt);
            let highest = self.highest_assignments.entry(task.clone()).or_insert(0);
            if assignment <= *highest {
                continue;
            }
            *highest = assignment;
            any_new = true;
            if let Some(earlier) = self.assigned.get(&task) {
                tracing::warn!(
                    %task,
                    earlier_attempt = earlier.attempt,
                    attempt,
                    "rejecting a new assignment of a task that is already assigned"
                );
                // Guard: without this, the leader would repeat the assignment forever, since it
                // is not newer than the highest one any more.
                self.removed_tasks.push(RemovedTask {
                    task,
                    attempt,
                    reason: RemovalReason::Rejected,
                    assignment,
                    machine: None,
                    seq: self.report_seq + 1,
                });
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
            if !cached_job.is_live() {
                self.remove_task(&task, RemovalReason::Stopped, RemovalProof::NotStarted);
            }
        }
        if let Some(zone_allowances) = job.zone_allowances.as_ref().filter(|_| any_new) {
            self.zone_allowances.insert(
                job.job.clone(),
                ZoneAllowances {
                    remaining: zone_allowances.iter().cloned().collect(),
                },
            );
        }
    }

    /// Applies the leader's acknowledgement of all reports up to `acknowledged_seq`: the
    /// entries that these listed first need not be sent again.
    fn apply_acknowledgement(&mut self, acknowledged_seq: u64) {
        self.acknowledged_seq = acknowledged_seq.min(self.report_seq);
        self.removed_tasks
            .retain(|removed| removed.seq > acknowledged_seq);
        self.released_tasks
            .retain(|released| released.report_seq > acknowledged_seq);
        self.removed_machines
            .retain(|(_, seq)| *seq > acknowledged_seq);
    }

    /// Stops a task that the leader recalls. A task that has run for less than
    /// [`MIN_COUNTED_RUN_S`] continues to run for now, as its start would not count for users;
    /// the leader repeats the recall.
    fn apply_recall(&mut self, task: &Task, attempt: u64, cache: &StoreCache, now: Seconds) {
        let placement = self
            .assigned
            .get(task)
            .and_then(|assigned| assigned.placement.as_ref());
        let recently_started = placement.is_some_and(|placement| {
            placement.phase == TaskPhase::Running
                && placement.stop_reason.is_none()
                && now - placement.phase_since < MIN_COUNTED_RUN_S
        });
        // The tasks of a gang are stopped together: stopping one alone would lose the
        // progress of all.
        let spec = cache
            .jobs
            .get(&task.job)
            .and_then(|job| job.record.spec.as_ref());
        let gang = spec.is_some_and(|spec| spec.job_kind == JobKind::Gang);
        if !recently_started || gang {
            self.stop_task(task, attempt, TaskStopReason::Recalled);
        }
    }

    /// Marks a task to be stopped. If its start was never sent, or can't take effect any
    /// more, the task is removed at once. If its start may be in flight, the token is raised
    /// above that of the start, so that the next report proves whether the task runs.
    pub(super) fn stop_task(&mut self, task: &Task, attempt: u64, reason: TaskStopReason) {
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
        match self.assigned.placement_mut(task) {
            None => self.remove_task(task, RemovalReason::Stopped, RemovalProof::NotStarted),
            // The state sent to the target must stay valid. The leader orders the target to
            // stop the task.
            Some(_) if fenced => {}
            // The task may be saving a checkpoint, which is useless once its job is cancelled,
            // and which may take longer than a cancelled task is allowed to run.
            Some(placement)
                if placement
                    .stop_reason
                    .is_some_and(|current| current != reason)
                    && reason == TaskStopReason::Cancelled =>
            {
                placement.stop_reason = Some(reason);
                placement.stop_sent = false;
            }
            Some(placement)
                if placement.stop_reason.is_none() && placement.phase != TaskPhase::Done =>
            {
                placement.stop_reason = Some(reason);
                placement.stop_sent = false;
                if !placement.confirmed {
                    let Some(floor) = placement.start_token else {
                        // No start was sent, or it can't take effect any more.
                        return self.remove_task(
                            task,
                            RemovalReason::Stopped,
                            RemovalProof::NotStarted,
                        );
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
