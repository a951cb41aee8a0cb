//! Whether a stream was in time.

use routing::Route;
use std::time::Duration;

/// When the events of a stream came.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Timing {
    /// From the request's beginning to its first event.
    pub(crate) first: Option<Duration>,
    /// Longest pause between two events.
    pub(crate) pause: Duration,
}

impl Timing {
    /// What made a whole stream late, by the aims of its route; none when it was in time.
    pub(crate) fn late_reason(&self, route: &Route) -> Option<&'static str> {
        if self.first.is_some_and(|first| first > route.latency_target) {
            return Some("first");
        }
        route.gap_target.is_some_and(|aim| self.pause > aim).then_some("pause")
    }
}
