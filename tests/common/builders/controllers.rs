//! Builders for the leader and the shard of a single controller that owns all machines.

use super::heartbeats::{accepted, heartbeat_from};
use super::settings_text::SETTINGS;
use finchwood::clock::Moment;
use finchwood::config::settings::Settings;
use finchwood::scheduler::Leader;
use finchwood::shard::{Shard, Timing};
use finchwood::store::cache::StoreCache;
use finchwood::store::records::Epoch;
use std::collections::HashMap;

/// The intervals and lease durations of a small deployment, in seconds.
pub(crate) const TIMING: Timing = Timing {
    report_s: 3.0,
    lease_s: 20.0,
    member_lease_s: 8.0,
};

/// The number of the epoch in which tests begin.
pub(crate) const EPOCH: u64 = 3;

/// Parses the settings of a small deployment after replacing the first text of each pair in
/// `replacements` by the second. Returns the error text if the settings are invalid.
pub(crate) fn settings_with(replacements: &[(&str, &str)]) -> Result<Settings, String> {
    let mut text = SETTINGS.to_string();
    for (from, to) in replacements {
        text = text.replace(from, to);
    }
    Settings::parse(&text).map_err(|error| error.to_string())
}

/// Returns the leader `a` at the start of the epoch [`EPOCH`].
pub(crate) fn new_leader(cache: &StoreCache) -> Leader {
    let mut leader = Leader::new(&settings_with(&[]).expect("valid settings"));
    let epoch = Epoch {
        number: EPOCH,
        members: [("a".to_string(), 7)].into_iter().collect(),
        leader: "a".into(),
        uses_shard_map: false,
    };
    leader.start_epoch(&epoch, 7, cache);
    leader
}

/// Returns the shard `a`, which entered the epoch [`EPOCH`] at time 0 and owns all machines.
pub(crate) fn new_shard(cache: &StoreCache) -> Shard {
    let mut shard = Shard::new("a", TIMING, HashMap::new());
    shard.start_epoch(EPOCH, 7, cache, 0.0, |_| true);
    shard
}

/// Sends heartbeats without tasks until the shard has reconciled the machine. Returns the
/// fencing token of the last response.
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

/// Returns a leader and its only shard, after both have reconciled `machines` machines without
/// tasks, and the fencing tokens of these machines.
pub(crate) fn leader_and_shard(cache: &StoreCache, machines: usize) -> (Leader, Shard, Vec<u64>) {
    let mut shard = new_shard(cache);
    let tokens = (1..=machines)
        .map(|machine| reconcile_machine(&mut shard, cache, machine, 0.2))
        .collect();
    let mut leader = new_leader(cache);
    assert!(leader.apply_shard_report(shard.next_report(cache, 0.3), cache, 0.3));
    leader.reconcile(cache, &|_| false);
    (leader, shard, tokens)
}

/// Places the queued tasks, with the wall clock at 0.
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

/// Runs one round of leader and shard: the leader receives a report and assigns tasks, and the
/// shard receives the orders, places tasks and reports again.
pub(crate) fn scheduling_round(
    leader: &mut Leader,
    shard: &mut Shard,
    cache: &StoreCache,
    now: f64,
) {
    leader.apply_shard_report(shard.next_report(cache, now), cache, now);
    leader.reconcile(cache, &|_| false);
    leader.assign_tasks(cache, now, || true);
    let orders = leader.orders("a").expect("orders for the shard");
    shard.apply_orders(&orders, cache, now);
    place_tasks(shard, cache, now);
    leader.apply_shard_report(shard.next_report(cache, now), cache, now);
}
