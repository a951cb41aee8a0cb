//! The outcome of a request.

/// The outcome of a request. Each request has exactly one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A server's complete answer was forwarded.
    Answered,
    /// A stream was truncated.
    Truncated,
    /// The caller disconnected.
    Disconnected,
    /// Refused: the request did not run and will not.
    Refused,
    /// Failed: it is unknown whether the request ran.
    Unknown,
    /// The deadline passed.
    DeadlineExceeded,
    /// Caller error: unknown route, unknown key or invalid head.
    Rejected,
}

impl Outcome {
    /// Returns the text for logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Truncated => "cut",
            Self::Disconnected => "left",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
            Self::DeadlineExceeded => "late",
            Self::Rejected => "rejected",
        }
    }
}
