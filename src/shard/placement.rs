//! Which of the shard's machines each queued task goes to, and what lower work
//! is stopped for it.

use super::machine::Machine;
use super::{Attempt, Placement, RemovalReason, Shard, Stop, TaskPhase};
use crate::clock::{Moment, Seconds};
use crate::scheduler::bin_packing::{self, Candidate};
use crate::store::cache::StoreCache;
use crate::wire::{
    JobId, JobKind, JobSpec, MachineId, Priority, Resources, Task, TaskState, START_COUNTS_S,
};
use std::collections::{BTreeMap, HashMap};

impl Shard {
    pub(super) fn free_resources(
        &self,
        id: &MachineId,
        m: &Machine,
        cache: &StoreCache,
    ) -> Resources {
        let Some(total) = cache
            .catalog
            .as_ref()
            .and_then(|c| c.get(&m.identity.machine_type))
            .map(|t| t.total())
        else {
            return Resources::default();
        };
        let mut free = total;
        let spec = |job: &JobId| cache.jobs.get(job).and_then(|j| j.record.spec.as_ref());
        for (task, observed) in &m.contents.tasks {
            if observed.state != TaskState::Ended {
                match spec(&task.job) {
                    Some(s) => free.subtract(&s.task_resources()),
                    None => return Resources::default(),
                }
            }
        }
        for (task, h) in self.assigned.on(id) {
            if m.contents
                .tasks
                .get(task)
                .is_none_or(|l| l.attempt != h.attempt)
            {
                if let Some(s) = spec(&task.job) {
                    free.subtract(&s.task_resources());
                }
            }
        }
        free
    }

    pub(super) fn is_schedulable(&self, m: &Machine, now: Seconds) -> bool {
        m.used
            && m.registered
            && m.is_reconciled()
            && !m.draining
            && m.reclaimed_at.is_none()
            && !m.is_suspect(self.timing.report_s, now)
            && m.session
                .last_heartbeat_at
                .is_some_and(|h| now - h < self.timing.report_s * 2.5)
    }

    /// Places what is queued, the highest priority first, until `more` says that
    /// the round's time is over; the next round goes on with the rest.
    pub fn place_queued(
        &mut self,
        cache: &StoreCache,
        when: Moment,
        mut more: impl FnMut() -> bool,
    ) {
        let now = when.now;
        let mut queue: Vec<(Priority, Seconds, Task)> = self
            .assigned
            .queued()
            .filter_map(|(t, h)| {
                let spec = cache.jobs.get(&t.job)?.record.spec.as_ref()?;
                Some((spec.priority, h.assigned_at, t.clone()))
            })
            .collect();
        if queue.is_empty() {
            return;
        }
        queue.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        let mut free: BTreeMap<MachineId, Resources> = self
            .machines
            .iter()
            .filter(|(id, m)| self.is_schedulable(m, now) && !self.transfers.is_fenced(id))
            .map(|(id, m)| (id.clone(), self.free_resources(id, m, cache)))
            .collect();
        let mut kept = ReservedRoom::default();
        for (_, _, task) in queue {
            if !more() {
                self.report_due = true;
                return;
            }
            let Some(spec) = cache
                .jobs
                .get(&task.job)
                .and_then(|j| j.record.spec.clone())
            else {
                continue;
            };
            let latency_sensitive = bin_packing::is_latency_sensitive(
                &spec,
                &self.start_objectives,
                cache.catalog.as_deref(),
            );
            let chosen = self.choose_machine(&task, &spec, latency_sensitive, &free, &kept);
            let cold = |id: &MachineId| {
                !self
                    .machines
                    .get(id)
                    .is_some_and(|m| m.has_image(&spec.image))
            };
            // Making room where the image is takes less time than fetching it.
            let warmer = latency_sensitive && chosen.as_ref().is_none_or(cold);
            if warmer && self.preempt_for(&task, &spec, &free, &mut kept, true, cache, when) {
                continue;
            }
            match chosen {
                Some(id) => {
                    if let Some(f) = free.get_mut(&id) {
                        f.subtract(&spec.task_resources());
                    }
                    self.place_on(&task, &spec, &id, cache, now);
                }
                None => {
                    if !self.preempt_for(&task, &spec, &free, &mut kept, false, cache, when) {
                        self.remove_task(&task, RemovalReason::Passed);
                    }
                }
            }
        }
    }

    pub(super) fn choose_machine(
        &self,
        task: &Task,
        spec: &JobSpec,
        latency_sensitive: bool,
        free: &BTreeMap<MachineId, Resources>,
        kept: &ReservedRoom,
    ) -> Option<MachineId> {
        let held = self.assigned.get(task)?;
        let bounds = self.zone_capacities.get(&task.job);
        let (mut zones, mut machines): (HashMap<&str, u32>, HashMap<&str, u32>) =
            Default::default();
        if spec.has_coupled_tasks() {
            let from = Task {
                job: task.job.clone(),
                index: 0,
            };
            let to = Task {
                job: task.job.clone(),
                index: u32::MAX,
            };
            for (_, h) in self.assigned.range(from..=to) {
                if let Some(m) = h
                    .placement
                    .as_ref()
                    .and_then(|p| Some((p, self.machines.get(&p.machine)?)))
                {
                    *zones.entry(&m.1.identity.zone).or_default() += 1;
                    *machines.entry(&m.0.machine).or_default() += 1;
                }
            }
        }
        let candidates = free.iter().filter_map(|(id, f)| {
            let m = self.machines.get(id)?;
            if held.avoid.contains(id)
                || m.contents.tasks.contains_key(task)
                || kept.0.contains_key(id)
            {
                return None;
            }
            if let Some(b) = bounds {
                if b.remaining.get(&m.identity.zone).copied().unwrap_or(0) == 0 {
                    return None;
                }
            } else if spec.one_zone || spec.scatter {
                return None;
            }
            Some(Candidate {
                id,
                machine_type: &m.identity.machine_type,
                zone: &m.identity.zone,
                spot: m.identity.spot,
                free: *f,
                cached: m.has_image(&spec.image),
                zone_peers: zones.get(&*m.identity.zone).copied().unwrap_or(0),
                machine_peers: machines.get(&**id).copied().unwrap_or(0),
            })
        });
        bin_packing::pick(spec, latency_sensitive, candidates).map(|c| c.id.into())
    }

    pub(super) fn place_on(
        &mut self,
        task: &Task,
        spec: &JobSpec,
        id: &MachineId,
        cache: &StoreCache,
        now: Seconds,
    ) {
        let cache = cache.catalog.as_ref().and_then(|c| {
            c.get(&self.machines.get(id)?.identity.machine_type)
                .map(|t| t.cache_gb)
        });
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        let cached = m.has_image(&spec.image);
        tracing::debug!(%task, %id, cached, "placed");
        m.contents.images.retain(|i| i.0 != spec.image);
        m.contents
            .images
            .push_front((spec.image.clone(), spec.image_gb));
        while m.contents.images.len() > 1
            && m.contents.images.iter().map(|i| i.1).sum::<f64>() > cache.unwrap_or(0.0)
        {
            m.contents.images.pop_back();
        }
        m.contents.idle_since = now;
        let zone = m.identity.zone.clone();
        let session = m.session.id;
        if let Some(b) = self.zone_capacities.get_mut(&task.job) {
            if spec.one_zone {
                b.remaining.retain(|z, _| *z == zone);
            }
            if let Some(n) = b.remaining.get_mut(&zone) {
                *n = n.saturating_sub(1);
            }
        }
        if let Some(attempt) = self.assigned.get(task).map(|h| h.attempt) {
            let at = Placement {
                machine: id.clone(),
                session,
                phase: TaskPhase::Starting,
                start_token: None,
                start_sent: false,
                confirmed: false,
                stop: None,
                stop_sent: false,
                phase_since: now,
            };
            self.assigned.place(task, attempt, at);
            self.report_due = true;
        }
    }

    /// Whether a task may be stopped for one of `priority`. The highest priority stops any
    /// array below it. All other work stops low arrays only, of teams that use more
    /// than they are guaranteed, and none that has only just started: the largest
    /// of them would else be stopped each time before its start counts for users.
    pub(super) fn is_preemptible(
        &self,
        spec: &JobSpec,
        place: &Placement,
        priority: Priority,
        now: Seconds,
    ) -> bool {
        if spec.job_kind != JobKind::Array
            || spec.priority <= priority
            || place.phase == TaskPhase::Done
        {
            return false;
        }
        let stays = place.phase != TaskPhase::Running || place.stop.is_some();
        let counts = !stays && now - place.phase_since >= START_COUNTS_S;
        let borrows = spec.priority == Priority::Low && self.borrowing_teams.contains(&spec.team);
        priority == Priority::Prod || counts && borrows
    }

    /// Makes room by stopping lower work, on machines that have the image if
    /// `warm`. False if there is nothing to stop, or it has taken too long.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn preempt_for(
        &mut self,
        task: &Task,
        spec: &JobSpec,
        free: &BTreeMap<MachineId, Resources>,
        kept: &mut ReservedRoom,
        warm: bool,
        cache: &StoreCache,
        when: Moment,
    ) -> bool {
        let Some(held) = self.assigned.get(task) else {
            return false;
        };
        if when.now - held.assigned_at >= self.timing.report_s + spec.save_s {
            return false;
        }
        let bounds = self.zone_capacities.get(&task.job);
        let mut best: Option<((u32, f64), MachineId, Vec<Attempt>)> = None;
        for (id, f) in free {
            let Some(m) = self.machines.get(id) else {
                continue;
            };
            let zone_full = bounds
                .is_some_and(|b| b.remaining.get(&m.identity.zone).copied().unwrap_or(0) == 0);
            if held.avoid.contains(id)
                || zone_full
                || warm && !m.has_image(&spec.image)
                || m.contents.tasks.contains_key(task)
                || !spec.allowed_on(&m.identity.machine_type, &m.identity.zone, m.identity.spot)
            {
                continue;
            }
            let promised = kept.0.get(id).copied().unwrap_or_default();
            if let Some((victims, lost)) =
                self.preemption_victims(id, *f, promised, spec, cache, when)
            {
                if best.as_ref().is_none_or(|b| lost < b.0) {
                    best = Some((lost, id.clone(), victims));
                }
            }
        }
        let Some((_, id, victims)) = best else {
            return false;
        };
        for (t, attempt) in victims {
            self.stop_task(&t, attempt, Stop::Preempted);
        }
        kept.0.entry(id).or_default().add(&spec.task_resources());
        true
    }

    /// Whether a task is all that a job has here, and its start does not count for
    /// users yet. Guard: the youngest being stopped first, a job that had waited for
    /// minutes lost its only task each time before it had begun.
    fn is_first_start(&self, task: &Task, place: &Placement, now: Seconds) -> bool {
        let young = place.phase != TaskPhase::Running || now - place.phase_since < START_COUNTS_S;
        let from = Task {
            job: task.job.clone(),
            index: 0,
        };
        let to = Task {
            job: task.job.clone(),
            index: u32::MAX,
        };
        young && self.assigned.range(from..=to).nth(1).is_none()
    }

    /// Lower tasks on a machine whose end makes room: last those with which a job
    /// begins, first those that a new start doesn't make late, then the youngest.
    /// Also how many jobs it harms so all the same, and the work lost. Room that is
    /// being made already counts.
    pub(super) fn preemption_victims(
        &self,
        id: &MachineId,
        free: Resources,
        promised: Resources,
        spec: &JobSpec,
        cache: &StoreCache,
        when: Moment,
    ) -> Option<(Vec<Attempt>, (u32, f64))> {
        let ask = spec.task_resources();
        let mut room = free;
        room.subtract(&promised);
        let mut able: Vec<(Priority, bool, bool, Seconds, &Task, u64, Resources)> = Vec::new();
        for (t, h) in self.assigned.on(id) {
            let Some(p) = h.placement.as_ref().filter(|p| p.phase != TaskPhase::Done) else {
                continue;
            };
            let Some(s) = cache.jobs.get(&t.job).and_then(|j| j.record.spec.as_ref()) else {
                continue;
            };
            if p.stop.is_some() {
                room.add(&s.task_resources());
            } else if self.is_preemptible(s, p, spec.priority, when.now) {
                let job = &cache.jobs[&t.job].record;
                let age = when.wall_clock_ms.saturating_sub(job.accepted_at_ms) as f64 / 1000.0;
                let ran = when.now - p.phase_since;
                let first = self.is_first_start(t, p, when.now);
                able.push((
                    s.priority,
                    first,
                    made_late(s, age, ran),
                    p.phase_since,
                    t,
                    h.attempt,
                    s.task_resources(),
                ));
            }
        }
        able.sort_by(|a, b| {
            a.1.cmp(&b.1)
                .then(b.0.cmp(&a.0))
                .then(a.2.cmp(&b.2))
                .then(b.3.total_cmp(&a.3))
        });
        let (mut victims, mut harmed, mut lost) = (Vec::new(), 0, 0.0);
        for (_, first, made_late, since, t, attempt, res) in able {
            if room.fits(&ask) {
                break;
            }
            room.add(&res);
            harmed += u32::from(first || made_late);
            // What it has done so far is done again.
            lost += res.cpus * (when.now - since).max(1.0);
            victims.push((t.clone(), attempt));
        }
        room.fits(&ask).then_some((victims, (harmed, lost)))
    }
}

/// Machines on which room is being made this round, and how much of it is
/// promised: nobody of lower priority gets it meanwhile.
#[derive(Debug, Default)]
pub(super) struct ReservedRoom(BTreeMap<MachineId, Resources>);

/// Whether a job becomes late by starting a task anew, or, if it is late, later
/// by another half of the time it was given: else those that are late already
/// would be stopped again and again.
fn made_late(spec: &JobSpec, age: Seconds, ran: Seconds) -> bool {
    spec.checkpoint_s <= 0.0
        && spec.deadline_s.filter(|d| *d > 0.0).is_some_and(|d| {
            let halves = |ends: Seconds| (ends / (d / 2.0)).ceil().max(2.0);
            halves(age + spec.estimate_s) > halves(age + (spec.estimate_s - ran).max(0.0))
        })
}
