//! The record of a restart: what the controller found, what it decided and why.
//!
//! A controller keeps one record, which begins when it last started to own machines without
//! state from an earlier epoch. Snapshots of the record are published while it grows. The
//! entries are a persistent queue, so a snapshot copies only a few counters, however many
//! entries there are.

use crate::hold_off::{Action, HoldReason};
use crate::machine_state::MachineState;
use crate::verdict::{StopReason, Verdict};
use finchwood_types::clock::Seconds;
use finchwood_types::wire::MachineId;
use rpds::QueueSync;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The state that a controller had when it entered the epoch in which the record begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PriorKnowledge {
    /// It has not entered an epoch yet.
    #[serde(rename = "not-yet")]
    NotEntered,
    /// None: the process or its incarnation is new.
    #[serde(rename = "fresh")]
    Empty,
    /// All its state of the previous epoch; the record continues.
    #[serde(rename = "kept")]
    Retained,
}

/// A decision on a reported task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DecisionEntry {
    /// The time of the decision, in seconds since the record began.
    pub at_s: f64,
    /// The task, as `job/index`.
    pub task: String,
    /// The reported attempt.
    pub attempt: u64,
    /// The machine that reported the task.
    pub machine: MachineId,
    /// The session of the machine's worker.
    pub session: u64,
    /// The decision and its reason.
    #[serde(flatten)]
    pub verdict: Verdict,
}

/// The number of recorded decisions with a verdict.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VerdictCount {
    /// The verdict, with its reason.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// The number of times.
    pub count: u64,
}

/// The number of times that an action was delayed for a reason.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldCount {
    /// The delayed action.
    pub action: Action,
    /// Why it was delayed.
    pub reason: HoldReason,
    /// The number of times.
    pub count: u64,
}

/// The number of machines in a state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineCount {
    /// What is known of the tasks on these machines.
    pub state: MachineState,
    /// The number of machines.
    pub count: u32,
}

/// Why a task was commanded to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopCause {
    /// Its job is done or cancelled, or the task is finished.
    #[serde(rename = "over")]
    NoLongerNeeded,
    /// The leader has withdrawn its assignment.
    Recalled,
    /// It is preempted by work of a higher priority.
    Preempted,
    /// The cloud has announced that it reclaims the machine.
    #[serde(rename = "notice")]
    MachineReclaimed,
    /// Its owner has not assigned this attempt of it to this machine.
    #[serde(rename = "not-held")]
    NotAssigned,
}

impl From<StopReason> for StopCause {
    fn from(reason: StopReason) -> StopCause {
        match reason {
            StopReason::AssignedElsewhere => StopCause::NotAssigned,
            StopReason::JobCancelled | StopReason::JobDone | StopReason::TaskFinished => {
                StopCause::NoLongerNeeded
            }
        }
    }
}

/// The numbers of commands sent to workers, including repetitions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandCounts {
    /// Probes: direct commands without content, to which a worker responds with its state.
    #[serde(rename = "questions")]
    pub probes: u64,
    /// Commands to start a task.
    pub starts: u64,
    /// Commands to stop a task, by cause.
    pub stops: BTreeMap<StopCause, u64>,
    /// Commands to forget an ended task.
    #[serde(rename = "reaps")]
    pub forgets: u64,
}

/// The record of a controller since it last began without state.
#[derive(Debug, Clone)]
pub struct RestartRecord {
    max_entries: usize,
    prior_knowledge: PriorKnowledge,
    epoch: u64,
    began_at: Seconds,
    /// When all machines were reconciled for the first time.
    reconciled_at: Option<Seconds>,
    verdicts: BTreeMap<Verdict, u64>,
    holds: BTreeMap<(Action, HoldReason), u64>,
    entries: QueueSync<DecisionEntry>,
    dropped_entries: u64,
    /// The commands sent since the record began.
    pub commands: CommandCounts,
}

/// A snapshot of the record, for operators.
#[derive(Debug, Clone, Serialize)]
pub struct RecordView {
    /// The state that the controller had when it entered the epoch.
    #[serde(rename = "arrival")]
    pub prior_knowledge: PriorKnowledge,
    /// The current epoch; 0 before the first.
    pub epoch: u64,
    /// The time since the record began, in seconds.
    pub age_s: f64,
    /// The time from the beginning of the record until all machines were reconciled, in
    /// seconds; `None` as long as they never were.
    #[serde(rename = "certain_after_s")]
    pub reconciled_after_s: Option<f64>,
    /// The number of the controller's machines in each state.
    pub machines: Vec<MachineCount>,
    /// The number of recorded decisions with each verdict; see
    /// [`RestartRecord::record_decision`].
    pub verdicts: Vec<VerdictCount>,
    /// The delayed actions, by reason.
    pub holds: Vec<HoldCount>,
    /// The commands sent.
    #[serde(rename = "orders")]
    pub commands: CommandCounts,
    /// The latest decisions, from the oldest to the newest.
    pub entries: QueueSync<DecisionEntry>,
    /// The number of earlier decisions that are no longer kept.
    pub entries_left_out: u64,
}

impl RestartRecord {
    /// Creates an empty record that keeps the latest `max_entries` decisions.
    pub fn new(max_entries: usize) -> RestartRecord {
        RestartRecord {
            max_entries,
            prior_knowledge: PriorKnowledge::NotEntered,
            epoch: 0,
            began_at: 0.0,
            reconciled_at: None,
            verdicts: BTreeMap::new(),
            holds: BTreeMap::new(),
            entries: QueueSync::new_sync(),
            dropped_entries: 0,
            commands: CommandCounts::default(),
        }
    }

    /// Records that the controller has entered an epoch. Unless it has `retained` its state of
    /// the previous epoch, the record begins anew.
    pub fn enter_epoch(&mut self, epoch: u64, retained: bool, now: Seconds) {
        if !retained {
            *self = RestartRecord::new(self.max_entries);
            self.began_at = now;
        }
        self.prior_knowledge = if retained {
            PriorKnowledge::Retained
        } else {
            PriorKnowledge::Empty
        };
        self.epoch = epoch;
    }

    /// Records a decision. For a machine's first report to its owner, the controller records all
    /// decisions other than [`Verdict::Known`]; later it records only conflicts and tasks that
    /// are left unreconciled.
    pub fn record_decision(&mut self, entry: DecisionEntry) {
        *self.verdicts.entry(entry.verdict).or_default() += 1;
        if self.max_entries == 0 {
            self.dropped_entries += 1;
            return;
        }
        if self.entries.len() >= self.max_entries {
            self.entries.dequeue_mut();
            self.dropped_entries += 1;
        }
        self.entries.enqueue_mut(entry);
    }

    /// Returns the time since the record began, in seconds.
    pub fn age_s(&self, now: Seconds) -> f64 {
        now - self.began_at
    }

    /// Records that an action was delayed.
    pub fn record_hold(&mut self, action: Action, reason: HoldReason) {
        *self.holds.entry((action, reason)).or_default() += 1;
    }

    /// Records the number of machines that are unreconciled now.
    pub fn record_unreconciled(&mut self, unreconciled: usize, now: Seconds) {
        if unreconciled == 0 && self.prior_knowledge != PriorKnowledge::NotEntered {
            self.reconciled_at.get_or_insert(now);
        }
    }

    /// Returns the number of recorded decisions with a verdict.
    pub fn count(&self, verdict: Verdict) -> u64 {
        self.verdicts.get(&verdict).copied().unwrap_or(0)
    }

    /// Returns a snapshot of the record. `machines` are the states of the controller's
    /// machines.
    pub fn view(&self, machines: impl Iterator<Item = MachineState>, now: Seconds) -> RecordView {
        let mut by_state: BTreeMap<MachineState, u32> = BTreeMap::new();
        for state in machines {
            *by_state.entry(state).or_default() += 1;
        }
        let verdicts = self
            .verdicts
            .iter()
            .map(|(&verdict, &count)| VerdictCount { verdict, count });
        let holds = self
            .holds
            .iter()
            .map(|(&(action, reason), &count)| HoldCount {
                action,
                reason,
                count,
            });
        RecordView {
            prior_knowledge: self.prior_knowledge,
            epoch: self.epoch,
            age_s: self.age_s(now),
            reconciled_after_s: self.reconciled_at.map(|at| at - self.began_at),
            machines: by_state
                .into_iter()
                .map(|(state, count)| MachineCount { state, count })
                .collect(),
            verdicts: verdicts.collect(),
            holds: holds.collect(),
            commands: self.commands.clone(),
            entries: self.entries.clone(),
            entries_left_out: self.dropped_entries,
        }
    }
}
