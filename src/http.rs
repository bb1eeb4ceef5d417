//! The HTTP side: both listeners on `tiny_http`, a pool that writes answers,
//! and the pools that relay reports and send direct commands.

use crate::clock::{self, Secs};
use crate::fleet::Direct;
use crate::peer::Envelope;
use crate::state::spawn;
use crate::wire::{valid_job_id, JobSpec, Report, BODY_LIMIT};
use crossbeam::channel::{bounded, Receiver, Sender, TrySendError};
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;
use tiny_http::{Header, Method, Request, Response, Server};

/// Threads that take requests off a listener.
const TAKERS: usize = 4;

/// What a request asks of the controller.
#[derive(Debug)]
pub enum Ask {
    Submit(Box<JobSpec>),
    Query(String),
    Withdraw(String),
    Up,
    /// A worker's report, with its bytes for a relay.
    Report {
        report: Box<Report>,
        raw: Vec<u8>,
        relayed: bool,
    },
    Peer(Box<Envelope>),
}

/// A finished answer on its way out.
pub struct Outgoing {
    request: Request,
    status: u16,
    body: Vec<u8>,
    retry_s: Option<u32>,
}

/// Where an answer goes. Sent at most once; dropped unsent it is a 503.
pub struct Reply {
    request: Option<Request>,
    out: Sender<Outgoing>,
}

impl Reply {
    /// Sends the answer.
    pub fn send(mut self, status: u16, body: Vec<u8>) {
        self.finish(status, body, None);
    }

    /// Refuses for now, and says when to come back.
    pub fn later(mut self, status: u16, retry_s: u32, why: &str) {
        self.finish(status, error_body(why), Some(retry_s));
    }

    fn finish(&mut self, status: u16, body: Vec<u8>, retry_s: Option<u32>) {
        if let Some(request) = self.request.take() {
            let outgoing = Outgoing { request, status, body, retry_s };
            if let Err(TrySendError::Full(o) | TrySendError::Disconnected(o)) = self.out.try_send(outgoing) {
                respond(o);
            }
        }
    }
}

impl Drop for Reply {
    fn drop(&mut self) {
        self.finish(503, error_body("overloaded"), Some(1));
    }
}

/// A JSON body that says what went wrong.
pub fn error_body(why: &str) -> Vec<u8> {
    serde_json::to_vec(&serde_json::json!({ "error": why })).unwrap_or_default()
}

fn respond(o: Outgoing) {
    let mut response = Response::from_data(o.body).with_status_code(o.status);
    if let Ok(h) = Header::from_bytes("Content-Type", "application/json") {
        response.add_header(h);
    }
    if let Some(s) = o.retry_s {
        if let Ok(h) = Header::from_bytes("Retry-After", s.to_string()) {
            response.add_header(h);
        }
    }
    // A client that is gone is no news.
    let _ = o.request.respond(response);
}

/// Starts the threads that write answers: a slow client holds up one of them
/// and never the controller.
pub fn responders(threads: usize) -> Sender<Outgoing> {
    let (out, inbox) = bounded::<Outgoing>(2048);
    for i in 0..threads {
        let inbox: Receiver<Outgoing> = inbox.clone();
        spawn(&format!("responder-{i}"), move || {
            while let Ok(o) = inbox.recv() {
                respond(o);
            }
        });
    }
    out
}

/// Listens on `addr` and hands every request to `tell`, which gives it back
/// when the controller's queue is full.
pub fn listen<F>(addr: SocketAddr, back: bool, out: Sender<Outgoing>, tell: F) -> std::io::Result<()>
where
    F: Fn(Ask, Reply) + Send + Sync + 'static,
{
    let listener = TcpListener::bind(addr)?;
    let tell = Arc::new(tell);
    spawn(if back { "listen-back" } else { "listen" }, move || loop {
        // tiny_http's acceptor ends on its first failed accept, as when all
        // sockets are used up: then a new one is made on the same listener.
        let server = listener
            .try_clone()
            .map_err(|e| e.to_string())
            .and_then(|l| Server::from_listener(l, None).map_err(|e| e.to_string()));
        match server {
            Ok(server) => serve(&Arc::new(server), back, &out, &tell),
            Err(why) => tracing::error!(why, "cannot serve"),
        }
        std::thread::sleep(Duration::from_millis(100));
    });
    Ok(())
}

fn serve<F>(server: &Arc<Server>, back: bool, out: &Sender<Outgoing>, tell: &Arc<F>)
where
    F: Fn(Ask, Reply) + Send + Sync + 'static,
{
    let (over, ended) = bounded::<()>(TAKERS);
    for i in 0..TAKERS {
        let (server, out, tell, over) = (server.clone(), out.clone(), tell.clone(), over.clone());
        spawn(&format!("taker-{i}"), move || {
            loop {
                match server.recv() {
                    Ok(request) => take(request, back, &out, &*tell),
                    Err(e) => {
                        tracing::warn!(%e, "the acceptor failed");
                        break;
                    }
                }
            }
            server.unblock();
            let _ = over.try_send(());
        });
    }
    let _ = ended.recv();
}

fn take(mut request: Request, back: bool, out: &Sender<Outgoing>, tell: &(impl Fn(Ask, Reply) + ?Sized)) {
    let path = request.url().split('?').next().unwrap_or_default().to_string();
    let method = request.method().clone();
    let mut body = Vec::new();
    let limit = if back { 16 * BODY_LIMIT } else { BODY_LIMIT };
    let read = if method == Method::Post {
        request.as_reader().take(limit as u64 + 1).read_to_end(&mut body)
    } else {
        Ok(0)
    };
    let reply = Reply { request: Some(request), out: out.clone() };
    if read.is_err() || body.len() > limit {
        return reply.send(400, error_body("the body can't be read or is too large"));
    }
    match parse(&method, &path, body, back) {
        Ok(ask) => tell(ask, reply),
        Err((status, why)) => reply.send(status, error_body(&why)),
    }
}

type Bad = (u16, String);

fn parse(method: &Method, path: &str, body: Vec<u8>, back: bool) -> Result<Ask, Bad> {
    let none = || (404, "no such thing".to_string());
    if back {
        return match path {
            "/peer" => {
                Envelope::decode(&body).map(|e| Ask::Peer(Box::new(e))).ok_or((400, "not a message".into()))
            }
            "/relay" => report(body, true),
            _ => Err(none()),
        };
    }
    match (method, path) {
        (Method::Get, "/up") => Ok(Ask::Up),
        (Method::Post, "/v2/runs") => match JobSpec::parse(&body) {
            Ok(spec) => Ok(Ask::Submit(Box::new(spec))),
            Err(why) => Err((400, why)),
        },
        (Method::Post, "/agent/beat") => report(body, false),
        _ => {
            let rest = path.strip_prefix("/v2/runs/").ok_or_else(none)?;
            match (method, rest.strip_suffix("/withdraw")) {
                (Method::Post, Some(id)) if valid_job_id(id) => Ok(Ask::Withdraw(id.into())),
                (Method::Get, None) if valid_job_id(rest) => Ok(Ask::Query(rest.into())),
                _ => Err(none()),
            }
        }
    }
}

fn report(raw: Vec<u8>, relayed: bool) -> Result<Ask, Bad> {
    match serde_json::from_slice::<Report>(&raw) {
        Ok(report) => Ok(Ask::Report { report: Box::new(report), raw, relayed }),
        Err(e) => {
            tracing::warn!(%e, "a worker's report makes no sense");
            Err((400, e.to_string()))
        }
    }
}

fn agent(timeout: Secs) -> ureq::Agent {
    ureq::AgentBuilder::new()
        .timeout_connect(Duration::from_secs_f64(timeout))
        .timeout(Duration::from_secs_f64(timeout))
        .max_idle_connections(64)
        .max_idle_connections_per_host(1)
        .redirects(0)
        .build()
}

fn body_of(r: ureq::Response) -> Vec<u8> {
    let mut bytes = Vec::new();
    let _ = r.into_reader().take(4 * BODY_LIMIT as u64).read_to_end(&mut bytes);
    bytes
}

/// A report to be relayed to its owner.
pub struct Relay {
    pub to: SocketAddr,
    pub raw: Vec<u8>,
    pub reply: Reply,
}

/// Starts the pool that relays reports to the machine's owner and passes its
/// answer on, whatever it is.
pub fn relays(threads: usize, timeout: Secs) -> Sender<Relay> {
    let (queue, inbox) = bounded::<Relay>(64);
    let agent = agent(timeout);
    for i in 0..threads {
        let (inbox, agent): (Receiver<Relay>, _) = (inbox.clone(), agent.clone());
        spawn(&format!("relay-{i}"), move || {
            while let Ok(r) = inbox.recv() {
                match agent.post(&format!("http://{}/relay", r.to)).send_bytes(&r.raw) {
                    Ok(answer) => r.reply.send(200, body_of(answer)),
                    Err(ureq::Error::Status(code, answer)) => r.reply.send(code, body_of(answer)),
                    Err(_) => r.reply.later(503, 1, "the owner can't be reached"),
                }
            }
        });
    }
    queue
}

/// How direct commands ended: the worker's report, if it answered.
pub struct DirectDone {
    pub sent: Direct,
    pub answer: Option<Report>,
}

/// Starts the pool that sends direct commands. None is sent after `until`,
/// the end of this node's right to command.
pub fn directs<F>(threads: usize, timeout: Secs, tell: F) -> Sender<(Direct, Secs)>
where
    F: Fn(DirectDone) -> bool + Send + Clone + 'static,
{
    let (queue, inbox) = bounded::<(Direct, Secs)>(256);
    let agent = agent(timeout);
    for i in 0..threads {
        let (inbox, agent, tell): (Receiver<(Direct, Secs)>, _, _) =
            (inbox.clone(), agent.clone(), tell.clone());
        spawn(&format!("direct-{i}"), move || {
            while let Ok((sent, until)) = inbox.recv() {
                let body = serde_json::to_vec(&sent.body).unwrap_or_default();
                let answer = if clock::now() < until {
                    match agent.post(&format!("http://{}/commands", sent.addr)).send_bytes(&body) {
                        Ok(r) => serde_json::from_slice(&body_of(r)).ok(),
                        Err(ureq::Error::Status(409, r)) => serde_json::from_slice(&body_of(r)).ok(),
                        Err(_) => None,
                    }
                } else {
                    None
                };
                if !tell(DirectDone { sent, answer }) {
                    return;
                }
            }
        });
    }
    queue
}
