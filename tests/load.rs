//! What a fleet of hundreds of machines and thousands of clients brings:
//! connections that never finish, messages that hold only what has changed,
//! and a machine registry that is written by the page.

use finchwood::api::server::{self, Limits};
use finchwood::config::settings::Settings;
use finchwood::scheduler::Leader;
use finchwood::shard::{HeartbeatReply, Shard, ShardReport, TaskPhase, Timing};
use finchwood::store::cache::{CacheChange, StoreCache};
use finchwood::store::records::{Epoch, JobRecord, RegistryPage};
use finchwood::store::KeyChange;
use finchwood::wire::{Heartbeat, JobSpec, TaskReport, TaskState};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

fn echo(connections: usize) -> SocketAddr {
    let address = TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .expect("a port");
    server::listen(
        "echo",
        address,
        Limits {
            connections,
            body: 4096,
        },
        |request, reply| match request.path.as_str() {
            "/past" => reply.send_until(200, request.body, 0.0),
            "/ahead" => reply.send_until(200, request.body, f64::MAX),
            _ => reply.send(200, request.body),
        },
    )
    .expect("listens");
    address
}

fn ask(stream: &mut TcpStream, body: &str) -> String {
    let text = format!(
        "POST /x HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).expect("written");
    let mut got = Vec::new();
    let mut buffer = [0; 1024];
    loop {
        let n = stream.read(&mut buffer).expect("an answer");
        assert!(n > 0, "closed after {:?}", String::from_utf8_lossy(&got));
        got.extend_from_slice(&buffer[..n]);
        let text = String::from_utf8_lossy(&got);
        if text.contains("\r\n\r\n") && text.ends_with(body) {
            return text.into_owned();
        }
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("connected");
    stream
        .set_read_timeout(Some(Duration::from_secs(30)))
        .expect("set");
    stream
}

/// With a thread for each connection and few takers, four clients that send
/// half a body stopped a listener for everybody.
#[test]
fn clients_that_send_half_a_request_hold_up_nobody() {
    let address = echo(900);
    let mut halves: Vec<TcpStream> = (0..400).map(|_| connect(address)).collect();
    for (i, s) in halves.iter_mut().enumerate() {
        let half: &[u8] = match i % 3 {
            0 => b"POST /x HTTP/1.1\r\nContent-Length: 3000\r\n\r\nhalf a body",
            1 => b"POST /x HT",
            _ => b"",
        };
        s.write_all(half).expect("written");
    }
    let mut others: Vec<TcpStream> = (0..300).map(|_| connect(address)).collect();
    for (i, s) in others.iter_mut().enumerate() {
        for turn in 0..3 {
            let body = format!("client {i} turn {turn}");
            assert!(ask(s, &body).starts_with("HTTP/1.1 200"), "answered");
        }
    }
    // One that comes back with the rest is served too.
    let rest = vec![b'x'; 3000 - "half a body".len()];
    halves[0].write_all(&rest).expect("still open");
    let mut buffer = [0; 64];
    assert!(halves[0].read(&mut buffer).expect("an answer") > 0);
}

/// A controller that stands still between deciding and sending goes on with
/// answers that it may no longer give.
#[test]
fn answers_whose_time_is_past_when_their_bytes_go_out_are_refusals() {
    let address = echo(8);
    let answer = |path: &str| {
        let mut s = connect(address);
        let text =
            format!("POST {path} HTTP/1.1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nstay");
        s.write_all(text.as_bytes()).expect("written");
        let mut got = String::new();
        s.read_to_string(&mut got).expect("an answer");
        got
    };
    let ahead = answer("/ahead");
    assert!(
        ahead.starts_with("HTTP/1.1 200") && ahead.ends_with("stay"),
        "{ahead}"
    );
    let past = answer("/past");
    assert!(
        past.starts_with("HTTP/1.1 503") && past.contains("Retry-After") && !past.contains("stay"),
        "{past}"
    );
}

#[test]
fn more_connections_than_allowed_are_turned_away_and_do_no_harm() {
    let address = echo(8);
    let mut first: Vec<TcpStream> = (0..8).map(|_| connect(address)).collect();
    for s in &mut first {
        ask(s, "here first");
    }
    let mut late = connect(address);
    let _ = late.write_all(b"POST /x HTTP/1.1\r\nContent-Length: 1\r\n\r\nx");
    let mut buffer = [0; 64];
    assert!(
        matches!(late.read(&mut buffer), Ok(0) | Err(_)),
        "the ninth is closed"
    );
    assert!(ask(&mut first[3], "still here").starts_with("HTTP/1.1 200"));
    drop(first);
    // Their places are free again as soon as the server has seen them go.
    let text = b"POST /x HTTP/1.1\r\nContent-Length: 1\r\n\r\nx";
    let served = (0..600).any(|_| {
        std::thread::sleep(Duration::from_millis(50));
        let mut next = connect(address);
        next.write_all(text).is_ok() && next.read(&mut buffer).is_ok_and(|n| n > 0)
    });
    assert!(served, "nobody is let in again");
}

fn settings() -> Settings {
    let mut text = String::from("node_name = \"a\"\nzone = \"e\"\n");
    text += "client_listen = \"127.0.0.1:1\"\nback = \"127.0.0.1:2\"\n";
    text += "[services]\ncloud = \"127.0.0.1:3\"\nstate = \"127.0.0.1:4\"\n";
    text += "[params]\ninitial_size = 5\nzones = [\"e\"]\ntime_bound_ms = 10.0\n";
    text +=
        "[[params.teams]]\nname = \"t\"\n[params.workers]\nreport_s = 3.0\nlease_s = 20.0\ncancel_s = 40.0\n";
    text += "[params.state]\nrps = 60.0\nwrite_rps = 20.0\nvalue_kb = 8.0\ntxn_ops = 12\n";
    text += "[params.cloud]\nrps = 4.0\nlist_lag_s = 6.0\n";
    text += "[params.machine_limits]\ncore_share = 0.2\nram_mb = 128.0\nmax_connections = 100\n";
    Settings::parse(&text).expect("settings")
}

fn page(ids: &[(&str, Option<&str>)]) -> RegistryPage {
    RegistryPage {
        machine_type: "k".into(),
        zone: "e".into(),
        spot: false,
        rented_at_ms: 5,
        machines: ids
            .iter()
            .map(|(id, a)| ((*id).into(), a.map(Into::into)))
            .collect(),
    }
}

/// Two hundred machines, one job whose tasks come and go on them.
struct Scene {
    cache: StoreCache,
    shard: Shard,
    seqs: Vec<u64>,
    tokens: Vec<u64>,
}

const MACHINES: usize = 200;
const EPOCH: u64 = 3;

impl Scene {
    fn new() -> Scene {
        let mut cache = StoreCache::new(8.0);
        let names: Vec<String> = (0..MACHINES).map(|i| format!("m-{i:03}")).collect();
        let all: Vec<(&str, Option<&str>)> =
            names.iter().map(|n| (n.as_str(), Some("addr"))).collect();
        cache.put("fw/r/x.0", json!(page(&all)), 1);
        let spec: JobSpec = serde_json::from_value(json!({
            "id": "wk-1", "flock": "f", "nest": "t", "shape": "array", "rank": "low", "chicks": 1000,
            "cpus": 1.0, "accelerators": 0.0, "mem_gb": 1.0, "egg": "i", "size_gb": 1.0, "one_zone": false,
            "scatter": false, "windfall": true, "guess_s": 10.0, "molt_s": 0.0, "stash_s": 0.0
        }))
        .expect("a spec");
        let r = JobRecord {
            spec: Some(Arc::new(spec)),
            epoch: 1,
            accepted_at_ms: 0,
            task_count: 1000,
            cancelled: false,
            done: false,
            cancelled_at_ms: None,
        };
        cache.put("fw/j/wk-1", json!(r), 2);
        let timing = Timing {
            report_s: 3.0,
            lease_s: 20.0,
            member_lease_s: 8.0,
        };
        let mut shard = Shard::new("a", timing, HashMap::new());
        shard.start_epoch(EPOCH, 7, &cache, 0.0, |_| true);
        let tokens = vec![finchwood::cluster::membership::token(EPOCH, 0); MACHINES];
        Scene {
            cache,
            shard,
            seqs: vec![0; MACHINES],
            tokens,
        }
    }

    /// A machine reports that it runs these tasks, or is done with them.
    fn report(&mut self, i: usize, now: f64, tasks: &[(u32, bool)]) {
        self.seqs[i] += 1;
        let line = |&(t, ended): &(u32, bool)| TaskReport {
            task: format!("wk-1/{t}"),
            attempt: 5,
            state: if ended {
                TaskState::Ended
            } else {
                TaskState::Running
            },
            cause: ended.then(|| "stopped".into()),
            saved: None,
        };
        let r = Heartbeat {
            machine: format!("m-{i:03}").into(),
            address: "addr".into(),
            machine_type: "k".into(),
            zone: "e".into(),
            spot: false,
            session: 1,
            seq: self.seqs[i],
            token: self.tokens[i],
            notice_s: None,
            tasks: tasks.iter().map(line).collect(),
        };
        match self.shard.apply_heartbeat(&r, false, &self.cache, now) {
            HeartbeatReply::Accepted { token, .. } => self.tokens[i] = token,
            HeartbeatReply::Refuse => panic!("refused"),
        }
    }
}

fn leader(cache: &StoreCache) -> Leader {
    let mut l = Leader::new(&settings());
    let e = Epoch {
        number: EPOCH,
        members: [("a".to_string(), 7)].into_iter().collect(),
        leader: "a".into(),
        uses_shard_map: false,
    };
    l.start_epoch(&e, 9, cache);
    l
}

/// What a leader believes of each machine.
fn belief(l: &Leader) -> BTreeMap<String, (bool, u32)> {
    l.machines()
        .map(|m| (m.id.to_string(), (m.has_reported, m.tasks)))
        .collect()
}

/// Messages that hold only changes are lost, repeated and late; what the
/// leader then believes is what one whole message would have told it.
#[test]
fn changes_that_are_lost_repeated_or_late_lead_to_the_whole() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut s = Scene::new();
        let mut l = leader(&s.cache);
        let mut late: Vec<ShardReport> = Vec::new();
        let mut on: Vec<BTreeSet<u32>> = vec![BTreeSet::new(); MACHINES];
        let mut next = 0;
        let (mut small, mut sent) = (0, 0);
        for round in 0..150 {
            let now = 1.0 + f64::from(round) * 0.1;
            for _ in 0..3 {
                let i = rng.gen_range(0..MACHINES);
                let ended: Vec<u32> = on[i]
                    .iter()
                    .copied()
                    .filter(|_| rng.gen_bool(0.5))
                    .collect();
                on[i].insert(next);
                next += 1;
                let lines: Vec<(u32, bool)> =
                    on[i].iter().map(|t| (*t, ended.contains(t))).collect();
                s.report(i, now, &lines);
                on[i].retain(|t| !ended.contains(t));
            }
            let told = s.shard.snapshot(&s.cache, now);
            sent += 1;
            small += usize::from(told.since > 0 && told.machines.len() < MACHINES / 2);
            match rng.gen_range(0..10) {
                0..=2 => {}
                3 => late.push(told),
                machine_type => {
                    if machine_type == 4 {
                        late.push(told.clone());
                    }
                    l.apply_shard_report(told, &s.cache, now);
                    if rng.gen_bool(0.8) {
                        if let Some(o) = l.orders("a") {
                            s.shard.apply_orders(&o, &s.cache, now);
                        }
                    }
                }
            }
            if rng.gen_bool(0.2) && !late.is_empty() {
                let old = late.swap_remove(rng.gen_range(0..late.len()));
                l.apply_shard_report(old, &s.cache, now);
            }
        }
        assert!(
            small * 2 > sent,
            "only {small} of {sent} messages were small"
        );
        let last = s.shard.snapshot(&s.cache, 20.0);
        assert!(
            l.apply_shard_report(last, &s.cache, 20.0),
            "the last is whole enough to be taken"
        );
        // The same shard, told to a leader that has heard nothing.
        let o = finchwood::shard::Orders {
            epoch: EPOCH,
            node: "a".into(),
            seq: u64::MAX,
            acknowledged_seq: 0,
            assignments: Vec::new(),
            recall: Vec::new(),
            drain: Vec::new(),
            running: None,
            borrowing: Vec::new(),
            transfers: Vec::new(),
        };
        s.shard.apply_orders(&o, &s.cache, 20.0);
        let whole = s.shard.snapshot(&s.cache, 20.0);
        assert_eq!(whole.since, 0);
        let mut fresh = leader(&s.cache);
        assert!(fresh.apply_shard_report(whole, &s.cache, 20.0));
        assert_eq!(belief(&l), belief(&fresh));
        let held: usize = on.iter().map(BTreeSet::len).sum();
        assert!(held > 50, "something is left to compare");
        assert_eq!(
            (l.counts().assigned_tasks, fresh.counts().assigned_tasks),
            (held, held)
        );
    }
}

#[test]
fn a_change_that_builds_on_one_never_taken_in_is_dropped() {
    let mut s = Scene::new();
    s.report(0, 1.0, &[(1, false)]);
    let first = s.shard.snapshot(&s.cache, 1.0);
    let mut l = leader(&s.cache);
    let gap = ShardReport {
        since: first.seq,
        seq: first.seq + 1,
        assigned: Vec::new(),
        ..first.clone()
    };
    assert!(
        !l.apply_shard_report(gap, &s.cache, 1.1),
        "nothing to build on"
    );
    assert_eq!(l.counts().assigned_tasks, 0);
    assert!(!l.apply_shard_report(
        ShardReport {
            epoch: EPOCH - 1,
            ..first.clone()
        },
        &s.cache,
        1.2
    ));
    assert!(!l.apply_shard_report(
        ShardReport {
            incarnation: 6,
            ..first.clone()
        },
        &s.cache,
        1.2
    ));
    assert!(l.apply_shard_report(first.clone(), &s.cache, 1.3));
    assert_eq!(l.counts().assigned_tasks, 1);
    assert_eq!(first.assigned[0].phase, TaskPhase::Running);
    assert!(
        !l.apply_shard_report(first, &s.cache, 1.4),
        "a copy changes nothing"
    );
}

/// A machine is off the machine registry only when no page has it any more, whatever
/// the order of pages; records of one machine, as before, are read too.
#[test]
fn roster_pages_come_change_and_go() {
    let mut m = StoreCache::new(8.0);
    m.put(
        "fw/r/a.0",
        json!(page(&[("m-1", None), ("m-2", Some("x"))])),
        1,
    );
    assert!(!m.registry["m-1"].record.in_use && m.registry["m-2"].record.in_use);
    let old = json!({"b": "k", "z": "e", "s": true, "u": true, "t": 4, "a": "y"});
    assert_eq!(
        m.put("fw/r/m-9", old, 2),
        CacheChange::Machines(vec!["m-9".into()])
    );
    assert!(m.registry["m-9"].record.in_use && m.registry["m-9"].record.spot);
    // Found by another leader as well.
    m.put("fw/r/b.0", json!(page(&[("m-2", Some("x"))])), 3);
    m.put("fw/r/a.0", json!(page(&[("m-1", Some("z"))])), 4);
    assert!(m.registry.contains_key("m-2"), "page b still has it");
    assert!(m.registry["m-1"].record.in_use);
    assert_eq!(
        m.put("fw/r/a.0", json!(page(&[])), 3),
        CacheChange::Nothing,
        "older than known"
    );
    m.apply(KeyChange::Delete {
        key: "fw/r/b.0".into(),
        revision: 5,
    });
    assert!(!m.registry.contains_key("m-2"));
    assert_eq!(
        m.put("fw/r/b.0", json!(page(&[("m-2", None)])), 4),
        CacheChange::Nothing,
        "deleted since"
    );
    assert!(!m.registry.contains_key("m-2"));
    assert!(
        m.put("fw/r/c.0", json!({"m": 7}), 6) == CacheChange::Nothing,
        "nonsense changes nothing"
    );
}

/// One controller's return left everything that a cut zone had lost in doubt
/// until the last of its machines was heard. A shard that lived on and kept its
/// machines proves by itself what became of its own tasks; one that knows only
/// what it has heard since, or that handed machines over, does not.
#[test]
fn a_part_that_kept_all_it_knew_proves_its_own_tasks_gone() {
    let unknown_after = |a: u64, others: &[(&str, u64)], kept: bool| {
        let mut s = Scene::new();
        let mut l = Leader::new(&settings());
        let epoch = |n: u64, members: &[(&str, u64)]| Epoch {
            number: n,
            members: members
                .iter()
                .map(|(m, incarnation)| (m.to_string(), *incarnation))
                .collect(),
            leader: "a".into(),
            uses_shard_map: false,
        };
        l.start_epoch(&epoch(EPOCH, &[("a", 7), ("b", 8)]), 9, &s.cache);
        s.report(0, 1.0, &[(1, false)]);
        assert!(l.apply_shard_report(s.shard.snapshot(&s.cache, 1.0), &s.cache, 1.0));
        assert_eq!(
            (l.counts().assigned_tasks, l.counts().unreconciled_tasks),
            (1, 999)
        );
        // It ends, and before the leader hears of it another epoch begins.
        s.report(0, 2.0, &[(1, true)]);
        let mut members = vec![("a", a)];
        members.extend(others);
        l.start_epoch(&epoch(EPOCH + 1, &members), 9, &s.cache);
        s.shard.start_epoch(EPOCH + 1, a, &s.cache, 2.1, |_| true);
        let told = s.shard.snapshot(&s.cache, 2.2);
        assert!(told.since == 0 && told.assigned.is_empty());
        assert!(l.apply_shard_report(
            ShardReport {
                state_retained: told.state_retained && kept,
                ..told
            },
            &s.cache,
            2.2
        ));
        l.counts().unreconciled_tasks
    };
    assert_eq!(
        unknown_after(7, &[("b", 10)], true),
        999,
        "another came back"
    );
    assert_eq!(unknown_after(7, &[], true), 999, "another is gone");
    assert_eq!(
        unknown_after(7, &[("b", 8), ("c", 11)], true),
        1000,
        "machines went to a new one"
    );
    assert_eq!(
        unknown_after(12, &[("b", 8)], true),
        1000,
        "it came back itself"
    );
    assert_eq!(
        unknown_after(7, &[("b", 10)], false),
        1000,
        "it knows only what it heard since"
    );
}
