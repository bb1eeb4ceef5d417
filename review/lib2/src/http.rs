//! A small HTTP/1.1 server and client on loopback addresses.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
}

/// The answer to a request; `None` closes the connection without an answer.
pub type Answer = Option<(u16, Vec<u8>)>;

/// Serves requests on a free port, with a thread for each connection.
pub fn serve(handler: impl Fn(Request) -> Answer + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            let spawned = std::thread::Builder::new()
                .stack_size(256 * 1024)
                .spawn(move || serve_connection(stream, &*handler));
            drop(spawned);
        }
    });
    address
}

fn serve_connection(mut stream: TcpStream, handler: &(impl Fn(Request) -> Answer + ?Sized)) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(300)));
    let mut input = Vec::new();
    while let Some((head, body)) = read_message(&mut stream, &mut input) {
        let mut words = head.lines().next().unwrap_or("").split(' ');
        let request = Request {
            method: words.next().unwrap_or("").into(),
            path: words.next().unwrap_or("").into(),
            body,
        };
        let Some((status, body)) = handler(request) else {
            return;
        };
        let mut bytes = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(&body);
        if stream.write_all(&bytes).is_err() {
            return;
        }
    }
}

/// Reads a head and a body with a content length. Returns `None` at the end or on an error.
fn read_message(stream: &mut TcpStream, input: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    let mut buffer = [0u8; 16 * 1024];
    loop {
        if let Some(end) = input.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&input[..end]).into_owned();
            let length = head
                .lines()
                .filter_map(|line| line.split_once(':'))
                .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
                .and_then(|(_, value)| value.trim().parse::<usize>().ok())
                .unwrap_or(0);
            let total = end + 4 + length;
            while input.len() < total {
                match stream.read(&mut buffer) {
                    Ok(0) | Err(_) => return None,
                    Ok(n) => input.extend_from_slice(&buffer[..n]),
                }
            }
            let body = input[end + 4..total].to_vec();
            input.drain(..total);
            return Some((head, body));
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(n) => input.extend_from_slice(&buffer[..n]),
        }
    }
}

/// Sends a request on a new connection. Returns the status and the body; `None` without an
/// answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    timeout: Duration,
) -> Answer {
    let begin = Instant::now();
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    let mut input = Vec::new();
    let mut buffer = [0u8; 16 * 1024];
    loop {
        if let Some(end) = input.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&input[..end]).into_owned();
            let length = head
                .lines()
                .filter_map(|line| line.split_once(':'))
                .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
                .and_then(|(_, value)| value.trim().parse::<usize>().ok())
                .unwrap_or(0);
            if input.len() >= end + 4 + length {
                let status = head.split(' ').nth(1)?.parse().ok()?;
                return Some((status, input[end + 4..end + 4 + length].to_vec()));
            }
        }
        let left = timeout.checked_sub(begin.elapsed())?;
        let _ = stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(n) => input.extend_from_slice(&buffer[..n]),
        }
    }
}
