//! The event loop of a controller. The loop owns the local cache of the key-value store,
//! this node's shard and, while this node is the leader, the leader's state. All other
//! threads send events to the loop, which itself never waits for the network.

mod autoscaling;
mod cloud_responses;
mod command_dispatch;
mod completions;
mod events;
mod fleet_review;
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
mod state_log;
mod store_sync;
mod submissions;
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
use completions::PendingCompletions;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use events::{ControllerEvent, WritePurpose};
use interval_timer::IntervalTimer;
use job_requests::JobRequests;
use leader_round::LeaderTimers;
use node_membership::NodeMembership;
use peers::Peers;
use registry::RegistryWriter;
use restart::ColdRestart;
use shard_transfers::ShardTransfers;
pub use start::{run, StartError};
use std::time::Duration;
use store_sync::StoreSync;
use worker_redirects::WorkerRedirects;

/// The `Retry-After` value of a request that cannot be served at present, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// The most threads of one command pool, and of all relay pools together, however many
/// sockets the process may open. This limit keeps the process far below its limit of 2,000
/// threads.
const MAX_POOL_THREADS: f64 = 300.0;

/// The most further events that the event loop takes from its queue, after it has waited for
/// one, before it checks whether a round is due.
const MAX_EVENT_BATCH: usize = 64;

/// The shortest time between two rounds, in report intervals.
const ROUND_INTERVAL_REPORTS: f64 = 1.0 / 60.0;

/// The time between reports of a shard to the leader, in report intervals: if the shard has
/// changed since the last report, and if it has not.
const CHANGED_SHARD_INTERVAL_REPORTS: f64 = 1.0 / 20.0;
const UNCHANGED_SHARD_INTERVAL_REPORTS: f64 = 1.0 / 3.0;

/// The time between keepalives to the other controllers, in report intervals.
const KEEPALIVE_INTERVAL_REPORTS: f64 = 1.0 / 3.0;

/// How long the contents of a message from a peer count as current, in report intervals.
const PEER_TIMEOUT_REPORTS: f64 = 2.0;

/// The state of the controller: its components, which the event loop connects.
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
    pending_completions: PendingCompletions,
    registry: RegistryWriter,
    autoscaler: Autoscaler,
    cloud: Sender<cloud::CloudRequest>,
    /// Hold-offs and the report after a restart; `None` unless the feature `cold-restart`
    /// is enabled.
    cold_restart: Option<ColdRestart>,
    /// Transfers between shards; `None` unless the feature `shared-machines` is enabled.
    shard_transfers: Option<ShardTransfers>,
    round_timer: IntervalTimer,
    cleanup_timer: IntervalTimer,
    leader_report_timer: IntervalTimer,
}

impl Controller {
    /// Returns the interval between heartbeats of a worker, in seconds.
    fn report_interval(&self) -> Seconds {
        self.settings.params.workers.report_s
    }

    /// Returns the shortest time between two rounds, in seconds.
    fn round_interval(&self) -> Seconds {
        self.report_interval() * ROUND_INTERVAL_REPORTS
    }

    /// Returns how long the scheduling decisions of a round may take, in seconds: the round
    /// interval times the share of a processor core that the controller may use.
    fn round_time_budget(&self) -> Seconds {
        self.round_interval() * self.settings.params.machine_limits.core_share
    }

    /// Handles events and runs rounds until all senders of events have been dropped.
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
            Request::Cancel(id) => self.cancel(id.as_str().into(), responder, now),
            Request::Heartbeat {
                report,
                body,
                relayed,
            } => self.handle_heartbeat(*report, body, relayed, responder, now),
            Request::Peer(envelope) => {
                responder.send(status::OK, Vec::new());
                self.handle_envelope(*envelope, now);
            }
            // The listener responds to these requests with the last published report, and
            // does not pass them on to the event loop.
            Request::RestartReport | Request::ShardMapReport => {
                responder.retry_later(status::SERVICE_UNAVAILABLE, RETRY_AFTER_S, "no report yet")
            }
            Request::ShardMapPlan(plan) => self.set_transfer_plan(plan, responder),
        }
    }

    fn write_completed(&mut self, purpose: WritePurpose, outcome: CommitOutcome, now: Seconds) {
        self.store_sync.request_poll();
        match purpose {
            WritePurpose::Submission(id) => self.submission_write_completed(id, outcome, now),
            WritePurpose::Cancellation(id) => self.cancellation_write_completed(id, outcome, now),
            WritePurpose::EpochProposal => self.membership.complete_proposal(now),
            WritePurpose::Completion(job, write_id) => {
                self.completion_write_completed(&job, write_id, outcome, now)
            }
            WritePurpose::RegistryPage(write_id) => {
                self.registry_page_write_completed(write_id, outcome, now)
            }
            WritePurpose::Catalog => self.autoscaler.set_catalog_write_pending(false),
            WritePurpose::ShardMap => self.shard_map_write_completed(outcome, now),
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

    /// Runs one round. A round is due once per round interval.
    fn run_round(&mut self, now: Seconds) {
        // The event of a new lease may arrive only after an epoch that contains its
        // incarnation was read. In that case the epoch is entered here.
        if self.has_epoch_to_enter() {
            self.apply_epoch_change(now);
        }
        self.propose_epoch(now);
        self.serve_waiting_reads(now);
        if let Some(valid_until) = self.may_act_until().filter(|until| now < *until) {
            self.run_shard_round(valid_until, now);
        }
        self.publish_restart_report(now);
        self.publish_shard_map_report(now);
        self.clean_up(now);
        let keepalive_interval = self.report_interval() * KEEPALIVE_INTERVAL_REPORTS;
        self.peers
            .send_keepalives(keepalive_interval, self.store_sync.is_synced(), now);
    }

    /// Runs the part of a round that requires that this node may act, which it may until
    /// `valid_until`.
    fn run_shard_round(&mut self, valid_until: Seconds, now: Seconds) {
        let deadline = now + self.round_time_budget();
        self.shard.expire_leases(now);
        self.shard.stop_tasks_before_reclaim(&self.cache, now);
        if self.is_leader() {
            self.run_leader_round(now, deadline);
        }
        self.shard
            .place_queued(&self.cache, Moment::now(), || clock::now() < deadline);
        self.send_due_commands(valid_until, now);
        self.report_to_leader(now);
    }

    fn send_due_commands(&mut self, valid_until: Seconds, now: Seconds) {
        let capacity = self.commands.capacity();
        let due = self.shard.due_commands_within(&self.cache, now, capacity);
        for command in due {
            if let Err(unsent) = self.commands.send(command, valid_until) {
                self.shard
                    .command_completed(&unsent.machine, &unsent.body, None, &self.cache, now);
            }
        }
    }

    /// Discards outdated state of the shard, of redirected workers and of the peers.
    fn clean_up(&mut self, now: Seconds) {
        let report_interval = self.report_interval();
        if self.cleanup_timer.restart_if_due(report_interval, now) {
            self.shard.forget_finished(&self.cache, now);
            self.redirects.expire(now);
            self.log_member_state(now);
        }
        self.peers
            .expire(report_interval * PEER_TIMEOUT_REPORTS, now);
    }
}
