//! The HTTP status codes that the program sends or expects.

/// The request was carried out.
pub const OK: u16 = 200;
/// The job was accepted.
pub const CREATED: u16 = 201;
/// The request is malformed or invalid.
pub const BAD_REQUEST: u16 = 400;
/// The path or job is unknown, or the report is of a feature that is disabled.
pub const NOT_FOUND: u16 = 404;
/// A worker refuses commands, and reports its state instead.
pub const CONFLICT: u16 = 409;
/// The body is larger than the server accepts.
pub const CONTENT_TOO_LARGE: u16 = 413;
/// Another controller is responsible.
pub const MISDIRECTED_REQUEST: u16 = 421;
/// The job is well-formed, but can never run.
pub const UNPROCESSABLE_CONTENT: u16 = 422;
/// The client exceeds a rate limit; it may retry later.
pub const TOO_MANY_REQUESTS: u16 = 429;
/// The request cannot be served now; the client may retry later.
pub const SERVICE_UNAVAILABLE: u16 = 503;

/// Returns the reason phrase for a status line.
pub(super) fn reason_phrase(status: u16) -> &'static str {
    match status {
        OK => "OK",
        CREATED => "Created",
        BAD_REQUEST => "Bad Request",
        NOT_FOUND => "Not Found",
        CONTENT_TOO_LARGE => "Content Too Large",
        MISDIRECTED_REQUEST => "Misdirected Request",
        UNPROCESSABLE_CONTENT => "Unprocessable Content",
        TOO_MANY_REQUESTS => "Too Many Requests",
        SERVICE_UNAVAILABLE => "Service Unavailable",
        _ => "Other",
    }
}
