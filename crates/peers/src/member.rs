//! One other box.

use crate::{Millis, Profile};

/// What is known of another box.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    /// What it said of itself, or others of it.
    pub(crate) profile: Profile,
    /// True for a box of this box's hall.
    pub(crate) mate: bool,
    /// When it was last heard, or heard of for the first time.
    pub(crate) heard: Millis,
    /// When its last heartbeat came: it watches or tries to.
    pub(crate) tried: Option<Millis>,
    /// When its first heartbeat came that told of no list of servers, until one does: it reads its first list.
    pub(crate) begins: Option<Millis>,
    /// When it last said that it watches; none when it doesn't, or hasn't said so.
    pub(crate) watched: Option<Millis>,
}

impl Member {
    /// A box that `me` meets.
    pub(crate) fn new(profile: &Profile, me: &Profile, now: Millis) -> Self {
        Self {
            profile: profile.clone(),
            mate: profile.hall == me.hall,
            heard: now,
            tried: None,
            begins: None,
            watched: None,
        }
    }
}
