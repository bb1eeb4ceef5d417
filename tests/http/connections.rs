//! Hundreds of connections, some of which never finish a request, hold up nobody; answers
//! past their deadline and connections past the limit are refused.

use finchwood::api::server::{self, Limits};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

fn echo(connections: usize) -> SocketAddr {
    let address = TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .expect("a port");
    server::listen(
        "echo",
        address,
        Limits {
            connections,
            body: 4096,
        },
        |request, reply| match request.path.as_str() {
            "/past" => reply.send_until(200, request.body, 0.0),
            "/ahead" => reply.send_until(200, request.body, f64::MAX),
            _ => reply.send(200, request.body),
        },
    )
    .expect("listens");
    address
}

fn exchange(stream: &mut TcpStream, body: &str) -> String {
    let text = format!(
        "POST /x HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).expect("written");
    let mut got = Vec::new();
    let mut buffer = [0; 1024];
    loop {
        let n = stream.read(&mut buffer).expect("an answer");
        assert!(n > 0, "closed after {:?}", String::from_utf8_lossy(&got));
        got.extend_from_slice(&buffer[..n]);
        let text = String::from_utf8_lossy(&got);
        if text.contains("\r\n\r\n") && text.ends_with(body) {
            return text.into_owned();
        }
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("connected");
    stream
        .set_read_timeout(Some(Duration::from_secs(30)))
        .expect("set");
    stream
}

/// With a thread for each connection and few takers, four clients that send
/// half a body stopped a listener for everybody.
#[test]
fn clients_that_send_half_a_request_hold_up_nobody() {
    let address = echo(900);
    let mut halves: Vec<TcpStream> = (0..400).map(|_| connect(address)).collect();
    for (i, s) in halves.iter_mut().enumerate() {
        let half: &[u8] = match i % 3 {
            0 => b"POST /x HTTP/1.1\r\nContent-Length: 3000\r\n\r\nhalf a body",
            1 => b"POST /x HT",
            _ => b"",
        };
        s.write_all(half).expect("written");
    }
    let mut others: Vec<TcpStream> = (0..300).map(|_| connect(address)).collect();
    for (i, s) in others.iter_mut().enumerate() {
        for turn in 0..3 {
            let body = format!("client {i} turn {turn}");
            assert!(exchange(s, &body).starts_with("HTTP/1.1 200"), "answered");
        }
    }
    // One that comes back with the rest is served too.
    let rest = vec![b'x'; 3000 - "half a body".len()];
    halves[0].write_all(&rest).expect("still open");
    let mut buffer = [0; 64];
    assert!(halves[0].read(&mut buffer).expect("an answer") > 0);
}

/// A controller that stands still between deciding and sending goes on with
/// answers that it may no longer give.
#[test]
fn answers_past_their_deadline_when_sent_are_refusals() {
    let address = echo(8);
    let answer = |path: &str| {
        let mut s = connect(address);
        let text =
            format!("POST {path} HTTP/1.1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nstay");
        s.write_all(text.as_bytes()).expect("written");
        let mut got = String::new();
        s.read_to_string(&mut got).expect("an answer");
        got
    };
    let ahead = answer("/ahead");
    assert!(
        ahead.starts_with("HTTP/1.1 200") && ahead.ends_with("stay"),
        "{ahead}"
    );
    let past = answer("/past");
    assert!(
        past.starts_with("HTTP/1.1 503") && past.contains("Retry-After") && !past.contains("stay"),
        "{past}"
    );
}

#[test]
fn more_connections_than_allowed_are_turned_away_and_do_no_harm() {
    let address = echo(8);
    let mut first: Vec<TcpStream> = (0..8).map(|_| connect(address)).collect();
    for s in &mut first {
        exchange(s, "here first");
    }
    let mut late = connect(address);
    let _ = late.write_all(b"POST /x HTTP/1.1\r\nContent-Length: 1\r\n\r\nx");
    let mut buffer = [0; 64];
    assert!(
        matches!(late.read(&mut buffer), Ok(0) | Err(_)),
        "the ninth is closed"
    );
    assert!(exchange(&mut first[3], "still here").starts_with("HTTP/1.1 200"));
    drop(first);
    // Their places are free again as soon as the server has seen them go.
    let text = b"POST /x HTTP/1.1\r\nContent-Length: 1\r\n\r\nx";
    let served = (0..600).any(|_| {
        std::thread::sleep(Duration::from_millis(50));
        let mut next = connect(address);
        next.write_all(text).is_ok() && next.read(&mut buffer).is_ok_and(|n| n > 0)
    });
    assert!(served, "nobody is let in again");
}
