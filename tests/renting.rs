//! What is rented, and what is still expected of machines that were.

use finchwood::rent::{cloud_is_behind, rent, BootProgress, Booting, RentSettings, Want};
use finchwood::wire::{Catalog, JobSpec, Rank};
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::Arc;

const BOOT_S: f64 = 20.0;

fn catalog() -> Catalog {
    let machine_type = json!({"name": "k", "cpus": 4.0, "accelerators": 0.0, "mem_gb": 16.0, "cache_gb": 9.0,
        "pull_gb_per_s": 1.0, "hourly": 1.0, "spot_price": 0.3, "ready_s": BOOT_S, "groves": ["e"]});
    serde_json::from_value(json!({ "breeds": [machine_type] })).expect("a catalogue")
}

fn want(count: u32, spot_only: bool) -> Want {
    let spec = json!({
        "id": "wk-1", "flock": "f", "nest": "t", "shape": "array", "rank": "low", "chicks": count, "cpus": 4.0,
        "accelerators": 0.0, "mem_gb": 1.0, "egg": "i", "size_gb": 1.0, "one_zone": false, "scatter": false,
        "windfall": true, "guess_s": 10.0, "molt_s": 0.0, "stash_s": 0.0
    });
    let spec: Arc<JobSpec> = Arc::new(serde_json::from_value(spec).expect("a spec"));
    assert_eq!(spec.rank, Rank::Low);
    Want { ask: spec.ask(), count, spec, age_s: 99.0, spot_only, zones: BTreeMap::new() }
}

/// Spot and ordinary machines that are rented for work, beside those that boot.
fn rented(want: Want, booting: &[Booting], spot_to_be_had: bool) -> (u32, u32) {
    let blocked = |offer: &(Arc<str>, Arc<str>, bool)| offer.2 && !spot_to_be_had;
    let settings = RentSettings::default();
    let orders = rent(&[want], booting, &BTreeMap::new(), &catalog(), &settings, &blocked);
    let of_kind = |spot: bool| orders.iter().filter(|(offer, _)| offer.2 == spot).map(|(_, n)| n).sum();
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
    let settings = RentSettings::default();
    let progress = |age_s| settings.boot_progress(age_s, BOOT_S);
    assert_eq!(progress(BOOT_S * 1.6), BootProgress::Expected, "boots usually take up to 1.6 times as long");
    assert_eq!(progress(BOOT_S * 2.0), BootProgress::Late);
    assert_eq!(progress(BOOT_S * 4.0), BootProgress::Never);
    let booting = |age_s| Booting { id: "m-1".into(), offer: ("k".into(), "e".into(), true), age_s };
    assert_eq!(rented(want(2, false), &[booting(BOOT_S)], true), (1, 0), "one comes already");
    assert_eq!(rented(want(2, false), &[booting(BOOT_S * 2.0)], true), (2, 0), "nobody counts on it");
}

#[test]
fn rentals_wait_while_the_cloud_is_behind() {
    assert!(!cloud_is_behind(0, 4.0) && !cloud_is_behind(3, 4.0));
    assert!(cloud_is_behind(4, 4.0));
    assert!(cloud_is_behind(1, 1.0), "one request at a time where one a second is allowed");
}
