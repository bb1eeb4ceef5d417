//! What the tasks of a gang do by themselves: gather, start together, notice the loss of
//! one of them, and complete together.

use super::SimulatedCluster;
use finchwood::wire::TaskState;
use rand::Rng;
use std::collections::BTreeSet;
use std::sync::Arc;

/// How long the tasks of a gang wait for each other.
const GATHER_TIMEOUT_S: f64 = 45.0;
/// How soon the tasks of a running gang notice that one is lost.
const PEER_TIMEOUT_S: f64 = 4.0;

/// An attempt of a gang that began to run.
pub(super) struct GangRun {
    completes_at: f64,
    lost_task_at: Option<f64>,
}

/// A task of a gang that is on a machine and has not ended.
#[derive(Debug, Clone)]
pub(super) struct GangMember {
    pub(super) worker: usize,
    pub(super) task: String,
    pub(super) attempt: u64,
    pub(super) state: TaskState,
}

impl SimulatedCluster {
    /// The tasks of a gang that are on machines.
    pub(super) fn gang_members(&self, job: &Arc<str>) -> Vec<GangMember> {
        let prefix = format!("{job}/");
        let mut members = Vec::new();
        for (worker, machine) in self.workers.iter().enumerate() {
            if !machine.alive {
                continue;
            }
            for (id, task) in &machine.tasks {
                if id.starts_with(&prefix) && task.is_active() {
                    members.push(GangMember {
                        worker,
                        task: id.clone(),
                        attempt: task.attempt,
                        state: task.state,
                    });
                }
            }
        }
        members
    }

    pub(super) fn gang_round(&mut self) {
        let mut gangs: Vec<Arc<str>> = self.gangs.iter().cloned().collect();
        gangs.sort();
        for job in gangs {
            for member in self.gang_members(&job) {
                self.gather(&job, &member);
            }
            let members = self.gang_members(&job);
            let attempts: BTreeSet<u64> = members.iter().map(|member| member.attempt).collect();
            for attempt in attempts {
                let of_attempt = members
                    .iter()
                    .filter(|member| member.attempt == attempt)
                    .cloned()
                    .collect();
                self.attempt_round(&job, attempt, of_attempt);
            }
        }
    }

    /// A task whose image is there waits for the others, but not for ever.
    fn gather(&mut self, job: &Arc<str>, member: &GangMember) {
        let now = self.now;
        let worker = &mut self.workers[member.worker];
        let waiting_since = worker.gang_waiting_since.get(&member.task);
        let waiting_since = waiting_since.copied().unwrap_or(now);
        if now < worker.paused_until || now < waiting_since {
            return;
        }
        let task = worker.tasks.get_mut(&member.task).expect("it is there");
        match member.state {
            TaskState::Fetching if self.completed_gangs.contains(job) => task.end("done"),
            TaskState::Fetching => {
                task.state = TaskState::Gathering;
                worker.gang_waiting_since.insert(member.task.clone(), now);
            }
            TaskState::Gathering if now - waiting_since > GATHER_TIMEOUT_S => task.end("alone"),
            _ => {}
        }
    }

    fn attempt_round(&mut self, job: &Arc<str>, attempt: u64, members: Vec<GangMember>) {
        let task_count = self.specs[job].task_count as usize;
        let in_state = |state: TaskState| {
            members
                .iter()
                .filter(|member| !self.is_paused(member.worker))
                .filter(|member| member.state == state)
                .count()
        };
        let key = (job.clone(), attempt);
        if in_state(TaskState::Gathering) == task_count {
            return self.begin_gang_run(key, &members);
        }
        let is_whole = in_state(TaskState::Running) == task_count;
        let Some(run) = self.gang_runs.get_mut(&key) else {
            return;
        };
        if !is_whole && run.lost_task_at.is_none() {
            run.lost_task_at = Some(self.now);
            self.statistics.gang_failures += 1;
        }
        let cause = match run.lost_task_at {
            Some(lost_at) if self.now - lost_at > PEER_TIMEOUT_S => "peers",
            None if self.now >= run.completes_at => {
                if self.completed_gangs.insert(job.clone()) {
                    self.statistics.completed_gangs += 1;
                }
                "done"
            }
            _ => return,
        };
        for member in members {
            if member.state == TaskState::Running && !self.is_paused(member.worker) {
                let tasks = &mut self.workers[member.worker].tasks;
                tasks.get_mut(&member.task).expect("it is there").end(cause);
            }
        }
    }

    fn begin_gang_run(&mut self, key: (Arc<str>, u64), members: &[GangMember]) {
        let run = GangRun {
            completes_at: self.now + self.rng.gen_range(10.0..90.0),
            lost_task_at: None,
        };
        self.gang_runs.insert(key, run);
        self.statistics.gang_runs += 1;
        for member in members {
            let tasks = &mut self.workers[member.worker].tasks;
            tasks.get_mut(&member.task).expect("it is there").state = TaskState::Running;
        }
    }

    fn is_paused(&self, worker: usize) -> bool {
        self.now < self.workers[worker].paused_until
    }
}
