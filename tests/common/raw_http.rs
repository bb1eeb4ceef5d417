//! HTTP requests sent byte for byte, and whole responses, including their headers.
#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Returns an address on which nothing listens.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .expect("a free port")
}

/// Sends a request and returns everything that the server sends until it closes the
/// connection. The request must make the server close it.
pub fn exchange(address: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("a read timeout");
    stream.write_all(request).expect("a sent request");
    let mut response = Vec::new();
    stream.read_to_end(&mut response).expect("a response");
    String::from_utf8(response).expect("a response in UTF-8")
}
