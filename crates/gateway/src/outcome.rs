//! How a request ended.

/// How a request ended: exactly one of these for each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The caller got the whole answer.
    Whole,
    /// It was refused and did not run.
    NotRun,
    /// It failed after it ran or may have run.
    Failed,
    /// The caller went away first.
    Gone,
    /// The caller's request was wrong.
    Wrong,
}

impl Outcome {
    /// The metric label.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::NotRun => "not_run",
            Self::Failed => "failed",
            Self::Gone => "gone",
            Self::Wrong => "wrong",
        }
    }
}
