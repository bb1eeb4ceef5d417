//! Transfers of hash ranges between live shards, for the feature `shared-machines`: the
//! leader's management of the transfers, and the shard map that all controllers use.

use super::interval_timer::IntervalTimer;
use super::writes::{put_record, to_value};
use super::{Controller, WritePurpose, RETRY_AFTER_S};
use crate::api::published_report::PublishedReport;
use crate::api::responder::{error_body, Responder};
use crate::api::shard_map_report::{OwnedRange, ShardMapReport, TransfersReport};
use crate::api::status;
use crate::clock::Seconds;
use crate::cluster::membership;
use crate::config::features::SharedMachinesConfig;
use crate::config::settings::Settings;
use crate::store::keys::{EPOCH_KEY, SHARD_MAP_KEY};
use crate::store::{CommitOutcome, Condition, ConditionalWrite, WriteClass};
use crate::wire::MachineId;
use finchwood_sharding::hash_position::position;
use finchwood_sharding::plan::Plan;
use finchwood_sharding::planner::{Fleet, OwnedMachine, Planner, PlannerLimits};
use finchwood_sharding::shard_map::HashRange;
use finchwood_sharding::transfer::{TransferOrder, TransferReport, TransferState, Transfers};
use std::collections::{BTreeMap, BTreeSet};

/// The `Retry-After` value of a plan that has to wait until all controllers are upgraded,
/// in seconds.
const UPGRADE_RETRY_AFTER_S: u32 = 5;

/// An upper bound on the size of one range in the stored shard map, in bytes.
const RANGE_BYTES: usize = 120;

/// How long the source or the target of a transfer may take to respond to the leader, in
/// report intervals.
const TRANSFER_TIMEOUT_REPORTS: f64 = 3.0;

/// How long a write of the shard map may take, in seconds.
const SHARD_MAP_WRITE_TIMEOUT: Seconds = 2.0;

/// The time between runs of the planner, in report intervals.
const PLAN_INTERVAL_REPORTS: f64 = 1.0 / 4.0;

/// The time between publications of the report, in report intervals.
const PUBLISH_INTERVAL_REPORTS: f64 = 1.0 / 6.0;

/// The state of the feature `shared-machines`.
pub(super) struct ShardTransfers {
    transfers: Transfers,
    planner: Planner,
    /// Whether a write of the shard map is in flight.
    write_pending: bool,
    /// When the outcome of a write of the shard map was that the store did not apply it.
    /// `None` if there was no such outcome, or a later read has confirmed it.
    refused_at: Option<Seconds>,
    published: PublishedReport<ShardMapReport>,
    publish_timer: IntervalTimer,
    plan_timer: IntervalTimer,
}

impl ShardTransfers {
    /// Creates the state, without any transfers in progress.
    pub(super) fn new(
        config: &SharedMachinesConfig,
        settings: &Settings,
        published: PublishedReport<ShardMapReport>,
    ) -> ShardTransfers {
        let limits = PlannerLimits {
            machines_per_move: config.machines_per_move,
            moves_per_minute: config.moves_per_minute,
            imbalance: config.imbalance,
            max_ranges: settings.params.state.lowest_value_bytes() / RANGE_BYTES,
            cooldown_s: settings.params.workers.lease_s * config.rest_leases,
        };
        ShardTransfers {
            transfers: Transfers::default(),
            planner: Planner::new(limits, 0.0),
            write_pending: false,
            refused_at: None,
            published,
            publish_timer: IntervalTimer::due_now(),
            plan_timer: IntervalTimer::due_now(),
        }
    }

    /// Returns the states of the transfers in progress.
    fn states(&self) -> Vec<TransferState> {
        self.transfers
            .in_progress()
            .map(|transfer| transfer.state)
            .collect()
    }

    /// Returns the sources and targets of the transfers in progress.
    fn participants(&self) -> BTreeSet<String> {
        self.transfers
            .in_progress()
            .flat_map(|transfer| [&transfer.range_move.source, &transfer.range_move.target])
            .cloned()
            .collect()
    }
}

impl Controller {
    /// Returns the owner of a machine: the one in the shard map, or else the owner by hash.
    /// Returns `None` if this node has not entered the current epoch.
    pub(super) fn owner_of(&self, machine: &str) -> Option<&str> {
        membership::owner_by_shard_map(self.entered_epoch()?, &self.cache.shard_map, machine)
    }

    /// Applies a changed shard map to this node's shard.
    pub(super) fn apply_shard_map_change(&mut self, now: Seconds) {
        let Some(epoch) = self.entered_epoch().cloned() else {
            return;
        };
        if !epoch.uses_shard_map {
            return;
        }
        let shard_map = self.cache.shard_map.clone();
        let this_node = self.settings.node_name.clone();
        let owns = |id: &str| {
            let owner = membership::owner_by_shard_map(&epoch, &shard_map, id);
            owner == Some(this_node.as_str())
        };
        self.shard.apply_shard_map(&self.cache, now, owns);
        // The report to the leader is due in the next round.
        self.leader_report_timer = IntervalTimer::due_now();
    }

    /// Aborts the transfers of the previous epoch. Their committed changes of the shard map
    /// remain.
    pub(super) fn reset_transfers(&mut self, now: Seconds) {
        if let Some(state) = &mut self.shard_transfers {
            state.transfers.abort_all(now);
            state.refused_at = None;
        }
    }

    /// Returns the transfer orders for the shard of a controller. There are none if the shard
    /// is neither the source nor the target of a transfer.
    pub(super) fn transfer_orders(&self, node: &str) -> Vec<TransferOrder> {
        self.shard_transfers
            .as_ref()
            .map(|state| state.transfers.orders_for(node))
            .unwrap_or_default()
    }

    /// Applies a shard's report on transfers, as the leader.
    pub(super) fn apply_transfer_report(
        &mut self,
        from: &str,
        report: TransferReport,
        now: Seconds,
    ) {
        if report.is_empty() {
            return;
        }
        let Some(state) = &mut self.shard_transfers else {
            return;
        };
        let before = state.states();
        state.transfers.apply_report(from, report, now);
        if before != state.states() {
            // The reporting shard receives its orders in response to its report.
            self.send_orders_to_participants(Some(from));
        }
    }

    /// Returns whether a machine is being transferred, or is not reported by exactly one
    /// shard. In either case no shard's report on the machine is reliable by itself.
    pub(super) fn is_being_transferred(&self, machine: &MachineId) -> bool {
        let (Some(state), Some(epoch)) = (&self.shard_transfers, self.entered_epoch()) else {
            return false;
        };
        let Some(hash_owner) = membership::owner_by_hash(&epoch.members, machine) else {
            return false;
        };
        let position = position(machine);
        let in_transfer = state
            .transfers
            .in_progress()
            .any(|transfer| transfer.range_move.range.contains(hash_owner, position));
        in_transfer || !self.leader.has_one_owner(machine)
    }

    /// Sends orders to the sources and targets of all transfers in progress, except to the
    /// controller `except`.
    fn send_orders_to_participants(&mut self, except: Option<&str>) {
        let Some(state) = &self.shard_transfers else {
            return;
        };
        for shard in state.participants() {
            if except != Some(shard.as_str()) {
                self.send_orders(&shard);
            }
        }
    }

    /// Advances the transfers by one step, as the leader: applies the shard map that was read
    /// last, aborts transfers whose source or target has not responded in time, writes the next
    /// shard map, and begins the next transfer.
    pub(super) fn run_transfers(&mut self, now: Seconds) {
        let in_use = self
            .entered_epoch()
            .is_some_and(|epoch| epoch.uses_shard_map);
        let timeout = self.report_interval() * TRANSFER_TIMEOUT_REPORTS;
        let Some(state) = self.shard_transfers.as_mut().filter(|_| in_use) else {
            return;
        };
        state
            .transfers
            .observe_shard_map(&self.cache.shard_map, now);
        // The store did not apply the write, and a read that began after that outcome does
        // not show the written shard map either.
        let synced_at = self.store_sync.last_synced_at();
        if state.refused_at.is_some_and(|at| synced_at > Some(at)) {
            state.transfers.write_refused(now);
            state.refused_at = None;
        }
        state.transfers.time_out_stale(timeout, now);
        self.write_shard_map(now);
        self.begin_transfer(now);
    }

    fn write_shard_map(&mut self, now: Seconds) {
        let Some(state) = self
            .shard_transfers
            .as_mut()
            .filter(|state| !state.write_pending && state.refused_at.is_none())
        else {
            return;
        };
        let Some(change) = state.transfers.pending_write(&self.cache.shard_map, now) else {
            return;
        };
        let write = ConditionalWrite {
            // These conditions prevent the shard map of another leader or epoch from being
            // overwritten.
            conditions: vec![
                Condition::new(SHARD_MAP_KEY, self.cache.shard_map_revision),
                Condition::new(EPOCH_KEY, self.cache.epoch_revision),
            ],
            ops: vec![put_record(SHARD_MAP_KEY, &change.shard_map.to_stored())],
            deadline: now + SHARD_MAP_WRITE_TIMEOUT,
            purpose: WritePurpose::ShardMap,
        };
        state.write_pending = self.writer.send(WriteClass::Urgent, write).is_ok();
    }

    /// Handles the outcome of a write of the shard map. If the store was unavailable, the
    /// deadline passed, or the outcome is unknown, the write is sent again under the same
    /// conditions.
    pub(super) fn shard_map_write_completed(&mut self, outcome: CommitOutcome, now: Seconds) {
        let Some(state) = &mut self.shard_transfers else {
            return;
        };
        state.write_pending = false;
        match outcome {
            CommitOutcome::Committed(revision) => self.apply_written_shard_map(revision, now),
            CommitOutcome::Conflict(_) | CommitOutcome::Invalid | CommitOutcome::RateLimited => {
                state.refused_at = Some(now)
            }
            CommitOutcome::Refused | CommitOutcome::Unknown => {}
        }
    }

    fn apply_written_shard_map(&mut self, revision: u64, now: Seconds) {
        let Some(state) = &mut self.shard_transfers else {
            return;
        };
        let Some(write) = state.transfers.pending_write(&self.cache.shard_map, now) else {
            return;
        };
        let value = to_value(&write.shard_map.to_stored());
        let change = self.cache.put(SHARD_MAP_KEY, value, revision);
        self.apply_cache_change(change, now);
        if let Some(state) = &mut self.shard_transfers {
            state
                .transfers
                .observe_shard_map(&self.cache.shard_map, now);
        }
        self.send_orders_to_participants(None);
    }

    fn begin_transfer(&mut self, now: Seconds) {
        let interval = self.report_interval() * PLAN_INTERVAL_REPORTS;
        let due = self
            .shard_transfers
            .as_ref()
            .is_some_and(|state| state.plan_timer.is_due(interval, now));
        if !due || self.store_sync.is_unreachable() || !self.leader.all_shards_reported() {
            return;
        }
        let Some(epoch) = self.entered_epoch() else {
            return;
        };
        let members: BTreeSet<String> = epoch.members.keys().cloned().collect();
        let machines = self.owned_machines(&epoch.members);
        let Some(state) = &mut self.shard_transfers else {
            return;
        };
        state.plan_timer.restart(now);
        let fleet = Fleet {
            members: &members,
            machines: &machines,
            shard_map: &self.cache.shard_map,
        };
        let Some(range_move) = state.planner.next(fleet, &state.transfers, now) else {
            return;
        };
        tracing::info!(
            range = %range_move.range,
            source = range_move.source,
            target = range_move.target,
            reason = ?range_move.reason,
            "a range is to be transferred"
        );
        if state.transfers.begin(range_move, now) {
            self.send_orders_to_participants(None);
        }
    }

    /// Returns all registered machines, with their owners by hash and by shard map.
    fn owned_machines(&self, members: &BTreeMap<String, u64>) -> Vec<OwnedMachine> {
        let owned = |id: &MachineId| {
            let hash_owner = membership::owner_by_hash(members, id)?;
            let owner = self.owner_of(id)?;
            Some(OwnedMachine {
                hash_owner: hash_owner.into(),
                position: position(id),
                owner: owner.into(),
            })
        };
        self.cache.registry.keys().filter_map(owned).collect()
    }

    /// Handles a request of an operator to replace the plan of transfers.
    pub(super) fn set_transfer_plan(&mut self, plan: Plan, responder: Responder) {
        let is_leader = self.is_leader();
        let Some(epoch) = self.entered_epoch() else {
            return responder.retry_later(
                status::SERVICE_UNAVAILABLE,
                RETRY_AFTER_S,
                "not a member now",
            );
        };
        let members: BTreeSet<String> = epoch.members.keys().cloned().collect();
        if !is_leader {
            return responder.send(
                status::MISDIRECTED_REQUEST,
                error_body(&format!("plan: {} leads", epoch.leader)),
            );
        }
        if !epoch.uses_shard_map {
            return responder.retry_later(
                status::SERVICE_UNAVAILABLE,
                UPGRADE_RETRY_AFTER_S,
                "not all controllers go by the table of shares",
            );
        }
        if let Err(error) = plan.check(&members) {
            return responder.send(status::BAD_REQUEST, error_body(&error.to_string()));
        }
        tracing::info!(?plan, "received a plan of transfers");
        if let Some(state) = &mut self.shard_transfers {
            state.planner.set_plan(plan);
        }
        responder.send(status::OK, b"{}".to_vec());
    }

    /// Publishes the shard map report, if the feature is enabled and the report is due.
    pub(super) fn publish_shard_map_report(&mut self, now: Seconds) {
        let interval = self.report_interval() * PUBLISH_INTERVAL_REPORTS;
        let due = self
            .shard_transfers
            .as_mut()
            .is_some_and(|state| state.publish_timer.restart_if_due(interval, now));
        if !due {
            return;
        }
        let report = self.shard_map_report();
        if let Some(state) = &self.shard_transfers {
            state.published.publish(report);
        }
    }

    fn shard_map_report(&self) -> ShardMapReport {
        let shard_map = &self.cache.shard_map;
        let owned_range = |(range, owner): (&HashRange, &str)| OwnedRange {
            range: range.clone(),
            owner: owner.into(),
        };
        ShardMapReport {
            node: self.settings.node_name.clone(),
            epoch: self.shard.epoch(),
            in_use: self
                .entered_epoch()
                .is_some_and(|epoch| epoch.uses_shard_map),
            generation: shard_map.generation,
            ranges: shard_map.ranges().map(owned_range).collect(),
            machines: self.shard.registered_machines(),
            fenced: self.shard.fenced_machines(),
            leader: self
                .shard_transfers
                .as_ref()
                .filter(|_| self.is_leader())
                .map(|state| self.transfers_report(state)),
        }
    }

    fn transfers_report(&self, state: &ShardTransfers) -> TransfersReport {
        let reported: BTreeSet<&MachineId> = self.leader.machines().map(|m| &m.id).collect();
        TransfersReport {
            in_progress: state.transfers.in_progress().cloned().collect(),
            ended: state.transfers.ended.clone(),
            machines_moved: state.transfers.machines_moved,
            longest_s: state.transfers.longest_s,
            without_owner: self
                .cache
                .registry
                .keys()
                .filter(|id| !reported.contains(id))
                .count(),
            plan: state.planner.plan().clone(),
        }
    }
}
