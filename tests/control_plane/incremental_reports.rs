//! Tests of incremental reports, in which a shard sends the leader only what has changed, and
//! of the state of the leader when such reports are lost, repeated or late.

use crate::builders::*;
use finchwood::cluster::membership::token;
use finchwood::scheduler::Leader;
use finchwood::shard::{Shard, ShardReport, TaskPhase};
use finchwood::store::cache::StoreCache;
use finchwood::store::records::Epoch;
use finchwood::wire::TaskState;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// A shard with two hundred machines, on which tasks of one job start and end.
struct Fleet {
    cache: StoreCache,
    shard: Shard,
    sequences: Vec<u64>,
    tokens: Vec<u64>,
}

const MACHINES: usize = 200;

impl Fleet {
    fn new() -> Fleet {
        let job = job_spec("wk-1", 1000, |fields| fields["cpus"] = 1.0.into());
        let cache = store_cache(MACHINES, &[&job]);
        let shard = new_shard(&cache);
        Fleet {
            cache,
            shard,
            sequences: vec![0; MACHINES],
            tokens: vec![token(EPOCH, 0); MACHINES],
        }
    }

    /// Sends a heartbeat of a machine with tasks, given by their index and whether they have
    /// ended.
    fn send_heartbeat(&mut self, machine: usize, now: f64, tasks: &[(u32, bool)]) {
        self.sequences[machine] += 1;
        let ids: Vec<String> = tasks
            .iter()
            .map(|task| format!("wk-1/{}", task.0))
            .collect();
        let reported: Vec<ReportedTask> = ids
            .iter()
            .zip(tasks)
            .map(|(id, &(_, ended))| match ended {
                true => (id.as_str(), 5, TaskState::Ended, Some("stopped")),
                false => (id.as_str(), 5, TaskState::Running, None),
            })
            .collect();
        let (sequence, token) = (self.sequences[machine], self.tokens[machine]);
        let heartbeat = heartbeat_from(machine + 1, 1, sequence, token, &reported);
        let reply = self
            .shard
            .apply_heartbeat(&heartbeat, false, &self.cache, now);
        self.tokens[machine] = accepted(reply).0;
    }
}

/// Returns the leader's state of each machine: whether the machine has proved to be alive, and
/// its number of tasks.
fn machine_states(leader: &Leader) -> BTreeMap<String, (bool, u32)> {
    leader
        .machines()
        .map(|status| (status.id.to_string(), (status.has_reported, status.tasks)))
        .collect()
}

// Some incremental reports are lost, repeated or late. Afterwards the leader has the same state
// as one that received a single full report.
#[test]
fn incremental_reports_lost_repeated_or_late_lead_to_the_full_state() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::new();
        let mut leader = new_leader(&fleet.cache);
        let mut delayed: Vec<ShardReport> = Vec::new();
        let mut running: Vec<BTreeSet<u32>> = vec![BTreeSet::new(); MACHINES];
        let mut next_task = 0;
        let (mut small, mut sent) = (0, 0);
        for round in 0..150 {
            let now = 1.0 + f64::from(round) * 0.1;
            for _ in 0..3 {
                let machine = rng.gen_range(0..MACHINES);
                let ended: Vec<u32> = running[machine]
                    .iter()
                    .copied()
                    .filter(|_| rng.gen_bool(0.5))
                    .collect();
                running[machine].insert(next_task);
                next_task += 1;
                let tasks: Vec<(u32, bool)> = running[machine]
                    .iter()
                    .map(|task| (*task, ended.contains(task)))
                    .collect();
                fleet.send_heartbeat(machine, now, &tasks);
                running[machine].retain(|task| !ended.contains(task));
            }
            let report = fleet.shard.next_report(&fleet.cache, now);
            sent += 1;
            small += usize::from(report.since > 0 && report.machines.len() < MACHINES / 2);
            match rng.gen_range(0..10) {
                // The report is lost.
                0..=2 => {}
                3 => delayed.push(report),
                outcome => {
                    // The report arrives now, and once more later.
                    if outcome == 4 {
                        delayed.push(report.clone());
                    }
                    leader.apply_shard_report(report, &fleet.cache, now);
                    if rng.gen_bool(0.8) {
                        if let Some(orders) = leader.orders("a") {
                            fleet.shard.apply_orders(&orders, &fleet.cache, now);
                        }
                    }
                }
            }
            if rng.gen_bool(0.2) && !delayed.is_empty() {
                let delayed_report = delayed.swap_remove(rng.gen_range(0..delayed.len()));
                leader.apply_shard_report(delayed_report, &fleet.cache, now);
            }
        }
        assert!(
            small * 2 > sent,
            "only {small} of {sent} reports were small"
        );
        let last_report = fleet.shard.next_report(&fleet.cache, 20.0);
        assert!(
            leader.apply_shard_report(last_report, &fleet.cache, 20.0),
            "the leader should be able to apply the last report"
        );
        // The same shard sends a full report to a leader that has received none before.
        fleet
            .shard
            .apply_orders(&orders(u64::MAX, Vec::new()), &fleet.cache, 20.0);
        let full_report = fleet.shard.next_report(&fleet.cache, 20.0);
        assert_eq!(full_report.since, 0);
        let mut fresh_leader = new_leader(&fleet.cache);
        assert!(fresh_leader.apply_shard_report(full_report, &fleet.cache, 20.0));
        assert_eq!(machine_states(&leader), machine_states(&fresh_leader));
        let assigned: usize = running.iter().map(BTreeSet::len).sum();
        assert!(assigned > 50, "too few tasks are left to compare");
        assert_eq!(
            (
                leader.counts().assigned_tasks,
                fresh_leader.counts().assigned_tasks
            ),
            (assigned, assigned)
        );
    }
}

#[test]
fn an_incremental_report_on_an_unknown_base_is_dropped() {
    let mut fleet = Fleet::new();
    fleet.send_heartbeat(0, 1.0, &[(1, false)]);
    let first = fleet.shard.next_report(&fleet.cache, 1.0);
    let mut leader = new_leader(&fleet.cache);
    let unknown_base = ShardReport {
        since: first.seq,
        seq: first.seq + 1,
        assigned: Vec::new(),
        ..first.clone()
    };
    assert!(
        !leader.apply_shard_report(unknown_base, &fleet.cache, 1.1),
        "the leader has not received the report that this one builds on"
    );
    assert_eq!(leader.counts().assigned_tasks, 0);
    assert!(!leader.apply_shard_report(
        ShardReport {
            epoch: EPOCH - 1,
            ..first.clone()
        },
        &fleet.cache,
        1.2
    ));
    assert!(!leader.apply_shard_report(
        ShardReport {
            incarnation: 6,
            ..first.clone()
        },
        &fleet.cache,
        1.2
    ));
    assert!(leader.apply_shard_report(first.clone(), &fleet.cache, 1.3));
    assert_eq!(leader.counts().assigned_tasks, 1);
    assert_eq!(first.assigned[0].phase, TaskPhase::Running);
    assert!(
        !leader.apply_shard_report(first, &fleet.cache, 1.4),
        "a repeated report should not be applied"
    );
}

// Guards against this fault: when one controller returned, all tasks that were lost in a
// partitioned zone stayed unreconciled until the last machine of that zone had sent a
// heartbeat. A shard that has retained its state and its machines proves by itself which of its
// own tasks still run. A shard that has not retained its state has only what was reported
// since, and proves nothing; neither does one that has lost machines to another owner.
#[test]
fn a_shard_that_retained_its_state_proves_that_its_own_tasks_have_ended() {
    let unreconciled_after = |incarnation: u64, others: &[(&str, u64)], retained: bool| {
        let mut fleet = Fleet::new();
        let mut leader = Leader::new(&settings_with(&[]).expect("settings"));
        let epoch = |number: u64, members: &[(&str, u64)]| Epoch {
            number,
            members: members
                .iter()
                .map(|(name, incarnation)| (name.to_string(), *incarnation))
                .collect(),
            leader: "a".into(),
            uses_shard_map: false,
        };
        leader.start_epoch(&epoch(EPOCH, &[("a", 7), ("b", 8)]), 9, &fleet.cache);
        fleet.send_heartbeat(0, 1.0, &[(1, false)]);
        assert!(leader.apply_shard_report(
            fleet.shard.next_report(&fleet.cache, 1.0),
            &fleet.cache,
            1.0
        ));
        assert_eq!(
            (
                leader.counts().assigned_tasks,
                leader.counts().unreconciled_tasks
            ),
            (1, 999)
        );
        // The task ends, and the next epoch starts before the leader receives a report of it.
        fleet.send_heartbeat(0, 2.0, &[(1, true)]);
        let mut members = vec![("a", incarnation)];
        members.extend(others);
        leader.start_epoch(&epoch(EPOCH + 1, &members), 9, &fleet.cache);
        fleet
            .shard
            .start_epoch(EPOCH + 1, incarnation, &fleet.cache, 2.1, |_| true);
        let report = fleet.shard.next_report(&fleet.cache, 2.2);
        assert!(report.since == 0 && report.assigned.is_empty());
        assert!(leader.apply_shard_report(
            ShardReport {
                state_retained: report.state_retained && retained,
                ..report
            },
            &fleet.cache,
            2.2
        ));
        leader.counts().unreconciled_tasks
    };
    assert_eq!(
        unreconciled_after(7, &[("b", 10)], true),
        999,
        "another controller has restarted"
    );
    assert_eq!(
        unreconciled_after(7, &[], true),
        999,
        "another controller has left"
    );
    assert_eq!(
        unreconciled_after(7, &[("b", 8), ("c", 11)], true),
        1000,
        "machines went to a new controller"
    );
    assert_eq!(
        unreconciled_after(12, &[("b", 8)], true),
        1000,
        "the controller itself has restarted"
    );
    assert_eq!(
        unreconciled_after(7, &[("b", 10)], false),
        1000,
        "the shard has not retained its state"
    );
}
