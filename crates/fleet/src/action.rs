//! Actions requested by the fleet's state machines.

use crate::{Change, Message};
use catalog::{BoxId, Catalog, Digest, Release, ReleaseId, ServerId};
use telemetry::Event;

/// An action requested by one of the fleet's state machines.
#[derive(Debug)]
pub enum Action {
    /// Send a message to a box.
    Send(BoxId, Message),
    /// The set of available boxes has changed; the view has to be read again.
    ViewChanged,
    /// A server is leaving (true), or no longer leaving (false).
    Upstream(ServerId, bool),
    /// Distribute a change with probes.
    Gossip(Change),
    /// Another box refused a release for this reason, which is to be shown here as well.
    RefusedElsewhere(ReleaseId, String),
    /// Put a release in force.
    Adopt(Box<Release>, Box<Catalog>),
    /// Fetch parts of a manifest from the platform that offered it.
    Fetch(Vec<Digest>),
    /// Log an event.
    Log(Event, String),
}
