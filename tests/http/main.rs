//! The HTTP server: parsing of requests, the connection limit and response deadlines.

mod connections;
mod requests;
