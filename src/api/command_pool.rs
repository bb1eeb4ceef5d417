//! The pools of threads that send direct commands to workers.

use crate::api::http_agent::{build_agent, read_body};
use crate::api::status;
use crate::clock::{self, Seconds};
use crate::shard::DirectCommand;
use crate::threads::spawn_detached;
use crate::wire::Heartbeat;
use crossbeam::channel::{bounded, Receiver, Sender};

/// The result of a direct command.
pub struct CommandResult {
    /// The command.
    pub command: DirectCommand,
    /// The worker's report; `None` if the worker did not respond, the response was not a valid
    /// report, or the command was not sent.
    pub response: Option<Heartbeat>,
}

struct QueuedCommand {
    command: DirectCommand,
    deadline: Seconds,
}

/// A pool of threads, each of which sends one direct command at a time.
///
/// The pool starts threads as needed, up to its capacity. The caller keeps at most as many
/// commands outstanding, and retries the others in its next round. The threads are detached,
/// and end when the pool is dropped or `on_completed` returns false.
pub struct CommandPool {
    queue: Sender<QueuedCommand>,
    capacity: usize,
    threads: usize,
    outstanding: usize,
    start_thread: Box<dyn Fn(usize) + Send>,
}

impl CommandPool {
    /// Creates a pool without threads. `timeout` limits the duration of each request, in
    /// seconds. `on_completed` receives the results, and returns false to end the thread that
    /// called it.
    pub fn new<F>(
        name: &'static str,
        capacity: usize,
        timeout: Seconds,
        on_completed: F,
    ) -> CommandPool
    where
        F: Fn(CommandResult) -> bool + Send + Clone + 'static,
    {
        let (queue, inbox) = bounded(capacity);
        let agent = build_agent(timeout, capacity, 1);
        let start_thread = move |index: usize| {
            let (inbox, agent, on_completed) = (inbox.clone(), agent.clone(), on_completed.clone());
            spawn_detached(&format!("{name}-{index}"), move || {
                send_queued(&inbox, &agent, on_completed);
            });
        };
        CommandPool {
            queue,
            capacity,
            threads: 0,
            outstanding: 0,
            start_thread: Box::new(start_thread),
        }
    }

    /// Returns how many more commands the pool accepts now.
    pub fn available(&self) -> usize {
        self.capacity - self.outstanding
    }

    /// Queues a command. The command is not sent after `deadline`, as this controller may no
    /// longer command machines then.
    ///
    /// # Errors
    ///
    /// Returns the command if the queue is full.
    pub fn send(&mut self, command: DirectCommand, deadline: Seconds) -> Result<(), DirectCommand> {
        if self.outstanding >= self.threads && self.threads < self.capacity {
            (self.start_thread)(self.threads);
            self.threads += 1;
        }
        self.queue
            .try_send(QueuedCommand { command, deadline })
            .map_err(|error| error.into_inner().command)?;
        self.outstanding += 1;
        Ok(())
    }

    /// Records that the result of one command was received.
    pub fn record_completion(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }
}

fn send_queued<F>(inbox: &Receiver<QueuedCommand>, agent: &ureq::Agent, on_completed: F)
where
    F: Fn(CommandResult) -> bool,
{
    while let Ok(QueuedCommand { command, deadline }) = inbox.recv() {
        let response = if clock::now() < deadline {
            send_command(agent, &command)
        } else {
            None
        };
        if !on_completed(CommandResult { command, response }) {
            return;
        }
    }
}

fn send_command(agent: &ureq::Agent, command: &DirectCommand) -> Option<Heartbeat> {
    let body = serde_json::to_vec(&command.body).unwrap_or_default();
    let url = format!("http://{}/commands", command.address);
    match agent.post(&url).send_bytes(&body) {
        Ok(response) | Err(ureq::Error::Status(status::CONFLICT, response)) => {
            serde_json::from_slice(&read_body(response)).ok()
        }
        Err(_) => None,
    }
}
