//! The package against a slow plain model that knows the truth: machines with tasks on
//! them, commands of an earlier owner still under way, workers that are silent, begin
//! new sessions or speak under old tokens, and records that say whatever they say.
//!
//! The new owner in here does nothing but what the package tells it. Whatever happens,
//! in whatever order: it frees no task that is on a machine or may still come to be on
//! one, it stops nothing healthy, it lets no worker forget a result that is not
//! committed, and once all has been heard or is past its lease, nothing is unreconciled.

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

/// A task, by its number; its job allows one zone, or any.
type TaskId = usize;

#[derive(Debug, Clone)]
struct TruthTask {
    stored: StoredTask,
    zone: Option<&'static str>,
}

/// What a worker knows of a task: its attempt, and whether it runs or has completed.
type Line = (u64, bool);

#[derive(Debug, Clone)]
struct TruthMachine {
    zone: &'static str,
    used: bool,
    token: u64,
    lines: BTreeMap<TaskId, Line>,
    /// Starts of the earlier owner that may still arrive.
    under_way: Vec<(TaskId, u64)>,
}

#[derive(Debug, Clone)]
enum Step {
    /// A report goes out and arrives at once.
    Heartbeat(usize),
    /// A report that is sent now arrives when the next of these says so.
    Hold(usize),
    Release(usize),
    /// The owner's question arrives, and its answer.
    Ask(usize),
    /// A command of the earlier owner arrives.
    LateStart(usize),
    /// The worker hears nobody for its whole lease, and its owner knows.
    LeasePast(usize),
    /// A task completes on its machine.
    Complete(usize),
}

/// The new owner and leader, by the package's word alone.
struct Owner {
    states: Vec<MachineState>,
    heard: Vec<bool>,
    held: BTreeMap<TaskId, (usize, u64)>,
    results: BTreeSet<TaskId>,
    /// Sessions that are over: reports of theirs are refused.
    over: Vec<bool>,
}

struct World {
    tasks: Vec<TruthTask>,
    machines: Vec<TruthMachine>,
    held_reports: Vec<Option<(u64, BTreeMap<TaskId, Line>)>>,
    owner: Owner,
}

fn spec(zone: Option<&str>) -> JobSpec {
    let text = format!(
        r#"{{"id":"wk-1","flock":"f","nest":"t","shape":"array","rank":"low","chicks":1,"cpus":1.0,
        "accelerators":0.0,"mem_gb":1.0,"egg":"i","size_gb":1.0,"grove":{},"one_zone":false,"scatter":false,
        "windfall":true,"guess_s":1.0,"molt_s":0.0,"stash_s":0.0}}"#,
        zone.map_or("null".into(), |z| format!("\"{z}\""))
    );
    JobSpec::parse(text.as_bytes()).expect("a spec")
}

impl World {
    fn unreconciled_machines(&self) -> UnreconciledMachines {
        let uncertain = self
            .machines
            .iter()
            .zip(&self.owner.states)
            .filter(|(_, state)| !state.is_reconciled());
        let class = |zone: &str| MachineClass {
            machine_type: "k".into(),
            zone: zone.into(),
            spot: false,
        };
        uncertain.map(|(machine, _)| class(machine.zone)).collect()
    }

    fn holding(&self, machine: usize, task: TaskId, attempt: u64) -> KnownAssignment {
        match self.owner.held.get(&task) {
            None => KnownAssignment::Unassigned,
            Some(held) if *held == (machine, attempt) => KnownAssignment::Same,
            Some(_) => KnownAssignment::Elsewhere,
        }
    }

    /// The owner takes in a report: state, verdicts, orders, which arrive at once.
    fn take_in(&mut self, id: usize, shown: u64, lines: &BTreeMap<TaskId, Line>) {
        let mine = token(EPOCH, 0);
        let event = MachineEvent::Heartbeat {
            first_contact: !self.owner.heard[id],
            used: self.machines[id].used,
            owner_token_seen: shown >= mine,
        };
        self.owner.heard[id] |= shown >= mine;
        let transition = self.owner.states[id].after(event);
        self.owner.states[id] = transition.state;
        assert!(
            !transition.probe || !transition.state.is_reconciled(),
            "asked although certain"
        );
        if !transition.state.is_reconciled() {
            return;
        }
        for (&task, &(attempt, runs)) in lines {
            let reported = reported(attempt, runs);
            let holding = self.holding(id, task, attempt);
            let stored = self.tasks[task].stored;
            match decide(reported, holding, stored, EPOCH) {
                Verdict::Known | Verdict::Forget(_) | Verdict::Conflict(_) => {}
                Verdict::RecordFinished => {
                    self.owner.held.insert(task, (id, attempt));
                    self.owner.results.insert(task);
                }
                Verdict::Adopt(_) | Verdict::LeaveUnreconciled(_) | Verdict::Stop(_) => {
                    self.owner.held.insert(task, (id, attempt));
                }
            }
            let holding = self.holding(id, task, attempt);
            if holding == KnownAssignment::Same && !runs && stored == StoredTask::Unfinished {
                self.owner.results.insert(task);
            }
            let stops = must_stop(reported, holding).is_some()
                || runs && holding == KnownAssignment::Same && stored.needs_no_run();
            assert!(
                !stops || stored != StoredTask::Unfinished,
                "task {task} is healthy and was stopped"
            );
            let reaps = may_forget(reported, holding, stored).is_some();
            assert!(
                !reaps || runs || stored.needs_no_run(),
                "the result of task {task} was forgotten"
            );
        }
        // What is held here and no longer listed, is gone: the token proves it.
        self.owner
            .held
            .retain(|task, (machine, _)| *machine != id || lines.contains_key(task));
    }

    fn step(&mut self, step: &Step) {
        let count = self.machines.len();
        let pick = |n: usize| n % count;
        match *step {
            Step::Heartbeat(n) => {
                let id = pick(n);
                if !self.owner.over[id] {
                    let machine = self.machines[id].clone();
                    self.take_in(id, machine.token, &machine.lines);
                }
            }
            Step::Hold(n) => {
                let id = pick(n);
                let machine = &self.machines[id];
                self.held_reports[id] = Some((machine.token, machine.lines.clone()));
            }
            // Reports are ordered: one that is older than the last is refused, but it
            // may be the first of all.
            Step::Release(n) => {
                let id = pick(n);
                let first = self.owner.states[id] == MachineState::NoHeartbeat;
                if let Some((shown, lines)) = self.held_reports[id].take().filter(|_| first) {
                    self.take_in(id, shown, &lines);
                }
            }
            Step::Ask(n) => {
                let id = pick(n);
                self.machines[id].token = self.machines[id].token.max(token(EPOCH, 0));
                let machine = self.machines[id].clone();
                if !self.owner.over[id] {
                    self.take_in(id, machine.token, &machine.lines);
                }
            }
            Step::LateStart(n) => {
                let machine = &mut self.machines[pick(n)];
                if let Some((task, attempt)) = machine.under_way.pop() {
                    if machine.token <= OLD_TOKEN {
                        machine.lines.entry(task).or_insert((attempt, true));
                    }
                }
            }
            Step::LeasePast(n) => {
                let id = pick(n);
                self.machines[id].lines.clear();
                // Its session is over: starts that are under way belong to it.
                self.machines[id].under_way.clear();
                self.owner.states[id] = self.owner.states[id]
                    .after(MachineEvent::LeaseExpired)
                    .state;
                self.owner.held.retain(|_, (machine, _)| *machine != id);
                self.held_reports[id] = None;
                self.owner.over[id] = true;
            }
            Step::Complete(n) => {
                let running = self
                    .machines
                    .iter_mut()
                    .flat_map(|m| m.lines.values_mut())
                    .filter(|l| l.1);
                if let Some(line) = running.into_iter().nth(n % 3) {
                    line.1 = false;
                }
            }
        }
    }

    /// What the leader would free now must be nowhere, and must stay so.
    fn check(&self) {
        let unreconciled = self.unreconciled_machines();
        for (task, truth) in self.tasks.iter().enumerate() {
            let wanted = truth.stored == StoredTask::Unfinished;
            let held = self.owner.held.contains_key(&task) || self.owner.results.contains(&task);
            if !wanted || held || unreconciled.may_hold(&spec(truth.zone)) {
                continue;
            }
            for machine in &self.machines {
                assert!(
                    !machine.lines.contains_key(&task),
                    "task {task} is freed and is on a machine"
                );
                let may_come =
                    machine.token <= OLD_TOKEN && machine.under_way.iter().any(|s| s.0 == task);
                assert!(
                    !may_come,
                    "task {task} is freed, and an old start of it may still arrive"
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
        1 => n.clone().prop_map(Step::Hold),
        1 => n.clone().prop_map(Step::Release),
        2 => n.clone().prop_map(Step::Ask),
        2 => n.clone().prop_map(Step::LateStart),
        1 => n.clone().prop_map(Step::LeasePast),
        1 => n.prop_map(Step::Complete),
    ]
}

/// Tasks, each on one machine, under way to one, or nowhere.
fn world(tasks: Vec<(StoredTask, usize, usize, usize)>, machines: usize) -> World {
    let mut all: Vec<TruthMachine> = (0..machines)
        .map(|i| TruthMachine {
            zone: ZONES[i % 2],
            used: i % 5 != 4,
            token: OLD_TOKEN,
            lines: BTreeMap::new(),
            under_way: Vec::new(),
        })
        .collect();
    let mut truth = Vec::new();
    for (task, (stored, zone, place, at)) in tasks.into_iter().enumerate() {
        let zone = (zone < 2).then(|| ZONES[zone]);
        truth.push(TruthTask { stored, zone });
        let id = at % machines;
        // Nothing was ever started on a machine that the machine registry calls unused.
        if !all[id].used || zone.is_some_and(|z| z != all[id].zone) {
            continue;
        }
        match place {
            0 | 1 => {
                all[id]
                    .lines
                    .insert(task, (attempt(EPOCH - 1, task as u64), true));
            }
            2 => all[id]
                .under_way
                .push((task, attempt(EPOCH - 1, task as u64))),
            _ => {}
        }
    }
    let owner = Owner {
        states: all.iter().map(|m| MachineState::initial(m.used)).collect(),
        heard: vec![false; machines],
        held: BTreeMap::new(),
        results: BTreeSet::new(),
        over: vec![false; machines],
    };
    World {
        tasks: truth,
        held_reports: vec![None; machines],
        machines: all,
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
    fn nothing_is_freed_early_or_stopped_in_vain_and_all_is_resolved_at_last(
        tasks in prop::collection::vec((stored(), 0..3usize, 0..4usize, 0..12usize), 1..8),
        machines in 1..6usize,
        steps in prop::collection::vec(step(), 0..40),
    ) {
        let mut w = world(tasks, machines);
        w.check();
        for step in &steps {
            w.step(step);
            w.check();
        }
        for id in 0..machines {
            w.step(&Step::Ask(id));
            w.check();
        }
        prop_assert!(w.unreconciled_machines().is_empty(), "not reconciled: {:?}", w.owner.states);
        // Whatever is wanted is held where it is, or is free: nothing is forgotten.
        for (task, truth) in w.tasks.iter().enumerate() {
            let on = w.machines.iter().position(|m| m.lines.contains_key(&task));
            let held = w.owner.held.get(&task).map(|h| h.0);
            prop_assert!(truth.stored != StoredTask::Unfinished || held == on, "task {} is {:?}, held {:?}", task, on, held);
        }
    }

    /// Whatever is held back is let go in time, and never for jobs that no
    /// unreconciled machine has room for.
    #[test]
    fn the_hold_off_ends_in_time_and_holds_up_nobody_else(
        age_s in 0.0..60.0f64,
        zones in prop::collection::vec(0..2usize, 0..4),
        wanted in 0..3usize,
        all_shards_reported in any::<bool>(),
    ) {
        let limits = HoldOffLimits { answer_timeout_s: 6.0, lease_s: 30.0 };
        let mut hold_off = HoldOff::new(limits);
        let class = |z: &usize| MachineClass { machine_type: "k".into(), zone: ZONES[*z].into(), spot: false };
        let unreconciled: UnreconciledMachines = zones.iter().map(class).collect();
        let at = HoldOffContext { now: 100.0 + age_s, all_shards_reported, unreconciled: &unreconciled };
        let pending_demand = spec((wanted < 2).then(|| ZONES[wanted]));
        let actions = [Action::Rent, Action::Preempt, Action::Consolidate, Action::DeleteUnprobed];
        for action in actions {
            prop_assert_eq!(hold_off.hold_reason(action, Some(&pending_demand), at), None, "not begun");
        }
        hold_off.begin(100.0);
        let may_have_room = wanted == 2 && !zones.is_empty() || zones.contains(&wanted);
        let held = hold_off.hold_reason(Action::Rent, Some(&pending_demand), at).is_some();
        prop_assert_eq!(held, age_s < 6.0 && (!all_shards_reported || may_have_room));
        prop_assert_eq!(hold_off.hold_reason(Action::DeleteUnprobed, None, at).is_some(), age_s < 30.0);
        if age_s >= 30.0 || age_s >= 6.0 && all_shards_reported && zones.is_empty() {
            prop_assert_eq!(hold_off.hold_reason(Action::Consolidate, None, at), None);
        }
    }
}

#[test]
fn phases_of_a_job() {
    assert_eq!(ReconciliationPhase::of(3, 0), ReconciliationPhase::Pending);
    assert_eq!(ReconciliationPhase::of(2, 1), ReconciliationPhase::Partial);
    assert_eq!(ReconciliationPhase::of(0, 0), ReconciliationPhase::Complete);
}
