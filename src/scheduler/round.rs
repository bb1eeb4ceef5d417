//! One round of assignment: which jobs come first, and what each may take.

use super::placement::{assign_array, assign_whole, FreeTasks};
use super::urgency::{urgency, Urgency};
use super::usage::add_tasks;
use super::{AssignmentNumbers, JobEntry, Leader, ShardAssignment, TaskAssignment};
use crate::autoscaler::PendingDemand;
use crate::clock::{self, Seconds};
use crate::scheduler::bin_packing;
use crate::scheduler::capacity::{FreeCapacity, PlacementRequest, PreemptionScope};
use crate::shard::TaskPhase;
use crate::store::cache::{CachedJob, StoreCache};
use crate::wire::{JobId, JobKind, Priority, Resources, BEGIN_WITHIN_S};
use finchwood_types::token;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

impl Leader {
    /// The free room of every schedulable machine, less what is assigned and not placed yet.
    pub(super) fn capacity(&self, wall_clock_ms: u64) -> FreeCapacity {
        let open = self
            .shards
            .values()
            .flat_map(|shard| shard.machines.values());
        let open = open.filter(|machine| {
            machine.status.schedulable
                && !self.draining.contains(&machine.status.id)
                && !self.faulty.contains(&machine.status.id)
        });
        let mut capacity = FreeCapacity::new(
            open.map(|machine| machine.slot.clone()).collect(),
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
                    let preempts = match self.preempts(entry, wall_clock_ms) {
                        PreemptionScope::AllLowerPriorities => PreemptionScope::Nothing,
                        others => others,
                    };
                    PlacementRequest::new(&entry.spec, &self.names, Vec::new(), false, preempts)
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

    /// One round of assignment: as many free tasks as fit, in order of priority and
    /// age, until `has_time` says that the time is over; the next round goes on
    /// from there. Returns the shards that have new orders.
    pub fn assign_tasks(
        &mut self,
        cache: &StoreCache,
        now: Seconds,
        mut has_time: impl FnMut() -> bool,
    ) -> BTreeSet<String> {
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
            gang_waits: false,
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
            tracing::debug!(job = %demand.spec.id, tasks = demand.count, "no room");
        }
        self.pending_demand = round.pending_demand;
        round.shards_with_new_orders
    }

    /// Jobs that may have free tasks, the most pressing first; from where the last
    /// round stopped, if its time was over.
    fn jobs_in_order(&mut self, round: &Round) -> Vec<JobId> {
        let guaranteed = self.guaranteed_jobs(round.cache);
        let live = |id: &JobId| round.cache.jobs.get(id).is_some_and(|job| job.live());
        let may_have_free = |entry: &JobEntry| {
            !entry.failures.backs_off(round.now) && entry.occupied_tasks() < entry.spec.task_count
        };
        let waiting = self
            .jobs
            .iter()
            .filter(|(id, entry)| live(id) && may_have_free(entry));
        let mut order: Vec<RankedJob> = waiting
            .map(|(id, entry)| RankedJob {
                stage: stage(id, entry, guaranteed.contains(id), round),
                priority: entry.spec.priority,
                urgency: urgency(
                    &entry.spec,
                    entry.accepted_at_ms,
                    round.wall_clock_ms,
                    &self.policy.objectives,
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

    /// The free tasks of a job, as many as its team's limit allows.
    fn free_tasks(&self, entry: &JobEntry, job: &CachedJob, used: &Resources) -> Vec<u32> {
        let team = self.policy.teams.get(&entry.spec.team);
        let left = Resources {
            cpus: team.map_or(0.0, |team| team.cpu_cap()) - used.cpus,
            gpus: team.map_or(0.0, |team| team.gpu_cap()) - used.gpus,
            mem_gb: f64::INFINITY,
        };
        let quota = left.max_tasks(&Resources {
            mem_gb: 0.0,
            ..entry.spec.task_resources()
        }) as usize;
        let most = entry.tries_allowed(quota);
        let free = |i: &u32| {
            !job.finished.contains(*i)
                && !entry.completed.contains(*i)
                && !entry.unreconciled.contains(*i)
                && !entry.assigned.contains_key(i)
        };
        (0..entry.spec.task_count).filter(free).take(most).collect()
    }

    /// Assigns the free tasks of one job; those without room become pending demand.
    fn assign_job(&mut self, id: &JobId, round: &mut Round) {
        let Some(job) = round.cache.jobs.get(id) else {
            return;
        };
        let Some(entry) = self.jobs.get(id) else {
            return;
        };
        let spec = entry.spec.clone();
        let used = round.used.entry(spec.team.clone()).or_default();
        let free = self.free_tasks(entry, job, used);
        let gang_must_wait = spec.job_kind == JobKind::Gang
            && !(self.gangs_allowed && entry.gang_may_start(free.len()));
        // A number beyond the limit would be one of a later epoch.
        let numbers_left = self.epoch.attempts_used + free.len() as u64 <= self.attempt_limit;
        if free.is_empty() || gang_must_wait || !numbers_left {
            return;
        }
        let age_s = round.age_s(entry);
        let request = self.request(entry, round);
        let tasks = FreeTasks {
            job: id,
            request: &request,
            indexes: &free,
        };
        let chosen = self.choose_shards(tasks, round);
        let placed: usize = chosen.iter().map(|assigned| assigned.tasks.len()).sum();
        if placed == 0 && round.capacity.best_slot(&request, None, None).is_none() {
            round.capacity.record_no_fit(&request);
        }
        if placed < free.len() {
            let demand = self.pending_demand_of(id, (free.len() - placed) as u32, age_s, round);
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

    /// What may be preempted for the tasks of a job that have no room. Without it,
    /// guests' low arrays that run for minutes held the machines which a team's own
    /// work then waited for.
    fn preempts(&self, entry: &JobEntry, wall_clock_ms: u64) -> PreemptionScope {
        let waited_s = wall_clock_ms.saturating_sub(entry.accepted_at_ms) as f64 / 1000.0;
        match entry.spec.priority {
            _ if self.preemption_suspended => PreemptionScope::Nothing,
            Priority::Prod => PreemptionScope::AllLowerPriorities,
            Priority::Urgent | Priority::Standard
                if !entry.spec.has_coupled_tasks()
                    && waited_s > self.policy.report_s * PREEMPTS_AFTER_REPORTS =>
            {
                PreemptionScope::LowPriorityOfBorrowingTeams
            }
            Priority::Urgent | Priority::Standard | Priority::Low => PreemptionScope::Nothing,
        }
    }

    /// What to rent for `count` tasks of a job that have no room. For low work
    /// that no objective names and that its team only borrows room for, no
    /// ordinary machine is rented but the first, so that it begins: the cloud has
    /// too few of them for all.
    fn pending_demand_of(
        &self,
        id: &JobId,
        count: u32,
        age_s: Seconds,
        round: &Round,
    ) -> Option<PendingDemand> {
        let entry = self.jobs.get(id)?;
        let spec = &entry.spec;
        let idle_work = spec.spot
            && spec.priority == Priority::Low
            && !self.policy.classes_with_objectives.contains(&spec.class)
            && self.borrowing.contains(&spec.team);
        let is_late = stage(id, entry, false, round) == Stage::Unbegun;
        Some(PendingDemand {
            tasks_in_zone: self.tasks_by_zone(id, round.cache),
            task_resources: spec.task_resources(),
            count: if idle_work && is_late { 1 } else { count },
            spec: spec.clone(),
            age_s,
            spot_only: idle_work && !is_late,
        })
    }

    /// What the tasks of a job require of a machine in this round.
    fn request(&self, entry: &JobEntry, round: &Round) -> PlacementRequest {
        let spec = &entry.spec;
        let latency_sensitive = bin_packing::is_latency_sensitive(
            spec,
            &self.policy.start_objectives_s,
            round.cache.catalog.as_deref(),
        );
        let avoid = entry.failures.avoided().to_vec();
        let preempts = self.preempts(entry, round.wall_clock_ms);
        let request = PlacementRequest::new(spec, &self.names, avoid, latency_sensitive, preempts);
        // The start of a gang with an aim needs room at once in a single zone.
        if spec.job_kind == JobKind::Gang
            && self.policy.start_objectives_s.contains_key(&spec.class)
        {
            request.with_reserve()
        } else {
            request
        }
    }

    /// The shards that take free tasks of a job, by its kind.
    fn choose_shards(&mut self, tasks: FreeTasks, round: &mut Round) -> Vec<ShardAssignment> {
        let Some(entry) = self
            .jobs
            .get(tasks.job)
            .filter(|_| !round.capacity.known_not_to_fit(tasks.request))
        else {
            return Vec::new();
        };
        let spec = &entry.spec;
        if spec.job_kind == JobKind::Gang {
            // The first of those that wait; for the others its room comes later.
            let keeps_room = !round.gang_waits && round.age_s(entry) < KEEPS_ROOM_FOR_S;
            let chosen = self.assign_gang(tasks, &mut round.capacity, round.cache, keeps_room);
            round.gang_waits |= chosen.is_empty() && keeps_room;
            chosen
        } else if spec.one_zone || spec.scatter {
            let moves = spec.one_zone && spec.job_kind == JobKind::Service;
            let chosen = self.assign_zone_bound(tasks, &mut round.capacity, round.cache);
            if moves {
                let has_room = !chosen.is_empty();
                self.consider_zone_change(tasks, has_room, &mut round.capacity, round.now);
            }
            chosen
        } else if spec.has_coupled_tasks() {
            assign_whole(tasks, &mut round.capacity, &self.names)
        } else {
            assign_array(tasks, &mut round.capacity, &self.names)
        }
    }

    /// Assigns a task to a shard, under an attempt of its own or that of its gang.
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

/// For how many report intervals a job waits for room before low arrays are stopped
/// for it: often some comes free by itself.
const PREEMPTS_AFTER_REPORTS: f64 = 2.0;

/// For how many seconds from its acceptance room is kept for a gang that waits.
const KEEPS_ROOM_FOR_S: Seconds = BEGIN_WITHIN_S * 2.0;

/// After how many seconds a job that has not begun comes before those whose teams are
/// within their guarantee.
const UNBEGUN_AFTER_S: Seconds = BEGIN_WITHIN_S / 3.0;

/// What one round of assignment works with.
struct Round<'a> {
    cache: &'a StoreCache,
    now: Seconds,
    wall_clock_ms: u64,
    /// What each team uses, with what was assigned in this round.
    used: HashMap<Arc<str>, Resources>,
    capacity: FreeCapacity,
    pending_demand: Vec<PendingDemand>,
    /// A gang waits for which room is kept.
    gang_waits: bool,
    /// Shards that have new orders.
    shards_with_new_orders: BTreeSet<String>,
}

impl Round<'_> {
    fn age_s(&self, entry: &JobEntry) -> Seconds {
        self.wall_clock_ms.saturating_sub(entry.accepted_at_ms) as f64 / 1000.0
    }
}

/// A job in the order in which jobs are assigned.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RankedJob {
    stage: Stage,
    priority: Priority,
    urgency: Urgency,
    id: JobId,
}

/// What comes before priority in the order of jobs, the most pressing first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    HighestPriority,
    /// Not begun for long. Large jobs come late in every order: whatever is said
    /// against it, a job begins while users still wait for it.
    Unbegun,
    Guaranteed,
    Borrowed,
}

fn stage(id: &JobId, entry: &JobEntry, guaranteed: bool, round: &Round) -> Stage {
    let begun = !entry.assigned.is_empty()
        || !entry.unreconciled.is_empty()
        || round
            .cache
            .jobs
            .get(id)
            .is_some_and(|job| !job.finished.is_empty());
    match entry.spec.priority {
        Priority::Prod => Stage::HighestPriority,
        _ if !begun && round.age_s(entry) > UNBEGUN_AFTER_S => Stage::Unbegun,
        _ if guaranteed => Stage::Guaranteed,
        _ => Stage::Borrowed,
    }
}
