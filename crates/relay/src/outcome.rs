//! How a request ended.

/// The one end of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A server's whole answer was passed on.
    Answered,
    /// A stream broke off.
    Cut,
    /// The caller left.
    Left,
    /// Refused; it has not run and won't.
    Refused,
    /// Failed; nobody knows whether it ran.
    Unknown,
    /// Its time was over.
    Late,
    /// The caller's fault: no such route, no such key, or a bad head.
    Rejected,
}

impl Outcome {
    /// The word for logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Cut => "cut",
            Self::Left => "left",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
            Self::Late => "late",
            Self::Rejected => "rejected",
        }
    }
}
