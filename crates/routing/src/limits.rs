//! What callers may send, and how long they may take.

use std::time::Duration;

/// Bounds on callers' connections and requests. From the published configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request in bytes.
    pub head_most: usize,
    /// Largest body of a request in bytes.
    pub body_most: usize,
    /// Longest time for a request's head.
    pub head_time: Duration,
    /// How long an idle connection is kept.
    pub idle_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_most: 16 * 1024,
            body_most: 4 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}
