//! State of a caller's request.

use crate::arrivals::Arrival;
use crate::Micros;

/// A caller's request, from its first attempt to its end.
#[derive(Clone, Debug)]
pub(crate) struct ClientRequest {
    pub(crate) arrival: Arrival,
    /// Number of the caller's attempts so far.
    pub(crate) attempts: u32,
    /// Index of the box that received the last attempt.
    pub(crate) box_index: usize,
    /// Ids of the servers to which the current attempt was sent.
    pub(crate) tried_servers: Vec<String>,
    /// Number of the send in progress.
    pub(crate) active_send: Option<u64>,
    /// Time at which the caller received the first event.
    pub(crate) first_event_at: Option<Micros>,
    /// Time at which the caller received the latest event.
    pub(crate) last_event_at: Option<Micros>,
    /// Longest gap between two events so far.
    pub(crate) max_gap: Micros,
    pub(crate) ended: bool,
}

impl ClientRequest {
    pub(crate) fn new(arrival: Arrival) -> Self {
        Self {
            arrival,
            attempts: 0,
            box_index: 0,
            tried_servers: Vec::new(),
            active_send: None,
            first_event_at: None,
            last_event_at: None,
            max_gap: 0,
            ended: false,
        }
    }
}
