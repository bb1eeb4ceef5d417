//! Gangs: jobs whose tasks run all together or not at all. Only the leader assigns them:
//! all tasks at once, under one attempt number.
//!
//! An attempt first waits until all of its tasks have started, and then runs until it ends.
//! Before it runs, a task that its shard or worker rejected is assigned again under the
//! same attempt. If a task is removed for any other reason, the attempt ends: all its
//! other tasks are stopped, and the next attempt begins once every task of this one is
//! confirmed to have stopped.

use super::placement::UnassignedTasks;
use super::{JobEntry, Leader, ShardAssignment};
use crate::clock::Seconds;
use crate::scheduler::capacity::{FreeCapacity, ZoneAllowance, ZoneCount};
use crate::shard::TaskPhase;
use crate::store::cache::StoreCache;
use crate::wire::{JobId, JobKind, MachineId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// After this share of the time that tasks wait for each other, an attempt with unassigned
/// tasks is withdrawn and its capacity released.
const INCOMPLETE_ATTEMPT_SHARE: f64 = 1.0 / 3.0;

/// A machine that has been silent for fewer report intervals than this counts as reachable:
/// a stop is expected to arrive there at once.
const REACHABLE_REPORTS: f64 = 1.3;

/// The current attempt of a gang. Its `Debug` form is logged, with the names of its fields.
#[derive(Debug, Clone)]
pub(super) struct Attempt {
    /// Shared by all tasks of the attempt, and never used for another attempt.
    pub(super) number: u64,
    /// When its first task was assigned.
    since: Seconds,
    /// Whether a task has been reported as running, saving or done.
    started: bool,
    /// Whether a task was removed for a reason other than a rejection: the attempt may
    /// already have been running, and can no longer complete.
    broken: bool,
    /// Whether the location of a task has been unknown at some time. If the task turns out to
    /// run on no machine, the attempt may already have been running when the task was lost.
    unreconciled: bool,
}

impl Attempt {
    /// Creates an attempt whose first task is assigned now.
    pub(super) fn new(number: u64, now: Seconds) -> Attempt {
        Attempt {
            number,
            since: now,
            started: false,
            broken: false,
            unreconciled: false,
        }
    }

    /// Records that the location of a task is unknown.
    pub(super) fn mark_unreconciled(&mut self) {
        self.unreconciled = true;
    }

    /// Records that a task was removed from its shard for a reason other than a rejection.
    pub(super) fn mark_broken(&mut self) {
        self.broken = true;
    }
}

/// What to do about a gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GangAction {
    /// Leave the gang alone; unassigned tasks may be assigned.
    Continue,
    /// Withdraw the attempt: stop all of its tasks.
    Withdraw,
}

impl JobEntry {
    /// Whether the unassigned tasks of a gang may be assigned now; `unassigned` of them are
    /// within its team's limit.
    pub(super) fn can_assign_gang(&self, unassigned: usize) -> bool {
        // None is assigned if the team's limit allows only some, or if some are
        // unreconciled.
        let all_assignable = self.assigned.len() + unassigned == self.spec.task_count as usize;
        // The allowances that a shard is sent apply to all tasks that it has not
        // acknowledged, so all of these must come from one round.
        all_assignable && !self.withdrawing && self.unacknowledged.is_empty()
    }

    /// The attempt number for a task that is assigned now; `new_number` if it is the first
    /// of its attempt.
    pub(super) fn gang_attempt(&mut self, new_number: u64, now: Seconds) -> u64 {
        self.attempt
            .get_or_insert_with(|| Attempt::new(new_number, now))
            .number
    }

    /// After a change of the leader, takes the attempt number from the assignments that
    /// shards reported.
    fn adopt_attempt(&mut self, now: Seconds) {
        if self.attempt.is_none() {
            let number = self
                .assigned
                .values()
                .map(|assignment| assignment.numbers.attempt)
                .max();
            self.attempt = number.map(|number| Attempt {
                unreconciled: true,
                ..Attempt::new(number, now)
            });
        }
    }

    /// Decides what to do about the attempt now.
    fn next_action(&mut self, gang_wait_s: Seconds, now: Seconds) -> GangAction {
        self.adopt_attempt(now);
        let complete = self.assigned.len() == self.spec.task_count as usize;
        let Some(attempt) = self.attempt.as_mut() else {
            return GangAction::Continue;
        };
        let has_run = |phase: TaskPhase| {
            matches!(
                phase,
                TaskPhase::Running | TaskPhase::Saving | TaskPhase::Done
            )
        };
        attempt.started |= self
            .assigned
            .values()
            .any(|assignment| has_run(assignment.phase));
        let has_mixed_attempts = self
            .assigned
            .values()
            .any(|assignment| assignment.numbers.attempt != attempt.number);
        let waits_too_long = now - attempt.since > gang_wait_s * INCOMPLETE_ATTEMPT_SHARE;
        let over = attempt.started || attempt.unreconciled || waits_too_long;
        if attempt.broken || has_mixed_attempts || over && !complete {
            GangAction::Withdraw
        } else {
            GangAction::Continue
        }
    }
}

impl Leader {
    /// Updates all gangs: withdraws attempts that can no longer run and those with a
    /// machine that is about to be reclaimed. Returns the shards that have new orders,
    /// since a stop must reach all tasks within `gang_peer_s`.
    pub(super) fn update_gangs(&mut self, cache: &StoreCache, now: Seconds) -> BTreeSet<String> {
        let mut shards_with_new_orders = BTreeSet::new();
        let with_reclaim_notice = self.gangs_with_reclaim_notice(now);
        let gang_wait_s = self.policy.gang_wait_s;
        let gangs = self
            .jobs
            .iter_mut()
            .filter(|(_, entry)| entry.spec.job_kind == JobKind::Gang);
        for (id, entry) in gangs {
            if entry.assigned.is_empty() {
                if entry.unreconciled.is_empty() {
                    entry.attempt = None;
                    entry.withdrawing = false;
                }
                continue;
            }
            let live = cache.jobs.get(id).is_some_and(|job| job.is_live());
            if !live
                || !entry.unreconciled.is_empty()
                || !entry.completed.is_empty()
                || entry.withdrawing
            {
                continue;
            }
            let action = entry.next_action(gang_wait_s, now);
            if action == GangAction::Withdraw || with_reclaim_notice.contains(id) {
                tracing::info!(job = %id, attempt = ?entry.attempt, assigned = entry.assigned.len(), "gang attempt withdrawn");
                entry.withdrawing = true;
                shards_with_new_orders.extend(
                    entry
                        .assigned
                        .values()
                        .map(|assignment| assignment.shard.to_string()),
                );
            }
        }
        shards_with_new_orders
    }

    /// Gangs with a task on a machine that the cloud will reclaim before they end, if a
    /// stop reaches all of their machines now, so that they save a checkpoint together. The
    /// other gangs lose their progress since the last checkpoint with the machine.
    fn gangs_with_reclaim_notice(&self, now: Seconds) -> BTreeSet<JobId> {
        let machines_with_notice: BTreeSet<&MachineId> = self
            .machines()
            .filter(|machine| machine.reclaim_notice)
            .map(|machine| &machine.id)
            .collect();
        if machines_with_notice.is_empty() {
            return BTreeSet::new();
        }
        let max_silent_s = self.policy.report_s * REACHABLE_REPORTS;
        let reachable: BTreeSet<&MachineId> = self
            .machines_at(now)
            .filter(|machine| machine.reconciled && machine.silent_s < max_silent_s)
            .map(|machine| &machine.status.id)
            .collect();
        let count_on = |entry: &JobEntry, machines: &BTreeSet<&MachineId>| {
            entry
                .assigned
                .values()
                .filter(|assignment| {
                    assignment
                        .machine
                        .as_ref()
                        .is_some_and(|machine| machines.contains(machine))
                })
                .count()
        };
        let loses_no_progress = |entry: &JobEntry| {
            entry.spec.checkpoint_s > 0.0
                || !entry
                    .attempt
                    .as_ref()
                    .is_some_and(|attempt| attempt.started)
        };
        let gangs = self.jobs.iter().filter(|(_, entry)| {
            entry.spec.job_kind == JobKind::Gang && !entry.assigned.is_empty()
        });
        gangs
            .filter(|(_, entry)| loses_no_progress(entry))
            .filter(|(_, entry)| {
                count_on(entry, &machines_with_notice) > 0
                    && count_on(entry, &reachable) == entry.assigned.len()
            })
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Assigns every unassigned task of a gang, or none. With `reserves_capacity`, capacity
    /// that is not sufficient yet is withheld from the jobs that come later in this round:
    /// if smaller jobs took it whenever it becomes free, it would never be sufficient.
    pub(super) fn assign_gang(
        &mut self,
        tasks: UnassignedTasks,
        capacity: &mut FreeCapacity,
        cache: &StoreCache,
        reserves_capacity: bool,
    ) -> Vec<ShardAssignment> {
        let Some(entry) = self.jobs.get(tasks.job) else {
            return Vec::new();
        };
        let one_zone = entry.spec.one_zone;
        let Some(allowances) = self.zone_allowances(entry, capacity, cache) else {
            return Vec::new();
        };
        let count = tasks.indexes.len();
        let capacity_by_zone = capacity.count_by_zone(tasks.request);
        let Some(zones) = select_zones(count as u32, &allowances, &capacity_by_zone, one_zone)
        else {
            let zones = if one_zone {
                zone_with_most_capacity(&allowances, &capacity_by_zone)
            } else {
                allowances
            };
            if reserves_capacity {
                capacity.allocate_in_zones(tasks.request, &zones, count as u32);
            }
            return Vec::new();
        };
        let slots = capacity.try_place(tasks.request, count, None, &zones, false);
        if slots.len() < count {
            return Vec::new();
        }
        self.spread_over_shards(tasks, &slots, capacity)
    }

    /// Sets whether gangs are assigned. They are not while a controller of a version
    /// without gangs may lead or own machines.
    pub fn set_gangs_allowed(&mut self, allowed: bool) {
        self.gangs_allowed = allowed;
    }
}

/// Selects the zones that take `count` tasks of a gang; `None` if they lack the capacity.
///
/// For a gang that must run in one zone this is a single zone: the one with the most
/// capacity on machines with a cached image, and of several the one with the least
/// capacity. Counting capacity looks at each machine once. Trying to place a large waiting
/// gang task by task in every round, without success, would delay all other jobs.
fn select_zones(
    count: u32,
    allowances: &[ZoneAllowance],
    capacity_by_zone: &BTreeMap<u32, ZoneCount>,
    one_zone: bool,
) -> Option<Vec<ZoneAllowance>> {
    if !one_zone {
        let total = allowances
            .iter()
            .map(|allowance| placeable_tasks(allowance, capacity_by_zone))
            .fold(0, u32::saturating_add);
        return (total >= count).then(|| allowances.to_vec());
    }
    let fitting = allowances
        .iter()
        .filter(|allowance| placeable_tasks(allowance, capacity_by_zone) >= count);
    let best = fitting.max_by_key(|allowance| {
        let zone = capacity_by_zone
            .get(&allowance.zone)
            .copied()
            .unwrap_or_default();
        (
            zone.with_image.min(count),
            Reverse(zone.tasks),
            Reverse(allowance.zone),
        )
    });
    best.map(|allowance| vec![*allowance])
}

/// The zone with capacity for the most tasks.
fn zone_with_most_capacity(
    allowances: &[ZoneAllowance],
    capacity_by_zone: &BTreeMap<u32, ZoneCount>,
) -> Vec<ZoneAllowance> {
    allowances
        .iter()
        .max_by_key(|allowance| placeable_tasks(allowance, capacity_by_zone))
        .copied()
        .into_iter()
        .collect()
}

/// How many tasks a zone has capacity for within its allowance.
fn placeable_tasks(allowance: &ZoneAllowance, capacity_by_zone: &BTreeMap<u32, ZoneCount>) -> u32 {
    capacity_by_zone
        .get(&allowance.zone)
        .map_or(0, |zone| zone.tasks.min(allowance.tasks))
}
