//! The leader's table: which tasks wait, which shard holds which, and which
//! completions are to be committed. Like [`crate::shard`] it does no input or
//! output: time and reports are handed in.
//!
//! Every unfinished task of a job is in one of three conditions: free (certainly
//! nowhere), assigned (one shard answers for it) or unreconciled (since the epoch
//! started nobody has proven where it is). Only free tasks are assigned.

pub mod bin_packing;
pub mod capacity;
mod completions;
mod epoch;
mod failures;
mod gang;
mod job_changes;
mod job_entry;
mod machines;
mod orders;
mod placement;
mod progress;
mod reconcile;
mod round;
mod shard_reports;
mod urgency;
mod usage;

pub use completions::FinishedTasks;
pub use failures::MachineFault;
pub use machines::{MachineSnapshot, ShardView, TrackedMachine};
pub use progress::{ReconciliationProgress, TableCounts};
pub use urgency::CompletionObjectives;

use crate::autoscaler::PendingDemand;
use crate::clock::{self, Seconds};
use crate::config::settings::{Settings, Team};
use crate::scheduler::capacity::NameInterner;
use crate::wire::{JobId, MachineId};
use epoch::LeaderEpoch;
use finchwood_types::token::MAX_COUNTER;
use job_entry::{AssignmentNumbers, JobEntry, TaskAssignment};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

/// What the settings say about assigning tasks.
#[derive(Debug)]
struct AssignmentPolicy {
    teams: HashMap<Arc<str>, Team>,
    /// Seconds within which tasks of a class should start, where an objective
    /// says so.
    start_objectives_s: HashMap<Arc<str>, f64>,
    classes_with_objectives: HashSet<Arc<str>>,
    objectives: CompletionObjectives,
    /// How often workers and shards report.
    report_s: Seconds,
    /// How long the tasks of a gang wait for each other.
    gang_wait_s: Seconds,
    /// After how long whatever an earlier owner renewed has expired.
    takeover_s: Seconds,
}

impl AssignmentPolicy {
    fn new(settings: &Settings) -> AssignmentPolicy {
        let workers = &settings.params.workers;
        AssignmentPolicy {
            teams: settings
                .params
                .teams
                .iter()
                .map(|team| (team.name.as_str().into(), team.clone()))
                .collect(),
            start_objectives_s: settings.start_objectives(),
            classes_with_objectives: settings.classes_with_objectives(),
            objectives: CompletionObjectives::new(settings),
            report_s: workers.report_s,
            gang_wait_s: workers.gang_wait_s,
            takeover_s: clock::with_drift_margin(workers.lease_s)
                + clock::with_drift_margin(settings.member_lease_s()),
        }
    }
}

/// The leader's table.
#[derive(Debug)]
pub struct Leader {
    epoch: LeaderEpoch,
    policy: AssignmentPolicy,
    jobs: BTreeMap<JobId, JobEntry>,
    /// The shards that have reported in this epoch, by the controller's name.
    pub shards: BTreeMap<String, ShardView>,
    names: NameInterner,
    /// No attempt number above this one is used in an epoch.
    pub attempt_limit: u64,
    gangs_allowed: bool,
    /// Machines that take no more tasks, so that they can be returned.
    pub draining: BTreeSet<MachineId>,
    /// Machines whose replicas are moved to others, so that they become empty.
    pub consolidating: BTreeSet<MachineId>,
    /// Jobs with tasks that failed on each machine.
    failed_jobs_by_machine: failures::FailedJobsByMachine,
    /// Machines that task failures speak against: they take no more tasks.
    faulty: BTreeSet<MachineId>,
    /// CPUs on ordinary machines that are kept free for services to come.
    pub reserved_cpus: f64,
    /// Nothing is preempted for now: unreconciled machines may have room.
    pub preemption_suspended: bool,
    /// Tasks that had no room in the last round, for the autoscaler.
    pub pending_demand: Vec<PendingDemand>,
    /// Teams that use more than they are guaranteed.
    borrowing: Vec<Arc<str>>,
    /// The job at which the last round ran out of time.
    resume_from: Option<JobId>,
}

impl Leader {
    /// A leader of no epoch yet.
    pub fn new(settings: &Settings) -> Leader {
        Leader {
            epoch: LeaderEpoch::default(),
            policy: AssignmentPolicy::new(settings),
            jobs: BTreeMap::new(),
            shards: BTreeMap::new(),
            names: NameInterner::default(),
            attempt_limit: MAX_COUNTER,
            gangs_allowed: true,
            draining: BTreeSet::new(),
            consolidating: BTreeSet::new(),
            failed_jobs_by_machine: failures::FailedJobsByMachine::new(),
            faulty: BTreeSet::new(),
            reserved_cpus: 0.0,
            preemption_suspended: false,
            pending_demand: Vec::new(),
            borrowing: Vec::new(),
            resume_from: None,
        }
    }
}

/// The tasks that go to one shard.
#[derive(Debug)]
struct ShardAssignment {
    shard: Arc<str>,
    tasks: Vec<u32>,
}
