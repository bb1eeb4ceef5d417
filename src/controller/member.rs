//! Cluster membership: decides whether this node may act, whether it accepts requests from
//! users, and which members the next epoch has.

use super::writes::put_record;
use super::{Controller, WritePurpose, PEER_TIMEOUT_REPORTS};
use crate::clock::Seconds;
use crate::cluster::membership;
use crate::store::keys::EPOCH_KEY;
use crate::store::records::{Epoch, MemberRecord, Versioned};
use crate::store::{self, Condition, ConditionalWrite, WriteClass};
use std::collections::BTreeMap;

/// The greatest age of a successful read of the key-value store, or of a peer's report that
/// it reaches the store, that shows that the store is reachable, in durations of a member's
/// lease.
const MAX_STORE_CONTACT_AGE_LEASES: f64 = 1.0 / 4.0;

/// The greatest age of the last message from any peer that shows that this node has contact
/// with other controllers, in durations of a member's lease.
const MAX_PEER_CONTACT_AGE_LEASES: f64 = 1.0 / 2.0;

/// The timeout of the write of a proposed epoch, in durations of a member's lease.
const PROPOSAL_TIMEOUT_LEASES: f64 = 1.0 / 4.0;

/// How much longer each member delays its proposal of an epoch than the preceding member, in
/// poll intervals of the store. Members are ordered by name.
const PROPOSAL_DELAY_POLLS: f64 = 4.0;

impl Controller {
    /// Returns the current epoch, if this incarnation is a member of it and has entered it.
    pub(super) fn entered_epoch(&self) -> Option<&Epoch> {
        self.cache.epoch.as_ref().filter(|epoch| {
            self.membership.incarnation_in(epoch).is_some() && self.shard.epoch() == epoch.number
        })
    }

    /// Returns whether this incarnation is a member of the current epoch and has not
    /// entered it yet.
    pub(super) fn has_epoch_to_enter(&self) -> bool {
        self.cache.epoch.as_ref().is_some_and(|epoch| {
            self.membership.incarnation_in(epoch).is_some() && self.shard.epoch() != epoch.number
        })
    }

    /// Returns until when this node may act: until its lease expires, or until its cached
    /// state of the key-value store is too old, whichever comes first. Returns `None` if this
    /// node has not entered the current epoch, has no lease, or has not read the key-value
    /// store.
    pub(super) fn may_act_until(&self) -> Option<Seconds> {
        self.entered_epoch()?;
        let lease_valid_until = self.membership.lease_valid_until()?;
        let synced_at = self.store_sync.last_synced_at()?;
        Some(lease_valid_until.min(synced_at + self.settings.max_staleness_s()))
    }

    /// Returns whether this node is the leader of the epoch that it has entered.
    pub(super) fn is_leader(&self) -> bool {
        self.entered_epoch()
            .is_some_and(|epoch| epoch.leader == self.settings.node_name)
    }

    /// Returns whether users should send their requests to this node. They should if this
    /// node has read the key-value store recently. They also should if it read the store
    /// earlier and no other controller reports that the store is reachable now. If there are
    /// other controllers and this node has no contact with any of them, it cannot determine
    /// the latter: this node itself is partitioned, and does not accept users.
    pub(super) fn accepts_users(&self, now: Seconds) -> bool {
        let lease = self.settings.member_lease_s();
        let max_age = lease * MAX_STORE_CONTACT_AGE_LEASES;
        if self.store_sync.synced_within(max_age, now) {
            return true;
        }
        let no_contact = !self
            .peers
            .any_contact(lease * MAX_PEER_CONTACT_AGE_LEASES, now);
        let partitioned = no_contact && !self.settings.members.is_empty();
        self.store_sync.last_synced_at().is_some()
            && !self.peers.any_reaches_store(max_age, now)
            && !partitioned
    }

    /// Returns the members with a lease, except those that are unreachable.
    ///
    /// A controller whose network fails, except for its connection to the key-value store,
    /// keeps its lease. It would remain the owner of its machines, and perhaps the leader,
    /// although no other controller can reach it. Such a member is left out.
    ///
    /// This node has contact with a member if a recent message from the member reported that
    /// the member reaches the key-value store. A member is left out if this node has no
    /// contact with it, and another member, which is in mutual contact with this node, has
    /// no contact with it either.
    ///
    /// Returns `None` if this node has no contact with any other member, since it then
    /// cannot determine which of them are unreachable. Returns all members if there are no
    /// members besides this node, or if this process has not run long enough to have
    /// received messages from them.
    fn reachable_members(&self, now: Seconds) -> Option<BTreeMap<String, Versioned<MemberRecord>>> {
        let timeout = self.report_interval() * PEER_TIMEOUT_REPORTS;
        let this_node = &self.settings.node_name;
        let contacted = |name: &String| self.peers.reaches_store(name, timeout, now);
        let peers: Vec<&String> = self
            .cache
            .members
            .keys()
            .filter(|name| *name != this_node)
            .collect();
        if peers.is_empty() || self.membership.uptime(now) < timeout {
            return Some(self.cache.members.clone());
        }
        if !peers.iter().any(|name| contacted(name)) {
            return None;
        }
        let peer_lost_contact = |name: &String| {
            peers
                .iter()
                .any(|peer| *peer != name && contacted(peer) && self.peers.lost_contact(peer, name))
        };
        let mut reachable = self.cache.members.clone();
        reachable
            .retain(|name, _| name == this_node || contacted(name) || !peer_lost_contact(name));
        Some(reachable)
    }

    /// Proposes the next epoch if the current one should not continue. The member that would
    /// lead the next epoch proposes it at once, and the other members after different delays,
    /// so that proposals rarely compete; only one of them can succeed.
    pub(super) fn propose_epoch(&mut self, now: Seconds) {
        if !self.may_propose_epoch(now) {
            return;
        }
        let Some(members) = self.reachable_members(now) else {
            return;
        };
        let Some(next) = self.next_epoch(&members) else {
            self.membership.mark_epoch_current();
            return;
        };
        let stale_since = self.membership.mark_epoch_stale(now);
        if now - stale_since >= self.proposal_delay(&next) {
            self.write_epoch(&next, now);
        }
    }

    fn may_propose_epoch(&self, now: Seconds) -> bool {
        if self.membership.is_proposing()
            || self.store_sync.is_unreachable()
            || !self.membership.has_valid_lease(now)
        {
            return false;
        }
        let member = self.cache.members.get(&self.settings.node_name);
        member.map(|member| member.value.incarnation) == self.membership.incarnation()
    }

    /// Returns the epoch that should follow the current one. Its members are the live ones if
    /// those differ from the members of the current epoch. Otherwise, if this node is the
    /// leader and is running out of attempt numbers, the current epoch is renewed. Returns
    /// `None` if the current epoch should continue.
    fn next_epoch(&self, members: &BTreeMap<String, Versioned<MemberRecord>>) -> Option<Epoch> {
        let current = self.cache.epoch.as_ref();
        let epoch_to_renew =
            || current.filter(|_| self.is_leader() && self.leader.needs_new_epoch());
        membership::next_epoch(current, members)
            .or_else(|| epoch_to_renew().map(membership::renewed_epoch))
    }

    /// Returns how long this node waits before it proposes an epoch. The delay is zero if this
    /// node is to be the leader, and otherwise grows with its position among the members,
    /// which are ordered by name.
    fn proposal_delay(&self, next: &Epoch) -> Seconds {
        let this_node = &self.settings.node_name;
        if next.leader == *this_node {
            return 0.0;
        }
        let rank = next.members.keys().position(|name| name == this_node);
        let delay_steps = rank.unwrap_or(0) as f64 + 1.0;
        store::poll_interval(&self.settings) * PROPOSAL_DELAY_POLLS * delay_steps
    }

    fn write_epoch(&mut self, next: &Epoch, now: Seconds) {
        let write = ConditionalWrite {
            conditions: vec![Condition::new(EPOCH_KEY, self.cache.epoch_revision)],
            ops: vec![put_record(EPOCH_KEY, next)],
            deadline: now + self.settings.member_lease_s() * PROPOSAL_TIMEOUT_LEASES,
            purpose: WritePurpose::EpochProposal,
        };
        if self.writer.send(WriteClass::Urgent, write).is_ok() {
            self.membership.begin_proposal();
        }
    }
}
