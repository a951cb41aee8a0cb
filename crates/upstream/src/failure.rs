//! Why an upstream gave no whole answer.

/// Why an upstream gave no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection was made: no byte of the request can have reached it.
    Unreached(String),
    /// It answered with an error status before doing the work; the body is passed on.
    Refused {
        /// The HTTP status.
        status: u16,
        /// The body as it came.
        body: Vec<u8>,
    },
    /// The connection broke, fell silent or made no sense after the request may have reached it.
    Broken(String),
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreached(why) => write!(f, "not reached: {why}"),
            Self::Refused { status, .. } => write!(f, "answered {status}"),
            Self::Broken(why) => write!(f, "broken: {why}"),
        }
    }
}

impl std::error::Error for Failure {}
