//! Simulated controllers. Each drives a real shard, leader and set of transfers in rounds, and
//! feeds them from the log of the key-value store.

use super::network::{DirectCommandPacket, Packet};
use super::state_store::ConditionalFinishWrite;
use super::{
    membership::controller_index, settings, FaultPlan, Scheduled, SimulatedCluster, CONTROLLERS,
    MEMBER_LEASE_S, WORKER_LEASE_S,
};
use finchwood::clock::Moment;
use finchwood::cluster::membership;
use finchwood::scheduler::{FinishedTasks, Leader};
use finchwood::shard::{DirectCommand, Orders, Shard, ShardReport, Timing};
use finchwood::store::cache::{CacheChange, StoreCache};
use finchwood::store::leader_fencing::completion_conditions;
use finchwood::store::records::Epoch;
use finchwood::store::{KeyChange, KeyValue};
use finchwood_sharding::transfer::Transfers;
use rand::Rng;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

/// The interval between heartbeats that the shards assume.
const REPORT_S: f64 = 3.0;
/// With the fault plan [`FaultPlan::HeartbeatsOutliveMachines`], a machine that leaves direct commands
/// unanswered is deleted after this many report intervals without a heartbeat.
const MAX_UNANSWERED_REPORTS: f64 = 2.0;
/// How long a leader remembers at least that a machine was deleted.
const DELETIONS_REMEMBERED_S: f64 = 3.0 * WORKER_LEASE_S;
/// The size limit of stored values that the caches assume.
const MAX_VALUE_KB: f64 = 8.0;
/// The limit on commits of finished tasks per round. Commits that end a job are not limited.
const MAX_COMMITS: usize = 9;

/// A controller and what it has read of the key-value store.
pub(super) struct Controller {
    name: &'static str,
    pub(super) incarnation: u64,
    pub(super) alive: bool,
    /// When it last read the log of the key-value store.
    pub(super) last_synced_at: f64,
    /// The time before which it is partitioned from the key-value store and the other
    /// controllers.
    pub(super) partitioned_until: f64,
    /// The time before which the key-value store responds to the others but not to it.
    pub(super) refused_until: f64,
    /// The time before which the answer to its reading of the key-value store is under way. Its
    /// writes are answered meanwhile.
    pub(super) reading_delayed_until: f64,
    pub(super) cache: StoreCache,
    /// The number of changes that it has read from the store's log.
    changes_read: usize,
    pub(super) shard: Shard,
    pub(super) leader: Leader,
    pub(super) transfers: Transfers,
    /// Until when it waits for the outcome of its last write of each registry page.
    pub(super) page_writes: HashMap<Arc<str>, f64>,
    /// The machines whose deletion the cloud has confirmed to it, and when.
    pub(super) known_deleted: HashMap<String, f64>,
    /// When a write of the shard map was refused, until a later read of the store shows the
    /// reason; `None` otherwise.
    pub(super) shard_map_refused_at: Option<f64>,
}

/// What a leader decided in one round.
#[derive(Default)]
struct LeaderDecisions {
    /// Finished tasks to commit.
    finishes: Vec<FinishedTasks>,
    /// Machines to delete and replace.
    machines_to_replace: Vec<String>,
    orders: Vec<Orders>,
}

impl Controller {
    /// Returns a controller that is not running and has read nothing from the store.
    pub(super) fn stopped(index: usize) -> Controller {
        let timing = Timing {
            report_s: REPORT_S,
            lease_s: WORKER_LEASE_S,
            member_lease_s: MEMBER_LEASE_S,
        };
        Controller {
            name: CONTROLLERS[index],
            incarnation: 0,
            alive: false,
            last_synced_at: 0.0,
            partitioned_until: 0.0,
            refused_until: 0.0,
            reading_delayed_until: 0.0,
            cache: StoreCache::new(MAX_VALUE_KB),
            changes_read: 0,
            shard: Shard::new(CONTROLLERS[index], timing, HashMap::new()),
            leader: Leader::new(&settings()),
            transfers: Transfers::default(),
            page_writes: HashMap::new(),
            known_deleted: HashMap::new(),
            shard_map_refused_at: None,
        }
    }

    /// Returns a controller that has just started in this incarnation.
    pub(super) fn started(index: usize, incarnation: u64, now: f64) -> Controller {
        Controller {
            alive: true,
            incarnation,
            last_synced_at: now,
            ..Controller::stopped(index)
        }
    }

    /// Returns the latest epoch that the controller has read, if it has entered that epoch as
    /// a member.
    pub(super) fn entered_epoch(&self) -> Option<Epoch> {
        let epoch = self.cache.epoch.as_ref()?;
        let is_member = epoch.members.get(self.name) == Some(&self.incarnation);
        let has_entered = self.alive && self.shard.epoch() == epoch.number;
        (is_member && has_entered && epoch.number > 0).then(|| epoch.clone())
    }

    /// Passes a changed job record on to the shard and, on the leading controller, the leader.
    pub(super) fn job_changed(&mut self, job: &Arc<str>) {
        self.shard.job_changed(job, &self.cache);
        let epoch = self.cache.epoch.as_ref();
        if epoch.is_some_and(|epoch| epoch.leader == self.name) {
            self.leader.job_changed(job, &self.cache);
        }
    }

    /// Reads and applies the changes in the log of the key-value store since the last read.
    fn read_store(&mut self, log: &[KeyChange], now: f64) {
        self.last_synced_at = now;
        self.leader.record_reading(now);
        if self.changes_read == 0 {
            return self.read_snapshot(log, now);
        }
        while self.changes_read < log.len() {
            let change = log[self.changes_read].clone();
            self.changes_read += 1;
            match self.cache.apply(change) {
                CacheChange::Epoch => self.epoch_changed(now),
                CacheChange::Job(id) => self.job_changed(&id),
                CacheChange::Machines(ids) => {
                    for id in ids {
                        self.registry_changed(&id, now);
                    }
                }
                CacheChange::ShardMap => self.shard_map_changed(now),
                _ => {}
            }
        }
    }

    /// Reads all keys in their order, as a process does when it starts.
    fn read_snapshot(&mut self, log: &[KeyChange], now: f64) {
        self.changes_read = log.len();
        let mut state: BTreeMap<&str, KeyValue> = BTreeMap::new();
        for change in log {
            match change {
                KeyChange::Put {
                    key,
                    value,
                    revision,
                } => {
                    let entry = KeyValue {
                        key: key.clone(),
                        value: value.clone(),
                        revision: *revision,
                    };
                    state.insert(key, entry);
                }
                KeyChange::Delete { key, .. } => {
                    state.remove(key.as_str());
                }
            }
        }
        self.cache.load(state.into_values().collect());
        if self.cache.epoch.is_some() {
            self.epoch_changed(now);
        }
        let jobs: Vec<Arc<str>> = self.cache.jobs.keys().cloned().collect();
        for job in jobs {
            self.job_changed(&job);
        }
        let machines: Vec<Arc<str>> = self.cache.registry.keys().cloned().collect();
        for machine in machines {
            self.registry_changed(&machine, now);
        }
    }

    /// Enters the epoch that was just read, if this controller is a member of it.
    fn epoch_changed(&mut self, now: f64) {
        let name = self.name;
        let epoch = self.cache.epoch.clone().expect("an epoch in the cache");
        if epoch.members.get(self.name) != Some(&self.incarnation) {
            return;
        }
        let shard_map = self.cache.shard_map.clone();
        let owns = |machine: &str| {
            membership::owner_by_shard_map(&epoch, &shard_map, machine) == Some(name)
        };
        self.shard
            .start_epoch(epoch.number, self.incarnation, &self.cache, now, owns);
        self.transfers.abort_all(now);
        self.shard_map_refused_at = None;
        if epoch.leader == self.name {
            self.leader
                .start_epoch(&epoch, self.incarnation, &self.cache);
        }
    }

    /// Registers a changed machine with the shard if this controller owns it, or unregisters
    /// it if it is no longer in the machine registry.
    pub(super) fn registry_changed(&mut self, id: &Arc<str>, now: f64) {
        let Some(machine) = self.cache.registry.get(id) else {
            self.shard.unregister_machine(id);
            return;
        };
        let shard_map = &self.cache.shard_map;
        let owner = self
            .cache
            .epoch
            .as_ref()
            .and_then(|epoch| membership::owner_by_shard_map(epoch, shard_map, id));
        if owner == Some(self.name) {
            self.shard
                .register_machine(id, &machine.record.clone(), now);
        }
    }

    /// Applies the shard map that was just read, if the entered epoch uses it.
    fn shard_map_changed(&mut self, now: f64) {
        let name = self.name;
        let entered = self.shard.epoch();
        let current = self.cache.epoch.clone();
        let Some(epoch) = current.filter(|epoch| epoch.uses_shard_map && epoch.number == entered)
        else {
            return;
        };
        let shard_map = self.cache.shard_map.clone();
        self.shard.apply_shard_map(&self.cache, now, |machine| {
            membership::owner_by_shard_map(&epoch, &shard_map, machine) == Some(name)
        });
    }

    /// Expires leases and places tasks. Returns the direct commands and the report to send.
    fn shard_round(&mut self, now: f64) -> (Vec<DirectCommand>, ShardReport) {
        let moment = Moment {
            now,
            wall_clock_ms: 0,
        };
        self.shard.expire_leases(now);
        self.shard.place_queued(&self.cache, moment, || true);
        self.shard.forget_finished(&self.cache, now);
        let commands = self.shard.due_commands(&self.cache, now);
        (commands, self.shard.next_report(&self.cache, now))
    }

    /// Assigns tasks and returns what is to be done. Tasks are committed and machines deleted
    /// only while the controller reaches the key-value store.
    fn leader_round(
        &mut self,
        now: f64,
        deleted: &HashSet<String>,
        reaches_store: bool,
        max_unanswered_s: f64,
        evict_after_s: f64,
    ) -> LeaderDecisions {
        let mut decisions = LeaderDecisions::default();
        self.leader
            .reconcile(&self.cache, &|id| deleted.contains(&**id));
        self.leader.assign_tasks(&self.cache, now, || true);
        if reaches_store {
            decisions.finishes = self
                .leader
                .completions_to_commit(now, MAX_COMMITS, &self.cache);
            for finish in &decisions.finishes {
                self.leader
                    .record_commit_outcome(&finish.job, now, now + 1.0);
            }
            decisions.machines_to_replace =
                self.machines_to_replace(now, max_unanswered_s, evict_after_s);
        }
        decisions.orders = CONTROLLERS
            .iter()
            .filter_map(|name| self.leader.orders(name))
            .collect();
        for orders in &mut decisions.orders {
            orders.transfers = self.transfers.orders_for(&orders.node);
        }
        decisions
    }

    /// Returns the machines that it knows to be deleted. It forgets them after a while, once they
    /// are no longer registered.
    fn remembered_deletions(&mut self, now: f64) -> HashSet<String> {
        let registry = &self.cache.registry;
        self.known_deleted.retain(|id, at| {
            now - *at < DELETIONS_REMEMBERED_S || registry.contains_key(id.as_str())
        });
        self.known_deleted.keys().cloned().collect()
    }

    /// Returns at most one machine that ignores commands or is silent, and all machines on
    /// which cancelled tasks could run for too long.
    fn machines_to_replace(
        &self,
        now: f64,
        max_unanswered_s: f64,
        evict_after_s: f64,
    ) -> Vec<String> {
        let mut machines: Vec<String> = self
            .leader
            .machines_at(now)
            .filter(|machine| !self.known_deleted.contains_key(&*machine.id))
            .filter(|machine| {
                let max_silence_s = match machine.unanswered_s {
                    Some(_) => max_unanswered_s,
                    None => WORKER_LEASE_S,
                };
                machine.ignores_commands || machine.silent_s > max_silence_s
            })
            .map(|machine| machine.id.to_string())
            .take(1)
            .collect();
        let now_ms = (now * 1000.0) as u64;
        let with_cancelled_tasks =
            self.leader
                .machines_with_cancelled_tasks(&self.cache, now_ms, evict_after_s);
        machines.extend(with_cancelled_tasks.iter().map(ToString::to_string));
        machines
    }
}

impl SimulatedCluster {
    /// Runs one round of a controller: it usually reads the store, if it can reach it, and
    /// acts if its cache is fresh enough and it is a member of the epoch.
    pub(super) fn controller_round(&mut self, index: usize) {
        let now = self.now;
        let reaches_store = self.store_responds_to(index) && self.reaches_peers(index);
        // The cache may lag behind the store. A controller with a stale cache does not act.
        let reading_arrives = now >= self.controllers[index].reading_delayed_until;
        if self.controllers[index].alive
            && reaches_store
            && reading_arrives
            && self.rng.gen_bool(0.8)
        {
            self.controllers[index].read_store(&self.store_log, now);
        }
        if !self.may_act(index) {
            return;
        }
        let Some(epoch) = self.controllers[index].entered_epoch() else {
            return;
        };
        let leads = epoch.leader == CONTROLLERS[index];
        if self.uses_shard_map && leads {
            self.transfer_round(index, reaches_store);
        }
        let deleted = self.controllers[index].remembered_deletions(now);
        let evict_after_s = self.settings.evict_after_s();
        let max_unanswered_s = match self.fault_plan {
            FaultPlan::HeartbeatsOutliveMachines => REPORT_S * MAX_UNANSWERED_REPORTS,
            FaultPlan::All
            | FaultPlan::NewMachinesMeetNewEpochs
            | FaultPlan::DeposedLeadersAcceptJobs
            | FaultPlan::DeposedEarlierVersionsAcceptJobs
            | FaultPlan::AnsweredCommandsReturn => WORKER_LEASE_S,
        };
        let controller = &mut self.controllers[index];
        let (commands, report) = controller.shard_round(now);
        let decisions = if leads {
            controller.leader_round(
                now,
                &deleted,
                reaches_store,
                max_unanswered_s,
                evict_after_s,
            )
        } else {
            LeaderDecisions::default()
        };
        if leads && reaches_store {
            self.registry_round(index, &deleted);
        }
        for command in commands {
            self.send_direct_command(index, command);
        }
        for machine in decisions.machines_to_replace {
            self.replace_machine(&machine, index);
        }
        for finish in decisions.finishes {
            self.send_finish(index, finish);
        }
        if !self.reaches_peers(index) {
            return;
        }
        self.send(Packet::ShardReport {
            to: controller_index(&epoch.leader).expect("the index of the leader"),
            report: Box::new(report),
        });
        for orders in decisions.orders {
            self.send_orders(orders);
        }
    }

    /// Sends a direct command to the worker of its machine. Some commands time out for the
    /// sender although they may still be carried out.
    fn send_direct_command(&mut self, index: usize, command: DirectCommand) {
        let worker = self
            .worker_on(&command.machine)
            .expect("a worker on the machine");
        let incarnation = self.controllers[index].incarnation;
        if self.rng.gen_bool(0.1) {
            let controller = &mut self.controllers[index];
            controller.shard.command_completed(
                &command.machine,
                &command.body,
                None,
                &controller.cache,
                self.now,
            );
        }
        self.send(Packet::DirectCommand(DirectCommandPacket {
            from: index,
            incarnation,
            worker,
            batch: command.body,
        }));
    }

    /// Sends a commit of finished tasks to the store, which carries it out either at once or
    /// after the sender has stopped waiting.
    fn send_finish(&mut self, index: usize, finish: FinishedTasks) {
        let Some(job) = self.controllers[index].cache.jobs.get(&finish.job) else {
            return;
        };
        let led_epoch_revision = self.led_epoch_revision(index);
        let write = ConditionalFinishWrite {
            conditions: completion_conditions(&finish.job, job.revision, led_epoch_revision),
            job: finish.job,
            tasks: finish.tasks,
        };
        if self.rng.gen_bool(0.1) {
            let due_at = self.now + self.rng.gen_range(2.0..12.0);
            self.delayed_finishes.push(Scheduled {
                due_at,
                item: write,
            });
        } else {
            let log_length = self.store_log.len();
            self.commit_finish(write);
            self.learn_own_writes(index, log_length);
        }
    }
}
