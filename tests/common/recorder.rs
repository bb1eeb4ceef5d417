//! A stand-in for an external system that records the requests it receives and sends
//! prepared responses.

use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;
use tiny_http::{Response, Server};

/// An HTTP server that serves as many requests as it has responses.
pub struct Recorder {
    pub address: SocketAddr,
    requests: Receiver<String>,
}

impl Recorder {
    /// Starts a server that sends these responses in order. Each is written as a status, a
    /// space and a body.
    pub fn new(responses: &[&'static str]) -> Recorder {
        let server = Server::http("127.0.0.1:0").expect("a port");
        let address = server.server_addr().to_ip().expect("an address");
        let (sender, requests) = channel();
        let responses = responses.to_vec();
        std::thread::spawn(move || {
            for response in responses {
                let Ok(mut request) = server.recv() else {
                    return;
                };
                let mut body = Vec::new();
                let _ = request.as_reader().read_to_end(&mut body);
                let recorded = format!(
                    "{} {} {}",
                    request.method(),
                    request.url(),
                    text_or_hex(body)
                );
                let _ = sender.send(recorded.trim_end().into());
                let (status, body) = response.split_once(' ').expect("a status and a body");
                let status: u16 = status.parse().expect("a status");
                let _ = request.respond(Response::from_string(body).with_status_code(status));
            }
        });
        Recorder { address, requests }
    }

    /// Waits for the next request and returns its method, path and body, separated by
    /// spaces. A body that is not UTF-8 is returned in hexadecimal; an empty one is left out.
    pub fn next_call(&self) -> String {
        self.requests
            .recv_timeout(Duration::from_secs(20))
            .expect("a request")
    }
}

/// Returns the bytes as text if they are UTF-8, and as hexadecimal digits otherwise.
fn text_or_hex(bytes: Vec<u8>) -> String {
    let hex = |error: std::string::FromUtf8Error| {
        error
            .into_bytes()
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect()
    };
    String::from_utf8(bytes).unwrap_or_else(hex)
}
