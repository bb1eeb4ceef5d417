//! Who reaches whom: which of the controllers can't reach each other, and so
//! where a worker goes that is not here with its owner. Pure.

use crate::clock::Seconds;
use std::collections::{BTreeSet, HashMap};

/// What is known of the ways between controllers.
#[derive(Debug, Default)]
pub struct Reachability {
    /// This controller's zone, and the others with theirs.
    zone: String,
    others: Vec<(String, String)>,
    /// Whom this one can't reach directly.
    apart: BTreeSet<String>,
    /// Whom each of the others can't, and when it said so.
    told: HashMap<String, (Seconds, Vec<String>)>,
    /// How long that counts.
    recent: Seconds,
}

impl Reachability {
    /// Nobody is known to be apart.
    pub fn new(zone: &str, others: Vec<(String, String)>, recent: Seconds) -> Reachability {
        Reachability {
            zone: zone.into(),
            others,
            recent,
            ..Reachability::default()
        }
    }

    /// This controller can't reach another one directly, or can again.
    pub fn record_direct_contact(&mut self, name: &str, reached: bool) {
        if reached {
            self.apart.remove(name);
        } else {
            self.apart.insert(name.into());
        }
    }

    /// Another controller says whom it can't reach.
    pub fn record_unreachable_peers(&mut self, name: &str, apart: Vec<String>, now: Seconds) {
        self.told.insert(name.into(), (now, apart));
    }

    /// Whom this controller can't reach.
    pub fn unreachable_peers(&self) -> Vec<String> {
        self.apart.iter().cloned().collect()
    }

    fn says(&self, name: &str, now: Seconds) -> Option<&Vec<String>> {
        self.told
            .get(name)
            .filter(|(t, _)| now - t < self.recent)
            .map(|(_, apart)| apart)
    }

    /// Whether a zone is apart from a controller in another one: some
    /// controller there can't reach it.
    pub fn is_partitioned(&self, zone: &str, owner: &str, now: Seconds) -> bool {
        if self.others.iter().any(|(n, z)| n == owner && z == zone) {
            return false;
        }
        let here = self.zone == zone && self.apart.contains(owner);
        let there = |name: &String| {
            self.says(name, now)
                .is_some_and(|a| a.iter().any(|n| n == owner))
        };
        here || self.others.iter().any(|(n, z)| z == zone && there(n))
    }

    /// Where a worker goes on to that can't reach its owner, when this
    /// controller can't either: one that reaches the owner and is reached from
    /// here. None if its report is better passed on.
    pub fn alternate_controller(&self, owner: &str, now: Seconds) -> Option<&str> {
        if !self.apart.contains(owner) {
            return None;
        }
        let reaches = |n: &str| {
            self.says(n, now)
                .is_some_and(|a| a.iter().all(|x| x != owner))
        };
        let names = self.others.iter().map(|(n, _)| n.as_str());
        names
            .filter(|n| *n != owner && !self.apart.contains(*n))
            .find(|n| reaches(n))
    }
}
