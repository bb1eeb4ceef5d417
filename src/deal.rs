//! The leader: which tasks wait, which part holds which, what is to be
//! committed as finished. Pure, like [`crate::fleet`].
//!
//! A task is in exactly one of three conditions: free (certainly nowhere),
//! dealt (one part answers for it), or unknown (since the epoch began nobody
//! has proven where it is). Only free tasks are dealt.

mod gang;

use crate::clock::{self, Secs};
use crate::finished::Bits;
use crate::fleet::{Deal, Leave, MachineView, Orders, PartReport, Phase, Quiet};
use crate::jobs::{Epoch, Mirror};
use crate::place;
use crate::rent::Want;
use crate::rooms::{Names, Rooms, Slot, Wish};
use crate::settings::{Settings, Team};
use crate::silence::Reached;
use crate::wire::{JobId, JobSpec, MachineId, Rank, Res, Shape, Task, BEGIN_WITHIN_S};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

#[derive(Debug, Clone)]
struct Dealt {
    part: Arc<str>,
    attempt: u64,
    /// Tells one assignment of an attempt from the next; 0 if its part doesn't say.
    assignment: u64,
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
    /// Of the unknown, those that can only be with one part, which has kept all
    /// that it knew: its word alone is proof.
    with: BTreeMap<u32, Arc<str>>,
    dealt: BTreeMap<u32, Dealt>,
    /// Those of the dealt that their part has not listed yet.
    unlisted: BTreeSet<u32>,
    /// Seen done by a part, not yet committed.
    finishing: Bits,
    committing: bool,
    commit_after: Secs,
    retry_after: Secs,
    not_before: Secs,
    errors: BTreeMap<MachineId, u32>,
    /// Of a gang: the attempt that its tasks share.
    attempt: Option<gang::Attempt>,
    /// Since when a service that is bound to the zone of its tasks has had no
    /// room there.
    stuck_since: Option<Secs>,
    /// All its tasks are being stopped, to begin together in another zone.
    leaving: bool,
    /// What each part was told that zones may still take.
    room: BTreeMap<Arc<str>, Vec<(Arc<str>, u32)>>,
}

impl Dealt {
    /// The order of assignments of a task.
    fn order(&self) -> (u64, u64) {
        (self.attempt, self.assignment)
    }
}

impl Entry {
    /// The assignments that differ from their attempts, of tasks that a part
    /// has not listed yet.
    fn assignments(&self, node: &str) -> Vec<(u32, u64)> {
        let unlisted = self.unlisted.iter().filter_map(|index| Some((*index, self.dealt.get(index)?)));
        let differ = unlisted.filter(|(_, d)| &*d.part == node && d.assignment != d.attempt);
        differ.map(|(index, d)| (index, d.assignment)).collect()
    }
    fn undeal(&mut self, index: u32) -> Option<Dealt> {
        self.unlisted.remove(&index);
        self.dealt.remove(&index)
    }
    fn deal(&mut self, index: u32, dealt: Dealt) {
        if dealt.listed {
            self.unlisted.remove(&index);
        } else {
            self.unlisted.insert(index);
        }
        self.dealt.insert(index, dealt);
    }
}

/// A machine as the leader last heard of it.
#[derive(Debug)]
pub struct MachineNews {
    pub view: MachineView,
    slot: Slot,
    /// Since when it holds nothing.
    idle_since: Secs,
}

/// A machine with how long ago things were.
#[derive(Debug, Clone, Copy)]
pub struct MachineNow<'a> {
    pub view: &'a MachineView,
    pub silent_s: f64,
    pub deaf_s: Option<f64>,
    pub idle_s: f64,
    /// How its owner reaches its zone. A report that came through a third
    /// controller shows nothing of that.
    pub reached: Option<Reached>,
}

impl std::ops::Deref for MachineNow<'_> {
    type Target = MachineView;
    fn deref(&self) -> &MachineView {
        self.view
    }
}

/// A part as its reports tell it.
#[derive(Debug)]
pub struct PartView {
    inc: u64,
    seq: u64,
    machines: BTreeMap<MachineId, MachineNews>,
    quiet: HashMap<MachineId, Quiet>,
    zones_met: HashMap<Arc<str>, Reached>,
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
    names: Names,
    resolved: bool,
    /// Something came in that may prove where tasks are.
    news: bool,
    /// Parts whose holdings have come in since the last task became unknown.
    joined: BTreeSet<String>,
    attempts: u64,
    teams: HashMap<Arc<str>, Team>,
    start_aims: HashMap<Arc<str>, f64>,
    aims: Aims,
    report_s: Secs,
    gang_wait_s: Secs,
    gangs_allowed: bool,
    /// Machines that take no more tasks.
    pub drain: BTreeSet<MachineId>,
    /// CPUs on ordinary machines that are kept free for services to come.
    pub reserve: f64,
    /// Machines whose replicas are to move to others.
    pub moving: BTreeSet<MachineId>,
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
            names: Names::default(),
            resolved: false,
            news: true,
            joined: BTreeSet::new(),
            attempts: 0,
            teams: settings.params.teams.iter().map(|t| (t.name.as_str().into(), t.clone())).collect(),
            start_aims: settings.start_aims(),
            aims: Aims::new(settings),
            report_s: settings.params.workers.report_s,
            gang_wait_s: settings.params.workers.gang_wait_s,
            gangs_allowed: true,
            drain: BTreeSet::new(),
            moving: BTreeSet::new(),
            reserve: 0.0,
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
            self.moving.clear();
        }
        // Parts that live on and hand no machine over, as nobody is new: what
        // was dealt to them is theirs still, or nowhere. Without this, one
        // controller's return left all that a cut zone had lost in doubt until
        // the last machine of the zone had been heard.
        let nobody_new = stays && e.members.keys().all(|m| self.members.contains_key(m));
        let same = |m: &&String| nobody_new && self.members.get(*m) == e.members.get(*m);
        let steady: BTreeSet<String> = e.members.keys().filter(same).cloned().collect();
        self.epoch = e.n;
        self.inc = inc;
        self.members = e.members.clone();
        self.parts.clear();
        self.joined.clear();
        self.resolved = false;
        self.attempts = 0;
        for job in self.jobs.values_mut() {
            let dealt = std::mem::take(&mut job.dealt);
            job.unlisted.clear();
            job.with.retain(|_, p| steady.contains(&**p));
            if let Some(attempt) = job.attempt.as_mut() {
                attempt.doubt_task();
            }
            for (index, d) in dealt {
                job.unknown.add(index);
                if steady.contains(&*d.part) {
                    job.with.insert(index, d.part);
                }
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
                with: BTreeMap::new(),
                dealt: BTreeMap::new(),
                unlisted: BTreeSet::new(),
                finishing: Bits::default(),
                committing: false,
                commit_after: 0.0,
                retry_after: 0.0,
                not_before: 0.0,
                errors: BTreeMap::new(),
                attempt: None,
                stuck_since: None,
                leaving: false,
                room: BTreeMap::new(),
            };
            self.jobs.insert(id.clone(), entry);
        }
        let Some(entry) = self.jobs.get_mut(id) else { return };
        let over: Vec<u32> = entry.finishing.iter().filter(|&i| job.finished.has(i)).collect();
        for i in over {
            entry.finishing.remove(i);
            entry.unknown.remove(i);
            entry.undeal(i);
        }
        if job.record.cancelled {
            entry.finishing = Bits::default();
            if entry.unknown.is_empty() && entry.dealt.is_empty() {
                self.jobs.remove(id);
            }
        }
    }

    /// Takes in a part's report. False if it is none of this epoch's, or
    /// builds on one that was never taken in: the part, not told that it was,
    /// sends all that is missing again.
    pub fn part_report(&mut self, r: PartReport, mirror: &Mirror, now: Secs) -> bool {
        if r.epoch != self.epoch || self.members.get(&r.node) != Some(&r.inc) {
            return false;
        }
        let part: Arc<str> = r.node.as_str().into();
        let part_no = self.names.number(&part);
        let view = self.parts.entry(r.node.clone()).or_insert_with(|| PartView {
            inc: r.inc,
            seq: 0,
            machines: BTreeMap::new(),
            quiet: HashMap::new(),
            zones_met: HashMap::new(),
            met: HashMap::new(),
            orders_seq: 0,
            heard: now,
        });
        if r.seq <= view.seq || r.inc != view.inc || r.since > view.seq {
            return false;
        }
        let whole = r.since == 0;
        view.seq = r.seq;
        view.heard = now;
        self.news = true;
        self.joined.insert(r.node.clone());
        view.met = r.met.into_iter().collect();
        view.zones_met = r.zones_met.into_iter().collect();
        view.quiet = r.quiet.into_iter().map(|q| (q.id.clone(), q)).collect();
        if whole {
            let told: HashSet<&MachineId> = r.machines.iter().map(|m| &m.id).collect();
            view.machines.retain(|id, _| told.contains(id));
        }
        for (id, _) in &r.unlisted {
            view.machines.remove(id);
        }
        for m in r.machines {
            // One that takes tasks again has been idle since then: it was not
            // by itself that it held nothing.
            let before = view.machines.get(&m.id).filter(|o| o.view.tasks == 0 && (o.view.open || !m.open));
            let before = before.map(|o| o.idle_since);
            let slot = Slot::new(&m, part_no, &mut self.names);
            let news = MachineNews { slot, idle_since: before.unwrap_or(now), view: m };
            view.machines.insert(news.view.id.clone(), news);
        }
        let mut listed: HashSet<(JobId, u32)> = HashSet::new();
        for h in r.held {
            let i = h.task.index;
            if whole {
                listed.insert((h.task.job.clone(), i));
            }
            let Some(entry) = self.jobs.get_mut(&h.task.job) else { continue };
            if h.phase == Phase::Done && wanted(mirror, &h.task) {
                // The tasks of a gang complete together: if one is done, all are,
                // also those that are lost since.
                let done = if entry.spec.shape == Shape::Gang { 0..entry.spec.tasks } else { i..i + 1 };
                done.for_each(|task| {
                    entry.finishing.add(task);
                });
            }
            entry.unknown.remove(i);
            let d = Dealt {
                part: part.clone(),
                attempt: h.attempt,
                assignment: h.assignment,
                listed: true,
                phase: h.phase,
                machine: h.machine,
            };
            match entry.dealt.get(&i) {
                // Two parts list it (a machine changed hands): the newer word
                // of the later attempt stands, until one of them is gone.
                Some(old) if old.part != d.part && old.order() > d.order() => {}
                _ => entry.deal(i, d),
            }
        }
        for g in r.gone {
            let Some(entry) = self.jobs.get_mut(&g.task.job) else { continue };
            let i = g.task.index;
            // Guard: a part says again and again that a task is gone, also after
            // it was assigned there anew under the same attempt.
            let ours = entry.dealt.get(&i).is_some_and(|d| {
                *d.part == *part
                    && d.attempt == g.attempt
                    && (g.assignment == 0 || d.assignment == g.assignment)
            });
            if !ours {
                continue;
            }
            entry.undeal(i);
            if let Some(attempt) = entry.attempt.as_mut().filter(|_| g.how != Leave::Passed) {
                attempt.lost_task();
            }
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
                Leave::Passed | Leave::Stopped | Leave::Lost => {}
            }
        }
        if whole && r.kept {
            for (id, entry) in self.jobs.iter_mut().filter(|(_, e)| !e.with.is_empty()) {
                let theirs = entry.with.iter().filter(|(_, p)| **p == part).map(|(i, _)| *i);
                for i in theirs.collect::<Vec<u32>>() {
                    entry.with.remove(&i);
                    if !listed.contains(&(id.clone(), i)) {
                        entry.unknown.remove(i);
                    }
                }
            }
        }
        // What a part had listed and lists no more, without a word, is
        // somewhere we don't know.
        let mut missing: Vec<(JobId, u32)> = Vec::new();
        if whole {
            for (id, entry) in &self.jobs {
                let lost = entry
                    .dealt
                    .iter()
                    .filter(|(i, d)| *d.part == *part && d.listed && !listed.contains(&(id.clone(), **i)));
                missing.extend(lost.map(|(i, _)| (id.clone(), *i)));
            }
        }
        for (task, attempt, _) in r.dropped {
            let ours = self.jobs.get(&task.job).and_then(|e| e.dealt.get(&task.index));
            if ours.is_some_and(|d| *d.part == *part && d.listed && d.attempt == attempt) {
                missing.push((task.job, task.index));
            }
        }
        for (id, i) in missing {
            let Some(entry) = self.jobs.get_mut(&id) else { continue };
            entry.undeal(i);
            if !mirror.jobs.get(&id).is_some_and(|j| j.finished.has(i) || j.record.done) {
                entry.unknown.add(i);
                if let Some(attempt) = entry.attempt.as_mut() {
                    attempt.doubt_task();
                }
                self.resolved = false;
            }
        }
        self.jobs.retain(|id, e| {
            !e.dealt.is_empty() || !e.unknown.is_empty() || mirror.jobs.get(id).is_some_and(|j| j.live())
        });
        true
    }

    /// Machines whose content nobody knows yet under this epoch, apart from
    /// those that `gone` says are deleted.
    fn uncertain<'a>(
        &'a self,
        mirror: &'a Mirror,
        gone: &'a dyn Fn(&MachineId) -> bool,
    ) -> impl Iterator<Item = &'a MachineId> + 'a {
        mirror.roster.iter().filter(|(_, (r, _))| r.up).map(|(id, _)| id).filter(move |id| {
            // A part tells only of machines that are its own in this epoch.
            !gone(id) && !self.parts.values().any(|p| p.machines.get(*id).is_some_and(|m| m.view.certain))
        })
    }

    /// Whether every member has sent its holdings in this epoch.
    pub fn all_joined(&self) -> bool {
        self.members.keys().all(|m| self.joined.contains(m))
    }

    /// Frees unknown tasks once they are proven to be nowhere: every part has
    /// told its holdings, and the owner of every machine that may run them is
    /// certain of what is on it. Only the owner can say that a worker's lease
    /// must be past, since it knows whether it has answered it: by the age of
    /// the epoch alone, a worker answered a moment ago would count as empty.
    ///
    /// A machine that stays unheard holds up only the jobs that may be on it:
    /// those allowed on its type, in its zone and on its kind.
    ///
    /// `gone` knows whose deletion was answered: that is proof long before the
    /// roster shows it, which may be written late when there is much to write.
    pub fn resolve(&mut self, mirror: &Mirror, gone: &dyn Fn(&MachineId) -> bool) {
        if self.resolved || !self.news || !self.all_joined() {
            return;
        }
        self.news = false;
        let in_doubt: BTreeSet<(Arc<str>, Arc<str>, bool)> = self
            .uncertain(mirror, gone)
            .filter_map(|id| mirror.roster.get(id))
            .map(|(r, _)| (r.kind.clone(), r.zone.clone(), r.spot))
            .collect();
        self.resolved = in_doubt.is_empty();
        for entry in self.jobs.values_mut().filter(|e| !e.unknown.is_empty()) {
            let may =
                in_doubt.iter().any(|(kind, zone, spot)| place::allowed(&entry.spec, kind, zone, *spot));
            if !may {
                entry.unknown = Bits::default();
            }
        }
        self.jobs.retain(|id, e| {
            !e.dealt.is_empty() || !e.unknown.is_empty() || mirror.jobs.get(id).is_some_and(|j| j.live())
        });
    }

    /// Whether nothing is in doubt any more.
    pub fn resolved(&self) -> bool {
        self.resolved
    }

    /// Tasks seen done and not committed, job by job; each job once at a time.
    /// The ends of jobs come first, as users wait for them. Then come up to
    /// `room` jobs that have got further: a worker keeps a result until it is
    /// committed, so that this is in no hurry, unless its machine is to go.
    pub fn finishes(&mut self, now: Secs, room: usize, mirror: &Mirror) -> Vec<Finish> {
        let mut out = Vec::new();
        let mut some: Vec<(bool, Secs, JobId)> = Vec::new();
        let leaving: HashSet<&MachineId> = self
            .parts
            .values()
            .flat_map(|p| p.machines.values())
            .filter(|m| m.view.noticed || m.view.draining)
            .map(|m| &m.view.id)
            .collect();
        for (id, e) in &mut self.jobs {
            let Some(job) = mirror.jobs.get(id).filter(|j| j.live()) else { continue };
            if e.committing || e.finishing.is_empty() || now < e.retry_after {
                continue;
            }
            let before = job.finished.len();
            if before + e.finishing.len() >= e.spec.tasks {
                e.committing = true;
                out.push(Finish { job: id.clone(), tasks: e.finishing.iter().collect() });
                continue;
            }
            let pressing = !leaving.is_empty()
                && e.finishing.iter().any(|i| {
                    e.dealt.get(&i).and_then(|d| d.machine.as_ref()).is_some_and(|m| leaving.contains(m))
                });
            if pressing || now >= e.commit_after {
                some.push((!pressing, e.commit_after, id.clone()));
            }
        }
        some.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        for (_, _, id) in some.into_iter().take(room.saturating_sub(out.len())) {
            if let Some(e) = self.jobs.get_mut(&id) {
                e.committing = true;
                out.push(Finish { job: id, tasks: e.finishing.iter().collect() });
            }
        }
        out
    }

    /// A commit of finished tasks has been answered; the same job's next
    /// progress follows after a report interval, a refused one from `retry` on.
    pub fn finish_answered(&mut self, job: &JobId, now: Secs, retry: Secs) {
        if let Some(e) = self.jobs.get_mut(job) {
            e.committing = false;
            e.retry_after = retry;
            e.commit_after = now + self.report_s;
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
    fn rooms(&self) -> Rooms {
        let open = self.parts.values().flat_map(|p| p.machines.values());
        let open = open.filter(|m| m.view.open && !self.drain.contains(&m.view.id));
        let mut rooms = Rooms::new(open.map(|m| m.slot.clone()).collect(), self.reserve);
        for e in self.jobs.values() {
            let mut wish = None;
            for d in e.dealt.values().filter(|d| d.machine.is_none()) {
                let wish =
                    wish.get_or_insert_with(|| Wish::new(&e.spec, &self.names, Vec::new(), false, false));
                if let Some(slot) = rooms.best(wish, self.names.known(&d.part), None) {
                    rooms.take(slot, &wish.ask);
                }
            }
        }
        rooms
    }

    /// Jobs that fit their team's guarantee together with the team's earlier
    /// unfinished jobs: they need not wait for what others borrow.
    fn guaranteed(&self, mirror: &Mirror) -> HashSet<JobId> {
        let mut by_age: Vec<(u64, &JobId, &Entry)> =
            self.jobs.iter().map(|(id, e)| (e.at_ms, id, e)).collect();
        by_age.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)));
        let mut used: HashMap<&str, Res> = HashMap::new();
        let mut out = HashSet::new();
        for (_, id, e) in by_age {
            let Some(team) = self.teams.get(&e.spec.team) else { continue };
            let Some(job) = mirror.jobs.get(id).filter(|j| j.live()) else { continue };
            let left = f64::from(e.spec.tasks.saturating_sub(job.finished.len()));
            let u = used.entry(&e.spec.team).or_default();
            u.cpus += left * e.spec.cpus;
            u.gpus += left * e.spec.gpus;
            if u.cpus <= team.cpus && u.gpus <= team.gpus {
                out.insert(id.clone());
            }
        }
        out
    }

    /// One round of dealing: as many free tasks as fit, in order of rank and
    /// age, until `more` says that the time is over; the next round goes on
    /// from there. Returns the parts that have new orders.
    pub fn deal(&mut self, mirror: &Mirror, now: Secs, mut more: impl FnMut() -> bool) -> BTreeSet<String> {
        let mut touched = self.watch_gangs(mirror, now);
        if self.parts.is_empty() {
            return touched;
        }
        let day = clock::day_ms();
        let guaranteed = self.guaranteed(mirror);
        let mut order: Vec<(u8, Rank, u8, i64, JobId)> = self
            .jobs
            .iter()
            .filter(|(id, e)| {
                mirror.jobs.get(*id).is_some_and(|j| j.live())
                    && now >= e.not_before
                    && (e.dealt.len() as u32 + e.unknown.len()) < e.spec.tasks
            })
            .map(|(id, e)| {
                let (tier, due) = urgency(&e.spec, e.at_ms, day, &self.aims);
                let begun = !e.dealt.is_empty()
                    || !e.unknown.is_empty()
                    || mirror.jobs.get(id).is_some_and(|j| !j.finished.is_empty());
                let age_s = day.saturating_sub(e.at_ms) as f64 / 1000.0;
                let stage = match e.spec.rank {
                    Rank::Prod => 0,
                    // Large jobs come late in every order: whatever is said
                    // against it, a job begins while users still wait for it.
                    _ if !begun && age_s > BEGIN_WITHIN_S / 3.0 => 1,
                    _ if guaranteed.contains(id) => 2,
                    _ => 3,
                };
                (stage, e.spec.rank, tier, due, id.clone())
            })
            .collect();
        order.sort();
        if let Some(at) = self.cursor.take() {
            if let Some(pos) = order.iter().position(|o| o.4 == at) {
                order.rotate_left(pos);
            }
        }
        let mut used = self.used();
        let mut rooms = self.rooms();
        let mut wants = Vec::new();
        let mut gang_waits = false;
        for (_, _, _, _, id) in order {
            if !more() {
                self.cursor = Some(id);
                break;
            }
            let Some(job) = mirror.jobs.get(&id) else { continue };
            let Some(e) = self.jobs.get(&id) else { continue };
            let spec = e.spec.clone();
            let age_s = day.saturating_sub(e.at_ms) as f64 / 1000.0;
            let team = self.teams.get(&spec.team);
            let u = used.entry(spec.team.clone()).or_default();
            let left = Res {
                cpus: team.map_or(0.0, |t| t.cpu_cap()) - u.cpus,
                gpus: team.map_or(0.0, |t| t.gpu_cap()) - u.gpus,
                mem: f64::INFINITY,
            };
            let quota = left.count(&Res { mem: 0.0, ..spec.ask() }) as usize;
            let free: Vec<u32> = (0..e.spec.tasks)
                .filter(|&i| {
                    !job.finished.has(i)
                        && !e.finishing.has(i)
                        && !e.unknown.has(i)
                        && !e.dealt.contains_key(&i)
                })
                .take(quota)
                .collect();
            let gang = spec.shape == Shape::Gang;
            if free.is_empty() || gang && !(self.gangs_allowed && e.gang_may_start(free.len())) {
                continue;
            }
            let avoid: Vec<MachineId> = e.errors.keys().cloned().collect();
            let quick = place::in_a_hurry(&spec, &self.start_aims, mirror.catalog.as_deref());
            let mut wish = Wish::new(&spec, &self.names, avoid, quick, spec.rank == Rank::Prod);
            if gang && self.start_aims.contains_key(&spec.class) {
                wish = wish.with_reserve();
            }
            let dealt = if rooms.hopeless(&wish) {
                Vec::new()
            } else if gang {
                // The first of those that wait; for the others its room comes later.
                let keeps_room = !gang_waits && age_s < BEGIN_WITHIN_S * 2.0;
                let dealt = self.deal_gang(&id, &wish, &free, &mut rooms, mirror, keeps_room);
                gang_waits |= dealt.is_empty() && keeps_room;
                dealt
            } else if spec.one_zone || spec.scatter {
                let dealt = self.deal_bound(&id, &wish, &free, &mut rooms, mirror);
                if spec.one_zone && spec.shape == Shape::Service {
                    self.leave_zone(&id, &wish, dealt.is_empty(), &mut rooms, now);
                }
                dealt
            } else if spec.whole() {
                deal_whole(&wish, &free, &mut rooms, &self.names)
            } else {
                deal_array(&wish, &free, &mut rooms, &self.names)
            };
            let placed: usize = dealt.iter().map(|d| d.1.len()).sum();
            if placed == 0 && rooms.best(&wish, None, None).is_none() {
                rooms.give_up(&wish);
            }
            if placed < free.len() {
                wants.push(Want {
                    zones: self.zones_of(&id, mirror),
                    ask: spec.ask(),
                    count: (free.len() - placed) as u32,
                    spec: spec.clone(),
                    age_s,
                });
            }
            u.cpus += placed as f64 * spec.cpus;
            u.gpus += placed as f64 * spec.gpus;
            for (part, tasks) in dealt {
                touched.insert(part.to_string());
                for index in tasks {
                    self.attempts += 1;
                    let assignment = (self.epoch << 24) | self.attempts;
                    let attempt = if gang { self.gang_attempt(&id, assignment, now) } else { assignment };
                    let dealt = Dealt {
                        part: part.clone(),
                        attempt,
                        assignment,
                        listed: false,
                        phase: Phase::Queued,
                        machine: None,
                    };
                    if let Some(e) = self.jobs.get_mut(&id) {
                        e.deal(index, dealt);
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
    ) -> Assignment {
        let Some(e) = self.jobs.get(id) else { return Vec::new() };
        let spec = e.spec.clone();
        if !e.unknown.is_empty() || e.leaving {
            return Vec::new();
        }
        let Some(room) = self.zone_room(e, rooms, mirror) else { return Vec::new() };
        // The roomiest part that can take them all; else the one that takes
        // the most.
        let Some((part, chosen)) = roomiest_for(wish, free.len(), rooms, &room, spec.one_zone, &self.names)
        else {
            return Vec::new();
        };
        // No part has room where the image is for all of a job in a hurry:
        // several parts share it, each told how many a zone may take of it.
        if wish.quick && rooms.warm(wish, &chosen) < free.len() && !spec.one_zone {
            let spread = rooms.try_place(wish, free.len(), None, &room, false);
            if spread.len() >= chosen.len() && rooms.warm(wish, &spread) > rooms.warm(wish, &chosen) {
                return self.deal_spread(id, wish, &spread, free, rooms);
            }
        }
        // One part's machines of one zone may be too few for a job that the
        // zone has room for: then several parts share it.
        if spec.one_zone && chosen.len() < free.len() {
            let spread = rooms.try_place(wish, free.len(), None, &room, true);
            if spread.len() > chosen.len() && (spread.len() == free.len() || !e.dealt.is_empty()) {
                return self.deal_spread(id, wish, &spread, free, rooms);
            }
        }
        if spec.one_zone && chosen.len() < free.len() && e.dealt.is_empty() {
            return Vec::new();
        }
        for &slot in &chosen {
            rooms.take(slot, &wish.ask);
        }
        let tasks = free[..chosen.len()].to_vec();
        let part = self.names.name(part).clone();
        // Guard: a job for one zone is told which. Left to choose, the part began
        // it where only some of its tasks had room.
        let into: BTreeSet<u32> = chosen.iter().map(|&s| rooms.slots[s].zone).collect();
        let told = room.iter().filter(|(z, _)| !spec.one_zone || into.contains(z));
        let told = told.map(|(z, n)| (self.names.name(*z).clone(), *n)).collect();
        if let Some(e) = self.jobs.get_mut(id) {
            e.room = [(part.clone(), told)].into_iter().collect();
        }
        vec![(part, tasks)]
    }

    /// How many more tasks of a job each zone may take, by where the others are;
    /// none while that isn't known of all.
    fn zone_room(&self, e: &Entry, rooms: &Rooms, mirror: &Mirror) -> Option<ZoneRoom> {
        let mut counts: BTreeMap<u32, u32> = BTreeMap::new();
        for d in e.dealt.values() {
            let (record, _) = mirror.roster.get(d.machine.as_ref()?)?;
            *counts.entry(self.names.known(&record.zone)?).or_default() += 1;
        }
        let zones: BTreeSet<u32> = rooms.slots.iter().map(|s| s.zone).collect();
        let allowed = |z: &u32| !e.spec.one_zone || counts.is_empty() || counts.contains_key(z);
        let left = |z: u32| (z, e.spec.zone_cap().saturating_sub(counts.get(&z).copied().unwrap_or(0)));
        Some(zones.into_iter().filter(allowed).map(left).collect())
    }

    /// Where a job's tasks are, as far as that is known, if it matters for the
    /// rest of them.
    fn zones_of(&self, id: &JobId, mirror: &Mirror) -> BTreeMap<Arc<str>, u32> {
        let mut zones = BTreeMap::new();
        let bound = |e: &&Entry| (e.spec.one_zone || e.spec.scatter) && !e.leaving;
        let Some(e) = self.jobs.get(id).filter(bound) else { return zones };
        for d in e.dealt.values() {
            let record = d.machine.as_ref().and_then(|m| mirror.roster.get(m));
            if let Some((r, _)) = record {
                *zones.entry(r.zone.clone()).or_default() += 1;
            }
        }
        zones
    }

    /// A service whose zone has had no room for the rest of it for as long as
    /// several boots take moves as a whole, if another zone has room for it:
    /// its tasks are stopped, and dealt anew once all are proven gone.
    fn leave_zone(&mut self, id: &JobId, wish: &Wish, stuck: bool, rooms: &mut Rooms, now: Secs) {
        let patience = BEGIN_WITHIN_S / 6.0;
        let Some(e) = self.jobs.get_mut(id) else { return };
        if !stuck || e.dealt.is_empty() {
            e.stuck_since = None;
            e.leaving = false;
            return;
        }
        let since = *e.stuck_since.get_or_insert(now);
        let known = e.unknown.is_empty() && e.dealt.values().all(|d| d.machine.is_some());
        if e.leaving || !known || now - since < patience {
            return;
        }
        let n = e.spec.tasks as usize;
        let all: BTreeSet<u32> = rooms.slots.iter().map(|s| s.zone).collect();
        let all: Vec<(u32, u32)> = all.into_iter().map(|z| (z, u32::MAX)).collect();
        if rooms.try_place(wish, n, None, &all, true).len() == n {
            tracing::info!(%id, "no room for the rest of it in its zone: it moves");
            if let Some(e) = self.jobs.get_mut(id) {
                e.leaving = true;
            }
        }
    }

    /// Machines that may still run tasks of jobs cancelled more than `after_s`
    /// ago: whatever stops were sent there, none is proven to have been obeyed.
    pub fn not_rid(&self, mirror: &Mirror, day_ms: u64, after_s: Secs) -> BTreeSet<MachineId> {
        let mut out = BTreeSet::new();
        for (id, e) in &self.jobs {
            let Some(job) = mirror.jobs.get(id).filter(|j| j.record.cancelled) else { continue };
            let at_ms = job.record.cancelled_at_ms.unwrap_or(day_ms);
            if day_ms.saturating_sub(at_ms) as f64 / 1000.0 > after_s {
                let there = e.dealt.values().filter(|d| d.phase != Phase::Done);
                out.extend(there.filter_map(|d| d.machine.clone()));
            }
        }
        out
    }

    /// Deals tasks to the parts of the chosen machines, and tells each part
    /// how many of them a zone may take there.
    fn deal_spread(
        &mut self,
        id: &JobId,
        wish: &Wish,
        chosen: &[usize],
        free: &[u32],
        rooms: &mut Rooms,
    ) -> Assignment {
        let Some(e) = self.jobs.get_mut(id) else { return Vec::new() };
        let mut out: BTreeMap<Arc<str>, Vec<u32>> = BTreeMap::new();
        e.room.clear();
        for (&slot, &index) in chosen.iter().zip(free) {
            let part = self.names.name(rooms.slots[slot].part).clone();
            let zone = self.names.name(rooms.slots[slot].zone);
            let told = e.room.entry(part.clone()).or_default();
            match told.iter_mut().find(|(z, _)| z == zone) {
                Some((_, n)) => *n += 1,
                None => told.push((zone.clone(), 1)),
            }
            rooms.take(slot, &wish.ask);
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
        for (id, e) in self.jobs.iter().filter(|(_, e)| !e.unlisted.is_empty()) {
            let dealt = e.unlisted.iter().filter_map(|i| Some((*i, e.dealt.get(i)?)));
            let tasks: Vec<(u32, u64)> =
                dealt.filter(|(_, d)| &*d.part == node).map(|(i, d)| (i, d.attempt)).collect();
            if !tasks.is_empty() {
                deals.push(Deal {
                    job: id.clone(),
                    tasks,
                    zone_room: e.room.get(node).cloned().filter(|_| e.spec.one_zone || e.spec.scatter),
                    avoid: e.errors.keys().cloned().collect(),
                    assignments: e.assignments(node),
                });
            }
        }
        // Counts for display need not be of this moment.
        let running = (seq % 8 == 1).then(|| {
            let running = |e: &Entry| {
                e.dealt.values().filter(|d| matches!(d.phase, Phase::Running | Phase::Saving)).count() as u32
            };
            self.jobs.iter().map(|(id, e)| (id.clone(), running(e))).filter(|(_, n)| *n > 0).collect()
        });
        let mut recall = Vec::new();
        for (id, e) in self.jobs.iter().filter(|(_, e)| e.leaving) {
            let theirs = e.dealt.iter().filter(|(_, d)| &*d.part == node);
            recall.extend(theirs.map(|(i, d)| (Task { job: id.clone(), index: *i }, d.attempt)));
        }
        if !self.moving.is_empty() {
            for (id, e) in self.jobs.iter().filter(|(_, e)| e.spec.shape == Shape::Service) {
                let there = |d: &Dealt| d.machine.as_ref().is_some_and(|m| self.moving.contains(m));
                let on = e.dealt.iter().filter(|(_, d)| &*d.part == node && d.phase == Phase::Running);
                recall.extend(
                    on.filter(|(_, d)| there(d))
                        .map(|(i, d)| (Task { job: id.clone(), index: *i }, d.attempt)),
                );
            }
        }
        Some(Orders {
            epoch: self.epoch,
            node: node.into(),
            seq,
            ack,
            deals,
            recall,
            drain: self.drain.iter().cloned().collect(),
            running,
        })
    }

    /// Every machine that some part reports, as of `now`. A part tells only
    /// of machines that are its own in this epoch.
    pub fn machines_at(&self, now: Secs) -> impl Iterator<Item = MachineNow<'_>> {
        self.parts.values().flat_map(move |p| {
            p.machines.values().map(move |m| {
                let quiet = p.quiet.get(&m.view.id);
                let age = now - p.heard;
                MachineNow {
                    view: &m.view,
                    silent_s: quiet.map_or(0.0, |q| q.silent_s + age),
                    deaf_s: quiet.and_then(|q| q.deaf_s).map(|d| d + age),
                    idle_s: if m.view.tasks == 0 { now - m.idle_since } else { 0.0 },
                    reached: p
                        .zones_met
                        .get(&m.view.zone)
                        .map(|r| Reached { since_s: r.since_s + age, last_s: r.last_s + age }),
                }
            })
        })
    }

    /// Every machine that some part reports.
    pub fn machines(&self) -> impl Iterator<Item = &MachineView> {
        self.parts.values().flat_map(|p| p.machines.values().map(|m| &m.view))
    }

    /// Machines that may be silent for their owners only: some other controller
    /// has met their workers within `age`.
    pub fn met(&self, age: Secs) -> HashSet<&MachineId> {
        let all = self.parts.values().flat_map(|p| p.met.iter());
        all.filter(|(_, &a)| a < age).map(|(id, _)| id).collect()
    }

    /// Whether a quarter of the machines of this one's owner heed nothing: then
    /// it is the owner whose answers come too late, not the machines.
    pub fn owner_unheard(&self, id: &MachineId) -> bool {
        self.parts.values().find(|p| p.machines.contains_key(id)).is_some_and(|p| {
            let heedless = p.machines.values().filter(|m| m.view.heedless).count();
            heedless >= 2 && heedless * 4 >= p.machines.len()
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

/// Parts with the tasks that go to each.
type Assignment = Vec<(Arc<str>, Vec<u32>)>;

/// How many more tasks of a job each zone may take.
type ZoneRoom = Vec<(u32, u32)>;

/// Whether a task's end is still to be committed. Guard: not once its job is
/// cancelled, which a part may hear later than the leader. Its last task's end,
/// reported in between, made a job done that its user had been told is cancelled.
fn wanted(mirror: &Mirror, task: &Task) -> bool {
    mirror.jobs.get(&task.job).is_some_and(|j| j.live() && !j.finished.has(task.index))
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

/// The part that takes the most of `n` tasks; of several, the one with more
/// machines that have the image of a job in a hurry, then the roomiest.
fn roomiest_for(
    wish: &Wish,
    n: usize,
    rooms: &mut Rooms,
    room: &[(u32, u32)],
    one_zone: bool,
    names: &Names,
) -> Option<(u32, Vec<usize>)> {
    let mut best: Option<(usize, usize, f64, u32, Vec<usize>)> = None;
    let mut parts = rooms.parts();
    parts.sort_by(|a, b| names.name(*a).cmp(names.name(*b)));
    for part in parts {
        let chosen = rooms.try_place(wish, n, Some(part), room, one_zone);
        let key = (chosen.len(), rooms.warm(wish, &chosen), rooms.total(part));
        if !chosen.is_empty() && best.as_ref().is_none_or(|b| key > (b.0, b.1, b.2)) {
            best = Some((key.0, key.1, key.2, part, chosen));
        }
    }
    best.map(|b| (b.3, b.4))
}

fn deal_whole(wish: &Wish, free: &[u32], rooms: &mut Rooms, names: &Names) -> Assignment {
    let zones: BTreeSet<u32> = rooms.slots.iter().map(|s| s.zone).collect();
    let all: Vec<(u32, u32)> = zones.into_iter().map(|z| (z, u32::MAX)).collect();
    let Some((part, chosen)) = roomiest_for(wish, free.len(), rooms, &all, false, names) else {
        return Vec::new();
    };
    for &slot in &chosen {
        rooms.take(slot, &wish.ask);
    }
    vec![(names.name(part).clone(), free[..chosen.len()].to_vec())]
}

/// An array's tasks go one by one to the part with the most room left.
fn deal_array(wish: &Wish, free: &[u32], rooms: &mut Rooms, names: &Names) -> Assignment {
    let mut out: BTreeMap<Arc<str>, Vec<u32>> = BTreeMap::new();
    let mut full: Vec<u32> = Vec::new();
    let mut left = free.iter();
    let mut next = left.next();
    while let Some(&index) = next {
        let Some(part) = rooms.roomiest(&full, names) else { break };
        match rooms.best(wish, Some(part), None) {
            Some(slot) => {
                rooms.take(slot, &wish.ask);
                out.entry(names.name(part).clone()).or_default().push(index);
                next = left.next();
            }
            None => full.push(part),
        }
    }
    out.into_iter().collect()
}
