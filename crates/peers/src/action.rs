//! What the state machine asks for.

use crate::Message;
use routing::{Digests, Evacuations, Position};
use std::net::SocketAddr;

/// Something to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message.
    Send(SocketAddr, Message),
    /// Send the configuration as published.
    SendTable(SocketAddr),
    /// Ask for what this box's list of servers lacks.
    RequestDirectory(SocketAddr),
    /// Send what a list of servers lacks.
    SendDirectory(SocketAddr, Digests),
    /// Exchange with this box which requests end servers: it holds others.
    SyncSuspects(SocketAddr),
    /// Exchange with this box what servers said of themselves: it knows something else.
    SyncNotices(SocketAddr),
    /// Begin or end to watch the publisher.
    SetWatching(bool),
    /// A peer sent a configuration.
    Table(Vec<u8>),
    /// A watcher says that the configuration which this box has was still the newest there.
    TableUntil(Position),
    /// A peer told which halls are evacuated.
    Evacuations(Evacuations),
    /// A peer sent what this box's list of servers lacked, packed.
    Excerpt(Vec<u8>),
    /// A peer told what became of servers, packed, on top of the position that this box has.
    Changes(Vec<u8>, Position),
}
