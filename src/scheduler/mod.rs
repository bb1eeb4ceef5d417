//! The scheduler that the leader runs: it keeps track of which tasks are unassigned, which
//! shard each assigned task belongs to and which completions have to be committed. Like
//! [`crate::shard`] it performs no I/O: the time and the shards' reports are passed in.
//!
//! Every unfinished task of a job is in one of three states: unassigned (confirmed to run
//! on no machine), assigned (one shard is responsible for it) or unreconciled (its location
//! has not been established since the epoch started). Unreconciled tasks are never
//! assigned.
//!
//! Terms: a job is zone-constrained if all its tasks must run in one zone (`one_zone`) or
//! one zone may take at most half of them (`scatter`). An allowance is the number of
//! further tasks of such a job that a zone may take. A team borrows when it uses more than
//! its guaranteed resources.

pub mod bin_packing;
pub mod capacity;
mod completions;
mod earlier_copies;
mod epoch;
mod events;
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
mod unread_jobs;
mod urgency;
mod usage;

pub use completions::FinishedTasks;
pub use failures::MachineFault;
pub use machines::{MachineSnapshot, ShardView, TrackedMachine};
pub use progress::{ReconciliationProgress, SchedulingCounts};
pub use urgency::CompletionObjectives;

use crate::autoscaler::PendingDemand;
use crate::clock::{self, Seconds};
use crate::config::settings::{Settings, Team};
use crate::scheduler::capacity::NameInterner;
use crate::wire::{JobId, MachineId};
use epoch::LeaderEpoch;
use events::LeaderEvents;
use finchwood_types::token::MAX_COUNTER;
use job_entry::{AssignmentNumbers, JobEntry, TaskAssignment};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use unread_jobs::UnreadJobs;

/// The settings that the assignment of tasks depends on.
#[derive(Debug)]
struct AssignmentPolicy {
    /// The teams by name. A team that is not in the settings has a guarantee and a limit of
    /// zero.
    teams: HashMap<Arc<str>, Team>,
    /// The number of seconds within which tasks of a class should start. Classes without a
    /// start objective are absent.
    start_objectives_s: HashMap<Arc<str>, f64>,
    /// Classes with an objective of any kind.
    classes_with_objectives: HashSet<Arc<str>>,
    completion_objectives: CompletionObjectives,
    /// The interval at which workers and shards report.
    report_s: Seconds,
    /// How long the tasks of a gang wait for each other to start.
    gang_wait_s: Seconds,
    /// The time after which every lease that a machine's previous owner may have renewed
    /// has expired: the workers' lease and the members' lease, both with a margin for clock
    /// drift.
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
            completion_objectives: CompletionObjectives::new(settings),
            report_s: workers.report_s,
            gang_wait_s: workers.gang_wait_s,
            takeover_s: clock::with_drift_margin(workers.lease_s)
                + clock::with_drift_margin(settings.member_lease_s()),
        }
    }
}

/// The scheduling state of the leader. It is kept from the previous epoch if the same
/// process led that one too, and is rebuilt from the key-value store and the shards'
/// reports otherwise.
#[derive(Debug)]
pub struct Leader {
    epoch: LeaderEpoch,
    policy: AssignmentPolicy,
    /// The jobs that have not ended, and ended ones with assigned or unreconciled tasks.
    jobs: BTreeMap<JobId, JobEntry>,
    /// What shards list of jobs that are not in the cache yet.
    unread_jobs: UnreadJobs,
    /// The shards that have reported in this epoch, by the name of their controller.
    pub shards: BTreeMap<String, ShardView>,
    /// The interned names of machine types, zones, shards and images.
    names: NameInterner,
    /// The highest attempt counter that may be used in an epoch.
    pub attempt_limit: u64,
    /// Whether gangs are assigned; see [`Leader::set_gangs_allowed`].
    gangs_allowed: bool,
    /// Machines that take no new tasks because they are to be returned to the cloud.
    pub draining: BTreeSet<MachineId>,
    /// Machines whose service replicas are being moved to other machines, so that they can
    /// be returned.
    pub consolidating: BTreeSet<MachineId>,
    /// The jobs whose tasks failed on each machine.
    failed_jobs_by_machine: failures::FailedJobsByMachine,
    /// Machines that are suspected or proven to be faulty: they take no new tasks.
    faulty: BTreeSet<MachineId>,
    /// CPUs on on-demand machines that are kept free for future services.
    pub reserved_cpus: f64,
    /// Whether nothing may be preempted for now, since unreconciled machines may turn out to
    /// have free capacity.
    pub preemption_suspended: bool,
    /// Tasks for which the last round found no capacity; the autoscaler rents machines for
    /// them.
    pub pending_demand: Vec<PendingDemand>,
    /// Teams that use more than they are guaranteed, in ascending order of name.
    borrowing: Vec<Arc<str>>,
    /// The job at which the last round ran out of time; the next round starts there.
    resume_from: Option<JobId>,
    /// What has happened since the last log lines.
    events: LeaderEvents,
}

impl Leader {
    /// Creates the state of a leader that has not started an epoch yet.
    pub fn new(settings: &Settings) -> Leader {
        Leader {
            epoch: LeaderEpoch::default(),
            policy: AssignmentPolicy::new(settings),
            jobs: BTreeMap::new(),
            unread_jobs: UnreadJobs::default(),
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
            events: LeaderEvents::default(),
        }
    }
}

/// Tasks of one job that are assigned to the same shard.
#[derive(Debug)]
struct ShardAssignment {
    shard: Arc<str>,
    tasks: Vec<u32>,
}
