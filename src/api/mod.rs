//! The HTTP interface of a controller to users, workers, other controllers and operators.
//!
//! For incoming requests, [`listeners`] opens the sockets, [`server`] serves HTTP/1.1 on them,
//! [`routes`] parses HTTP requests into [`routes::Request`]s, and a [`responder::Responder`]
//! passes the response back to the connection. For outgoing requests, [`relay_pool`] relays
//! heartbeats to the controllers that own their machines, and [`command_pool`] sends direct
//! commands to workers.

pub mod command_pool;
mod connection;
mod http_agent;
pub mod http_request;
pub mod listeners;
pub mod published_report;
pub mod relay_pool;
pub mod responder;
pub mod restart_report;
pub mod routes;
pub mod server;
pub mod shard_map_report;
pub mod status;
