//! Stored records that can be read and yet make no sense in this deployment: they
//! name teams, zones or machine types that nobody knows. They are reported, and left
//! as they are: such a job waits, and such a machine gets nothing.

use crate::config::settings::Settings;
use crate::store::cache::{job_key, StoreCache};
use crate::store::unreadable_records::RecordError;

/// A stored record that doesn't fit the settings or the catalog.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MisfitRecord {
    /// Its key.
    pub key: String,
    /// What is wrong with it.
    pub why: RecordError,
}

/// All records that don't fit, by key.
pub fn misfit_records(cache: &StoreCache, settings: &Settings) -> Vec<MisfitRecord> {
    let mut misfits = jobs_of_unknown_teams(cache, settings);
    misfits.extend(pages_that_do_not_fit(cache, settings));
    misfits.sort_by(|a, b| a.key.cmp(&b.key));
    misfits
}

fn jobs_of_unknown_teams(cache: &StoreCache, settings: &Settings) -> Vec<MisfitRecord> {
    let live = cache.jobs.iter().filter(|(_, job)| job.live());
    let unknown = live.filter(|(_, job)| {
        job.record
            .spec
            .as_ref()
            .is_some_and(|spec| settings.team(&spec.team).is_none())
    });
    unknown
        .map(|(id, _)| MisfitRecord {
            key: job_key(id),
            why: RecordError::UnknownTeam,
        })
        .collect()
}

fn pages_that_do_not_fit(cache: &StoreCache, settings: &Settings) -> Vec<MisfitRecord> {
    let mut misfits = Vec::new();
    for (key, page) in &cache.registry_pages {
        let zone_known = settings
            .params
            .zones
            .iter()
            .any(|zone| **zone == *page.page.zone);
        let kind_known = cache
            .catalog
            .as_ref()
            .is_none_or(|c| c.get(&page.page.machine_type).is_some());
        let why = match (zone_known, kind_known) {
            (false, _) => RecordError::UnknownZone,
            (true, false) => RecordError::UnknownMachineType,
            (true, true) => continue,
        };
        misfits.push(MisfitRecord {
            key: key.to_string(),
            why,
        });
    }
    misfits
}
