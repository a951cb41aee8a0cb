//! What the fleet's state machines want done.

use crate::Message;
use catalog::{BoxId, Catalog, Digest, Release, ServerId};
use telemetry::Event;

/// What the fleet's state machines want done.
#[derive(Debug)]
pub enum Action {
    /// Send this to that box.
    Send(BoxId, Message),
    /// The boxes that are alive changed: ask for the new view.
    View,
    /// A server is leaving, or is back.
    Upstream(ServerId, bool),
    /// This release is in force from now on.
    Adopt(Box<Release>, Box<Catalog>),
    /// Get these parts from the platform, for a manifest that it offered.
    Fetch(Vec<Digest>),
    /// Log this.
    Note(Event, String),
}
