//! Building and parsing the keys of the key-value store.

use finchwood::finished::Chunk;
use finchwood::store::keys::{
    job_key, member_key, page_key, StoreKey, CATALOG_KEY, EPOCH_KEY, KEY_PREFIX, SHARD_MAP_KEY,
};

#[test]
fn fixed_keys_are_parsed() {
    assert_eq!(EPOCH_KEY, "fw/epoch");
    assert_eq!(StoreKey::parse(EPOCH_KEY), Some(StoreKey::Epoch));

    assert_eq!(CATALOG_KEY, "fw/c");
    assert_eq!(StoreKey::parse(CATALOG_KEY), Some(StoreKey::Catalog));

    assert_eq!(SHARD_MAP_KEY, "fw/s");
    assert_eq!(StoreKey::parse(SHARD_MAP_KEY), Some(StoreKey::ShardMap));
}

#[test]
fn keys_with_a_name_are_built_and_parsed() {
    let member = member_key("n0");
    assert_eq!(member, "fw/m/n0");
    assert_eq!(StoreKey::parse(&member), Some(StoreKey::Member("n0")));

    let job = job_key("wk-1");
    assert_eq!(job, "fw/j/wk-1");
    assert_eq!(StoreKey::parse(&job), Some(StoreKey::Job("wk-1")));

    let page = page_key("n0-3");
    assert_eq!(page, "fw/r/n0-3");
    assert_eq!(StoreKey::parse(&page), Some(StoreKey::RegistryPage("n0-3")));
}

#[test]
fn keys_of_finished_tasks_are_built_and_parsed() {
    let chunks = [
        (Chunk::Numbered(7), "fw/f/wk-1/7", "7"),
        (Chunk::StartingAt(2048), "fw/f/wk-1/at/2048", "at/2048"),
    ];
    for (chunk, key, encoded_chunk) in chunks {
        assert_eq!(chunk.key("wk-1"), key);
        let parsed = StoreKey::FinishedTasks {
            job: "wk-1",
            chunk: encoded_chunk,
        };
        assert_eq!(StoreKey::parse(key), Some(parsed));
        assert_eq!(Chunk::parse(encoded_chunk), Some(chunk));
    }
}

#[test]
fn unknown_keys_are_not_parsed() {
    let unknown = [
        "fw/x",
        "fw/x/a",
        "fw/epoch/a",
        "fw/c/a",
        "fw/s/a",
        "fw/m/a/b",
        "fw/j/a/b",
        "fw/r/a/b",
        "fw/f/wk-1",
        "fw/m",
        "fw",
        KEY_PREFIX,
        "other",
        "other/fw/c",
        "",
    ];
    for key in unknown {
        assert_eq!(StoreKey::parse(key), None, "{key:?}");
    }
}
