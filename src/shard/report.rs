//! Reports to the leader, each with all changes since the last one that it acknowledged.

use super::machine::Machine;
use super::{MachineStatus, Shard, ShardReport, SilentMachine, LATE_AFTER_INTERVALS};
use crate::clock::Seconds;
use crate::cluster::failure_detection::{ZoneContactAges, ZoneContactSpan};
use crate::store::cache::StoreCache;
use crate::wire::{MachineId, Priority, Resources};
use finchwood_types::message_size::longest_task_report_bytes;
use std::sync::Arc;

/// Returns resources as they are reported to the leader.
fn without_report_bytes(resources: Resources) -> Resources {
    Resources {
        report_bytes: 0.0,
        ..resources
    }
}

/// Returns the free capacity of a machine as it is reported to the leader: none if the report of
/// the machine's worker may have no space for another task.
fn reported_free(free: Resources) -> Resources {
    if free.report_bytes < longest_task_report_bytes() as f64 {
        return Resources::default();
    }
    without_report_bytes(free)
}

impl Shard {
    /// Returns the status of a machine for the report.
    pub(super) fn machine_status(
        &self,
        id: &MachineId,
        machine: &Machine,
        cache: &StoreCache,
        now: Seconds,
    ) -> MachineStatus {
        let (preemptible, preemptible_low) = self.preemptible_resources(id, cache, now);
        let free = self.free_resources(id, machine, cache);
        let mut images: Vec<Arc<str>> = machine
            .contents
            .images
            .iter()
            .map(|image| image.0.clone())
            .collect();
        images.sort();
        MachineStatus {
            id: id.clone(),
            machine_type: machine.identity.machine_type.clone(),
            zone: machine.identity.zone.clone(),
            spot: machine.identity.spot,
            reconciled: machine.is_reconciled(),
            has_reported: machine.session.last_heartbeat_at.is_some(),
            registered: machine.registered,
            address: machine.identity.address.clone(),
            free: reported_free(free),
            preemptible: without_report_bytes(preemptible),
            preemptible_low: without_report_bytes(preemptible_low),
            schedulable: self.is_schedulable(machine, now) && !self.transfers.is_fenced(id),
            reclaim_notice: machine.reclaim_at.is_some(),
            faulty: machine.is_faulty(),
            ignores_commands: machine.ignores_commands(self.timing.report_s, now)
                || machine.stopped_reporting(self.timing.report_s, now)
                || machine.token_exhausted(),
            draining: machine.draining,
            tasks: (self.assigned.count_on(id) as u32).max(machine.contents.tasks.len() as u32),
            images,
        }
    }

    /// Returns the capacity that preempting a machine's tasks would free: for production
    /// tasks, and for tasks of standard priority.
    fn preemptible_resources(
        &self,
        id: &MachineId,
        cache: &StoreCache,
        now: Seconds,
    ) -> (Resources, Resources) {
        let (mut preemptible, mut preemptible_low) = (Resources::default(), Resources::default());
        for (task, assigned) in self.assigned.on_machine(id) {
            let spec = cache
                .jobs
                .get(&task.job)
                .and_then(|job| job.record.spec.as_ref());
            let (Some(spec), Some(placement)) = (spec, assigned.placement.as_ref()) else {
                continue;
            };
            if self.is_preemptible(spec, placement, Priority::Prod, now) {
                preemptible.add(&spec.task_resources());
            }
            if self.is_preemptible(spec, placement, Priority::Standard, now) {
                preemptible_low.add(&spec.task_resources());
            }
        }
        (preemptible, preemptible_low)
    }

    /// Returns a new report, with all changes since the last one that the leader acknowledged.
    /// The caller fills in `foreign_workers`.
    pub fn next_report(&mut self, cache: &StoreCache, now: Seconds) -> ShardReport {
        self.report_seq += 1;
        self.report_due = false;
        let (seq, since) = (self.report_seq, self.acknowledged_seq);
        let machines = self.changed_machines(cache, now);
        let assigned = self.assigned.changed_since(seq, since);
        let released = self.released_tasks.iter();
        ShardReport {
            epoch: self.epoch,
            node: self.node.clone(),
            incarnation: self.incarnation,
            state_retained: self.state_retained,
            since,
            seq,
            machines,
            removed_machines: self.removed_machines.clone(),
            assigned,
            removed: self.removed_tasks.clone(),
            released: released
                .map(|released| (released.task.clone(), released.attempt, released.report_seq))
                .collect(),
            silent_machines: self.silent_machines(now),
            zone_contacts: self.zone_contact_ages(now),
            foreign_workers: Vec::new(),
            transfers: self.transfers.report(),
        }
    }

    /// Returns the machines whose status has changed since the last acknowledged report.
    fn changed_machines(&mut self, cache: &StoreCache, now: Seconds) -> Vec<MachineStatus> {
        let (seq, since) = (self.report_seq, self.acknowledged_seq);
        let mut last_reported = std::mem::take(&mut self.last_reported);
        let mut changed = Vec::new();
        for (id, machine) in &self.machines {
            let status = self.machine_status(id, machine, cache, now);
            let (reported, reported_in) = match last_reported.get_mut(id) {
                Some(last) => {
                    if last.0 != status {
                        *last = (status, seq);
                    }
                    last
                }
                None => last_reported.entry(id.clone()).or_insert((status, seq)),
            };
            if *reported_in > since {
                changed.push(reported.clone());
            }
        }
        last_reported.retain(|id, _| self.machines.contains_key(id));
        self.last_reported = last_reported;
        changed
    }

    /// Returns all machines whose heartbeat is late, or that don't respond to direct commands.
    fn silent_machines(&self, now: Seconds) -> Vec<SilentMachine> {
        let late = self.timing.report_s * LATE_AFTER_INTERVALS;
        let mut silent = Vec::new();
        for (id, machine) in &self.machines {
            let silent_s = machine.silent_for(self.epoch_started_at, now);
            let unanswered_since = machine.commands.unanswered_since;
            if silent_s > late || unanswered_since.is_some() {
                silent.push(SilentMachine {
                    id: id.clone(),
                    silent_s,
                    unanswered_s: unanswered_since.map(|since| now - since),
                });
            }
        }
        silent
    }

    /// Returns how long ago each zone was reached directly.
    fn zone_contact_ages(&self, now: Seconds) -> Vec<(Arc<str>, ZoneContactAges)> {
        let ages = |contact: &ZoneContactSpan| ZoneContactAges {
            began_ago_s: now - contact.began_at,
            last_ago_s: now - contact.last_at,
        };
        let contacts = self.zone_contacts.iter();
        contacts
            .map(|(zone, contact)| (zone.clone(), ages(contact)))
            .collect()
    }
}
