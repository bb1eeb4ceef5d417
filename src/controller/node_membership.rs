//! This node's lease on the key-value store, and the state of its epoch proposals.

use crate::clock::Seconds;
use crate::cluster::member_lease::LeaseEvent;
use crate::store::records::Epoch;

/// A lease that this node holds.
struct NodeLease {
    incarnation: u64,
    valid_until: Seconds,
}

/// The state of this node's membership of the cluster.
pub(super) struct NodeMembership {
    node_name: String,
    started_at: Seconds,
    lease: Option<NodeLease>,
    /// Since when another epoch should follow the current one, or when the last proposal
    /// completed, whichever is later. `None` while the current epoch should continue.
    epoch_stale_since: Option<Seconds>,
    /// Whether a proposal of an epoch is in progress.
    proposal_pending: bool,
    /// The revision of the latest epoch of which the key-value store has refused a write, as a newer
    /// epoch exists.
    ended_epoch_revision: Option<u64>,
}

impl NodeMembership {
    /// Creates the state of a node that has no lease yet, in a process that started at
    /// `started_at`.
    pub(super) fn new(node_name: String, started_at: Seconds) -> NodeMembership {
        NodeMembership {
            node_name,
            started_at,
            lease: None,
            epoch_stale_since: None,
            proposal_pending: false,
            ended_epoch_revision: None,
        }
    }

    /// Records that the epoch at this revision has ended, though the next one may not be read yet.
    pub(super) fn record_epoch_end(&mut self, revision: u64) {
        self.ended_epoch_revision = Some(revision);
    }

    /// Whether the epoch at this revision is known to have ended.
    pub(super) fn has_epoch_ended(&self, revision: u64) -> bool {
        self.ended_epoch_revision == Some(revision)
    }

    /// Returns how long the process has run, in seconds.
    pub(super) fn uptime(&self, now: Seconds) -> Seconds {
        now - self.started_at
    }

    /// Applies the renewal or the expiry of the lease.
    pub(super) fn apply_lease(&mut self, event: LeaseEvent) {
        match event {
            LeaseEvent::Renewed { incarnation, until } => {
                if Some(incarnation) != self.incarnation() {
                    tracing::info!(incarnation, "joined with a new lease");
                }
                self.lease = Some(NodeLease {
                    incarnation,
                    valid_until: until,
                });
            }
            LeaseEvent::Expired => self.lease = None,
        }
    }

    /// Returns this node's incarnation, which is the identifier of its lease; `None`
    /// without a lease.
    pub(super) fn incarnation(&self) -> Option<u64> {
        self.lease.as_ref().map(|lease| lease.incarnation)
    }

    /// Returns when the lease expires; `None` without a lease.
    pub(super) fn lease_valid_until(&self) -> Option<Seconds> {
        self.lease.as_ref().map(|lease| lease.valid_until)
    }

    /// Returns whether the lease is valid at `now`.
    pub(super) fn has_valid_lease(&self, now: Seconds) -> bool {
        self.lease_valid_until().is_some_and(|until| now < until)
    }

    /// Returns this node's incarnation, if the epoch lists that incarnation as a member.
    pub(super) fn incarnation_in(&self, epoch: &Epoch) -> Option<u64> {
        self.incarnation()
            .filter(|incarnation| epoch.members.get(&self.node_name) == Some(incarnation))
    }

    /// Returns whether a proposal of an epoch is in progress.
    pub(super) fn is_proposing(&self) -> bool {
        self.proposal_pending
    }

    /// Records that a proposal of an epoch was sent.
    pub(super) fn begin_proposal(&mut self) {
        self.proposal_pending = true;
    }

    /// Records that the write of the proposal has completed. The delay before the next
    /// proposal starts anew, so that the cache can first receive the outcome.
    pub(super) fn complete_proposal(&mut self, now: Seconds) {
        self.proposal_pending = false;
        self.epoch_stale_since = Some(now);
    }

    /// Records that the live members differ from those of the epoch, or that the epoch has to
    /// be renewed. Returns since when this has been so.
    pub(super) fn mark_epoch_stale(&mut self, now: Seconds) -> Seconds {
        *self.epoch_stale_since.get_or_insert(now)
    }

    /// Records that a new epoch was read, or that the current one should continue.
    pub(super) fn mark_epoch_current(&mut self) {
        self.epoch_stale_since = None;
    }
}
