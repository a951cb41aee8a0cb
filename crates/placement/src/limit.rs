//! Request rate that a server accepts from all boxes together.

use crate::permit::Quota;
use crate::Millis;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Longest time without a request to a server: only its answers can show that its limit has risen again.
const MAX_WINDOW: Millis = 60_000;

/// Smallest rise of a limit that is reported to other boxes. A server whose limit fluctuates with its load would
/// otherwise cause an update to every box with each answer.
const MIN_LOOSENING_FACTOR: f64 = 1.25;

/// A limit of this many requests per second or more counts as none: it is far above what one server can answer.
const UNLIMITED_FROM_PER_S: f64 = 10_000.0;

/// A server's limit. Ordered by strictness: the stricter of two is the smaller.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
pub enum Limit {
    /// Requests per second from all boxes together; neither negative nor infinite.
    PerS(f64),
    /// No limit.
    None,
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::PerS(per_s) => write!(f, "{per_s}"),
            Self::None => f.write_str("any"),
        }
    }
}

impl Limit {
    /// True if this allows so much more than `other` that all boxes are notified.
    pub(crate) fn is_much_looser(self, other: Self) -> bool {
        match (self, other) {
            (Self::PerS(per_s), Self::PerS(known)) => per_s >= known * MIN_LOOSENING_FACTOR,
            _ => self > other,
        }
    }

    /// Returns the quota for this limit; `None` without a limit. A burst may hold the requests of one second, and at
    /// least one: a limit below one per second becomes one request per longer window.
    pub(crate) fn quota(self) -> Option<Quota> {
        let Self::PerS(per_s) = self else { return None };
        if per_s >= UNLIMITED_FROM_PER_S {
            return None;
        }
        let max_requests = per_s.floor().max(1.0);
        // The conversion saturates.
        let window = if per_s > 0.0 { (max_requests / per_s * 1e3).ceil() as Millis } else { MAX_WINDOW };
        Some(Quota { max_requests: max_requests as u32, window: window.min(MAX_WINDOW) })
    }
}

/// The limit of a server instance, as exchanged between boxes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// Id of the instance.
    #[serde(rename = "life")]
    pub instance: String,
    /// Its limit.
    pub limit: Limit,
    /// Increases with each change. Of two updates, the one with the higher version applies; with equal versions, the
    /// stricter one.
    pub version: u64,
}
