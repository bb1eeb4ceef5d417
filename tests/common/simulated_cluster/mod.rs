//! A simulated cluster that loses, delays and repeats messages, pauses workers, partitions
//! workers and controllers, crashes controllers and interrupts the key-value store.
//!
//! The shards, leaders and transfers of hash ranges are the real code under test; the workers,
//! the network and the key-value store are simple models. A seed determines the whole run.
//! Every start of a task is checked as it happens.

mod checks;
mod controllers;
mod faults;
mod gangs;
mod jobs;
mod machine_registry;
mod membership;
mod network;
mod own_writes;
mod returning_commands;
#[path = "../settings.rs"]
mod settings_text;
mod shard_transfers;
mod state_store;
mod statistics;
mod workers;

use controllers::Controller;
pub(crate) use faults::FaultPlan;
use faults::{DeposedLeader, HeldHeartbeats, PendingRecovery};
use finchwood::config::settings::Settings;
use finchwood::store::records::Epoch;
use finchwood::store::KeyChange;
use finchwood::wire::{Catalog, JobSpec, MachineType};
use finchwood_sharding::shard_map::ShardMap;
use gangs::GangRun;
use machine_registry::ConditionalPageWrite;
use network::Packet;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use returning_commands::{AnsweredCommand, LastReturn};
pub(crate) use returning_commands::{CopyKind, QuickReturn};
use settings_text::SETTINGS;
use state_store::{ConditionalFinishWrite, ConditionalShardMapWrite};
pub(crate) use statistics::Statistics;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use workers::Worker;

const CONTROLLERS: [&str; 5] = ["a", "b", "c", "d", "e"];
const INITIAL_MACHINES: usize = 5;
/// Job numbers are below this limit.
const JOB_NUMBERS: u32 = 60;
const WORKER_LEASE_S: f64 = 20.0;
/// The duration of a controller's member lease.
const MEMBER_LEASE_S: f64 = WORKER_LEASE_S * 0.4;
const TEAM_CPU_LIMIT: f64 = 14.0;
/// The length of one round of the simulation.
const STEP_S: f64 = 0.1;

/// A message or a write, and the time at which it takes effect.
struct Scheduled<T> {
    due_at: f64,
    item: T,
}

/// Controllers, workers, the network between them and the key-value store.
pub(crate) struct SimulatedCluster {
    settings: Settings,
    rng: StdRng,
    now: f64,
    /// The log of all changes to the key-value store, in order.
    store_log: Vec<KeyChange>,
    revision: u64,
    epoch: Epoch,
    /// Which faults are injected.
    fault_plan: FaultPlan,
    /// Whether all controllers use the shard map and hash ranges are transferred.
    uses_shard_map: bool,
    shard_map: ShardMap,
    shard_map_revision: u64,
    /// Writes of the shard map that are carried out late and whose writer gets no response.
    delayed_shard_map_writes: Vec<Scheduled<ConditionalShardMapWrite>>,
    last_incarnation: u64,
    controllers: Vec<Controller>,
    workers: Vec<Worker>,
    packets: Vec<Scheduled<Packet>>,
    next_job: u32,
    specs: HashMap<Arc<str>, Arc<JobSpec>>,
    gangs: HashSet<Arc<str>>,
    /// The gang attempts that have started to run, by job and attempt.
    gang_runs: HashMap<(Arc<str>, u64), GangRun>,
    /// Gangs whose tasks have completed, whether or not a controller has received this.
    completed_gangs: HashSet<Arc<str>>,
    /// The tasks of each job that are committed as finished.
    finished: HashMap<Arc<str>, HashSet<u32>>,
    /// When the cancellation of each cancelled job was confirmed.
    cancelled: HashMap<Arc<str>, f64>,
    /// Commits of finished tasks that are carried out late and whose writer gets no response.
    delayed_finishes: Vec<Scheduled<ConditionalFinishWrite>>,
    /// Writes of registry pages that are carried out late and whose writer gets no response.
    delayed_page_writes: Vec<Scheduled<ConditionalPageWrite>>,
    /// The key-value store responds to no controller before this time.
    store_outage_until: f64,
    /// When many jobs are to be cancelled at once, while or after the store refuses one
    /// controller; `None` if that is not planned.
    mass_cancellation_at: Option<f64>,
    /// The controller that is to recover next; `None` while none has failed.
    recovery: Option<PendingRecovery>,
    /// The machines whose heartbeats are held back, by the fault plan of that name.
    held_heartbeats: Option<HeldHeartbeats>,
    /// Copies of direct commands that were carried out and answered, by the fault plan of that
    /// name.
    answered_commands: Vec<AnsweredCommand>,
    /// When a controller or a worker was last back within a second, by the same fault plan.
    last_return: Option<LastReturn>,
    /// When the leader is to be deposed; `None` if that is not planned.
    leader_deposed_at: Option<f64>,
    /// The last leader that a new epoch has excluded, by the fault plan of that name.
    deposed_leader: Option<DeposedLeader>,
    /// Whether the faults and the submissions have ended for good.
    faults_ended: bool,
    statistics: Statistics,
}

impl SimulatedCluster {
    /// Returns a cluster whose controllers have all joined but have reconciled no machine.
    pub(crate) fn new(seed: u64, uses_shard_map: bool, fault_plan: FaultPlan) -> SimulatedCluster {
        let mut cluster = SimulatedCluster {
            settings: settings(),
            rng: StdRng::seed_from_u64(seed),
            now: 0.0,
            store_log: Vec::new(),
            revision: 0,
            epoch: Epoch {
                number: 0,
                members: BTreeMap::new(),
                leader: String::new(),
                uses_shard_map: false,
            },
            fault_plan,
            uses_shard_map,
            shard_map: ShardMap::default(),
            shard_map_revision: 0,
            delayed_shard_map_writes: Vec::new(),
            last_incarnation: 0,
            controllers: Vec::new(),
            workers: Vec::new(),
            packets: Vec::new(),
            next_job: 1,
            specs: HashMap::new(),
            gangs: HashSet::new(),
            gang_runs: HashMap::new(),
            completed_gangs: HashSet::new(),
            finished: HashMap::new(),
            cancelled: HashMap::new(),
            delayed_finishes: Vec::new(),
            delayed_page_writes: Vec::new(),
            store_outage_until: 0.0,
            mass_cancellation_at: None,
            recovery: None,
            held_heartbeats: None,
            answered_commands: Vec::new(),
            last_return: None,
            leader_deposed_at: None,
            deposed_leader: None,
            faults_ended: false,
            statistics: Statistics::default(),
        };
        cluster.put_catalog();
        for _ in 0..INITIAL_MACHINES {
            cluster.add_machine();
        }
        for index in 0..CONTROLLERS.len() {
            cluster.controllers.push(Controller::stopped(index));
        }
        for index in 0..CONTROLLERS.len() {
            cluster.start_controller(index);
        }
        cluster
    }

    /// Returns the counts of what has happened so far.
    pub(crate) fn statistics(&self) -> &Statistics {
        &self.statistics
    }

    /// Runs the simulation until the time `end_s`, in seconds from its start.
    pub(crate) fn run_until(&mut self, end_s: f64) {
        while self.now < end_s {
            self.now += STEP_S;
            self.deliver_due_packets();
            self.return_answered_commands();
            self.carry_out_delayed_writes();
            for index in 0..self.workers.len() {
                self.worker_round(index);
            }
            self.gang_round();
            self.check_cancelled();
            for index in 0..CONTROLLERS.len() {
                if self.rng.gen_bool(0.5) {
                    self.controller_round(index);
                }
                self.remove_member_if_lease_expired(index);
            }
            if self.faults_ended || self.now < self.store_outage_until {
                continue;
            }
            self.users_round();
            self.inject_faults();
        }
    }

    /// Stores a catalog with one machine type, which is offered in the zones `z0` and `z1`.
    fn put_catalog(&mut self) {
        let machine_type = MachineType {
            name: "k".into(),
            cpus: 4.0,
            gpus: 0.0,
            mem_gb: 64.0,
            cache_gb: 10.0,
            fetch_gb_per_s: 1.0,
            price: 1.0,
            spot_price: 0.5,
            boot_s: 5.0,
            zones: vec!["z0".into(), "z1".into()],
        };
        let catalog = Catalog {
            types: vec![machine_type],
        };
        self.put("fw/c", serde_json::to_value(catalog).expect("a JSON value"));
    }
}

/// Returns the settings of the simulated cluster.
fn settings() -> Settings {
    let limit = format!("cpus_max = {TEAM_CPU_LIMIT:.1}");
    Settings::parse(&SETTINGS.replace("cpus_max = 400.0", &limit)).expect("valid settings")
}

/// Removes and returns the items that are due, in the order in which they were scheduled.
fn take_due<T>(scheduled: &mut Vec<Scheduled<T>>, now: f64) -> Vec<T> {
    let (due, later): (Vec<_>, Vec<_>) = std::mem::take(scheduled)
        .into_iter()
        .partition(|entry| entry.due_at <= now);
    *scheduled = later;
    due.into_iter().map(|entry| entry.item).collect()
}
