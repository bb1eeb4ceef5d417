//! Preemption: stopping tasks of lower priority to free capacity for others.

use super::placement::{PlacementRequest, PlacementRound};
use super::{Placement, Shard, TaskPhase, TaskStopReason};
use crate::clock::Seconds;
use crate::wire::{JobKind, JobSpec, MachineId, Priority, Resources, Task, MIN_COUNTED_RUN_S};
use std::cmp::Ordering;

/// The machines on which tasks may be stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum VictimMachines {
    /// All machines on which the new task may run.
    Any,
    /// Those of them that probably have its image cached.
    WithImage,
}

/// The cost of stopping tasks. Costs are ordered by the number of disrupted jobs, then by
/// the lost work.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct PreemptionCost {
    /// The number of jobs that lose their first start, or become late.
    disrupted_jobs: u32,
    /// The work that has to be done again, in CPU seconds.
    lost_cpu_s: f64,
}

/// The tasks on one machine that would be stopped for a new task.
struct PreemptionPlan {
    /// The tasks to stop, with their attempts.
    victims: Vec<(Task, u64)>,
    cost: PreemptionCost,
}

/// A task that may be stopped for a new one.
struct PreemptionCandidate<'a> {
    task: &'a Task,
    attempt: u64,
    priority: Priority,
    /// Whether it is the only task of its job in this shard, and has not run for
    /// [`MIN_COUNTED_RUN_S`] yet.
    is_first_start: bool,
    /// Whether its job becomes late if it has to start again.
    becomes_late: bool,
    phase_since: Seconds,
    resources: Resources,
}

impl PreemptionCandidate<'_> {
    /// The order in which tasks are stopped: those that are not a job's first start, then the
    /// lowest priority, then those whose job doesn't become late, then the most recently
    /// started.
    fn order(&self, other: &PreemptionCandidate) -> Ordering {
        self.is_first_start
            .cmp(&other.is_first_start)
            .then(other.priority.cmp(&self.priority))
            .then(self.becomes_late.cmp(&other.becomes_late))
            .then(other.phase_since.total_cmp(&self.phase_since))
    }
}

impl Shard {
    /// Whether a task may be stopped for one of `priority`. Production tasks preempt the tasks
    /// of any array job of a lower priority. Tasks of other priorities preempt only tasks of
    /// low-priority array jobs whose team uses more than its guarantee, and only once these
    /// have run for [`MIN_COUNTED_RUN_S`]: otherwise the largest of them would be stopped each
    /// time before its start counts for users.
    pub(super) fn is_preemptible(
        &self,
        spec: &JobSpec,
        placement: &Placement,
        priority: Priority,
        now: Seconds,
    ) -> bool {
        if spec.job_kind != JobKind::Array
            || spec.priority <= priority
            || placement.phase == TaskPhase::Done
        {
            return false;
        }
        let starting_or_stopping =
            placement.phase != TaskPhase::Running || placement.stop_reason.is_some();
        let start_counts =
            !starting_or_stopping && now - placement.phase_since >= MIN_COUNTED_RUN_S;
        let borrows = spec.priority == Priority::Low && self.borrowing_teams.contains(&spec.team);
        priority == Priority::Prod || start_counts && borrows
    }

    /// Stops tasks of lower priority to free capacity for a task. Returns false if no such
    /// tasks would free enough, or if the task has waited too long already.
    pub(super) fn preempt_for(
        &mut self,
        request: &PlacementRequest,
        round: &mut PlacementRound,
        victim_machines: VictimMachines,
    ) -> bool {
        let Some(assigned) = self.assigned.get(request.task) else {
            return false;
        };
        let waited_s = round.when.now - assigned.assigned_at;
        if waited_s >= self.timing.report_s + request.spec.save_s {
            return false;
        }
        let mut best: Option<(&MachineId, PreemptionPlan)> = None;
        for (id, free) in &round.free {
            if !self.may_preempt_on(id, request, victim_machines) {
                continue;
            }
            let Some(plan) = self.preemption_plan(id, *free, request.spec, round) else {
                continue;
            };
            if best.as_ref().is_none_or(|(_, best)| plan.cost < best.cost) {
                best = Some((id, plan));
            }
        }
        let Some((id, plan)) = best else {
            return false;
        };
        for (task, attempt) in plan.victims {
            self.stop_task(&task, attempt, TaskStopReason::Preempted);
        }
        let reserved = round.reserved.entry(id.clone()).or_default();
        reserved.add(&request.spec.task_resources());
        true
    }

    /// Whether tasks on a machine may be stopped for a task: the task must be allowed to run
    /// there.
    fn may_preempt_on(
        &self,
        id: &MachineId,
        request: &PlacementRequest,
        victim_machines: VictimMachines,
    ) -> bool {
        let (task, spec) = (request.task, request.spec);
        let Some(machine) = self.machines.get(id) else {
            return false;
        };
        let identity = &machine.identity;
        let avoided = || {
            let assigned = self.assigned.get(task);
            assigned.is_some_and(|assigned| assigned.avoid.contains(id))
        };
        let zone_full = || {
            let allowances = self.zone_allowances.get(&task.job);
            allowances.is_some_and(|allowances| !allowances.has_allowance(&identity.zone))
        };
        !avoided()
            && !zone_full()
            && (victim_machines == VictimMachines::Any || machine.has_image(&spec.image))
            && !machine.contents.tasks.contains_key(task)
            && spec.allowed_on(&identity.machine_type, &identity.zone, identity.spot)
    }

    /// Returns the tasks on a machine to stop for a new one; `None` if stopping them would
    /// not free enough. The capacity of tasks that are already being stopped counts as free.
    fn preemption_plan(
        &self,
        id: &MachineId,
        free: Resources,
        spec: &JobSpec,
        round: &PlacementRound,
    ) -> Option<PreemptionPlan> {
        let needed = spec.task_resources();
        let mut available = free;
        if let Some(reserved) = round.reserved.get(id) {
            available.subtract(reserved);
        }
        let candidates = self.preemption_candidates(id, spec.priority, round, &mut available);
        let mut plan = PreemptionPlan {
            victims: Vec::new(),
            cost: PreemptionCost {
                disrupted_jobs: 0,
                lost_cpu_s: 0.0,
            },
        };
        for candidate in candidates {
            if available.fits(&needed) {
                break;
            }
            available.add(&candidate.resources);
            let disrupts = candidate.is_first_start || candidate.becomes_late;
            plan.cost.disrupted_jobs += u32::from(disrupts);
            // All of its running time counts as lost.
            let ran_s = (round.when.now - candidate.phase_since).max(1.0);
            plan.cost.lost_cpu_s += candidate.resources.cpus * ran_s;
            plan.victims
                .push((candidate.task.clone(), candidate.attempt));
        }
        available.fits(&needed).then_some(plan)
    }

    /// Returns the tasks on a machine that may be stopped, in the order in which to stop them.
    /// The capacity of tasks that are already being stopped is added to `available`.
    fn preemption_candidates(
        &self,
        id: &MachineId,
        priority: Priority,
        round: &PlacementRound,
        available: &mut Resources,
    ) -> Vec<PreemptionCandidate<'_>> {
        let (jobs, now) = (&round.cache.jobs, round.when.now);
        let mut candidates = Vec::new();
        for (task, assigned) in self.assigned.on_machine(id) {
            let Some(placement) = assigned.placement.as_ref() else {
                continue;
            };
            if placement.phase == TaskPhase::Done {
                continue;
            }
            let Some(job) = jobs.get(&task.job).map(|job| &job.record) else {
                continue;
            };
            let Some(spec) = job.spec.as_ref() else {
                continue;
            };
            if placement.stop_reason.is_some() {
                available.add(&spec.task_resources());
            } else if self.is_preemptible(spec, placement, priority, now) {
                let age_ms = round.when.wall_clock_ms.saturating_sub(job.accepted_at_ms);
                let age_s = age_ms as f64 / 1000.0;
                candidates.push(PreemptionCandidate {
                    task,
                    attempt: assigned.attempt,
                    priority: spec.priority,
                    is_first_start: self.is_first_start(task, placement, now),
                    becomes_late: becomes_late(spec, age_s, now - placement.phase_since),
                    phase_since: placement.phase_since,
                    resources: spec.task_resources(),
                });
            }
        }
        candidates.sort_by(PreemptionCandidate::order);
        candidates
    }

    /// Whether a task is the only one of its job in this shard, and has not run for
    /// [`MIN_COUNTED_RUN_S`] yet. As the most recently started tasks are stopped first, a job
    /// that had waited for minutes would otherwise lose its only task again and again before
    /// its start counts.
    fn is_first_start(&self, task: &Task, placement: &Placement, now: Seconds) -> bool {
        let recently_started = placement.phase != TaskPhase::Running
            || now - placement.phase_since < MIN_COUNTED_RUN_S;
        recently_started && self.assigned.of_job(&task.job).nth(1).is_none()
    }
}

/// Whether a job becomes late if one of its tasks has to start again. A job that is late
/// already counts as becoming late if its end moves past another half of its deadline:
/// otherwise the tasks of late jobs would be stopped again and again.
fn becomes_late(spec: &JobSpec, age_s: Seconds, ran_s: Seconds) -> bool {
    spec.checkpoint_s <= 0.0
        && spec
            .deadline_s
            .filter(|deadline_s| *deadline_s > 0.0)
            .is_some_and(|deadline_s| {
                let half_deadlines =
                    |completion_s: Seconds| (completion_s / (deadline_s / 2.0)).ceil().max(2.0);
                half_deadlines(age_s + spec.estimate_s)
                    > half_deadlines(age_s + (spec.estimate_s - ran_s).max(0.0))
            })
}
