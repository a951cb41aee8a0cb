//! Bounds on all that a caller can make grow.

use std::time::Duration;

/// Bounds on all that a caller can make grow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request body in bytes.
    pub body_most: usize,
    /// Longest time in which a body must have come.
    pub body_time: Duration,
    /// Most requests at once in this box, waiting ones included.
    pub requests_most: usize,
    /// Longest time a caller may leave its answer unread.
    pub unread_time: Duration,
    /// Longest request key in bytes.
    pub key_most: usize,
    /// Longest whole life of a request.
    pub request_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_most: 4 * 1024 * 1024,
            body_time: Duration::from_secs(10),
            requests_most: 10_000,
            unread_time: Duration::from_secs(30),
            key_most: 128,
            request_time: Duration::from_secs(3_600),
        }
    }
}
