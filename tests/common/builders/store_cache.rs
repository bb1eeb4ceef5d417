//! A builder for a local cache of the key-value store that holds machines and jobs.

use super::jobs::job_record;
use finchwood::store::cache::StoreCache;
use finchwood::store::records::MachineRecord;
use finchwood::wire::JobSpec;
use serde_json::json;
use std::sync::Arc;

/// Returns a cache with the machines `m-1` to `m-{machines}` of type `k` (4 CPUs) and these
/// jobs. Odd machines are in zone `e`, the others in `w`.
pub(crate) fn store_cache(machines: usize, jobs: &[&Arc<JobSpec>]) -> StoreCache {
    let mut cache = StoreCache::new(8.0);
    let machine_type = json!({"breeds": [{"name": "k", "cpus": 4.0, "accelerators": 0.0, "mem_gb": 16.0, "cache_gb": 9.0,
        "pull_gb_per_s": 1.0, "hourly": 1.0, "spot_price": 0.3, "ready_s": 20.0, "groves": ["e", "w"]}]});
    cache.put("fw/c", machine_type, 1);
    for i in 1..=machines {
        let zone = if i % 2 == 1 { "e" } else { "w" };
        let record = MachineRecord {
            machine_type: "k".into(),
            zone: zone.into(),
            spot: false,
            in_use: true,
            rented_at_ms: 0,
            address: Some("10.0.0.1:1".into()),
        };
        cache.put(&format!("fw/r/m-{i}"), json!(record), 1 + i as u64);
    }
    for (i, spec) in jobs.iter().enumerate() {
        cache.put(
            &format!("fw/j/{}", spec.id),
            job_record(spec, false),
            100 + i as u64,
        );
    }
    cache
}
