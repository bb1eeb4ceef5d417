//! What only the leader does: dealing, committing what is finished, renting,
//! returning and replacing machines, and keeping the roster.

use super::inflight::{InFlight, Serial};
use super::{Controller, Tag};
use crate::assignment::{MachineFault, MachineNow};
use crate::clock::{self, Secs};
use crate::cloud;
use crate::failure_detection::{FailureDetector, MachineHealth, Verdict};
use crate::finished::{chunks_covering, tasks_per_chunk};
use crate::jobs::{job_key, JobRecord, RosterRecord, CATALOG_KEY};
use crate::rent::{self, Booting, InUse, Offer, LEAST_CHARGE_S};
use crate::settings::Workers;
use crate::state::{Class, Op, Outcome, Write, BULK_SHARE};
use crate::wire::{Catalog, JobId, Listed, MachineId, Rank, RentRequest, Shape};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

/// The most machines that one request may name.
const MOST_RENTED: u32 = 50;

/// The share of all replicas that may be moved in a second.
const MOVED_PER_S: f64 = 1.0 / 750.0;

/// The leader's dealings with the cloud.
#[derive(Debug, Default)]
pub(crate) struct Renting {
    counter: u64,
    /// Requests without a certain answer yet, and when to ask again.
    open: HashMap<String, (RentRequest, Secs, bool)>,
    blocked: HashMap<Offer, (Secs, u32)>,
    /// Deletions under way, and those answered.
    deleting: HashMap<MachineId, Secs>,
    pub(super) deleted: HashMap<MachineId, Secs>,
    listed_at: HashMap<MachineId, Secs>,
    stray_since: HashMap<MachineId, Secs>,
    list_due: Secs,
    catalog_due: Secs,
    catalog_pending: bool,
    list_pending: bool,
    rented_at: Secs,
    emptied_at: Secs,
    move_after: Secs,
    /// What is being committed as finished.
    finishing: InFlight<JobId, Vec<Op>>,
    /// When the present epoch began to be led.
    led_since: Secs,
    looked_at: Secs,
    kept_at: Secs,
    told_at: Secs,
}

impl Renting {
    /// This node leads from now on.
    pub(super) fn lead(&mut self, now: Secs) {
        self.led_since = now;
        self.list_due = 0.0;
        self.list_pending = false;
    }
    pub(super) fn forget(&mut self, id: &MachineId) {
        self.deleting.remove(id);
        self.listed_at.remove(id);
    }
    pub(super) fn catalog_written(&mut self) {
        self.catalog_pending = false;
    }
}

impl Controller {
    pub(super) fn lead(&mut self, now: Secs, end: Secs) {
        let deleted = &self.renting.deleted;
        self.leader.resolve(&self.mirror, &|id| deleted.contains_key(id));
        self.leader.run_gangs(self.mirror.all_run_gangs());
        let touched = self.leader.deal(&self.mirror, now, || clock::now() < end);
        for part in touched {
            self.send_orders(&part);
        }
        self.commit_finished(now);
        let report_s = self.settings.params.workers.report_s;
        if now - self.renting.kept_at > report_s / 40.0 {
            self.renting.kept_at = now;
            self.keep_roster(now);
        }
        // Looking over the whole fleet takes time in proportion to it.
        if now - self.renting.looked_at > report_s / 12.0 {
            self.renting.looked_at = now;
            self.rent_and_return(now);
            self.tell_state(now);
        }
    }

    /// For the log: what there is, and what waits, by rank.
    fn tell_state(&mut self, now: Secs) {
        if now - self.renting.told_at < self.settings.params.workers.report_s {
            return;
        }
        self.renting.told_at = now;
        let (jobs, dealt, unknown) = self.leader.counts();
        let mut waiting: BTreeMap<Rank, u32> = BTreeMap::new();
        for w in &self.leader.wants {
            *waiting.entry(w.spec.rank).or_default() += w.count;
        }
        tracing::info!(jobs, dealt, unknown, ?waiting, draining = self.leader.drain.len(), "state");
    }

    /// Commits what is seen done: the chunks of finished tasks, or the end of
    /// the job. Only then may anybody call it done, or a worker forget it.
    fn commit_finished(&mut self, now: Secs) {
        // Few at a time: they are paced by the write rate, and a job's end
        // must not wait behind the progress of others.
        let limits = self.settings.params.state.clone();
        let most = (limits.write_rps * BULK_SHARE / 2.0).max(2.0) as usize;
        let room = most.saturating_sub(self.renting.finishing.len());
        for f in self.leader.finishes(now, room, &self.mirror) {
            let Some(job) = self.mirror.jobs.get(&f.job).filter(|j| j.live()) else {
                self.leader.finish_answered(&f.job, now, now);
                continue;
            };
            let mut all = job.finished.clone();
            for &i in &f.tasks {
                all.add(i);
            }
            let mut conditions = vec![(job_key(&f.job), job.version)];
            let mut ops = Vec::new();
            if all.len() == job.record.tasks {
                let record = JobRecord { spec: None, done: true, ..job.record.clone() };
                ops.push(Op::Put {
                    key: job_key(&f.job),
                    value: serde_json::to_value(&record).unwrap_or_default(),
                    lease: None,
                });
                let room = limits.lowest_txn_ops().saturating_sub(1);
                for chunk in job.chunks.keys().take(room) {
                    ops.push(Op::Delete { key: chunk.key(&f.job) });
                }
            } else {
                let per_chunk = tasks_per_chunk(limits.lowest_value_kb());
                let ranges = chunks_covering(&f.tasks, job.record.tasks, per_chunk);
                for range in ranges.into_iter().take(limits.lowest_txn_ops()) {
                    let key = range.chunk.key(&f.job);
                    conditions.push((key.clone(), job.chunks.get(&range.chunk).copied().unwrap_or(0)));
                    let value = all.hex(range.first, range.len).into();
                    ops.push(Op::Put { key, value, lease: None });
                }
            }
            let serial = self.renting.finishing.next();
            let tag = Tag::Finish(f.job.clone(), serial);
            let write = Write { conditions, ops: ops.clone(), deadline: now + 2.0, tag };
            if self.writer.send(Class::Bulk, write).is_err() {
                self.leader.finish_answered(&f.job, now, now);
            } else {
                self.renting.finishing.sent(serial, f.job.clone(), ops);
            }
        }
    }

    /// What was committed is known at once: a second commit with the versions
    /// of before would only be refused, and count against the rate.
    pub(super) fn finish_written(&mut self, job: &JobId, serial: Serial, outcome: Outcome, now: Secs) {
        let ops = self.renting.finishing.answered(serial).map(|w| w.1).unwrap_or_default();
        match outcome {
            Outcome::Done(version) => {
                for op in ops {
                    if let Op::Put { key, value, .. } = op {
                        self.mirror.put(&key, value, version);
                    }
                }
                self.job_changed(job);
                self.leader.finish_answered(job, now, now);
            }
            _ => {
                let retry = now + self.settings.params.workers.report_s / 6.0;
                self.leader.finish_answered(job, now, retry);
            }
        }
    }

    fn delete(&mut self, ids: Vec<MachineId>, now: Secs) {
        let ids: Vec<MachineId> = ids
            .into_iter()
            .filter(|id| {
                !self.renting.deleted.contains_key(id)
                    && self.renting.deleting.get(id).is_none_or(|&t| now >= t)
            })
            .take(100)
            .collect();
        if ids.is_empty() {
            return;
        }
        for id in &ids {
            self.renting.deleting.insert(id.clone(), now + self.settings.params.workers.report_s * 2.0);
        }
        tracing::info!(?ids, "deleting machines");
        let _ = self.cloud.try_send(cloud::Ask::Delete(ids));
    }

    fn rent_and_return(&mut self, now: Secs) {
        let lag = self.settings.params.cloud.list_lag_s;
        if now >= self.renting.catalog_due && self.cloud.try_send(cloud::Ask::Catalog).is_ok() {
            self.renting.catalog_due = now + LEAST_CHARGE_S;
        }
        if now >= self.renting.list_due
            && !self.renting.list_pending
            && self.cloud.try_send(cloud::Ask::List).is_ok()
        {
            self.renting.list_pending = true;
            self.renting.list_due = now + lag.max(1.0);
        }
        let again: Vec<RentRequest> =
            self.renting.open.values().filter(|o| !o.2 && now >= o.1).map(|o| o.0.clone()).collect();
        for r in again {
            if self.cloud.try_send(cloud::Ask::Rent(r.clone())).is_ok() {
                if let Some(o) = self.renting.open.get_mut(&r.request) {
                    o.2 = true;
                }
            }
        }
        let Some(catalog) = self.mirror.catalog.clone() else { return };
        let knobs = self.policy.knobs.clone();
        let day = clock::day_ms();
        let reported: HashSet<MachineId> =
            self.leader.machines().filter(|m| m.heard).map(|m| m.id.clone()).collect();
        let Workers { report_s, lease_s, .. } = self.settings.params.workers;
        let signs = self.signs(now);
        let judge = FailureDetector::new(report_s, lease_s, signs.values());
        let mut booting = Vec::new();
        let mut never = Vec::new();
        let mut in_use = Vec::new();
        let mut zones: BTreeMap<Arc<str>, u32> = BTreeMap::new();
        let known = self
            .mirror
            .roster
            .iter()
            .map(|(id, (r, _))| (id, r))
            .chain(self.roster.fresh.iter().map(|(id, (_, r))| (id, r)))
            .filter({
                let mut seen = HashSet::new();
                move |(id, _)| seen.insert((*id).clone())
            });
        for (id, r) in known {
            let offer: Offer = (r.kind.clone(), r.zone.clone(), r.spot);
            let age_s = day.saturating_sub(r.at_ms) as f64 / 1000.0;
            if !r.spot {
                *zones.entry(r.zone.clone()).or_default() += 1;
            }
            if r.up || reported.contains(id) || self.renting.deleted.contains_key(id) {
                continue;
            }
            // Whether it is up can't be seen, and nothing can be run there.
            if judge.lost(&r.zone) {
                continue;
            }
            let boot = catalog.get(&r.kind).map_or(LEAST_CHARGE_S, |t| t.boot_s);
            // That it is up may not have been written before the leader changed.
            let heard_by_now = now - self.renting.led_since > report_s * 2.5;
            if age_s > boot * knobs.never_boots + 10.0 && heard_by_now {
                never.push(id.clone());
            } else {
                booting.push(Booting { id: id.clone(), offer, age_s });
            }
        }
        for (request, _, _) in self.renting.open.values() {
            for _ in 0..request.count {
                booting.push(Booting {
                    id: "".into(),
                    offer: (request.kind.clone(), request.zone.clone(), request.spot),
                    age_s: 0.0,
                });
            }
        }
        let faults = self.leader.close_faulty(&self.mirror);
        let mut dead = never;
        let mut drained = Vec::new();
        let mut free_ordinary = 0.0;
        for m in self.leader.machines_at(now) {
            let age_s = self
                .mirror
                .roster
                .get(&m.id)
                .map_or(0.0, |(r, _)| day.saturating_sub(r.at_ms) as f64 / 1000.0);
            let Some(sign) = signs.get(&m.id).filter(|_| !self.renting.deleted.contains_key(&m.id)) else {
                continue;
            };
            match judge.verdict(sign) {
                Verdict::Replace => {
                    tracing::debug!(id = %m.id, ?sign, "replaced");
                    dead.push(m.id.clone());
                    continue;
                }
                // Not idle: returned, the whole zone's machines were rented and
                // booted anew once the cut was over.
                Verdict::Wait => continue,
                Verdict::Keep => {}
            }
            let proven = faults.get(&m.id) == Some(&MachineFault::Proven);
            // Guard: a machine that is suspected for a while only is not returned.
            let empties = m.draining && m.certain && self.leader.drain.contains(&m.id);
            if m.tasks == 0 && (proven || empties) {
                drained.push(m.id.clone());
            }
            if !m.spot && m.open {
                // Of lower work there, half ends while a machine boots.
                free_ordinary += (m.free.cpus + m.yielding.cpus / 2.0).max(0.0);
            }
            in_use.push(InUse {
                id: m.id.clone(),
                offer: (m.kind.clone(), m.zone.clone(), m.spot),
                free: m.free,
                idle_s: m.idle_s,
                age_s,
                tasks: m.tasks,
                open: m.open && !self.leader.drain.contains(&m.id) && !faults.contains_key(&m.id),
                stays_cpus: catalog
                    .get(&m.kind)
                    .map_or(0.0, |t| t.cpus - m.free.cpus - m.yielding.cpus)
                    .max(0.0),
            });
        }
        dead.extend(drained);
        // Guard: a worker that hangs or obeys nothing keeps what its lease would
        // end. Deleted, it is gone for certain, in the time that is left.
        let after = self.settings.evict_after_s() - self.settings.params.time_bound_ms / 500.0;
        let not_rid = self.leader.not_rid(&self.mirror, day, after.max(0.0));
        if !not_rid.is_empty() {
            tracing::info!(?not_rid, "cancelled tasks may still be there");
        }
        dead.extend(not_rid);
        self.delete(dead, now);
        let service = self.leader.service_cpus();
        let spare = service * knobs.spare_share;
        self.leader.reserve = spare;
        for id in rent::returns(&in_use, &catalog, spare, &knobs) {
            self.leader.drain.insert(id);
        }
        if self.leader.wants.is_empty() {
            if now - self.renting.emptied_at > report_s {
                self.renting.emptied_at = now;
                for id in rent::to_empty(&in_use, &catalog, spare, &knobs) {
                    tracing::debug!(%id, "emptying");
                    self.leader.drain.insert(id);
                }
            }
            self.move_replicas(in_use, &catalog, spare, now);
        } else {
            // There is work for them after all: as many as it needs.
            let mut needed: f64 = self.leader.wants.iter().map(|w| w.ask.cpus * f64::from(w.count)).sum();
            for m in in_use.iter().filter(|m| m.tasks > 0) {
                if needed <= 0.0 || !self.leader.drain.contains(&m.id) {
                    continue;
                }
                needed -= m.free.cpus.max(0.0);
                self.leader.drain.remove(&m.id);
                self.leader.moving.remove(&m.id);
            }
        }
        let roster = &self.mirror.roster;
        self.leader.drain.retain(|id| roster.contains_key(id));
        self.leader.moving.retain(|id| roster.contains_key(id));
        if now - self.renting.rented_at < report_s / 3.0 || !self.leader.all_joined() {
            return;
        }
        let mut wants = self.leader.wants.clone();
        let like = self
            .mirror
            .jobs
            .values()
            .find_map(|j| j.record.spec.clone().filter(|s| s.shape == Shape::Service && j.live()));
        if let Some(want) = like.and_then(|s| rent::spare_want(spare - free_ordinary, &s)) {
            wants.push(want);
        }
        if wants.is_empty() {
            return;
        }
        self.renting.rented_at = now;
        let blocked = self.renting.blocked.clone();
        let orders = rent::rent(&wants, &booting, &zones, &catalog, &knobs, &|o| {
            judge.lost(&o.1) || blocked.get(o).is_some_and(|b| now < b.0)
        });
        for ((kind, zone, spot), mut count) in orders {
            while count > 0 {
                self.renting.counter += 1;
                let request = RentRequest {
                    request: format!("fw-{}-{}", self.inc, self.renting.counter),
                    kind: kind.clone(),
                    zone: zone.clone(),
                    spot,
                    count: count.min(MOST_RENTED),
                };
                count -= request.count;
                if self.cloud.try_send(cloud::Ask::Rent(request.clone())).is_err() {
                    break;
                }
                tracing::info!(?request, "renting");
                self.renting.open.insert(request.request.clone(), (request, now, true));
            }
        }
    }

    /// Moves the replicas of a machine that is mostly empty, so that it can be
    /// returned. Each is away for about a second, so that only a small share of
    /// all is moved in any while.
    fn move_replicas(&mut self, mut in_use: Vec<InUse>, catalog: &Catalog, spare: f64, now: Secs) {
        if !self.leader.resolved() {
            return;
        }
        let report_s = self.settings.params.workers.report_s;
        let all = self.leader.service_cpus().max(1.0);
        let mut moved = 0.0;
        let after = &mut self.renting.move_after;
        *after = after.max(now - report_s / 12.0);
        while now >= *after {
            let Some(m) = rent::to_move(&in_use, catalog, spare + moved) else { return };
            let (id, cpus) = (m.id.clone(), m.stays_cpus);
            tracing::debug!(%id, cpus, "moving its replicas");
            moved += cpus;
            *after += (cpus / all / MOVED_PER_S).max(report_s / 100.0);
            in_use.retain(|m| m.id != id);
            self.leader.drain.insert(id.clone());
            self.leader.moving.insert(id);
        }
    }

    /// What every machine that was in use shows of itself. One that was in use
    /// before this epoch and hasn't been heard in it is silent too: it may have
    /// died while nobody led.
    fn signs(&self, now: Secs) -> HashMap<MachineId, MachineHealth> {
        let report_s = self.settings.params.workers.report_s;
        let met = self.leader.met(report_s * 4.0);
        let used = |m: &MachineNow| m.heard || self.mirror.roster.get(&m.id).is_some_and(|(r, _)| r.up);
        let sign = |m: MachineNow| {
            let sign = MachineHealth {
                zone: m.zone.clone(),
                certain: m.certain,
                silent_s: m.silent_s,
                deaf_s: m.deaf_s,
                reached: m.reached,
                met: met.contains(&m.id),
                heedless: m.heedless,
                owner_unheard: m.heedless && self.leader.owner_unheard(&m.id),
            };
            (m.id.clone(), sign)
        };
        self.leader.machines_at(now).filter(used).map(sign).collect()
    }

    pub(super) fn cloud_answer(&mut self, answer: cloud::Answer, now: Secs) {
        let lag = self.settings.params.cloud.list_lag_s;
        match answer {
            cloud::Answer::Catalog(catalog) => {
                let known = self.mirror.catalog.as_deref();
                if known != Some(&catalog) && self.leading() && !self.renting.catalog_pending {
                    let write = Write {
                        conditions: vec![(CATALOG_KEY.into(), self.mirror.catalog_version)],
                        ops: vec![Op::Put {
                            key: CATALOG_KEY.into(),
                            value: serde_json::to_value(&catalog).unwrap_or_default(),
                            lease: None,
                        }],
                        deadline: now + 2.0,
                        tag: Tag::Catalog,
                    };
                    self.renting.catalog_pending = self.writer.send(Class::Bulk, write).is_ok();
                }
            }
            cloud::Answer::Rented { request, machines } => {
                self.renting.open.remove(&request.request);
                tracing::info!(?machines, "rented");
                let offer = (request.kind.clone(), request.zone.clone(), request.spot);
                if (machines.len() as u32) < request.count {
                    self.block(offer, now);
                } else {
                    self.renting.blocked.remove(&offer);
                }
                let record = RosterRecord {
                    kind: request.kind.clone(),
                    zone: request.zone.clone(),
                    spot: request.spot,
                    up: false,
                    at_ms: clock::day_ms(),
                    addr: None,
                };
                self.enlist(machines, &request.request, &record);
            }
            cloud::Answer::NoCapacity(request) => {
                self.renting.open.remove(&request.request);
                self.block((request.kind, request.zone, request.spot), now);
            }
            cloud::Answer::RentRefused(request) => {
                self.renting.open.remove(&request.request);
                self.block((request.kind, request.zone, request.spot), now);
            }
            cloud::Answer::RentUnknown(request) => {
                if let Some(o) = self.renting.open.get_mut(&request.request) {
                    *o = (request, now + 1.5, false);
                }
            }
            cloud::Answer::Deleted(machines) => {
                for id in machines {
                    self.renting.deleting.remove(&id);
                    self.renting.deleted.insert(id, now);
                }
            }
            cloud::Answer::DeleteFailed(machines) => {
                for id in machines {
                    self.renting.deleting.insert(id, now + 1.5);
                }
            }
            cloud::Answer::List { asked, machines } => {
                self.renting.list_pending = false;
                self.take_list(asked, machines, lag, now);
            }
            cloud::Answer::Failed => {
                self.renting.list_pending = false;
                self.renting.catalog_due = self.renting.catalog_due.min(now + 3.0);
            }
        }
    }

    fn block(&mut self, offer: Offer, now: Secs) {
        // Capacity comes back as machines are returned; ask again after a
        // while, and less often the longer there is none.
        let b = self.renting.blocked.entry(offer).or_insert((0.0, 0));
        b.1 = (b.1 + 1).min(4);
        b.0 = now + self.settings.params.workers.report_s * f64::from(b.1) * 2.0;
    }

    /// Takes in a machine list. It may be up to twice the lag old, so a
    /// machine missing from it is certainly gone only if an earlier list,
    /// received before this one can have been made, had it.
    fn take_list(&mut self, asked: Secs, machines: Vec<Listed>, lag: Secs, now: Secs) {
        if !self.leading() {
            return;
        }
        let present: HashSet<&MachineId> = machines.iter().map(|m| &m.id).collect();
        let mut gone = Vec::new();
        for id in self.mirror.roster.keys() {
            if present.contains(id) {
                self.renting.listed_at.insert(id.clone(), now);
            } else if self.renting.listed_at.get(id).is_some_and(|&t| t < asked - 2.0 * lag - 0.5) {
                gone.push(id.clone());
            }
        }
        for id in gone {
            tracing::info!(%id, "no longer listed: gone");
            self.renting.deleted.insert(id, now);
        }
        let mut failed = Vec::new();
        for m in &machines {
            if m.state == "failed" {
                failed.push(m.id.clone());
                continue;
            }
            if self.mirror.roster.contains_key(&m.id)
                || self.roster.fresh.contains_key(&m.id)
                || self.renting.deleted.contains_key(&m.id)
            {
                self.renting.stray_since.remove(&m.id);
                continue;
            }
            // Rented by a request that was carried out late, or by an earlier
            // leader: use it, once the list can't be a memory of one deleted.
            let since = *self.renting.stray_since.entry(m.id.clone()).or_insert(now);
            if now - since > 2.0 * lag + 1.0 {
                let record = RosterRecord {
                    kind: m.kind.clone(),
                    zone: m.zone.clone(),
                    spot: m.spot,
                    up: false,
                    at_ms: clock::day_ms().saturating_sub((m.age_s.clamp(0.0, 1e9) * 1000.0) as u64),
                    addr: m.addr.as_deref().map(Into::into),
                };
                self.enlist_stray(m.id.clone(), record);
            }
        }
        self.renting.stray_since.retain(|id, _| present.contains(id));
        self.delete(failed, now);
    }
}
