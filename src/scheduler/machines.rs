//! The machines of all shards, as described by the shards' latest reports.

use super::Leader;
use crate::clock::Seconds;
use crate::cluster::failure_detection::ZoneContactAges;
use crate::scheduler::capacity::MachineSlot;
use crate::shard::{MachineStatus, SilentMachine, TaskPhase};
use crate::store::cache::StoreCache;
use crate::wire::MachineId;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

/// A machine as its shard last reported it.
#[derive(Debug)]
pub struct TrackedMachine {
    /// The status in the report.
    pub status: MachineStatus,
    /// The status in the form that placement uses.
    pub(super) slot: MachineSlot,
    /// Since when no task has been assigned to it, or since when it has been schedulable
    /// again.
    pub(super) idle_since: Seconds,
}

/// The status of a machine at a point in time, with durations. Reports list the durations
/// separately, so that an unchanged machine need not be reported again.
#[derive(Debug, Clone, Copy)]
pub struct MachineSnapshot<'a> {
    /// What its shard last reported.
    pub status: &'a MachineStatus,
    /// Seconds since its last heartbeat; 0 if it is not silent.
    pub silent_s: f64,
    /// For how many seconds it has not responded to commands while other machines of its
    /// zone were reachable; `None` if it has not failed to respond.
    pub unanswered_s: Option<f64>,
    /// For how many seconds it has had no task; 0 if it has one.
    pub idle_s: f64,
    /// Its owner's direct contact with its zone. Reports that another controller relayed do
    /// not count as contact.
    pub zone_contact: Option<ZoneContactAges>,
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
    /// The incarnation of the controller that owns the shard.
    pub(super) incarnation: u64,
    /// The number of the latest report that was applied.
    pub(super) seq: u64,
    /// The machines that the shard owns.
    pub(super) machines: BTreeMap<MachineId, TrackedMachine>,
    /// The machines that have sent no heartbeat for a while.
    pub(super) silent_machines: HashMap<MachineId, SilentMachine>,
    /// The owner's direct contact with each zone.
    pub(super) zone_contacts: HashMap<Arc<str>, ZoneContactAges>,
    /// Machines of other shards whose workers reported here, and how many seconds before
    /// the report.
    pub(super) foreign_workers: HashMap<MachineId, f64>,
    /// The number of the latest orders that were made.
    pub(super) orders_seq: u64,
    /// When the latest report was applied.
    pub(super) last_report_at: Seconds,
}

impl ShardView {
    /// Creates the view of a shard that has not reported yet.
    pub(super) fn new(incarnation: u64, now: Seconds) -> ShardView {
        ShardView {
            incarnation,
            seq: 0,
            machines: BTreeMap::new(),
            silent_machines: HashMap::new(),
            zone_contacts: HashMap::new(),
            foreign_workers: HashMap::new(),
            orders_seq: 0,
            last_report_at: now,
        }
    }

    /// Replaces the set of silent machines.
    pub(super) fn set_silent_machines(&mut self, silent: Vec<SilentMachine>) {
        self.silent_machines = silent
            .into_iter()
            .map(|machine| (machine.id.clone(), machine))
            .collect();
    }
}

impl Leader {
    /// The machines of all shards, as of `now`. A shard reports only machines that it owns
    /// in this epoch.
    pub fn machines_at(&self, now: Seconds) -> impl Iterator<Item = MachineSnapshot<'_>> {
        self.shards.values().flat_map(move |shard| {
            shard.machines.values().map(move |machine| {
                let silent = shard.silent_machines.get(&machine.status.id);
                let report_age_s = now - shard.last_report_at;
                MachineSnapshot {
                    status: &machine.status,
                    silent_s: silent.map_or(0.0, |machine| machine.silent_s + report_age_s),
                    unanswered_s: silent
                        .and_then(|machine| machine.unanswered_s)
                        .map(|unanswered_s| unanswered_s + report_age_s),
                    idle_s: if machine.status.tasks == 0 {
                        now - machine.idle_since
                    } else {
                        0.0
                    },
                    zone_contact: shard
                        .zone_contacts
                        .get(&machine.status.zone)
                        .map(|contact| ZoneContactAges {
                            began_ago_s: contact.began_ago_s + report_age_s,
                            last_ago_s: contact.last_ago_s + report_age_s,
                        }),
                }
            })
        })
    }

    /// Whether exactly one shard reports a machine. During a transfer two may, and the last
    /// report of the source may contradict that of the target.
    pub fn has_one_owner(&self, id: &MachineId) -> bool {
        self.shards
            .values()
            .filter(|shard| shard.machines.contains_key(id))
            .count()
            == 1
    }

    /// The machines of all shards, as last reported.
    pub fn machines(&self) -> impl Iterator<Item = &MachineStatus> {
        self.shards
            .values()
            .flat_map(|shard| shard.machines.values().map(|machine| &machine.status))
    }

    /// Machines whose workers have reported to a controller other than their owner within
    /// the last `max_age_s` seconds: they may be silent only from the point of view of
    /// their owners.
    pub fn machines_seen_by_other_shards(&self, max_age_s: Seconds) -> HashSet<&MachineId> {
        let all = self
            .shards
            .values()
            .flat_map(|shard| shard.foreign_workers.iter());
        all.filter(|(_, &age_s)| age_s < max_age_s)
            .map(|(id, _)| id)
            .collect()
    }

    /// Whether at least two and at least a quarter of the machines of the shard that owns
    /// `id` ignore commands. If so, the owner's replies arrive too late, and the machines are
    /// not at fault.
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

    /// For how many seconds a shard has not reported; `None` if it has not reported in this
    /// epoch.
    pub fn shard_silence(&self, node: &str, now: Seconds) -> Option<Seconds> {
        self.shards
            .get(node)
            .map(|shard| now - shard.last_report_at)
    }

    /// Machines that may still run tasks of jobs cancelled more than `after_s` seconds ago:
    /// stops were sent to them, and none is confirmed.
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
