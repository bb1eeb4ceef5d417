//! Delays actions of a new leader while machines are unreconciled: actions that would be taken
//! only because the tasks on those machines, and so their free capacity, are not known yet.
//!
//! Each delay is bounded. A worker responds to a probe within a moment, so two report intervals
//! are enough for all workers that are alive. Machines that are still silent after that are
//! treated like any other silent machine. Returning machines to the cloud and moving work is
//! never urgent, and waits for the length of a worker's lease, after which no machine can be
//! unreconciled.

use crate::unreconciled::UnreconciledMachines;
use finchwood_types::clock::Seconds;
use finchwood_types::wire::JobSpec;
use serde::{Deserialize, Serialize};

/// An action of a leader that a hold-off may delay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Renting machines for tasks that fit on no machine.
    Rent,
    /// Stopping tasks of lower priority in favour of higher priorities.
    Preempt,
    /// Returning idle machines, draining machines, and moving replicas off machines.
    Consolidate,
    /// Deleting a machine that sends no heartbeats, before it has failed to respond to a probe.
    #[serde(rename = "evict-unasked")]
    DeleteUnprobed,
}

/// Why an action is delayed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HoldReason {
    /// Some controllers have not reported yet which tasks are assigned to their machines.
    #[serde(rename = "parts-unheard")]
    ShardReportsMissing,
    /// Machines that may have the free capacity, or the tasks, are unreconciled.
    #[serde(rename = "machines-in-doubt")]
    MachinesUnreconciled,
    /// The machine may be silent only because no controller was there to receive its
    /// heartbeats.
    #[serde(rename = "own-absence")]
    ControllerDowntime,
}

/// How long actions are delayed at most, from the beginning of the hold-off.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HoldOffLimits {
    /// How long renting and preemption wait for unreconciled machines to respond, in seconds.
    pub response_timeout_s: Seconds,
    /// How long consolidation and the deletion of unprobed machines are delayed, in seconds: a
    /// worker's lease with its margin for clock drift.
    pub lease_s: Seconds,
}

/// Decides which actions are delayed after a leader has begun without state from an earlier
/// epoch.
#[derive(Debug, Clone)]
pub struct HoldOff {
    limits: HoldOffLimits,
    /// When the hold-off began; `None` while the leader continues with the state it had.
    since: Option<Seconds>,
}

/// The state of the cluster on which the delay of an action depends.
#[derive(Debug, Clone, Copy)]
pub struct HoldOffContext<'a> {
    /// The current time.
    pub now: Seconds,
    /// Whether every controller has reported which tasks are assigned to its machines.
    pub all_shards_reported: bool,
    /// The machines whose tasks are not known yet.
    pub unreconciled: &'a UnreconciledMachines,
}

impl HoldOff {
    /// Creates a hold-off that has not begun.
    pub fn new(limits: HoldOffLimits) -> HoldOff {
        HoldOff {
            limits,
            since: None,
        }
    }

    /// Begins the hold-off, as the leader starts without state from an earlier epoch.
    pub fn begin(&mut self, now: Seconds) {
        self.since = Some(now);
    }

    /// Ends the hold-off, as the leader continues with the state it had.
    pub fn end(&mut self) {
        self.since = None;
    }

    /// Whether any action may still be delayed.
    pub fn is_active(&self, now: Seconds) -> bool {
        self.since
            .is_some_and(|since| now - since < self.limits.lease_s)
    }

    /// Returns why an action is delayed, or `None` if it is allowed. `spec` is the job that
    /// the action is for, if it is for a single one.
    pub fn hold_reason(
        &self,
        action: Action,
        spec: Option<&JobSpec>,
        context: HoldOffContext,
    ) -> Option<HoldReason> {
        let since = self.since?;
        let age_s = context.now - since;
        if age_s >= self.limits.lease_s {
            return None;
        }
        match action {
            Action::DeleteUnprobed => Some(HoldReason::ControllerDowntime),
            Action::Consolidate => self.hold_consolidation(age_s, context),
            Action::Rent | Action::Preempt if age_s >= self.limits.response_timeout_s => None,
            Action::Rent | Action::Preempt => hold_for_capacity(spec, context),
        }
    }

    fn hold_consolidation(&self, age_s: Seconds, context: HoldOffContext) -> Option<HoldReason> {
        if !context.all_shards_reported {
            return Some(HoldReason::ShardReportsMissing);
        }
        let awaiting_responses = age_s < self.limits.response_timeout_s;
        (awaiting_responses || !context.unreconciled.is_empty())
            .then_some(HoldReason::MachinesUnreconciled)
    }
}

/// Returns why an action that provides free capacity is delayed: it is needed only if no
/// unreconciled machine may have that capacity.
fn hold_for_capacity(spec: Option<&JobSpec>, context: HoldOffContext) -> Option<HoldReason> {
    if !context.all_shards_reported {
        return Some(HoldReason::ShardReportsMissing);
    }
    let may_have_capacity = spec.map_or(!context.unreconciled.is_empty(), |spec| {
        context.unreconciled.may_run_job(spec)
    });
    may_have_capacity.then_some(HoldReason::MachinesUnreconciled)
}
