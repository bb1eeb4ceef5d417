//! A blocking HTTP client of JSON services, for threads that may wait for responses.

use crate::clock::Seconds;
use serde_json::Value;
use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// The largest number of idle connections that a client keeps open.
const MAX_IDLE_CONNECTIONS: usize = 2;

/// Why a call failed.
#[derive(Debug, Error)]
pub enum CallError {
    /// The service responded with this error status and body (`null` if it is not JSON).
    #[error("status {0}: {1}")]
    Status(u16, Value),
    /// There is no response, or a malformed one. The call may have been executed.
    #[error("no valid response")]
    NoResponse,
}

/// A blocking HTTP client of one service.
#[derive(Clone)]
pub struct HttpClient {
    agent: ureq::Agent,
    base_url: String,
}

impl HttpClient {
    /// Creates a client of the service at `addr` whose calls time out after `timeout`
    /// seconds.
    pub fn new(addr: SocketAddr, timeout: Seconds) -> HttpClient {
        let agent = ureq::AgentBuilder::new()
            .timeout_connect(Duration::from_secs_f64(timeout))
            .timeout(Duration::from_secs_f64(timeout))
            .max_idle_connections_per_host(MAX_IDLE_CONNECTIONS)
            .redirects(0)
            .build();
        HttpClient {
            agent,
            base_url: format!("http://{addr}"),
        }
    }

    /// Executes a call, with a JSON body if one is given. Returns the JSON body of the
    /// response, `null` if it is empty.
    ///
    /// # Errors
    /// Returns an error if the service responds with an error status, or there is no valid
    /// response.
    pub fn call(&self, method: &str, path: &str, body: Option<&Value>) -> Result<Value, CallError> {
        let request = self
            .agent
            .request(method, &format!("{}{path}", self.base_url));
        let response = match body {
            Some(body) => request
                .set("Content-Type", "application/json")
                .send_bytes(&serde_json::to_vec(body).unwrap_or_default()),
            None => request.call(),
        };
        match response {
            Ok(response) => json_body(response),
            Err(ureq::Error::Status(status, response)) => {
                let text = response.into_string().unwrap_or_default();
                let body = serde_json::from_str(&text).unwrap_or(Value::Null);
                Err(CallError::Status(status, body))
            }
            Err(ureq::Error::Transport(_)) => Err(CallError::NoResponse),
        }
    }
}

fn json_body(response: ureq::Response) -> Result<Value, CallError> {
    let mut bytes = Vec::new();
    response
        .into_reader()
        .read_to_end(&mut bytes)
        .map_err(|_| CallError::NoResponse)?;
    if bytes.is_empty() {
        return Ok(Value::Null);
    }
    serde_json::from_slice(&bytes).map_err(|_| CallError::NoResponse)
}
