//! The order among jobs of a priority.

use crate::config::settings::Settings;
use crate::wire::JobSpec;
use std::collections::HashMap;
use std::sync::Arc;

/// The longest time, of those that the aims name, within which jobs of a class
/// should be finished.
#[derive(Debug, Clone, Default)]
pub struct ServiceObjectives {
    within: HashMap<Arc<str>, f64>,
}

impl ServiceObjectives {
    pub(super) fn new(settings: &Settings) -> ServiceObjectives {
        let mut objectives = ServiceObjectives::default();
        for o in &settings.params.objectives {
            let class: Arc<str> = o.class.as_str().into();
            if let (true, Some(w)) = (o.kind == "finished", o.within_s) {
                let known = objectives.within.entry(class).or_insert(w);
                *known = known.max(w);
            }
        }
        objectives
    }
}

/// The order among jobs of a priority, the most urgent first: by deadline where
/// there is one. Where the aim is a time to be finished within, who can still
/// be in time goes before who can't, since under overload the order of arrival
/// makes everybody late. A job that has waited four times as long goes before
/// all, so that none starves.
pub(super) fn urgency(
    spec: &JobSpec,
    accepted_at_ms: u64,
    wall_clock_ms: u64,
    objectives: &ServiceObjectives,
) -> (u8, i64) {
    let age = (wall_clock_ms as f64 - accepted_at_ms as f64) / 1000.0;
    let in_time = |span: f64| age + spec.estimate_s <= span;
    let at = |span: f64| accepted_at_ms as i64 + (span * 1000.0) as i64;
    if let Some(d) = spec.deadline_s {
        return (0, at(d));
    }
    match objectives.within.get(&spec.class).copied() {
        Some(w) => {
            let tier = if in_time(w) || age > w * 4.0 { 0 } else { 2 };
            // Small jobs first, as more of them are in time so; large ones
            // catch up with age.
            let work = spec.estimate_s * f64::from(spec.task_count);
            (tier, at((work * 0.1).min(w)))
        }
        None => (0, at(0.0)),
    }
}
