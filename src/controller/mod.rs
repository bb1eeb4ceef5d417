//! The actor that ties the pure cores together: it owns the mirror, this
//! node's part of the fleet and, while it leads, the leader's table. Everything
//! else speaks to it by messages, and it never waits for the network.

mod cloud_answers;
mod commits;
mod leading;
mod members;
mod mirror_feed;
mod peers;
mod renting;
mod restart;
mod roster;
mod shares;
mod users;
mod worker_reports;

use crate::assignment::Leader;
use crate::clock::{self, Secs, When};
use crate::cloud;
use crate::fleet::{DirectRoom, Part, Timing};
use crate::http::{self, Ask, DirectDone, DirectPool, Relay, Reply};
use crate::in_flight::Serial;
use crate::jobs::Mirror;
use crate::membership::{self, LeaseNews};
use crate::peer::{CancellationNotice, Message, Peers};
use crate::policy::Policy;
use crate::published::Published;
use crate::reachability::Reachability;
use crate::restart_report::RestartReport;
use crate::settings::Settings;
use crate::shares_report::SharesReport;
use crate::state::{self, Budget, Feed, Outcome, Writer};
use crate::wire::{JobId, MachineId};
use crate::with::Parts;
use commits::FinishesInFlight;
use crossbeam::channel::{bounded, Receiver, RecvTimeoutError, Sender};
use leading::LeaderPace;
use renting::Renting;
use restart::Restart;
use roster::Roster;
use shares::Shares;
use std::collections::HashMap;
use std::time::Duration;
use users::Users;
use worker_reports::PassingWorker;

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
    Shares,
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
    /// Caution and the record of a restart, if they are switched on.
    restart: Option<Restart>,
    /// Shares that move, if that is switched on.
    shares: Option<Shares>,
    users: Users,
    renting: Renting,
    pace: LeaderPace,
    finishes: FinishesInFlight,
    roster: Roster,
    /// Workers of other parts that came here.
    redirected: HashMap<MachineId, PassingWorker>,
    /// Cancellations committed here a moment ago, and since when.
    cancellation_notices: Vec<(CancellationNotice, Secs)>,
    /// Running tasks per job, as the leader last told.
    running: HashMap<JobId, u32>,
    /// Which of the others said that they reach the state service, and when.
    healthy: HashMap<String, Secs>,
    /// Whom each of the others hears, and when it said so.
    hears: HashMap<String, (Secs, Vec<String>)>,
    reachability: Reachability,
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

/// Starts a controller; returns only if it can't run.
pub fn run(settings: Settings, policy: Policy, parts: &Parts) -> Result<(), String> {
    let published = (
        Published::new("cold-restart", parts.cold_restart.is_some()),
        Published::new("shared-machines", parts.shared_machines.is_some()),
    );
    let (tx, rx) = bounded::<Msg>(8192);
    for back in [false, true] {
        let (tx, published) = (tx.clone(), published.clone());
        http::listen(&settings, back, move |ask, reply| match ask {
            Ask::RestartReport => published.0.answer(reply),
            Ask::SharesReport => published.1.answer(reply),
            // A full queue drops the reply, which then says 503.
            ask => drop(tx.try_send(Msg::Ask(ask, reply))),
        })
        .map_err(|e| format!("cannot listen: {e}"))?;
    }
    let mut c = Controller::start(settings, policy, parts, published, &tx);
    c.work_forever(&rx);
    Ok(())
}

impl Controller {
    fn start(
        settings: Settings,
        policy: Policy,
        parts: &Parts,
        (published, shares_published): (Published<RestartReport>, Published<SharesReport>),
        tx: &Sender<Msg>,
    ) -> Controller {
        let budget = Budget::new(&settings);
        let (kicks, kicked) = bounded(1);
        let to = tx.clone();
        state::poller(&settings, budget.clone(), kicked, move |f| {
            to.send(Msg::Feed(f)).is_ok()
        });
        let to = tx.clone();
        membership::lease_actor(
            &settings,
            budget.clone(),
            parts.shared_machines.is_some(),
            move |l| to.send(Msg::Lease(l)).is_ok(),
        );
        let to = tx.clone();
        let writer = Writer::start(&settings, budget, move |t, o| {
            to.send(Msg::Written(t, o)).is_ok()
        });
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
            (
                m.node_name.clone(),
                http::relays(m.endpoint, relay_threads, report_s * RELAY_REPORTS),
            )
        };
        let relays = settings.members.iter().map(relay).collect();
        let timing = Timing {
            report_s,
            lease_s: settings.params.workers.lease_s,
            member_life_s: settings.member_life_s(),
        };
        let others = settings
            .members
            .iter()
            .map(|m| (m.node_name.clone(), m.zone.clone()))
            .collect();
        let mut part = Part::new(&settings.node_name, timing, settings.start_aims());
        let restart = parts
            .cold_restart
            .as_ref()
            .map(|with| Restart::new(with, &settings, published));
        let shares = parts
            .shared_machines
            .as_ref()
            .map(|with| Shares::new(with, &settings, shares_published));
        if let Some(with) = &parts.cold_restart {
            part.keep_record(with.entries);
        }
        Controller {
            part,
            restart,
            shares,
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
            cancellation_notices: Vec::new(),
            running: HashMap::new(),
            healthy: HashMap::new(),
            hears: HashMap::new(),
            reachability: Reachability::new(&settings.zone, others, report_s * 2.0),
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
                self.reachability.reached(&name, !apart);
            }
            Msg::Direct(d) => {
                let pool = if d.sent.doubtful {
                    &mut self.doubtful
                } else {
                    &mut self.directs
                };
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
            Ask::Report {
                report,
                raw,
                relayed,
            } => self.report(*report, raw, relayed, reply, now),
            Ask::Peer(envelope) => {
                reply.send(200, Vec::new());
                self.peer(*envelope, now);
            }
            // Answered by the listener, from what was published last.
            Ask::RestartReport | Ask::SharesReport => reply.later(503, 1, "no report yet"),
            Ask::SharesPlan(plan) => self.take_plan(plan, reply),
        }
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
            self.part
                .place(&self.mirror, When::present(), || clock::now() < end);
            let room = DirectRoom {
                sound: self.directs.room(),
                doubtful: self.doubtful.room(),
            };
            for direct in self.part.directs_within(&self.mirror, now, room) {
                let pool = if direct.doubtful {
                    &mut self.doubtful
                } else {
                    &mut self.directs
                };
                if let Err(d) = pool.send((direct, until)) {
                    self.part
                        .direct_done(&d.machine, &d.body, None, &self.mirror, now);
                }
            }
            self.tell_leader(now);
        }
        self.publish_restart(now);
        self.publish_shares(now);
        if now - self.tidied > self.settings.params.workers.report_s {
            self.tidied = now;
            self.part.forget_what_is_over(&self.mirror, now);
            let lease_s = self.settings.params.workers.lease_s;
            self.redirected.retain(|_, p| now - p.at < lease_s);
        }
        let report_s = self.settings.params.workers.report_s;
        self.healthy.retain(|_, t| now - *t < report_s * 2.0);
        self.cancellation_notices
            .retain(|c| now - c.1 < report_s * 2.0);
        if now - self.said_hello > report_s / 3.0 {
            self.said_hello = now;
            let names: Vec<String> = self.peers.names().cloned().collect();
            for name in names {
                self.send_peer(&name, Message::Hello);
            }
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
            Tag::Shares => self.shares_written(outcome, now),
        }
    }
}
