//! The machine registry in the local cache: pages, and records of one machine.

use finchwood::store::cache::{CacheChange, StoreCache};
use finchwood::store::records::RegistryPage;
use finchwood::store::KeyChange;
use serde_json::json;

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

/// A machine is off the machine registry only when no page has it any more, whatever
/// the order of pages; records of one machine, as before, are read too.
#[test]
fn registry_pages_are_added_changed_and_deleted() {
    let mut cache = StoreCache::new(8.0);
    cache.put(
        "fw/r/a.0",
        json!(page(&[("m-1", None), ("m-2", Some("x"))])),
        1,
    );
    assert!(!cache.registry["m-1"].record.in_use && cache.registry["m-2"].record.in_use);
    let old = json!({"b": "k", "z": "e", "s": true, "u": true, "t": 4, "a": "y"});
    assert_eq!(
        cache.put("fw/r/m-9", old, 2),
        CacheChange::Machines(vec!["m-9".into()])
    );
    assert!(cache.registry["m-9"].record.in_use && cache.registry["m-9"].record.spot);
    // Found by another leader as well.
    cache.put("fw/r/b.0", json!(page(&[("m-2", Some("x"))])), 3);
    cache.put("fw/r/a.0", json!(page(&[("m-1", Some("z"))])), 4);
    assert!(cache.registry.contains_key("m-2"), "page b still has it");
    assert!(cache.registry["m-1"].record.in_use);
    assert_eq!(
        cache.put("fw/r/a.0", json!(page(&[])), 3),
        CacheChange::Nothing,
        "older than known"
    );
    cache.apply(KeyChange::Delete {
        key: "fw/r/b.0".into(),
        revision: 5,
    });
    assert!(!cache.registry.contains_key("m-2"));
    assert_eq!(
        cache.put("fw/r/b.0", json!(page(&[("m-2", None)])), 4),
        CacheChange::Nothing,
        "deleted since"
    );
    assert!(!cache.registry.contains_key("m-2"));
    assert!(
        cache.put("fw/r/c.0", json!({"m": 7}), 6) == CacheChange::Nothing,
        "nonsense changes nothing"
    );
}
