//! The event loop of a controller: it owns the local cache, this node's shard and,
//! while this node leads, the leader's state. All other threads send it events, and it
//! never waits for the network.

mod autoscaling;
mod cloud_responses;
mod command_dispatch;
mod completions;
mod events;
mod heartbeats;
mod interval_timer;
mod job_requests;
mod leader_round;
mod member;
mod node_membership;
mod peer_messages;
mod peers;
mod registry;
mod restart;
mod shard_transfers;
mod start;
mod store_sync;
mod watch_events;
mod worker_redirects;
mod writes;

use crate::api::command_pool::CommandResult;
use crate::api::responder::Responder;
use crate::api::routes::Request;
use crate::api::status;
use crate::autoscaler::{cloud, Autoscaler};
use crate::clock::{self, Moment, Seconds};
use crate::config::policy::Policy;
use crate::config::settings::Settings;
use crate::scheduler::Leader;
use crate::shard::Shard;
use crate::store::cache::StoreCache;
use crate::store::{CommitOutcome, GroupCommitter};
use command_dispatch::CommandDispatcher;
use completions::PendingFinishes;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use events::{ControllerEvent, WritePurpose};
use interval_timer::IntervalTimer;
use job_requests::JobRequests;
use leader_round::LeaderTimers;
use node_membership::NodeMembership;
use peers::Peers;
use registry::RegistryWriter;
use restart::Restart;
use shard_transfers::ShardTransfers;
pub use start::{run, StartError};
use std::time::Duration;
use store_sync::StoreSync;
use worker_redirects::WorkerRedirects;

/// When to come back with a request that can't be answered at present, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// The most threads of one pool, and of all relays, however many sockets there
/// are: a process stays far below the 2,000 that it may have.
const MAX_POOL_THREADS: f64 = 300.0;

/// The most queued events that are handled before it is looked whether a round is due.
const MAX_EVENT_BATCH: usize = 64;

/// The least time between two rounds, as a share of a report interval.
const ROUND_INTERVAL_REPORTS: f64 = 1.0 / 60.0;

/// How often the leader hears of a shard that has changed, and of one that has not, as
/// shares of a report interval.
const CHANGED_REPORT_SHARE: f64 = 1.0 / 20.0;
const UNCHANGED_REPORT_SHARE: f64 = 1.0 / 3.0;

/// How often peers hear of this node, as a share of a report interval.
const KEEPALIVE_SHARE: f64 = 1.0 / 3.0;

/// For how many report intervals what a peer said counts.
const PEER_TIMEOUT_REPORTS: f64 = 2.0;

/// The controller's state: its components, which the event loop wires together.
struct Controller {
    settings: Settings,
    policy: Policy,
    cache: StoreCache,
    store_sync: StoreSync,
    writer: GroupCommitter<WritePurpose>,
    membership: NodeMembership,
    peers: Peers,
    shard: Shard,
    commands: CommandDispatcher,
    redirects: WorkerRedirects,
    job_requests: JobRequests,
    leader: Leader,
    leader_timers: LeaderTimers,
    finishes: PendingFinishes,
    registry: RegistryWriter,
    autoscaler: Autoscaler,
    cloud: Sender<cloud::CloudRequest>,
    /// Hold-offs and the report after a restart, if that feature is on.
    restart: Option<Restart>,
    /// Transfers between shards, if that feature is on.
    shard_transfers: Option<ShardTransfers>,
    round_timer: IntervalTimer,
    cleanup_timer: IntervalTimer,
    leader_report_timer: IntervalTimer,
}

impl Controller {
    /// How often workers report, in seconds.
    fn report_interval(&self) -> Seconds {
        self.settings.params.workers.report_s
    }

    /// The least time between two rounds, in seconds.
    fn round_interval(&self) -> Seconds {
        self.report_interval() * ROUND_INTERVAL_REPORTS
    }

    /// How long the decisions of a round may take, in seconds: a round's share of the
    /// core.
    fn round_time_budget(&self) -> Seconds {
        self.round_interval() * self.settings.params.machine_limits.core_share
    }

    /// Handles events and runs rounds until nobody can send events any more.
    fn run_event_loop(&mut self, events: &Receiver<ControllerEvent>) {
        loop {
            let wait = self
                .round_timer
                .remaining(self.round_interval(), clock::now());
            match events.recv_timeout(Duration::from_secs_f64(wait)) {
                Ok(event) => {
                    self.handle_event(event);
                    for event in events.try_iter().take(MAX_EVENT_BATCH) {
                        self.handle_event(event);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = clock::now();
            if self.round_timer.restart_if_due(self.round_interval(), now) {
                self.run_round(now);
            }
        }
    }

    fn handle_event(&mut self, event: ControllerEvent) {
        let now = clock::now();
        match event {
            ControllerEvent::Request(request, responder) => {
                self.handle_request(request, responder, now);
            }
            ControllerEvent::Watch(event) => self.apply_watch_event(event, now),
            ControllerEvent::Lease(event) => self.membership.apply_lease(event),
            ControllerEvent::WriteCompleted(purpose, outcome) => {
                self.write_completed(purpose, outcome, now);
            }
            ControllerEvent::CloudResponse(response) => self.handle_cloud_response(response, now),
            ControllerEvent::PeerReachability { name, reachable } => {
                tracing::info!(peer = name, reachable, "reachability of a peer changed");
                self.peers.record_reachability(&name, reachable);
            }
            ControllerEvent::CommandCompleted(result) => self.command_completed(&result, now),
        }
    }

    fn handle_request(&mut self, request: Request, responder: Responder, now: Seconds) {
        match request {
            Request::HealthCheck => {
                if self.accepts_users(now) {
                    responder.send(status::OK, b"{}".to_vec());
                } else {
                    responder.retry_later(
                        status::SERVICE_UNAVAILABLE,
                        RETRY_AFTER_S,
                        "no state service",
                    );
                }
            }
            Request::Submit(spec) => self.submit(*spec, responder, now),
            Request::Query(id) => self.query(id.as_str().into(), responder, now),
            Request::Cancel(id) => self.withdraw(id.as_str().into(), responder, now),
            Request::Heartbeat {
                report,
                body,
                relayed,
            } => self.handle_heartbeat(*report, body, relayed, responder, now),
            Request::Peer(envelope) => {
                responder.send(status::OK, Vec::new());
                self.handle_envelope(*envelope, now);
            }
            // Answered by the listener, from what was published last.
            Request::RestartReport | Request::ShardMapReport => {
                responder.retry_later(status::SERVICE_UNAVAILABLE, RETRY_AFTER_S, "no report yet")
            }
            Request::ShardMapPlan(plan) => self.set_transfer_plan(plan, responder),
        }
    }

    fn write_completed(&mut self, purpose: WritePurpose, outcome: CommitOutcome, now: Seconds) {
        self.store_sync.request_poll();
        match purpose {
            WritePurpose::Submit(id) => self.submit_completed(id, outcome, now),
            WritePurpose::Withdraw(id) => self.withdraw_completed(id, outcome, now),
            WritePurpose::Epoch => self.membership.complete_proposal(now),
            WritePurpose::Finish(job, write_id) => {
                self.finish_completed(&job, write_id, outcome, now)
            }
            WritePurpose::RegistryPage(write_id) => {
                self.registry_page_completed(write_id, outcome, now)
            }
            WritePurpose::Catalog => self.autoscaler.set_catalog_write_pending(false),
            WritePurpose::ShardMap => self.shard_map_completed(outcome, now),
        }
    }

    fn command_completed(&mut self, result: &CommandResult, now: Seconds) {
        self.commands.record_completion(result);
        let entered_epoch = self.shard.epoch() > 0;
        if entered_epoch {
            self.shard.command_completed(
                &result.command.machine,
                &result.command.body,
                result.response.as_ref(),
                &self.cache,
                now,
            );
        }
    }

    /// What is done at every round interval.
    fn run_round(&mut self, now: Seconds) {
        // A lease that came after its epoch was read: the epoch is entered now.
        if self.has_epoch_to_enter() {
            self.apply_epoch_change(now);
        }
        self.propose_epoch(now);
        self.serve_waiting_reads(now);
        if let Some(until) = self.may_act_until().filter(|until| now < *until) {
            self.run_shard_round(until, now);
        }
        self.publish_restart_report(now);
        self.publish_shard_map_report(now);
        self.clean_up(now);
        let keepalive_interval = self.report_interval() * KEEPALIVE_SHARE;
        self.peers
            .send_keepalives(keepalive_interval, self.store_sync.is_synced(), now);
    }

    /// The round of a node that may act until `until`.
    fn run_shard_round(&mut self, until: Seconds, now: Seconds) {
        let end = now + self.round_time_budget();
        self.shard.expire_leases(now);
        self.shard.stop_tasks_before_reclaim(&self.cache, now);
        if self.is_leader() {
            self.run_leader_round(now, end);
        }
        self.shard
            .place_queued(&self.cache, Moment::now(), || clock::now() < end);
        self.send_due_commands(until, now);
        self.report_to_leader(now);
    }

    fn send_due_commands(&mut self, until: Seconds, now: Seconds) {
        let capacity = self.commands.capacity();
        let due = self.shard.due_commands_within(&self.cache, now, capacity);
        for command in due {
            if let Err(unsent) = self.commands.send(command, until) {
                self.shard
                    .command_completed(&unsent.machine, &unsent.body, None, &self.cache, now);
            }
        }
    }

    /// Forgets what is over.
    fn clean_up(&mut self, now: Seconds) {
        let report_interval = self.report_interval();
        if self.cleanup_timer.restart_if_due(report_interval, now) {
            self.shard.forget_finished(&self.cache, now);
            self.redirects.expire(now);
        }
        self.peers
            .expire(report_interval * PEER_TIMEOUT_REPORTS, now);
    }
}
