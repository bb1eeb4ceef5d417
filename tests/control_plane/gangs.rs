//! Gangs: all tasks start together or none, all under one attempt. The real
//! leader and shard, driven directly.

use crate::builders::*;
use finchwood::scheduler::Leader;
use finchwood::shard::{Orders, Shard, TaskPhase};
use finchwood::store::cache::StoreCache;
use finchwood::store::records::{Epoch, JobRecord};
use finchwood::wire::{Command, JobSpec, TaskState};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A gang whose tasks fill a machine each, unless `change` says otherwise.
fn gang(id: &str, tasks: u32, change: impl Fn(&mut Value)) -> Arc<JobSpec> {
    job_spec(id, tasks, |v| {
        v["shape"] = "ensemble".into();
        v["rank"] = "standard".into();
        v["cpus"] = 4.0.into();
        v["molt_s"] = 20.0.into();
        v["stash_s"] = 3.0.into();
        change(v);
    })
}

/// What one machine shows of a task: attempt, state, cause.
type Shown = (u64, TaskState, Option<&'static str>);

/// A leader, its only shard and machines that obey, without a network between.
struct Bench {
    cache: StoreCache,
    leader: Leader,
    shard: Shard,
    tokens: Vec<u64>,
    seq: u64,
    now: f64,
    /// What each machine shows: a started task gathers.
    shown: Vec<BTreeMap<String, Shown>>,
    /// Commands that the last reports were answered with.
    commands: Vec<(usize, Command)>,
}

impl Bench {
    fn new(cache: StoreCache, machines: usize) -> Bench {
        let (leader, shard, tokens) = leader_and_shard(&cache, machines);
        let shown = vec![BTreeMap::new(); machines];
        Bench {
            cache,
            leader,
            shard,
            tokens,
            seq: 10,
            now: 1.0,
            shown,
            commands: Vec::new(),
        }
    }

    /// Every machine reports and obeys the answer; leader and shard take a round.
    fn step(&mut self) {
        self.now += 0.5;
        scheduling_round(&mut self.leader, &mut self.shard, &self.cache, self.now);
        self.commands.clear();
        for i in 0..self.shown.len() {
            self.seq += 1;
            let lines: Vec<ReportedTask> = self.shown[i]
                .iter()
                .map(|(t, s)| (t.as_str(), s.0, s.1, s.2))
                .collect();
            let r = heartbeat_from(i + 1, 1, self.seq, self.tokens[i], &lines);
            let (token, calls) =
                accepted(self.shard.apply_heartbeat(&r, false, &self.cache, self.now));
            self.tokens[i] = token;
            for call in calls {
                self.obey(i, &call);
                self.commands.push((i, call));
            }
        }
    }

    fn obey(&mut self, machine: usize, call: &Command) {
        let shown = &mut self.shown[machine];
        match call {
            Command::Start { task, attempt } => {
                shown
                    .entry(task.clone())
                    .or_insert((*attempt, TaskState::Gathering, None));
            }
            Command::Stop { task, .. } => {
                if let Some(s) = shown.get_mut(task).filter(|s| s.1 != TaskState::Ended) {
                    (s.1, s.2) = (TaskState::Ended, Some("stopped"));
                }
            }
            Command::Forget { task, .. } => drop(shown.remove(task)),
        }
    }

    /// A machine reports that it will be taken; returns what it is answered.
    fn notice(&mut self, machine: usize) -> Vec<Command> {
        let shown = &self.shown[machine];
        let lines: Vec<ReportedTask> = shown
            .iter()
            .map(|(t, s)| (t.as_str(), s.0, s.1, s.2))
            .collect();
        self.seq += 1;
        let mut r = heartbeat_from(machine + 1, 1, self.seq, self.tokens[machine], &lines);
        r.reclaimed_in_s = Some(8.0);
        let (token, calls) = accepted(self.shard.apply_heartbeat(&r, false, &self.cache, self.now));
        self.tokens[machine] = token;
        calls
    }

    /// The next epoch has a new leader, and a new owner if `incarnation` is not
    /// that of the shard, which then knows nothing of what was.
    fn take_over(&mut self, incarnation: u64) {
        let members = [("a".to_string(), incarnation)].into_iter().collect();
        let epoch = Epoch {
            number: EPOCH + 1,
            members,
            leader: "a".into(),
            uses_shard_map: false,
        };
        self.shard
            .start_epoch(epoch.number, incarnation, &self.cache, self.now, |_| true);
        self.leader = Leader::new(&settings_with(&[]).expect("settings"));
        self.leader.start_epoch(&epoch, incarnation, &self.cache);
    }

    fn steps(&mut self, count: usize) {
        (0..count).for_each(|_| self.step());
    }

    /// Machine, attempt and state of every task that has not ended.
    fn on_machines(&self) -> Vec<(usize, u64, TaskState)> {
        let all = self
            .shown
            .iter()
            .enumerate()
            .flat_map(|(i, m)| m.values().map(move |s| (i, s.0, s.1)));
        all.filter(|s| s.2 != TaskState::Ended).collect()
    }

    /// The attempt that all tasks share, of which there are `count`.
    fn shared_attempt(&self, count: usize) -> u64 {
        let on = self.on_machines();
        let attempts: BTreeSet<u64> = on.iter().map(|s| s.1).collect();
        assert_eq!((on.len(), attempts.len()), (count, 1), "{on:?}");
        on[0].1
    }

    /// Every task that has not ended shows this from now on.
    fn all_show(&mut self, state: TaskState, cause: Option<&'static str>) {
        let lines = self.shown.iter_mut().flat_map(|m| m.values_mut());
        lines
            .filter(|s| s.1 != TaskState::Ended)
            .for_each(|s| (s.1, s.2) = (state, cause));
    }
}

#[test]
fn a_gang_starts_whole_under_one_attempt_in_one_zone() {
    let s = gang("wk-1", 3, |v| v["one_zone"] = true.into());
    let mut b = Bench::new(store_cache(6, &[&s]), 6);
    b.step();
    b.shared_attempt(3);
    let zones: BTreeSet<usize> = b.on_machines().iter().map(|s| s.0 % 2).collect();
    assert_eq!(zones.len(), 1);
}

#[test]
fn a_gang_without_room_for_all_starts_nothing_and_keeps_what_room_there_is() {
    let (s, small) = (gang("wk-1", 3, |_| {}), job_spec("wk-2", 8, |_| {}));
    let mut m = store_cache(2, &[&s, &small]);
    // Both have only just been accepted: what waits for very long comes first,
    // and keeps no room from others.
    for (job, revision) in [(&s, 400), (&small, 401)] {
        let mut accepted_job = job_record(job, false);
        accepted_job["t"] = finchwood::clock::wall_clock_ms().into();
        m.put(&format!("fw/j/{}", job.id), accepted_job, revision);
    }
    let mut b = Bench::new(m, 2);
    b.steps(3);
    assert!(
        b.on_machines().is_empty(),
        "neither part of the gang nor the job after it starts"
    );
    let wanted: u32 = b
        .leader
        .pending_demand
        .iter()
        .filter(|w| w.spec.id == s.id)
        .map(|w| w.count)
        .sum();
    assert_eq!(wanted, 3, "machines are rented for the whole gang");
}

// The team's limit leaves room for two of three tasks: none starts.
#[test]
fn a_gang_beyond_what_its_team_has_left_starts_nothing() {
    let (first, s) = (
        job_spec("wk-1", 1, |v| v["rank"] = "urgent".into()),
        gang("wk-2", 3, |_| {}),
    );
    let m = store_cache(6, &[&first, &s]);
    let mut l =
        Leader::new(&settings_with(&[("cpus_max = 400.0", "cpus_max = 12.0")]).expect("settings"));
    let members = [("a".to_string(), 7)].into_iter().collect();
    l.start_epoch(
        &Epoch {
            number: EPOCH,
            members,
            leader: "a".into(),
            uses_shard_map: false,
        },
        7,
        &m,
    );
    let mut p = new_shard(&m);
    for machine in 1..=6 {
        reconcile_machine(&mut p, &m, machine, 0.2);
    }
    assert!(l.apply_shard_report(p.next_report(&m, 0.3), &m, 0.3));
    l.reconcile(&m, &|_| false);
    l.assign_tasks(&m, 0.5, || true);
    let deals = l.orders("a").expect("orders").assignments;
    let dealt: Vec<(&str, usize)> = deals.iter().map(|d| (&*d.job, d.tasks.len())).collect();
    assert_eq!(dealt, [("wk-1", 1)]);
}

// A worker refuses one task: it never had its image, so that the gang can't have
// run, and the others wait for a replacement under the same attempt. The shard
// says again and again that the refused one is gone.
#[test]
fn a_refused_task_is_replaced_under_the_same_attempt_and_a_stale_report_frees_nothing() {
    let s = gang("wk-1", 3, |_| {});
    let mut b = Bench::new(store_cache(4, &[&s]), 4);
    b.step();
    let attempt = b.shared_attempt(3);
    let refused = b.on_machines()[0].0;
    b.shown[refused]
        .values_mut()
        .for_each(|s| (s.1, s.2) = (TaskState::Ended, Some("no_room")));
    b.step();
    let told = b.shard.next_report(&b.cache, b.now);
    let gone = told.removed.clone();
    assert_eq!(gone.len(), 1, "it is told as gone");
    b.steps(3);
    assert_eq!(b.shared_attempt(3), attempt);
    assert!(
        b.on_machines().iter().all(|s| s.0 != refused),
        "on another machine"
    );
    // The report about the first assignment comes once more.
    let mut again = b.shard.next_report(&b.cache, b.now);
    again.removed = gone;
    assert!(b.leader.apply_shard_report(again, &b.cache, b.now));
    b.leader.assign_tasks(&b.cache, b.now, || true);
    let deals = b.leader.orders("a").expect("orders").assignments;
    assert!(
        deals.is_empty(),
        "the replacement counts as gone: {deals:?}"
    );
}

#[test]
fn a_running_gang_that_loses_a_task_is_stopped_and_begins_again_when_all_are_gone() {
    let s = gang("wk-1", 2, |_| {});
    let mut b = Bench::new(store_cache(4, &[&s]), 4);
    b.step();
    let first = b.shared_attempt(2);
    b.all_show(TaskState::Running, None);
    b.step();
    // One exits as another is gone; the other has not noticed yet.
    let (one, other) = (b.on_machines()[0].0, b.on_machines()[1].0);
    b.shown[one]
        .values_mut()
        .for_each(|s| (s.1, s.2) = (TaskState::Ended, Some("peers")));
    b.steps(2);
    let on = b.on_machines();
    assert!(
        on.iter()
            .all(|s| s.1 == first || !on.iter().any(|o| o.1 == first)),
        "beside the old: {on:?}"
    );
    b.steps(4);
    let second = b.shared_attempt(2);
    assert!(second > first, "a new attempt");
    assert!(b.shown[other]
        .values()
        .all(|s| s.1 == TaskState::Ended || s.0 == second));
    // `peers` is neither the machines' fault nor the job's.
    let told = b.shard.next_report(&b.cache, b.now);
    assert!(!told.machines.iter().any(|m| m.faulty));
}

// It may have had its image in the moment before it was lost, and the gang may
// have run: the others don't wait for a replacement.
#[test]
fn a_gathering_gang_that_loses_a_task_begins_anew() {
    let s = gang("wk-1", 2, |_| {});
    let mut b = Bench::new(store_cache(4, &[&s]), 4);
    b.steps(2);
    let first = b.shared_attempt(2);
    let lost = b.on_machines()[1].0;
    b.shown[lost].clear();
    b.steps(8);
    assert!(b.shared_attempt(2) > first);
}

// A task is refused on a machine that will be taken: its zone has no other room,
// another zone has.
#[test]
fn a_refused_task_of_a_gang_for_one_zone_is_replaced_nowhere_else() {
    let s = gang("wk-1", 2, |v| v["one_zone"] = true.into());
    let mut b = Bench::new(store_cache(3, &[&s]), 3);
    b.step();
    b.shared_attempt(2);
    for line in b.shown[2].values_mut() {
        (line.1, line.2) = (TaskState::Ended, Some("no_room"));
    }
    b.notice(2);
    for _ in 0..20 {
        b.step();
        assert!(b.shown[1].is_empty(), "in the other zone: {:?}", b.shown);
    }
}

#[test]
fn done_of_one_task_is_done_of_all() {
    let s = gang("wk-1", 3, |_| {});
    let mut b = Bench::new(store_cache(3, &[&s]), 3);
    b.step();
    b.all_show(TaskState::Running, None);
    b.step();
    let first = b.on_machines()[0].0;
    b.shown[first]
        .values_mut()
        .for_each(|s| (s.1, s.2) = (TaskState::Ended, Some("done")));
    b.step();
    b.step();
    let finishes = b.leader.completions_to_commit(b.now, 9, &b.cache);
    assert_eq!(
        finishes.iter().map(|f| f.tasks.len()).collect::<Vec<_>>(),
        [3],
        "the whole at once"
    );
}

// A machine will be taken: every task is told to save in the same moment, also
// those that have only just begun.
#[test]
fn a_notice_stops_the_whole_gang_with_time_to_save() {
    let s = gang("wk-1", 2, |_| {});
    let mut b = Bench::new(store_cache(3, &[&s]), 3);
    b.step();
    b.all_show(TaskState::Running, None);
    b.step();
    let noticed = b.on_machines()[0].0;
    b.notice(noticed);
    b.shard.stop_tasks_before_reclaim(&b.cache, b.now);
    assert!(
        b.notice(noticed).is_empty(),
        "the shard alone stops none of it"
    );
    b.step();
    let graces: Vec<f64> = b
        .commands
        .iter()
        .filter_map(|(_, c)| match c {
            Command::Stop { grace_s, .. } => Some(*grace_s),
            _ => None,
        })
        .collect();
    assert_eq!(graces, [3.0, 3.0]);
}

#[test]
fn a_cancelled_gang_that_gathers_is_stopped_at_once() {
    let s = gang("wk-1", 2, |_| {});
    let mut b = Bench::new(store_cache(2, &[&s]), 2);
    b.step();
    b.shared_attempt(2);
    b.cache.put("fw/j/wk-1", job_record(&s, true), 500);
    b.leader.job_changed(&"wk-1".into(), &b.cache);
    b.shard.job_changed(&"wk-1".into(), &b.cache);
    b.step();
    assert!(b.on_machines().is_empty());
}

// A new leader finds one task of two: what became of the other is not known, so
// that the attempt may have run. It is withdrawn, and the next has a new number.
#[test]
fn a_new_leader_completes_no_attempt_of_which_a_task_is_missing() {
    a_gang_with_a_missing_task_is_taken_over(7);
}

// The machines have a new owner as well: nobody says that the missing task is
// lost, only that it is nowhere. The attempt may have run.
#[test]
fn a_task_that_turns_out_to_be_nowhere_ends_the_attempt() {
    a_gang_with_a_missing_task_is_taken_over(8);
}

/// One of two tasks is gone as the next epoch begins, with a new leader.
fn a_gang_with_a_missing_task_is_taken_over(incarnation: u64) {
    let s = gang("wk-1", 2, |_| {});
    let mut b = Bench::new(store_cache(3, &[&s]), 3);
    b.steps(2);
    let first = b.shared_attempt(2);
    let lost = b.on_machines()[1].0;
    b.shown[lost].clear();
    b.take_over(incarnation);
    for _ in 0..12 {
        b.step();
        let attempts: BTreeSet<u64> = b.on_machines().iter().map(|s| s.1).collect();
        assert!(attempts.len() <= 1, "{attempts:?}");
    }
    assert!(b.shared_attempt(2) > first);
}

// A shard that is full by the time its orders come can't start its task. What
// can't be completed within a share of the time that tasks wait is withdrawn.
#[test]
fn a_gang_that_stays_incomplete_gives_its_room_back() {
    let s = gang("wk-1", 2, |_| {});
    let mut b = Bench::new(store_cache(2, &[&s]), 2);
    b.step();
    b.shared_attempt(2);
    b.now += 1.0;
    let second = b.on_machines()[1].0;
    b.shown[second]
        .values_mut()
        .for_each(|s| (s.1, s.2) = (TaskState::Ended, Some("no_room")));
    // From now on that machine refuses whatever is started there.
    let wait = settings_with(&[])
        .expect("settings")
        .params
        .workers
        .gang_wait_s;
    let deadline = b.now + wait / 2.0;
    let mut withdrawn = false;
    while b.now < deadline {
        b.step();
        for s in b.shown[second]
            .values_mut()
            .filter(|s| s.1 == TaskState::Gathering)
        {
            (s.1, s.2) = (TaskState::Ended, Some("no_room"));
        }
        withdrawn |= b.on_machines().is_empty();
    }
    assert!(withdrawn, "the first task holds its machine for nothing");
}

#[test]
fn gangs_wait_until_every_controller_runs_them() {
    let s = gang("wk-1", 2, |_| {});
    let mut b = Bench::new(store_cache(2, &[&s]), 2);
    let member =
        |revision: u64, value: Value, m: &mut StoreCache| drop(m.put("fw/m/b", value, revision));
    member(600, json!({"inc": 4}), &mut b.cache);
    assert!(
        !b.cache.all_members_support_gangs(),
        "a member of the version before says nothing of gangs"
    );
    b.leader
        .set_gangs_allowed(b.cache.all_members_support_gangs());
    b.steps(2);
    assert!(b.on_machines().is_empty());
    member(
        601,
        json!(finchwood::store::records::MemberRecord::of_this_version(5)),
        &mut b.cache,
    );
    b.leader
        .set_gangs_allowed(b.cache.all_members_support_gangs());
    b.steps(2);
    b.shared_attempt(2);
    // Its process ends and comes back as it was before the upgrade.
    member(602, json!({"inc": 6}), &mut b.cache);
    assert!(!b.cache.all_members_support_gangs());
}

// A state that this version doesn't know: the task is on its machine, whatever it
// does there.
#[test]
fn a_task_in_an_unknown_state_is_on_its_machine() {
    let s = gang("wk-1", 2, |_| {});
    let mut b = Bench::new(store_cache(4, &[&s]), 4);
    b.step();
    let first = b.shared_attempt(2);
    b.all_show(TaskState::Other, None);
    b.steps(2);
    assert_eq!(b.shared_attempt(2), first);
    let told = b.shard.next_report(&b.cache, b.now);
    assert!(told.assigned.iter().all(|h| h.phase == TaskPhase::Running));
}

#[test]
fn a_cause_that_this_version_does_not_know_ends_the_attempt_and_is_no_fault() {
    let s = gang("wk-1", 2, |_| {});
    let mut b = Bench::new(store_cache(4, &[&s]), 4);
    b.steps(2);
    let first = b.shared_attempt(2);
    let one = b.on_machines()[0].0;
    b.shown[one]
        .values_mut()
        .for_each(|s| (s.1, s.2) = (TaskState::Ended, Some("weather")));
    b.steps(6);
    assert!(b.shared_attempt(2) > first);
    assert!(!b
        .shard
        .next_report(&b.cache, b.now)
        .machines
        .iter()
        .any(|m| m.faulty));
}

#[test]
fn orders_of_a_version_without_gangs_are_still_understood() {
    // A deal without assignments: the attempt stands for them.
    let s = gang("wk-1", 2, |_| {});
    let m = store_cache(2, &[&s]);
    let mut p = new_shard(&m);
    for machine in 1..=2 {
        reconcile_machine(&mut p, &m, machine, 0.2);
    }
    let deals = assignments("wk-1", &[(0, 50), (1, 50)]);
    p.apply_orders(&Orders { ..orders(1, deals) }, &m, 0.4);
    place_tasks(&mut p, &m, 0.5);
    let held = p.next_report(&m, 0.6).assigned;
    assert_eq!(
        held.iter()
            .map(|h| (h.attempt, h.assignment))
            .collect::<Vec<_>>(),
        [(50, 50), (50, 50)]
    );
    let accepted_job: JobRecord = serde_json::from_value(job_record(&s, false)).expect("a record");
    assert!(accepted_job.spec.is_some());
}
