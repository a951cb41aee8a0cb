//! State of another box.

use crate::{Millis, Profile, Status};

/// State of another box, as known by this one.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    /// Its profile, received from the box itself or from others.
    pub(crate) profile: Profile,
    /// The status of the life that the profile names.
    pub(crate) status: Status,
    /// Time when this box learned of that status.
    pub(crate) status_since: Millis,
    /// The box is in the same hall as this one.
    pub(crate) same_hall: bool,
    /// Time of its last message, or the time when this life became known.
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
    pub(crate) fn new(profile: &Profile, status: Status, me: &Profile, now: Millis) -> Self {
        Self {
            profile: profile.clone(),
            status,
            status_since: now,
            same_hall: profile.hall == me.hall,
            last_contact: now,
            last_heartbeat: None,
            reading_since: None,
            last_watching: None,
        }
    }

    /// Sets the status of the current life.
    pub(crate) fn set_status(&mut self, status: Status, now: Millis) {
        self.status = status;
        self.status_since = now;
        self.last_heartbeat = None;
        self.reading_since = None;
        self.last_watching = None;
    }

    pub(crate) fn is_alive(&self) -> bool {
        self.status == Status::Alive
    }

    /// Returns the version of what is known about this box. Of two reports, the one with the greater version holds.
    pub(crate) fn version(&self) -> (u64, Status) {
        (self.profile.incarnation, self.status)
    }
}
