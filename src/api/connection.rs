//! One client's connection: the bytes received and to be sent, and its deadlines.

use crate::api::http_request::{read_request, HttpRequest, Progress, HEAD_LIMIT};
use crate::api::responder::Response;
use crate::clock::Seconds;
use mio::net::TcpStream;
use std::io::{ErrorKind, Read, Write};

/// An incomplete request, or a response that the client does not read, is given up
/// after this long: as long as users wait for a response.
const STALLED_S: Seconds = 5.0;
/// A connection without requests is closed after this long.
const IDLE_S: Seconds = 300.0;
/// A connection without requests for this long may be closed in favour of a new one.
const REPLACEABLE_S: Seconds = 1.0;
/// What an empty input buffer may keep of its memory, in bytes.
const KEPT_INPUT_BYTES: usize = 1024;

/// Whether a connection can still be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionState {
    Open,
    Closed,
}

/// What a connection's input holds.
pub(super) enum NextRequest {
    /// No complete request, or the previous one is still being answered.
    None,
    /// A request that can't be read, to be answered with this status.
    Malformed(u16),
    Complete(HttpRequest),
}

pub(super) struct Connection {
    pub(super) stream: TcpStream,
    pub(super) generation: u64,
    input: Vec<u8>,
    output: Vec<u8>,
    /// How much of the output was sent, in bytes.
    written: usize,
    /// A request awaits its response.
    awaiting_response: bool,
    close_after_response: bool,
    /// When bytes, a request or a response last made progress here.
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

    /// Since when the connection has been without a request, if for long enough that it
    /// may be closed in favour of a new one.
    pub(super) fn replaceable_since(&self, now: Seconds) -> Option<Seconds> {
        let idle = !self.awaiting_response && self.input.is_empty() && self.output.is_empty();
        let replaceable = idle && now - self.last_progress_at > REPLACEABLE_S;
        replaceable.then_some(self.last_progress_at)
    }

    /// The client has stalled or has been idle for too long.
    pub(super) fn is_expired(&self, now: Seconds) -> bool {
        let age = now - self.last_progress_at;
        let receiving = !self.input.is_empty() && !self.awaiting_response;
        let sending = !self.output.is_empty();
        let stalled = (receiving || sending) && age > STALLED_S;
        stalled || !self.awaiting_response && age > IDLE_S
    }

    /// Receives all bytes that have arrived. Much more than one request of at most
    /// `body_limit` bytes ends the connection: no client of the protocol sends that
    /// without waiting for a response.
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

    /// Takes the next request from the input, if it is complete and the previous one was
    /// answered.
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

    /// Sends what the socket takes of the output.
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
