//! The HTTP side: what requests ask of the controller, and the pools that
//! relay reports and send direct commands.

use crate::api::http_request::HttpRequest;
use crate::api::server::{self, Limits};
pub use crate::api::server::{error_body, Responder};
use crate::clock::{self, Seconds};
use crate::cluster::peer::Envelope;
use crate::config::settings::Settings;
use crate::shard::DirectCommand;
use crate::store::spawn;
use crate::wire::{valid_job_id, Heartbeat, JobSpec, BODY_LIMIT};
use crossbeam::channel::{bounded, Receiver, Sender};
use finchwood_sharding::plan::Plan;
use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

/// The share of a controller's memory that one message of another may take.
const MESSAGE_SHARE: f64 = 1.0 / 10.0;

/// What a request asks of the controller.
#[derive(Debug)]
pub enum Request {
    Submit(Box<JobSpec>),
    Query(String),
    Withdraw(String),
    Up,
    /// A worker's report, with its bytes for a relay.
    Heartbeat {
        report: Box<Heartbeat>,
        raw: Vec<u8>,
        relayed: bool,
    },
    Peer(Box<Envelope>),
    /// What the last restart or takeover found, for operators.
    RestartReport,
    /// Who owns which share, and what moves, for operators.
    ShardMapReport,
    /// What operators want to move.
    SharesPlan(Plan),
}

/// Listens for users and workers, or for the other controllers, and hands
/// every request that makes sense to `tell`.
pub fn listen<F>(settings: &Settings, back: bool, tell: F) -> std::io::Result<()>
where
    F: Fn(Request, Responder) + Send + 'static,
{
    // Three quarters of the sockets for those who come from outside; the rest
    // for the other controllers and for what this one asks of others.
    let most = settings.params.machine_limits.max_connections;
    let (name, address, limits) = if back {
        let body = largest_message(settings.params.machine_limits.ram_mb);
        (
            "listen-back",
            settings.back,
            Limits {
                connections: (most / 10).max(8),
                body,
            },
        )
    } else {
        (
            "listen",
            settings.client_listen,
            Limits {
                connections: (most * 3 / 4).max(8),
                body: BODY_LIMIT,
            },
        )
    };
    server::listen(
        name,
        address,
        limits,
        move |request: HttpRequest, responder| match parse(
            &request.method,
            &request.path,
            request.body,
            back,
        ) {
            Ok(ask) => tell(ask, responder),
            Err((status, why)) => responder.send(status, error_body(&why)),
        },
    )
}

/// The largest message that a controller takes from another, in bytes: the whole of a
/// shard, in a cluster where few controllers share thousands of machines.
pub fn largest_message(ram_mb: f64) -> usize {
    ((ram_mb * MESSAGE_SHARE * 1024.0 * 1024.0) as usize).max(32 * BODY_LIMIT)
}

type Bad = (u16, String);

fn parse(method: &str, path: &str, body: Vec<u8>, back: bool) -> Result<Request, Bad> {
    let none = || (404, "no such thing".to_string());
    if back {
        return match path {
            "/peer" => Envelope::decode(&body)
                .map(|e| Request::Peer(Box::new(e)))
                .ok_or((400, "not a message".into())),
            "/relay" => report(body, true),
            "/restart" if method == "GET" => Ok(Request::RestartReport),
            "/shares" if method == "GET" => Ok(Request::ShardMapReport),
            "/shares/plan" if method == "POST" => match serde_json::from_slice(&body) {
                Ok(plan) => Ok(Request::SharesPlan(plan)),
                Err(e) => Err((400, format!("plan: {e}"))),
            },
            _ => Err(none()),
        };
    }
    match (method, path) {
        ("GET", "/up") => Ok(Request::Up),
        ("POST", "/v2/runs") => match JobSpec::parse(&body) {
            Ok(spec) => Ok(Request::Submit(Box::new(spec))),
            Err(why) => Err((400, why)),
        },
        ("POST", "/agent/beat") => report(body, false),
        _ => {
            let rest = path.strip_prefix("/v2/runs/").ok_or_else(none)?;
            match (method, rest.strip_suffix("/withdraw")) {
                ("POST", Some(id)) if valid_job_id(id) => Ok(Request::Withdraw(id.into())),
                ("GET", None) if valid_job_id(rest) => Ok(Request::Query(rest.into())),
                _ => Err(none()),
            }
        }
    }
}

fn report(raw: Vec<u8>, relayed: bool) -> Result<Request, Bad> {
    match serde_json::from_slice::<Heartbeat>(&raw) {
        Ok(report) => Ok(Request::Heartbeat {
            report: Box::new(report),
            raw,
            relayed,
        }),
        Err(e) => {
            tracing::warn!(%e, "a worker's report makes no sense");
            Err((400, e.to_string()))
        }
    }
}

fn agent(timeout: Seconds, idle: usize, idle_per_host: usize) -> ureq::Agent {
    ureq::AgentBuilder::new()
        .timeout_connect(Duration::from_secs_f64(timeout))
        .timeout(Duration::from_secs_f64(timeout))
        .max_idle_connections(idle)
        .max_idle_connections_per_host(idle_per_host)
        .redirects(0)
        .build()
}

fn body_of(r: ureq::Response) -> Vec<u8> {
    let mut bytes = Vec::new();
    let _ = r
        .into_reader()
        .take(4 * BODY_LIMIT as u64)
        .read_to_end(&mut bytes);
    bytes
}

/// A report to be relayed to its owner.
pub struct RelayedHeartbeat {
    pub raw: Vec<u8>,
    pub responder: Responder,
    /// When its worker will have given up.
    pub until: Seconds,
}

/// Starts the pool that relays reports to one other controller and passes its
/// answers on, whatever they are. Each has its own: one that stands still must
/// not hold up the reports that belong to the rest.
pub fn start_relay_pool(
    to: SocketAddr,
    threads: usize,
    timeout: Seconds,
) -> Sender<RelayedHeartbeat> {
    let (queue, inbox) = bounded::<RelayedHeartbeat>(threads * 16);
    let agent = agent(timeout, threads, threads);
    for i in 0..threads {
        let (inbox, agent): (Receiver<RelayedHeartbeat>, _) = (inbox.clone(), agent.clone());
        spawn(&format!("relay-{i}"), move || {
            while let Ok(r) = inbox.recv() {
                if clock::now() >= r.until {
                    r.responder.retry_later(503, 1, "the owner takes too long");
                    continue;
                }
                match agent.post(&format!("http://{to}/relay")).send_bytes(&r.raw) {
                    Ok(answer) => r.responder.send(200, body_of(answer)),
                    Err(ureq::Error::Status(code, answer)) => {
                        r.responder.send(code, body_of(answer))
                    }
                    Err(_) => r
                        .responder
                        .retry_later(503, 1, "the owner can't be reached"),
                }
            }
        });
    }
    queue
}

/// How direct commands ended: the worker's report, if it answered.
pub struct CommandResult {
    pub sent: DirectCommand,
    pub answer: Option<Heartbeat>,
}

type Order = (DirectCommand, Seconds);

/// A pool that sends direct commands, one at a time to each of many machines.
/// It grows with need up to its bound, and takes no more than it has threads
/// for: what does not fit is asked for again in the next round.
pub struct CommandPool {
    queue: Sender<Order>,
    most: usize,
    threads: usize,
    under_way: usize,
    grow: Box<dyn Fn(usize) + Send>,
}

impl CommandPool {
    /// A pool without threads yet. None of its commands is sent after the
    /// time that comes with it, the end of this node's right to command.
    pub fn new<F>(name: &'static str, most: usize, timeout: Seconds, tell: F) -> CommandPool
    where
        F: Fn(CommandResult) -> bool + Send + Clone + 'static,
    {
        let (queue, inbox) = bounded::<Order>(most);
        let agent = agent(timeout, most, 1);
        let grow = move |i: usize| {
            let (inbox, agent, tell): (Receiver<Order>, _, _) =
                (inbox.clone(), agent.clone(), tell.clone());
            spawn(&format!("{name}-{i}"), move || {
                while let Ok((sent, until)) = inbox.recv() {
                    let answer = if clock::now() < until {
                        command(&agent, &sent)
                    } else {
                        None
                    };
                    if !tell(CommandResult { sent, answer }) {
                        return;
                    }
                }
            });
        };
        CommandPool {
            queue,
            most,
            threads: 0,
            under_way: 0,
            grow: Box::new(grow),
        }
    }

    /// How many more it takes now.
    pub fn room(&self) -> usize {
        self.most - self.under_way
    }

    /// Sends a command; handed back if there is no room.
    pub fn send(&mut self, order: Order) -> Result<(), DirectCommand> {
        if self.under_way >= self.threads && self.threads < self.most {
            (self.grow)(self.threads);
            self.threads += 1;
        }
        match self.queue.try_send(order) {
            Ok(()) => {
                self.under_way += 1;
                Ok(())
            }
            Err(e) => Err(e.into_inner().0),
        }
    }

    /// One of its commands was answered or given up.
    pub fn done(&mut self) {
        self.under_way = self.under_way.saturating_sub(1);
    }
}

fn command(agent: &ureq::Agent, sent: &DirectCommand) -> Option<Heartbeat> {
    let body = serde_json::to_vec(&sent.body).unwrap_or_default();
    match agent
        .post(&format!("http://{}/commands", sent.address))
        .send_bytes(&body)
    {
        Ok(r) | Err(ureq::Error::Status(409, r)) => serde_json::from_slice(&body_of(r)).ok(),
        Err(_) => None,
    }
}
