//! What all packages of finchwood share: the types that go over the wire, steady
//! time and its margins, the tokens of leaders and owners, and sets of finished
//! tasks. Nothing here decides anything.

pub mod clock;
pub mod finished;
pub mod token;
pub mod wire;
