//! What the outside world asks of a controller: the HTTP server, the routes of users,
//! workers, other controllers and operators, and the reports that operators read.

pub mod http;
pub mod http_request;
pub mod published_report;
pub mod restart_report;
pub mod server;
pub mod shard_map_report;
