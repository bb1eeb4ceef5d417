//! The actor that ties the pure cores together: it owns the cache, this
//! node's part of the fleet and, while it leads, the leader's table. Everything
//! else speaks to it by messages, and it never waits for the network.

mod autoscaling;
mod cloud_responses;
mod completions;
mod heartbeats;
mod job_requests;
mod leader_round;
mod member;
mod peer_messages;
mod registry;
mod restart;
mod shard_transfers;
mod watch_events;

use crate::api::command_pool::{CommandPool, CommandResult};
use crate::api::listeners::{listen, Listener};
use crate::api::published_report::PublishedReport;
use crate::api::relay_pool::{start_relay_pool, RelayedHeartbeat};
use crate::api::responder::Responder;
use crate::api::restart_report::RestartReport;
use crate::api::routes::Request;
use crate::api::shard_map_report::ShardMapReport;
use crate::autoscaler::cloud;
use crate::autoscaler::Autoscaler;
use crate::clock::{self, Moment, Seconds};
use crate::cluster::membership::{self, LeaseEvent};
use crate::cluster::peer::{CancellationNotice, PeerMessage, PeerTransport};
use crate::cluster::reachability::Reachability;
use crate::config::features::Features;
use crate::config::policy::Policy;
use crate::config::settings::Settings;
use crate::scheduler::Leader;
use crate::shard::{CommandCapacity, Shard, Timing};
use crate::store::cache::StoreCache;
use crate::store::pending_writes::WriteId;
use crate::store::{self, CommitOutcome, GroupCommitter, RateBudget, WatchEvent};
use crate::wire::{JobId, MachineId};
use completions::PendingFinishes;
use crossbeam::channel::{bounded, Receiver, RecvTimeoutError, Sender};
use heartbeats::PassingWorker;
use job_requests::Users;
use leader_round::LeaderPace;
use registry::RegistryWriter;
use restart::Restart;
use shard_transfers::Shares;
use std::collections::HashMap;
use std::time::Duration;

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
const MAX_THREADS: f64 = 300.0;

/// How long a relayed report may take, in report intervals: its worker waits
/// for about that.
const RELAY_REPORTS: f64 = 0.8;

/// What a write was for.
#[derive(Debug, Clone)]
pub(crate) enum WritePurpose {
    Submit(JobId),
    Withdraw(JobId),
    Epoch,
    Finish(JobId, WriteId),
    RegistryWriter(WriteId),
    Catalog,
    Shares,
}

enum ControllerEvent {
    Request(Request, Responder),
    WatchEvent(WatchEvent),
    Lease(LeaseEvent),
    Written(WritePurpose, CommitOutcome),
    Cloud(cloud::CloudResponse),
    CommandCompleted(CommandResult),
    /// Another controller can't be reached directly, or can again.
    Apart(String, bool),
}

/// The controller's state.
pub(crate) struct Controller {
    settings: Settings,
    policy: Policy,
    cache: StoreCache,
    /// When the newest reading of the cache was asked for.
    last_synced_at: Option<Seconds>,
    /// The last reading failed.
    store_unreachable: bool,
    incarnation: u64,
    lease_until: Seconds,
    shard: Shard,
    leader: Leader,
    /// Caution and the record of a restart, if they are switched on.
    restart: Option<Restart>,
    /// Shares that move, if that is switched on.
    shares: Option<Shares>,
    users: Users,
    autoscaler: Autoscaler,
    pace: LeaderPace,
    finishes: PendingFinishes,
    registry: RegistryWriter,
    /// Workers of other shards that came here.
    redirected: HashMap<MachineId, PassingWorker>,
    /// Cancellations committed here a moment ago, and since when.
    cancellation_notices: Vec<(CancellationNotice, Seconds)>,
    /// Running tasks per job, as the leader last told.
    running: HashMap<JobId, u32>,
    /// Which of the others said that they reach the key-value store, and when.
    healthy: HashMap<String, Seconds>,
    /// Whom each of the others hears, and when it said so.
    hears: HashMap<String, (Seconds, Vec<String>)>,
    reachability: Reachability,
    began: Seconds,
    epoch_wanted: Option<Seconds>,
    epoch_pending: bool,
    told_leader: Seconds,
    said_hello: Seconds,
    worked: Seconds,
    tidied: Seconds,
    writer: GroupCommitter<WritePurpose>,
    watch_wakeups: Sender<()>,
    peers: PeerTransport,
    /// The ways on for reports that belong to each of the others.
    relay_pools: HashMap<String, Sender<RelayedHeartbeat>>,
    command_pool: CommandPool,
    unverified_pool: CommandPool,
    cloud: Sender<cloud::CloudRequest>,
}

/// Starts a controller; returns only if it can't run.
pub fn run(settings: Settings, policy: Policy, features: &Features) -> Result<(), String> {
    let published = (
        PublishedReport::new("cold-restart", features.cold_restart.is_some()),
        PublishedReport::new("shared-machines", features.shared_machines.is_some()),
    );
    let (tx, rx) = bounded::<ControllerEvent>(8192);
    for listener in Listener::ALL {
        let (tx, published) = (tx.clone(), published.clone());
        listen(&settings, listener, move |ask, responder| match ask {
            Request::RestartReport => published.0.answer(responder),
            Request::ShardMapReport => published.1.answer(responder),
            // A full queue drops the reply, which then says 503.
            ask => drop(tx.try_send(ControllerEvent::Request(ask, responder))),
        })
        .map_err(|e| format!("cannot listen: {e}"))?;
    }
    let mut c = Controller::start(settings, policy, features, published, &tx);
    c.work_forever(&rx);
    Ok(())
}

impl Controller {
    fn start(
        settings: Settings,
        policy: Policy,
        features: &Features,
        (published, shares_published): (
            PublishedReport<RestartReport>,
            PublishedReport<ShardMapReport>,
        ),
        tx: &Sender<ControllerEvent>,
    ) -> Controller {
        let budget = RateBudget::new(&settings);
        let (watch_wakeups, wakeups) = bounded(1);
        let to = tx.clone();
        store::start_watch(&settings, budget.clone(), wakeups, move |f| {
            to.send(ControllerEvent::WatchEvent(f)).is_ok()
        });
        let to = tx.clone();
        membership::start_lease_actor(
            &settings,
            budget.clone(),
            features.shared_machines.is_some(),
            move |l| to.send(ControllerEvent::Lease(l)).is_ok(),
        );
        let to = tx.clone();
        let writer = GroupCommitter::start(&settings, budget, move |t, o| {
            to.send(ControllerEvent::Written(t, o)).is_ok()
        });
        let to = tx.clone();
        let cloud = cloud::start(&settings, move |a| {
            to.send(ControllerEvent::Cloud(a)).is_ok()
        });
        let to = tx.clone();
        let report_s = settings.params.workers.report_s;
        let sockets = settings.params.machine_limits.max_connections as f64;
        let share = |of: f64| (sockets * of).clamp(4.0, MAX_THREADS) as usize;
        let others = settings.members.len().max(1) as f64;
        let relay_threads = (sockets * RELAY_SHARE).min(MAX_THREADS / others).max(1.0) as usize;
        let tell = move |d| to.send(ControllerEvent::CommandCompleted(d)).is_ok();
        let command_pool =
            CommandPool::new("direct", share(DIRECT_SHARE), report_s / 2.0, tell.clone());
        let unverified_pool =
            CommandPool::new("doubtful", share(DOUBTFUL_SHARE), report_s / 2.0, tell);
        let relay = |m: &crate::config::settings::Member| {
            (
                m.node_name.clone(),
                start_relay_pool(m.endpoint, relay_threads, report_s * RELAY_REPORTS),
            )
        };
        let relay_pools = settings.members.iter().map(relay).collect();
        let timing = Timing {
            report_s,
            lease_s: settings.params.workers.lease_s,
            member_lease_s: settings.member_lease_s(),
        };
        let others = settings
            .members
            .iter()
            .map(|m| (m.node_name.clone(), m.zone.clone()))
            .collect();
        let mut shard = Shard::new(&settings.node_name, timing, settings.start_objectives());
        let restart = features
            .cold_restart
            .as_ref()
            .map(|with| Restart::new(with, &settings, published));
        let shares = features
            .shared_machines
            .as_ref()
            .map(|with| Shares::new(with, &settings, shares_published));
        if let Some(with) = &features.cold_restart {
            shard.set_record_limit(with.entries);
        }
        Controller {
            shard,
            restart,
            shares,
            leader: Leader::new(&settings),
            cache: StoreCache::new(settings.params.state.value_kb),
            peers: PeerTransport::start(&settings, {
                let to = tx.clone();
                move |name, apart| {
                    to.send(ControllerEvent::Apart(name.to_string(), apart))
                        .is_ok()
                }
            }),
            last_synced_at: None,
            store_unreachable: false,
            incarnation: 0,
            lease_until: 0.0,
            users: Users::default(),
            autoscaler: Autoscaler::default(),
            pace: LeaderPace::default(),
            finishes: PendingFinishes::default(),
            registry: RegistryWriter::default(),
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
            watch_wakeups,
            relay_pools,
            command_pool,
            unverified_pool,
            cloud,
            settings,
            policy,
        }
    }

    /// The least time between two rounds of decisions.
    fn round_gap(&self) -> Seconds {
        self.settings.params.workers.report_s / 60.0
    }

    /// How long a round of decisions may take: what a fifth of the round's
    /// share of the core allows.
    fn round_time(&self) -> Seconds {
        self.round_gap() * self.settings.params.machine_limits.core_share
    }

    fn work_forever(&mut self, rx: &Receiver<ControllerEvent>) {
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

    fn handle(&mut self, msg: ControllerEvent) {
        let now = clock::now();
        match msg {
            ControllerEvent::Request(ask, responder) => self.ask(ask, responder, now),
            ControllerEvent::WatchEvent(feed) => self.feed(feed, now),
            ControllerEvent::Lease(LeaseEvent::Renewed { incarnation, until }) => {
                if incarnation != self.incarnation {
                    tracing::info!(incarnation, "joined with a new lease");
                }
                self.incarnation = incarnation;
                self.lease_until = until;
            }
            ControllerEvent::Lease(LeaseEvent::Expired) => {
                self.incarnation = 0;
                self.lease_until = 0.0;
            }
            ControllerEvent::Written(purpose, outcome) => self.written(purpose, outcome, now),
            ControllerEvent::Cloud(answer) => self.cloud_answer(answer, now),
            ControllerEvent::Apart(name, apart) => {
                tracing::info!(name, apart, "the way to another controller changed");
                self.reachability.record_direct_contact(&name, !apart);
            }
            ControllerEvent::CommandCompleted(d) => {
                let pool = if d.command.unverified {
                    &mut self.unverified_pool
                } else {
                    &mut self.command_pool
                };
                pool.record_completion();
                let mine = self.shard.epoch() > 0;
                if mine {
                    self.shard.command_completed(
                        &d.command.machine,
                        &d.command.body,
                        d.response.as_ref(),
                        &self.cache,
                        now,
                    );
                }
            }
        }
    }

    fn ask(&mut self, ask: Request, responder: Responder, now: Seconds) {
        match ask {
            Request::HealthCheck => {
                if self.healthy_now(now) {
                    responder.send(200, b"{}".to_vec());
                } else {
                    responder.retry_later(503, 1, "no state service");
                }
            }
            Request::Submit(spec) => self.submit(*spec, responder, now),
            Request::Query(id) => self.query(id.as_str().into(), responder, now),
            Request::Cancel(id) => self.withdraw(id.as_str().into(), responder, now),
            Request::Heartbeat {
                report,
                body,
                relayed,
            } => self.report(*report, body, relayed, responder, now),
            Request::Peer(envelope) => {
                responder.send(200, Vec::new());
                self.peer(*envelope, now);
            }
            // Answered by the listener, from what was published last.
            Request::RestartReport | Request::ShardMapReport => {
                responder.retry_later(503, 1, "no report yet")
            }
            Request::ShardMapPlan(plan) => self.take_plan(plan, responder),
        }
    }

    fn round(&mut self, now: Seconds) {
        // Joined after the epoch was seen: enter it now.
        let waiting_epoch = self.cache.epoch.as_ref().is_some_and(|e| {
            self.incarnation != 0
                && e.members.get(&self.settings.node_name) == Some(&self.incarnation)
                && self.shard.epoch() != e.number
        });
        if waiting_epoch {
            self.epoch_changed(now);
        }
        self.propose_epoch(now);
        self.serve_waiting(now);
        let until = self.entitled_until();
        if now < until {
            let end = now + self.round_time();
            self.shard.expire_leases(now);
            self.shard.stop_for_notices(&self.cache, now);
            if self.leading() {
                self.lead(now, end);
            }
            self.shard
                .place_queued(&self.cache, Moment::present(), || clock::now() < end);
            let room = CommandCapacity {
                responsive: self.command_pool.available(),
                unverified: self.unverified_pool.available(),
            };
            for direct in self.shard.due_commands_within(&self.cache, now, room) {
                let pool = if direct.unverified {
                    &mut self.unverified_pool
                } else {
                    &mut self.command_pool
                };
                if let Err(d) = pool.send(direct, until) {
                    self.shard
                        .command_completed(&d.machine, &d.body, None, &self.cache, now);
                }
            }
            self.tell_leader(now);
        }
        self.publish_restart(now);
        self.publish_shares(now);
        if now - self.tidied > self.settings.params.workers.report_s {
            self.tidied = now;
            self.shard.forget_finished(&self.cache, now);
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
                self.send_peer(&name, PeerMessage::KeepAlive);
            }
        }
    }

    fn written(&mut self, purpose: WritePurpose, outcome: CommitOutcome, now: Seconds) {
        let _ = self.watch_wakeups.try_send(());
        match purpose {
            WritePurpose::Submit(id) => self.submit_written(id, outcome, now),
            WritePurpose::Withdraw(id) => self.withdraw_written(id, outcome, now),
            WritePurpose::Epoch => {
                self.epoch_pending = false;
                // Let the cache catch up before another proposal.
                self.epoch_wanted = Some(now);
            }
            WritePurpose::Finish(job, write_id) => {
                self.finish_written(&job, write_id, outcome, now)
            }
            WritePurpose::RegistryWriter(write_id) => {
                self.registry_page_written(write_id, outcome, now)
            }
            WritePurpose::Catalog => self.autoscaler.set_catalog_write_pending(false),
            WritePurpose::Shares => self.shares_written(outcome, now),
        }
    }
}
