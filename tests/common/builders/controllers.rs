//! Leaders and shards of one controller that owns all machines.

use super::heartbeats::{accepted, heartbeat_from};
use super::settings_text::SETTINGS;
use finchwood::clock::Moment;
use finchwood::config::settings::Settings;
use finchwood::scheduler::Leader;
use finchwood::shard::{Shard, Timing};
use finchwood::store::cache::StoreCache;
use finchwood::store::records::Epoch;
use std::collections::HashMap;

/// Intervals of a small deployment.
pub(crate) const TIMING: Timing = Timing {
    report_s: 3.0,
    lease_s: 20.0,
    member_lease_s: 8.0,
};

/// The epoch in which tests begin.
pub(crate) const EPOCH: u64 = 3;

/// The settings of a small deployment with these replacements.
pub(crate) fn settings_with(change: &[(&str, &str)]) -> Result<Settings, String> {
    let mut text = SETTINGS.to_string();
    for (from, to) in change {
        text = text.replace(from, to);
    }
    Settings::parse(&text).map_err(|e| e.to_string())
}

/// The leader `a` at the start of the epoch.
pub(crate) fn new_leader(cache: &StoreCache) -> Leader {
    let mut leader = Leader::new(&settings_with(&[]).expect("settings"));
    let epoch = Epoch {
        number: EPOCH,
        members: [("a".to_string(), 7)].into_iter().collect(),
        leader: "a".into(),
        uses_shard_map: false,
    };
    leader.start_epoch(&epoch, 7, cache);
    leader
}

/// A shard that owns everything in the epoch, and has entered it at 0.
pub(crate) fn new_shard(cache: &StoreCache) -> Shard {
    let mut shard = Shard::new("a", TIMING, HashMap::new());
    shard.start_epoch(EPOCH, 7, cache, 0.0, |_| true);
    shard
}

/// Reports until the shard is certain of a machine; returns the token.
pub(crate) fn reconcile_machine(
    shard: &mut Shard,
    cache: &StoreCache,
    machine: usize,
    now: f64,
) -> u64 {
    let (token, _) =
        accepted(shard.apply_heartbeat(&heartbeat_from(machine, 1, 1, 0, &[]), false, cache, now));
    accepted(shard.apply_heartbeat(
        &heartbeat_from(machine, 1, 2, token, &[]),
        false,
        cache,
        now,
    ))
    .0
}

/// A leader and its only shard, both sure of `machines` empty machines.
pub(crate) fn leader_and_shard(cache: &StoreCache, machines: usize) -> (Leader, Shard, Vec<u64>) {
    let mut shard = new_shard(cache);
    let tokens = (1..=machines)
        .map(|i| reconcile_machine(&mut shard, cache, i, 0.2))
        .collect();
    let mut leader = new_leader(cache);
    assert!(leader.apply_shard_report(shard.next_report(cache, 0.3), cache, 0.3));
    leader.reconcile(cache, &|_| false);
    (leader, shard, tokens)
}

/// Places the tasks that wait, at any time of day.
pub(crate) fn place_tasks(shard: &mut Shard, cache: &StoreCache, now: f64) {
    shard.place_queued(
        cache,
        Moment {
            now,
            wall_clock_ms: 0,
        },
        || true,
    );
}

/// One round of both: reports up, orders down, placing, commands taken for sent.
pub(crate) fn scheduling_round(
    leader: &mut Leader,
    shard: &mut Shard,
    cache: &StoreCache,
    now: f64,
) {
    leader.apply_shard_report(shard.next_report(cache, now), cache, now);
    leader.reconcile(cache, &|_| false);
    leader.assign_tasks(cache, now, || true);
    let orders = leader.orders("a").expect("orders");
    shard.apply_orders(&orders, cache, now);
    place_tasks(shard, cache, now);
    leader.apply_shard_report(shard.next_report(cache, now), cache, now);
}
