//! Parses HTTP/1.1 requests from the bytes received so far.

use crate::api::status;
use std::ops::Range;

/// The maximum size of the head of a request, in bytes.
pub(crate) const HEAD_LIMIT: usize = 16 * 1024;
/// The maximum number of headers of a request.
const MAX_HEADERS: usize = 48;
/// The length of the line break that ends a chunk, in bytes.
const CHUNK_END_LENGTH: usize = 2;

/// A request as it was received.
#[derive(Debug)]
pub struct HttpRequest {
    /// The method, such as `GET`.
    pub method: String,
    /// The path, without the query string.
    pub path: String,
    /// The body; if it was sent in chunks, without their framing.
    pub body: Vec<u8>,
}

/// The result of parsing the bytes received so far.
#[derive(Debug)]
pub enum Progress {
    /// The request is incomplete: more bytes are needed.
    Incomplete,
    /// The request is malformed, and requires a response with this status.
    Malformed(u16),
    /// The request is complete.
    Complete {
        /// The request.
        request: HttpRequest,
        /// The number of bytes of the input that it occupies.
        used: usize,
        /// Whether the connection has to be closed after the response.
        last: bool,
    },
}

/// The reason why no request could be parsed.
enum ParseError {
    Incomplete,
    Malformed,
}

/// A body, and the number of bytes of the input that it occupies.
struct Body {
    bytes: Vec<u8>,
    used: usize,
}

/// Parses the request at the beginning of `input`, whose body may have up to `body_limit`
/// bytes.
pub fn read_request(input: &[u8], body_limit: usize) -> Progress {
    match parse_request(input, body_limit) {
        Ok(complete) => complete,
        Err(ParseError::Incomplete) => Progress::Incomplete,
        Err(ParseError::Malformed) => Progress::Malformed(status::BAD_REQUEST),
    }
}

fn parse_request(input: &[u8], body_limit: usize) -> Result<Progress, ParseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let head_length = match head.parse(input) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if input.len() <= HEAD_LIMIT => {
            return Err(ParseError::Incomplete)
        }
        Ok(httparse::Status::Partial) | Err(_) => return Err(ParseError::Malformed),
    };
    let body = parse_body(&head, &input[head_length..], body_limit)?;
    Ok(Progress::Complete {
        request: HttpRequest {
            method: head.method.unwrap_or_default().to_string(),
            path: path_without_query(&head).to_string(),
            body: body.bytes,
        },
        used: head_length + body.used,
        last: closes_connection(&head),
    })
}

fn path_without_query<'input>(head: &httparse::Request<'_, 'input>) -> &'input str {
    let path = head.path.unwrap_or_default();
    path.split('?').next().unwrap_or_default()
}

/// Returns whether the connection is to be closed after the response. With HTTP/1.0 it is,
/// unless the client requests to keep the connection open.
fn closes_connection(head: &httparse::Request) -> bool {
    let http_1_0 = head.version == Some(0);
    header_is(head, "Connection", "close")
        || http_1_0 && !header_is(head, "Connection", "keep-alive")
}

fn header<'input>(head: &httparse::Request<'_, 'input>, name: &str) -> Option<&'input str> {
    let header = head
        .headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(header.value).ok().map(str::trim)
}

fn header_is(head: &httparse::Request, name: &str, expected: &str) -> bool {
    header(head, name).is_some_and(|value| value.eq_ignore_ascii_case(expected))
}

fn parse_body(head: &httparse::Request, input: &[u8], limit: usize) -> Result<Body, ParseError> {
    if header_is(head, "Transfer-Encoding", "chunked") {
        return parse_chunked_body(input, limit);
    }
    let length = match header(head, "Content-Length") {
        None => 0,
        Some(value) => value.parse().map_err(|_| ParseError::Malformed)?,
    };
    if length > limit {
        return Err(ParseError::Malformed);
    }
    let bytes = input.get(..length).ok_or(ParseError::Incomplete)?.to_vec();
    Ok(Body {
        bytes,
        used: length,
    })
}

fn parse_chunked_body(input: &[u8], limit: usize) -> Result<Body, ParseError> {
    let mut bytes = Vec::new();
    let mut used = 0;
    loop {
        let chunk = parse_chunk(input, used, limit - bytes.len())?;
        used = chunk.end + CHUNK_END_LENGTH;
        if chunk.is_empty() {
            return Ok(Body { bytes, used });
        }
        bytes.extend_from_slice(&input[chunk]);
    }
}

/// Returns the range of the input that contains the content of the chunk at `start`. The
/// range is empty for the last chunk.
fn parse_chunk(input: &[u8], start: usize, limit: usize) -> Result<Range<usize>, ParseError> {
    let (head_length, size) = match httparse::parse_chunk_size(&input[start..]) {
        Ok(httparse::Status::Complete(parsed)) => parsed,
        Ok(httparse::Status::Partial) => return Err(ParseError::Incomplete),
        Err(_) => return Err(ParseError::Malformed),
    };
    if size > limit as u64 {
        return Err(ParseError::Malformed);
    }
    let content = start + head_length;
    let content = content..content + size as usize;
    if input.len() < content.end + CHUNK_END_LENGTH {
        return Err(ParseError::Incomplete);
    }
    Ok(content)
}
