//! Send permits: per-request permission to send to servers that take few requests from all boxes together.
//!
//! One box issues all permits for a server, so that no two boxes count separately: the quota of a cold server, and
//! the limit that a server names, apply to all boxes together.

use crate::Millis;
use serde::{Deserialize, Serialize};

/// Upper bound on the requests that all boxes together send to a server within any window of a given length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// Maximum number of requests.
    #[serde(rename = "most")]
    pub max_requests: u32,
    /// Length of the window in milliseconds.
    #[serde(rename = "within")]
    pub window: Millis,
}

/// All quotas that apply to a server at a time. Each is enforced on its own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quotas {
    /// Quota while the server is cold; `None` if it isn't.
    pub cold: Option<Quota>,
    /// Quota that follows from the server's own limit; `None` if it names no limit.
    pub limit: Option<Quota>,
    /// Slots of an engine that must turn no request away; `None` if it may.
    pub slots: Option<u32>,
}

impl Quotas {
    /// True if requests may be sent without a permit.
    pub(crate) fn is_empty(&self) -> bool {
        self.cold.is_none() && self.limit.is_none() && self.slots.is_none()
    }
}

/// Request for a permit to send one request to a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Number of this request, unique on the requesting box.
    pub number: u64,
    /// Id of the server.
    pub server: String,
    /// Quotas of the server, as far as the requesting box knows.
    pub quotas: Quotas,
    /// Urgency of the request, 0 first.
    pub urgency: u8,
}

/// Reply to a [`PermitRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// The request may be sent, and has been counted. A permit that isn't used is lost: the server gets one request
    /// less.
    #[serde(rename = "Given")]
    Granted,
    /// The request must not be sent.
    Denied {
        /// Milliseconds until a permit may be granted for a server that names a limit; 0 if unknown.
        #[serde(rename = "again")]
        retry_ms: Millis,
    },
}
