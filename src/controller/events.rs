//! The events that the event loop handles: requests, and results from the threads that wait
//! for the network.

use crate::api::command_pool::CommandResult;
use crate::api::responder::Responder;
use crate::api::routes::Request;
use crate::autoscaler::cloud::CloudResponse;
use crate::cluster::member_lease::LeaseEvent;
use crate::store::pending_writes::WriteId;
use crate::store::{CommitOutcome, WatchEvent};
use crate::wire::JobId;
use crossbeam::channel::Sender;

/// The purpose of a write to the key-value store, which determines how its outcome is
/// handled.
#[derive(Debug, Clone)]
pub(super) enum WritePurpose {
    /// Stores the record of a submitted job.
    Submission(JobId),
    /// Marks the record of a job as cancelled.
    Cancellation(JobId),
    /// Proposes an epoch.
    EpochProposal,
    /// Stores finished tasks of a job, or marks its record as done.
    Completion(JobId, WriteId),
    /// Stores or deletes a page of the machine registry.
    RegistryPage(WriteId),
    /// Stores the catalog of the cloud's machine types.
    Catalog,
    /// Stores the shard map.
    ShardMap,
}

/// An event for the event loop.
pub(super) enum ControllerEvent {
    /// A request of a user, a worker, an operator or another controller.
    Request(Request, Responder),
    /// The watch has read the key-value store, or a read has failed.
    Watch(WatchEvent),
    /// This node's lease was renewed or has expired.
    Lease(LeaseEvent),
    /// A write to the key-value store has completed, failed or timed out.
    WriteCompleted(WritePurpose, CommitOutcome),
    /// A request to the cloud has completed or failed.
    CloudResponse(CloudResponse),
    /// A direct command to a worker has completed or failed.
    CommandCompleted(CommandResult),
    /// Another controller has become directly reachable or unreachable.
    PeerReachability {
        /// The other controller's node name.
        name: String,
        /// Whether this node can reach it directly now.
        reachable: bool,
    },
}

/// Returns a callback for a component thread, which wraps its argument in an event and queues
/// the event. The callback returns false once the event loop has ended.
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
