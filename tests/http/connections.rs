//! The connections of the HTTP server: clients that never finish a request, responses whose
//! deadline has passed, and connections over the limit.

use finchwood::api::server::{self, Limits};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Starts a server that accepts at most `connections` connections. It responds to each request
/// with the request's body. The deadline of the response has passed for `/past`, is in the
/// future for `/ahead`, and is not set for other paths.
fn start_echo_server(connections: usize) -> SocketAddr {
    let address = TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .expect("a free port");
    server::listen(
        "echo",
        address,
        Limits {
            connections,
            body: 4096,
        },
        |request, responder| match request.path.as_str() {
            "/past" => responder.send_until(200, request.body, 0.0),
            "/ahead" => responder.send_until(200, request.body, f64::MAX),
            _ => responder.send(200, request.body),
        },
    )
    .expect("the address can be bound");
    address
}

/// Sends a request with `body`. Returns the response, which ends in the same body.
fn exchange(stream: &mut TcpStream, body: &str) -> String {
    let text = format!(
        "POST /x HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream
        .write_all(text.as_bytes())
        .expect("the request is sent");
    let mut received = Vec::new();
    let mut buffer = [0; 1024];
    loop {
        let count = stream.read(&mut buffer).expect("a response");
        assert!(
            count > 0,
            "the connection was closed after {:?}",
            String::from_utf8_lossy(&received)
        );
        received.extend_from_slice(&buffer[..count]);
        let text = String::from_utf8_lossy(&received);
        if text.contains("\r\n\r\n") && text.ends_with(body) {
            return text.into_owned();
        }
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a connection");
    stream
        .set_read_timeout(Some(Duration::from_secs(30)))
        .expect("the timeout can be set");
    stream
}

/// Guards against incomplete requests that block a listener: with a thread for each connection
/// and only a few threads that took requests from them, four clients that sent half a body
/// stopped the listener for all clients.
#[test]
fn incomplete_requests_do_not_delay_other_clients() {
    let address = start_echo_server(900);
    let mut incomplete: Vec<TcpStream> = (0..400).map(|_| connect(address)).collect();
    for (index, stream) in incomplete.iter_mut().enumerate() {
        let first_part: &[u8] = match index % 3 {
            0 => b"POST /x HTTP/1.1\r\nContent-Length: 3000\r\n\r\nhalf a body",
            1 => b"POST /x HT",
            _ => b"",
        };
        stream.write_all(first_part).expect("the bytes are sent");
    }
    let mut others: Vec<TcpStream> = (0..300).map(|_| connect(address)).collect();
    for (index, stream) in others.iter_mut().enumerate() {
        for turn in 0..3 {
            let body = format!("client {index} turn {turn}");
            assert!(
                exchange(stream, &body).starts_with("HTTP/1.1 200"),
                "{body} was refused"
            );
        }
    }
    // A client that sends the rest of its request later is served too.
    let rest = vec![b'x'; 3000 - "half a body".len()];
    incomplete[0]
        .write_all(&rest)
        .expect("the connection is open");
    let mut buffer = [0; 64];
    assert!(incomplete[0].read(&mut buffer).expect("a response") > 0);
}

/// Guards against responses that are no longer valid: a controller that is paused between a
/// decision and the sending of the response would send it after its deadline.
#[test]
fn responses_are_refusals_once_their_deadline_has_passed() {
    let address = start_echo_server(8);
    let post = |path: &str| {
        let mut stream = connect(address);
        let text =
            format!("POST {path} HTTP/1.1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nstay");
        stream
            .write_all(text.as_bytes())
            .expect("the request is sent");
        let mut response = String::new();
        stream.read_to_string(&mut response).expect("a response");
        response
    };
    let ahead = post("/ahead");
    assert!(
        ahead.starts_with("HTTP/1.1 200") && ahead.ends_with("stay"),
        "a response before its deadline was not sent: {ahead}"
    );
    let past = post("/past");
    assert!(
        past.starts_with("HTTP/1.1 503") && past.contains("Retry-After") && !past.contains("stay"),
        "a response after its deadline was not refused: {past}"
    );
}

#[test]
fn connections_over_the_limit_are_closed_and_do_not_harm_others() {
    let address = start_echo_server(8);
    let mut first: Vec<TcpStream> = (0..8).map(|_| connect(address)).collect();
    for stream in &mut first {
        exchange(stream, "here first");
    }
    let mut ninth = connect(address);
    let _ = ninth.write_all(b"POST /x HTTP/1.1\r\nContent-Length: 1\r\n\r\nx");
    let mut buffer = [0; 64];
    assert!(
        matches!(ninth.read(&mut buffer), Ok(0) | Err(_)),
        "the ninth connection was served"
    );
    assert!(exchange(&mut first[3], "still here").starts_with("HTTP/1.1 200"));
    drop(first);
    // New connections are accepted again once the server has noticed that the others are
    // closed.
    let text = b"POST /x HTTP/1.1\r\nContent-Length: 1\r\n\r\nx";
    let served_again = (0..600).any(|_| {
        std::thread::sleep(Duration::from_millis(50));
        let mut next = connect(address);
        next.write_all(text).is_ok() && next.read(&mut buffer).is_ok_and(|count| count > 0)
    });
    assert!(
        served_again,
        "no new connection is served after the others were closed"
    );
}
