//! Connections to servers through another box, for a box that has lost its own path to them.
//!
//! A [`Client`] asks the [`Listener`] of another box for a connection to a server instance. The listener opens it with its
//! [`Connector`] and copies bytes in both directions; it interprets none of them. Requests for tunnels are authenticated
//! with the key of the links between boxes. The client gets a [`Stream`], which ends regularly only if the server has ended
//! its connection.

mod client;
mod connector;
mod error;
mod handshake;
mod listener;
mod refusal;
mod splice;
mod stream;

pub use client::Client;
pub use connector::Connector;
pub use error::Error;
pub use listener::Listener;
pub use refusal::Refusal;
pub use stream::Stream;
