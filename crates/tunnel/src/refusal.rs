//! Reasons why a box opens no tunnel.

use serde::{Deserialize, Serialize};

/// The reason why a box opened no connection to a server for another box.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The box has no path to the server itself.
    NoPath,
    /// The box has no such server in its list.
    NotListed,
    /// The box is stopping or has too many tunnels.
    Busy,
    /// The server's address refuses connections.
    Refused,
    /// The connection to the server failed otherwise.
    Failed,
}

impl Refusal {
    /// Returns the name of the reason, for metrics and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoPath => "no_path",
            Self::NotListed => "not_listed",
            Self::Busy => "busy",
            Self::Refused => "refused",
            Self::Failed => "failed",
        }
    }
}
