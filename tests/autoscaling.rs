//! The autoscaler's plans: which machines are rented in addition to those that are booting,
//! and which are returned, drained or consolidated.

use finchwood::autoscaler::{
    plan_draining, plan_scale_in, plan_scale_out, rental_backlog_is_full, select_for_consolidation,
    BootProgress, BootingMachine, MachineOffer, MachineUsage, PendingDemand, ScalingPolicy,
};
use finchwood::wire::{Catalog, JobKind, JobSpec, Priority, Resources};
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The nominal boot time of the machine type, in seconds.
const BOOT_S: f64 = 20.0;

/// Returns a catalog with one machine type of four CPUs, in two zones.
fn catalog() -> Catalog {
    let machine_type = json!({"name": "k", "cpus": 4.0, "accelerators": 0.0, "mem_gb": 16.0, "cache_gb": 9.0,
        "pull_gb_per_s": 1.0, "hourly": 1.0, "spot_price": 0.3, "ready_s": BOOT_S, "groves": ["e", "w"]});
    serde_json::from_value(json!({ "breeds": [machine_type] })).expect("a catalog")
}

/// Returns the offer of the machine type in a zone.
fn offer(zone: &str, spot: bool) -> MachineOffer {
    MachineOffer {
        machine_type: "k".into(),
        zone: zone.into(),
        spot,
    }
}

/// Returns the specification of an array job whose tasks need two CPUs each and may run on
/// spot machines.
fn spec(id: &str, tasks: u32, priority: Priority) -> Arc<JobSpec> {
    let spec = json!({
        "id": id, "flock": "f", "nest": "t", "shape": "array", "rank": priority, "chicks": tasks, "cpus": 2.0,
        "accelerators": 0.0, "mem_gb": 1.0, "egg": "i", "size_gb": 1.0, "one_zone": false, "scatter": false,
        "windfall": true, "guess_s": 10.0, "molt_s": 0.0, "stash_s": 0.0
    });
    Arc::new(serde_json::from_value(spec).expect("a spec"))
}

/// Returns the demand of `count` pending low-priority tasks, each of which fills a machine.
fn low_priority_demand(count: u32, spot_only: bool) -> PendingDemand {
    let spec = Arc::new(JobSpec {
        cpus: 4.0,
        ..(*spec("wk-1", count, Priority::Low)).clone()
    });
    PendingDemand {
        task_resources: spec.task_resources(),
        count,
        spec,
        age_s: 99.0,
        spot_only,
        tasks_in_zone: BTreeMap::new(),
    }
}

/// Returns the numbers of spot and of on-demand machines that are rented for `demand`, in
/// addition to those that are booting.
fn rented_machines(
    demand: PendingDemand,
    booting: &[BootingMachine],
    spot_available: bool,
) -> (u32, u32) {
    let is_blocked = |offer: &MachineOffer| offer.spot && !spot_available;
    let policy = ScalingPolicy::default();
    let rentals = plan_scale_out(
        &[demand],
        booting,
        &BTreeMap::new(),
        &catalog(),
        &policy,
        &is_blocked,
    );
    let count = |spot: bool| {
        rentals
            .iter()
            .filter(|(offer, _)| offer.spot == spot)
            .map(|(_, count)| count)
            .sum()
    };
    (count(true), count(false))
}

#[test]
fn no_on_demand_machines_are_rented_for_spot_only_demand() {
    assert_eq!(
        rented_machines(low_priority_demand(3, true), &[], true),
        (3, 0)
    );
    assert_eq!(
        rented_machines(low_priority_demand(3, true), &[], false),
        (0, 0)
    );
    assert_eq!(
        rented_machines(low_priority_demand(3, false), &[], false),
        (0, 3)
    );
}

#[test]
fn overdue_machines_are_not_planned_with_and_time_out_later() {
    let policy = ScalingPolicy::default();
    let progress = |age_s| policy.boot_progress(age_s, BOOT_S);
    assert_eq!(
        progress(BOOT_S * 1.6),
        BootProgress::Expected,
        "booting usually takes up to 1.6 times the nominal boot time"
    );
    assert_eq!(progress(BOOT_S * 2.0), BootProgress::Overdue);
    assert_eq!(progress(BOOT_S * 4.0), BootProgress::TimedOut);
    let booting = |age_s| BootingMachine {
        id: "m-1".into(),
        offer: offer("e", true),
        age_s,
    };
    assert_eq!(
        rented_machines(low_priority_demand(2, false), &[booting(BOOT_S)], true),
        (1, 0),
        "one machine is expected to boot in time, so that only one more is rented"
    );
    assert_eq!(
        rented_machines(
            low_priority_demand(2, false),
            &[booting(BOOT_S * 2.0)],
            true
        ),
        (2, 0),
        "an overdue machine is not planned with, so that two machines are rented"
    );
}

#[test]
fn rentals_wait_while_earlier_ones_are_unanswered() {
    assert!(!rental_backlog_is_full(0, 4.0) && !rental_backlog_is_full(3, 4.0));
    assert!(rental_backlog_is_full(4, 4.0));
    assert!(
        rental_backlog_is_full(1, 1.0),
        "with a limit of one request per second, only one rental may be unanswered at a time"
    );
}

#[test]
fn rentals_count_booting_machines_and_spread_replicas_over_zones() {
    let catalog = catalog();
    let policy = ScalingPolicy::default();
    let mut spec = (*spec("wk-1", 4, Priority::Prod)).clone();
    spec.job_kind = JobKind::Service;
    spec.spot = false;
    spec.scatter = true;
    let demand = PendingDemand {
        tasks_in_zone: BTreeMap::new(),
        task_resources: spec.task_resources(),
        count: 4,
        spec: Arc::new(spec),
        age_s: 0.0,
        spot_only: false,
    };
    let on_demand_in_zone = BTreeMap::new();
    let rentals = plan_scale_out(
        std::slice::from_ref(&demand),
        &[],
        &on_demand_in_zone,
        &catalog,
        &policy,
        &|_| false,
    );
    let per_zone: Vec<u32> = rentals.values().copied().collect();
    assert_eq!(
        per_zone,
        [1, 1],
        "two replicas fit on a machine, and half of the four go to each zone: {rentals:?}"
    );
    let booting: Vec<BootingMachine> = rentals
        .keys()
        .map(|offer| BootingMachine {
            id: "".into(),
            offer: offer.clone(),
            age_s: 1.0,
        })
        .collect();
    assert!(plan_scale_out(
        std::slice::from_ref(&demand),
        &booting,
        &on_demand_in_zone,
        &catalog,
        &policy,
        &|_| false
    )
    .is_empty());
    // If all offers are blocked, nothing is rented.
    assert!(plan_scale_out(
        &[demand],
        &[],
        &on_demand_in_zone,
        &catalog,
        &policy,
        &|_| true
    )
    .is_empty());
}

#[test]
fn only_low_priority_jobs_wait_for_spot_machines() {
    let catalog = catalog();
    let policy = ScalingPolicy::default();
    let is_blocked = |offer: &MachineOffer| offer.spot;
    let rented_count = |priority, age_s| {
        let spec = spec("wk-1", 4, priority);
        let demand = PendingDemand {
            tasks_in_zone: BTreeMap::new(),
            task_resources: spec.task_resources(),
            count: 2,
            spec,
            age_s,
            spot_only: false,
        };
        plan_scale_out(
            &[demand],
            &[],
            &BTreeMap::new(),
            &catalog,
            &policy,
            &is_blocked,
        )
        .values()
        .sum::<u32>()
    };
    assert_eq!(
        (
            rented_count(Priority::Low, 1.0),
            rented_count(Priority::Low, 60.0),
            rented_count(Priority::Standard, 1.0)
        ),
        (0, 1, 1)
    );
}

#[test]
fn scale_in_keeps_headroom_and_draining_skips_machines_with_replicas() {
    let catalog = catalog();
    let policy = ScalingPolicy::default();
    let machine = |id: &str, used_cpus: f64, has_replicas: bool| MachineUsage {
        id: id.into(),
        offer: offer("e", false),
        free: Resources {
            cpus: 4.0 - used_cpus,
            gpus: 0.0,
            mem_gb: 16.0,
            ..Resources::default()
        },
        idle_s: if used_cpus > 0.0 { 0.0 } else { 100.0 },
        age_s: 200.0,
        tasks: used_cpus as u32,
        schedulable: true,
        pinned_cpus: if has_replicas { used_cpus } else { 0.0 },
    };
    let fleet = [
        machine("m-1", 0.0, false),
        machine("m-2", 0.0, false),
        machine("m-3", 2.0, true),
    ];
    assert_eq!(
        plan_scale_in(&fleet, &catalog, 6.0, &policy),
        vec![Arc::<str>::from("m-1")]
    );
    assert!(plan_scale_in(&fleet, &catalog, 10.0, &policy).is_empty());
    let busy = [
        machine("m-1", 1.0, false),
        machine("m-2", 0.5, true),
        machine("m-3", 0.5, true),
    ];
    assert_eq!(
        plan_draining(&busy, &catalog, 2.0, &policy),
        [Arc::<str>::from("m-1")]
    );
    assert!(plan_draining(&busy, &catalog, 9.0, &policy).is_empty());
}

#[test]
fn consolidation_requires_twice_the_free_capacity_in_the_same_zone() {
    let catalog = catalog();
    let machine = |id: &str, zone: &str, used_cpus: f64, spot: bool| MachineUsage {
        id: id.into(),
        offer: offer(zone, spot),
        free: Resources {
            cpus: 4.0 - used_cpus,
            gpus: 0.0,
            mem_gb: 16.0,
            ..Resources::default()
        },
        idle_s: 0.0,
        age_s: 200.0,
        tasks: used_cpus as u32,
        schedulable: true,
        pinned_cpus: if spot { 0.0 } else { used_cpus },
    };
    let selected = |fleet: &[MachineUsage], headroom_cpus: f64| {
        select_for_consolidation(fleet, &catalog, headroom_cpus)
            .map(|machine| machine.id.to_string())
    };
    let fleet = [
        machine("m-1", "e", 2.0, false),
        machine("m-2", "e", 1.0, false),
        machine("m-3", "e", 1.0, false),
    ];
    assert_eq!(
        selected(&fleet, 1.0).as_deref(),
        Some("m-2"),
        "the machine with the fewest CPUs to move is selected"
    );
    assert_eq!(
        selected(&fleet, 2.5),
        None,
        "twice the headroom must stay free"
    );
    let spread_fleet = [
        machine("m-1", "e", 1.0, false),
        machine("m-2", "w", 1.0, false),
        machine("m-3", "e", 1.0, true),
    ];
    assert_eq!(
        selected(&spread_fleet, 0.0),
        None,
        "replicas are moved neither to another zone nor to spot machines"
    );
}
