//! Checks the crate against a simple model that contains the actual state: machines with tasks
//! on them, commands of an earlier owner still in flight, workers that are silent, start new
//! sessions or report under old tokens, and stored records in any state.
//!
//! The new owner in the model follows the decisions of the crate. In any order of events it
//! must not free a task that is on a machine or may still be started on one, stop a task that
//! has to run, or let a worker forget a result that is not committed; and once every machine
//! has reported or its lease has expired, nothing is unreconciled.

use finchwood_reconciliation::hold_off::{Action, HoldOff, HoldOffContext, HoldOffLimits};
use finchwood_reconciliation::machine_state::{MachineEvent, MachineState};
use finchwood_reconciliation::stored_jobs::StoredTask;
use finchwood_reconciliation::unreconciled::{
    MachineClass, ReconciliationPhase, UnreconciledMachines,
};
use finchwood_reconciliation::verdict::{
    decide, may_forget, must_stop, KnownAssignment, ReportedTask, Verdict,
};
use finchwood_types::token::{attempt, token};
use finchwood_types::wire::{JobSpec, TaskState};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const EPOCH: u64 = 9;
const OLD_TOKEN: u64 = 8 << 24 | 3;
const ZONES: [&str; 2] = ["e", "w"];

/// The index of a task in the model.
type TaskId = usize;

#[derive(Debug, Clone)]
struct ModelTask {
    stored: StoredTask,
    /// The only zone that the task's job allows; `None` if it allows all.
    zone: Option<&'static str>,
}

/// A task on a worker: its attempt, and whether it still runs. If not, it has completed.
type WorkerTask = (u64, bool);

#[derive(Debug, Clone)]
struct ModelMachine {
    zone: &'static str,
    /// Whether the new owner knows the mark of use. Without it, the machine may hold tasks all
    /// the same, as the mark may be late.
    marked: bool,
    token: u64,
    tasks: BTreeMap<TaskId, WorkerTask>,
    /// Commands of the earlier owner to start tasks that may still arrive.
    starts_in_flight: Vec<(TaskId, u64)>,
}

/// An event in the model. The number in `Complete` selects a running task, the others select a
/// machine, modulo the number of machines.
#[derive(Debug, Clone)]
enum Step {
    /// A worker sends a report, which arrives at once.
    Heartbeat(usize),
    /// A worker sends a report, which arrives with the next `DeliverDelayed` for it.
    DelayReport(usize),
    DeliverDelayed(usize),
    /// A probe of the new owner reaches the worker, whose response arrives at once.
    Probe(usize),
    /// A command of the earlier owner arrives.
    LateStart(usize),
    /// The worker's lease expires, and the new owner applies that event.
    LeaseExpired(usize),
    /// A task completes on its machine.
    Complete(usize),
}

/// The new owner and leader, which follows the decisions of the crate.
struct Owner {
    states: Vec<MachineState>,
    /// Whether each machine has reported under the new owner's token.
    reported_under_token: Vec<bool>,
    /// The machine and the attempt of each assigned task.
    assigned: BTreeMap<TaskId, (usize, u64)>,
    /// The tasks whose results have been reported.
    results: BTreeSet<TaskId>,
    /// Whether each machine's session has ended, so that reports of that session are refused.
    session_ended: Vec<bool>,
}

struct Model {
    tasks: Vec<ModelTask>,
    machines: Vec<ModelMachine>,
    delayed_reports: Vec<Option<(u64, BTreeMap<TaskId, WorkerTask>)>>,
    owner: Owner,
}

fn spec(zone: Option<&str>) -> JobSpec {
    let text = format!(
        r#"{{"id":"wk-1","flock":"f","nest":"t","shape":"array","rank":"low","chicks":1,"cpus":1.0,
        "accelerators":0.0,"mem_gb":1.0,"egg":"i","size_gb":1.0,"grove":{},"one_zone":false,"scatter":false,
        "windfall":true,"guess_s":1.0,"molt_s":0.0,"stash_s":0.0}}"#,
        zone.map_or("null".into(), |z| format!("\"{z}\""))
    );
    JobSpec::parse(text.as_bytes()).expect("a valid job specification")
}

impl Model {
    fn unreconciled_machines(&self) -> UnreconciledMachines {
        let unreconciled = self
            .machines
            .iter()
            .zip(&self.owner.states)
            .filter(|(_, state)| !state.is_reconciled());
        let class = |zone: &str| MachineClass {
            machine_type: "k".into(),
            zone: zone.into(),
            spot: false,
        };
        unreconciled
            .map(|(machine, _)| class(machine.zone))
            .collect()
    }

    fn known_assignment(&self, machine: usize, task: TaskId, attempt: u64) -> KnownAssignment {
        match self.owner.assigned.get(&task) {
            None => KnownAssignment::Unassigned,
            Some(assigned) if *assigned == (machine, attempt) => KnownAssignment::Same,
            Some(_) => KnownAssignment::Elsewhere,
        }
    }

    /// Applies a report as the owner does: it changes the machine's state, decides on each
    /// reported task, and checks the commands that follow. The commands are not carried out.
    fn apply_report(&mut self, id: usize, seen_token: u64, tasks: &BTreeMap<TaskId, WorkerTask>) {
        let owner_token = token(EPOCH, 0);
        let event = MachineEvent::Heartbeat {
            first_contact: !self.owner.reported_under_token[id],
            owner_token_seen: seen_token >= owner_token,
        };
        self.owner.reported_under_token[id] |= seen_token >= owner_token;
        let transition = self.owner.states[id].after(event);
        self.owner.states[id] = transition.state;
        assert!(
            !transition.probe || !transition.state.is_reconciled(),
            "a reconciled machine is probed"
        );
        if !transition.state.is_reconciled() {
            return;
        }
        for (&task, &(attempt, runs)) in tasks {
            let reported = reported(attempt, runs);
            let known = self.known_assignment(id, task, attempt);
            let stored = self.tasks[task].stored;
            match decide(reported, known, stored, EPOCH) {
                Verdict::Known | Verdict::Forget(_) | Verdict::Conflict(_) => {}
                Verdict::RecordFinished => {
                    self.owner.assigned.insert(task, (id, attempt));
                    self.owner.results.insert(task);
                }
                Verdict::Adopt(_) | Verdict::LeaveUnreconciled(_) | Verdict::Stop(_) => {
                    self.owner.assigned.insert(task, (id, attempt));
                }
            }
            let known = self.known_assignment(id, task, attempt);
            if known == KnownAssignment::Same && !runs && stored == StoredTask::Unfinished {
                self.owner.results.insert(task);
            }
            let stops = must_stop(reported, known).is_some()
                || runs && known == KnownAssignment::Same && stored.needs_no_run();
            assert!(
                !stops || stored != StoredTask::Unfinished,
                "task {task} has to run and was stopped"
            );
            let forgets = may_forget(reported, known, stored).is_some();
            assert!(
                !forgets || runs || stored.needs_no_run(),
                "the result of task {task} was forgotten"
            );
        }
        // A task that is assigned to this machine but no longer reported is not on it any
        // more: a report under the owner's token confirms that.
        self.owner
            .assigned
            .retain(|task, (machine, _)| *machine != id || tasks.contains_key(task));
    }

    fn step(&mut self, step: &Step) {
        let count = self.machines.len();
        let pick = |n: usize| n % count;
        match *step {
            Step::Heartbeat(n) => {
                let id = pick(n);
                if !self.owner.session_ended[id] {
                    let machine = self.machines[id].clone();
                    self.apply_report(id, machine.token, &machine.tasks);
                }
            }
            Step::DelayReport(n) => {
                let id = pick(n);
                let machine = &self.machines[id];
                self.delayed_reports[id] = Some((machine.token, machine.tasks.clone()));
            }
            // A report that is older than the last one is refused, but the delayed one may be
            // the first of all.
            Step::DeliverDelayed(n) => {
                let id = pick(n);
                let first = self.owner.states[id] == MachineState::NoHeartbeat;
                if let Some((seen_token, tasks)) = self.delayed_reports[id].take().filter(|_| first)
                {
                    self.apply_report(id, seen_token, &tasks);
                }
            }
            Step::Probe(n) => {
                let id = pick(n);
                self.machines[id].token = self.machines[id].token.max(token(EPOCH, 0));
                let machine = self.machines[id].clone();
                if !self.owner.session_ended[id] {
                    self.apply_report(id, machine.token, &machine.tasks);
                }
            }
            Step::LateStart(n) => {
                let machine = &mut self.machines[pick(n)];
                if let Some((task, attempt)) = machine.starts_in_flight.pop() {
                    if machine.token <= OLD_TOKEN {
                        machine.tasks.entry(task).or_insert((attempt, true));
                    }
                }
            }
            Step::LeaseExpired(n) => {
                let id = pick(n);
                self.machines[id].tasks.clear();
                // The starts in flight belong to the session that has ended.
                self.machines[id].starts_in_flight.clear();
                self.owner.states[id] = self.owner.states[id]
                    .after(MachineEvent::LeaseExpired)
                    .state;
                self.owner.assigned.retain(|_, (machine, _)| *machine != id);
                self.delayed_reports[id] = None;
                self.owner.session_ended[id] = true;
            }
            Step::Complete(n) => {
                let running = self
                    .machines
                    .iter_mut()
                    .flat_map(|m| m.tasks.values_mut())
                    .filter(|task| task.1);
                if let Some(task) = running.into_iter().nth(n % 3) {
                    task.1 = false;
                }
            }
        }
    }

    /// Checks that each task that the leader would free now is on no machine, and can no
    /// longer be started on one by an old command.
    fn check(&self) {
        let unreconciled = self.unreconciled_machines();
        for (task, model_task) in self.tasks.iter().enumerate() {
            let needs_run = model_task.stored == StoredTask::Unfinished;
            let assigned =
                self.owner.assigned.contains_key(&task) || self.owner.results.contains(&task);
            if !needs_run || assigned || unreconciled.may_run_job(&spec(model_task.zone)) {
                continue;
            }
            for machine in &self.machines {
                assert!(
                    !machine.tasks.contains_key(&task),
                    "task {task} is freed although it is on a machine"
                );
                let may_start = machine.token <= OLD_TOKEN
                    && machine.starts_in_flight.iter().any(|start| start.0 == task);
                assert!(
                    !may_start,
                    "task {task} is freed although an old command may still start it"
                );
            }
        }
    }
}

fn reported(attempt: u64, runs: bool) -> ReportedTask {
    let state = if runs {
        TaskState::Running
    } else {
        TaskState::Ended
    };
    ReportedTask::new(attempt, state, (!runs).then_some("done"))
}

fn stored() -> impl Strategy<Value = StoredTask> {
    prop_oneof![
        5 => Just(StoredTask::Unfinished),
        1 => Just(StoredTask::Finished),
        1 => Just(StoredTask::JobDone),
        1 => Just(StoredTask::JobCancelled),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let n = 0..12usize;
    prop_oneof![
        3 => n.clone().prop_map(Step::Heartbeat),
        1 => n.clone().prop_map(Step::DelayReport),
        1 => n.clone().prop_map(Step::DeliverDelayed),
        2 => n.clone().prop_map(Step::Probe),
        2 => n.clone().prop_map(Step::LateStart),
        1 => n.clone().prop_map(Step::LeaseExpired),
        1 => n.prop_map(Step::Complete),
    ]
}

/// Creates a model in which each task is on a machine, is being started on one, or is on none.
fn model(tasks: Vec<(StoredTask, usize, usize, usize)>, machines: usize) -> Model {
    let mut model_machines: Vec<ModelMachine> = (0..machines)
        .map(|i| ModelMachine {
            zone: ZONES[i % 2],
            marked: i % 3 != 2,
            token: OLD_TOKEN,
            tasks: BTreeMap::new(),
            starts_in_flight: Vec::new(),
        })
        .collect();
    let mut model_tasks = Vec::new();
    for (task, (stored, zone, place, at)) in tasks.into_iter().enumerate() {
        let zone = (zone < 2).then(|| ZONES[zone]);
        model_tasks.push(ModelTask { stored, zone });
        let id = at % machines;
        if zone.is_some_and(|z| z != model_machines[id].zone) {
            continue;
        }
        match place {
            0 | 1 => {
                model_machines[id]
                    .tasks
                    .insert(task, (attempt(EPOCH - 1, task as u64), true));
            }
            2 => model_machines[id]
                .starts_in_flight
                .push((task, attempt(EPOCH - 1, task as u64))),
            _ => {}
        }
    }
    let owner = Owner {
        states: model_machines
            .iter()
            .map(|m| MachineState::initial(m.marked))
            .collect(),
        reported_under_token: vec![false; machines],
        assigned: BTreeMap::new(),
        results: BTreeSet::new(),
        session_ended: vec![false; machines],
    };
    Model {
        tasks: model_tasks,
        delayed_reports: vec![None; machines],
        machines: model_machines,
        owner,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1500,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(23),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_task_is_freed_or_stopped_wrongly_and_all_machines_are_reconciled_in_the_end(
        tasks in prop::collection::vec((stored(), 0..3usize, 0..4usize, 0..12usize), 1..8),
        machines in 1..6usize,
        steps in prop::collection::vec(step(), 0..40),
    ) {
        let mut model = model(tasks, machines);
        model.check();
        for step in &steps {
            model.step(step);
            model.check();
        }
        for id in 0..machines {
            model.step(&Step::Probe(id));
            model.check();
        }
        prop_assert!(model.unreconciled_machines().is_empty(), "not reconciled: {:?}", model.owner.states);
        // Each unfinished task is assigned to the machine that it is on, or is on none and
        // free: none is forgotten.
        for (task, model_task) in model.tasks.iter().enumerate() {
            let machine = model.machines.iter().position(|m| m.tasks.contains_key(&task));
            let assigned = model.owner.assigned.get(&task).map(|assigned| assigned.0);
            prop_assert!(model_task.stored != StoredTask::Unfinished || assigned == machine, "task {} is on {:?}, assigned to {:?}", task, machine, assigned);
        }
    }

    /// Renting, consolidation and the deletion of unprobed machines are allowed again in time.
    /// Once all shards have reported, renting is delayed only for jobs of which an
    /// unreconciled machine may hold a task.
    #[test]
    fn hold_off_ends_in_time_and_delays_only_jobs_that_unreconciled_machines_may_hold(
        age_s in 0.0..60.0f64,
        zones in prop::collection::vec(0..2usize, 0..4),
        allowed_zone in 0..3usize,
        all_shards_reported in any::<bool>(),
    ) {
        let limits = HoldOffLimits { response_timeout_s: 6.0, lease_s: 30.0 };
        let mut hold_off = HoldOff::new(limits);
        let class = |z: &usize| MachineClass { machine_type: "k".into(), zone: ZONES[*z].into(), spot: false };
        let unreconciled: UnreconciledMachines = zones.iter().map(class).collect();
        let at = HoldOffContext { now: 100.0 + age_s, all_shards_reported, unreconciled: &unreconciled };
        let pending_demand = spec((allowed_zone < 2).then(|| ZONES[allowed_zone]));
        let actions = [Action::Rent, Action::Preempt, Action::Consolidate, Action::DeleteUnprobed];
        for action in actions {
            prop_assert_eq!(hold_off.hold_reason(action, Some(&pending_demand), at), None, "not begun");
        }
        hold_off.begin(100.0);
        let may_have_capacity = allowed_zone == 2 && !zones.is_empty() || zones.contains(&allowed_zone);
        let held_back = hold_off.hold_reason(Action::Rent, Some(&pending_demand), at).is_some();
        prop_assert_eq!(held_back, age_s < 6.0 && (!all_shards_reported || may_have_capacity));
        prop_assert_eq!(hold_off.hold_reason(Action::DeleteUnprobed, None, at).is_some(), age_s < 30.0);
        if age_s >= 30.0 || age_s >= 6.0 && all_shards_reported && zones.is_empty() {
            prop_assert_eq!(hold_off.hold_reason(Action::Consolidate, None, at), None);
        }
    }
}

#[test]
fn phase_of_a_job_depends_on_unreconciled_and_found_tasks() {
    assert_eq!(ReconciliationPhase::of(3, 0), ReconciliationPhase::Pending);
    assert_eq!(ReconciliationPhase::of(2, 1), ReconciliationPhase::Partial);
    assert_eq!(ReconciliationPhase::of(0, 0), ReconciliationPhase::Complete);
}
