//! What teams and services use, compared with what the teams are guaranteed.

use super::Leader;
use crate::store::cache::StoreCache;
use crate::wire::{JobId, JobKind, JobSpec, Resources};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// Adds the CPUs and GPUs of some tasks of a job; teams have no limit on memory.
pub(super) fn add_tasks(used: &mut Resources, spec: &JobSpec, tasks: f64) {
    used.cpus += tasks * spec.cpus;
    used.gpus += tasks * spec.gpus;
}

impl Leader {
    /// What each team uses, counting the tasks that are assigned or unreconciled.
    pub(super) fn used_by_team(&self) -> HashMap<Arc<str>, Resources> {
        let mut used: HashMap<Arc<str>, Resources> = HashMap::new();
        for entry in self.jobs.values() {
            let team_usage = used.entry(entry.spec.team.clone()).or_default();
            add_tasks(team_usage, &entry.spec, f64::from(entry.occupied_tasks()));
        }
        used
    }

    /// Jobs that fit into their team's guarantee together with all earlier unfinished jobs
    /// of the team. They take precedence over jobs for which a team borrows.
    pub(super) fn guaranteed_jobs(&self, cache: &StoreCache) -> HashSet<JobId> {
        let mut by_age: Vec<_> = self.jobs.iter().collect();
        by_age.sort_by_key(|(id, entry)| (entry.accepted_at_ms, *id));
        let mut used: HashMap<&str, Resources> = HashMap::new();
        let mut guaranteed = HashSet::new();
        for (id, entry) in by_age {
            let Some(team) = self.policy.teams.get(&entry.spec.team) else {
                continue;
            };
            let Some(job) = cache.jobs.get(id).filter(|job| job.is_live()) else {
                continue;
            };
            let unfinished = entry.spec.task_count.saturating_sub(job.finished.len());
            let team_usage = used.entry(&entry.spec.team).or_default();
            add_tasks(team_usage, &entry.spec, f64::from(unfinished));
            if team_usage.cpus <= team.cpus && team_usage.gpus <= team.gpus {
                guaranteed.insert(id.clone());
            }
        }
        guaranteed
    }

    /// Teams that use more than they are guaranteed, in ascending order of name.
    pub(super) fn borrowing_teams(&self, used: &HashMap<Arc<str>, Resources>) -> Vec<Arc<str>> {
        let is_borrowing = |name: &Arc<str>, used: &Resources| {
            self.policy
                .teams
                .get(name)
                .is_none_or(|team| used.cpus > team.cpus || used.gpus > team.gpus)
        };
        let mut teams: Vec<Arc<str>> = used
            .iter()
            .filter(|(name, used)| is_borrowing(name, used))
            .map(|(name, _)| name.clone())
            .collect();
        teams.sort();
        teams
    }

    /// The CPUs of all assigned service replicas.
    pub fn service_cpus(&self) -> f64 {
        self.jobs
            .values()
            .filter(|entry| entry.spec.job_kind == JobKind::Service)
            .map(|entry| entry.spec.cpus * entry.assigned.len() as f64)
            .sum()
    }
}
