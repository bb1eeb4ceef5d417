//! The owner's state of one machine: its worker's session, what the worker last reported,
//! and whether its heartbeats and this controller's commands arrive.

use super::Timing;
use crate::clock::Seconds;
use crate::cluster::membership::{token, token_counter, token_epoch, MAX_COUNTER};
use crate::store::cache::StoreCache;
use crate::wire::{Command, Heartbeat, JobId, JobSpec, Task, TaskReport, TaskState};
use finchwood_reconciliation::machine_state::MachineState;
use finchwood_reconciliation::verdict::{ReportedTask, Verdict};
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::sync::Arc;

/// A worker that has responded to direct commands for this many report intervals without
/// sending a heartbeat has stopped reporting: trying all controllers in turn takes less.
const STOPPED_REPORTING_INTERVALS: f64 = 3.5;

/// A machine on which tasks of this many jobs failed is faulty.
const FAULTY_AT_FAILED_JOBS: usize = 2;

/// A machine gets no new tasks once this many replies to its worker are unacknowledged, the
/// first of them for longer than `SUSPECT_AFTER_INTERVALS`.
const SUSPECT_AFTER_REPLIES: u32 = 2;
/// The time limit that goes with `SUSPECT_AFTER_REPLIES`, in report intervals.
const SUSPECT_AFTER_INTERVALS: f64 = 1.5;

/// A machine ignores commands once this many replies to its worker are unacknowledged, the
/// first of them for longer than `IGNORES_AFTER_INTERVALS`.
const IGNORES_AFTER_REPLIES: u32 = 3;
/// The time limit that goes with `IGNORES_AFTER_REPLIES`, in report intervals.
const IGNORES_AFTER_INTERVALS: f64 = 3.0;

/// A machine of this shard, or one whose worker reports to it.
#[derive(Debug, Clone)]
pub(super) struct Machine {
    /// Its type, zone and address.
    pub(super) identity: MachineIdentity,
    /// Whether it is in the machine registry.
    pub(super) registered: bool,
    /// Whether the machine registry marks it as in use, without which no task may be started
    /// there. The absence of the mark does not show that it is empty.
    pub(super) used: bool,
    /// Whether the tasks on it are confirmed, and by which evidence.
    pub(super) state: MachineState,
    /// The session of its worker.
    pub(super) session: WorkerSession,
    /// The fencing token of the commands to it.
    pub(super) token: TokenAcknowledgement,
    /// The state of the direct commands to its worker.
    pub(super) commands: CommandChannel,
    /// What its worker last reported.
    pub(super) contents: MachineContents,
    /// When it was added to this shard.
    pub(super) known_since: Seconds,
    /// When the cloud reclaims it, if it has given notice.
    pub(super) reclaim_at: Option<Seconds>,
    /// Whether it takes no more tasks, as the leader has ordered to drain it.
    pub(super) draining: bool,
    /// Until when the source of its transfer may have renewed its worker's lease; `None` if
    /// the shard map had not changed when this shard came to own it.
    pub(super) source_renews_until: Option<Seconds>,
}

/// What a machine is, and how its worker is reached.
#[derive(Debug, Clone)]
pub(super) struct MachineIdentity {
    pub(super) machine_type: Arc<str>,
    pub(super) zone: Arc<str>,
    /// Whether the cloud may reclaim it at short notice.
    pub(super) spot: bool,
    /// The address at which its worker takes direct commands, once it is known.
    pub(super) address: Option<Arc<str>>,
}

/// The session of a machine's worker. A worker whose lease has expired kills its tasks and
/// begins a new session.
#[derive(Debug, Clone, Default)]
pub(super) struct WorkerSession {
    /// The newest session; 0 before the first heartbeat.
    pub(super) id: u64,
    /// The sequence number of the newest message of the session.
    pub(super) sequence: u64,
    /// When the session was first seen. It can't have begun later.
    pub(super) first_seen_at: Option<Seconds>,
    /// The newest session that has ended because its lease expired; all earlier ones have
    /// ended too.
    pub(super) ended_up_to: u64,
    /// When a message last proved that the worker is alive; late copies of old messages
    /// don't count.
    pub(super) last_heartbeat_at: Option<Seconds>,
    /// When the worker was last sent a reply, which renews its lease.
    pub(super) last_reply_at: Option<Seconds>,
}

impl WorkerSession {
    /// Whether a heartbeat is no newer than the last one, or its session has ended.
    pub(super) fn is_outdated(&self, heartbeat: &Heartbeat) -> bool {
        (heartbeat.session, heartbeat.seq) <= (self.id, self.sequence)
            || heartbeat.session <= self.ended_up_to
    }

    /// Whether the session has ended, as its lease expired.
    pub(super) fn has_ended(&self) -> bool {
        self.id <= self.ended_up_to
    }

    /// Returns the time since the last heartbeat, or since `start` if there was none.
    pub(super) fn silent_for(&self, start: Seconds, now: Seconds) -> Seconds {
        now - self.last_heartbeat_at.unwrap_or(start)
    }
}

/// The fencing token of a machine, and whether its worker has acknowledged it: a heartbeat
/// carries the highest token that the worker has seen.
#[derive(Debug, Clone, Default)]
pub(super) struct TokenAcknowledgement {
    /// The counter of the token, within this shard's epoch.
    pub(super) counter: u64,
    /// The first counter that was issued for this record of the machine.
    pub(super) first_counter: u64,
    /// The first reply whose token the worker has not acknowledged.
    pub(super) unacknowledged: Option<UnacknowledgedToken>,
    /// When the token was last raised only to check that replies reach the worker.
    pub(super) last_probe_at: Option<Seconds>,
}

impl TokenAcknowledgement {
    /// Returns the state of a token that begins with this counter.
    pub(super) fn starting_at(first_counter: u64) -> TokenAcknowledgement {
        TokenAcknowledgement {
            counter: first_counter,
            first_counter,
            ..TokenAcknowledgement::default()
        }
    }
}

/// The state of the direct commands to a machine's worker.
#[derive(Debug, Clone, Default)]
pub(super) struct CommandChannel {
    /// Whether a command is in flight: it has neither received a response nor failed.
    pub(super) in_flight: bool,
    /// Whether a command is due only to obtain the worker's state from its response.
    pub(super) probe_due: bool,
    /// When the first command was sent since the worker last proved to be alive.
    pub(super) outstanding_since: Option<Seconds>,
    /// Since when the worker, probed after a silence, has not responded although other
    /// machines of its zone are reached.
    pub(super) unanswered_since: Option<Seconds>,
    /// The time before which no command is sent, as the last one failed.
    pub(super) retry_after: Option<Seconds>,
    /// The period in which the worker has responded to direct commands without sending a
    /// heartbeat.
    pub(super) responses_without_heartbeat: Option<ResponsePeriod>,
}

/// What a machine's worker last reported, and what was concluded from it.
#[derive(Debug, Clone)]
pub(super) struct MachineContents {
    /// The tasks of the newest heartbeat.
    pub(super) tasks: ObservedTasks,
    /// The attempt and the last verdict for each of them, except for `Verdict::Known`.
    pub(super) verdicts: BTreeMap<Task, (u64, Verdict)>,
    /// Whether they were compared with the assigned tasks since this shard came to own the
    /// machine.
    pub(super) compared: bool,
    /// Images that are probably cached, the most recently used first.
    pub(super) images: VecDeque<CachedImage>,
    /// Jobs of which a task failed on the machine.
    pub(super) failed_jobs: HashSet<JobId>,
    /// Since when the machine has been idle; while it has tasks, when they were last seen.
    pub(super) idle_since: Seconds,
}

/// An image in a machine's cache: its name, and its size in gigabytes.
pub(super) type CachedImage = (Arc<str>, f64);

/// The tasks that a machine's worker listed in its newest heartbeat.
pub(super) type ObservedTasks = BTreeMap<Task, ObservedTask>;

/// A task as its machine's worker last reported it.
#[derive(Debug, Clone)]
pub(super) struct ObservedTask {
    pub(super) attempt: u64,
    pub(super) state: TaskState,
    /// Why it ended, as the worker named it.
    pub(super) cause: Option<String>,
}

impl ObservedTask {
    /// Returns the part of the report on which a verdict depends.
    pub(super) fn reported(&self) -> ReportedTask {
        ReportedTask::new(self.attempt, self.state, self.cause.as_deref())
    }
}

impl From<&TaskReport> for ObservedTask {
    fn from(report: &TaskReport) -> ObservedTask {
        ObservedTask {
            attempt: report.attempt,
            state: report.state,
            cause: report.cause.clone(),
        }
    }
}

/// A period in which a worker has responded to direct commands without sending a heartbeat.
#[derive(Debug, Clone)]
pub(super) struct ResponsePeriod {
    pub(super) began_at: Seconds,
    pub(super) last_at: Seconds,
}

/// A token, sent in a reply, that the worker has not acknowledged.
#[derive(Debug, Clone)]
pub(super) struct UnacknowledgedToken {
    pub(super) token: u64,
    pub(super) first_sent_at: Seconds,
    /// The number of replies sent since, the first included.
    pub(super) replies: u32,
}

impl MachineContents {
    /// Returns the contents of a machine that has not reported, idle since `now`.
    pub(super) fn empty(now: Seconds) -> MachineContents {
        MachineContents {
            tasks: BTreeMap::new(),
            verdicts: BTreeMap::new(),
            compared: false,
            images: VecDeque::new(),
            failed_jobs: HashSet::new(),
            idle_since: now,
        }
    }

    /// Records that a task's image will be in the machine's cache, whose size is `cache_gb`
    /// gigabytes. The least recently used images are evicted when it is full.
    pub(super) fn cache_image(&mut self, spec: &JobSpec, cache_gb: f64) {
        self.images.retain(|(name, _)| *name != spec.image);
        self.images.push_front((spec.image.clone(), spec.image_gb));
        let used_gb = |images: &VecDeque<CachedImage>| images.iter().map(|(_, gb)| gb).sum::<f64>();
        while self.images.len() > 1 && used_gb(&self.images) > cache_gb {
            self.images.pop_back();
        }
    }
}

impl Machine {
    /// Returns a machine, added at `now`, of which only the identity is known. Its tokens begin
    /// with `first_counter`.
    pub(super) fn new(identity: MachineIdentity, first_counter: u64, now: Seconds) -> Machine {
        Machine {
            identity,
            registered: false,
            used: false,
            state: MachineState::NoHeartbeat,
            session: WorkerSession::default(),
            token: TokenAcknowledgement::starting_at(first_counter),
            commands: CommandChannel::default(),
            contents: MachineContents::empty(now),
            known_since: now,
            reclaim_at: None,
            draining: false,
            source_renews_until: None,
        }
    }

    /// Records whether the machine registry marks it as in use. A mark stays.
    pub(super) fn record_mark(&mut self, in_use: bool) {
        if in_use {
            self.used = true;
            self.state = self.state.after_mark();
        }
    }

    /// Whether the tasks on it are confirmed.
    pub(super) fn is_reconciled(&self) -> bool {
        self.state.is_reconciled()
    }

    /// Whether an image is probably in its cache.
    pub(super) fn has_image(&self, image: &str) -> bool {
        self.contents
            .images
            .iter()
            .any(|(name, _)| &**name == image)
    }

    /// Whether tasks of several jobs failed there. Only leaders of earlier versions take
    /// such a machine out of use.
    pub(super) fn is_faulty(&self) -> bool {
        self.contents.failed_jobs.len() >= FAULTY_AT_FAILED_JOBS
    }

    /// Returns the time since its last heartbeat. Without any, the time counts from
    /// `epoch_started_at`, or from when the machine was added to the shard if that was later.
    pub(super) fn silent_for(&self, epoch_started_at: Seconds, now: Seconds) -> Seconds {
        let start = epoch_started_at.max(self.known_since);
        self.session.silent_for(start, now)
    }

    /// Records whether a heartbeat shows that replies reach the worker. A worker whose
    /// heartbeat was relayed by another controller may receive no replies at all, so its
    /// token is raised from time to time: the worker has to acknowledge the new one.
    pub(super) fn record_seen_token(
        &mut self,
        heartbeat: &Heartbeat,
        epoch: u64,
        relayed: bool,
        timing: Timing,
        now: Seconds,
    ) {
        let of_this_epoch = token_epoch(heartbeat.token) == epoch;
        let unacknowledged = self.token.unacknowledged.as_ref();
        if unacknowledged.is_some_and(|sent| heartbeat.token >= sent.token) {
            self.token.unacknowledged = None;
        }
        // The worker's lease expired although replies to its heartbeats were sent in time.
        let restarted = self.session.id > 0 && heartbeat.session > self.session.id;
        let probed_lately = self
            .token
            .last_probe_at
            .is_some_and(|at| now - at < timing.lease_s / 2.0);
        if of_this_epoch && (restarted || relayed && !probed_lately) {
            self.token.counter += 1;
            self.token.last_probe_at = Some(now);
        }
    }

    /// Records that a reply with `token` was sent to a heartbeat that carried token `seen`.
    pub(super) fn record_reply(&mut self, seen: u64, token: u64, now: Seconds) {
        if seen >= token {
            return;
        }
        let sent = self
            .token
            .unacknowledged
            .get_or_insert(UnacknowledgedToken {
                token,
                first_sent_at: now,
                replies: 0,
            });
        sent.replies += 1;
    }

    /// Whether replies may not have reached its worker, or heartbeats not this controller, for
    /// longer than the worker takes to report again. While this is so, the machine gets no new
    /// tasks.
    pub(super) fn is_suspect(&self, report_s: Seconds, now: Seconds) -> bool {
        let replies_unacknowledged = self.token.unacknowledged.as_ref().is_some_and(|sent| {
            sent.replies >= SUSPECT_AFTER_REPLIES
                && now - sent.first_sent_at > report_s * SUSPECT_AFTER_INTERVALS
        });
        replies_unacknowledged
            || self.responding_without_heartbeat_s(now)
                > report_s * STOPPED_REPORTING_INTERVALS * 0.75
    }

    /// Whether its worker responds to direct commands but sends no heartbeats. Commands
    /// renew no lease, so the tasks on it will be killed, as will those started later.
    pub(super) fn stopped_reporting(&self, report_s: Seconds, now: Seconds) -> bool {
        self.responding_without_heartbeat_s(now) > report_s * STOPPED_REPORTING_INTERVALS
    }

    /// Returns the seconds for which the worker has responded to direct commands without
    /// sending a heartbeat; 0 if it has not.
    fn responding_without_heartbeat_s(&self, now: Seconds) -> Seconds {
        let period = self.commands.responses_without_heartbeat.as_ref();
        period.map_or(0.0, |period| now - period.began_at)
    }

    /// Records that its worker responded to a direct command. After a pause without
    /// commands the period starts over: during the pause this node had no right to send
    /// commands and also refused heartbeats, so the time before the pause proves nothing.
    /// Otherwise half of the machines would count as having stopped reporting after an outage.
    pub(super) fn record_command_response(&mut self, report_s: Seconds, now: Seconds) {
        match &mut self.commands.responses_without_heartbeat {
            Some(period) if now - period.last_at < report_s * STOPPED_REPORTING_INTERVALS / 1.5 => {
                period.last_at = now;
            }
            _ => {
                self.commands.responses_without_heartbeat = Some(ResponsePeriod {
                    began_at: now,
                    last_at: now,
                });
            }
        }
    }

    /// Whether its token can't be raised any more, so that no later start there could be
    /// fenced off.
    pub(super) fn token_exhausted(&self) -> bool {
        self.token.counter >= MAX_COUNTER
    }

    /// Returns stop commands for the reported tasks of cancelled jobs. They are sent even
    /// while the machine is unreconciled: replies without them renewed the lease of such
    /// tasks again and again while owners changed faster than a worker reports.
    pub(super) fn stops_for_cancelled(&self, cache: &StoreCache) -> Vec<Command> {
        let cancelled = |task: &Task| {
            let job = cache.jobs.get(&task.job);
            job.is_some_and(|job| job.record.cancelled)
        };
        self.contents
            .tasks
            .iter()
            .filter(|(task, observed)| observed.state != TaskState::Ended && cancelled(task))
            .map(|(task, observed)| Command::Stop {
                task: task.to_string(),
                attempt: observed.attempt,
                grace_s: 0.0,
            })
            .collect()
    }

    /// Whether its heartbeats arrive but neither replies nor commands reach its worker, for
    /// so long that a single lost reply can't be the cause: after one, a worker tries other
    /// controllers first.
    pub(super) fn ignores_commands(&self, report_s: Seconds, now: Seconds) -> bool {
        self.token.unacknowledged.as_ref().is_some_and(|sent| {
            sent.replies >= IGNORES_AFTER_REPLIES
                && now - sent.first_sent_at > report_s * IGNORES_AFTER_INTERVALS
        })
    }

    /// Whether a direct command may be sent now.
    pub(super) fn accepts_commands(&self, now: Seconds) -> bool {
        let backs_off = self.commands.retry_after.is_some_and(|at| now < at);
        let session_expired = self.session.id != 0 && self.session.has_ended();
        !self.commands.in_flight && !backs_off && !session_expired
    }

    /// Raises the token above `reported`, the token of a heartbeat, if that one is higher. It
    /// must not be of a later epoch than `epoch`.
    pub(super) fn catch_up_with_token(&mut self, epoch: u64, reported: u64) {
        if reported > token(epoch, self.token.counter) {
            self.token.counter = token_counter(reported) + 1;
        }
    }

    /// Records the session and the address in a newer heartbeat. Returns whether the
    /// session is new.
    pub(super) fn record_session(&mut self, heartbeat: &Heartbeat, now: Seconds) -> bool {
        let is_new = heartbeat.session > self.session.id;
        if is_new {
            self.session.first_seen_at = Some(now);
        }
        self.session.id = heartbeat.session;
        self.session.sequence = heartbeat.seq;
        self.identity.address = Some(heartbeat.address.as_str().into());
        is_new
    }

    /// Whether a heartbeat carries a token of this epoch that was issued for this record of the
    /// machine. A token of an earlier record may be of any age.
    pub(super) fn has_issued(&self, reported: u64, epoch: u64) -> bool {
        token_epoch(reported) == epoch && token_counter(reported) >= self.token.first_counter
    }

    /// Whether a heartbeat shows that its worker has seen the present token, or a higher one.
    pub(super) fn is_present_token_seen(&self, heartbeat: &Heartbeat, epoch: u64) -> bool {
        // Guard: a token that can't be raised any more may be that of an earlier record.
        !self.token_exhausted() && heartbeat.token >= token(epoch, self.token.counter)
    }

    /// Whether a heartbeat proves that its worker is alive. A late copy of an old heartbeat
    /// may arrive long after its machine was deleted, at a controller that never saw the
    /// original. A worker is certainly alive if it has seen a token that was issued for this
    /// record of its machine. It counts as
    /// alive if its machine is not marked as in use, as it then hardly sent an earlier heartbeat;
    /// a machine that is wrongly taken for alive gets no task before its worker has acknowledged a
    /// token. Any other worker is probed, and its response is the proof.
    pub(super) fn proves_alive(&self, heartbeat: &Heartbeat, epoch: u64) -> bool {
        let is_new = self.registered && !self.used;
        is_new || self.has_issued(heartbeat.token, epoch)
    }

    /// Raises the token by one if it is not above `floor`.
    pub(super) fn raise_token_above(&mut self, epoch: u64, floor: u64) {
        if token(epoch, self.token.counter) <= floor {
            self.token.counter += 1;
        }
    }
}
