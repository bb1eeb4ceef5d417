//! What a new leader holds back while machines are unreconciled: everything that would
//! be asked for only because their content, and so their room, is not known yet.
//!
//! Each hold is bounded by time. A worker that is asked answers within a moment, so
//! that two report intervals are enough for all that are alive; what is silent then
//! is treated as it always is. What gives machines back, or moves work, is never
//! urgent and waits for a worker's lease, after which nothing can be unreconciled.

use crate::unreconciled::UnreconciledMachines;
use finchwood_types::clock::Seconds;
use finchwood_types::wire::JobSpec;
use serde::{Deserialize, Serialize};

/// Something that a leader may do to machines or work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// To rent machines for work without room.
    Rent,
    /// To stop lower work for higher.
    Preempt,
    /// To return idle machines, and to empty others or move their replicas.
    Consolidate,
    /// To delete a silent machine that was not asked in vain.
    #[serde(rename = "evict-unasked")]
    DeleteUnprobed,
}

/// Why an action is held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HoldReason {
    /// Not every controller has told what it holds.
    #[serde(rename = "parts-unheard")]
    ShardReportsMissing,
    /// Machines that may have the room, or the work, have not answered yet.
    #[serde(rename = "machines-in-doubt")]
    MachinesUnreconciled,
    /// Its silence may only be that nobody was there to be told anything.
    #[serde(rename = "own-absence")]
    ControllerDowntime,
}

/// How long actions are held back.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HoldOffLimits {
    /// How long unreconciled machines are waited for before others are rented or lower
    /// work is stopped, in seconds.
    pub answer_timeout_s: Seconds,
    /// How long machines are neither returned, emptied nor deleted unasked, in seconds:
    /// a worker's lease, with its margin.
    pub lease_s: Seconds,
}

/// Hold-off after a leader began without knowledge of its own.
#[derive(Debug, Clone)]
pub struct HoldOff {
    limits: HoldOffLimits,
    /// When the leader began to lead anew; none while it goes on from before.
    since: Option<Seconds>,
}

/// What is known at the moment of a question.
#[derive(Debug, Clone, Copy)]
pub struct HoldOffContext<'a> {
    /// The present.
    pub now: Seconds,
    /// Every controller has told what it holds.
    pub all_shards_reported: bool,
    /// Machines whose content is not known.
    pub unreconciled: &'a UnreconciledMachines,
}

impl HoldOff {
    /// Hold-off that has not begun.
    pub fn new(limits: HoldOffLimits) -> HoldOff {
        HoldOff {
            limits,
            since: None,
        }
    }

    /// A leader begins without knowledge of its own.
    pub fn begin(&mut self, now: Seconds) {
        self.since = Some(now);
    }

    /// A leader goes on with what it knew.
    pub fn end(&mut self) {
        self.since = None;
    }

    /// Whether anything may be held back at all.
    pub fn is_active(&self, now: Seconds) -> bool {
        self.since
            .is_some_and(|since| now - since < self.limits.lease_s)
    }

    /// Whether an action is held back, for `spec` if it is for a job, and why.
    pub fn hold_reason(
        &self,
        action: Action,
        spec: Option<&JobSpec>,
        at: HoldOffContext,
    ) -> Option<HoldReason> {
        let since = self.since?;
        let age_s = at.now - since;
        if age_s >= self.limits.lease_s {
            return None;
        }
        match action {
            Action::DeleteUnprobed => Some(HoldReason::ControllerDowntime),
            Action::Consolidate => self.hold_consolidation(age_s, at),
            Action::Rent | Action::Preempt if age_s >= self.limits.answer_timeout_s => None,
            Action::Rent | Action::Preempt => hold_for_room(spec, at),
        }
    }

    fn hold_consolidation(&self, age_s: Seconds, at: HoldOffContext) -> Option<HoldReason> {
        if !at.all_shards_reported {
            return Some(HoldReason::ShardReportsMissing);
        }
        let settling = age_s < self.limits.answer_timeout_s;
        (settling || !at.unreconciled.is_empty()).then_some(HoldReason::MachinesUnreconciled)
    }
}

/// Room is looked for elsewhere only if no unreconciled machine may have it.
fn hold_for_room(spec: Option<&JobSpec>, at: HoldOffContext) -> Option<HoldReason> {
    if !at.all_shards_reported {
        return Some(HoldReason::ShardReportsMissing);
    }
    let may_have_room = spec.map_or(!at.unreconciled.is_empty(), |spec| {
        at.unreconciled.may_hold(spec)
    });
    may_have_room.then_some(HoldReason::MachinesUnreconciled)
}
