//! Conversions between the state of a machine's tasks in its shard and in a transfer.

use super::assigned_tasks::{AssignedTask, Placement, TaskStopReason};
use super::machine::ObservedTask;
use super::TaskPhase;
use crate::clock::Seconds;
use crate::wire::{MachineId, Task};
use finchwood_sharding::transfer_state::{AssignedTaskState, ReportedTaskState};

/// The start token that is sent for a task whose start can't be in flight.
const NO_START_TOKEN: u64 = u64::MAX;

impl From<&ReportedTaskState> for ObservedTask {
    fn from(state: &ReportedTaskState) -> ObservedTask {
        ObservedTask {
            attempt: state.attempt,
            state: state.state,
            cause: state.cause.clone(),
        }
    }
}

/// Returns the placement of a transferred task, from the source's state of it.
pub(super) fn transferred_placement(
    machine: &MachineId,
    state: &AssignedTaskState,
    now: Seconds,
) -> Placement {
    let phase = match (state.completed, state.confirmed) {
        (true, _) => TaskPhase::Done,
        (false, true) => TaskPhase::Running,
        (false, false) => TaskPhase::Starting,
    };
    Placement {
        machine: machine.clone(),
        session: state.session,
        phase,
        start_token: (state.start_token != NO_START_TOKEN).then_some(state.start_token),
        start_sent: state.start_sent,
        confirmed: state.confirmed,
        stop_reason: state.stopping.then_some(TaskStopReason::Recalled),
        stop_sent: false,
        phase_since: now - state.in_phase_s,
    }
}

/// Returns the state of an assigned task for the target of its machine's transfer; `None`
/// if the task has no machine.
pub(super) fn task_transfer_state(
    task: &Task,
    assigned: &AssignedTask,
    now: Seconds,
) -> Option<AssignedTaskState> {
    let placement = assigned.placement.as_ref()?;
    Some(AssignedTaskState {
        task: task.clone(),
        attempt: assigned.attempt,
        assignment: assigned.assignment,
        session: placement.session,
        start_token: placement.start_token.unwrap_or(NO_START_TOKEN),
        start_sent: placement.start_sent,
        confirmed: placement.confirmed,
        completed: placement.phase == TaskPhase::Done,
        stopping: placement.stop_reason.is_some(),
        in_phase_s: now - placement.phase_since,
    })
}
