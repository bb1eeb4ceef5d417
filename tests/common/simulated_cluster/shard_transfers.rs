//! The leader's transfers of hash ranges. Writes of the shard map are carried out at once, or
//! late and without a response, and a range may be transferred again before its workers send a
//! heartbeat.

use super::state_store::ConditionalShardMapWrite;
use super::{Scheduled, SimulatedCluster, CONTROLLERS};
use finchwood::cluster::membership;
use finchwood_sharding::hash_position::position;
use finchwood_sharding::shard_map::HashRange;
use finchwood_sharding::transfer::{MoveReason, RangeMove, TransferOutcome};
use rand::Rng;

/// The time after which an offered or accepted transfer without a response times out.
const STALE_AFTER_S: f64 = 9.0;

impl SimulatedCluster {
    /// Runs one round of transfers on the leading controller with this index.
    pub(super) fn transfer_round(&mut self, index: usize, reaches_store: bool) {
        let now = self.now;
        let controller = &mut self.controllers[index];
        let epoch = controller.cache.epoch.as_ref();
        if !epoch.is_some_and(|epoch| epoch.uses_shard_map) {
            return;
        }
        let transfers = &mut controller.transfers;
        transfers.observe_shard_map(&controller.cache.shard_map, now);
        let last_synced_at = controller.last_synced_at;
        if controller
            .shard_map_refused_at
            .is_some_and(|refused_at| last_synced_at > refused_at)
        {
            transfers.write_refused(now);
            controller.shard_map_refused_at = None;
        }
        transfers.time_out_stale(STALE_AFTER_S, now);
        let completed = transfers.ended.remove(&TransferOutcome::Completed);
        self.statistics.completed_transfers += completed.unwrap_or(0);
        if reaches_store {
            self.write_shard_map(index);
        }
        if !self.faults_ended && self.rng.gen_bool(0.15) {
            self.begin_transfer(index);
        }
    }

    /// Writes the pending change of the shard map, at once or late. After a refused write
    /// the controller must read the store before it writes again.
    fn write_shard_map(&mut self, index: usize) {
        let now = self.now;
        let controller = &mut self.controllers[index];
        if controller.shard_map_refused_at.is_some() {
            return;
        }
        let current = &controller.cache.shard_map;
        let Some(write) = controller.transfers.pending_write(current, now) else {
            return;
        };
        let write = ConditionalShardMapWrite {
            expected_revision: controller.cache.shard_map_revision,
            expected_epoch: controller.shard.epoch(),
            shard_map: write.shard_map,
        };
        if self.rng.gen_bool(0.2) {
            let due_at = now + self.rng.gen_range(0.5..12.0);
            self.delayed_shard_map_writes.push(Scheduled {
                due_at,
                item: write,
            });
        } else if !self.commit_shard_map(&write) {
            self.controllers[index].shard_map_refused_at = Some(now);
        }
    }

    /// Begins to transfer a range around the position of a random machine to a random
    /// controller: the position alone, up to half of the hash space, or all of it.
    fn begin_transfer(&mut self, index: usize) {
        let machine = self.rng.gen_range(0..self.workers.len());
        let machine = &self.workers[machine].id;
        let target = CONTROLLERS[self.rng.gen_range(0..CONTROLLERS.len())];
        let controller = &mut self.controllers[index];
        let epoch = controller
            .cache
            .epoch
            .as_ref()
            .expect("an epoch in the cache");
        let hash_owner = membership::owner_by_hash(&epoch.members, machine).expect("a hash owner");
        let center = position(machine);
        let radius = [0, u64::MAX / 4, u64::MAX][self.rng.gen_range(0..3)];
        let range = HashRange {
            hash_owner: hash_owner.into(),
            first: center.saturating_sub(radius),
            last: center.saturating_add(radius),
        };
        let Some(source) = controller.cache.shard_map.sole_owner(&range) else {
            return;
        };
        if epoch.members.contains_key(source) && epoch.members.contains_key(target) {
            let range_move = RangeMove {
                source: source.into(),
                range,
                target: target.into(),
                reason: MoveReason::Plan,
            };
            controller.transfers.begin(range_move, self.now);
        }
    }
}
