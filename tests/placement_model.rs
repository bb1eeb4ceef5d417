//! Compares the placement of tasks with a slow, simple model of the algorithm in the HIOBS
//! paper.

use finchwood::scheduler::bin_packing::{pick, Candidate};
use finchwood::scheduler::capacity::{
    FreeCapacity, MachineSlot, NameInterner, PlacementRequest, PreemptionScope, ZoneAllowance,
};
use finchwood::shard::MachineStatus;
use finchwood::wire::{JobKind, JobSpec, Priority, Resources};
use finchwood_types::message_size::LIST_BYTES;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const MACHINE_TYPES: [&str; 2] = ["small", "large"];
const ZONES: [&str; 3] = ["east", "north", "west"];

/// A machine in the model. Its machine type and zone are indices into [`MACHINE_TYPES`] and
/// [`ZONES`].
#[derive(Debug, Clone)]
struct ModelMachine {
    id: String,
    machine_type: usize,
    zone: usize,
    spot: bool,
    /// Free half CPUs, GPUs and GB of memory.
    free: [u32; 3],
    /// Whether the job's image is cached.
    image_cached: bool,
    job_tasks_in_zone: u32,
    job_tasks_on_machine: u32,
}

/// Returns a job of one task that needs `resources` (half CPUs, GPUs and GB of memory). `None`
/// allows any machine type or zone.
fn job_spec(
    resources: [u32; 3],
    spot: bool,
    machine_type: Option<usize>,
    zone: Option<usize>,
) -> JobSpec {
    JobSpec {
        id: "wk-1".into(),
        class: "c".into(),
        team: "t".into(),
        job_kind: JobKind::Array,
        priority: Priority::Standard,
        task_count: 1,
        cpus: f64::from(resources[0]) / 2.0,
        gpus: f64::from(resources[1]),
        mem_gb: f64::from(resources[2]),
        image: "i".into(),
        image_gb: 1.0,
        types: machine_type.map(|index| vec![MACHINE_TYPES[index].into()]),
        zone: zone.map(|index| ZONES[index].into()),
        one_zone: false,
        scatter: false,
        spot,
        estimate_s: 1.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

/// Returns the id of the machine that the algorithm selects: it filters the machines, sorts
/// them by cost and takes the first, as in the paper. Two criteria that finchwood adds come
/// before the cost, and its tie-breakers after it. All numbers are integers.
fn expected_machine(
    resources: [u32; 3],
    spot: bool,
    machine_type: Option<usize>,
    zone: Option<usize>,
    latency_sensitive: bool,
    machines: &[ModelMachine],
) -> Option<String> {
    let mut ranked = Vec::new();
    for machine in machines {
        let mut unsuitable = machine.spot && !spot;
        unsuitable |= machine_type.is_some_and(|index| index != machine.machine_type)
            || zone.is_some_and(|index| index != machine.zone);
        unsuitable |= machine
            .free
            .iter()
            .zip(&resources)
            .any(|(free, needed)| free < needed);
        if unsuitable {
            continue;
        }
        // The amount that stays free, in halves of a CPU or GPU.
        let leftover = if resources[1] > 0 {
            2 * (machine.free[1] - resources[1])
        } else {
            machine.free[0] - resources[0]
        };
        let image_missing = u32::from(!machine.image_cached);
        let delays_start = if latency_sensitive { image_missing } else { 0 };
        let not_on_spot = u32::from(spot && !machine.spot);
        ranked.push((
            delays_start,
            not_on_spot,
            leftover,
            machine.job_tasks_in_zone,
            machine.job_tasks_on_machine,
            image_missing,
            machine.id.clone(),
        ));
    }
    ranked.sort();
    ranked.first().map(|rank| rank.6.clone())
}

#[test]
fn pick_selects_the_same_machine_as_the_model() {
    let config = Config {
        cases: 3000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let machine = (
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
    let resources = (
        amounts.prop_map(|(half_cpus, gpus, mem_gb)| [half_cpus, gpus, mem_gb]),
        any::<bool>(),
    );
    let request = (
        proptest::option::of(0..2usize),
        proptest::option::of(0..3usize),
        any::<bool>(),
    );
    let case = (
        resources,
        request,
        proptest::collection::vec(machine, 0..14),
    );
    let result = runner.run(
        &case,
        |((resources, spot), (machine_type, zone, latency_sensitive), generated)| {
            let machines: Vec<ModelMachine> = generated
                .into_iter()
                .enumerate()
                .map(
                    |(
                        index,
                        (
                            machine_type,
                            zone,
                            spot,
                            free,
                            image_cached,
                            job_tasks_in_zone,
                            job_tasks_on_machine,
                        ),
                    )| {
                        ModelMachine {
                            id: format!("m-{index:03}"),
                            machine_type,
                            zone,
                            spot,
                            free,
                            image_cached,
                            job_tasks_in_zone,
                            job_tasks_on_machine,
                        }
                    },
                )
                .collect();
            let spec = job_spec(resources, spot, machine_type, zone);
            let candidates = machines.iter().map(|machine| Candidate {
                id: &machine.id,
                machine_type: MACHINE_TYPES[machine.machine_type],
                zone: ZONES[machine.zone],
                spot: machine.spot,
                free: Resources {
                    cpus: f64::from(machine.free[0]) / 2.0,
                    gpus: f64::from(machine.free[1]),
                    mem_gb: f64::from(machine.free[2]),
                    report_bytes: LIST_BYTES as f64,
                },
                image_cached: machine.image_cached,
                job_tasks_in_zone: machine.job_tasks_in_zone,
                job_tasks_on_machine: machine.job_tasks_on_machine,
            });
            let selected = pick(&spec, latency_sensitive, candidates)
                .map(|candidate| candidate.id.to_string());
            prop_assert_eq!(
                selected,
                expected_machine(
                    resources,
                    spot,
                    machine_type,
                    zone,
                    latency_sensitive,
                    &machines
                )
            );
            Ok(())
        },
    );
    assert!(result.is_ok(), "{result:?}");
}

/// Returns the status that a shard would report of a machine. Every machine has the image `h`
/// cached, and some also the job's image `i`.
fn machine_status(machine: &ModelMachine) -> MachineStatus {
    MachineStatus {
        id: machine.id.as_str().into(),
        machine_type: MACHINE_TYPES[machine.machine_type].into(),
        zone: ZONES[machine.zone].into(),
        spot: machine.spot,
        reconciled: true,
        has_reported: true,
        registered: true,
        address: None,
        free: Resources {
            cpus: f64::from(machine.free[0]) / 2.0,
            gpus: f64::from(machine.free[1]),
            mem_gb: f64::from(machine.free[2]),
            report_bytes: LIST_BYTES as f64,
        },
        preemptible: Resources::default(),
        preemptible_low: Resources::default(),
        schedulable: true,
        reclaim_notice: false,
        faulty: false,
        ignores_commands: false,
        draining: false,
        tasks: 0,
        images: if machine.image_cached {
            vec!["h".into(), "i".into()]
        } else {
            vec!["h".into()]
        },
    }
}

/// The leader assigns tasks from an index of free capacity, which shrinks during a round. Over
/// a whole round on hundreds of machines, the index must select the same machine as the model
/// for every job, and must reject no job that would fit.
#[test]
fn a_round_on_hundreds_of_machines_assigns_tasks_as_the_model_does() {
    let config = Config {
        cases: 60,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let machine = (
        0..2usize,
        0..3usize,
        any::<bool>(),
        [0..20u32, 0..4u32, 0..24u32],
        any::<bool>(),
    );
    let resources = (
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
        proptest::collection::vec(machine, 200..400),
        proptest::collection::vec(
            (
                resources.prop_map(|(half_cpus, gpus, mem_gb)| [half_cpus, gpus, mem_gb]),
                request,
            ),
            150..200,
        ),
    );
    let result = runner.run(&case, |(generated, jobs)| {
        let mut machines: Vec<ModelMachine> = generated
            .into_iter()
            .enumerate()
            .map(|(index, (machine_type, zone, spot, free, image_cached))| {
                let id = format!("m-{index:03}");
                ModelMachine {
                    id,
                    machine_type,
                    zone,
                    spot,
                    free,
                    image_cached,
                    job_tasks_in_zone: 0,
                    job_tasks_on_machine: 0,
                }
            })
            .collect();
        let mut names = NameInterner::default();
        let slots = machines
            .iter()
            .map(|machine| MachineSlot::new(&machine_status(machine), 0, &mut names))
            .collect();
        let mut capacity = FreeCapacity::new(slots, 0.0);
        for (resources, (spot, machine_type, zone, latency_sensitive)) in jobs {
            let spec = job_spec(resources, spot, machine_type, zone);
            let request = PlacementRequest::new(
                &spec,
                &names,
                Vec::new(),
                latency_sensitive,
                PreemptionScope::Nothing,
            );
            let expected = expected_machine(
                resources,
                spot,
                machine_type,
                zone,
                latency_sensitive,
                &machines,
            );
            if capacity.known_not_to_fit(&request) {
                prop_assert_eq!(None, expected);
                continue;
            }
            let selected = capacity.best_slot(&request, None, None);
            prop_assert_eq!(
                selected.map(|slot| capacity.slots[slot].id.to_string()),
                expected
            );
            match selected {
                Some(slot) => {
                    capacity.allocate(slot, &request.task_resources);
                    machines[slot]
                        .free
                        .iter_mut()
                        .zip(resources)
                        .for_each(|(free, allocated)| *free -= allocated);
                }
                None => capacity.record_no_fit(&request),
            }
        }
        Ok(())
    });
    assert!(result.is_ok(), "{result:?}");
}

/// The number of tasks that fit in a zone, counted in one pass over the machines, must equal
/// the number that can be placed there task by task. After capacity for half of them is
/// allocated at once, as for a gang that waits, exactly the rest must still fit.
#[test]
fn the_count_of_tasks_that_fit_in_a_zone_equals_what_can_be_placed_there() {
    let config = Config {
        cases: 60,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let machine = (
        0..2usize,
        0..3usize,
        any::<bool>(),
        [0..40u32, 0..4u32, 0..48u32],
        any::<bool>(),
    );
    let resources = (
        1..10u32,
        prop_oneof![3 => Just(0u32), 1 => 1..3u32],
        0..12u32,
    );
    let case = (
        proptest::collection::vec(machine, 1..80),
        resources,
        any::<bool>(),
        proptest::option::of(0..2usize),
    );
    let result = runner.run(
        &case,
        |(generated, (half_cpus, gpus, mem_gb), spot, machine_type)| {
            let mut names = NameInterner::default();
            let machines = generated.into_iter().enumerate().map(
                |(index, (machine_type, zone, spot, free, image_cached))| {
                    let id = format!("m-{index:03}");
                    ModelMachine {
                        id,
                        machine_type,
                        zone,
                        spot,
                        free,
                        image_cached,
                        job_tasks_in_zone: 0,
                        job_tasks_on_machine: 0,
                    }
                },
            );
            let slots = machines
                .map(|machine| MachineSlot::new(&machine_status(&machine), 0, &mut names))
                .collect();
            let mut capacity = FreeCapacity::new(slots, 0.0);
            let spec = job_spec([half_cpus, gpus, mem_gb], spot, machine_type, None);
            let request =
                PlacementRequest::new(&spec, &names, Vec::new(), true, PreemptionScope::Nothing);
            let counts = capacity.count_by_zone(&request);
            for zone in ZONES.iter().filter_map(|zone| names.lookup(zone)) {
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
                let allocated = counted.tasks / 2;
                capacity.allocate_in_zones(&request, &[ZoneAllowance::unlimited(zone)], allocated);
                let remaining = capacity
                    .count_by_zone(&request)
                    .get(&zone)
                    .copied()
                    .unwrap_or_default();
                prop_assert_eq!(remaining.tasks, counted.tasks - allocated);
            }
            Ok(())
        },
    );
    assert!(result.is_ok(), "{result:?}");
}

/// Guards against array tasks that fill the last free capacity of on-demand machines. Nearly
/// every new replica of a service then preempted one of these tasks, and all jobs that ended
/// late had lost a task in this way.
#[test]
fn array_tasks_leave_the_capacity_reserved_for_services_free() {
    let machine = |index: usize, spot: bool| ModelMachine {
        id: format!("m-{index}"),
        machine_type: 0,
        zone: 0,
        spot,
        free: [8, 0, 8],
        image_cached: false,
        job_tasks_in_zone: 0,
        job_tasks_on_machine: 0,
    };
    let machines = [machine(0, false), machine(1, false), machine(2, true)];
    let mut names = NameInterner::default();
    let slots = machines
        .iter()
        .map(|machine| MachineSlot::new(&machine_status(machine), 0, &mut names))
        .collect();
    let mut capacity = FreeCapacity::new(slots, 4.0);
    let array = job_spec([2, 0, 1], true, None, None);
    let request =
        PlacementRequest::new(&array, &names, Vec::new(), false, PreemptionScope::Nothing);
    let mut on_spot_machine = Vec::new();
    while let Some(slot) = capacity.best_slot(&request, None, None) {
        capacity.allocate(slot, &request.task_resources);
        on_spot_machine.push(capacity.slots[slot].spot);
    }
    // The spot machine has the CPUs for four tasks. The on-demand machines have them for
    // eight, of which half are reserved.
    assert_eq!(
        on_spot_machine,
        [true, true, true, true, false, false, false, false]
    );
    let service = PlacementRequest::new(
        &array,
        &names,
        Vec::new(),
        false,
        PreemptionScope::AllLowerPriorities,
    );
    assert!(capacity.best_slot(&service, None, None).is_some());
}
