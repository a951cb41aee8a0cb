//! Reasons why a request is not sent.

use placement::{Millis, Refusal};

/// The reason why a request is not sent.
pub(crate) enum NotSent {
    /// The placement found no server.
    Refused(Refusal),
    /// The deadline has passed.
    DeadlineExceeded,
    /// The caller came back before the time at which it was told to return.
    Early {
        /// Delay until that time.
        retry_ms: Millis,
    },
    /// The caller takes up a stream, and it isn't known which software version began it.
    OriginUnknown,
    /// The caller takes up a stream, and nobody serves the version that began it any more.
    OriginGone,
    /// The request is quarantined, because servers repeatedly terminated while running it.
    Quarantined {
        /// Delay after which the caller may retry.
        retry_ms: Millis,
    },
}

impl From<Refusal> for NotSent {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}
