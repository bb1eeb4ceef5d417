//! Membership: whether this node may act, whether users should come here, and who
//! belongs to the next epoch.

use super::Controller;
use super::WritePurpose;
use crate::clock::Seconds;
use crate::cluster::membership;
use crate::store::keys::EPOCH_KEY;
use crate::store::records::{Epoch, MemberRecord, Versioned};
use crate::store::{self, Condition, ConditionalWrite, WriteClass, WriteOp};
use std::collections::BTreeMap;

impl Controller {
    /// The epoch, if this incarnation is a member of it and has entered it.
    pub(super) fn my_epoch(&self) -> Option<&Epoch> {
        self.cache.epoch.as_ref().filter(|e| {
            self.incarnation != 0
                && e.members.get(&self.settings.node_name) == Some(&self.incarnation)
                && self.shard.epoch() == e.number
        })
    }

    /// Until when this node may act: its lease, and the age of what it knows
    /// of the epoch.
    pub(super) fn entitled_until(&self) -> Seconds {
        match (self.my_epoch(), self.last_synced_at) {
            (Some(_), Some(fresh)) => self
                .lease_until
                .min(fresh + self.settings.max_knowledge_age_s()),
            _ => 0.0,
        }
    }

    pub(super) fn leading(&self) -> bool {
        self.my_epoch()
            .is_some_and(|e| e.leader == self.settings.node_name)
    }

    /// Whether users should come here: the key-value store is reached, or
    /// nobody else is known to reach it either. One that hears no other
    /// controller can't know that, and is itself what is cut off.
    pub(super) fn healthy_now(&self, now: Seconds) -> bool {
        let life = self.settings.member_lease_s();
        let reached = self.last_synced_at.is_some_and(|f| now - f < life / 4.0);
        let others = self.healthy.values().any(|&t| now - t < life / 4.0);
        let alone = !self.hears.values().any(|(t, _)| now - t < life / 2.0);
        let cut_off = alone && !self.settings.members.is_empty();
        reached || (self.last_synced_at.is_some() && !others && !cut_off)
    }

    /// The members with a lease, without those that nobody reaches: a
    /// controller whose network is gone but for the key-value store would keep
    /// its machines, and perhaps the lead, from everybody. It is left out when
    /// this node and another that hears this one agree. `None` if this node
    /// hears nobody itself: then it has no say.
    pub(super) fn reachable_members(
        &self,
        now: Seconds,
    ) -> Option<BTreeMap<String, Versioned<MemberRecord>>> {
        let patience = self.settings.params.workers.report_s * 2.0;
        let me = &self.settings.node_name;
        let hears = |n: &String| self.healthy.get(n).is_some_and(|&t| now - t < patience);
        let others: Vec<&String> = self.cache.members.keys().filter(|n| *n != me).collect();
        if others.is_empty() || now - self.began < patience {
            return Some(self.cache.members.clone());
        }
        if !others.iter().any(|n| hears(n)) {
            return None;
        }
        let mut live = self.cache.members.clone();
        live.retain(|n, _| {
            n == me || hears(n) || {
                let agreed = others.iter().any(|o| {
                    *o != n
                        && hears(o)
                        && self
                            .hears
                            .get(*o)
                            .is_some_and(|(_, h)| h.contains(me) && !h.contains(n))
                });
                !agreed
            }
        });
        Some(live)
    }

    /// Proposes the next epoch when the live members aren't the epoch's. The
    /// leader does it at once, the others after a moment, so that they rarely
    /// race; only one proposal can win.
    pub(super) fn propose_epoch(&mut self, now: Seconds) {
        if self.epoch_pending
            || self.store_unreachable
            || self.incarnation == 0
            || now >= self.lease_until
        {
            return;
        }
        let me = &self.settings.node_name;
        if self.cache.members.get(me).map(|m| m.value.incarnation) != Some(self.incarnation) {
            return;
        }
        let Some(live) = self.reachable_members(now) else {
            return;
        };
        let present = self.cache.epoch.as_ref();
        let renewed = || present.filter(|_| self.leading() && self.leader.needs_new_epoch());
        let next = membership::next_epoch(present, &live)
            .or_else(|| renewed().map(membership::renewed_epoch));
        let Some(next) = next else {
            self.epoch_wanted = None;
            return;
        };
        let since = *self.epoch_wanted.get_or_insert(now);
        let rank = next.members.keys().position(|n| n == me).unwrap_or(0) as f64;
        let mine = next.leader == *me;
        let patience = if mine {
            0.0
        } else {
            store::poll_interval(&self.settings) * 4.0 * (rank + 1.0)
        };
        if now - since < patience {
            return;
        }
        self.epoch_pending = true;
        let write = ConditionalWrite {
            conditions: vec![Condition::new(EPOCH_KEY, self.cache.epoch_revision)],
            ops: vec![WriteOp::Put {
                key: EPOCH_KEY.into(),
                value: serde_json::to_value(&next).unwrap_or_default(),
                lease: None,
            }],
            deadline: now + self.settings.member_lease_s() / 4.0,
            purpose: WritePurpose::Epoch,
        };
        if self.writer.send(WriteClass::Urgent, write).is_err() {
            self.epoch_pending = false;
        }
    }
}
