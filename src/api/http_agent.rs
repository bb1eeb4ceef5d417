//! What the pools that send requests to workers and controllers share.

use crate::clock::Seconds;
use crate::wire::BODY_LIMIT;
use std::io::Read;
use std::time::Duration;

/// The most bytes of a response's body that are read.
const MAX_RESPONSE_BYTES: u64 = 4 * BODY_LIMIT as u64;

/// An HTTP agent for a pool: `timeout` bounds each request as a whole, in seconds, and up
/// to `idle` connections are kept open for reuse.
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

/// The body of a response. One that breaks off is returned as far as it was received:
/// whoever decodes it notices.
pub(super) fn read_body(response: ureq::Response) -> Vec<u8> {
    let mut body = Vec::new();
    let _ = response
        .into_reader()
        .take(MAX_RESPONSE_BYTES)
        .read_to_end(&mut body);
    body
}
