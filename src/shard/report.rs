//! What the leader is told: all that has changed since it last took a report in.

use super::machine::Machine;
use super::{MachineStatus, Shard, ShardReport, SilentMachine, LATE_REPORTS};
use crate::clock::Seconds;
use crate::cluster::failure_detection::ZoneContact;
use crate::store::cache::StoreCache;
use crate::wire::{MachineId, Priority, Resources};
use std::sync::Arc;

impl Shard {
    /// One machine as the leader sees it.
    pub(super) fn machine_status(
        &self,
        id: &MachineId,
        m: &Machine,
        cache: &StoreCache,
        now: Seconds,
    ) -> MachineStatus {
        let (mut yielding, mut yielding_low) = (Resources::default(), Resources::default());
        for (task, h) in self.assigned.on(id) {
            let spec = cache
                .jobs
                .get(&task.job)
                .and_then(|j| j.record.spec.as_ref());
            let (Some(spec), Some(place)) = (spec, h.placement.as_ref()) else {
                continue;
            };
            if self.is_preemptible(spec, place, Priority::Prod, now) {
                yielding.add(&spec.task_resources());
            }
            if self.is_preemptible(spec, place, Priority::Standard, now) {
                yielding_low.add(&spec.task_resources());
            }
        }
        let mut images: Vec<Arc<str>> = m.contents.images.iter().map(|i| i.0.clone()).collect();
        images.sort();
        MachineStatus {
            id: id.clone(),
            machine_type: m.identity.machine_type.clone(),
            zone: m.identity.zone.clone(),
            spot: m.identity.spot,
            reconciled: m.is_reconciled(),
            has_reported: m.session.last_heartbeat_at.is_some(),
            registered: m.registered,
            address: m.identity.address.clone(),
            free: self.free_resources(id, m, cache),
            preemptible: yielding,
            preemptible_low: yielding_low,
            schedulable: self.is_schedulable(m, now) && !self.transfers.is_fenced(id),
            spot_notice: m.reclaimed_at.is_some(),
            faulty: m.is_faulty(),
            ignores_commands: m.ignores_commands(self.timing.report_s, now)
                || m.stopped_reporting(self.timing.report_s, now)
                || m.token_exhausted(),
            draining: m.draining,
            tasks: (self.assigned.count_on(id) as u32).max(m.contents.tasks.len() as u32),
            images,
        }
    }

    /// What has changed in this shard since the leader last said what it had.
    pub fn snapshot(&mut self, cache: &StoreCache, now: Seconds) -> ShardReport {
        self.report_seq += 1;
        self.report_due = false;
        let (seq, since) = (self.report_seq, self.acknowledged_seq);
        let mut told = std::mem::take(&mut self.last_reported);
        let mut machines = Vec::new();
        let mut quiet = Vec::new();
        for (id, m) in &self.machines {
            let view = self.machine_status(id, m, cache, now);
            let entry = match told.get_mut(id) {
                Some(t) => {
                    if t.0 != view {
                        *t = (view, seq);
                    }
                    t
                }
                None => told.entry(id.clone()).or_insert((view, seq)),
            };
            if entry.1 > since {
                machines.push(entry.0.clone());
            }
            let silent_s = m.silent_for(self.epoch_started_at, now);
            if silent_s > self.timing.report_s * LATE_REPORTS
                || m.commands.unanswered_since.is_some()
            {
                quiet.push(SilentMachine {
                    id: id.clone(),
                    silent_s,
                    unanswered_s: m.commands.unanswered_since.map(|d| now - d),
                });
            }
        }
        let reached = self.zone_contacts.iter();
        let reached = reached.map(|(z, s)| {
            (
                z.clone(),
                ZoneContact {
                    began_ago_s: now - s.began_at,
                    last_ago_s: now - s.last_at,
                },
            )
        });
        told.retain(|id, _| self.machines.contains_key(id));
        self.last_reported = told;
        ShardReport {
            epoch: self.epoch,
            node: self.node.clone(),
            incarnation: self.incarnation,
            state_retained: self.state_retained,
            since,
            seq,
            machines,
            unregistered: self.unregistered_machines.clone(),
            assigned: self.assigned.changed(seq, since),
            removed: self.removed_tasks.clone(),
            released: self
                .released_tasks
                .iter()
                .map(|released| (released.task.clone(), released.attempt, released.report_seq))
                .collect(),
            silent_machines: quiet,
            zone_contacts: reached.collect(),
            seen_elsewhere: Vec::new(),
            transfers: self.transfers.report(),
        }
    }
}
