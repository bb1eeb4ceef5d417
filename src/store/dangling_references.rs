//! Finds valid records with a dangling reference: they name a team or zone that is not in
//! the settings, or a machine type that is not in the catalog. Such records are reported
//! and left unchanged: the job stays pending, and the machines get no tasks.

use crate::config::settings::Settings;
use crate::store::cache::StoreCache;
use crate::store::invalid_records::RecordError;
use crate::store::keys::job_key;

/// A stored record that names an unknown team, zone or machine type.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DanglingReference {
    /// The key of the record.
    pub key: String,
    /// Which kind of name is unknown.
    pub error: RecordError,
}

/// Returns all records that name an unknown team, zone or machine type, in key order. While
/// the catalog has not been read, every machine type counts as known.
pub fn find_dangling_references(cache: &StoreCache, settings: &Settings) -> Vec<DanglingReference> {
    let mut dangling = jobs_of_unknown_teams(cache, settings);
    dangling.extend(pages_of_unknown_types_or_zones(cache, settings));
    dangling.sort_by(|a, b| a.key.cmp(&b.key));
    dangling
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
    let mut dangling = Vec::new();
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
        dangling.push(DanglingReference {
            key: key.to_string(),
            error,
        });
    }
    dangling
}
