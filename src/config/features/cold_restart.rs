//! The configuration of the feature `cold-restart`.

use super::{FeatureConfig, InvalidField};
use serde::Deserialize;

/// The upper limit on [`ColdRestartConfig::entries`]. A record of that length takes up
/// a few megabytes.
const MAX_ENTRIES: usize = 20_000;
/// The upper limit on [`ColdRestartConfig::answer_reports`].
const MAX_ANSWER_REPORTS: f64 = 20.0;

/// The configuration of the feature `cold-restart`. The fields have the same names as
/// in the feature file.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdRestartConfig {
    /// The number of report intervals for which a new leader waits for the responses of
    /// unreconciled machines before it rents machines or preempts work of lower priority.
    #[serde(default = "default_answer_reports")]
    pub answer_reports: f64,
    /// The number of reconciliation decisions that the record of a restart keeps.
    #[serde(default = "default_entries")]
    pub entries: usize,
}

fn default_answer_reports() -> f64 {
    2.0
}

fn default_entries() -> usize {
    500
}

impl FeatureConfig for ColdRestartConfig {
    const NAME: &'static str = "cold-restart";

    fn check(&self) -> Result<(), InvalidField> {
        let reports = self.answer_reports;
        if !(0.0..=MAX_ANSWER_REPORTS).contains(&reports) {
            return Err(InvalidField {
                field: "answer_reports",
                reason: format!("{reports} is not from 0 to {MAX_ANSWER_REPORTS}"),
            });
        }
        if self.entries > MAX_ENTRIES {
            return Err(InvalidField {
                field: "entries",
                reason: format!("{} is above {MAX_ENTRIES}", self.entries),
            });
        }
        Ok(())
    }
}
