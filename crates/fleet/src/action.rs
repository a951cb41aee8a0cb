//! What the fleet's state machines want done.

use crate::{Change, Message};
use catalog::{BoxId, Catalog, Digest, Release, ReleaseId, ServerId};
use telemetry::Event;

/// What the fleet's state machines want done.
#[derive(Debug)]
pub enum Action {
    /// Send this to that box.
    Send(BoxId, Message),
    /// The boxes that are alive changed: ask for the new view.
    ViewChanged,
    /// A server is leaving, or is back.
    Upstream(ServerId, bool),
    /// Let this change ride along on probes.
    Gossip(Change),
    /// Another box refused a release, for this reason: to be shown here as well.
    RefusedElsewhere(ReleaseId, String),
    /// This release is in force from now on.
    Adopt(Box<Release>, Box<Catalog>),
    /// Get these parts from the platform, for a manifest that it offered.
    Fetch(Vec<Digest>),
    /// Log this.
    Log(Event, String),
}
