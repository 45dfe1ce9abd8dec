//! Messages, framing and authenticated links between the system's own processes.
//!
//! A [`Link`] is one TCP connection that carries many calls both ways: a call is one request and
//! a stream of numbered replies, the last of which is marked. [`Listener`] accepts links and passes
//! each call to a [`Handler`]; [`Dialer`] opens links on demand and reuses them. Every frame is
//! authenticated by a key that both ends derive from their shared [`Key`]. Both ends send heartbeats,
//! because TCP reports no error during a network partition that drops packets silently.

pub mod dialer;
pub mod error;
pub mod frame;
pub mod handshake;
pub mod keys;
pub mod link;
pub mod listener;
pub mod messages;
mod outbox;
pub mod stream;

pub use dialer::Dialer;
pub use error::WireError;
pub use keys::Key;
pub use keys::Keyring;
pub use keys::Role;
pub use link::Handler;
pub use link::Link;
pub use link::Remote;
pub use listener::Listener;
pub use stream::Replies;
pub use stream::Responder;
