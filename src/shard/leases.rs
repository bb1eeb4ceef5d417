//! What ends with a worker's lease, and what has to leave machines that will be
//! taken.

use super::{Shard, Stop, TaskPhase};
use crate::clock::{self, Seconds};
use crate::store::cache::StoreCache;
use crate::wire::{JobKind, MachineId};
use finchwood_reconciliation::machine_state::MachineEvent;

impl Shard {
    /// A worker that has had no answer for the whole of its lease has killed
    /// its tasks: only this owner answers it (an earlier one was fenced before
    /// this epoch), so what it held is nowhere, even if the machine itself
    /// can't be seen. A session it was answered in is over for good.
    pub fn expire_leases(&mut self, now: Seconds) {
        let limit = clock::with_drift_margin(self.timing.lease_s);
        // An earlier owner may have been left out of the epoch while it was
        // alive, and answers until it reads so or its own lease's time is up.
        let entered = self.epoch_started_at + clock::with_drift_margin(self.timing.member_lease_s);
        let silent: Vec<MachineId> = self
            .machines
            .iter()
            .filter(|(_, m)| {
                // A session without an answer has its lease from when it
                // began. A worker that reports to nobody begins one after the
                // other, and direct commands start tasks in each.
                let mut renewed = m.session.last_answered_at.unwrap_or(entered);
                if let Some(first_seen_at) = m.session.first_seen_at {
                    renewed = renewed.max(first_seen_at);
                }
                // While it has not shown our token, our answer may have been
                // lost, and an earlier owner's accepted after it.
                if !m.is_reconciled() {
                    renewed = renewed.max(entered);
                }
                if let Some(until) = m.source_renews_until {
                    renewed = renewed.max(until);
                }
                !m.commands.in_flight && now - renewed > limit
            })
            .filter(|(id, _)| !self.transfers.is_fenced(id))
            .filter(|(_, m)| !m.is_reconciled() || !m.session.has_ended())
            .map(|(id, _)| id.clone())
            .collect();
        for id in silent {
            if let Some(m) = self.machines.get_mut(&id) {
                tracing::info!(machine = %id, session = m.session.id, "a worker's lease is past");
                m.state = m.state.after(MachineEvent::LeasePast).state;
                m.session.ended_up_to = m.session.id;
                m.contents.tasks.clear();
                let below = m.session.id + 1;
                self.expire_session(&id, below);
                self.report_due = true;
            }
        }
    }

    /// Stops what has to move off machines that will be taken.
    pub fn stop_for_notices(&mut self, cache: &StoreCache, now: Seconds) {
        let mut moving = Vec::new();
        let noticed = self
            .machines
            .iter()
            .filter_map(|(id, m)| Some((id, m.reclaimed_at?)));
        for (until, (task, h)) in
            noticed.flat_map(|(id, until)| self.assigned.on(id).map(move |t| (until, t)))
        {
            let Some(p) = &h.placement else { continue };
            if p.stop.is_some() || p.phase == TaskPhase::Done {
                continue;
            }
            let Some(spec) = cache
                .jobs
                .get(&task.job)
                .and_then(|j| j.record.spec.as_ref())
            else {
                continue;
            };
            // The leader stops a gang as a whole.
            if spec.job_kind == JobKind::Gang {
                continue;
            }
            let left = spec.estimate_s - (now - p.phase_since);
            let ends_in_time = p.phase == TaskPhase::Running
                && spec.job_kind == JobKind::Array
                && now + left.max(0.0) < until;
            if !ends_in_time {
                moving.push((task.clone(), h.attempt));
            }
        }
        for (task, attempt) in moving {
            self.stop_task(&task, attempt, Stop::Notice);
        }
    }
}
