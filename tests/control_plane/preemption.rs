//! Preemption: which tasks are stopped for others, and which machines are rented for tasks
//! that can wait. The real leader and shard are driven directly, without threads or a network.

use crate::builders::*;
use finchwood::clock::{wall_clock_ms, Moment};
use finchwood::scheduler::Leader;
use finchwood::shard::Shard;
use finchwood::store::cache::StoreCache;
use finchwood::store::records::{Epoch, JobRecord};
use finchwood::wire::{Command, JobSpec, TaskState};
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The leader, its only shard, and machines whose workers run every task until it is stopped.
/// Each task needs all CPUs of a machine.
struct Fleet {
    cache: StoreCache,
    leader: Leader,
    shard: Shard,
    /// The fencing token that each machine's worker has seen.
    tokens: Vec<u64>,
    /// The sequence number of the last heartbeat of any machine.
    sequence: u64,
    now: f64,
    /// The running tasks of each machine, with their attempts.
    running: Vec<BTreeMap<String, u64>>,
    /// Each task that was stopped, and when.
    stopped: Vec<(String, f64)>,
}

/// Returns an array job whose tasks need all CPUs of a machine each.
fn array(id: &str, tasks: u32, priority: &str) -> Arc<JobSpec> {
    job_spec(id, tasks, |fields| {
        fields["rank"] = priority.into();
        fields["cpus"] = 4.0.into();
    })
}

impl Fleet {
    /// Creates a fleet of machines that are all reconciled, with a single team that is
    /// guaranteed `guaranteed_cpus` CPUs. `objectives` is added to the settings.
    fn new(machines: usize, guaranteed_cpus: f64, objectives: &str) -> Fleet {
        let cache = store_cache(machines, &[]);
        let mut shard = new_shard(&cache);
        let tokens = (1..=machines)
            .map(|machine| reconcile_machine(&mut shard, &cache, machine, 0.2))
            .collect();
        let team_limits = format!("cpus = {guaranteed_cpus:.1}\ncpus_max = 400.0");
        let objectives = format!("{objectives}[params.workers]");
        let changes = [
            ("cpus_max = 400.0", team_limits.as_str()),
            ("[params.workers]", objectives.as_str()),
        ];
        let mut leader = Leader::new(&settings_with(&changes).expect("settings"));
        let members = [("a".to_string(), 7)].into_iter().collect();
        leader.start_epoch(
            &Epoch {
                number: EPOCH,
                members,
                leader: "a".into(),
                uses_shard_map: false,
            },
            7,
            &cache,
        );
        leader.apply_shard_report(shard.next_report(&cache, 0.3), &cache, 0.3);
        leader.reconcile(&cache, &|_| false);
        let running = vec![BTreeMap::new(); machines];
        Fleet {
            cache,
            leader,
            shard,
            tokens,
            sequence: 10,
            now: 1.0,
            running,
            stopped: Vec::new(),
        }
    }

    /// Stores a job that was accepted in this epoch, `seconds_ago` seconds ago by the wall
    /// clock.
    fn submit(&mut self, spec: &Arc<JobSpec>, seconds_ago: i64) {
        let record = JobRecord {
            task_count: spec.task_count,
            spec: Some(spec.clone()),
            epoch: EPOCH,
            accepted_at_ms: wall_clock_ms().saturating_add_signed(-seconds_ago * 1000),
            cancelled: false,
            done: false,
            cancelled_at_ms: None,
        };
        let revision = 100 + self.cache.jobs.len() as u64;
        self.cache
            .put(&format!("fw/j/{}", spec.id), json!(record), revision);
        self.leader.job_changed(&spec.id, &self.cache);
    }

    /// Runs a round of half a second: the shard reports, the leader assigns tasks, the shard
    /// places or preempts tasks, and the machines send heartbeats.
    fn step(&mut self) {
        self.now += 0.5;
        self.leader.apply_shard_report(
            self.shard.next_report(&self.cache, self.now),
            &self.cache,
            self.now,
        );
        self.leader.assign_tasks(&self.cache, self.now, || true);
        let orders = self.leader.orders("a").expect("orders");
        self.shard.apply_orders(&orders, &self.cache, self.now);
        self.shard.place_queued(
            &self.cache,
            Moment {
                now: self.now,
                wall_clock_ms: wall_clock_ms(),
            },
            || true,
        );
        for machine in 0..self.running.len() {
            self.send_heartbeat(machine);
        }
    }

    /// Sends the heartbeat of a machine, and executes the commands of the reply.
    fn send_heartbeat(&mut self, machine: usize) {
        self.sequence += 1;
        let running = &self.running[machine];
        let reported_tasks: Vec<ReportedTask> = running
            .iter()
            .map(|(task, attempt)| (task.as_str(), *attempt, TaskState::Running, None))
            .collect();
        let heartbeat = heartbeat_from(
            machine + 1,
            1,
            self.sequence,
            self.tokens[machine],
            &reported_tasks,
        );
        let (token, commands) =
            accepted(
                self.shard
                    .apply_heartbeat(&heartbeat, false, &self.cache, self.now),
            );
        self.tokens[machine] = token;
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    self.running[machine].insert(task, attempt);
                }
                Command::Stop { task, .. } => {
                    self.running[machine].remove(&task);
                    self.stopped.push((task, self.now));
                }
                Command::Forget { .. } => {}
            }
        }
    }

    /// Runs rounds for this many seconds of simulated time.
    fn run_for(&mut self, seconds: f64) {
        (0..(seconds * 2.0) as usize).for_each(|_| self.step());
    }

    /// Returns the number of running tasks of a job.
    fn tasks_of(&self, job: &str) -> usize {
        self.running
            .iter()
            .flat_map(BTreeMap::keys)
            .filter(|task| task.starts_with(job))
            .count()
    }
}

#[test]
fn standard_jobs_preempt_low_priority_arrays_of_borrowing_teams() {
    let mut fleet = Fleet::new(4, 0.0, "");
    fleet.submit(&array("wk-low", 8, "low"), 0);
    fleet.run_for(40.0);
    assert_eq!(
        fleet.tasks_of("wk-low"),
        4,
        "the low-priority tasks do not fill all machines"
    );
    fleet.submit(&array("wk-standard", 2, "standard"), 60);
    fleet.run_for(5.0);
    assert_eq!(
        (fleet.tasks_of("wk-standard"), fleet.tasks_of("wk-low")),
        (2, 2),
        "{:?}",
        fleet.stopped
    );
}

#[test]
fn low_priority_arrays_within_their_teams_guarantee_are_not_preempted() {
    let mut fleet = Fleet::new(4, 400.0, "");
    fleet.submit(&array("wk-low", 8, "low"), 0);
    fleet.run_for(40.0);
    fleet.submit(&array("wk-standard", 2, "standard"), 60);
    fleet.run_for(20.0);
    assert_eq!(
        (fleet.tasks_of("wk-standard"), fleet.tasks_of("wk-low")),
        (0, 4)
    );
}

// A start counts for users only once the task has run for 30 s.
#[test]
fn standard_jobs_do_not_preempt_tasks_whose_start_does_not_count_yet() {
    let mut fleet = Fleet::new(4, 0.0, "");
    fleet.submit(&array("wk-low", 8, "low"), 0);
    fleet.run_for(3.0);
    fleet.submit(&array("wk-standard", 2, "standard"), 60);
    fleet.run_for(20.0);
    assert_eq!(
        fleet.tasks_of("wk-standard"),
        0,
        "tasks were preempted before their starts counted"
    );
    fleet.run_for(20.0);
    assert_eq!(fleet.tasks_of("wk-standard"), 2);
    assert!(
        fleet.stopped.iter().all(|stop| stop.1 > 30.0),
        "{:?}",
        fleet.stopped
    );
}

#[test]
fn a_job_submitted_just_now_preempts_nothing() {
    let mut fleet = Fleet::new(4, 0.0, "");
    fleet.submit(&array("wk-low", 8, "low"), 0);
    fleet.run_for(40.0);
    // The job is accepted an hour from now, so that it counts as just submitted however long the
    // test takes.
    fleet.submit(&array("wk-standard", 2, "standard"), -3600);
    fleet.run_for(20.0);
    assert_eq!(fleet.stopped, []);
}

#[test]
fn a_service_preempts_the_only_task_of_a_job_last() {
    let mut fleet = Fleet::new(3, 0.0, "");
    fleet.submit(&array("wk-many", 2, "low"), 0);
    fleet.run_for(10.0);
    fleet.submit(&array("wk-single", 1, "low"), 0);
    fleet.run_for(3.0);
    assert_eq!(
        (fleet.tasks_of("wk-many"), fleet.tasks_of("wk-single")),
        (2, 1)
    );
    let service = job_spec("wk-service", 1, |fields| {
        fields["rank"] = "prod".into();
        fields["shape"] = "standing".into();
        fields["cpus"] = 4.0.into();
    });
    fleet.submit(&service, 0);
    fleet.run_for(5.0);
    assert_eq!(fleet.tasks_of("wk-service"), 1);
    assert_eq!(
        fleet.tasks_of("wk-single"),
        1,
        "the only task of a job, the most recently started, was preempted: {:?}",
        fleet.stopped
    );
}

const OBJECTIVE: &str =
    "[[params.objectives]]\nkind = \"finished\"\nclass = \"f\"\nwithin_s = 100.0\nshare = 0.9\n";

/// Returns the pending demand of a low-priority array of ten tasks that was accepted
/// `seconds_ago` seconds ago, while another one occupies all machines: the number of tasks,
/// and whether they wait for spot machines only.
fn pending_demand(guaranteed_cpus: f64, objectives: &str, seconds_ago: i64) -> (u32, bool) {
    let mut fleet = Fleet::new(2, guaranteed_cpus, objectives);
    fleet.submit(&array("wk-first", 2, "low"), 0);
    fleet.run_for(3.0);
    fleet.submit(&array("wk-low", 10, "low"), seconds_ago);
    fleet.run_for(1.0);
    let demand = fleet
        .leader
        .pending_demand
        .iter()
        .find(|demand| &*demand.spec.id == "wk-low")
        .expect("the job has pending demand");
    (demand.count, demand.spot_only)
}

#[test]
fn borrowing_low_priority_jobs_get_on_demand_machines_only_when_overdue_or_with_an_objective() {
    assert_eq!(pending_demand(0.0, "", 20), (10, true));
    assert_eq!(
        pending_demand(0.0, "", 100),
        (1, false),
        "expected a machine of any kind for one task of a job whose start is overdue"
    );
    assert_eq!(
        pending_demand(0.0, OBJECTIVE, 20),
        (10, false),
        "expected machines of any kind for a job whose class has an objective"
    );
    assert_eq!(
        pending_demand(400.0, "", 20),
        (10, false),
        "expected machines of any kind for a job within its team's guarantee"
    );
}
