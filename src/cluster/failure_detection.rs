//! Which silent machines are dead and which are only cut off. Pure.
//!
//! What decides is whether the owner itself has reached other machines of the
//! zone for as long as this one should have taken to come back. Then the
//! machine alone is at fault, however many more like it there are: a hundred
//! that hang in one zone are no cut. Nobody of a cut zone is reached, and when
//! the first is again, the others still need their time: a worker that waits
//! for an answer comes back only after that.

use crate::clock::Seconds;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// After how many report intervals without a sign a machine counts as dead
/// when others of its zone are reached meanwhile; and when nothing is known of
/// the zone.
const ALONE_REPORTS: f64 = 2.0;
const UNKNOWN_REPORTS: f64 = 4.5;
/// For so long it must have failed to answer: it is asked again meanwhile.
const UNANSWERED_REPORTS: f64 = 0.25;
/// A machine that others meet, or whose zone is cut off, is kept for so many
/// leases.
const CUT_LEASES: f64 = 3.0;

/// How a zone has been reached with nobody in between: the present stretch
/// without a gap.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ZoneContactSpan {
    pub began_at: Seconds,
    pub last_at: Seconds,
}

impl ZoneContactSpan {
    /// A machine of the zone was reached now; a gap longer than a report may
    /// take begins a new stretch.
    pub fn extend(
        known: Option<ZoneContactSpan>,
        now: Seconds,
        report_s: Seconds,
    ) -> ZoneContactSpan {
        match known {
            Some(s) if now - s.last_at <= report_s * ALONE_REPORTS => ZoneContactSpan {
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

/// The same as a shard tells it: how long ago the stretch began, and how long
/// ago the zone was last reached.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ZoneContact {
    #[serde(rename = "since_s")]
    pub began_ago_s: f64,
    #[serde(rename = "last_s")]
    pub last_ago_s: f64,
}

/// One machine that was in use, as the leader knows it.
#[derive(Debug, Clone)]
pub struct MachineHealth {
    pub zone: Arc<str>,
    /// What it holds is known.
    pub state_known: bool,
    pub silent_s: f64,
    /// Since when it has not answered when asked, while others of its zone were
    /// reached.
    pub unanswered_s: Option<f64>,
    /// How its owner reaches its zone.
    pub zone_contact: Option<ZoneContact>,
    /// Some other controller has met its worker lately.
    pub seen_by_other_controller: bool,
    /// Its reports arrive, but nothing reaches it.
    pub ignores_commands: bool,
    /// Nothing reaches a quarter of its owner's machines.
    pub owner_unreachable: bool,
}

impl MachineHealth {
    /// Nothing speaks against it but its silence: it was not asked in vain.
    pub fn is_only_silent(&self) -> bool {
        self.unanswered_s.is_none() && !self.ignores_commands
    }
}

/// What to do with a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing is wrong with it, or not for long enough.
    Keep,
    /// Silent, perhaps cut off, or what it holds is not known yet: kept, but
    /// neither idle nor of use.
    Wait,
    /// To be deleted, which proves that nothing is left of it.
    Replace,
}

/// Judges machines by themselves and by the rest of their zones.
#[derive(Debug)]
pub struct FailureDetector {
    report_s: Seconds,
    lease_s: Seconds,
    cut: HashSet<Arc<str>>,
    /// Zones in which some owner reaches somebody, and for how long any has:
    /// those of one owner may be reached a moment before those of the next.
    reached: HashMap<Arc<str>, f64>,
}

impl FailureDetector {
    /// Takes in all machines: a zone counts as cut off while at least half of
    /// several are silent or heed nothing.
    pub fn new<'a>(
        report_s: Seconds,
        lease_s: Seconds,
        all: impl Iterator<Item = &'a MachineHealth>,
    ) -> FailureDetector {
        let mut zones: HashMap<Arc<str>, (u32, u32)> = HashMap::new();
        let mut reached: HashMap<Arc<str>, f64> = HashMap::new();
        for s in all {
            if let Some(r) = s
                .zone_contact
                .filter(|r| r.last_ago_s <= report_s * ALONE_REPORTS)
            {
                let longest = reached.entry(s.zone.clone()).or_default();
                *longest = longest.max(r.began_ago_s);
            }
            let z = zones.entry(s.zone.clone()).or_default();
            z.0 += 1;
            z.1 += u32::from(s.silent_s > report_s * ALONE_REPORTS || s.ignores_commands);
        }
        let cut = zones
            .into_iter()
            .filter(|(_, (all, silent))| *silent >= 2 && silent * 2 >= *all);
        FailureDetector {
            report_s,
            lease_s,
            cut: cut.map(|z| z.0).collect(),
            reached,
        }
    }

    /// Whether most of a zone shows no sign of life.
    fn cut(&self, zone: &str) -> bool {
        self.cut.contains(zone)
    }

    /// Whether nobody at all reaches a zone: new machines there would be of no
    /// use.
    pub fn zone_unreachable(&self, zone: &str) -> bool {
        self.cut(zone) && !self.reached.contains_key(zone)
    }

    /// What to do with a machine that was in use.
    pub fn verdict(&self, s: &MachineHealth) -> Verdict {
        let recent = s
            .zone_contact
            .filter(|r| r.last_ago_s <= self.report_s * ALONE_REPORTS);
        let back_s = recent
            .map(|r| r.began_ago_s)
            .or_else(|| self.reached.get(&s.zone).copied());
        let alone = s
            .unanswered_s
            .is_some_and(|d| d > self.report_s * UNANSWERED_REPORTS);
        // While nobody of the zone was reached, its silence says nothing.
        let silent_s = back_s.map_or(s.silent_s, |b| s.silent_s.min(b));
        // Reports that come and answers that don't arrive: never those of a
        // whole zone, or of a shard whose owner is too slow to be heard.
        if s.ignores_commands && !self.cut(&s.zone) && !s.owner_unreachable {
            return Verdict::Replace;
        }
        let limit = match (
            s.seen_by_other_controller,
            alone,
            self.zone_unreachable(&s.zone),
        ) {
            (true, _, _) | (false, false, true) => self.lease_s * CUT_LEASES,
            (false, true, _) => self.report_s * ALONE_REPORTS,
            (false, false, false) => self.report_s * UNKNOWN_REPORTS,
        };
        if silent_s > limit {
            Verdict::Replace
        } else if s.silent_s > self.report_s * ALONE_REPORTS || !s.state_known {
            // One that is only just heard again looked idle in that moment, and
            // was returned with all others of its zone.
            Verdict::Wait
        } else {
            Verdict::Keep
        }
    }
}
