//! Which tasks a shard stops to free capacity on its machines, and when it stops a replica that
//! the leader recalls.

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
fn a_production_task_preempts_no_more_tasks_than_it_needs_to() {
    let cache = cache_with(&[
        ("wk-1", Priority::Low, false),
        ("wk-2", Priority::Prod, false),
    ]);
    let (mut shard, fencing_token) = reconciled_shard(&cache);
    assign(&mut shard, &cache, "wk-1", &[(0, 50), (1, 51)], 1);
    place_tasks(&mut shard, &cache, 0.4);
    let start = shard.due_commands(&cache, 0.4).remove(0);
    let heartbeat_with_both = |sequence| {
        let (first, second) = (
            ("wk-1/0", 50, TaskState::Running, None),
            ("wk-1/1", 51, TaskState::Running, None),
        );
        heartbeat(1, sequence, fencing_token, &[first, second])
    };
    shard.command_completed(
        &"m-1".into(),
        &start.body,
        Some(&heartbeat_with_both(3)),
        &cache,
        0.5,
    );
    assign(&mut shard, &cache, "wk-2", &[(0, 60)], 2);
    place_tasks(&mut shard, &cache, 0.6);
    let command = shard.due_commands(&cache, 0.6).remove(0);
    let stops = command
        .body
        .commands
        .iter()
        .filter(|command| matches!(command, Command::Stop { .. }))
        .count();
    assert_eq!(
        stops, 1,
        "expected a single stop, which frees enough capacity: {:?}",
        command.body.commands
    );
}

#[test]
fn tasks_that_would_miss_their_deadline_are_preempted_last() {
    let mut cache = cache_with(&[("wk-2", Priority::Prod, false)]);
    for (id, deadline_s) in [("wk-3", 17.8), ("wk-4", 600.0)] {
        let spec = JobSpec {
            deadline_s: Some(deadline_s),
            ..(*job_of_priority(id, 1, Priority::Low)).clone()
        };
        let record = JobRecord {
            spec: Some(Arc::new(spec)),
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
    let both_running = [
        ("wk-4/0", 50, TaskState::Running, None),
        ("wk-3/0", 51, TaskState::Running, None),
    ];
    shard.apply_heartbeat(
        &heartbeat(1, 3, fencing_token, &both_running),
        false,
        &cache,
        0.6,
    );
    assign(&mut shard, &cache, "wk-2", &[(0, 60)], 3);
    // After 8 s the most recently started task, which takes 10 s, would miss its deadline of
    // 17.8 s if it had to start again.
    shard.place_queued(
        &cache,
        Moment {
            now: 1.0,
            wall_clock_ms: 8000,
        },
        || true,
    );
    let command = shard.due_commands(&cache, 1.0).remove(0);
    let stopped: Vec<&str> = command
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

/// The leader recalls replicas to consolidate machines: otherwise the replicas that are left
/// at the end of a day keep half-empty machines in use for as long as they run. A replica that
/// has run for less than 30 s is stopped only later, as its start would not count.
#[test]
fn a_recalled_replica_is_stopped_only_once_its_start_counts() {
    let cache = cache_with(&[("wk-1", Priority::Prod, false)]);
    let (mut shard, fencing_token) = reconciled_shard(&cache);
    assign(&mut shard, &cache, "wk-1", &[(0, 50)], 1);
    place_tasks(&mut shard, &cache, 0.4);
    let start = shard.due_commands(&cache, 0.4).remove(0);
    let running = heartbeat(
        1,
        3,
        fencing_token,
        &[("wk-1/0", 50, TaskState::Running, None)],
    );
    shard.command_completed(&"m-1".into(), &start.body, Some(&running), &cache, 0.5);
    recall(&mut shard, &cache, "wk-1/0", 50, 2);
    assert!(
        shard.due_commands(&cache, 0.7).is_empty(),
        "the replica was stopped before it had run for 30 s"
    );
    let repeated_recall = Orders {
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
    shard.apply_orders(&repeated_recall, &cache, 31.0);
    assert!(matches!(
        shard.due_commands(&cache, 31.1)[0].body.commands[0],
        Command::Stop { .. }
    ));
}
