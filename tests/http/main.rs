//! The HTTP server: reading requests, and connections that misbehave.

mod connections;
mod requests;
