//! The model of the key-value store: its log of changes and its conditional writes, some of
//! which are carried out long after the writer stopped waiting.

use super::{take_due, SimulatedCluster};
use finchwood::finished::TaskSet;
use finchwood::store::records::JobRecord;
use finchwood::store::{Condition, KeyChange};
use finchwood_sharding::shard_map::ShardMap;
use std::sync::Arc;

/// A commit of finished tasks under conditions.
pub(super) struct ConditionalFinishWrite {
    pub(super) conditions: Vec<Condition>,
    pub(super) job: Arc<str>,
    pub(super) tasks: Vec<u32>,
}

/// A write of the shard map, on the condition that neither it nor the epoch has changed.
pub(super) struct ConditionalShardMapWrite {
    pub(super) expected_revision: u64,
    pub(super) expected_epoch: u64,
    pub(super) shard_map: ShardMap,
}

impl SimulatedCluster {
    /// Writes a value without conditions.
    pub(super) fn put(&mut self, key: &str, value: serde_json::Value) {
        self.revision += 1;
        self.store_log.push(KeyChange::Put {
            key: key.into(),
            value,
            revision: self.revision,
        });
    }

    pub(super) fn put_job(&mut self, id: &str, record: JobRecord) {
        self.put(
            &format!("fw/j/{id}"),
            serde_json::to_value(record).expect("a JSON value"),
        );
    }

    /// Carries out the delayed writes that are due, unless the store is in an outage.
    pub(super) fn carry_out_delayed_writes(&mut self) {
        if self.now < self.store_outage_until {
            return;
        }
        for finish in take_due(&mut self.delayed_finishes, self.now) {
            self.commit_finish(finish);
        }
        for write in take_due(&mut self.delayed_shard_map_writes, self.now) {
            self.commit_shard_map(&write);
        }
        self.carry_out_delayed_page_writes();
    }

    /// Commits finished tasks if the conditions hold. The commit of a job's last task also
    /// marks the job's record as done.
    pub(super) fn commit_finish(&mut self, finish: ConditionalFinishWrite) {
        let ConditionalFinishWrite {
            conditions,
            job,
            tasks,
        } = finish;
        if !conditions.iter().all(|condition| self.holds(condition)) {
            return;
        }
        self.check_finish(&job);
        let finished = self.finished.entry(job.clone()).or_default();
        for task in tasks {
            if finished.insert(task) {
                self.statistics.committed += 1;
            }
        }
        let mut stored = TaskSet::default();
        for &task in finished.iter() {
            stored.add(task);
        }
        let total = self.specs[&job].task_count;
        if stored.len() == total {
            let record = JobRecord {
                spec: None,
                epoch: 0,
                accepted_at_ms: 0,
                task_count: total,
                cancelled: false,
                done: true,
                cancelled_at_ms: None,
            };
            self.put_job(&job, record);
        } else {
            self.put(&format!("fw/f/{job}/0"), stored.hex(0, total).into());
        }
    }

    /// Writes the shard map if the condition holds, and returns whether it was written.
    pub(super) fn commit_shard_map(&mut self, write: &ConditionalShardMapWrite) -> bool {
        if self.shard_map_revision != write.expected_revision
            || self.epoch.number != write.expected_epoch
        {
            return false;
        }
        let stored = serde_json::to_value(write.shard_map.to_stored()).expect("a JSON value");
        self.put("fw/s", stored);
        self.shard_map_revision = self.revision;
        self.shard_map = write.shard_map.clone();
        true
    }
}
