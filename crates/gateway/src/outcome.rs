//! The outcome of a request.

/// The outcome of a request. Each request has exactly one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer was delivered to the caller.
    Complete,
    /// Refused: the request did not run.
    NotRun,
    /// Failed after the request ran or may have run.
    Failed,
    /// The caller disconnected.
    Disconnected,
    /// Caller error.
    CallerError,
}

impl Outcome {
    /// Returns the metric label.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "whole",
            Self::NotRun => "not_run",
            Self::Failed => "failed",
            Self::Disconnected => "gone",
            Self::CallerError => "wrong",
        }
    }
}
