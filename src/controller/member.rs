//! Membership: whether this node may act, whether users should come here, and who
//! belongs to the next epoch.

use super::writes::put_record;
use super::{Controller, WritePurpose, PEER_TIMEOUT_REPORTS};
use crate::clock::Seconds;
use crate::cluster::membership;
use crate::store::keys::EPOCH_KEY;
use crate::store::records::{Epoch, MemberRecord, Versioned};
use crate::store::{self, Condition, ConditionalWrite, WriteClass};
use std::collections::BTreeMap;

/// How old a sign that the key-value store is reached may be, as a share of a member's
/// lease.
const STORE_REACHED_LEASE_SHARE: f64 = 1.0 / 4.0;

/// How old the last message of a peer may be, as a share of a member's lease.
const PEER_HEARD_LEASE_SHARE: f64 = 1.0 / 2.0;

/// How long a proposal of an epoch may take, as a share of a member's lease.
const PROPOSAL_LEASE_SHARE: f64 = 1.0 / 4.0;

/// By how many polls of the store each further member delays its proposal.
const PROPOSAL_DELAY_POLLS: f64 = 4.0;

impl Controller {
    /// The epoch, if this incarnation is a member of it and has entered it.
    pub(super) fn entered_epoch(&self) -> Option<&Epoch> {
        self.cache.epoch.as_ref().filter(|epoch| {
            self.membership.incarnation_in(epoch).is_some() && self.shard.epoch() == epoch.number
        })
    }

    /// Whether this incarnation is a member of an epoch that it has not entered.
    pub(super) fn has_epoch_to_enter(&self) -> bool {
        self.cache.epoch.as_ref().is_some_and(|epoch| {
            self.membership.incarnation_in(epoch).is_some() && self.shard.epoch() != epoch.number
        })
    }

    /// Until when this node may act: its lease, and the age of what it knows of the
    /// epoch. `None` if it may not.
    pub(super) fn may_act_until(&self) -> Option<Seconds> {
        self.entered_epoch()?;
        let lease_valid_until = self.membership.lease_valid_until()?;
        let synced_at = self.store_sync.last_synced_at()?;
        Some(lease_valid_until.min(synced_at + self.settings.max_staleness_s()))
    }

    /// Whether this node leads the epoch that it has entered.
    pub(super) fn is_leader(&self) -> bool {
        self.entered_epoch()
            .is_some_and(|epoch| epoch.leader == self.settings.node_name)
    }

    /// Whether users should come here: the key-value store is reached, or nobody else
    /// is known to reach it either. A node that hears no other controller can't know
    /// that, and is itself partitioned.
    pub(super) fn accepts_users(&self, now: Seconds) -> bool {
        let lease = self.settings.member_lease_s();
        let max_age = lease * STORE_REACHED_LEASE_SHARE;
        if self.store_sync.synced_within(max_age, now) {
            return true;
        }
        let hears_nobody = !self.peers.any_heard(lease * PEER_HEARD_LEASE_SHARE, now);
        let partitioned = hears_nobody && !self.settings.members.is_empty();
        self.store_sync.last_synced_at().is_some()
            && !self.peers.any_reaches_store(max_age, now)
            && !partitioned
    }

    /// The members with a lease, without those that nobody reaches: a controller whose
    /// network is gone but for the key-value store would keep its machines, and perhaps
    /// the lead, from everybody. It is left out when this node and another that hears
    /// this one agree. `None` if this node hears nobody itself: then it has no say.
    fn reachable_members(&self, now: Seconds) -> Option<BTreeMap<String, Versioned<MemberRecord>>> {
        let timeout = self.report_interval() * PEER_TIMEOUT_REPORTS;
        let this_node = &self.settings.node_name;
        let hears = |name: &String| self.peers.reaches_store(name, timeout, now);
        let peers: Vec<&String> = self
            .cache
            .members
            .keys()
            .filter(|name| *name != this_node)
            .collect();
        if peers.is_empty() || self.membership.uptime(now) < timeout {
            return Some(self.cache.members.clone());
        }
        if !peers.iter().any(|name| hears(name)) {
            return None;
        }
        let is_missed_by_peer = |name: &String| {
            peers
                .iter()
                .any(|peer| *peer != name && hears(peer) && self.peers.misses(peer, name))
        };
        let mut reachable = self.cache.members.clone();
        reachable.retain(|name, _| name == this_node || hears(name) || !is_missed_by_peer(name));
        Some(reachable)
    }

    /// Proposes the next epoch when the live members aren't the epoch's. The leader does
    /// it at once, the others after a moment, so that they rarely race; only one
    /// proposal can win.
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

    /// The epoch that should follow, if the present one should not go on.
    fn next_epoch(&self, members: &BTreeMap<String, Versioned<MemberRecord>>) -> Option<Epoch> {
        let present = self.cache.epoch.as_ref();
        let to_renew = || present.filter(|_| self.is_leader() && self.leader.needs_new_epoch());
        membership::next_epoch(present, members)
            .or_else(|| to_renew().map(membership::renewed_epoch))
    }

    /// How long this node waits before it proposes an epoch: none for its leader, and
    /// longer for each further member.
    fn proposal_delay(&self, next: &Epoch) -> Seconds {
        let this_node = &self.settings.node_name;
        if next.leader == *this_node {
            return 0.0;
        }
        let rank = next.members.keys().position(|name| name == this_node);
        let turns = rank.unwrap_or(0) as f64 + 1.0;
        store::poll_interval(&self.settings) * PROPOSAL_DELAY_POLLS * turns
    }

    fn write_epoch(&mut self, next: &Epoch, now: Seconds) {
        let write = ConditionalWrite {
            conditions: vec![Condition::new(EPOCH_KEY, self.cache.epoch_revision)],
            ops: vec![put_record(EPOCH_KEY, next)],
            deadline: now + self.settings.member_lease_s() * PROPOSAL_LEASE_SHARE,
            purpose: WritePurpose::Epoch,
        };
        if self.writer.send(WriteClass::Urgent, write).is_ok() {
            self.membership.begin_proposal();
        }
    }
}
