//! Event times of a stream.

use routing::Route;
use std::time::Duration;

/// Event times of a stream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Timing {
    /// Time from the start of the request to the first event.
    pub(crate) first: Option<Duration>,
    /// The longest pause between two events.
    pub(crate) pause: Duration,
}

impl Timing {
    /// Returns which of the route's targets a complete stream missed, or `None` if it was in time.
    pub(crate) fn late_reason(&self, route: &Route) -> Option<&'static str> {
        if self.first.is_some_and(|first| first > route.latency_target) {
            return Some("first");
        }
        route.gap_target.is_some_and(|target| self.pause > target).then_some("pause")
    }
}
