//! The actor that ties the pure cores together: it owns the mirror, this
//! node's part of the fleet and, while it leads, the leader's table. Everything
//! else speaks to it by messages, and it never waits for the network.

mod cloud_answers;
mod commits;
mod leading;
mod renting;
mod roster;
mod users;

use crate::assignment::Leader;
use crate::clock::{self, Secs, When};
use crate::cloud;
use crate::fleet::{DirectRoom, Part, ReportReply, Timing};
use crate::http::{self, Ask, DirectDone, DirectPool, Relay, Reply};
use crate::in_flight::Serial;
use crate::jobs::{Change, Epoch, Member, Mirror, EPOCH_KEY};
use crate::membership::{self, LeaseNews};
use crate::peer::{CalledOff, Envelope, Message, Peers};
use crate::policy::Policy;
use crate::reachability::Reachability;
use crate::settings::Settings;
use crate::state::{self, Budget, Class, Feed, Op, Outcome, Write, Writer};
use crate::wire::{JobId, MachineId, Redirect, Report, ReportAnswer};
use commits::FinishesInFlight;
use crossbeam::channel::{bounded, Receiver, RecvTimeoutError, Sender};
use leading::LeaderPace;
use renting::Renting;
use roster::Roster;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use users::Users;

/// The share of the sockets that direct commands to machines heard lately may
/// take at once, and that of those to machines in doubt, each of which takes a
/// while to be given up: a hundred that hang, or a cut zone, are soon through.
const DIRECT_SHARE: f64 = 1.0 / 120.0;
const DOUBTFUL_SHARE: f64 = 1.0 / 20.0;

/// The share of the sockets that the reports relayed to one other controller
/// may take.
const RELAY_SHARE: f64 = 1.0 / 500.0;

/// The most threads of one pool, and of all relays, however many sockets there
/// are: a process stays far below the 2,000 that it may have.
const MOST_THREADS: f64 = 300.0;

/// How long a relayed report may take, in report intervals: its worker waits
/// for about that.
const RELAY_REPORTS: f64 = 0.8;

/// What a write was for.
#[derive(Debug, Clone)]
pub(crate) enum Tag {
    Submit(JobId),
    Withdraw(JobId),
    Epoch,
    Finish(JobId, Serial),
    Roster(Serial),
    Catalog,
}

enum Msg {
    Ask(Ask, Reply),
    Feed(Feed),
    Lease(LeaseNews),
    Written(Tag, Outcome),
    Cloud(cloud::Answer),
    Direct(DirectDone),
    /// Another controller can't be reached directly, or can again.
    Apart(String, bool),
}

/// The controller's state.
pub(crate) struct Controller {
    settings: Settings,
    policy: Policy,
    mirror: Mirror,
    /// When the newest reading of the mirror was asked for.
    fresh_at: Option<Secs>,
    /// The last reading failed.
    state_down: bool,
    inc: u64,
    lease_until: Secs,
    part: Part,
    leader: Leader,
    users: Users,
    renting: Renting,
    pace: LeaderPace,
    finishes: FinishesInFlight,
    roster: Roster,
    /// Workers of other parts that came here.
    redirected: HashMap<MachineId, Passing>,
    /// Cancellations committed here a moment ago, and since when.
    called_off: Vec<(CalledOff, Secs)>,
    /// Running tasks per job, as the leader last told.
    running: HashMap<JobId, u32>,
    /// Which of the others said that they reach the state service, and when.
    healthy: HashMap<String, Secs>,
    /// Whom each of the others hears, and when it said so.
    hears: HashMap<String, (Secs, Vec<String>)>,
    ways: Reachability,
    began: Secs,
    epoch_wanted: Option<Secs>,
    epoch_pending: bool,
    told_leader: Secs,
    said_hello: Secs,
    worked: Secs,
    tidied: Secs,
    writer: Writer<Tag>,
    kicks: Sender<()>,
    peers: Peers,
    /// The ways on for reports that belong to each of the others.
    relays: HashMap<String, Sender<Relay>>,
    directs: DirectPool,
    doubtful: DirectPool,
    cloud: Sender<cloud::Ask>,
}

/// What is known here of a worker that belongs to another part.
struct Passing {
    /// When it was last here.
    at: Secs,
    /// When it last tried its owner, as far as is known.
    tried: Option<Secs>,
    /// Its newest report.
    newest: (u64, u64),
    /// When a report newer than one before it came: a lone one may be a copy
    /// from long ago, and shows nothing.
    met: Option<Secs>,
}

/// Starts a controller; returns only if it can't run.
pub fn run(settings: Settings, policy: Policy) -> Result<(), String> {
    let (tx, rx) = bounded::<Msg>(8192);
    for back in [false, true] {
        let tx = tx.clone();
        http::listen(&settings, back, move |ask, reply| {
            // A full queue drops the reply, which then says 503.
            let _ = tx.try_send(Msg::Ask(ask, reply));
        })
        .map_err(|e| format!("cannot listen: {e}"))?;
    }
    let mut c = Controller::start(settings, policy, &tx);
    c.work_forever(&rx);
    Ok(())
}

impl Controller {
    fn start(settings: Settings, policy: Policy, tx: &Sender<Msg>) -> Controller {
        let budget = Budget::new(&settings);
        let (kicks, kicked) = bounded(1);
        let to = tx.clone();
        state::poller(&settings, budget.clone(), kicked, move |f| to.send(Msg::Feed(f)).is_ok());
        let to = tx.clone();
        membership::lease_actor(&settings, budget.clone(), move |l| to.send(Msg::Lease(l)).is_ok());
        let to = tx.clone();
        let writer = Writer::start(&settings, budget, move |t, o| to.send(Msg::Written(t, o)).is_ok());
        let to = tx.clone();
        let cloud = cloud::start(&settings, move |a| to.send(Msg::Cloud(a)).is_ok());
        let to = tx.clone();
        let report_s = settings.params.workers.report_s;
        let sockets = settings.params.machine_limits.max_connections as f64;
        let share = |of: f64| (sockets * of).clamp(4.0, MOST_THREADS) as usize;
        let others = settings.members.len().max(1) as f64;
        let relay_threads = (sockets * RELAY_SHARE).min(MOST_THREADS / others).max(1.0) as usize;
        let tell = move |d| to.send(Msg::Direct(d)).is_ok();
        let directs = DirectPool::new("direct", share(DIRECT_SHARE), report_s / 2.0, tell.clone());
        let doubtful = DirectPool::new("doubtful", share(DOUBTFUL_SHARE), report_s / 2.0, tell);
        let relay = |m: &crate::settings::Member| {
            (m.node_name.clone(), http::relays(m.endpoint, relay_threads, report_s * RELAY_REPORTS))
        };
        let relays = settings.members.iter().map(relay).collect();
        let timing = Timing {
            report_s,
            lease_s: settings.params.workers.lease_s,
            member_life_s: settings.member_life_s(),
        };
        let others = settings.members.iter().map(|m| (m.node_name.clone(), m.zone.clone())).collect();
        Controller {
            part: Part::new(&settings.node_name, timing, settings.start_aims()),
            leader: Leader::new(&settings),
            mirror: Mirror::new(settings.params.state.value_kb),
            peers: Peers::start(&settings, {
                let to = tx.clone();
                move |name, apart| to.send(Msg::Apart(name.to_string(), apart)).is_ok()
            }),
            fresh_at: None,
            state_down: false,
            inc: 0,
            lease_until: 0.0,
            users: Users::default(),
            renting: Renting::default(),
            pace: LeaderPace::default(),
            finishes: FinishesInFlight::default(),
            roster: Roster::default(),
            redirected: HashMap::new(),
            called_off: Vec::new(),
            running: HashMap::new(),
            healthy: HashMap::new(),
            hears: HashMap::new(),
            ways: Reachability::new(&settings.zone, others, report_s * 2.0),
            began: clock::now(),
            epoch_wanted: None,
            epoch_pending: false,
            told_leader: 0.0,
            said_hello: 0.0,
            worked: 0.0,
            tidied: 0.0,
            writer,
            kicks,
            relays,
            directs,
            doubtful,
            cloud,
            settings,
            policy,
        }
    }

    /// The least time between two rounds of decisions.
    fn round_gap(&self) -> Secs {
        self.settings.params.workers.report_s / 60.0
    }

    /// How long a round of decisions may take: what a fifth of the round's
    /// share of the core allows.
    fn round_time(&self) -> Secs {
        self.round_gap() * self.settings.params.machine_limits.core_share
    }

    fn work_forever(&mut self, rx: &Receiver<Msg>) {
        loop {
            let wait = (self.worked + self.round_gap() - clock::now()).max(0.0);
            match rx.recv_timeout(Duration::from_secs_f64(wait)) {
                Ok(msg) => {
                    self.handle(msg);
                    for _ in 0..64 {
                        match rx.try_recv() {
                            Ok(msg) => self.handle(msg),
                            Err(_) => break,
                        }
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = clock::now();
            if now - self.worked >= self.round_gap() {
                self.worked = now;
                self.round(now);
            }
        }
    }

    fn handle(&mut self, msg: Msg) {
        let now = clock::now();
        match msg {
            Msg::Ask(ask, reply) => self.ask(ask, reply, now),
            Msg::Feed(feed) => self.feed(feed, now),
            Msg::Lease(LeaseNews::Until { inc, until }) => {
                if inc != self.inc {
                    tracing::info!(inc, "joined with a new lease");
                }
                self.inc = inc;
                self.lease_until = until;
            }
            Msg::Lease(LeaseNews::Lost) => {
                self.inc = 0;
                self.lease_until = 0.0;
            }
            Msg::Written(tag, outcome) => self.written(tag, outcome, now),
            Msg::Cloud(answer) => self.cloud_answer(answer, now),
            Msg::Apart(name, apart) => {
                tracing::info!(name, apart, "the way to another controller changed");
                self.ways.reached(&name, !apart);
            }
            Msg::Direct(d) => {
                let pool = if d.sent.doubtful { &mut self.doubtful } else { &mut self.directs };
                pool.done();
                let mine = self.part.epoch() > 0;
                if mine {
                    self.part.direct_done(
                        &d.sent.machine,
                        &d.sent.body,
                        d.answer.as_ref(),
                        &self.mirror,
                        now,
                    );
                }
            }
        }
    }

    /// The epoch, if this incarnation is a member of it and has entered it.
    fn my_epoch(&self) -> Option<&Epoch> {
        self.mirror.epoch.as_ref().filter(|e| {
            self.inc != 0
                && e.members.get(&self.settings.node_name) == Some(&self.inc)
                && self.part.epoch() == e.n
        })
    }

    /// Until when this node may act: its lease, and the age of what it knows
    /// of the epoch.
    fn entitled_until(&self) -> Secs {
        match (self.my_epoch(), self.fresh_at) {
            (Some(_), Some(fresh)) => self.lease_until.min(fresh + self.settings.knowledge_s()),
            _ => 0.0,
        }
    }

    fn leading(&self) -> bool {
        self.my_epoch().is_some_and(|e| e.leader == self.settings.node_name)
    }

    fn ask(&mut self, ask: Ask, reply: Reply, now: Secs) {
        match ask {
            Ask::Up => {
                if self.healthy_now(now) {
                    reply.send(200, b"{}".to_vec());
                } else {
                    reply.later(503, 1, "no state service");
                }
            }
            Ask::Submit(spec) => self.submit(*spec, reply, now),
            Ask::Query(id) => self.query(id.as_str().into(), reply, now),
            Ask::Withdraw(id) => self.withdraw(id.as_str().into(), reply, now),
            Ask::Report { report, raw, relayed } => self.report(*report, raw, relayed, reply, now),
            Ask::Peer(envelope) => {
                reply.send(200, Vec::new());
                self.peer(*envelope, now);
            }
        }
    }

    /// Whether users should come here: the state service is reached, or
    /// nobody else is known to reach it either. One that hears no other
    /// controller can't know that, and is itself what is cut off.
    fn healthy_now(&self, now: Secs) -> bool {
        let life = self.settings.member_life_s();
        let reached = self.fresh_at.is_some_and(|f| now - f < life / 4.0);
        let others = self.healthy.values().any(|&t| now - t < life / 4.0);
        let alone = !self.hears.values().any(|(t, _)| now - t < life / 2.0);
        let cut_off = alone && !self.settings.members.is_empty();
        reached || (self.fresh_at.is_some() && !others && !cut_off)
    }

    fn report(&mut self, report: Report, raw: Vec<u8>, relayed: bool, reply: Reply, now: Secs) {
        self.part.note_contact(&report.machine);
        let Some(epoch) = self.my_epoch() else {
            return reply.later(503, 1, "not a member now");
        };
        // Fenced: neither an answer nor a place to go would be to be trusted.
        if now >= self.entitled_until() {
            return reply.later(503, 1, "fenced");
        }
        let owner = membership::owner(&epoch.members, &report.machine).map(String::from);
        let me = &self.settings.node_name;
        match owner {
            Some(o) if o == *me => match self.part.report(&report, relayed, &self.mirror, now) {
                ReportReply::Commands { token, commands } => {
                    let body = ReportAnswer { token, commands };
                    let until = self.entitled_until();
                    reply.send_until(200, serde_json::to_vec(&body).unwrap_or_default(), until);
                }
                ReportReply::Refuse => reply.later(503, 1, "an old report"),
            },
            _ if relayed => reply.later(503, 1, "not the owner"),
            Some(o) => {
                // One that was sent to its owner a moment ago and is here
                // again can't reach it: its report is passed on.
                let lease_s = self.settings.params.workers.lease_s;
                let epoch_n = epoch.n;
                let newest = (report.session, report.seq);
                let known = self.redirected.get(&report.machine);
                let tried = known.and_then(|p| p.tried).filter(|t| now - t < lease_s * 2.0);
                // One that obeyed this epoch's token already has been told by
                // its owner, and would be there if it could.
                let obeyed = membership::token_epoch(report.token) == epoch_n;
                let first = known.is_none_or(|p| p.tried.is_none());
                let met = match known {
                    Some(p) if newest > p.newest => Some(now),
                    Some(p) => p.met,
                    None => None,
                };
                let newest = known.map_or(newest, |p| p.newest.max(newest));
                let cut = self.ways.cut(&report.zone, &o, now);
                let back = cut || tried.is_some() || obeyed && first;
                // While its zone is known to be apart from its owner's it need
                // not try, and goes on to one that reaches both.
                let go_on = if cut { self.ways.around(&o, now).map(String::from) } else { None };
                let passing = Passing { at: now, tried: tried.or(Some(now)), newest, met };
                self.redirected.insert(report.machine, passing);
                match self.relays.get(&o) {
                    Some(way) if back && go_on.is_none() => {
                        let until = now + self.settings.params.workers.report_s * RELAY_REPORTS;
                        // A full queue drops the reply, which then says 503.
                        let _ = way.try_send(Relay { raw, reply, until });
                    }
                    _ => {
                        let body = Redirect { report_to: go_on.or(Some(o)) };
                        reply.send(421, serde_json::to_vec(&body).unwrap_or_default());
                    }
                }
            }
            None => reply.later(503, 1, "no owner"),
        }
    }

    fn peer(&mut self, e: Envelope, now: Secs) {
        self.hears.insert(e.from.clone(), (now, e.hears.clone()));
        self.ways.told(&e.from, e.apart.clone(), now);
        if e.fresh {
            self.healthy.insert(e.from.clone(), now);
        }
        // What is committed is so for whoever hears of it: a controller that
        // the state service refuses need not wait until it is answered again.
        for c in &e.called_off {
            if self.mirror.call_off(&c.job, c.version, c.at_ms) {
                self.job_changed(&c.job);
            }
        }
        if e.to != self.settings.node_name {
            // Passed on for one that can't reach the other directly.
            if e.from != self.settings.node_name {
                self.peers.send(e);
            }
            return;
        }
        match e.message {
            Message::Part(r) => {
                if self.leading() && self.leader.part_report(r, &self.mirror, now) {
                    self.send_orders(&e.from);
                }
            }
            Message::Orders(o) => self.take_orders(&o, now),
            Message::Hello => {}
        }
    }

    fn take_orders(&mut self, o: &crate::fleet::Orders, now: Secs) {
        if o.epoch == self.part.epoch() {
            self.part.orders(o, &self.mirror, now);
            if let Some(running) = &o.running {
                self.running = running.iter().cloned().collect();
            }
        }
    }

    fn send_orders(&mut self, to: &str) {
        if let Some(orders) = self.leader.orders(to) {
            if to == self.settings.node_name {
                self.take_orders(&orders, clock::now());
            } else {
                self.send_peer(to, Message::Orders(orders));
            }
        }
    }

    fn send_peer(&self, to: &str, message: Message) {
        self.peers.send(Envelope {
            from: self.settings.node_name.clone(),
            to: to.into(),
            fresh: !self.state_down && self.fresh_at.is_some(),
            hears: self.healthy.keys().cloned().collect(),
            apart: self.ways.apart(),
            called_off: self.called_off.iter().map(|c| c.0.clone()).collect(),
            message,
        });
    }

    fn feed(&mut self, feed: Feed, now: Secs) {
        match feed {
            Feed::Loaded { began, ring, entries } => {
                tracing::info!(ring, keys = entries.len(), "read the whole state");
                self.mirror.load(entries);
                self.fresh_at = Some(began);
                self.state_down = false;
                self.epoch_changed(now);
                let ids: Vec<JobId> = self.mirror.jobs.keys().cloned().collect();
                for id in ids {
                    self.job_changed(&id);
                }
                // What was taken off the roster between two readings.
                for id in self.part.listed_machines() {
                    if !self.mirror.roster.contains_key(&id) {
                        self.machine_changed(&id, now);
                    }
                }
                let ids: Vec<MachineId> = self.mirror.roster.keys().cloned().collect();
                for id in ids {
                    self.machine_changed(&id, now);
                }
            }
            Feed::Changed { began, events, .. } => {
                for event in events {
                    let change = self.mirror.apply(event);
                    self.changed(change, now);
                }
                self.fresh_at = Some(began);
                if self.state_down {
                    tracing::info!("the state service answers again");
                }
                self.state_down = false;
            }
            Feed::Down => {
                if !self.state_down {
                    tracing::info!("the state service does not answer");
                }
                self.state_down = true;
            }
        }
        self.serve_waiting(now);
    }

    /// Tells the cores what has changed in the mirror.
    fn changed(&mut self, change: Change, now: Secs) {
        match change {
            Change::Epoch => self.epoch_changed(now),
            Change::Job(id) => self.job_changed(&id),
            Change::Machines(ids) => {
                for id in ids {
                    self.machine_changed(&id, now);
                }
            }
            Change::Members | Change::Catalog | Change::Nothing => {}
        }
    }

    fn job_changed(&mut self, id: &JobId) {
        self.part.job_changed(id, &self.mirror);
        if self.leading() {
            self.leader.job_changed(id, &self.mirror);
        }
    }

    fn machine_changed(&mut self, id: &MachineId, now: Secs) {
        match self.mirror.roster.get(id) {
            Some((record, _)) => {
                let mine = self
                    .my_epoch()
                    .is_some_and(|e| membership::owner(&e.members, id) == Some(&self.settings.node_name));
                if mine {
                    self.part.list(id, &record.clone(), now);
                }
            }
            None => {
                self.part.unlist(id);
                self.renting.forget(id);
            }
        }
    }

    fn epoch_changed(&mut self, now: Secs) {
        let Some(epoch) = self.mirror.epoch.clone() else { return };
        self.epoch_wanted = None;
        let me = self.settings.node_name.clone();
        if self.inc == 0 || epoch.members.get(&me) != Some(&self.inc) {
            return;
        }
        tracing::info!(epoch = epoch.n, leader = %epoch.leader, members = epoch.members.len(), "entered an epoch");
        let members = epoch.members.clone();
        if self.part.epoch() != epoch.n {
            self.part.enter(epoch.n, self.inc, &self.mirror, now, |id| {
                membership::owner(&members, id) == Some(me.as_str())
            });
        }
        if epoch.leader == self.settings.node_name {
            self.leader.enter(&epoch, self.inc, &self.mirror);
            self.renting.lead(now);
            self.roster.lead();
        }
        self.told_leader = 0.0;
    }

    fn round(&mut self, now: Secs) {
        // Joined after the epoch was seen: enter it now.
        let waiting_epoch = self.mirror.epoch.as_ref().is_some_and(|e| {
            self.inc != 0
                && e.members.get(&self.settings.node_name) == Some(&self.inc)
                && self.part.epoch() != e.n
        });
        if waiting_epoch {
            self.epoch_changed(now);
        }
        self.propose_epoch(now);
        self.serve_waiting(now);
        let until = self.entitled_until();
        if now < until {
            let end = now + self.round_time();
            self.part.expire_leases(now);
            self.part.stop_for_notices(&self.mirror, now);
            if self.leading() {
                self.lead(now, end);
            }
            self.part.place(&self.mirror, When::present(), || clock::now() < end);
            let room = DirectRoom { sound: self.directs.room(), doubtful: self.doubtful.room() };
            for direct in self.part.directs_within(&self.mirror, now, room) {
                let pool = if direct.doubtful { &mut self.doubtful } else { &mut self.directs };
                if let Err(d) = pool.send((direct, until)) {
                    self.part.direct_done(&d.machine, &d.body, None, &self.mirror, now);
                }
            }
            self.tell_leader(now);
        }
        if now - self.tidied > self.settings.params.workers.report_s {
            self.tidied = now;
            self.part.forget_what_is_over(&self.mirror, now);
            let lease_s = self.settings.params.workers.lease_s;
            self.redirected.retain(|_, p| now - p.at < lease_s);
        }
        let report_s = self.settings.params.workers.report_s;
        self.healthy.retain(|_, t| now - *t < report_s * 2.0);
        self.called_off.retain(|c| now - c.1 < report_s * 2.0);
        if now - self.said_hello > report_s / 3.0 {
            self.said_hello = now;
            let names: Vec<String> = self.peers.names().cloned().collect();
            for name in names {
                self.send_peer(&name, Message::Hello);
            }
        }
    }

    fn tell_leader(&mut self, now: Secs) {
        let report_s = self.settings.params.workers.report_s;
        let gap = if self.part.dirty { report_s / 20.0 } else { report_s / 3.0 };
        if now - self.told_leader < gap {
            return;
        }
        let Some(leader) = self.my_epoch().map(|e| e.leader.clone()) else { return };
        self.told_leader = now;
        let mut snapshot = self.part.snapshot(&self.mirror, now);
        snapshot.met =
            self.redirected.iter().filter_map(|(id, p)| Some((id.clone(), now - p.met?))).collect();
        if leader == self.settings.node_name {
            if self.leader.part_report(snapshot, &self.mirror, now) {
                self.send_orders(&leader);
            }
        } else {
            self.send_peer(&leader, Message::Part(snapshot));
        }
    }

    /// The members with a lease, without those that nobody reaches: a
    /// controller whose network is gone but for the state service would keep
    /// its machines, and perhaps the lead, from everybody. It is left out when
    /// this node and another that hears this one agree. `None` if this node
    /// hears nobody itself: then it has no say.
    fn reachable_members(&self, now: Secs) -> Option<BTreeMap<String, (Member, u64)>> {
        let patience = self.settings.params.workers.report_s * 2.0;
        let me = &self.settings.node_name;
        let hears = |n: &String| self.healthy.get(n).is_some_and(|&t| now - t < patience);
        let others: Vec<&String> = self.mirror.members.keys().filter(|n| *n != me).collect();
        if others.is_empty() || now - self.began < patience {
            return Some(self.mirror.members.clone());
        }
        if !others.iter().any(|n| hears(n)) {
            return None;
        }
        let mut live = self.mirror.members.clone();
        live.retain(|n, _| {
            n == me || hears(n) || {
                let agreed = others.iter().any(|o| {
                    *o != n
                        && hears(o)
                        && self.hears.get(*o).is_some_and(|(_, h)| h.contains(me) && !h.contains(n))
                });
                !agreed
            }
        });
        Some(live)
    }

    /// Proposes the next epoch when the live members aren't the epoch's. The
    /// leader does it at once, the others after a moment, so that they rarely
    /// race; only one proposal can win.
    fn propose_epoch(&mut self, now: Secs) {
        if self.epoch_pending || self.state_down || self.inc == 0 || now >= self.lease_until {
            return;
        }
        let me = &self.settings.node_name;
        if self.mirror.members.get(me).map(|m| m.0.inc) != Some(self.inc) {
            return;
        }
        let Some(live) = self.reachable_members(now) else { return };
        let Some(next) = membership::next_epoch(self.mirror.epoch.as_ref(), &live) else {
            self.epoch_wanted = None;
            return;
        };
        let since = *self.epoch_wanted.get_or_insert(now);
        let rank = next.members.keys().position(|n| n == me).unwrap_or(0) as f64;
        let mine = next.leader == *me;
        let patience = if mine { 0.0 } else { state::poll_gap(&self.settings) * 4.0 * (rank + 1.0) };
        if now - since < patience {
            return;
        }
        self.epoch_pending = true;
        let write = Write {
            conditions: vec![(EPOCH_KEY.into(), self.mirror.epoch_version)],
            ops: vec![Op::Put {
                key: EPOCH_KEY.into(),
                value: serde_json::to_value(&next).unwrap_or_default(),
                lease: None,
            }],
            deadline: now + self.settings.member_life_s() / 4.0,
            tag: Tag::Epoch,
        };
        if self.writer.send(Class::Urgent, write).is_err() {
            self.epoch_pending = false;
        }
    }

    fn written(&mut self, tag: Tag, outcome: Outcome, now: Secs) {
        let _ = self.kicks.try_send(());
        match tag {
            Tag::Submit(id) => self.submit_written(id, outcome, now),
            Tag::Withdraw(id) => self.withdraw_written(id, outcome, now),
            Tag::Epoch => {
                self.epoch_pending = false;
                // Let the mirror catch up before another proposal.
                self.epoch_wanted = Some(now);
            }
            Tag::Finish(job, serial) => self.finish_written(&job, serial, outcome, now),
            Tag::Roster(serial) => self.roster_written(serial, outcome, now),
            Tag::Catalog => self.renting.catalog_written(),
        }
    }
}
