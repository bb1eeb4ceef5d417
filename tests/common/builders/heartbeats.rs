//! What machines report, and what they are answered.

use finchwood::shard::HeartbeatReply;
use finchwood::wire::{Command, Heartbeat, TaskReport, TaskState};

/// Task, attempt, state, and why it has ended.
pub(crate) type ReportedTask<'a> = (&'a str, u64, TaskState, Option<&'a str>);

/// A heartbeat of the machine `m-N`.
pub(crate) fn heartbeat_from(
    machine: usize,
    session: u64,
    sequence: u64,
    token: u64,
    tasks: &[ReportedTask],
) -> Heartbeat {
    let line = |(task, attempt, state, why): &ReportedTask| TaskReport {
        task: (*task).into(),
        attempt: *attempt,
        state: *state,
        cause: why.map(String::from),
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
        tasks: tasks.iter().map(line).collect(),
    }
}

/// The fencing token and commands of a heartbeat that is not refused.
pub(crate) fn accepted(reply: HeartbeatReply) -> (u64, Vec<Command>) {
    match reply {
        HeartbeatReply::Accepted { token, commands } => (token, commands),
        HeartbeatReply::Refused => panic!("refused"),
    }
}
