//! Expiry of workers' leases, and the tasks on machines that the cloud is about to reclaim.

use super::events::RemovalProof;
use super::{Shard, TaskPhase, TaskStopReason};
use crate::clock::{self, Seconds};
use crate::store::cache::StoreCache;
use crate::wire::{JobKind, MachineId};
use finchwood_reconciliation::machine_state::MachineEvent;

impl Shard {
    /// Ends the sessions of workers whose leases have expired. A worker that has received no
    /// reply for the length of its lease has killed its tasks, so that they are confirmed to
    /// run on no machine even if this one can't be reached. Only the owner replies to a worker;
    /// an earlier owner may do so for a limited time, which must have passed too. A session
    /// that has ended never resumes.
    pub fn expire_leases(&mut self, now: Seconds) {
        let limit = clock::with_drift_margin(self.timing.lease_s);
        // An earlier owner that this epoch excludes may be alive. It replies to workers until
        // it reads of the epoch, or until its member lease expires.
        let earlier_owner_until =
            self.epoch_started_at + clock::with_drift_margin(self.timing.member_lease_s);
        let expired: Vec<MachineId> = self
            .machines
            .iter()
            .filter(|(_, machine)| {
                // The lease of a session without a reply runs from the session's beginning. A
                // worker whose heartbeats reach no controller begins one session after the
                // other, and direct commands can start tasks in each of them.
                let mut renewed_at = machine.session.last_reply_at.unwrap_or(earlier_owner_until);
                if let Some(first_seen_at) = machine.session.first_seen_at {
                    renewed_at = renewed_at.max(first_seen_at);
                }
                // Until the worker has acknowledged this owner's token, this owner's reply may
                // have been lost, and a later reply of an earlier owner accepted.
                if !machine.is_reconciled() {
                    renewed_at = renewed_at.max(earlier_owner_until);
                }
                if let Some(until) = machine.source_renews_until {
                    renewed_at = renewed_at.max(until);
                }
                !machine.commands.in_flight && now - renewed_at > limit
            })
            .filter(|(id, _)| !self.transfers.is_fenced(id))
            .filter(|(_, machine)| {
                machine.state.may_hold_unknown_tasks() || !machine.session.has_ended()
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            if let Some(machine) = self.machines.get_mut(&id) {
                tracing::info!(machine = %id, session = machine.session.id, "a worker's lease is past");
                machine.state = machine.state.after(MachineEvent::LeaseExpired).state;
                machine.session.ended_up_to = machine.session.id;
                machine.contents.tasks.clear();
                let below_session = machine.session.id + 1;
                self.other_copies.remove_machine(&id);
                self.remove_tasks_of_ended_sessions(&id, below_session, RemovalProof::LeaseExpired);
                self.report_due = true;
            }
        }
    }

    /// Stops the tasks on machines that the cloud is about to reclaim, so that they can start
    /// elsewhere. Array tasks that should complete in time continue to run.
    pub fn stop_tasks_before_reclaim(&mut self, cache: &StoreCache, now: Seconds) {
        let mut to_stop = Vec::new();
        let reclaimed = self
            .machines
            .iter()
            .filter_map(|(id, machine)| Some((id, machine.reclaim_at?)));
        for (reclaim_at, (task, assigned)) in
            reclaimed.flat_map(|(id, at)| self.assigned.on_machine(id).map(move |task| (at, task)))
        {
            let Some(placement) = &assigned.placement else {
                continue;
            };
            if placement.stop_reason.is_some() || placement.phase == TaskPhase::Done {
                continue;
            }
            let Some(spec) = cache
                .jobs
                .get(&task.job)
                .and_then(|job| job.record.spec.as_ref())
            else {
                continue;
            };
            // The leader stops all tasks of a gang together.
            if spec.job_kind == JobKind::Gang {
                continue;
            }
            let remaining_s = spec.estimate_s - (now - placement.phase_since);
            let ends_in_time = placement.phase == TaskPhase::Running
                && spec.job_kind == JobKind::Array
                && now + remaining_s.max(0.0) < reclaim_at;
            if !ends_in_time {
                to_stop.push((task.clone(), assigned.attempt));
            }
        }
        for (task, attempt) in to_stop {
            self.stop_task(&task, attempt, TaskStopReason::Reclaim);
        }
    }
}
