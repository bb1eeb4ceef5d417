//! Shares that move between live controllers, where the shard `shared-machines` is
//! switched on: the leader's transfers, and what every controller makes of the table.

use super::{Controller, WritePurpose};
use crate::api::published_report::PublishedReport;
use crate::api::responder::{error_body, Responder};
use crate::api::shard_map_report::{OwnedRange, ShardMapReport, TransfersReport};
use crate::clock::Seconds;
use crate::cluster::membership;
use crate::config::features::SharedMachinesConfig;
use crate::config::settings::Settings;
use crate::store::keys::{EPOCH_KEY, SHARD_MAP_KEY};
use crate::store::{CommitOutcome, Condition, ConditionalWrite, WriteClass, WriteOp};
use crate::wire::MachineId;
use finchwood_sharding::hash_position::position;
use finchwood_sharding::plan::Plan;
use finchwood_sharding::planner::{Fleet, OwnedMachine, Planner, PlannerLimits};
use finchwood_sharding::transfer::{TransferOrder, TransferReport, Transfers};
use std::collections::{BTreeMap, BTreeSet};

/// Bytes that a share takes in the stored table, with room to spare.
const SHARE_BYTES: usize = 120;

/// For how many report intervals a side of a transfer may stay silent.
const PATIENCE_REPORTS: f64 = 3.0;

/// How long a write of the table may take, in seconds.
const TABLE_WRITE_S: Seconds = 2.0;

/// The share of a report interval after which the planner looks over the fleet again.
const PLAN_SHARE: f64 = 1.0 / 4.0;

/// The share of a report interval after which the report is published anew.
const PUBLISH_SHARE: f64 = 1.0 / 6.0;

/// What the shard `shared-machines` keeps.
pub(super) struct Shares {
    transfers: Transfers,
    planner: Planner,
    /// A write of the table is under way.
    writing: bool,
    /// When a write of the table was refused for certain.
    refused_at: Option<Seconds>,
    published: PublishedReport<ShardMapReport>,
    published_at: Seconds,
    /// When the planner was last asked.
    planned_at: Seconds,
}

impl Shares {
    pub(super) fn new(
        with: &SharedMachinesConfig,
        settings: &Settings,
        published: PublishedReport<ShardMapReport>,
    ) -> Shares {
        let limits = PlannerLimits {
            machines_per_move: with.machines_per_move,
            moves_per_minute: with.moves_per_minute,
            imbalance: with.imbalance,
            max_ranges: settings.params.state.lowest_value_bytes() / SHARE_BYTES,
            cooldown_s: settings.params.workers.lease_s * with.rest_leases,
        };
        Shares {
            transfers: Transfers::default(),
            planner: Planner::new(limits, 0.0),
            writing: false,
            refused_at: None,
            published,
            published_at: f64::MIN,
            planned_at: f64::MIN,
        }
    }
}

impl Controller {
    /// The owner of a machine, by the table of shares or the hash.
    pub(super) fn owner_of(&self, machine: &str) -> Option<&str> {
        membership::owner_by_shard_map(self.my_epoch()?, &self.cache.shard_map, machine)
    }

    /// The table of shares has changed.
    pub(super) fn shares_changed(&mut self, now: Seconds) {
        let Some(epoch) = self.my_epoch().cloned() else {
            return;
        };
        if !epoch.uses_shard_map {
            return;
        }
        let (table, me) = (
            self.cache.shard_map.clone(),
            self.settings.node_name.clone(),
        );
        let owns =
            |id: &str| membership::owner_by_shard_map(&epoch, &table, id) == Some(me.as_str());
        self.shard.apply_shard_map(&self.cache, now, owns);
        // The leader hears of it in this round.
        self.told_leader = f64::MIN;
    }

    /// A new epoch has begun: whatever transfers had reached stays as it is.
    pub(super) fn forget_transfers(&mut self, now: Seconds) {
        if let Some(shares) = &mut self.shares {
            shares.transfers.abort_all(now);
            shares.refused_at = None;
        }
    }

    /// What a shard is told of transfers.
    pub(super) fn transfer_orders(&self, node: &str) -> Vec<TransferOrder> {
        self.shares
            .as_ref()
            .map(|shares| shares.transfers.orders_for(node))
            .unwrap_or_default()
    }

    /// The leader takes in what a shard tells of transfers.
    pub(super) fn apply_transfer_report(
        &mut self,
        from: &str,
        report: TransferReport,
        now: Seconds,
    ) {
        let Some(shares) = self.shares.as_mut().filter(|_| !report.is_empty()) else {
            return;
        };
        let before: Vec<_> = shares.transfers.under_way().map(|h| h.state).collect();
        shares.transfers.apply_report(from, report, now);
        let after: Vec<_> = shares.transfers.under_way().map(|h| h.state).collect();
        if before != after {
            self.tell_sides(from);
        }
    }

    /// Whether a machine is being handed over, so that nobody's word on it is final.
    pub(super) fn is_changing_hands(&self, machine: &MachineId) -> bool {
        let (Some(shares), Some(epoch)) = (&self.shares, self.my_epoch()) else {
            return false;
        };
        let Some(hash_owner) = membership::owner(&epoch.members, machine) else {
            return false;
        };
        let at = position(machine);
        let moves = shares
            .transfers
            .under_way()
            .any(|h| h.range_move.range.contains(hash_owner, at));
        moves || !self.leader.has_one_owner(machine)
    }

    /// Sends orders to all who take shard in transfers, but for one who gets them anyway.
    fn tell_sides(&mut self, but: &str) {
        let Some(shares) = &self.shares else { return };
        let sides: BTreeSet<String> = shares
            .transfers
            .under_way()
            .flat_map(|h| [h.range_move.source.clone(), h.range_move.target.clone()])
            .filter(|side| side != but)
            .collect();
        for side in sides {
            self.send_orders(&side);
        }
    }

    /// One step of the leader: takes in the table, writes its next state, withdraws what
    /// nobody answers, begins what is wanted.
    pub(super) fn move_shares(&mut self, now: Seconds) {
        let in_use = self.my_epoch().is_some_and(|epoch| epoch.uses_shard_map);
        let patience = self.settings.params.workers.report_s * PATIENCE_REPORTS;
        let Some(shares) = self.shares.as_mut().filter(|_| in_use) else {
            return;
        };
        shares
            .transfers
            .observe_shard_map(&self.cache.shard_map, now);
        // Refused for certain, and what has been read since does not hold it either.
        let read_since = |at: &Seconds| self.last_synced_at.is_some_and(|fresh| fresh > *at);
        if shares.refused_at.as_ref().is_some_and(read_since) {
            shares.transfers.write_refused(now);
            shares.refused_at = None;
        }
        shares.transfers.time_out_stale(patience, now);
        self.write_table(now);
        self.begin_transfer(now);
    }

    fn write_table(&mut self, now: Seconds) {
        let Some(shares) = self
            .shares
            .as_mut()
            .filter(|s| !s.writing && s.refused_at.is_none())
        else {
            return;
        };
        let Some(change) = shares.transfers.pending_write(&self.cache.shard_map, now) else {
            return;
        };
        let write = ConditionalWrite {
            // The table of another leader, or of another epoch, is not overwritten.
            conditions: vec![
                Condition::new(SHARD_MAP_KEY, self.cache.shard_map_revision),
                Condition::new(EPOCH_KEY, self.cache.epoch_revision),
            ],
            ops: vec![WriteOp::Put {
                key: SHARD_MAP_KEY.into(),
                value: serde_json::to_value(change.shard_map.to_stored()).unwrap_or_default(),
                lease: None,
            }],
            deadline: now + TABLE_WRITE_S,
            purpose: WritePurpose::Shares,
        };
        shares.writing = self.writer.send(WriteClass::Urgent, write).is_ok();
    }

    /// A write of the table was answered, or given up. What has no certain answer is
    /// written again, under the same conditions.
    pub(super) fn shares_written(&mut self, outcome: CommitOutcome, now: Seconds) {
        let Some(shares) = &mut self.shares else {
            return;
        };
        shares.writing = false;
        match outcome {
            CommitOutcome::Committed(revision) => {
                let Some(change) = shares.transfers.pending_write(&self.cache.shard_map, now)
                else {
                    return;
                };
                let value = serde_json::to_value(change.shard_map.to_stored()).unwrap_or_default();
                let change = self.cache.put(SHARD_MAP_KEY, value, revision);
                self.changed(change, now);
                if let Some(shares) = &mut self.shares {
                    shares
                        .transfers
                        .observe_shard_map(&self.cache.shard_map, now);
                }
                self.tell_sides("");
            }
            CommitOutcome::Conflict(_) | CommitOutcome::Invalid | CommitOutcome::RateLimited => {
                shares.refused_at = Some(now)
            }
            CommitOutcome::Refused | CommitOutcome::Unknown => {}
        }
    }

    fn begin_transfer(&mut self, now: Seconds) {
        let gap = self.settings.params.workers.report_s * PLAN_SHARE;
        let due = self
            .shares
            .as_ref()
            .is_some_and(|shares| now - shares.planned_at >= gap);
        if !due || self.store_unreachable || !self.leader.all_joined() {
            return;
        }
        let Some(epoch) = self.my_epoch() else { return };
        let members: BTreeSet<String> = epoch.members.keys().cloned().collect();
        let machines = self.owned_machines(&epoch.members);
        let Some(shares) = &mut self.shares else {
            return;
        };
        shares.planned_at = now;
        let fleet = Fleet {
            members: &members,
            machines: &machines,
            shard_map: &self.cache.shard_map,
        };
        let Some(range_move) = shares.planner.next(fleet, &shares.transfers, now) else {
            return;
        };
        tracing::info!(range = %range_move.range, source = range_move.source, target = range_move.target, reason = ?range_move.reason, "a share is to move");
        if shares.transfers.begin(range_move, now) {
            self.tell_sides("");
        }
    }

    /// All machines on the machine registry, with home and owner.
    fn owned_machines(&self, members: &BTreeMap<String, u64>) -> Vec<OwnedMachine> {
        let owned = |id: &MachineId| {
            let hash_owner = membership::owner(members, id)?;
            let owner = self.owner_of(id)?;
            Some(OwnedMachine {
                hash_owner: hash_owner.into(),
                position: position(id),
                owner: owner.into(),
            })
        };
        self.cache.registry.keys().filter_map(owned).collect()
    }

    /// Operators want shares to move.
    pub(super) fn take_plan(&mut self, plan: Plan, responder: Responder) {
        let leads = self.leading();
        let Some(epoch) = self.my_epoch() else {
            return responder.retry_later(503, 1, "not a member now");
        };
        let members: BTreeSet<String> = epoch.members.keys().cloned().collect();
        if !leads {
            return responder.send(421, error_body(&format!("plan: {} leads", epoch.leader)));
        }
        if !epoch.uses_shard_map {
            return responder.retry_later(503, 5, "not all controllers go by the table of shares");
        }
        if let Err(why) = plan.check(&members) {
            return responder.send(400, error_body(&why.to_string()));
        }
        tracing::info!(?plan, "a plan of shares");
        if let Some(shares) = &mut self.shares {
            shares.planner.set_plan(plan);
        }
        responder.send(200, b"{}".to_vec());
    }

    /// Publishes the report, now and then.
    pub(super) fn publish_shares(&mut self, now: Seconds) {
        let gap = self.settings.params.workers.report_s * PUBLISH_SHARE;
        let due = self
            .shares
            .as_ref()
            .is_some_and(|shares| now - shares.published_at >= gap);
        if !due {
            return;
        }
        let report = self.shares_report();
        if let Some(shares) = &mut self.shares {
            shares.published_at = now;
            shares.published.publish(report);
        }
    }

    fn shares_report(&self) -> ShardMapReport {
        let table = &self.cache.shard_map;
        let share = |(range, owner): (&_, &str)| OwnedRange {
            range: Clone::clone(range),
            owner: owner.into(),
        };
        ShardMapReport {
            node: self.settings.node_name.clone(),
            epoch: self.shard.epoch(),
            in_use: self.my_epoch().is_some_and(|epoch| epoch.uses_shard_map),
            generation: table.generation,
            shares: table.ranges().map(share).collect(),
            machines: self.shard.registered_machines(),
            fenced: self.shard.fenced_machines(),
            leader: self
                .shares
                .as_ref()
                .filter(|_| self.leading())
                .map(|shares| self.transfers_report(shares)),
        }
    }

    fn transfers_report(&self, shares: &Shares) -> TransfersReport {
        let told: BTreeSet<&MachineId> = self.leader.machines().map(|m| &m.id).collect();
        TransfersReport {
            under_way: shares.transfers.under_way().cloned().collect(),
            ended: shares.transfers.ended.clone(),
            machines_moved: shares.transfers.machines_moved,
            longest_s: shares.transfers.longest_s,
            without_owner: self
                .cache
                .registry
                .keys()
                .filter(|id| !told.contains(id))
                .count(),
            plan: shares.planner.plan().clone(),
        }
    }
}
