//! What may be done with a route's requests.

/// How a request may be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of the caller.
    NonIdempotent,
    /// Answered as a series of events; runs at most once unless the stream may be resumed.
    Stream {
        /// True when another server may go on after the last event.
        resumable: bool,
    },
}

impl Kind {
    /// True when a request may be sent again after a send whose result nobody knows.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// True when the answer is a series of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}
