//! What the tasks of a gang do without a controller: they wait for each other, start to run
//! together, detect the loss of one of them, and complete together.

use super::SimulatedCluster;
use finchwood::wire::TaskState;
use rand::Rng;
use std::collections::BTreeSet;
use std::sync::Arc;

/// How long a task of a gang waits for the others before it ends.
const GATHER_TIMEOUT_S: f64 = 45.0;
/// How long the tasks of a running gang take to detect that one is lost.
const PEER_TIMEOUT_S: f64 = 4.0;

/// An attempt of a gang whose tasks started to run.
pub(super) struct GangRun {
    completes_at: f64,
    /// When one of the tasks was lost; `None` while all run.
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
    /// Returns the tasks of a gang that are on machines and have not ended.
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

    /// Runs one round of all gangs.
    pub(super) fn gang_round(&mut self) {
        let mut gangs: Vec<Arc<str>> = self.gangs.iter().cloned().collect();
        gangs.sort();
        for job in gangs {
            for member in self.gang_members(&job) {
                self.wait_for_others(&job, &member);
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

    /// Lets a task whose image is fetched wait for the others. Ends it if they take too long,
    /// or if the gang has completed already.
    fn wait_for_others(&mut self, job: &Arc<str>, member: &GangMember) {
        let now = self.now;
        let worker = &mut self.workers[member.worker];
        let ready_at = worker.gang_ready_at.get(&member.task);
        let ready_at = ready_at.copied().unwrap_or(now);
        if now < worker.paused_until || now < ready_at {
            return;
        }
        let task = worker
            .tasks
            .get_mut(&member.task)
            .expect("the task of a gang member");
        match member.state {
            TaskState::Fetching if self.completed_gangs.contains(job) => task.end("done"),
            TaskState::Fetching => {
                task.state = TaskState::Gathering;
                worker.gang_ready_at.insert(member.task.clone(), now);
            }
            TaskState::Gathering if now - ready_at > GATHER_TIMEOUT_S => task.end("alone"),
            _ => {}
        }
    }

    /// Begins the run of an attempt whose tasks all wait, ends an attempt that has lost a
    /// task, and completes one that has run for long enough.
    fn attempt_round(&mut self, job: &Arc<str>, attempt: u64, members: Vec<GangMember>) {
        let task_count = self.specs[job].task_count as usize;
        let count_in_state = |state: TaskState| {
            members
                .iter()
                .filter(|member| !self.is_paused(member.worker))
                .filter(|member| member.state == state)
                .count()
        };
        let key = (job.clone(), attempt);
        if count_in_state(TaskState::Gathering) == task_count {
            return self.begin_gang_run(key, &members);
        }
        let all_run = count_in_state(TaskState::Running) == task_count;
        let Some(run) = self.gang_runs.get_mut(&key) else {
            return;
        };
        if !all_run && run.lost_task_at.is_none() {
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
                tasks
                    .get_mut(&member.task)
                    .expect("the task of a gang member")
                    .end(cause);
            }
        }
    }

    /// Begins the run of an attempt: all its tasks change to running.
    fn begin_gang_run(&mut self, key: (Arc<str>, u64), members: &[GangMember]) {
        let run = GangRun {
            completes_at: self.now + self.rng.gen_range(10.0..90.0),
            lost_task_at: None,
        };
        self.gang_runs.insert(key, run);
        self.statistics.gang_runs += 1;
        for member in members {
            let tasks = &mut self.workers[member.worker].tasks;
            tasks
                .get_mut(&member.task)
                .expect("the task of a gang member")
                .state = TaskState::Running;
        }
    }

    /// Whether a worker is paused.
    fn is_paused(&self, worker: usize) -> bool {
        self.now < self.workers[worker].paused_until
    }
}
