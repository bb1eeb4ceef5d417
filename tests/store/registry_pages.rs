//! The pages of the machine registry: the order in which they are written, and how a page that
//! is larger than the key-value store accepts is replaced.

use finchwood::store::cache::StoreCache;
use finchwood::store::records::RegistryPage;
use finchwood::store::registry_pages::{
    split_oversized_pages, write_conditions, PageLimit, PageQueue, Pages,
};
use finchwood::store::Condition;
use serde_json::json;
use std::sync::Arc;

fn page(machines: usize) -> RegistryPage {
    RegistryPage {
        machine_type: "k".into(),
        zone: "e".into(),
        spot: false,
        rented_at_ms: 0,
        machines: (0..machines)
            .map(|index| (format!("m-{index:06}").into(), None))
            .collect(),
    }
}

/// Guards against starvation: only two pages are written in each round, while the three that
/// come first in key order change in every round.
#[test]
fn no_page_starves_and_pages_that_lose_machines_are_written_first() {
    let mut queue = PageQueue::default();
    let mut waiting = Pages::new();
    let mut written: Vec<Arc<str>> = Vec::new();
    waiting.insert("z".into(), page(3));
    for round in 0..4 {
        for name in ["a", "b", "c"] {
            waiting.insert(name.into(), page(3));
        }
        for (key, _) in queue
            .write_order(waiting.clone(), |_| Some(3), f64::from(round))
            .into_iter()
            .take(2)
        {
            waiting.remove(&key);
            queue.record_write(&key);
            written.push(key);
        }
    }
    assert!(
        written.iter().any(|key| **key == *"z"),
        "page z was never written, only {written:?}"
    );
    waiting.insert("y".into(), page(2));
    let next = queue.write_order(waiting, |_| Some(3), 9.0);
    assert_eq!(
        &*next[0].0, "y",
        "the page that loses a machine is not written first"
    );
}

/// A leader of the previous version has written a page of 128 machines, which is larger than
/// the new limit of two kilobytes, and still writes it while it is replaced. At no time may a
/// machine be on no page, or a used machine be marked as never used.
#[test]
fn an_oversized_page_is_deleted_only_after_its_replacements_are_stored() {
    let limit = PageLimit::new(2048);
    let mut cache = StoreCache::new(16.0);
    let mut revision = 1;
    let mut oversized = page(128);
    cache.put("fw/r/found-7-1.0", json!(oversized), revision);
    let mut deleted = false;
    for round in 0..20 {
        let mut to_write = Pages::new();
        let deletion_conditions =
            split_oversized_pages(&mut to_write, &cache.registry_pages, limit);
        for (key, page) in to_write {
            revision += 1;
            if page.machines.is_empty() {
                // The page is deleted on condition that its replacements are unchanged.
                let unchanged = deletion_conditions[&key].iter().all(|condition| {
                    cache.registry_pages[condition.key.as_str()].revision == condition.revision
                });
                assert!(unchanged && !deletion_conditions[&key].is_empty());
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
        // Meanwhile the leader of the previous version marks a machine as used.
        if round < 3 && !deleted {
            let id: Arc<str> = format!("m-{:06}", round * 40).into();
            oversized.machines.insert(id, Some("10.0.0.1:9000".into()));
            revision += 1;
            cache.put("fw/r/found-7-1.0", json!(oversized), revision);
        }
    }
    assert!(deleted);
    let used_machines = cache
        .registry
        .values()
        .filter(|machine| machine.record.in_use)
        .count();
    assert_eq!(
        used_machines,
        oversized
            .machines
            .values()
            .filter(|address| address.is_some())
            .count()
    );
    assert!(cache
        .registry_pages
        .values()
        .all(|page| json!(page.value).to_string().len() <= 2048));
}

/// Guards against marks of use, and second pages of a machine, by a leader that has been deposed
/// (review, cases 1 and 2).
#[test]
fn a_page_is_written_only_in_the_epoch_of_its_writer() {
    let conditions = write_conditions("fw/r/fw-1-1.0", 11, 19);
    assert!(conditions.contains(&Condition::new("fw/r/fw-1-1.0", 11)));
    assert!(conditions.contains(&Condition::new("fw/epoch", 19)));
}
