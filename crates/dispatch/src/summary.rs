//! Servers that are given to a dispatcher, and the state that it tells.

/// A server whose slots are handed out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSlots {
    /// Id of the server.
    pub id: String,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// True if it may get new requests: it isn't leaving, paused, evacuated or cold.
    pub usable: bool,
}

/// State of one service, for metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Name of the service.
    pub service: String,
    /// Slots of its usable servers.
    pub slots: u32,
    /// Slots in use.
    pub used: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
}
