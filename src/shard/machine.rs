//! One machine as its owner knows it: its worker's session, what it showed last,
//! and whether its heartbeats and our commands get through.

use super::Timing;
use crate::clock::Seconds;
use crate::cluster::membership::{token, token_counter, token_epoch, MAX_COUNTER};
use crate::store::cache::StoreCache;
use crate::wire::{Command, Heartbeat, JobId, JobSpec, Task, TaskReport, TaskState};
use finchwood_reconciliation::machine_state::MachineState;
use finchwood_reconciliation::verdict::{ReportedTask, Verdict};
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::sync::Arc;

/// A worker that has answered direct commands for so many intervals without one
/// heartbeat has stopped reporting: it tries all controllers in less.
const SILENT_REPORTS: f64 = 3.5;

/// A machine on which tasks of so many jobs failed is faulty.
const FAULTY_AT_FAILED_JOBS: usize = 2;

/// A machine that has seen none of so many answers, for so many reporting intervals,
/// gets no new work.
const SUSPECT_AFTER_ANSWERS: u32 = 2;
const SUSPECT_AFTER_REPORTS: f64 = 1.5;

/// A machine that has seen none of so many answers, for so many reporting intervals,
/// ignores commands.
const IGNORES_AFTER_ANSWERS: u32 = 3;
const IGNORES_AFTER_REPORTS: f64 = 3.0;

/// A machine of this shard.
#[derive(Debug, Clone)]
pub(super) struct Machine {
    /// What kind of machine it is, and where.
    pub(super) identity: MachineIdentity,
    /// It is on the machine registry.
    pub(super) registered: bool,
    /// Tasks may have been started there: the machine registry says so.
    pub(super) used: bool,
    /// What is known of its content.
    pub(super) state: MachineState,
    /// The session of its worker.
    pub(super) session: WorkerSession,
    /// The fencing token under which it is commanded.
    pub(super) token: TokenAcknowledgement,
    /// Direct commands to its worker.
    pub(super) commands: CommandChannel,
    /// What its worker last showed to be there.
    pub(super) contents: MachineContents,
    /// When this shard came to know of it.
    pub(super) known_since: Seconds,
    /// When the cloud takes it back, if it has given notice.
    pub(super) reclaimed_at: Option<Seconds>,
    /// It takes no more tasks, by the leader's order.
    pub(super) draining: bool,
    /// Until when the controller that gave it away may have renewed its worker's lease.
    pub(super) source_renews_until: Option<Seconds>,
}

/// What a machine is, and how to reach it.
#[derive(Debug, Clone)]
pub(super) struct MachineIdentity {
    pub(super) machine_type: Arc<str>,
    pub(super) zone: Arc<str>,
    /// The cloud may take it back at short notice.
    pub(super) spot: bool,
    /// Where its worker takes direct commands, once that is known.
    pub(super) address: Option<Arc<str>>,
}

/// The session of a machine's worker: a worker whose lease has expired kills its
/// tasks and begins a new one.
#[derive(Debug, Clone, Default)]
pub(super) struct WorkerSession {
    /// The newest session; 0 before the first heartbeat.
    pub(super) id: u64,
    /// The newest heartbeat of the session.
    pub(super) sequence: u64,
    /// When the session was first seen: it can't have begun later.
    pub(super) first_seen_at: Option<Seconds>,
    /// Sessions up to this one have ended, by the length of their lease.
    pub(super) ended_up_to: u64,
    /// When it last gave a sign of life that can't be a late copy.
    pub(super) last_heartbeat_at: Option<Seconds>,
    /// When it was last sent an answer that renews its lease.
    pub(super) last_answered_at: Option<Seconds>,
}

impl WorkerSession {
    /// Whether a heartbeat is no newer than the last one, or of a session that has ended.
    pub(super) fn is_outdated(&self, heartbeat: &Heartbeat) -> bool {
        (heartbeat.session, heartbeat.seq) <= (self.id, self.sequence)
            || heartbeat.session <= self.ended_up_to
    }

    /// Whether the session has ended by the length of its lease.
    pub(super) fn has_ended(&self) -> bool {
        self.id <= self.ended_up_to
    }

    /// For how long there has been no heartbeat, counted from `start` if there never was one.
    pub(super) fn silent_for(&self, start: Seconds, now: Seconds) -> Seconds {
        now - self.last_heartbeat_at.unwrap_or(start)
    }
}

/// The fencing token of a machine, and whether its worker shows that it has seen it.
#[derive(Debug, Clone, Default)]
pub(super) struct TokenAcknowledgement {
    /// The token within this shard's epoch.
    pub(super) counter: u64,
    /// The first answer that the worker has not shown to have seen.
    pub(super) unacknowledged: Option<UnacknowledgedToken>,
    /// When the token was last raised only to see whether the worker follows.
    pub(super) last_probe_at: Option<Seconds>,
}

/// The direct commands to a machine's worker.
#[derive(Debug, Clone, Default)]
pub(super) struct CommandChannel {
    /// A command was sent and neither answered nor given up yet.
    pub(super) in_flight: bool,
    /// The worker is to be asked for its state.
    pub(super) probe_due: bool,
    /// When the first command was sent that it has not answered.
    pub(super) outstanding_since: Option<Seconds>,
    /// Since when it does not answer, asked after a silence, while others of
    /// its zone are reached.
    pub(super) unanswered_since: Option<Seconds>,
    /// No command is sent before this time, as the last one failed.
    pub(super) retry_after: Option<Seconds>,
    /// Direct commands answered without any heartbeat between.
    pub(super) without_heartbeat: Option<ResponsePeriod>,
}

/// What a machine's worker last showed to be there.
#[derive(Debug, Clone)]
pub(super) struct MachineContents {
    /// The tasks of the newest heartbeat.
    pub(super) tasks: ObservedTasks,
    /// What was last judged of them, with the attempt, other than that they are known.
    pub(super) verdicts: BTreeMap<Task, (u64, Verdict)>,
    /// They were compared with the assigned tasks at least once since this shard came
    /// to own the machine.
    pub(super) compared: bool,
    /// Images that are likely cached, the latest first.
    pub(super) images: VecDeque<CachedImage>,
    /// Jobs of which a task failed there.
    pub(super) failed_jobs: HashSet<JobId>,
    /// Since when it has been idle.
    pub(super) idle_since: Seconds,
}

/// An image in a machine's cache: its name, and its size in gigabytes.
pub(super) type CachedImage = (Arc<str>, f64);

/// The tasks that a machine showed in its newest heartbeat.
pub(super) type ObservedTasks = BTreeMap<Task, ObservedTask>;

/// A task as its machine last showed it.
#[derive(Debug, Clone)]
pub(super) struct ObservedTask {
    pub(super) attempt: u64,
    pub(super) state: TaskState,
    /// Why it ended, in the worker's word.
    pub(super) cause: Option<String>,
}

impl ObservedTask {
    /// What a verdict on the task needs to know of it.
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

/// For how long a machine has answered direct commands without a heartbeat.
#[derive(Debug, Clone)]
pub(super) struct ResponsePeriod {
    pub(super) first_at: Seconds,
    pub(super) last_at: Seconds,
}

/// An answer that the worker has not shown to have seen.
#[derive(Debug, Clone)]
pub(super) struct UnacknowledgedToken {
    pub(super) token: u64,
    pub(super) first_sent_at: Seconds,
    /// Answers sent since, the first included.
    pub(super) answers: u32,
}

impl MachineContents {
    /// Nothing, as far as is known.
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

    /// Records that a task's image will be in the machine's cache of `cache_gb`, from which
    /// the oldest go when it is full.
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
    /// A machine of which nothing else is known at `now`.
    pub(super) fn new(identity: MachineIdentity, now: Seconds) -> Machine {
        Machine {
            identity,
            registered: false,
            used: false,
            state: MachineState::NoHeartbeat,
            session: WorkerSession::default(),
            token: TokenAcknowledgement::default(),
            commands: CommandChannel::default(),
            contents: MachineContents::empty(now),
            known_since: now,
            reclaimed_at: None,
            draining: false,
            source_renews_until: None,
        }
    }

    /// Whether its content is known.
    pub(super) fn is_reconciled(&self) -> bool {
        self.state.is_reconciled()
    }

    /// Whether an image is likely in its cache.
    pub(super) fn has_image(&self, image: &str) -> bool {
        self.contents
            .images
            .iter()
            .any(|(name, _)| &**name == image)
    }

    /// Whether tasks of several jobs failed there: it is taken out of use.
    pub(super) fn is_faulty(&self) -> bool {
        self.contents.failed_jobs.len() >= FAULTY_AT_FAILED_JOBS
    }

    /// For how long it has sent no heartbeat. One that never sent any counts from
    /// `epoch_started_at`, or from when it became known.
    pub(super) fn silent_for(&self, epoch_started_at: Seconds, now: Seconds) -> Seconds {
        let start = epoch_started_at.max(self.known_since);
        self.session.silent_for(start, now)
    }

    /// Records what a heartbeat shows of whether our answers reach the machine. A
    /// worker whose heartbeat came through another controller may hear nobody at
    /// all, so its token is raised now and then: it must show the new one.
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
        // Its lease expired although it was answered well within it.
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

    /// Records that an answer with `token` went out to a heartbeat that showed `seen`.
    pub(super) fn record_answer(&mut self, seen: u64, token: u64, now: Seconds) {
        if seen >= token {
            return;
        }
        let sent = self
            .token
            .unacknowledged
            .get_or_insert(UnacknowledgedToken {
                token,
                first_sent_at: now,
                answers: 0,
            });
        sent.answers += 1;
    }

    /// Whether answers may not reach it, or its heartbeats not us: for longer than its
    /// worker takes to report again. It gets no new work meanwhile.
    pub(super) fn is_suspect(&self, report_s: Seconds, now: Seconds) -> bool {
        let unseen = self.token.unacknowledged.as_ref().is_some_and(|sent| {
            sent.answers >= SUSPECT_AFTER_ANSWERS
                && now - sent.first_sent_at > report_s * SUSPECT_AFTER_REPORTS
        });
        unseen || self.without_heartbeat_for(now) > report_s * SILENT_REPORTS * 0.75
    }

    /// Whether it answers direct commands but sends no heartbeats: those commands renew
    /// no lease, so that what runs there will be killed, and what is started anew as well.
    pub(super) fn stopped_reporting(&self, report_s: Seconds, now: Seconds) -> bool {
        self.without_heartbeat_for(now) > report_s * SILENT_REPORTS
    }

    fn without_heartbeat_for(&self, now: Seconds) -> Seconds {
        let period = self.commands.without_heartbeat.as_ref();
        period.map_or(0.0, |period| now - period.first_at)
    }

    /// Records that it answered a direct command. After a while without any command the
    /// count begins anew: this node then had no right to command, and refused heartbeats
    /// too, so what went before says nothing. Otherwise an outage would make half of the
    /// machines look as if they had stopped reporting.
    pub(super) fn record_command_response(&mut self, report_s: Seconds, now: Seconds) {
        match &mut self.commands.without_heartbeat {
            Some(period) if now - period.last_at < report_s * SILENT_REPORTS / 1.5 => {
                period.last_at = now;
            }
            _ => {
                self.commands.without_heartbeat = Some(ResponsePeriod {
                    first_at: now,
                    last_at: now,
                });
            }
        }
    }

    /// Whether its token can't be raised any more: no start there could be proven dead.
    pub(super) fn token_exhausted(&self) -> bool {
        self.token.counter >= MAX_COUNTER
    }

    /// Stops for what it showed to run of cancelled jobs. They need no proof of
    /// what else is there: an answer without them renewed such tasks again and
    /// again while owners changed faster than a worker reports.
    pub(super) fn cancelled_stops(&self, cache: &StoreCache) -> Vec<Command> {
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

    /// Whether its heartbeats arrive, but nothing that it is answered or told reaches
    /// it: for so long that one lost answer, after which a worker tries other
    /// controllers first, can't be why.
    pub(super) fn ignores_commands(&self, report_s: Seconds, now: Seconds) -> bool {
        self.token.unacknowledged.as_ref().is_some_and(|sent| {
            sent.answers >= IGNORES_AFTER_ANSWERS
                && now - sent.first_sent_at > report_s * IGNORES_AFTER_REPORTS
        })
    }

    /// Whether a direct command may be sent now.
    pub(super) fn accepts_commands(&self, now: Seconds) -> bool {
        let waits = self.commands.retry_after.is_some_and(|at| now < at);
        let session_over = self.session.id != 0 && self.session.has_ended();
        !self.commands.in_flight && !waits && !session_over
    }

    /// Makes the token higher than one of this epoch that the worker showed, if it isn't
    /// as high.
    pub(super) fn follow_token(&mut self, epoch: u64, shown: u64) {
        if shown > token(epoch, self.token.counter) {
            self.token.counter = token_counter(shown) + 1;
        }
    }

    /// Records the session of a newer heartbeat; true if it is a new one.
    pub(super) fn follow_session(&mut self, heartbeat: &Heartbeat, now: Seconds) -> bool {
        let is_new = heartbeat.session > self.session.id;
        if is_new {
            self.session.first_seen_at = Some(now);
        }
        self.session.id = heartbeat.session;
        self.session.sequence = heartbeat.seq;
        self.identity.address = Some(heartbeat.address.as_str().into());
        is_new
    }

    /// Whether a heartbeat is a sign of life. A copy of an old one may come long after its
    /// machine is gone, to a controller that never saw the first: only a worker that has
    /// seen a token of this epoch is alive in it. One that was never used has sent no
    /// heartbeat before; whoever is neither is probed, and proves it.
    pub(super) fn shows_life(&self, heartbeat: &Heartbeat, epoch: u64) -> bool {
        let never_used = self.registered && !self.used;
        never_used || token_epoch(heartbeat.token) == epoch
    }

    /// Makes the token higher than `floor`, if it isn't.
    pub(super) fn raise_token_above(&mut self, epoch: u64, floor: u64) {
        if token(epoch, self.token.counter) <= floor {
            self.token.counter += 1;
        }
    }
}
