//! Whether a request is sent or told to come back.
//!
//! Where all places are taken and a request would wait beyond its aim, sending it makes it late and those after it too.
//! It is refused at once instead, the less urgent ones before the more urgent.

use crate::urgency::{class_index, PerUrgency};
use crate::{Millis, PlacementRequest};

/// How long a class counts as present after its last request.
const PRESENCE_WINDOW: Millis = 2_000;

/// The admission of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Admission {
    /// When a request of each urgency last came; none before the first.
    last_request: PerUrgency<Option<Millis>>,
}

impl Admission {
    /// A request came.
    pub(crate) fn record(&mut self, urgency: u8, now: Millis) {
        self.last_request[class_index(urgency)] = Some(now);
    }

    /// True when a request may be sent where it would wait so many milliseconds for a place.
    ///
    /// Each more urgent class that is present halves, thirds, … what a class may wait, so that it is refused before
    /// them.
    pub(crate) fn admits(&self, request: &PlacementRequest<'_>, wait_ms: f64) -> bool {
        let present = |seen: &&Option<Millis>| seen.is_some_and(|at| request.now < at + PRESENCE_WINDOW);
        let more_urgent = self.last_request[..class_index(request.urgency)].iter().filter(present).count();
        wait_ms <= request.target.as_secs_f64() * 1e3 / (1.0 + more_urgent as f64)
    }
}
