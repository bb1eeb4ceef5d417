//! Reading HTTP/1.1 requests from bytes as they come in.

/// The largest head of a request.
pub(crate) const HEAD_LIMIT: usize = 16 * 1024;

/// A request as it came.
#[derive(Debug)]
pub struct HttpRequest {
    pub method: String,
    /// Without what follows a question mark.
    pub path: String,
    pub body: Vec<u8>,
}

/// How far a request has come in.
#[derive(Debug)]
pub enum Progress {
    /// More bytes are needed.
    Incomplete,
    /// It can't be read; the status says why.
    Malformed(u16),
    /// It is there: `used` bytes of the input, and the `last` on its connection or not.
    Complete {
        request: HttpRequest,
        used: usize,
        last: bool,
    },
}

/// Reads a request, whose body may have up to `limit` bytes, from the beginning of
/// what has come in.
pub fn read_request(input: &[u8], limit: usize) -> Progress {
    let mut headers = [httparse::EMPTY_HEADER; 48];
    let mut r = httparse::Request::new(&mut headers);
    let head = match r.parse(input) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if input.len() > HEAD_LIMIT => {
            return Progress::Malformed(400)
        }
        Ok(httparse::Status::Partial) => return Progress::Incomplete,
        Err(_) => return Progress::Malformed(400),
    };
    let header = |name: &str| {
        let found = r
            .headers
            .iter()
            .find(|h| h.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(found.value).ok().map(str::trim)
    };
    let says = |name: &str, word: &str| header(name).is_some_and(|v| v.eq_ignore_ascii_case(word));
    let last =
        says("Connection", "close") || r.version == Some(0) && !says("Connection", "keep-alive");
    let (body, used) = if says("Transfer-Encoding", "chunked") {
        match chunked(&input[head..], limit) {
            Ok(Some((body, n))) => (body, head + n),
            Ok(None) => return Progress::Incomplete,
            Err(status) => return Progress::Malformed(status),
        }
    } else {
        let length = match header("Content-Length").map(str::parse::<usize>) {
            None => 0,
            Some(Ok(n)) if n > limit => return Progress::Malformed(400),
            Some(Ok(n)) => n,
            Some(Err(_)) => return Progress::Malformed(400),
        };
        if input.len() < head + length {
            return Progress::Incomplete;
        }
        (input[head..head + length].to_vec(), head + length)
    };
    let path = r
        .path
        .unwrap_or_default()
        .split('?')
        .next()
        .unwrap_or_default()
        .to_string();
    let method = r.method.unwrap_or_default().to_string();
    Progress::Complete {
        request: HttpRequest { method, path, body },
        used,
        last,
    }
}

/// A body in chunks and how many bytes it took; none while it isn't whole.
fn chunked(input: &[u8], limit: usize) -> Result<Option<(Vec<u8>, usize)>, u16> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let (start, size) = match httparse::parse_chunk_size(&input[at..]) {
            Ok(httparse::Status::Complete(c)) => c,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(400),
        };
        if size > (limit - body.len()) as u64 {
            return Err(400);
        }
        let (from, size) = (at + start, size as usize);
        if input.len() < from + size + 2 {
            return Ok(None);
        }
        body.extend_from_slice(&input[from..from + size]);
        at = from + size + 2;
        if size == 0 {
            return Ok(Some((body, at)));
        }
    }
}
