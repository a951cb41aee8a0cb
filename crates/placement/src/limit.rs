//! How many requests a server says that it takes from all boxes together.

use crate::permit::Quota;
use crate::Millis;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A server is never left without a request for longer than this: only its answers say that it takes more again.
const MAX_WINDOW: Millis = 60_000;

/// A limit that rises by less is not told: a server whose limit wavers with its load would have every box told of each answer.
const MIN_LOOSENING_FACTOR: f64 = 1.25;

/// Requests a second from which on a limit is none: far more than one server answers.
const UNLIMITED_FROM_PER_S: f64 = 10_000.0;

/// What a server says that it takes. The order is that of strictness: the stricter of two is the less.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
pub enum Limit {
    /// So many requests a second of all boxes together; neither negative nor infinite.
    PerS(f64),
    /// It names no limit.
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
    /// True where this takes so much more than `other` that all boxes are told.
    pub(crate) fn is_much_looser(self, other: Self) -> bool {
        match (self, other) {
            (Self::PerS(per_s), Self::PerS(known)) => per_s >= known * MIN_LOOSENING_FACTOR,
            _ => self > other,
        }
    }

    /// Most requests that it is to get; none where it takes any number. What may come at once is a second's worth, and at least one:
    /// a limit below one a second is one request in a longer span.
    pub(crate) fn quota(self) -> Option<Quota> {
        let Self::PerS(per_s) = self else { return None };
        if per_s >= UNLIMITED_FROM_PER_S {
            return None;
        }
        let max_requests = per_s.floor().max(1.0);
        // A conversion that saturates.
        let window = if per_s > 0.0 { (max_requests / per_s * 1e3).ceil() as Millis } else { MAX_WINDOW };
        Some(Quota { max_requests: max_requests as u32, window: window.min(MAX_WINDOW) })
    }
}

/// What a life said of its limit, as boxes tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// Id of the life.
    #[serde(rename = "life")]
    pub instance: String,
    /// What it says.
    pub limit: Limit,
    /// Rises with each change; of two statements the one with the higher number holds, else the stricter.
    pub version: u64,
}
