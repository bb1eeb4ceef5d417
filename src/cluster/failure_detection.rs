//! Decides which silent machines are dead and which are only unreachable. This module
//! does no input or output.
//!
//! The decision depends on whether the owner has had direct contact with other machines of
//! the zone for longer than the silent machine would need to report again. If so, the
//! network to the zone works and the fault lies with the machine, however many others fail
//! in the same way: a hundred machines that hang in one zone are no network partition. In a
//! partitioned zone, by contrast, no machine is reachable. Once the first one is reachable
//! again, the others still need time, as a worker that waits for a response sends its next
//! report only after that wait.

use crate::clock::Seconds;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// The number of report intervals without a heartbeat after which a machine counts as
/// silent, and as dead if it has also left direct commands unanswered while other machines
/// of its zone were reachable. Contact with a zone that is older than this is no longer recent.
const SILENCE_REPORTS: f64 = 2.0;

/// The number of report intervals without a heartbeat after which a machine counts as dead
/// if it has not been found to leave direct commands unanswered.
const UNVERIFIED_SILENCE_REPORTS: f64 = 4.5;

/// The number of report intervals for which a machine must have left direct commands
/// unanswered before that counts against it. Its owner probes it again during that time.
const MIN_UNANSWERED_REPORTS: f64 = 0.25;

/// The number of lease durations for which a silent machine is kept if its worker contacts
/// other controllers, or if its zone is unreachable.
const UNREACHABLE_SILENCE_LEASES: f64 = 3.0;

/// The smallest number of unresponsive machines for which a zone counts as partitioned.
/// They must also be at least half of the zone's machines.
const PARTITION_MIN_UNRESPONSIVE: u32 = 2;

/// The latest uninterrupted span of direct contact between an owner and a zone. Times are
/// on the monotonic clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ZoneContactSpan {
    /// When the span began.
    pub began_at: Seconds,
    /// When the owner last had contact with a machine of the zone.
    pub last_at: Seconds,
}

impl ZoneContactSpan {
    /// Returns the span after contact with a machine of the zone at `now`. A gap so long
    /// that a machine would count as silent begins a new span. `report_s` is the report
    /// interval in seconds.
    pub fn extend(
        previous: Option<ZoneContactSpan>,
        now: Seconds,
        report_s: Seconds,
    ) -> ZoneContactSpan {
        match previous {
            Some(span) if now - span.last_at <= report_s * SILENCE_REPORTS => ZoneContactSpan {
                began_at: span.began_at,
                last_at: now,
            },
            _ => ZoneContactSpan {
                began_at: now,
                last_at: now,
            },
        }
    }
}

/// A [`ZoneContactSpan`] in the form that a shard reports: ages instead of times, since
/// monotonic clocks of different controllers can't be compared.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ZoneContactAges {
    /// How many seconds ago the span began.
    #[serde(rename = "since_s")]
    pub began_ago_s: f64,
    /// How many seconds ago the owner last had contact with a machine of the zone.
    #[serde(rename = "last_s")]
    pub last_ago_s: f64,
}

/// The health of one machine in use, as reported to the leader.
#[derive(Debug, Clone)]
pub struct MachineHealth {
    /// The zone that the machine runs in.
    pub zone: Arc<str>,
    /// Whether the machine is reconciled, that is, the tasks on it are known.
    pub reconciled: bool,
    /// How many seconds ago its owner received its last heartbeat; zero unless its owner
    /// reports it as silent.
    pub silent_s: f64,
    /// For how many seconds it has left direct commands unanswered while other machines of
    /// its zone were reachable; `None` if it has left none unanswered.
    pub unanswered_s: Option<f64>,
    /// Its owner's direct contact with its zone; `None` if there has been none.
    pub zone_contact: Option<ZoneContactAges>,
    /// Whether its worker has recently contacted a controller other than its owner.
    pub seen_by_other_controller: bool,
    /// Whether the machine is reachable in one direction only: its heartbeats arrive but it
    /// acts on no response, or it obeys commands but sends no heartbeats.
    pub ignores_commands: bool,
    /// Whether at least a quarter of its owner's machines ignore commands. Their owner then
    /// responds too late, and the machines are not at fault.
    pub owner_responds_late: bool,
}

impl MachineHealth {
    /// Whether missing heartbeats are the only sign of a fault: the machine has left no
    /// direct command unanswered and does not ignore commands.
    pub fn is_only_silent(&self) -> bool {
        self.unanswered_s.is_none() && !self.ignores_commands
    }
}

/// What is to be done with a machine, decided by its health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthVerdict {
    /// The machine shows no fault, or not for long enough.
    Keep,
    /// The machine is silent and perhaps only unreachable, or it is unreconciled. It is kept,
    /// but counts neither as idle nor as available.
    Wait,
    /// The machine is to be deleted, which proves that none of its tasks still runs.
    Replace,
}

/// The numbers of machines in use in one zone.
#[derive(Debug, Default)]
struct ZoneCounts {
    machines: u32,
    /// The number of these machines that are silent or ignore commands.
    unresponsive: u32,
}

impl ZoneCounts {
    fn is_partitioned(&self) -> bool {
        self.unresponsive >= PARTITION_MIN_UNRESPONSIVE && self.unresponsive * 2 >= self.machines
    }
}

/// Judges each machine by its own health and by the contact that owners have had with its
/// zone.
#[derive(Debug)]
pub struct FailureDetector {
    report_s: Seconds,
    lease_s: Seconds,
    partitioned_zones: HashSet<Arc<str>>,
    /// The longest time for which an owner has had contact with each zone, in seconds; zones
    /// without recent contact are absent. The maximum over all owners is used, as one owner may
    /// have contact with its machines a moment before another has.
    longest_contact_s: HashMap<Arc<str>, f64>,
}

impl FailureDetector {
    /// Creates a detector from the health of all machines in use. A zone counts as
    /// partitioned while two or more of its machines, and at least half of them, are
    /// silent or ignore commands. `report_s` is the report interval of workers and
    /// `lease_s` the duration of their leases.
    pub fn new<'a>(
        report_s: Seconds,
        lease_s: Seconds,
        machines: impl Iterator<Item = &'a MachineHealth>,
    ) -> FailureDetector {
        let mut zones: HashMap<Arc<str>, ZoneCounts> = HashMap::new();
        let mut longest_contact_s: HashMap<Arc<str>, f64> = HashMap::new();
        for health in machines {
            if let Some(contact) = recent_contact(health, report_s) {
                let longest = longest_contact_s.entry(health.zone.clone()).or_default();
                *longest = longest.max(contact.began_ago_s);
            }
            let is_unresponsive =
                health.silent_s > report_s * SILENCE_REPORTS || health.ignores_commands;
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
            longest_contact_s,
        }
    }

    /// Whether a zone counts as partitioned; see [`FailureDetector::new`].
    fn is_partitioned(&self, zone: &str) -> bool {
        self.partitioned_zones.contains(zone)
    }

    /// Whether no controller can reach a zone. New machines there would be of no use.
    pub fn zone_unreachable(&self, zone: &str) -> bool {
        self.is_partitioned(zone) && !self.longest_contact_s.contains_key(zone)
    }

    /// Returns what is to be done with a machine in use.
    pub fn verdict(&self, health: &MachineHealth) -> HealthVerdict {
        // One-way reachability counts against a machine, unless its whole zone is partitioned
        // or its owner responds too late to many machines.
        if health.ignores_commands
            && !self.is_partitioned(&health.zone)
            && !health.owner_responds_late
        {
            return HealthVerdict::Replace;
        }
        // Silence counts only from when the contact with the zone began, as the zone may have
        // been unreachable before. Without recent contact, the whole silence counts.
        let contact_s = recent_contact(health, self.report_s)
            .map(|contact| contact.began_ago_s)
            .or_else(|| self.longest_contact_s.get(&health.zone).copied());
        let silent_s =
            contact_s.map_or(health.silent_s, |contact_s| health.silent_s.min(contact_s));
        if silent_s > self.silence_limit_s(health) {
            HealthVerdict::Replace
        } else if health.silent_s > self.report_s * SILENCE_REPORTS || !health.reconciled {
            // Guard: a machine that has only just reported again looks idle until it is
            // reconciled. Without this, it would be returned to the cloud, and with it all other
            // machines of its zone.
            HealthVerdict::Wait
        } else {
            HealthVerdict::Keep
        }
    }

    /// Returns for how many seconds a machine may be silent before it counts as dead.
    fn silence_limit_s(&self, health: &MachineHealth) -> Seconds {
        let leaves_unanswered = health
            .unanswered_s
            .is_some_and(|unanswered_s| unanswered_s > self.report_s * MIN_UNANSWERED_REPORTS);
        if health.seen_by_other_controller {
            self.lease_s * UNREACHABLE_SILENCE_LEASES
        } else if leaves_unanswered {
            self.report_s * SILENCE_REPORTS
        } else if self.zone_unreachable(&health.zone) {
            self.lease_s * UNREACHABLE_SILENCE_LEASES
        } else {
            self.report_s * UNVERIFIED_SILENCE_REPORTS
        }
    }
}

/// Returns the owner's contact with a machine's zone, unless its last contact is so old
/// that a machine would count as silent.
fn recent_contact(health: &MachineHealth, report_s: Seconds) -> Option<ZoneContactAges> {
    health
        .zone_contact
        .filter(|contact| contact.last_ago_s <= report_s * SILENCE_REPORTS)
}
