//! Expiry of workers' leases, and tasks on machines that the cloud will reclaim.

use super::{Shard, Stop, TaskPhase};
use crate::clock::{self, Seconds};
use crate::store::cache::StoreCache;
use crate::wire::{JobKind, MachineId};
use finchwood_reconciliation::machine_state::MachineEvent;

impl Shard {
    /// A worker that has had no answer for the whole of its lease has killed
    /// its tasks: only this owner answers it (an earlier one was fenced before
    /// this epoch), so its tasks run nowhere, even if the machine itself
    /// can't be seen. A session it was answered in is over for good.
    pub fn expire_leases(&mut self, now: Seconds) {
        let limit = clock::with_drift_margin(self.timing.lease_s);
        // An earlier owner may have been left out of the epoch while it was
        // alive, and answers until it reads so or its own lease's time is up.
        let entered = self.epoch_started_at + clock::with_drift_margin(self.timing.member_lease_s);
        let silent: Vec<MachineId> = self
            .machines
            .iter()
            .filter(|(_, machine)| {
                // A session without an answer has its lease from when it
                // began. A worker that reports to nobody begins one after the
                // other, and direct commands start tasks in each.
                let mut renewed = machine.session.last_answered_at.unwrap_or(entered);
                if let Some(first_seen_at) = machine.session.first_seen_at {
                    renewed = renewed.max(first_seen_at);
                }
                // While it has not shown our token, our answer may have been
                // lost, and an earlier owner's accepted after it.
                if !machine.is_reconciled() {
                    renewed = renewed.max(entered);
                }
                if let Some(until) = machine.source_renews_until {
                    renewed = renewed.max(until);
                }
                !machine.commands.in_flight && now - renewed > limit
            })
            .filter(|(id, _)| !self.transfers.is_fenced(id))
            .filter(|(_, machine)| !machine.is_reconciled() || !machine.session.has_ended())
            .map(|(id, _)| id.clone())
            .collect();
        for id in silent {
            if let Some(machine) = self.machines.get_mut(&id) {
                tracing::info!(machine = %id, session = machine.session.id, "a worker's lease is past");
                machine.state = machine.state.after(MachineEvent::LeasePast).state;
                machine.session.ended_up_to = machine.session.id;
                machine.contents.tasks.clear();
                let below = machine.session.id + 1;
                self.expire_session(&id, below);
                self.report_due = true;
            }
        }
    }

    /// Stops the tasks that have to move off machines which the cloud will reclaim.
    pub fn stop_tasks_before_reclaim(&mut self, cache: &StoreCache, now: Seconds) {
        let mut moving = Vec::new();
        let noticed = self
            .machines
            .iter()
            .filter_map(|(id, machine)| Some((id, machine.reclaimed_at?)));
        for (until, (task, assigned)) in
            noticed.flat_map(|(id, until)| self.assigned.on(id).map(move |task| (until, task)))
        {
            let Some(placement) = &assigned.placement else {
                continue;
            };
            if placement.stop.is_some() || placement.phase == TaskPhase::Done {
                continue;
            }
            let Some(spec) = cache
                .jobs
                .get(&task.job)
                .and_then(|job| job.record.spec.as_ref())
            else {
                continue;
            };
            // The leader stops a gang as a whole.
            if spec.job_kind == JobKind::Gang {
                continue;
            }
            let remaining_s = spec.estimate_s - (now - placement.phase_since);
            let ends_in_time = placement.phase == TaskPhase::Running
                && spec.job_kind == JobKind::Array
                && now + remaining_s.max(0.0) < until;
            if !ends_in_time {
                moving.push((task.clone(), assigned.attempt));
            }
        }
        for (task, attempt) in moving {
            self.stop_task(&task, attempt, Stop::Notice);
        }
    }
}
