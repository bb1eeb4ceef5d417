//! Which tasks a shard stops to make room on its machines, and when it moves a replica.

use crate::builders::{orders, place_tasks};
use crate::one_machine::{
    assign, cache_with, heartbeat, job_of_priority, recall, reconciled_shard,
};
use finchwood::clock::Moment;
use finchwood::shard::Orders;
use finchwood::store::records::JobRecord;
use finchwood::wire::{Command, JobSpec, Priority, Task, TaskState};
use std::sync::Arc;

#[test]
fn higher_priority_preempts_the_youngest_lower_task() {
    let cache = cache_with(&[
        ("wk-1", Priority::Low, false),
        ("wk-2", Priority::Prod, false),
    ]);
    let (mut shard, fencing_token) = reconciled_shard(&cache);
    assign(&mut shard, &cache, "wk-1", &[(0, 50), (1, 51)], 1);
    place_tasks(&mut shard, &cache, 0.4);
    let start = shard.due_commands(&cache, 0.4).remove(0);
    let run = |seq| {
        let (a, b) = (
            ("wk-1/0", 50, TaskState::Running, None),
            ("wk-1/1", 51, TaskState::Running, None),
        );
        heartbeat(1, seq, fencing_token, &[a, b])
    };
    shard.command_completed(&"m-1".into(), &start.body, Some(&run(3)), &cache, 0.5);
    assign(&mut shard, &cache, "wk-2", &[(0, 60)], 2);
    place_tasks(&mut shard, &cache, 0.6);
    let stop = shard.due_commands(&cache, 0.6).remove(0);
    let stops = stop
        .body
        .commands
        .iter()
        .filter(|command| matches!(command, Command::Stop { .. }))
        .count();
    assert_eq!(stops, 1, "one makes room enough: {:?}", stop.body.commands);
}

#[test]
fn services_preempt_first_what_does_not_miss_its_deadline() {
    let mut cache = cache_with(&[("wk-2", Priority::Prod, false)]);
    for (id, due) in [("wk-3", 17.8), ("wk-4", 600.0)] {
        let s = JobSpec {
            deadline_s: Some(due),
            ..(*job_of_priority(id, 1, Priority::Low)).clone()
        };
        let record = JobRecord {
            spec: Some(Arc::new(s)),
            epoch: 1,
            accepted_at_ms: 0,
            task_count: 1,
            cancelled: false,
            done: false,
            cancelled_at_ms: None,
        };
        cache.put(&format!("fw/j/{id}"), serde_json::json!(record), 20);
    }
    let (mut shard, fencing_token) = reconciled_shard(&cache);
    assign(&mut shard, &cache, "wk-4", &[(0, 50)], 1);
    place_tasks(&mut shard, &cache, 0.4);
    assign(&mut shard, &cache, "wk-3", &[(0, 51)], 2);
    place_tasks(&mut shard, &cache, 0.5);
    let both = [
        ("wk-4/0", 50, TaskState::Running, None),
        ("wk-3/0", 51, TaskState::Running, None),
    ];
    shard.apply_heartbeat(&heartbeat(1, 3, fencing_token, &both), false, &cache, 0.6);
    assign(&mut shard, &cache, "wk-2", &[(0, 60)], 3);
    // Eight seconds in, the youngest would miss its time if started anew.
    shard.place_queued(
        &cache,
        Moment {
            now: 1.0,
            wall_clock_ms: 8000,
        },
        || true,
    );
    let stop = shard.due_commands(&cache, 1.0).remove(0);
    let stopped: Vec<&str> = stop
        .body
        .commands
        .iter()
        .filter_map(|command| {
            if let Command::Stop { task, .. } = command {
                Some(task.as_str())
            } else {
                None
            }
        })
        .collect();
    assert_eq!(stopped, ["wk-4/0"]);
}

/// Without moves, the replicas left at the end of a day hold half-empty
/// machines for as long as they run.
#[test]
fn a_replica_that_has_just_started_is_moved_later() {
    let cache = cache_with(&[("wk-1", Priority::Prod, false)]);
    let (mut shard, fencing_token) = reconciled_shard(&cache);
    assign(&mut shard, &cache, "wk-1", &[(0, 50)], 1);
    place_tasks(&mut shard, &cache, 0.4);
    let start = shard.due_commands(&cache, 0.4).remove(0);
    let runs = heartbeat(
        1,
        3,
        fencing_token,
        &[("wk-1/0", 50, TaskState::Running, None)],
    );
    shard.command_completed(&"m-1".into(), &start.body, Some(&runs), &cache, 0.5);
    recall(&mut shard, &cache, "wk-1/0", 50, 2);
    assert!(
        shard.due_commands(&cache, 0.7).is_empty(),
        "a start counts for half a minute"
    );
    let recalled = Orders {
        recall: vec![(
            Task {
                job: "wk-1".into(),
                index: 0,
            },
            50,
        )],
        ..orders(3, Vec::new())
    };
    shard.apply_heartbeat(
        &heartbeat(
            1,
            4,
            fencing_token,
            &[("wk-1/0", 50, TaskState::Running, None)],
        ),
        false,
        &cache,
        31.0,
    );
    shard.apply_orders(&recalled, &cache, 31.0);
    assert!(matches!(
        shard.due_commands(&cache, 31.1)[0].body.commands[0],
        Command::Stop { .. }
    ));
}
