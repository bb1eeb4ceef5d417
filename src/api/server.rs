//! A small HTTP/1.1 server on one thread: `mio` waits for socket events, and `httparse` parses
//! the heads of requests.
//!
//! A connection needs few resources. A client that sends only part of a request, or does not
//! read its response, delays no other client and is disconnected after a few seconds.

use crate::api::connection::{Connection, ConnectionState, NextRequest};
use crate::api::http_request::HttpRequest;
use crate::api::responder::{ConnectionId, Responder, Response, ResponseQueue};
use crate::clock::{self, Seconds};
use crate::threads::spawn_detached;
use crossbeam::channel::{bounded, Receiver};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

const LISTENER: Token = Token(usize::MAX);
const WAKER: Token = Token(usize::MAX - 1);

/// The maximum number of events that are received from the operating system at a time.
const EVENTS_CAPACITY: usize = 256;
/// The maximum time to wait for events, and the minimum time between two sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// The pause after waiting for events has failed.
const POLL_FAILURE_PAUSE: Duration = Duration::from_millis(100);
/// The capacity of the response queue in addition to one response per connection. It is needed
/// for the responses to connections that were closed in the meantime.
const SPARE_RESPONSES: usize = 64;

/// The resources that a server may use.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The maximum number of simultaneous connections.
    pub connections: usize,
    /// The maximum size of a request body, in bytes.
    pub body: usize,
}

/// Starts a server on a detached thread, which passes each request to `on_request`.
///
/// # Errors
///
/// Returns an error if the listening socket cannot be opened.
pub fn listen<F>(
    name: &'static str,
    address: SocketAddr,
    limits: Limits,
    on_request: F,
) -> io::Result<()>
where
    F: Fn(HttpRequest, Responder) + Send + 'static,
{
    let mut listener = TcpListener::bind(address)?;
    let poll = Poll::new()?;
    poll.registry()
        .register(&mut listener, LISTENER, Interest::READABLE)?;
    let waker = Waker::new(poll.registry(), WAKER)?;
    let (responses, inbox) = bounded(limits.connections + SPARE_RESPONSES);
    let mut server = Server {
        poll,
        listener,
        limits,
        connections: Vec::new(),
        free_slots: Vec::new(),
        last_generation: 0,
        refused: 0,
        response_queue: ResponseQueue::new(responses, waker),
        on_request,
    };
    spawn_detached(name, move || server.run(&inbox));
    Ok(())
}

struct Server<F> {
    poll: Poll,
    listener: TcpListener,
    limits: Limits,
    /// The connections by slot; `None` for a free slot. The slot is also the token of the
    /// connection's events.
    connections: Vec<Option<Connection>>,
    free_slots: Vec<usize>,
    last_generation: u64,
    /// The number of connections refused since the last log message about them.
    refused: u64,
    response_queue: ResponseQueue,
    on_request: F,
}

impl<F: Fn(HttpRequest, Responder)> Server<F> {
    fn run(&mut self, inbox: &Receiver<Response>) {
        let mut events = Events::with_capacity(EVENTS_CAPACITY);
        let mut swept_at = clock::now();
        loop {
            self.wait(&mut events);
            let now = clock::now();
            self.dispatch(&events, now);
            self.send_responses(inbox, now);
            if now - swept_at > SWEEP_INTERVAL.as_secs_f64() {
                swept_at = now;
                self.sweep(now);
            }
        }
    }

    fn wait(&mut self, events: &mut Events) {
        if let Err(error) = self.poll.poll(events, Some(SWEEP_INTERVAL)) {
            if error.kind() != ErrorKind::Interrupted {
                tracing::error!(%error, "waiting for socket events failed");
                std::thread::sleep(POLL_FAILURE_PAUSE);
            }
        }
    }

    fn dispatch(&mut self, events: &Events, now: Seconds) {
        for event in events {
            match event.token() {
                LISTENER => self.accept(now),
                WAKER => {}
                Token(slot) => self.serve(slot, now),
            }
        }
    }

    fn send_responses(&mut self, inbox: &Receiver<Response>, now: Seconds) {
        self.response_queue.reset_wakeup();
        while let Ok(response) = inbox.try_recv() {
            self.respond(response, now);
        }
    }

    fn accept(&mut self, now: Seconds) {
        loop {
            match self.listener.accept() {
                Ok((stream, _)) => self.admit(stream, now),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) => {
                    tracing::warn!(%error, "accepting a connection failed");
                    return;
                }
            }
        }
    }

    /// Adds a connection. If the limit on connections is reached and none can be closed in
    /// favour of the new one, the new one is refused at once, so that the client tries another
    /// controller.
    fn admit(&mut self, mut stream: TcpStream, now: Seconds) {
        let in_use = self.connections.len() - self.free_slots.len();
        if in_use >= self.limits.connections && !self.close_longest_idle(now) {
            self.refused += 1;
            return;
        }
        let _ = stream.set_nodelay(true);
        let slot = self.free_slot();
        let interests = Interest::READABLE | Interest::WRITABLE;
        let registry = self.poll.registry();
        if registry
            .register(&mut stream, Token(slot), interests)
            .is_err()
        {
            self.free_slots.push(slot);
            return;
        }
        self.last_generation += 1;
        self.connections[slot] = Some(Connection::new(stream, self.last_generation, now));
    }

    fn free_slot(&mut self) -> usize {
        self.free_slots.pop().unwrap_or_else(|| {
            self.connections.push(None);
            self.connections.len() - 1
        })
    }

    /// Closes the connection that has been idle for longest. Returns false if none has been
    /// idle for long enough.
    fn close_longest_idle(&mut self, now: Seconds) -> bool {
        let longest_idle = self
            .connections
            .iter()
            .enumerate()
            .filter_map(|(slot, connection)| {
                let since = connection.as_ref()?.replaceable_since(now)?;
                Some((slot, since))
            })
            .min_by(|a, b| a.1.total_cmp(&b.1));
        if let Some((slot, _)) = longest_idle {
            self.close(slot);
        }
        longest_idle.is_some()
    }

    fn close(&mut self, slot: usize) {
        if let Some(mut connection) = self.connections[slot].take() {
            let _ = self.poll.registry().deregister(&mut connection.stream);
            self.free_slots.push(slot);
        }
    }

    /// Closes expired connections, and retries failed accepts.
    fn sweep(&mut self, now: Seconds) {
        self.log_refused();
        for slot in 0..self.connections.len() {
            let connection = self.connections[slot].as_ref();
            if connection.is_some_and(|connection| connection.is_expired(now)) {
                self.close(slot);
            }
        }
        // If an accept failed for lack of file descriptors, the connection is still pending,
        // but no further event is received for it.
        self.accept(now);
    }

    fn log_refused(&mut self) {
        if self.refused > 0 {
            let (refused, limit) = (self.refused, self.limits.connections);
            tracing::warn!(refused, limit, "connections were refused: all are in use");
            self.refused = 0;
        }
    }

    /// Sends and receives as many bytes on a connection as its socket is ready for, and then
    /// handles its next request.
    fn serve(&mut self, slot: usize, now: Seconds) {
        let Some(Some(connection)) = self.connections.get_mut(slot) else {
            return;
        };
        let mut state = connection.flush(now);
        if state == ConnectionState::Open {
            state = connection.receive(self.limits.body, now);
        }
        match state {
            ConnectionState::Open => self.next_request(slot, now),
            ConnectionState::Closed => self.close(slot),
        }
    }

    /// Passes the next request of a connection to `on_request`, if the request is complete. If
    /// it is malformed, responds with an error.
    fn next_request(&mut self, slot: usize, now: Seconds) {
        let Some(Some(connection)) = self.connections.get_mut(slot) else {
            return;
        };
        let id = ConnectionId {
            slot,
            generation: connection.generation,
        };
        match connection.next_request(self.limits.body, now) {
            NextRequest::None => {}
            NextRequest::Malformed(status) => {
                let message = "the request can't be read or is too large";
                self.respond(Response::error(id, status, message), now);
            }
            NextRequest::Complete(request) => {
                let responder = Responder::new(id, self.response_queue.clone());
                (self.on_request)(request, responder);
            }
        }
    }

    /// Sends a response, unless its connection was closed.
    fn respond(&mut self, mut response: Response, now: Seconds) {
        let id = response.connection;
        // The time of this iteration of the event loop is too old here: the process may have
        // been paused since.
        if response.deadline.is_some_and(|end| clock::now() >= end) {
            response = Response::too_late(id);
        }
        let Some(Some(connection)) = self.connections.get_mut(id.slot) else {
            return;
        };
        if connection.generation != id.generation || !connection.is_awaiting_response() {
            return;
        }
        match connection.respond(response, now) {
            ConnectionState::Open => self.next_request(id.slot, now),
            ConnectionState::Closed => self.close(id.slot),
        }
    }
}
