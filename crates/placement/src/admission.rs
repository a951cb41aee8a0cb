//! Admission control: whether a request is sent or refused for now.
//!
//! Where all slots are taken and a request would wait beyond its latency target, sending it makes it late and delays
//! those after it. It is refused at once instead, less urgent requests before more urgent ones.

use crate::urgency::{class_index, PerUrgency};
use crate::{Millis, PlacementRequest};

/// Time for which an urgency class counts as present after its last request.
const PRESENCE_WINDOW: Millis = 2_000;

/// Admission control for one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Admission {
    /// Time of the last request of each urgency; `None` before the first.
    last_request: PerUrgency<Option<Millis>>,
}

impl Admission {
    /// Records the arrival of a request.
    pub(crate) fn record(&mut self, urgency: u8, now: Millis) {
        self.last_request[class_index(urgency)] = Some(now);
    }

    /// True if a request may be sent although it would wait `wait_ms` for a slot.
    ///
    /// Each more urgent class that is present reduces the wait allowed to a half, a third, and so on, so that less
    /// urgent classes are refused first.
    pub(crate) fn admits(&self, request: &PlacementRequest<'_>, wait_ms: f64) -> bool {
        let present = |last: &&Option<Millis>| last.is_some_and(|at| request.now < at + PRESENCE_WINDOW);
        let more_urgent = self.last_request[..class_index(request.urgency)].iter().filter(present).count();
        wait_ms <= request.target.as_secs_f64() * 1e3 / (1.0 + more_urgent as f64)
    }
}
