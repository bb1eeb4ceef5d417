//! Tracks which controllers can reach each other directly. A worker that contacts this
//! controller instead of the owner of its machine is redirected accordingly. This module does
//! no input or output.

use crate::clock::Seconds;
use std::collections::{BTreeSet, HashMap};

/// Another controller and the zone that it runs in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The controller's node name.
    pub name: String,
    /// The zone that it runs in.
    pub zone: String,
}

/// A peer's latest report of the controllers that it cannot reach.
#[derive(Debug)]
struct UnreachableReport {
    reported_at: Seconds,
    unreachable: Vec<String>,
}

/// Which controllers can reach each other directly, as observed and reported so far.
#[derive(Debug, Default)]
pub struct Reachability {
    /// This controller's zone.
    zone: String,
    /// The other controllers.
    peers: Vec<Peer>,
    /// The peers that this controller cannot reach directly.
    unreachable: BTreeSet<String>,
    /// The latest report of each peer, by its name.
    reports: HashMap<String, UnreachableReport>,
    /// For how many seconds a report is valid.
    report_valid_s: Seconds,
}

impl Reachability {
    /// Creates the state of a controller in `zone`, in which it can reach all other controllers
    /// (`peers`). Their reports are valid for `report_valid_s` seconds.
    pub fn new(zone: &str, peers: Vec<Peer>, report_valid_s: Seconds) -> Reachability {
        Reachability {
            zone: zone.into(),
            peers,
            report_valid_s,
            ..Reachability::default()
        }
    }

    /// Records whether this controller can reach a peer directly.
    pub fn record_direct_contact(&mut self, peer: &str, is_reachable: bool) {
        if is_reachable {
            self.unreachable.remove(peer);
        } else {
            self.unreachable.insert(peer.into());
        }
    }

    /// Records a peer's report of the controllers that it cannot reach.
    pub fn record_unreachable_peers(&mut self, peer: &str, unreachable: Vec<String>, now: Seconds) {
        let report = UnreachableReport {
            reported_at: now,
            unreachable,
        };
        self.reports.insert(peer.into(), report);
    }

    /// Returns the names of the peers that this controller cannot reach directly.
    pub fn unreachable_peers(&self) -> Vec<String> {
        self.unreachable.iter().cloned().collect()
    }

    /// Returns the controllers that a peer cannot reach, according to its latest report; `None`
    /// if there is no valid report.
    fn reported_by(&self, peer: &str, now: Seconds) -> Option<&[String]> {
        self.reports
            .get(peer)
            .filter(|report| now - report.reported_at < self.report_valid_s)
            .map(|report| report.unreachable.as_slice())
    }

    /// Whether a zone is partitioned from a controller in another zone, that is, whether any
    /// controller in the zone cannot reach it. Always false for a peer in the same zone.
    pub fn is_partitioned(&self, zone: &str, controller: &str, now: Seconds) -> bool {
        let is_in_zone = |peer: &Peer| peer.name == controller && peer.zone == zone;
        if self.peers.iter().any(is_in_zone) {
            return false;
        }
        let unreachable_from_here = self.zone == zone && self.unreachable.contains(controller);
        let reports_unreachable = |peer: &str| {
            self.reported_by(peer, now)
                .is_some_and(|unreachable| unreachable.iter().any(|name| name == controller))
        };
        unreachable_from_here
            || self
                .peers
                .iter()
                .any(|peer| peer.zone == zone && reports_unreachable(&peer.name))
    }

    /// Returns the controller to which to redirect a worker that cannot reach the owner of its
    /// machine: one that this controller can reach and that, by its latest report, can reach the
    /// owner. Returns `None` if this controller can reach the owner itself, or if there is no
    /// such controller: this controller then relays the worker's heartbeat.
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
