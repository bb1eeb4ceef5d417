//! One round of assignment: which jobs come first, and what each may take.

use super::placement::{assign_array, assign_whole};
use super::urgency::urgency;
use super::{Assignment, JobEntry, Leader, TaskAssignment};
use crate::autoscaler::PendingDemand;
use crate::clock::{self, Seconds};
use crate::scheduler::bin_packing;
use crate::scheduler::capacity::{FreeCapacity, PlacementRequest, Preempts};
use crate::shard::TaskPhase;
use crate::store::cache::{CachedJob, StoreCache};
use crate::wire::{JobId, JobKind, Priority, Resources, BEGIN_WITHIN_S};
use finchwood_types::token;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;

impl Leader {
    pub(super) fn used(&self) -> HashMap<Arc<str>, Resources> {
        let mut used: HashMap<Arc<str>, Resources> = HashMap::new();
        for entry in self.jobs.values() {
            let n = f64::from(entry.assigned.len() as u32 + entry.unreconciled.len());
            let u = used.entry(entry.spec.team.clone()).or_default();
            u.cpus += n * entry.spec.cpus;
            u.gpus += n * entry.spec.gpus;
        }
        used
    }

    /// Free room of every open machine, less what is assigned and not placed.
    pub(super) fn capacity(&self, wall_clock_ms: u64) -> FreeCapacity {
        let open = self
            .shards
            .values()
            .flat_map(|shard| shard.machines.values());
        let open = open.filter(|machine| {
            machine.view.schedulable
                && !self.draining.contains(&machine.view.id)
                && !self.faulty.contains(&machine.view.id)
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
                        Preempts::AllLowerWork => Preempts::Nothing,
                        others => others,
                    };
                    PlacementRequest::new(&entry.spec, &self.names, Vec::new(), false, preempts)
                });
                if let Some(slot) =
                    capacity.best(request, self.names.lookup(&assignment.shard), None)
                {
                    capacity.take(slot, &request.ask);
                }
            }
        }
        capacity
    }

    /// Jobs that fit their team's guarantee together with the team's earlier
    /// unfinished jobs: they need not wait for what others borrow.
    pub(super) fn guaranteed(&self, cache: &StoreCache) -> HashSet<JobId> {
        let mut by_age: Vec<(u64, &JobId, &JobEntry)> = self
            .jobs
            .iter()
            .map(|(id, entry)| (entry.accepted_at_ms, id, entry))
            .collect();
        by_age.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)));
        let mut used: HashMap<&str, Resources> = HashMap::new();
        let mut out = HashSet::new();
        for (_, id, entry) in by_age {
            let Some(team) = self.teams.get(&entry.spec.team) else {
                continue;
            };
            let Some(job) = cache.jobs.get(id).filter(|j| j.live()) else {
                continue;
            };
            let left = f64::from(entry.spec.task_count.saturating_sub(job.finished.len()));
            let u = used.entry(&entry.spec.team).or_default();
            u.cpus += left * entry.spec.cpus;
            u.gpus += left * entry.spec.gpus;
            if u.cpus <= team.cpus && u.gpus <= team.gpus {
                out.insert(id.clone());
            }
        }
        out
    }

    /// One round of assignment: as many free tasks as fit, in order of priority and
    /// age, until `more` says that the time is over; the next round goes on
    /// from there. Returns the shards that have new orders.
    pub fn assign_tasks(
        &mut self,
        cache: &StoreCache,
        now: Seconds,
        mut more: impl FnMut() -> bool,
    ) -> BTreeSet<String> {
        let shards_with_new_orders = self.update_gangs(cache, now);
        if self.shards.is_empty() {
            return shards_with_new_orders;
        }
        let (wall_clock_ms, used) = (clock::wall_clock_ms(), self.used());
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
            if !more() {
                self.resume_from = Some(id);
                break;
            }
            self.assign_job(&id, &mut round);
        }
        for w in round
            .pending_demand
            .iter()
            .filter(|w| w.spec.priority == Priority::Prod)
        {
            tracing::debug!(job = %w.spec.id, count = w.count, "no room");
        }
        self.pending_demand = round.pending_demand;
        round.shards_with_new_orders
    }

    /// Jobs that may have free tasks, the most pressing first; from where the last
    /// round stopped, if its time was over.
    fn jobs_in_order(&mut self, round: &Round) -> Vec<JobId> {
        let guaranteed = self.guaranteed(round.cache);
        let live = |id: &JobId| round.cache.jobs.get(id).is_some_and(|j| j.live());
        let may_have_free = |entry: &JobEntry| {
            !entry.failures.waits(round.now)
                && (entry.assigned.len() as u32 + entry.unreconciled.len()) < entry.spec.task_count
        };
        let waiting = self
            .jobs
            .iter()
            .filter(|(id, entry)| live(id) && may_have_free(entry));
        let mut order: Vec<(Stage, Priority, u8, i64, JobId)> = waiting
            .map(|(id, entry)| {
                let (tier, due) = urgency(
                    &entry.spec,
                    entry.accepted_at_ms,
                    round.wall_clock_ms,
                    &self.objectives,
                );
                let stage = stage(id, entry, guaranteed.contains(id), round);
                (stage, entry.spec.priority, tier, due, id.clone())
            })
            .collect();
        order.sort();
        if let Some(at) = self.resume_from.take() {
            if let Some(position) = order.iter().position(|o| o.4 == at) {
                order.rotate_left(position);
            }
        }
        order.into_iter().map(|o| o.4).collect()
    }

    /// The free tasks of a job, as many as its team's limit allows.
    fn free_tasks(&self, entry: &JobEntry, job: &CachedJob, used: &Resources) -> Vec<u32> {
        let team = self.teams.get(&entry.spec.team);
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

    /// Assigns what is free of one job; what has no room is wanted.
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
        let gang_may_not = spec.job_kind == JobKind::Gang
            && !(self.gangs_allowed && entry.gang_may_start(free.len()));
        // Guard: a number beyond the limit would be one of a later epoch.
        let numbers_left = self.attempts_used + free.len() as u64 <= self.attempt_limit;
        if free.is_empty() || gang_may_not || !numbers_left {
            return;
        }
        let age_s = round.age_s(entry);
        let request = self.request(entry, round);
        let chosen = self.choose_shards(id, &request, &free, round);
        let placed: usize = chosen.iter().map(|(_, tasks)| tasks.len()).sum();
        if placed == 0 && round.capacity.best(&request, None, None).is_none() {
            round.capacity.record_no_fit(&request);
        }
        if placed < free.len() {
            let demand = self.pending_demand_of(id, (free.len() - placed) as u32, age_s, round);
            round.pending_demand.extend(demand);
        }
        let used = round.used.entry(spec.team.clone()).or_default();
        used.cpus += placed as f64 * spec.cpus;
        used.gpus += placed as f64 * spec.gpus;
        for (shard, tasks) in chosen {
            round.shards_with_new_orders.insert(shard.to_string());
            for index in tasks {
                self.assign_task(id, index, &shard, round.now);
            }
        }
    }

    /// Teams that use more than they are guaranteed.
    fn borrowing_teams(&self, used: &HashMap<Arc<str>, Resources>) -> Vec<Arc<str>> {
        let borrows = |name: &Arc<str>, used: &Resources| {
            self.teams
                .get(name)
                .is_none_or(|team| used.cpus > team.cpus || used.gpus > team.gpus)
        };
        let mut teams: Vec<Arc<str>> = used
            .iter()
            .filter(|(name, used)| borrows(name, used))
            .map(|(name, _)| name.clone())
            .collect();
        teams.sort();
        teams
    }

    /// What is stopped for the tasks of a job that have no room. Guard: without it,
    /// guests' low arrays that run for minutes held the machines which a team's own
    /// work then waited for.
    fn preempts(&self, entry: &JobEntry, wall_clock_ms: u64) -> Preempts {
        let waited_s = wall_clock_ms.saturating_sub(entry.accepted_at_ms) as f64 / 1000.0;
        match entry.spec.priority {
            _ if self.preemption_held => Preempts::Nothing,
            Priority::Prod => Preempts::AllLowerWork,
            Priority::Urgent | Priority::Standard
                if !entry.spec.has_coupled_tasks()
                    && waited_s > self.report_s * PREEMPTS_AFTER_REPORTS =>
            {
                Preempts::BorrowingLowWork
            }
            Priority::Urgent | Priority::Standard | Priority::Low => Preempts::Nothing,
        }
    }

    /// What to rent for `count` tasks of a job that have no room. Guard: for low work
    /// that nobody has an aim for and that its team only borrows room for, no
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
            && !self.classes_with_objectives.contains(&spec.class)
            && self.borrowing.contains(&spec.team);
        let is_late = stage(id, entry, false, round) == Stage::Unbegun;
        Some(PendingDemand {
            tasks_in_zone: self.zones_of(id, round.cache),
            task_resources: spec.task_resources(),
            count: if idle_work && is_late { 1 } else { count },
            spec: spec.clone(),
            age_s,
            spot_only: idle_work && !is_late,
        })
    }

    fn request(&self, entry: &JobEntry, round: &Round) -> PlacementRequest {
        let spec = &entry.spec;
        let latency_sensitive = bin_packing::is_latency_sensitive(
            spec,
            &self.start_objectives_s,
            round.cache.catalog.as_deref(),
        );
        let avoid = entry.failures.avoided().to_vec();
        let preempts = self.preempts(entry, round.wall_clock_ms);
        let request = PlacementRequest::new(spec, &self.names, avoid, latency_sensitive, preempts);
        // The start of a gang with an aim needs room at once in a single zone.
        if spec.job_kind == JobKind::Gang && self.start_objectives_s.contains_key(&spec.class) {
            request.with_reserve()
        } else {
            request
        }
    }

    /// The shards that take tasks of a job, by its shape.
    fn choose_shards(
        &mut self,
        id: &JobId,
        request: &PlacementRequest,
        free: &[u32],
        round: &mut Round,
    ) -> Assignment {
        let Some(entry) = self
            .jobs
            .get(id)
            .filter(|_| !round.capacity.known_not_to_fit(request))
        else {
            return Vec::new();
        };
        let spec = entry.spec.clone();
        if spec.job_kind == JobKind::Gang {
            // The first of those that wait; for the others its room comes later.
            let keeps_room = !round.gang_waits && round.age_s(entry) < BEGIN_WITHIN_S * 2.0;
            let chosen = self.assign_gang(
                id,
                request,
                free,
                &mut round.capacity,
                round.cache,
                keeps_room,
            );
            round.gang_waits |= chosen.is_empty() && keeps_room;
            chosen
        } else if spec.one_zone || spec.scatter {
            let chosen =
                self.assign_zone_bound(id, request, free, &mut round.capacity, round.cache);
            if spec.one_zone && spec.job_kind == JobKind::Service {
                self.consider_zone_change(
                    id,
                    request,
                    chosen.is_empty(),
                    &mut round.capacity,
                    round.now,
                );
            }
            chosen
        } else if spec.has_coupled_tasks() {
            assign_whole(request, free, &mut round.capacity, &self.names)
        } else {
            assign_array(request, free, &mut round.capacity, &self.names)
        }
    }

    /// Gives a task to a shard, under an attempt of its own or that of its gang.
    fn assign_task(&mut self, id: &JobId, index: u32, shard: &Arc<str>, now: Seconds) {
        self.attempts_used += 1;
        let assignment = token::attempt(self.epoch, self.attempts_used);
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        let attempt = match entry.spec.job_kind {
            JobKind::Gang => entry.gang_attempt(assignment, now),
            JobKind::Array | JobKind::Service => assignment,
        };
        let assigned = TaskAssignment {
            shard: shard.clone(),
            attempt,
            assignment,
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
            .is_some_and(|j| !j.finished.is_empty());
    match entry.spec.priority {
        Priority::Prod => Stage::HighestPriority,
        _ if !begun && round.age_s(entry) > BEGIN_WITHIN_S / 3.0 => Stage::Unbegun,
        _ if guaranteed => Stage::Guaranteed,
        _ => Stage::Borrowed,
    }
}
