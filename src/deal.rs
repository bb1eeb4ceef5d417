//! The leader: which tasks wait, which part holds which, what is to be
//! committed as finished. Pure, like [`crate::fleet`].
//!
//! A task is in exactly one of three conditions: free (certainly nowhere),
//! dealt (one part answers for it), or unknown (since the epoch began nobody
//! has proven where it is). Only free tasks are dealt.

use crate::clock::{self, Secs};
use crate::fleet::{Deal, Leave, MachineView, Orders, PartReport, Phase};
use crate::jobs::{Bits, Epoch, Mirror};
use crate::place;
use crate::rent::Want;
use crate::settings::{Settings, Team};
use crate::wire::{JobId, JobSpec, MachineId, Rank, Res, Shape, Task};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

#[derive(Debug, Clone)]
struct Dealt {
    part: String,
    attempt: u64,
    /// The part has listed it: it need not be sent again.
    listed: bool,
    phase: Phase,
    machine: Option<MachineId>,
}

#[derive(Debug)]
struct Entry {
    spec: Arc<JobSpec>,
    at_ms: u64,
    unknown: Bits,
    dealt: BTreeMap<u32, Dealt>,
    /// Seen done by a part, not yet committed.
    finishing: Bits,
    committing: bool,
    commit_after: Secs,
    not_before: Secs,
    errors: BTreeMap<MachineId, u32>,
    passed_at: Option<Secs>,
    /// What each part was told that zones may still take.
    room: BTreeMap<String, Vec<(Arc<str>, u32)>>,
}

/// A part as its last report tells it.
#[derive(Debug)]
pub struct PartView {
    inc: u64,
    seq: u64,
    pub machines: BTreeMap<MachineId, MachineView>,
    met: HashMap<MachineId, f64>,
    orders_seq: u64,
    heard: Secs,
}

/// The leader's table.
#[derive(Debug)]
pub struct Leader {
    epoch: u64,
    inc: u64,
    members: BTreeMap<String, u64>,
    jobs: BTreeMap<JobId, Entry>,
    pub parts: BTreeMap<String, PartView>,
    resolved: bool,
    /// Parts whose holdings have come in since the last task became unknown.
    joined: BTreeSet<String>,
    attempts: u64,
    teams: HashMap<Arc<str>, Team>,
    start_aims: HashMap<Arc<str>, f64>,
    aims: Aims,
    report_s: Secs,
    /// Machines that take no more tasks.
    pub drain: BTreeSet<MachineId>,
    /// What could not be dealt in the last round, for renting.
    pub wants: Vec<Want>,
    cursor: Option<JobId>,
}

/// Finished tasks to commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finish {
    pub job: JobId,
    pub tasks: Vec<u32>,
}

impl Leader {
    /// A leader of no epoch.
    pub fn new(settings: &Settings) -> Leader {
        Leader {
            epoch: 0,
            inc: 0,
            members: BTreeMap::new(),
            jobs: BTreeMap::new(),
            parts: BTreeMap::new(),
            resolved: false,
            joined: BTreeSet::new(),
            attempts: 0,
            teams: settings.params.teams.iter().map(|t| (t.name.as_str().into(), t.clone())).collect(),
            start_aims: settings.start_aims(),
            aims: Aims::new(settings),
            report_s: settings.params.workers.report_s,
            drain: BTreeSet::new(),
            wants: Vec::new(),
            cursor: None,
        }
    }

    /// Enters an epoch as its leader. The table is kept if this incarnation
    /// led the one just before; what was dealt is unknown until it is seen.
    pub fn enter(&mut self, e: &Epoch, inc: u64, mirror: &Mirror) {
        let stays = self.inc == inc && self.epoch + 1 == e.n;
        if !stays {
            self.jobs.clear();
            self.drain.clear();
        }
        self.epoch = e.n;
        self.inc = inc;
        self.members = e.members.clone();
        self.parts.clear();
        self.joined.clear();
        self.resolved = false;
        self.attempts = 0;
        for job in self.jobs.values_mut() {
            let dealt = std::mem::take(&mut job.dealt);
            for index in dealt.into_keys() {
                job.unknown.add(index);
            }
            job.committing = false;
        }
        let ids: Vec<JobId> = mirror.jobs.keys().cloned().collect();
        for id in ids {
            self.job_changed(&id, mirror);
        }
    }

    /// A job is new or has changed in the mirror.
    pub fn job_changed(&mut self, id: &JobId, mirror: &Mirror) {
        let Some(job) = mirror.jobs.get(id) else { return };
        let Some(spec) = job.record.spec.clone().filter(|_| !job.record.done) else {
            if self.jobs.get(id).is_some_and(|e| e.dealt.is_empty()) {
                self.jobs.remove(id);
            }
            return;
        };
        if !self.jobs.contains_key(id) {
            let mut unknown = Bits::default();
            // Accepted in this epoch: nobody can have dealt it before us.
            if job.record.epoch < self.epoch {
                for index in (0..spec.tasks).filter(|&i| !job.finished.has(i)) {
                    unknown.add(index);
                }
            }
            if job.record.cancelled && unknown.is_empty() {
                return;
            }
            if !unknown.is_empty() {
                // Reports taken in before this job was known said nothing of it.
                self.resolved = false;
                self.joined.clear();
            }
            let entry = Entry {
                at_ms: job.record.at_ms,
                spec,
                unknown,
                dealt: BTreeMap::new(),
                finishing: Bits::default(),
                committing: false,
                commit_after: 0.0,
                not_before: 0.0,
                errors: BTreeMap::new(),
                passed_at: None,
                room: BTreeMap::new(),
            };
            self.jobs.insert(id.clone(), entry);
        }
        let Some(entry) = self.jobs.get_mut(id) else { return };
        let over: Vec<u32> = entry.finishing.iter().filter(|&i| job.finished.has(i)).collect();
        for i in over {
            entry.finishing.remove(i);
            entry.unknown.remove(i);
            entry.dealt.remove(&i);
        }
        if job.record.cancelled {
            entry.finishing = Bits::default();
            if self.resolved && entry.dealt.is_empty() {
                self.jobs.remove(id);
            }
        }
    }

    /// Takes in a part's report. False if it is none of this epoch's.
    pub fn part_report(&mut self, r: PartReport, mirror: &Mirror, now: Secs) -> bool {
        if r.epoch != self.epoch || self.members.get(&r.node) != Some(&r.inc) {
            return false;
        }
        let view = self.parts.entry(r.node.clone()).or_insert_with(|| PartView {
            inc: r.inc,
            seq: 0,
            machines: BTreeMap::new(),
            met: HashMap::new(),
            orders_seq: 0,
            heard: now,
        });
        if r.seq <= view.seq || r.inc != view.inc {
            return false;
        }
        view.seq = r.seq;
        view.heard = now;
        self.joined.insert(r.node.clone());
        view.met = r.met.into_iter().collect();
        view.machines = r.machines.into_iter().map(|m| (m.id.clone(), m)).collect();
        let mut listed: HashSet<(JobId, u32)> = HashSet::new();
        for h in r.held {
            let Some(entry) = self.jobs.get_mut(&h.task.job) else { continue };
            let i = h.task.index;
            listed.insert((h.task.job.clone(), i));
            if h.phase == Phase::Done && !job_has(mirror, &h.task) {
                entry.finishing.add(i);
            }
            entry.unknown.remove(i);
            let d = Dealt {
                part: r.node.clone(),
                attempt: h.attempt,
                listed: true,
                phase: h.phase,
                machine: h.machine,
            };
            match entry.dealt.get(&i) {
                // Two parts list it (a machine changed hands): the newer word
                // of the later attempt stands, until one of them is gone.
                Some(old) if old.part != d.part && old.attempt > d.attempt => {}
                _ => {
                    entry.dealt.insert(i, d);
                }
            }
        }
        for g in r.gone {
            let Some(entry) = self.jobs.get_mut(&g.task.job) else { continue };
            let i = g.task.index;
            let ours = entry.dealt.get(&i).is_some_and(|d| d.part == r.node && d.attempt == g.attempt);
            if !ours {
                continue;
            }
            entry.dealt.remove(&i);
            match g.how {
                Leave::Error => {
                    if let Some(m) = g.machine {
                        *entry.errors.entry(m).or_default() += 1;
                    }
                    // One that fails wherever it runs would otherwise take the
                    // same room again and again: wait longer each time.
                    let total: u32 = entry.errors.values().sum();
                    if entry.errors.len() >= 2 {
                        entry.not_before = now + self.report_s * f64::from(1u32 << total.min(6));
                    }
                }
                Leave::Passed => entry.passed_at = Some(now),
                Leave::Stopped | Leave::Lost => {}
            }
        }
        // What a part had listed and lists no more, without a word, is
        // somewhere we don't know.
        for (id, entry) in &mut self.jobs {
            let missing: Vec<u32> = entry
                .dealt
                .iter()
                .filter(|(i, d)| d.part == r.node && d.listed && !listed.contains(&(id.clone(), **i)))
                .map(|(i, _)| *i)
                .collect();
            for i in missing {
                entry.dealt.remove(&i);
                if !mirror.jobs.get(id).is_some_and(|j| j.finished.has(i) || j.record.done) {
                    entry.unknown.add(i);
                    self.resolved = false;
                }
            }
        }
        self.jobs.retain(|id, e| {
            !e.dealt.is_empty() || !e.unknown.is_empty() || mirror.jobs.get(id).is_some_and(|j| j.live())
        });
        true
    }

    /// Machines whose content nobody knows yet under this epoch.
    pub fn uncertain<'a>(&'a self, mirror: &'a Mirror) -> impl Iterator<Item = &'a MachineId> + 'a {
        mirror.roster.iter().filter(|(_, (r, _))| r.up).map(|(id, _)| id).filter(|id| {
            !crate::membership::owner(&self.members, id)
                .and_then(|o| self.parts.get(o))
                .and_then(|p| p.machines.get(*id))
                .is_some_and(|m| m.certain)
        })
    }

    /// Whether every member has sent its holdings in this epoch.
    pub fn all_joined(&self) -> bool {
        self.members.keys().all(|m| self.joined.contains(m))
    }

    /// Frees unknown tasks once they are proven to be nowhere: every part has
    /// told its holdings, and the owner of every machine that may run tasks is
    /// certain of what is on it. Only the owner can say that a worker's lease
    /// must be past, since it knows whether it has answered it: by the age of
    /// the epoch alone, a worker answered a moment ago would count as empty.
    pub fn resolve(&mut self, mirror: &Mirror) {
        if self.resolved || !self.all_joined() || self.uncertain(mirror).next().is_some() {
            return;
        }
        self.resolved = true;
        for entry in self.jobs.values_mut() {
            entry.unknown = Bits::default();
        }
        self.jobs.retain(|id, e| !e.dealt.is_empty() || mirror.jobs.get(id).is_some_and(|j| j.live()));
    }

    /// Whether nothing is in doubt any more.
    pub fn resolved(&self) -> bool {
        self.resolved
    }

    /// Tasks seen done and not committed, job by job; each job once at a time.
    pub fn finishes(&mut self, now: Secs) -> Vec<Finish> {
        let mut out = Vec::new();
        for (id, e) in &mut self.jobs {
            if !e.committing && !e.finishing.is_empty() && now >= e.commit_after {
                e.committing = true;
                out.push(Finish { job: id.clone(), tasks: e.finishing.iter().collect() });
            }
        }
        out
    }

    /// A commit of finished tasks has been answered; another may follow from
    /// `after` on.
    pub fn finish_answered(&mut self, job: &JobId, after: Secs) {
        if let Some(e) = self.jobs.get_mut(job) {
            e.committing = false;
            e.commit_after = after;
        }
    }

    fn used(&self) -> HashMap<Arc<str>, Res> {
        let mut used: HashMap<Arc<str>, Res> = HashMap::new();
        for e in self.jobs.values() {
            let n = f64::from(e.dealt.len() as u32 + e.unknown.len());
            let u = used.entry(e.spec.team.clone()).or_default();
            u.cpus += n * e.spec.cpus;
            u.gpus += n * e.spec.gpus;
        }
        used
    }

    /// Free room of every open machine, less what is dealt and not placed.
    fn rooms(&self) -> BTreeMap<String, BTreeMap<MachineId, (Res, &MachineView)>> {
        let mut rooms: BTreeMap<String, BTreeMap<MachineId, (Res, &MachineView)>> = self
            .parts
            .iter()
            .map(|(name, p)| {
                let open = p
                    .machines
                    .values()
                    .filter(|m| m.open && !self.drain.contains(&m.id))
                    .map(|m| (m.id.clone(), (m.free, m)))
                    .collect();
                (name.clone(), open)
            })
            .collect();
        for e in self.jobs.values() {
            for d in e.dealt.values().filter(|d| d.machine.is_none()) {
                if let Some(room) = rooms.get_mut(&d.part) {
                    let wish = Wish { spec: &e.spec, avoid: &[], quick: false, preempts: false };
                    if let Some(id) = best_in(room, &wish, None) {
                        take(room, &id, &e.spec);
                    }
                }
            }
        }
        rooms
    }

    /// One round of dealing: as many free tasks as fit, in order of rank and
    /// age, until `more` says that the time is over; the next round goes on
    /// from there. Returns the parts that have new orders.
    pub fn deal(&mut self, mirror: &Mirror, now: Secs, mut more: impl FnMut() -> bool) -> BTreeSet<String> {
        let mut touched = BTreeSet::new();
        if self.parts.is_empty() {
            return touched;
        }
        let day = clock::day_ms();
        let mut order: Vec<(Rank, u8, i64, JobId)> = self
            .jobs
            .iter()
            .filter(|(id, e)| {
                mirror.jobs.get(*id).is_some_and(|j| j.live())
                    && now >= e.not_before
                    && (e.dealt.len() as u32 + e.unknown.len()) < e.spec.tasks
            })
            .map(|(id, e)| {
                let (tier, due) = urgency(&e.spec, e.at_ms, day, &self.aims);
                (e.spec.rank, tier, due, id.clone())
            })
            .collect();
        order.sort();
        if let Some(at) = self.cursor.take() {
            if let Some(pos) = order.iter().position(|o| o.3 == at) {
                order.rotate_left(pos);
            }
        }
        let mut used = self.used();
        let rooms_now = self.rooms();
        let mut rooms: BTreeMap<String, BTreeMap<MachineId, (Res, MachineView)>> = rooms_now
            .into_iter()
            .map(|(p, ms)| (p, ms.into_iter().map(|(id, (r, v))| (id, (r, v.clone()))).collect()))
            .collect();
        let mut wants = Vec::new();
        for (_, _, _, id) in order {
            if !more() {
                self.cursor = Some(id);
                break;
            }
            let Some(job) = mirror.jobs.get(&id) else { continue };
            let Some(e) = self.jobs.get(&id) else { continue };
            let free: Vec<u32> = (0..e.spec.tasks)
                .filter(|&i| {
                    !job.finished.has(i)
                        && !e.finishing.has(i)
                        && !e.unknown.has(i)
                        && !e.dealt.contains_key(&i)
                })
                .collect();
            let spec = e.spec.clone();
            let team = self.teams.get(&spec.team);
            let u = used.entry(spec.team.clone()).or_default();
            let left = Res {
                cpus: team.map_or(0.0, |t| t.cpu_cap()) - u.cpus,
                gpus: team.map_or(0.0, |t| t.gpu_cap()) - u.gpus,
                mem: f64::INFINITY,
            };
            let quota = left.count(&Res { mem: 0.0, ..spec.ask() }) as usize;
            let free: Vec<u32> = free.into_iter().take(quota).collect();
            if free.is_empty() {
                continue;
            }
            let avoid: Vec<MachineId> = e.errors.keys().cloned().collect();
            let wish = Wish {
                spec: &spec,
                avoid: &avoid,
                quick: place::in_a_hurry(&spec, &self.start_aims, mirror.catalog.as_deref()),
                preempts: spec.rank == Rank::Prod,
            };
            let dealt = if spec.shape == Shape::Gang {
                self.deal_gang(&id, &wish, &free, &mut rooms)
            } else if spec.one_zone || spec.scatter {
                self.deal_bound(&id, &wish, &free, &mut rooms, mirror)
            } else if spec.whole() {
                deal_whole(&wish, &free, &mut rooms)
            } else {
                deal_array(&wish, &free, &mut rooms)
            };
            let placed: usize = dealt.iter().map(|d| d.1.len()).sum();
            if placed < free.len() {
                wants.push(Want {
                    ask: spec.ask(),
                    count: (free.len() - placed) as u32,
                    spec: spec.clone(),
                    age_s: clock::day_ms().saturating_sub(self.jobs[&id].at_ms) as f64 / 1000.0,
                });
            }
            u.cpus += placed as f64 * spec.cpus;
            u.gpus += placed as f64 * spec.gpus;
            for (part, tasks) in dealt {
                touched.insert(part.clone());
                for index in tasks {
                    self.attempts += 1;
                    let attempt = (self.epoch << 24) | self.attempts;
                    if let Some(e) = self.jobs.get_mut(&id) {
                        e.dealt.insert(
                            index,
                            Dealt {
                                part: part.clone(),
                                attempt,
                                listed: false,
                                phase: Phase::Queued,
                                machine: None,
                            },
                        );
                    }
                }
            }
        }
        for w in wants.iter().filter(|w| w.spec.rank == Rank::Prod) {
            tracing::debug!(job = %w.spec.id, count = w.count, "no room");
        }
        self.wants = wants;
        touched
    }

    /// Jobs whose tasks depend on each other. The leader counts the zones, so
    /// nothing is dealt while any task's zone isn't known, and what is dealt
    /// goes whole to one part with what each zone may still take.
    fn deal_bound(
        &mut self,
        id: &JobId,
        wish: &Wish,
        free: &[u32],
        rooms: &mut Rooms,
        mirror: &Mirror,
    ) -> Vec<(String, Vec<u32>)> {
        let spec = wish.spec;
        let Some(e) = self.jobs.get(id) else { return Vec::new() };
        if !e.unknown.is_empty() {
            return Vec::new();
        }
        let mut counts: BTreeMap<Arc<str>, u32> = BTreeMap::new();
        for d in e.dealt.values() {
            let zone = d.machine.as_ref().and_then(|m| mirror.roster.get(m)).map(|(r, _)| r.zone.clone());
            match zone {
                Some(z) => *counts.entry(z).or_default() += 1,
                None => return Vec::new(),
            }
        }
        let zones: BTreeSet<Arc<str>> =
            rooms.values().flat_map(|r| r.values().map(|(_, v)| v.zone.clone())).collect();
        let room: Vec<(Arc<str>, u32)> = zones
            .into_iter()
            .filter(|z| !spec.one_zone || counts.is_empty() || counts.contains_key(z))
            .map(|z| {
                let n = spec.zone_cap().saturating_sub(counts.get(&z).copied().unwrap_or(0));
                (z, n)
            })
            .collect();
        // The roomiest part that can take them all; else the one that takes
        // the most.
        let mut best: Option<(u32, f64, String, Vec<MachineId>)> = None;
        for (part, machines) in rooms.iter() {
            let chosen = try_place(wish, free.len(), machines, &room);
            let total: f64 = machines.values().map(|(r, _)| r.cpus).sum();
            let key = (chosen.len() as u32, warm(wish, machines, &chosen) as f64 * 1e6 + total);
            if !chosen.is_empty() && best.as_ref().is_none_or(|b| key > (b.0, b.1)) {
                best = Some((key.0, key.1, part.clone(), chosen));
            }
        }
        let Some((_, _, part, chosen)) = best else { return Vec::new() };
        if spec.one_zone && chosen.len() < free.len() && e.dealt.is_empty() {
            return Vec::new();
        }
        if let Some(machines) = rooms.get_mut(&part) {
            for m in &chosen {
                take(machines, m, spec);
            }
        }
        let tasks = free[..chosen.len()].to_vec();
        if let Some(e) = self.jobs.get_mut(id) {
            e.room = [(part.clone(), room)].into_iter().collect();
        }
        vec![(part, tasks)]
    }

    /// Gangs are the leader's own: dealt only when every task is free and all
    /// fit at once, over as many parts as that takes.
    fn deal_gang(
        &mut self,
        id: &JobId,
        wish: &Wish,
        free: &[u32],
        rooms: &mut Rooms,
    ) -> Vec<(String, Vec<u32>)> {
        let spec = wish.spec;
        let Some(e) = self.jobs.get_mut(id) else { return Vec::new() };
        if !e.unknown.is_empty() || !e.dealt.is_empty() {
            return Vec::new();
        }
        let all: BTreeMap<MachineId, (Res, MachineView)> =
            rooms.values().flat_map(|r| r.iter().map(|(id, m)| (id.clone(), m.clone()))).collect();
        let zones: BTreeSet<Arc<str>> = all.values().map(|(_, v)| v.zone.clone()).collect();
        let caps: Vec<(Arc<str>, u32)> = zones.into_iter().map(|z| (z, spec.zone_cap())).collect();
        let chosen = try_place(wish, free.len(), &all, &caps);
        if chosen.len() < free.len() {
            return Vec::new();
        }
        let mut out: BTreeMap<String, Vec<u32>> = BTreeMap::new();
        e.room.clear();
        for (m, &index) in chosen.iter().zip(free) {
            let Some(part) = rooms.iter().find(|(_, r)| r.contains_key(m)).map(|(p, _)| p.clone()) else {
                return Vec::new();
            };
            let zone = &all[m].1.zone;
            let told = e.room.entry(part.clone()).or_default();
            match told.iter_mut().find(|(z, _)| z == zone) {
                Some((_, n)) => *n += 1,
                None => told.push((zone.clone(), 1)),
            }
            if let Some(r) = rooms.get_mut(&part) {
                take(r, m, spec);
            }
            out.entry(part).or_default().push(index);
        }
        out.into_iter().collect()
    }

    /// The orders for a part: everything it hasn't listed yet, again and again.
    pub fn orders(&mut self, node: &str) -> Option<Orders> {
        let view = self.parts.get_mut(node)?;
        view.orders_seq += 1;
        let (seq, ack) = (view.orders_seq, view.seq);
        let mut deals = Vec::new();
        let mut running = Vec::new();
        for (id, e) in &self.jobs {
            let tasks: Vec<(u32, u64)> = e
                .dealt
                .iter()
                .filter(|(_, d)| d.part == node && !d.listed)
                .map(|(i, d)| (*i, d.attempt))
                .collect();
            if !tasks.is_empty() {
                deals.push(Deal {
                    job: id.clone(),
                    tasks,
                    zone_room: e.room.get(node).cloned().filter(|_| e.spec.one_zone || e.spec.scatter),
                    avoid: e.errors.keys().cloned().collect(),
                });
            }
            let n = e.dealt.values().filter(|d| matches!(d.phase, Phase::Running | Phase::Saving)).count();
            if n > 0 {
                running.push((id.clone(), n as u32));
            }
        }
        Some(Orders {
            epoch: self.epoch,
            node: node.into(),
            seq,
            ack,
            deals,
            recall: Vec::new(),
            drain: self.drain.iter().cloned().collect(),
            running,
        })
    }

    /// Every machine that some part reports.
    pub fn machines(&self) -> impl Iterator<Item = &MachineView> {
        self.parts.iter().flat_map(move |(name, p)| {
            p.machines
                .values()
                .filter(move |m| crate::membership::owner(&self.members, &m.id) == Some(name.as_str()))
        })
    }

    /// Whether a machine is silent for its owner only: some other controller
    /// has met its worker within `age`.
    pub fn met(&self, id: &MachineId, age: Secs) -> bool {
        self.parts.values().any(|p| p.met.get(id).is_some_and(|&a| a < age))
    }

    /// Whether a machine's owner has heard another machine of the zone since
    /// this one stopped answering: then it isn't the zone that is cut off. A
    /// report that came through a third controller shows nothing of the kind.
    pub fn zone_heard_since(&self, m: &MachineView, age: Secs) -> bool {
        let owner = crate::membership::owner(&self.members, &m.id);
        owner.and_then(|o| self.parts.get(o)).is_some_and(|p| {
            p.machines.values().any(|o| o.id != m.id && o.zone == m.zone && o.met_s.is_some_and(|s| s < age))
        })
    }

    /// A part's age of news.
    pub fn part_silence(&self, node: &str, now: Secs) -> Option<Secs> {
        self.parts.get(node).map(|p| now - p.heard)
    }

    /// Counts for the log: jobs, dealt, unknown.
    pub fn counts(&self) -> (usize, usize, u32) {
        let dealt = self.jobs.values().map(|e| e.dealt.len()).sum();
        let unknown = self.jobs.values().map(|e| e.unknown.len()).sum();
        (self.jobs.len(), dealt, unknown)
    }

    /// CPUs that replicas of services take now.
    pub fn service_cpus(&self) -> f64 {
        self.jobs
            .values()
            .filter(|e| e.spec.shape == Shape::Service)
            .map(|e| e.spec.cpus * e.dealt.len() as f64)
            .sum()
    }
}

type Rooms = BTreeMap<String, BTreeMap<MachineId, (Res, MachineView)>>;

fn job_has(mirror: &Mirror, task: &Task) -> bool {
    mirror.jobs.get(&task.job).is_some_and(|j| j.record.done || j.finished.has(task.index))
}

/// The longest time, of those that the aims name, within which jobs of a class
/// should be finished.
#[derive(Debug, Clone, Default)]
pub struct Aims {
    within: HashMap<Arc<str>, f64>,
}

impl Aims {
    fn new(settings: &Settings) -> Aims {
        let mut aims = Aims::default();
        for o in &settings.params.objectives {
            let class: Arc<str> = o.class.as_str().into();
            if let (true, Some(w)) = (o.kind == "finished", o.within_s) {
                let known = aims.within.entry(class).or_insert(w);
                *known = known.max(w);
            }
        }
        aims
    }
}

/// The order among jobs of a rank, the most urgent first: by deadline where
/// there is one. Where the aim is a time to be finished within, who can still
/// be in time goes before who can't, since under overload the order of arrival
/// makes everybody late. A job that has waited four times as long goes before
/// all, so that none starves.
fn urgency(spec: &JobSpec, at_ms: u64, day_ms: u64, aims: &Aims) -> (u8, i64) {
    let age = (day_ms as f64 - at_ms as f64) / 1000.0;
    let in_time = |span: f64| age + spec.estimate_s <= span;
    let at = |span: f64| at_ms as i64 + (span * 1000.0) as i64;
    if let Some(d) = spec.deadline_s {
        return (0, at(d));
    }
    match aims.within.get(&spec.class).copied() {
        Some(w) => {
            let tier = if in_time(w) || age > w * 4.0 { 0 } else { 2 };
            // Small jobs first, as more of them are in time so; large ones
            // catch up with age.
            let work = spec.estimate_s * f64::from(spec.tasks);
            (tier, at((work * 0.1).min(w)))
        }
        None => (0, at(0.0)),
    }
}

trait View {
    fn view(&self) -> &MachineView;
}
impl View for &MachineView {
    fn view(&self) -> &MachineView {
        self
    }
}
impl View for MachineView {
    fn view(&self) -> &MachineView {
        self
    }
}

/// A job's wishes as far as they matter to where it goes.
struct Wish<'a> {
    spec: &'a JobSpec,
    avoid: &'a [MachineId],
    /// Its class has an aim for its start.
    quick: bool,
    /// Lower work makes room for it.
    preempts: bool,
}

/// How many of the chosen machines have the image of a job that is in a hurry.
fn warm(wish: &Wish, machines: &BTreeMap<MachineId, (Res, MachineView)>, chosen: &[MachineId]) -> usize {
    let cached = |m: &&MachineId| machines[*m].1.images.contains(&wish.spec.image);
    if wish.quick {
        chosen.iter().filter(cached).count()
    } else {
        0
    }
}

/// The machine that the paper's cost would choose.
fn best_in<V: View>(
    machines: &BTreeMap<MachineId, (Res, V)>,
    wish: &Wish,
    room: Option<&BTreeMap<Arc<str>, u32>>,
) -> Option<MachineId> {
    let candidates = machines.iter().filter_map(|(id, (free, v))| {
        let v = v.view();
        let zone_ok = room.is_none_or(|r| r.get(&v.zone).copied().unwrap_or(0) > 0);
        (zone_ok && !wish.avoid.contains(id)).then_some(place::Candidate {
            id,
            kind: &v.kind,
            zone: &v.zone,
            spot: v.spot,
            free: room_for(wish, free, v),
            cached: v.images.contains(&wish.spec.image),
            zone_peers: 0,
            machine_peers: 0,
        })
    });
    place::pick(wish.spec, wish.quick, candidates).map(|c| c.id.into())
}

/// The room that a job sees on a machine.
fn room_for(wish: &Wish, free: &Res, v: &MachineView) -> Res {
    let mut room = *free;
    if wish.preempts {
        room.give(&v.yielding);
    }
    room
}

fn take<V>(machines: &mut BTreeMap<MachineId, (Res, V)>, id: &MachineId, spec: &JobSpec) {
    if let Some((free, _)) = machines.get_mut(id) {
        free.take(&spec.ask());
    }
}

/// As many of `n` tasks as fit one after another under the zones' bounds.
fn try_place(
    wish: &Wish,
    n: usize,
    machines: &BTreeMap<MachineId, (Res, MachineView)>,
    room: &[(Arc<str>, u32)],
) -> Vec<MachineId> {
    let spec = wish.spec;
    let attempt = |mut room: BTreeMap<Arc<str>, u32>| {
        let mut copy: BTreeMap<MachineId, (Res, &MachineView)> =
            machines.iter().map(|(id, (r, v))| (id.clone(), (*r, v))).collect();
        let mut chosen = Vec::new();
        for _ in 0..n {
            let Some(id) = best_in(&copy, wish, Some(&room)) else { break };
            take(&mut copy, &id, spec);
            if let Some(left) = room.get_mut(&machines[&id].1.zone) {
                *left -= 1;
            }
            chosen.push(id);
        }
        chosen
    };
    if spec.one_zone {
        room.iter()
            .map(|z| attempt([z.clone()].into_iter().collect()))
            .max_by_key(Vec::len)
            .unwrap_or_default()
    } else {
        attempt(room.iter().cloned().collect())
    }
}

fn deal_whole(wish: &Wish, free: &[u32], rooms: &mut Rooms) -> Vec<(String, Vec<u32>)> {
    let all: Vec<(Arc<str>, u32)> = rooms
        .values()
        .flat_map(|r| r.values().map(|(_, v)| (v.zone.clone(), u32::MAX)))
        .collect::<BTreeMap<_, _>>()
        .into_iter()
        .collect();
    let mut best: Option<(usize, f64, String, Vec<MachineId>)> = None;
    for (part, machines) in rooms.iter() {
        let chosen = try_place(wish, free.len(), machines, &all);
        let total: f64 =
            warm(wish, machines, &chosen) as f64 * 1e6 + machines.values().map(|(r, _)| r.cpus).sum::<f64>();
        if !chosen.is_empty() && best.as_ref().is_none_or(|b| (chosen.len(), total) > (b.0, b.1)) {
            best = Some((chosen.len(), total, part.clone(), chosen));
        }
    }
    let Some((n, _, part, chosen)) = best else { return Vec::new() };
    if let Some(machines) = rooms.get_mut(&part) {
        for m in &chosen {
            take(machines, m, wish.spec);
        }
    }
    vec![(part, free[..n].to_vec())]
}

/// An array's tasks go one by one to the part with the most room left.
fn deal_array(wish: &Wish, free: &[u32], rooms: &mut Rooms) -> Vec<(String, Vec<u32>)> {
    let mut out: BTreeMap<String, Vec<u32>> = BTreeMap::new();
    let mut full: HashSet<String> = HashSet::new();
    let mut left = free.iter();
    let mut next = left.next();
    while let Some(&index) = next {
        let roomiest = rooms
            .iter()
            .filter(|(p, _)| !full.contains(*p))
            .map(|(p, ms)| (ms.values().map(|(r, _)| r.cpus.max(0.0)).sum::<f64>(), p.clone()))
            .max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)));
        let Some((_, part)) = roomiest else { break };
        let Some(machines) = rooms.get_mut(&part) else { break };
        match best_in(machines, wish, None) {
            Some(id) => {
                take(machines, &id, wish.spec);
                out.entry(part).or_default().push(index);
                next = left.next();
            }
            None => {
                full.insert(part);
            }
        }
    }
    out.into_iter().collect()
}
