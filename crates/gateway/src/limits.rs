//! Limits on the resources that callers can use.

use std::time::Duration;

/// Limits on the resources that callers can use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Size limit of a request body.
    pub max_body_bytes: usize,
    /// Memory for the bodies of all requests together, in bytes.
    pub max_buffered_bytes: usize,
    /// Time limit for receiving a request body.
    pub body_timeout: Duration,
    /// Maximum number of simultaneous requests in this box, including queued ones.
    pub max_requests: usize,
    /// Time for which a caller may stop reading its answer.
    pub unread_timeout: Duration,
    /// Length limit of a request key.
    pub max_key_bytes: usize,
    /// Time limit of a request in total.
    pub request_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 * 1024 * 1024,
            max_buffered_bytes: 256 * 1024 * 1024,
            body_timeout: Duration::from_secs(10),
            max_requests: 10_000,
            unread_timeout: Duration::from_secs(30),
            max_key_bytes: 128,
            request_timeout: Duration::from_secs(3_600),
        }
    }
}
