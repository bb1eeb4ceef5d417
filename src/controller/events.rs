//! What the event loop handles: requests, and the answers of the actors that
//! wait for the network.

use crate::api::command_pool::CommandResult;
use crate::api::responder::Responder;
use crate::api::routes::Request;
use crate::autoscaler::cloud::CloudResponse;
use crate::cluster::member_lease::LeaseEvent;
use crate::store::pending_writes::WriteId;
use crate::store::{CommitOutcome, WatchEvent};
use crate::wire::JobId;
use crossbeam::channel::Sender;

/// What a write to the key-value store was for.
#[derive(Debug, Clone)]
pub(super) enum WritePurpose {
    /// The record of a submitted job.
    Submit(JobId),
    /// The record of a cancelled job.
    Withdraw(JobId),
    /// The proposal of an epoch.
    Epoch,
    /// A job's finished tasks, or its end.
    Finish(JobId, WriteId),
    /// A page of the machine registry.
    RegistryPage(WriteId),
    /// The cloud's machine types.
    Catalog,
    /// The shard map.
    ShardMap,
}

/// A message to the event loop.
pub(super) enum ControllerEvent {
    /// A request of a user, a worker, an operator or another controller.
    Request(Request, Responder),
    /// The watch has read the key-value store, or could not.
    Watch(WatchEvent),
    /// This node's lease was renewed or has expired.
    Lease(LeaseEvent),
    /// A write to the key-value store was answered, or given up.
    WriteCompleted(WritePurpose, CommitOutcome),
    /// The cloud has answered.
    CloudResponse(CloudResponse),
    /// A direct command to a worker was answered, or given up.
    CommandCompleted(CommandResult),
    /// Another controller can't be reached directly any more, or can again.
    PeerReachability {
        /// The other controller's node name.
        name: String,
        /// Whether it is reached directly.
        reachable: bool,
    },
}

/// A callback for an actor: it queues what it is given as an event, and returns
/// whether the event loop still runs.
pub(super) fn event_sink<T, F>(
    events: &Sender<ControllerEvent>,
    event: F,
) -> impl Fn(T) -> bool + Send + Clone + 'static
where
    F: Fn(T) -> ControllerEvent + Send + Clone + 'static,
{
    let events = events.clone();
    move |payload| events.send(event(payload)).is_ok()
}
