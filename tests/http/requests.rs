//! Parsing of requests whose bytes arrive in parts.

use finchwood::api::http_request::{read_request, Progress};

#[test]
fn requests_are_parsed_once_they_are_complete() {
    let text = b"POST /a?b=c HTTP/1.1\r\nContent-Length: 3\r\n\r\nxyzGET";
    for length in 0..text.len() - 3 {
        assert!(
            matches!(read_request(&text[..length], 10), Progress::Incomplete),
            "the first {length} bytes were not parsed as an incomplete request"
        );
    }
    let Progress::Complete {
        request,
        used,
        last,
    } = read_request(text, 10)
    else {
        panic!("the request is not complete")
    };
    assert_eq!(
        (request.path.as_str(), request.body.as_slice(), used, last),
        ("/a", &b"xyz"[..], 46, false)
    );
    assert!(
        matches!(read_request(text, 2), Progress::Malformed(400)),
        "a body over the limit was not refused"
    );
    assert!(matches!(
        read_request(b"\0\0\0\r\n\r\n", 9),
        Progress::Malformed(400)
    ));
    let chunked =
        b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n";
    let Progress::Complete { request, used, .. } = read_request(chunked, 10) else {
        panic!("the request is not complete")
    };
    assert_eq!(
        (request.body.as_slice(), used),
        (&b"abc"[..], chunked.len())
    );
    assert!(matches!(read_request(chunked, 2), Progress::Malformed(400)));
}
