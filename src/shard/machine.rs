//! One machine as its owner knows it: its worker's session, what it showed last
//! and which signs of trouble it gives.

use super::Timing;
use crate::clock::Seconds;
use crate::cluster::membership::{token, token_epoch, MAX_COUNTER};
use crate::store::cache::StoreCache;
use crate::wire::{Command, Heartbeat, JobId, Task, TaskState};
use finchwood_reconciliation::machine_state::MachineState;
use finchwood_reconciliation::verdict::Verdict;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::sync::Arc;

/// A worker that has answered direct commands for so many intervals without one
/// report is mute: it goes round all controllers in less.
const SILENT_REPORTS: f64 = 3.5;

#[derive(Debug, Clone)]
pub(super) struct Machine {
    pub(super) machine_type: Arc<str>,
    pub(super) zone: Arc<str>,
    pub(super) spot: bool,
    pub(super) address: Option<Arc<str>>,
    /// When the first command was sent that it has not answered.
    pub(super) asked: Option<Seconds>,
    /// Since when it does not answer, asked after a silence, while others of
    /// its zone are reached.
    pub(super) unanswered_since: Option<Seconds>,
    pub(super) listed: bool,
    pub(super) up: bool,
    /// What is known of its content.
    pub(super) state: MachineState,
    pub(super) session: u64,
    pub(super) seq: u64,
    pub(super) counter: u64,
    pub(super) heard: Option<Seconds>,
    /// When this shard came to know of it.
    pub(super) since: Seconds,
    /// When it was last sent an answer that renews its lease.
    pub(super) answered: Option<Seconds>,
    /// When its present session was first seen: it can't have begun later.
    pub(super) session_seen: Seconds,
    /// Sessions up to this one have ended, by the length of their lease.
    pub(super) over: u64,
    pub(super) lines: BTreeMap<Task, (u64, TaskState, Option<String>)>,
    pub(super) notice_until: Option<Seconds>,
    pub(super) draining: bool,
    pub(super) errors: HashSet<JobId>,
    pub(super) in_flight: bool,
    pub(super) direct_bad_until: Seconds,
    pub(super) idle_since: Seconds,
    pub(super) images: VecDeque<(Arc<str>, f64)>,
    pub(super) probe: bool,
    /// The first answer that the worker has not shown to have seen.
    pub(super) unacknowledged: Option<Unacknowledged>,
    /// When its token was last raised only to see whether it follows.
    pub(super) tested: Option<Seconds>,
    /// Direct commands answered without any report between.
    pub(super) unreported: Option<Unreported>,
    /// Until when the controller that gave it away may have renewed its worker's lease.
    pub(super) source_renews_until: Seconds,
    /// Its content was taken in at least once since its owner came to own it.
    pub(super) reconciled: bool,
    /// What was last judged of its tasks, other than that they are known.
    pub(super) judged: BTreeMap<Task, (u64, Verdict)>,
}

/// For how long a machine has answered direct commands without a report.
#[derive(Debug, Clone)]
pub(super) struct Unreported {
    pub(super) since: Seconds,
    pub(super) last: Seconds,
}

/// An answer that shows no effect.
#[derive(Debug, Clone)]
pub(super) struct Unacknowledged {
    pub(super) token: u64,
    pub(super) since: Seconds,
    pub(super) answers: u32,
}

impl Machine {
    pub(super) fn unknown(now: Seconds) -> Machine {
        Machine {
            machine_type: "".into(),
            zone: "".into(),
            spot: false,
            address: None,
            asked: None,
            unanswered_since: None,
            listed: false,
            up: false,
            state: MachineState::Unheard,
            session: 0,
            seq: 0,
            counter: 0,
            heard: None,
            since: now,
            answered: None,
            session_seen: 0.0,
            over: 0,
            lines: BTreeMap::new(),
            notice_until: None,
            draining: false,
            errors: HashSet::new(),
            in_flight: false,
            direct_bad_until: 0.0,
            idle_since: now,
            images: VecDeque::new(),
            probe: false,
            unacknowledged: None,
            tested: None,
            unreported: None,
            source_renews_until: f64::MIN,
            reconciled: false,
            judged: BTreeMap::new(),
        }
    }

    /// Whether its content is known.
    pub(super) fn certain(&self) -> bool {
        self.state.is_certain()
    }

    pub(super) fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|i| &*i.0 == image)
    }

    /// A machine on which tasks of two jobs failed is taken out of use.
    pub(super) fn faulty(&self) -> bool {
        self.errors.len() >= 2
    }

    /// Notes what a report shows of whether our answers reach the machine. A
    /// worker whose report came through another controller may hear nobody at
    /// all, so it is told a higher token now and then: it must show it.
    pub(super) fn note_seen_token(
        &mut self,
        r: &Heartbeat,
        epoch: u64,
        relayed: bool,
        timing: Timing,
        now: Seconds,
    ) {
        let mine = token_epoch(r.token) == epoch;
        if self
            .unacknowledged
            .as_ref()
            .is_some_and(|u| r.token >= u.token)
        {
            self.unacknowledged = None;
        }
        // Its lease ran out although it was answered well within it.
        let risen = mine && self.session > 0 && r.session > self.session;
        let tested = self.tested.is_some_and(|t| now - t < timing.lease_s / 2.0);
        if (risen || relayed && !tested) && mine {
            self.counter += 1;
            self.tested = Some(now);
        }
    }

    /// An answer with `token` went out to a report that showed `seen`.
    pub(super) fn told(&mut self, seen: u64, token: u64, now: Seconds) {
        if seen < token {
            let u = self.unacknowledged.get_or_insert(Unacknowledged {
                token,
                since: now,
                answers: 0,
            });
            u.answers += 1;
        }
    }

    /// An answer has not been heeded for longer than its worker takes to
    /// report again: no new work until it is.
    pub(super) fn suspect(&self, report_s: Seconds, now: Seconds) -> bool {
        self.unacknowledged
            .as_ref()
            .is_some_and(|u| u.answers >= 2 && now - u.since > report_s * 1.5)
            || self.unreported_for(now) > report_s * SILENT_REPORTS * 0.75
    }

    /// It answers direct commands but doesn't report: those renew no lease, so
    /// that what runs there will be killed, and what is started anew as well.
    pub(super) fn stopped_reporting(&self, report_s: Seconds, now: Seconds) -> bool {
        self.unreported_for(now) > report_s * SILENT_REPORTS
    }

    pub(super) fn unreported_for(&self, now: Seconds) -> Seconds {
        self.unreported.as_ref().map_or(0.0, |u| now - u.since)
    }

    /// It answered a direct command. Guard: where none was sent for a while, as
    /// this node had no right to command, reports were refused too, and what
    /// went before says nothing: an outage made half a fleet look mute.
    pub(super) fn obeyed(&mut self, report_s: Seconds, now: Seconds) {
        match &mut self.unreported {
            Some(u) if now - u.last < report_s * SILENT_REPORTS / 1.5 => u.last = now,
            _ => {
                self.unreported = Some(Unreported {
                    since: now,
                    last: now,
                })
            }
        }
    }

    /// Its token can't be raised any more: no start there could be proven dead.
    pub(super) fn spent(&self) -> bool {
        self.counter >= MAX_COUNTER
    }

    /// Stops for what it showed to run of cancelled jobs. They need no proof of
    /// what else is there: an answer without them renewed such tasks again and
    /// again while owners changed faster than a worker reports.
    pub(super) fn cancelled_stops(&self, cache: &StoreCache) -> Vec<Command> {
        let over = |t: &Task| cache.jobs.get(&t.job).is_some_and(|j| j.record.cancelled);
        let runs = self
            .lines
            .iter()
            .filter(|(t, l)| l.1 != TaskState::Ended && over(t));
        runs.map(|(t, l)| Command::Stop {
            task: t.to_string(),
            attempt: l.0,
            grace_s: 0.0,
        })
        .collect()
    }

    /// Its reports arrive, but nothing that it is answered or told reaches it:
    /// for so long that one lost answer, after which a worker tries other
    /// controllers first, can't be why.
    pub(super) fn ignores_commands(&self, report_s: Seconds, now: Seconds) -> bool {
        self.unacknowledged
            .as_ref()
            .is_some_and(|u| u.answers >= 3 && now - u.since > report_s * 3.0)
    }

    /// Makes the token higher than `floor`, if it isn't.
    pub(super) fn raise(&mut self, epoch: u64, floor: u64) {
        if floor != u64::MAX && token(epoch, self.counter) <= floor {
            self.counter += 1;
        }
    }
}
