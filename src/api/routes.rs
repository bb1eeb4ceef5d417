//! The routes of the HTTP interface: parses an HTTP request into a [`Request`], or determines
//! the error that is sent to the client.

use crate::api::http_request::HttpRequest;
use crate::api::status;
use crate::cluster::peer::Envelope;
use crate::wire::{valid_job_id, Heartbeat, JobSpec, JobSpecError};
use finchwood_sharding::plan::Plan;
use thiserror::Error;

/// The path of the collection of jobs.
const JOBS_PATH: &str = "/v2/runs";
/// The part of the path of a job that precedes the job id.
const JOB_PREFIX: &str = "/v2/runs/";
/// The part that follows the job id in the path that cancels the job.
const CANCEL_SUFFIX: &str = "/withdraw";

/// A request to the controller.
#[derive(Debug)]
pub enum Request {
    /// A user submits a job.
    Submit(Box<JobSpec>),
    /// A user requests the status of the job with this id.
    Query(String),
    /// A user cancels the job with this id.
    Cancel(String),
    /// A client checks whether the controller is ready to serve users.
    HealthCheck,
    /// A worker reports the state of its machine and tasks.
    Heartbeat {
        /// The decoded report.
        report: Box<Heartbeat>,
        /// The body as it was received, so that it can be relayed unchanged.
        body: Vec<u8>,
        /// Whether another controller relayed it.
        relayed: bool,
    },
    /// A message from another controller.
    Peer(Box<Envelope>),
    /// An operator requests the report on the last restart or takeover.
    RestartReport,
    /// An operator requests the shard map and the transfers in progress.
    ShardMapReport,
    /// An operator submits a plan of transfers.
    ShardMapPlan(Plan),
}

/// The reason why a request is refused before it reaches the event loop of the controller. Its
/// text is sent to the client.
#[derive(Debug, Error)]
pub enum RouteError {
    /// The path is unknown, or does not support this method.
    #[error("no such thing")]
    UnknownRoute,
    /// The body is not a message of another controller.
    #[error("not a message")]
    MalformedEnvelope,
    /// The body is not a plan of transfers.
    #[error("plan: {0}")]
    MalformedPlan(#[source] serde_json::Error),
    /// The body is not a valid job specification.
    #[error(transparent)]
    InvalidJob(#[from] JobSpecError),
    /// The body is not a heartbeat.
    #[error("{0}")]
    MalformedHeartbeat(#[source] serde_json::Error),
}

impl RouteError {
    /// Returns the status code of the response.
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

/// Parses a request on the public listener, from a user or worker.
///
/// # Errors
///
/// Returns an error if the route is unknown or the body is malformed.
pub fn parse_public(request: HttpRequest) -> Result<Request, RouteError> {
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/up") => Ok(Request::HealthCheck),
        ("POST", JOBS_PATH) => parse_job(&request.body),
        ("POST", "/agent/beat") => parse_heartbeat(request.body, false),
        (method, path) => parse_job_path(method, path),
    }
}

/// Parses a request on the internal listener, from another controller or an operator.
///
/// # Errors
///
/// Returns an error if the route is unknown or the body is malformed.
pub fn parse_internal(request: HttpRequest) -> Result<Request, RouteError> {
    match (request.method.as_str(), request.path.as_str()) {
        // These two are accepted with any method.
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
        tracing::warn!(%error, "rejected a malformed heartbeat");
        RouteError::MalformedHeartbeat(error)
    })?;
    Ok(Request::Heartbeat {
        report: Box::new(report),
        body,
        relayed,
    })
}
