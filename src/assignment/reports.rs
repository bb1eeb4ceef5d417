//! Parts' reports, and what they prove about where tasks are.

use super::finishes::wanted;
use super::{AssignedTask, Leader, MachineNews, PartView};
use crate::capacity::Slot;
use crate::clock::Secs;
use crate::finished::Bits;
use crate::fleet::{Gone, HeldView, Leave, MachineView, PartReport, Phase};
use crate::jobs::Mirror;
use crate::wire::{JobId, MachineId, Shape, Task};
use finchwood_reconcile::doubt::{DoubtfulMachines, MachineClass};
use std::collections::HashSet;
use std::sync::Arc;

/// Tasks that a report lists.
type Listed = HashSet<(JobId, u32)>;

impl Leader {
    /// Takes in a part's report. False if it is none of this epoch's, or
    /// builds on one that was never taken in: the part, not told that it was,
    /// sends all that is missing again.
    pub fn part_report(&mut self, r: PartReport, mirror: &Mirror, now: Secs) -> bool {
        if !self.is_next_report(&r, now) {
            return false;
        }
        self.news = true;
        self.latest_at = now;
        self.first_report_at.get_or_insert(now);
        self.joined.insert(r.node.clone());
        let part: Arc<str> = r.node.as_str().into();
        let whole = r.since == 0;
        self.take_in_machines(&part, whole, &r.unlisted, r.machines, now);
        if let Some(view) = self.parts.get_mut(&r.node) {
            view.met = r.met.into_iter().collect();
            view.zones_met = r.zones_met.into_iter().collect();
            view.quiet = r.quiet.into_iter().map(|q| (q.id.clone(), q)).collect();
        }
        let listed: Listed = r
            .held
            .iter()
            .map(|h| (h.task.job.clone(), h.task.index))
            .collect();
        for held in r.held {
            self.take_in_held(&part, held, mirror);
        }
        for gone in r.gone {
            self.take_in_gone(&part, gone, now);
        }
        if whole && r.kept {
            self.take_word_for_the_rest(&part, &listed);
        }
        let mut missing = if whole {
            self.no_longer_listed(&part, &listed)
        } else {
            Vec::new()
        };
        missing.extend(
            r.dropped
                .into_iter()
                .filter(|d| self.lists(&part, &d.0, d.1))
                .map(|d| d.0),
        );
        for task in missing {
            self.lose_sight_of(&task, mirror);
        }
        self.forget_what_is_over(mirror);
        true
    }

    /// Whether a report is of this epoch and builds on what was taken in; notes
    /// that it came, if so.
    fn is_next_report(&mut self, r: &PartReport, now: Secs) -> bool {
        if r.epoch != self.epoch || self.members.get(&r.node) != Some(&r.inc) {
            return false;
        }
        let view = self
            .parts
            .entry(r.node.clone())
            .or_insert_with(|| PartView::new(r.inc, now));
        if r.seq <= view.seq || r.inc != view.inc || r.since > view.seq {
            return false;
        }
        view.seq = r.seq;
        view.heard = now;
        true
    }

    fn take_in_machines(
        &mut self,
        part: &Arc<str>,
        whole: bool,
        unlisted: &[(MachineId, u64)],
        machines: Vec<MachineView>,
        now: Secs,
    ) {
        let part_no = self.names.number(part);
        let Some(view) = self.parts.get_mut(&**part) else {
            return;
        };
        if whole {
            let told: HashSet<&MachineId> = machines.iter().map(|m| &m.id).collect();
            view.machines.retain(|id, _| told.contains(id));
        }
        for (id, _) in unlisted {
            view.machines.remove(id);
        }
        for m in machines {
            // One that takes tasks again has been idle since then: it was not
            // by itself that it held nothing.
            let before = view
                .machines
                .get(&m.id)
                .filter(|o| o.view.tasks == 0 && (o.view.open || !m.open));
            let before = before.map(|o| o.idle_since);
            let slot = Slot::new(&m, part_no, &mut self.names);
            let news = MachineNews {
                slot,
                idle_since: before.unwrap_or(now),
                view: m,
            };
            view.machines.insert(news.view.id.clone(), news);
        }
    }

    /// A part holds a task.
    fn take_in_held(&mut self, part: &Arc<str>, held: HeldView, mirror: &Mirror) {
        let index = held.task.index;
        let Some(entry) = self.jobs.get_mut(&held.task.job) else {
            return;
        };
        // Guard: a task that the job doesn't have would count towards its end.
        if index >= entry.spec.tasks {
            return;
        }
        if held.phase == Phase::Done && wanted(mirror, &held.task) {
            // The tasks of a gang complete together: if one is done, all are,
            // also those that are lost since.
            let gang = entry.spec.shape == Shape::Gang;
            let done = if gang {
                0..entry.spec.tasks
            } else {
                index..index + 1
            };
            for task in done {
                entry.finishing.add(task);
            }
            entry.failures.note_success();
        }
        entry.unknown.remove(index);
        let assigned = AssignedTask {
            part: part.clone(),
            attempt: held.attempt,
            assignment: held.assignment,
            listed: true,
            phase: held.phase,
            machine: held.machine,
        };
        match entry.assigned.get(&index) {
            // Two parts list it (a machine changed hands): the newer word
            // of the later attempt stands, until one of them is gone.
            Some(old) if old.part != assigned.part && old.order() > assigned.order() => {}
            _ => entry.assign(index, assigned),
        }
    }

    /// A task is certainly nowhere in a part any more.
    fn take_in_gone(&mut self, part: &Arc<str>, gone: Gone, now: Secs) {
        let report_s = self.report_s;
        let Some(entry) = self.jobs.get_mut(&gone.task.job) else {
            return;
        };
        // Guard: a part says again and again that a task is gone, also after
        // it was assigned there anew under the same attempt.
        let same = |d: &AssignedTask| gone.assignment == 0 || d.assignment == gone.assignment;
        let assigned = entry.assigned.get(&gone.task.index);
        if !assigned.is_some_and(|d| d.part == *part && d.attempt == gone.attempt && same(d)) {
            return;
        }
        entry.unassign(gone.task.index);
        if let Some(attempt) = entry.attempt.as_mut().filter(|_| gone.how != Leave::Passed) {
            attempt.lost_task();
        }
        if gone.how == Leave::Error {
            entry
                .failures
                .note_failure(gone.machine.clone(), report_s, now);
            if let Some(machine) = gone.machine {
                self.failed_on
                    .entry(machine)
                    .or_default()
                    .insert(gone.task.job);
            }
        }
    }

    /// A part that kept all it knew proves by its own word that what only it can
    /// hold, and it doesn't list, is nowhere.
    fn take_word_for_the_rest(&mut self, part: &Arc<str>, listed: &Listed) {
        for (id, entry) in self.jobs.iter_mut().filter(|(_, e)| !e.with.is_empty()) {
            let theirs = entry
                .with
                .iter()
                .filter(|(_, p)| *p == part)
                .map(|(i, _)| *i);
            for index in theirs.collect::<Vec<u32>>() {
                entry.with.remove(&index);
                if !listed.contains(&(id.clone(), index)) {
                    entry.unknown.remove(index);
                }
            }
        }
    }

    /// What a part had listed and lists no more, without a word.
    fn no_longer_listed(&self, part: &Arc<str>, listed: &Listed) -> Vec<Task> {
        let mut missing = Vec::new();
        for (id, entry) in &self.jobs {
            let theirs = entry
                .assigned
                .iter()
                .filter(|(_, d)| d.part == *part && d.listed);
            let lost = theirs.filter(|(index, _)| !listed.contains(&(id.clone(), **index)));
            missing.extend(lost.map(|(index, _)| Task {
                job: id.clone(),
                index: *index,
            }));
        }
        missing
    }

    /// Whether a part is known to list a task under this attempt.
    fn lists(&self, part: &Arc<str>, task: &Task, attempt: u64) -> bool {
        let assigned = self
            .jobs
            .get(&task.job)
            .and_then(|e| e.assigned.get(&task.index));
        assigned.is_some_and(|d| d.part == *part && d.listed && d.attempt == attempt)
    }

    /// A task is somewhere we don't know, unless it needs no more runs.
    fn lose_sight_of(&mut self, task: &Task, mirror: &Mirror) {
        let Some(entry) = self.jobs.get_mut(&task.job) else {
            return;
        };
        entry.unassign(task.index);
        let job = mirror.jobs.get(&task.job);
        if job.is_some_and(|j| j.finished.has(task.index) || j.record.done) {
            return;
        }
        entry.unknown.add(task.index);
        if let Some(attempt) = entry.attempt.as_mut() {
            attempt.doubt_task();
        }
        self.resolved = false;
    }

    fn forget_what_is_over(&mut self, mirror: &Mirror) {
        self.jobs.retain(|id, e| {
            !e.assigned.is_empty()
                || !e.unknown.is_empty()
                || mirror.jobs.get(id).is_some_and(|j| j.live())
        });
    }

    /// Machines whose content nobody knows yet under this epoch, apart from
    /// those that `gone` says are deleted.
    pub(super) fn uncertain<'a>(
        &'a self,
        mirror: &'a Mirror,
        gone: &'a dyn Fn(&MachineId) -> bool,
    ) -> impl Iterator<Item = &'a MachineId> + 'a {
        mirror
            .roster
            .iter()
            .filter(|(_, (r, _))| r.up)
            .map(|(id, _)| id)
            .filter(move |id| {
                // A part tells only of machines that are its own in this epoch.
                !gone(id)
                    && !self
                        .parts
                        .values()
                        .any(|p| p.machines.get(*id).is_some_and(|m| m.view.certain))
            })
    }

    /// The machines in doubt: those of the roster, and those that report although the
    /// roster lacks them.
    pub fn doubtful_machines(
        &self,
        mirror: &Mirror,
        gone: &dyn Fn(&MachineId) -> bool,
    ) -> DoubtfulMachines {
        let rostered = self
            .uncertain(mirror, gone)
            .filter_map(|id| mirror.roster.get(id));
        let rostered = rostered.map(|(record, _)| MachineClass {
            kind: record.kind.clone(),
            zone: record.zone.clone(),
            spot: record.spot,
        });
        let unlisted = self.machines().filter(|m| {
            m.heard && !m.certain && !mirror.roster.contains_key(&m.id) && !gone(&m.id)
        });
        let unlisted = unlisted.map(|m| MachineClass {
            kind: m.kind.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
        });
        rostered.chain(unlisted).collect()
    }

    /// Whether machines that no readable page of the roster names may hold tasks. Such
    /// a machine reports to its owner within its worker's lease, or that is past.
    fn may_be_on_unlisted_machines(&self, mirror: &Mirror) -> bool {
        let Some(first_report_at) = self.first_report_at else {
            return true;
        };
        mirror.unreadable.any_roster_page() && self.latest_at - first_report_at < self.takeover_s
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
        if self.may_be_on_unlisted_machines(mirror) {
            return;
        }
        let doubtful = self.doubtful_machines(mirror, gone);
        self.resolved = doubtful.is_empty();
        for entry in self.jobs.values_mut().filter(|e| !e.unknown.is_empty()) {
            if !doubtful.may_hold(&entry.spec) {
                entry.unknown = Bits::default();
            }
        }
        self.forget_what_is_over(mirror);
    }

    /// Whether nothing is in doubt any more.
    pub fn resolved(&self) -> bool {
        self.resolved
    }
}
