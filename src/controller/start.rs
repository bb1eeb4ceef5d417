//! The startup of a controller: opens its listeners and starts the threads of its
//! components.

use super::command_dispatch::CommandDispatcher;
use super::completions::PendingCompletions;
use super::events::{event_sink, ControllerEvent, WritePurpose};
use super::interval_timer::IntervalTimer;
use super::job_requests::JobRequests;
use super::leader_round::LeaderTimers;
use super::node_membership::NodeMembership;
use super::peers::Peers;
use super::registry::RegistryWriter;
use super::restart::ColdRestart;
use super::shard_transfers::ShardTransfers;
use super::store_sync::StoreSync;
use super::worker_redirects::WorkerRedirects;
use super::Controller;
use crate::api::listeners::{self, Listener};
use crate::api::published_report::PublishedReport;
use crate::api::restart_report::RestartReport;
use crate::api::routes::Request;
use crate::api::shard_map_report::ShardMapReport;
use crate::autoscaler::{cloud, Autoscaler};
use crate::clock;
use crate::cluster::member_lease;
use crate::config::features::Features;
use crate::config::policy::Policy;
use crate::config::settings::Settings;
use crate::scheduler::Leader;
use crate::shard::{Shard, Timing};
use crate::store::cache::StoreCache;
use crate::store::{GroupCommitter, RateBudget};
use crossbeam::channel::{bounded, Sender};
use std::io;

/// The capacity of the event loop's queue, in events.
const EVENT_QUEUE_LENGTH: usize = 8192;

/// The reason why a controller could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A listening socket could not be opened.
    #[error("cannot listen: {0}")]
    Listen(#[source] io::Error),
}

/// Runs a controller until its event loop ends.
///
/// # Errors
///
/// Returns a [`StartError`] if the controller cannot be started.
pub fn run(settings: Settings, policy: Policy, features: &Features) -> Result<(), StartError> {
    let reports = PublishedReports::new(features);
    let (events, event_queue) = bounded(EVENT_QUEUE_LENGTH);
    listen(&settings, &reports, &events).map_err(StartError::Listen)?;
    let mut controller = Controller::start(settings, policy, features, reports, &events);
    controller.run_event_loop(&event_queue);
    Ok(())
}

/// The reports that the listeners serve without involving the event loop.
#[derive(Clone)]
struct PublishedReports {
    restart: PublishedReport<RestartReport>,
    shard_map: PublishedReport<ShardMapReport>,
}

impl PublishedReports {
    fn new(features: &Features) -> PublishedReports {
        PublishedReports {
            restart: PublishedReport::new("cold-restart", features.cold_restart.is_some()),
            shard_map: PublishedReport::new("shared-machines", features.shared_machines.is_some()),
        }
    }
}

/// Opens the listener for users and workers, and the one for the other controllers and
/// operators. Their requests are passed to the event loop, except those for published
/// reports.
fn listen(
    settings: &Settings,
    reports: &PublishedReports,
    events: &Sender<ControllerEvent>,
) -> io::Result<()> {
    for listener in Listener::ALL {
        let (events, reports) = (events.clone(), reports.clone());
        listeners::listen(
            settings,
            listener,
            move |request, responder| match request {
                Request::RestartReport => reports.restart.respond(responder),
                Request::ShardMapReport => reports.shard_map.respond(responder),
                // If the queue is full, the responder is dropped and responds with 503.
                request => drop(events.try_send(ControllerEvent::Request(request, responder))),
            },
        )?;
    }
    Ok(())
}

impl Controller {
    /// Creates the components of a controller and starts their threads.
    fn start(
        settings: Settings,
        policy: Policy,
        features: &Features,
        reports: PublishedReports,
        events: &Sender<ControllerEvent>,
    ) -> Controller {
        let budget = RateBudget::new(&settings);
        let store_sync = StoreSync::start(&settings, budget.clone(), events);
        start_lease_renewal(&settings, features, budget.clone(), events);
        let writer = start_writer(&settings, budget, events);
        let cloud = cloud::start(
            &settings,
            event_sink(events, ControllerEvent::CloudResponse),
        );
        let commands = CommandDispatcher::new(&settings, events);
        let redirects = WorkerRedirects::start(&settings);
        let shard = new_shard(&settings, features);
        let cold_restart = features
            .cold_restart
            .as_ref()
            .map(|config| ColdRestart::new(config, &settings, reports.restart));
        let shard_transfers = features
            .shared_machines
            .as_ref()
            .map(|config| ShardTransfers::new(config, &settings, reports.shard_map));
        Controller {
            store_sync,
            writer,
            cloud,
            commands,
            redirects,
            shard,
            cold_restart,
            shard_transfers,
            leader: Leader::new(&settings),
            cache: StoreCache::new(settings.params.state.value_kb),
            peers: Peers::start(&settings, events),
            membership: NodeMembership::new(settings.node_name.clone(), clock::now()),
            job_requests: JobRequests::new(&settings),
            autoscaler: Autoscaler::default(),
            leader_timers: LeaderTimers::default(),
            pending_completions: PendingCompletions::default(),
            registry: RegistryWriter::default(),
            round_timer: IntervalTimer::since_process_start(),
            cleanup_timer: IntervalTimer::since_process_start(),
            leader_report_timer: IntervalTimer::since_process_start(),
            settings,
            policy,
        }
    }
}

/// Starts the thread that acquires and renews this node's lease.
fn start_lease_renewal(
    settings: &Settings,
    features: &Features,
    budget: RateBudget,
    events: &Sender<ControllerEvent>,
) {
    member_lease::start_lease_actor(
        settings,
        budget,
        features.shared_machines.is_some(),
        event_sink(events, ControllerEvent::Lease),
    );
}

/// Starts the threads that write to the key-value store.
fn start_writer(
    settings: &Settings,
    budget: RateBudget,
    events: &Sender<ControllerEvent>,
) -> GroupCommitter<WritePurpose> {
    let events = events.clone();
    GroupCommitter::start(settings, budget, move |purpose, outcome| {
        let event = ControllerEvent::WriteCompleted(purpose, outcome);
        events.send(event).is_ok()
    })
}

fn new_shard(settings: &Settings, features: &Features) -> Shard {
    let timing = Timing {
        report_s: settings.params.workers.report_s,
        lease_s: settings.params.workers.lease_s,
        member_lease_s: settings.member_lease_s(),
    };
    let mut shard = Shard::new(&settings.node_name, timing, settings.start_objectives());
    if let Some(config) = &features.cold_restart {
        shard.set_restart_record_limit(config.entries);
    }
    shard
}
