//! Reasons why there is no connection to a server.

use std::fmt;
use std::io;

/// The reason why a connection to a server could not be opened.
#[derive(Debug)]
pub(crate) enum ConnectError {
    /// The server refuses connections or doesn't answer, as far as this box can tell.
    Server(io::Error),
    /// This box has lost its path to the server, and no other box opened a connection. Says nothing about the server.
    NoPath(String),
}

impl ConnectError {
    /// True if the server's address refused the connection, as far as this box can tell.
    pub(crate) fn is_refusal(&self) -> bool {
        matches!(self, Self::Server(why) if why.kind() == io::ErrorKind::ConnectionRefused)
    }
}

impl fmt::Display for ConnectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Server(why) => why.fmt(f),
            Self::NoPath(why) => write!(f, "no path: {why}"),
        }
    }
}
