//! The placement against a slow plain reading of the paper's algorithm.

use finchwood::scheduler::bin_packing::{pick, Candidate};
use finchwood::scheduler::capacity::{
    FreeCapacity, MachineSlot, NameInterner, PlacementRequest, PreemptionScope, ZoneAllowance,
};
use finchwood::shard::MachineStatus;
use finchwood::wire::{JobKind, JobSpec, Priority, Resources};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const KINDS: [&str; 2] = ["small", "large"];
const ZONES: [&str; 3] = ["east", "north", "west"];

#[derive(Debug, Clone)]
struct Node {
    id: String,
    machine_type: usize,
    zone: usize,
    spot: bool,
    free: [u32; 3],
    cached: bool,
    job_tasks_in_zone: u32,
    job_tasks_on_machine: u32,
}

fn spec(ask: [u32; 3], spot: bool, machine_type: Option<usize>, zone: Option<usize>) -> JobSpec {
    JobSpec {
        id: "wk-1".into(),
        class: "c".into(),
        team: "t".into(),
        job_kind: JobKind::Array,
        priority: Priority::Standard,
        task_count: 1,
        cpus: f64::from(ask[0]) / 2.0,
        gpus: f64::from(ask[1]),
        mem_gb: f64::from(ask[2]),
        image: "i".into(),
        image_gb: 1.0,
        types: machine_type.map(|k| vec![KINDS[k].into()]),
        zone: zone.map(|z| ZONES[z].into()),
        one_zone: false,
        scatter: false,
        spot,
        estimate_s: 1.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

/// Filter, cost, sort, first: as the paper writes it, with our two exceptions
/// before the cost and our ties after it, on integers only.
fn model(
    ask: [u32; 3],
    spot: bool,
    machine_type: Option<usize>,
    zone: Option<usize>,
    latency_sensitive: bool,
    nodes: &[Node],
) -> Option<String> {
    let mut list = Vec::new();
    for n in nodes {
        let mut lacking = n.spot && !spot;
        lacking |=
            machine_type.is_some_and(|k| k != n.machine_type) || zone.is_some_and(|z| z != n.zone);
        lacking |= n.free.iter().zip(&ask).any(|(have, demand)| have < demand);
        if lacking {
            continue;
        }
        // Half CPUs count two, GPUs two as well, so that both compare whole.
        let leftover = if ask[1] > 0 {
            2 * (n.free[1] - ask[1])
        } else {
            n.free[0] - ask[0]
        };
        let cold = u32::from(!n.cached);
        let first = if latency_sensitive { cold } else { 0 };
        let dear = u32::from(spot && !n.spot);
        list.push((
            first,
            dear,
            leftover,
            n.job_tasks_in_zone,
            n.job_tasks_on_machine,
            cold,
            n.id.clone(),
        ));
    }
    list.sort();
    list.first().map(|x| x.6.clone())
}

#[test]
fn picks_what_the_plain_model_picks() {
    let config = Config {
        cases: 3000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let node = (
        0..2usize,
        0..3usize,
        any::<bool>(),
        [0..20u32, 0..4u32, 0..24u32],
        any::<bool>(),
        0..3u32,
        0..2u32,
    );
    let amounts = (
        0..10u32,
        prop_oneof![3 => Just(0u32), 1 => 1..3u32],
        0..12u32,
    );
    let ask = (amounts.prop_map(|(c, g, m)| [c, g, m]), any::<bool>());
    let request = (
        proptest::option::of(0..2usize),
        proptest::option::of(0..3usize),
        any::<bool>(),
    );
    let case = (ask, request, proptest::collection::vec(node, 0..14));
    let result = runner.run(
        &case,
        |((ask, spot), (machine_type, zone, latency_sensitive), raw)| {
            let nodes: Vec<Node> = raw
                .into_iter()
                .enumerate()
                .map(
                    |(
                        i,
                        (
                            machine_type,
                            zone,
                            spot,
                            free,
                            cached,
                            job_tasks_in_zone,
                            job_tasks_on_machine,
                        ),
                    )| {
                        Node {
                            id: format!("m-{i:03}"),
                            machine_type,
                            zone,
                            spot,
                            free,
                            cached,
                            job_tasks_in_zone,
                            job_tasks_on_machine,
                        }
                    },
                )
                .collect();
            let spec = spec(ask, spot, machine_type, zone);
            let candidates = nodes.iter().map(|n| Candidate {
                id: &n.id,
                machine_type: KINDS[n.machine_type],
                zone: ZONES[n.zone],
                spot: n.spot,
                free: Resources {
                    cpus: f64::from(n.free[0]) / 2.0,
                    gpus: f64::from(n.free[1]),
                    mem_gb: f64::from(n.free[2]),
                },
                image_cached: n.cached,
                job_tasks_in_zone: n.job_tasks_in_zone,
                job_tasks_on_machine: n.job_tasks_on_machine,
            });
            let real = pick(&spec, latency_sensitive, candidates).map(|c| c.id.to_string());
            prop_assert_eq!(
                real,
                model(ask, spot, machine_type, zone, latency_sensitive, &nodes)
            );
            Ok(())
        },
    );
    assert!(result.is_ok(), "{result:?}");
}

fn view(n: &Node) -> MachineStatus {
    MachineStatus {
        id: n.id.as_str().into(),
        machine_type: KINDS[n.machine_type].into(),
        zone: ZONES[n.zone].into(),
        spot: n.spot,
        reconciled: true,
        has_reported: true,
        registered: true,
        address: None,
        free: Resources {
            cpus: f64::from(n.free[0]) / 2.0,
            gpus: f64::from(n.free[1]),
            mem_gb: f64::from(n.free[2]),
        },
        preemptible: Resources::default(),
        preemptible_low: Resources::default(),
        schedulable: true,
        reclaim_notice: false,
        faulty: false,
        ignores_commands: false,
        draining: false,
        tasks: 0,
        images: if n.cached {
            vec!["h".into(), "i".into()]
        } else {
            vec!["h".into()]
        },
    }
}

/// The leader deals from an index in which room shrinks as it goes: over a
/// whole round on hundreds of machines it chooses, job after job, what the
/// plain model does, and gives up on no job that would fit.
#[test]
fn a_round_on_hundreds_of_machines_deals_what_the_plain_model_deals() {
    let config = Config {
        cases: 60,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let node = (
        0..2usize,
        0..3usize,
        any::<bool>(),
        [0..20u32, 0..4u32, 0..24u32],
        any::<bool>(),
    );
    let ask = (
        0..10u32,
        prop_oneof![3 => Just(0u32), 1 => 1..3u32],
        0..12u32,
    );
    let request = (
        any::<bool>(),
        proptest::option::of(0..2usize),
        proptest::option::of(0..3usize),
        any::<bool>(),
    );
    let case = (
        proptest::collection::vec(node, 200..400),
        proptest::collection::vec((ask.prop_map(|(c, g, m)| [c, g, m]), request), 150..200),
    );
    let result = runner.run(&case, |(raw, jobs)| {
        let mut nodes: Vec<Node> = raw
            .into_iter()
            .enumerate()
            .map(|(i, (machine_type, zone, spot, free, cached))| {
                let id = format!("m-{i:03}");
                Node {
                    id,
                    machine_type,
                    zone,
                    spot,
                    free,
                    cached,
                    job_tasks_in_zone: 0,
                    job_tasks_on_machine: 0,
                }
            })
            .collect();
        let mut names = NameInterner::default();
        let slots = nodes
            .iter()
            .map(|n| MachineSlot::new(&view(n), 0, &mut names))
            .collect();
        let mut capacity = FreeCapacity::new(slots, 0.0);
        for (ask, (spot, machine_type, zone, latency_sensitive)) in jobs {
            let spec = spec(ask, spot, machine_type, zone);
            let request = PlacementRequest::new(
                &spec,
                &names,
                Vec::new(),
                latency_sensitive,
                PreemptionScope::Nothing,
            );
            let expected = model(ask, spot, machine_type, zone, latency_sensitive, &nodes);
            if capacity.known_not_to_fit(&request) {
                prop_assert_eq!(None, expected);
                continue;
            }
            let real = capacity.best_slot(&request, None, None);
            prop_assert_eq!(real.map(|s| capacity.slots[s].id.to_string()), expected);
            match real {
                Some(slot) => {
                    capacity.allocate(slot, &request.task_resources);
                    nodes[slot]
                        .free
                        .iter_mut()
                        .zip(ask)
                        .for_each(|(have, took)| *have -= took);
                }
                None => capacity.record_no_fit(&request),
            }
        }
        Ok(())
    });
    assert!(result.is_ok(), "{result:?}");
}

/// What a zone is counted to have room for, one look at each machine, is what can
/// be placed there task by task; of a gang that waits it then keeps as much.
#[test]
fn a_zone_is_counted_to_have_room_for_what_can_be_placed_there() {
    let config = Config {
        cases: 60,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let node = (
        0..2usize,
        0..3usize,
        any::<bool>(),
        [0..40u32, 0..4u32, 0..48u32],
        any::<bool>(),
    );
    let ask = (
        1..10u32,
        prop_oneof![3 => Just(0u32), 1 => 1..3u32],
        0..12u32,
    );
    let case = (
        proptest::collection::vec(node, 1..80),
        ask,
        any::<bool>(),
        proptest::option::of(0..2usize),
    );
    let result = runner.run(&case, |(raw, (cpus, gpus, mem), spot, machine_type)| {
        let mut names = NameInterner::default();
        let nodes =
            raw.into_iter()
                .enumerate()
                .map(|(i, (machine_type, zone, spot, free, cached))| {
                    let id = format!("m-{i:03}");
                    Node {
                        id,
                        machine_type,
                        zone,
                        spot,
                        free,
                        cached,
                        job_tasks_in_zone: 0,
                        job_tasks_on_machine: 0,
                    }
                });
        let slots = nodes
            .map(|n| MachineSlot::new(&view(&n), 0, &mut names))
            .collect();
        let mut capacity = FreeCapacity::new(slots, 0.0);
        let spec = spec([cpus, gpus, mem], spot, machine_type, None);
        let request =
            PlacementRequest::new(&spec, &names, Vec::new(), true, PreemptionScope::Nothing);
        let counts = capacity.count_by_zone(&request);
        for zone in ZONES.iter().filter_map(|z| names.lookup(z)) {
            let counted = counts.get(&zone).copied().unwrap_or_default();
            let placed = capacity.try_place(
                &request,
                10_000,
                None,
                &[ZoneAllowance::unlimited(zone)],
                false,
            );
            prop_assert_eq!(counted.tasks as usize, placed.len());
            prop_assert_eq!(
                counted.with_image as usize,
                capacity.count_with_cached_image(&request, &placed)
            );
            let keep = counted.tasks / 2;
            capacity.allocate_in_zones(&request, &[ZoneAllowance::unlimited(zone)], keep);
            let left = capacity
                .count_by_zone(&request)
                .get(&zone)
                .copied()
                .unwrap_or_default();
            prop_assert_eq!(left.tasks, counted.tasks - keep);
        }
        Ok(())
    });
    assert!(result.is_ok(), "{result:?}");
}

/// Arrays once filled the last room of ordinary machines, and nearly every new
/// replica stopped one of their tasks: all late jobs had lost one so.
#[test]
fn lower_work_leaves_the_room_that_is_kept_for_services() {
    let node = |i: usize, spot: bool| Node {
        id: format!("m-{i}"),
        machine_type: 0,
        zone: 0,
        spot,
        free: [8, 0, 8],
        cached: false,
        job_tasks_in_zone: 0,
        job_tasks_on_machine: 0,
    };
    let nodes = [node(0, false), node(1, false), node(2, true)];
    let mut names = NameInterner::default();
    let slots = nodes
        .iter()
        .map(|n| MachineSlot::new(&view(n), 0, &mut names))
        .collect();
    let mut capacity = FreeCapacity::new(slots, 4.0);
    let array = spec([2, 0, 1], true, None, None);
    let request =
        PlacementRequest::new(&array, &names, Vec::new(), false, PreemptionScope::Nothing);
    let mut taken = Vec::new();
    while let Some(slot) = capacity.best_slot(&request, None, None) {
        capacity.allocate(slot, &request.task_resources);
        taken.push(capacity.slots[slot].spot);
    }
    // All four on the spot machine, then four of eight on ordinary ones.
    assert_eq!(taken, [true, true, true, true, false, false, false, false]);
    let service = PlacementRequest::new(
        &array,
        &names,
        Vec::new(),
        false,
        PreemptionScope::AllLowerPriorities,
    );
    assert!(capacity.best_slot(&service, None, None).is_some());
}
