//! Cluster membership: whether this node may act, whether it accepts requests from users,
//! and which members the next epoch has.

use super::writes::put_record;
use super::{Controller, WritePurpose, PEER_TIMEOUT_REPORTS};
use crate::clock::Seconds;
use crate::cluster::membership;
use crate::store::keys::EPOCH_KEY;
use crate::store::records::{Epoch, MemberRecord, Versioned};
use crate::store::{self, Condition, ConditionalWrite, WriteClass};
use std::collections::BTreeMap;

/// The greatest age of evidence that a controller reaches the key-value store, in durations
/// of a member's lease.
const MAX_STORE_CONTACT_AGE_LEASES: f64 = 1.0 / 4.0;

/// The greatest age of the last message from a peer that counts as contact with it, in
/// durations of a member's lease.
const MAX_PEER_CONTACT_AGE_LEASES: f64 = 1.0 / 2.0;

/// How long the write of a proposed epoch may take, in durations of a member's lease.
const PROPOSAL_TIMEOUT_LEASES: f64 = 1.0 / 4.0;

/// How much longer each member waits with a proposal of an epoch than the one before it in
/// the order of members, in poll intervals of the store.
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

    /// Returns until when this node may act: until its lease ends, or until its cached
    /// state of the key-value store is too old, whichever comes first. Returns `None` if it
    /// has not entered the epoch, has no lease, or has not read the key-value store.
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

    /// Returns whether users should send their requests to this node: it has read the
    /// key-value store recently, or it has read it before and no other controller reports
    /// that it reaches it now. A node without contact to any other controller cannot
    /// determine that, and is itself partitioned.
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

    /// Returns the members with a lease, except those that are unreachable. A controller
    /// that has lost its network except for the key-value store keeps its lease: its
    /// machines, and perhaps the leadership, would remain with it, out of reach of all
    /// others. A member is left out if this node has no contact with it, and neither has
    /// some other member with which this node is in mutual contact. Contact with a member
    /// means that a recent message from it reports that it reaches the key-value store.
    /// Returns `None` if this node has no contact with any other member, since it then
    /// cannot determine which of them are unreachable.
    ///
    /// Returns all members if there are no others, or if this process has not run long
    /// enough to have received messages from them.
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

    /// Proposes the next epoch if one should follow the current one. The leader of the
    /// proposed epoch proposes it at once and the other members after a delay, so that they
    /// rarely compete; only one proposal can succeed.
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

    /// Returns the epoch that should follow: one with the live members if those differ from
    /// the members of the current epoch, else a renewed one if the leader needs it. Returns
    /// `None` if the current epoch should continue.
    fn next_epoch(&self, members: &BTreeMap<String, Versioned<MemberRecord>>) -> Option<Epoch> {
        let current = self.cache.epoch.as_ref();
        let epoch_to_renew =
            || current.filter(|_| self.is_leader() && self.leader.needs_new_epoch());
        membership::next_epoch(current, members)
            .or_else(|| epoch_to_renew().map(membership::renewed_epoch))
    }

    /// Returns how long this node waits before it proposes an epoch: not at all if it is to
    /// be the leader, else longer the later it comes in the order of members.
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
