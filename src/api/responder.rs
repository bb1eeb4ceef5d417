//! How responses get back to the connections that wait for them.

use crate::api::status::{self, reason_phrase};
use crate::clock::Seconds;
use crossbeam::channel::Sender;
use mio::Waker;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// When a client is told to retry if its request was dropped, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// A connection, told apart from earlier ones in the same slot by its generation.
#[derive(Debug, Clone, Copy)]
pub(super) struct ConnectionId {
    pub(super) slot: usize,
    pub(super) generation: u64,
}

/// A response on its way to its connection.
pub(super) struct Response {
    pub(super) connection: ConnectionId,
    status: u16,
    body: Vec<u8>,
    retry_after_s: Option<u32>,
    /// It is only true, or allowed, before then.
    pub(super) deadline: Option<Seconds>,
}

impl Response {
    /// A response with an error as its body.
    pub(super) fn error(connection: ConnectionId, status: u16, why: &str) -> Response {
        Response {
            connection,
            status,
            body: error_body(why),
            retry_after_s: None,
            deadline: None,
        }
    }

    /// The response to a request whose own response came too late.
    pub(super) fn too_late(connection: ConnectionId) -> Response {
        Response {
            retry_after_s: Some(RETRY_AFTER_S),
            ..Response::error(connection, status::SERVICE_UNAVAILABLE, "too late")
        }
    }

    /// The bytes that are sent; `close` announces that the connection ends with them.
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

/// The way from responders to the server's event loop.
#[derive(Clone)]
pub(super) struct ResponseQueue {
    responses: Sender<Response>,
    waker: Arc<Waker>,
    /// The event loop has been woken, and has not looked at the queue since.
    woken: Arc<AtomicBool>,
}

impl ResponseQueue {
    /// A queue in front of `responses`, whose receiver `waker` wakes.
    pub(super) fn new(responses: Sender<Response>, waker: Waker) -> ResponseQueue {
        ResponseQueue {
            responses,
            waker: Arc::new(waker),
            woken: Arc::new(AtomicBool::new(false)),
        }
    }

    /// To be called before the queue is drained: later responses wake the loop again.
    pub(super) fn reset_wakeup(&self) {
        self.woken.store(false, Ordering::SeqCst);
    }

    fn push(&self, response: Response) {
        // As many fit as there are connections, and each awaits one.
        let queued = self.responses.try_send(response).is_ok();
        if queued && !self.woken.swap(true, Ordering::SeqCst) {
            let _ = self.waker.wake();
        }
    }
}

/// Sends the response to one request, at most once. If it is dropped without one, the
/// client gets a 503 and may retry.
pub struct Responder {
    connection: ConnectionId,
    /// `None` once the response was sent.
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

    /// Sends the response if its bytes go out before `deadline`: a process may be paused
    /// between deciding and sending. Later it is a 503.
    pub fn send_until(mut self, status: u16, body: Vec<u8>, deadline: Seconds) {
        self.finish(status, body, None, Some(deadline));
    }

    /// Refuses the request for good.
    pub fn send_error(mut self, status: u16, why: &str) {
        self.finish(status, error_body(why), None, None);
    }

    /// Refuses the request for now, and tells the client to retry after so many seconds.
    pub fn retry_later(mut self, status: u16, retry_after_s: u32, why: &str) {
        self.finish(status, error_body(why), Some(retry_after_s), None);
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

/// A JSON body that says what went wrong.
pub fn error_body(why: &str) -> Vec<u8> {
    serde_json::to_vec(&serde_json::json!({ "error": why })).unwrap_or_default()
}
