//! Which controllers can reach each other directly, and to which controller a worker is
//! therefore sent that is not here with its owner. Pure.

use crate::clock::Seconds;
use std::collections::{BTreeSet, HashMap};

/// Another controller and where it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The controller's node name.
    pub name: String,
    /// Its zone.
    pub zone: String,
}

/// Which peers a controller said it cannot reach.
#[derive(Debug)]
struct UnreachableReport {
    reported_at: Seconds,
    unreachable: Vec<String>,
}

/// What is known of the connections between controllers.
#[derive(Debug, Default)]
pub struct Reachability {
    /// This controller's zone.
    zone: String,
    /// The other controllers.
    peers: Vec<Peer>,
    /// The peers that this controller cannot reach directly.
    unreachable: BTreeSet<String>,
    /// The newest report of each peer.
    reports: HashMap<String, UnreachableReport>,
    /// For how many seconds a report counts.
    report_valid_s: Seconds,
}

impl Reachability {
    /// Every peer counts as reachable at first. `peers` are the other controllers; what
    /// they report counts for `report_valid_s` seconds.
    pub fn new(zone: &str, peers: Vec<Peer>, report_valid_s: Seconds) -> Reachability {
        Reachability {
            zone: zone.into(),
            peers,
            report_valid_s,
            ..Reachability::default()
        }
    }

    /// Records whether this controller reaches a peer directly.
    pub fn record_direct_contact(&mut self, peer: &str, is_reached: bool) {
        if is_reached {
            self.unreachable.remove(peer);
        } else {
            self.unreachable.insert(peer.into());
        }
    }

    /// Records which controllers a peer says it cannot reach.
    pub fn record_unreachable_peers(&mut self, peer: &str, unreachable: Vec<String>, now: Seconds) {
        let report = UnreachableReport {
            reported_at: now,
            unreachable,
        };
        self.reports.insert(peer.into(), report);
    }

    /// The peers that this controller cannot reach directly.
    pub fn unreachable_peers(&self) -> Vec<String> {
        self.unreachable.iter().cloned().collect()
    }

    /// The controllers that a peer cannot reach, if it has said so lately.
    fn reported_by(&self, peer: &str, now: Seconds) -> Option<&[String]> {
        self.reports
            .get(peer)
            .filter(|report| now - report.reported_at < self.report_valid_s)
            .map(|report| report.unreachable.as_slice())
    }

    /// Whether a zone is partitioned from a controller in another zone: some controller
    /// in the zone cannot reach it.
    pub fn is_partitioned(&self, zone: &str, controller: &str, now: Seconds) -> bool {
        let is_in_zone = |peer: &Peer| peer.name == controller && peer.zone == zone;
        if self.peers.iter().any(is_in_zone) {
            return false;
        }
        let seen_here = self.zone == zone && self.unreachable.contains(controller);
        let reports_it = |peer: &str| {
            self.reported_by(peer, now)
                .is_some_and(|unreachable| unreachable.iter().any(|name| name == controller))
        };
        seen_here
            || self
                .peers
                .iter()
                .any(|peer| peer.zone == zone && reports_it(&peer.name))
    }

    /// The controller to which a worker goes that cannot reach its owner, when this
    /// controller cannot reach the owner either: one that reaches the owner and is
    /// reached from here. `None` if its report is better relayed from here.
    pub fn alternate_controller(&self, owner: &str, now: Seconds) -> Option<&str> {
        if !self.unreachable.contains(owner) {
            return None;
        }
        let reaches_owner = |peer: &str| {
            self.reported_by(peer, now)
                .is_some_and(|unreachable| unreachable.iter().all(|name| name != owner))
        };
        self.peers
            .iter()
            .map(|peer| peer.name.as_str())
            .filter(|name| *name != owner && !self.unreachable.contains(*name))
            .find(|name| reaches_owner(name))
    }
}
