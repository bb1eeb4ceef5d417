//! A blocking HTTP client for the small actors that own a connection each.

use crate::clock::Seconds;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// How a call ended.
#[derive(Debug)]
pub enum CallError {
    /// An answer with this status.
    Status(u16, Value),
    /// No answer.
    NoResponse,
}

/// A blocking HTTP client for one outside system.
#[derive(Clone)]
pub struct HttpClient {
    agent: ureq::Agent,
    base: String,
}

impl HttpClient {
    /// A client for `addr`, giving up on each call after `timeout`.
    pub fn new(addr: SocketAddr, timeout: Seconds) -> HttpClient {
        let agent = ureq::AgentBuilder::new()
            .timeout_connect(Duration::from_secs_f64(timeout))
            .timeout(Duration::from_secs_f64(timeout))
            .max_idle_connections_per_host(2)
            .redirects(0)
            .build();
        HttpClient {
            agent,
            base: format!("http://{addr}"),
        }
    }

    /// One call; a body makes it a POST.
    pub fn call(&self, method: &str, path: &str, body: Option<&Value>) -> Result<Value, CallError> {
        let request = self.agent.request(method, &format!("{}{path}", self.base));
        let answer = match body {
            Some(b) => request
                .set("Content-Type", "application/json")
                .send_bytes(&serde_json::to_vec(b).unwrap_or_default()),
            None => request.call(),
        };
        match answer {
            Ok(r) => {
                let mut bytes = Vec::new();
                std::io::Read::read_to_end(&mut r.into_reader(), &mut bytes)
                    .map_err(|_| CallError::NoResponse)?;
                if bytes.is_empty() {
                    return Ok(Value::Null);
                }
                serde_json::from_slice(&bytes).map_err(|_| CallError::NoResponse)
            }
            Err(ureq::Error::Status(code, r)) => {
                let text = r.into_string().unwrap_or_default();
                Err(CallError::Status(
                    code,
                    serde_json::from_str(&text).unwrap_or(Value::Null),
                ))
            }
            Err(ureq::Error::Transport(_)) => Err(CallError::NoResponse),
        }
    }
}
