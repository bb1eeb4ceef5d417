//! The leader's transfers of shard ranges: the shard map is written at once, late, or
//! with its answer lost, and ranges move faster than workers report.

use super::state_store::DelayedShardMap;
use super::{Scheduled, SimulatedCluster, CONTROLLERS};
use finchwood::cluster::membership;
use finchwood_sharding::hash_position::position;
use finchwood_sharding::shard_map::HashRange;
use finchwood_sharding::transfer::{MoveReason, RangeMove, TransferOutcome};
use rand::Rng;

/// How old a transfer that makes no progress may become.
const STALE_AFTER_S: f64 = 9.0;

impl SimulatedCluster {
    /// One round of the transfers of the controller that leads.
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
        let moved = transfers.ended.remove(&TransferOutcome::Completed);
        self.statistics.moved_ranges += moved.unwrap_or(0);
        if reaches_store {
            self.write_shard_map(index);
        }
        if !self.faults_ended && self.rng.gen_bool(0.15) {
            self.begin_transfer(index);
        }
    }

    fn write_shard_map(&mut self, index: usize) {
        let now = self.now;
        let controller = &mut self.controllers[index];
        if controller.shard_map_refused_at.is_some() {
            return;
        }
        let present = &controller.cache.shard_map;
        let Some(write) = controller.transfers.pending_write(present, now) else {
            return;
        };
        let write = DelayedShardMap {
            expected_revision: controller.cache.shard_map_revision,
            expected_epoch: controller.shard.epoch(),
            shard_map: write.shard_map,
        };
        if self.rng.gen_bool(0.2) {
            let due_at = now + self.rng.gen_range(0.5..12.0);
            self.delayed_shard_maps.push(Scheduled {
                due_at,
                what: write,
            });
        } else if !self.commit_shard_map(&write) {
            self.controllers[index].shard_map_refused_at = Some(now);
        }
    }

    /// Begins to move the range of one machine, of many, or of a whole hash owner.
    fn begin_transfer(&mut self, index: usize) {
        let machine = self.rng.gen_range(0..self.workers.len());
        let machine = &self.workers[machine].id;
        let target = CONTROLLERS[self.rng.gen_range(0..CONTROLLERS.len())];
        let controller = &mut self.controllers[index];
        let epoch = controller.cache.epoch.as_ref().expect("an epoch");
        let hash_owner = membership::owner_by_hash(&epoch.members, machine).expect("a hash owner");
        let middle = position(machine);
        let reach = [0, u64::MAX / 4, u64::MAX][self.rng.gen_range(0..3)];
        let range = HashRange {
            hash_owner: hash_owner.into(),
            first: middle.saturating_sub(reach),
            last: middle.saturating_add(reach),
        };
        let Some(source) = controller.cache.shard_map.sole_owner(&range) else {
            return;
        };
        if epoch.members.contains_key(source) && epoch.members.contains_key(target) {
            let wanted = RangeMove {
                source: source.into(),
                range,
                target: target.into(),
                reason: MoveReason::Plan,
            };
            controller.transfers.begin(wanted, self.now);
        }
    }
}
