//! A stand-in of an outside system that notes what it is asked, byte for byte, and gives
//! prepared answers.

use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;
use tiny_http::{Response, Server};

/// Serves as many calls as it has answers.
pub struct Recorder {
    pub address: SocketAddr,
    calls: Receiver<String>,
}

impl Recorder {
    /// Each answer is a status, a space and a body.
    pub fn new(answers: &[&'static str]) -> Recorder {
        let server = Server::http("127.0.0.1:0").expect("a port");
        let address = server.server_addr().to_ip().expect("an address");
        let (tell, calls) = channel();
        let answers = answers.to_vec();
        std::thread::spawn(move || {
            for answer in answers {
                let Ok(mut request) = server.recv() else {
                    return;
                };
                let mut body = Vec::new();
                let _ = request.as_reader().read_to_end(&mut body);
                let call = format!(
                    "{} {} {}",
                    request.method(),
                    request.url(),
                    text_or_hex(body)
                );
                let _ = tell.send(call.trim_end().into());
                let (status, body) = answer.split_once(' ').expect("a status and a body");
                let status: u16 = status.parse().expect("a status");
                let _ = request.respond(Response::from_string(body).with_status_code(status));
            }
        });
        Recorder { address, calls }
    }

    /// The next call: method, path and body, if there is one: text, or hex.
    pub fn next_call(&self) -> String {
        self.calls
            .recv_timeout(Duration::from_secs(20))
            .expect("a call")
    }
}

fn text_or_hex(bytes: Vec<u8>) -> String {
    let hex = |e: std::string::FromUtf8Error| {
        e.into_bytes()
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect()
    };
    String::from_utf8(bytes).unwrap_or_else(hex)
}
