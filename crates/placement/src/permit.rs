//! Leave for single requests to servers that take few from all boxes together.
//!
//! One box gives all leave for a server, so that no two count apart: what a cold server bears, and what a server in need says that it
//! takes, hold over all boxes.

use crate::Millis;
use serde::{Deserialize, Serialize};

/// Most requests that a server is to get, of all boxes together, in any span of some length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// So many requests.
    #[serde(rename = "most")]
    pub max_requests: u32,
    /// The length of the span, in milliseconds.
    #[serde(rename = "within")]
    pub window: Millis,
}

/// All that holds for a server at a time. Each binds by itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quotas {
    /// What it bears while it is cold; none where it isn't.
    pub cold: Option<Quota>,
    /// What it says that it takes; none where it names no limit.
    pub limit: Option<Quota>,
}

impl Quotas {
    /// True where requests may be sent without leave.
    pub(crate) fn is_empty(&self) -> bool {
        self.cold.is_none() && self.limit.is_none()
    }
}

/// Asks for leave to send one request to a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Names the question, unique for the asking box.
    pub number: u64,
    /// Id of the server.
    pub server: String,
    /// What holds for the server, as far as the asking box knows.
    pub quotas: Quotas,
    /// How urgent the request is, 0 first.
    pub urgency: u8,
}

/// What comes of a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// The request may be sent, and has been counted. Leave that isn't used is lost: a server gets a request less.
    #[serde(rename = "Given")]
    Granted,
    /// It may not.
    Denied {
        /// In how many milliseconds there may be leave again for a server that names a limit; 0 where that isn't known.
        #[serde(rename = "again")]
        retry_ms: Millis,
    },
}
