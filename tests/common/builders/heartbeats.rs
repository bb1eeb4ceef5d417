//! Builders for heartbeats, and a helper that reads the replies.

use finchwood::shard::HeartbeatReply;
use finchwood::wire::{Command, Heartbeat, TaskReport, TaskState};

/// A task, its attempt, its state and, if it has ended, the cause.
pub(crate) type ReportedTask<'a> = (&'a str, u64, TaskState, Option<&'a str>);

/// Returns a heartbeat of the machine `m-{machine}`. Odd machines are in zone `e`, the others
/// in `w`.
pub(crate) fn heartbeat_from(
    machine: usize,
    session: u64,
    sequence: u64,
    token: u64,
    tasks: &[ReportedTask],
) -> Heartbeat {
    let report = |(task, attempt, state, cause): &ReportedTask| TaskReport {
        task: (*task).into(),
        attempt: *attempt,
        state: *state,
        cause: cause.map(String::from),
        saved: None,
    };
    Heartbeat {
        machine: format!("m-{machine}").into(),
        address: "10.0.0.1:1".into(),
        machine_type: "k".into(),
        zone: if machine % 2 == 1 { "e" } else { "w" }.into(),
        spot: false,
        session,
        seq: sequence,
        token,
        reclaimed_in_s: None,
        tasks: tasks.iter().map(report).collect(),
    }
}

/// Returns the fencing token and the commands of a reply. Panics if the heartbeat was refused.
pub(crate) fn accepted(reply: HeartbeatReply) -> (u64, Vec<Command>) {
    match reply {
        HeartbeatReply::Accepted { token, commands } => (token, commands),
        HeartbeatReply::Refused => panic!("the heartbeat was refused"),
    }
}
