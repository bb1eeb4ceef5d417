//! Returns responses to the connections that wait for them.

use crate::api::status::{self, reason_phrase};
use crate::clock::Seconds;
use crossbeam::channel::Sender;
use mio::Waker;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// The delay after which a client may retry a request that was dropped, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// The identity of a connection. The generation distinguishes it from earlier connections in
/// the same slot.
#[derive(Debug, Clone, Copy)]
pub(super) struct ConnectionId {
    pub(super) slot: usize,
    pub(super) generation: u64,
}

/// A response to be sent on its connection.
pub(super) struct Response {
    pub(super) connection: ConnectionId,
    status: u16,
    body: Vec<u8>,
    retry_after_s: Option<u32>,
    /// The time from which the response is no longer valid and must not be sent; `None` if
    /// never.
    pub(super) deadline: Option<Seconds>,
}

impl Response {
    /// Creates a response whose body is an error message.
    pub(super) fn error(connection: ConnectionId, status: u16, message: &str) -> Response {
        Response {
            connection,
            status,
            body: error_body(message),
            retry_after_s: None,
            deadline: None,
        }
    }

    /// Creates the response that replaces one whose deadline has passed.
    pub(super) fn too_late(connection: ConnectionId) -> Response {
        Response {
            retry_after_s: Some(RETRY_AFTER_S),
            ..Response::error(connection, status::SERVICE_UNAVAILABLE, "too late")
        }
    }

    /// Serializes the response. `close` announces that the connection is closed after it.
    pub(super) fn into_bytes(self, close: bool) -> Vec<u8> {
        let mut head = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
            self.status,
            reason_phrase(self.status),
            self.body.len()
        );
        if let Some(seconds) = self.retry_after_s {
            head += &format!("Retry-After: {seconds}\r\n");
        }
        if close {
            head += "Connection: close\r\n";
        }
        head += "\r\n";
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// The queue of responses from the responders to the event loop of the server.
#[derive(Clone)]
pub(super) struct ResponseQueue {
    responses: Sender<Response>,
    waker: Arc<Waker>,
    /// Whether the event loop was woken and has not drained the queue since.
    woken: Arc<AtomicBool>,
}

impl ResponseQueue {
    /// Creates the queue. `waker` wakes the event loop that receives the responses.
    pub(super) fn new(responses: Sender<Response>, waker: Waker) -> ResponseQueue {
        ResponseQueue {
            responses,
            waker: Arc::new(waker),
            woken: Arc::new(AtomicBool::new(false)),
        }
    }

    /// Makes the next pushed response wake the event loop again. Must be called before the
    /// queue is drained, so that no response is left in it without a wake-up.
    pub(super) fn reset_wakeup(&self) {
        self.woken.store(false, Ordering::SeqCst);
    }

    fn push(&self, response: Response) {
        // The queue has capacity for one response per connection, as each connection awaits at
        // most one, and for some responses to closed connections.
        let queued = self.responses.try_send(response).is_ok();
        if queued && !self.woken.swap(true, Ordering::SeqCst) {
            let _ = self.waker.wake();
        }
    }
}

/// Sends the response to one request, at most once. If a responder is dropped before it has
/// sent a response, the client receives status 503 and may retry.
pub struct Responder {
    connection: ConnectionId,
    /// `None` once the response is sent.
    queue: Option<ResponseQueue>,
}

impl Responder {
    pub(super) fn new(connection: ConnectionId, queue: ResponseQueue) -> Responder {
        Responder {
            connection,
            queue: Some(queue),
        }
    }

    /// Sends the response.
    pub fn send(mut self, status: u16, body: Vec<u8>) {
        self.finish(status, body, None, None);
    }

    /// Sends the response if the server can start to send it before `deadline`, and status 503
    /// otherwise. The process may be paused for a while after the response was determined.
    pub fn send_until(mut self, status: u16, body: Vec<u8>, deadline: Seconds) {
        self.finish(status, body, None, Some(deadline));
    }

    /// Refuses the request with an error message, without asking the client to retry.
    pub fn send_error(mut self, status: u16, message: &str) {
        self.finish(status, error_body(message), None, None);
    }

    /// Refuses the request for now, and asks the client to retry after `retry_after_s`
    /// seconds.
    pub fn retry_later(mut self, status: u16, retry_after_s: u32, message: &str) {
        self.finish(status, error_body(message), Some(retry_after_s), None);
    }

    fn finish(
        &mut self,
        status: u16,
        body: Vec<u8>,
        retry_after_s: Option<u32>,
        deadline: Option<Seconds>,
    ) {
        let Some(queue) = self.queue.take() else {
            return;
        };
        queue.push(Response {
            connection: self.connection,
            status,
            body,
            retry_after_s,
            deadline,
        });
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        if self.queue.is_some() {
            let body = error_body("overloaded");
            self.finish(status::SERVICE_UNAVAILABLE, body, Some(RETRY_AFTER_S), None);
        }
    }
}

/// Returns a JSON body with an error message.
pub fn error_body(message: &str) -> Vec<u8> {
    serde_json::to_vec(&serde_json::json!({ "error": message })).unwrap_or_default()
}
