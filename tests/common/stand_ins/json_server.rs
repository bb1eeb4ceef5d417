//! An HTTP server for JSON on the loopback interface.

use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use tiny_http::{Method, Response, Server};

/// The number of requests that a server handles at a time.
const SERVER_THREADS: usize = 8;

/// Starts a server on a free port of the loopback interface and returns its address.
/// `respond` maps the method, URL and body of a request (`Null` if the body is not JSON) to
/// the status and body of the response.
pub fn serve_json(
    respond: impl Fn(&Method, &str, Value) -> (u16, Value) + Send + Sync + 'static,
) -> SocketAddr {
    let server = Server::http("127.0.0.1:0").expect("a port");
    let address = server.server_addr().to_ip().expect("an address");
    let (server, respond) = (Arc::new(server), Arc::new(respond));
    for _ in 0..SERVER_THREADS {
        let (server, respond) = (server.clone(), respond.clone());
        std::thread::spawn(move || {
            while let Ok(mut request) = server.recv() {
                let mut text = String::new();
                let _ = request.as_reader().read_to_string(&mut text);
                let body = serde_json::from_str(&text).unwrap_or(Value::Null);
                let (status, value) = respond(request.method(), request.url(), body);
                let _ = request
                    .respond(Response::from_string(value.to_string()).with_status_code(status));
            }
        });
    }
    address
}

/// Returns the value of a query parameter of a URL.
pub fn query_parameter<'a>(url: &'a str, name: &str) -> Option<&'a str> {
    url.split_once('?')?
        .1
        .split('&')
        .find_map(|parameter| parameter.strip_prefix(name)?.strip_prefix('='))
}
