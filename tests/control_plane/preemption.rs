//! Which work is stopped for other work, and which machines are rented for work that
//! may wait. The real leader and shard, driven directly.

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

/// Tasks fill a machine each, and run until they are stopped.
struct Fleet {
    cache: StoreCache,
    leader: Leader,
    shard: Shard,
    tokens: Vec<u64>,
    seq: u64,
    now: f64,
    running: Vec<BTreeMap<String, u64>>,
    /// Job and time of each stop.
    stopped: Vec<(String, f64)>,
}

/// An array of `priority` whose tasks fill a machine each.
fn array(id: &str, tasks: u32, priority: &str) -> Arc<JobSpec> {
    job_spec(id, tasks, |v| {
        v["rank"] = priority.into();
        v["cpus"] = 4.0.into();
    })
}

impl Fleet {
    /// Machines of a deployment in which the only team is guaranteed so many CPUs.
    fn new(machines: usize, guaranteed_cpus: f64, objectives: &str) -> Fleet {
        let cache = store_cache(machines, &[]);
        let mut shard = new_shard(&cache);
        let tokens = (1..=machines)
            .map(|machine| reconcile_machine(&mut shard, &cache, machine, 0.2))
            .collect();
        let team = format!("cpus = {guaranteed_cpus:.1}\ncpus_max = 400.0");
        let objectives = format!("{objectives}[params.workers]");
        let changes = [
            ("cpus_max = 400.0", team.as_str()),
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
            seq: 10,
            now: 1.0,
            running,
            stopped: Vec::new(),
        }
    }

    /// A job that was accepted so many seconds ago by the time of day, in this epoch.
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
            self.report(machine);
        }
    }

    fn report(&mut self, machine: usize) {
        self.seq += 1;
        let running = &self.running[machine];
        let lines: Vec<ReportedTask> = running
            .iter()
            .map(|(task, attempt)| (task.as_str(), *attempt, TaskState::Running, None))
            .collect();
        let report = heartbeat_from(machine + 1, 1, self.seq, self.tokens[machine], &lines);
        let (token, calls) =
            accepted(
                self.shard
                    .apply_heartbeat(&report, false, &self.cache, self.now),
            );
        self.tokens[machine] = token;
        for call in calls {
            match call {
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

    fn run_for(&mut self, seconds: f64) {
        (0..(seconds * 2.0) as usize).for_each(|_| self.step());
    }

    fn tasks_of(&self, job: &str) -> usize {
        self.running
            .iter()
            .flat_map(BTreeMap::keys)
            .filter(|task| task.starts_with(job))
            .count()
    }
}

#[test]
fn higher_priority_work_preempts_low_arrays_that_borrow() {
    let mut fleet = Fleet::new(4, 0.0, "");
    fleet.submit(&array("wk-low", 8, "low"), 0);
    fleet.run_for(40.0);
    assert_eq!(fleet.tasks_of("wk-low"), 4, "they fill all machines");
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
fn low_arrays_within_their_teams_guarantee_are_not_preempted() {
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

#[test]
fn a_start_that_does_not_count_yet_is_not_preempted_by_middle_priorities() {
    let mut fleet = Fleet::new(4, 0.0, "");
    fleet.submit(&array("wk-low", 8, "low"), 0);
    fleet.run_for(3.0);
    fleet.submit(&array("wk-standard", 2, "standard"), 60);
    fleet.run_for(20.0);
    assert_eq!(
        fleet.tasks_of("wk-standard"),
        0,
        "it waits for the starts to count"
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
fn a_job_that_was_only_just_submitted_preempts_nothing() {
    let mut fleet = Fleet::new(4, 0.0, "");
    fleet.submit(&array("wk-low", 8, "low"), 0);
    fleet.run_for(40.0);
    // Ahead of the time of day: the test doesn't depend on how long it takes.
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
    let service = job_spec("wk-service", 1, |v| {
        v["rank"] = "prod".into();
        v["shape"] = "standing".into();
        v["cpus"] = 4.0.into();
    });
    fleet.submit(&service, 0);
    fleet.run_for(5.0);
    assert_eq!(fleet.tasks_of("wk-service"), 1);
    assert_eq!(
        fleet.tasks_of("wk-single"),
        1,
        "though it is the youngest: {:?}",
        fleet.stopped
    );
}

const OBJECTIVE: &str =
    "[[params.objectives]]\nkind = \"finished\"\nclass = \"f\"\nwithin_s = 100.0\nshare = 0.9\n";

/// What is wanted for a low array of ten that has waited so long, beside another
/// that fills the machines: the number of tasks, and whether spot machines only.
fn wanted(guaranteed_cpus: f64, objectives: &str, seconds_ago: i64) -> (u32, bool) {
    let mut fleet = Fleet::new(2, guaranteed_cpus, objectives);
    fleet.submit(&array("wk-first", 2, "low"), 0);
    fleet.run_for(3.0);
    fleet.submit(&array("wk-low", 10, "low"), seconds_ago);
    fleet.run_for(1.0);
    let demand = fleet
        .leader
        .pending_demand
        .iter()
        .find(|w| &*w.spec.id == "wk-low")
        .expect("it has no room");
    (demand.count, demand.spot_only)
}

#[test]
fn ordinary_machines_are_rented_for_low_borrowed_work_only_to_begin_it_or_for_an_objective() {
    assert_eq!(wanted(0.0, "", 20), (10, true));
    assert_eq!(
        wanted(0.0, "", 100),
        (1, false),
        "one machine, so that it begins"
    );
    assert_eq!(
        wanted(0.0, OBJECTIVE, 20),
        (10, false),
        "its class has an objective"
    );
    assert_eq!(
        wanted(400.0, "", 20),
        (10, false),
        "it is within its team's guarantee"
    );
}
