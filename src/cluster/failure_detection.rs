//! Which silent machines are dead and which are only unreachable. Pure.
//!
//! What decides is whether the owner itself has had contact with other machines of the
//! zone for as long as this one should have taken to come back. Then the machine alone is
//! at fault, however many others fail like it: a hundred that hang in one zone are no
//! network partition. No machine of a partitioned zone is reached, and when the first is
//! again, the others still need their time: a worker that waits for an answer comes back
//! only after that.

use crate::clock::Seconds;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// After how many report intervals without contact a machine counts as silent, and as
/// dead if it has not answered either while others of its zone were reached.
const SILENT_REPORTS: f64 = 2.0;

/// After how many report intervals a silent machine counts as dead that was not found to
/// leave requests unanswered.
const UNVERIFIED_REPORTS: f64 = 4.5;

/// For how many report intervals a machine must have failed to answer: it is asked again
/// meanwhile.
const UNANSWERED_REPORTS: f64 = 0.25;

/// For how many leases a machine is kept that other controllers see, or whose zone is
/// unreachable.
const UNREACHABLE_LEASES: f64 = 3.0;

/// A zone counts as partitioned from this many silent machines on, if they are at least
/// half of its machines.
const PARTITION_MIN_SILENT: u32 = 2;

/// The present span of direct contact with a zone, without a gap. Times are on the steady
/// clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ZoneContactSpan {
    /// When the span began.
    pub began_at: Seconds,
    /// When the zone was last reached.
    pub last_at: Seconds,
}

impl ZoneContactSpan {
    /// The span after contact with a machine of the zone now. A gap longer than a report
    /// may take begins a new span; `report_s` is the report interval in seconds.
    pub fn extend(
        known: Option<ZoneContactSpan>,
        now: Seconds,
        report_s: Seconds,
    ) -> ZoneContactSpan {
        match known {
            Some(s) if now - s.last_at <= report_s * SILENT_REPORTS => ZoneContactSpan {
                began_at: s.began_at,
                last_at: now,
            },
            _ => ZoneContactSpan {
                began_at: now,
                last_at: now,
            },
        }
    }
}

/// A [`ZoneContactSpan`] as a shard reports it, in ages instead of times.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ZoneContactAges {
    /// How many seconds ago the span began.
    #[serde(rename = "since_s")]
    pub began_ago_s: f64,
    /// How many seconds ago the zone was last reached.
    #[serde(rename = "last_s")]
    pub last_ago_s: f64,
}

/// One machine that was in use, as the leader knows it.
#[derive(Debug, Clone)]
pub struct MachineHealth {
    /// Its zone.
    pub zone: Arc<str>,
    /// Whether it is known which tasks it runs.
    pub tasks_known: bool,
    /// For how many seconds it has not been heard from.
    pub silent_s: f64,
    /// For how many seconds it has left requests unanswered, while others of its zone
    /// were reached.
    pub unanswered_s: Option<f64>,
    /// Its owner's direct contact with its zone.
    pub zone_contact: Option<ZoneContactAges>,
    /// Whether its worker has lately come to another controller than its owner.
    pub seen_by_other_controller: bool,
    /// Whether its reports arrive but commands do not reach it (unidirectional
    /// reachability).
    pub ignores_commands: bool,
    /// Whether commands do not reach a quarter of its owner's machines.
    pub owner_responds_late: bool,
}

impl MachineHealth {
    /// Whether only its silence speaks against it: it has left no request unanswered.
    pub fn is_only_silent(&self) -> bool {
        self.unanswered_s.is_none() && !self.ignores_commands
    }
}

/// What to do with a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthVerdict {
    /// Nothing is wrong with it, or not for long enough.
    Keep,
    /// Silent and perhaps only unreachable, or its tasks are not known yet: kept, but
    /// neither idle nor of use.
    Wait,
    /// To be deleted, which proves that nothing is left of it.
    Replace,
}

/// The machines of a zone that are in use.
#[derive(Debug, Default)]
struct ZoneCounts {
    machines: u32,
    /// Those that are silent or ignore commands.
    unresponsive: u32,
}

impl ZoneCounts {
    fn is_partitioned(&self) -> bool {
        self.unresponsive >= PARTITION_MIN_SILENT && self.unresponsive * 2 >= self.machines
    }
}

/// Judges machines by their own signs of life and by those of the rest of their zones.
#[derive(Debug)]
pub struct FailureDetector {
    report_s: Seconds,
    lease_s: Seconds,
    partitioned_zones: HashSet<Arc<str>>,
    /// The zones that some owner reaches, and for how many seconds any has: the machines
    /// of one owner may be reached a moment before those of the next.
    contact_s: HashMap<Arc<str>, f64>,
}

impl FailureDetector {
    /// Takes all machines in use: a zone counts as partitioned while at least half of
    /// several are silent or ignore commands. The report interval and the lease are in
    /// seconds.
    pub fn new<'a>(
        report_s: Seconds,
        lease_s: Seconds,
        machines: impl Iterator<Item = &'a MachineHealth>,
    ) -> FailureDetector {
        let mut zones: HashMap<Arc<str>, ZoneCounts> = HashMap::new();
        let mut contact_s: HashMap<Arc<str>, f64> = HashMap::new();
        for health in machines {
            if let Some(contact) = recent_contact(health, report_s) {
                let longest = contact_s.entry(health.zone.clone()).or_default();
                *longest = longest.max(contact.began_ago_s);
            }
            let is_unresponsive =
                health.silent_s > report_s * SILENT_REPORTS || health.ignores_commands;
            let counts = zones.entry(health.zone.clone()).or_default();
            counts.machines += 1;
            counts.unresponsive += u32::from(is_unresponsive);
        }
        let partitioned = zones
            .into_iter()
            .filter(|(_, counts)| counts.is_partitioned());
        FailureDetector {
            report_s,
            lease_s,
            partitioned_zones: partitioned.map(|(zone, _)| zone).collect(),
            contact_s,
        }
    }

    /// Whether most of a zone shows no sign of life.
    fn is_partitioned(&self, zone: &str) -> bool {
        self.partitioned_zones.contains(zone)
    }

    /// Whether no controller reaches a zone: new machines there would be of no use.
    pub fn zone_unreachable(&self, zone: &str) -> bool {
        self.is_partitioned(zone) && !self.contact_s.contains_key(zone)
    }

    /// What to do with a machine that was in use.
    pub fn verdict(&self, health: &MachineHealth) -> HealthVerdict {
        // Reports that arrive while commands do not: this never condemns a whole zone,
        // or a shard whose owner is too slow to be heard.
        if health.ignores_commands
            && !self.is_partitioned(&health.zone)
            && !health.owner_responds_late
        {
            return HealthVerdict::Replace;
        }
        // While no machine of the zone was reached, its silence says nothing.
        let contact_s = recent_contact(health, self.report_s)
            .map(|contact| contact.began_ago_s)
            .or_else(|| self.contact_s.get(&health.zone).copied());
        let silent_s =
            contact_s.map_or(health.silent_s, |contact_s| health.silent_s.min(contact_s));
        if silent_s > self.silence_limit_s(health) {
            HealthVerdict::Replace
        } else if health.silent_s > self.report_s * SILENT_REPORTS || !health.tasks_known {
            // One that has only just reported again looks idle in that moment, and would
            // be returned with all others of its zone.
            HealthVerdict::Wait
        } else {
            HealthVerdict::Keep
        }
    }

    /// For how many seconds a machine may be silent before it counts as dead.
    fn silence_limit_s(&self, health: &MachineHealth) -> Seconds {
        let leaves_unanswered = health
            .unanswered_s
            .is_some_and(|unanswered_s| unanswered_s > self.report_s * UNANSWERED_REPORTS);
        if health.seen_by_other_controller {
            self.lease_s * UNREACHABLE_LEASES
        } else if leaves_unanswered {
            self.report_s * SILENT_REPORTS
        } else if self.zone_unreachable(&health.zone) {
            self.lease_s * UNREACHABLE_LEASES
        } else {
            self.report_s * UNVERIFIED_REPORTS
        }
    }
}

/// The owner's contact with a machine's zone, if it is no older than a report may be.
fn recent_contact(health: &MachineHealth, report_s: Seconds) -> Option<ZoneContactAges> {
    health
        .zone_contact
        .filter(|contact| contact.last_ago_s <= report_s * SILENT_REPORTS)
}
