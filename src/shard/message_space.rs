//! The size limit of messages to workers: which of the commands that are due fit into the next one.

use crate::wire::Command;
use finchwood_types::message_size::{command_bytes, LIST_BYTES};

/// The space that is left for further commands in a message to a worker.
#[derive(Debug)]
pub(super) struct MessageSpace {
    bytes: usize,
}

impl MessageSpace {
    /// Returns the space of an empty message.
    pub(super) fn new() -> MessageSpace {
        MessageSpace { bytes: LIST_BYTES }
    }

    /// Takes the space of a command to a task. Returns false if too little is left.
    pub(super) fn try_take(&mut self, task_id: &str) -> bool {
        let needed = command_bytes(task_id);
        let fits = needed <= self.bytes;
        if fits {
            self.bytes -= needed;
        }
        fits
    }

    /// Takes the space of as many of these commands as fit, and returns them. The others stay
    /// due.
    pub(super) fn take_fitting(&mut self, mut commands: Vec<Command>) -> Vec<Command> {
        commands.retain(|command| self.try_take(command.task_id()));
        commands
    }
}
