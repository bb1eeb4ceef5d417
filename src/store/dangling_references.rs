//! Valid stored records that name a team, zone or machine type which neither the
//! settings nor the catalog has. They are reported and not changed: such a job stays
//! pending, and such a machine gets no tasks.

use crate::config::settings::Settings;
use crate::store::cache::StoreCache;
use crate::store::invalid_records::RecordError;
use crate::store::keys::job_key;

/// A stored record that does not match the settings or the catalog.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DanglingReference {
    /// The record's key.
    pub key: String,
    /// What does not match.
    pub error: RecordError,
}

/// All records that do not match the settings or the catalog, in the order of their keys.
pub fn find_dangling_references(cache: &StoreCache, settings: &Settings) -> Vec<DanglingReference> {
    let mut misfits = jobs_of_unknown_teams(cache, settings);
    misfits.extend(pages_of_unknown_types_or_zones(cache, settings));
    misfits.sort_by(|a, b| a.key.cmp(&b.key));
    misfits
}

fn jobs_of_unknown_teams(cache: &StoreCache, settings: &Settings) -> Vec<DanglingReference> {
    let live = cache.jobs.iter().filter(|(_, job)| job.is_live());
    let unknown = live.filter(|(_, job)| {
        job.record
            .spec
            .as_ref()
            .is_some_and(|spec| settings.team(&spec.team).is_none())
    });
    unknown
        .map(|(id, _)| DanglingReference {
            key: job_key(id),
            error: RecordError::UnknownTeam,
        })
        .collect()
}

fn pages_of_unknown_types_or_zones(
    cache: &StoreCache,
    settings: &Settings,
) -> Vec<DanglingReference> {
    let mut misfits = Vec::new();
    for (key, page) in &cache.registry_pages {
        let zone_known = settings
            .params
            .zones
            .iter()
            .any(|zone| **zone == *page.value.zone);
        let type_known = cache
            .catalog
            .as_ref()
            .is_none_or(|catalog| catalog.get(&page.value.machine_type).is_some());
        let error = match (zone_known, type_known) {
            (false, _) => RecordError::UnknownZone,
            (true, false) => RecordError::UnknownMachineType,
            (true, true) => continue,
        };
        misfits.push(DanglingReference {
            key: key.to_string(),
            error,
        });
    }
    misfits
}
