//! Bounds on all that a caller can make grow.

use std::time::Duration;

/// Bounds on all that a caller can make grow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request body in bytes.
    pub max_body_bytes: usize,
    /// Longest time in which a body must have come.
    pub body_timeout: Duration,
    /// Most requests at once in this box, waiting ones included.
    pub max_requests: usize,
    /// Longest time a caller may leave its answer unread.
    pub unread_timeout: Duration,
    /// Longest request key in bytes.
    pub max_key_bytes: usize,
    /// Longest whole life of a request.
    pub request_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 * 1024 * 1024,
            body_timeout: Duration::from_secs(10),
            max_requests: 10_000,
            unread_timeout: Duration::from_secs(30),
            max_key_bytes: 128,
            request_timeout: Duration::from_secs(3_600),
        }
    }
}
