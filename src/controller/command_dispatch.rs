//! The thread pools that send direct commands to workers.

use super::events::{event_sink, ControllerEvent};
use super::MAX_POOL_THREADS;
use crate::api::command_pool::{CommandPool, CommandResult};
use crate::clock::Seconds;
use crate::config::settings::Settings;
use crate::shard::{CommandCapacity, DirectCommand};
use crossbeam::channel::Sender;

/// The share of the sockets that commands to responsive machines may use at once.
const RESPONSIVE_SOCKET_SHARE: f64 = 1.0 / 120.0;

/// The share of the sockets that commands to unverified machines may use at once. Each of
/// these commands may take until its timeout, yet even the commands to a hundred machines
/// that hang, or to a partitioned zone, must complete soon.
const UNVERIFIED_SOCKET_SHARE: f64 = 1.0 / 20.0;

/// The least capacity of a pool, in threads.
const MIN_POOL_THREADS: f64 = 4.0;

/// Sends direct commands to workers. Commands to unverified machines, which may not respond,
/// have a pool of their own, so that they do not delay the other commands.
pub(super) struct CommandDispatcher {
    responsive: CommandPool,
    unverified: CommandPool,
}

impl CommandDispatcher {
    /// Creates both pools; their threads are started on demand.
    pub(super) fn new(settings: &Settings, events: &Sender<ControllerEvent>) -> CommandDispatcher {
        let sockets = settings.params.machine_limits.max_connections as f64;
        let timeout = settings.params.workers.report_s / 2.0;
        let on_result = event_sink(events, ControllerEvent::CommandCompleted);
        let pool = |name, socket_share: f64| {
            let threads = (sockets * socket_share).clamp(MIN_POOL_THREADS, MAX_POOL_THREADS);
            CommandPool::new(name, threads as usize, timeout, on_result.clone())
        };
        CommandDispatcher {
            responsive: pool("direct", RESPONSIVE_SOCKET_SHARE),
            unverified: pool("unverified", UNVERIFIED_SOCKET_SHARE),
        }
    }

    fn pool_for(&mut self, command: &DirectCommand) -> &mut CommandPool {
        if command.unverified {
            &mut self.unverified
        } else {
            &mut self.responsive
        }
    }

    /// Returns how many more commands each pool can take at present.
    pub(super) fn capacity(&self) -> CommandCapacity {
        CommandCapacity {
            responsive: self.responsive.available(),
            unverified: self.unverified.available(),
        }
    }

    /// Queues a command, which is not sent after `valid_until`. Returns the command as an
    /// error if its pool is full.
    pub(super) fn send(
        &mut self,
        command: DirectCommand,
        valid_until: Seconds,
    ) -> Result<(), DirectCommand> {
        self.pool_for(&command).send(command, valid_until)
    }

    /// Records that a command has completed or failed.
    pub(super) fn record_completion(&mut self, result: &CommandResult) {
        self.pool_for(&result.command).record_completion();
    }
}
