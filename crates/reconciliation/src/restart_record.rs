//! The record of a restart: what was found, what became of it and why.
//!
//! A controller keeps one record for the time since it last began to own machines
//! without knowledge of its own. Views of it are handed out while it grows, so that
//! the entries are a persistent queue: a view costs a few counters, however many
//! entries there are.

use crate::hold_off::{Action, HoldReason};
use crate::machine_state::MachineState;
use crate::verdict::{StopReason, Verdict};
use finchwood_types::clock::Seconds;
use finchwood_types::wire::MachineId;
use rpds::QueueSync;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a controller brought with it into the epoch in which the record begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PriorKnowledge {
    /// No epoch has been entered yet.
    #[serde(rename = "not-yet")]
    NotEntered,
    /// Nothing: the process, or its incarnation, is new.
    #[serde(rename = "fresh")]
    Empty,
    /// All that it knew in the epoch before; the record goes on.
    #[serde(rename = "kept")]
    Retained,
}

/// One decision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DecisionEntry {
    /// Seconds since the record began.
    pub at_s: f64,
    /// The task, as `job/index`.
    pub task: String,
    /// The attempt that was reported.
    pub attempt: u64,
    /// The machine that reported it.
    pub machine: MachineId,
    /// Its worker's session.
    pub session: u64,
    /// What became of it.
    #[serde(flatten)]
    pub verdict: Verdict,
}

/// How often a verdict was given.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VerdictCount {
    /// The verdict, with its reason.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// How often.
    pub count: u64,
}

/// How often an action was held back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldCount {
    /// What was held back.
    pub action: Action,
    /// Why.
    pub reason: HoldReason,
    /// How often.
    pub count: u64,
}

/// How many machines are in a state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineCount {
    /// The state.
    pub state: MachineState,
    /// How many.
    pub count: u32,
}

/// Why a task was ordered to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopCause {
    /// Its job is over or cancelled, or the task is.
    #[serde(rename = "over")]
    NoLongerNeeded,
    /// The leader has asked for it back.
    Recalled,
    /// It makes room for work of a higher priority.
    Preempted,
    /// Its machine will be taken away.
    #[serde(rename = "notice")]
    MachineReclaimed,
    /// Its owner holds another start of it, or none.
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

/// Commands that were given, repetitions included.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandCounts {
    /// Direct commands without any call: questions.
    #[serde(rename = "questions")]
    pub probes: u64,
    /// Starts.
    pub starts: u64,
    /// Stops, by cause.
    pub stops: BTreeMap<StopCause, u64>,
    /// Reaps.
    #[serde(rename = "reaps")]
    pub forgets: u64,
}

/// The record as it grows.
#[derive(Debug, Clone)]
pub struct RestartRecord {
    max_entries: usize,
    prior_knowledge: PriorKnowledge,
    epoch: u64,
    began: Seconds,
    /// When no machine was unreconciled for the first time.
    reconciled_at: Option<Seconds>,
    verdicts: BTreeMap<Verdict, u64>,
    holds: BTreeMap<(Action, HoldReason), u64>,
    entries: QueueSync<DecisionEntry>,
    dropped_entries: u64,
    /// Commands given since the record began.
    pub commands: CommandCounts,
}

/// What the record says at a moment, for whoever asks.
#[derive(Debug, Clone, Serialize)]
pub struct RecordView {
    /// What the controller brought with it.
    #[serde(rename = "arrival")]
    pub prior_knowledge: PriorKnowledge,
    /// The present epoch; 0 before the first.
    pub epoch: u64,
    /// How long ago the record began, in seconds.
    pub age_s: f64,
    /// After how many seconds no machine was unreconciled; none while some are.
    #[serde(rename = "certain_after_s")]
    pub reconciled_after_s: Option<f64>,
    /// The machines by what is known of them.
    pub machines: Vec<MachineCount>,
    /// Verdicts on what machines showed first.
    pub verdicts: Vec<VerdictCount>,
    /// What was held back, by reason.
    pub holds: Vec<HoldCount>,
    /// Commands given.
    #[serde(rename = "orders")]
    pub commands: CommandCounts,
    /// The latest decisions, the oldest first.
    pub entries: QueueSync<DecisionEntry>,
    /// Earlier decisions that are no longer kept.
    pub entries_left_out: u64,
}

impl RestartRecord {
    /// An empty record that keeps the latest `most_entries` decisions.
    pub fn new(max_entries: usize) -> RestartRecord {
        RestartRecord {
            max_entries,
            prior_knowledge: PriorKnowledge::NotEntered,
            epoch: 0,
            began: 0.0,
            reconciled_at: None,
            verdicts: BTreeMap::new(),
            holds: BTreeMap::new(),
            entries: QueueSync::new_sync(),
            dropped_entries: 0,
            commands: CommandCounts::default(),
        }
    }

    /// An epoch is entered, with all knowledge of the one before or with none.
    pub fn enter_epoch(&mut self, epoch: u64, kept: bool, now: Seconds) {
        if !kept {
            *self = RestartRecord::new(self.max_entries);
            self.began = now;
        }
        self.prior_knowledge = if kept {
            PriorKnowledge::Retained
        } else {
            PriorKnowledge::Empty
        };
        self.epoch = epoch;
    }

    /// A task was judged for the first time on its machine, or contradicts what is
    /// known.
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

    /// Seconds since the record began.
    pub fn age_s(&self, now: Seconds) -> f64 {
        now - self.began
    }

    /// An action was held back.
    pub fn record_hold(&mut self, action: Action, reason: HoldReason) {
        *self.holds.entry((action, reason)).or_default() += 1;
    }

    /// How many machines are unreconciled now.
    pub fn record_unreconciled(&mut self, in_doubt: usize, now: Seconds) {
        if in_doubt == 0 && self.prior_knowledge != PriorKnowledge::NotEntered {
            self.reconciled_at.get_or_insert(now);
        }
    }

    /// How often a verdict was given.
    pub fn count(&self, verdict: Verdict) -> u64 {
        self.verdicts.get(&verdict).copied().unwrap_or(0)
    }

    /// What the record says now; `machines` are those of the controller.
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
            reconciled_after_s: self.reconciled_at.map(|at| at - self.began),
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
