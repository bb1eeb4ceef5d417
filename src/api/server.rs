//! A small HTTP/1.1 server on one thread: `mio` waits, `httparse` reads the
//! heads. Connections are cheap, and a client that sends half a request, or
//! takes no answer, holds up nobody but itself and not for long.

use crate::api::http_request::{read_request, HttpRequest, Progress, HEAD_LIMIT};
use crate::clock::{self, Seconds};
use crate::store::spawn;
use crossbeam::channel::{bounded, Receiver, Sender};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// A request that isn't complete, or an answer that isn't taken, after this
/// long is given up: as long as users wait for one.
const PATIENCE_S: Seconds = 5.0;
/// A connection without requests is closed after this long.
const IDLE_S: Seconds = 300.0;

const LISTENER: Token = Token(usize::MAX);
const WAKER: Token = Token(usize::MAX - 1);

/// An answer on its way to its connection.
struct Answer {
    at: usize,
    serial: u64,
    status: u16,
    body: Vec<u8>,
    retry_s: Option<u32>,
    /// It is only true, or allowed, before then.
    until: Option<Seconds>,
}

#[derive(Clone)]
struct Out {
    answers: Sender<Answer>,
    waker: Arc<Waker>,
    woken: Arc<AtomicBool>,
}

/// Where an answer goes. Sent at most once; dropped unsent it is a 503.
pub struct Responder {
    at: usize,
    serial: u64,
    out: Option<Out>,
}

impl Responder {
    /// Sends the answer.
    pub fn send(mut self, status: u16, body: Vec<u8>) {
        self.finish(status, body, None, None);
    }

    /// Sends the answer if its bytes go out before `until`: a process may stand
    /// still between deciding and sending. Later it is a 503.
    pub fn send_until(mut self, status: u16, body: Vec<u8>, until: Seconds) {
        self.finish(status, body, None, Some(until));
    }

    /// Refuses for now, and says when to come back.
    pub fn retry_later(mut self, status: u16, retry_s: u32, why: &str) {
        self.finish(status, error_body(why), Some(retry_s), None);
    }

    fn finish(&mut self, status: u16, body: Vec<u8>, retry_s: Option<u32>, until: Option<Seconds>) {
        let Some(out) = self.out.take() else { return };
        // As many fit as there are connections, and each awaits one.
        let answer = Answer {
            at: self.at,
            serial: self.serial,
            status,
            body,
            retry_s,
            until,
        };
        if out.answers.try_send(answer).is_ok() && !out.woken.swap(true, Ordering::SeqCst) {
            let _ = out.waker.wake();
        }
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        self.finish(503, error_body("overloaded"), Some(1), None);
    }
}

/// A JSON body that says what went wrong.
pub fn error_body(why: &str) -> Vec<u8> {
    serde_json::to_vec(&serde_json::json!({ "error": why })).unwrap_or_default()
}

/// What a listener may take.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Connections at a time.
    pub connections: usize,
    /// Bytes of a request's body.
    pub body: usize,
}

struct Conn {
    stream: TcpStream,
    serial: u64,
    input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
    /// A request is being answered.
    busy: bool,
    last: bool,
    /// When something last got further here.
    since: Seconds,
}

/// Listens on `addr` and hands every request to `tell`.
pub fn listen<F>(
    name: &'static str,
    addr: SocketAddr,
    limits: Limits,
    tell: F,
) -> std::io::Result<()>
where
    F: Fn(HttpRequest, Responder) + Send + 'static,
{
    let mut listener = TcpListener::bind(addr)?;
    let poll = Poll::new()?;
    poll.registry()
        .register(&mut listener, LISTENER, Interest::READABLE)?;
    let waker = Arc::new(Waker::new(poll.registry(), WAKER)?);
    let (answers, inbox) = bounded(limits.connections + 64);
    let out = Out {
        answers,
        waker,
        woken: Arc::new(AtomicBool::new(false)),
    };
    spawn(name, move || {
        let mut server = Server {
            poll,
            listener,
            limits,
            conns: Vec::new(),
            free: Vec::new(),
            serials: 0,
            refused: 0,
            out,
            tell,
        };
        server.run(&inbox);
    });
    Ok(())
}

struct Server<F> {
    poll: Poll,
    listener: TcpListener,
    limits: Limits,
    conns: Vec<Option<Conn>>,
    free: Vec<usize>,
    serials: u64,
    /// Connections refused since that was last logged.
    refused: u64,
    out: Out,
    tell: F,
}

impl<F: Fn(HttpRequest, Responder)> Server<F> {
    fn run(&mut self, inbox: &Receiver<Answer>) {
        let mut events = Events::with_capacity(256);
        let mut swept = clock::now();
        loop {
            if let Err(e) = self.poll.poll(&mut events, Some(Duration::from_secs(1))) {
                if e.kind() != ErrorKind::Interrupted {
                    tracing::error!(%e, "cannot wait for connections");
                    std::thread::sleep(Duration::from_millis(100));
                }
            }
            let now = clock::now();
            for event in &events {
                match event.token() {
                    LISTENER => self.accept(now),
                    WAKER => {}
                    Token(at) => self.serve(at, now),
                }
            }
            self.out.woken.store(false, Ordering::SeqCst);
            while let Ok(answer) = inbox.try_recv() {
                self.answer(answer, now);
            }
            if now - swept > 1.0 {
                swept = now;
                self.sweep(now);
                // An accept that failed for lack of sockets gives no new sign.
                self.accept(now);
            }
        }
    }

    fn accept(&mut self, now: Seconds) {
        loop {
            match self.listener.accept() {
                Ok((mut stream, _)) => {
                    if self.conns.len() - self.free.len() >= self.limits.connections
                        && !self.make_room(now)
                    {
                        // Refused at once: whoever asks tries another node.
                        self.refused += 1;
                        continue;
                    }
                    let _ = stream.set_nodelay(true);
                    let at = self.free.pop().unwrap_or_else(|| {
                        self.conns.push(None);
                        self.conns.len() - 1
                    });
                    let both = Interest::READABLE | Interest::WRITABLE;
                    if self
                        .poll
                        .registry()
                        .register(&mut stream, Token(at), both)
                        .is_err()
                    {
                        self.free.push(at);
                        continue;
                    }
                    self.serials += 1;
                    self.conns[at] = Some(Conn {
                        stream,
                        serial: self.serials,
                        input: Vec::new(),
                        output: Vec::new(),
                        written: 0,
                        busy: false,
                        last: false,
                        since: now,
                    });
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    if e.kind() != ErrorKind::WouldBlock {
                        tracing::warn!(%e, "cannot accept");
                    }
                    return;
                }
            }
        }
    }

    /// Closes the connection that has been without a request for longest.
    fn make_room(&mut self, now: Seconds) -> bool {
        let idle =
            |c: &Conn| !c.busy && c.input.is_empty() && c.output.is_empty() && now - c.since > 1.0;
        let oldest = self
            .conns
            .iter()
            .enumerate()
            .filter_map(|(at, c)| c.as_ref().filter(|c| idle(c)).map(|c| (at, c.since)))
            .min_by(|a, b| a.1.total_cmp(&b.1));
        match oldest {
            Some((at, _)) => {
                self.close(at);
                true
            }
            None => false,
        }
    }

    fn close(&mut self, at: usize) {
        if let Some(mut c) = self.conns[at].take() {
            let _ = self.poll.registry().deregister(&mut c.stream);
            self.free.push(at);
        }
    }

    fn sweep(&mut self, now: Seconds) {
        if self.refused > 0 {
            let (refused, limit) = (self.refused, self.limits.connections);
            tracing::warn!(refused, limit, "connections were refused: all are in use");
            self.refused = 0;
        }
        for at in 0..self.conns.len() {
            let Some(c) = &self.conns[at] else { continue };
            let age = now - c.since;
            let stuck =
                (!c.input.is_empty() && !c.busy || !c.output.is_empty()) && age > PATIENCE_S;
            if stuck || !c.busy && age > IDLE_S {
                self.close(at);
            }
        }
    }

    fn serve(&mut self, at: usize, now: Seconds) {
        let Some(Some(c)) = self.conns.get_mut(at) else {
            return;
        };
        let most = HEAD_LIMIT + self.limits.body;
        let mut open = flush(c, now);
        let mut buffer = [0u8; 16 * 1024];
        while open {
            match c.stream.read(&mut buffer) {
                Ok(0) => open = false,
                Ok(n) => {
                    if c.input.is_empty() {
                        c.since = now;
                    }
                    c.input.extend_from_slice(&buffer[..n]);
                    // Far more than one request, unasked: nothing of ours does so.
                    open = c.input.len() <= most * 2;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    open = e.kind() == ErrorKind::WouldBlock;
                    break;
                }
            }
        }
        if open {
            self.next(at, now);
        } else {
            self.close(at);
        }
    }

    /// Takes the next request of a connection, if it is whole.
    fn next(&mut self, at: usize, now: Seconds) {
        let Some(Some(c)) = self.conns.get_mut(at) else {
            return;
        };
        if c.busy || !c.output.is_empty() || c.input.is_empty() {
            return;
        }
        match read_request(&c.input, self.limits.body) {
            Progress::Incomplete => {}
            Progress::Malformed(status) => {
                c.busy = true;
                c.last = true;
                let serial = c.serial;
                let body = error_body("the request can't be read or is too large");
                self.answer(
                    Answer {
                        at,
                        serial,
                        status,
                        body,
                        retry_s: None,
                        until: None,
                    },
                    now,
                );
            }
            Progress::Complete {
                request,
                used,
                last,
            } => {
                c.busy = true;
                c.last = last;
                c.since = now;
                c.input.drain(..used);
                if c.input.is_empty() {
                    c.input.shrink_to(1024);
                }
                let responder = Responder {
                    at,
                    serial: c.serial,
                    out: Some(self.out.clone()),
                };
                (self.tell)(request, responder);
            }
        }
    }

    fn answer(&mut self, mut a: Answer, now: Seconds) {
        if a.until.is_some_and(|until| clock::now() >= until) {
            a = Answer {
                status: 503,
                body: error_body("too late"),
                retry_s: Some(1),
                until: None,
                ..a
            };
        }
        let Some(Some(c)) = self.conns.get_mut(a.at) else {
            return;
        };
        if c.serial != a.serial || !c.busy {
            return;
        }
        c.busy = false;
        c.since = now;
        let mut head = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
            a.status,
            phrase(a.status),
            a.body.len()
        );
        if let Some(s) = a.retry_s {
            head += &format!("Retry-After: {s}\r\n");
        }
        if c.last {
            head += "Connection: close\r\n";
        }
        head += "\r\n";
        c.output = head.into_bytes();
        c.output.extend_from_slice(&a.body);
        c.written = 0;
        if !flush(c, now) {
            return self.close(a.at);
        }
        self.next(a.at, now);
    }
}

/// Writes what can be written; false if the connection is over.
fn flush(c: &mut Conn, now: Seconds) -> bool {
    while c.written < c.output.len() {
        match c.stream.write(&c.output[c.written..]) {
            Ok(0) => return false,
            Ok(n) => {
                c.written += n;
                c.since = now;
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return e.kind() == ErrorKind::WouldBlock,
        }
    }
    let over = !c.output.is_empty() && c.last;
    c.output = Vec::new();
    c.written = 0;
    !over
}

fn phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        503 => "Service Unavailable",
        _ => "Other",
    }
}
