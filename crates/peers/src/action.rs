//! Actions requested by the state machine.

use crate::Message;
use routing::{Digests, Evacuations, Position};
use std::net::SocketAddr;

/// An action to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message.
    Send(SocketAddr, Message),
    /// Send the configuration, as published, to a box.
    SendTable(SocketAddr),
    /// Request the parts that this box's list of servers lacks.
    RequestDirectory(SocketAddr),
    /// Send the parts that the list of servers with these digests lacks.
    SendDirectory(SocketAddr, Digests),
    /// Exchange suspect requests with a box whose set differs.
    SyncSuspects(SocketAddr),
    /// Exchange server notices with a box whose set differs.
    SyncNotices(SocketAddr),
    /// Start (true) or stop (false) watching the publisher.
    SetWatching(bool),
    /// Apply a configuration received from a peer.
    Table(Vec<u8>),
    /// Record that this box's configuration was still the latest at this position, according to a watcher.
    TableUntil(Position),
    /// Merge evacuated halls received from a peer.
    Evacuations(Evacuations),
    /// Apply an encoded excerpt received from a peer: the parts that this box's list of servers lacked.
    Excerpt(Vec<u8>),
    /// Apply encoded changes to the list of servers up to this position, received from a peer.
    Changes(Vec<u8>, Position),
}
