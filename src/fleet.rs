//! A part of the fleet: the machines that hash to this controller, what runs
//! on them, and the commands they are due. Pure: time comes in, commands go
//! out as values.
//!
//! The one thing that must never happen is a task starting while it is
//! somewhere else. A task held here leaves this part only on proof: it was
//! seen ended, its machine is off the roster, its worker began a new session,
//! or a report under a token above that of the last start doesn't list it.

use crate::clock::{self, Secs, When};
use crate::held::Holdings;
use crate::jobs::{Mirror, RosterRecord};
use crate::membership::{token, token_counter, token_epoch, MOST_COUNTER};
use crate::place::{self, Candidate};
use crate::silence::{Reached, Stretch};
use crate::wire::{
    cause, Call, Commands, JobId, JobSpec, MachineId, Rank, Report, Res, Shape, Task, TaskLine, TaskState,
    START_COUNTS_S,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;

/// A worker that has not reported for so many intervals is late, and is asked:
/// they vary by a quarter.
const LATE_REPORTS: f64 = 1.3;

/// A worker that has answered direct commands for so many intervals without one
/// report is mute: it goes round all controllers in less.
const MUTE_REPORTS: f64 = 3.5;

/// How a task left this part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Leave {
    /// Stopped by our command.
    Stopped,
    /// Failed on its machine.
    Error,
    /// Gone with its machine or session.
    Lost,
    /// Nothing here could take it, or the worker refused it.
    Passed,
}

/// A task that is certainly nowhere in this part any more.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Gone {
    pub task: Task,
    pub attempt: u64,
    pub how: Leave,
    pub machine: Option<MachineId>,
    /// The assignment that it was held under; 0 if the version doesn't say.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub assignment: u64,
    seq: u64,
}

/// What a held task is doing, as the leader sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    Queued,
    Starting,
    Fetching,
    Running,
    Saving,
    Done,
}

/// One held task in a part's report.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeldView {
    pub task: Task,
    pub attempt: u64,
    pub phase: Phase,
    pub machine: Option<MachineId>,
    /// The assignment that it is held under; 0 if the version doesn't say.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub assignment: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// One machine in a part's report: everything but how long ago things were,
/// so that a machine on which nothing happens need not be told again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineView {
    pub id: MachineId,
    pub kind: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
    /// What it holds is known under this owner's token.
    pub certain: bool,
    /// Heard of at all.
    pub heard: bool,
    /// On the roster.
    pub listed: bool,
    pub addr: Option<Arc<str>>,
    pub free: Res,
    /// What lower work than the highest rank's would give up for that.
    pub yielding: Res,
    /// Takes new tasks.
    pub open: bool,
    pub noticed: bool,
    pub faulty: bool,
    /// Only one way between it and its owner is open: its reports arrive, but it
    /// acts on nothing it is answered, or it obeys direct commands but doesn't
    /// report. Its worker's lease runs out all the same.
    pub heedless: bool,
    pub draining: bool,
    pub tasks: u32,
    /// Images that are likely cached there, by name.
    pub images: Vec<Arc<str>>,
}

/// A machine that has not been heard for a while.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Quiet {
    pub id: MachineId,
    pub silent_s: f64,
    /// Since when it has not answered when asked, while others of its zone were
    /// reached.
    pub deaf_s: Option<f64>,
}

/// What a part tells the leader: all that changed since report `since`, which
/// the leader is known to have taken in (0: the whole). Everything in it is
/// absolute, so that hearing a change twice does no harm; a report whose
/// `since` the leader doesn't have is dropped by it and told again.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PartReport {
    pub epoch: u64,
    pub node: String,
    pub inc: u64,
    /// All that was known in the epoch before is known still.
    #[serde(default)]
    pub kept: bool,
    pub since: u64,
    pub seq: u64,
    pub machines: Vec<MachineView>,
    /// Machines that are no longer this part's.
    pub unlisted: Vec<(MachineId, u64)>,
    pub held: Vec<HeldView>,
    pub gone: Vec<Gone>,
    /// Tasks no longer held that need no word: committed as finished.
    pub dropped: Vec<(Task, u64, u64)>,
    /// All machines that are silent now, whether that is new or not.
    pub quiet: Vec<Quiet>,
    /// How zones are reached with nobody in between.
    pub zones_met: Vec<(Arc<str>, Reached)>,
    /// Machines of other parts that came here, and how long ago.
    pub met: Vec<(MachineId, f64)>,
}

/// Tasks of one job dealt to a part.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Deal {
    pub job: JobId,
    /// Number and attempt.
    pub tasks: Vec<(u32, u64)>,
    /// For jobs whose tasks depend on each other: how many more each zone may take.
    pub zone_room: Option<Vec<(Arc<str>, u32)>>,
    pub avoid: Vec<MachineId>,
    /// Number and assignment of tasks whose attempt is older than their
    /// assignment: those of gangs, which share one attempt. Versions without
    /// gangs leave this out and take no such task twice.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub assignments: Vec<(u32, u64)>,
}

impl Deal {
    /// The assignment of a task: its attempt, if nothing else is said.
    fn assignment(&self, index: u32, attempt: u64) -> u64 {
        self.assignments.iter().find(|(i, _)| *i == index).map_or(attempt, |(_, assignment)| *assignment)
    }
}

/// All that the leader tells a part.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Orders {
    pub epoch: u64,
    pub node: String,
    pub seq: u64,
    /// The newest report of the part that the leader has taken in.
    pub ack: u64,
    pub deals: Vec<Deal>,
    /// Tasks to give back.
    pub recall: Vec<(Task, u64)>,
    /// Machines that take no more tasks.
    pub drain: Vec<MachineId>,
    /// Running tasks per job, for display; told now and then.
    pub running: Option<Vec<(JobId, u32)>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stop {
    Cancelled,
    Recalled,
    Preempted,
    Notice,
}

#[derive(Debug, Clone)]
pub(crate) struct Place {
    pub machine: MachineId,
    pub session: u64,
    pub phase: Phase,
    /// The token under which the last start was sent (or the task adopted);
    /// the highest number while no start can be under way.
    pub start_token: u64,
    pub sent: bool,
    pub confirmed: bool,
    pub stop: Option<Stop>,
    pub stop_sent: bool,
    pub since: Secs,
}

#[derive(Debug, Clone)]
pub(crate) struct Held {
    pub attempt: u64,
    /// Tells one assignment of an attempt from the next.
    pub assignment: u64,
    pub at: Option<Place>,
    pub since: Secs,
    pub avoid: Vec<MachineId>,
    /// As the leader was last told, and in which report.
    pub told: Option<Told>,
}

/// What a report said of a task, and which.
#[derive(Debug, Clone)]
pub(crate) struct Told {
    pub attempt: u64,
    pub phase: Phase,
    pub machine: Option<MachineId>,
    pub seq: u64,
}

/// Zone bounds of a job whose tasks depend on each other.
#[derive(Debug, Clone, Default)]
struct Bounds {
    room: BTreeMap<Arc<str>, u32>,
}

#[derive(Debug, Clone)]
struct Machine {
    kind: Arc<str>,
    zone: Arc<str>,
    spot: bool,
    addr: Option<Arc<str>>,
    /// When the first command was sent that it has not answered.
    asked: Option<Secs>,
    /// Since when it does not answer, asked after a silence, while others of
    /// its zone are reached.
    deaf: Option<Secs>,
    listed: bool,
    up: bool,
    certain: bool,
    session: u64,
    seq: u64,
    counter: u64,
    heard: Option<Secs>,
    /// When this part came to know of it.
    since: Secs,
    /// When it was last sent an answer that renews its lease.
    answered: Option<Secs>,
    /// When its present session was first seen: it can't have begun later.
    session_seen: Secs,
    /// Sessions up to this one have ended, by the length of their lease.
    over: u64,
    lines: BTreeMap<Task, (u64, TaskState, Option<String>)>,
    notice_until: Option<Secs>,
    draining: bool,
    errors: HashSet<JobId>,
    in_flight: bool,
    direct_bad_until: Secs,
    idle_since: Secs,
    images: VecDeque<(Arc<str>, f64)>,
    probe: bool,
    /// The first answer that the worker has not shown to have seen.
    unheeded: Option<Unheeded>,
    /// When its token was last raised only to see whether it follows.
    tested: Option<Secs>,
    /// Direct commands answered without any report between.
    unreported: Option<Unreported>,
}

/// For how long a machine has answered direct commands without a report.
#[derive(Debug, Clone)]
struct Unreported {
    since: Secs,
    last: Secs,
}

/// An answer that shows no effect.
#[derive(Debug, Clone)]
struct Unheeded {
    token: u64,
    since: Secs,
    answers: u32,
}

/// Settings that a part needs.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    pub report_s: Secs,
    pub lease_s: Secs,
    /// The longest that a member left out of an epoch may not know of it.
    pub member_life_s: Secs,
}

/// A part of the fleet.
#[derive(Debug)]
pub struct Part {
    node: String,
    timing: Timing,
    /// Classes with an aim for their start.
    start_aims: HashMap<Arc<str>, f64>,
    epoch: u64,
    entered: Secs,
    inc: u64,
    kept: bool,
    machines: BTreeMap<MachineId, Machine>,
    held: Holdings,
    gone: Vec<Gone>,
    dropped: Vec<(Task, u64, u64)>,
    unlisted: Vec<(MachineId, u64)>,
    /// Machines as the leader was last told, and in which report.
    told: HashMap<MachineId, (MachineView, u64)>,
    /// The newest report that the leader has taken in.
    acked: u64,
    /// The highest assignment seen of each task: a late copy of a deal does nothing.
    seen: HashMap<Task, u64>,
    bounds: HashMap<JobId, Bounds>,
    /// How zones are reached with nobody in between.
    reached: BTreeMap<Arc<str>, Stretch>,
    seq: u64,
    orders_seq: u64,
    /// Something changed that the leader should hear.
    pub dirty: bool,
}

/// A task with its attempt.
type Attempt = (Task, u64);

/// What to answer a worker.
#[derive(Debug, Clone, PartialEq)]
pub enum ReportReply {
    /// 200 with token and commands.
    Commands { token: u64, commands: Vec<Call> },
    /// 503: not entitled, or the report is older than one already seen.
    Refuse,
}

/// Commands to send directly.
#[derive(Debug, Clone)]
pub struct Direct {
    pub machine: MachineId,
    pub addr: Arc<str>,
    pub body: Commands,
    /// It has not been heard lately: it may not answer, and must not hold up
    /// what is meant for those that do.
    pub doubtful: bool,
}

/// How many direct commands may go out: to machines heard lately, and to those
/// in doubt.
#[derive(Debug, Clone, Copy)]
pub struct DirectRoom {
    pub sound: usize,
    pub doubtful: usize,
}

impl Part {
    /// An empty part, a member of no epoch.
    pub fn new(node: &str, timing: Timing, start_aims: HashMap<Arc<str>, f64>) -> Part {
        Part {
            node: node.into(),
            timing,
            start_aims,
            epoch: 0,
            entered: 0.0,
            inc: 0,
            kept: false,
            machines: BTreeMap::new(),
            held: Holdings::default(),
            gone: Vec::new(),
            dropped: Vec::new(),
            unlisted: Vec::new(),
            told: HashMap::new(),
            acked: 0,
            seen: HashMap::new(),
            bounds: HashMap::new(),
            reached: BTreeMap::new(),
            seq: 0,
            orders_seq: 0,
            dirty: true,
        }
    }

    /// The epoch this part acts in.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Enters an epoch. What was known is kept only if this incarnation was a
    /// member of the epoch just before: otherwise somebody else may have
    /// owned the machines in between.
    pub fn enter(&mut self, epoch: u64, inc: u64, mirror: &Mirror, now: Secs, owns: impl Fn(&str) -> bool) {
        let stays = inc == self.inc && epoch == self.epoch + 1;
        if !stays {
            let fresh = Part::new(&self.node, self.timing, std::mem::take(&mut self.start_aims));
            *self = fresh;
        }
        self.epoch = epoch;
        self.entered = now;
        self.inc = inc;
        self.kept = stays;
        self.orders_seq = 0;
        // The whole is told anew.
        self.acked = 0;
        self.told.clear();
        self.dropped.clear();
        self.unlisted.clear();
        self.machines.retain(|id, _| owns(id));
        let machines = &self.machines;
        self.held.retain(|_, h| h.at.as_ref().is_none_or(|p| machines.contains_key(&p.machine)));
        for (id, (record, _)) in &mirror.roster {
            if owns(id) {
                self.list(id, record, now);
            }
        }
        self.dirty = true;
    }

    /// A machine of this part is on the roster, or was changed there.
    pub fn list(&mut self, id: &MachineId, record: &RosterRecord, now: Secs) {
        let m = self.machines.entry(id.clone()).or_insert_with(|| Machine {
            kind: record.kind.clone(),
            zone: record.zone.clone(),
            spot: record.spot,
            // Never used by anybody: the roster would say so.
            certain: !record.up,
            ..Machine::unknown(now)
        });
        m.listed = true;
        m.up |= record.up;
        if m.addr.is_none() {
            m.addr.clone_from(&record.addr);
        }
        self.dirty = true;
    }

    /// A machine is off the roster: it and all that was on it are gone.
    pub fn unlist(&mut self, id: &MachineId) {
        if self.machines.remove(id).is_some() {
            self.lose(id, u64::MAX);
            self.unlisted.push((id.clone(), self.seq + 1));
        }
        self.dirty = true;
    }

    /// The machines of this part that are on the roster.
    pub fn listed_machines(&self) -> Vec<MachineId> {
        self.machines.iter().filter(|(_, m)| m.listed).map(|(id, _)| id.clone()).collect()
    }

    fn lose(&mut self, id: &MachineId, below_session: u64) {
        let lost: Vec<Task> = self
            .held
            .on(id)
            .filter(|(_, h)| {
                h.at.as_ref().is_some_and(|p| {
                    p.session < below_session && p.phase != Phase::Done || below_session == u64::MAX
                })
            })
            .map(|(t, _)| t.clone())
            .collect();
        for task in lost {
            self.leave(&task, Leave::Lost);
        }
    }

    fn leave(&mut self, task: &Task, how: Leave) {
        if let Some(h) = self.held.remove(task) {
            let how = match (&h.at, how) {
                (Some(p), Leave::Lost) if p.stop.is_some() => Leave::Stopped,
                _ => how,
            };
            tracing::debug!(%task, ?how, stop = ?h.at.as_ref().and_then(|p| p.stop), machine = ?h.at.as_ref().map(|p| &p.machine), "left");
            self.gone.push(Gone {
                task: task.clone(),
                attempt: h.attempt,
                how,
                assignment: h.assignment,
                machine: h.at.map(|p| p.machine),
                seq: self.seq + 1,
            });
            self.dirty = true;
        }
    }

    /// A report came, and be it that this node has no right to answer it: its
    /// machine is not mute.
    pub fn came(&mut self, id: &MachineId) {
        if let Some(m) = self.machines.get_mut(id) {
            m.unreported = None;
        }
    }

    /// Takes in a worker's report and composes the answer.
    pub fn report(&mut self, r: &Report, relayed: bool, mirror: &Mirror, now: Secs) -> ReportReply {
        if token_epoch(r.token) > self.epoch {
            // Somebody with a later epoch commands it: an answer of ours
            // would only be dropped.
            return ReportReply::Refuse;
        }
        let epoch = self.epoch;
        let known = mirror.roster.get(&r.machine).map(|(record, _)| record.clone());
        let m = self.machines.entry(r.machine.clone()).or_insert_with(|| Machine {
            kind: r.kind.clone(),
            zone: r.zone.clone(),
            spot: r.spot,
            ..Machine::unknown(now)
        });
        if let Some(record) = known {
            m.listed = true;
            m.up |= record.up;
        }
        if (r.session, r.seq) <= (m.session, m.seq) || r.session <= m.over {
            return ReportReply::Refuse;
        }
        m.answered = Some(now);
        m.unreported = None;
        if r.token > token(epoch, m.counter) {
            m.counter = token_counter(r.token) + 1;
        }
        m.heed(r, epoch, relayed, self.timing, now);
        self.take_in(r, mirror, now);
        if let Some(m) = self.machines.get(&r.machine).filter(|m| !relayed && m.heard == Some(now)) {
            let zone = m.zone.clone();
            self.reach(&zone, now);
        }
        let (token, commands) = self.compose(&r.machine, mirror, now, false);
        if let Some(m) = self.machines.get_mut(&r.machine) {
            m.told(r.token, token, now);
        }
        ReportReply::Commands { token, commands }
    }

    /// A machine of a zone was reached with nobody in between.
    fn reach(&mut self, zone: &Arc<str>, now: Secs) {
        let known = self.reached.get(zone).copied();
        let stretch = Stretch::reached(known, now, self.timing.report_s);
        self.reached.insert(zone.clone(), stretch);
        if known.is_some_and(|k| k.first != stretch.first) {
            // The zone is back: all its machines are asked at once, as what may
            // be on them waits for their answers.
            for m in self.machines.values_mut().filter(|m| m.zone == *zone) {
                m.direct_bad_until = m.direct_bad_until.min(now);
            }
        }
    }

    /// Takes in the newest known state of a machine.
    fn take_in(&mut self, r: &Report, mirror: &Mirror, now: Secs) {
        let id = r.machine.clone();
        let Some(m) = self.machines.get_mut(&id) else { return };
        if (r.session, r.seq) <= (m.session, m.seq) || r.session <= m.over {
            return;
        }
        let new_session = r.session > m.session;
        if new_session {
            m.session_seen = now;
        }
        m.session = r.session;
        m.seq = r.seq;
        m.addr = Some(r.addr.as_str().into());
        // A copy of an old report may come long after its machine is gone, to
        // a node that never saw the first: only a worker that has seen a token
        // of this epoch is alive in it. One that was never used has sent no
        // report before; whoever is neither is asked, and proves it.
        let fresh = m.listed && !m.up;
        let alive = fresh || token_epoch(r.token) == self.epoch;
        if alive {
            m.asked = None;
            m.deaf = None;
        }
        if m.heard.is_none() && alive {
            m.idle_since = now;
            self.dirty = true;
        }
        if let Some(s) = r.notice_s {
            if m.notice_until.is_none() {
                self.dirty = true;
            }
            m.notice_until = Some(now + s);
        }
        m.lines = r
            .tasks
            .iter()
            .filter_map(|l: &TaskLine| Some((Task::parse(&l.task)?, (l.attempt, l.state, l.why.clone()))))
            .collect();
        if m.heard.is_none() && r.token < token(self.epoch, m.counter) {
            // Thought to be past its lease, and here it is: whatever it says
            // may be old until it has seen our token.
            m.certain = m.certain && !m.up;
        }
        if alive {
            m.heard = Some(now);
        }
        if !m.certain {
            if r.token >= token(self.epoch, m.counter) {
                m.certain = true;
                m.probe = false;
                self.dirty = true;
            } else {
                // Ask at once under our token: its answer is proof.
                m.probe = true;
            }
        }
        let certain = m.certain;
        if new_session {
            self.lose(&id, r.session);
        }
        if certain {
            self.reconcile(&id, r.token, mirror, now);
        }
        if let Some(m) = self.machines.get_mut(&id) {
            if !m.lines.is_empty() || self.held.count_on(&id) > 0 {
                m.idle_since = now;
            }
        }
    }

    fn reconcile(&mut self, id: &MachineId, seen_token: u64, mirror: &Mirror, now: Secs) {
        let Some(m) = self.machines.get_mut(id) else { return };
        let lines = std::mem::take(&mut m.lines);
        let session = m.session;
        for (task, (attempt, state, why)) in &lines {
            match self.seen.get_mut(task) {
                Some(seen) => *seen = (*seen).max(*attempt),
                None => {
                    self.seen.insert(task.clone(), *attempt);
                }
            }
            match self.held.get(task) {
                Some(h) if h.attempt == *attempt && h.at.as_ref().is_some_and(|p| p.machine == *id) => {
                    self.progress(task, *state, why.as_deref(), now);
                }
                Some(h) if *state != TaskState::Ended || why.as_deref() == Some("done") => {
                    // Held under another attempt or elsewhere, yet it is here.
                    // What is seen wins over what is merely planned.
                    if h.at.is_none() || (why.as_deref() == Some("done") && h.at.is_none()) {
                        let stale = h.attempt;
                        tracing::warn!(%task, stale, attempt, "dealt task found on a machine");
                        self.held.place(task, *attempt, Place::adopted(id, session, seen_token, now));
                        self.progress(task, *state, why.as_deref(), now);
                        self.dirty = true;
                    }
                }
                Some(_) => {}
                None => {
                    // One that runs is held even if its job is cancelled: until it
                    // has stopped it takes its team's room.
                    let runs = *state != TaskState::Ended;
                    let done = !runs && why.as_deref() == Some("done");
                    if runs || done && !finished(mirror, task) {
                        self.held.insert(
                            task.clone(),
                            Held {
                                attempt: *attempt,
                                assignment: *attempt,
                                at: Some(Place::adopted(id, session, seen_token, now)),
                                since: now,
                                avoid: Vec::new(),
                                told: None,
                            },
                        );
                        self.progress(task, *state, why.as_deref(), now);
                        self.dirty = true;
                        if finished(mirror, task) {
                            self.recall(task, *attempt, Stop::Cancelled);
                        }
                    }
                }
            }
        }
        let absent: Vec<(Task, bool, bool, bool)> = self
            .held
            .on(id)
            .filter(|(t, h)| lines.get(*t).is_none_or(|l| l.0 != h.attempt))
            .map(|(t, h)| {
                let p = h.at.as_ref();
                let proof = p.is_some_and(|p| seen_token > p.start_token);
                (t.clone(), proof, p.is_some_and(|p| p.confirmed), p.is_some_and(|p| p.stop.is_some()))
            })
            .collect();
        for (task, proof, confirmed, stopping) in absent {
            if proof && (confirmed || stopping) {
                self.leave(&task, if stopping { Leave::Stopped } else { Leave::Lost });
            } else if proof {
                // Not there and can't come any more: start it anew.
                if let Some(p) = self.held.place_mut(&task) {
                    p.sent = false;
                    p.start_token = u64::MAX;
                }
            } else if confirmed || stopping {
                if let Some(m) = self.machines.get_mut(id) {
                    m.raise(self.epoch, seen_token);
                    m.probe = true;
                }
            }
        }
        if let Some(m) = self.machines.get_mut(id) {
            m.lines = lines;
        }
    }

    fn progress(&mut self, task: &Task, state: TaskState, why: Option<&str>, now: Secs) {
        let Some(since) = self.held.get(task).map(|h| h.since) else { return };
        let Some(p) = self.held.place_mut(task) else { return };
        p.confirmed = true;
        p.sent = true;
        let phase = match state {
            // A gang that gathers does not run yet.
            TaskState::Fetching | TaskState::Gathering => Phase::Fetching,
            TaskState::Running | TaskState::Other => Phase::Running,
            TaskState::Saving => Phase::Saving,
            TaskState::Ended => match why {
                Some(cause::DONE) => Phase::Done,
                Some(cause::STOPPED) => return self.leave(task, Leave::Stopped),
                Some(cause::ERROR) => {
                    let machine = p.machine.clone();
                    if let Some(m) = self.machines.get_mut(&machine) {
                        m.errors.insert(task.job.clone());
                    }
                    return self.leave(task, Leave::Error);
                }
                // Refused: it can't have had its image under this assignment.
                Some(cause::NO_ROOM | cause::BUSY | cause::UNKNOWN) | None => {
                    return self.leave(task, Leave::Passed)
                }
                // The attempt of its gang is over, or something this version
                // doesn't know: neither is the fault of the machine or the job.
                Some(_) => return self.leave(task, Leave::Lost),
            },
        };
        if p.phase != phase {
            tracing::debug!(%task, ?phase, after = now - since, "now");
            p.phase = phase;
            p.since = now;
            self.dirty = true;
        }
    }

    /// The commands a machine is due. Reaps wait while a direct command is
    /// unanswered, and always carry a token above every earlier start's: a
    /// late copy of a start would run a reaped attempt again.
    fn compose(&mut self, id: &MachineId, mirror: &Mirror, now: Secs, direct: bool) -> (u64, Vec<Call>) {
        let epoch = self.epoch;
        let Some(m) = self.machines.get_mut(id) else { return (token(epoch, 0), Vec::new()) };
        if !m.certain || m.spent() {
            return (token(epoch, m.counter), m.cancelled_stops(mirror));
        }
        let mut commands = Vec::new();
        if !m.in_flight {
            for (task, (attempt, state, why)) in &m.lines {
                let held = self.held.get(task).is_some_and(|h| {
                    h.attempt == *attempt && h.at.as_ref().is_some_and(|p| p.machine == *id)
                });
                let release = match why.as_deref() {
                    Some("done") => finished(mirror, task),
                    _ => !held,
                };
                if *state == TaskState::Ended && release {
                    commands.push(Call::Forget { task: task.to_string(), attempt: *attempt });
                }
            }
            if !commands.is_empty() {
                m.counter += 1;
            }
        }
        for (task, (attempt, state, _)) in &m.lines {
            let ours = self
                .held
                .get(task)
                .is_some_and(|h| h.attempt == *attempt && h.at.as_ref().is_some_and(|p| p.machine == *id));
            if *state != TaskState::Ended && !ours {
                commands.push(Call::Stop { task: task.to_string(), attempt: *attempt, grace_s: 0.0 });
            }
        }
        let now_token = token(epoch, m.counter);
        for task in &self.held.names_on(id) {
            let Some(attempt) = self.held.get(task).map(|h| h.attempt) else { continue };
            let Some(p) = self.held.place_mut(task) else { continue };
            if let Some(stop) = p.stop {
                if p.phase != Phase::Done {
                    let save = mirror.jobs.get(&task.job).and_then(|j| j.record.spec.as_ref());
                    let grace_s = match (stop, save) {
                        (Stop::Cancelled, _) | (_, None) => 0.0,
                        (_, Some(s)) => {
                            if s.checkpoint_s > 0.0 {
                                s.save_s
                            } else {
                                0.0
                            }
                        }
                    };
                    // A second stop would end a saving task.
                    if p.phase != Phase::Saving || grace_s == 0.0 {
                        commands.push(Call::Stop { task: task.to_string(), attempt, grace_s });
                    }
                    p.stop_sent = true;
                }
            } else if !p.confirmed && m.up {
                commands.push(Call::Start { task: task.to_string(), attempt });
                p.start_token = now_token;
                p.session = m.session;
                p.sent = true;
            }
        }
        if direct {
            m.in_flight = true;
        }
        let _ = now;
        (now_token, commands)
    }

    /// Direct commands that are due now.
    pub fn directs(&mut self, mirror: &Mirror, now: Secs) -> Vec<Direct> {
        self.directs_within(mirror, now, DirectRoom { sound: usize::MAX, doubtful: usize::MAX })
    }

    /// Direct commands that are due now, as many as there is room for. The rest
    /// stay due: to give one up that was never sent would raise its machine's
    /// token for nothing.
    pub fn directs_within(&mut self, mirror: &Mirror, now: Secs, mut room: DirectRoom) -> Vec<Direct> {
        let mut due: BTreeSet<MachineId> = BTreeSet::new();
        for (_, h) in self.held.iter() {
            if let Some(p) = &h.at {
                if (!p.sent && p.stop.is_none()) || (p.stop.is_some() && !p.stop_sent) {
                    due.insert(p.machine.clone());
                }
            }
        }
        // Ask machines that were taken over, and those that are late to report.
        let late = self.timing.report_s * LATE_REPORTS;
        let entered = self.entered;
        due.extend(
            self.machines
                .iter()
                .filter(|(_, m)| {
                    m.probe
                        || m.up && !m.certain && m.session == 0
                        || m.up && now - m.heard.unwrap_or(entered.max(m.since)) > late
                })
                .map(|(id, _)| id.clone()),
        );
        let mut out = Vec::new();
        for id in due {
            let Some(m) = self.machines.get_mut(&id) else { continue };
            if m.in_flight || now < m.direct_bad_until || m.session <= m.over && m.session != 0 {
                continue;
            }
            let (Some(addr), session) = (m.addr.clone(), m.session) else { continue };
            let doubtful = m.deaf.is_some() || m.heard.is_none_or(|h| now - h > late);
            let left = if doubtful { &mut room.doubtful } else { &mut room.sound };
            if *left == 0 {
                continue;
            }
            *left -= 1;
            m.probe = false;
            m.asked = m.asked.or(Some(now));
            if !m.certain {
                m.in_flight = true;
                let commands = m.cancelled_stops(mirror);
                let body = Commands { token: token(self.epoch, m.counter), session, commands };
                out.push(Direct { machine: id, addr, body, doubtful });
                continue;
            }
            let (token, commands) = self.compose(&id, mirror, now, true);
            out.push(Direct { machine: id, addr, body: Commands { token, session, commands }, doubtful });
        }
        out
    }

    /// A direct command was answered (with the worker's report), or not.
    pub fn direct_done(
        &mut self,
        id: &MachineId,
        sent: &Commands,
        answer: Option<&Report>,
        mirror: &Mirror,
        now: Secs,
    ) {
        let (epoch, report_s) = (self.epoch, self.timing.report_s);
        let Some(m) = self.machines.get_mut(id) else { return };
        m.in_flight = false;
        match answer {
            Some(r) if r.machine == *id && token_epoch(r.token) <= epoch => {
                // It has just been reached: what it is told reaches it. That
                // renews no lease, though: only an answered report does.
                m.unheeded = None;
                m.obeyed(report_s, now);
                if r.token > token(epoch, m.counter) {
                    m.counter = token_counter(r.token) + 1;
                }
                if r.token > sent.token || r.session != sent.session {
                    m.probe = true;
                    for task in self.held.names_on(id) {
                        if let Some(p) = self.held.place_mut(&task).filter(|p| !p.confirmed) {
                            p.sent = false;
                        }
                    }
                }
                let zone = m.zone.clone();
                self.take_in(r, mirror, now);
                self.reach(&zone, now);
            }
            _ => {
                // It may be executed yet: whatever it held is dead once the
                // worker has seen a higher token. A question alone, or a stop, is
                // harmless however late it comes; a higher token for each that
                // gets no answer would keep a machine uncertain, and what runs
                // there renewed, for as long as commands don't reach it.
                if sent.commands.iter().any(|c| !matches!(c, Call::Stop { .. })) {
                    m.counter += 1;
                }
                // One taken over that doesn't answer the first question is
                // suspected at once, but only if others of its zone are reached
                // meanwhile. It is asked once more, as it may only just be back
                // from a short cut.
                let late = m.heard.is_none_or(|h| now - h > report_s * LATE_REPORTS);
                let asked = m.asked.unwrap_or(now);
                let others = self.reached.get(&m.zone).is_some_and(|s| s.last > asked);
                let suspect = late && others && m.deaf.is_none();
                m.direct_bad_until = if suspect { now } else { now + report_s };
                if suspect {
                    m.deaf = Some(now);
                }
            }
        }
    }

    /// Takes in the leader's orders.
    pub fn orders(&mut self, o: &Orders, mirror: &Mirror, now: Secs) {
        if o.epoch != self.epoch || o.node != self.node {
            return;
        }
        for deal in &o.deals {
            let live = mirror.jobs.get(&deal.job).is_some_and(|j| j.live());
            let mut fresh = false;
            for &(index, attempt) in &deal.tasks {
                let task = Task { job: deal.job.clone(), index };
                let assignment = deal.assignment(index, attempt);
                let seen = self.seen.entry(task.clone()).or_insert(0);
                if assignment <= *seen {
                    continue;
                }
                if !mirror.jobs.contains_key(&deal.job) {
                    // The mirror is behind the leader's: the deal comes again.
                    continue;
                }
                *seen = assignment;
                fresh = true;
                if let Some(old) = self.held.get(&task) {
                    tracing::warn!(%task, old = old.attempt, attempt, "dealt a task that is held already");
                    continue;
                }
                let avoid = deal.avoid.clone();
                let held = Held { attempt, assignment, at: None, since: now, avoid, told: None };
                self.held.insert(task.clone(), held);
                if !live {
                    self.leave(&task, Leave::Stopped);
                }
            }
            if fresh {
                if let Some(room) = &deal.zone_room {
                    self.bounds.insert(deal.job.clone(), Bounds { room: room.iter().cloned().collect() });
                }
            }
        }
        self.dirty |= !o.deals.is_empty();
        if o.seq <= self.orders_seq {
            return;
        }
        self.orders_seq = o.seq;
        self.acked = o.ack.min(self.seq);
        self.gone.retain(|g| g.seq > o.ack);
        self.dropped.retain(|d| d.2 > o.ack);
        self.unlisted.retain(|u| u.1 > o.ack);
        for (task, attempt) in &o.recall {
            // One that has only just started is moved later: users count on
            // a start for that long.
            let young = self.held.get(task).and_then(|h| h.at.as_ref()).is_some_and(|p| {
                p.phase == Phase::Running && p.stop.is_none() && now - p.since < START_COUNTS_S
            });
            // Guard: the tasks of a gang are stopped together or lose their progress.
            let spec = mirror.jobs.get(&task.job).and_then(|j| j.record.spec.as_ref());
            let gang = spec.is_some_and(|s| s.shape == Shape::Gang);
            if !young || gang {
                self.recall(task, *attempt, Stop::Recalled);
            }
        }
        for (id, m) in &mut self.machines {
            let drain = o.drain.contains(id);
            self.dirty |= drain != m.draining;
            m.draining = drain;
        }
    }

    fn recall(&mut self, task: &Task, attempt: u64, why: Stop) {
        let epoch = self.epoch;
        if self.held.get(task).is_none_or(|h| h.attempt != attempt) {
            return;
        }
        match self.held.place_mut(task) {
            None => self.leave(task, Leave::Stopped),
            // Saving for another start: nobody has any use for that any more, and
            // it may take longer than a cancelled task may.
            Some(p) if p.stop.is_some_and(|s| s != why) && why == Stop::Cancelled => {
                p.stop = Some(why);
                p.stop_sent = false;
            }
            Some(p) if p.stop.is_none() && p.phase != Phase::Done => {
                p.stop = Some(why);
                p.stop_sent = false;
                if !p.confirmed {
                    if p.start_token == u64::MAX {
                        // No start was ever sent, or it is proven dead.
                        return self.leave(task, Leave::Stopped);
                    }
                    let (id, floor) = (p.machine.clone(), p.start_token);
                    if let Some(m) = self.machines.get_mut(&id) {
                        m.raise(epoch, floor);
                        m.probe = true;
                    }
                }
            }
            Some(_) => {}
        }
    }

    /// A job changed in the mirror: cancelled tasks are stopped, finished
    /// ones are let go of.
    pub fn job_changed(&mut self, id: &JobId, mirror: &Mirror) {
        let Some(job) = mirror.jobs.get(id) else { return };
        let from = Task { job: id.clone(), index: 0 };
        let to = Task { job: id.clone(), index: u32::MAX };
        let tasks: Vec<(Task, u64, bool)> = self
            .held
            .range(from..=to)
            .map(|(t, h)| (t.clone(), h.attempt, h.at.as_ref().is_some_and(|p| p.phase == Phase::Done)))
            .collect();
        for (task, attempt, done) in tasks {
            if done && finished(mirror, &task) {
                self.drop_held(&task);
            } else if job.record.cancelled {
                self.recall(&task, attempt, Stop::Cancelled);
            }
        }
        if job.record.done || job.record.cancelled {
            self.bounds.remove(id);
        }
    }

    /// Lets go of a task that needs no word to the leader beyond that.
    fn drop_held(&mut self, task: &Task) {
        if let Some(h) = self.held.remove(task) {
            self.dropped.push((task.clone(), h.attempt, self.seq + 1));
            self.dirty = true;
        }
    }

    fn machine_free(&self, id: &MachineId, m: &Machine, mirror: &Mirror) -> Res {
        let Some(total) = mirror.catalog.as_ref().and_then(|c| c.get(&m.kind)).map(|t| t.total()) else {
            return Res::default();
        };
        let mut free = total;
        let spec = |job: &JobId| mirror.jobs.get(job).and_then(|j| j.record.spec.as_ref());
        for (task, (_, state, _)) in &m.lines {
            if *state != TaskState::Ended {
                match spec(&task.job) {
                    Some(s) => free.take(&s.ask()),
                    None => return Res::default(),
                }
            }
        }
        for (task, h) in self.held.on(id) {
            if m.lines.get(task).is_none_or(|l| l.0 != h.attempt) {
                if let Some(s) = spec(&task.job) {
                    free.take(&s.ask());
                }
            }
        }
        free
    }

    fn open(&self, m: &Machine, now: Secs) -> bool {
        m.up && m.listed
            && m.certain
            && !m.draining
            && m.notice_until.is_none()
            && !m.faulty()
            && !m.suspect(self.timing.report_s, now)
            && m.heard.is_some_and(|h| now - h < self.timing.report_s * 2.5)
    }

    /// Places what is queued, the highest rank first, until `more` says that
    /// the round's time is over; the next round goes on with the rest.
    pub fn place(&mut self, mirror: &Mirror, when: When, mut more: impl FnMut() -> bool) {
        let now = when.now;
        let mut queue: Vec<(Rank, Secs, Task)> = self
            .held
            .queued()
            .filter_map(|(t, h)| {
                let spec = mirror.jobs.get(&t.job)?.record.spec.as_ref()?;
                Some((spec.rank, h.since, t.clone()))
            })
            .collect();
        if queue.is_empty() {
            return;
        }
        queue.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        let mut free: BTreeMap<MachineId, Res> = self
            .machines
            .iter()
            .filter(|(_, m)| self.open(m, now))
            .map(|(id, m)| (id.clone(), self.machine_free(id, m, mirror)))
            .collect();
        let mut kept = Kept::default();
        for (_, _, task) in queue {
            if !more() {
                self.dirty = true;
                return;
            }
            let Some(spec) = mirror.jobs.get(&task.job).and_then(|j| j.record.spec.clone()) else { continue };
            let quick = place::in_a_hurry(&spec, &self.start_aims, mirror.catalog.as_deref());
            let chosen = self.choose(&task, &spec, quick, &free, &kept);
            let cold = |id: &MachineId| !self.machines.get(id).is_some_and(|m| m.has_image(&spec.image));
            // Making room where the image is takes less time than fetching it.
            let warmer = quick && chosen.as_ref().is_none_or(cold);
            if warmer && self.make_room(&task, &spec, &free, &mut kept, true, mirror, when) {
                continue;
            }
            match chosen {
                Some(id) => {
                    if let Some(f) = free.get_mut(&id) {
                        f.take(&spec.ask());
                    }
                    self.put_on(&task, &spec, &id, mirror, now);
                }
                None => {
                    if !self.make_room(&task, &spec, &free, &mut kept, false, mirror, when) {
                        self.leave(&task, Leave::Passed);
                    }
                }
            }
        }
    }

    fn choose(
        &self,
        task: &Task,
        spec: &JobSpec,
        quick: bool,
        free: &BTreeMap<MachineId, Res>,
        kept: &Kept,
    ) -> Option<MachineId> {
        let held = self.held.get(task)?;
        let bounds = self.bounds.get(&task.job);
        let (mut zones, mut machines): (HashMap<&str, u32>, HashMap<&str, u32>) = Default::default();
        if spec.whole() {
            let from = Task { job: task.job.clone(), index: 0 };
            let to = Task { job: task.job.clone(), index: u32::MAX };
            for (_, h) in self.held.range(from..=to) {
                if let Some(m) = h.at.as_ref().and_then(|p| Some((p, self.machines.get(&p.machine)?))) {
                    *zones.entry(&m.1.zone).or_default() += 1;
                    *machines.entry(&m.0.machine).or_default() += 1;
                }
            }
        }
        let candidates = free.iter().filter_map(|(id, f)| {
            let m = self.machines.get(id)?;
            if held.avoid.contains(id) || m.lines.contains_key(task) || kept.0.contains_key(id) {
                return None;
            }
            if let Some(b) = bounds {
                if b.room.get(&m.zone).copied().unwrap_or(0) == 0 {
                    return None;
                }
            } else if spec.one_zone || spec.scatter {
                return None;
            }
            Some(Candidate {
                id,
                kind: &m.kind,
                zone: &m.zone,
                spot: m.spot,
                free: *f,
                cached: m.has_image(&spec.image),
                zone_peers: zones.get(&*m.zone).copied().unwrap_or(0),
                machine_peers: machines.get(&**id).copied().unwrap_or(0),
            })
        });
        place::pick(spec, quick, candidates).map(|c| c.id.into())
    }

    fn put_on(&mut self, task: &Task, spec: &JobSpec, id: &MachineId, mirror: &Mirror, now: Secs) {
        let cache =
            mirror.catalog.as_ref().and_then(|c| c.get(&self.machines.get(id)?.kind).map(|t| t.cache_gb));
        let Some(m) = self.machines.get_mut(id) else { return };
        let cached = m.has_image(&spec.image);
        tracing::debug!(%task, %id, cached, "placed");
        m.images.retain(|i| i.0 != spec.image);
        m.images.push_front((spec.image.clone(), spec.image_gb));
        while m.images.len() > 1 && m.images.iter().map(|i| i.1).sum::<f64>() > cache.unwrap_or(0.0) {
            m.images.pop_back();
        }
        m.idle_since = now;
        let zone = m.zone.clone();
        let session = m.session;
        if let Some(b) = self.bounds.get_mut(&task.job) {
            if spec.one_zone {
                b.room.retain(|z, _| *z == zone);
            }
            if let Some(n) = b.room.get_mut(&zone) {
                *n = n.saturating_sub(1);
            }
        }
        if let Some(attempt) = self.held.get(task).map(|h| h.attempt) {
            let at = Place {
                machine: id.clone(),
                session,
                phase: Phase::Starting,
                start_token: u64::MAX,
                sent: false,
                confirmed: false,
                stop: None,
                stop_sent: false,
                since: now,
            };
            self.held.place(task, attempt, at);
            self.dirty = true;
        }
    }

    /// Makes room by stopping lower work, on machines that have the image if
    /// `warm`. False if there is nothing to stop, or it has taken too long.
    #[allow(clippy::too_many_arguments)]
    fn make_room(
        &mut self,
        task: &Task,
        spec: &JobSpec,
        free: &BTreeMap<MachineId, Res>,
        kept: &mut Kept,
        warm: bool,
        mirror: &Mirror,
        when: When,
    ) -> bool {
        let Some(held) = self.held.get(task) else { return false };
        if when.now - held.since >= self.timing.report_s + spec.save_s {
            return false;
        }
        let bounds = self.bounds.get(&task.job);
        let mut best: Option<((u32, f64), MachineId, Vec<Attempt>)> = None;
        for (id, f) in free {
            let Some(m) = self.machines.get(id) else { continue };
            let zone_full = bounds.is_some_and(|b| b.room.get(&m.zone).copied().unwrap_or(0) == 0);
            if held.avoid.contains(id)
                || zone_full
                || warm && !m.has_image(&spec.image)
                || m.lines.contains_key(task)
                || !place::allowed(spec, &m.kind, &m.zone, m.spot)
            {
                continue;
            }
            let promised = kept.0.get(id).copied().unwrap_or_default();
            if let Some((victims, lost)) = self.victims(id, *f, promised, spec, mirror, when) {
                if best.as_ref().is_none_or(|b| lost < b.0) {
                    best = Some((lost, id.clone(), victims));
                }
            }
        }
        let Some((_, id, victims)) = best else { return false };
        for (t, attempt) in victims {
            self.recall(&t, attempt, Stop::Preempted);
        }
        kept.0.entry(id).or_default().give(&spec.ask());
        true
    }

    /// Lower tasks on a machine whose end makes room: first those that a new
    /// start doesn't make late, then the youngest. Also how many it makes late
    /// all the same, and the work lost. Room that is being made already counts.
    fn victims(
        &self,
        id: &MachineId,
        free: Res,
        promised: Res,
        spec: &JobSpec,
        mirror: &Mirror,
        when: When,
    ) -> Option<(Vec<Attempt>, (u32, f64))> {
        let ask = spec.ask();
        let mut room = free;
        room.take(&promised);
        let mut able: Vec<(Rank, bool, Secs, &Task, u64, Res)> = Vec::new();
        for (t, h) in self.held.on(id) {
            let Some(p) = h.at.as_ref().filter(|p| p.phase != Phase::Done) else {
                continue;
            };
            let Some(s) = mirror.jobs.get(&t.job).and_then(|j| j.record.spec.as_ref()) else { continue };
            if p.stop.is_some() {
                room.give(&s.ask());
            } else if yields(s, spec.rank) {
                let job = &mirror.jobs[&t.job].record;
                let age = when.day_ms.saturating_sub(job.at_ms) as f64 / 1000.0;
                let ran = when.now - p.since;
                able.push((s.rank, made_late(s, age, ran), p.since, t, h.attempt, s.ask()));
            }
        }
        able.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)).then(b.2.total_cmp(&a.2)));
        let (mut victims, mut late, mut lost) = (Vec::new(), 0, 0.0);
        for (_, hurt, since, t, attempt, res) in able {
            if room.fits(&ask) {
                break;
            }
            room.give(&res);
            late += u32::from(hurt);
            // What it has done so far is done again.
            lost += res.cpus * (when.now - since).max(1.0);
            victims.push((t.clone(), attempt));
        }
        room.fits(&ask).then_some((victims, (late, lost)))
    }

    /// A worker that has had no answer for the whole of its lease has killed
    /// its tasks: only this owner answers it (an earlier one was fenced before
    /// this epoch), so what it held is nowhere, even if the machine itself
    /// can't be seen. A session it was answered in is over for good.
    pub fn lapse(&mut self, now: Secs) {
        let limit = clock::surely(self.timing.lease_s);
        // An earlier owner may have been left out of the epoch while it was
        // alive, and answers until it reads so or its own lease's time is up.
        let entered = self.entered + clock::surely(self.timing.member_life_s);
        let silent: Vec<MachineId> = self
            .machines
            .iter()
            .filter(|(_, m)| {
                // Guard: a session without an answer has its lease from when it
                // began. A worker that reports to nobody begins one after the
                // other, and direct commands start tasks in each.
                let renewed = m.answered.unwrap_or(entered).max(m.session_seen);
                !m.in_flight && now - renewed > limit
            })
            .filter(|(_, m)| !m.certain || m.session > m.over)
            .map(|(id, _)| id.clone())
            .collect();
        for id in silent {
            if let Some(m) = self.machines.get_mut(&id) {
                tracing::info!(%id, session = m.session, "a worker's lease is past");
                m.certain = true;
                m.over = m.session;
                m.lines.clear();
                let below = m.session + 1;
                self.lose(&id, below);
                self.dirty = true;
            }
        }
    }

    /// Stops what has to move off machines that will be taken.
    pub fn heed_notices(&mut self, mirror: &Mirror, now: Secs) {
        let mut moving = Vec::new();
        let noticed = self.machines.iter().filter_map(|(id, m)| Some((id, m.notice_until?)));
        for (until, (task, h)) in noticed.flat_map(|(id, until)| self.held.on(id).map(move |t| (until, t))) {
            let Some(p) = &h.at else { continue };
            if p.stop.is_some() || p.phase == Phase::Done {
                continue;
            }
            let Some(spec) = mirror.jobs.get(&task.job).and_then(|j| j.record.spec.as_ref()) else {
                continue;
            };
            // The leader stops a gang as a whole.
            if spec.shape == Shape::Gang {
                continue;
            }
            let left = spec.estimate_s - (now - p.since);
            let ends_in_time =
                p.phase == Phase::Running && spec.shape == Shape::Array && now + left.max(0.0) < until;
            if !ends_in_time {
                moving.push((task.clone(), h.attempt));
            }
        }
        for (task, attempt) in moving {
            self.recall(&task, attempt, Stop::Notice);
        }
    }

    /// One machine as the leader sees it.
    fn view(&self, id: &MachineId, m: &Machine, mirror: &Mirror, now: Secs) -> MachineView {
        let mut yielding = Res::default();
        for (task, h) in self.held.on(id) {
            let spec = mirror.jobs.get(&task.job).and_then(|j| j.record.spec.as_ref());
            let there = h.at.as_ref().is_some_and(|p| p.phase != Phase::Done);
            if let Some(s) = spec.filter(|s| there && yields(s, Rank::Prod)) {
                yielding.give(&s.ask());
            }
        }
        let mut images: Vec<Arc<str>> = m.images.iter().map(|i| i.0.clone()).collect();
        images.sort();
        MachineView {
            id: id.clone(),
            kind: m.kind.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            certain: m.certain,
            heard: m.heard.is_some(),
            listed: m.listed,
            addr: m.addr.clone(),
            free: self.machine_free(id, m, mirror),
            yielding,
            open: self.open(m, now),
            noticed: m.notice_until.is_some(),
            faulty: m.faulty(),
            heedless: m.heedless(self.timing.report_s, now) || m.mute(self.timing.report_s, now) || m.spent(),
            draining: m.draining,
            tasks: (self.held.count_on(id) as u32).max(m.lines.len() as u32),
            images,
        }
    }

    /// What has changed in this part since the leader last said what it had.
    pub fn snapshot(&mut self, mirror: &Mirror, now: Secs) -> PartReport {
        self.seq += 1;
        self.dirty = false;
        let (seq, since) = (self.seq, self.acked);
        let mut told = std::mem::take(&mut self.told);
        let mut machines = Vec::new();
        let mut quiet = Vec::new();
        for (id, m) in &self.machines {
            let view = self.view(id, m, mirror, now);
            let entry = match told.get_mut(id) {
                Some(t) => {
                    if t.0 != view {
                        *t = (view, seq);
                    }
                    t
                }
                None => told.entry(id.clone()).or_insert((view, seq)),
            };
            if entry.1 > since {
                machines.push(entry.0.clone());
            }
            let silent_s = now - m.heard.unwrap_or(self.entered.max(m.since));
            if silent_s > self.timing.report_s * LATE_REPORTS || m.deaf.is_some() {
                quiet.push(Quiet { id: id.clone(), silent_s, deaf_s: m.deaf.map(|d| now - d) });
            }
        }
        let reached = self.reached.iter();
        let reached =
            reached.map(|(z, s)| (z.clone(), Reached { since_s: now - s.first, last_s: now - s.last }));
        told.retain(|id, _| self.machines.contains_key(id));
        self.told = told;
        PartReport {
            epoch: self.epoch,
            node: self.node.clone(),
            inc: self.inc,
            kept: self.kept,
            since,
            seq,
            machines,
            unlisted: self.unlisted.clone(),
            held: self.held.changed(seq, since),
            gone: self.gone.clone(),
            dropped: self.dropped.clone(),
            quiet,
            zones_met: reached.collect(),
            met: Vec::new(),
        }
    }

    /// Forgets what nobody needs any more.
    pub fn tidy(&mut self, mirror: &Mirror, now: Secs) {
        let over: Vec<Task> = self
            .held
            .iter()
            .filter(|(t, h)| h.at.as_ref().is_some_and(|p| p.phase == Phase::Done) && finished(mirror, t))
            .map(|(t, _)| t.clone())
            .collect();
        for task in over {
            self.drop_held(&task);
        }
        // Neither rented nor shown to be alive: a copy of a report, or a machine
        // whose lease is past by now.
        let (lease_s, entered) = (self.timing.lease_s, self.entered);
        self.machines.retain(|_, m| m.listed || m.heard.is_some() || now - m.since.max(entered) < lease_s);
        let held = &self.held;
        self.seen.retain(|t, _| held.contains(t) || mirror.jobs.get(&t.job).is_none_or(|j| j.live()));
    }

    /// Machines heard of, for tests and logs.
    pub fn machine_count(&self) -> usize {
        self.machines.len()
    }
}

/// Machines on which room is being made this round, and how much of it is
/// promised: nobody of lower rank gets it meanwhile.
#[derive(Debug, Default)]
struct Kept(BTreeMap<MachineId, Res>);

/// Whether a job becomes late by starting a task anew, or, if it is late, later
/// by another half of the time it was given: else those that are late already
/// would be stopped again and again.
fn made_late(spec: &JobSpec, age: Secs, ran: Secs) -> bool {
    spec.checkpoint_s <= 0.0
        && spec.deadline_s.filter(|d| *d > 0.0).is_some_and(|d| {
            let halves = |ends: Secs| (ends / (d / 2.0)).ceil().max(2.0);
            halves(age + spec.estimate_s) > halves(age + (spec.estimate_s - ran).max(0.0))
        })
}

/// Whether a job's tasks may be stopped for one of `rank`.
fn yields(spec: &JobSpec, rank: Rank) -> bool {
    spec.rank > rank && spec.shape == Shape::Array
}

/// Whether a task needs no more runs, by what is committed.
fn finished(mirror: &Mirror, task: &Task) -> bool {
    mirror
        .jobs
        .get(&task.job)
        .is_some_and(|j| j.record.done || j.record.cancelled || j.finished.has(task.index))
}

impl Place {
    fn adopted(machine: &MachineId, session: u64, token: u64, now: Secs) -> Place {
        Place {
            machine: machine.clone(),
            session,
            phase: Phase::Running,
            start_token: token,
            sent: true,
            confirmed: true,
            stop: None,
            stop_sent: false,
            since: now,
        }
    }
}

impl Machine {
    fn unknown(now: Secs) -> Machine {
        Machine {
            kind: "".into(),
            zone: "".into(),
            spot: false,
            addr: None,
            asked: None,
            deaf: None,
            listed: false,
            up: false,
            certain: false,
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
            unheeded: None,
            tested: None,
            unreported: None,
        }
    }

    fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|i| &*i.0 == image)
    }

    /// A machine on which tasks of two jobs failed is taken out of use.
    fn faulty(&self) -> bool {
        self.errors.len() >= 2
    }

    /// Notes what a report shows of whether our answers reach the machine. A
    /// worker whose report came through another controller may hear nobody at
    /// all, so it is told a higher token now and then: it must show it.
    fn heed(&mut self, r: &Report, epoch: u64, relayed: bool, timing: Timing, now: Secs) {
        let mine = token_epoch(r.token) == epoch;
        if self.unheeded.as_ref().is_some_and(|u| r.token >= u.token) {
            self.unheeded = None;
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
    fn told(&mut self, seen: u64, token: u64, now: Secs) {
        if seen < token {
            let u = self.unheeded.get_or_insert(Unheeded { token, since: now, answers: 0 });
            u.answers += 1;
        }
    }

    /// An answer has not been heeded for longer than its worker takes to
    /// report again: no new work until it is.
    fn suspect(&self, report_s: Secs, now: Secs) -> bool {
        self.unheeded.as_ref().is_some_and(|u| u.answers >= 2 && now - u.since > report_s * 1.5)
            || self.mute_for(now) > report_s * MUTE_REPORTS * 0.75
    }

    /// It answers direct commands but doesn't report: those renew no lease, so
    /// that what runs there will be killed, and what is started anew as well.
    fn mute(&self, report_s: Secs, now: Secs) -> bool {
        self.mute_for(now) > report_s * MUTE_REPORTS
    }

    fn mute_for(&self, now: Secs) -> Secs {
        self.unreported.as_ref().map_or(0.0, |u| now - u.since)
    }

    /// It answered a direct command. Guard: where none was sent for a while, as
    /// this node had no right to command, reports were refused too, and what
    /// went before says nothing: an outage made half a fleet look mute.
    fn obeyed(&mut self, report_s: Secs, now: Secs) {
        match &mut self.unreported {
            Some(u) if now - u.last < report_s * MUTE_REPORTS / 1.5 => u.last = now,
            _ => self.unreported = Some(Unreported { since: now, last: now }),
        }
    }

    /// Its token can't be raised any more: no start there could be proven dead.
    fn spent(&self) -> bool {
        self.counter >= MOST_COUNTER
    }

    /// Stops for what it showed to run of cancelled jobs. They need no proof of
    /// what else is there: an answer without them renewed such tasks again and
    /// again while owners changed faster than a worker reports.
    fn cancelled_stops(&self, mirror: &Mirror) -> Vec<Call> {
        let over = |t: &Task| mirror.jobs.get(&t.job).is_some_and(|j| j.record.cancelled);
        let runs = self.lines.iter().filter(|(t, l)| l.1 != TaskState::Ended && over(t));
        runs.map(|(t, l)| Call::Stop { task: t.to_string(), attempt: l.0, grace_s: 0.0 }).collect()
    }

    /// Its reports arrive, but nothing that it is answered or told reaches it:
    /// for so long that one lost answer, after which a worker tries other
    /// controllers first, can't be why.
    fn heedless(&self, report_s: Secs, now: Secs) -> bool {
        self.unheeded.as_ref().is_some_and(|u| u.answers >= 3 && now - u.since > report_s * 3.0)
    }

    /// Makes the token higher than `floor`, if it isn't.
    fn raise(&mut self, epoch: u64, floor: u64) {
        if floor != u64::MAX && token(epoch, self.counter) <= floor {
            self.counter += 1;
        }
    }
}
