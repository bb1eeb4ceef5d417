//! Removal of tasks from this shard: on proof that they are nowhere in it, because they are
//! committed as finished, or because their machine is another shard's.

use super::{ReleasedTask, RemovalReason, RemovedTask, Shard, Stop, TaskPhase};
use crate::clock::Seconds;
use crate::store::cache::StoreCache;
use crate::wire::{JobId, MachineId, Task};
use finchwood_reconciliation::stored_jobs::StoredJobs;

impl Shard {
    /// Removes the tasks placed on a machine in sessions before `below_session`, as those have ended.
    /// What is done is kept until its machine is gone (`u64::MAX`): the worker keeps results.
    pub(super) fn expire_session(&mut self, id: &MachineId, below_session: u64) {
        let lost: Vec<Task> = self
            .assigned
            .on(id)
            .filter(|(_, assigned)| {
                assigned.placement.as_ref().is_some_and(|placement| {
                    placement.session < below_session && placement.phase != TaskPhase::Done
                        || below_session == u64::MAX
                })
            })
            .map(|(task, _)| task.clone())
            .collect();
        for task in lost {
            self.remove_task(&task, RemovalReason::Lost);
        }
    }

    /// Removes a task that is proven to be nowhere in this shard, and reports that to the leader.
    pub(super) fn remove_task(&mut self, task: &Task, reason: RemovalReason) {
        if let Some(assigned) = self.assigned.remove(task) {
            let reason = match (&assigned.placement, reason) {
                (Some(placement), RemovalReason::Lost) if placement.stop.is_some() => {
                    RemovalReason::Stopped
                }
                _ => reason,
            };
            let placement = assigned.placement.as_ref();
            let stop = placement.and_then(|placement| placement.stop);
            let machine = placement.map(|placement| &placement.machine);
            tracing::debug!(%task, ?reason, ?stop, ?machine, "task removed");
            self.removed_tasks.push(RemovedTask {
                task: task.clone(),
                attempt: assigned.attempt,
                reason,
                assignment: assigned.assignment,
                machine: assigned.placement.map(|placement| placement.machine),
                seq: self.report_seq + 1,
            });
            self.report_due = true;
        }
    }

    /// A job changed in the cache: stops cancelled tasks and releases finished ones.
    pub fn job_changed(&mut self, id: &JobId, cache: &StoreCache) {
        let Some(job) = cache.jobs.get(id) else {
            return;
        };
        let tasks: Vec<(Task, u64, bool)> = self
            .assigned
            .of_job(id)
            .map(|(task, assigned)| {
                (
                    task.clone(),
                    assigned.attempt,
                    assigned
                        .placement
                        .as_ref()
                        .is_some_and(|placement| placement.phase == TaskPhase::Done),
                )
            })
            .collect();
        for (task, attempt, done) in tasks {
            if done && is_finished(cache, &task) {
                self.release_task(&task);
            } else if job.record.cancelled {
                self.stop_task(&task, attempt, Stop::Cancelled);
            }
        }
        if job.record.done || job.record.cancelled {
            self.zone_capacities.remove(id);
        }
    }

    /// Releases a task without a proof of removal: it is committed, or another shard has it.
    pub(super) fn release_task(&mut self, task: &Task) {
        if let Some(assigned) = self.assigned.remove(task) {
            self.released_tasks.push(ReleasedTask {
                task: task.clone(),
                attempt: assigned.attempt,
                report_seq: self.report_seq + 1,
            });
            self.report_due = true;
        }
    }

    /// Forgets finished tasks, machines past their lease and assignments of finished jobs.
    pub fn forget_finished(&mut self, cache: &StoreCache, now: Seconds) {
        let finished_tasks: Vec<Task> = self
            .assigned
            .iter()
            .filter(|(task, assigned)| {
                assigned
                    .placement
                    .as_ref()
                    .is_some_and(|placement| placement.phase == TaskPhase::Done)
                    && is_finished(cache, task)
            })
            .map(|(task, _)| task.clone())
            .collect();
        for task in finished_tasks {
            self.release_task(&task);
        }
        // Neither rented nor shown to be alive: a copy of a report, or a machine
        // whose lease is past by now.
        let (lease_s, entered) = (self.timing.lease_s, self.epoch_started_at);
        self.machines.retain(|_, machine| {
            machine.registered
                || machine.session.last_heartbeat_at.is_some()
                || now - machine.known_since.max(entered) < lease_s
        });
        let assigned = &self.assigned;
        self.highest_assignments.retain(|task, _| {
            assigned.contains(task) || cache.jobs.get(&task.job).is_none_or(|job| job.is_live())
        });
    }
}

/// Whether a task needs no more runs, by what is committed.
fn is_finished(cache: &StoreCache, task: &Task) -> bool {
    cache.stored_task(task).needs_no_run()
}
