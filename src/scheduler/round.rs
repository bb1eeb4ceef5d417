//! A round of assignment: the order in which jobs are served, and how many tasks each may
//! start.

use super::placement::{assign_array, assign_to_best_shard, UnassignedTasks};
use super::urgency::{urgency, Urgency};
use super::usage::add_tasks;
use super::{AssignmentNumbers, JobEntry, Leader, ShardAssignment, TaskAssignment};
use crate::autoscaler::PendingDemand;
use crate::clock::{self, Seconds};
use crate::scheduler::bin_packing;
use crate::scheduler::capacity::{FreeCapacity, PlacementRequest, PreemptionScope};
use crate::shard::TaskPhase;
use crate::store::cache::{CachedJob, StoreCache};
use crate::wire::{JobId, JobKind, Priority, Resources, FIRST_START_TARGET_S};
use finchwood_types::token;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

impl Leader {
    /// The free capacity of every schedulable machine, minus the resources of tasks that are
    /// assigned to a shard and have no machine yet.
    pub(super) fn capacity(&self, wall_clock_ms: u64) -> FreeCapacity {
        let machines = self
            .shards
            .values()
            .flat_map(|shard| shard.machines.values());
        let schedulable = machines.filter(|machine| {
            machine.status.schedulable
                && !self.draining.contains(&machine.status.id)
                && !self.faulty.contains(&machine.status.id)
        });
        let mut capacity = FreeCapacity::new(
            schedulable.map(|machine| machine.slot.clone()).collect(),
            self.reserved_cpus,
        );
        for entry in self.jobs.values() {
            let mut request = None;
            for assignment in entry
                .assigned
                .values()
                .filter(|assignment| assignment.machine.is_none())
            {
                let request = request.get_or_insert_with(|| {
                    let preemption_scope = match self.preemption_scope(entry, wall_clock_ms) {
                        PreemptionScope::AllLowerPriorities => PreemptionScope::Nothing,
                        scope => scope,
                    };
                    PlacementRequest::new(
                        &entry.spec,
                        &self.names,
                        Vec::new(),
                        false,
                        preemption_scope,
                    )
                });
                if let Some(slot) =
                    capacity.best_slot(request, self.names.lookup(&assignment.shard), None)
                {
                    capacity.allocate(slot, &request.task_resources);
                }
            }
        }
        capacity
    }

    /// Runs one round of assignment: assigns as many unassigned tasks as fit, job by job in
    /// the order of `RankedJob`. Once `has_time` returns false, the round ends, and the next
    /// one starts at the first job that was not served. Returns the shards that have new
    /// orders.
    pub fn assign_tasks(
        &mut self,
        cache: &StoreCache,
        now: Seconds,
        mut has_time: impl FnMut() -> bool,
    ) -> BTreeSet<String> {
        if self.awaits_reading() {
            return BTreeSet::new();
        }
        let shards_with_new_orders = self.update_gangs(cache, now);
        if self.shards.is_empty() {
            return shards_with_new_orders;
        }
        let (wall_clock_ms, used) = (clock::wall_clock_ms(), self.used_by_team());
        self.borrowing = self.borrowing_teams(&used);
        let mut round = Round {
            cache,
            now,
            wall_clock_ms,
            used,
            capacity: self.capacity(wall_clock_ms),
            pending_demand: Vec::new(),
            gang_has_reservation: false,
            shards_with_new_orders,
        };
        for id in self.jobs_in_order(&round) {
            if !has_time() {
                self.resume_from = Some(id);
                break;
            }
            self.assign_job(&id, &mut round);
        }
        for demand in round
            .pending_demand
            .iter()
            .filter(|demand| demand.spec.priority == Priority::Prod)
        {
            tracing::debug!(job = %demand.spec.id, tasks = demand.count, "tasks do not fit");
        }
        self.pending_demand = round.pending_demand;
        round.shards_with_new_orders
    }

    /// The jobs that may have unassigned tasks, in the order in which they are served. The
    /// order is rotated to start at the job where the last round ran out of time, if it
    /// did.
    fn jobs_in_order(&mut self, round: &Round) -> Vec<JobId> {
        let guaranteed = self.guaranteed_jobs(round.cache);
        let live = |id: &JobId| round.cache.jobs.get(id).is_some_and(|job| job.is_live());
        let may_have_unassigned = |entry: &JobEntry| {
            !entry.failures.is_backing_off(round.now)
                && entry.occupied_tasks() < entry.spec.task_count
        };
        let candidates = self
            .jobs
            .iter()
            .filter(|(id, entry)| live(id) && may_have_unassigned(entry));
        let mut order: Vec<RankedJob> = candidates
            .map(|(id, entry)| RankedJob {
                precedence: precedence(id, entry, guaranteed.contains(id), round),
                priority: entry.spec.priority,
                urgency: urgency(
                    &entry.spec,
                    entry.accepted_at_ms,
                    round.wall_clock_ms,
                    &self.policy.completion_objectives,
                ),
                id: id.clone(),
            })
            .collect();
        order.sort();
        if let Some(id) = self.resume_from.take() {
            if let Some(position) = order.iter().position(|job| job.id == id) {
                order.rotate_left(position);
            }
        }
        order.into_iter().map(|job| job.id).collect()
    }

    /// The unassigned tasks of a job, as many as its team's limit and its failures allow.
    fn unassigned_tasks(&self, entry: &JobEntry, job: &CachedJob, used: &Resources) -> Vec<u32> {
        let team = self.policy.teams.get(&entry.spec.team);
        let left = Resources {
            cpus: team.map_or(0.0, |team| team.cpu_cap()) - used.cpus,
            gpus: team.map_or(0.0, |team| team.gpu_cap()) - used.gpus,
            mem_gb: f64::INFINITY,
            report_bytes: f64::INFINITY,
        };
        let quota = left.max_tasks(&Resources {
            mem_gb: 0.0,
            report_bytes: 0.0,
            ..entry.spec.task_resources()
        }) as usize;
        let max_tasks = entry.startable_tasks(quota);
        let is_unassigned = |i: &u32| {
            !job.finished.contains(*i)
                && !entry.completed.contains(*i)
                && !entry.unreconciled.contains(*i)
                && !entry.assigned.contains_key(i)
        };
        (0..entry.spec.task_count)
            .filter(is_unassigned)
            .take(max_tasks)
            .collect()
    }

    /// Assigns the unassigned tasks of one job; those for which there is no capacity become
    /// pending demand.
    fn assign_job(&mut self, id: &JobId, round: &mut Round) {
        let Some(job) = round.cache.jobs.get(id) else {
            return;
        };
        let Some(entry) = self.jobs.get(id) else {
            return;
        };
        let spec = entry.spec.clone();
        let used = round.used.entry(spec.team.clone()).or_default();
        let unassigned = self.unassigned_tasks(entry, job, used);
        let gang_must_wait = spec.job_kind == JobKind::Gang
            && !(self.gangs_allowed && entry.can_assign_gang(unassigned.len()));
        // A counter above the limit would yield attempt numbers of a later epoch.
        let numbers_left = self.epoch.attempts_used + unassigned.len() as u64 <= self.attempt_limit;
        if unassigned.is_empty() || gang_must_wait || !numbers_left {
            return;
        }
        let age_s = round.age_s(entry);
        let request = self.request(entry, round);
        let tasks = UnassignedTasks {
            job: id,
            request: &request,
            indexes: &unassigned,
        };
        let chosen = self.choose_shards(tasks, round);
        let placed: usize = chosen.iter().map(|assigned| assigned.tasks.len()).sum();
        if placed == 0 && round.capacity.best_slot(&request, None, None).is_none() {
            round.capacity.record_no_fit(&request);
        }
        if placed < unassigned.len() {
            let demand =
                self.pending_demand_of(id, (unassigned.len() - placed) as u32, age_s, round);
            round.pending_demand.extend(demand);
        }
        let used = round.used.entry(spec.team.clone()).or_default();
        add_tasks(used, &spec, placed as f64);
        for ShardAssignment { shard, tasks } in chosen {
            round.shards_with_new_orders.insert(shard.to_string());
            for index in tasks {
                self.assign_task(id, index, &shard, round.now);
            }
        }
    }

    /// What may be preempted for tasks of a job that do not fit. Production jobs may preempt
    /// all lower priorities. Urgent and standard jobs that have waited for a while may
    /// preempt low-priority arrays of borrowing teams: such arrays, with tasks that run for
    /// minutes, otherwise occupied the machines that a team's own jobs were waiting for.
    fn preemption_scope(&self, entry: &JobEntry, wall_clock_ms: u64) -> PreemptionScope {
        let waited_s = wall_clock_ms.saturating_sub(entry.accepted_at_ms) as f64 / 1000.0;
        match entry.spec.priority {
            _ if self.preemption_suspended => PreemptionScope::Nothing,
            Priority::Prod => PreemptionScope::AllLowerPriorities,
            Priority::Urgent | Priority::Standard
                if !entry.spec.has_coupled_tasks()
                    && waited_s > self.policy.report_s * PREEMPTION_WAIT_REPORTS =>
            {
                PreemptionScope::LowPriorityOfBorrowingTeams
            }
            Priority::Urgent | Priority::Standard | Priority::Low => PreemptionScope::Nothing,
        }
    }

    /// The demand for new machines of `count` tasks that do not fit. No on-demand machine
    /// is rented for opportunistic jobs: low-priority jobs that allow spot machines, have
    /// no objective and belong to a borrowing team. The cloud has too few on-demand
    /// machines for all of them. Once the start of such a job is overdue, a machine of any
    /// kind is rented for one of its tasks.
    fn pending_demand_of(
        &self,
        id: &JobId,
        count: u32,
        age_s: Seconds,
        round: &Round,
    ) -> Option<PendingDemand> {
        let entry = self.jobs.get(id)?;
        let spec = &entry.spec;
        let is_opportunistic = spec.spot
            && spec.priority == Priority::Low
            && !self.policy.classes_with_objectives.contains(&spec.class)
            && self.borrowing.contains(&spec.team);
        let start_overdue = precedence(id, entry, false, round) == Precedence::StartOverdue;
        Some(PendingDemand {
            tasks_in_zone: self.tasks_by_zone(id, round.cache),
            task_resources: spec.task_resources(),
            count: if is_opportunistic && start_overdue {
                1
            } else {
                count
            },
            spec: spec.clone(),
            age_s,
            spot_only: is_opportunistic && !start_overdue,
        })
    }

    /// The requirements that the tasks of a job place on a machine in this round.
    fn request(&self, entry: &JobEntry, round: &Round) -> PlacementRequest {
        let spec = &entry.spec;
        let latency_sensitive = bin_packing::is_latency_sensitive(
            spec,
            &self.policy.start_objectives_s,
            round.cache.catalog.as_deref(),
        );
        let avoid = entry.failures.avoided_machines().to_vec();
        let preemption_scope = self.preemption_scope(entry, round.wall_clock_ms);
        let request = PlacementRequest::new(
            spec,
            &self.names,
            avoid,
            latency_sensitive,
            preemption_scope,
        );
        // A gang with a start objective may use the capacity that is reserved for services,
        // since it needs capacity for all of its tasks at once.
        if spec.job_kind == JobKind::Gang
            && self.policy.start_objectives_s.contains_key(&spec.class)
        {
            request.with_reserve_access()
        } else {
            request
        }
    }

    /// Selects the shards for unassigned tasks of a job, by the kind of job.
    fn choose_shards(&mut self, tasks: UnassignedTasks, round: &mut Round) -> Vec<ShardAssignment> {
        let Some(entry) = self
            .jobs
            .get(tasks.job)
            .filter(|_| !round.capacity.known_not_to_fit(tasks.request))
        else {
            return Vec::new();
        };
        let spec = &entry.spec;
        if spec.job_kind == JobKind::Gang {
            // Capacity is reserved for the first waiting gang only; the others wait for
            // later rounds.
            let reserves_capacity =
                !round.gang_has_reservation && round.age_s(entry) < CAPACITY_RESERVATION_S;
            let chosen =
                self.assign_gang(tasks, &mut round.capacity, round.cache, reserves_capacity);
            round.gang_has_reservation |= chosen.is_empty() && reserves_capacity;
            chosen
        } else if spec.one_zone || spec.scatter {
            let may_change_zone = spec.one_zone && spec.job_kind == JobKind::Service;
            let chosen = self.assign_zone_constrained(tasks, &mut round.capacity, round.cache);
            if may_change_zone {
                let has_capacity = !chosen.is_empty();
                self.consider_zone_change(tasks, has_capacity, &mut round.capacity, round.now);
            }
            chosen
        } else if spec.has_coupled_tasks() {
            assign_to_best_shard(tasks, &mut round.capacity, &self.names)
        } else {
            assign_array(tasks, &mut round.capacity, &self.names)
        }
    }

    /// Assigns a task to a shard, under a new attempt or, for a gang, under that of the
    /// gang.
    fn assign_task(&mut self, id: &JobId, index: u32, shard: &Arc<str>, now: Seconds) {
        self.epoch.attempts_used += 1;
        let assignment = token::attempt(self.epoch.number, self.epoch.attempts_used);
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let attempt = match entry.spec.job_kind {
            JobKind::Gang => entry.gang_attempt(assignment, now),
            JobKind::Array | JobKind::Service => assignment,
        };
        self.events
            .assigned
            .record(|| format!("{id}/{index}@{attempt} {shard}"));
        let assigned = TaskAssignment {
            shard: shard.clone(),
            numbers: AssignmentNumbers {
                attempt,
                assignment,
            },
            acknowledged: false,
            phase: TaskPhase::Queued,
            machine: None,
        };
        entry.assign(index, assigned);
    }
}

/// How many report intervals a job waits for free capacity before low-priority arrays are
/// preempted for it: often capacity becomes free without preemption.
const PREEMPTION_WAIT_REPORTS: f64 = 2.0;

/// Capacity is reserved for a waiting gang until this many seconds after its acceptance.
const CAPACITY_RESERVATION_S: Seconds = FIRST_START_TARGET_S * 2.0;

/// A job that has not started this many seconds after its acceptance takes precedence over
/// jobs within their team's guarantee.
const START_OVERDUE_AFTER_S: Seconds = FIRST_START_TARGET_S / 3.0;

/// The state of one round of assignment.
struct Round<'a> {
    cache: &'a StoreCache,
    now: Seconds,
    wall_clock_ms: u64,
    /// What each team uses, including the assignments of this round.
    used: HashMap<Arc<str>, Resources>,
    capacity: FreeCapacity,
    pending_demand: Vec<PendingDemand>,
    /// Whether capacity is already reserved for a gang that does not fit.
    gang_has_reservation: bool,
    /// The shards that have new orders.
    shards_with_new_orders: BTreeSet<String>,
}

impl Round<'_> {
    /// The time since the job was accepted, in seconds.
    fn age_s(&self, entry: &JobEntry) -> Seconds {
        self.wall_clock_ms.saturating_sub(entry.accepted_at_ms) as f64 / 1000.0
    }
}

/// The rank of a job in a round; jobs are served in ascending order.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RankedJob {
    precedence: Precedence,
    priority: Priority,
    urgency: Urgency,
    id: JobId,
}

/// The first criterion in the order of jobs, which is compared before the priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Precedence {
    /// Production jobs.
    HighestPriority,
    /// Jobs whose start is overdue. Large jobs rank low by every other criterion, and
    /// without this one would not start within the time that users accept.
    StartOverdue,
    /// Jobs within the guarantee of their team.
    Guaranteed,
    /// Jobs that exceed the guarantee of their team.
    Borrowed,
}

fn precedence(id: &JobId, entry: &JobEntry, guaranteed: bool, round: &Round) -> Precedence {
    let started = !entry.assigned.is_empty()
        || !entry.unreconciled.is_empty()
        || round
            .cache
            .jobs
            .get(id)
            .is_some_and(|job| !job.finished.is_empty());
    match entry.spec.priority {
        Priority::Prod => Precedence::HighestPriority,
        _ if !started && round.age_s(entry) > START_OVERDUE_AFTER_S => Precedence::StartOverdue,
        _ if guaranteed => Precedence::Guaranteed,
        _ => Precedence::Borrowed,
    }
}
