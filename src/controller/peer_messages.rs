//! Handling of messages between controllers: cancellations, shards' reports and the
//! leader's orders.

use super::{Controller, CHANGED_SHARD_INTERVAL_REPORTS, UNCHANGED_SHARD_INTERVAL_REPORTS};
use crate::clock::{self, Seconds};
use crate::cluster::peer::{Envelope, PeerMessage};
use crate::shard::{Orders, ShardReport};

impl Controller {
    /// Applies what an envelope reports about its sender and about cancellations. Then handles
    /// its message, or forwards the envelope if it is addressed to another controller.
    pub(super) fn handle_envelope(&mut self, envelope: Envelope, now: Seconds) {
        self.peers.record_envelope(&envelope, now);
        // A committed cancellation is valid whichever controller reports it. A controller
        // that cannot reach the key-value store therefore need not wait until it can.
        for notice in &envelope.cancellation_notices {
            if self
                .cache
                .apply_cancellation(&notice.job, notice.revision, notice.at_ms)
            {
                self.apply_job_change(&notice.job);
            }
        }
        if envelope.to != self.settings.node_name {
            // The sender of the envelope cannot reach the addressee directly.
            if envelope.from != self.settings.node_name {
                self.peers.forward(envelope);
            }
            return;
        }
        match envelope.message {
            PeerMessage::ShardReport(report) => self.apply_shard_report(report, now),
            PeerMessage::Orders(orders) => self.apply_orders(&orders, now),
            PeerMessage::KeepAlive => {}
        }
    }

    /// If this node is the leader, applies a shard's report and sends orders to the shard.
    fn apply_shard_report(&mut self, mut report: ShardReport, now: Seconds) {
        let transfers = std::mem::take(&mut report.transfers);
        let from = report.node.clone();
        if self.is_leader() && self.leader.apply_shard_report(report, &self.cache, now) {
            self.apply_transfer_report(&from, transfers, now);
            self.send_orders(&from);
        }
    }

    fn apply_orders(&mut self, orders: &Orders, now: Seconds) {
        if orders.epoch != self.shard.epoch() {
            return;
        }
        self.shard.apply_orders(orders, &self.cache, now);
        if let Some(running) = &orders.running {
            self.job_requests.set_running_tasks(running);
        }
    }

    /// Sends the leader's orders to the shard of a controller, if there are any for it.
    pub(super) fn send_orders(&mut self, to: &str) {
        let Some(mut orders) = self.leader.orders(to) else {
            return;
        };
        orders.transfers = self.transfer_orders(to);
        if to == self.settings.node_name {
            self.apply_orders(&orders, clock::now());
        } else {
            self.send_to_peer(to, PeerMessage::Orders(orders));
        }
    }

    fn send_to_peer(&self, to: &str, message: PeerMessage) {
        self.peers.send(to, message, self.store_sync.is_synced());
    }

    /// Sends the report of this node's shard to the leader, if one is due. Reports are due at
    /// shorter intervals if the shard has changed.
    pub(super) fn report_to_leader(&mut self, now: Seconds) {
        let interval_reports = if self.shard.report_due {
            CHANGED_SHARD_INTERVAL_REPORTS
        } else {
            UNCHANGED_SHARD_INTERVAL_REPORTS
        };
        let interval = self.report_interval() * interval_reports;
        if !self.leader_report_timer.is_due(interval, now) {
            return;
        }
        let Some(leader) = self.entered_epoch().map(|epoch| epoch.leader.clone()) else {
            return;
        };
        self.leader_report_timer.restart(now);
        let mut report = self.shard.next_report(&self.cache, now);
        report.foreign_workers = self.redirects.verified_workers(now);
        if leader == self.settings.node_name {
            self.apply_shard_report(report, now);
        } else {
            self.send_to_peer(&leader, PeerMessage::ShardReport(report));
        }
    }
}
