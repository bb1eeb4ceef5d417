//! The real cores driven by hand: a leader and its shard, machines that report
//! what a test says, and a cache filled with jobs. Shared by test files of which
//! each uses some of it.
#![allow(dead_code)]

#[path = "settings.rs"]
mod base;

pub use base::SETTINGS;
use finchwood::clock::Moment;
use finchwood::config::settings::Settings;
use finchwood::scheduler::Leader;
use finchwood::shard::{HeartbeatReply, JobAssignment, Orders, Shard, Timing};
use finchwood::store::cache::StoreCache;
use finchwood::store::records::{Epoch, JobRecord, MachineRecord};
use finchwood::wire::{Command, Heartbeat, JobSpec, TaskReport, TaskState};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::sync::Arc;

pub const TIMING: Timing = Timing {
    report_s: 3.0,
    lease_s: 20.0,
    member_lease_s: 8.0,
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
pub fn job_in(id: &str, job_kind: &str, tasks: u32) -> Arc<JobSpec> {
    spec(id, tasks, |v| v["shape"] = json!(job_kind))
}

/// No change of the settings.
pub const SETTINGS_ALL: &[(&str, &str)] = &[];

pub fn record(spec: &Arc<JobSpec>, cancelled: bool) -> Value {
    json!(JobRecord {
        task_count: spec.task_count,
        spec: Some(spec.clone()),
        epoch: 1,
        accepted_at_ms: 0,
        cancelled,
        done: false,
        cancelled_at_ms: cancelled.then_some(10_000),
    })
}

/// Machines `m-1` to `m-n`, the odd ones in zone `e`, the others in `w`.
pub fn cache(machines: usize, jobs: &[&Arc<JobSpec>]) -> StoreCache {
    let mut m = StoreCache::new(8.0);
    let machine_type = json!({"breeds": [{"name": "k", "cpus": 4.0, "accelerators": 0.0, "mem_gb": 16.0, "cache_gb": 9.0,
        "pull_gb_per_s": 1.0, "hourly": 1.0, "spot_price": 0.3, "ready_s": 20.0, "groves": ["e", "w"]}]});
    m.put("fw/c", machine_type, 1);
    for i in 1..=machines {
        let zone = if i % 2 == 1 { "e" } else { "w" };
        let r = MachineRecord {
            machine_type: "k".into(),
            zone: zone.into(),
            spot: false,
            in_use: true,
            rented_at_ms: 0,
            address: Some("10.0.0.1:1".into()),
        };
        m.put(&format!("fw/r/m-{i}"), json!(r), 1 + i as u64);
    }
    for (i, s) in jobs.iter().enumerate() {
        m.put(&format!("fw/j/{}", s.id), record(s, false), 100 + i as u64);
    }
    m
}

pub type Line<'a> = (&'a str, u64, TaskState, Option<&'a str>);

pub fn report(machine: usize, session: u64, seq: u64, token: u64, tasks: &[Line]) -> Heartbeat {
    let line = |(task, attempt, state, why): &Line| TaskReport {
        task: (*task).into(),
        attempt: *attempt,
        state: *state,
        cause: why.map(String::from),
        saved: None,
    };
    Heartbeat {
        machine: format!("m-{machine}").into(),
        address: "10.0.0.1:1".into(),
        machine_type: "k".into(),
        zone: if machine % 2 == 1 { "e" } else { "w" }.into(),
        spot: false,
        session,
        seq,
        token,
        notice_s: None,
        tasks: tasks.iter().map(line).collect(),
    }
}

/// A shard that owns everything in the epoch, and has entered it at 0.
pub fn shard(cache: &StoreCache) -> Shard {
    let mut p = Shard::new("a", TIMING, HashMap::new());
    p.start_epoch(EPOCH, 7, cache, 0.0, |_| true);
    p
}

/// Reports until the shard is certain of a machine; returns the token.
pub fn met(p: &mut Shard, cache: &StoreCache, machine: usize, now: f64) -> u64 {
    let (t, _) = answered(p.apply_heartbeat(&report(machine, 1, 1, 0, &[]), false, cache, now));
    answered(p.apply_heartbeat(&report(machine, 1, 2, t, &[]), false, cache, now)).0
}

pub fn answered(reply: HeartbeatReply) -> (u64, Vec<Command>) {
    match reply {
        HeartbeatReply::Accepted { token, commands } => (token, commands),
        HeartbeatReply::Refuse => panic!("refused"),
    }
}

pub fn orders(seq: u64, assignments: Vec<JobAssignment>) -> Orders {
    Orders {
        epoch: EPOCH,
        node: "a".into(),
        seq,
        acknowledged_seq: 0,
        assignments,
        recall: Vec::new(),
        drain: Vec::new(),
        running: None,
        borrowing: Vec::new(),
        transfers: Vec::new(),
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

pub fn place(p: &mut Shard, cache: &StoreCache, now: f64) {
    p.place_queued(
        cache,
        Moment {
            now,
            wall_clock_ms: 0,
        },
        || true,
    );
}

pub fn settings(change: &[(&str, &str)]) -> Result<Settings, String> {
    let mut text = SETTINGS.to_string();
    for (from, to) in change {
        text = text.replace(from, to);
    }
    Settings::parse(&text).map_err(|e| e.to_string())
}

pub fn leader(cache: &StoreCache) -> Leader {
    let mut l = Leader::new(&settings(&[]).expect("settings"));
    let e = Epoch {
        number: EPOCH,
        members: [("a".to_string(), 7)].into_iter().collect(),
        leader: "a".into(),
        uses_shard_map: false,
    };
    l.start_epoch(&e, 7, cache);
    l
}

/// A leader and its only shard, both sure of `machines` empty machines.
pub fn pair(cache: &StoreCache, machines: usize) -> (Leader, Shard, Vec<u64>) {
    let mut p = shard(cache);
    let tokens = (1..=machines).map(|i| met(&mut p, cache, i, 0.2)).collect();
    let mut l = leader(cache);
    assert!(l.apply_shard_report(p.snapshot(cache, 0.3), cache, 0.3));
    l.reconcile(cache, &|_| false);
    (l, p, tokens)
}

/// One round of both: reports up, orders down, placing, commands taken for sent.
pub fn round(l: &mut Leader, p: &mut Shard, cache: &StoreCache, now: f64) {
    l.apply_shard_report(p.snapshot(cache, now), cache, now);
    l.reconcile(cache, &|_| false);
    l.assign_tasks(cache, now, || true);
    let o = l.orders("a").expect("orders");
    p.apply_orders(&o, cache, now);
    place(p, cache, now);
    l.apply_shard_report(p.snapshot(cache, now), cache, now);
}
