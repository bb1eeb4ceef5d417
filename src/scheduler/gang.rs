//! Gangs: jobs whose tasks run all together or not at all. Only the leader
//! assigns them: every task at once, all under one attempt number.
//!
//! An attempt gathers, runs and is over. While it gathers, a task that its shard
//! could not start is replaced under the same attempt. Whatever else becomes of
//! one task ends the attempt: all others are stopped, and the next attempt
//! begins when every task of this one is proven to be nowhere.

use super::placement::FreeTasks;
use super::{JobEntry, Leader, ShardAssignment};
use crate::clock::Seconds;
use crate::scheduler::capacity::{FreeCapacity, ZoneAllowance, ZoneCount};
use crate::shard::TaskPhase;
use crate::store::cache::StoreCache;
use crate::wire::{JobId, JobKind, MachineId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// The share of the time that tasks wait for each other after which an attempt
/// that isn't complete gives its room back.
const INCOMPLETE_SHARE: f64 = 1.0 / 3.0;

/// For how many report intervals a machine may have been silent to count as
/// one that a stop reaches at once.
const REACHED_REPORTS: f64 = 1.3;

/// The present attempt of a gang.
#[derive(Debug, Clone)]
pub(super) struct Attempt {
    /// Shared by all tasks, never used for another attempt.
    pub(super) number: u64,
    since: Seconds,
    /// Some task has been seen to run.
    started: bool,
    /// Some task was lost after it may have had its image: the attempt may
    /// have run, and can't any more.
    broken: bool,
    /// Where some task was has not been known for a while: if it turns out to
    /// be nowhere, it may have been lost like that.
    unreconciled: bool,
}

impl Attempt {
    /// An attempt that begins.
    pub(super) fn new(number: u64, now: Seconds) -> Attempt {
        Attempt {
            number,
            since: now,
            started: false,
            broken: false,
            unreconciled: false,
        }
    }

    /// Records that some task may be anywhere.
    pub(super) fn mark_unreconciled(&mut self) {
        self.unreconciled = true;
    }

    /// Records that a task left its machine, other than by being refused.
    pub(super) fn mark_broken(&mut self) {
        self.broken = true;
    }
}

/// What is to be done about a gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// Nothing: it gathers, runs or ends. What it lacks may be assigned.
    KeepGoing,
    /// The attempt is over: all its tasks are to be stopped.
    Withdraw,
}

impl JobEntry {
    /// Whether the tasks that a gang lacks may be assigned now, of which `free`
    /// are within the team's limit.
    pub(super) fn gang_may_start(&self, free: usize) -> bool {
        // Where the team's limit leaves room for some only, or some may be
        // anywhere yet, none starts.
        let whole = self.assigned.len() + free == self.spec.task_count as usize;
        // A shard is told how many tasks a zone may take of all that it hasn't listed.
        whole && !self.withdrawing && self.unacknowledged.is_empty()
    }

    /// The attempt number for a task of a gang that is assigned now.
    pub(super) fn gang_attempt(&mut self, new_number: u64, now: Seconds) -> u64 {
        self.attempt
            .get_or_insert_with(|| Attempt::new(new_number, now))
            .number
    }

    /// Takes the attempt from what shards hold, after a change of leader.
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

    /// What is to be done about the attempt now.
    fn next_step(&mut self, gang_wait_s: Seconds, now: Seconds) -> Step {
        self.adopt_attempt(now);
        let complete = self.assigned.len() == self.spec.task_count as usize;
        let Some(attempt) = self.attempt.as_mut() else {
            return Step::KeepGoing;
        };
        let runs = |phase: TaskPhase| {
            matches!(
                phase,
                TaskPhase::Running | TaskPhase::Saving | TaskPhase::Done
            )
        };
        attempt.started |= self
            .assigned
            .values()
            .any(|assignment| runs(assignment.phase));
        let mixed = self
            .assigned
            .values()
            .any(|assignment| assignment.numbers.attempt != attempt.number);
        let waits_too_long = now - attempt.since > gang_wait_s * INCOMPLETE_SHARE;
        let over = attempt.started || attempt.unreconciled || waits_too_long;
        if attempt.broken || mixed || over && !complete {
            Step::Withdraw
        } else {
            Step::KeepGoing
        }
    }
}

impl Leader {
    /// Updates all gangs: withdraws attempts that can't run any more and
    /// those whose machine is about to be taken. Returns the shards that have
    /// new orders: a stop must reach all tasks within `gang_peer_s`.
    pub(super) fn update_gangs(&mut self, cache: &StoreCache, now: Seconds) -> BTreeSet<String> {
        let mut shards_with_new_orders = BTreeSet::new();
        let to_be_taken = self.gangs_to_be_taken(now);
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
            let live = cache.jobs.get(id).is_some_and(|job| job.live());
            if !live
                || !entry.unreconciled.is_empty()
                || !entry.completed.is_empty()
                || entry.withdrawing
            {
                continue;
            }
            let step = entry.next_step(gang_wait_s, now);
            if step == Step::Withdraw || to_be_taken.contains(id) {
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

    /// Gangs with a task on a machine that will be taken before they end, all of
    /// whose machines a stop reaches now: they save together. Of the others the
    /// progress since their last checkpoint is lost with the machine.
    fn gangs_to_be_taken(&self, now: Seconds) -> BTreeSet<JobId> {
        let noticed: BTreeSet<&MachineId> = self
            .machines()
            .filter(|machine| machine.reclaim_notice)
            .map(|machine| &machine.id)
            .collect();
        if noticed.is_empty() {
            return BTreeSet::new();
        }
        let silent = self.policy.report_s * REACHED_REPORTS;
        let reached: BTreeSet<&MachineId> = self
            .machines_at(now)
            .filter(|machine| machine.reconciled && machine.silent_s < silent)
            .map(|machine| &machine.view.id)
            .collect();
        let on = |entry: &JobEntry, machines: &BTreeSet<&MachineId>| {
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
        let saves = |entry: &JobEntry| {
            entry.spec.checkpoint_s > 0.0 || !entry.attempt.as_ref().is_some_and(|a| a.started)
        };
        let gangs = self.jobs.iter().filter(|(_, entry)| {
            entry.spec.job_kind == JobKind::Gang && !entry.assigned.is_empty()
        });
        gangs
            .filter(|(_, entry)| saves(entry))
            .filter(|(_, entry)| {
                on(entry, &noticed) > 0 && on(entry, &reached) == entry.assigned.len()
            })
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Assigns every free task of a gang, or none. With `keeps_room`, room that
    /// isn't enough yet is kept from the jobs that come after it in this round:
    /// taken by smaller ones as it comes free, it would never be enough.
    pub(super) fn assign_gang(
        &mut self,
        tasks: FreeTasks,
        capacity: &mut FreeCapacity,
        cache: &StoreCache,
        keeps_room: bool,
    ) -> Vec<ShardAssignment> {
        let Some(entry) = self.jobs.get(tasks.job) else {
            return Vec::new();
        };
        let one_zone = entry.spec.one_zone;
        let Some(allowances) = self.zone_allowances(entry, capacity, cache) else {
            return Vec::new();
        };
        let count = tasks.indexes.len();
        let room = capacity.count_by_zone(tasks.request);
        let Some(zones) = zones_for(count as u32, &allowances, &room, one_zone) else {
            let zones = if one_zone {
                roomiest(&allowances, &room)
            } else {
                allowances
            };
            if keeps_room {
                capacity.take_in_zones(tasks.request, &zones, count as u32);
            }
            return Vec::new();
        };
        let slots = capacity.try_place(tasks.request, count, None, &zones, false);
        if slots.len() < count {
            return Vec::new();
        }
        self.spread_over_shards(tasks, &slots, capacity)
    }

    /// Whether gangs are assigned: not while a controller of a version without
    /// them may lead or own machines.
    pub fn allow_gangs(&mut self, allowed: bool) {
        self.gangs_allowed = allowed;
    }
}

/// The zones that take `count` tasks of a gang; none if they have not the room.
///
/// Of a gang for one zone it is a single one: where the most tasks find their
/// image, then the one with the least room. This looks once at each
/// machine. A large gang that waits would else be placed in vain, task by task, in
/// every round, and hold up all else.
fn zones_for(
    count: u32,
    allowances: &[ZoneAllowance],
    room: &BTreeMap<u32, ZoneCount>,
    one_zone: bool,
) -> Option<Vec<ZoneAllowance>> {
    if !one_zone {
        let total = allowances
            .iter()
            .map(|allowance| tasks_in(allowance, room))
            .fold(0, u32::saturating_add);
        return (total >= count).then(|| allowances.to_vec());
    }
    let fitting = allowances
        .iter()
        .filter(|allowance| tasks_in(allowance, room) >= count);
    let best = fitting.max_by_key(|allowance| {
        let zone = room.get(&allowance.zone).copied().unwrap_or_default();
        (
            zone.with_image.min(count),
            Reverse(zone.tasks),
            Reverse(allowance.zone),
        )
    });
    best.map(|allowance| vec![*allowance])
}

/// The zone that has room for the most tasks.
fn roomiest(allowances: &[ZoneAllowance], room: &BTreeMap<u32, ZoneCount>) -> Vec<ZoneAllowance> {
    allowances
        .iter()
        .max_by_key(|allowance| tasks_in(allowance, room))
        .copied()
        .into_iter()
        .collect()
}

/// How many tasks a zone has room for and may take.
fn tasks_in(allowance: &ZoneAllowance, room: &BTreeMap<u32, ZoneCount>) -> u32 {
    room.get(&allowance.zone)
        .map_or(0, |zone| zone.tasks.min(allowance.tasks))
}
