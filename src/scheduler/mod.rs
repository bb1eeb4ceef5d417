//! The leader: which tasks wait, which shard holds which, what is to be
//! committed as finished. Pure, like [`crate::shard`].
//!
//! A task is in exactly one of three conditions: free (certainly nowhere),
//! assigned (one shard answers for it), or unknown (since the epoch began nobody
//! has proven where it is). Only free tasks are assigned.

pub mod bin_packing;
pub mod capacity;
mod completions;
mod failures;
mod gang;
mod machines;
mod orders;
mod placement;
mod round;
mod shard_reports;
mod urgency;

pub use completions::FinishedTasks;
pub use failures::MachineFault;
pub use machines::{MachineSnapshot, ShardView, TrackedMachine};
pub use urgency::ServiceObjectives;

use crate::autoscaler::PendingDemand;
use crate::clock::{self, Seconds};
use crate::config::settings::{Settings, Team};
use crate::finished::TaskSet;
use crate::scheduler::capacity::NameInterner;
use crate::shard::TaskPhase;
use crate::store::cache::StoreCache;
use crate::store::records::Epoch;
use crate::wire::{JobId, JobKind, JobSpec, MachineId};
use finchwood_reconciliation::unreconciled::ReconciliationPhase;
use finchwood_types::token::MAX_COUNTER;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

#[derive(Debug, Clone)]
struct TaskAssignment {
    shard: Arc<str>,
    attempt: u64,
    /// Tells one assignment of an attempt from the next; 0 if its shard doesn't say.
    assignment: u64,
    /// The shard has listed it: it need not be sent again.
    acknowledged: bool,
    phase: TaskPhase,
    machine: Option<MachineId>,
}

#[derive(Debug)]
struct JobEntry {
    spec: Arc<JobSpec>,
    accepted_at_ms: u64,
    unreconciled: TaskSet,
    /// Of the unknown, those that can only be with one shard, which has kept all
    /// that it knew: its word alone is proof.
    sole_holders: BTreeMap<u32, Arc<str>>,
    assigned: BTreeMap<u32, TaskAssignment>,
    /// Those of the assigned that their shard has not listed yet.
    unacknowledged: BTreeSet<u32>,
    /// Seen done by a shard, not yet committed.
    completed: TaskSet,
    commit_in_flight: bool,
    next_commit_at: Seconds,
    commit_retry_at: Seconds,
    failures: failures::JobFailures,
    /// Of a gang: the attempt that its tasks share.
    attempt: Option<gang::Attempt>,
    /// Since when a service that is bound to the zone of its tasks has had no
    /// room there.
    no_room_since: Option<Seconds>,
    /// All its tasks are being stopped, to begin together in another zone.
    withdrawing: bool,
    /// What each shard was told that zones may still take.
    zone_allowances: BTreeMap<Arc<str>, Vec<(Arc<str>, u32)>>,
}

impl TaskAssignment {
    /// The order of assignments of a task.
    fn order(&self) -> (u64, u64) {
        (self.attempt, self.assignment)
    }
}

impl JobEntry {
    /// The assignments that differ from their attempts, of tasks that a shard
    /// has not listed yet.
    fn assignments(&self, node: &str) -> Vec<(u32, u64)> {
        let unacknowledged = self
            .unacknowledged
            .iter()
            .filter_map(|index| Some((*index, self.assigned.get(index)?)));
        let differ = unacknowledged.filter(|(_, d)| &*d.shard == node && d.assignment != d.attempt);
        differ.map(|(index, d)| (index, d.assignment)).collect()
    }
    fn running_tasks(&self) -> usize {
        self.assigned
            .values()
            .filter(|assigned| assigned.phase == TaskPhase::Running)
            .count()
    }
    fn unassign(&mut self, index: u32) -> Option<TaskAssignment> {
        self.unacknowledged.remove(&index);
        self.assigned.remove(&index)
    }
    fn assign(&mut self, index: u32, assigned: TaskAssignment) {
        if assigned.acknowledged {
            self.unacknowledged.remove(&index);
        } else {
            self.unacknowledged.insert(index);
        }
        self.assigned.insert(index, assigned);
    }
}

/// How far a leader that began without knowledge has found out where tasks are.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct ReconciliationProgress {
    /// Every member has told what it holds.
    pub all_joined: bool,
    /// Nothing is in doubt any more.
    #[serde(rename = "resolved")]
    pub reconciled: bool,
    /// Unfinished jobs, by what is known of their tasks.
    pub jobs: BTreeMap<ReconciliationPhase, u32>,
    /// Tasks that nobody has proven to be anywhere, or nowhere.
    #[serde(rename = "tasks_in_doubt")]
    pub unreconciled_tasks: u32,
    /// Machines whose content is not known.
    #[serde(rename = "machines_in_doubt")]
    pub unreconciled_machines: u32,
}

/// The leader's table.
#[derive(Debug)]
pub struct Leader {
    epoch: u64,
    incarnation: u64,
    members: BTreeMap<String, u64>,
    jobs: BTreeMap<JobId, JobEntry>,
    pub shards: BTreeMap<String, ShardView>,
    names: NameInterner,
    reconciled: bool,
    /// Something came in that may prove where tasks are.
    has_new_evidence: bool,
    /// Shards whose holdings have come in since the last task became unknown.
    reported_shards: BTreeSet<String>,
    attempts_used: u64,
    /// No attempt number above this one is used in an epoch.
    pub attempt_limit: u64,
    teams: HashMap<Arc<str>, Team>,
    start_objectives_s: HashMap<Arc<str>, f64>,
    classes_with_objectives: HashSet<Arc<str>>,
    objectives: ServiceObjectives,
    report_s: Seconds,
    gang_wait_s: Seconds,
    gangs_allowed: bool,
    /// When the first report of this epoch came, and the latest of all.
    first_report_at: Option<Seconds>,
    last_report_at: Seconds,
    /// After how long whatever an earlier owner renewed is over.
    takeover_s: Seconds,
    /// Machines that take no more tasks.
    pub draining: BTreeSet<MachineId>,
    /// Jobs with tasks that failed on each machine.
    failed_jobs_by_machine: failures::FailedJobsByMachine,
    /// Machines that failures speak against: they take no more tasks.
    faulty: BTreeSet<MachineId>,
    /// CPUs on ordinary machines that are kept free for services to come.
    pub reserved_cpus: f64,
    /// Nothing is stopped to make room: machines in doubt may have it.
    pub preemption_held: bool,
    /// Machines whose replicas are to move to others.
    pub consolidating: BTreeSet<MachineId>,
    /// What could not be assigned in the last round, for renting.
    pub pending_demand: Vec<PendingDemand>,
    /// Teams that use more than they are guaranteed.
    borrowing: Vec<Arc<str>>,
    resume_from: Option<JobId>,
}

impl Leader {
    /// A leader of no epoch.
    pub fn new(settings: &Settings) -> Leader {
        Leader {
            epoch: 0,
            incarnation: 0,
            members: BTreeMap::new(),
            jobs: BTreeMap::new(),
            shards: BTreeMap::new(),
            names: NameInterner::default(),
            reconciled: false,
            has_new_evidence: true,
            reported_shards: BTreeSet::new(),
            attempts_used: 0,
            attempt_limit: MAX_COUNTER,
            teams: settings
                .params
                .teams
                .iter()
                .map(|t| (t.name.as_str().into(), t.clone()))
                .collect(),
            start_objectives_s: settings.start_aims(),
            classes_with_objectives: settings.classes_with_aims(),
            objectives: ServiceObjectives::new(settings),
            report_s: settings.params.workers.report_s,
            gang_wait_s: settings.params.workers.gang_wait_s,
            gangs_allowed: true,
            first_report_at: None,
            last_report_at: 0.0,
            takeover_s: clock::with_drift_margin(settings.params.workers.lease_s)
                + clock::with_drift_margin(settings.member_life_s()),
            draining: BTreeSet::new(),
            consolidating: BTreeSet::new(),
            failed_jobs_by_machine: failures::FailedJobsByMachine::new(),
            faulty: BTreeSet::new(),
            reserved_cpus: 0.0,
            preemption_held: false,
            pending_demand: Vec::new(),
            borrowing: Vec::new(),
            resume_from: None,
        }
    }

    /// Enters an epoch as its leader. The table is kept if this incarnation
    /// led the one just before; what was assigned is unknown until it is seen.
    /// Says whether it is.
    pub fn start_epoch(&mut self, e: &Epoch, incarnation: u64, cache: &StoreCache) -> bool {
        let stays = self.incarnation == incarnation && self.epoch + 1 == e.number;
        if !stays {
            self.jobs.clear();
            self.draining.clear();
            self.consolidating.clear();
            self.failed_jobs_by_machine.clear();
            self.faulty.clear();
        }
        // Shards that live on and hand no machine over, as nobody is new: what
        // was assigned to them is theirs still, or nowhere. Without this, one
        // controller's return left all that a cut zone had lost in doubt until
        // the last machine of the zone had been heard.
        // Guard: where shares have moved, a shard that lives on may have handed machines over.
        let by_hash = cache.shard_map.is_empty();
        let nobody_new = stays && by_hash && e.members.keys().all(|m| self.members.contains_key(m));
        let same = |m: &&String| nobody_new && self.members.get(*m) == e.members.get(*m);
        let steady: BTreeSet<String> = e.members.keys().filter(same).cloned().collect();
        self.epoch = e.number;
        self.incarnation = incarnation;
        self.members = e.members.clone();
        self.shards.clear();
        self.reported_shards.clear();
        self.first_report_at = None;
        self.reconciled = false;
        self.attempts_used = 0;
        for job in self.jobs.values_mut() {
            let assigned = std::mem::take(&mut job.assigned);
            job.unacknowledged.clear();
            job.sole_holders.retain(|_, p| steady.contains(&**p));
            if let Some(attempt) = job.attempt.as_mut() {
                attempt.mark_unreconciled();
            }
            for (index, d) in assigned {
                job.unreconciled.add(index);
                if steady.contains(&*d.shard) {
                    job.sole_holders.insert(index, d.shard);
                }
            }
            job.commit_in_flight = false;
        }
        let ids: Vec<JobId> = cache.jobs.keys().cloned().collect();
        for id in ids {
            self.job_changed(&id, cache);
        }
        stays
    }

    /// How far what was in doubt has been found out.
    pub fn reconciliation_progress(
        &self,
        cache: &StoreCache,
        gone: &dyn Fn(&MachineId) -> bool,
    ) -> ReconciliationProgress {
        let mut progress = ReconciliationProgress {
            all_joined: self.all_joined(),
            reconciled: self.reconciled,
            unreconciled_machines: self.unreconciled_machines(cache, gone).count(),
            ..ReconciliationProgress::default()
        };
        for entry in self.jobs.values() {
            let in_doubt = entry.unreconciled.len();
            progress.unreconciled_tasks += in_doubt;
            let phase = ReconciliationPhase::of(in_doubt, entry.assigned.len());
            *progress.jobs.entry(phase).or_default() += 1;
        }
        progress
    }

    /// Whether half of the epoch's attempt numbers are used up: the next epoch has all
    /// of them anew. At a thousand starts a second that takes more than two hours.
    pub fn needs_new_epoch(&self) -> bool {
        self.attempts_used > self.attempt_limit / 2
    }

    /// A job is new or has changed in the cache.
    pub fn job_changed(&mut self, id: &JobId, cache: &StoreCache) {
        let Some(job) = cache.jobs.get(id) else {
            return;
        };
        let Some(spec) = job.record.spec.clone().filter(|_| !job.record.done) else {
            if self.jobs.get(id).is_some_and(|e| e.assigned.is_empty()) {
                self.jobs.remove(id);
            }
            return;
        };
        if !self.jobs.contains_key(id) {
            let mut unreconciled = TaskSet::default();
            // Accepted in this epoch: nobody can have assigned it before us.
            if job.record.epoch < self.epoch {
                for index in (0..spec.task_count).filter(|&i| !job.finished.contains(i)) {
                    unreconciled.add(index);
                }
            }
            if job.record.cancelled && unreconciled.is_empty() {
                return;
            }
            if !unreconciled.is_empty() {
                // Reports taken in before this job was known said nothing of it.
                self.reconciled = false;
                self.reported_shards.clear();
            }
            let entry = JobEntry {
                accepted_at_ms: job.record.accepted_at_ms,
                spec,
                unreconciled,
                sole_holders: BTreeMap::new(),
                assigned: BTreeMap::new(),
                unacknowledged: BTreeSet::new(),
                completed: TaskSet::default(),
                commit_in_flight: false,
                next_commit_at: 0.0,
                commit_retry_at: 0.0,
                failures: failures::JobFailures::default(),
                attempt: None,
                no_room_since: None,
                withdrawing: false,
                zone_allowances: BTreeMap::new(),
            };
            self.jobs.insert(id.clone(), entry);
        }
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        if !job.finished.is_empty() {
            entry.failures.record_success();
        }
        let over: Vec<u32> = entry
            .completed
            .iter()
            .filter(|&i| job.finished.contains(i))
            .collect();
        for i in over {
            entry.completed.remove(i);
            entry.unreconciled.remove(i);
            entry.unassign(i);
        }
        if job.record.cancelled {
            entry.completed = TaskSet::default();
            if entry.unreconciled.is_empty() && entry.assigned.is_empty() {
                self.jobs.remove(id);
            }
        }
    }

    /// Machines that may still run tasks of jobs cancelled more than `after_s`
    /// ago: whatever stops were sent there, none is proven to have been obeyed.
    pub fn machines_with_cancelled_tasks(
        &self,
        cache: &StoreCache,
        wall_clock_ms: u64,
        after_s: Seconds,
    ) -> BTreeSet<MachineId> {
        let mut out = BTreeSet::new();
        for (id, e) in &self.jobs {
            let Some(job) = cache.jobs.get(id).filter(|j| j.record.cancelled) else {
                continue;
            };
            let accepted_at_ms = job.record.cancelled_at_ms.unwrap_or(wall_clock_ms);
            if wall_clock_ms.saturating_sub(accepted_at_ms) as f64 / 1000.0 > after_s {
                let there = e.assigned.values().filter(|d| d.phase != TaskPhase::Done);
                out.extend(there.filter_map(|d| d.machine.clone()));
            }
        }
        out
    }

    /// Counts for the log: jobs, assigned, unknown.
    pub fn counts(&self) -> (usize, usize, u32) {
        let assigned = self.jobs.values().map(|e| e.assigned.len()).sum();
        let unreconciled = self.jobs.values().map(|e| e.unreconciled.len()).sum();
        (self.jobs.len(), assigned, unreconciled)
    }

    /// CPUs that replicas of services take now.
    pub fn service_cpus(&self) -> f64 {
        self.jobs
            .values()
            .filter(|e| e.spec.job_kind == JobKind::Service)
            .map(|e| e.spec.cpus * e.assigned.len() as f64)
            .sum()
    }
}

/// Shards with the tasks that go to each.
type Assignment = Vec<(Arc<str>, Vec<u32>)>;

/// How many more tasks of a job each zone may take.
type ZoneRoom = Vec<(u32, u32)>;
