//! Pages of the machine registry: who is written first, and how a page that is longer than
//! the key-value store will take is replaced.

use finchwood::store::cache::StoreCache;
use finchwood::store::records::RegistryPage;
use finchwood::store::registry_pages::{split_oversized_pages, PageLimit, PageQueue, Pages};
use serde_json::json;
use std::sync::Arc;

fn page(machines: usize) -> RegistryPage {
    RegistryPage {
        machine_type: "k".into(),
        zone: "e".into(),
        spot: false,
        rented_at_ms: 0,
        machines: (0..machines)
            .map(|i| (format!("m-{i:06}").into(), None))
            .collect(),
    }
}

/// Two pages are written at a time, and the first two change all the while.
#[test]
fn pages_get_their_turn_and_those_that_shrink_go_first() {
    let mut queue = PageQueue::default();
    let mut open = Pages::new();
    let mut written: Vec<Arc<str>> = Vec::new();
    open.insert("z".into(), page(3));
    for round in 0..4 {
        for name in ["a", "b", "c"] {
            open.insert(name.into(), page(3));
        }
        for (key, _) in queue
            .write_order(open.clone(), |_| Some(3), f64::from(round))
            .into_iter()
            .take(2)
        {
            open.remove(&key);
            queue.record_write(&key);
            written.push(key);
        }
    }
    assert!(
        written.iter().any(|k| **k == *"z"),
        "never written: {written:?}"
    );
    open.insert("y".into(), page(2));
    let next = queue.write_order(open, |_| Some(3), 9.0);
    assert_eq!(&*next[0].0, "y", "a machine is gone from it");
}

/// A leader of the version before has written a page of 128 machines; values
/// will be of two kilobytes. At no moment is a machine on no page or marked as
/// never used that was, whoever writes in between.
#[test]
fn a_long_page_is_replaced_by_copies_and_only_then_deleted() {
    let limit = PageLimit::new(2048);
    let mut cache = StoreCache::new(16.0);
    let mut revision = 1;
    let mut long = page(128);
    cache.put("fw/r/found-7-1.0", json!(long), revision);
    let mut deleted = false;
    for round in 0..20 {
        let mut to_write = Pages::new();
        let copies = split_oversized_pages(&mut to_write, &cache.registry_pages, limit);
        for (key, page) in to_write {
            revision += 1;
            if page.machines.is_empty() {
                // Only if neither the page nor its copies have changed.
                let same = copies[&key]
                    .iter()
                    .all(|copy| cache.registry_pages[copy.key.as_str()].revision == copy.revision);
                assert!(same && !copies[&key].is_empty());
                cache.apply(finchwood::store::KeyChange::Delete {
                    key: key.to_string(),
                    revision,
                });
                deleted = true;
            } else {
                assert!(json!(page).to_string().len() <= 2048);
                cache.put(&key, json!(page), revision);
            }
            assert_eq!(cache.registry.len(), 128, "round {round}");
        }
        // Meanwhile the old leader marks a machine as up.
        if round < 3 && !deleted {
            let id: Arc<str> = format!("m-{:06}", round * 40).into();
            long.machines.insert(id, Some("10.0.0.1:9000".into()));
            revision += 1;
            cache.put("fw/r/found-7-1.0", json!(long), revision);
        }
    }
    assert!(deleted);
    let up = cache
        .registry
        .values()
        .filter(|machine| machine.record.in_use)
        .count();
    assert_eq!(up, long.machines.values().filter(|a| a.is_some()).count());
    assert!(cache
        .registry_pages
        .values()
        .all(|p| json!(p.value).to_string().len() <= 2048));
}
