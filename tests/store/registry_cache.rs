//! The machine registry in the local cache, read from pages and from records of single
//! machines.

use finchwood::store::cache::{CacheChange, StoreCache};
use finchwood::store::records::RegistryPage;
use finchwood::store::KeyChange;
use serde_json::json;

fn page(machines: &[(&str, Option<&str>)]) -> RegistryPage {
    RegistryPage {
        machine_type: "k".into(),
        zone: "e".into(),
        spot: false,
        rented_at_ms: 5,
        machines: machines
            .iter()
            .map(|(id, address)| ((*id).into(), address.map(Into::into)))
            .collect(),
    }
}

/// A machine is removed from the registry only when no page lists it any more, in whatever
/// order the pages change. Records of single machines, as earlier versions write them, are
/// read too.
#[test]
fn registry_pages_are_added_changed_and_deleted() {
    let mut cache = StoreCache::new(8.0);
    cache.put(
        "fw/r/a.0",
        json!(page(&[("m-1", None), ("m-2", Some("x"))])),
        1,
    );
    assert!(!cache.registry["m-1"].record.in_use && cache.registry["m-2"].record.in_use);
    let single_machine_record = json!({"b": "k", "z": "e", "s": true, "u": true, "t": 4, "a": "y"});
    assert_eq!(
        cache.put("fw/r/m-9", single_machine_record, 2),
        CacheChange::Machines(vec!["m-9".into()])
    );
    assert!(cache.registry["m-9"].record.in_use && cache.registry["m-9"].record.spot);
    // Another leader has found machine m-2 too and put it on a page of its own.
    cache.put("fw/r/b.0", json!(page(&[("m-2", Some("x"))])), 3);
    cache.put("fw/r/a.0", json!(page(&[("m-1", Some("z"))])), 4);
    assert!(
        cache.registry.contains_key("m-2"),
        "m-2 was removed although page b lists it"
    );
    assert!(cache.registry["m-1"].record.in_use);
    assert_eq!(
        cache.put("fw/r/a.0", json!(page(&[])), 3),
        CacheChange::Nothing,
        "a put with a revision older than the cached one was applied"
    );
    cache.apply(KeyChange::Delete {
        key: "fw/r/b.0".into(),
        revision: 5,
    });
    assert!(!cache.registry.contains_key("m-2"));
    assert_eq!(
        cache.put("fw/r/b.0", json!(page(&[("m-2", None)])), 4),
        CacheChange::Nothing,
        "a put older than the deletion of the page was applied"
    );
    assert!(!cache.registry.contains_key("m-2"));
    assert!(
        cache.put("fw/r/c.0", json!({"m": 7}), 6) == CacheChange::Nothing,
        "an invalid record was applied"
    );
}
