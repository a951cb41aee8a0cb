//! Messages between boxes and the dispatcher of a service.

use serde::{Deserialize, Serialize};

/// Requests one slot at any plain server of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Number of this request, unique on the requesting box.
    pub number: u64,
    /// Name of the service.
    pub service: String,
    /// Urgency, 0 first.
    pub urgency: u8,
    /// Hash of the customer's name; 0 for requests without a customer.
    pub customer: u64,
    /// Longest useful wait for a slot, in milliseconds.
    pub max_wait_ms: u32,
    /// Milliseconds until the request's deadline; its lease lapses then.
    pub expires_ms: u32,
    /// Ids of the servers that it must not be sent to again.
    pub tried: Vec<String>,
    /// Fingerprint by which the request is known when its caller returns; 0 if it can't be told from others.
    pub request: u64,
}

/// Reply to a [`SlotRequest`]. Each request gets exactly one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotReply {
    /// The request may be sent once, to this server.
    Granted {
        /// Number of the request.
        number: u64,
        /// Id of the server.
        server: String,
    },
    /// The request must not be sent: it would not start within its longest useful wait.
    Refused {
        /// Number of the request.
        number: u64,
        /// Milliseconds after which a slot is expected.
        retry_ms: u32,
    },
    /// This box hands out no slots of the service; the requesting box chooses a server by itself.
    Unmanaged {
        /// Number of the request.
        number: u64,
    },
}

impl SlotReply {
    /// Returns the number of the request.
    #[must_use]
    pub fn number(&self) -> u64 {
        match self {
            Self::Granted { number, .. } | Self::Refused { number, .. } | Self::Unmanaged { number } => *number,
        }
    }
}

/// Ends a [`SlotRequest`]: returns its slot, or withdraws the request while it still waits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRelease {
    /// Number of the request.
    pub number: u64,
    /// Name of the service.
    pub service: String,
    /// How the send ended.
    pub ending: SlotEnding,
}

/// How the use of a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotEnding {
    /// The server answered, so that the time since the grant is a service time.
    Answered,
    /// The server turned the request away without running it: other requests take its slots.
    TurnedAway,
    /// The server could not be reached, or broke off.
    Failed,
    /// Nothing was sent.
    Unused,
}
