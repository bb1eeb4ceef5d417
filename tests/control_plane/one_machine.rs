//! Builders for tests with one machine, `m-1`, and the shard that owns it.

use crate::builders::{
    accepted, assignments, heartbeat_from, job_record, job_spec, new_shard, orders, store_cache,
    ReportedTask, EPOCH,
};
use finchwood::cluster::membership::token;
use finchwood::shard::{HeartbeatReply, Orders, Shard};
use finchwood::store::cache::StoreCache;
use finchwood::wire::{Heartbeat, JobSpec, Priority, Task};
use serde_json::json;
use std::sync::Arc;

/// The number of tasks of each job in the cache.
const TASKS: u32 = 4;

/// Returns an array job whose tasks need half of the machine each.
pub(crate) fn job_of_priority(id: &str, tasks: u32, priority: Priority) -> Arc<JobSpec> {
    job_spec(id, tasks, |fields| fields["rank"] = json!(priority))
}

/// Returns a cache with the machine and these jobs, each given by its id, its priority and
/// whether it is cancelled.
pub(crate) fn cache_with(jobs: &[(&str, Priority, bool)]) -> StoreCache {
    let mut cache = store_cache(1, &[]);
    for (revision, (id, priority, cancelled)) in (3..).zip(jobs) {
        let job = job_of_priority(id, TASKS, *priority);
        cache.put(
            &format!("fw/j/{id}"),
            job_record(&job, *cancelled),
            revision,
        );
    }
    cache
}

/// Returns a heartbeat of the machine.
pub(crate) fn heartbeat(
    session: u64,
    sequence: u64,
    token: u64,
    tasks: &[ReportedTask],
) -> Heartbeat {
    heartbeat_from(1, session, sequence, token, tasks)
}

/// Returns a shard that has reconciled the machine, which has no tasks, and the machine's
/// fencing token.
pub(crate) fn reconciled_shard(cache: &StoreCache) -> (Shard, u64) {
    let mut shard = new_shard(cache);
    let first_reply = shard.apply_heartbeat(&heartbeat(1, 1, 0, &[]), false, cache, 0.1);
    let HeartbeatReply::Accepted {
        token: fencing_token,
        commands,
    } = first_reply
    else {
        panic!("the heartbeat was refused")
    };
    assert!(
        commands.is_empty(),
        "commands were sent before the machine was reconciled"
    );
    assert_eq!(fencing_token, token(EPOCH, 0));
    shard.apply_heartbeat(&heartbeat(1, 2, fencing_token, &[]), false, cache, 0.2);
    (shard, fencing_token)
}

/// Returns the fencing token of the reply to a heartbeat, which must not be refused.
pub(crate) fn token_of(reply: HeartbeatReply) -> u64 {
    accepted(reply).0
}

/// Assigns tasks of a job to the shard, given by index and attempt, with orders number
/// `sequence`.
pub(crate) fn assign(
    shard: &mut Shard,
    cache: &StoreCache,
    job: &str,
    tasks: &[(u32, u64)],
    sequence: u64,
) {
    shard.apply_orders(&orders(sequence, assignments(job, tasks)), cache, 0.3);
}

/// Recalls a task from the shard, with orders number `sequence`.
pub(crate) fn recall(
    shard: &mut Shard,
    cache: &StoreCache,
    task: &str,
    attempt: u64,
    sequence: u64,
) {
    let task = Task::parse(task).expect("a task id");
    let orders = Orders {
        recall: vec![(task, attempt)],
        ..orders(sequence, Vec::new())
    };
    shard.apply_orders(&orders, cache, 0.6);
}
