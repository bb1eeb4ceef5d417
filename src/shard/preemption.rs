//! Stopping tasks of lower priority to make room for others.

use super::placement::{PlacementRequest, PlacementRound};
use super::{Placement, Shard, Stop, TaskPhase};
use crate::clock::Seconds;
use crate::wire::{JobKind, JobSpec, MachineId, Priority, Resources, Task, MIN_COUNTED_RUN_S};
use std::cmp::Ordering;

/// On which machines tasks may be stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum VictimMachines {
    /// On all that the new task may run on.
    Any,
    /// On those of them that have its image.
    WithImage,
}

/// What stopping tasks costs. The fewest harmed jobs come first, then the least lost work.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct PreemptionCost {
    /// Jobs that lose their first start, or become late.
    harmed_jobs: u32,
    /// Work that has to be done again, in seconds of one CPU.
    lost_cpu_s: f64,
}

/// Tasks on one machine whose end makes room for another.
struct PreemptionPlan {
    /// The tasks and their attempts.
    victims: Vec<(Task, u64)>,
    cost: PreemptionCost,
}

/// A task that may be stopped for another.
struct Candidate<'a> {
    task: &'a Task,
    attempt: u64,
    priority: Priority,
    /// It is all that its job has here, and its start doesn't count for users yet.
    is_first_start: bool,
    /// Its job becomes late by starting it anew.
    becomes_late: bool,
    phase_since: Seconds,
    resources: Resources,
}

impl Candidate<'_> {
    /// The order in which tasks are stopped: last those with which a job begins, the lowest
    /// priority first, then those that a new start doesn't make late, then the youngest.
    fn order(&self, other: &Candidate) -> Ordering {
        self.is_first_start
            .cmp(&other.is_first_start)
            .then(other.priority.cmp(&self.priority))
            .then(self.becomes_late.cmp(&other.becomes_late))
            .then(other.phase_since.total_cmp(&self.phase_since))
    }
}

impl Shard {
    /// Whether a task may be stopped for one of `priority`. The highest priority stops any
    /// array below it. All other work stops low arrays only, of teams that use more
    /// than they are guaranteed, and none that has only just started: the largest
    /// of them would otherwise be stopped each time before its start counts for users.
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
        let stays = placement.phase != TaskPhase::Running || placement.stop.is_some();
        let counts = !stays && now - placement.phase_since >= MIN_COUNTED_RUN_S;
        let borrows = spec.priority == Priority::Low && self.borrowing_teams.contains(&spec.team);
        priority == Priority::Prod || counts && borrows
    }

    /// Makes room by stopping tasks of lower priority. False if there is nothing to stop,
    /// or it has taken too long.
    pub(super) fn preempt_for(
        &mut self,
        request: &PlacementRequest,
        round: &mut PlacementRound,
        on: VictimMachines,
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
            if !self.may_preempt_on(id, request, on) {
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
            self.stop_task(&task, attempt, Stop::Preempted);
        }
        let reserved = round.reserved.entry(id.clone()).or_default();
        reserved.add(&request.spec.task_resources());
        true
    }

    /// Whether tasks on a machine may be stopped for a task: it may run there.
    fn may_preempt_on(
        &self,
        id: &MachineId,
        request: &PlacementRequest,
        on: VictimMachines,
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
            let capacity = self.zone_capacities.get(&task.job);
            capacity.is_some_and(|capacity| !capacity.has_room(&identity.zone))
        };
        !avoided()
            && !zone_full()
            && (on == VictimMachines::Any || machine.has_image(&spec.image))
            && !machine.contents.tasks.contains_key(task)
            && spec.allowed_on(&identity.machine_type, &identity.zone, identity.spot)
    }

    /// The tasks on a machine to stop for a new one. Room that is being made already counts.
    fn preemption_plan(
        &self,
        id: &MachineId,
        free: Resources,
        spec: &JobSpec,
        round: &PlacementRound,
    ) -> Option<PreemptionPlan> {
        let needed = spec.task_resources();
        let mut room = free;
        if let Some(reserved) = round.reserved.get(id) {
            room.subtract(reserved);
        }
        let candidates = self.preemption_candidates(id, spec.priority, round, &mut room);
        let mut plan = PreemptionPlan {
            victims: Vec::new(),
            cost: PreemptionCost {
                harmed_jobs: 0,
                lost_cpu_s: 0.0,
            },
        };
        for candidate in candidates {
            if room.fits(&needed) {
                break;
            }
            room.add(&candidate.resources);
            let harms = candidate.is_first_start || candidate.becomes_late;
            plan.cost.harmed_jobs += u32::from(harms);
            // What it has done so far is done again.
            let ran_s = (round.when.now - candidate.phase_since).max(1.0);
            plan.cost.lost_cpu_s += candidate.resources.cpus * ran_s;
            plan.victims
                .push((candidate.task.clone(), candidate.attempt));
        }
        room.fits(&needed).then_some(plan)
    }

    /// The tasks on a machine that may be stopped, in this order. What is stopping already
    /// is added to `room`.
    fn preemption_candidates(
        &self,
        id: &MachineId,
        priority: Priority,
        round: &PlacementRound,
        room: &mut Resources,
    ) -> Vec<Candidate<'_>> {
        let (jobs, now) = (&round.cache.jobs, round.when.now);
        let mut candidates = Vec::new();
        for (task, assigned) in self.assigned.on(id) {
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
            if placement.stop.is_some() {
                room.add(&spec.task_resources());
            } else if self.is_preemptible(spec, placement, priority, now) {
                let age_ms = round.when.wall_clock_ms.saturating_sub(job.accepted_at_ms);
                let age_s = age_ms as f64 / 1000.0;
                candidates.push(Candidate {
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
        candidates.sort_by(Candidate::order);
        candidates
    }

    /// Whether a task is all that a job has here, and its start does not count for
    /// users yet. As the youngest are stopped first, a job that had waited for minutes
    /// would otherwise lose its only task each time before it had begun.
    fn is_first_start(&self, task: &Task, placement: &Placement, now: Seconds) -> bool {
        let young = placement.phase != TaskPhase::Running
            || now - placement.phase_since < MIN_COUNTED_RUN_S;
        young && self.assigned.of_job(&task.job).nth(1).is_none()
    }
}

/// Whether a job becomes late by starting a task anew, or, if it is late, later
/// by another half of the time it was given: otherwise those that are late already
/// would be stopped again and again.
fn becomes_late(spec: &JobSpec, age_s: Seconds, ran_s: Seconds) -> bool {
    spec.checkpoint_s <= 0.0
        && spec.deadline_s.filter(|d| *d > 0.0).is_some_and(|d| {
            let halves = |ends: Seconds| (ends / (d / 2.0)).ceil().max(2.0);
            halves(age_s + spec.estimate_s) > halves(age_s + (spec.estimate_s - ran_s).max(0.0))
        })
}
