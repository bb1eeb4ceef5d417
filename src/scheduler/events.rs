//! What the leader has decided about tasks since its last log lines, and on which proof.

use super::Leader;
use crate::event_sample::EventSample;
use crate::shard::RemovalReason;
use std::collections::BTreeMap;

/// What proves that a task runs on no machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum FreedBy {
    /// The only shard that listed it has removed its latest attempt.
    LatestRemoved,
    /// A shard has removed it after all machines were reconciled.
    RemovedAfterReconciliation,
    /// All shards have reported, and all machines that may run it are reconciled.
    MachinesReconciled,
    /// The only shard that can have it kept its state and does not list it.
    RetainedShard,
}

/// The events since the last log lines.
#[derive(Debug, Default)]
pub(super) struct LeaderEvents {
    /// Tasks that were assigned to shards.
    pub(super) assigned: EventSample,
    /// Tasks that became unassigned.
    pub(super) freed: BTreeMap<(FreedBy, Option<RemovalReason>), EventSample>,
    /// Removed tasks of which a later attempt may run on an unreconciled machine.
    pub(super) held_back: EventSample,
    /// Tasks of which two shards list a copy.
    pub(super) listed_twice: EventSample,
    /// Tasks that were listed before the record of their job was read.
    pub(super) listed_unread: EventSample,
}

impl Leader {
    /// Logs the events since the last call.
    pub fn log_events(&mut self) {
        let epoch = self.epoch.number;
        let events = &mut self.events;
        if let Some(assigned) = events.assigned.take() {
            let (count, examples) = (assigned.count(), assigned.examples());
            tracing::info!(epoch, count, ?examples, "tasks assigned");
        }
        for ((proof, removal), freed) in std::mem::take(&mut events.freed) {
            let (count, examples) = (freed.count(), freed.examples());
            tracing::info!(epoch, ?proof, ?removal, count, ?examples, "tasks freed");
        }
        if let Some(held_back) = events.held_back.take() {
            let (count, examples) = (held_back.count(), held_back.examples());
            tracing::info!(
                epoch,
                count,
                ?examples,
                "removed tasks wait for unreconciled machines"
            );
        }
        if let Some(listed_twice) = events.listed_twice.take() {
            let (count, examples) = (listed_twice.count(), listed_twice.examples());
            tracing::warn!(epoch, count, ?examples, "two shards list a task");
        }
        if let Some(listed_unread) = events.listed_unread.take() {
            let (count, examples) = (listed_unread.count(), listed_unread.examples());
            tracing::info!(epoch, count, ?examples, "listed tasks of jobs not read yet");
        }
    }
}
