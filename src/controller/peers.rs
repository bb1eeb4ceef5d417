//! What controllers tell each other: cancellations, parts' reports and the leader's
//! orders.

use super::Controller;
use crate::clock::{self, Secs};
use crate::fleet::{Orders, PartReport};
use crate::peer::{Envelope, Message};

impl Controller {
    pub(super) fn peer(&mut self, e: Envelope, now: Secs) {
        self.hears.insert(e.from.clone(), (now, e.hears.clone()));
        self.reachability.told(&e.from, e.apart.clone(), now);
        if e.fresh {
            self.healthy.insert(e.from.clone(), now);
        }
        // What is committed is so for whoever hears of it: a controller that
        // the state service refuses need not wait until it is answered again.
        for c in &e.cancellation_notices {
            if self.mirror.apply_cancellation(&c.job, c.version, c.at_ms) {
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
            Message::Part(r) => self.take_part_report(r, now),
            Message::Orders(o) => self.take_orders(&o, now),
            Message::Hello => {}
        }
    }

    /// The leader takes in a part's report, and answers it with orders.
    fn take_part_report(&mut self, mut report: PartReport, now: Secs) {
        let handovers = std::mem::take(&mut report.handovers);
        let from = report.node.clone();
        if self.leading() && self.leader.part_report(report, &self.mirror, now) {
            self.take_handover_report(&from, handovers, now);
            self.send_orders(&from);
        }
    }

    pub(super) fn take_orders(&mut self, o: &Orders, now: Secs) {
        if o.epoch == self.part.epoch() {
            self.part.orders(o, &self.mirror, now);
            if let Some(running) = &o.running {
                self.running = running.iter().cloned().collect();
            }
        }
    }

    pub(super) fn send_orders(&mut self, to: &str) {
        if let Some(mut orders) = self.leader.orders(to) {
            orders.handovers = self.handover_orders(to);
            if to == self.settings.node_name {
                self.take_orders(&orders, clock::now());
            } else {
                self.send_peer(to, Message::Orders(orders));
            }
        }
    }

    pub(super) fn send_peer(&self, to: &str, message: Message) {
        self.peers.send(Envelope {
            from: self.settings.node_name.clone(),
            to: to.into(),
            fresh: !self.state_down && self.fresh_at.is_some(),
            hears: self.healthy.keys().cloned().collect(),
            apart: self.reachability.apart(),
            cancellation_notices: self
                .cancellation_notices
                .iter()
                .map(|c| c.0.clone())
                .collect(),
            message,
        });
    }

    pub(super) fn tell_leader(&mut self, now: Secs) {
        let report_s = self.settings.params.workers.report_s;
        let gap = if self.part.dirty {
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
        let mut snapshot = self.part.snapshot(&self.mirror, now);
        snapshot.met = self
            .redirected
            .iter()
            .filter_map(|(id, p)| Some((id.clone(), now - p.met?)))
            .collect();
        if leader == self.settings.node_name {
            self.take_part_report(snapshot, now);
        } else {
            self.send_peer(&leader, Message::Part(snapshot));
        }
    }
}
