//! Errors of clients.

use crate::Refusal;
use std::fmt;
use std::io;

/// The reason why a tunnel could not be opened.
#[derive(Debug)]
pub enum Error {
    /// The other box could not be reached, or its reply was invalid.
    Box(io::Error),
    /// The other box opened no connection to the server.
    Refused(Refusal),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Box(why) => write!(f, "tunnel: {why}"),
            Self::Refused(refusal) => write!(f, "tunnel refused: {}", refusal.as_str()),
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(why: io::Error) -> Self {
        Self::Box(why)
    }
}
