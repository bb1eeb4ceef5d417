//! What controllers tell each other: cancellations, shards' reports and the leader's
//! orders.

use super::Controller;
use crate::clock::{self, Seconds};
use crate::cluster::peer::{Envelope, PeerMessage};
use crate::shard::{Orders, ShardReport};

impl Controller {
    pub(super) fn peer(&mut self, e: Envelope, now: Seconds) {
        self.hears
            .insert(e.from.clone(), (now, e.heard_peers.clone()));
        self.reachability
            .record_unreachable_peers(&e.from, e.unreachable_peers.clone(), now);
        if e.store_reachable {
            self.healthy.insert(e.from.clone(), now);
        }
        // What is committed is so for whoever hears of it: a controller that
        // the key-value store refuses need not wait until it is answered again.
        for c in &e.cancellation_notices {
            if self.cache.apply_cancellation(&c.job, c.revision, c.at_ms) {
                self.job_changed(&c.job);
            }
        }
        if e.to != self.settings.node_name {
            // Passed on for one that can't reach the other directly.
            if e.from != self.settings.node_name {
                self.peers.send(e);
            }
            return;
        }
        match e.message {
            PeerMessage::ShardReport(r) => self.apply_shard_report(r, now),
            PeerMessage::Orders(o) => self.take_orders(&o, now),
            PeerMessage::KeepAlive => {}
        }
    }

    /// The leader takes in a shard's report, and answers it with orders.
    fn apply_shard_report(&mut self, mut report: ShardReport, now: Seconds) {
        let transfers = std::mem::take(&mut report.transfers);
        let from = report.node.clone();
        if self.leading() && self.leader.apply_shard_report(report, &self.cache, now) {
            self.apply_transfer_report(&from, transfers, now);
            self.send_orders(&from);
        }
    }

    pub(super) fn take_orders(&mut self, o: &Orders, now: Seconds) {
        if o.epoch == self.shard.epoch() {
            self.shard.apply_orders(o, &self.cache, now);
            if let Some(running) = &o.running {
                self.running = running.iter().cloned().collect();
            }
        }
    }

    pub(super) fn send_orders(&mut self, to: &str) {
        if let Some(mut orders) = self.leader.orders(to) {
            orders.transfers = self.transfer_orders(to);
            if to == self.settings.node_name {
                self.take_orders(&orders, clock::now());
            } else {
                self.send_peer(to, PeerMessage::Orders(orders));
            }
        }
    }

    pub(super) fn send_peer(&self, to: &str, message: PeerMessage) {
        self.peers.send(Envelope {
            from: self.settings.node_name.clone(),
            to: to.into(),
            store_reachable: !self.store_unreachable && self.last_synced_at.is_some(),
            heard_peers: self.healthy.keys().cloned().collect(),
            unreachable_peers: self.reachability.unreachable_peers(),
            cancellation_notices: self
                .cancellation_notices
                .iter()
                .map(|c| c.0.clone())
                .collect(),
            message,
        });
    }

    pub(super) fn tell_leader(&mut self, now: Seconds) {
        let report_s = self.settings.params.workers.report_s;
        let gap = if self.shard.report_due {
            report_s / 20.0
        } else {
            report_s / 3.0
        };
        if now - self.told_leader < gap {
            return;
        }
        let Some(leader) = self.my_epoch().map(|e| e.leader.clone()) else {
            return;
        };
        self.told_leader = now;
        let mut snapshot = self.shard.snapshot(&self.cache, now);
        snapshot.seen_elsewhere = self
            .redirected
            .iter()
            .filter_map(|(id, p)| Some((id.clone(), now - p.met?)))
            .collect();
        if leader == self.settings.node_name {
            self.apply_shard_report(snapshot, now);
        } else {
            self.send_peer(&leader, PeerMessage::ShardReport(snapshot));
        }
    }
}
