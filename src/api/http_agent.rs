//! HTTP client code shared by the pools that send requests to workers and other controllers.

use crate::clock::Seconds;
use crate::wire::BODY_LIMIT;
use std::io::Read;
use std::time::Duration;

/// The maximum number of bytes that are read from a response body.
const MAX_RESPONSE_BYTES: u64 = 4 * BODY_LIMIT as u64;

/// Creates the HTTP agent of a pool. `timeout` limits the duration of each request as a whole,
/// in seconds; up to `idle` connections are kept open for reuse.
pub(super) fn build_agent(timeout: Seconds, idle: usize, idle_per_host: usize) -> ureq::Agent {
    let timeout = Duration::from_secs_f64(timeout);
    ureq::AgentBuilder::new()
        .timeout_connect(timeout)
        .timeout(timeout)
        .max_idle_connections(idle)
        .max_idle_connections_per_host(idle_per_host)
        .redirects(0)
        .build()
}

/// Reads the body of a response. If the connection breaks, returns the part that was received,
/// which the recipient cannot decode.
pub(super) fn read_body(response: ureq::Response) -> Vec<u8> {
    let mut body = Vec::new();
    let _ = response
        .into_reader()
        .take(MAX_RESPONSE_BYTES)
        .read_to_end(&mut body);
    body
}
