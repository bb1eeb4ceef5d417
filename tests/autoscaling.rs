//! What is rented, and what is still expected of machines that were.

use finchwood::autoscaler::{
    plan_draining, plan_scale_in, plan_scale_out, rental_backlog_is_full, select_for_consolidation,
    BootProgress, BootingMachine, MachineOffer, MachineUsage, PendingDemand, ScalingPolicy,
};
use finchwood::wire::{Catalog, JobKind, JobSpec, Priority, Resources};
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::Arc;

const BOOT_S: f64 = 20.0;

fn catalog() -> Catalog {
    let machine_type = json!({"name": "k", "cpus": 4.0, "accelerators": 0.0, "mem_gb": 16.0, "cache_gb": 9.0,
        "pull_gb_per_s": 1.0, "hourly": 1.0, "spot_price": 0.3, "ready_s": BOOT_S, "groves": ["e", "w"]});
    serde_json::from_value(json!({ "breeds": [machine_type] })).expect("a catalogue")
}

fn offer(zone: &str, spot: bool) -> MachineOffer {
    MachineOffer {
        machine_type: "k".into(),
        zone: zone.into(),
        spot,
    }
}

fn spec(id: &str, tasks: u32, priority: Priority) -> Arc<JobSpec> {
    let spec = json!({
        "id": id, "flock": "f", "nest": "t", "shape": "array", "rank": priority, "chicks": tasks, "cpus": 2.0,
        "accelerators": 0.0, "mem_gb": 1.0, "egg": "i", "size_gb": 1.0, "one_zone": false, "scatter": false,
        "windfall": true, "guess_s": 10.0, "molt_s": 0.0, "stash_s": 0.0
    });
    Arc::new(serde_json::from_value(spec).expect("a spec"))
}

/// Low tasks that fill a machine each.
fn want(count: u32, spot_only: bool) -> PendingDemand {
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

/// Spot and ordinary machines that are rented for work, beside those that boot.
fn rented(demand: PendingDemand, booting: &[BootingMachine], spot_to_be_had: bool) -> (u32, u32) {
    let blocked = |offer: &MachineOffer| offer.spot && !spot_to_be_had;
    let settings = ScalingPolicy::default();
    let orders = plan_scale_out(
        &[demand],
        booting,
        &BTreeMap::new(),
        &catalog(),
        &settings,
        &blocked,
    );
    let of_kind = |spot: bool| {
        orders
            .iter()
            .filter(|(offer, _)| offer.spot == spot)
            .map(|(_, n)| n)
            .sum()
    };
    (of_kind(true), of_kind(false))
}

#[test]
fn work_that_waits_for_spot_machines_has_no_ordinary_ones_rented() {
    assert_eq!(rented(want(3, true), &[], true), (3, 0));
    assert_eq!(rented(want(3, true), &[], false), (0, 0));
    assert_eq!(rented(want(3, false), &[], false), (0, 3));
}

#[test]
fn a_machine_that_is_late_is_not_counted_on_and_one_that_never_comes_is_given_up() {
    let settings = ScalingPolicy::default();
    let progress = |age_s| settings.boot_progress(age_s, BOOT_S);
    assert_eq!(
        progress(BOOT_S * 1.6),
        BootProgress::Expected,
        "boots usually take up to 1.6 times as long"
    );
    assert_eq!(progress(BOOT_S * 2.0), BootProgress::Overdue);
    assert_eq!(progress(BOOT_S * 4.0), BootProgress::TimedOut);
    let booting = |age_s| BootingMachine {
        id: "m-1".into(),
        offer: offer("e", true),
        age_s,
    };
    assert_eq!(
        rented(want(2, false), &[booting(BOOT_S)], true),
        (1, 0),
        "one comes already"
    );
    assert_eq!(
        rented(want(2, false), &[booting(BOOT_S * 2.0)], true),
        (2, 0),
        "nobody counts on it"
    );
}

#[test]
fn rentals_wait_while_the_cloud_is_behind() {
    assert!(!rental_backlog_is_full(0, 4.0) && !rental_backlog_is_full(3, 4.0));
    assert!(rental_backlog_is_full(4, 4.0));
    assert!(
        rental_backlog_is_full(1, 1.0),
        "one request at a time where one a second is allowed"
    );
}

#[test]
fn renting_counts_what_is_coming_and_spreads_replicas() {
    let catalog = catalog();
    let settings = ScalingPolicy::default();
    let mut s = (*spec("wk-1", 4, Priority::Prod)).clone();
    s.job_kind = JobKind::Service;
    s.spot = false;
    s.scatter = true;
    let demand = PendingDemand {
        tasks_in_zone: BTreeMap::new(),
        task_resources: s.task_resources(),
        count: 4,
        spec: Arc::new(s),
        age_s: 0.0,
        spot_only: false,
    };
    let zones = BTreeMap::new();
    let orders = plan_scale_out(
        std::slice::from_ref(&demand),
        &[],
        &zones,
        &catalog,
        &settings,
        &|_| false,
    );
    let per_zone: Vec<u32> = orders.values().copied().collect();
    assert_eq!(
        per_zone,
        [1, 1],
        "two fit a machine, half of four a zone: {orders:?}"
    );
    let coming: Vec<BootingMachine> = orders
        .keys()
        .map(|o| BootingMachine {
            id: "".into(),
            offer: o.clone(),
            age_s: 1.0,
        })
        .collect();
    assert!(plan_scale_out(
        std::slice::from_ref(&demand),
        &coming,
        &zones,
        &catalog,
        &settings,
        &|_| false
    )
    .is_empty());
    // Where nothing is to be had, nothing is asked for.
    assert!(plan_scale_out(&[demand], &[], &zones, &catalog, &settings, &|_| true).is_empty());
}

#[test]
fn low_work_waits_for_spot_and_the_rest_does_not() {
    let catalog = catalog();
    let settings = ScalingPolicy::default();
    let no_spot = |o: &MachineOffer| o.spot;
    let count = |priority, age_s| {
        let s = spec("wk-1", 4, priority);
        let demand = PendingDemand {
            tasks_in_zone: BTreeMap::new(),
            task_resources: s.task_resources(),
            count: 2,
            spec: s,
            age_s,
            spot_only: false,
        };
        plan_scale_out(
            &[demand],
            &[],
            &BTreeMap::new(),
            &catalog,
            &settings,
            &no_spot,
        )
        .values()
        .sum::<u32>()
    };
    assert_eq!(
        (
            count(Priority::Low, 1.0),
            count(Priority::Low, 60.0),
            count(Priority::Standard, 1.0)
        ),
        (0, 1, 1)
    );
}

#[test]
fn spare_room_and_machines_with_replicas_are_not_given_up() {
    let catalog = catalog();
    let settings = ScalingPolicy::default();
    let machine = |id: &str, used: f64, stays: bool| MachineUsage {
        id: id.into(),
        offer: offer("e", false),
        free: Resources {
            cpus: 4.0 - used,
            gpus: 0.0,
            mem_gb: 16.0,
        },
        idle_s: if used > 0.0 { 0.0 } else { 100.0 },
        age_s: 200.0,
        tasks: used as u32,
        schedulable: true,
        pinned_cpus: if stays { used } else { 0.0 },
    };
    let fleet = [
        machine("m-1", 0.0, false),
        machine("m-2", 0.0, false),
        machine("m-3", 2.0, true),
    ];
    assert_eq!(
        plan_scale_in(&fleet, &catalog, 6.0, &settings),
        vec![Arc::<str>::from("m-1")]
    );
    assert!(plan_scale_in(&fleet, &catalog, 10.0, &settings).is_empty());
    let busy = [
        machine("m-1", 1.0, false),
        machine("m-2", 0.5, true),
        machine("m-3", 0.5, true),
    ];
    assert_eq!(
        plan_draining(&busy, &catalog, 2.0, &settings),
        [Arc::<str>::from("m-1")]
    );
    assert!(plan_draining(&busy, &catalog, 9.0, &settings).is_empty());
}

#[test]
fn replicas_move_only_where_the_rest_has_room_to_spare() {
    let catalog = catalog();
    let machine = |id: &str, zone: &str, used: f64, spot: bool| MachineUsage {
        id: id.into(),
        offer: offer(zone, spot),
        free: Resources {
            cpus: 4.0 - used,
            gpus: 0.0,
            mem_gb: 16.0,
        },
        idle_s: 0.0,
        age_s: 200.0,
        tasks: used as u32,
        schedulable: true,
        pinned_cpus: if spot { 0.0 } else { used },
    };
    let chosen = |fleet: &[MachineUsage], spare: f64| {
        select_for_consolidation(fleet, &catalog, spare).map(|m| m.id.to_string())
    };
    let fleet = [
        machine("m-1", "e", 2.0, false),
        machine("m-2", "e", 1.0, false),
        machine("m-3", "e", 1.0, false),
    ];
    assert_eq!(chosen(&fleet, 1.0).as_deref(), Some("m-2"), "the emptiest");
    assert_eq!(
        chosen(&fleet, 2.5),
        None,
        "what is spare stays free twice over"
    );
    let apart = [
        machine("m-1", "e", 1.0, false),
        machine("m-2", "w", 1.0, false),
        machine("m-3", "e", 1.0, true),
    ];
    assert_eq!(
        chosen(&apart, 0.0),
        None,
        "not to another zone, not to spot machines"
    );
}
