//! The order among jobs of a priority.

use crate::config::settings::Settings;
use crate::wire::JobSpec;
use std::collections::HashMap;
use std::sync::Arc;

/// The longest time, of those that the aims name, within which jobs of a class
/// should be finished.
#[derive(Debug, Clone, Default)]
pub struct CompletionObjectives {
    /// By class, in seconds.
    within_s: HashMap<Arc<str>, f64>,
}

impl CompletionObjectives {
    pub(super) fn new(settings: &Settings) -> CompletionObjectives {
        let mut objectives = CompletionObjectives::default();
        for o in &settings.params.objectives {
            let class: Arc<str> = o.class.as_str().into();
            if let (true, Some(w)) = (o.kind == "finished", o.within_s) {
                let known = objectives.within_s.entry(class).or_insert(w);
                *known = known.max(w);
            }
        }
        objectives
    }

    /// Within how many seconds jobs of a class should be finished.
    fn finished_within_s(&self, class: &str) -> Option<f64> {
        self.within_s.get(class).copied()
    }
}

/// The place of a job among those of its priority, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Urgency {
    tier: Tier,
    /// When it should be done, in milliseconds of the wall clock.
    due_ms: i64,
}

/// Whether a job can still meet its objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    /// It can, has none, or has waited so long that it goes first all the same.
    InTime,
    /// It can't any more.
    Late,
}

/// After how many times the span of its objective a late job goes before all others,
/// so that none starves.
const STARVING_AFTER_SPANS: f64 = 4.0;

/// The share of a job's total work, in seconds of one task after the other, that
/// counts as its due time.
const WORK_SHARE: f64 = 0.1;

/// The urgency of a job: by deadline where
/// there is one. Where the aim is a time to be finished within, who can still
/// be in time goes before who can't, since under overload the order of arrival
/// makes everybody late. A job that has waited four times as long goes before
/// all, so that none starves.
pub(super) fn urgency(
    spec: &JobSpec,
    accepted_at_ms: u64,
    wall_clock_ms: u64,
    objectives: &CompletionObjectives,
) -> Urgency {
    let age_s = (wall_clock_ms as f64 - accepted_at_ms as f64) / 1000.0;
    let due_after = |span_s: f64| accepted_at_ms as i64 + (span_s * 1000.0) as i64;
    let in_time = |span_s: f64| Urgency {
        tier: Tier::InTime,
        due_ms: due_after(span_s),
    };
    if let Some(deadline_s) = spec.deadline_s {
        return in_time(deadline_s);
    }
    let Some(within_s) = objectives.finished_within_s(&spec.class) else {
        return in_time(0.0);
    };
    let reachable = age_s + spec.estimate_s <= within_s;
    let starving = age_s > within_s * STARVING_AFTER_SPANS;
    // Small jobs first, as more of them are in time so; large ones catch up with age.
    let work_s = spec.estimate_s * f64::from(spec.task_count);
    Urgency {
        tier: if reachable || starving {
            Tier::InTime
        } else {
            Tier::Late
        },
        due_ms: due_after((work_s * WORK_SHARE).min(within_s)),
    }
}
