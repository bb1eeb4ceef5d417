//! Placement of assigned tasks on this shard's machines.

use super::events::RemovalProof;
use super::machine::Machine;
use super::preemption::VictimMachines;
use super::{Placement, RemovalReason, Shard, TaskPhase};
use crate::clock::{Moment, Seconds};
use crate::scheduler::bin_packing::{self, Candidate};
use crate::store::cache::StoreCache;
use crate::wire::{JobId, JobSpec, MachineId, Priority, Resources, Task, TaskState};
use finchwood_types::message_size::task_report_bytes;
use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap};

/// After this many report intervals without a heartbeat a machine takes no new tasks.
const MAX_SILENT_INTERVALS: f64 = 2.5;

/// A task that waits for a machine.
struct QueuedTask {
    priority: Priority,
    assigned_at: Seconds,
    task: Task,
}

impl QueuedTask {
    /// The order of placement: the highest priority first, then the longest waiting.
    fn order(&self, other: &QueuedTask) -> Ordering {
        self.priority
            .cmp(&other.priority)
            .then(self.assigned_at.total_cmp(&other.assigned_at))
            .then_with(|| self.task.cmp(&other.task))
    }
}

/// A task that is to be placed.
pub(super) struct PlacementRequest<'a> {
    pub(super) task: &'a Task,
    pub(super) spec: &'a JobSpec,
    /// Whether fetching its image may take more than half of the time in which tasks of its
    /// class should start.
    pub(super) latency_sensitive: bool,
}

/// The state of one round of placements.
pub(super) struct PlacementRound<'a> {
    pub(super) cache: &'a StoreCache,
    pub(super) when: Moment,
    /// The free capacity of each machine that takes new tasks.
    pub(super) free: BTreeMap<MachineId, Resources>,
    /// The capacity that is reserved on machines where tasks are being stopped to free it, so
    /// that no task of a lower priority gets it meanwhile.
    pub(super) reserved: BTreeMap<MachineId, Resources>,
}

/// The number of tasks of one job in each zone and on each machine.
#[derive(Default)]
struct JobSpread<'a> {
    by_zone: HashMap<&'a str, u32>,
    by_machine: HashMap<&'a str, u32>,
}

impl Shard {
    /// Returns the free capacity of a machine: its total less the tasks that it reported and
    /// those placed there since. Of ended tasks, which its worker reports until it may forget
    /// them, only the space in the report counts. The capacity is zero if the machine's type, or
    /// the specification of a reported task, is unknown.
    pub(super) fn free_resources(
        &self,
        id: &MachineId,
        machine: &Machine,
        cache: &StoreCache,
    ) -> Resources {
        let Some(total) = cache
            .catalog
            .as_ref()
            .and_then(|types| types.get(&machine.identity.machine_type))
            .map(|machine_type| machine_type.total())
        else {
            return Resources::default();
        };
        let mut free = total;
        let spec = |job: &JobId| cache.jobs.get(job).and_then(|job| job.record.spec.as_ref());
        for (task, observed) in &machine.contents.tasks {
            if observed.state == TaskState::Ended {
                // Guard: if ended tasks did not count, the worker's report could become longer
                // than controllers accept, and its lease would expire.
                free.report_bytes -= task_report_bytes(&task.job) as f64;
                continue;
            }
            match spec(&task.job) {
                Some(spec) => free.subtract(&spec.task_resources()),
                None => return Resources::default(),
            }
        }
        for (task, assigned) in self.assigned.on_machine(id) {
            if machine
                .contents
                .tasks
                .get(task)
                .is_none_or(|reported| reported.attempt != assigned.attempt)
            {
                if let Some(spec) = spec(&task.job) {
                    free.subtract(&spec.task_resources());
                }
            }
        }
        free
    }

    /// Whether a machine takes new tasks.
    pub(super) fn is_schedulable(&self, machine: &Machine, now: Seconds) -> bool {
        let max_silence = self.timing.report_s * MAX_SILENT_INTERVALS;
        let is_recent = |at: Seconds| now - at < max_silence;
        machine.used
            && machine.registered
            && machine.is_reconciled()
            && !machine.draining
            && machine.reclaim_at.is_none()
            && !machine.is_suspect(self.timing.report_s, now)
            && machine.session.last_heartbeat_at.is_some_and(is_recent)
    }

    /// Places the queued tasks, the highest priority first. Once `has_time` returns false, the
    /// round ends, and the rest is left to the next round.
    pub fn place_queued(
        &mut self,
        cache: &StoreCache,
        when: Moment,
        mut has_time: impl FnMut() -> bool,
    ) {
        let queue = self.placement_queue(cache);
        if queue.is_empty() {
            return;
        }
        let mut round = PlacementRound {
            cache,
            when,
            free: self.schedulable_resources(cache, when.now),
            reserved: BTreeMap::new(),
        };
        for QueuedTask { task, .. } in queue {
            if !has_time() {
                self.report_due = true;
                return;
            }
            let job = cache.jobs.get(&task.job);
            let Some(spec) = job.and_then(|job| job.record.spec.as_ref()) else {
                continue;
            };
            let catalog = cache.catalog.as_deref();
            let latency_sensitive =
                bin_packing::is_latency_sensitive(spec, &self.start_objectives, catalog);
            let request = PlacementRequest {
                task: &task,
                spec,
                latency_sensitive,
            };
            self.place_task(&request, &mut round);
        }
    }

    /// Returns the tasks without a machine, in the order in which they are to be placed.
    fn placement_queue(&self, cache: &StoreCache) -> Vec<QueuedTask> {
        let mut queue: Vec<QueuedTask> = self
            .assigned
            .queued()
            .filter_map(|(task, assigned)| {
                let spec = cache.jobs.get(&task.job)?.record.spec.as_ref()?;
                Some(QueuedTask {
                    priority: spec.priority,
                    assigned_at: assigned.assigned_at,
                    task: task.clone(),
                })
            })
            .collect();
        queue.sort_by(QueuedTask::order);
        queue
    }

    /// Returns the free capacity of each machine that takes new tasks.
    fn schedulable_resources(
        &self,
        cache: &StoreCache,
        now: Seconds,
    ) -> BTreeMap<MachineId, Resources> {
        self.machines
            .iter()
            .filter(|(id, machine)| {
                self.is_schedulable(machine, now) && !self.transfers.is_fenced(id)
            })
            .map(|(id, machine)| (id.clone(), self.free_resources(id, machine, cache)))
            .collect()
    }

    /// Places one task, stops others to free capacity for it, or returns it to the leader.
    fn place_task(&mut self, request: &PlacementRequest, round: &mut PlacementRound) {
        let chosen = self.choose_machine(request, round);
        let has_image = |id: &MachineId| {
            let machine = self.machines.get(id);
            machine.is_some_and(|machine| machine.has_image(&request.spec.image))
        };
        let must_fetch_image = !chosen.as_ref().is_some_and(has_image);
        // Freeing capacity on a machine with the image takes less time than fetching it.
        if request.latency_sensitive
            && must_fetch_image
            && self.preempt_for(request, round, VictimMachines::WithImage)
        {
            return;
        }
        match chosen {
            Some(id) => {
                if let Some(free) = round.free.get_mut(&id) {
                    free.subtract(&request.spec.task_resources());
                }
                self.assign_machine(&id, request, round);
            }
            None => {
                if !self.preempt_for(request, round, VictimMachines::Any) {
                    self.remove_task(
                        request.task,
                        RemovalReason::Rejected,
                        RemovalProof::NotStarted,
                    );
                }
            }
        }
    }

    /// Returns the best machine with capacity for a task.
    fn choose_machine(
        &self,
        request: &PlacementRequest,
        round: &PlacementRound,
    ) -> Option<MachineId> {
        let (task, spec) = (request.task, request.spec);
        let assigned = self.assigned.get(task)?;
        let spread = if spec.has_coupled_tasks() {
            self.job_spread(&task.job)
        } else {
            JobSpread::default()
        };
        let candidates = round.free.iter().filter_map(|(id, free)| {
            let machine = self.machines.get(id)?;
            if assigned.avoid.contains(id)
                || machine.contents.tasks.contains_key(task)
                || round.reserved.contains_key(id)
                || !self.zone_has_allowance(request, &machine.identity.zone)
            {
                return None;
            }
            let identity = &machine.identity;
            Some(Candidate {
                id,
                machine_type: &identity.machine_type,
                zone: &identity.zone,
                spot: identity.spot,
                free: *free,
                image_cached: machine.has_image(&spec.image),
                job_tasks_in_zone: spread.by_zone.get(&*identity.zone).copied().unwrap_or(0),
                job_tasks_on_machine: spread.by_machine.get(&**id).copied().unwrap_or(0),
            })
        });
        bin_packing::pick(spec, request.latency_sensitive, candidates)
            .map(|candidate| candidate.id.into())
    }

    /// Counts the placed tasks of a job by zone and by machine.
    fn job_spread(&self, job: &JobId) -> JobSpread<'_> {
        let mut spread = JobSpread::default();
        for (_, assigned) in self.assigned.of_job(job) {
            let Some(placement) = assigned.placement.as_ref() else {
                continue;
            };
            let Some(machine) = self.machines.get(&placement.machine) else {
                continue;
            };
            *spread.by_zone.entry(&machine.identity.zone).or_default() += 1;
            *spread.by_machine.entry(&placement.machine).or_default() += 1;
        }
        spread
    }

    /// Whether a zone may take a further task of a job. A job with `one_zone` or `scatter` has
    /// an allowance for each zone; until the leader's orders have set the allowances, none of
    /// its tasks is placed.
    fn zone_has_allowance(&self, request: &PlacementRequest, zone: &str) -> bool {
        match self.zone_allowances.get(&request.task.job) {
            Some(allowances) => allowances.has_allowance(zone),
            None => !request.spec.one_zone && !request.spec.scatter,
        }
    }

    /// Places a task on a machine. Its start is sent with the next commands.
    fn assign_machine(
        &mut self,
        id: &MachineId,
        request: &PlacementRequest,
        round: &PlacementRound,
    ) {
        let (task, spec, now) = (request.task, request.spec, round.when.now);
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let image_cached = machine.has_image(&spec.image);
        tracing::debug!(%task, machine = %id, image_cached, "task placed");
        let catalog = round.cache.catalog.as_ref();
        let cache_gb = catalog
            .and_then(|catalog| catalog.get(&machine.identity.machine_type))
            .map_or(0.0, |machine_type| machine_type.cache_gb);
        machine.contents.cache_image(spec, cache_gb);
        machine.contents.idle_since = now;
        let session = machine.session.id;
        if let Some(allowances) = self.zone_allowances.get_mut(&task.job) {
            allowances.use_one(&machine.identity.zone, spec.one_zone);
        }
        if let Some(attempt) = self.assigned.get(task).map(|assigned| assigned.attempt) {
            let placement = Placement {
                machine: id.clone(),
                session,
                phase: TaskPhase::Starting,
                start_token: None,
                start_sent: false,
                confirmed: false,
                stop_reason: None,
                stop_sent: false,
                phase_since: now,
            };
            self.assigned.place(task, attempt, placement);
            self.report_due = true;
        }
    }
}
