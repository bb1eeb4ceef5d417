//! The machines of all shards, as their latest reports describe them.

use super::Leader;
use crate::clock::Seconds;
use crate::cluster::failure_detection::ZoneContact;
use crate::scheduler::capacity::MachineSlot;
use crate::shard::{MachineStatus, SilentMachine, TaskPhase};
use crate::store::cache::StoreCache;
use crate::wire::MachineId;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

/// A machine as its shard last reported it.
#[derive(Debug)]
pub struct TrackedMachine {
    /// The report.
    pub status: MachineStatus,
    pub(super) slot: MachineSlot,
    /// Since when it holds nothing.
    pub(super) idle_since: Seconds,
}

/// A machine at one point in time, with how many seconds ago things were.
#[derive(Debug, Clone, Copy)]
pub struct MachineSnapshot<'a> {
    /// What its shard last reported.
    pub status: &'a MachineStatus,
    /// Since its last heartbeat; 0 if it is not silent.
    pub silent_s: f64,
    /// Since it has not answered commands, while others of its zone were reached.
    pub unanswered_s: Option<f64>,
    /// Since it holds nothing; 0 if it holds something.
    pub idle_s: f64,
    /// How its owner reaches its zone. A report that came through a third
    /// controller shows nothing of that.
    pub zone_contact: Option<ZoneContact>,
}

impl std::ops::Deref for MachineSnapshot<'_> {
    type Target = MachineStatus;
    fn deref(&self) -> &MachineStatus {
        self.status
    }
}

/// A shard as its reports describe it.
#[derive(Debug)]
pub struct ShardView {
    pub(super) incarnation: u64,
    /// The latest report that was applied.
    pub(super) seq: u64,
    pub(super) machines: BTreeMap<MachineId, TrackedMachine>,
    pub(super) silent_machines: HashMap<MachineId, SilentMachine>,
    pub(super) zone_contacts: HashMap<Arc<str>, ZoneContact>,
    pub(super) seen_elsewhere: HashMap<MachineId, f64>,
    /// The latest orders that were made.
    pub(super) orders_seq: u64,
    pub(super) last_report_at: Seconds,
}

impl ShardView {
    /// A shard that has only just come.
    pub(super) fn new(incarnation: u64, now: Seconds) -> ShardView {
        ShardView {
            incarnation,
            seq: 0,
            machines: BTreeMap::new(),
            silent_machines: HashMap::new(),
            zone_contacts: HashMap::new(),
            seen_elsewhere: HashMap::new(),
            orders_seq: 0,
            last_report_at: now,
        }
    }

    /// Replaces the machines that are silent now.
    pub(super) fn set_silent_machines(&mut self, silent: Vec<SilentMachine>) {
        self.silent_machines = silent
            .into_iter()
            .map(|machine| (machine.id.clone(), machine))
            .collect();
    }
}

impl Leader {
    /// Every machine that some shard reports, as of `now`. A shard tells only
    /// of machines that are its own in this epoch.
    pub fn machines_at(&self, now: Seconds) -> impl Iterator<Item = MachineSnapshot<'_>> {
        self.shards.values().flat_map(move |shard| {
            shard.machines.values().map(move |machine| {
                let silent = shard.silent_machines.get(&machine.status.id);
                let age = now - shard.last_report_at;
                MachineSnapshot {
                    status: &machine.status,
                    silent_s: silent.map_or(0.0, |q| q.silent_s + age),
                    unanswered_s: silent.and_then(|q| q.unanswered_s).map(|d| d + age),
                    idle_s: if machine.status.tasks == 0 {
                        now - machine.idle_since
                    } else {
                        0.0
                    },
                    zone_contact: shard.zone_contacts.get(&machine.status.zone).map(|r| {
                        ZoneContact {
                            began_ago_s: r.began_ago_s + age,
                            last_ago_s: r.last_ago_s + age,
                        }
                    }),
                }
            })
        })
    }

    /// Whether a single shard reports a machine. For a moment of a transfer two do, and
    /// the source's last report may contradict the target's.
    pub fn has_one_owner(&self, id: &MachineId) -> bool {
        self.shards
            .values()
            .filter(|shard| shard.machines.contains_key(id))
            .count()
            == 1
    }

    /// Every machine that some shard reports.
    pub fn machines(&self) -> impl Iterator<Item = &MachineStatus> {
        self.shards
            .values()
            .flat_map(|shard| shard.machines.values().map(|machine| &machine.status))
    }

    /// Machines that may be silent for their owners only: their workers have reported to
    /// some other controller within the last `age` seconds.
    pub fn machines_seen_by_other_shards(&self, age: Seconds) -> HashSet<&MachineId> {
        let all = self
            .shards
            .values()
            .flat_map(|shard| shard.seen_elsewhere.iter());
        all.filter(|(_, &a)| a < age).map(|(id, _)| id).collect()
    }

    /// Whether a quarter of the machines of this one's owner ignore commands: then the
    /// owner's answers come too late, and the machines are not at fault.
    pub fn owner_responds_late(&self, id: &MachineId) -> bool {
        self.shards
            .values()
            .find(|shard| shard.machines.contains_key(id))
            .is_some_and(|shard| {
                let ignores_commands = shard
                    .machines
                    .values()
                    .filter(|machine| machine.status.ignores_commands)
                    .count();
                ignores_commands >= 2 && ignores_commands * 4 >= shard.machines.len()
            })
    }

    /// For how many seconds a shard has not reported.
    pub fn shard_silence(&self, node: &str, now: Seconds) -> Option<Seconds> {
        self.shards
            .get(node)
            .map(|shard| now - shard.last_report_at)
    }

    /// Machines that may still run tasks of jobs cancelled more than `after_s` ago:
    /// stops were sent there, and none is proven to have been carried out.
    pub fn machines_with_cancelled_tasks(
        &self,
        cache: &StoreCache,
        wall_clock_ms: u64,
        after_s: Seconds,
    ) -> BTreeSet<MachineId> {
        let mut machines = BTreeSet::new();
        for (id, entry) in &self.jobs {
            let Some(job) = cache.jobs.get(id).filter(|job| job.record.cancelled) else {
                continue;
            };
            let cancelled_at_ms = job.record.cancelled_at_ms.unwrap_or(wall_clock_ms);
            if wall_clock_ms.saturating_sub(cancelled_at_ms) as f64 / 1000.0 > after_s {
                let unfinished = entry
                    .assigned
                    .values()
                    .filter(|assigned| assigned.phase != TaskPhase::Done);
                machines.extend(unfinished.filter_map(|assigned| assigned.machine.clone()));
            }
        }
        machines
    }
}
