//! Whether a request is sent or told to come back.
//!
//! Where all places are taken and a request would wait beyond its aim, sending it makes it late and those after it too.
//! It is refused at once instead, the less urgent ones before the more urgent.

use crate::turns::{index, Each};
use crate::{Millis, PlacementRequest};

/// How long a class counts as present after its last request.
const PRESENT: Millis = 2_000;

/// The admission of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Admission {
    /// When a request of each urgency last came; none before the first.
    seen: Each<Option<Millis>>,
}

impl Admission {
    /// A request came.
    pub(crate) fn note(&mut self, urgency: u8, now: Millis) {
        self.seen[index(urgency)] = Some(now);
    }

    /// True when a request may be sent where it would wait so many milliseconds for a place.
    ///
    /// Each more urgent class that is present halves, thirds, … what a class may wait, so that it is refused before
    /// them.
    pub(crate) fn admits(&self, ask: &PlacementRequest<'_>, wait_ms: f64) -> bool {
        let present = |seen: &&Option<Millis>| seen.is_some_and(|at| ask.now < at + PRESENT);
        let more_urgent = self.seen[..index(ask.urgency)].iter().filter(present).count();
        wait_ms <= ask.target.as_secs_f64() * 1e3 / (1.0 + more_urgent as f64)
    }
}
