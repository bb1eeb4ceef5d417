//! Shares that move between live controllers, where the part `shared-machines` is
//! switched on: the leader's handovers, and what every controller makes of the table.

use super::{Controller, Tag};
use crate::clock::Secs;
use crate::http::{error_body, Reply};
use crate::jobs::{EPOCH_KEY, SHARES_KEY};
use crate::membership;
use crate::published::Published;
use crate::settings::Settings;
use crate::shares_report::{HandoversReport, OwnedShare, SharesReport};
use crate::state::{Class, Op, Outcome, Write};
use crate::wire::MachineId;
use crate::with::SharedMachines;
use finchwood_shares::handover::{HandoverOrder, HandoverReport, Handovers};
use finchwood_shares::plan::Plan;
use finchwood_shares::planner::{Fleet, OwnedMachine, Planner, PlannerLimits};
use finchwood_shares::position::position;
use std::collections::{BTreeMap, BTreeSet};

/// Bytes that a share takes in the stored table, with room to spare.
const SHARE_BYTES: usize = 120;

/// For how many report intervals a side of a handover may stay silent.
const PATIENCE_REPORTS: f64 = 3.0;

/// How long a write of the table may take, in seconds.
const TABLE_WRITE_S: Secs = 2.0;

/// The share of a report interval after which the planner looks over the fleet again.
const PLAN_SHARE: f64 = 1.0 / 4.0;

/// The share of a report interval after which the report is published anew.
const PUBLISH_SHARE: f64 = 1.0 / 6.0;

/// What the part `shared-machines` keeps.
pub(super) struct Shares {
    handovers: Handovers,
    planner: Planner,
    /// A write of the table is under way.
    writing: bool,
    /// When a write of the table was refused for certain.
    refused_at: Option<Secs>,
    published: Published<SharesReport>,
    published_at: Secs,
    /// When the planner was last asked.
    planned_at: Secs,
}

impl Shares {
    pub(super) fn new(
        with: &SharedMachines,
        settings: &Settings,
        published: Published<SharesReport>,
    ) -> Shares {
        let limits = PlannerLimits {
            machines_per_move: with.machines_per_move,
            moves_per_minute: with.moves_per_minute,
            imbalance: with.imbalance,
            most_shares: settings.params.state.lowest_value_bytes() / SHARE_BYTES,
            rest_s: settings.params.workers.lease_s * with.rest_leases,
        };
        Shares {
            handovers: Handovers::default(),
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
        membership::owner_by_shares(self.my_epoch()?, &self.mirror.shares, machine)
    }

    /// The table of shares has changed.
    pub(super) fn shares_changed(&mut self, now: Secs) {
        let Some(epoch) = self.my_epoch().cloned() else {
            return;
        };
        if !epoch.shares {
            return;
        }
        let (table, me) = (self.mirror.shares.clone(), self.settings.node_name.clone());
        let owns = |id: &str| membership::owner_by_shares(&epoch, &table, id) == Some(me.as_str());
        self.part.shares_changed(&self.mirror, now, owns);
        // The leader hears of it in this round.
        self.told_leader = f64::MIN;
    }

    /// A new epoch has begun: whatever handovers had reached stays as it is.
    pub(super) fn forget_handovers(&mut self, now: Secs) {
        if let Some(shares) = &mut self.shares {
            shares.handovers.new_epoch(now);
            shares.refused_at = None;
        }
    }

    /// What a part is told of handovers.
    pub(super) fn handover_orders(&self, node: &str) -> Vec<HandoverOrder> {
        self.shares
            .as_ref()
            .map(|shares| shares.handovers.orders_for(node))
            .unwrap_or_default()
    }

    /// The leader takes in what a part tells of handovers.
    pub(super) fn take_handover_report(&mut self, from: &str, report: HandoverReport, now: Secs) {
        let Some(shares) = self.shares.as_mut().filter(|_| !report.is_empty()) else {
            return;
        };
        let before: Vec<_> = shares.handovers.under_way().map(|h| h.state).collect();
        shares.handovers.take_in(from, report, now);
        let after: Vec<_> = shares.handovers.under_way().map(|h| h.state).collect();
        if before != after {
            self.tell_sides(from);
        }
    }

    /// Whether a machine is being handed over, so that nobody's word on it is final.
    pub(super) fn is_changing_hands(&self, machine: &MachineId) -> bool {
        let (Some(shares), Some(epoch)) = (&self.shares, self.my_epoch()) else {
            return false;
        };
        let Some(home) = membership::owner(&epoch.members, machine) else {
            return false;
        };
        let at = position(machine);
        let moves = shares
            .handovers
            .under_way()
            .any(|h| h.wanted.range.contains(home, at));
        moves || !self.leader.has_one_owner(machine)
    }

    /// Sends orders to all who take part in handovers, but for one who gets them anyway.
    fn tell_sides(&mut self, but: &str) {
        let Some(shares) = &self.shares else { return };
        let sides: BTreeSet<String> = shares
            .handovers
            .under_way()
            .flat_map(|h| [h.wanted.giver.clone(), h.wanted.taker.clone()])
            .filter(|side| side != but)
            .collect();
        for side in sides {
            self.send_orders(&side);
        }
    }

    /// One step of the leader: takes in the table, writes its next state, withdraws what
    /// nobody answers, begins what is wanted.
    pub(super) fn move_shares(&mut self, now: Secs) {
        let in_use = self.my_epoch().is_some_and(|epoch| epoch.shares);
        let patience = self.settings.params.workers.report_s * PATIENCE_REPORTS;
        let Some(shares) = self.shares.as_mut().filter(|_| in_use) else {
            return;
        };
        shares.handovers.table_is(&self.mirror.shares, now);
        // Refused for certain, and what has been read since does not hold it either.
        let read_since = |at: &Secs| self.fresh_at.is_some_and(|fresh| fresh > *at);
        if shares.refused_at.as_ref().is_some_and(read_since) {
            shares.handovers.refused(now);
            shares.refused_at = None;
        }
        shares.handovers.withdraw_stale(patience, now);
        self.write_table(now);
        self.begin_handover(now);
    }

    fn write_table(&mut self, now: Secs) {
        let Some(shares) = self
            .shares
            .as_mut()
            .filter(|s| !s.writing && s.refused_at.is_none())
        else {
            return;
        };
        let Some(change) = shares.handovers.to_write(&self.mirror.shares, now) else {
            return;
        };
        let write = Write {
            // The table of another leader, or of another epoch, is not overwritten.
            conditions: vec![
                (SHARES_KEY.into(), self.mirror.shares_version),
                (EPOCH_KEY.into(), self.mirror.epoch_version),
            ],
            ops: vec![Op::Put {
                key: SHARES_KEY.into(),
                value: serde_json::to_value(change.table.stored()).unwrap_or_default(),
                lease: None,
            }],
            deadline: now + TABLE_WRITE_S,
            tag: Tag::Shares,
        };
        shares.writing = self.writer.send(Class::Urgent, write).is_ok();
    }

    /// A write of the table was answered, or given up. What has no certain answer is
    /// written again, under the same conditions.
    pub(super) fn shares_written(&mut self, outcome: Outcome, now: Secs) {
        let Some(shares) = &mut self.shares else {
            return;
        };
        shares.writing = false;
        match outcome {
            Outcome::Done(version) => {
                let Some(change) = shares.handovers.to_write(&self.mirror.shares, now) else {
                    return;
                };
                let value = serde_json::to_value(change.table.stored()).unwrap_or_default();
                let change = self.mirror.put(SHARES_KEY, value, version);
                self.changed(change, now);
                if let Some(shares) = &mut self.shares {
                    shares.handovers.table_is(&self.mirror.shares, now);
                }
                self.tell_sides("");
            }
            Outcome::Conflict(_) | Outcome::Invalid | Outcome::TooMuch => {
                shares.refused_at = Some(now)
            }
            Outcome::Refused | Outcome::Unknown => {}
        }
    }

    fn begin_handover(&mut self, now: Secs) {
        let gap = self.settings.params.workers.report_s * PLAN_SHARE;
        let due = self
            .shares
            .as_ref()
            .is_some_and(|shares| now - shares.planned_at >= gap);
        if !due || self.state_down || !self.leader.all_joined() {
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
            table: &self.mirror.shares,
        };
        let Some(wanted) = shares.planner.next(fleet, &shares.handovers, now) else {
            return;
        };
        tracing::info!(range = %wanted.range, giver = wanted.giver, taker = wanted.taker, reason = ?wanted.reason, "a share is to move");
        if shares.handovers.begin(wanted, now) {
            self.tell_sides("");
        }
    }

    /// All machines on the roster, with home and owner.
    fn owned_machines(&self, members: &BTreeMap<String, u64>) -> Vec<OwnedMachine> {
        let owned = |id: &MachineId| {
            let home = membership::owner(members, id)?;
            let owner = self.owner_of(id)?;
            Some(OwnedMachine {
                home: home.into(),
                position: position(id),
                owner: owner.into(),
            })
        };
        self.mirror.roster.keys().filter_map(owned).collect()
    }

    /// Operators want shares to move.
    pub(super) fn take_plan(&mut self, plan: Plan, reply: Reply) {
        let leads = self.leading();
        let Some(epoch) = self.my_epoch() else {
            return reply.later(503, 1, "not a member now");
        };
        let members: BTreeSet<String> = epoch.members.keys().cloned().collect();
        if !leads {
            return reply.send(421, error_body(&format!("plan: {} leads", epoch.leader)));
        }
        if !epoch.shares {
            return reply.later(503, 5, "not all controllers go by the table of shares");
        }
        if let Err(why) = plan.check(&members) {
            return reply.send(400, error_body(&why.to_string()));
        }
        tracing::info!(?plan, "a plan of shares");
        if let Some(shares) = &mut self.shares {
            shares.planner.set_plan(plan);
        }
        reply.send(200, b"{}".to_vec());
    }

    /// Publishes the report, now and then.
    pub(super) fn publish_shares(&mut self, now: Secs) {
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

    fn shares_report(&self) -> SharesReport {
        let table = &self.mirror.shares;
        let share = |(range, owner): (&_, &str)| OwnedShare {
            range: Clone::clone(range),
            owner: owner.into(),
        };
        SharesReport {
            node: self.settings.node_name.clone(),
            epoch: self.part.epoch(),
            in_use: self.my_epoch().is_some_and(|epoch| epoch.shares),
            generation: table.generation,
            shares: table.shares().map(share).collect(),
            machines: self.part.listed_machines(),
            fenced: self.part.fenced_machines(),
            leader: self
                .shares
                .as_ref()
                .filter(|_| self.leading())
                .map(|shares| self.handovers_report(shares)),
        }
    }

    fn handovers_report(&self, shares: &Shares) -> HandoversReport {
        let told: BTreeSet<&MachineId> = self.leader.machines().map(|m| &m.id).collect();
        HandoversReport {
            under_way: shares.handovers.under_way().cloned().collect(),
            ended: shares.handovers.ended.clone(),
            machines_moved: shares.handovers.machines_moved,
            longest_s: shares.handovers.longest_s,
            without_owner: self
                .mirror
                .roster
                .keys()
                .filter(|id| !told.contains(id))
                .count(),
            plan: shares.planner.plan().clone(),
        }
    }
}
