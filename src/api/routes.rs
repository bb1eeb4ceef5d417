//! The routes: how an HTTP request becomes a [`Request`], and what is answered if it
//! can't.

use crate::api::http_request::HttpRequest;
use crate::api::status;
use crate::cluster::peer::Envelope;
use crate::wire::{valid_job_id, Heartbeat, JobSpec, JobSpecError};
use finchwood_sharding::plan::Plan;
use thiserror::Error;

/// The collection of jobs.
const JOBS_PATH: &str = "/v2/runs";
/// What precedes the id in the path of one job.
const JOB_PREFIX: &str = "/v2/runs/";
/// What follows the id in the path that cancels a job.
const CANCEL_SUFFIX: &str = "/withdraw";

/// A request to the controller.
#[derive(Debug)]
pub enum Request {
    /// A user submits a job.
    Submit(Box<JobSpec>),
    /// A user asks for the state of the job with this id.
    Query(String),
    /// A user cancels the job with this id.
    Cancel(String),
    /// Whether the controller is ready to serve users.
    HealthCheck,
    /// A worker reports the state of its machine and tasks.
    Heartbeat {
        /// The decoded report.
        report: Box<Heartbeat>,
        /// The body as it was received, for relaying it unchanged.
        body: Vec<u8>,
        /// Another controller relayed it.
        relayed: bool,
    },
    /// A message from another controller.
    Peer(Box<Envelope>),
    /// Operators ask what the last restart or takeover found.
    RestartReport,
    /// Operators ask for the shard map and the transfers under way.
    ShardMapReport,
    /// Operators submit a plan of transfers.
    ShardMapPlan(Plan),
}

/// Why a request is refused before it reaches the controller. The text of each is the
/// error that the client reads.
#[derive(Debug, Error)]
pub enum RouteError {
    /// No such path, or not with this method.
    #[error("no such thing")]
    UnknownRoute,
    /// The body is no message between controllers.
    #[error("not a message")]
    MalformedEnvelope,
    /// The body is no plan of transfers.
    #[error("plan: {0}")]
    MalformedPlan(#[source] serde_json::Error),
    /// The body is no valid job.
    #[error(transparent)]
    InvalidJob(#[from] JobSpecError),
    /// The body is no heartbeat.
    #[error("{0}")]
    MalformedHeartbeat(#[source] serde_json::Error),
}

impl RouteError {
    /// The status code of the response.
    pub fn status(&self) -> u16 {
        match self {
            RouteError::UnknownRoute => status::NOT_FOUND,
            RouteError::MalformedEnvelope
            | RouteError::MalformedPlan(_)
            | RouteError::InvalidJob(_)
            | RouteError::MalformedHeartbeat(_) => status::BAD_REQUEST,
        }
    }
}

/// Routes a request of a user or worker.
///
/// # Errors
///
/// If the route is unknown or the body malformed.
pub fn parse_public(request: HttpRequest) -> Result<Request, RouteError> {
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/up") => Ok(Request::HealthCheck),
        ("POST", JOBS_PATH) => parse_job(&request.body),
        ("POST", "/agent/beat") => parse_heartbeat(request.body, false),
        (method, path) => parse_job_path(method, path),
    }
}

/// Routes a request of another controller or an operator.
///
/// # Errors
///
/// If the route is unknown or the body malformed.
pub fn parse_internal(request: HttpRequest) -> Result<Request, RouteError> {
    match (request.method.as_str(), request.path.as_str()) {
        // Accepted with any method.
        (_, "/peer") => parse_envelope(&request.body),
        (_, "/relay") => parse_heartbeat(request.body, true),
        ("GET", "/restart") => Ok(Request::RestartReport),
        ("GET", "/shares") => Ok(Request::ShardMapReport),
        ("POST", "/shares/plan") => parse_plan(&request.body),
        _ => Err(RouteError::UnknownRoute),
    }
}

fn parse_job_path(method: &str, path: &str) -> Result<Request, RouteError> {
    let rest = path
        .strip_prefix(JOB_PREFIX)
        .ok_or(RouteError::UnknownRoute)?;
    match (method, rest.strip_suffix(CANCEL_SUFFIX)) {
        ("POST", Some(id)) if valid_job_id(id) => Ok(Request::Cancel(id.into())),
        ("GET", None) if valid_job_id(rest) => Ok(Request::Query(rest.into())),
        _ => Err(RouteError::UnknownRoute),
    }
}

fn parse_job(body: &[u8]) -> Result<Request, RouteError> {
    let spec = JobSpec::parse(body)?;
    Ok(Request::Submit(Box::new(spec)))
}

fn parse_envelope(body: &[u8]) -> Result<Request, RouteError> {
    let envelope = Envelope::decode(body).ok_or(RouteError::MalformedEnvelope)?;
    Ok(Request::Peer(Box::new(envelope)))
}

fn parse_plan(body: &[u8]) -> Result<Request, RouteError> {
    let plan = serde_json::from_slice(body).map_err(RouteError::MalformedPlan)?;
    Ok(Request::ShardMapPlan(plan))
}

fn parse_heartbeat(body: Vec<u8>, relayed: bool) -> Result<Request, RouteError> {
    let report = serde_json::from_slice::<Heartbeat>(&body).map_err(|error| {
        tracing::warn!(%error, "malformed heartbeat");
        RouteError::MalformedHeartbeat(error)
    })?;
    Ok(Request::Heartbeat {
        report: Box::new(report),
        body,
        relayed,
    })
}
