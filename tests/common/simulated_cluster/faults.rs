//! Random faults of workers, controllers and the key-value store, and the recovery from them.

use super::controllers::Controller;
use super::network::HEARTBEAT_TIMEOUT_S;
use super::{SimulatedCluster, CONTROLLERS, JOB_NUMBERS, MEMBER_LEASE_S, WORKER_LEASE_S};
use rand::Rng;

/// The longest duration of a fault of workers.
const LONGEST_WORKER_FAULT_S: f64 = 3.0 * WORKER_LEASE_S;
/// The number of latest machines from which a fault of a single worker selects one.
const LATEST_MACHINES: usize = 5;

/// The number of controllers that the plans [`FaultPlan::HeartbeatsOutliveMachines`] and
/// those that depose leaders keep: the one that remains then owns all machines, and
/// before it each owns some.
const CONTROLLERS_KEPT: usize = 2;

/// The longest time for which the network holds back heartbeats.
const LONGEST_HOLD_S: f64 = WORKER_LEASE_S / 2.0;

/// The longest time for which the network holds back the direct commands of a new leader.
const MAX_COMMAND_HOLD_S: f64 = 5.0;

/// How many machines the focused fault plan takes away together.
const MACHINES_TAKEN: usize = 3;

/// Which faults are injected.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum FaultPlan {
    /// All kinds, at random.
    All,
    /// Controllers that return while machines come up and the leader's knowledge lags.
    NewMachinesMeetNewEpochs,
    /// Heartbeats that the network holds back until after their machines were deleted, and
    /// leaders that end soon after these heartbeats have arrived.
    HeartbeatsOutliveMachines,
    /// Leaders that a new epoch excludes while they and the next leaders accept jobs, and that read
    /// of it late.
    DeposedLeadersAcceptJobs,
    /// The same with deposed leaders of an earlier version, which accept jobs without a condition
    /// on the epoch. The next leaders accept none, but read of these jobs late.
    DeposedEarlierVersionsAcceptJobs,
    /// Direct commands that were carried out and answered arrive again, once their worker no longer
    /// knows an attempt that they start. Controllers and workers are back within a second.
    AnsweredCommandsReturn,
}

/// Machines whose heartbeats the network holds back, and what happens meanwhile and afterwards.
#[derive(Clone)]
pub(super) struct HeldHeartbeats {
    machines: Vec<String>,
    deleted_at: f64,
    leader_stops_at: f64,
}

impl FaultPlan {
    fn keeps_few_controllers(self) -> bool {
        self == FaultPlan::HeartbeatsOutliveMachines || self.deposes_leaders()
    }

    /// Whether jobs are accepted by leaders that are deposed, and by the next leaders.
    pub(super) fn deposes_leaders(self) -> bool {
        matches!(
            self,
            FaultPlan::DeposedLeadersAcceptJobs | FaultPlan::DeposedEarlierVersionsAcceptJobs
        )
    }

    /// The share of a worker's rounds in which it completes a task.
    pub(super) fn completed_share(self) -> f64 {
        if self.deposes_leaders() {
            0.3
        } else {
            0.05
        }
    }

    /// Whether copies of answered commands arrive.
    pub(super) fn returns_commands(self) -> bool {
        self == FaultPlan::AnsweredCommandsReturn
    }

    /// Whether leaders accept jobs on the condition that their epoch is unchanged.
    pub(super) fn fences_submissions(self) -> bool {
        self != FaultPlan::DeposedEarlierVersionsAcceptJobs
    }
}

/// A leader that a new epoch has excluded. It accepts jobs until it reads of that epoch.
#[derive(Clone, Copy)]
pub(super) struct DeposedLeader {
    controller: usize,
    /// The next leader, once it has entered the epoch. Its further readings are late.
    successor: Option<usize>,
    /// Until when the network holds back the direct commands of the next leader.
    commands_held_until: f64,
}

/// A failed controller and the time at which it recovers.
#[derive(Clone, Copy)]
pub(super) struct PendingRecovery {
    controller: usize,
    at: f64,
}

impl SimulatedCluster {
    /// Injects random faults. While the recovery of a controller is pending, it injects none
    /// and only carries out the recovery once it is due.
    pub(super) fn inject_faults(&mut self) {
        if self.fault_plan.keeps_few_controllers() {
            self.stop_surplus_controllers();
        }
        self.let_deposed_leader_accept_jobs();
        if let Some(recovery) = self.recovery {
            if self.now >= recovery.at {
                self.recover(recovery.controller);
                self.recovery = self.next_recovery();
            }
            return;
        }
        if self.fault_plan == FaultPlan::NewMachinesMeetNewEpochs {
            if self.rng.gen_bool(0.02) {
                self.stop_a_follower();
            }
            return;
        }
        if self.fault_plan == FaultPlan::HeartbeatsOutliveMachines {
            return self.hold_heartbeats_and_change_leader();
        }
        if self.fault_plan.returns_commands() {
            return self.make_workers_forget();
        }
        if self.fault_plan.deposes_leaders() {
            return self.make_room_and_depose_leader();
        }
        if self.rng.gen_bool(0.003) {
            self.drop_incoming_of_one_worker();
        }
        if self.rng.gen_bool(0.001) {
            self.drop_incoming_of_many_workers();
        }
        if self.rng.gen_bool(0.003) {
            self.pause_or_silence_workers();
        }
        if self.rng.gen_bool(0.002) {
            self.refuse_one_controller();
        }
        if self.rng.gen_bool(0.005) {
            self.take_one_machine();
        }
        if self.rng.gen_bool(0.02) {
            self.delay_reading_of_one_controller();
        }
        if self
            .mass_cancellation_at
            .is_some_and(|due_at| self.now >= due_at)
        {
            self.cancel_many_and_stop_store();
        }
        if self.rng.gen_bool(0.001) {
            // Member leases do not expire during the outage: after it they last for their full
            // duration again.
            self.store_outage_until = self.now + self.rng.gen_range(1.0..2.0 * MEMBER_LEASE_S);
        }
        if self.rng.gen_bool(0.001) {
            return self.stop_all_controllers();
        }
        if self.rng.gen_bool(0.01) {
            self.fail_one_controller();
        }
    }

    fn stop_surplus_controllers(&mut self) {
        for index in CONTROLLERS_KEPT..CONTROLLERS.len() {
            if self.controllers[index].alive {
                self.stop_controller(index);
            }
        }
    }

    /// Returns the name of the controller that is to recover next.
    pub(super) fn returning_controller(&self) -> Option<&'static str> {
        self.recovery
            .map(|recovery| CONTROLLERS[recovery.controller])
    }

    /// Returns the recovery of another stopped controller, soon after the last one; `None` if
    /// all run.
    fn next_recovery(&mut self) -> Option<PendingRecovery> {
        if self.fault_plan.keeps_few_controllers() {
            return None;
        }
        let controller = self
            .controllers
            .iter()
            .position(|controller| !controller.alive)?;
        let at = self.now + self.rng.gen_range(0.1..2.0);
        Some(PendingRecovery { controller, at })
    }

    /// Returns the index of one of the latest machines.
    pub(super) fn latest_machine(&mut self) -> usize {
        let count = self.workers.len();
        self.rng
            .gen_range(count.saturating_sub(LATEST_MACHINES)..count)
    }

    /// Takes one of the latest machines away, as the cloud does with spot machines. A new one
    /// comes up in its place.
    fn take_one_machine(&mut self) {
        let index = self.latest_machine();
        let id = self.workers[index].id.clone();
        self.replace_machine(&id, self.leader_index());
    }

    /// Returns the index of the controller that leads the current epoch.
    fn leader_index(&self) -> usize {
        super::membership::controller_index(&self.epoch.leader).unwrap_or(0)
    }

    /// Drops all messages to one worker, for less or more time than its lease lasts.
    fn drop_incoming_of_one_worker(&mut self) {
        let index = self.latest_machine();
        self.workers[index].drops_incoming_until =
            self.now + self.rng.gen_range(5.0..LONGEST_WORKER_FAULT_S);
    }

    /// Drops all messages to many workers at the same time: to most of a zone, or to half of
    /// all workers.
    fn drop_incoming_of_many_workers(&mut self) {
        let until = self.now + self.rng.gen_range(5.0..LONGEST_WORKER_FAULT_S);
        let choice = self.rng.gen_range(0..3);
        for (index, worker) in self.workers.iter_mut().enumerate() {
            let is_affected = if choice == 2 {
                index % 4 < 2
            } else {
                worker.zone == format!("z{choice}") && index % 8 > 1
            };
            if is_affected {
                worker.drops_incoming_until = until;
            }
        }
    }

    /// Pauses up to three workers, or drops the heartbeats of up to three workers.
    fn pause_or_silence_workers(&mut self) {
        let duration_s = self.rng.gen_range(5.0..LONGEST_WORKER_FAULT_S);
        let pauses = self.rng.gen_bool(0.5);
        for _ in 0..self.rng.gen_range(1..4) {
            let index = self.latest_machine();
            let worker = &mut self.workers[index];
            if pauses {
                worker.paused_until = self.now + duration_s / 2.0;
            } else {
                worker.drops_outgoing_until = self.now + duration_s;
                self.statistics.silenced_workers += 1;
            }
        }
    }

    /// Makes the store refuse one controller, most often the leader, and plans the
    /// cancellation of many jobs through the others. An outage of the store may follow the
    /// cancellation and last longer than a cancelled task may continue to run.
    fn refuse_one_controller(&mut self) {
        let leader = self.leader_index();
        let index = if self.rng.gen_bool(0.7) {
            leader
        } else {
            self.rng.gen_range(0..CONTROLLERS.len())
        };
        self.controllers[index].refused_until =
            self.now + self.rng.gen_range(1.0..3.0 * MEMBER_LEASE_S);
        self.statistics.refused_controllers += 1;
        self.mass_cancellation_at = Some(self.now + self.rng.gen_range(0.2..MEMBER_LEASE_S));
    }

    /// Delays the answer to one controller's reading of the store, most often the leader's. It
    /// does not learn of a new epoch meanwhile, but of the outcomes of its writes.
    fn delay_reading_of_one_controller(&mut self) {
        if self.rng.gen_bool(0.7) {
            return self.delay_reading_of_leader();
        }
        let index = self.rng.gen_range(0..CONTROLLERS.len());
        self.delay_reading(index);
    }

    fn delay_reading_of_leader(&mut self) {
        self.delay_reading(self.leader_index());
    }

    fn delay_reading(&mut self, index: usize) {
        let delay_s = self.rng.gen_range(0.3..MEMBER_LEASE_S / 2.0);
        self.delay_reading_by(index, delay_s);
    }

    fn delay_reading_by(&mut self, index: usize, delay_s: f64) {
        self.controllers[index].reading_delayed_until = self.now + delay_s;
        self.statistics.delayed_readings += 1;
    }

    /// Cancels many jobs and in most cases begins an outage of the store.
    fn cancel_many_and_stop_store(&mut self) {
        self.mass_cancellation_at = None;
        for number in 0..JOB_NUMBERS {
            if self.rng.gen_bool(0.3) {
                self.cancel(number);
            }
        }
        if self.rng.gen_bool(0.7) {
            self.store_outage_until = self.now + self.rng.gen_range(0.5..2.5 * WORKER_LEASE_S);
        }
    }

    /// Stops all controllers, for less or more time than a worker's lease lasts. One of them
    /// recovers before the others.
    fn stop_all_controllers(&mut self) {
        for index in 0..CONTROLLERS.len() {
            self.controllers[index] = Controller::stopped(index);
        }
        self.statistics.full_outages += 1;
        let controller = self.rng.gen_range(0..CONTROLLERS.len());
        let at = self.now + self.rng.gen_range(0.3..2.0 * WORKER_LEASE_S);
        self.recovery = Some(PendingRecovery { controller, at });
    }

    /// Restarts, removes, partitions or stops a controller.
    fn fail_one_controller(&mut self) {
        let index = self.rng.gen_range(0..CONTROLLERS.len());
        match self.rng.gen_range(0..10) {
            // It restarts so quickly that no epoch without it begins.
            0..=2 => self.start_controller(index),
            3 => {
                // Several restart at once, and one of them once more during the election.
                for offset in 0..self.rng.gen_range(2..=CONTROLLERS.len()) {
                    self.start_controller((index + offset) % CONTROLLERS.len());
                }
                self.start_controller(index);
            }
            4..=5 => {
                self.remove_member(index);
                self.recover_within_seconds(index);
            }
            6..=7 => self.partition(index),
            _ => {
                self.stop_controller(index);
                self.recover_within_seconds(index);
            }
        }
    }

    /// Stops a controller that does not lead, and takes machines away. About when the controller
    /// recovers, new machines come up, for which tasks are waiting.
    fn stop_a_follower(&mut self) {
        let leader = self.leader_index();
        let index = (leader + self.rng.gen_range(1..CONTROLLERS.len())) % CONTROLLERS.len();
        self.stop_controller(index);
        let recovers_at = self.now + self.rng.gen_range(3.0..8.0);
        self.recovery = Some(PendingRecovery {
            controller: index,
            at: recovers_at,
        });
        for _ in 0..MACHINES_TAKEN {
            self.take_one_machine();
            if let Some(worker) = self.workers.last_mut() {
                worker.next_heartbeat_at = recovers_at - 0.1;
            }
        }
    }

    /// Cancels jobs, and deposes the leader a little later.
    fn make_room_and_depose_leader(&mut self) {
        match self.leader_deposed_at {
            Some(at) if self.now >= at => {
                self.leader_deposed_at = None;
                self.depose_leader();
            }
            Some(_) => {}
            None => {
                self.make_room();
                self.leader_deposed_at = Some(self.now + self.rng.gen_range(2.0..5.0));
            }
        }
    }

    /// Removes the leader from the members while its readings are late, as when its connections
    /// to the other controllers are refused. It goes on acting until it reads of the new epoch.
    fn depose_leader(&mut self) {
        let controller = self.leader_index();
        let lag_s = self.rng.gen_range(1.0..0.75 * MEMBER_LEASE_S);
        self.delay_reading_by(controller, lag_s);
        self.remove_member(controller);
        self.deposed_leader = Some(DeposedLeader {
            controller,
            successor: None,
            commands_held_until: 0.0,
        });
        self.recovery = Some(PendingRecovery {
            controller,
            at: self.now + self.rng.gen_range(3.0..10.0),
        });
    }

    /// Cancels many jobs, so that the team has room for others.
    pub(super) fn make_room(&mut self) {
        for number in 0..JOB_NUMBERS {
            if self.rng.gen_bool(0.5) {
                self.cancel(number);
            }
        }
    }

    /// Returns until when the network holds back the direct commands of a controller that has just
    /// succeeded a deposed leader; `None` for others.
    pub(super) fn commands_held_until(&self, from: usize) -> Option<f64> {
        let deposed = self.deposed_leader?;
        let held = deposed.successor == Some(from) && self.now < deposed.commands_held_until;
        held.then_some(deposed.commands_held_until)
    }

    /// Submits jobs through the leader that was deposed last and the next one, until the former
    /// reads of its deposition, and delays the readings of the latter as soon as it has entered
    /// its epoch.
    fn let_deposed_leader_accept_jobs(&mut self) {
        let Some(mut deposed) = self.deposed_leader else {
            return;
        };
        let successor = self.leader_index();
        let entered = self.controllers[successor].shard.epoch() == self.epoch.number;
        if entered && deposed.successor.is_none() {
            deposed.successor = Some(successor);
            let held_s = self.rng.gen_range(0.5..MAX_COMMAND_HOLD_S);
            deposed.commands_held_until = self.now + held_s;
            let lag_s = self.rng.gen_range(0.5..MEMBER_LEASE_S / 2.0);
            self.delay_reading_by(successor, held_s + lag_s);
        }
        self.deposed_leader = Some(deposed);
        let controller = deposed.controller;
        if self.controllers[controller].entered_epoch().is_none() || self.is_member(controller) {
            self.deposed_leader = None;
            return;
        }
        let fenced = self.fault_plan.fences_submissions();
        let successor = deposed.successor.filter(|_| fenced);
        for acceptor in [Some(controller), successor].into_iter().flatten() {
            if self.accepts_requests(acceptor) && self.rng.gen_bool(0.15) {
                self.submit_next(Some(acceptor));
            }
        }
    }

    /// Holds back the heartbeats of some machines, deletes these machines meanwhile, and stops the
    /// leader after the heartbeats have arrived.
    fn hold_heartbeats_and_change_leader(&mut self) {
        let Some(held) = self.held_heartbeats.clone() else {
            if self.rng.gen_bool(0.05) {
                self.hold_heartbeats();
            }
            return;
        };
        if self.now >= held.deleted_at {
            for id in &held.machines {
                self.replace_machine(id, self.leader_index());
            }
        }
        if self.now >= held.leader_stops_at {
            self.held_heartbeats = None;
            self.stop_leader_and_delay_its_workers();
        }
    }

    /// Stops the leader, as if it hung: its workers wait for its answers for a while before they
    /// report elsewhere.
    fn stop_leader_and_delay_its_workers(&mut self) {
        let leader = self.leader_index();
        self.stop_controller(leader);
        self.recover_within_seconds(leader);
        let now = self.now;
        for worker in &mut self.workers {
            if worker.answered_by == Some(leader) {
                worker.next_heartbeat_at = now + self.rng.gen_range(HEARTBEAT_TIMEOUT_S..10.0);
            }
        }
    }

    /// Holds back the heartbeats of up to three of the latest machines, which no command reaches
    /// meanwhile.
    fn hold_heartbeats(&mut self) {
        let arrive_at = self.now + self.rng.gen_range(3.0..LONGEST_HOLD_S);
        let mut machines = Vec::new();
        for _ in 0..self.rng.gen_range(1..=MACHINES_TAKEN) {
            let index = self.latest_machine();
            let worker = &mut self.workers[index];
            worker.heartbeats_held_until = arrive_at;
            worker.drops_incoming_until = arrive_at;
            machines.push(worker.id.clone());
        }
        self.held_heartbeats = Some(HeldHeartbeats {
            machines,
            deleted_at: self.rng.gen_range(self.now + 1.0..arrive_at),
            leader_stops_at: arrive_at + self.rng.gen_range(HEARTBEAT_TIMEOUT_S..WORKER_LEASE_S),
        });
    }

    /// Plans the recovery of a failed controller within 15 s.
    fn recover_within_seconds(&mut self, controller: usize) {
        let at = self.now + self.rng.gen_range(0.5..15.0);
        self.recovery = Some(PendingRecovery { controller, at });
    }

    /// Partitions a controller from the store and the other controllers; workers still reach
    /// it. The partition lasts longer than its member lease, and the controller is removed
    /// from the members only once that lease must have expired.
    fn partition(&mut self, controller: usize) {
        self.statistics.partitioned_controllers += 1;
        let at = self.now
            + self
                .rng
                .gen_range(MEMBER_LEASE_S + 0.5..3.0 * MEMBER_LEASE_S);
        self.controllers[controller].partitioned_until = at;
        self.recovery = Some(PendingRecovery { controller, at });
    }

    /// Ends the fault of a controller and makes it a member again, at times while a new machine
    /// comes up and the leader has not read of the new epoch yet.
    fn recover(&mut self, index: usize) {
        match self.fault_plan {
            FaultPlan::All if self.rng.gen_bool(0.5) => {
                self.take_one_machine();
                self.delay_reading_of_one_controller();
            }
            FaultPlan::All
            | FaultPlan::HeartbeatsOutliveMachines
            | FaultPlan::DeposedLeadersAcceptJobs
            | FaultPlan::DeposedEarlierVersionsAcceptJobs
            | FaultPlan::AnsweredCommandsReturn => {}
            FaultPlan::NewMachinesMeetNewEpochs => self.delay_reading_of_leader(),
        }
        let controller = &mut self.controllers[index];
        if controller.partitioned_until > 0.0 {
            controller.partitioned_until = 0.0;
            self.rejoin(index);
        } else if controller.alive {
            self.add_member(index);
        } else {
            self.start_controller(index);
        }
    }

    /// Ends all faults and cancels all services, which would never end by themselves.
    pub(crate) fn end_faults(&mut self) {
        self.faults_ended = true;
        self.held_heartbeats = None;
        self.deposed_leader = None;
        self.store_outage_until = 0.0;
        for index in 0..CONTROLLERS.len() {
            self.controllers[index].partitioned_until = 0.0;
            self.controllers[index].refused_until = 0.0;
            self.controllers[index].reading_delayed_until = 0.0;
            if !self.controllers[index].alive || !self.is_member(index) {
                self.start_controller(index);
            }
        }
        for worker in &mut self.workers {
            worker.drops_incoming_until = 0.0;
            worker.drops_outgoing_until = 0.0;
            worker.heartbeats_held_until = 0.0;
            worker.paused_until = 0.0;
        }
        for number in (0..JOB_NUMBERS).filter(|number| number % 3 == 0) {
            self.cancel(number);
        }
    }
}
