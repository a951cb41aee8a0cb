//! A caller's request on its way.

use crate::arrivals::Arrival;
use crate::Micros;

/// One request, from its caller's first try to its end.
#[derive(Clone, Debug)]
pub(crate) struct ClientRequest {
    pub(crate) arrival: Arrival,
    /// Number of the caller's tries so far, and the box of the last.
    pub(crate) attempts: u32,
    pub(crate) box_index: usize,
    /// Sends of this try, and the servers' ids.
    pub(crate) tried_servers: Vec<String>,
    /// The send under way; none while there is none.
    pub(crate) active_send: Option<u64>,
    /// When its first event came to the caller.
    pub(crate) first_event_at: Option<Micros>,
    /// When its last event came so far.
    pub(crate) last_event_at: Option<Micros>,
    /// Longest pause between two events.
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
