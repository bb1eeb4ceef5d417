//! The order of jobs that have the same priority.

use crate::config::settings::Settings;
use crate::wire::JobSpec;
use std::collections::HashMap;
use std::sync::Arc;

/// The time within which jobs of a class should be finished. If several objectives name a
/// class, the longest time counts.
#[derive(Debug, Clone, Default)]
pub struct CompletionObjectives {
    /// By class, in seconds.
    within_s: HashMap<Arc<str>, f64>,
}

impl CompletionObjectives {
    pub(super) fn new(settings: &Settings) -> CompletionObjectives {
        let mut objectives = CompletionObjectives::default();
        for objective in &settings.params.objectives {
            let class: Arc<str> = objective.class.as_str().into();
            if let (true, Some(within_s)) = (objective.kind == "finished", objective.within_s) {
                let longest = objectives.within_s.entry(class).or_insert(within_s);
                *longest = longest.max(within_s);
            }
        }
        objectives
    }

    /// Within how many seconds jobs of a class should be finished; `None` without an
    /// objective.
    fn finished_within_s(&self, class: &str) -> Option<f64> {
        self.within_s.get(class).copied()
    }
}

/// The rank of a job among those of its priority, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Urgency {
    timeliness: Timeliness,
    /// When the job should be done, in milliseconds of the wall clock.
    due_ms: i64,
}

/// Whether a job can still meet its objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timeliness {
    /// It can, it has no objective, or it has waited so long that it would starve if it
    /// counted as late.
    InTime,
    /// It cannot any more.
    Late,
}

/// A late job whose age exceeds this multiple of its objective counts as in time again, so
/// that it does not starve.
const STARVATION_FACTOR: f64 = 4.0;

/// A job with a completion objective is due after this share of its total work, the running
/// time of all its tasks one after the other, but no later than its objective.
const DUE_AFTER_WORK_SHARE: f64 = 0.1;

/// The urgency of a job. A job with a deadline is due at its deadline. Of the jobs with a
/// completion objective, those that can still meet it come before those that cannot, since
/// under overload the order of arrival would make all of them late. A job that has waited
/// for four times its objective counts as in time again: its due time lies far in the past by
/// then, so that it comes ahead of almost all others and does not starve.
pub(super) fn urgency(
    spec: &JobSpec,
    accepted_at_ms: u64,
    wall_clock_ms: u64,
    objectives: &CompletionObjectives,
) -> Urgency {
    let age_s = (wall_clock_ms as f64 - accepted_at_ms as f64) / 1000.0;
    let due_after = |span_s: f64| accepted_at_ms as i64 + (span_s * 1000.0) as i64;
    let in_time = |span_s: f64| Urgency {
        timeliness: Timeliness::InTime,
        due_ms: due_after(span_s),
    };
    if let Some(deadline_s) = spec.deadline_s {
        return in_time(deadline_s);
    }
    let Some(within_s) = objectives.finished_within_s(&spec.class) else {
        return in_time(0.0);
    };
    let can_meet_objective = age_s + spec.estimate_s <= within_s;
    let is_starving = age_s > within_s * STARVATION_FACTOR;
    // Small jobs come first, since more jobs are in time that way; large jobs catch up as
    // they age.
    let work_s = spec.estimate_s * f64::from(spec.task_count);
    Urgency {
        timeliness: if can_meet_objective || is_starving {
            Timeliness::InTime
        } else {
            Timeliness::Late
        },
        due_ms: due_after((work_s * DUE_AFTER_WORK_SHARE).min(within_s)),
    }
}
