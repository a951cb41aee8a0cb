//! Retry semantics of a route's requests.

/// Retry semantics of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once for each attempt of the caller.
    NonIdempotent,
    /// The response is a stream of events. The request runs at most once unless the stream is resumable.
    Stream {
        /// Another server may continue the stream after the last event.
        resumable: bool,
    },
}

impl Kind {
    /// Returns true if a request may be retried after a send with an unknown outcome.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns true if the response is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}
