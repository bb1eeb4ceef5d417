//! One machine, `m-1`, and the shard that owns it.

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

/// Tasks of each job in the cache.
const TASKS: u32 = 4;

/// An array whose tasks take half of the machine each.
pub(crate) fn job_of_priority(id: &str, tasks: u32, priority: Priority) -> Arc<JobSpec> {
    job_spec(id, tasks, |fields| fields["rank"] = json!(priority))
}

/// The machine and jobs: their names, priorities and whether they are cancelled.
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

/// What the machine reports.
pub(crate) fn heartbeat(
    session: u64,
    sequence: u64,
    token: u64,
    tasks: &[ReportedTask],
) -> Heartbeat {
    heartbeat_from(1, session, sequence, token, tasks)
}

/// A shard that is certain of its one empty machine, and the machine's fencing token.
pub(crate) fn reconciled_shard(cache: &StoreCache) -> (Shard, u64) {
    let mut shard = new_shard(cache);
    let first = shard.apply_heartbeat(&heartbeat(1, 1, 0, &[]), false, cache, 0.1);
    let HeartbeatReply::Accepted {
        token: fencing_token,
        commands,
    } = first
    else {
        panic!("refused")
    };
    assert!(
        commands.is_empty(),
        "no commands before the content is certain"
    );
    assert_eq!(fencing_token, token(EPOCH, 0));
    shard.apply_heartbeat(&heartbeat(1, 2, fencing_token, &[]), false, cache, 0.2);
    (shard, fencing_token)
}

/// The fencing token that a heartbeat is answered with.
pub(crate) fn token_of(reply: HeartbeatReply) -> u64 {
    accepted(reply).0
}

/// Orders number `sequence`: start tasks of a job, given by index and attempt.
pub(crate) fn assign(
    shard: &mut Shard,
    cache: &StoreCache,
    job: &str,
    tasks: &[(u32, u64)],
    sequence: u64,
) {
    shard.apply_orders(&orders(sequence, assignments(job, tasks)), cache, 0.3);
}

/// Orders number `sequence`: give back one task.
pub(crate) fn recall(
    shard: &mut Shard,
    cache: &StoreCache,
    task: &str,
    attempt: u64,
    sequence: u64,
) {
    let task = Task::parse(task).expect("a task");
    let recalled = Orders {
        recall: vec![(task, attempt)],
        ..orders(sequence, Vec::new())
    };
    shard.apply_orders(&recalled, cache, 0.6);
}
