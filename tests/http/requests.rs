//! Reading requests as their bytes come in.

use finchwood::api::http_request::{read_request, Progress};

#[test]
fn requests_are_read_as_they_come_in() {
    let text = b"POST /a?b=c HTTP/1.1\r\nContent-Length: 3\r\n\r\nxyzGET";
    for n in 0..text.len() - 3 {
        assert!(
            matches!(read_request(&text[..n], 10), Progress::Incomplete),
            "{n} bytes are not a request"
        );
    }
    let Progress::Complete {
        request,
        used,
        last,
    } = read_request(text, 10)
    else {
        panic!("not whole")
    };
    assert_eq!(
        (request.path.as_str(), request.body.as_slice(), used, last),
        ("/a", &b"xyz"[..], 46, false)
    );
    assert!(
        matches!(read_request(text, 2), Progress::Malformed(400)),
        "a body over the limit"
    );
    assert!(matches!(
        read_request(b"\0\0\0\r\n\r\n", 9),
        Progress::Malformed(400)
    ));
    let chunks =
        b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n";
    let Progress::Complete { request, used, .. } = read_request(chunks, 10) else {
        panic!("not whole")
    };
    assert_eq!((request.body.as_slice(), used), (&b"abc"[..], chunks.len()));
    assert!(matches!(read_request(chunks, 2), Progress::Malformed(400)));
}
