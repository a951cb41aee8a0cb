//! The dispatcher of the services that this box hands out slots for.

use crate::{Millis, SlotRelease, SlotReply, SlotRequest};
use std::net::SocketAddr;

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

/// A reply to be sent to a box.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The requesting box.
    pub to: SocketAddr,
    /// The reply.
    pub reply: SlotReply,
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

/// Hands out the slots of services.
#[derive(Clone, Debug, Default)]
pub struct Dispatcher {}

impl Dispatcher {
    /// Sets the servers of a service; without any, its requests are [`SlotReply::Unmanaged`]. Servers that are no longer
    /// listed get no grants; slots in use there stay in use until they are released or lapse.
    #[must_use]
    pub fn set_servers(&mut self, _service: &str, _servers: &[ServerSlots], _now: Millis) -> Vec<Reply> {
        Vec::new()
    }

    /// Handles a request; returns the replies to all requests that are decided by now.
    #[must_use]
    pub fn on_request(&mut self, from: SocketAddr, request: SlotRequest, _now: Millis) -> Vec<Reply> {
        vec![Reply { to: from, reply: SlotReply::Unmanaged { number: request.number } }]
    }

    /// Handles a release; unknown numbers are ignored.
    #[must_use]
    pub fn on_release(&mut self, _from: SocketAddr, _release: &SlotRelease, _now: Millis) -> Vec<Reply> {
        Vec::new()
    }

    /// Drops the requests and leases of a box that has left.
    #[must_use]
    pub fn on_box_left(&mut self, _address: SocketAddr, _now: Millis) -> Vec<Reply> {
        Vec::new()
    }

    /// Refuses requests that can't start in time any more and ends lapsed leases. To be called every 10 ms while
    /// [`Dispatcher::is_idle`] is false.
    #[must_use]
    pub fn tick(&mut self, _now: Millis) -> Vec<Reply> {
        Vec::new()
    }

    /// True if nothing waits and no slot is in use.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        true
    }

    /// Answers all waiting requests with [`SlotReply::Unmanaged`], and so all later ones: this box is stopping.
    #[must_use]
    pub fn stop(&mut self) -> Vec<Reply> {
        Vec::new()
    }

    /// Returns the state of each service.
    #[must_use]
    pub fn summaries(&self) -> Vec<Summary> {
        Vec::new()
    }
}
