//! One round of the leader: assigning tasks, committing what is finished, and, less
//! often, keeping the roster and looking over the fleet.

use super::Controller;
use crate::clock::{self, Secs};
use crate::wire::Rank;
use std::collections::BTreeMap;

/// When the leader last did what it does less often than every round.
#[derive(Debug, Default)]
pub(crate) struct LeaderPace {
    reviewed_fleet: Secs,
    kept_roster: Secs,
    logged_state: Secs,
}

impl Controller {
    /// One round, whose decisions take no longer than until `end`.
    pub(super) fn lead(&mut self, now: Secs, end: Secs) {
        let deleted = &self.renting.deleted;
        self.leader
            .resolve(&self.mirror, &|id| deleted.contains_key(id));
        self.leader.run_gangs(self.mirror.all_run_gangs());
        let touched = self
            .leader
            .assign_tasks(&self.mirror, now, || clock::now() < end);
        for part in touched {
            self.send_orders(&part);
        }
        self.commit_finished(now);
        let report_s = self.settings.params.workers.report_s;
        if now - self.pace.kept_roster > report_s / 40.0 {
            self.pace.kept_roster = now;
            self.keep_roster(now);
        }
        // Looking over the whole fleet takes time in proportion to it.
        if now - self.pace.reviewed_fleet > report_s / 12.0 {
            self.pace.reviewed_fleet = now;
            self.rent_and_return(now);
            self.move_shares(now);
            self.log_state(now);
        }
    }

    /// For the log: what there is, and what waits, by rank.
    fn log_state(&mut self, now: Secs) {
        if now - self.pace.logged_state < self.settings.params.workers.report_s {
            return;
        }
        self.pace.logged_state = now;
        let (jobs, assigned, unknown) = self.leader.counts();
        let mut waiting: BTreeMap<Rank, u32> = BTreeMap::new();
        for want in &self.leader.wants {
            *waiting.entry(want.spec.rank).or_default() += want.count;
        }
        tracing::info!(
            jobs,
            dealt = assigned,
            unknown,
            ?waiting,
            draining = self.leader.drain.len(),
            "state"
        );
    }
}
