//! Controllers: the real shard, leader and transfers, fed from the log of the key-value
//! store and asked in rounds what to do.

use super::network::{DirectCommandPacket, Packet};
use super::state_store::DelayedFinish;
use super::{
    membership::controller_named, settings, Scheduled, SimulatedCluster, CONTROLLERS,
    MEMBER_LEASE_S, WORKER_LEASE_S,
};
use finchwood::clock::Moment;
use finchwood::cluster::membership;
use finchwood::scheduler::{FinishedTasks, Leader};
use finchwood::shard::{DirectCommand, Orders, Shard, ShardReport, Timing};
use finchwood::store::cache::{CacheChange, StoreCache};
use finchwood::store::records::Epoch;
use finchwood::store::KeyChange;
use finchwood_sharding::transfer::Transfers;
use rand::Rng;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

const REPORT_S: f64 = 3.0;
const CACHE_KB: f64 = 8.0;
/// How many jobs that are not done a leader commits tasks of at a time.
const PARTIAL_FINISHES: usize = 9;

pub(super) struct Controller {
    name: &'static str,
    pub(super) incarnation: u64,
    pub(super) alive: bool,
    /// When it last read the key-value store.
    pub(super) last_synced_at: f64,
    /// Partitioned from the key-value store and the other controllers until then.
    pub(super) partitioned_until: f64,
    /// Refused by the key-value store alone until then.
    pub(super) refused_until: f64,
    pub(super) cache: StoreCache,
    /// How many events of the store's log it has read.
    events_read: usize,
    pub(super) shard: Shard,
    pub(super) leader: Leader,
    pub(super) transfers: Transfers,
    /// When a write of the shard map was refused for certain.
    pub(super) shard_map_refused_at: Option<f64>,
}

/// What a leader wants done beside its orders.
#[derive(Default)]
struct LeaderDecisions {
    finishes: Vec<FinishedTasks>,
    /// Machines to delete.
    unreachable_machines: Vec<String>,
    orders: Vec<Orders>,
}

impl Controller {
    /// One that is not running and knows nothing.
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
            cache: StoreCache::new(CACHE_KB),
            events_read: 0,
            shard: Shard::new(CONTROLLERS[index], timing, HashMap::new()),
            leader: Leader::new(&settings()),
            transfers: Transfers::default(),
            shard_map_refused_at: None,
        }
    }

    /// One that has just started in a new incarnation.
    pub(super) fn started(index: usize, incarnation: u64, now: f64) -> Controller {
        Controller {
            alive: true,
            incarnation,
            last_synced_at: now,
            ..Controller::stopped(index)
        }
    }

    /// The epoch that it knows, if it has entered it as a member.
    pub(super) fn entered_epoch(&self) -> Option<Epoch> {
        let epoch = self.cache.epoch.as_ref()?;
        let is_member = epoch.members.get(self.name) == Some(&self.incarnation);
        let has_entered = self.alive && self.shard.epoch() == epoch.number;
        (is_member && has_entered && epoch.number > 0).then(|| epoch.clone())
    }

    /// Tells shard and leader of a changed job record.
    pub(super) fn job_changed(&mut self, job: &Arc<str>) {
        self.shard.job_changed(job, &self.cache);
        let epoch = self.cache.epoch.as_ref();
        if epoch.is_some_and(|epoch| epoch.leader == self.name) {
            self.leader.job_changed(job, &self.cache);
        }
    }

    /// Applies the events of the key-value store that it has not read.
    fn read_store(&mut self, log: &[KeyChange], now: f64) {
        self.last_synced_at = now;
        while self.events_read < log.len() {
            let event = log[self.events_read].clone();
            self.events_read += 1;
            match self.cache.apply(event) {
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

    fn epoch_changed(&mut self, now: f64) {
        let name = self.name;
        let epoch = self.cache.epoch.clone().expect("an epoch");
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

    fn registry_changed(&mut self, id: &Arc<str>, now: f64) {
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

    fn shard_map_changed(&mut self, now: f64) {
        let name = self.name;
        let entered = self.shard.epoch();
        let present = self.cache.epoch.clone();
        let Some(epoch) = present.filter(|epoch| epoch.uses_shard_map && epoch.number == entered)
        else {
            return;
        };
        let shard_map = self.cache.shard_map.clone();
        self.shard.apply_shard_map(&self.cache, now, |machine| {
            membership::owner_by_shard_map(&epoch, &shard_map, machine) == Some(name)
        });
    }

    /// Expires leases and places tasks; returns what is to be sent.
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

    /// Assigns tasks; commits and deletes only while the key-value store is reached.
    fn leader_round(
        &mut self,
        now: f64,
        deleted: &HashSet<String>,
        reaches_store: bool,
        evict_after_s: f64,
    ) -> LeaderDecisions {
        let mut decisions = LeaderDecisions::default();
        self.leader
            .reconcile(&self.cache, &|id| deleted.contains(&**id));
        self.leader.assign_tasks(&self.cache, now, || true);
        if reaches_store {
            decisions.finishes =
                self.leader
                    .completions_to_commit(now, PARTIAL_FINISHES, &self.cache);
            for finish in &decisions.finishes {
                self.leader.commit_answered(&finish.job, now, now + 1.0);
            }
            decisions.unreachable_machines = self.unreachable_machines(now, evict_after_s);
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

    /// One machine that ignores commands or is silent, and all on which cancelled tasks
    /// would run for too long.
    fn unreachable_machines(&self, now: f64, evict_after_s: f64) -> Vec<String> {
        let mut machines: Vec<String> = self
            .leader
            .machines_at(now)
            .filter(|machine| machine.registered)
            .filter(|machine| machine.ignores_commands || machine.silent_s > WORKER_LEASE_S)
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
    /// A controller reads the store, if it can, and does what it is entitled to.
    pub(super) fn controller_round(&mut self, index: usize) {
        let now = self.now;
        let reaches_store = self.store_answers(index) && self.reaches_peers(index);
        // The cache lags, but a controller whose cache is old fences itself.
        if self.controllers[index].alive && reaches_store && self.rng.gen_bool(0.8) {
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
        let deleted = self.deleted_machines();
        let evict_after_s = self.settings.evict_after_s();
        let controller = &mut self.controllers[index];
        let (commands, report) = controller.shard_round(now);
        let decisions = if leads {
            controller.leader_round(now, &deleted, reaches_store, evict_after_s)
        } else {
            LeaderDecisions::default()
        };
        for command in commands {
            self.send_direct_command(index, command);
        }
        for machine in decisions.unreachable_machines {
            self.replace_machine(&machine);
        }
        for finish in decisions.finishes {
            self.send_finish(index, finish);
        }
        if !self.reaches_peers(index) {
            return;
        }
        self.send(Packet::ShardReport {
            to: controller_named(&epoch.leader).expect("a leader"),
            report: Box::new(report),
        });
        for orders in decisions.orders {
            self.send_orders(orders);
        }
    }

    /// The leader that had a machine deleted knows that it is gone; here all leaders
    /// do, which is more than they may.
    fn deleted_machines(&self) -> HashSet<String> {
        let deleted = self.workers.iter().filter(|worker| !worker.alive);
        deleted.map(|worker| worker.id.clone()).collect()
    }

    fn send_direct_command(&mut self, index: usize, command: DirectCommand) {
        let worker = self.worker_on(&command.machine).expect("a machine");
        let incarnation = self.controllers[index].incarnation;
        if self.rng.gen_bool(0.1) {
            // No answer will come: the caller gives up, the command may live.
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

    /// A commit of finished tasks, now or so late that nobody waits for it.
    fn send_finish(&mut self, index: usize, finish: FinishedTasks) {
        let Some(job) = self.controllers[index].cache.jobs.get(&finish.job) else {
            return;
        };
        let write = DelayedFinish {
            expected_revision: job.revision,
            job: finish.job,
            tasks: finish.tasks,
        };
        if self.rng.gen_bool(0.1) {
            let due_at = self.now + self.rng.gen_range(2.0..12.0);
            self.delayed_finishes.push(Scheduled {
                due_at,
                what: write,
            });
        } else {
            self.commit_finish(write);
        }
    }
}
