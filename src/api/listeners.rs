//! The two listeners of a controller: the public listener for users and workers, and the
//! internal listener for other controllers and operators.

use crate::api::http_request::HttpRequest;
use crate::api::responder::Responder;
use crate::api::routes::{self, Request, RouteError};
use crate::api::server::{self, Limits};
use crate::config::settings::{max_peer_message_bytes, Settings};
use crate::wire::BODY_LIMIT;
use std::io;

/// The least value of a listener's limit on connections, however few sockets the settings
/// allow.
const MIN_CONNECTIONS: usize = 8;

/// A listener of a controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listener {
    /// The listener for users and workers.
    Public,
    /// The listener for the other controllers and for operators.
    Internal,
}

impl Listener {
    /// All listeners.
    pub const ALL: [Listener; 2] = [Listener::Public, Listener::Internal];

    fn thread_name(self) -> &'static str {
        match self {
            Listener::Public => "listen",
            Listener::Internal => "listen-back",
        }
    }

    /// Returns the limits of this listener. Three quarters of the sockets that the process may
    /// open are for the public listener, and a tenth is for the internal one. The rest is for
    /// requests that this controller sends.
    fn limits(self, settings: &Settings) -> Limits {
        let sockets = settings.params.machine_limits.max_connections;
        let (connections, body) = match self {
            Listener::Public => (sockets * 3 / 4, BODY_LIMIT),
            Listener::Internal => (
                sockets / 10,
                max_peer_message_bytes(settings.params.machine_limits.ram_mb),
            ),
        };
        Limits {
            connections: connections.max(MIN_CONNECTIONS),
            body,
        }
    }

    fn parse(self, request: HttpRequest) -> Result<Request, RouteError> {
        match self {
            Listener::Public => routes::parse_public(request),
            Listener::Internal => routes::parse_internal(request),
        }
    }
}

/// Starts a listener that passes each valid request to `on_request`, and responds to invalid
/// ones with an error.
///
/// # Errors
///
/// Returns an error if the listening socket cannot be opened.
pub fn listen<F>(settings: &Settings, listener: Listener, on_request: F) -> io::Result<()>
where
    F: Fn(Request, Responder) + Send + 'static,
{
    let address = match listener {
        Listener::Public => settings.client_listen,
        Listener::Internal => settings.internal_listen,
    };
    server::listen(
        listener.thread_name(),
        address,
        listener.limits(settings),
        move |http_request, responder| match listener.parse(http_request) {
            Ok(request) => on_request(request, responder),
            Err(error) => responder.send_error(error.status(), &error.to_string()),
        },
    )
}
