//! The machine registry in the local cache, read from pages and from records of single
//! machines.

use finchwood::store::cache::{CacheChange, StoreCache};
use finchwood::store::records::RegistryPage;
use finchwood::store::{KeyChange, KeyValue};
use proptest::prelude::*;
use serde_json::json;
use std::collections::BTreeSet;

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

/// Guards against a machine in use that counts as unused, because a late write has created a
/// second page without the mark, and this page is read first (review, case 1).
#[test]
fn a_late_page_without_the_mark_does_not_hide_that_a_machine_is_in_use() {
    let found_late = KeyValue {
        key: "fw/r/found-2-1.0".into(),
        value: json!(page(&[("m-1", None)])),
        revision: 17,
    };
    let rented = KeyValue {
        key: "fw/r/fw-1-1.0".into(),
        value: json!(page(&[("m-1", Some("x"))])),
        revision: 11,
    };
    for entries in [
        vec![found_late.clone(), rented.clone()],
        vec![rented.clone(), found_late.clone()],
    ] {
        let mut cache = StoreCache::new(8.0);
        cache.load(entries);
        let registered = &cache.registry["m-1"];
        assert!(
            registered.record.in_use,
            "the page that was read first counts"
        );
        assert_eq!(registered.record.address.as_deref(), Some("x"));
        assert_eq!(
            registered.unmarked_page_keys,
            [std::sync::Arc::from("fw/r/found-2-1.0")]
        );
        cache.apply(KeyChange::Delete {
            key: found_late.key.clone(),
            revision: 18,
        });
        assert!(cache.registry["m-1"].record.in_use);
    }
}

const PAGES: [&str; 3] = ["fw/r/a.0", "fw/r/b.0", "fw/r/c.0"];
const MACHINES: [&str; 3] = ["m-1", "m-2", "m-3"];

/// The contents of a page: of each machine, whether it is absent, listed or marked as in use.
type PageContents = [Option<bool>; 3];

fn put(key: &str, contents: PageContents, revision: u64) -> KeyChange {
    let machines: Vec<(&str, Option<&str>)> = MACHINES
        .into_iter()
        .zip(contents)
        .filter_map(|(id, listed)| listed.map(|marked| (id, marked.then_some("x"))))
        .collect();
    if machines.is_empty() {
        return KeyChange::Delete {
            key: key.into(),
            revision,
        };
    }
    KeyChange::Put {
        key: key.into(),
        value: json!(page(&machines)),
        revision,
    }
}

proptest! {
    /// The registry depends only on the pages as they are now: a plain model that looks at all
    /// of them agrees, whether they were read as changes, again, or at once in any order.
    #[test]
    fn the_registry_does_not_depend_on_the_order_in_which_pages_are_read(
        changes in prop::collection::vec(
            (0..PAGES.len(), prop::array::uniform3(prop::option::of(any::<bool>()))), 1..12),
        order in Just(vec![0, 1, 2]).prop_shuffle(),
        repeated in 0..12usize,
    ) {
        let mut stored: [PageContents; 3] = [[None; 3]; 3];
        let mut cache = StoreCache::new(8.0);
        let mut log = Vec::new();
        for (index, (page, contents)) in changes.iter().enumerate() {
            stored[*page] = *contents;
            log.push(put(PAGES[*page], *contents, index as u64 + 1));
        }
        for change in log.iter().chain(log.get(repeated)) {
            cache.apply(change.clone());
        }
        let mut snapshot = StoreCache::new(8.0);
        let entries = order.iter().filter_map(|&page| match put(PAGES[page], stored[page], 20) {
            KeyChange::Put { key, value, revision } => Some(KeyValue { key, value, revision }),
            KeyChange::Delete { .. } => None,
        });
        snapshot.load(entries.collect());
        prop_assert_eq!(&cache.registry, &snapshot.registry);
        for (index, id) in MACHINES.into_iter().enumerate() {
            let listed: BTreeSet<bool> = stored.iter().filter_map(|page| page[index]).collect();
            let registered = snapshot.registry.get(id);
            prop_assert_eq!(registered.is_some(), !listed.is_empty());
            let in_use = registered.is_some_and(|machine| machine.record.in_use);
            prop_assert_eq!(in_use, listed.contains(&true));
        }
    }
}
