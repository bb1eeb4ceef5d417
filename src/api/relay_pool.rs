//! The pools of threads that relay heartbeats to the controllers that own their machines.

use crate::api::http_agent::{build_agent, read_body};
use crate::api::responder::Responder;
use crate::api::status;
use crate::clock::{self, Seconds};
use crate::threads::spawn_detached;
use crossbeam::channel::{bounded, Receiver, Sender};
use std::net::SocketAddr;

/// The number of heartbeats that may be queued for each thread of a pool.
const QUEUED_PER_THREAD: usize = 16;
/// The delay after which a worker may retry a heartbeat that was not relayed, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// A heartbeat to be relayed to the owner of its machine.
pub struct RelayedHeartbeat {
    /// The body as the worker sent it.
    pub body: Vec<u8>,
    /// The responder that passes the owner's response to the worker.
    pub responder: Responder,
    /// The time from which the heartbeat is not relayed, as the worker no longer waits for the
    /// response.
    pub deadline: Seconds,
}

/// Starts the pool that relays heartbeats to the controller at `owner` and passes the responses
/// of that controller on unchanged. Each of the other controllers has a pool of its own, so
/// that a controller that hangs does not delay the heartbeats for the others.
///
/// `timeout` limits the duration of each request, in seconds. The threads are detached, and
/// end when the returned sender is dropped.
pub fn start_relay_pool(
    owner: SocketAddr,
    threads: usize,
    timeout: Seconds,
) -> Sender<RelayedHeartbeat> {
    let (queue, inbox) = bounded(threads * QUEUED_PER_THREAD);
    let agent = build_agent(timeout, threads, threads);
    for index in 0..threads {
        let (inbox, agent) = (inbox.clone(), agent.clone());
        spawn_detached(&format!("relay-{index}"), move || {
            relay_queued(&inbox, &agent, owner);
        });
    }
    queue
}

fn relay_queued(inbox: &Receiver<RelayedHeartbeat>, agent: &ureq::Agent, owner: SocketAddr) {
    while let Ok(heartbeat) = inbox.recv() {
        relay(heartbeat, agent, owner);
    }
}

fn relay(heartbeat: RelayedHeartbeat, agent: &ureq::Agent, owner: SocketAddr) {
    let responder = heartbeat.responder;
    if clock::now() >= heartbeat.deadline {
        return refuse(responder, "the owner takes too long");
    }
    let url = format!("http://{owner}/relay");
    match agent.post(&url).send_bytes(&heartbeat.body) {
        Ok(response) => responder.send(status::OK, read_body(response)),
        Err(ureq::Error::Status(code, response)) => responder.send(code, read_body(response)),
        Err(ureq::Error::Transport(_)) => refuse(responder, "the owner can't be reached"),
    }
}

fn refuse(responder: Responder, message: &str) {
    responder.retry_later(status::SERVICE_UNAVAILABLE, RETRY_AFTER_S, message);
}
