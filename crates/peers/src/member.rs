//! State of another box.

use crate::{Millis, Profile};

/// State of another box, as known by this one.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    /// Its profile, received from the box itself or from others.
    pub(crate) profile: Profile,
    /// The box is in the same hall as this one.
    pub(crate) same_hall: bool,
    /// Time of its last message, or the time when it became known.
    pub(crate) last_contact: Millis,
    /// Time of its last heartbeat. Boxes that send heartbeats watch the publisher or try to.
    pub(crate) last_heartbeat: Option<Millis>,
    /// Time of its first heartbeat without a list of servers, until a heartbeat has one: it reads its first
    /// list.
    pub(crate) reading_since: Option<Millis>,
    /// Time of its last heartbeat, if that announced that it watches the publisher.
    pub(crate) last_watching: Option<Millis>,
}

impl Member {
    /// Creates the state of a box that has become known to `me`.
    pub(crate) fn new(profile: &Profile, me: &Profile, now: Millis) -> Self {
        Self {
            profile: profile.clone(),
            same_hall: profile.hall == me.hall,
            last_contact: now,
            last_heartbeat: None,
            reading_since: None,
            last_watching: None,
        }
    }
}
