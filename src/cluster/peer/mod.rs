//! The messages between controllers, and the transport that carries them.

mod messages;
mod transport;

pub use messages::{CancellationNotice, Envelope, PeerMessage};
pub use transport::PeerTransport;
