//! Failures of upstreams.

/// The reason why an upstream gave no complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection was opened: no byte of the request can have reached the upstream.
    Unreached(String),
    /// The upstream answered with an error status before doing the work; the body is forwarded.
    Refused {
        /// The HTTP status.
        status: u16,
        /// The body as received.
        body: Vec<u8>,
    },
    /// The connection was lost, timed out or delivered invalid data after the request may have reached the upstream.
    Broken(String),
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreached(why) => write!(f, "unreachable: {why}"),
            Self::Refused { status, .. } => write!(f, "answered with status {status}"),
            Self::Broken(why) => write!(f, "interrupted: {why}"),
        }
    }
}

impl std::error::Error for Failure {}
