//! What a shard has done since its last log lines: which starts it sent, which proof removed tasks,
//! and which heartbeats it did not take for new.

use super::Shard;
use crate::event_sample::EventSample;
use crate::wire::Heartbeat;
use std::collections::BTreeMap;

/// Why a task is known not to run on its machine any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RemovalProof {
    /// No start of it was sent, or none can take effect any more.
    NotStarted,
    /// Its machine reported that it ended, or refused it.
    ReportedEnd,
    /// A heartbeat under a token above that of its last start does not list it.
    NotListed,
    /// Its worker has begun a new session.
    NewSession,
    /// The lease of its worker has expired.
    LeaseExpired,
    /// Its machine was removed from the machine registry.
    MachineDeleted,
}

/// Why a heartbeat was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RefusalReason {
    /// It carries a token of a later epoch.
    LaterEpoch,
    /// The state of its machine has not arrived from the source of a transfer.
    AwaitsTransfer,
    /// It is no newer than the last one, or its session has ended.
    Outdated,
}

/// The events since the last log lines.
#[derive(Debug, Default)]
pub(super) struct ShardEvents {
    /// Starts that were sent to workers.
    pub(super) starts: EventSample,
    /// Removed tasks.
    pub(super) removals: BTreeMap<RemovalProof, EventSample>,
    /// Refused heartbeats.
    pub(super) refusals: BTreeMap<RefusalReason, EventSample>,
    /// Heartbeats with a token of this epoch that was issued to an earlier record of the machine,
    /// which has been removed.
    pub(super) late_heartbeats: EventSample,
    /// Reported tasks that contradict the assigned ones, beyond those that were logged.
    pub(super) contradictions: EventSample,
}

/// Describes a heartbeat in a log line.
pub(super) fn describe(heartbeat: &Heartbeat) -> String {
    format!(
        "{} session {} seq {} token {} tasks {}",
        heartbeat.machine,
        heartbeat.session,
        heartbeat.seq,
        heartbeat.token,
        heartbeat.tasks.len()
    )
}

impl Shard {
    /// Logs the events since the last call.
    pub fn log_events(&mut self) {
        let epoch = self.epoch;
        let events = &mut self.events;
        if let Some(starts) = events.starts.take() {
            let (count, examples) = (starts.count(), starts.examples());
            tracing::info!(epoch, count, ?examples, "starts sent to workers");
        }
        for (proof, removals) in std::mem::take(&mut events.removals) {
            let (count, examples) = (removals.count(), removals.examples());
            tracing::info!(epoch, ?proof, count, ?examples, "tasks removed");
        }
        for (reason, refusals) in std::mem::take(&mut events.refusals) {
            let (count, examples) = (refusals.count(), refusals.examples());
            tracing::info!(epoch, ?reason, count, ?examples, "heartbeats refused");
        }
        if let Some(late) = events.late_heartbeats.take() {
            let (count, examples) = (late.count(), late.examples());
            tracing::info!(
                epoch,
                count,
                ?examples,
                "late heartbeats of removed machines prove nothing"
            );
        }
        if let Some(contradictions) = events.contradictions.take() {
            let (count, examples) = (contradictions.count(), contradictions.examples());
            tracing::warn!(
                epoch,
                count,
                ?examples,
                "reported tasks contradict the assigned ones"
            );
        }
    }
}
