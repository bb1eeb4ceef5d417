//! Removal of tasks from this shard: because they are confirmed to run on none of its
//! machines, are committed as finished, or are on a machine that belongs to another shard
//! now.

use super::events::RemovalProof;
use super::machine::Machine;
use super::{ReleasedTask, RemovalReason, RemovedTask, Shard, TaskPhase, TaskStopReason};
use crate::clock::Seconds;
use crate::store::cache::StoreCache;
use crate::wire::{JobId, MachineId, Task};
use finchwood_reconciliation::stored_jobs::StoredJobs;

impl Shard {
    /// Removes the tasks that were placed on a machine in sessions before `below_session`, as
    /// these sessions have ended. Completed tasks are kept, as the worker keeps their results,
    /// unless `below_session` is `u64::MAX`: the machine itself was deleted.
    pub(super) fn remove_tasks_of_ended_sessions(
        &mut self,
        id: &MachineId,
        below_session: u64,
        proof: RemovalProof,
    ) {
        let lost: Vec<Task> = self
            .assigned
            .on_machine(id)
            .filter(|(_, assigned)| {
                assigned.placement.as_ref().is_some_and(|placement| {
                    placement.session < below_session && placement.phase != TaskPhase::Done
                        || below_session == u64::MAX
                })
            })
            .map(|(task, _)| task.clone())
            .collect();
        for task in lost {
            self.remove_task(&task, RemovalReason::Lost, proof);
        }
    }

    /// Removes the assigned copy of a task, which is confirmed to run on its machine no more. If
    /// no other machine of this shard reports the task, its removal is reported to the leader.
    pub(super) fn remove_task(&mut self, task: &Task, reason: RemovalReason, proof: RemovalProof) {
        if let Some(assigned) = self.assigned.remove(task) {
            // Guard: the leader would start the task again while another copy runs.
            if self.assign_to_other_copy(task, &assigned) {
                return;
            }
            let reason = match (&assigned.placement, reason) {
                (Some(placement), RemovalReason::Lost) if placement.stop_reason.is_some() => {
                    RemovalReason::Stopped
                }
                _ => reason,
            };
            let placement = assigned.placement.as_ref();
            let stop_reason = placement.and_then(|placement| placement.stop_reason);
            let machine = placement.map(|placement| &placement.machine);
            tracing::debug!(%task, ?reason, ?stop_reason, ?machine, "task removed");
            let removals = self.events.removals.entry(proof).or_default();
            removals.record(|| {
                let machine = machine.map_or("no machine", |machine| &**machine);
                format!("{task}@{} {reason:?} {machine}", assigned.attempt)
            });
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

    /// Applies a change of a job in the cache: stops cancelled tasks and releases finished
    /// ones.
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
                self.stop_task(&task, attempt, TaskStopReason::Cancelled);
            }
        }
        if job.record.done || job.record.cancelled {
            self.zone_allowances.remove(id);
        }
    }

    /// Releases a task without proof that it no longer runs: it is committed as finished, or
    /// its machine belongs to another shard now.
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

    /// Releases finished tasks. Drops unregistered machines whose worker's lease has expired,
    /// and the assignment numbers of jobs that have ended.
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
        // A machine that is not registered, and whose worker has not proved within the length
        // of a lease that it is alive, was added by a late copy of a heartbeat, or its worker's
        // lease has expired.
        let (lease_s, epoch_started_at) = (self.timing.lease_s, self.epoch_started_at);
        let is_over = |machine: &Machine| {
            !machine.registered
                && machine.session.last_heartbeat_at.is_none()
                && now - machine.known_since.max(epoch_started_at) >= lease_s
        };
        let over = self.machines.iter().filter(|(_, machine)| is_over(machine));
        for id in over.map(|(id, _)| id.clone()).collect::<Vec<MachineId>>() {
            self.remove_machine(&id);
        }
        let assigned = &self.assigned;
        self.highest_assignments.retain(|task, _| {
            assigned.contains(task) || cache.jobs.get(&task.job).is_none_or(|job| job.is_live())
        });
    }
}

/// Whether a task needs no more runs, according to the stored records.
fn is_finished(cache: &StoreCache, task: &Task) -> bool {
    cache.stored_task(task).needs_no_run()
}
