//! One server of a pool, and what is known of it.

use crate::{Health, Kept, Load, Millis, Opinion, Speed};
use routing::Server;
use std::sync::Arc;

/// How long what an owner said of a server's load is better than what this box has there itself.
const HEARD_MOST: Millis = 400;

/// The same of its stalls, which change slowly.
const STALLS_MOST: Millis = 2_000;

/// A server and what is known of it.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) server: Arc<Server>,
    /// Where it stands in the order of the pool's servers, from 0 to 1; see [`crate::order`].
    pub(crate) position: f64,
    /// What this box has running there.
    pub(crate) own: Load,
    pub(crate) kept: Kept,
    pub(crate) health: Health,
    /// What its owner said last, and when.
    pub(crate) heard: Option<(Opinion, Millis)>,
}

impl Member {
    /// A server of which nothing is known yet.
    pub(crate) fn new(server: &Arc<Server>) -> Self {
        Self {
            server: Arc::clone(server),
            position: 0.0,
            own: Load::default(),
            kept: Kept::default(),
            health: Health::default(),
            heard: None,
        }
    }

    /// What runs there: what its owner said lately, else what this box has there.
    pub(crate) fn load(&self, now: Millis) -> &Load {
        self.heard_within(HEARD_MOST, now).map_or(&self.own, |opinion| &opinion.load)
    }

    /// What its owner said within the last so many milliseconds.
    pub(crate) fn heard_within(&self, most: Millis, now: Millis) -> Option<&Opinion> {
        self.heard.as_ref().filter(|(_, at)| now < at + most).map(|(opinion, _)| opinion)
    }

    /// How fast its owner said that it is, whenever that was.
    pub(crate) fn speed(&self) -> Option<&Speed> {
        self.heard.as_ref().map(|(opinion, _)| &opinion.speed)
    }

    /// How often reading lately stalled answers there, as far as its owner said not long ago.
    pub(crate) fn stalls_per_s(&self, now: Millis) -> f32 {
        self.heard_within(STALLS_MOST, now).map_or(0.0, |opinion| opinion.stalls_per_s)
    }

    /// True while the server is to be left alone, by what this box or its owner saw.
    pub(crate) fn paused(&self, now: Millis) -> bool {
        self.health.paused(now) || self.heard_within(HEARD_MOST, now).is_some_and(|opinion| opinion.paused)
    }
}
