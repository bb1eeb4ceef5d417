//! A connection from a client: its input, its output, and its timeouts.

use crate::api::http_request::{read_request, HttpRequest, Progress, HEAD_LIMIT};
use crate::api::responder::Response;
use crate::clock::Seconds;
use mio::net::TcpStream;
use std::io::{ErrorKind, Read, Write};

/// The longest time that a connection may take to receive a complete request, or may make no
/// progress with sending a response, in seconds. This is as long as users wait for a response.
const STALL_TIMEOUT_S: Seconds = 5.0;
/// The time after which an idle connection is closed, in seconds.
const IDLE_TIMEOUT_S: Seconds = 300.0;
/// The time after which an idle connection may be closed in favour of a new one, in seconds.
const MIN_REPLACEABLE_IDLE_S: Seconds = 1.0;
/// The most memory that an empty input buffer keeps allocated, in bytes.
const KEPT_INPUT_BYTES: usize = 1024;

/// The state of a connection after an operation on its socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionState {
    Open,
    Closed,
}

/// The next request in the input of a connection.
pub(super) enum NextRequest {
    /// There is no complete request, or the previous one still awaits its response.
    None,
    /// The input is malformed, and requires a response with this status.
    Malformed(u16),
    Complete(HttpRequest),
}

pub(super) struct Connection {
    pub(super) stream: TcpStream,
    pub(super) generation: u64,
    input: Vec<u8>,
    output: Vec<u8>,
    /// The number of bytes of the output that were sent.
    written: usize,
    /// Whether a request awaits its response.
    awaiting_response: bool,
    close_after_response: bool,
    /// When the connection last made progress: it was opened, began to receive a request,
    /// completed one, or sent bytes of a response.
    last_progress_at: Seconds,
}

impl Connection {
    pub(super) fn new(stream: TcpStream, generation: u64, now: Seconds) -> Connection {
        Connection {
            stream,
            generation,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            awaiting_response: false,
            close_after_response: false,
            last_progress_at: now,
        }
    }

    pub(super) fn is_awaiting_response(&self) -> bool {
        self.awaiting_response
    }

    /// Returns since when the connection has been idle, if it has been idle for long enough to
    /// be closed in favour of a new one.
    pub(super) fn replaceable_since(&self, now: Seconds) -> Option<Seconds> {
        let idle = !self.awaiting_response && self.input.is_empty() && self.output.is_empty();
        let replaceable = idle && now - self.last_progress_at > MIN_REPLACEABLE_IDLE_S;
        replaceable.then_some(self.last_progress_at)
    }

    /// Returns whether the connection has stalled, or has been idle for too long.
    pub(super) fn is_expired(&self, now: Seconds) -> bool {
        let age = now - self.last_progress_at;
        let receiving = !self.input.is_empty() && !self.awaiting_response;
        let sending = !self.output.is_empty();
        let stalled = (receiving || sending) && age > STALL_TIMEOUT_S;
        stalled || !self.awaiting_response && age > IDLE_TIMEOUT_S
    }

    /// Receives all bytes that have arrived. The connection is closed if it has received much
    /// more than one request whose body has `body_limit` bytes: a client that follows the
    /// protocol does not send so much without waiting for a response.
    pub(super) fn receive(&mut self, body_limit: usize, now: Seconds) -> ConnectionState {
        let input_limit = (HEAD_LIMIT + body_limit) * 2;
        let mut buffer = [0u8; 16 * 1024];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => return ConnectionState::Closed,
                Ok(length) => {
                    if self.input.is_empty() {
                        self.last_progress_at = now;
                    }
                    self.input.extend_from_slice(&buffer[..length]);
                    if self.input.len() > input_limit {
                        return ConnectionState::Closed;
                    }
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    return ConnectionState::Open
                }
                Err(_) => return ConnectionState::Closed,
            }
        }
    }

    /// Takes the next request from the input, if that request is complete and the response to
    /// the previous one has been sent.
    pub(super) fn next_request(&mut self, body_limit: usize, now: Seconds) -> NextRequest {
        if self.awaiting_response || !self.output.is_empty() || self.input.is_empty() {
            return NextRequest::None;
        }
        match read_request(&self.input, body_limit) {
            Progress::Incomplete => NextRequest::None,
            Progress::Malformed(status) => {
                self.awaiting_response = true;
                self.close_after_response = true;
                NextRequest::Malformed(status)
            }
            Progress::Complete {
                request,
                used,
                last,
            } => {
                self.awaiting_response = true;
                self.close_after_response = last;
                self.last_progress_at = now;
                self.consume_input(used);
                NextRequest::Complete(request)
            }
        }
    }

    fn consume_input(&mut self, length: usize) {
        self.input.drain(..length);
        if self.input.is_empty() {
            self.input.shrink_to(KEPT_INPUT_BYTES);
        }
    }

    /// Starts to send a response.
    pub(super) fn respond(&mut self, response: Response, now: Seconds) -> ConnectionState {
        self.awaiting_response = false;
        self.last_progress_at = now;
        self.output = response.into_bytes(self.close_after_response);
        self.written = 0;
        self.flush(now)
    }

    /// Sends as much of the output as the socket accepts.
    pub(super) fn flush(&mut self, now: Seconds) -> ConnectionState {
        while self.written < self.output.len() {
            match self.stream.write(&self.output[self.written..]) {
                Ok(0) => return ConnectionState::Closed,
                Ok(length) => {
                    self.written += length;
                    self.last_progress_at = now;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    return ConnectionState::Open
                }
                Err(_) => return ConnectionState::Closed,
            }
        }
        self.finish_output()
    }

    fn finish_output(&mut self) -> ConnectionState {
        let responded = !self.output.is_empty();
        self.output = Vec::new();
        self.written = 0;
        if responded && self.close_after_response {
            ConnectionState::Closed
        } else {
            ConnectionState::Open
        }
    }
}
