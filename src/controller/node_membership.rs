//! This node's lease at the key-value store, and its proposals of epochs.

use crate::clock::Seconds;
use crate::cluster::member_lease::LeaseEvent;
use crate::store::records::Epoch;

/// A lease that this node holds.
struct NodeLease {
    incarnation: u64,
    valid_until: Seconds,
}

/// Whether this node is a member of the cluster.
pub(super) struct NodeMembership {
    node_name: String,
    started_at: Seconds,
    lease: Option<NodeLease>,
    /// Since when the live members have not been the epoch's.
    epoch_stale_since: Option<Seconds>,
    /// A proposal of an epoch is under way.
    proposal_pending: bool,
}

impl NodeMembership {
    /// A node that has no lease yet, in a process that started at `started_at`.
    pub(super) fn new(node_name: String, started_at: Seconds) -> NodeMembership {
        NodeMembership {
            node_name,
            started_at,
            lease: None,
            epoch_stale_since: None,
            proposal_pending: false,
        }
    }

    /// How long the process has run.
    pub(super) fn uptime(&self, now: Seconds) -> Seconds {
        now - self.started_at
    }

    /// Applies what has become of the lease.
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

    /// The incarnation that the lease belongs to; none without a lease.
    pub(super) fn incarnation(&self) -> Option<u64> {
        self.lease.as_ref().map(|lease| lease.incarnation)
    }

    /// Until when the lease is valid; none without a lease.
    pub(super) fn lease_valid_until(&self) -> Option<Seconds> {
        self.lease.as_ref().map(|lease| lease.valid_until)
    }

    /// Whether the lease is valid now.
    pub(super) fn has_valid_lease(&self, now: Seconds) -> bool {
        self.lease_valid_until().is_some_and(|until| now < until)
    }

    /// This node's incarnation, if it is the one that is a member of the epoch.
    pub(super) fn incarnation_in(&self, epoch: &Epoch) -> Option<u64> {
        self.incarnation()
            .filter(|incarnation| epoch.members.get(&self.node_name) == Some(incarnation))
    }

    /// Whether a proposal of an epoch is under way.
    pub(super) fn is_proposing(&self) -> bool {
        self.proposal_pending
    }

    /// Records that a proposal is under way.
    pub(super) fn begin_proposal(&mut self) {
        self.proposal_pending = true;
    }

    /// Records that the proposal was answered. The cache is let to catch up before
    /// another one.
    pub(super) fn complete_proposal(&mut self, now: Seconds) {
        self.proposal_pending = false;
        self.epoch_stale_since = Some(now);
    }

    /// Since when the live members have not been the epoch's: since now, unless that
    /// was known before.
    pub(super) fn mark_epoch_stale(&mut self, now: Seconds) -> Seconds {
        *self.epoch_stale_since.get_or_insert(now)
    }

    /// Records that the epoch has changed, or is that of the live members.
    pub(super) fn mark_epoch_current(&mut self) {
        self.epoch_stale_since = None;
    }
}
