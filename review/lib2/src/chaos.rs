//! Random troubles, to look for faults.

use crate::cluster::{Cluster, Site};
use crate::users::{Plan, Users};
use crate::world::{Breed, Params};
use crate::{chance, lock, random, set_seed};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn pick(n: usize) -> usize {
    (random() * n as f64) as usize % n.max(1)
}

fn sleep(s: f64) {
    std::thread::sleep(Duration::from_secs_f64(s));
}

pub fn run(seed: u64, kind: &str) -> i32 {
    set_seed(seed);
    let five = chance(0.4) || kind.starts_with("loop");
    let nodes = if five { 5 } else { 3 };
    let fast = kind != "slow" && !kind.starts_with("loop");
    let (report_s, lease_s, cancel_s) = if fast {
        (0.8, 6.0, 12.0)
    } else {
        (3.0, 22.0, 42.0)
    };
    let site = Site {
        nodes,
        params: Params {
            report_s,
            lease_s,
            cancel_s,
            gang_wait_s: 12.0,
            gang_peer_s: 2.0,
            list_lag_s: 1.5,
            zones: vec!["pier-a".into(), "pier-b".into(), "island-c".into()],
            breeds: vec![
                Breed {
                    name: "deckbox".into(),
                    cpus: 16.0,
                    mem_gb: 128.0,
                    ready_s: 2.0,
                },
                Breed {
                    name: "sprout".into(),
                    cpus: 8.0,
                    mem_gb: 64.0,
                    ready_s: 1.5,
                },
            ],
            team_cap: 24.0,
            capacity: if chance(0.5) { 2 } else { 4 },
            fetch_s: 0.3,
        },
        rps: if fast { 120.0 } else { 60.0 },
        write_rps: if fast { 60.0 } else { 20.0 },
        value_kb: 8.0,
        txn_ops: 12,
        next: chance(0.3).then_some((15.0, 2.0, 4)),
        cloud_rps: 8.0,
        teams: (0..4).map(|t| format!("harbor-desk-{t}")).collect(),
        waits: vec![("berth-sell".into(), 1.0, 0.94)],
        core_share: 0.5,
    };
    let run_s = if fast { 70.0 } else { 150.0 };
    let mut plans = Vec::new();
    for n in 0..60u64 {
        let mut plan = Plan::new(
            &format!("wk-{:06}", n),
            ["array", "array", "standing", "ensemble"][pick(4)],
            1 + pick(6) as u64,
        );
        plan.nest = format!("harbor-desk-{}", pick(4));
        plan.rank = ["prod", "urgent", "standard", "low"][pick(4)];
        if plan.shape == "standing" {
            plan.rank = "prod";
            plan.flock = "berth-sell";
        }
        plan.cpus = [1.0, 2.0, 4.0][pick(3)];
        plan.run_s = 1.0 + random() * 10.0;
        plan.one_zone = chance(0.25);
        plan.scatter = !plan.one_zone && chance(0.3);
        plan.saves = plan.shape == "array" && chance(0.5);
        plan.spot = chance(0.3) && plan.shape == "array";
        plan.broken = chance(0.05) && plan.shape == "array";
        plan.egg = format!("img-{:02}", pick(4));
        plan.cancel_s =
            (chance(0.3) || plan.shape == "standing" || plan.broken).then(|| random() * 30.0);
        plan.breeds = chance(0.2).then(|| "deckbox".to_string());
        plan.grove = (!plan.scatter && chance(0.15)).then(|| "pier-b".to_string());
        plans.push(plan);
    }
    let jobs = plans.iter().map(|p| (p.id.clone(), p.job())).collect();
    let mut cluster = Cluster::start(site, std::env::current_dir().expect("a folder"), jobs);
    lock(&cluster.store.data).order = match pick(3) {
        0 => crate::store::Order::Revision,
        1 => crate::store::Order::Newest,
        _ => crate::store::Order::Key,
    };
    let over = Arc::new(AtomicBool::new(false));
    let users = Users {
        world: cluster.world.clone(),
        clients: cluster.clients.clone(),
        over: over.clone(),
        poll_s: 1.5,
        copies: 0.1,
        close: kind == "close",
    };
    for plan in plans.clone() {
        let users = users.clone();
        let at = random() * run_s * 0.8;
        std::thread::spawn(move || {
            sleep(at);
            users.follow(&plan);
        });
    }
    let strangers = users.clone();
    std::thread::spawn(move || strangers.ask_strangers());
    // Standing faults on the ways.
    if !["plain", "oneway", "big"].contains(&kind) && !kind.starts_with("loop") {
        for door in &cluster.store.doors {
            let mut door = lock(door);
            door.late_s = 4.0;
            door.repeat = if chance(0.5) { 0.15 } else { 0.0 };
            door.lose_answer = if chance(0.4) { 0.05 } else { 0.0 };
            door.late = if chance(0.4) { 0.05 } else { 0.0 };
        }
        for from in 0..nodes {
            for to in 0..nodes {
                cluster.set_peers(from, to, |m| {
                    m.late_s = 6.0;
                    m.copies = 0.1;
                });
            }
        }
        let mut world = lock(&cluster.world);
        world.faults.late_s = 5.0;
        world.faults.report_copies = 0.15;
        world.faults.command_copies = 0.2;
        world.faults.command_late = if chance(0.4) { 0.1 } else { 0.0 };
        world.faults.lose_answers = if chance(0.4) { 0.05 } else { 0.0 };
        world.cloud.late_s = 5.0;
        world.cloud.late = if chance(0.4) { 0.1 } else { 0.0 };
        world.cloud.lose = if chance(0.4) { 0.1 } else { 0.0 };
    }
    if kind == "oneway" {
        let c = 2;
        for to in 0..nodes {
            cluster.set_peers(c, to, |m| m.refuse = true);
        }
    }
    if kind.starts_with("loop") {
        sleep(10.0);
        let shown = |cluster: &Cluster| {
            let cpu: Vec<String> = (0..nodes)
                .map(|n| format!("{:.1}", cluster.cpu_s(n)))
                .collect();
            let passed: Vec<u64> = (0..nodes)
                .map(|f| (0..nodes).map(|t| lock(&cluster.peers[f][t]).passed).sum())
                .collect();
            println!("cpu {cpu:?} messages {passed:?}");
        };
        shown(&cluster);
        sleep(10.0);
        shown(&cluster);
        if kind == "loop-stop" {
            cluster.stop_node(nodes - 1);
        } else {
            cluster.kill_node(nodes - 1);
        }
        for _ in 0..4 {
            sleep(10.0);
            shown(&cluster);
        }
        cluster.end();
        std::process::exit(0);
    }
    if kind == "big" {
        let mut plan = plans[0].clone();
        for (n, chicks) in [(90u64, 100_000u64), (91, 100_000), (92, 3)] {
            plan.id = format!("wk-0000{n}");
            plan.shape = "array";
            plan.rank = "standard";
            plan.chicks = chicks;
            plan.cpus = if chicks > 3 { 0.02 } else { 1.0 };
            plan.mem_gb = 0.01;
            plan.run_s = 0.5;
            plan.breeds = None;
            plan.grove = None;
            plan.one_zone = false;
            plan.scatter = false;
            plan.broken = false;
            plan.cancel_s = (n == 90).then_some(40.0);
            plan.nest = "harbor-desk-0".into();
            lock(&cluster.world)
                .jobs
                .insert(plan.id.clone(), plan.job());
            let (users, plan) = (users.clone(), plan.clone());
            std::thread::spawn(move || users.follow(&plan));
        }
        for round in 0..9 {
            sleep(10.0);
            if round == 2 || round == 5 {
                let leader = cluster.leader().unwrap_or(0);
                cluster.kill_node(leader);
                sleep(1.0);
                cluster.start_node(leader);
            }
            let memory: Vec<String> = (0..nodes)
                .map(|n| format!("{:.0} MB {:.1} s", cluster.memory_mb(n), cluster.cpu_s(n)))
                .collect();
            let world = lock(&cluster.world);
            let done: Vec<usize> = ["wk-000090", "wk-000091", "wk-000092"]
                .iter()
                .map(|j| world.jobs[*j].done.len())
                .collect();
            println!(
                "{memory:?} leader {:?} done {done:?} starts {} rules {:?}",
                cluster.leader(),
                world.starts,
                world.broken_rules.first()
            );
        }
        cluster.look_for_ends();
        println!("{:?}", cluster.ended);
        cluster.end();
        std::process::exit(0);
    }
    let begin = Instant::now();
    sleep(8.0);
    // (time, undo)
    let mut undo: Vec<(f64, String, usize, usize)> = Vec::new();
    while begin.elapsed().as_secs_f64() < run_s {
        sleep(0.05 + random() * 1.2);
        let now = begin.elapsed().as_secs_f64();
        let due: Vec<_> = undo.iter().filter(|u| u.0 <= now).cloned().collect();
        undo.retain(|u| u.0 > now);
        for (_, what, a, b) in due {
            undo_one(&mut cluster, &what, a, b);
        }
        cluster.look_for_ends();
        if kind == "mix" {
            for n in 0..nodes {
                if cluster.is_earlier[n] && now > 18.0 + 7.0 * n as f64 {
                    cluster.is_earlier[n] = false;
                    cluster.kill_node(n);
                    cluster.note(format!("perch-{n} gets the new version"));
                    undo.push((now + 0.5 + random() * 3.0, "start".into(), n, 0));
                }
            }
        }
        if kind == "plain" || kind == "oneway" {
            continue;
        }
        let node = if chance(0.5) {
            cluster.leader().unwrap_or(0)
        } else {
            pick(nodes)
        };
        let span = if fast {
            0.3 + random() * 9.0
        } else {
            0.5 + random() * 30.0
        };
        let what = pick(17);
        let add = |undo: &mut Vec<(f64, String, usize, usize)>, what: &str, a: usize, b: usize| {
            undo.push((now + span, what.into(), a, b))
        };
        match what {
            0 | 1 => {
                cluster.kill_node(node);
                undo.push((
                    now + if chance(0.5) {
                        0.1 + random() * 0.4
                    } else {
                        3.0
                    },
                    "start".into(),
                    node,
                    0,
                ));
            }
            2 | 3 => {
                if cluster.is_up(node) && !cluster.stopped.contains(&node) {
                    cluster.stop_node(node);
                    let span = if chance(0.5) { random() * 1.5 } else { span };
                    undo.push((now + span, "cont".into(), node, 0));
                }
            }
            4 => {
                lock(&cluster.store.doors[node]).refuse = true;
                cluster.note(format!("state refuses perch-{node}"));
                add(&mut undo, "door", node, 0);
            }
            5 => {
                lock(&cluster.store.doors[node]).hold = true;
                cluster.note(format!("state holds perch-{node}"));
                add(&mut undo, "door", node, 0);
            }
            6 if chance(0.5) => {
                lock(&cluster.store.data).set_outage(true);
                cluster.note("state outage".into());
                add(&mut undo, "outage", 0, 0);
            }
            7 => {
                let hold = chance(0.5);
                for other in 0..nodes {
                    for (from, to) in [(node, other), (other, node)] {
                        cluster.set_peers(from, to, |m| {
                            if hold {
                                m.hold = true
                            } else {
                                m.refuse = true
                            }
                        });
                    }
                }
                cluster.note(format!("peers of perch-{node} cut, hold {hold}"));
                add(&mut undo, "peers", node, 0);
            }
            8 => {
                lock(&cluster.world).faults.cut_nodes.insert(node);
                cluster.note(format!("reports to perch-{node} cut"));
                add(&mut undo, "reports", node, 0);
            }
            9 | 10 => {
                let mut world = lock(&cluster.world);
                let ids: Vec<String> = world
                    .machines
                    .values()
                    .filter(|m| m.gone.is_none() && m.up)
                    .map(|m| m.id.clone())
                    .collect();
                if !ids.is_empty() {
                    let id = ids[pick(ids.len())].clone();
                    if chance(0.3) {
                        world.end_machine(&id, "died");
                    } else {
                        world.machines.get_mut(&id).expect("m").hung = true;
                        world.note(format!("machine {id} hangs"));
                        let number: usize = id[2..].parse().unwrap_or(0);
                        drop(world);
                        add(&mut undo, "hang", number, 0);
                    }
                }
            }
            11 => {
                lock(&cluster.world).cloud.outage = true;
                add(&mut undo, "cloud", 0, 0);
            }
            12 if chance(0.3) => {
                for node in 0..nodes {
                    cluster.kill_node(node);
                    undo.push((now + 0.2 + random() * 3.5, "start".into(), node, 0));
                }
            }
            14 | 15 => {
                let mut world = lock(&cluster.world);
                let ids: Vec<String> = world
                    .machines
                    .values()
                    .filter(|m| m.gone.is_none() && m.up)
                    .map(|m| m.id.clone())
                    .collect();
                if !ids.is_empty() {
                    let id = ids[pick(ids.len())].clone();
                    let number: usize = id[2..].parse().unwrap_or(0);
                    if what == 14 {
                        world.faults.deaf.insert(id.clone());
                        world.note(format!("machine {id} hears nothing"));
                    } else {
                        world.faults.mute.insert(id.clone());
                        world.note(format!("machine {id} sends no reports"));
                    }
                    drop(world);
                    add(&mut undo, "hears", number, 0);
                }
            }
            16 => {
                let mut world = lock(&cluster.world);
                let now = Instant::now();
                let mut names = Vec::new();
                for machine in world
                    .machines
                    .values_mut()
                    .filter(|m| m.spot && m.gone.is_none() && m.up)
                {
                    if random() < 0.5 {
                        machine.warning = Some(
                            now + Duration::from_secs_f64(if random() < 0.5 { 0.0 } else { 6.0 }),
                        );
                        machine.changed = true;
                        names.push(machine.id.clone());
                    }
                }
                world.note(format!("spot machines {names:?} will be taken"));
            }
            13 => {
                lock(&cluster.store.doors[node]).slow_ms = 150;
                add(&mut undo, "slow", node, 0);
            }
            _ => {}
        }
    }
    for (_, what, a, b) in undo {
        undo_one(&mut cluster, &what, a, b);
    }
    for node in 0..nodes {
        cluster.resume_node(node);
        cluster.start_node(node);
    }
    cluster.note("quiet".into());
    let quiet = Instant::now();
    let mut waiting = Vec::new();
    while quiet.elapsed().as_secs_f64() < if fast { 75.0 } else { 120.0 } {
        sleep(0.5);
        cluster.look_for_ends();
        let world = lock(&cluster.world);
        waiting = world
            .jobs
            .iter()
            .filter(|(_, j)| j.accepted.is_some() && j.cancel_told.is_none() && !j.broken)
            .filter(|(id, j)| {
                if j.standing {
                    let on: u64 = world.machines.values().filter(|m| m.gone.is_none()).map(|m| m.insts.iter().filter(|i| i.job == **id && i.on()).count() as u64).sum();
                    on < j.chicks
                } else {
                    j.done_told.is_none()
                }
            })
            .map(|(id, j)| format!("{id} standing {} gang {} done {}/{} one_zone {} scatter {} grove {} cpus {} nest {}", j.standing, j.gang, j.done.len(), j.chicks, j.spec.get("one_zone"), j.spec.get("scatter"), j.spec.get("grove"), j.cpus, j.nest))
            .collect();
        if waiting.is_empty() {
            break;
        }
    }
    over.store(true, Ordering::SeqCst);
    let quiet_s = quiet.elapsed().as_secs_f64();
    cluster.end();
    let world = lock(&cluster.world);
    let accepted = world.jobs.values().filter(|j| j.accepted.is_some()).count();
    println!(
        "seed {seed} {kind} nodes {nodes} rated {}: {} starts, {accepted} accepted, {} rules broken, {} ended, {} waiting after {quiet_s:.0} s, {}",
        lock(&cluster.store.data).rated,
        world.starts,
        world.broken_rules.len(),
        cluster.ended.len(),
        waiting.len(),
        cluster.dir.display()
    );
    for line in world.broken_rules.iter().take(6) {
        println!("   {line}");
    }
    for line in cluster.ended.iter().chain(&waiting) {
        println!("   {line}");
    }
    let _ = std::fs::write(cluster.dir.join("record.txt"), world.record.join("\n"));
    let bad = !world.broken_rules.is_empty() || !cluster.ended.is_empty() || !waiting.is_empty();
    if !bad && std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&cluster.dir);
    }
    i32::from(bad)
}

fn undo_one(cluster: &mut Cluster, what: &str, a: usize, _b: usize) {
    match what {
        "start" => cluster.start_node(a),
        "cont" => cluster.resume_node(a),
        "door" => {
            let mut door = lock(&cluster.store.doors[a]);
            door.refuse = false;
            door.hold = false;
        }
        "slow" => lock(&cluster.store.doors[a]).slow_ms = 0,
        "outage" => lock(&cluster.store.data).set_outage(false),
        "peers" => {
            for other in 0..cluster.site_nodes {
                for (from, to) in [(a, other), (other, a)] {
                    cluster.set_peers(from, to, |m| {
                        m.hold = false;
                        m.refuse = false;
                    });
                }
            }
        }
        "reports" => {
            lock(&cluster.world).faults.cut_nodes.remove(&a);
        }
        "hang" => {
            let id = format!("m-{a:06}");
            if let Some(machine) = lock(&cluster.world).machines.get_mut(&id) {
                machine.hung = false;
            }
        }
        "hears" => {
            let id = format!("m-{a:06}");
            let mut world = lock(&cluster.world);
            world.faults.deaf.remove(&id);
            world.faults.mute.remove(&id);
        }
        "cloud" => lock(&cluster.world).cloud.outage = false,
        _ => {}
    }
    cluster.note(format!("undo {what} {a}"));
}
