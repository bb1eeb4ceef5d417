//! The real cores driven by hand: a leader and its part, machines that report
//! what a test says, and a mirror filled with jobs. Shared by test files of which
//! each uses some of it.
#![allow(dead_code)]

#[path = "settings.rs"]
mod base;

pub use base::SETTINGS;
use finchwood::assignment::Leader;
use finchwood::clock::When;
use finchwood::fleet::{JobAssignment, Orders, Part, ReportReply, Timing};
use finchwood::jobs::{Epoch, JobRecord, Mirror, RosterRecord};
use finchwood::settings::Settings;
use finchwood::wire::{Call, JobSpec, Report, TaskLine, TaskState};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::sync::Arc;

pub const TIMING: Timing = Timing {
    report_s: 3.0,
    lease_s: 20.0,
    member_life_s: 8.0,
};
pub const EPOCH: u64 = 3;

pub fn spec(id: &str, tasks: u32, change: impl Fn(&mut Value)) -> Arc<JobSpec> {
    let mut v = json!({
        "id": id, "flock": "f", "nest": "t", "shape": "array", "rank": "low", "chicks": tasks, "cpus": 2.0,
        "accelerators": 0.0, "mem_gb": 1.0, "egg": "i", "size_gb": 1.0, "one_zone": false, "scatter": false,
        "windfall": true, "guess_s": 10.0, "molt_s": 0.0, "stash_s": 0.0
    });
    change(&mut v);
    Arc::new(serde_json::from_value(v).expect("a spec"))
}

/// A job of so many tasks, each of which takes two of a machine's four CPUs.
pub fn job_in(id: &str, shape: &str, tasks: u32) -> Arc<JobSpec> {
    spec(id, tasks, |v| v["shape"] = json!(shape))
}

/// No change of the settings.
pub const SETTINGS_ALL: &[(&str, &str)] = &[];

pub fn record(spec: &Arc<JobSpec>, cancelled: bool) -> Value {
    json!(JobRecord {
        tasks: spec.tasks,
        spec: Some(spec.clone()),
        epoch: 1,
        at_ms: 0,
        cancelled,
        done: false,
        cancelled_at_ms: cancelled.then_some(10_000),
    })
}

/// Machines `m-1` to `m-n`, the odd ones in zone `e`, the others in `w`.
pub fn mirror(machines: usize, jobs: &[&Arc<JobSpec>]) -> Mirror {
    let mut m = Mirror::new(8.0);
    let kind = json!({"breeds": [{"name": "k", "cpus": 4.0, "accelerators": 0.0, "mem_gb": 16.0, "cache_gb": 9.0,
        "pull_gb_per_s": 1.0, "hourly": 1.0, "spot_price": 0.3, "ready_s": 20.0, "groves": ["e", "w"]}]});
    m.put("fw/c", kind, 1);
    for i in 1..=machines {
        let zone = if i % 2 == 1 { "e" } else { "w" };
        let r = RosterRecord {
            kind: "k".into(),
            zone: zone.into(),
            spot: false,
            up: true,
            at_ms: 0,
            addr: Some("10.0.0.1:1".into()),
        };
        m.put(&format!("fw/r/m-{i}"), json!(r), 1 + i as u64);
    }
    for (i, s) in jobs.iter().enumerate() {
        m.put(&format!("fw/j/{}", s.id), record(s, false), 100 + i as u64);
    }
    m
}

pub type Line<'a> = (&'a str, u64, TaskState, Option<&'a str>);

pub fn report(machine: usize, session: u64, seq: u64, token: u64, tasks: &[Line]) -> Report {
    let line = |(task, attempt, state, why): &Line| TaskLine {
        task: (*task).into(),
        attempt: *attempt,
        state: *state,
        why: why.map(String::from),
        saved: None,
    };
    Report {
        machine: format!("m-{machine}").into(),
        addr: "10.0.0.1:1".into(),
        kind: "k".into(),
        zone: if machine % 2 == 1 { "e" } else { "w" }.into(),
        spot: false,
        session,
        seq,
        token,
        notice_s: None,
        tasks: tasks.iter().map(line).collect(),
    }
}

/// A part that owns everything in the epoch, and has entered it at 0.
pub fn part(mirror: &Mirror) -> Part {
    let mut p = Part::new("a", TIMING, HashMap::new());
    p.enter(EPOCH, 7, mirror, 0.0, |_| true);
    p
}

/// Reports until the part is certain of a machine; returns the token.
pub fn met(p: &mut Part, mirror: &Mirror, machine: usize, now: f64) -> u64 {
    let (t, _) = answered(p.report(&report(machine, 1, 1, 0, &[]), false, mirror, now));
    answered(p.report(&report(machine, 1, 2, t, &[]), false, mirror, now)).0
}

pub fn answered(reply: ReportReply) -> (u64, Vec<Call>) {
    match reply {
        ReportReply::Commands { token, commands } => (token, commands),
        ReportReply::Refuse => panic!("refused"),
    }
}

pub fn orders(seq: u64, assignments: Vec<JobAssignment>) -> Orders {
    Orders {
        epoch: EPOCH,
        node: "a".into(),
        seq,
        ack: 0,
        assignments,
        recall: Vec::new(),
        drain: Vec::new(),
        running: None,
        borrowing: Vec::new(),
        handovers: Vec::new(),
    }
}

pub fn deal(job: &str, tasks: &[(u32, u64)]) -> Vec<JobAssignment> {
    vec![JobAssignment {
        job: job.into(),
        tasks: tasks.to_vec(),
        zone_room: None,
        avoid: Vec::new(),
        assignments: Vec::new(),
    }]
}

pub fn place(p: &mut Part, mirror: &Mirror, now: f64) {
    p.place(mirror, When { now, day_ms: 0 }, || true);
}

pub fn settings(change: &[(&str, &str)]) -> Result<Settings, String> {
    let mut text = SETTINGS.to_string();
    for (from, to) in change {
        text = text.replace(from, to);
    }
    Settings::parse(&text).map_err(|e| e.to_string())
}

pub fn leader(mirror: &Mirror) -> Leader {
    let mut l = Leader::new(&settings(&[]).expect("settings"));
    let e = Epoch {
        n: EPOCH,
        members: [("a".to_string(), 7)].into_iter().collect(),
        leader: "a".into(),
        shares: false,
    };
    l.enter(&e, 7, mirror);
    l
}

/// A leader and its only part, both sure of `machines` empty machines.
pub fn pair(mirror: &Mirror, machines: usize) -> (Leader, Part, Vec<u64>) {
    let mut p = part(mirror);
    let tokens = (1..=machines)
        .map(|i| met(&mut p, mirror, i, 0.2))
        .collect();
    let mut l = leader(mirror);
    assert!(l.part_report(p.snapshot(mirror, 0.3), mirror, 0.3));
    l.resolve(mirror, &|_| false);
    (l, p, tokens)
}

/// One round of both: reports up, orders down, placing, commands taken for sent.
pub fn round(l: &mut Leader, p: &mut Part, mirror: &Mirror, now: f64) {
    l.part_report(p.snapshot(mirror, now), mirror, now);
    l.resolve(mirror, &|_| false);
    l.assign_tasks(mirror, now, || true);
    let o = l.orders("a").expect("orders");
    p.orders(&o, mirror, now);
    place(p, mirror, now);
    l.part_report(p.snapshot(mirror, now), mirror, now);
}
