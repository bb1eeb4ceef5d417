//! Requests byte for byte, and whole answers, heads included.
#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// An address that nobody listens on.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .expect("a free port")
}

/// Sends a request after which the connection is closed; the whole answer.
pub fn exchange(address: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("set");
    stream.write_all(request).expect("sent");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("an answer");
    String::from_utf8(answer).expect("text")
}
